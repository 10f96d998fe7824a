package jaycell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// backlogRun is a run on a runner of a backlogHarness.
type backlogRun struct {
	order   Order
	startAt time.Duration
	ended   EndReason
	number  uint64
}

// backlogHarness has runners whose runs last as short as the cell takes for possible.
type backlogHarness struct {
	*harness
	runners []string
	runs    map[string][]*backlogRun
	ends    uint64
	// lasts is how long a run lasts, by route.
	lasts map[string]time.Duration
	// startedAt is when each job has started.
	startedAt map[string]time.Duration
}

func newBacklogHarness(t *testing.T, runners int) *backlogHarness {
	b := &backlogHarness{harness: newHarness(t, nil), runs: map[string][]*backlogRun{}, lasts: map[string]time.Duration{}, startedAt: map[string]time.Duration{}}
	for i := range runners {
		b.runners = append(b.runners, fmt.Sprint("r", i))
	}
	return b
}

// submitTo submits a job of the given age to a route whose runs have taken the given time.
func (b *backlogHarness) submitTo(id, route string, priority int, runTime, age time.Duration, s jaytask.Step) {
	s.Estimate = runTime
	b.cell.meanRunTimes[runTimeKey{route, 0}] = &runTimeMean{runs: minMeanRuns, mean: runTime, shortest: runTime, longest: runTime}
	b.lasts[route] = b.cell.runTimes(route, 0).Least()
	b.cell.Submit(&jaytask.Job{ID: id, Steps: []jaytask.Step{s}, Accepted: b.wall.Add(-age), Policy: jaytask.Policy{Route: route, Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 3, Objective: time.Second}})
}

// play reports the runners' runs, decides, and executes the orders.
func (b *backlogHarness) play(d time.Duration) {
	for _, r := range b.runners {
		b.report("n-"+r, r, func(p *Report) {
			for _, x := range b.runs[r] {
				id, _, _, _, _ := parseTaskName(x.order.Task)
				elapsed, lasts := b.now-x.startAt, b.lasts[b.cell.jobs[id].spec.Policy.Route]
				if x.ended == 0 && elapsed >= lasts {
					b.end(x, EndDone)
				}
				if x.ended == 0 {
					p.Running = append(p.Running, Run{Task: x.order.Task, Run: x.order.Run, Percent: int(100 * elapsed / lasts)})
				} else {
					p.Finished = append(p.Finished, End{Number: x.number, Task: x.order.Task, Run: x.order.Run, Reason: x.ended})
				}
			}
		})
	}
	for _, o := range b.advance(d) {
		switch o.Kind {
		case OrderStart:
			id, _, _, _, _ := parseTaskName(o.Task)
			if _, known := b.startedAt[id]; !known {
				b.startedAt[id] = b.now
			}
			b.runs[o.Runner] = append(b.runs[o.Runner], &backlogRun{order: o, startAt: b.now})
		case OrderStop:
			for _, x := range b.runs[o.Runner] {
				if x.order.Task == o.Task && x.order.Run == o.Run && x.ended == 0 {
					b.end(x, EndStopped)
				}
			}
		}
	}
}

func (b *backlogHarness) end(x *backlogRun, reason EndReason) {
	b.ends++
	x.ended, x.number = reason, b.ends
}

// waits returns the account's waits by route.
func (b *backlogHarness) waits() map[string]time.Duration {
	waits := map[string]time.Duration{}
	if backlog, ok := b.cell.Backlog(); ok {
		for _, r := range backlog.Account().Routes {
			waits[r.Name] = r.Wait
		}
	}
	return waits
}

