package jaysimulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

const (
	// reportEvery is the time between two reports of a side.
	reportInterval = 500 * time.Millisecond
	// storeTime is how long a batch of records takes to be stored.
	storeLatency = 20 * time.Millisecond
	// lease is that of the played deployment.
	lease = 5400 * time.Millisecond
	// after is how long work may end after the last job has come.
	drainPeriod = 30 * time.Second
	// clockStart is where the virtual clock begins, so that no time is zero.
	clockStart = time.Hour
)

var epoch = time.UnixMilli(1_700_000_000_000)

// Play plays one day of a load through the decisions of a cell.
func (l *Load) Simulate(seed uint64) (Result, error) {
	requests := l.generate(seed, epoch)
	w, err := l.simulate(requests)
	return w.score(requests), err
}

// play plays the jobs and returns the world that they leave.
func (l *Load) simulate(requests []*request) (*environment, error) {
	w := newEnvironment(l, requests)
	d := &driver{environment: w, lastReport: map[string]time.Duration{}}
	var broken error
	d.cell = jaycell.New(jaycell.Settings{
		Term: 1, Lease: lease, Retention: time.Hour, StopTimeout: l.StopTime, GangTimeout: gangTimeout, RemoteSlowdown: l.FarFactor,
		Guaranteed: func(string) int {
			return int(l.GuaranteedShare * float64(l.Runners*acceleratorsPerWorker) / float64(l.Workspaces))
		},
		OnInvariantViolation: func(what string, x jaycell.Decision) { broken = &InvariantError{Invariant: what, Task: x.Task} },
	}, clockStart, epoch)
	next := 0
	for w.now < l.ArrivalPeriod+drainPeriod {
		w.advance()
		d.cell.SetTime(clockStart+w.now, epoch.Add(w.now))
		for ; next < len(requests) && requests[next].arrival <= w.now; next++ {
			d.cell.Submit(requests[next].spec)
		}
		for _, q := range requests {
			if q.cancelAt > 0 && w.now >= q.cancelAt && w.now < q.cancelAt+timeStep {
				d.cell.Cancel(q.spec.ID)
			}
		}
		d.exchange()
	}
	return w, broken
}

// BrokenError reports an invariant that did not hold while a load was played.
type InvariantError struct{ Invariant, Task string }

// Error implements error.
func (e *InvariantError) Error() string { return e.Invariant + " does not hold for " + e.Task }

// driver carries reports and orders between a cell and the world.
type driver struct {
	environment  *environment
	cell         *jaycell.Cell
	lastReport   map[string]time.Duration
	pendingBatch *jaycell.Batch
	storedAt     time.Duration
	orders       []pendingOrder
}

type pendingOrder struct {
	jaycell.Order
	deliverAt time.Duration
}

// exchange plays one step of the sides and the holder of the term.
func (d *driver) exchange() {
	w := d.environment
	var rest []pendingOrder
	for _, o := range d.orders {
		if w.now < o.deliverAt {
			rest = append(rest, o)
			continue
		}
		d.apply(o.Order)
	}
	d.orders = rest
	for _, x := range w.workers {
		news := x.lastEnd > x.acked || d.lastReport[x.id]+reportInterval <= w.now
		if !x.lost && news {
			d.report(x)
		}
	}
	d.cell.Tick()
	d.send(d.cell.TakeImmediateOrders())
	if d.pendingBatch == nil {
		if b := d.cell.TakeBatch(); !b.Empty() {
			d.pendingBatch, d.storedAt = b, w.now+storeLatency
		}
	}
	if d.pendingBatch != nil && w.now >= d.storedAt {
		b := d.pendingBatch
		d.pendingBatch = nil
		d.send(d.cell.ConfirmStored(b))
	}
}

func (d *driver) send(orders []jaycell.Order) {
	for _, o := range orders {
		d.orders = append(d.orders, pendingOrder{Order: o, deliverAt: d.environment.now + orderLatency})
	}
}

func (d *driver) apply(o jaycell.Order) {
	x := d.environment.byID[o.Runner]
	if x == nil || x.lost {
		return
	}
	switch o.Kind {
	case jaycell.OrderAcknowledge:
		x.acked = max(x.acked, o.Number)
	case jaycell.OrderStop:
		d.environment.stopRun(x, o.Task, o.Run)
	case jaycell.OrderStart:
		id, index := splitTask(o.Task)
		d.environment.startRun(x, o.Task, index, o.Run, d.environment.byJob[id], o.Checkpoint)
		d.report(x)
	}
}

// splitTask returns the job and the index of a task of a job with one step.
func splitTask(task string) (string, int) {
	parts := strings.Split(task, ".")
	n, err := strconv.Atoi(parts[len(parts)-1])
	if err != nil {
		panic(fmt.Errorf("task %q: %w", task, err))
	}
	return parts[0], n
}

func (d *driver) report(x *worker) {
	w := d.environment
	d.lastReport[x.id] = w.now
	p := jaycell.Report{
		Node: "side-" + x.id, Sequence: int64(clockStart + w.now), Term: 1, Responsive: true,
		Runner: jaycell.RunnerInfo{ID: x.id, Service: service, Labels: []string{"a", x.rack}, Capacity: workerResources},
	}
	for _, r := range x.sortedRuns() {
		p.Running = append(p.Running, jaycell.Run{Task: r.task, Run: r.run, Percent: min(100, max(0, int(100*r.workDone/r.workTotal)))})
	}
	for _, e := range x.finished {
		if e.Number > x.acked {
			p.Finished = append(p.Finished, e)
		}
	}
	d.cell.ApplyReport(p)
}
