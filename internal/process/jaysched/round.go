package jaysched

import (
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// round is one pass over the queue at one moment.
type round struct {
	scheduler    *Scheduler
	now          time.Duration
	failed       map[*jobQueue]bool
	heads        []rankedQueue
	position     int
	reservations []reservation
}

// reservation keeps seats for a waiting job from the time when they are
// expected to be free.
type reservation struct {
	job          *Job
	start        time.Duration
	accelerators map[string]int
}

// next returns the next job that starts. A lane whose head cannot start is not
// looked at again in this round.
func (r *round) next() (Decision, bool) {
	if r.heads == nil {
		r.heads = r.scheduler.rankQueues(r.now, r.failed)
	}
	for r.position < len(r.heads) {
		l := r.heads[r.position].queue
		head, ok := l.jobs.Min()
		if !ok {
			r.position++
			continue
		}
		d, started := r.tryStart(head)
		if started {
			return d, true
		}
		r.failed[l] = true
		r.position++
	}
	return Decision{}, false
}

// try starts the job if it can, else records why it waits.
func (r *round) tryStart(j *Job) (Decision, bool) {
	s := r.scheduler
	if q := s.quota(j.spec.Workspace()); q > 0 && s.pool.Usage(j.spec.Workspace())+j.spec.Shape().TotalAccelerators() > q {
		j.reason = NewReason(WaitsForQuota, fmt.Sprintf("%d of %d accelerators held", s.pool.Usage(j.spec.Workspace()), q), 0, r.now)
		return Decision{}, false
	}
	if seats := r.placeOnFree(j); seats != nil {
		cause := PlacedOnFree
		if len(r.reservations) > 0 {
			cause = PlacedByBackfill
		}
		return r.start(j, seats, nil, cause), true
	}
	for _, way := range []func(*Job) (Decision, bool){r.reclaim, r.preemptBorrowed, r.preemptLonger} {
		if d, ok := way(j); ok {
			return d, true
		}
	}
	r.recordWait(j)
	return Decision{}, false
}

// freeSeats seats the job on free accelerators without delaying a reservation.
func (r *round) placeOnFree(j *Job) []Placement {
	if r.scheduler.pool.Free() < j.spec.Shape().TotalAccelerators() {
		return nil
	}
	return r.scheduler.placeJob(j, r.excludeReserved(j, r.scheduler.freeCapacity(j)))
}

// unreserved lowers room by what reservations need, unless the job is expected
// to end before they start.
func (r *round) excludeReserved(j *Job, room capacityFunc) capacityFunc {
	if len(r.reservations) == 0 {
		return room
	}
	return func(w *jaypool.Worker) int {
		n := room(w)
		for _, v := range r.reservations {
			if v.accelerators[w.ID()] == 0 || r.now+max(j.upperEstimate-j.progress, 0) <= v.start {
				continue
			}
			later := w.Accelerators() - v.accelerators[w.ID()]
			for _, h := range w.Allocations() {
				if r.now+remaining(h, r.now) > v.start {
					later -= h.Accelerators()
				}
			}
			n = min(n, later)
		}
		return n
	}
}

// reclaim takes back the workspace's own home from whoever borrows it.
func (r *round) reclaim(j *Job) (Decision, bool) {
	s := r.scheduler
	if s.guaranteed[j.spec.Workspace()] < j.spec.Shape().TotalAccelerators() {
		return Decision{}, false
	}
	seats := s.placeJob(j, s.homeCapacity(j))
	if seats == nil {
		return Decision{}, false
	}
	victims, ok := s.chooseVictims(j, seats, r.now, func(h *jaypool.Allocation) bool { return s.borrows(h, j.spec.Workspace()) })
	if !ok {
		return Decision{}, false
	}
	return r.start(j, seats, victims, PlacedByReclaim), true
}

// borrows reports whether the holding is stoppable work of another workspace
// that holds more of the worker than its own home.
func (s *Scheduler) borrows(h *jaypool.Allocation, claimant string) bool {
	if !h.Stoppable() || h.Workspace() == claimant {
		return false
	}
	return h.Worker().Usage(h.Workspace()) > s.plan.Home(h.Worker().ID(), h.Workspace())
}

// displaceBorrowed lets urgent work take the place of borrowed work of lower
// classes, the workspace's own included.
func (r *round) preemptBorrowed(j *Job) (Decision, bool) {
	if j.spec.Class() != jayjob.Urgent {
		return Decision{}, false
	}
	s := r.scheduler
	may := func(h *jaypool.Allocation) bool {
		if h.Class() == jayjob.Urgent || !h.Stoppable() {
			return false
		}
		return h.Workspace() == j.spec.Workspace() || s.borrows(h, j.spec.Workspace())
	}
	return r.preempt(j, may, PlacedByUrgentPreemption)
}

// displaceLonger lets a short job take the place of work that still takes many
// times as long, within bounds on what is thrown away.
func (r *round) preemptLonger(j *Job) (Decision, bool) {
	s := r.scheduler
	if s.Policy.MinRuntimeRatio == 0 {
		return Decision{}, false
	}
	least := time.Duration(s.Policy.MinRuntimeRatio * float64(j.remaining()))
	if least <= 0 {
		return Decision{}, false
	}
	may := func(h *jaypool.Allocation) bool {
		if !h.Stoppable() || !h.Checkpointing() || h.Class() < j.spec.Class() {
			return false
		}
		if remaining(h, r.now) < least && h.Class() == j.spec.Class() {
			return false
		}
		if v := s.running[h.Job()]; v == nil || v.preemptions >= s.Policy.MaxPreemptions || r.now-h.Started() < s.Policy.CheckpointCost {
			return false
		}
		return h.Workspace() == j.spec.Workspace() || s.borrows(h, j.spec.Workspace())
	}
	return r.preempt(j, may, PlacedByShorterPreemption)
}

func (r *round) preempt(j *Job, may func(*jaypool.Allocation) bool, cause Cause) (Decision, bool) {
	s := r.scheduler
	seats := s.placeJob(j, s.preemptibleCapacity(j, may))
	if seats == nil {
		return Decision{}, false
	}
	victims, ok := s.chooseVictims(j, seats, r.now, may)
	if !ok {
		return Decision{}, false
	}
	if cause == PlacedByShorterPreemption && !r.withinLossLimit(j, victims) {
		return Decision{}, false
	}
	return r.start(j, seats, victims, cause), true
}

// worthIt bounds the work thrown away by a share of the job's own work.
func (r *round) withinLossLimit(j *Job, victims []Victim) bool {
	var lost time.Duration
	for _, v := range victims {
		lost += v.lostWork
	}
	own := time.Duration(j.spec.Shape().TotalAccelerators()) * j.remaining()
	return float64(lost) <= r.scheduler.Policy.MaxLostShare*float64(own)
}

// start books the job in the pool in place of its victims.
func (r *round) start(j *Job, seats []Placement, victims []Victim, cause Cause) Decision {
	s := r.scheduler
	for _, v := range victims {
		s.pool.ReleaseJob(v.job)
	}
	if len(victims) == 0 && cause == PlacedByReclaim {
		cause = PlacedOnHome
	}
	for _, seat := range seats {
		for range seat.members {
			s.allocationCount++
			h := j.allocation(fmt.Sprintf("%s.%d", j.id, s.allocationCount), j.spec.Shape().Accelerators(), r.now)
			_, err := s.pool.Allocate(seat.worker, h)
			jayassert.That(err == nil, "placement of %s: %v", j.id, err)
		}
		r.assertGuarantees(j, seat.worker)
	}
	s.dequeue(j)
	j.started = r.now
	j.reason = NewReason(cause, "", r.now, r.now)
	s.running[j.id] = j
	return Decision{job: j, placements: seats, victims: victims, reason: j.reason}
}

// assertGuarantees asserts that no decision makes a guarantee unreclaimable.
// Adopted rows may already have broken it before the decision; stoppable work
// cannot.
func (r *round) assertGuarantees(j *Job, worker string) {
	if j.spec.Preemptible() || r.scheduler.plan == nil {
		return
	}
	err := r.scheduler.plan.CheckWorker(r.scheduler.pool.Worker(worker))
	jayassert.That(err == nil, "start of %s: %v", j.id, err)
}

// wait records why the job waits and reserves its seats while reservations are
// left.
func (r *round) recordWait(j *Job) {
	s := r.scheduler
	if len(r.reservations) >= s.Policy.Reservations {
		j.reason = NewReason(WaitsBehindReservation, "job "+r.reservations[0].job.id, 0, r.now)
		if s.pool.Free() < j.spec.Shape().TotalAccelerators() {
			j.reason = NewReason(WaitsForAccelerators, r.blocker(j), 0, r.now)
		}
		return
	}
	v, ok := r.earliestStart(j)
	if !ok {
		j.reason = NewReason(WaitsForWorkers, "", 0, r.now)
		return
	}
	r.reservations = append(r.reservations, v)
	j.reason = NewReason(WaitsWithReservation, r.blocker(j), v.start, r.now)
}

func (r *round) blocker(j *Job) string {
	return fmt.Sprintf("%d accelerators free of %d, %s needed", r.scheduler.pool.Free(), r.scheduler.pool.Total(), j.spec.Shape())
}

// earliest finds the group of workers in which the job's seats are expected to
// be free first.
func (r *round) earliestStart(j *Job) (reservation, bool) {
	s := r.scheduler
	best := reservation{start: never}
	groups := s.pool.Groups(j.spec.Shape().Locality())
	for _, name := range s.groupNames(j.spec.Shape().Locality()) {
		if start, seats, ok := r.earliestStartIn(j, groups[name], best.start); ok && start < best.start {
			best = reservation{job: j, start: start, accelerators: seats}
		}
	}
	return best, best.job != nil
}

// ending is one holding's expected end.
type expectedEnd struct {
	at     time.Duration
	worker *jaypool.Worker
	count  int
}

func (r *round) earliestStartIn(j *Job, group []*jaypool.Worker, limit time.Duration) (time.Duration, map[string]int, bool) {
	shape := j.spec.Shape()
	free := make(map[string]int, len(group))
	var ends []expectedEnd
	seated := 0
	for _, w := range group {
		if w.Closed() {
			continue
		}
		free[w.ID()] = w.Free()
		seated += memberCapacity(w.Free(), shape)
		for _, h := range w.Allocations() {
			ends = append(ends, expectedEnd{at: r.now + remaining(h, r.now), worker: w, count: h.Accelerators()})
		}
	}
	sort.SliceStable(ends, func(a, b int) bool { return ends[a].at < ends[b].at })
	start := r.now
	for _, e := range ends {
		if seated >= shape.Members() || e.at >= limit {
			break
		}
		n := free[e.worker.ID()]
		seated += memberCapacity(n+e.count, shape) - memberCapacity(n, shape)
		free[e.worker.ID()] = n + e.count
		start = e.at
	}
	if seated < shape.Members() {
		return 0, nil, false
	}
	return start, reserveAccelerators(group, free, shape), true
}

// reserveSeats picks the seats of a reservation, the workers with the most
// room first.
func reserveAccelerators(group []*jaypool.Worker, free map[string]int, shape jayjob.Shape) map[string]int {
	order := append([]*jaypool.Worker(nil), group...)
	sort.SliceStable(order, func(a, b int) bool { return free[order[a].ID()] > free[order[b].ID()] })
	seats := map[string]int{}
	members := shape.Members()
	for _, w := range order {
		n := min(memberCapacity(free[w.ID()], shape), members)
		if n <= 0 {
			continue
		}
		seats[w.ID()] = n * shape.Accelerators()
		members -= n
	}
	return seats
}
