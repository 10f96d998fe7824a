// Package jayplan maps every guaranteed shape to a home: accelerators of
// workers that its workspace can always get back. A plan is a deterministic
// function of the manifest, the workers and the plan before it.
package jayplan

import (
	"fmt"
	"sort"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// searchSteps bounds the seats that one search tries before it settles for the
// best plan found so far.
const searchSteps = 50_000

// Seat is a worker that is home to one or more members of a shape.
type Seat struct {
	worker       string
	members      int
	accelerators int
}

// Worker returns the worker's name.
func (s Seat) Worker() string { return s.worker }

// Members returns how many members sit there.
func (s Seat) Members() int { return s.members }

// Accelerators returns the accelerators of all members that sit there.
func (s Seat) Accelerators() int { return s.accelerators }

// Plan gives a home to guarantees. It never changes.
type Plan struct {
	version   uint64
	seats     map[string][]Seat
	homes     map[string]map[string]int
	unmet     []jaymanifest.Guarantee
	guarantee []jaymanifest.Guarantee
}

// Version returns the manifest version that the plan carries out.
func (p *Plan) Version() uint64 { return p.version }

// Home returns how many accelerators of the worker are home to the workspace.
func (p *Plan) Home(worker, workspace string) int {
	if p == nil {
		return 0
	}
	return p.homes[worker][workspace]
}

// Homes returns the accelerators of the worker that are home to each workspace.
// The caller must not change the map.
func (p *Plan) Homes(worker string) map[string]int {
	if p == nil {
		return nil
	}
	return p.homes[worker]
}

// Seats returns the home of one guarantee, or nil when it has none.
func (p *Plan) Seats(guarantee string) []Seat {
	if p == nil {
		return nil
	}
	return p.seats[guarantee]
}

// Guarantees returns every guarantee of the plan.
func (p *Plan) Guarantees() []jaymanifest.Guarantee {
	if p == nil {
		return nil
	}
	return p.guarantee
}

// Unmet returns the guarantees that the pool has no room for.
func (p *Plan) Unmet() []jaymanifest.Guarantee {
	if p == nil {
		return nil
	}
	return p.unmet
}

// UnmetError reports the first guarantee that does not fit beside the others.
type UnmetError struct {
	Guarantee jaymanifest.Guarantee
	Total     int
}

// Error implements error.
func (e *UnmetError) Error() string {
	return fmt.Sprintf("guarantee %s (%s) does not fit beside the other guarantees in a pool of %d accelerators", e.Guarantee.ID(), e.Guarantee.Shape(), e.Total)
}

// Err returns an UnmetError when a guarantee has no home.
func (p *Plan) Err(pool *jaypool.Pool) error {
	if len(p.unmet) == 0 {
		return nil
	}
	return &UnmetError{Guarantee: p.unmet[0], Total: pool.Total()}
}

// Build plans a home for every guarantee. Homes of the plan before stay where
// their workers still are; only when that leaves a guarantee without a home is
// everything planned anew. Accelerators under work that may not be stopped are
// home to no other workspace.
func Build(version uint64, guarantees []jaymanifest.Guarantee, pool *jaypool.Pool, before *Plan) *Plan {
	kept := search(version, guarantees, pool, before)
	if len(kept.unmet) == 0 || before == nil {
		return kept
	}
	fresh := search(version, guarantees, pool, nil)
	if len(fresh.unmet) < len(kept.unmet) {
		return fresh
	}
	return kept
}

// builder is one search over the seats of all guarantees.
type builder struct {
	pool       *jaypool.Pool
	guarantees []jaymanifest.Guarantee
	room       map[string]int
	taken      map[string]map[string]int
	chosen     [][]*jaypool.Worker
	best       [][]*jaypool.Worker
	bestCount  int
	steps      int
	limit      int
}

func search(version uint64, guarantees []jaymanifest.Guarantee, pool *jaypool.Pool, before *Plan) *Plan {
	b := &builder{pool: pool, room: map[string]int{}, taken: map[string]map[string]int{}, bestCount: -1}
	for _, w := range pool.Workers() {
		b.room[w.ID()] = w.Accelerators()
		w.EachNonStoppable(func(_ string, n int) { b.room[w.ID()] -= n })
	}
	p := &Plan{version: version, seats: map[string][]Seat{}, homes: map[string]map[string]int{}, guarantee: guarantees}
	for _, g := range guarantees {
		seats := before.Seats(g.ID())
		if !b.keep(g, seats) {
			b.guarantees = append(b.guarantees, g)
			continue
		}
		p.add(g, seats)
	}
	b.chosen = make([][]*jaypool.Worker, len(b.guarantees))
	b.limit = searchSteps
	b.place(0, 0)
	for i, g := range b.guarantees {
		if b.best == nil || b.best[i] == nil {
			p.unmet = append(p.unmet, g)
			continue
		}
		p.add(g, seatsOf(g, b.best[i]))
	}
	return p
}

// keep books the seats of the plan before when they still serve the guarantee.
func (b *builder) keep(g jaymanifest.Guarantee, seats []Seat) bool {
	members := 0
	var group string
	for i, s := range seats {
		w := b.pool.Worker(s.worker)
		if w == nil || w.Closed() || s.accelerators != s.members*g.Shape().Accelerators() || !b.fits(w, g.Workspace(), s.accelerators) {
			return false
		}
		at := w.Location().Group(g.Shape().Near(), w.ID())
		if i > 0 && at != group {
			return false
		}
		group = at
		members += s.members
	}
	if members != g.Shape().Members() {
		return false
	}
	for _, s := range seats {
		b.take(b.pool.Worker(s.worker), g.Workspace(), s.accelerators)
	}
	return true
}

// fits reports whether the sum over workspaces of the greater of home and fixed
// work stays within the worker's accelerators when the home grows by n.
func (b *builder) fits(w *jaypool.Worker, workspace string, n int) bool {
	return b.room[w.ID()] >= b.growth(w, workspace, n)
}

// growth returns by how much a larger home takes from the worker's room: fixed
// work of the same workspace already covers a part of it.
func (b *builder) growth(w *jaypool.Worker, workspace string, n int) int {
	home, fixed := b.taken[w.ID()][workspace], w.NonStoppable(workspace)
	return max(home+n, fixed) - max(home, fixed)
}

func (b *builder) take(w *jaypool.Worker, workspace string, n int) {
	b.room[w.ID()] -= b.growth(w, workspace, n)
	m := b.taken[w.ID()]
	if m == nil {
		m = map[string]int{}
		b.taken[w.ID()] = m
	}
	m[workspace] += n
}

func (b *builder) giveBack(w *jaypool.Worker, workspace string, n int) {
	m := b.taken[w.ID()]
	m[workspace] -= n
	b.room[w.ID()] += b.growth(w, workspace, n)
}

// place seats guarantee i and all after it; it returns true when every one of
// them has a home. Plans that leave some without a home are kept as the best so
// far when they seat more.
func (b *builder) place(i, seated int) bool {
	if i == len(b.guarantees) {
		b.record(seated)
		return seated == len(b.guarantees)
	}
	if b.steps > b.limit {
		b.record(seated)
		return false
	}
	for _, group := range b.groupsFor(b.guarantees[i]) {
		if b.seat(i, seated, group, 0) {
			return true
		}
		if b.steps > b.limit {
			return false
		}
	}
	b.chosen[i] = nil
	if seated+len(b.guarantees)-i-1 <= b.bestCount {
		return false
	}
	b.place(i+1, seated)
	return false
}

func (b *builder) record(seated int) {
	if seated <= b.bestCount {
		return
	}
	b.bestCount = seated
	b.best = make([][]*jaypool.Worker, len(b.chosen))
	for i, c := range b.chosen {
		b.best[i] = append([]*jaypool.Worker(nil), c...)
	}
}

// seat seats the next member of guarantee i on a worker of the group at or
// after the given index, so that no two orders of the same seats are tried.
func (b *builder) seat(i, seated int, group []*jaypool.Worker, from int) bool {
	g := b.guarantees[i]
	if len(b.chosen[i]) == g.Shape().Members() {
		return b.place(i+1, seated+1)
	}
	for j := from; j < len(group); j++ {
		w := group[j]
		if !b.fits(w, g.Workspace(), g.Shape().Accelerators()) {
			continue
		}
		b.steps++
		b.take(w, g.Workspace(), g.Shape().Accelerators())
		b.chosen[i] = append(b.chosen[i], w)
		if b.seat(i, seated, group, j) {
			return true
		}
		if n := len(b.chosen[i]); n > 0 {
			b.chosen[i] = b.chosen[i][:n-1]
		}
		b.giveBack(w, g.Workspace(), g.Shape().Accelerators())
		if b.steps > b.limit {
			return false
		}
	}
	return false
}

// groupsFor lists the groups that may seat the guarantee, the one with the
// least room first, each with its fullest workers first.
func (b *builder) groupsFor(g jaymanifest.Guarantee) [][]*jaypool.Worker {
	type candidate struct {
		workers []*jaypool.Worker
		room    int
	}
	var all []candidate
	groups := b.pool.Groups(g.Shape().Near())
	for _, name := range b.pool.GroupNames(g.Shape().Near()) {
		c := candidate{}
		seats := 0
		for _, w := range groups[name] {
			if w.Closed() {
				continue
			}
			if n := b.room[w.ID()] / g.Shape().Accelerators(); n > 0 || b.fits(w, g.Workspace(), g.Shape().Accelerators()) {
				c.workers = append(c.workers, w)
				c.room += b.room[w.ID()]
				seats += max(n, 1)
			}
		}
		if seats > 0 {
			sort.SliceStable(c.workers, func(i, j int) bool { return b.room[c.workers[i].ID()] < b.room[c.workers[j].ID()] })
			all = append(all, c)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].room < all[j].room })
	workers := make([][]*jaypool.Worker, len(all))
	for i, c := range all {
		workers[i] = c.workers
	}
	return workers
}

