package jaycell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// daemon is a step of lasting tasks.
func daemon(count, accelerators, mayMiss int) jaytask.Step {
	s := step(count, accelerators)
	s.Daemon, s.MaxUnavailable = true, mayMiss
	return s
}

// world carries out orders at once, on runners that list what runs.
type world struct {
	*bench
	// running holds the runs of each runner by task; those on a warming runner have
	// not come to work yet.
	running map[string]map[string]int
	warming string
	// percents is the progress of single tasks, 100 of all others.
	percents map[string]int
	ends     map[string][]End
}

func newWorld(t *testing.T, guaranteed map[string]int, runners ...string) *world {
	w := &world{bench: newBench(t, guaranteed), running: map[string]map[string]int{}, ends: map[string][]End{}}
	for _, r := range runners {
		w.running[r] = map[string]int{}
	}
	return w
}

// turn reports all runners, with the draining ones as such, and carries out what
// the cell orders.
func (w *world) turn(d time.Duration, draining ...string) []Order {
	w.now += d
	w.wall = w.wall.Add(d)
	w.cell.SetTime(w.now, w.wall)
	for _, id := range sortedKeys(w.running) {
		w.hear("node-"+id, id, func(p *Report) {
			percent := 100
			if id == w.warming {
				percent = 50
			}
			for _, task := range sortedKeys(w.running[id]) {
				shown := percent
				if n, ok := w.percents[task]; ok {
					shown = n
				}
				p.Running = append(p.Running, Run{Task: task, Run: w.running[id][task], Percent: shown})
			}
			p.Finished = append(p.Finished, w.ends[id]...)
			for _, x := range draining {
				if x == id {
					p.Runner.Draining, p.Runner.DrainRemaining = true, 2*time.Second
				}
			}
		})
	}
	orders := w.pass(0)
	for _, o := range orders {
		runs := w.running[o.Runner]
		switch {
		case o.Kind == OrderStart:
			runs[o.Task] = o.Run
		case o.Kind == OrderStop && runs[o.Task] == o.Run:
			w.end(o.Runner, o.Task, EndStopped)
		}
	}
	return orders
}

func (w *world) end(runner, task string, how EndReason) {
	run := w.running[runner][task]
	delete(w.running[runner], task)
	w.ends[runner] = append(w.ends[runner], End{Number: uint64(len(w.ends[runner]) + 1), Task: task, Run: run, Reason: how})
}

func (w *world) stops(orders []Order) int {
	n := 0
	for _, o := range orders {
		if o.Kind == OrderStop {
			n++
		}
	}
	return n
}

// A lasting task is started again however it ends, and its runner is blamed only
// when it fails at once.
func TestLastingTaskIsStartedAgain(t *testing.T) {
	for _, how := range []EndReason{EndDone, EndFailed, EndStopped, EndLapsed, EndGangBroken, EndUnknown} {
		t.Run(how.String(), func(t *testing.T) {
			w := newWorld(t, nil, "r1")
			w.submit("job", 2, "w", daemon(1, 0, 0))
			for range 6 {
				w.turn(time.Second)
				w.turn(4 * time.Second / 5)
				assert.Equal(t, len(w.running["r1"]), 1, "the task does not run")
				for range 4 {
					w.turn(time.Second)
				}
				w.end("r1", "job.0.0.0", how)
			}
			assert.Equal(t, w.cell.runners["r1"].failures, 0)
			assert.Equal(t, w.state["job"], jaytask.Running)
		})
	}
}

// A guaranteed job may stop lasting tasks of others, but not more of a step than
// may be away.
func TestLastingTasksAreSpared(t *testing.T) {
	for _, c := range []struct{ mayMiss, stopped int }{{0, 4}, {1, 1}, {2, 2}, {4, 4}} {
		t.Run(fmt.Sprint(c.mayMiss), func(t *testing.T) {
			w := newWorld(t, map[string]int{"first": 8}, "r1")
			w.submit("lasting", 2, "second", daemon(4, 2, c.mayMiss))
			w.turn(0)
			w.turn(time.Second)
			for i := range 4 {
				w.submit(fmt.Sprintf("urgent%d", i), 0, "first", step(1, 2))
			}
			stopped := 0
			for range 3 {
				stopped += w.stops(w.turn(100 * time.Millisecond))
			}
			assert.Equal(t, stopped, c.stopped)
		})
	}
}

// A draining runner's lasting tasks move one after the other.
func TestLastingTasksLeaveADrainingRunner(t *testing.T) {
	w := newWorld(t, nil, "r1")
	w.submit("lasting", 2, "w", daemon(2, 1, 1))
	w.turn(0)
	w.turn(time.Second)
	assert.Equal(t, len(w.running["r1"]), 2)
	w.running["r2"] = map[string]int{}
	w.turn(0)
	assert.Equal(t, w.stops(w.turn(200*time.Millisecond, "r1")), 1)
	w.warming = "r2"
	assert.Equal(t, w.stops(w.turn(400*time.Millisecond, "r1")), 0)
	assert.Equal(t, len(w.running["r2"]), 1)
	w.warming = ""
	assert.Equal(t, w.stops(w.turn(200*time.Millisecond, "r1"))+w.stops(w.turn(100*time.Millisecond, "r1")), 1)
	w.turn(400*time.Millisecond, "r1")
	assert.Equal(t, len(w.running["r2"]), 2)
}

// A lasting job is never too late to count.
func TestLastingJobKeepsItsPriority(t *testing.T) {
	w := newWorld(t, nil, "r1")
	w.submit("lasting", 1, "w", daemon(1, 8, 0))
	w.turn(0)
	for range 100 {
		w.turn(time.Second)
	}
	w.end("r1", "lasting.0.0.0", EndLapsed)
	w.submit("later", 2, "w", step(1, 8))
	w.turn(time.Second)
	assert.Equal(t, w.running["r1"]["lasting.0.0.0"], 2)
}
