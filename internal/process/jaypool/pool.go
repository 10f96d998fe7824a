// Package jaypool holds one process's view of the workers and of the accelerators
// allocated on them. It has no clock and does no I/O: times are durations since an
// epoch that the caller chooses.
package jaypool

import (
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Location is the data centre, rack and cell of a worker.
type Location struct {
	dataCentre string
	rack       string
	cell       string
}

// NewLocation returns a location. Racks and cells are named within their data
// centre.
func NewLocation(dataCentre, rack, cell string) Location {
	return Location{dataCentre: dataCentre, rack: dataCentre + "/" + rack, cell: dataCentre + "/" + cell}
}

// DataCentre returns the data centre's name.
func (p Location) DataCentre() string { return p.dataCentre }

// Rack returns the rack's name, which is unique over all data centres.
func (p Location) Rack() string { return p.rack }

// Cell returns the cell's name, which is unique over all data centres.
func (p Location) Cell() string { return p.cell }

// Group returns the name of the group of workers of the given locality that a
// worker of the given name at this location belongs to.
func (p Location) Group(locality jayjob.Locality, worker string) string {
	switch locality {
	case jayjob.SameWorker:
		return worker
	case jayjob.SameRack:
		return p.rack
	case jayjob.SameDataCentre:
		return p.dataCentre
	}
	return ""
}

// AllocationSpec describes the accelerators of one worker that are allocated to
// one member of a gang.
type AllocationSpec struct {
	ID           string
	Job          string
	Workspace    string
	Kind         string
	Class        jayjob.Class
	Accelerators int
	// Preemptible work may be stopped to give another workspace its guarantee.
	Preemptible bool
	// Checkpointing work resumes from its checkpoint; other work starts over.
	Checkpointing bool
	// Started is when the work started.
	Started time.Duration
	// LastCheckpoint is when the last checkpoint was taken, or Started.
	LastCheckpoint time.Duration
	// ExpectedEnd is when the work is expected to end.
	ExpectedEnd time.Duration
	// Stopping work has been ordered to stop but still occupies its accelerators.
	Stopping bool
}

// Allocation is an allocation of accelerators in the pool.
type Allocation struct {
	spec   AllocationSpec
	worker *Worker
}

// ID returns the allocation's identity.
func (a *Allocation) ID() string { return a.spec.ID }

// Job returns the job that the accelerators are allocated to.
func (a *Allocation) Job() string { return a.spec.Job }

// Workspace returns the workspace of the job.
func (a *Allocation) Workspace() string { return a.spec.Workspace }

// Kind returns the kind of the job.
func (a *Allocation) Kind() string { return a.spec.Kind }

// Class returns the class of the job.
func (a *Allocation) Class() jayjob.Class { return a.spec.Class }

// Accelerators returns how many accelerators are allocated.
func (a *Allocation) Accelerators() int { return a.spec.Accelerators }

// Preemptible reports whether the work may be stopped for a guarantee.
func (a *Allocation) Preemptible() bool { return a.spec.Preemptible }

// Checkpointing reports whether the work resumes from a checkpoint.
func (a *Allocation) Checkpointing() bool { return a.spec.Checkpointing }

// Stopping reports whether the work has been ordered to stop.
func (a *Allocation) Stopping() bool { return a.spec.Stopping }

// Started returns when the work started.
func (a *Allocation) Started() time.Duration { return a.spec.Started }

// LastCheckpoint returns when the last checkpoint was taken.
func (a *Allocation) LastCheckpoint() time.Duration { return a.spec.LastCheckpoint }

// ExpectedEnd returns when the work is expected to end.
func (a *Allocation) ExpectedEnd() time.Duration { return a.spec.ExpectedEnd }

// Worker returns the worker whose accelerators are allocated.
func (a *Allocation) Worker() *Worker { return a.worker }

// Worker is one machine with accelerators.
type Worker struct {
	id           string
	location     Location
	accelerators int
	free         int
	closed       bool
	allocations  map[string]*Allocation
	// sorted caches the allocations by identity; nil after a change.
	sorted         []*Allocation
	usage          map[string]int
	nonPreemptible map[string]int
}

// ID returns the worker's name.
func (w *Worker) ID() string { return w.id }

// Location returns the worker's location.
func (w *Worker) Location() Location { return w.location }

// Accelerators returns how many accelerators the worker has.
func (w *Worker) Accelerators() int { return w.accelerators }

// Free returns how many accelerators are not allocated.
func (w *Worker) Free() int { return w.free }

// Closed reports whether the worker takes no new work, because it drains, is
// quarantined or is out of contact.
func (w *Worker) Closed() bool { return w.closed }

// Usage returns how many accelerators are allocated to the workspace.
func (w *Worker) Usage(workspace string) int { return w.usage[workspace] }

// NonPreemptible returns how many accelerators are allocated to non-preemptible
// work of the workspace.
func (w *Worker) NonPreemptible(workspace string) int { return w.nonPreemptible[workspace] }

// EachNonPreemptible calls f for each workspace with non-preemptible work, with
// the accelerators allocated to that work.
func (w *Worker) EachNonPreemptible(f func(workspace string, accelerators int)) {
	for workspace, n := range w.nonPreemptible {
		f(workspace, n)
	}
}

// Allocations returns the worker's allocations, ordered by identity. The caller
// must not change the slice.
func (w *Worker) Allocations() []*Allocation {
	if w.sorted != nil {
		return w.sorted
	}
	all := make([]*Allocation, 0, len(w.allocations))
	for _, a := range w.allocations {
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].spec.ID < all[j].spec.ID })
	w.sorted = all
	return all
}