// Guards against an account that lets a job be refused for work of lower priority, or for
// runs that are stopped for other jobs and leave room, or that misses a full pool.
func TestBacklogOfFullPool(t *testing.T) {
	const long = time.Minute
	for _, c := range []struct {
		name             string
		running, waiting int
		route            int
		want             bool
	}{
		{"runs of the same priority", 1, 1, 1, true},
		{"runs of higher priority", 0, 1, 1, true},
		{"runs of lower priority", 2, 2, 1, false},
		{"runs of the same priority, which waiting work of higher priority may stop", 1, 0, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBacklogHarness(t, 1)
			b.play(0)
			b.submitTo("running", fmt.Sprint("running", c.running), c.running, long, 0, step(1, 8))
			b.play(250 * time.Millisecond)
			b.play(250 * time.Millisecond)
			b.submitTo("waiting", fmt.Sprint("waiting", c.waiting), c.waiting, long, 0, step(1, 8))
			b.submitTo("probe", "probe", c.route, long, 0, step(1, 1))
			b.cell.holdingStarts = true
			b.play(0)
			assert.Equal(t, b.waits()["probe"] > long/4, c.want, "waits %v", b.waits())
		})
	}
}

// Guards against a new leader that takes the runners which have reported for the whole pool,
// and against accounts without a backlog.
func TestNoBacklog(t *testing.T) {
	b := newBacklogHarness(t, 1)
	b.play(0)
	_, ok := b.cell.Backlog()
	assert.Assert(t, !ok, "nothing waits")
	b.submitTo("waiting", "waiting", 1, time.Minute, 0, step(1, 9))
	b.cell.runners["earlier"] = newRunner("earlier", "n")
	_, ok = b.cell.Backlog()
	assert.Assert(t, !ok, "a runner has not reported")
}

// Guards against accounts by which jobs are refused that the scheduler would start: plays
// random backlogs on with the shortest runs that the account assumes, and submits the
// smallest job of a route. It doesn't start before the account says.
func TestNoJobStartsBeforeItsWait(t *testing.T) {
	waited := 0
	rapid.Check(t, func(r *rapid.T) {
		b := newBacklogHarness(t, rapid.IntRange(1, 2).Draw(r, "runners"))
		b.play(0)
		priorities := rapid.SliceOfN(rapid.IntRange(0, 2), 3, 3).Draw(r, "priorities")
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{2, 4}), 3, 3).Draw(r, "sizes")
		submit := func(id string, route int, age time.Duration, s jaytask.Step) {
			b.submitTo(id, fmt.Sprint("route", route), priorities[route], time.Duration(6*(route+1))*time.Second, age, s)
		}
		for i := range rapid.SampledFrom([]int{20, 60}).Draw(r, "jobs") {
			route := rapid.IntRange(0, 2).Draw(r, "route")
			s := step(rapid.IntRange(1, 2).Draw(r, "count"), sizes[route])
			if rapid.IntRange(0, 19).Draw(r, "smaller") == 1 {
				s.Resources.Accelerators /= 2
			}
			s.Resources.CPU *= 4 * sizes[route]
			s.Gang = rapid.IntRange(0, 9).Draw(r, "gang") == 1
			submit(fmt.Sprint("job", i), route, time.Duration(rapid.SampledFrom([]int{0, 30, 60, 90}).Draw(r, "age"))*time.Second, s)
			if rapid.IntRange(0, 9).Draw(r, "pause") == 1 {
				b.play(250 * time.Millisecond)
			}
		}
		b.play(250 * time.Millisecond)
		b.play(250 * time.Millisecond)
		route, wait, at := 0, time.Duration(0), b.now
		for i := range priorities {
			if w := b.waits()[fmt.Sprint("route", i)]; w > wait {
				route, wait = i, w
			}
		}
		if wait == 0 {
			return
		}
		waited++
		s := step(1, 1)
		s.Resources = b.cell.routes[fmt.Sprint("route", route)].Smallest
		submit("probe", route, 0, s)
		for b.now < at+wait {
			assert.Assert(r, b.startedAt["probe"] == 0, "started after %s, wait %s", b.startedAt["probe"]-at, wait)
			b.play(250 * time.Millisecond)
		}
	})
	assert.Assert(t, waited > 0, "no backlog without room")
}
