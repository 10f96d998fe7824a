package jaycell

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// claimGrace is how long beyond Settings.StopTimeout preempted resources stay
	// reserved for the unit that they were freed for.
	claimGrace = 1500 * time.Millisecond
)

// candidate is a runner with its free resources during one scheduling round.
type candidate struct {
	runner *Runner
	free   jaytask.Resources
	rack   string
	// tried holds the suspects that are being tried on the runner.
	tried []*unit
	// placements caches the runner's placements by name.
	placements []*placement
}

// sortedPlacements returns the runner's placements, sorted by name.
func (cand *candidate) sortedPlacements() []*placement {
	if cand.placements == nil {
		cand.placements = sortedPlacements(cand.runner)
	}
	return cand.placements
}

// round is the working state of one scheduling round.
type round struct {
	cell       *Cell
	candidates []*candidate
	// racks are the names of the racks, byRack their candidates.
	racks  []string
	byRack map[string][]*candidate
	// guaranteed holds the jobs covered by the guarantee of their workspace.
	guaranteed map[*job]bool
	// unreserved is the number of free accelerators not reserved for urgent work, by
	// service.
	unreserved map[string]int
	// patientRoom holds the free resources beside the headroom, by level.
	patientRoom map[level]jaytask.Resources
	// stepSlots holds by candidate how many starts are left to the step that is being tried.
	stepSlots map[*candidate]int
	// slotsShort is set if a selection has passed over a runner for want of start slots.
	slotsShort bool
	// work is the work done, as bounded by maxRoundWork.
	work int
	// costs caches preemptionCosts.
	costs map[claimant]map[*unit]float64
	// idle caches isIdle by service, active isActive by job.
	idle   map[string]bool
	active map[*job]bool
	// unplaceable caches the shapes that did not fit, so that equal ones are skipped.
	unplaceable map[shape]bool
}

// shape identifies units with the same placement requirements.
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
	gang         bool
}

// schedule starts the units that fit, the most urgent first.
func (c *Cell) schedule() {
	c.queries, c.waitingForHeadroom, c.undecided = nil, 0, 0
	steps := c.waitingSteps()
	if len(steps) == 0 {
		clear(c.triedSteps)
		return
	}
	r := c.newRound()
	r.stopOverdueRuns()
	r.sortByUrgency(steps)
	r.tryAll(steps)
	r.startAllInIdleRoom(steps)
	c.lastWork = r.work
}

// scheduleStep tries to start the units of a step, together if they must start all or
// none.
func (r *round) scheduleStep(s *waitingStep) {
	s.tried = true
	r.work++
	clear(r.stepSlots)
	if s.job.isOver() {
		return
	}
	units := r.trySuspects(s.units)
	if len(units) == 0 {
		return
	}
	u := units[0]
	units = units[:r.startLimit(u, len(units))]
	if len(units) > 1 && r.allOrNothing(u) && r.poolHolds(u, len(units)) {
		r.placeUnits(units)
		return
	}
	blocked := false
	for i, t := range units {
		switch plain := t.isPlain(); {
		case s.job.isOver() || i > 0 && r.isSpent(maxRoundWork):
			return
		case blocked && plain:
			// It would wait for the same.
		default:
			fitting := r.placeUnits(units[i : i+1])
			blocked = blocked || plain && !fitting
		}
	}
}

// isPlain reports whether nothing but its step decides where the unit may run.
func (u *unit) isPlain() bool {
	return u.claims == nil && len(u.avoidUntil) == 0 && u.awaitingSince == 0
}

// sortByUrgency sorts steps, the most urgent first.
func (r *round) sortByUrgency(steps []*waitingStep) {
	for _, s := range steps {
		s.guaranteed, s.tier = r.isGuaranteed(s.job), r.cell.tier(s.units[0])
	}
	slices.SortFunc(steps, (*waitingStep).compare)
}

// allOrNothing reports whether the tasks of u's step start all or none although they
// are not a gang. Urgent work that can be on time gains nothing from a part of its
// tasks, and in a burst every job would get only a part.
func (r *round) allOrNothing(u *unit) bool {
	if u.spec().Gang || u.spec().Daemon || u.job.spec.Policy.Priority != 0 {
		return false
	}
	return r.isGuaranteed(u.job) || r.cell.slack(u) >= 0
}

