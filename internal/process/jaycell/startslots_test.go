package jaycell

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// tinyStep returns a step of tasks of which a runner has room for more than all.
func tinyStep(count int) jaytask.Step {
	return jaytask.Step{Count: count, Resources: jaytask.Resources{CPU: 1}, Estimate: 2 * time.Second}
}

// reportAllRunning reports a runner that lists all runs that were placed on it.
func (h *harness) reportAllRunning(node, runner string) {
	h.report(node, runner, func(p *Report) {
		for _, pl := range sortedPlacements(h.cell.runners[runner]) {
			p.Running = append(p.Running, Run{Task: pl.task(), Run: pl.run})
		}
	})
}

// startAll makes rounds until nothing more starts and returns the tasks that have started.
func (h *harness) startAll() []string {
	var all []string
	for {
		started := startedTasks(h.advance(time.Millisecond))
		if len(started) == 0 {
			return all
		}
		all = append(all, started...)
	}
}

// Guards against a wide step whose starts are all sent at once: they exceeded what agents accept, and
// held back every other start on the runner.
func TestWideStepLeavesRoomForUrgentStarts(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.submit("wide", 2, "w", tinyStep(10_000))
	assert.Equal(t, len(h.startAll()), maxPatientStarts)
	h.submit("urgent", 0, "w", tinyStep(3))
	assert.DeepEqual(t, startedTasks(h.advance(10*time.Millisecond)), []string{"urgent.0.0.0", "urgent.0.0.1", "urgent.0.0.2"})
	h.reportAllRunning("n1", "r1")
	h.advance(10 * time.Millisecond)
	h.reportAllRunning("n1", "r1")
	listed := len(h.cell.runners["r1"].placements)
	assert.Equal(t, len(h.startAll()), maxPatientStarts, "the next starts follow those that are listed")
	// A new link of the agent has lost the orders before it.
	h.advance(10 * time.Millisecond)
	h.report("n1", "r1", func(p *Report) { p.Connection = 2 })
	repeated := startedTasks(h.cell.TakeImmediateOrders())
	assert.Equal(t, len(repeated), listed+maxPatientStarts, "what is listed no more and what was never listed")
}

// Guards against small jobs that wait, beside free resources, until all tasks of an older wide job of the
// same priority have started.
func TestWideStepLeavesRoomForItsEquals(t *testing.T) {
	for _, wide := range []int{1, 3} {
		h := newHarness(t, nil)
		h.report("n1", "r1", nil)
		for i := range wide {
			h.submit(fmt.Sprint("wide", i), 2, "w", tinyStep(5000))
		}
		h.advance(time.Millisecond)
		for i := range 5 {
			small := fmt.Sprint("x", i)
			h.submit(small, 2, "w", tinyStep(3))
			h.reportAllRunning("n1", "r1")
			started := startedTasks(h.advance(10 * time.Millisecond))
			for n := range 3 {
				assert.Assert(t, slices.Contains(started, TaskName(small, 0, 0, n)), "%d of %d tasks that started beside %d wide jobs", n, len(started), wide)
			}
		}
	}
}

// Guards against a job wider than a runner bears: the rest waits until runs have ended.
func TestRunsOnARunnerAreBounded(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.submit("wide", 2, "w", tinyStep(10_000))
	// A job with slack leaves a part of the pool to others.
	h.now, h.wall = h.now+time.Minute, h.wall.Add(time.Minute)
	h.cell.SetTime(h.now, h.wall)
	h.report("n1", "r1", nil)
	for len(h.startAll()) > 0 {
		h.reportAllRunning("n1", "r1")
	}
	assert.Equal(t, len(h.cell.runners["r1"].placements), maxRunsPerRunner)
	h.advance(10 * time.Millisecond)
	h.report("n1", "r1", func(p *Report) {
		for i, pl := range sortedPlacements(h.cell.runners["r1"]) {
			if i < 100 {
				p.Finished = append(p.Finished, End{Number: uint64(i + 1), Task: pl.task(), Run: pl.run, Reason: EndDone})
			} else {
				p.Running = append(p.Running, Run{Task: pl.task(), Run: pl.run})
			}
		}
	})
	assert.Equal(t, len(h.startAll()), 100)
}

