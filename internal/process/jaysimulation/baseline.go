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
func (l *Load) PlayBaseline(seed uint64, easy bool) Result {
	requests := l.draw(seed, epoch)
	w := newWorld(l, requests)
	b := &baseline{world: w, easy: easy, tries: map[string]int{}}
	next := 0
	for w.now < l.Span+after {
		w.advance()
		for ; next < len(requests) && requests[next].at <= w.now; next++ {
			b.queue = append(b.queue, requests[next])
		}
		b.cancel()
		b.settle()
		b.place()
	}
	return w.judge(requests)
}

// partStarts is how many starts more than its attempts a job is given: one that is
// no gang starts in parts.
const partStarts = 8

type baseline struct {
	world *world
	easy  bool
	queue []*request
	tries map[string]int
	runs  int
}

// cancel drops canceled jobs.
func (b *baseline) cancel() {
	w := b.world
	var rest []*request
	for _, q := range b.queue {
		if q.cancelAt == 0 || w.now < q.cancelAt {
			rest = append(rest, q)
		}
	}
	b.queue = rest
	for _, x := range w.workers {
		for _, r := range x.sorted() {
			if c := r.request.cancelAt; c > 0 && w.now >= c {
				w.stop(x, r.task, r.run)
			}
		}
	}
}

// settle forgets listed ends: waiting looks at the tasks themselves.
func (b *baseline) settle() {
	for _, x := range b.world.workers {
		x.finished, x.acked = nil, x.number
	}
}

// waiting returns the tasks of a job that neither run nor are done.
func (b *baseline) waiting(q *request) []int {
	running := map[int]bool{}
	for _, x := range b.world.workers {
		for _, r := range x.runs {
			if r.request == q {
				running[r.index] = true
			}
		}
	}
	var all []int
	for i := range q.seconds {
		if !running[i] && !b.world.done[taskName(q, i)] {
			all = append(all, i)
		}
	}
	return all
}

func taskName(q *request, i int) string { return fmt.Sprintf("%s.0.0.%d", q.spec.ID, i) }

// place starts what fits, in order.
func (b *baseline) place() {
	shadow := time.Duration(0)
	var rest []*request
	for _, q := range b.queue {
		tasks := b.waiting(q)
		if len(tasks) == 0 {
			if b.world.left[q.spec.ID] > 0 {
				rest = append(rest, q)
			}
			continue
		}
		rest = append(rest, q)
		estimate := q.spec.Steps[0].Estimate
		if shadow > 0 && (!b.easy || b.world.now+estimate > shadow) {
			continue
		}
		if b.tries[q.spec.ID] >= q.class.Attempts+partStarts {
			continue
		}
		if !b.start(q, tasks) && shadow == 0 {
			shadow = b.shadow(q, tasks)
		}
	}
	b.queue = rest
}

// free returns the room of a worker at a time, by the estimates of what runs.
func (b *baseline) free(x *worker, at time.Duration) jaytask.Resources {
	room := workerRoom
	for _, r := range x.runs {
		if ends := r.begun + r.step().Estimate; at <= b.world.now || ends > at {
			room = room.Sub(r.step().Resources)
		}
	}
	return room
}

// seats returns workers for the tasks, nil when not all of a gang fit.
func (b *baseline) seats(q *request, tasks []int, at time.Duration) []*worker {
	s := q.spec.Steps[0]
	room := map[*worker]jaytask.Resources{}
	var open []*worker
	for _, x := range b.world.workers {
		if !x.gone {
			room[x] = b.free(x, at)
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
	seats := b.seats(q, tasks, b.world.now)
	if len(seats) > 0 {
		b.runs++
		b.tries[q.spec.ID]++
	}
	for i, x := range seats {
		b.world.start(x, taskName(q, tasks[i]), tasks[i], b.runs, q, "")
	}
	return len(seats) == len(tasks)
}

// shadow returns when all the tasks fit by the estimates, at most the day's end.
func (b *baseline) shadow(q *request, tasks []int) time.Duration {
	var ends []time.Duration
	for _, x := range b.world.workers {
		for _, r := range x.runs {
			ends = append(ends, r.begun+r.step().Estimate+step)
		}
	}
	sort.Slice(ends, func(i, j int) bool { return ends[i] < ends[j] })
	for _, at := range ends {
		if at > b.world.now && len(b.seats(q, tasks, at)) == len(tasks) {
			return at
		}
	}
	return b.world.load.Span + after
}
