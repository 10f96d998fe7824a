// Package jayplan assigns every guaranteed shape a home: accelerators of workers
// that its workspace can reclaim at any time. A plan is a deterministic function
// of the manifest, the workers and the previous plan.
package jayplan

import (
	"fmt"
	"sort"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// maxSearchSteps bounds the member placements that one search tries. Beyond it
// the best plan found so far is used.
const maxSearchSteps = 50_000

// Placement is a worker together with the members of a shape assigned to it.
type Placement struct {
	worker       string
	members      int
	accelerators int
}

// Worker returns the worker's name.
func (p Placement) Worker() string { return p.worker }

// Members returns the number of members assigned to the worker.
func (p Placement) Members() int { return p.members }

// Accelerators returns the accelerators of these members together.
func (p Placement) Accelerators() int { return p.accelerators }

// Plan is an immutable assignment of guarantees to workers. A nil plan has no
// homes.
type Plan struct {
	version    uint64
	placements map[string][]Placement
	homes      map[string]map[string]int
	unmet      []jaymanifest.Guarantee
	guarantees []jaymanifest.Guarantee
}

// Version returns the manifest version that the plan was built for.
func (p *Plan) Version() uint64 { return p.version }

// Home returns the worker's accelerators that are home to the workspace.
func (p *Plan) Home(worker, workspace string) int {
	if p == nil {
		return 0
	}
	return p.homes[worker][workspace]
}

// Homes returns the worker's home accelerators by workspace. The caller must not
// change the map.
func (p *Plan) Homes(worker string) map[string]int {
	if p == nil {
		return nil
	}
	return p.homes[worker]
}

// Placements returns the home of the guarantee with the ID, or nil when it has none.
func (p *Plan) Placements(guarantee string) []Placement {
	if p == nil {
		return nil
	}
	return p.placements[guarantee]
}

// Guarantees returns every guarantee of the plan.
func (p *Plan) Guarantees() []jaymanifest.Guarantee {
	if p == nil {
		return nil
	}
	return p.guarantees
}

// Unmet returns the guarantees for which the pool has too few accelerators.
func (p *Plan) Unmet() []jaymanifest.Guarantee {
	if p == nil {
		return nil
	}
	return p.unmet
}

// UnmetError reports the first guarantee without a home.
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

// Build assigns a home to every guarantee. Homes of the previous plan stay where
// their workers remain, unless that leaves a guarantee unmet and a plan computed from
// scratch leaves fewer unmet. Accelerators used by non-preemptible work are not home to
// another workspace.
func Build(version uint64, guarantees []jaymanifest.Guarantee, pool *jaypool.Pool, previous *Plan) *Plan {
	kept := searchPlan(version, guarantees, pool, previous)
	if len(kept.unmet) == 0 || previous == nil {
		return kept
	}
	fresh := searchPlan(version, guarantees, pool, nil)
	if len(fresh.unmet) < len(kept.unmet) {
		return fresh
	}
	return kept
}

// builder is a bounded backtracking search for homes of the guarantees.
type builder struct {
	pool       *jaypool.Pool
	guarantees []jaymanifest.Guarantee
	// available holds, by worker, the accelerators that neither homes nor
	// non-preemptible work commit.
	available map[string]int
	// assigned holds the home accelerators by worker and workspace.
	assigned map[string]map[string]int
	// chosen and best hold the worker of each member, by guarantee: of the current
	// branch and of the best assignment found.
	chosen     [][]*jaypool.Worker
	best       [][]*jaypool.Worker
	bestPlaced int
	steps      int
	maxSteps   int
}

func searchPlan(version uint64, guarantees []jaymanifest.Guarantee, pool *jaypool.Pool, previous *Plan) *Plan {
	b := &builder{pool: pool, available: map[string]int{}, assigned: map[string]map[string]int{}, bestPlaced: -1}
	for _, w := range pool.Workers() {
		b.available[w.ID()] = w.Accelerators()
		w.EachNonPreemptible(func(_ string, n int) { b.available[w.ID()] -= n })
	}
	p := &Plan{version: version, placements: map[string][]Placement{}, homes: map[string]map[string]int{}, guarantees: guarantees}
	for _, g := range guarantees {
		placements := previous.Placements(g.ID())
		if !b.reusePlacements(g, placements) {
			b.guarantees = append(b.guarantees, g)
			continue
		}
		p.addHome(g, placements)
	}
	b.chosen = make([][]*jaypool.Worker, len(b.guarantees))
	b.maxSteps = maxSearchSteps
	b.placeGuarantee(0, 0)
	for i, g := range b.guarantees {
		if b.best == nil || b.best[i] == nil {
			p.unmet = append(p.unmet, g)
			continue
		}
		p.addHome(g, groupByWorker(g, b.best[i]))
	}
	return p
}

// reusePlacements assigns the previous plan's placements again if they still
// satisfy the guarantee, and reports whether they do.
func (b *builder) reusePlacements(g jaymanifest.Guarantee, placements []Placement) bool {
	members := 0
	var group string
	for i, pl := range placements {
		w := b.pool.Worker(pl.worker)
		if w == nil || w.Closed() || pl.accelerators != pl.members*g.Shape().Accelerators() || !b.fits(w, g.Workspace(), pl.accelerators) {
			return false
		}
		workerGroup := w.Location().Group(g.Shape().Locality(), w.ID())
		if i > 0 && workerGroup != group {
			return false
		}
		group = workerGroup
		members += pl.members
	}
	if members != g.Shape().Members() {
		return false
	}
	for _, pl := range placements {
		b.assign(b.pool.Worker(pl.worker), g.Workspace(), pl.accelerators)
	}
	return true
}

// fits reports whether the sum over workspaces of the greater of home and
// non-preemptible work stays within the worker's accelerators when the home grows
// by n.
func (b *builder) fits(w *jaypool.Worker, workspace string, n int) bool {
	return b.available[w.ID()] >= b.additionalUse(w, workspace, n)
}

// additionalUse returns by how much growing the home by n reduces the worker's
// available accelerators. Non-preemptible work of the same workspace already covers
// a part of the home.
func (b *builder) additionalUse(w *jaypool.Worker, workspace string, n int) int {
	home, nonPreemptible := b.assigned[w.ID()][workspace], w.NonPreemptible(workspace)
	return max(home+n, nonPreemptible) - max(home, nonPreemptible)
}

func (b *builder) assign(w *jaypool.Worker, workspace string, n int) {
	b.available[w.ID()] -= b.additionalUse(w, workspace, n)
	m := b.assigned[w.ID()]
	if m == nil {
		m = map[string]int{}
		b.assigned[w.ID()] = m
	}
	m[workspace] += n
}

func (b *builder) unassign(w *jaypool.Worker, workspace string, n int) {
	m := b.assigned[w.ID()]
	m[workspace] -= n
	b.available[w.ID()] += b.additionalUse(w, workspace, n)
}

// placeGuarantee places guarantee i and all after it; placed counts those that
// have a home already. It returns true when every guarantee has one. An incomplete
// assignment is recorded when it places more guarantees than the best so far.
func (b *builder) placeGuarantee(i, placed int) bool {
	if i == len(b.guarantees) {
		b.recordBest(placed)
		return placed == len(b.guarantees)
	}
	if b.steps > b.maxSteps {
		b.recordBest(placed)
		return false
	}
	for _, group := range b.candidateGroups(b.guarantees[i]) {
		if b.placeMember(i, placed, group, 0) {
			return true
		}
		if b.steps > b.maxSteps {
			return false
		}
	}
	b.chosen[i] = nil
	if placed+len(b.guarantees)-i-1 <= b.bestPlaced {
		return false
	}
	b.placeGuarantee(i+1, placed)
	return false
}

func (b *builder) recordBest(placed int) {
	if placed <= b.bestPlaced {
		return
	}
	b.bestPlaced = placed
	b.best = make([][]*jaypool.Worker, len(b.chosen))
	for i, c := range b.chosen {
		b.best[i] = append([]*jaypool.Worker(nil), c...)
	}
}

// placeMember places the next member of guarantee i on a worker of the group at
// or after index from, so that permutations of the same workers are tried once.
func (b *builder) placeMember(i, placed int, group []*jaypool.Worker, from int) bool {
	g := b.guarantees[i]
	if len(b.chosen[i]) == g.Shape().Members() {
		return b.placeGuarantee(i+1, placed+1)
	}
	for j := from; j < len(group); j++ {
		w := group[j]
		if !b.fits(w, g.Workspace(), g.Shape().Accelerators()) {
			continue
		}
		b.steps++
		b.assign(w, g.Workspace(), g.Shape().Accelerators())
		b.chosen[i] = append(b.chosen[i], w)
		if b.placeMember(i, placed, group, j) {
			return true
		}
		if n := len(b.chosen[i]); n > 0 {
			b.chosen[i] = b.chosen[i][:n-1]
		}
		b.unassign(w, g.Workspace(), g.Shape().Accelerators())
		if b.steps > b.maxSteps {
			return false
		}
	}
	return false
}

// candidateGroups lists the groups of workers that may serve the guarantee, the
// one with the fewest available accelerators first (best fit), and within each
// the workers in the same order.
func (b *builder) candidateGroups(g jaymanifest.Guarantee) [][]*jaypool.Worker {
	type candidate struct {
		workers   []*jaypool.Worker
		available int
	}
	var all []candidate
	groups := b.pool.Groups(g.Shape().Locality())
	for _, name := range b.pool.GroupNames(g.Shape().Locality()) {
		c := candidate{}
		slots := 0
		for _, w := range groups[name] {
			if w.Closed() {
				continue
			}
			if n := b.available[w.ID()] / g.Shape().Accelerators(); n > 0 || b.fits(w, g.Workspace(), g.Shape().Accelerators()) {
				c.workers = append(c.workers, w)
				c.available += b.available[w.ID()]
				slots += max(n, 1)
			}
		}
		if slots > 0 {
			sort.SliceStable(c.workers, func(i, j int) bool { return b.available[c.workers[i].ID()] < b.available[c.workers[j].ID()] })
			all = append(all, c)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].available < all[j].available })
	workers := make([][]*jaypool.Worker, len(all))
	for i, c := range all {
		workers[i] = c.workers
	}
	return workers
}

