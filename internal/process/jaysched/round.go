package jaysched

import (
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// round is one pass over all queues at a fixed time.
type round struct {
	scheduler *Scheduler
	now       time.Duration
	// failed holds the queues whose head could not start.
	failed map[*jobQueue]bool
	// heads holds the queues by rank; position is that of the current one.
	heads        []rankedQueue
	position     int
	reservations []reservation
}

// reservation reserves accelerators, by worker, for a waiting job from the time at
// which they are expected to be free. Backfilled jobs must not delay it.
type reservation struct {
	job          *Job
	start        time.Duration
	accelerators map[string]int
}

// next returns the next job that starts. A queue whose head cannot start is
// skipped for the rest of the round.
func (r *round) next() (Decision, bool) {
	if r.heads == nil {
		r.heads = r.scheduler.rankQueues(r.now, r.failed)
	}
	for r.position < len(r.heads) {
		q := r.heads[r.position].queue
		head, ok := q.jobs.Min()
		if !ok {
			r.position++
			continue
		}
		d, started := r.tryStart(head)
		if started {
			return d, true
		}
		r.failed[q] = true
		r.position++
	}
	return Decision{}, false
}

// tryStart starts the job if possible, else records why it waits.
func (r *round) tryStart(j *Job) (Decision, bool) {
	s := r.scheduler
	if quota := s.quota(j.spec.Workspace()); quota > 0 && s.pool.Usage(j.spec.Workspace())+j.spec.Shape().TotalAccelerators() > quota {
		j.reason = NewReason(WaitsForQuota, fmt.Sprintf("%d of %d accelerators held", s.pool.Usage(j.spec.Workspace()), quota), 0, r.now)
		return Decision{}, false
	}
	if placements := r.placeOnFree(j); placements != nil {
		cause := PlacedOnFree
		if len(r.reservations) > 0 {
			cause = PlacedByBackfill
		}
		return r.start(j, placements, nil, cause), true
	}
	for _, preempt := range []func(*Job) (Decision, bool){r.reclaim, r.preemptBorrowed, r.preemptLonger} {
		if d, ok := preempt(j); ok {
			return d, true
		}
	}
	r.recordWait(j)
	return Decision{}, false
}

// placeOnFree places the job on free accelerators without delaying a reservation.
func (r *round) placeOnFree(j *Job) []Placement {
	if r.scheduler.pool.Free() < j.spec.Shape().TotalAccelerators() {
		return nil
	}
	return r.scheduler.placeJob(j, r.excludeReserved(j, r.scheduler.freeCapacity(j)))
}

// excludeReserved subtracts from the capacity what reservations need, unless the
// job is expected to end before they start.
func (r *round) excludeReserved(j *Job, capacity capacityFunc) capacityFunc {
	if len(r.reservations) == 0 {
		return capacity
	}
	return func(w *jaypool.Worker) int {
		n := capacity(w)
		for _, res := range r.reservations {
			if res.accelerators[w.ID()] == 0 || r.now+max(j.upperEstimate-j.progress, 0) <= res.start {
				continue
			}
			unreserved := w.Accelerators() - res.accelerators[w.ID()]
			for _, a := range w.Allocations() {
				if r.now+remaining(a, r.now) > res.start {
					unreserved -= a.Accelerators()
				}
			}
			n = min(n, unreserved)
		}
		return n
	}
}

// reclaim starts the job on its workspace's home and preempts work of other
// workspaces that borrow it.
func (r *round) reclaim(j *Job) (Decision, bool) {
	s := r.scheduler
	if s.guaranteed[j.spec.Workspace()] < j.spec.Shape().TotalAccelerators() {
		return Decision{}, false
	}
	placements := s.placeJob(j, s.homeCapacity(j))
	if placements == nil {
		return Decision{}, false
	}
	victims, ok := s.chooseVictims(j, placements, r.now, func(a *jaypool.Allocation) bool { return s.borrows(a, j.spec.Workspace()) })
	if !ok {
		return Decision{}, false
	}
	return r.start(j, placements, victims, PlacedByReclaim), true
}

// borrows reports whether the allocation is preemptible work of a workspace other
// than the claimant that uses more of the worker than its own home.
func (s *Scheduler) borrows(a *jaypool.Allocation, claimant string) bool {
	if !a.Preemptible() || a.Workspace() == claimant {
		return false
	}
	return a.Worker().Usage(a.Workspace()) > s.plan.Home(a.Worker().ID(), a.Workspace())
}

// preemptBorrowed starts an urgent job by preempting work of lower classes, of its
// own workspace or of others that borrow accelerators.
func (r *round) preemptBorrowed(j *Job) (Decision, bool) {
	if j.spec.Class() != jayjob.Urgent {
		return Decision{}, false
	}
	s := r.scheduler
	preemptible := func(a *jaypool.Allocation) bool {
		if a.Class() == jayjob.Urgent || !a.Preemptible() {
			return false
		}
		return a.Workspace() == j.spec.Workspace() || s.borrows(a, j.spec.Workspace())
	}
	return r.preempt(j, preemptible, PlacedByUrgentPreemption)
}

// preemptLonger starts a short job by preempting work of lower classes or with a
// several times longer remaining run time. Policy bounds the lost work and the
// preemptions of one job.
func (r *round) preemptLonger(j *Job) (Decision, bool) {
	s := r.scheduler
	if s.Policy.MinRuntimeRatio == 0 {
		return Decision{}, false
	}
	minRemaining := time.Duration(s.Policy.MinRuntimeRatio * float64(j.remaining()))
	if minRemaining <= 0 {
		return Decision{}, false
	}
	preemptible := func(a *jaypool.Allocation) bool {
		if !a.Preemptible() || !a.Checkpointing() || a.Class() < j.spec.Class() {
			return false
		}
		if remaining(a, r.now) < minRemaining && a.Class() == j.spec.Class() {
			return false
		}
		if victim := s.running[a.Job()]; victim == nil || victim.preemptions >= s.Policy.MaxPreemptions || r.now-a.Started() < s.Policy.CheckpointCost {
			return false
		}
		return a.Workspace() == j.spec.Workspace() || s.borrows(a, j.spec.Workspace())
	}
	return r.preempt(j, preemptible, PlacedByShorterPreemption)
}

func (r *round) preempt(j *Job, preemptible func(*jaypool.Allocation) bool, cause Cause) (Decision, bool) {
	s := r.scheduler
	placements := s.placeJob(j, s.preemptibleCapacity(j, preemptible))
	if placements == nil {
		return Decision{}, false
	}
	victims, ok := s.chooseVictims(j, placements, r.now, preemptible)
	if !ok {
		return Decision{}, false
	}
	if cause == PlacedByShorterPreemption && !r.withinLossLimit(j, victims) {
		return Decision{}, false
	}
	return r.start(j, placements, victims, cause), true
}

// withinLossLimit reports whether the lost work is at most the policy's share of
// the job's own work.
func (r *round) withinLossLimit(j *Job, victims []Victim) bool {
	var lost time.Duration
	for _, v := range victims {
		lost += v.lostWork
	}
	own := time.Duration(j.spec.Shape().TotalAccelerators()) * j.remaining()
	return float64(lost) <= r.scheduler.Policy.MaxLostShare*float64(own)
}

// start allocates the job's accelerators in the pool in place of its victims.
func (r *round) start(j *Job, placements []Placement, victims []Victim, cause Cause) Decision {
	s := r.scheduler
	for _, v := range victims {
		s.pool.ReleaseJob(v.job)
	}
	if len(victims) == 0 && cause == PlacedByReclaim {
		cause = PlacedOnHome
	}
	for _, p := range placements {
		for range p.members {
			s.allocationCount++
			spec := j.allocation(fmt.Sprintf("%s.%d", j.id, s.allocationCount), j.spec.Shape().Accelerators(), r.now)
			_, err := s.pool.Allocate(p.worker, spec)
			jayassert.That(err == nil, "placement of %s: %v", j.id, err)
		}
		r.assertGuarantees(j, p.worker)
	}
	s.dequeue(j)
	j.started = r.now
	j.reason = NewReason(cause, "", r.now, r.now)
	s.running[j.id] = j
	return Decision{job: j, placements: placements, victims: victims, reason: j.reason}
}

// assertGuarantees asserts that the start leaves all guarantees on the worker
// reclaimable. It skips preemptible jobs: these cannot make a guarantee
// unreclaimable, but adopted allocations may have done so before.
func (r *round) assertGuarantees(j *Job, worker string) {
	if j.spec.Preemptible() || r.scheduler.plan == nil {
		return
	}
	err := r.scheduler.plan.CheckWorker(r.scheduler.pool.Worker(worker))
	jayassert.That(err == nil, "start of %s: %v", j.id, err)
}

// recordWait records why the job waits, after reserving accelerators for it if the
// policy allows another reservation.
func (r *round) recordWait(j *Job) {
	s := r.scheduler
	if len(r.reservations) >= s.Policy.Reservations {
		j.reason = NewReason(WaitsBehindReservation, "job "+r.reservations[0].job.id, 0, r.now)
		if s.pool.Free() < j.spec.Shape().TotalAccelerators() {
			j.reason = NewReason(WaitsForAccelerators, r.blocker(j), 0, r.now)
		}
		return
	}
	res, ok := r.earliestStart(j)
	if !ok {
		j.reason = NewReason(WaitsForWorkers, "", 0, r.now)
		return
	}
	r.reservations = append(r.reservations, res)
	j.reason = NewReason(WaitsWithReservation, r.blocker(j), res.start, r.now)
}

func (r *round) blocker(j *Job) string {
	return fmt.Sprintf("%d accelerators free of %d, %s needed", r.scheduler.pool.Free(), r.scheduler.pool.Total(), j.spec.Shape())
}

// earliestStart returns a reservation in the group of workers in which the job is
// expected to fit first.
func (r *round) earliestStart(j *Job) (reservation, bool) {
	s := r.scheduler
	best := reservation{start: never}
	groups := s.pool.Groups(j.spec.Shape().Locality())
	for _, name := range s.groupNames(j.spec.Shape().Locality()) {
		if start, accelerators, ok := r.earliestStartIn(j, groups[name], best.start); ok && start < best.start {
			best = reservation{job: j, start: start, accelerators: accelerators}
		}
	}
	return best, best.job != nil
}

// expectedEnd is when an allocation is expected to free its accelerators.
type expectedEnd struct {
	at     time.Duration
	worker *jaypool.Worker
	count  int
}

// earliestStartIn returns when the job is expected to fit the group, unless that
// is after the limit, and the accelerators to reserve by worker.
func (r *round) earliestStartIn(j *Job, group []*jaypool.Worker, limit time.Duration) (time.Duration, map[string]int, bool) {
	shape := j.spec.Shape()
	free := make(map[string]int, len(group))
	var ends []expectedEnd
	members := 0
	for _, w := range group {
		if w.Closed() {
			continue
		}
		free[w.ID()] = w.Free()
		members += memberCapacity(w.Free(), shape)
		for _, a := range w.Allocations() {
			ends = append(ends, expectedEnd{at: r.now + remaining(a, r.now), worker: w, count: a.Accelerators()})
		}
	}
	sort.SliceStable(ends, func(a, b int) bool { return ends[a].at < ends[b].at })
	start := r.now
	for _, e := range ends {
		if members >= shape.Members() || e.at >= limit {
			break
		}
		n := free[e.worker.ID()]
		members += memberCapacity(n+e.count, shape) - memberCapacity(n, shape)
		free[e.worker.ID()] = n + e.count
		start = e.at
	}
	if members < shape.Members() {
		return 0, nil, false
	}
	return start, reserveAccelerators(group, free, shape), true
}

// reserveAccelerators returns the accelerators to reserve by worker, on the workers
// with the most free ones first.
func reserveAccelerators(group []*jaypool.Worker, free map[string]int, shape jayjob.Shape) map[string]int {
	order := append([]*jaypool.Worker(nil), group...)
	sort.SliceStable(order, func(a, b int) bool { return free[order[a].ID()] > free[order[b].ID()] })
	reserved := map[string]int{}
	members := shape.Members()
	for _, w := range order {
		n := min(memberCapacity(free[w.ID()], shape), members)
		if n <= 0 {
			continue
		}
		reserved[w.ID()] = n * shape.Accelerators()
		members -= n
	}
	return reserved
}
