package jaycell

import "time"

const (
	// daemonBlame is how soon after its start a lasting task must fail for its
	// runner to be blamed: later it may fail by itself at any time.
	daemonBlame = 2 * time.Second
	// daemonBreak is the work that a lasting task misses when it is stopped: the
	// start elsewhere and its warm-up.
	daemonBreak = 2 * time.Second
)

// atWork reports whether a lasting task serves: all its members run and none is
// told to stop.
func (u *unit) atWork() bool {
	if u.phase != phaseActive || u.stopping || len(u.live) < u.count {
		return false
	}
	for _, h := range u.live {
		if !h.confirmed || h.percent < 100 {
			return false
		}
	}
	return true
}

// away counts the tasks of a unit's step, but for its own, that are not at work.
func (u *unit) away() int {
	n := 0
	for i := 0; i < unitsOf(*u.spec()); i++ {
		if w := u.job.unitOf(u.occurrence, u.step, i); w != u && !w.atWork() {
			n += w.count
		}
	}
	return n
}

// maySpare reports whether a unit may be stopped for others, together with those
// that are spared already: of a lasting step only so many tasks may be away at
// once. spared counts them by the first unit of each step.
func (c *Cell) maySpare(u *unit, spared map[*unit]int) bool {
	most := u.spec().MaxUnavailable
	if !u.spec().Daemon || most == 0 || !u.atWork() {
		return true
	}
	first := u.job.unitOf(u.occurrence, u.step, 0)
	if u.away()+spared[first] >= most {
		return false
	}
	spared[first] += u.count
	return true
}

// vacate stops the lasting tasks of a draining runner one after the other, so that
// each starts elsewhere before the next is away, as far as the runner's time goes.
func (c *Cell) vacate(h *hold) {
	u := h.unit
	hurry := h.runner.drainEnd-c.now < c.settings.MaxStopTime
	if !c.hasRoomElsewhere(h) && !hurry {
		return
	}
	if hurry || c.maySpare(u, map[*unit]int{}) {
		c.stop(u, "runner is draining")
	}
}

// hasRoomElsewhere reports whether another runner could take the task now.
func (c *Cell) hasRoomElsewhere(h *hold) bool {
	for _, r := range c.runners {
		if r != h.runner && r.open(c.now) && r.serves(h.unit) && h.room.FitsIn(r.free()) {
			return true
		}
	}
	return false
}
