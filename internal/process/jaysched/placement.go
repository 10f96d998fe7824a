package jaysched

import (
	"math"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jayplan"
)

// Costs of the parts of a placement, as shares of one worker.
const (
	costLeftover     = 1.0
	costBreakWorker  = 1.0
	costBreakRack    = 0.5
	costForeignHome  = 0.2
	gainOwnHome      = 0.5
	costPreemption   = 0.5
	unlimitedMembers = math.MaxInt32
)

// roomFunc returns how many accelerators a job could take on a worker.
type capacityFunc func(*jaypool.Worker) int

// freeRoom counts accelerators that nobody holds, less those that work which
// may not be stopped must leave to guarantees.
func (s *Scheduler) freeCapacity(j *Job) capacityFunc {
	return func(w *jaypool.Worker) int {
		if w.Closed() {
			return 0
		}
		return s.limitByGuarantees(j, w, w.Free())
	}
}

// guarded lowers room so that a job which may not be stopped breaks no
// guarantee.
func (s *Scheduler) limitByGuarantees(j *Job, w *jaypool.Worker, room int) int {
	if j.spec.Preemptible() {
		return room
	}
	return max(min(room, s.plan.AvailableNonStoppable(w, j.spec.Workspace())), 0)
}

// homeRoom counts free accelerators and those of the workspace's own home that
// others borrow.
func (s *Scheduler) homeCapacity(j *Job) capacityFunc {
	return func(w *jaypool.Worker) int {
		if w.Closed() {
			return 0
		}
		home := s.plan.Home(w.ID(), j.spec.Workspace()) - w.Usage(j.spec.Workspace())
		return s.limitByGuarantees(j, w, max(w.Free(), home))
	}
}

// Entitled reports whether the shape of a job fits the part of its workspace's
// home that the workspace does not use now.
func (s *Scheduler) FitsUnusedHome(spec jayjob.Spec) bool {
	j := NewJob("", spec, 0)
	return jayplan.Fits(spec.Shape(), s.pool, func(w *jaypool.Worker) int {
		home := s.plan.Home(w.ID(), spec.Workspace()) - w.Usage(spec.Workspace())
		if w.Closed() || home <= 0 {
			return 0
		}
		return s.limitByGuarantees(j, w, home)
	})
}

// displacedRoom counts free accelerators and those that the job may take from
// others by the given test.
func (s *Scheduler) preemptibleCapacity(j *Job, may func(*jaypool.Allocation) bool) capacityFunc {
	return func(w *jaypool.Worker) int {
		if w.Closed() {
			return 0
		}
		room := w.Free()
		for _, h := range w.Allocations() {
			if may(h) {
				room += h.Accelerators()
			}
		}
		return s.limitByGuarantees(j, w, room)
	}
}

// seatJob finds the cheapest seats for a shape within the room, or nil.
func (s *Scheduler) placeJob(j *Job, room capacityFunc) []Placement {
	shape := j.spec.Shape()
	var best []Placement
	bestCost := math.Inf(1)
	groups := s.pool.Groups(shape.Locality())
	for _, name := range s.groupNames(shape.Locality()) {
		seats, cost := s.placeInGroup(j, groups[name], room)
		if seats != nil && cost < bestCost {
			best, bestCost = seats, cost
		}
	}
	return best
}

// groupNames caches the ordered names of groups until the pool's workers
// change.
func (s *Scheduler) groupNames(near jayjob.Locality) []string {
	if s.groupNamesVersion != s.pool.Version() {
		s.groupNamesVersion = s.pool.Version()
		clear(s.sortedGroupNames)
	}
	if s.sortedGroupNames[near] == nil {
		s.sortedGroupNames[near] = s.pool.GroupNames(near)
	}
	return s.sortedGroupNames[near]
}

type candidate struct {
	worker  *jaypool.Worker
	members int
	cost    float64
}

