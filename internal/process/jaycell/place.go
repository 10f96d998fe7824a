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
	claimSlack = 1500 * time.Millisecond
)

// view is a runner's room during one round of placing.
type view struct {
	runner *Runner
	free   jaytask.Resources
	rack   string
}

// round is the working state of one round of placing.
type round struct {
	cell  *Cell
	views []*view
	racks []string
	// guaranteed holds the jobs that their workspace's guarantee covers.
	guaranteed map[*job]bool
	// spare is how many free accelerators are not kept for urgent work.
	spare int
	// seen holds the units whose turn has been.
	seen map[*unit]bool
	// blocked remembers shapes that found no room, so that equal ones are skipped.
	blocked map[shape]bool
}

// shape names units that are placed alike.
type shape struct {
	service    string
	room       jaytask.Resources
	count      int
	sameRack   bool
	label      string
	dataRack   string
	most       int
	priority   int
	guaranteed bool
}

// place starts what fits, the most urgent first.
func (c *Cell) place() {
	c.questions = nil
	waiting := c.waiting()
	if len(waiting) == 0 {
		return
	}
	r := c.newRound()
	for _, u := range r.sorted(waiting) {
		r.placeStep(u)
	}
}

// placeStep starts what may start of the step of a unit, together where parts are
// of no use. A step whose turn has been is passed over.
func (r *round) placeStep(u *unit) {
	if r.seen[u] {
		return
	}
	step := r.waitingOf(u)
	for _, t := range step {
		r.seen[t] = true
	}
	step = step[:r.atOnce(u, len(step))]
	if len(step) == 0 {
		return
	}
	if len(step) > 1 && r.together(u) && r.everTogether(u, len(step)) {
		r.try(step)
		return
	}
	for _, t := range step {
		r.try([]*unit{t})
	}
}

// sorted returns the units, the most urgent first.
func (r *round) sorted(units []*unit) []*unit {
	all := make([]ranked, len(units))
	for i, u := range units {
		all[i] = ranked{unit: u, guaranteed: r.isGuaranteed(u.job), tier: r.cell.tier(u)}
	}
	slices.SortFunc(all, ranked.compare)
	for i, x := range all {
		units[i] = x.unit
	}
	return units
}

// together reports whether the tasks of a unit's step start all at once or not at
// all although they are no gang: urgent work that can be on time gains nothing
// from a part of its tasks, and a burst would be served in parts only.
func (r *round) together(u *unit) bool {
	if u.spec().Gang || u.spec().Daemon || u.job.spec.Policy.Priority != 0 {
		return false
	}
	return r.isGuaranteed(u.job) || r.cell.slack(u) >= 0
}

// waitingOf returns the units of the same step that wait and may be tried.
func (r *round) waitingOf(u *unit) []*unit {
	var all []*unit
	for _, w := range u.job.table[u.occurrence][u.step] {
		if w != nil && w.waits(r.cell.now) {
			all = append(all, w)
		}
	}
	return all
}

// everTogether reports whether the empty pool could hold so many units at once.
func (r *round) everTogether(u *unit, n int) bool {
	held := 0
	for _, v := range r.usable(u, "") {
		held += capacityFor(v.runner.info.Capacity, u, n)
	}
	return held >= n
}

// waiting returns the units whose turn has come.
func (c *Cell) waiting() []*unit {
	var all []*unit
	for _, j := range c.jobs {
		if j.state.Ended() || j.canceled {
			continue
		}
		j.open(c.wall.Add(-dueSlack))
		for _, u := range j.units {
			if u.waits(c.now) {
				all = append(all, u)
			}
		}
	}
	return all
}