// OverbookedError reports an allocation that exceeds the free accelerators or
// exists already.
type OverbookedError struct {
	Worker    string
	Free      int
	Requested int
}

// Error implements error.
func (e *OverbookedError) Error() string {
	return fmt.Sprintf("worker %s: %d accelerators requested, %d free", e.Worker, e.Requested, e.Free)
}

// UnknownError reports a worker or allocation that the pool does not have.
type UnknownError struct{ Subject string }

// Error implements error.
func (e *UnknownError) Error() string { return "pool has no " + e.Subject }

// Pool is a table of workers. It is not safe for concurrent use.
type Pool struct {
	workers map[string]*Worker
	sorted  []*Worker
	groups  map[jayjob.Locality]map[string][]*Worker
	// byJob holds the allocations of each job, by worker and identity.
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
func (p *Pool) Add(id string, location Location, accelerators int) *Worker {
	p.Remove(id)
	w := &Worker{id: id, location: location, accelerators: accelerators, free: accelerators, allocations: map[string]*Allocation{}, usage: map[string]int{}, nonPreemptible: map[string]int{}}
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

// Remove takes a worker with its allocations out of the pool.
func (p *Pool) Remove(id string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for a := range w.allocations {
		_ = p.Release(id, a)
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
	for _, locality := range []jayjob.Locality{jayjob.Anywhere, jayjob.SameDataCentre, jayjob.SameRack, jayjob.SameWorker} {
		g := map[string][]*Worker{}
		for _, w := range p.sorted {
			k := w.location.Group(locality, w.id)
			g[k] = append(g[k], w)
		}
		p.groups[locality] = g
	}
}

// Version changes whenever a worker is added, removed, opened or closed.
func (p *Pool) Version() uint64 { return p.version }

// Worker returns the worker of the name, or nil.
func (p *Pool) Worker(id string) *Worker { return p.workers[id] }

// Workers returns all workers ordered by name. The caller must not change the
// slice.
func (p *Pool) Workers() []*Worker { return p.sorted }

// Groups returns the groups of workers of the given locality, by name.
func (p *Pool) Groups(locality jayjob.Locality) map[string][]*Worker { return p.groups[locality] }

// GroupNames returns the sorted names of the groups.
func (p *Pool) GroupNames(locality jayjob.Locality) []string {
	names := make([]string, 0, len(p.groups[locality]))
	for n := range p.groups[locality] {
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

// Usage returns how many accelerators are allocated to the workspace on all
// workers.
func (p *Pool) Usage(workspace string) int { return p.usage[workspace] }

// Allocate allocates accelerators of one worker.
func (p *Pool) Allocate(worker string, spec AllocationSpec) (*Allocation, error) {
	w := p.workers[worker]
	if w == nil {
		return nil, &UnknownError{Subject: "worker " + worker}
	}
	if spec.Accelerators > w.free {
		return nil, &OverbookedError{Worker: worker, Free: w.free, Requested: spec.Accelerators}
	}
	if w.allocations[spec.ID] != nil {
		return nil, &OverbookedError{Worker: worker, Free: w.free, Requested: spec.Accelerators}
	}
	return p.insert(w, spec), nil
}

// Adopt records an allocation that the worker's agent has reported, even beyond
// the free accelerators: the agent is authoritative, this pool may be stale.
func (p *Pool) Adopt(worker string, spec AllocationSpec) *Allocation {
	w := p.workers[worker]
	if w == nil {
		return nil
	}
	if w.allocations[spec.ID] != nil {
		_ = p.Release(worker, spec.ID)
	}
	return p.insert(w, spec)
}

func (p *Pool) insert(w *Worker, spec AllocationSpec) *Allocation {
	a := &Allocation{spec: spec, worker: w}
	w.allocations[spec.ID] = a
	w.sorted = nil
	p.account(w, spec, 1)
	if p.byJob[spec.Job] == nil {
		p.byJob[spec.Job] = map[string]*Allocation{}
	}
	p.byJob[spec.Job][w.id+"\x00"+spec.ID] = a
	return a
}

// account adds an allocation to the sums with sign 1 and subtracts it with sign -1.
func (p *Pool) account(w *Worker, spec AllocationSpec, sign int) {
	n := sign * spec.Accelerators
	w.free -= n
	if !w.closed {
		p.free -= n
	}
	p.usage[spec.Workspace] += n
	addTo(w.usage, spec.Workspace, n)
	if !spec.Preemptible {
		addTo(w.nonPreemptible, spec.Workspace, n)
	}
}

func addTo(m map[string]int, key string, n int) {
	m[key] += n
	if m[key] == 0 {
		delete(m, key)
	}
}

// Release removes one allocation.
func (p *Pool) Release(worker, allocation string) error {
	w := p.workers[worker]
	if w == nil || w.allocations[allocation] == nil {
		return &UnknownError{Subject: "allocation " + allocation + " on worker " + worker}
	}
	a := w.allocations[allocation]
	delete(w.allocations, allocation)
	w.sorted = nil
	p.account(w, a.spec, -1)
	ofJob := p.byJob[a.spec.Job]
	delete(ofJob, w.id+"\x00"+allocation)
	if len(ofJob) == 0 {
		delete(p.byJob, a.spec.Job)
	}
	return nil
}

// ReleaseJob removes all allocations of a job and returns how many accelerators
// they had.
func (p *Pool) ReleaseJob(job string) int {
	n := 0
	for _, a := range p.JobAllocations(job) {
		n += a.spec.Accelerators
		_ = p.Release(a.worker.id, a.spec.ID)
	}
	return n
}

// JobAllocations returns the allocations of a job, ordered by worker.
func (p *Pool) JobAllocations(job string) []*Allocation {
	ofJob := p.byJob[job]
	all := make([]*Allocation, 0, len(ofJob))
	for _, a := range ofJob {
		all = append(all, a)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].worker.id != all[j].worker.id {
			return all[i].worker.id < all[j].worker.id
		}
		return all[i].spec.ID < all[j].spec.ID
	})
	return all
}

// Update sets the fields of an allocation that change while work runs.
func (p *Pool) Update(worker, allocation string, lastCheckpoint, expectedEnd time.Duration, stopping bool) {
	w := p.workers[worker]
	if w == nil || w.allocations[allocation] == nil {
		return
	}
	a := w.allocations[allocation]
	a.spec.LastCheckpoint = lastCheckpoint
	a.spec.ExpectedEnd = expectedEnd
	a.spec.Stopping = stopping
}

// Check returns an error when the free accelerators of a worker disagree with its
// allocations.
func (p *Pool) Check() error {
	for _, w := range p.sorted {
		sum := 0
		for _, a := range w.allocations {
			sum += a.spec.Accelerators
		}
		if w.free+sum != w.accelerators || w.free < 0 {
			return &OverbookedError{Worker: w.id, Free: w.free, Requested: sum}
		}
	}
	return nil
}