// groupByWorker merges consecutive members on the same worker into placements.
func groupByWorker(g jaymanifest.Guarantee, workers []*jaypool.Worker) []Placement {
	var placements []Placement
	for _, w := range workers {
		if n := len(placements); n > 0 && placements[n-1].worker == w.ID() {
			placements[n-1].members++
			placements[n-1].accelerators += g.Shape().Accelerators()
			continue
		}
		placements = append(placements, Placement{worker: w.ID(), members: 1, accelerators: g.Shape().Accelerators()})
	}
	return placements
}

func (p *Plan) addHome(g jaymanifest.Guarantee, placements []Placement) {
	p.placements[g.ID()] = placements
	for _, pl := range placements {
		m := p.homes[pl.worker]
		if m == nil {
			m = map[string]int{}
			p.homes[pl.worker] = m
		}
		m[g.Workspace()] += pl.accelerators
	}
}

// OvercommitError reports a worker on which non-preemptible work blocks a home.
type OvercommitError struct {
	Worker       string
	Accelerators int
	Needed       int
}

// Error implements error.
func (e *OvercommitError) Error() string {
	return fmt.Sprintf("worker %s: homes and non-preemptible work need %d of %d accelerators", e.Worker, e.Needed, e.Accelerators)
}

// Check verifies the guarantee invariant: on each worker, the sum over
// workspaces of the greater of home and non-preemptible work is at most the
// worker's accelerators. While it holds, stopping the preemptible work that exceeds
// its own home frees every home at once.
func (p *Plan) Check(pool *jaypool.Pool) error {
	for _, w := range pool.Workers() {
		if err := p.CheckWorker(w); err != nil {
			return err
		}
	}
	return nil
}

