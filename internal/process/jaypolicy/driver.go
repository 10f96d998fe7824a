package jaypolicy

import (
	"container/heap"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaysched"
)

const (
	// checkpointInterval is the time between two checkpoints of a job.
	checkpointInterval = 5 * time.Minute
	// stopTime is how long a preempted job takes to save a checkpoint and stop.
	stopTime = 2 * time.Second
	// minCompactionInterval is the minimum time between two moves of jobs.
	minCompactionInterval = 30 * time.Second
	// minSlowdownRuntime is the least run time in the denominator of the slowdown,
	// so that very short jobs do not dominate it. Source: D. Feitelson and
	// L. Rudolph, bounded slowdown, 1998.
	minSlowdownRuntime = 10 * time.Second
)

type eventKind uint8

const (
	jobArrival eventKind = iota
	jobCompletion
	workerFailure
	workerReturn
)

// event is an event of the simulation. The index is that of the job or outage; a
// completion counts only if its attempt is still the job's current one.
type event struct {
	at       time.Duration
	kind     eventKind
	index    int
	attempt  int
	sequence int
}

// events is a heap ordered by time, then by sequence.
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

// jobState is the state of a job on the virtual clock.
type jobState struct {
	task       task
	progress   time.Duration
	started    time.Duration
	firstStart time.Duration
	running    bool
	// guaranteed is whether the job fitted the unused home of its workspace when it
	// arrived.
	guaranteed  bool
	attempt     int
	ended       time.Duration
	preemptions int
}

// driver runs one planner over one run's jobs and outages.
type driver struct {
	planner      *planner
	events       events
	lastSequence int
	jobs         map[string]*jobState
	inOrder      []*jobState
	lastTime     time.Duration
	// horizon is the arrival of the last job, up to which the sums in seconds run.
	horizon              time.Duration
	fragmentationSeconds float64
	busySeconds          float64
	observedSeconds      float64
	lostWork             time.Duration
	nextCompaction       time.Duration
	// reclaimWaits holds the waits of the guaranteed jobs until their first start.
	reclaimWaits []time.Duration
}

func (d *driver) schedule(at time.Duration, kind eventKind, index, attempt int) {
	d.lastSequence++
	heap.Push(&d.events, event{at: at, kind: kind, index: index, attempt: attempt, sequence: d.lastSequence})
}

// run simulates all jobs and outages and returns the measurements.
func run(m Mix, p *planner, tasks []task, outages []outage) Result {
	d := &driver{planner: p, jobs: map[string]*jobState{}}
	for i, t := range tasks {
		j := &jobState{task: t}
		d.jobs[t.id] = j
		d.inOrder = append(d.inOrder, j)
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

// accumulate adds the time since the last event to the time-weighted measurements,
// up to the arrival of the last job.
func (d *driver) accumulate(m Mix, now time.Duration) {
	span := (min(now, d.horizon) - d.lastTime).Seconds()
	d.lastTime = min(now, d.horizon)
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
		j := d.inOrder[e.index]
		j.guaranteed = d.planner.fitsUnusedHome != nil && d.planner.fitsUnusedHome(j.task)
		d.planner.submit(j.task, 0)
	case jobCompletion:
		d.completeJob(d.inOrder[e.index], e)
	case workerFailure:
		d.failWorker(outages[e.index], e.at)
	case workerReturn:
		addWorker(d.planner.pool, outages[e.index].worker)
		d.planner.workersChanged()
	}
}

func (d *driver) completeJob(j *jobState, e event) {
	if !j.running || j.attempt != e.attempt {
		return
	}
	j.running = false
	j.ended = e.at
	d.planner.finish(j.task.id, j.task.runtime)
}

// failWorker interrupts the jobs that have members on the failing worker and
// removes it.
func (d *driver) failWorker(o outage, now time.Duration) {
	w := d.planner.pool.Worker(workerName(o.worker))
	victims := map[string]bool{}
	for _, a := range w.Allocations() {
		victims[a.Job()] = true
	}
	for _, j := range d.inOrder {
		if victims[j.task.id] {
			d.interrupt(j, now, true)
			d.planner.stop(j.task.id, j.progress)
			if d.planner.name != "jaystile" {
				d.planner.submit(j.task, j.progress)
			}
		}
	}
	d.planner.pool.Remove(workerName(o.worker))
	d.planner.workersChanged()
}

// interrupt ends a run early. A checkpointing job keeps its progress: all of it
// when it was asked to stop, up to its last periodic checkpoint when it crashed.
func (d *driver) interrupt(j *jobState, now time.Duration, crashed bool) {
	ran := max(now-j.started, 0)
	kept := time.Duration(0)
	if j.task.spec.Checkpointing() {
		kept = ran
		if crashed {
			kept = ran / checkpointInterval * checkpointInterval
		}
	} else if !crashed && !j.task.spec.Idempotent() {
		panic("invariant violated: a non-preemptible job was preempted")
	}
	if !j.task.spec.Checkpointing() {
		j.progress = 0
	}
	j.progress += kept
	d.lostWork += (ran - kept) * time.Duration(j.task.spec.Shape().TotalAccelerators())
	j.running = false
	j.attempt++
	if !crashed {
		j.preemptions++
	}
}

// decide runs decision rounds until one has no victims, then one compaction.
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

// preempt stops a job for another one or for compaction and queues it again.
func (d *driver) preempt(j *jobState, now time.Duration) {
	d.interrupt(j, now, false)
	d.lostWork += stopTime * time.Duration(j.task.spec.Shape().TotalAccelerators())
	d.planner.stop(j.task.id, j.progress)
}

// startRound applies one round of decisions and reports whether any had victims,
// which are queued again.
func (d *driver) startRound(now time.Duration) bool {
	preempted := false
	for _, s := range d.planner.decide(now) {
		at := now
		for _, v := range s.victims {
			j := d.jobs[v]
			if !j.running {
				continue
			}
			d.preempt(j, now)
			at = now + stopTime
			preempted = true
		}
		d.start(d.jobs[s.job], at)
	}
	return preempted
}

func (d *driver) start(j *jobState, at time.Duration) {
	j.started = at
	j.running = true
	j.attempt++
	if j.firstStart == 0 {
		j.firstStart = at
		if j.guaranteed {
			d.reclaimWaits = append(d.reclaimWaits, at-j.task.arrived)
		}
	}
	// The ID is the job's index in decimal.
	index := 0
	for i := range j.task.id {
		index = index*10 + int(j.task.id[i]-'0')
	}
	d.schedule(at+j.task.runtime-j.progress, jobCompletion, index, j.attempt)
}
