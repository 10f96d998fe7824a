package jaycell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// Accelerators that one burst of urgent jobs has freed are not given to work that
// the next burst would preempt again.
func TestReserveServesUrgentBurst(t *testing.T) {
	for _, c := range []struct {
		name string
		step jaytask.Step
		want int
	}{
		{"work without checkpoints waits", step(1, 8), 0},
		{"work with checkpoints waits", jaytask.Step{Count: 1, Checkpoint: true, Resources: jaytask.Resources{Accelerators: 8}, Estimate: time.Minute}, 0},
		{"work without slack starts", jaytask.Step{Count: 1, Resources: jaytask.Resources{Accelerators: 8}, Estimate: 100 * time.Millisecond}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			for _, n := range []string{"1", "2", "3", "4"} {
				h.report("n"+n, "r"+n, nil)
			}
			for _, n := range []string{"1", "2", "3"} {
				h.submit("held"+n, 1, "w", step(1, 8))
			}
			assert.Equal(t, len(startedTasks(h.advance(0))), 3)
			h.submit("urgent", 0, "w", step(1, 8))
			assert.Equal(t, len(startedTasks(h.advance(0))), 1)
			h.now += time.Second
			h.cell.SetTime(h.now, h.wall)
			h.report("n4", "r4", func(p *Report) { p.Finished = []End{{Number: 1, Task: "urgent.0.0.0", Run: 1, Reason: EndDone}} })
			h.submit("other", 1, "w", c.step)
			assert.Equal(t, len(startedTasks(h.advance(0))), c.want)
			h.submit("burst", 0, "w", step(1, 8))
			assert.Equal(t, len(startedTasks(h.advance(10*time.Millisecond))), 1-c.want)
		})
	}
}

func TestDemandExpires(t *testing.T) {
	var d demand
	d.record(0, 24)
	d.record(5*time.Second, 3)
	assert.Equal(t, d.reserve(8, 88), 16)
	assert.Equal(t, d.reserve(0, 40), 10)
	d.record(11*time.Second, 3)
	assert.Equal(t, d.reserve(0, 88), 3)
	assert.Equal(t, d.reserve(8, 88), 0)
}

// Urgent work of one service does not keep the runners of another one free.
func TestReserveIsOfOneService(t *testing.T) {
	h := newHarness(t, nil)
	report := func(modify func(service string, p *Report)) {
		for _, service := range []string{"s", "z"} {
			for _, n := range []string{"1", "2", "3", "4"} {
				h.report(service+n, service+n, func(p *Report) {
					p.Runner.Service = service
					modify(service+n, p)
				})
			}
		}
	}
	report(func(string, *Report) {})
	h.submit("urgent", 0, "w", step(1, 8))
	started := h.advance(0)
	assert.Equal(t, len(startedTasks(started)), 1)
	h.now += time.Second
	h.cell.SetTime(h.now, h.wall)
	report(func(runner string, p *Report) {
		if runner == started[0].Runner {
			p.Finished = []End{{Number: 1, Task: "urgent.0.0.0", Run: 1, Reason: EndDone}}
		}
	})
	// 24 of the 32 accelerators of either service are not reserved.
	for _, service := range []string{"s", "z"} {
		for _, id := range []string{"1", "2", "3", "4"} {
			h.cell.Submit(&jaytask.Job{ID: service + id, Steps: []jaytask.Step{step(1, 8)}, Accepted: h.wall, Policy: jaytask.Policy{Service: service, Priority: 1, MaxAttempts: 2, Stretch: 3, Objective: time.Second}})
		}
	}
	count := map[string]int{}
	for _, o := range h.advance(0) {
		if o.Kind == OrderStart {
			count[o.Runner[:len(o.Runner)-1]]++
		}
	}
	assert.DeepEqual(t, count, map[string]int{"s": 3, "z": 4})
}

// An urgent gang that is larger than the present pool reserves nothing for as long as it
// waits.
func TestOversizedUrgentJobReservesNothing(t *testing.T) {
	for _, c := range []struct{ members, want int }{{1, 0}, {2, 1}} {
		h := newHarness(t, nil)
		h.report("n1", "r1", nil)
		h.submit("urgent", 0, "w", jaytask.Step{Count: c.members, Gang: c.members > 1, Label: "b", Resources: jaytask.Resources{Accelerators: 8}, Estimate: 2 * time.Second})
		h.submit("other", 1, "w", jaytask.Step{Count: 1, Checkpoint: true, Resources: jaytask.Resources{Accelerators: 8}, Estimate: time.Minute})
		assert.Equal(t, len(startedTasks(h.advance(0))), c.want, "%d members", c.members)
	}
}
