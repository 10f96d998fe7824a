package jaycell

import "time"

// holds reports a broken invariant and whether the condition holds. The rules that
// it guards are kept by the code around it; a report is a fault of this program.
func (c *Cell) holds(condition bool, what string, u *unit) bool {
	if !condition && c.settings.OnInvariantViolation != nil {
		c.settings.OnInvariantViolation(what, Decision{Job: u.job.spec.ID, Task: u.key(), Run: u.run, Event: "invariant", Outcome: what, AgeMS: c.ageOf(u.job)})
	}
	return condition
}

// mayStart checks a start that has been decided.
func (r *round) mayStart(u *unit, runners []*view) bool {
	c := r.cell
	if !c.holds(len(runners) == u.count, "a unit starts whole", u) ||
		!c.holds(u.phase == phaseWaiting && len(u.live) == 0, "one run at a time", u) ||
		!c.holds(u.job.ready(u.occurrence, u.step), "earlier steps are done", u) ||
		!c.holds(!u.exhausted(), "attempts are left", u) ||
		!c.holds(!u.job.canceled && !u.job.state.Ended(), "the job is not over", u) {
		return false
	}
	if !c.holds(r.ticketed(u, runners), "tickets hold", u) {
		return false
	}
	free := map[*Runner]bool{}
	need := map[*Runner]int{}
	for _, v := range runners {
		need[v.runner]++
		free[v.runner] = true
	}
	for n := range free {
		room := n.free()
		for range need[n] {
			room = room.Sub(u.spec().Allocation())
		}
		if !c.holds(room.CPU >= 0 && room.Memory >= 0 && room.Accelerators >= 0, "a runner is not overfilled", u) {
			return false
		}
		if most := u.spec().MaxPerRunner; !c.holds(most == 0 || r.sameStep(u, n)+need[n] <= most, "tasks are spread", u) {
			return false
		}
	}
	return true
}

// watchGuarantees reports, once each, guaranteed jobs that have not begun in time.
// That is no fault by itself: a worker or the store may be away.
func (c *Cell) watchGuarantees() {
	for j := range c.guaranteedJobs() {
		late := c.wall.Sub(j.spec.Accepted) > c.settings.ReclaimTimeout
		if c.settings.ReclaimTimeout > 0 && late && !j.begun && !j.lateGuarantee {
			j.lateGuarantee = true
			c.explain(Decision{Job: j.spec.ID, Event: "guarantee", Outcome: "late", Reason: "not begun within " + c.settings.ReclaimTimeout.Round(time.Millisecond).String(), AgeMS: c.ageOf(j)})
		}
	}
}
