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
type Location struct {
	dataCentre string
	rack       string
	cell       string
}

// NewPlace returns a place. Racks and cells are named within their data centre.
func NewLocation(dataCentre, rack, cell string) Location {
	return Location{dataCentre: dataCentre, rack: dataCentre + "/" + rack, cell: dataCentre + "/" + cell}
}

// DataCentre returns the data centre's name.
func (p Location) DataCentre() string { return p.dataCentre }

// Rack returns the rack's name, which is unique over all data centres.
func (p Location) Rack() string { return p.rack }

// Cell returns the cell's name, which is unique over all data centres.
func (p Location) Cell() string { return p.cell }

// Group returns the name of the set of workers that are as near as asked to a
// worker of the given identity at this place.
func (p Location) Group(near jayjob.Locality, worker string) string {
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
type AllocationSpec struct {
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
	Started time.Duration
	// Saved is when the last checkpoint was taken, or Since.
	LastCheckpoint time.Duration
	// Until is when the work is expected to end.
	ExpectedEnd time.Duration
	// Leaving work has been told to stop and frees its accelerators soon.
	Stopping bool
}

// Holding is a Hold as the pool keeps it.
type Allocation struct {
	spec   AllocationSpec
	worker *Worker
}

// ID returns the holding's identity.
func (h *Allocation) ID() string { return h.spec.ID }

// Job returns the job that holds.
func (h *Allocation) Job() string { return h.spec.Job }

// Workspace returns the workspace of the job.
func (h *Allocation) Workspace() string { return h.spec.Workspace }

// Kind returns the kind of the job.
func (h *Allocation) Kind() string { return h.spec.Kind }

// Class returns the class of the job.
func (h *Allocation) Class() jayjob.Class { return h.spec.Class }

// Accelerators returns how many accelerators are held.
func (h *Allocation) Accelerators() int { return h.spec.Accelerators }

// Stoppable reports whether the work may be stopped for a guarantee.
func (h *Allocation) Stoppable() bool { return h.spec.Stoppable }

// Checkpointing reports whether the work resumes from a checkpoint.
func (h *Allocation) Checkpointing() bool { return h.spec.Checkpointing }

// Leaving reports whether the work has been told to stop.
func (h *Allocation) Stopping() bool { return h.spec.Stopping }

// Since returns when the work started.
func (h *Allocation) Started() time.Duration { return h.spec.Started }

// Saved returns when the last checkpoint was taken.
func (h *Allocation) LastCheckpoint() time.Duration { return h.spec.LastCheckpoint }

// Until returns when the work is expected to end.
func (h *Allocation) ExpectedEnd() time.Duration { return h.spec.ExpectedEnd }

// Worker returns the worker whose accelerators are held.
func (h *Allocation) Worker() *Worker { return h.worker }

// Worker is one machine with accelerators.
type Worker struct {
	id           string
	location     Location
	accelerators int
	free         int
	closed       bool
	allocations  map[string]*Allocation
	// ordered caches the holdings by identity; nil after a change.
	sorted       []*Allocation
	usage        map[string]int
	nonStoppable map[string]int
}

// ID returns the worker's name.
func (w *Worker) ID() string { return w.id }

// Place returns where the worker stands.
func (w *Worker) Location() Location { return w.location }

// Accelerators returns how many accelerators the worker has.
func (w *Worker) Accelerators() int { return w.accelerators }

// Free returns how many accelerators are not held.
func (w *Worker) Free() int { return w.free }

// Closed reports whether the worker takes no new work, because it drains or is
// quarantined.
func (w *Worker) Closed() bool { return w.closed }

// Held returns how many accelerators the workspace holds here.
func (w *Worker) Usage(workspace string) int { return w.usage[workspace] }

// Fixed returns how many accelerators the workspace holds here with work that
// may not be stopped.
func (w *Worker) NonStoppable(workspace string) int { return w.nonStoppable[workspace] }

// FixedWorkspaces calls f for each workspace that holds accelerators with work
// that may not be stopped.
func (w *Worker) EachNonStoppable(f func(workspace string, accelerators int)) {
	for s, n := range w.nonStoppable {
		f(s, n)
	}
}

// Holdings returns what is held here, ordered by identity. The caller must not
// change it.
func (w *Worker) Allocations() []*Allocation {
	if w.sorted != nil {
		return w.sorted
	}
	all := make([]*Allocation, 0, len(w.allocations))
	for _, h := range w.allocations {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].spec.ID < all[j].spec.ID })
	w.sorted = all
	return all
}

// OverbookedError reports a hold that would take accelerators twice.
type OverbookedError struct {
	Worker    string
	Free      int
	Requested int
}

// Error implements error.
func (e *OverbookedError) Error() string {
	return fmt.Sprintf("worker %s: %d accelerators asked, %d free", e.Worker, e.Requested, e.Free)
}

// UnknownError reports a worker or hold that the pool does not have.
type UnknownError struct{ Subject string }

// Error implements error.
func (e *UnknownError) Error() string { return "pool has no " + e.Subject }

// Pool is a table of workers. It is not safe for concurrent use.
type Pool struct {
	workers map[string]*Worker
	sorted  []*Worker
	groups  map[jayjob.Locality]map[string][]*Worker
	byJob   map[string]map[string]*Allocation
	usage   map[string]int
	free    int
	total   int
	version uint64
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{workers: map[string]*Worker{}, byJob: map[string]map[string]*Allocation{}, usage: map[string]int{}}
	p.rebuildGroups()
	return p
}

