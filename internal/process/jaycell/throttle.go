package jaycell

import (
	"strconv"
	"time"
)

const (
	// throttleSettleTime is how long a new share takes to show in a report: the
	// runner's delay, the 500 ms over which it measures, and a report interval.
	throttleSettleTime = 1200 * time.Millisecond
	// throttleRepeatInterval is the interval at which a share is ordered again, since an
	// earlier call that went unanswered may take effect late.
	throttleRepeatInterval = 1500 * time.Millisecond
	// initialShare is the first share of a best-effort task beside serving tasks, unless
	// a lower limit is known.
	initialShare = 30
	// shareStep is the increment of the share, in percent.
	shareStep = 10
	// highLatencyRatio and lowLatencyRatio are the ratios of tail latency to target
	// above which the share is reduced and below which it is raised.
	highLatencyRatio = 0.85
	lowLatencyRatio  = 0.65
	// shareBackoff is the factor by which the share is reduced.
	shareBackoff = 0.5
	// shareLimitStep is the increment of a pair's share limit, in percent, each time the
	// latency is low at the limit: loads change within seconds.
	shareLimitStep = 2
)

// imagePair holds the images of a best-effort task and a serving task beside it.
type imagePair struct{ bestEffort, serving string }

// isBestEffort reports whether the placement is an active best-effort task.
func (pl *placement) isBestEffort() bool {
	return pl.unit.spec().BestEffort && pl.unit.phase == phaseActive && !pl.stopOrdered
}

// hasBestEffort reports whether the runner has active best-effort tasks.
func (r *Runner) hasBestEffort() bool {
	for _, pl := range r.placements {
		if pl.isBestEffort() {
			return true
		}
	}
	return false
}

// throttle keeps the tail latency of a runner's serving tasks below their targets. It
// multiplies the share of best-effort tasks by shareBackoff when the latency is high,
// sets it to zero when a target is missed, and raises it in steps when the latency
// is low, up to the share limit learnt for the pair of images.
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
			// Not started yet.
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
			// The reported load is still that of the previous share.
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

// setShare orders a share if it has changed, and repeats it while the task is
// throttled.
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

// shareLimit returns the largest share of a best-effort task that is known not to
// disturb the serving tasks beside it.
func (c *Cell) shareLimit(pl *placement, serving []string) int {
	lowest := fullShare
	for _, s := range serving {
		if known, ok := c.shareLimits[imagePair{pl.unit.spec().Image, s}]; ok {
			lowest = min(lowest, known)
		}
	}
	return lowest
}

// lowerShareLimits sets the limits of the placement's pairs to three quarters of its
// current share.
func (c *Cell) lowerShareLimits(pl *placement, serving []string) {
	for _, s := range serving {
		c.shareLimits[imagePair{pl.unit.spec().Image, s}] = max(pl.share*3/4, shareLimitStep)
	}
}

// raiseShareLimits raises known limits of the placement's pairs by shareLimitStep once
// the current share has settled.
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
