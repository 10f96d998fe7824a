package jaycell

import "time"

const (
	// expectedStopShare is the share of Settings.StopTimeout that a stop is expected to
	// take: the last of several victims took 0.65 to 0.85 s (median) of at most 0.9 s.
	expectedStopShare = 0.8
	// endMargin is how much later than expected an awaited run may end before it is
	// stopped: half of a report interval, since ends are reported at once.
	endMargin = 250 * time.Millisecond
)

// awaitedRun is a run that a claim waits for instead of stopping it.
type awaitedRun struct {
	unit *unit
	run  int
	// until is when it is stopped if it has not ended.
	until time.Duration
}

// endsBeforeStop reports whether the unit's run is expected to end before a stop ordered
// now would free its resources. That is unknown until its progress tells its speed:
// callers' estimates are off by up to 90%.
func (c *Cell) endsBeforeStop(u *unit) bool {
	if u.spec().Daemon || len(u.placements) < u.count {
		return false
	}
	for _, pl := range u.placements {
		if !pl.confirmed || pl.percent-pl.firstPercent < minMeasuredProgress {
			return false
		}
	}
	return c.remainingRun(u) < time.Duration(expectedStopShare*float64(c.settings.StopTimeout))
}

// remainingRun returns the expected remaining time of a unit's run, zero or more: that of
// its last member.
func (c *Cell) remainingRun(u *unit) time.Duration {
	var longest time.Duration
	for _, pl := range u.placements {
		longest = max(longest, c.remainingTime(pl))
	}
	return longest
}

// mayAwait reports whether the unit may wait for runs that end soon. After the time of a
// stop it has been wrong about them.
func (c *Cell) mayAwait(u *unit) bool {
	return u.awaitingSince == 0 || c.now-u.awaitingSince <= c.settings.StopTimeout
}

// awaitEnd records that u waits for the end of a run.
func (c *Cell) awaitEnd(u, running *unit) {
	if u.awaitingSince == 0 {
		u.awaitingSince = c.now
	}
	for _, a := range u.awaited {
		if a.unit == running && a.run == running.run {
			return
		}
	}
	u.awaited = append(u.awaited, awaitedRun{unit: running, run: running.run, until: c.now + c.remainingRun(running) + endMargin})
	c.reportDecision(Decision{Job: running.job.spec.ID, Event: "preempt", Outcome: "awaited", Reason: "ends before a stop would make room for " + u.key(), AgeMS: c.jobAgeMS(running.job)})
}

// stopOverdueRuns stops the runs that should have ended by now and that claims of
// waiting units depend on beside others that were stopped. The claims then last as long as
// for other stops.
func (r *round) stopOverdueRuns() {
	c := r.cell
	for _, u := range c.sortedClaimants() {
		if !u.startable(c.now) || u.job.isOver() {
			continue
		}
		k := r.claimantOf(u)
		for _, a := range u.awaited {
			if c.now < a.until || a.unit.run != a.run || a.unit.phase != phaseActive || a.unit.stopping || !r.mayPreempt(k, a.unit) {
				continue
			}
			c.reportDecision(Decision{Job: a.unit.job.spec.ID, Event: "preempt", Outcome: "stopping", Reason: "has not ended as expected, room for " + u.key(), AgeMS: c.jobAgeMS(a.unit.job)})
			c.stopUnit(a.unit, "room for "+u.key())
			u.claimedAt = c.now
		}
	}
}
