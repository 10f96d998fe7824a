package jaycell

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// stopBase is the work that a stop costs besides what is not saved: the
	// restore and the second start.
	stopBase = 300 * time.Millisecond
	// displaceUrgent, displacePatient, displaceOther and displaceEarly bound the
	// unsaved work that is thrown away for a job with no guarantee, as a share of the
	// job's own work: for an urgent job that would be late otherwise, for one that has
	// more time than urgentPatience, for another job that would be late, and for one
	// that can still wait or is late already.
	displaceUrgent  = 2.0
	displacePatient = 0.5
	displaceOther   = 0.5
	displaceEarly   = 0.1
	// urgentPatience is the time to spare in which room for an urgent job may be
	// expected to become free by itself: half of a short urgent task.
	urgentPatience = 1500 * time.Millisecond
	// waitBeforeStops is how much more than the time of a stop must be left before
	// a job stops others: room may become free by itself.
	waitBeforeStops = 600 * time.Millisecond
)

// preemptible returns the units that may be stopped for u with what stopping
// them costs, in core-seconds of unsaved work.
func (r *round) preemptible(u *unit) map[*unit]float64 {
	costs := map[*unit]float64{}
	guaranteed := r.isGuaranteed(u.job)
	spared := map[*unit]int{}
	for _, v := range r.views {
		for _, h := range v.runner.holds {
			w := h.unit
			if w.phase != phaseActive || w.stopping || w.job == u.job || w.spec().Daemon && !guaranteed {
				continue
			}
			if r.isGuaranteed(w.job) || !guaranteed && w.job.spec.Policy.Priority <= u.job.spec.Policy.Priority {
				continue
			}
			if _, known := costs[w]; known || !r.cell.maySpare(w, spared) {
				continue
			}
			costs[w] = r.cell.stopCost(w)
		}
	}
	return costs
}

// stopCost returns the core-seconds of work that are lost when a unit stops, and
// as much again as the unit's own work when it would no longer be on time.
func (c *Cell) stopCost(u *unit) float64 {
	lost := stopBase
	if u.spec().Daemon {
		lost += daemonBreak
		return u.spec().Resources.CoreEquivalents() * float64(u.count) * lost.Seconds()
	}
	onTime := true
	since := c.wall.Sub(u.job.spec.Accepted)
	for _, h := range u.live {
		if h.confirmed && !u.spec().Checkpoint {
			lost = max(lost, c.now-h.confirmedAt)
		}
		onTime = onTime && since+c.remaining(h) <= c.objective(u.job)
	}
	if onTime && c.slack(u) < c.settings.MaxStopTime {
		lost += c.estimate(u.job, u.step)
	}
	return u.spec().Resources.CoreEquivalents() * float64(u.count) * lost.Seconds()
}

// worthwhile weighs the work that is thrown away against the unit's own.
func (r *round) worthwhile(u *unit, n int, ch choice) bool {
	if r.isGuaranteed(u.job) {
		return true
	}
	share := displaceOther
	slack := r.cell.slack(u) - r.cell.settings.MaxStopTime
	switch {
	case slack < 0:
		share = displaceEarly
	case u.job.spec.Policy.Priority == 0 && slack > urgentPatience:
		share = displacePatient
	case u.job.spec.Policy.Priority == 0:
		share = displaceUrgent
	case slack > waitBeforeStops:
		share = displaceEarly
	}
	own := u.spec().Resources.CoreEquivalents() * float64(n) * r.cell.estimate(u.job, u.step).Seconds()
	return ch.cost <= share*own
}

// makeFit returns the cheapest units whose stop makes the room fit.
func makeFit(room, free jaytask.Resources, n *Runner, costs map[*unit]float64, stopped map[*unit]bool) ([]*unit, float64, bool) {
	type victim struct {
		unit *unit
		room jaytask.Resources
	}
	var all []victim
	index := map[*unit]int{}
	for _, h := range sortedHolds(n) {
		if _, may := costs[h.unit]; !may || stopped[h.unit] {
			continue
		}
		i, known := index[h.unit]
		if !known {
			i = len(all)
			index[h.unit] = i
			all = append(all, victim{unit: h.unit})
		}
		all[i].room = all[i].room.Add(h.room)
	}
	sort.SliceStable(all, func(i, j int) bool { return costs[all[i].unit] < costs[all[j].unit] })
	var chosen []victim
	for _, v := range all {
		if room.FitsIn(free) {
			break
		}
		chosen = append(chosen, v)
		free = free.Add(v.room)
	}
	if !room.FitsIn(free) {
		return nil, 0, false
	}
	var units []*unit
	var cost float64
	for i := len(chosen) - 1; i >= 0; i-- {
		if room.FitsIn(free.Sub(chosen[i].room)) {
			free = free.Sub(chosen[i].room)
			continue
		}
		units = append(units, chosen[i].unit)
		cost += costs[chosen[i].unit]
	}
	return units, cost, true
}

// makeRoom stops the units in the way and keeps their room for u.
func (r *round) makeRoom(u *unit, ch choice) {
	for _, w := range ch.victims {
		r.cell.explain(Decision{Job: w.job.spec.ID, Event: "preempt", Outcome: "stopping", Reason: "room for " + u.key(), AgeMS: r.cell.ageOf(w.job)})
		r.cell.stop(w, "room for "+u.key())
	}
	u.claims, u.claimedAt = map[string]jaytask.Resources{}, r.cell.now
	for _, v := range ch.runners {
		room := u.spec().Allocation()
		u.claims[v.runner.id] = u.claims[v.runner.id].Add(room)
		v.free = v.free.Sub(room)
	}
}