func seatsOf(g jaymanifest.Guarantee, workers []*jaypool.Worker) []Seat {
	var seats []Seat
	for _, w := range workers {
		if n := len(seats); n > 0 && seats[n-1].worker == w.ID() {
			seats[n-1].members++
			seats[n-1].accelerators += g.Shape().Accelerators()
			continue
		}
		seats = append(seats, Seat{worker: w.ID(), members: 1, accelerators: g.Shape().Accelerators()})
	}
	return seats
}

func (p *Plan) add(g jaymanifest.Guarantee, seats []Seat) {
	p.seats[g.ID()] = seats
	for _, s := range seats {
		m := p.homes[s.worker]
		if m == nil {
			m = map[string]int{}
			p.homes[s.worker] = m
		}
		m[g.Workspace()] += s.accelerators
	}
}

// OvercommitError reports a worker on which a home is blocked by work that may not
// be stopped.
type OvercommitError struct {
	Worker       string
	Accelerators int
	Needed       int
}

// Error implements error.
func (e *OvercommitError) Error() string {
	return fmt.Sprintf("worker %s: homes and work that may not be stopped need %d of %d accelerators", e.Worker, e.Needed, e.Accelerators)
}

// Check asserts the guarantee invariant: on each worker, the sum over
// workspaces of the greater of home and fixed work is at most the worker's
// accelerators. While it holds, stopping the stoppable work that exceeds its
// own home frees every home at once.
func (p *Plan) Check(pool *jaypool.Pool) error {
	for _, w := range pool.Workers() {
		if err := p.CheckWorker(w); err != nil {
			return err
		}
	}
	return nil
}

