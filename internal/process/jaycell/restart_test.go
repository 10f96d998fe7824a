package jaycell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A gang is done with its first member that is. What its other runners don't list afterwards
// must not start again: they may have restarted.
func TestStartOfADoneGangIsNotRepeated(t *testing.T) {
	h := newHarness(t, nil)
	h.submit("00000000000000aa", 1, "", gang(2, 8))
	h.report("n1", "r1", nil)
	h.report("n2", "r2", nil)
	tasks := startedTasks(h.advance(100 * time.Millisecond))
	assert.Equal(t, len(tasks), 2)
	list := func(task string) func(p *Report) {
		return func(p *Report) { p.Running = []Run{{Task: task, Run: 1}} }
	}
	first, second := h.orders[0].Task, h.orders[1].Task
	h.report("n1", "r1", list(first))
	h.report("n2", "r2", list(second))
	h.advance(100 * time.Millisecond)
	h.report("n1", "r1", func(p *Report) { p.Finished = []End{{Number: 1, Task: first, Run: 1, Reason: EndDone}} })
	h.advance(100 * time.Millisecond)
	for range 40 {
		h.report("n2", "r2", nil)
		assert.Equal(t, len(startedTasks(h.advance(100*time.Millisecond))), 0)
	}
}
