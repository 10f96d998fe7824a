package jaycell

import "slices"

// waitingStep holds the units of one occurrence of a step that may start now, in the order of their
// indexes. They are alike in all that decides how urgent they are, so that a wide step is ranked
// once.
type waitingStep struct {
	stepID
	units      []*unit
	guaranteed bool
	tier       float64
	// tried is set once the step was tried in this round.
	tried bool
}

// stepID identifies an occurrence of a step.
type stepID struct {
	job        *job
	occurrence int
	step       int
}

// waitingSteps returns the steps with units that may start now.
func (c *Cell) waitingSteps() []*waitingStep {
	var all []*waitingStep
	for _, j := range c.jobs {
		if j.isOver() {
			continue
		}
		j.createReadyUnits(c.wall.Add(-dueSlack))
		j.eachStep(func(id stepID, units []*unit) {
			if waiting := startable(units, c.now); len(waiting) > 0 {
				all = append(all, &waitingStep{stepID: id, units: waiting})
			}
		})
	}
	return all
}

// eachStep calls f with the units of each occurrence of a step that is not done; units that were not
// created yet are nil.
func (j *job) eachStep(f func(id stepID, units []*unit)) {
	for k, row := range j.unitTable {
		for i, units := range row {
			if units != nil && j.remaining[k][i] > 0 {
				f(stepID{job: j, occurrence: k, step: i}, units)
			}
		}
	}
}

// firstByKey returns the waiting unit with the lowest key, or nil if all have been placed.
func (s *waitingStep) firstByKey() *unit {
	var first *unit
	for _, u := range s.units {
		if u.phase == phaseWaiting && (first == nil || u.key() < first.key()) {
			first = u
		}
	}
	return first
}

// sortedByKey returns the units by their keys.
func (s *waitingStep) sortedByKey() []*unit {
	all := slices.Clone(s.units)
	sortByKey(all)
	return all
}

// A round looks at runners for each step that waits, and their number has no bound: callers choose
// how many shapes of tasks a job has. So the work of a round is bounded. It is counted, not timed, so
// that the same calls give the same decisions on every machine. The most urgent steps get half of a
// round's work at least; the rest goes to those that earlier rounds have left.

const (
	// maxRoundWork bounds the work of one round, in looks at a runner: some 30 ms of a core.
	maxRoundWork = 1_000_000
	// startWork is the work of placing a task, which is logged, stored and sent.
	startWork = 500
)

// isSpent reports whether the round has done its work, or a share of it.
func (r *round) isSpent(limit int) bool { return r.work >= limit }

// tryAll tries the steps, the most urgent first. Those that the bound on a round's work leaves are
// tried by the rounds that follow.
func (r *round) tryAll(steps []*waitingStep) {
	c := r.cell
	limit := maxRoundWork
	if len(c.triedSteps) > 0 {
		limit /= 2
	}
	for _, s := range steps {
		if r.isSpent(limit) {
			break
		}
		r.scheduleStep(s)
	}
	for _, s := range steps {
		switch {
		case s.tried || c.triedSteps[s.stepID]:
		case r.isSpent(maxRoundWork):
			c.undecided++
		default:
			r.scheduleStep(s)
		}
	}
	if c.undecided == 0 {
		clear(c.triedSteps)
		return
	}
	for _, s := range steps {
		if s.tried {
			c.triedSteps[s.stepID] = true
		}
	}
}

// startAllInIdleRoom starts units that have waited beside idle room. If the work of a round does not
// reach for all steps, the next one goes on where this one has stopped.
func (r *round) startAllInIdleRoom(steps []*waitingStep) {
	c := r.cell
	first := c.nextIdleStep % len(steps)
	c.nextIdleStep = 0
	for i := range steps {
		n := (first + i) % len(steps)
		if r.isSpent(2 * maxRoundWork) {
			c.nextIdleStep = n
			return
		}
		r.startStepInIdleRoom(steps[n])
	}
}

// RoundWork returns the work of the last round, in looks at a runner.
func (c *Cell) RoundWork() int { return c.lastWork }

// Undecided returns how many waiting steps the last round has left to the next ones.
func (c *Cell) Undecided() int { return c.undecided }
