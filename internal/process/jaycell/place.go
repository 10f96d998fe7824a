package jaycell

import (
	"slices"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// claimSlack is how long past a runner's longest stop room is kept for the
	// unit that it was made for.
	claimGrace = 1500 * time.Millisecond
)

// view is a runner's room during one round of placing.
type candidate struct {
	runner *Runner
	free   jaytask.Resources
	rack   string
}

// round is the working state of one round of placing.
type round struct {
	cell       *Cell
	candidates []*candidate
	racks      []string
	// guaranteed holds the jobs that their workspace's guarantee covers.
	guaranteed map[*job]bool
	// spare is how many free accelerators are not kept for urgent work.
	unreserved int
	// seen holds the units whose turn has been.
	tried map[*unit]bool
	// blocked remembers shapes that found no room, so that equal ones are skipped.
	unplaceable map[shape]bool
}

// shape names units that are placed alike.
type shape struct {
	service      string
	resources    jaytask.Resources
	count        int
	sameRack     bool
	label        string
	dataRack     string
	maxPerRunner int
	priority     int
	guaranteed   bool
}

// place starts what fits, the most urgent first.
func (c *Cell) schedule() {
	c.queries = nil
	waiting := c.startableUnits()
	if len(waiting) == 0 {
		return
	}
	r := c.newRound()
	for _, u := range r.sortByUrgency(waiting) {
		r.scheduleStep(u)
	}
}

// placeStep starts what may start of the step of a unit, together where parts are
// of no use. A step whose turn has been is passed over.
func (r *round) scheduleStep(u *unit) {
	if r.tried[u] {
		return
	}
	step := r.startableOf(u)
	for _, t := range step {
		r.tried[t] = true
	}
	step = step[:r.startLimit(u, len(step))]
	if len(step) == 0 {
		return
	}
	if len(step) > 1 && r.allOrNothing(u) && r.poolHolds(u, len(step)) {
		r.placeUnits(step)
		return
	}
	for _, t := range step {
		r.placeUnits([]*unit{t})
	}
}

// sorted returns the units, the most urgent first.
func (r *round) sortByUrgency(units []*unit) []*unit {
	all := make([]rankedUnit, len(units))
	for i, u := range units {
		all[i] = rankedUnit{unit: u, guaranteed: r.isGuaranteed(u.job), tier: r.cell.tier(u)}
	}
	slices.SortFunc(all, rankedUnit.compare)
	for i, x := range all {
		units[i] = x.unit
	}
	return units
}

// together reports whether the tasks of a unit's step start all at once or not at
// all although they are no gang: urgent work that can be on time gains nothing
// from a part of its tasks, and a burst would be served in parts only.
func (r *round) allOrNothing(u *unit) bool {
	if u.spec().Gang || u.spec().Daemon || u.job.spec.Policy.Priority != 0 {
		return false
	}
	return r.isGuaranteed(u.job) || r.cell.slack(u) >= 0
}

// waitingOf returns the units of the same step that wait and may be tried.
func (r *round) startableOf(u *unit) []*unit {
	var all []*unit
	for _, w := range u.job.unitTable[u.occurrence][u.step] {
		if w != nil && w.startable(r.cell.now) {
			all = append(all, w)
		}
	}
	return all
}

// everTogether reports whether the empty pool could hold so many units at once.
func (r *round) poolHolds(u *unit, n int) bool {
	slots := 0
	for _, v := range r.eligible(u, "") {
		slots += capacityFor(v.runner.info.Capacity, u, n)
	}
	return slots >= n
}

// waiting returns the units whose turn has come.
func (c *Cell) startableUnits() []*unit {
	var all []*unit
	for _, j := range c.jobs {
		if j.state.Ended() || j.canceled {
			continue
		}
		j.createReadyUnits(c.wall.Add(-dueSlack))
		for _, u := range j.units {
			if u.startable(c.now) {
				all = append(all, u)
			}
		}
	}
	return all
}

func (c *Cell) newRound() *round {
	r := &round{cell: c, guaranteed: c.guaranteedJobs(), tried: map[*unit]bool{}, unplaceable: map[shape]bool{}}
	claimed := c.claimedResources()
	racks := map[string]bool{}
	for _, runner := range c.sortedRunners() {
		if !runner.acceptsWork(c.now) {
			continue
		}
		v := &candidate{runner: runner, free: runner.available().Sub(claimed[runner.id]), rack: runner.rack()}
		r.candidates = append(r.candidates, v)
		if !racks[v.rack] {
			racks[v.rack] = true
			r.racks = append(r.racks, v.rack)
		}
	}
	sort.Strings(r.racks)
	allocated, wanted := c.urgentAccelerators()
	c.demand.record(c.now, wanted)
	total, free := 0, 0
	for _, v := range r.candidates {
		total += v.runner.info.Capacity.Accelerators
		free += max(v.free.Accelerators, 0)
	}
	r.unreserved = free - c.demand.reserve(allocated, total)
	return r
}

