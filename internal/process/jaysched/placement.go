package jaysched

import (
	"math"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jayplan"
)

// Costs of the parts of a placement. Those of splitting an idle worker are added in
// full, the others in proportion to the worker's accelerators that they concern.
const (
	costLeftover        = 1.0
	costSplitIdleWorker = 1.0
	// costSplitIdleRack is always added to costSplitIdleWorker: the worker's rack is
	// taken to be idle too.
	costSplitIdleRack = 0.5
	costForeignHome   = 0.2
	gainOwnHome       = 0.5
	costPreemption    = 0.5
	// unlimitedMembers is the member capacity for a shape without accelerators.
	unlimitedMembers = math.MaxInt32
)

// capacityFunc returns how many accelerators of a worker a job could use.
type capacityFunc func(*jaypool.Worker) int

// freeCapacity counts free accelerators; non-preemptible jobs cannot use those that
// guarantees need.
func (s *Scheduler) freeCapacity(j *Job) capacityFunc {
	return func(w *jaypool.Worker) int {
		if w.Closed() {
			return 0
		}
		return s.limitByGuarantees(j, w, w.Free())
	}
}

// limitByGuarantees limits the capacity of a worker to what a non-preemptible job
// can use without making a guarantee unreclaimable.
func (s *Scheduler) limitByGuarantees(j *Job, w *jaypool.Worker, capacity int) int {
	if j.spec.Preemptible() {
		return capacity
	}
	return max(min(capacity, s.plan.AvailableNonPreemptible(w, j.spec.Workspace())), 0)
}

// homeCapacity counts the larger of the free accelerators and the part of the
// workspace's own home that the workspace does not use; others may be using it.
func (s *Scheduler) homeCapacity(j *Job) capacityFunc {
	return func(w *jaypool.Worker) int {
		if w.Closed() {
			return 0
		}
		home := s.plan.Home(w.ID(), j.spec.Workspace()) - w.Usage(j.spec.Workspace())
		return s.limitByGuarantees(j, w, max(w.Free(), home))
	}
}

// FitsUnusedHome reports whether the shape of a job fits the part of its
// workspace's home that the workspace does not use now.
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

// preemptibleCapacity counts free accelerators and those of preemptible
// allocations.
func (s *Scheduler) preemptibleCapacity(j *Job, preemptible func(*jaypool.Allocation) bool) capacityFunc {
	return func(w *jaypool.Worker) int {
		if w.Closed() {
			return 0
		}
		capacity := w.Free()
		for _, a := range w.Allocations() {
			if preemptible(a) {
				capacity += a.Accelerators()
			}
		}
		return s.limitByGuarantees(j, w, capacity)
	}
}

// placeJob returns the cheapest placements of the job within the capacity, or nil.
func (s *Scheduler) placeJob(j *Job, capacity capacityFunc) []Placement {
	shape := j.spec.Shape()
	var best []Placement
	bestCost := math.Inf(1)
	groups := s.pool.Groups(shape.Locality())
	for _, name := range s.groupNames(shape.Locality()) {
		placements, cost := s.placeInGroup(j, groups[name], capacity)
		if placements != nil && cost < bestCost {
			best, bestCost = placements, cost
		}
	}
	return best
}

// groupNames returns the sorted names of the groups, cached until the pool's
// version changes.
func (s *Scheduler) groupNames(locality jayjob.Locality) []string {
	if s.groupNamesVersion != s.pool.Version() {
		s.groupNamesVersion = s.pool.Version()
		clear(s.sortedGroupNames)
	}
	if s.sortedGroupNames[locality] == nil {
		s.sortedGroupNames[locality] = s.pool.GroupNames(locality)
	}
	return s.sortedGroupNames[locality]
}

type candidate struct {
	worker  *jaypool.Worker
	members int
	cost    float64
}