// Guards against steps that wait without end for more starts than a runner gets at a time: gangs start
// whole, and other steps that would rather start whole start in parts.
func TestStepsWiderThanStartSlotsStart(t *testing.T) {
	for _, c := range []struct {
		name     string
		priority int
		gang     bool
		want     int
	}{
		{"gang", 2, true, 1500},
		{"urgent gang", 0, true, 1500},
		{"urgent step", 0, false, maxUnlistedStarts},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.report("n1", "r1", nil)
			h.submit("wide", 2, "w", tinyStep(maxPatientStarts))
			assert.Equal(t, len(h.startAll()), maxPatientStarts)
			s := tinyStep(1500)
			s.Gang = c.gang
			h.submit("a", c.priority, "w", s)
			started := startedTasks(h.advance(10 * time.Millisecond))
			if !c.gang {
				h.reportAllRunning("n1", "r1")
				started = h.startAll()
			}
			assert.Equal(t, len(started), c.want)
		})
	}
}

// Guards against a backlog of starts that is forgotten, or counted twice, by ends, refusals, lapses and
// a new term: a runner would get none, or too many.
func TestUnlistedStartsAreCounted(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.submit("wide", 2, "w", tinyStep(1000))
	count := func(what string) {
		t.Helper()
		for _, r := range h.cell.runners {
			n := 0
			for _, pl := range r.placements {
				if !pl.confirmed {
					n++
				}
			}
			assert.Equal(t, r.unlisted, n, what)
		}
	}
	h.advance(0)
	count("placed")
	h.report("n1", "r1", func(p *Report) {
		for i, pl := range sortedPlacements(h.cell.runners["r1"]) {
			switch {
			case i < 20:
				p.Running = append(p.Running, Run{Task: pl.task(), Run: pl.run})
			case i < 30:
				p.OrderResults = append(p.OrderResults, OrderResult{Task: pl.task(), Run: pl.run, Refused: true, Reason: "room"})
			case i < 40:
				p.Finished = append(p.Finished, End{Number: uint64(i), Task: pl.task(), Run: pl.run, Reason: EndDone})
			}
		}
	})
	count("listed, refused, ended")
	h.advance(10 * time.Millisecond)
	count("placed again")
	h.advance(h.cell.settings.Lease * 2)
	count("lapsed")
	h.report("n1", "r2", nil)
	h.advance(10 * time.Millisecond)
	count("replaced")
	spec := h.cell.jobs["wide"].spec
	h.cell = New(testSettings(2, nil), h.now, h.wall)
	h.cell.Submit(spec)
	for k, v := range h.unitRecords {
		assert.NilError(t, h.cell.RestoreUnit(Record{Key: k, Value: v}))
	}
	assert.Assert(t, len(h.cell.runners["r2"].placements) > 0)
	count("restored")
	h.reportAllRunning("n1", "r2")
	count("listed in the new term")
}

// Guards against checkpoints that no message carries, where the store bounds none.
func TestLargeCheckpointWithoutStoreLimitIsIgnored(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.submit("a", 2, "w", step(1, 1))
	h.advance(0)
	end := func(number uint64, checkpoint string) string {
		h.advance(10 * time.Millisecond)
		h.report("n1", "r1", func(p *Report) {
			p.Finished = []End{{Number: number, Task: "a.0.0.0", Run: int(number), Reason: EndStopped, Checkpoint: checkpoint}}
		})
		for _, o := range h.advance(10 * time.Millisecond) {
			if o.Kind == OrderStart {
				return o.Checkpoint
			}
		}
		return fmt.Sprint("no start after end ", number)
	}
	assert.Equal(t, end(1, "small"), "small")
	assert.Equal(t, end(2, strings.Repeat("x", maxCheckpointBytes+1)), "small")
}
