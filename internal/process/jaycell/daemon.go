package jaycell

import "time"

const (
	// earlyFailureWindow is how soon after its start a daemon task must fail for the
	// failure to count against its runner: later failures are the task's own.
	earlyFailureWindow = 2 * time.Second
	// daemonRestartTime is the downtime of a daemon task that is stopped: the start
	// elsewhere and its warm-up.
	daemonRestartTime = 2 * time.Second
)

// isAvailable reports whether a daemon unit is serving: all its members are fully
// started and the unit is not being stopped.
func (u *unit) isAvailable() bool {
	if u.phase != phaseActive || u.stopping || len(u.placements) < u.count {
		return false
	}
	for _, pl := range u.placements {
		if !pl.confirmed || pl.percent < 100 {
			return false
		}
	}
	return true
}

// unavailable counts the other tasks of u's step that are not available.
func (u *unit) unavailable() int {
	n := 0
	for i := 0; i < unitCount(*u.spec()); i++ {
		if other := u.job.unitFor(u.occurrence, u.step, i); other != u && !other.isAvailable() {
			n += other.count
		}
	}
	return n
}

// mayInterrupt reports whether stopping a unit keeps within Step.MaxUnavailable.
// interrupted counts the tasks already chosen to be stopped, by the first unit of
// their step; mayInterrupt adds to it.
func (c *Cell) mayInterrupt(u *unit, interrupted map[*unit]int) bool {
	limit := u.spec().MaxUnavailable
	if !u.spec().Daemon || limit == 0 || !u.isAvailable() {
		return true
	}
	first := u.job.unitFor(u.occurrence, u.step, 0)
	if u.unavailable()+interrupted[first] >= limit {
		return false
	}
	interrupted[first] += u.count
	return true
}

// drainDaemon stops a daemon task of a draining runner once another runner could start
// it and Step.MaxUnavailable permits, at the latest StopTimeout before the shutdown.
func (c *Cell) drainDaemon(pl *placement) {
	u := pl.unit
	urgent := pl.runner.drainEnd-c.now < c.settings.StopTimeout
	if !c.fitsElsewhere(pl) && !urgent {
		return
	}
	if urgent || c.mayInterrupt(u, map[*unit]int{}) {
		c.stopUnit(u, "runner is draining")
	}
}

// fitsElsewhere reports whether another runner could start the task now.
func (c *Cell) fitsElsewhere(pl *placement) bool {
	for _, r := range c.runners {
		if r != pl.runner && r.acceptsWork(c.now) && r.eligibleFor(pl.unit) && pl.resources.FitsIn(r.available()) {
			return true
		}
	}
	return false
}