// poolHolds reports whether the empty pool could hold n tasks like u's at once, and start them now.
func (r *round) poolHolds(u *unit, n int) bool {
	slots := 0
	for _, cand := range r.eligible(u, "") {
		slots += min(capacityFor(cand.runner.info.Capacity, u, n), r.startSlots(u, cand))
	}
	return slots >= n
}

func (c *Cell) newRound() *round {
	r := &round{cell: c, guaranteed: c.guaranteedJobs(), byRack: map[string][]*candidate{}, unreserved: map[string]int{}, stepSlots: map[*candidate]int{}, patientRoom: map[level]jaytask.Resources{}, costs: map[claimant]map[*unit]float64{}, unplaceable: map[shape]bool{}, idle: map[string]bool{}, active: map[*job]bool{}}
	claimed := c.claimedResources()
	for _, runner := range c.sortedRunners() {
		if !runner.acceptsWork(c.now) {
			continue
		}
		cand := &candidate{runner: runner, free: runner.available().Sub(claimed[runner.id]), rack: runner.rack(), tried: runner.triedUnits()}
		r.candidates = append(r.candidates, cand)
		if r.byRack[cand.rack] == nil {
			r.racks = append(r.racks, cand.rack)
		}
		r.byRack[cand.rack] = append(r.byRack[cand.rack], cand)
	}
	sort.Strings(r.racks)
	r.reserveForUrgent()
	return r
}

// claimedResources sums the claims of all units by runner. Claims that did not lead
// to a start in time are dropped.
func (c *Cell) claimedResources() map[string]jaytask.Resources {
	sum := map[string]jaytask.Resources{}
	for u := range c.claimants {
		if u.phase != phaseWaiting || u.yields || c.now-u.claimedAt > c.settings.StopTimeout+claimGrace {
			u.claims = nil
		}
		if u.claims == nil {
			delete(c.claimants, u)
		}
		for id, claim := range u.claims {
			sum[id] = sum[id].Add(claim)
		}
	}
	return sum
}

// sortedClaimants returns the units with claims, by key.
func (c *Cell) sortedClaimants() []*unit {
	var all []*unit
	for u := range c.claimants {
		if u.claims != nil {
			all = append(all, u)
		}
	}
	sortByKey(all)
	return all
}

func (r *round) shapeOf(u *unit) shape {
	s := u.spec()
	return shape{service: u.job.spec.Policy.Service, resources: s.Allocation(), count: u.count, sameRack: s.SameRack, label: s.Label, dataRack: s.DataRack, maxPerRunner: s.MaxPerRunner, priority: u.job.spec.Policy.Priority, guaranteed: r.isGuaranteed(u.job), gang: s.Gang}
}

// placeUnits starts identical units together, preempts others for them, or leaves
// them waiting for resources or tickets. It reports whether plain units of the same step may
// fare better in this round.
func (r *round) placeUnits(units []*unit) bool {
	u := units[0]
	n := len(units) * u.count
	k := r.shapeOf(u)
	k.count = n
	if !r.mayUseReserve(u) {
		return false
	}
	if !r.mayUseHeadroom(u) {
		r.cell.waitingForHeadroom += len(units)
		return false
	}
	// Failures for reasons of this unit, such as avoided runners, are not cached.
	cacheable := u.claims == nil && len(u.avoidUntil) == 0 && u.spec().MaxPerRunner == 0 && u.spec().DataRack == "" && r.cell.adviceFor(u) == nil
	if cacheable && r.unplaceable[k] {
		return false
	}
	r.releaseClaims(u)
	r.slotsShort = false
	sel, ok := r.selectAny(u, n)
	switch {
	case !ok:
		r.queryUnknownRunners(u)
		r.reapplyClaims(u)
		// Other steps have start slots of their own.
		if cacheable && !r.slotsShort {
			r.unplaceable[k] = true
		}
		return false
	case len(sel.victims) == 0 && !r.haveValidTickets(u, sel.runners):
		r.reapplyClaims(u)
		return false
	case len(sel.victims) == 0:
		u.claims = nil
		for i, t := range units {
			r.startRun(t, sel.runners[i*t.count:(i+1)*t.count])
		}
	default:
		r.preempt(u, sel)
	}
	return true
}

