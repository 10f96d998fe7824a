package jaypolicy

import (
	"fmt"
	"math"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/process/jaysched"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// start is a decision to start a job after its victims have stopped.
type start struct {
	job     string
	victims []string
	cause   jaysched.Cause
}

// planner is a scheduling policy under measurement.
type planner struct {
	name string
	// submit queues a job: a new one, or an interrupted one with the given
	// checkpointed run time.
	submit func(t task, progress time.Duration)
	// finish releases a job that completed with the given total run time.
	finish func(id string, runtime time.Duration)
	// stop releases an interrupted job with the given checkpointed run time. The
	// scheduler queues it again, the baselines do not.
	stop func(id string, progress time.Duration)
	// workersChanged is called after a worker was added or removed.
	workersChanged func()
	// decide returns the jobs that start now; their accelerators are allocated in
	// the pool.
	decide func(now time.Duration) []start
	// compact returns jobs to stop and place again; it may be nil.
	compact func(now time.Duration) []string
	// fitsUnusedHome reports whether a job fits the unused part of its workspace's
	// home; it may be nil.
	fitsUnusedHome func(t task) bool
	pool           *jaypool.Pool
}

// newSchedulerPlanner returns jaystile's own scheduler as a planner.
func newSchedulerPlanner(m *jaymanifest.Manifest, policy jaysched.Policy) *planner {
	pool := newPool()
	s := jaysched.New(pool)
	s.Policy = policy
	s.Configure(m)
	jobs := map[string]*jaysched.Job{}
	return &planner{
		name: "jaystile",
		pool: pool,
		submit: func(t task, _ time.Duration) {
			jobs[t.id] = jaysched.NewJob(t.id, t.spec, t.arrived)
			s.Enqueue(jobs[t.id])
		},
		finish:         s.Finish,
		stop:           s.Requeue,
		workersChanged: s.Replan,
		compact:        s.Compact,
		fitsUnusedHome: func(t task) bool { return s.FitsUnusedHome(t.spec) },
		decide: func(now time.Duration) []start {
			var starts []start
			for _, d := range s.Decide(now) {
				st := start{job: d.Job().ID(), cause: d.Reason().Cause()}
				for _, v := range d.Victims() {
					st.victims = append(st.victims, v.Job())
				}
				starts = append(starts, st)
			}
			return starts
		},
	}
}

// queued is a waiting job of a baseline.
type queued struct {
	task      task
	remaining time.Duration
}

// baseline is a planner with one queue in order of arrival.
type baseline struct {
	pool            *jaypool.Pool
	queue           []queued
	allocationCount int
	expectedEnds    map[string]time.Duration
	bestFit         bool
	easy            bool
}

// newBaseline returns first-come first-fit, or best-fit with EASY backfill on
// declared run times. Source of EASY: D. Lifka, The ANL/IBM SP Scheduling
// System, 1995.
func newBaseline(easy bool) *planner {
	b := &baseline{pool: newPool(), expectedEnds: map[string]time.Duration{}, bestFit: easy, easy: easy}
	name := "fcfs_first_fit"
	if easy {
		name = "easy_best_fit"
	}
	return &planner{
		name:           name,
		pool:           b.pool,
		submit:         b.submit,
		finish:         func(id string, _ time.Duration) { b.release(id) },
		stop:           func(id string, _ time.Duration) { b.release(id) },
		workersChanged: func() {},
		decide:         b.decide,
	}
}

func (b *baseline) submit(t task, progress time.Duration) {
	q := queued{task: t, remaining: max(t.spec.Runtime()-progress, time.Second)}
	i := sort.Search(len(b.queue), func(i int) bool { return b.queue[i].task.arrived > t.arrived })
	b.queue = append(b.queue, queued{})
	copy(b.queue[i+1:], b.queue[i:])
	b.queue[i] = q
}

func (b *baseline) release(id string) {
	b.pool.ReleaseJob(id)
	delete(b.expectedEnds, id)
}

// decide starts jobs in order of arrival. With EASY, later jobs start too if they
// do not delay the first waiting one by their declared run times.
func (b *baseline) decide(now time.Duration) []start {
	var starts []start
	for len(b.queue) > 0 && b.tryStart(b.queue[0], now) {
		starts = append(starts, start{job: b.queue[0].task.id})
		b.queue = b.queue[1:]
	}
	if !b.easy || len(b.queue) == 0 {
		return starts
	}
	shadow, reserved := b.shadowTime(b.queue[0].task.spec.Shape(), now)
	for i := 1; i < len(b.queue); i++ {
		q := b.queue[i]
		if b.tryBackfill(q, shadow, reserved, now) {
			starts = append(starts, start{job: q.task.id})
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			i--
		}
	}
	return starts
}

func (b *baseline) tryStart(q queued, now time.Duration) bool {
	placements := b.placements(q.task.spec.Shape(), func(w *jaypool.Worker) int { return w.Free() })
	if placements == nil {
		return false
	}
	b.allocate(q, placements, now)
	return true
}

func (b *baseline) allocate(q queued, placements []*jaypool.Worker, now time.Duration) {
	for _, w := range placements {
		b.allocationCount++
		_, err := b.pool.Allocate(w.ID(), jaypool.AllocationSpec{ID: fmt.Sprint(b.allocationCount), Job: q.task.id, Workspace: q.task.spec.Workspace(), Accelerators: q.task.spec.Shape().Accelerators(), Started: now})
		if err != nil {
			panic(fmt.Errorf("baseline: %w", err))
		}
	}
	b.expectedEnds[q.task.id] = now + q.remaining
}

// tryBackfill starts a later job if it ends by the shadow time or leaves the
// accelerators free that are reserved for the first waiting job.
func (b *baseline) tryBackfill(q queued, shadow time.Duration, reserved map[string]int, now time.Duration) bool {
	capacity := func(w *jaypool.Worker) int { return w.Free() }
	if now+q.remaining > shadow {
		capacity = func(w *jaypool.Worker) int { return w.Free() - reserved[w.ID()] }
	}
	placements := b.placements(q.task.spec.Shape(), capacity)
	if placements == nil {
		return false
	}
	b.allocate(q, placements, now)
	return true
}

// placements returns a worker for each member: the first workers that fit, or with
// best fit those with the least capacity. It returns nil if not all members fit.
func (b *baseline) placements(s jayjob.Shape, capacity func(*jaypool.Worker) int) []*jaypool.Worker {
	for _, name := range b.pool.GroupNames(s.Locality()) {
		group := append([]*jaypool.Worker(nil), b.pool.Groups(s.Locality())[name]...)
		if b.bestFit {
			sort.SliceStable(group, func(i, j int) bool { return capacity(group[i]) < capacity(group[j]) })
		}
		var placements []*jaypool.Worker
		for _, w := range group {
			for n := capacity(w); n >= s.Accelerators() && len(placements) < s.Members(); n -= s.Accelerators() {
				placements = append(placements, w)
			}
		}
		if len(placements) == s.Members() {
			return placements
		}
	}
	return nil
}

// shadowTime returns when the shape is expected to fit by declared run times, and
// how many of the now free accelerators of each worker it will then need.
func (b *baseline) shadowTime(s jayjob.Shape, now time.Duration) (time.Duration, map[string]int) {
	bestAt, best := time.Duration(math.MaxInt64), map[string]int{}
	for _, name := range b.pool.GroupNames(s.Locality()) {
		if at, reserved, ok := b.shadowTimeIn(b.pool.Groups(s.Locality())[name], s, now); ok && at < bestAt {
			bestAt, best = at, reserved
		}
	}
	return bestAt, best
}

func (b *baseline) shadowTimeIn(group []*jaypool.Worker, s jayjob.Shape, now time.Duration) (time.Duration, map[string]int, bool) {
	type end struct {
		at     time.Duration
		worker *jaypool.Worker
		count  int
	}
	var ends []end
	free := map[string]int{}
	for _, w := range group {
		free[w.ID()] = w.Free()
		for _, a := range w.Allocations() {
			ends = append(ends, end{at: max(b.expectedEnds[a.Job()], now), worker: w, count: a.Accelerators()})
		}
	}
	sort.SliceStable(ends, func(i, j int) bool { return ends[i].at < ends[j].at })
	at := now
	for i := 0; ; i++ {
		members := 0
		for _, n := range free {
			members += n / s.Accelerators()
		}
		if members >= s.Members() {
			return at, b.reservedAccelerators(group, free, s), true
		}
		if i == len(ends) {
			return 0, nil, false
		}
		at = ends[i].at
		free[ends[i].worker.ID()] += ends[i].count
	}
}

func (b *baseline) reservedAccelerators(group []*jaypool.Worker, free map[string]int, s jayjob.Shape) map[string]int {
	reserved := map[string]int{}
	members := s.Members()
	for _, w := range group {
		n := min(free[w.ID()]/s.Accelerators(), members)
		members -= n
		ending := free[w.ID()] - w.Free()
		reserved[w.ID()] = max(n*s.Accelerators()-ending, 0)
	}
	return reserved
}
