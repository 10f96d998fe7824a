package jaycell

import (
	"slices"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// stopOverhead is the cost of a stop in addition to unsaved work: the restart and
	// the restore of the checkpoint.
	stopOverhead = 300 * time.Millisecond
	// The preemption limits bound the work lost for a job without a guarantee, as a
	// factor of its own work: maxLossUrgent for an urgent job about to be late,
	// maxLossPatientUrgent for one with more slack than patientSlack, maxLossLate for
	// another job about to be late, and maxLossOverdue for a job that is late already.
	// Another job that can still wait preempts nothing.
	maxLossUrgent        = 2.0
	maxLossPatientUrgent = 0.5
	maxLossLate          = 0.5
	maxLossOverdue       = 0.1
	// patientSlack is the slack, beyond the time of a stop, above which resources for
	// an urgent job are likely to become free without preemption: half the run time of
	// a short urgent task.
	patientSlack = 1500 * time.Millisecond
	// preemptionSlack is the slack, beyond the time of a stop, above which a job that is
	// not urgent preempts nothing: resources are likely to become free without it.
	preemptionSlack = 3 * time.Second
)

// claimant is what decides which units may be preempted: whether they are preempted for a
// guaranteed job, else the priority of the job.
type claimant struct {
	guaranteed bool
	priority   int
	// patient reports whether runs that end soon are awaited.
	patient bool
}

func (r *round) claimantOf(u *unit) claimant {
	k := claimant{guaranteed: r.isGuaranteed(u.job), priority: u.job.spec.Policy.Priority, patient: r.cell.mayAwait(u)}
	if k.guaranteed {
		k.priority = 0
	}
	return k
}

// mayPreempt reports whether a claimant may have a unit stopped. Units of guaranteed jobs
// are never preempted; a job without a guarantee preempts only jobs of lower priority and
// no daemon tasks.
func (r *round) mayPreempt(k claimant, victim *unit) bool {
	if r.isGuaranteed(victim.job) {
		return false
	}
	return k.guaranteed || !victim.spec().Daemon && victim.job.spec.Policy.Priority > k.priority
}

// preemptionCosts returns the units that may be preempted for u with the cost of
// preempting each, in core-seconds of lost work. Those that end before they would be
// stopped cost nothing.
func (r *round) preemptionCosts(u *unit) map[*unit]float64 {
	k := r.claimantOf(u)
	costs := r.costs[k]
	if costs != nil {
		return costs
	}
	costs = map[*unit]float64{}
	r.costs[k] = costs
	interrupted := map[*unit]int{}
	for _, cand := range r.candidates {
		r.work += len(cand.runner.placements)
		for _, pl := range cand.runner.placements {
			victim := pl.unit
			if victim.phase != phaseActive || victim.stopping || k.guaranteed && !r.mayPreempt(k, victim) {
				continue
			}
			if k.patient && r.cell.endsBeforeStop(victim) {
				costs[victim] = 0
				continue
			}
			if !r.mayPreempt(k, victim) {
				continue
			}
			if _, known := costs[victim]; known || !r.cell.mayInterrupt(victim, interrupted) {
				continue
			}
			costs[victim] = r.cell.preemptionCost(victim)
		}
	}
	return costs
}

// forgetCosts updates the costs after units have been stopped. The stop of a daemon task
// may forbid that of others.
func (r *round) forgetCosts(stopped []*unit) {
	for _, u := range stopped {
		if u.spec().Daemon {
			clear(r.costs)
			return
		}
		for _, costs := range r.costs {
			delete(costs, u)
		}
	}
}

// preemptionCost returns the core-seconds of work lost by stopping a unit, plus the
// unit's estimated work if the stop would make its job late.
func (c *Cell) preemptionCost(u *unit) float64 {
	lost := stopOverhead
	if u.spec().Daemon {
		lost += daemonRestartTime
		return u.spec().Resources.CoreEquivalents() * float64(u.count) * lost.Seconds()
	}
	onTime := true
	elapsed := c.wall.Sub(u.job.spec.Accepted)
	for _, pl := range u.placements {
		if pl.confirmed && !u.spec().Checkpoint {
			lost = max(lost, c.now-pl.confirmedAt)
		}
		onTime = onTime && elapsed+c.remainingTime(pl) <= c.objective(u.job)
	}
	if onTime && c.slack(u) < c.settings.StopTimeout {
		lost += c.estimate(u.job, u.step)
	}
	return u.spec().Resources.CoreEquivalents() * float64(u.count) * lost.Seconds()
}

