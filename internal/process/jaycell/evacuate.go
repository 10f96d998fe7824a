package jaycell

import "time"

const (
	// withdrawalDelay is how long after an evacuation a report must come that withdraws the starts
	// there that it does not show: two report intervals. Stopping those that have begun would
	// waste their work.
	withdrawalDelay = time.Second
	// coldRunnerRank is the leftover for which a unit takes a warm runner rather than a cold one,
	// as in leftover: more than a whole worker.
	coldRunnerRank = 16_000
)

// evacuate takes the runners of evacuated data centres out of the pool and returns those of the
// others. What runs there goes on: operators ask that nothing more be sent.
func (c *Cell) evacuate() {
	if c.settings.Evacuated == nil {
		return
	}
	for _, r := range c.sortedRunners() {
		evacuated := !r.lost && r.reported && c.settings.Evacuated(r.info.DataCentre)
		if evacuated && !r.evacuated {
			r.evacuatedAt = c.now
		}
		if evacuated != r.evacuated {
			r.evacuated = evacuated
			// The sizes of the pool and of racks have changed.
			c.slotsComputedAt = 0
		}
		// An agent that is cut off has not told what has begun.
		if r.evacuated && r.reportedAt-r.evacuatedAt >= withdrawalDelay {
			c.withdrawUnstarted(r)
		}
	}
}

// withdrawUnstarted stops the placements on a runner that have not begun.
func (c *Cell) withdrawUnstarted(r *Runner) {
	for _, pl := range sortedPlacements(r) {
		if !pl.confirmed && !pl.stopOrdered {
			c.stopUnit(pl.unit, ReasonEvacuated)
		}
	}
}

// ReasonEvacuated is why a start is withdrawn in an evacuated data centre.
const ReasonEvacuated = "data centre is evacuated"

// isCold reports whether a runner is slow after its start. It counts only where operators take
// data centres out of service, whose runners may come back cold.
func (c *Cell) isCold(r *Runner) bool { return c.settings.Evacuated != nil && c.now < r.coldUntil }

// PoolAccelerators returns the accelerators of all runners in the pool.
func (c *Cell) PoolAccelerators() int {
	n := 0
	for _, r := range c.runners {
		if r.inPool() {
			n += r.info.Capacity.Accelerators
		}
	}
	return n
}
