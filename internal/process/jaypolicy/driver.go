package jaypolicy

import (
	"container/heap"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaysched"
)

const (
	// checkpointEvery is how often checkpointing work saves itself.
	checkpointInterval = 5 * time.Minute
	// stopCost is how long a victim takes to save itself and leave.
	stopTime = 2 * time.Second
	// compactEvery is the least time between two moves of work.
	minCompactionInterval = 30 * time.Second
	// minRuntime bounds the slowdown of very short jobs from below. Source:
	// D. Feitelson and L. Rudolph, bounded slowdown, 1998.
	minSlowdownRuntime = 10 * time.Second
)

type eventKind uint8

const (
	jobArrival eventKind = iota
	jobCompletion
	workerFailure
	workerReturn
)

// event is one thing that happens on the virtual clock.
type event struct {
	at       time.Duration
	kind     eventKind
	index    int
	attempt  int
	sequence int
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
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
type jobState struct {
	task       task
	progress   time.Duration
	started    time.Duration
	firstStart time.Duration
	running    bool
	// entitled says that the job's shape was guaranteed to it when it arrived.
	guaranteed  bool
	attempt     int
	ended       time.Duration
	preemptions int
}

// driver runs one planner over one run's jobs and outages.
type driver struct {
	planner              *planner
	events               events
	lastSequence         int
	jobs                 map[string]*jobState
	inOrder              []*jobState
	lastAt               time.Duration
	horizon              time.Duration
	fragmentationSeconds float64
	busySeconds          float64
	observedSeconds      float64
	lostWork             time.Duration
	nextCompaction       time.Duration
	reclaimWaits         []time.Duration
}

func (d *driver) schedule(at time.Duration, kind eventKind, index, life int) {
	d.lastSequence++
	heap.Push(&d.events, event{at: at, kind: kind, index: index, attempt: life, sequence: d.lastSequence})
}

// run plays all events and returns the measures.
func run(m Mix, p *planner, tasks []task, outages []outage) Result {
	d := &driver{planner: p, jobs: map[string]*jobState{}}
	for i, t := range tasks {
		pr := &jobState{task: t}
		d.jobs[t.id] = pr
		d.inOrder = append(d.inOrder, pr)
		d.schedule(t.arrived, jobArrival, i, 0)
	}
	d.horizon = tasks[len(tasks)-1].arrived
	for i, o := range outages {
		d.schedule(o.from, workerFailure, i, 0)
		d.schedule(o.to, workerReturn, i, 0)
	}
	for d.events.Len() > 0 {
		e := heap.Pop(&d.events).(event)
		d.accumulate(m, e.at)
		d.handle(e, outages)
		if d.events.Len() == 0 || d.events[0].at > e.at {
			d.decide(e.at)
		}
	}
	return d.result(m)
}

// weigh adds the time since the last event to the time-weighted measures.
func (d *driver) accumulate(m Mix, now time.Duration) {
	span := (min(now, d.horizon) - d.lastAt).Seconds()
	d.lastAt = min(now, d.horizon)
	if span <= 0 {
		return
	}
	pool := d.planner.pool
	d.observedSeconds += span
	d.fragmentationSeconds += span * jaysched.Fragmentation(pool, m.guarantees)
	if pool.Total() > 0 {
		d.busySeconds += span * float64(pool.Total()-pool.Free()) / float64(pool.Total())
	}
}

func (d *driver) handle(e event, outages []outage) {
	switch e.kind {
	case jobArrival:
		p := d.inOrder[e.index]
		p.guaranteed = d.planner.fitsUnusedHome != nil && d.planner.fitsUnusedHome(p.task)
		d.planner.submit(p.task, 0)
	case jobCompletion:
		d.completeJob(d.inOrder[e.index], e)
	case workerFailure:
		d.failWorker(outages[e.index], e.at)
	case workerReturn:
		addWorker(d.planner.pool, outages[e.index].worker)
		d.planner.workersChanged()
	}
}

func (d *driver) completeJob(p *jobState, e event) {
	if !p.running || p.attempt != e.attempt {
		return
	}
	p.running = false
	p.ended = e.at
	d.planner.finish(p.task.id, p.task.runtime)
}

// fail stops what a failing worker ran; whole gangs go with it.
func (d *driver) failWorker(o outage, now time.Duration) {
	w := d.planner.pool.Worker(workerName(o.worker))
	victims := map[string]bool{}
	for _, h := range w.Allocations() {
		victims[h.Job()] = true
	}
	for _, p := range d.inOrder {
		if victims[p.task.id] {
			d.interrupt(p, now, true)
			d.planner.stop(p.task.id, p.progress)
			if d.planner.name != "jaystile" {
				d.planner.submit(p.task, p.progress)
			}
		}
	}
	d.planner.pool.Remove(workerName(o.worker))
	d.planner.workersChanged()
}

// interrupt ends a run early. Checkpointing work keeps what it has saved: all
// of it when it was asked to stop, else up to its last periodic checkpoint.
func (d *driver) interrupt(p *jobState, now time.Duration, crashed bool) {
	ran := max(now-p.started, 0)
	kept := time.Duration(0)
	if p.task.spec.Checkpointing() {
		kept = ran
		if crashed {
			kept = ran / checkpointInterval * checkpointInterval
		}
	} else if !crashed && !p.task.spec.Idempotent() {
		panic("invariant broken: work that may not be stopped was stopped")
	}
	if !p.task.spec.Checkpointing() {
		p.progress = 0
	}
	p.progress += kept
	d.lostWork += (ran - kept) * time.Duration(p.task.spec.Shape().TotalAccelerators())
	p.running = false
	p.attempt++
	if !crashed {
		p.preemptions++
	}
}

// decide starts what the planner says until it has nothing more to start, then
// lets it compact once.
func (d *driver) decide(now time.Duration) {
	for d.startRound(now) {
	}
	if d.planner.compact == nil || now < d.nextCompaction {
		return
	}
	moved := d.planner.compact(now)
	for _, id := range moved {
		d.preempt(d.jobs[id], now)
	}
	if len(moved) > 0 {
		d.nextCompaction = now + minCompactionInterval
		for d.startRound(now) {
		}
	}
}

// evict stops a job that made room and queues it again.
func (d *driver) preempt(p *jobState, now time.Duration) {
	d.interrupt(p, now, false)
	d.lostWork += stopTime * time.Duration(p.task.spec.Shape().TotalAccelerators())
	d.planner.stop(p.task.id, p.progress)
}

// startAll starts one round of decisions and reports whether any had victims,
// which are queued again.
func (d *driver) startRound(now time.Duration) bool {
	again := false
	for _, s := range d.planner.decide(now) {
		begin := now
		for _, v := range s.victims {
			p := d.jobs[v]
			if !p.running {
				continue
			}
			d.preempt(p, now)
			begin = now + stopTime
			again = true
		}
		d.start(d.jobs[s.job], begin)
	}
	return again
}

func (d *driver) start(p *jobState, at time.Duration) {
	p.started = at
	p.running = true
	p.attempt++
	if p.firstStart == 0 {
		p.firstStart = at
		if p.guaranteed {
			d.reclaimWaits = append(d.reclaimWaits, at-p.task.arrived)
		}
	}
	index := 0
	for i := range p.task.id {
		index = index*10 + int(p.task.id[i]-'0')
	}
	d.schedule(at+p.task.runtime-p.progress, jobCompletion, index, p.attempt)
}