// CheckWorker verifies the guarantee invariant on one worker.
func (p *Plan) CheckWorker(w *jaypool.Worker) error {
	if n := Committed(p.Homes(w.ID()), w); n > w.Accelerators() {
		return &OvercommitError{Worker: w.ID(), Accelerators: w.Accelerators(), Needed: n}
	}
	return nil
}

// Committed returns the worker's accelerators that homes and non-preemptible work
// commit: the sum over workspaces of the greater of the two.
func Committed(homes map[string]int, w *jaypool.Worker) int {
	sum := 0
	for workspace, n := range homes {
		sum += max(n, w.NonPreemptible(workspace))
	}
	w.EachNonPreemptible(func(workspace string, n int) {
		if homes[workspace] == 0 {
			sum += n
		}
	})
	return sum
}

// AvailableNonPreemptible returns how many more of the worker's accelerators
// non-preemptible work of the workspace may use.
func (p *Plan) AvailableNonPreemptible(w *jaypool.Worker, workspace string) int {
	homes := p.Homes(w.ID())
	others := Committed(homes, w) - max(homes[workspace], w.NonPreemptible(workspace))
	return w.Accelerators() - others - w.NonPreemptible(workspace)
}

// Fits reports whether the shape fits the pool when available returns each
// worker's usable accelerators.
func Fits(shape jayjob.Shape, pool *jaypool.Pool, available func(*jaypool.Worker) int) bool {
	for _, group := range pool.Groups(shape.Locality()) {
		members := 0
		for _, w := range group {
			if shape.Accelerators() == 0 {
				members = shape.Members()
				break
			}
			members += max(available(w), 0) / shape.Accelerators()
		}
		if members >= shape.Members() {
			return true
		}
	}
	return false
}
