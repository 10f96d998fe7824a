package jaycell

import (
	"slices"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// A unit may wait although it fits somewhere: for one rack or the rack of its data, for runners that
// are not slow, on probation, avoided or the ones where it has crashed, for headroom or the reserve of
// more urgent work, for room for the other tasks of its step. What it waits for may be held by work
// that never ends. So all these preferences give way to idle room: the runners hold the unit
// several times over and little of the service is in use. Preferences of place give way in the order
// of idleScopes.

const (
	// maxIdleWait is how long a unit waits while there is idle room for it. Users count 3 s without a
	// start; the rest is for a round, the store and the order.
	maxIdleWait = 2 * time.Second
	// maxClaimedWait is how long a unit waits beside idle room that others have claimed for some of
	// the time and not taken.
	maxClaimedWait = 2500 * time.Millisecond
	// idleRoomFactor is how many times over idle room holds a unit.
	idleRoomFactor = 2
	// idleUseShare is the share of a service's capacity from which on none of it is idle.
	idleUseShare = 0.5
)

// idleWait tells since when there is idle room for the units of a step that wait, of which the
// first one counts. Each daemon task counts by itself.
type idleWait struct {
	// since is since when there is room that nobody has claimed, claimedSince the same with what
	// others have claimed; zero if there is none.
	since, claimedSince time.Duration
}

// idleWaitOf returns the idle wait of a unit.
func (j *job) idleWaitOf(u *unit) *idleWait {
	if u.spec().Daemon {
		return &u.idle
	}
	k := [2]int{u.occurrence, u.step}
	if j.idle[k] == nil {
		j.idle[k] = &idleWait{}
	}
	return j.idle[k]
}

// startStepInIdleRoom starts units of a step that have waited beside idle room, of a daemon step each
// by itself. A job of which something runs has time for the others, and a service that is in use has
// none. A daemon task that does not run is missed all the same.
func (r *round) startStepInIdleRoom(s *waitingStep) {
	r.work++
	clear(r.stepSlots)
	if s.job.spec.Steps[s.step].Daemon {
		for _, u := range s.sortedByKey() {
			r.startInIdleRoom(u)
		}
		return
	}
	if !slices.ContainsFunc(s.units, func(u *unit) bool { return u.phase == phaseWaiting }) {
		return
	}
	if r.isActive(s.job) || !r.isIdle(s.job.spec.Policy.Service) {
		w := s.job.idleWaitOf(s.units[0])
		w.since, w.claimedSince = 0, 0
		return
	}
	r.startInIdleRoom(s.firstByKey())
}

// startInIdleRoom starts a unit that has waited beside idle room.
func (r *round) startInIdleRoom(u *unit) {
	if u.phase != phaseWaiting || u.job.state.Ended() {
		return
	}
	c, w := r.cell, u.job.idleWaitOf(u)
	candidates := r.anywhere(u)
	r.noteRoom(&w.since, u, candidates, false)
	r.noteRoom(&w.claimedSince, u, candidates, true)
	switch {
	case w.claimedSince > 0 && c.now-w.claimedSince >= maxClaimedWait && r.startAnywhere(u, true):
	case w.since > 0 && c.now-w.since >= maxIdleWait && r.startAnywhere(u, false):
	default:
		return
	}
	w.since, w.claimedSince, r.active[u.job] = 0, 0, true
	c.reportDecision(Decision{Job: u.job.spec.ID, Task: u.key(), Run: u.run, Event: "idle_room", Outcome: "start", Reason: "has waited beside idle room", AgeMS: c.jobAgeMS(u.job)})
}

// isActive reports whether something of a job has been placed.
func (r *round) isActive(j *job) bool {
	active, known := r.active[j]
	if !known {
		j.eachStep(func(_ stepID, units []*unit) { active = active || countActive(units) > 0 })
		r.active[j] = active
	}
	return active
}

// noteRoom keeps since when the candidates that may run the unit hold it several times over.
func (r *round) noteRoom(since *time.Duration, u *unit, candidates []*candidate, ignoreClaims bool) {
	slots, need := 0, idleRoomFactor*u.count
	for _, cand := range candidates {
		slots += capacityFor(r.idleRoom(u, cand, ignoreClaims), u, need)
		if slots >= need {
			if *since == 0 {
				*since = r.cell.now
			}
			return
		}
	}
	*since = 0
}

// idleRoom returns what is free on a candidate for a unit, beside the claims of others or with them.
func (r *round) idleRoom(u *unit, cand *candidate, ignoreClaims bool) jaytask.Resources {
	if ignoreClaims {
		return cand.runner.available()
	}
	return cand.free.Add(u.claims[cand.runner.id])
}

// isIdle reports whether less than idleUseShare of a service's capacity is in use.
func (r *round) isIdle(service string) bool {
	idle, known := r.idle[service]
	if known {
		return idle
	}
	var capacity, used jaytask.Resources
	for _, cand := range r.candidates {
		if cand.runner.info.Service == service {
			capacity = capacity.Add(cand.runner.info.Capacity)
			used = used.Add(cand.runner.info.Capacity.Sub(cand.runner.available()))
		}
	}
	idle = used.CoreEquivalents() < idleUseShare*capacity.CoreEquivalents()
	r.idle[service] = idle
	return idle
}

// anywhere returns the candidates that may run a unit, whatever it would rather run on. Runners on
// probation fail what they start.
func (r *round) anywhere(u *unit) []*candidate {
	var all []*candidate
	advice := r.cell.adviceFor(u)
	r.work += len(r.candidates)
	for _, cand := range r.candidates {
		if r.cell.now >= cand.runner.avoidUntil && cand.runner.eligibleFor(u) && advice.allows(cand.runner.id) && r.keepsApart(u, cand) {
			all = append(all, cand)
		}
	}
	return all
}

// idleScopes returns the candidates for a unit that starts in idle room: those of any rack that it
// does not avoid, then those where it has not crashed, then all.
func (r *round) idleScopes(u *unit) [][]*candidate {
	all := r.anywhere(u)
	var uncrashed []*candidate
	for _, cand := range all {
		if !u.hasCrashedOn(cand.runner.node) {
			uncrashed = append(uncrashed, cand)
		}
	}
	return [][]*candidate{r.eligible(u, ""), uncrashed, all}
}

// startAnywhere starts a unit in the first scope that holds it, without preemption, and reports
// whether it has. Claims of other units are respected unless ignoreClaims is set.
func (r *round) startAnywhere(u *unit, ignoreClaims bool) bool {
	sel, ok := r.selectAnywhere(u, ignoreClaims)
	if !ok || !r.haveValidTickets(u, sel.runners) {
		return false
	}
	if !u.isSuspect() {
		r.startRun(u, sel.runners)
	} else if r.mayAddTrials(u, sel.runners) {
		r.startTrial(u, sel.runners)
	}
	return u.phase == phaseActive
}

// selectAnywhere selects the runners for startAnywhere.
func (r *round) selectAnywhere(u *unit, ignoreClaims bool) (selection, bool) {
	free := make([]jaytask.Resources, len(r.candidates))
	for i, cand := range r.candidates {
		free[i] = cand.free
		cand.free = r.idleRoom(u, cand, ignoreClaims)
	}
	defer func() {
		for i, cand := range r.candidates {
			cand.free = free[i]
		}
	}()
	for _, candidates := range r.idleScopes(u) {
		if sel, ok := r.assign(u, u.count, candidates, nil); ok {
			return sel, true
		}
	}
	return selection{}, false
}
