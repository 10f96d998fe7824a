package jaycell

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// stopBase is the work that a stop costs besides what is not saved: the
	// restore and the second start.
	stopOverhead = 300 * time.Millisecond
	// displaceUrgent, displacePatient, displaceOther and displaceEarly bound the
	// unsaved work that is thrown away for a job with no guarantee, as a share of the
	// job's own work: for an urgent job that would be late otherwise, for one that has
	// more time than urgentPatience, for another job that would be late, and for one
	// that can still wait or is late already.
	maxLossUrgent        = 2.0
	maxLossPatientUrgent = 0.5
	maxLossLate          = 0.5
	maxLossNotLate       = 0.1
	// urgentPatience is the time to spare in which room for an urgent job may be
	// expected to become free by itself: half of a short urgent task.
	patientSlack = 1500 * time.Millisecond
	// waitBeforeStops is how much more than the time of a stop must be left before
	// a job stops others: room may become free by itself.
	preemptionSlack = 600 * time.Millisecond
)

// preemptible returns the units that may be stopped for u with what stopping
// them costs, in core-seconds of unsaved work.
func (r *round) preemptionCosts(u *unit) map[*unit]float64 {
	costs := map[*unit]float64{}
	guaranteed := r.isGuaranteed(u.job)
	interrupted := map[*unit]int{}
	for _, v := range r.candidates {
		for _, pl := range v.runner.placements {
			w := pl.unit
			if w.phase != phaseActive || w.stopping || w.job == u.job || w.spec().Daemon && !guaranteed {
				continue
			}
			if r.isGuaranteed(w.job) || !guaranteed && w.job.spec.Policy.Priority <= u.job.spec.Policy.Priority {
				continue
			}
			if _, known := costs[w]; known || !r.cell.mayInterrupt(w, interrupted) {
				continue
			}
			costs[w] = r.cell.preemptionCost(w)
		}
	}
	return costs
}

// stopCost returns the core-seconds of work that are lost when a unit stops, and
// as much again as the unit's own work when it would no longer be on time.
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
	if onTime && c.slack(u) < c.settings.MaxStopTime {
		lost += c.estimate(u.job, u.step)
	}
	return u.spec().Resources.CoreEquivalents() * float64(u.count) * lost.Seconds()
}

// worthwhile weighs the work that is thrown away against the unit's own.
func (r *round) worthwhile(u *unit, n int, sel selection) bool {
	if r.isGuaranteed(u.job) {
		return true
	}
	limit := maxLossLate
	slack := r.cell.slack(u) - r.cell.settings.MaxStopTime
	switch {
	case slack < 0:
		limit = maxLossNotLate
	case u.job.spec.Policy.Priority == 0 && slack > patientSlack:
		limit = maxLossPatientUrgent
	case u.job.spec.Policy.Priority == 0:
		limit = maxLossUrgent
	case slack > preemptionSlack:
		limit = maxLossNotLate
	}
	own := u.spec().Resources.CoreEquivalents() * float64(n) * r.cell.estimate(u.job, u.step).Seconds()
	return sel.cost <= limit*own
}

// makeFit returns the cheapest units whose stop makes the room fit.
func cheapestVictims(request, free jaytask.Resources, runner *Runner, costs map[*unit]float64, stopped map[*unit]bool) ([]*unit, float64, bool) {
	type victim struct {
		unit      *unit
		resources jaytask.Resources
	}
	var all []victim
	index := map[*unit]int{}
	for _, pl := range sortedPlacements(runner) {
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

// makeRoom stops the units in the way and keeps their room for u.
func (r *round) preempt(u *unit, sel selection) {
	for _, w := range sel.victims {
		r.cell.reportDecision(Decision{Job: w.job.spec.ID, Event: "preempt", Outcome: "stopping", Reason: "room for " + u.key(), AgeMS: r.cell.jobAgeMS(w.job)})
		r.cell.stopUnit(w, "room for "+u.key())
	}
	u.claims, u.claimedAt = map[string]jaytask.Resources{}, r.cell.now
	for _, v := range sel.runners {
		request := u.spec().Allocation()
		u.claims[v.runner.id] = u.claims[v.runner.id].Add(request)
		v.free = v.free.Sub(request)
	}
}
