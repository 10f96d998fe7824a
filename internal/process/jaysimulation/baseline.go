package jaysimulation

import (
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// SimulateBaseline simulates one day with a baseline scheduler instead of the cell:
// first come, first served, on the first workers that fit. With easy, it chooses
// workers by best fit, and later jobs may start before the first waiting one if
// their estimates end before that one can start (EASY backfill, Lifka 1995). It
// preempts nothing and restarts failed tasks.
func (l *Load) SimulateBaseline(seed uint64, easy bool) Result {
	requests := l.generate(seed, epoch)
	env := newEnvironment(l, requests)
	b := &baseline{environment: env, easy: easy, starts: map[string]int{}}
	next := 0
	for env.now < l.ArrivalPeriod+drainPeriod {
		env.advance()
		for ; next < len(requests) && requests[next].arrival <= env.now; next++ {
			b.queue = append(b.queue, requests[next])
		}
		b.cancel()
		b.acknowledge()
		b.schedule()
	}
	return env.score(requests)
}

// extraStarts is how many more starts than attempts a job has: a job that is not a
// gang may start its tasks a few at a time.
const extraStarts = 8

// baseline is a scheduler that SimulateBaseline compares the cell with.
type baseline struct {
	environment *environment
	easy        bool
	queue       []*request
	starts      map[string]int
	lastRun     int
}

// cancel removes canceled jobs and stops their tasks.
func (b *baseline) cancel() {
	env := b.environment
	var rest []*request
	for _, q := range b.queue {
		if q.cancelAt == 0 || env.now < q.cancelAt {
			rest = append(rest, q)
		}
	}
	b.queue = rest
	for _, w := range env.workers {
		for _, r := range w.sortedRuns() {
			if c := r.request.cancelAt; c > 0 && env.now >= c {
				env.stopRun(w, r.task, r.run)
			}
		}
	}
}

// acknowledge discards the reported ends of runs: pendingTasks reads the environment
// instead.
func (b *baseline) acknowledge() {
	for _, w := range b.environment.workers {
		w.finished, w.acked = nil, w.lastEnd
	}
}

// pendingTasks returns the tasks of a job that neither run nor are done.
func (b *baseline) pendingTasks(q *request) []int {
	running := map[int]bool{}
	for _, w := range b.environment.workers {
		for _, r := range w.runs {
			if r.request == q {
				running[r.index] = true
			}
		}
	}
	var all []int
	for i := range q.taskSeconds {
		if !running[i] && !b.environment.taskDone[taskName(q, i)] {
			all = append(all, i)
		}
	}
	return all
}

func taskName(q *request, i int) string { return fmt.Sprintf("%s.0.0.%d", q.spec.ID, i) }

// schedule starts the waiting jobs that fit, in order. shadow is when the first
// waiting job that does not fit can start.
func (b *baseline) schedule() {
	shadow := time.Duration(0)
	var rest []*request
	for _, q := range b.queue {
		tasks := b.pendingTasks(q)
		if len(tasks) == 0 {
			if b.environment.tasksLeft[q.spec.ID] > 0 {
				rest = append(rest, q)
			}
			continue
		}
		rest = append(rest, q)
		estimate := q.spec.Steps[0].Estimate
		if shadow > 0 && (!b.easy || b.environment.now+estimate > shadow) {
			continue
		}
		if b.starts[q.spec.ID] >= q.class.MaxAttempts+extraStarts {
			continue
		}
		if !b.start(q, tasks) && shadow == 0 {
			shadow = b.shadowTime(q, tasks)
		}
	}
	b.queue = rest
}

// available returns the free resources of a worker at the given time, by the
// estimates of its runs.
func (b *baseline) available(w *worker, at time.Duration) jaytask.Resources {
	free := b.environment.load.Worker
	for _, r := range w.runs {
		if ends := r.started + r.spec().Estimate; at <= b.environment.now || ends > at {
			free = free.Sub(r.spec().Resources)
		}
	}
	return free
}

// placements returns workers for as many of the tasks as fit, or nil for a gang of
// which not all do.
func (b *baseline) placements(q *request, tasks []int, at time.Duration) []*worker {
	s := q.spec.Steps[0]
	free := map[*worker]jaytask.Resources{}
	var candidates []*worker
	for _, w := range b.environment.workers {
		if !w.lost {
			free[w] = b.available(w, at)
			candidates = append(candidates, w)
		}
	}
	var chosen []*worker
	for range tasks {
		if b.easy {
			sort.SliceStable(candidates, func(i, j int) bool { return free[candidates[i]].Accelerators < free[candidates[j]].Accelerators })
		}
		found := false
		for _, w := range candidates {
			if s.Resources.FitsIn(free[w]) {
				free[w] = free[w].Sub(s.Resources)
				chosen, found = append(chosen, w), true
				break
			}
		}
		if !found {
			break
		}
	}
	if s.Gang && len(chosen) < len(tasks) {
		return nil
	}
	return chosen
}

// start starts the tasks that fit and reports whether all did.
func (b *baseline) start(q *request, tasks []int) bool {
	workers := b.placements(q, tasks, b.environment.now)
	if len(workers) > 0 {
		b.lastRun++
		b.starts[q.spec.ID]++
	}
	for i, w := range workers {
		b.environment.startRun(w, taskName(q, tasks[i]), tasks[i], b.lastRun, q, "")
	}
	return len(workers) == len(tasks)
}

// shadowTime returns when all the tasks fit by the estimates, at the latest the end
// of the day.
func (b *baseline) shadowTime(q *request, tasks []int) time.Duration {
	var ends []time.Duration
	for _, w := range b.environment.workers {
		for _, r := range w.runs {
			ends = append(ends, r.started+r.spec().Estimate+timeStep)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i] < ends[j] })
	for _, at := range ends {
		if at > b.environment.now && len(b.placements(q, tasks, at)) == len(tasks) {
			return at
		}
	}
	return b.environment.load.ArrivalPeriod + drainPeriod
}