// placeInGroup returns placements of all members within one group of workers with
// their cost, or nil when not all fit.
func (s *Scheduler) placeInGroup(j *Job, group []*jaypool.Worker, capacity capacityFunc) ([]Placement, float64) {
	shape := j.spec.Shape()
	if shape.Members() == 1 {
		return s.placeSingle(j, group, capacity)
	}
	total := 0
	candidates := s.scratch[:0]
	for _, w := range group {
		n := memberCapacity(capacity(w), shape)
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

// pickPlacements assigns the members to the candidates in order.
func pickPlacements(candidates []candidate, members int) ([]Placement, float64) {
	var placements []Placement
	cost := 0.0
	for _, c := range candidates {
		if members == 0 {
			break
		}
		n := min(c.members, members)
		members -= n
		cost += c.cost * float64(n)
		placements = append(placements, Placement{worker: c.worker.ID(), members: n})
	}
	return placements, cost
}

// placeSingle places a job with one member without allocating a list of
// candidates.
func (s *Scheduler) placeSingle(j *Job, group []*jaypool.Worker, capacity capacityFunc) ([]Placement, float64) {
	shape := j.spec.Shape()
	var best *jaypool.Worker
	bestCost := math.Inf(1)
	for _, w := range group {
		if w.Free() < shape.Accelerators() && capacity(w) < shape.Accelerators() {
			continue
		}
		if c := s.cost(j, w, shape.Accelerators()); c < bestCost && capacity(w) >= shape.Accelerators() {
			best, bestCost = w, c
		}
	}
	if best == nil {
		return nil, 0
	}
	return []Placement{{worker: best.ID(), members: 1}}, bestCost
}

// memberCapacity returns how many members fit the accelerators.
func memberCapacity(accelerators int, shape jayjob.Shape) int {
	if shape.Accelerators() == 0 {
		return unlimitedMembers
	}
	return max(accelerators, 0) / shape.Accelerators()
}

// cost returns the weighted cost of placing n accelerators on a worker, in
// fragmentation and in completion time.
func (s *Scheduler) cost(j *Job, w *jaypool.Worker, n int) float64 {
	all := float64(w.Accelerators())
	left := w.Free() - n
	fragmentation := 0.0
	if left >= 0 {
		fragmentation = costLeftover * float64(left) / all
	}
	if w.Free() == w.Accelerators() && left > 0 {
		fragmentation += costSplitIdleWorker + costSplitIdleRack
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

// foreignHomeUse returns how many of n accelerators would use the unused homes of
// other workspaces.
func (s *Scheduler) foreignHomeUse(j *Job, w *jaypool.Worker, n int) int {
	idle := 0
	for workspace, home := range s.plan.Homes(w.ID()) {
		if workspace != j.spec.Workspace() {
			idle += max(home-w.Usage(workspace), 0)
		}
	}
	return max(n-max(w.Free()-idle, 0), 0)
}

// chooseVictims chooses the jobs to stop so that the accelerators of the
// placements become free, those with the least lost work first. It returns false
// when they cannot be freed.
func (s *Scheduler) chooseVictims(j *Job, placements []Placement, now time.Duration, preemptible func(*jaypool.Allocation) bool) ([]Victim, bool) {
	var victims []Victim
	stopped := map[string]bool{}
	for _, p := range placements {
		w := s.pool.Worker(p.worker)
		need := p.members*j.spec.Shape().Accelerators() - w.Free()
		allocations := w.Allocations()
		for _, a := range allocations {
			if stopped[a.Job()] {
				need -= a.Accelerators()
			}
		}
		if need <= 0 {
			continue
		}
		chosen, ok := s.cheapestVictims(allocations, need, now, stopped, preemptible)
		if !ok {
			return nil, false
		}
		for _, a := range chosen {
			stopped[a.Job()] = true
			victims = append(victims, Victim{job: a.Job(), workspace: a.Workspace(), lostWork: s.lostWork(a, now)})
		}
	}
	return victims, true
}

// cheapestVictims chooses allocations with at least need accelerators: lower
// classes first, then greedily by lost work per accelerator. It then drops those
// that are not needed.
func (s *Scheduler) cheapestVictims(allocations []*jaypool.Allocation, need int, now time.Duration, stopped map[string]bool, preemptible func(*jaypool.Allocation) bool) ([]*jaypool.Allocation, bool) {
	var candidates []*jaypool.Allocation
	for _, a := range allocations {
		if !stopped[a.Job()] && preemptible(a) {
			candidates = append(candidates, a)
		}
	}
	sort.SliceStable(candidates, func(a, b int) bool {
		x, y := candidates[a], candidates[b]
		if x.Class() != y.Class() {
			return x.Class() > y.Class()
		}
		return s.lostWork(x, now)*time.Duration(y.Accelerators()) < s.lostWork(y, now)*time.Duration(x.Accelerators())
	})
	freed := 0
	var chosen []*jaypool.Allocation
	for _, a := range candidates {
		if freed >= need {
			break
		}
		freed += a.Accelerators()
		chosen = append(chosen, a)
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

// lostWork returns the accelerator time that is lost when the whole gang of the
// allocation stops: all since its last checkpoint, for checkpointing work at most
// the cost of a checkpoint.
func (s *Scheduler) lostWork(a *jaypool.Allocation, now time.Duration) time.Duration {
	since := now - a.LastCheckpoint()
	if a.Checkpointing() {
		since = min(since, s.Policy.CheckpointCost)
	}
	total := 0
	for _, o := range s.pool.JobAllocations(a.Job()) {
		total += o.Accelerators()
	}
	return time.Duration(total) * max(since, 0)
}

// remaining estimates the remaining run time of the allocation's work. Work that
// exceeds its estimate is expected to take another half of its run time so far.
func remaining(a *jaypool.Allocation, now time.Duration) time.Duration {
	if a.ExpectedEnd() > now {
		return a.ExpectedEnd() - now
	}
	return max((now-a.Started())/2, time.Second)
}

// checkShape returns a NeverFitsError when the shape does not fit the idle pool.
func (s *Scheduler) checkShape(j *Job) error {
	shape := j.spec.Shape()
	capacity := func(w *jaypool.Worker) int { return s.idleCapacity(j, w) }
	if !jayplan.Fits(shape, s.pool, capacity) {
		return &NeverFitsError{Shape: shape, Cause: "no set of workers has the room", Nearest: s.nearestShape(j, capacity)}
	}
	return nil
}

// idleCapacity returns how many accelerators of an idle worker the job could use: a
// non-preemptible job cannot use the homes of other workspaces.
func (s *Scheduler) idleCapacity(j *Job, w *jaypool.Worker) int {
	if j.spec.Preemptible() {
		return w.Accelerators()
	}
	capacity := w.Accelerators()
	for workspace, n := range s.plan.Homes(w.ID()) {
		if workspace != j.spec.Workspace() {
			capacity -= n
		}
	}
	return capacity
}

// nearestShape returns the first shape that could run, or nil: it tries looser
// localities, then fewer members, then fewer accelerators per member.
func (s *Scheduler) nearestShape(j *Job, capacity capacityFunc) *jayjob.Shape {
	shape := j.spec.Shape()
	for accelerators := shape.Accelerators(); accelerators > 0; accelerators-- {
		for members := shape.Members(); members > 0; members-- {
			for locality := int(shape.Locality()); locality >= 0; locality-- {
				n, err := jayjob.NewShape(members, accelerators, jayjob.Locality(locality))
				if err == nil && jayplan.Fits(n, s.pool, capacity) {
					return &n
				}
			}
		}
	}
	return nil
}
