package jaycell

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// acceleratorCores is what an accelerator weighs against a core when work is
	// compared.
	acceleratorCores = 8
	// stopBase is the work that a stop costs besides what is not saved: the
	// restore and the second start.
	stopBase = 300 * time.Millisecond
	// displaceUrgent, displaceOther and displaceEarly bound the unsaved work that
	// is thrown away for a job with no guarantee, as a share of the job's own work:
	// for an urgent job that would be late otherwise, for another such job, and for
	// a job that can still wait or is late already.
	displaceUrgent = 2.0
	displaceOther  = 0.5
	displaceEarly  = 0.1
	// waitBeforeStops is how much more than the time of a stop must be left before
	// a job stops others: room may become free by itself.
	waitBeforeStops = 600 * time.Millisecond
	// worthlessTier puts a job behind all others.
	worthlessTier = 1000
	// lateTier is how many priorities a job falls behind when it is late.
	lateTier = 0.5
	// claimSlack is how long past a runner's longest stop room is kept for the
	// unit that it was made for.
	claimSlack = 1500 * time.Millisecond
	// lateFactor is how many objectives late a job is still worth something.
	lateFactor = 3
	// farPatience is the share of the estimated run time for which work waits for
	// its data's rack before it runs far away.
	farPatience = 1.0
)

// view is a runner's room during one round of placing.
type view struct {
	runner *Runner
	free   jaytask.Room
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
	// blocked remembers shapes that found no room, so that equal ones are skipped.
	blocked map[shape]bool
}

// shape names units that are placed alike.
type shape struct {
	service    string
	room       jaytask.Room
	count      int
	sameRack   bool
	label      string
	dataRack   string
	most       int
	priority   int
	guaranteed bool
}

// choice is where the members of a unit go, and which units must stop first.
type choice struct {
	runners []*view
	victims []*unit
	cost    float64
}

// place starts what fits, the most urgent first.
func (c *Cell) place() {
	waiting := c.waiting()
	if len(waiting) == 0 {
		c.places = false
		return
	}
	r := c.newRound()
	sort.SliceStable(waiting, func(i, j int) bool { return r.before(waiting[i], waiting[j]) })
	tried := map[*unit]bool{}
	for i, u := range waiting {
		if tried[u] {
			continue
		}
		together := []*unit{u}
		if r.together(u) {
			together = alike(waiting[i:], u)
		}
		if len(together) > 1 && r.everTogether(u, len(together)) {
			for _, t := range together {
				tried[t] = true
			}
			r.try(together)
			continue
		}
		r.try([]*unit{u})
	}
	c.places = false
}

// together reports whether the tasks of a unit's step start all at once or not at
// all although they are no gang: urgent work that can be on time gains nothing
// from a part of its tasks, and a burst would be served in parts only.
func (r *round) together(u *unit) bool {
	if u.spec().Gang || u.spec().Daemon || u.job.spec.Terms.Priority != 0 {
		return false
	}
	return r.isGuaranteed(u.job) || r.cell.slack(u) >= 0
}

// alike returns the units of the same step that wait.
func alike(waiting []*unit, u *unit) []*unit {
	var all []*unit
	for _, w := range waiting {
		if w.job == u.job && w.step == u.step && w.occurrence == u.occurrence {
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
			if u.phase == phaseWaiting && c.now >= u.notBefore {
				all = append(all, u)
			}
		}
	}
	return all
}