func (c *Cell) newRound() *round {
	r := &round{cell: c, guaranteed: c.guaranteedJobs(), seen: map[*unit]bool{}, blocked: map[shape]bool{}}
	claimed := c.claimed()
	racks := map[string]bool{}
	for _, n := range c.sortedRunners() {
		if !n.open(c.now) {
			continue
		}
		v := &view{runner: n, free: n.free().Sub(claimed[n.id]), rack: n.rack()}
		r.views = append(r.views, v)
		if !racks[v.rack] {
			racks[v.rack] = true
			r.racks = append(r.racks, v.rack)
		}
	}
	sort.Strings(r.racks)
	held, wanted := c.urgentLoad()
	c.demand.note(c.now, wanted)
	pool, free := 0, 0
	for _, v := range r.views {
		pool += v.runner.info.Capacity.Accelerators
		free += max(v.free.Accelerators, 0)
	}
	r.spare = free - c.demand.reserve(held, pool)
	return r
}

// claimed sums the room that stops are making for units. Claims that have not
// led to a start in time are given up.
func (c *Cell) claimed() map[string]jaytask.Resources {
	sum := map[string]jaytask.Resources{}
	for _, j := range c.jobs {
		for _, u := range j.units {
			if u.claims == nil {
				continue
			}
			if u.phase != phaseWaiting || c.now-u.claimedAt > c.settings.MaxStopTime+claimSlack {
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
	return shape{service: u.job.spec.Policy.Service, room: s.Allocation(), count: u.count, sameRack: s.SameRack, label: s.Label, dataRack: s.DataRack, most: s.MaxPerRunner, priority: u.job.spec.Policy.Priority, guaranteed: r.isGuaranteed(u.job)}
}

// try starts like units together, or makes room for them, or leaves them waiting.
func (r *round) try(units []*unit) {
	u := units[0]
	n := len(units) * u.count
	k := r.shapeOf(u)
	k.count = n
	if !r.mayUse(u) {
		return
	}
	plain := u.claims == nil && len(u.avoid) == 0 && u.spec().MaxPerRunner == 0 && u.spec().DataRack == "" && r.cell.advice(u) == nil
	if plain && r.blocked[k] {
		return
	}
	r.release(u)
	ch, ok := r.choose(u, n, nil)
	if !ok && u.claims == nil {
		ch, ok = r.choose(u, n, r.preemptible(u))
		if ok && !r.worthwhile(u, n, ch) {
			ok = false
		}
	}
	switch {
	case !ok:
		r.inquire(u)
		r.reclaim(u)
		if plain {
			r.blocked[k] = true
		}
	case len(ch.victims) == 0 && !r.ticketed(u, ch.runners):
		r.reclaim(u)
	case len(ch.victims) == 0:
		u.claims = nil
		for i, t := range units {
			r.start(t, ch.runners[i*t.count:(i+1)*t.count])
		}
	default:
		r.makeRoom(u, ch)
	}
}

// release gives a unit's own claims back to the views for the time of its try.
func (r *round) release(u *unit) { r.shift(u, 1) }

// reclaim takes them again when the unit goes on waiting.
func (r *round) reclaim(u *unit) { r.shift(u, -1) }

func (r *round) shift(u *unit, sign int) {
	for _, v := range r.views {
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
func (r *round) start(u *unit, runners []*view) {
	c := r.cell
	if !r.mayStart(u, runners) {
		return
	}
	u.claims = nil
	u.phase, u.stopping = phaseActive, false
	u.run++
	u.reason = ""
	for i, v := range runners {
		h := newHold(u, u.first+i, v.runner, c.now)
		u.live = append(u.live, h)
		v.runner.add(h)
		v.free = v.free.Sub(h.room)
		r.spare -= h.room.Accelerators
		c.starts = append(c.starts, h)
		c.explain(Decision{Job: u.job.spec.ID, Task: h.task(), Run: u.run, Runner: v.runner.id, Event: "place", Outcome: "start", Reason: "term and room", AgeMS: c.ageOf(u.job)})
	}
	c.dirtyUnits[u] = true
	if !u.job.begun {
		u.job.begun, u.job.state = true, jaytask.Running
		c.jobRecords = append(c.jobRecords, Record{Key: StateKey(u.job.spec.ID), Value: EncodeState(jaytask.Running, c.wall)})
	}
}
