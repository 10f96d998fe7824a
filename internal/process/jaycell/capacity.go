package jaycell

import "sort"

// Runners may be started on beyond their capacity: not all of them refuse what does not fit.
// So a start that was decided for a larger capacity than the runner has now is not sent, and
// one that was sent and has not begun is withdrawn. An agent refuses what reaches it later.

// isOverfull reports whether what is on the runner needs more than its capacity.
func (r *Runner) isOverfull() bool { return !r.used.Add(r.stray).FitsIn(r.info.Capacity) }

// isOutdated reports whether a placement was decided for a larger capacity of its runner and
// no longer fits.
func (pl *placement) isOutdated() bool {
	return pl.runner.reported && !pl.capacity.FitsIn(pl.runner.info.Capacity) && pl.runner.isOverfull()
}

// withdrawStarts stops the placements that have not begun on a runner that has shrunk, the
// latest first, until the others fit.
func (c *Cell) withdrawStarts(r *Runner) {
	if !r.isOverfull() {
		return
	}
	var pending []*placement
	left := r.used
	for _, pl := range sortedPlacements(r) {
		if !pl.stopOrdered && !pl.confirmed && pl.isOutdated() {
			pending = append(pending, pl)
		}
	}
	sort.SliceStable(pending, func(i, j int) bool { return pending[i].orderSentAt > pending[j].orderSentAt })
	for _, pl := range pending {
		if left.FitsIn(r.info.Capacity) {
			return
		}
		left = left.Sub(pl.resources)
		c.stopUnit(pl.unit, "the capacity of its runner has shrunk")
	}
}

// chargeStray counts a listed run without a placement: it occupies its runner until it has
// ended. Of a job that ended before this term nothing is known, so that its runner gets no work
// until then.
func (c *Cell) chargeStray(r *Runner, run Run) {
	id, _, step, _, ok := parseTaskName(run.Task)
	if j := c.jobs[id]; ok && j != nil && step < len(j.spec.Steps) {
		r.stray = r.stray.Add(j.spec.Steps[step].Allocation())
		return
	}
	r.hasUnknownStray = true
}
