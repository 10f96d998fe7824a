package jaycell

import "time"

// recordProgress updates a placement from a report and stops its run if it has
// stalled.
func (c *Cell) recordProgress(pl *placement, run Run) {
	if !pl.confirmed {
		pl.confirmed, pl.confirmedAt = true, c.now
		pl.runner.unlisted--
		pl.progressAt, pl.percent, pl.firstPercent = c.now, run.Percent, run.Percent
	}
	if run.Percent != pl.percent {
		pl.percent, pl.progressAt = run.Percent, c.now
	}
	c.recordHealth(pl)
	c.recordSurvival(pl)
	if run.Percent < 100 && !pl.unit.spec().Daemon {
		c.measureRun(pl)
	}
	if run.Checkpoint != "" {
		pl.checkpoint = run.Checkpoint
	}
	pl.load = run.Load
	u := pl.unit
	// At 100%, a gang member waits for the others and a daemon task is serving. At its
	// start, a member may wait up to GangTimeout for the others.
	if run.Percent >= 100 || u.stopping || u.phase != phaseActive || c.now-pl.progressAt < stallTimeout || c.now-pl.confirmedAt < stallTimeout+c.settings.GangTimeout {
		return
	}
	c.handleStall(pl)
}

// remainingTime estimates the remaining run time of a placement.
func (c *Cell) remainingTime(pl *placement) time.Duration {
	estimate := c.estimate(pl.unit.job, pl.unit.step)
	if !pl.confirmed {
		return estimate
	}
	gained := pl.percent - pl.firstPercent
	if gained < 3 {
		// Too little progress to extrapolate from.
		return max(estimate-(c.now-pl.confirmedAt), estimate/10)
	}
	// The progress is as old as its report. If the run should have ended since, it goes on at
	// a lower speed.
	atReport := time.Duration(pl.restAtReport())
	if since := c.now - pl.progressAt; since < atReport {
		return atReport - since
	}
	return time.Duration(float64(c.now-pl.confirmedAt) * float64(100-pl.percent) / float64(gained))
}

// restAtReport returns the remaining run time when the progress was reported, in nanoseconds, if
// the run goes on at its mean speed so far. It must have made progress.
func (pl *placement) restAtReport() float64 {
	return float64(pl.progressAt-pl.confirmedAt) * float64(100-pl.percent) / float64(pl.percent-pl.firstPercent)
}