func (c *Cell) newRound() *round {
	r := &round{cell: c, guaranteed: c.guaranteedJobs(), blocked: map[shape]bool{}}
	claimed := c.claimed()
	racks := map[string]bool{}
	for _, n := range c.sortedRunners() {
		if !n.open(c.now) {
			continue
		}
		v := &view{runner: n, free: n.free().Minus(claimed[n.id]), rack: n.rack()}
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
func (c *Cell) claimed() map[string]jaytask.Room {
	sum := map[string]jaytask.Room{}
	for _, j := range c.jobs {
		for _, u := range j.units {
			if u.claims == nil {
				continue
			}
			if u.phase != phaseWaiting || c.now-u.claimedAt > c.settings.Stop+claimSlack {
				u.claims = nil
				continue
			}
			for id, room := range u.claims {
				sum[id] = sum[id].Plus(room)
			}
		}
	}
	return sum
}

// guaranteedJobs returns the jobs that a workspace's guaranteed accelerators hold:
// its unfinished jobs of priority 0, the earliest first.
func (c *Cell) guaranteedJobs() map[*job]bool {
	var urgent []*job
	for _, j := range c.jobs {
		if !j.state.Ended() && j.spec.Terms.Priority == 0 {
			urgent = append(urgent, j)
		}
	}
	sort.Slice(urgent, func(a, b int) bool { return earlier(urgent[a], urgent[b]) })
	need := map[string]int{}
	held := map[*job]bool{}
	for _, j := range urgent {
		w := j.spec.Terms.Workspace
		if n := need[w] + j.spec.Accelerators(); n <= c.settings.Guaranteed(w) {
			need[w] = n
			held[j] = true
		}
	}
	return held
}

func earlier(a, b *job) bool {
	if !a.spec.Accepted.Equal(b.spec.Accepted) {
		return a.spec.Accepted.Before(b.spec.Accepted)
	}
	return a.spec.ID < b.spec.ID
}

func (r *round) isGuaranteed(j *job) bool { return r.guaranteed[j] }

// before orders units: guarantees first, then by tier, then jobs that have begun,
// since a job counts only when all of it is done, then by acceptance.
func (r *round) before(a, b *unit) bool {
	if x, y := r.isGuaranteed(a.job), r.isGuaranteed(b.job); x != y {
		return x
	}
	if x, y := r.cell.tier(a), r.cell.tier(b); x != y {
		return x < y
	}
	if x, y := a.job.begun, b.job.begun; x != y {
		return x
	}
	if a.job != b.job {
		return earlier(a.job, b.job)
	}
	return a.key() < b.key()
}

// tier returns how urgent a unit is, the least first: its priority, more when it
// is late, and last when it is too late to count. When more comes than can be
// served, what can still be on time goes before what cannot; otherwise a queue
// makes all of a burst late.
func (c *Cell) tier(u *unit) float64 {
	t := float64(u.job.spec.Terms.Priority)
	switch {
	case c.worthless(u.job):
		return t + worthlessTier
	case c.slack(u) < 0:
		return t + lateTier
	}
	return t
}

// worthless reports whether a job's completion comes too late to count.
func (c *Cell) worthless(j *job) bool {
	if j.spec.Times > 0 {
		return false
	}
	return c.wall.Sub(j.spec.Accepted) > lateFactor*c.objective(j)
}

func (r *round) shapeOf(u *unit) shape {
	s := u.spec()
	return shape{service: u.job.spec.Terms.Service, room: s.Charge(), count: u.count, sameRack: s.SameRack, label: s.Label, dataRack: s.DataRack, most: s.MaxPerRunner, priority: u.job.spec.Terms.Priority, guaranteed: r.isGuaranteed(u.job)}
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
	plain := u.claims == nil && len(u.avoid) == 0 && u.spec().MaxPerRunner == 0 && u.spec().DataRack == ""
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
		r.reclaim(u)
		if plain {
			r.blocked[k] = true
		}
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
				v.free = v.free.Plus(room)
			} else {
				v.free = v.free.Minus(room)
			}
		}
	}
}

// preemptible returns the units that may be stopped for u with what stopping
// them costs, in core-seconds of unsaved work.
func (r *round) preemptible(u *unit) map[*unit]float64 {
	costs := map[*unit]float64{}
	guaranteed := r.isGuaranteed(u.job)
	for _, v := range r.views {
		for _, h := range v.runner.holds {
			w := h.unit
			if w.phase != phaseActive || w.stopping || w.job == u.job || w.spec().Daemon && !guaranteed {
				continue
			}
			if r.isGuaranteed(w.job) || !guaranteed && w.job.spec.Terms.Priority <= u.job.spec.Terms.Priority {
				continue
			}
			if _, known := costs[w]; !known {
				costs[w] = r.cell.stopCost(w)
			}
		}
	}
	return costs
}

// stopCost returns the core-seconds of work that are lost when a unit stops, and
// as much again as the unit's own work when it would no longer be on time.
func (c *Cell) stopCost(u *unit) float64 {
	lost := stopBase
	onTime := true
	since := c.wall.Sub(u.job.spec.Accepted)
	for _, h := range u.live {
		if h.confirmed && !u.spec().Checkpoint {
			lost = max(lost, c.now-h.confirmedAt)
		}
		onTime = onTime && since+c.remaining(h) <= c.objective(u.job)
	}
	if onTime && c.slack(u) < c.settings.Stop {
		lost += c.estimate(u.job, u.step)
	}
	return cores(u.spec().Room) * float64(u.count) * lost.Seconds()
}