// worthwhile reports whether the preemption cost is within the limit for n members like
// those of u.
func (r *round) worthwhile(u *unit, n int, sel selection) bool {
	if r.isGuaranteed(u.job) || sel.cost == 0 {
		return true
	}
	limit := maxLossLate
	slack := r.cell.slack(u) - r.cell.settings.StopTimeout
	switch {
	case slack < 0:
		limit = maxLossOverdue
	case u.job.spec.Policy.Priority == 0 && slack > patientSlack:
		limit = maxLossPatientUrgent
	case u.job.spec.Policy.Priority == 0:
		limit = maxLossUrgent
	case slack > preemptionSlack:
		return false
	}
	own := u.spec().Resources.CoreEquivalents() * float64(n) * r.cell.estimate(u.job, u.step).Seconds()
	return sel.cost <= limit*own
}

// cheapestVictims returns the cheapest units to preempt on a runner so that the
// request fits, and their total cost. It picks greedily by cost and then drops
// units that turn out unnecessary. Units in stopped were chosen before: free includes
// their resources.
func cheapestVictims(request, free jaytask.Resources, cand *candidate, costs map[*unit]float64, stopped map[*unit]bool) ([]*unit, float64, bool) {
	type victim struct {
		unit      *unit
		resources jaytask.Resources
	}
	var all []victim
	index := map[*unit]int{}
	for _, pl := range cand.sortedPlacements() {
		if _, preemptible := costs[pl.unit]; !preemptible || stopped[pl.unit] {
			continue
		}
		i, known := index[pl.unit]
		if !known {
			i = len(all)
			index[pl.unit] = i
			all = append(all, victim{unit: pl.unit})
		}
		all[i].resources = all[i].resources.Add(pl.resources)
	}
	sort.SliceStable(all, func(i, j int) bool { return costs[all[i].unit] < costs[all[j].unit] })
	var chosen []victim
	for _, v := range all {
		if request.FitsIn(free) {
			break
		}
		chosen = append(chosen, v)
		free = free.Add(v.resources)
	}
	if !request.FitsIn(free) {
		return nil, 0, false
	}
	var units []*unit
	var cost float64
	for i := len(chosen) - 1; i >= 0; i-- {
		if request.FitsIn(free.Sub(chosen[i].resources)) {
			free = free.Sub(chosen[i].resources)
			continue
		}
		units = append(units, chosen[i].unit)
		cost += costs[chosen[i].unit]
	}
	return units, cost, true
}

// preempt stops the victims, except those that end soon, and claims their resources for u.
func (r *round) preempt(u *unit, sel selection) {
	c := r.cell
	patient := c.mayAwait(u)
	var stopped []*unit
	for _, victim := range sel.victims {
		if patient && c.endsBeforeStop(victim) {
			c.awaitEnd(u, victim)
			continue
		}
		c.reportDecision(Decision{Job: victim.job.spec.ID, Event: "preempt", Outcome: "stopping", Reason: "room for " + u.key(), AgeMS: c.jobAgeMS(victim.job)})
		c.stopUnit(victim, "room for "+u.key())
		stopped = append(stopped, victim)
	}
	r.forgetCosts(stopped)
	if len(stopped) > 0 {
		u.awaited = slices.DeleteFunc(u.awaited, func(a awaitedRun) bool { return !slices.Contains(sel.victims, a.unit) })
	}
	u.claims, u.claimedAt, u.yields = map[string]jaytask.Resources{}, c.now, len(stopped) == 0
	c.claimants[u] = true
	for _, cand := range sel.runners {
		request := u.spec().Allocation()
		u.claims[cand.runner.id] = u.claims[cand.runner.id].Add(request)
		cand.free = cand.free.Sub(request)
	}
}
