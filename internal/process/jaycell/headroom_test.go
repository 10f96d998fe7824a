package jaycell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// Patient work that takes what a wave of more urgent jobs has just freed is stopped by the next
// wave, which waits for the stops.
func TestPatientWorkLeavesHeadroom(t *testing.T) {
	patient := jaytask.Step{Count: 1, Checkpoint: true, Resources: jaytask.Resources{Accelerators: 8, Memory: 100}, Estimate: time.Minute}
	for _, c := range []struct {
		name     string
		priority int
		change   func(s *jaytask.Step)
		want     int
	}{
		{"patient work waits", 2, func(*jaytask.Step) {}, 0},
		{"less urgent work still waits", 3, func(*jaytask.Step) {}, 0},
		{"work of the wave's priority starts", 1, func(*jaytask.Step) {}, 1},
		{"patient work without slack starts", 2, func(s *jaytask.Step) { s.Estimate = 100 * time.Millisecond }, 1},
		{"patient work of few accelerators and much memory waits", 2, func(s *jaytask.Step) { s.Resources = jaytask.Resources{Accelerators: 1, Memory: 900} }, 0},
		{"patient work without accelerators starts", 2, func(s *jaytask.Step) { s.Resources = jaytask.Resources{CPU: 1} }, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			report := func(n string, finished ...End) {
				h.report("n"+n, "r"+n, func(p *Report) {
					p.Runner.Capacity = jaytask.Resources{CPU: 1000, Memory: 1000, Accelerators: 8}
					p.Finished = finished
				})
			}
			for _, n := range []string{"1", "2"} {
				report(n)
			}
			wave := jaytask.Step{Count: 1, Resources: jaytask.Resources{Accelerators: 8, Memory: 900}, Estimate: 10 * time.Second}
			h.submit("held", 1, "w", wave)
			h.submit("wave", 1, "w", wave)
			started := h.advance(0)
			assert.Equal(t, len(startedTasks(started)), 2)
			h.now += time.Second
			h.cell.SetTime(h.now, h.wall)
			for _, o := range started {
				if o.Task == TaskName("wave", 0, 0, 0) {
					report(o.Runner[1:], End{Number: 1, Task: o.Task, Run: o.Run, Reason: EndDone})
				}
			}
			s := patient
			c.change(&s)
			h.submit("other", c.priority, "w", s)
			assert.Equal(t, len(startedTasks(h.advance(0))), c.want)
		})
	}
}

// Headroom that nobody asks for any more must not keep workers idle, nor may it take the whole
// pool from patient work.
func TestHeadroomIsBounded(t *testing.T) {
	pool := jaytask.Resources{Memory: 4000, Accelerators: 32}
	var p peakUse
	p.record(0, pool)
	assert.DeepEqual(t, p.headroom(jaytask.Resources{}, pool), jaytask.Resources{Memory: 2000, Accelerators: 16})
	assert.DeepEqual(t, p.headroom(pool, pool), jaytask.Resources{})
	p.record(demandRetention+time.Second, jaytask.Resources{})
	assert.DeepEqual(t, p.headroom(jaytask.Resources{}, pool), jaytask.Resources{})
}
