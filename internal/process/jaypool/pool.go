// Package jaypool holds the table of workers and of what they run, as one
// reader knows it. It has no clock and does no input or output: times are
// durations since an epoch that the caller chooses.
package jaypool

import (
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Place says where a worker stands.
type Place struct {
	dataCentre string
	rack       string
	cell       string
}

// NewPlace returns a place. Racks and cells are named within their data centre.
func NewPlace(dataCentre, rack, cell string) Place {
	return Place{dataCentre: dataCentre, rack: dataCentre + "/" + rack, cell: dataCentre + "/" + cell}
}

// DataCentre returns the data centre's name.
func (p Place) DataCentre() string { return p.dataCentre }

// Rack returns the rack's name, which is unique over all data centres.
func (p Place) Rack() string { return p.rack }

// Cell returns the cell's name, which is unique over all data centres.
func (p Place) Cell() string { return p.cell }

// Group returns the name of the set of workers that are as near as asked to a
// worker of the given identity at this place.
func (p Place) Group(near jayjob.Near, worker string) string {
	switch near {
	case jayjob.SameWorker:
		return worker
	case jayjob.SameRack:
		return p.rack
	case jayjob.SameDataCentre:
		return p.dataCentre
	}
	return ""
}

// Hold describes accelerators of one worker that one member of a gang holds.
type Hold struct {
	ID           string
	Job          string
	Workspace    string
	Kind         string
	Class        jayjob.Class
	Accelerators int
	// Stoppable work may be stopped to give another workspace its guarantee.
	Stoppable bool
	// Checkpointing work resumes where it was; other work starts anew.
	Checkpointing bool
	// Since is when the work started.
	Since time.Duration
	// Saved is when the last checkpoint was taken, or Since.
	Saved time.Duration
	// Until is when the work is expected to end.
	Until time.Duration
	// Leaving work has been told to stop and frees its accelerators soon.
	Leaving bool
}

// Holding is a Hold as the pool keeps it.
type Holding struct {
	h      Hold
	worker *Worker
}

// ID returns the holding's identity.
func (h *Holding) ID() string { return h.h.ID }

// Job returns the job that holds.
func (h *Holding) Job() string { return h.h.Job }

// Workspace returns the workspace of the job.
func (h *Holding) Workspace() string { return h.h.Workspace }

// Kind returns the kind of the job.
func (h *Holding) Kind() string { return h.h.Kind }

// Class returns the class of the job.
func (h *Holding) Class() jayjob.Class { return h.h.Class }

// Accelerators returns how many accelerators are held.
func (h *Holding) Accelerators() int { return h.h.Accelerators }

// Stoppable reports whether the work may be stopped for a guarantee.
func (h *Holding) Stoppable() bool { return h.h.Stoppable }

// Checkpointing reports whether the work resumes from a checkpoint.
func (h *Holding) Checkpointing() bool { return h.h.Checkpointing }

// Leaving reports whether the work has been told to stop.
func (h *Holding) Leaving() bool { return h.h.Leaving }

// Since returns when the work started.
func (h *Holding) Since() time.Duration { return h.h.Since }

// Saved returns when the last checkpoint was taken.
func (h *Holding) Saved() time.Duration { return h.h.Saved }

// Until returns when the work is expected to end.
func (h *Holding) Until() time.Duration { return h.h.Until }

// Worker returns the worker whose accelerators are held.
func (h *Holding) Worker() *Worker { return h.worker }

// Worker is one machine with accelerators.
type Worker struct {
	id           string
	place        Place
	accelerators int
	free         int
	closed       bool
	holdings     map[string]*Holding
	// ordered caches the holdings by identity; nil after a change.
	ordered     []*Holding
	byWorkspace map[string]int
	fixed       map[string]int
}

// ID returns the worker's name.
func (w *Worker) ID() string { return w.id }

// Place returns where the worker stands.
func (w *Worker) Place() Place { return w.place }

// Accelerators returns how many accelerators the worker has.
func (w *Worker) Accelerators() int { return w.accelerators }

// Free returns how many accelerators are not held.
func (w *Worker) Free() int { return w.free }

// Closed reports whether the worker takes no new work, because it drains or is
// quarantined.
func (w *Worker) Closed() bool { return w.closed }

// Held returns how many accelerators the workspace holds here.
func (w *Worker) Held(workspace string) int { return w.byWorkspace[workspace] }

// Fixed returns how many accelerators the workspace holds here with work that
// may not be stopped.
func (w *Worker) Fixed(workspace string) int { return w.fixed[workspace] }

// FixedWorkspaces calls f for each workspace that holds accelerators with work
// that may not be stopped.
func (w *Worker) FixedWorkspaces(f func(workspace string, accelerators int)) {
	for s, n := range w.fixed {
		f(s, n)
	}
}

// Holdings returns what is held here, ordered by identity. The caller must not
// change it.
func (w *Worker) Holdings() []*Holding {
	if w.ordered != nil {
		return w.ordered
	}
	all := make([]*Holding, 0, len(w.holdings))
	for _, h := range w.holdings {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].h.ID < all[j].h.ID })
	w.ordered = all
	return all
}

