package jaycell

// A step may have thousands of small tasks for which one runner has room. Placed at once, their orders
// would fill messages that its agent refuses, and hold back every other start there; its machine has
// little memory for what waits to be started. So a runner gets as many starts at a time as its agent
// passes on within moments, and the rest of the step waits here, where more urgent work goes first.

const (
	// maxUnlistedStarts bounds the runs placed on a runner that it has not listed yet. Members of a
	// gang, which start together, may exceed it.
	maxUnlistedStarts = 256
	// maxPatientStarts is the same for jobs of lower priorities than 0: urgent starts have a part to
	// themselves.
	maxPatientStarts = maxUnlistedStarts * 3 / 4
	// maxRunsPerRunner bounds the runs on a runner: its listing is one answer of at most 4 MiB, and
	// the agent's report of it one frame. Members of a gang may exceed it.
	maxRunsPerRunner = 4096
)

// startLimit returns how many runs that it has not listed a runner may have once the unit is placed.
func (u *unit) startLimit() int {
	limit := maxPatientStarts
	if u.job.spec.Policy.Priority == 0 {
		limit = maxUnlistedStarts
	}
	if u.count > 1 {
		limit += u.count
	}
	return limit
}

// startSlots returns how many members like those of a unit may be placed on the runner now, whatever
// its resources.
func (r *Runner) startSlots(u *unit) int {
	return min(u.startLimit()-r.unlisted, u.runLimit()-len(r.placements))
}

// startSlots is that of the candidate's runner, of which a step other than a gang gets half in one round:
// however many wide steps wait, there is something left for the next one.
func (r *round) startSlots(u *unit, cand *candidate) int {
	slots := cand.runner.startSlots(u)
	if u.spec().Gang {
		return slots
	}
	if _, known := r.stepSlots[cand]; !known {
		r.stepSlots[cand] = (slots + 1) / 2
	}
	return min(slots, r.stepSlots[cand])
}

// runLimit returns how many runs a runner may have once the unit is placed.
func (u *unit) runLimit() int {
	if u.count > 1 {
		return maxRunsPerRunner + u.count
	}
	return maxRunsPerRunner
}
