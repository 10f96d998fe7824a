package jaycell

import (
	"strconv"
	"time"
)

const (
	// paceSettle is how long a new pace takes to show in a report: the runner's
	// own delay, the half second over which it measures, and a report interval.
	paceSettle = 1200 * time.Millisecond
	// paceRepeat repeats a pace that an unanswered call may have changed since.
	paceRepeat = 1500 * time.Millisecond
	// paceFirst is the share at which work begins that fills beside tasks that
	// serve, while nothing is known of the pair.
	paceFirst = 30
	// paceRaise is how much the share grows at a time.
	paceRaise = 10
	// paceHigh and paceLow bound the tail latency, as shares of the target, above
	// which the share shrinks and below which it grows.
	paceHigh = 0.85
	paceLow  = 0.65
	// paceShrink is what is left of a share that comes near the target.
	paceShrink = 0.5
	// ceilingRaise is by how much the learnt ceiling of a pair grows with each
	// quiet step at it: loads change within seconds.
	ceilingRaise = 2
)

// imagePair names work that fills and a task that serves beside it.
type imagePair struct{ filling, serving string }

// fills reports whether a member is work that uses what others leave.
func (h *hold) fills() bool {
	return h.unit.spec().BestEffort && h.unit.phase == phaseActive && !h.stopOrdered
}

// hasFilling reports whether anything fills on the runner.
func (r *Runner) hasFilling() bool {
	for _, h := range r.holds {
		if h.fills() {
			return true
		}
	}
	return false
}

// pace keeps the tail latency of a runner's serving tasks under their targets: it
// shrinks the share of what fills beside them at once, to nothing when a target is
// missed, and lets it grow in steps. How far a pair of images may go is learnt.
func (c *Cell) pace(r *Runner) {
	if !r.hasFilling() {
		return
	}
	var filling []*hold
	strain, serving := 0.0, []string(nil)
	for _, h := range sortedHolds(r) {
		s := h.unit.spec()
		switch {
		case !h.confirmed:
		case h.fills():
			filling = append(filling, h)
		case s.LatencyTarget > 0:
			serving = append(serving, s.Image)
			strain = max(strain, float64(h.load)*float64(time.Millisecond)/float64(s.LatencyTarget))
		}
	}
	for _, h := range filling {
		want := h.share
		switch {
		case len(serving) == 0:
			want = fullShare
		case strain >= 1:
			want = 0
		case h.paceAt == 0:
			want = min(paceFirst, c.ceiling(h, serving))
		case c.now-h.pacedAt < paceSettle:
		case strain >= paceHigh:
			want = int(paceShrink * float64(h.share))
		case strain < paceLow:
			want = min(h.share+paceRaise, c.ceiling(h, serving))
		}
		if strain >= paceHigh && want < h.share {
			c.lowerCeilings(h, serving)
		} else if want == h.share && strain < paceLow {
			c.raiseCeilings(h, serving)
		}
		c.setPace(h, want, strain)
	}
}

func percentText(n int) string { return strconv.Itoa(n) + "%" }

// setPace orders a share, and repeats it while tasks serve beside it.
func (c *Cell) setPace(h *hold, share int, strain float64) {
	changed := share != h.share
	if !changed && (share == fullShare || c.now-h.paceAt < paceRepeat) {
		return
	}
	if changed {
		c.explain(Decision{Job: h.unit.job.spec.ID, Task: h.task(), Run: h.run, Runner: h.runner.id, Event: "pace", Outcome: percentText(share), Reason: "tail latency at " + percentText(int(100*strain)) + " of its target", AgeMS: c.ageOf(h.unit.job)})
		h.pacedAt = c.now
	}
	h.share, h.paceAt = share, c.now
	c.orderNow = append(c.orderNow, Order{Kind: OrderThrottle, Node: h.runner.node, Runner: h.runner.id, Task: h.task(), Run: h.run, Percent: share})
}

// ceiling returns the largest share at which a member is known to leave those
// that serve beside it alone.
func (c *Cell) ceiling(h *hold, serving []string) int {
	least := fullShare
	for _, s := range serving {
		if known, ok := c.ceilings[imagePair{h.unit.spec().Image, s}]; ok {
			least = min(least, known)
		}
	}
	return least
}

func (c *Cell) lowerCeilings(h *hold, serving []string) {
	for _, s := range serving {
		c.ceilings[imagePair{h.unit.spec().Image, s}] = max(h.share*3/4, ceilingRaise)
	}
}

func (c *Cell) raiseCeilings(h *hold, serving []string) {
	if c.now-h.pacedAt < paceSettle {
		return
	}
	for _, s := range serving {
		k := imagePair{h.unit.spec().Image, s}
		if known, ok := c.ceilings[k]; ok && known < fullShare {
			c.ceilings[k] = known + ceilingRaise
		}
	}
}
