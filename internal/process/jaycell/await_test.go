package jaycell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// submitOverdue submits a job of one large task that has almost no slack left.
func submitOverdue(h *harness, id string, priority int, workspace string) {
	// The task is four times the quarter of a pool of one runner, so that the objective is
	// three times four run times of 2 s, plus 1 s.
	const waited = 22 * time.Second
	h.wall = h.wall.Add(-waited)
	h.submit(id, priority, workspace, step(1, 8))
	h.wall = h.wall.Add(waited)
}

// An urgent job had runs stopped that would have ended before the stop made room. A run of
// unknown or too little progress, or one that does not end in time, is stopped as before.
func TestRunThatEndsBeforeItsStopIsAwaited(t *testing.T) {
	for _, c := range []struct {
		name string
		// percents are the progress reported each 500 ms, from the start of the run on.
		percents       []int
		guaranteed     bool
		stops, overdue int
	}{
		{"ends soon", []int{0, 30, 60, 90}, false, 0, 1},
		{"ends soon, guaranteed claimant", []int{0, 30, 60, 90}, true, 0, 1},
		{"has time left", []int{0, 10, 20, 30}, false, 1, 0},
		{"progress is unknown", []int{0, 0, 0, 0}, false, 1, 0},
		{"too little progress in this run", []int{95, 96, 96, 97}, false, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			guaranteed := map[string]int{}
			if c.guaranteed {
				guaranteed["w"] = 8
			}
			h := newHarness(t, guaranteed)
			report := func(percent int) {
				h.report("n1", "r1", func(p *Report) { p.Running = []Run{{Task: "low.0.0.0", Run: 1, Percent: percent}} })
			}
			h.report("n1", "r1", nil)
			h.submit("low", 2, "x", step(1, 8))
			assert.Equal(t, len(startedTasks(h.advance(0))), 1)
			for _, percent := range c.percents {
				h.advance(500 * time.Millisecond)
				report(percent)
			}
			submitOverdue(h, "urgent", 0, "w")
			assert.Equal(t, countKinds(h.advance(10 * time.Millisecond))[OrderStop], c.stops)
			overdue := 0
			for range 6 {
				overdue += countKinds(h.advance(100 * time.Millisecond))[OrderStop]
				report(c.percents[3])
			}
			assert.Equal(t, overdue, c.overdue)
			h.advance(10 * time.Millisecond)
			h.report("n1", "r1", func(p *Report) { p.Finished = []End{{Number: 1, Task: "low.0.0.0", Run: 1, Reason: EndDone}} })
			assert.DeepEqual(t, startedTasks(h.advance(0)), []string{"urgent.0.0.0"})
		})
	}
}

// Room that a patient unit waits for without a stop must be there for a more urgent one
// that comes later.
func TestAwaitedRoomGoesToMoreUrgentUnit(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.submit("running", 1, "x", step(1, 8))
	h.advance(0)
	for _, percent := range []int{0, 45, 90} {
		h.advance(500 * time.Millisecond)
		h.report("n1", "r1", func(p *Report) { p.Running = []Run{{Task: "running.0.0.0", Run: 1, Percent: percent}} })
	}
	submitOverdue(h, "patient", 2, "x")
	h.advance(10 * time.Millisecond)
	assert.DeepEqual(t, h.cell.jobs["patient"].units["patient.0.0.0"].claims, map[string]jaytask.Resources{"r1": step(1, 8).Allocation()})
	submitOverdue(h, "urgent", 0, "x")
	h.advance(10 * time.Millisecond)
	h.report("n1", "r1", func(p *Report) { p.Finished = []End{{Number: 1, Task: "running.0.0.0", Run: 1, Reason: EndDone}} })
	assert.DeepEqual(t, startedTasks(h.advance(0)), []string{"urgent.0.0.0"})
}
