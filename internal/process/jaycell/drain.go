package jaycell

import "time"

// drainRunner stops the runs that are not expected to end before their runner shuts
// down. Runs without checkpoints may exceed that time by up to drainGrace.
func (c *Cell) drainRunner(r *Runner) {
	for _, pl := range sortedPlacements(r) {
		u := pl.unit
		if u.phase != phaseActive || u.stopping {
			continue
		}
		if u.spec().Daemon {
			c.drainDaemon(pl)
			continue
		}
		remaining := c.remainingTime(pl)
		if remaining > r.drainEnd-c.now && (u.spec().Checkpoint || remaining > r.drainEnd-c.now+drainGrace) {
			c.stopUnit(u, "runner is draining")
		}
	}
}

// drainGrace is how much longer than announced a draining runner may be expected
// to run.
const drainGrace = time.Second