// seatGroup seats all members within one group of workers.
func (s *Scheduler) placeInGroup(j *Job, group []*jaypool.Worker, room capacityFunc) ([]Placement, float64) {
	shape := j.spec.Shape()
	if shape.Members() == 1 {
		return s.placeSingle(j, group, room)
	}
	total := 0
	candidates := s.scratch[:0]
	for _, w := range group {
		n := memberCapacity(room(w), shape)
		if n == 0 {
			continue
		}
		n = min(n, shape.Members())
		total += n
		candidates = append(candidates, candidate{worker: w, members: n, cost: s.cost(j, w, n*shape.Accelerators()) / float64(n)})
	}
	s.scratch = candidates
	if total < shape.Members() {
		return nil, 0
	}
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].cost < candidates[b].cost })
	return pickPlacements(candidates, shape.Members())
}

func pickPlacements(candidates []candidate, members int) ([]Placement, float64) {
	var seats []Placement
	cost := 0.0
	for _, c := range candidates {
		if members == 0 {
			break
		}
		n := min(c.members, members)
		members -= n
		cost += c.cost * float64(n)
		seats = append(seats, Placement{worker: c.worker.ID(), members: n})
	}
	return seats, cost
}

// seatOne seats a single member without building a list.
func (s *Scheduler) placeSingle(j *Job, group []*jaypool.Worker, room capacityFunc) ([]Placement, float64) {
	shape := j.spec.Shape()
	var best *jaypool.Worker
	bestCost := math.Inf(1)
	for _, w := range group {
		if w.Free() < shape.Accelerators() && room(w) < shape.Accelerators() {
			continue
		}
		if c := s.cost(j, w, shape.Accelerators()); c < bestCost && room(w) >= shape.Accelerators() {
			best, bestCost = w, c
		}
	}
	if best == nil {
		return nil, 0
	}
	return []Placement{{worker: best.ID(), members: 1}}, bestCost
}

func memberCapacity(room int, shape jayjob.Shape) int {
	if shape.Accelerators() == 0 {
		return unlimitedMembers
	}
	return max(room, 0) / shape.Accelerators()
}

// cost weighs what placing n accelerators on a worker costs in fragmentation
// and in completion time.
func (s *Scheduler) cost(j *Job, w *jaypool.Worker, n int) float64 {
	all := float64(w.Accelerators())
	left := w.Free() - n
	fragmentation := 0.0
	if left >= 0 {
		fragmentation = costLeftover * float64(left) / all
	}
	if w.Free() == w.Accelerators() && left > 0 {
		fragmentation += costBreakWorker + costBreakRack
	}
	completion := 0.0
	if left < 0 {
		completion += costPreemption * float64(-left) / all
	}
	completion += costForeignHome * float64(s.foreignHomeUse(j, w, n)) / all
	home := s.plan.Home(w.ID(), j.spec.Workspace()) - w.Usage(j.spec.Workspace())
	if home > 0 {
		completion -= gainOwnHome * float64(min(home, n)) / all
	}
	return s.weights.Fragmentation()*fragmentation + s.weights.Completion()*completion
}

// intrusion returns how many of n accelerators would lie in the unused homes of
// other workspaces.
func (s *Scheduler) foreignHomeUse(j *Job, w *jaypool.Worker, n int) int {
	idle := 0
	for space, home := range s.plan.Homes(w.ID()) {
		if space != j.spec.Workspace() {
			idle += max(home-w.Usage(space), 0)
		}
	}
	return max(n-max(w.Free()-idle, 0), 0)
}

// victimsFor chooses what must stop so that the seats become free, the least
// lost work first. It returns false when the seats cannot be freed.
func (s *Scheduler) chooseVictims(j *Job, seats []Placement, now time.Duration, may func(*jaypool.Allocation) bool) ([]Victim, bool) {
	var victims []Victim
	stopped := map[string]bool{}
	for _, seat := range seats {
		w := s.pool.Worker(seat.worker)
		need := seat.members*j.spec.Shape().Accelerators() - w.Free()
		holdings := w.Allocations()
		for _, h := range holdings {
			if stopped[h.Job()] {
				need -= h.Accelerators()
			}
		}
		if need <= 0 {
			continue
		}
		chosen, ok := s.cheapestVictims(holdings, need, now, stopped, may)
		if !ok {
			return nil, false
		}
		for _, h := range chosen {
			stopped[h.Job()] = true
			victims = append(victims, Victim{job: h.Job(), workspace: h.Workspace(), lostWork: s.lostWork(h, now)})
		}
	}
	return victims, true
}

