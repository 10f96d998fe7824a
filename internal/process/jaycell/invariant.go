package jaycell

import "time"

// checkInvariant returns the condition and reports a violation if it is false. The
// scheduler maintains these conditions itself, so a violation is a bug.
func (c *Cell) checkInvariant(condition bool, what string, u *unit) bool {
	if !condition && c.settings.OnInvariantViolation != nil {
		c.settings.OnInvariantViolation(what, Decision{Job: u.job.spec.ID, Task: u.key(), Run: u.run, Event: "invariant", Outcome: what, AgeMS: c.jobAgeMS(u.job)})
	}
	return condition
}

// checkStart checks the invariants of a start that was decided.
func (r *round) checkStart(u *unit, runners []*candidate) bool {
	c := r.cell
	if !c.checkInvariant(len(runners) == u.count, "a unit starts whole", u) ||
		!c.checkInvariant(u.phase == phaseWaiting && len(u.placements) == 0, "one run at a time", u) ||
		!c.checkInvariant(u.job.dependenciesDone(u.occurrence, u.step), "earlier steps are done", u) ||
		!c.checkInvariant(!u.exhausted(), "attempts are left", u) ||
		!c.checkInvariant(!u.isDeadly(), "a task that crashes runners is given up", u) ||
		!c.checkInvariant(!u.job.isOver(), "the job is not over", u) {
		return false
	}
	if !c.checkInvariant(r.haveValidTickets(u, runners), "tickets hold", u) {
		return false
	}
	distinct := map[*Runner]bool{}
	need := map[*Runner]int{}
	for _, cand := range runners {
		need[cand.runner]++
		distinct[cand.runner] = true
	}
	for runner := range distinct {
		left := runner.available()
		for range need[runner] {
			left = left.Sub(u.spec().Allocation())
		}
		if !c.checkInvariant(left.CPU >= 0 && left.Memory >= 0 && left.Accelerators >= 0, "a runner is not overfilled", u) {
			return false
		}
		if !c.checkInvariant(need[runner] <= runner.startSlots(u), "a runner's backlog of starts is bounded", u) {
			return false
		}
		if limit := u.spec().MaxPerRunner; !c.checkInvariant(limit == 0 || r.countSameStep(u, runner)+need[runner] <= limit, "tasks are spread", u) {
			return false
		}
	}
	return true
}

// reportMissedGuarantees reports, once each, guaranteed jobs that have not started in
// time. This need not be a bug: a worker or the store may be unavailable.
func (c *Cell) reportMissedGuarantees() {
	for j := range c.guaranteedJobs() {
		late := c.wall.Sub(j.spec.Accepted) > c.settings.ReclaimDeadline
		if c.settings.ReclaimDeadline > 0 && late && !j.started && !j.guaranteeMissReported {
			j.guaranteeMissReported = true
			c.reportDecision(Decision{Job: j.spec.ID, Event: "guarantee", Outcome: "late", Reason: "not started within " + c.settings.ReclaimDeadline.Round(time.Millisecond).String(), AgeMS: c.jobAgeMS(j)})
		}
	}
}
