package jaycell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// daemonStep returns a step of daemon tasks.
func daemonStep(count, accelerators, maxUnavailable int) jaytask.Step {
	s := step(count, accelerators)
	s.Daemon, s.MaxUnavailable = true, maxUnavailable
	return s
}

// environment extends the harness by runners that execute orders at once.
type environment struct {
	*harness
	// running holds the run numbers by runner and task. Runs on the runner warmingUp
	// report 50% progress.
	running   map[string]map[string]int
	warmingUp string
	// progress overrides the reported progress of single tasks, otherwise 100%.
	progress map[string]int
	ends     map[string][]End
}

func newEnvironment(t *testing.T, guaranteed map[string]int, runners ...string) *environment {
	e := &environment{harness: newHarness(t, guaranteed), running: map[string]map[string]int{}, ends: map[string][]End{}}
	for _, r := range runners {
		e.running[r] = map[string]int{}
	}
	return e
}

// tick advances the clock, reports all runners, those in draining as draining, and
// executes the cell's orders.
func (e *environment) tick(d time.Duration, draining ...string) []Order {
	e.now += d
	e.wall = e.wall.Add(d)
	e.cell.SetTime(e.now, e.wall)
	for _, id := range sortedKeys(e.running) {
		e.report("node-"+id, id, func(p *Report) {
			percent := 100
			if id == e.warmingUp {
				percent = 50
			}
			for _, task := range sortedKeys(e.running[id]) {
				reported := percent
				if n, ok := e.progress[task]; ok {
					reported = n
				}
				p.Running = append(p.Running, Run{Task: task, Run: e.running[id][task], Percent: reported})
			}
			p.Finished = append(p.Finished, e.ends[id]...)
			for _, x := range draining {
				if x == id {
					p.Runner.Draining, p.Runner.DrainRemaining = true, 2*time.Second
				}
			}
		})
	}
	orders := e.advance(0)
	for _, o := range orders {
		runs := e.running[o.Runner]
		switch {
		case o.Kind == OrderStart:
			runs[o.Task] = o.Run
		case o.Kind == OrderStop && runs[o.Task] == o.Run:
			e.endRun(o.Runner, o.Task, EndStopped)
		}
	}
	return orders
}

func (e *environment) endRun(runner, task string, reason EndReason) {
	run := e.running[runner][task]
	delete(e.running[runner], task)
	e.ends[runner] = append(e.ends[runner], End{Number: uint64(len(e.ends[runner]) + 1), Task: task, Run: run, Reason: reason})
}

func (e *environment) countStops(orders []Order) int {
	n := 0
	for _, o := range orders {
		if o.Kind == OrderStop {
			n++
		}
	}
	return n
}

// A daemon task is restarted whatever its end reason, and a failure counts against
// its runner only within earlyFailureWindow.
func TestDaemonTaskIsRestarted(t *testing.T) {
	for _, reason := range []EndReason{EndDone, EndFailed, EndStopped, EndLapsed, EndGangBroken, EndUnknown} {
		t.Run(reason.String(), func(t *testing.T) {
			e := newEnvironment(t, nil, "r1")
			e.submit("job", 2, "w", daemonStep(1, 0, 0))
			for range 6 {
				e.tick(time.Second)
				e.tick(4 * time.Second / 5)
				assert.Equal(t, len(e.running["r1"]), 1, "the task is not running")
				for range 4 {
					e.tick(time.Second)
				}
				e.endRun("r1", "job.0.0.0", reason)
			}
			assert.Equal(t, e.cell.runners["r1"].failures, 0)
			assert.Equal(t, e.jobStates["job"], jaytask.Running)
		})
	}
}

// A guaranteed job may preempt daemon tasks of other jobs, but not more of a step
// than MaxUnavailable.
func TestPreemptionRespectsMaxUnavailable(t *testing.T) {
	for _, c := range []struct{ maxUnavailable, stopped int }{{0, 4}, {1, 1}, {2, 2}, {4, 4}} {
		t.Run(fmt.Sprint(c.maxUnavailable), func(t *testing.T) {
			e := newEnvironment(t, map[string]int{"first": 8}, "r1")
			e.submit("lasting", 2, "second", daemonStep(4, 2, c.maxUnavailable))
			e.tick(0)
			e.tick(time.Second)
			for i := range 4 {
				e.submit(fmt.Sprintf("urgent%d", i), 0, "first", step(1, 2))
			}
			stopped := 0
			for range 3 {
				stopped += e.countStops(e.tick(100 * time.Millisecond))
			}
			assert.Equal(t, stopped, c.stopped)
		})
	}
}

// Daemon tasks leave a draining runner one after the other: the second is stopped
// once the first is available elsewhere.
func TestDaemonTasksLeaveDrainingRunnerOneByOne(t *testing.T) {
	e := newEnvironment(t, nil, "r1")
	e.submit("lasting", 2, "w", daemonStep(2, 1, 1))
	e.tick(0)
	e.tick(time.Second)
	assert.Equal(t, len(e.running["r1"]), 2)
	e.running["r2"] = map[string]int{}
	e.tick(0)
	assert.Equal(t, e.countStops(e.tick(200*time.Millisecond, "r1")), 1)
	e.warmingUp = "r2"
	assert.Equal(t, e.countStops(e.tick(400*time.Millisecond, "r1")), 0)
	assert.Equal(t, len(e.running["r2"]), 1)
	e.warmingUp = ""
	assert.Equal(t, e.countStops(e.tick(200*time.Millisecond, "r1"))+e.countStops(e.tick(100*time.Millisecond, "r1")), 1)
	e.tick(400*time.Millisecond, "r1")
	assert.Equal(t, len(e.running["r2"]), 2)
}

// A daemon job never expires.
func TestDaemonJobKeepsItsPriority(t *testing.T) {
	e := newEnvironment(t, nil, "r1")
	e.submit("lasting", 1, "w", daemonStep(1, 8, 0))
	e.tick(0)
	for range 100 {
		e.tick(time.Second)
	}
	e.endRun("r1", "lasting.0.0.0", EndLapsed)
	e.submit("later", 2, "w", step(1, 8))
	e.tick(time.Second)
	assert.Equal(t, e.running["r1"]["lasting.0.0.0"], 2)
}