// cheapest picks holdings that free at least need accelerators: greedily by
// lost work per accelerator, then without those that turn out to be needless.
func (s *Scheduler) cheapestVictims(holdings []*jaypool.Allocation, need int, now time.Duration, stopped map[string]bool, may func(*jaypool.Allocation) bool) ([]*jaypool.Allocation, bool) {
	var allowed []*jaypool.Allocation
	for _, h := range holdings {
		if !stopped[h.Job()] && may(h) {
			allowed = append(allowed, h)
		}
	}
	sort.SliceStable(allowed, func(a, b int) bool {
		x, y := allowed[a], allowed[b]
		if x.Class() != y.Class() {
			return x.Class() > y.Class()
		}
		return s.lostWork(x, now)*time.Duration(y.Accelerators()) < s.lostWork(y, now)*time.Duration(x.Accelerators())
	})
	freed := 0
	var chosen []*jaypool.Allocation
	for _, h := range allowed {
		if freed >= need {
			break
		}
		freed += h.Accelerators()
		chosen = append(chosen, h)
	}
	if freed < need {
		return nil, false
	}
	for i := 0; i < len(chosen); i++ {
		if freed-chosen[i].Accelerators() >= need {
			freed -= chosen[i].Accelerators()
			chosen = append(chosen[:i], chosen[i+1:]...)
			i--
		}
	}
	return chosen, true
}

// lost returns the accelerator time that is thrown away when the holding's
// whole gang stops: all since its last checkpoint, or the cost of taking one.
func (s *Scheduler) lostWork(h *jaypool.Allocation, now time.Duration) time.Duration {
	since := now - h.LastCheckpoint()
	if h.Checkpointing() {
		since = min(since, s.Policy.CheckpointCost)
	}
	total := 0
	for _, o := range s.pool.JobAllocations(h.Job()) {
		total += o.Accelerators()
	}
	return time.Duration(total) * max(since, 0)
}

// left estimates how long the holding's work still takes. Work that outlives
// its estimate is expected to go on for half as long as it has run.
func remaining(h *jaypool.Allocation, now time.Duration) time.Duration {
	if h.ExpectedEnd() > now {
		return h.ExpectedEnd() - now
	}
	return max((now-h.Started())/2, time.Second)
}

// canEverRun returns a NeverFitsError when the shape fits no state of the pool.
func (s *Scheduler) checkShape(j *Job) error {
	shape := j.spec.Shape()
	room := func(w *jaypool.Worker) int { return s.idleCapacity(j, w) }
	if !jayplan.Fits(shape, s.pool, room) {
		return &NeverFitsError{Shape: shape, Cause: "no set of workers has the room", Nearest: s.nearestShape(j, room)}
	}
	return nil
}

// emptyRoom is what the job could take of a worker on which nothing runs.
func (s *Scheduler) idleCapacity(j *Job, w *jaypool.Worker) int {
	if j.spec.Preemptible() {
		return w.Accelerators()
	}
	room := w.Accelerators()
	for space, n := range s.plan.Homes(w.ID()) {
		if space != j.spec.Workspace() {
			room -= n
		}
	}
	return room
}

// nearestShape looks for a shape that could run: first with looser nearness,
// then with fewer members, then with fewer accelerators each.
func (s *Scheduler) nearestShape(j *Job, room capacityFunc) *jayjob.Shape {
	shape := j.spec.Shape()
	for accelerators := shape.Accelerators(); accelerators > 0; accelerators-- {
		for members := shape.Members(); members > 0; members-- {
			for near := int(shape.Locality()); near >= 0; near-- {
				n, err := jayjob.NewShape(members, accelerators, jayjob.Locality(near))
				if err == nil && jayplan.Fits(n, s.pool, room) {
					return &n
				}
			}
		}
	}
	return nil
}