// claimed sums the room that stops are making for units. Claims that have not
// led to a start in time are given up.
func (c *Cell) claimedResources() map[string]jaytask.Resources {
	sum := map[string]jaytask.Resources{}
	for _, j := range c.jobs {
		for _, u := range j.units {
			if u.claims == nil {
				continue
			}
			if u.phase != phaseWaiting || c.now-u.claimedAt > c.settings.MaxStopTime+claimGrace {
				u.claims = nil
				continue
			}
			for id, room := range u.claims {
				sum[id] = sum[id].Add(room)
			}
		}
	}
	return sum
}

func (r *round) shapeOf(u *unit) shape {
	s := u.spec()
	return shape{service: u.job.spec.Policy.Service, resources: s.Allocation(), count: u.count, sameRack: s.SameRack, label: s.Label, dataRack: s.DataRack, maxPerRunner: s.MaxPerRunner, priority: u.job.spec.Policy.Priority, guaranteed: r.isGuaranteed(u.job)}
}

// try starts like units together, or makes room for them, or leaves them waiting.
func (r *round) placeUnits(units []*unit) {
	u := units[0]
	n := len(units) * u.count
	k := r.shapeOf(u)
	k.count = n
	if !r.mayUseReserve(u) {
		return
	}
	cacheable := u.claims == nil && len(u.avoidUntil) == 0 && u.spec().MaxPerRunner == 0 && u.spec().DataRack == "" && r.cell.adviceFor(u) == nil
	if cacheable && r.unplaceable[k] {
		return
	}
	r.releaseClaims(u)
	sel, ok := r.selectRunners(u, n, nil)
	if !ok && u.claims == nil {
		sel, ok = r.selectRunners(u, n, r.preemptionCosts(u))
		if ok && !r.worthwhile(u, n, sel) {
			ok = false
		}
	}
	switch {
	case !ok:
		r.queryUnknownRunners(u)
		r.reapplyClaims(u)
		if cacheable {
			r.unplaceable[k] = true
		}
	case len(sel.victims) == 0 && !r.haveValidTickets(u, sel.runners):
		r.reapplyClaims(u)
	case len(sel.victims) == 0:
		u.claims = nil
		for i, t := range units {
			r.startRun(t, sel.runners[i*t.count:(i+1)*t.count])
		}
	default:
		r.preempt(u, sel)
	}
}

// release gives a unit's own claims back to the views for the time of its try.
func (r *round) releaseClaims(u *unit) { r.adjustClaims(u, 1) }

// reclaim takes them again when the unit goes on waiting.
func (r *round) reapplyClaims(u *unit) { r.adjustClaims(u, -1) }

func (r *round) adjustClaims(u *unit, sign int) {
	for _, v := range r.candidates {
		if room, ok := u.claims[v.runner.id]; ok {
			if sign > 0 {
				v.free = v.free.Add(room)
			} else {
				v.free = v.free.Sub(room)
			}
		}
	}
}

// start records a new run of a unit; its orders follow once that is stored.
func (r *round) startRun(u *unit, runners []*candidate) {
	c := r.cell
	if !r.checkStart(u, runners) {
		return
	}
	u.claims = nil
	u.phase, u.stopping = phaseActive, false
	u.run++
	u.reason = ""
	for i, v := range runners {
		pl := newPlacement(u, u.firstIndex+i, v.runner, c.now)
		u.placements = append(u.placements, pl)
		v.runner.addPlacement(pl)
		v.free = v.free.Sub(pl.resources)
		r.unreserved -= pl.resources.Accelerators
		c.pendingStarts = append(c.pendingStarts, pl)
		c.reportDecision(Decision{Job: u.job.spec.ID, Task: pl.task(), Run: u.run, Runner: v.runner.id, Event: "place", Outcome: "start", Reason: "term and room", AgeMS: c.jobAgeMS(u.job)})
	}
	c.dirtyUnits[u] = true
	if !u.job.started {
		u.job.started, u.job.state = true, jaytask.Running
		c.jobRecords = append(c.jobRecords, Record{Key: StateKey(u.job.spec.ID), Value: EncodeState(jaytask.Running, c.wall)})
	}
}