// OverbookedError reports a hold that would take accelerators twice.
type OverbookedError struct {
	Worker string
	Free   int
	Asked  int
}

// Error implements error.
func (e *OverbookedError) Error() string {
	return fmt.Sprintf("worker %s: %d accelerators asked, %d free", e.Worker, e.Asked, e.Free)
}

// UnknownError reports a worker or hold that the pool does not have.
type UnknownError struct{ Subject string }

// Error implements error.
func (e *UnknownError) Error() string { return "pool has no " + e.Subject }

// Pool is a table of workers. It is not safe for concurrent use.
type Pool struct {
	workers map[string]*Worker
	order   []*Worker
	groups  map[jayjob.Near]map[string][]*Worker
	byJob   map[string]map[string]*Holding
	usage   map[string]int
	free    int
	total   int
	version uint64
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{workers: map[string]*Worker{}, byJob: map[string]map[string]*Holding{}, usage: map[string]int{}}
	p.index()
	return p
}

// Add puts a worker into the pool, in place of one of the same name.
func (p *Pool) Add(id string, place Place, accelerators int) *Worker {
	p.Remove(id)
	w := &Worker{id: id, place: place, accelerators: accelerators, free: accelerators, holdings: map[string]*Holding{}, byWorkspace: map[string]int{}, fixed: map[string]int{}}
	p.workers[id] = w
	i := sort.Search(len(p.order), func(i int) bool { return p.order[i].id >= id })
	p.order = append(p.order, nil)
	copy(p.order[i+1:], p.order[i:])
	p.order[i] = w
	p.total += accelerators
	p.free += accelerators
	p.index()
	return w
}

// Remove takes a worker and all that it holds out of the pool.
func (p *Pool) Remove(id string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for h := range w.holdings {
		_ = p.Release(id, h)
	}
	p.total -= w.accelerators
	if !w.closed {
		p.free -= w.free
	}
	delete(p.workers, id)
	i := sort.Search(len(p.order), func(i int) bool { return p.order[i].id >= id })
	p.order = append(p.order[:i], p.order[i+1:]...)
	p.index()
}

func (p *Pool) index() {
	p.version++
	p.groups = map[jayjob.Near]map[string][]*Worker{}
	for _, n := range []jayjob.Near{jayjob.Anywhere, jayjob.SameDataCentre, jayjob.SameRack, jayjob.SameWorker} {
		g := map[string][]*Worker{}
		for _, w := range p.order {
			k := w.place.Group(n, w.id)
			g[k] = append(g[k], w)
		}
		p.groups[n] = g
	}
}

// Version changes whenever a worker is added, removed, opened or closed.
func (p *Pool) Version() uint64 { return p.version }

// Worker returns the worker of the name, or nil.
func (p *Pool) Worker(id string) *Worker { return p.workers[id] }

// Workers returns all workers ordered by name. The caller must not change it.
func (p *Pool) Workers() []*Worker { return p.order }

// Groups returns the sets of workers that are as near as asked, by name.
func (p *Pool) Groups(near jayjob.Near) map[string][]*Worker { return p.groups[near] }

