package jaycell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A gang for which others have just been stopped has lost no work of its own yet. Urgent jobs
// used to stop it for a few accelerators, and it stopped as many others again to return.
func TestGangThatOthersWereStoppedForIsSpared(t *testing.T) {
	for _, c := range []struct {
		name string
		// paid is the cost of what was stopped for the gang.
		paid                 float64
		gangStops, loseStops int
	}{{"nothing was stopped for it", 0, 6, 0}, {"others were stopped for it", 1000, 0, 8}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFailing(t, 6)
			gang := step(6, 8)
			gang.Gang, gang.Checkpoint, gang.Estimate = true, true, 20*time.Second
			f.submit("gang", 1, "", gang)
			f.step()
			u := f.cell.jobs["gang"].units["gang.0.0"]
			assert.Equal(t, u.phase, phaseActive)
			u.paid = c.paid
			f.runners = append(f.runners, "r6", "r7")
			for i := range 4 {
				f.submit(fmt.Sprint("lose", i), 2, "", wide(4))
			}
			for range 60 {
				f.step()
			}
			urgent := step(2, 4)
			urgent.Estimate = 20 * time.Second
			f.submit("urgent", 0, "", urgent)
			f.step()
			stopped := map[string]int{}
			for _, o := range f.orders {
				if o.Kind == OrderStop {
					stopped[o.Task[:4]]++
				}
			}
			assert.Equal(t, stopped["gang"], c.gangStops)
			assert.Equal(t, stopped["lose"], c.loseStops)
		})
	}
}

// What is stopped for a unit is part of the cost of stopping it, until its run has ended.
func TestUnitKeepsTheCostOfWhatWasStoppedForIt(t *testing.T) {
	f := newFailing(t, 1)
	f.harness.cell.settings.Guaranteed = func(string) int { return 8 }
	f.submit("small", 2, "", wide(2))
	for range 20 {
		f.step()
	}
	f.submit("first", 0, "w", step(1, 8))
	f.step()
	u := f.cell.jobs["first"].units["first.0.0.0"]
	assert.Assert(t, u.paid > 0)
	u.phase = phaseActive
	f.cell.concludeRun(u)
	assert.Equal(t, u.paid, 0.0)
}
