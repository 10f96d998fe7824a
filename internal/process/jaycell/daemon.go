package jaycell

import "time"

const (
	// daemonBlame is how soon after its start a lasting task must fail for its
	// runner to be blamed: later it may fail by itself at any time.
	earlyFailureWindow = 2 * time.Second
	// daemonBreak is the work that a lasting task misses when it is stopped: the
	// start elsewhere and its warm-up.
	daemonRestartTime = 2 * time.Second
)

// atWork reports whether a lasting task serves: all its members run and none is
// told to stop.
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

// away counts the tasks of a unit's step, but for its own, that are not at work.
func (u *unit) unavailable() int {
	n := 0
	for i := 0; i < unitCount(*u.spec()); i++ {
		if other := u.job.unitFor(u.occurrence, u.step, i); other != u && !other.isAvailable() {
			n += other.count
		}
	}
	return n
}

// maySpare reports whether a unit may be stopped for others, together with those
// that are spared already: of a lasting step only so many tasks may be away at
// once. spared counts them by the first unit of each step.
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

// vacate stops the lasting tasks of a draining runner one after the other, so that
// each starts elsewhere before the next is away, as far as the runner's time goes.
func (c *Cell) drainDaemon(pl *placement) {
	u := pl.unit
	urgent := pl.runner.drainEnd-c.now < c.settings.MaxStopTime
	if !c.fitsElsewhere(pl) && !urgent {
		return
	}
	if urgent || c.mayInterrupt(u, map[*unit]int{}) {
		c.stopUnit(u, "runner is draining")
	}
}

// hasRoomElsewhere reports whether another runner could take the task now.
func (c *Cell) fitsElsewhere(pl *placement) bool {
	for _, r := range c.runners {
		if r != pl.runner && r.acceptsWork(c.now) && r.eligibleFor(pl.unit) && pl.resources.FitsIn(r.available()) {
			return true
		}
	}
	return false
}
