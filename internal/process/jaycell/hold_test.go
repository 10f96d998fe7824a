package jaycell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// While the store takes no records, a start would be placed on a pool of long ago, and
// whatever is stopped for it is lost for nothing.
func TestNothingIsPlacedOrPreemptedWhileStartsAreHeld(t *testing.T) {
	h := newHarness(t, map[string]int{"w": 8})
	h.report("n1", "r1", nil)
	h.submit("low", 2, "", step(1, 8))
	assert.Equal(t, countKinds(h.advance(0))[OrderStart], 1)

	h.cell.SetStarting(false)
	h.submit("urgent", 0, "w", step(1, 8))
	h.advance(100 * time.Millisecond)
	h.report("n1", "r1", listed("low.0.0.0", 1))
	assert.Equal(t, len(h.advance(100*time.Millisecond)), 0, "orders while no start can be stored")

	h.cell.SetStarting(true)
	assert.Equal(t, countKinds(h.advance(100 * time.Millisecond))[OrderStop], 1)
}

// listed adds a run to a report.
func listed(task string, run int) func(p *Report) {
	return func(p *Report) { p.Running = append(p.Running, Run{Task: task, Run: run}) }
}
