package jaycell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// room sets the accelerators that a runner reports.
func room(accelerators int) func(p *Report) {
	return func(p *Report) { p.Runner.Capacity.Accelerators = accelerators }
}

// The capacity of the only runner shrinks to 4 accelerators between the decision and the order
// of a start that needs all 8. Runners need not guard their capacity.
func TestStartDecidedOnALargerCapacityIsNotSent(t *testing.T) {
	for _, c := range []struct {
		name string
		step jaytask.Step
	}{
		{"single task", step(1, 8)},
		{"gang", gang(2, 4)},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.report("n", "r", nil)
			h.submit("00000000000000aa", 1, "", c.step)
			h.cell.SetTime(h.now, h.wall)
			h.cell.Tick()
			b := h.cell.TakeBatch()
			assert.Equal(t, len(b.Units), 1)
			// The store is away.
			for range 70 {
				h.now += 100 * time.Millisecond
				h.cell.SetTime(h.now, h.wall)
				h.report("n", "r", room(4))
				assert.Equal(t, len(startedTasks(h.cell.TakeImmediateOrders())), 0)
			}
			assert.Equal(t, len(startedTasks(h.cell.ConfirmStored(b))), 0)
			assert.Equal(t, len(startedTasks(h.advance(time.Second))), 0)
			h.report("n", "r", room(8))
			assert.Equal(t, len(startedTasks(h.advance(time.Second))), c.step.Count)
		})
	}
}

func gang(count, accelerators int) jaytask.Step {
	s := step(count, accelerators)
	s.Gang = true
	return s
}

// A start that the agent has not carried out yet is withdrawn, not repeated.
func TestStartIsWithdrawnWhenItsRunnerShrinks(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n", "r", nil)
	h.submit("00000000000000aa", 1, "", step(1, 4))
	first := startedTasks(h.advance(100 * time.Millisecond))
	assert.Equal(t, len(first), 1)
	running := func(p *Report) { p.Running = []Run{{Task: first[0], Run: 1}} }
	h.report("n", "r", running)
	h.submit("00000000000000bb", 1, "", step(1, 4))
	second := startedTasks(h.advance(100 * time.Millisecond))
	assert.Equal(t, len(second), 1)
	stops := 0
	for range 30 {
		h.report("n", "r", func(p *Report) {
			running(p)
			room(4)(p)
		})
		orders := h.advance(100 * time.Millisecond)
		assert.Equal(t, len(startedTasks(orders)), 0)
		for _, o := range orders {
			if o.Kind == OrderStop {
				assert.Equal(t, o.Task, second[0])
				stops++
			}
		}
	}
	assert.Assert(t, stops > 0)
}

// What is being stopped on a runner that has shrunk still counts, and so does what runs beyond
// its capacity.
func TestRunsBeyondTheCapacityLeaveNoRoom(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n", "r", nil)
	h.submit("00000000000000aa", 1, "", gang(2, 3))
	tasks := startedTasks(h.advance(100 * time.Millisecond))
	assert.Equal(t, len(tasks), 2)
	h.submit("00000000000000bb", 1, "", step(1, 1))
	h.cell.Cancel("00000000000000aa")
	for _, accelerators := range []int{4, 6, 5} {
		h.report("n", "r", func(p *Report) {
			p.Running = []Run{{Task: tasks[0], Run: 1}, {Task: tasks[1], Run: 1}}
			room(accelerators)(p)
		})
		assert.Equal(t, len(startedTasks(h.advance(100*time.Millisecond))), 0, "with %d accelerators", accelerators)
	}
	h.report("n", "r", func(p *Report) {
		p.Finished = []End{{Number: 1, Task: tasks[0], Run: 1, Reason: EndStopped}}
		p.Running = []Run{{Task: tasks[1], Run: 1}}
		room(4)(p)
	})
	assert.Equal(t, len(startedTasks(h.advance(100*time.Millisecond))), 1)
}

// A new leader finds runs of jobs that have ended, which it stops.
func TestRunsWithoutAPlacementLeaveNoRoom(t *testing.T) {
	for _, c := range []struct {
		name  string
		known bool
		// want is how many of the eight tasks start beside the run.
		want int
	}{
		{"unknown job", false, 0},
		{"known job", true, 7},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			stale := TaskName("00000000000000bb", 0, 0, 0)
			if c.known {
				h.submit("00000000000000bb", 2, "", step(1, 1))
				h.cell.Cancel("00000000000000bb")
				h.advance(0)
			}
			for range 8 {
				h.submit(fmt.Sprintf("%016x", len(h.cell.jobs)+0xaa00), 1, "", step(1, 1))
			}
			h.report("n", "r", func(p *Report) { p.Running = []Run{{Task: stale, Run: 1}} })
			assert.Equal(t, len(startedTasks(h.advance(100*time.Millisecond))), c.want)
			h.report("n", "r", func(p *Report) { p.Finished = []End{{Number: 1, Task: stale, Run: 1, Reason: EndStopped}} })
			assert.Equal(t, len(startedTasks(h.advance(100*time.Millisecond))), 8-c.want)
		})
	}
}