// Add puts a worker into the pool, in place of one of the same name.
func (p *Pool) Add(id string, place Location, accelerators int) *Worker {
	p.Remove(id)
	w := &Worker{id: id, location: place, accelerators: accelerators, free: accelerators, allocations: map[string]*Allocation{}, usage: map[string]int{}, nonStoppable: map[string]int{}}
	p.workers[id] = w
	i := sort.Search(len(p.sorted), func(i int) bool { return p.sorted[i].id >= id })
	p.sorted = append(p.sorted, nil)
	copy(p.sorted[i+1:], p.sorted[i:])
	p.sorted[i] = w
	p.total += accelerators
	p.free += accelerators
	p.rebuildGroups()
	return w
}

// Remove takes a worker and all that it holds out of the pool.
func (p *Pool) Remove(id string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for h := range w.allocations {
		_ = p.Release(id, h)
	}
	p.total -= w.accelerators
	if !w.closed {
		p.free -= w.free
	}
	delete(p.workers, id)
	i := sort.Search(len(p.sorted), func(i int) bool { return p.sorted[i].id >= id })
	p.sorted = append(p.sorted[:i], p.sorted[i+1:]...)
	p.rebuildGroups()
}

func (p *Pool) rebuildGroups() {
	p.version++
	p.groups = map[jayjob.Locality]map[string][]*Worker{}
	for _, n := range []jayjob.Locality{jayjob.Anywhere, jayjob.SameDataCentre, jayjob.SameRack, jayjob.SameWorker} {
		g := map[string][]*Worker{}
		for _, w := range p.sorted {
			k := w.location.Group(n, w.id)
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
func (p *Pool) Workers() []*Worker { return p.sorted }

// Groups returns the sets of workers that are as near as asked, by name.
func (p *Pool) Groups(near jayjob.Locality) map[string][]*Worker { return p.groups[near] }

// GroupNames returns the names of the sets in order.
func (p *Pool) GroupNames(near jayjob.Locality) []string {
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
func (p *Pool) Allocate(worker string, h AllocationSpec) (*Allocation, error) {
	w := p.workers[worker]
	if w == nil {
		return nil, &UnknownError{Subject: "worker " + worker}
	}
	if h.Accelerators > w.free {
		return nil, &OverbookedError{Worker: worker, Free: w.free, Requested: h.Accelerators}
	}
	if w.allocations[h.ID] != nil {
		return nil, &OverbookedError{Worker: worker, Free: w.free, Requested: h.Accelerators}
	}
	return p.insert(w, h), nil
}

// Adopt books what a worker is known to hold even where the table has no room
// for it: the owner's word goes before this reader's table.
func (p *Pool) Adopt(worker string, h AllocationSpec) *Allocation {
	w := p.workers[worker]
	if w == nil {
		return nil
	}
	if w.allocations[h.ID] != nil {
		_ = p.Release(worker, h.ID)
	}
	return p.insert(w, h)
}

func (p *Pool) insert(w *Worker, h AllocationSpec) *Allocation {
	b := &Allocation{spec: h, worker: w}
	w.allocations[h.ID] = b
	w.sorted = nil
	p.account(w, h, 1)
	if p.byJob[h.Job] == nil {
		p.byJob[h.Job] = map[string]*Allocation{}
	}
	p.byJob[h.Job][w.id+"\x00"+h.ID] = b
	return b
}

func (p *Pool) account(w *Worker, h AllocationSpec, sign int) {
	n := sign * h.Accelerators
	w.free -= n
	if !w.closed {
		p.free -= n
	}
	p.usage[h.Workspace] += n
	addTo(w.usage, h.Workspace, n)
	if !h.Stoppable {
		addTo(w.nonStoppable, h.Workspace, n)
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
	if w == nil || w.allocations[hold] == nil {
		return &UnknownError{Subject: "hold " + hold + " on worker " + worker}
	}
	b := w.allocations[hold]
	delete(w.allocations, hold)
	w.sorted = nil
	p.account(w, b.spec, -1)
	jobs := p.byJob[b.spec.Job]
	delete(jobs, w.id+"\x00"+hold)
	if len(jobs) == 0 {
		delete(p.byJob, b.spec.Job)
	}
	return nil
}

// ReleaseJob frees everything that a job holds and returns how much it was.
func (p *Pool) ReleaseJob(job string) int {
	n := 0
	for _, h := range p.JobAllocations(job) {
		n += h.spec.Accelerators
		_ = p.Release(h.worker.id, h.spec.ID)
	}
	return n
}

// JobHoldings returns what a job holds, ordered by worker.
func (p *Pool) JobAllocations(job string) []*Allocation {
	m := p.byJob[job]
	all := make([]*Allocation, 0, len(m))
	for _, h := range m {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].worker.id != all[j].worker.id {
			return all[i].worker.id < all[j].worker.id
		}
		return all[i].spec.ID < all[j].spec.ID
	})
	return all
}

// Touch updates what changes while work runs.
func (p *Pool) Update(worker, hold string, saved, until time.Duration, leaving bool) {
	w := p.workers[worker]
	if w == nil || w.allocations[hold] == nil {
		return
	}
	b := w.allocations[hold]
	b.spec.LastCheckpoint = saved
	b.spec.ExpectedEnd = until
	b.spec.Stopping = leaving
}

// Check returns an error when the table's sums disagree with its rows.
func (p *Pool) Check() error {
	for _, w := range p.sorted {
		sum := 0
		for _, h := range w.allocations {
			sum += h.spec.Accelerators
		}
		if w.free+sum != w.accelerators || w.free < 0 {
			return &OverbookedError{Worker: w.id, Free: w.free, Requested: sum}
		}
	}
	return nil
}