func cores(r jaytask.Room) float64 {
	return float64(r.CPU)/1000 + float64(r.Accelerators*acceleratorCores)
}

// worthwhile weighs the work that is thrown away against the unit's own.
func (r *round) worthwhile(u *unit, n int, ch choice) bool {
	if r.isGuaranteed(u.job) {
		return true
	}
	share := displaceOther
	slack := r.cell.slack(u) - r.cell.settings.Stop
	switch {
	case slack < 0:
		share = displaceEarly
	case u.job.spec.Terms.Priority == 0:
		share = displaceUrgent
	case slack > waitBeforeStops:
		share = displaceEarly
	}
	own := cores(u.spec().Room) * float64(n) * r.cell.estimate(u.job, u.step).Seconds()
	return ch.cost <= share*own
}

// choose finds runners for n members like those of a unit. Units with a cost may
// be stopped for it.
func (r *round) choose(u *unit, n int, costs map[*unit]float64) (choice, bool) {
	var best choice
	found := false
	for _, views := range r.scopes(u) {
		ch, ok := r.fill(u, n, views, costs)
		if ok && (!found || ch.cost < best.cost) {
			best, found = ch, true
		}
		if found && best.cost == 0 && costs != nil {
			break
		}
	}
	if found || !r.mayGoFar(u) {
		return best, found
	}
	return r.fill(u, n, r.usable(u, ""), costs)
}

// scopes returns the sets of runners that a unit is best placed within.
func (r *round) scopes(u *unit) [][]*view {
	s := u.spec()
	if s.DataRack != "" {
		return [][]*view{r.usable(u, s.DataRack)}
	}
	if !s.SameRack || u.count == 1 {
		return [][]*view{r.usable(u, "")}
	}
	var all [][]*view
	for _, rack := range r.racks {
		all = append(all, r.usable(u, rack))
	}
	sort.SliceStable(all, func(i, j int) bool { return freeAccelerators(all[i]) < freeAccelerators(all[j]) })
	return all
}

func freeAccelerators(views []*view) int {
	n := 0
	for _, v := range views {
		n += v.free.Accelerators
	}
	return n
}

// mayGoFar reports whether a unit may run at the reduced speed of work that is
// far from its data or spread over racks: when no rack could ever hold it, or
// when a guarantee demands it, or when it has waited longer than its run time.
func (r *round) mayGoFar(u *unit) bool {
	s := u.spec()
	if s.DataRack == "" && (!s.SameRack || u.count == 1) {
		return false
	}
	if r.isGuaranteed(u.job) || !r.everNear(u) {
		return true
	}
	waited := r.cell.wall.Sub(u.job.spec.Accepted)
	return s.DataRack != "" && waited > time.Duration(farPatience*float64(r.cell.estimate(u.job, u.step)))
}

// everNear reports whether empty runners of one rack could hold the unit.
func (r *round) everNear(u *unit) bool {
	for _, views := range r.scopes(u) {
		n := 0
		for _, v := range views {
			n += capacityFor(v.runner.info.Capacity, u, u.count)
		}
		if n >= u.count {
			return true
		}
	}
	return false
}

// capacityFor returns how many of n members of a unit an empty worker holds.
func capacityFor(capacity jaytask.Room, u *unit, n int) int {
	s := u.spec()
	if s.MaxPerRunner > 0 {
		n = min(n, s.MaxPerRunner)
	}
	room := s.Charge()
	for _, p := range [][2]int{{room.CPU, capacity.CPU}, {room.Memory, capacity.Memory}, {room.Accelerators, capacity.Accelerators}} {
		if p[0] > 0 {
			n = min(n, p[1]/p[0])
		}
	}
	return n
}

