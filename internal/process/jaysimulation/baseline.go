package jaysimulation

import (
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// PlayBaseline plays one day without the cell: jobs start in the order of their
// arrival on the first workers that hold them. With easy, the workers are chosen by
// the least rest, and later jobs may start before the first one that waits if they
// are to end, by their estimates, before that one can begin (EASY backfill,
// Lifka 1995). Nothing is ever stopped; what fails is started again.
func (l *Load) SimulateBaseline(seed uint64, easy bool) Result {
	requests := l.generate(seed, epoch)
	w := newEnvironment(l, requests)
	b := &baseline{environment: w, easy: easy, starts: map[string]int{}}
	next := 0
	for w.now < l.ArrivalPeriod+drainPeriod {
		w.advance()
		for ; next < len(requests) && requests[next].arrival <= w.now; next++ {
			b.queue = append(b.queue, requests[next])
		}
		b.cancel()
		b.acknowledge()
		b.schedule()
	}
	return w.score(requests)
}

// partStarts is how many starts more than its attempts a job is given: one that is
// no gang starts in parts.
const extraStarts = 8

type baseline struct {
	environment *environment
	easy        bool
	queue       []*request
	starts      map[string]int
	lastRun     int
}

// cancel drops canceled jobs.
func (b *baseline) cancel() {
	w := b.environment
	var rest []*request
	for _, q := range b.queue {
		if q.cancelAt == 0 || w.now < q.cancelAt {
			rest = append(rest, q)
		}
	}
	b.queue = rest
	for _, x := range w.workers {
		for _, r := range x.sortedRuns() {
			if c := r.request.cancelAt; c > 0 && w.now >= c {
				w.stopRun(x, r.task, r.run)
			}
		}
	}
}

// settle forgets listed ends: waiting looks at the tasks themselves.
func (b *baseline) acknowledge() {
	for _, x := range b.environment.workers {
		x.finished, x.acked = nil, x.lastEnd
	}
}

// waiting returns the tasks of a job that neither run nor are done.
func (b *baseline) pendingTasks(q *request) []int {
	running := map[int]bool{}
	for _, x := range b.environment.workers {
		for _, r := range x.runs {
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

// place starts what fits, in order.
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

// free returns the room of a worker at a time, by the estimates of what runs.
func (b *baseline) available(x *worker, at time.Duration) jaytask.Resources {
	room := workerResources
	for _, r := range x.runs {
		if ends := r.started + r.spec().Estimate; at <= b.environment.now || ends > at {
			room = room.Sub(r.spec().Resources)
		}
	}
	return room
}

// seats returns workers for the tasks, nil when not all of a gang fit.
func (b *baseline) placements(q *request, tasks []int, at time.Duration) []*worker {
	s := q.spec.Steps[0]
	room := map[*worker]jaytask.Resources{}
	var open []*worker
	for _, x := range b.environment.workers {
		if !x.lost {
			room[x] = b.available(x, at)
			open = append(open, x)
		}
	}
	var seats []*worker
	for range tasks {
		if b.easy {
			sort.SliceStable(open, func(i, j int) bool { return room[open[i]].Accelerators < room[open[j]].Accelerators })
		}
		found := false
		for _, x := range open {
			if s.Resources.FitsIn(room[x]) {
				room[x] = room[x].Sub(s.Resources)
				seats, found = append(seats, x), true
				break
			}
		}
		if !found {
			break
		}
	}
	if s.Gang && len(seats) < len(tasks) {
		return nil
	}
	return seats
}

// start starts what fits of a job; it reports whether all of it did.
func (b *baseline) start(q *request, tasks []int) bool {
	seats := b.placements(q, tasks, b.environment.now)
	if len(seats) > 0 {
		b.lastRun++
		b.starts[q.spec.ID]++
	}
	for i, x := range seats {
		b.environment.startRun(x, taskName(q, tasks[i]), tasks[i], b.lastRun, q, "")
	}
	return len(seats) == len(tasks)
}

// shadow returns when all the tasks fit by the estimates, at most the day's end.
func (b *baseline) shadowTime(q *request, tasks []int) time.Duration {
	var ends []time.Duration
	for _, x := range b.environment.workers {
		for _, r := range x.runs {
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
