package jaycell

import (
	"strconv"
	"time"
)

const (
	// paceSettle is how long a new pace takes to show in a report: the runner's
	// own delay, the half second over which it measures, and a report interval.
	throttleSettleTime = 1200 * time.Millisecond
	// paceRepeat repeats a pace that an unanswered call may have changed since.
	throttleRepeatInterval = 1500 * time.Millisecond
	// paceFirst is the share at which work begins that fills beside tasks that
	// serve, while nothing is known of the pair.
	initialShare = 30
	// paceRaise is how much the share grows at a time.
	shareStep = 10
	// paceHigh and paceLow bound the tail latency, as shares of the target, above
	// which the share shrinks and below which it grows.
	highLatencyRatio = 0.85
	lowLatencyRatio  = 0.65
	// paceShrink is what is left of a share that comes near the target.
	shareBackoff = 0.5
	// ceilingRaise is by how much the learnt ceiling of a pair grows with each
	// quiet step at it: loads change within seconds.
	shareLimitStep = 2
)

// imagePair names work that fills and a task that serves beside it.
type imagePair struct{ bestEffort, serving string }

// fills reports whether a member is work that uses what others leave.
func (pl *placement) isBestEffort() bool {
	return pl.unit.spec().BestEffort && pl.unit.phase == phaseActive && !pl.stopOrdered
}

// hasFilling reports whether anything fills on the runner.
func (r *Runner) hasBestEffort() bool {
	for _, pl := range r.placements {
		if pl.isBestEffort() {
			return true
		}
	}
	return false
}

// pace keeps the tail latency of a runner's serving tasks under their targets: it
// shrinks the share of what fills beside them at once, to nothing when a target is
// missed, and lets it grow in steps. How far a pair of images may go is learnt.
func (c *Cell) throttle(r *Runner) {
	if !r.hasBestEffort() {
		return
	}
	var bestEffort []*placement
	latencyRatio, serving := 0.0, []string(nil)
	for _, pl := range sortedPlacements(r) {
		s := pl.unit.spec()
		switch {
		case !pl.confirmed:
		case pl.isBestEffort():
			bestEffort = append(bestEffort, pl)
		case s.LatencyTarget > 0:
			serving = append(serving, s.Image)
			latencyRatio = max(latencyRatio, float64(pl.load)*float64(time.Millisecond)/float64(s.LatencyTarget))
		}
	}
	for _, pl := range bestEffort {
		want := pl.share
		switch {
		case len(serving) == 0:
			want = fullShare
		case latencyRatio >= 1:
			want = 0
		case pl.shareSentAt == 0:
			want = min(initialShare, c.shareLimit(pl, serving))
		case c.now-pl.shareChangedAt < throttleSettleTime:
		case latencyRatio >= highLatencyRatio:
			want = int(shareBackoff * float64(pl.share))
		case latencyRatio < lowLatencyRatio:
			want = min(pl.share+shareStep, c.shareLimit(pl, serving))
		}
		if latencyRatio >= highLatencyRatio && want < pl.share {
			c.lowerShareLimits(pl, serving)
		} else if want == pl.share && latencyRatio < lowLatencyRatio {
			c.raiseShareLimits(pl, serving)
		}
		c.setShare(pl, want, latencyRatio)
	}
}

func formatPercent(n int) string { return strconv.Itoa(n) + "%" }

// setPace orders a share, and repeats it while tasks serve beside it.
func (c *Cell) setShare(pl *placement, share int, latencyRatio float64) {
	changed := share != pl.share
	if !changed && (share == fullShare || c.now-pl.shareSentAt < throttleRepeatInterval) {
		return
	}
	if changed {
		c.reportDecision(Decision{Job: pl.unit.job.spec.ID, Task: pl.task(), Run: pl.run, Runner: pl.runner.id, Event: "pace", Outcome: formatPercent(share), Reason: "tail latency at " + formatPercent(int(100*latencyRatio)) + " of its target", AgeMS: c.jobAgeMS(pl.unit.job)})
		pl.shareChangedAt = c.now
	}
	pl.share, pl.shareSentAt = share, c.now
	c.immediateOrders = append(c.immediateOrders, Order{Kind: OrderThrottle, Node: pl.runner.node, Runner: pl.runner.id, Task: pl.task(), Run: pl.run, Percent: share})
}

// ceiling returns the largest share at which a member is known to leave those
// that serve beside it alone.
func (c *Cell) shareLimit(pl *placement, serving []string) int {
	lowest := fullShare
	for _, s := range serving {
		if known, ok := c.shareLimits[imagePair{pl.unit.spec().Image, s}]; ok {
			lowest = min(lowest, known)
		}
	}
	return lowest
}

func (c *Cell) lowerShareLimits(pl *placement, serving []string) {
	for _, s := range serving {
		c.shareLimits[imagePair{pl.unit.spec().Image, s}] = max(pl.share*3/4, shareLimitStep)
	}
}

func (c *Cell) raiseShareLimits(pl *placement, serving []string) {
	if c.now-pl.shareChangedAt < throttleSettleTime {
		return
	}
	for _, s := range serving {
		k := imagePair{pl.unit.spec().Image, s}
		if known, ok := c.shareLimits[k]; ok && known < fullShare {
			c.shareLimits[k] = known + shareLimitStep
		}
	}
}