// usable returns the runners of a rack, or of all, that may run the unit. Those
// on which it failed lately, or which fail everything, are left out while the
// others could hold it.
func (r *round) usable(u *unit, rack string) []*view {
	var good, avoided []*view
	room := 0
	for _, v := range r.views {
		n := v.runner
		if n.info.Service != u.job.spec.Terms.Service || !n.labelled(u.spec().Label) || rack != "" && v.rack != rack {
			continue
		}
		if r.cell.now < u.avoid[n.id] || r.cell.now < n.avoidTill {
			avoided = append(avoided, v)
			continue
		}
		good = append(good, v)
		room += capacityFor(n.info.Capacity, u, u.count)
	}
	if room < u.count {
		return append(good, avoided...)
	}
	return good
}

// fill assigns the members one by one, each to the runner where it costs least
// and leaves the smallest rest.
func (r *round) fill(u *unit, n int, views []*view, costs map[*unit]float64) (choice, bool) {
	free := make([]jaytask.Room, len(views))
	counts := make([]int, len(views))
	for i, v := range views {
		free[i] = v.free
		counts[i] = r.sameStep(u, v.runner)
	}
	room, most := u.spec().Charge(), u.spec().MaxPerRunner
	stopped := map[*unit]bool{}
	var ch choice
	for m := 0; m < n; m++ {
		at, victims, cost := -1, []*unit(nil), 0.0
		rest := 0
		for i, v := range views {
			if most > 0 && counts[i] >= most {
				continue
			}
			var w []*unit
			var price float64
			if !room.Fits(free[i]) {
				if costs == nil {
					continue
				}
				var ok bool
				if w, price, ok = makeFit(room, free[i], v.runner, costs, stopped); !ok {
					continue
				}
			}
			left := leftover(room, free[i], v.runner)
			if at < 0 || price < cost || price == cost && left < rest {
				at, victims, cost, rest = i, w, price, left
			}
		}
		if at < 0 {
			return choice{}, false
		}
		for _, w := range victims {
			stopped[w] = true
			ch.victims = append(ch.victims, w)
			for i, v := range views {
				for _, h := range w.live {
					if h.runner == v.runner {
						free[i] = free[i].Plus(h.room)
					}
				}
			}
		}
		ch.cost += cost
		free[at] = free[at].Minus(room)
		counts[at]++
		ch.runners = append(ch.runners, views[at])
	}
	return ch, true
}

// leftover ranks a runner for a member: first those whose accelerators the
// member leaves least of, so that whole workers stay whole.
func leftover(room, free jaytask.Room, n *Runner) int {
	left := (free.Accelerators - room.Accelerators) * 1000
	if n.info.Capacity.CPU > 0 {
		left += (free.CPU - room.CPU) * 1000 / n.info.Capacity.CPU
	}
	return left
}

// sameStep counts the unit's step on a runner.
func (r *round) sameStep(u *unit, n *Runner) int {
	count := 0
	for _, h := range n.holds {
		if h.unit.job == u.job && h.unit.step == u.step && h.unit.occurrence == u.occurrence {
			count++
		}
	}
	return count
}

// makeFit returns the cheapest units whose stop makes the room fit.
func makeFit(room, free jaytask.Room, n *Runner, costs map[*unit]float64, stopped map[*unit]bool) ([]*unit, float64, bool) {
	type victim struct {
		unit *unit
		room jaytask.Room
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
		all[i].room = all[i].room.Plus(h.room)
	}
	sort.SliceStable(all, func(i, j int) bool { return costs[all[i].unit] < costs[all[j].unit] })
	var chosen []victim
	for _, v := range all {
		if room.Fits(free) {
			break
		}
		chosen = append(chosen, v)
		free = free.Plus(v.room)
	}
	if !room.Fits(free) {
		return nil, 0, false
	}
	var units []*unit
	var cost float64
	for i := len(chosen) - 1; i >= 0; i-- {
		if room.Fits(free.Minus(chosen[i].room)) {
			free = free.Minus(chosen[i].room)
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
	u.claims, u.claimedAt = map[string]jaytask.Room{}, r.cell.now
	for _, v := range ch.runners {
		room := u.spec().Charge()
		u.claims[v.runner.id] = u.claims[v.runner.id].Plus(room)
		v.free = v.free.Minus(room)
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
	u.placedAt, u.reason = c.now, ""
	for i, v := range runners {
		h := &hold{unit: u, run: u.run, index: u.first + i, runner: v.runner, room: u.spec().Charge(), changedAt: c.now}
		u.live = append(u.live, h)
		v.runner.add(h)
		v.free = v.free.Minus(h.room)
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