// CheckWorker asserts the guarantee invariant on one worker.
func (p *Plan) CheckWorker(w *jaypool.Worker) error {
	if n := Committed(p.Homes(w.ID()), w); n > w.Accelerators() {
		return &OvercommitError{Worker: w.ID(), Accelerators: w.Accelerators(), Needed: n}
	}
	return nil
}

// Committed returns the sum over workspaces of the greater of home and fixed work.
func Committed(homes map[string]int, w *jaypool.Worker) int {
	sum := 0
	for s, n := range homes {
		sum += max(n, w.NonStoppable(s))
	}
	w.EachNonStoppable(func(s string, n int) {
		if homes[s] == 0 {
			sum += n
		}
	})
	return sum
}

// AvailableNonStoppable returns how many accelerators more the workspace may hold on the
// worker with work that may not be stopped.
func (p *Plan) AvailableNonStoppable(w *jaypool.Worker, workspace string) int {
	homes := p.Homes(w.ID())
	others := Committed(homes, w) - max(homes[workspace], w.NonStoppable(workspace))
	return w.Accelerators() - others - w.NonStoppable(workspace)
}

// Fits reports whether the shape could be seated on the pool if nothing ran
// beyond fixed work.
func Fits(shape jayjob.Shape, pool *jaypool.Pool, room func(*jaypool.Worker) int) bool {
	for _, group := range pool.Groups(shape.Near()) {
		seats := 0
		for _, w := range group {
			if shape.Accelerators() == 0 {
				seats = shape.Members()
				break
			}
			seats += max(room(w), 0) / shape.Accelerators()
		}
		if seats >= shape.Members() {
			return true
		}
	}
	return false
}