// selectAny selects runners for n members like those of u: where they run at full speed,
// without preemption or else with it, and only then elsewhere, since a run at reduced
// speed takes longer than a stop.
func (r *round) selectAny(u *unit, n int) (selection, bool) {
	if sel, ok := r.selectRunners(u, n, nil); ok {
		return sel, true
	}
	var costs map[*unit]float64
	if u.claims == nil {
		costs = r.preemptionCosts(u)
		if sel, ok := r.selectRunners(u, n, costs); ok && r.worthwhile(u, n, sel) {
			return sel, true
		}
	} else if r.cell.now-u.claimedAt <= r.cell.settings.StopTimeout {
		// Others are being stopped for the unit. It runs elsewhere only if they take longer
		// than they may.
		return selection{}, false
	}
	if !r.mayRunRemote(u) {
		return selection{}, false
	}
	candidates := r.eligible(u, "")
	if sel, ok := r.assign(u, n, candidates, nil); ok || costs == nil {
		return sel, ok
	}
	sel, ok := r.assign(u, n, candidates, costs)
	return sel, ok && r.worthwhile(u, n, sel)
}

// releaseClaims makes a unit's own claims available while it is being placed.
func (r *round) releaseClaims(u *unit) { r.adjustClaims(u, 1) }

// reapplyClaims reverts releaseClaims when the unit keeps waiting.
func (r *round) reapplyClaims(u *unit) { r.adjustClaims(u, -1) }

func (r *round) adjustClaims(u *unit, sign int) {
	for _, cand := range r.candidates {
		if claim, ok := u.claims[cand.runner.id]; ok {
			if sign > 0 {
				cand.free = cand.free.Add(claim)
			} else {
				cand.free = cand.free.Sub(claim)
			}
		}
	}
}

// startRun starts a new run of a unit. Its orders are sent once the run is stored.
func (r *round) startRun(u *unit, runners []*candidate) {
	c := r.cell
	if !r.checkStart(u, runners) {
		return
	}
	if !c.fitsRecord(u, runners) {
		c.failUnstorable(u, fmt.Sprintf("its record would have %d bytes, at most %d", u.recordBytes(runners), c.settings.MaxRecordBytes))
		return
	}
	u.claims, u.awaited, u.awaitingSince = nil, nil, 0
	u.phase, u.stopping = phaseActive, false
	u.run++
	u.reason = ""
	reason := placementReason(u, runners)
	for i, cand := range runners {
		pl := newPlacement(u, u.firstIndex+i, cand.runner, c.now)
		u.placements = append(u.placements, pl)
		cand.runner.addPlacement(pl)
		cand.placements = nil
		if left, known := r.stepSlots[cand]; known {
			r.stepSlots[cand] = left - 1
		}
		cand.free = cand.free.Sub(pl.resources)
		r.unreserved[u.job.spec.Policy.Service] -= pl.resources.Accelerators
		r.takePatientRoom(u.job.spec.Policy.Service, pl.resources)
		r.work += startWork
		c.pendingStarts = append(c.pendingStarts, pl)
		c.reportDecision(Decision{Job: u.job.spec.ID, Task: pl.task(), Run: u.run, Runner: cand.runner.id, Event: "place", Outcome: "start", Reason: reason, AgeMS: c.jobAgeMS(u.job)})
	}
	c.dirtyUnits[u] = true
	if !u.job.started {
		u.job.started, u.job.state = true, jaytask.Running
		c.jobRecords = append(c.jobRecords, Record{Key: StateKey(u.job.spec.ID), Value: EncodeState(jaytask.Running, c.wall)})
	}
}

// placementReason tells whether a run on the runners is slowed down by
// Settings.RemoteSlowdown.
func placementReason(u *unit, runners []*candidate) string {
	s := u.spec()
	for _, cand := range runners {
		switch {
		case s.DataRack != "" && cand.rack != s.DataRack:
			return "resources available away from its data"
		case s.DataRack == "" && s.SameRack && cand.rack != runners[0].rack:
			return "resources available across racks"
		}
	}
	return "resources available"
}