// GroupNames returns the names of the sets in order.
func (p *Pool) GroupNames(near jayjob.Near) []string {
	names := make([]string, 0, len(p.groups[near]))
	for n := range p.groups[near] {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// SetClosed opens or closes a worker for new work.
func (p *Pool) SetClosed(id string, closed bool) {
	w := p.workers[id]
	if w == nil || w.closed == closed {
		return
	}
	w.closed = closed
	p.version++
	if closed {
		p.free -= w.free
		return
	}
	p.free += w.free
}

// Free returns the free accelerators of all open workers.
func (p *Pool) Free() int { return p.free }

// Total returns the accelerators of all workers.
func (p *Pool) Total() int { return p.total }

// Usage returns how many accelerators the workspace holds over all workers.
func (p *Pool) Usage(workspace string) int { return p.usage[workspace] }

// Hold books accelerators of one worker.
func (p *Pool) Hold(worker string, h Hold) (*Holding, error) {
	w := p.workers[worker]
	if w == nil {
		return nil, &UnknownError{Subject: "worker " + worker}
	}
	if h.Accelerators > w.free {
		return nil, &OverbookedError{Worker: worker, Free: w.free, Asked: h.Accelerators}
	}
	if w.holdings[h.ID] != nil {
		return nil, &OverbookedError{Worker: worker, Free: w.free, Asked: h.Accelerators}
	}
	return p.book(w, h), nil
}

// Adopt books what a worker is known to hold even where the table has no room
// for it: the owner's word goes before this reader's table.
func (p *Pool) Adopt(worker string, h Hold) *Holding {
	w := p.workers[worker]
	if w == nil {
		return nil
	}
	if w.holdings[h.ID] != nil {
		_ = p.Release(worker, h.ID)
	}
	return p.book(w, h)
}

func (p *Pool) book(w *Worker, h Hold) *Holding {
	b := &Holding{h: h, worker: w}
	w.holdings[h.ID] = b
	w.ordered = nil
	p.account(w, h, 1)
	if p.byJob[h.Job] == nil {
		p.byJob[h.Job] = map[string]*Holding{}
	}
	p.byJob[h.Job][w.id+"\x00"+h.ID] = b
	return b
}

func (p *Pool) account(w *Worker, h Hold, sign int) {
	n := sign * h.Accelerators
	w.free -= n
	if !w.closed {
		p.free -= n
	}
	p.usage[h.Workspace] += n
	addTo(w.byWorkspace, h.Workspace, n)
	if !h.Stoppable {
		addTo(w.fixed, h.Workspace, n)
	}
}

func addTo(m map[string]int, key string, n int) {
	m[key] += n
	if m[key] == 0 {
		delete(m, key)
	}
}

// Release frees one holding.
func (p *Pool) Release(worker, hold string) error {
	w := p.workers[worker]
	if w == nil || w.holdings[hold] == nil {
		return &UnknownError{Subject: "hold " + hold + " on worker " + worker}
	}
	b := w.holdings[hold]
	delete(w.holdings, hold)
	w.ordered = nil
	p.account(w, b.h, -1)
	jobs := p.byJob[b.h.Job]
	delete(jobs, w.id+"\x00"+hold)
	if len(jobs) == 0 {
		delete(p.byJob, b.h.Job)
	}
	return nil
}

// ReleaseJob frees everything that a job holds and returns how much it was.
func (p *Pool) ReleaseJob(job string) int {
	n := 0
	for _, h := range p.JobHoldings(job) {
		n += h.h.Accelerators
		_ = p.Release(h.worker.id, h.h.ID)
	}
	return n
}

// JobHoldings returns what a job holds, ordered by worker.
func (p *Pool) JobHoldings(job string) []*Holding {
	m := p.byJob[job]
	all := make([]*Holding, 0, len(m))
	for _, h := range m {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].worker.id != all[j].worker.id {
			return all[i].worker.id < all[j].worker.id
		}
		return all[i].h.ID < all[j].h.ID
	})
	return all
}

// Touch updates what changes while work runs.
func (p *Pool) Touch(worker, hold string, saved, until time.Duration, leaving bool) {
	w := p.workers[worker]
	if w == nil || w.holdings[hold] == nil {
		return
	}
	b := w.holdings[hold]
	b.h.Saved = saved
	b.h.Until = until
	b.h.Leaving = leaving
}

// Check returns an error when the table's sums disagree with its rows.
func (p *Pool) Check() error {
	for _, w := range p.order {
		sum := 0
		for _, h := range w.holdings {
			sum += h.h.Accelerators
		}
		if w.free+sum != w.accelerators || w.free < 0 {
			return &OverbookedError{Worker: w.id, Free: w.free, Asked: sum}
		}
	}
	return nil
}
