package jaypolicy

import (
	"container/heap"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaysched"
)

const (
	// checkpointEvery is how often checkpointing work saves itself.
	checkpointEvery = 5 * time.Minute
	// stopCost is how long a victim takes to save itself and leave.
	stopCost = 2 * time.Second
	// compactEvery is the least time between two moves of work.
	compactEvery = 30 * time.Second
	// minRuntime bounds the slowdown of very short jobs from below. Source:
	// D. Feitelson and L. Rudolph, bounded slowdown, 1998.
	minRuntime = 10 * time.Second
)

type eventKind uint8

const (
	arrives eventKind = iota
	finishes
	fails
	returns
)

// event is one thing that happens on the virtual clock.
type event struct {
	at    time.Duration
	kind  eventKind
	index int
	life  int
	order int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// progress is a job's state on the virtual clock.
type progress struct {
	task    task
	done    time.Duration
	begun   time.Duration
	first   time.Duration
	running bool
	// entitled says that the job's shape was guaranteed to it when it arrived.
	entitled bool
	life     int
	ended    time.Duration
	stops    int
}

// driver runs one planner over one run's jobs and outages.
type driver struct {
	planner     *planner
	events      events
	order       int
	jobs        map[string]*progress
	list        []*progress
	lastAt      time.Duration
	horizon     time.Duration
	fragmented  float64
	busy        float64
	weighed     float64
	lost        time.Duration
	nextCompact time.Duration
	reclaims    []time.Duration
}

func (d *driver) push(at time.Duration, kind eventKind, index, life int) {
	d.order++
	heap.Push(&d.events, event{at: at, kind: kind, index: index, life: life, order: d.order})
}

// run plays all events and returns the measures.
func run(m Mix, p *planner, tasks []task, outages []outage) Result {
	d := &driver{planner: p, jobs: map[string]*progress{}}
	for i, t := range tasks {
		pr := &progress{task: t}
		d.jobs[t.id] = pr
		d.list = append(d.list, pr)
		d.push(t.arrived, arrives, i, 0)
	}
	d.horizon = tasks[len(tasks)-1].arrived
	for i, o := range outages {
		d.push(o.from, fails, i, 0)
		d.push(o.to, returns, i, 0)
	}
	for d.events.Len() > 0 {
		e := heap.Pop(&d.events).(event)
		d.weigh(m, e.at)
		d.happen(e, outages)
		if d.events.Len() == 0 || d.events[0].at > e.at {
			d.decide(e.at)
		}
	}
	return d.result(m)
}

// weigh adds the time since the last event to the time-weighted measures.
func (d *driver) weigh(m Mix, now time.Duration) {
	span := (min(now, d.horizon) - d.lastAt).Seconds()
	d.lastAt = min(now, d.horizon)
	if span <= 0 {
		return
	}
	pool := d.planner.pool
	d.weighed += span
	d.fragmented += span * jaysched.Fragmentation(pool, m.guarantees)
	if pool.Total() > 0 {
		d.busy += span * float64(pool.Total()-pool.Free()) / float64(pool.Total())
	}
}

func (d *driver) happen(e event, outages []outage) {
	switch e.kind {
	case arrives:
		p := d.list[e.index]
		p.entitled = d.planner.entitled != nil && d.planner.entitled(p.task)
		d.planner.submit(p.task, 0)
	case finishes:
		d.finish(d.list[e.index], e)
	case fails:
		d.fail(outages[e.index], e.at)
	case returns:
		addWorker(d.planner.pool, outages[e.index].worker)
		d.planner.changed()
	}
}

func (d *driver) finish(p *progress, e event) {
	if !p.running || p.life != e.life {
		return
	}
	p.running = false
	p.ended = e.at
	d.planner.finish(p.task.id, p.task.work)
}

// fail stops what a failing worker ran; whole gangs go with it.
func (d *driver) fail(o outage, now time.Duration) {
	w := d.planner.pool.Worker(workerName(o.worker))
	victims := map[string]bool{}
	for _, h := range w.Allocations() {
		victims[h.Job()] = true
	}
	for _, p := range d.list {
		if victims[p.task.id] {
			d.interrupt(p, now, true)
			d.planner.stop(p.task.id, p.done)
			if d.planner.name != "jaystile" {
				d.planner.submit(p.task, p.done)
			}
		}
	}
	d.planner.pool.Remove(workerName(o.worker))
	d.planner.changed()
}

// interrupt ends a run early. Checkpointing work keeps what it has saved: all
// of it when it was asked to stop, else up to its last periodic checkpoint.
func (d *driver) interrupt(p *progress, now time.Duration, crashed bool) {
	ran := max(now-p.begun, 0)
	kept := time.Duration(0)
	if p.task.spec.Checkpointing() {
		kept = ran
		if crashed {
			kept = ran / checkpointEvery * checkpointEvery
		}
	} else if !crashed && !p.task.spec.Idempotent() {
		panic("invariant broken: work that may not be stopped was stopped")
	}
	if !p.task.spec.Checkpointing() {
		p.done = 0
	}
	p.done += kept
	d.lost += (ran - kept) * time.Duration(p.task.spec.Shape().TotalAccelerators())
	p.running = false
	p.life++
	if !crashed {
		p.stops++
	}
}

// decide starts what the planner says until it has nothing more to start, then
// lets it compact once.
func (d *driver) decide(now time.Duration) {
	for d.startAll(now) {
	}
	if d.planner.compact == nil || now < d.nextCompact {
		return
	}
	moved := d.planner.compact(now)
	for _, id := range moved {
		d.evict(d.jobs[id], now)
	}
	if len(moved) > 0 {
		d.nextCompact = now + compactEvery
		for d.startAll(now) {
		}
	}
}

// evict stops a job that made room and queues it again.
func (d *driver) evict(p *progress, now time.Duration) {
	d.interrupt(p, now, false)
	d.lost += stopCost * time.Duration(p.task.spec.Shape().TotalAccelerators())
	d.planner.stop(p.task.id, p.done)
}

// startAll starts one round of decisions and reports whether any had victims,
// which are queued again.
func (d *driver) startAll(now time.Duration) bool {
	again := false
	for _, s := range d.planner.decide(now) {
		begin := now
		for _, v := range s.victims {
			p := d.jobs[v]
			if !p.running {
				continue
			}
			d.evict(p, now)
			begin = now + stopCost
			again = true
		}
		d.begin(d.jobs[s.job], begin)
	}
	return again
}

func (d *driver) begin(p *progress, at time.Duration) {
	p.begun = at
	p.running = true
	p.life++
	if p.first == 0 {
		p.first = at
		if p.entitled {
			d.reclaims = append(d.reclaims, at-p.task.arrived)
		}
	}
	index := 0
	for i := range p.task.id {
		index = index*10 + int(p.task.id[i]-'0')
	}
	d.push(at+p.task.work-p.done, finishes, index, p.life)
}
