package jaysimulation

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

const (
	// reportInterval is the time between two reports of an agent.
	reportInterval = 500 * time.Millisecond
	// storeLatency is how long storing a batch of records takes.
	storeLatency = 20 * time.Millisecond
	// lease is the lease of the simulated deployment.
	lease = 5400 * time.Millisecond
	// drainPeriod is how long the simulation goes on after the arrival period.
	drainPeriod = 30 * time.Second
	// clockStart is the start of the cell's clock, so that no time is zero.
	clockStart = time.Hour
)

var epoch = time.UnixMilli(1_700_000_000_000)

// Simulate simulates one day of a load with the decisions of a cell.
func (l *Load) Simulate(seed uint64) (Result, error) {
	requests := l.generate(seed, epoch)
	env, err := l.simulate(requests)
	return env.score(requests), err
}

// simulate simulates the jobs and returns the environment at the end of the day.
func (l *Load) simulate(requests []*request) (*environment, error) {
	env := newEnvironment(l, requests)
	d := &driver{environment: env, lastReport: map[string]time.Duration{}}
	var violation error
	d.cell = jaycell.New(jaycell.Settings{
		Term: 1, Lease: lease, Retention: time.Hour, StopTimeout: l.StopTimeout, GangTimeout: gangTimeout, RemoteSlowdown: l.RemoteSlowdown,
		Guaranteed: func(string) int {
			return int(l.GuaranteedShare * float64(l.Runners*l.Worker.Accelerators) / float64(l.Workspaces))
		},
		OnInvariantViolation: func(invariant string, decision jaycell.Decision) {
			violation = &InvariantError{Invariant: invariant, Task: decision.Task}
		},
	}, clockStart, epoch)
	next := 0
	for env.now < l.ArrivalPeriod+drainPeriod {
		env.advance()
		d.cell.SetTime(clockStart+env.now, epoch.Add(env.now))
		for ; next < len(requests) && requests[next].arrival <= env.now; next++ {
			d.cell.Submit(requests[next].spec)
		}
		for _, q := range requests {
			if q.cancelAt > 0 && env.now >= q.cancelAt && env.now < q.cancelAt+timeStep {
				d.cell.Cancel(q.spec.ID)
			}
		}
		d.exchange()
	}
	return env, violation
}

// InvariantError reports an invariant that a decision of the cell violated.
type InvariantError struct{ Invariant, Task string }

// Error implements error.
func (e *InvariantError) Error() string { return e.Invariant + " does not hold for " + e.Task }

// driver exchanges reports and orders between a cell and the environment.
type driver struct {
	environment  *environment
	cell         *jaycell.Cell
	lastReport   map[string]time.Duration
	pendingBatch *jaycell.Batch
	storedAt     time.Duration
	orders       []pendingOrder
}

// pendingOrder is an order on its way to a runner.
type pendingOrder struct {
	jaycell.Order
	deliverAt time.Duration
}

// exchange simulates one time step of the agents and the leader.
func (d *driver) exchange() {
	env := d.environment
	var undelivered []pendingOrder
	for _, o := range d.orders {
		if env.now < o.deliverAt {
			undelivered = append(undelivered, o)
			continue
		}
		d.apply(o.Order)
	}
	d.orders = undelivered
	for _, w := range env.workers {
		due := w.lastEnd > w.acked || d.lastReport[w.id]+reportInterval <= env.now
		if !w.lost && due {
			d.report(w)
		}
	}
	d.cell.Tick()
	d.send(d.cell.TakeImmediateOrders())
	if d.pendingBatch == nil {
		if b := d.cell.TakeBatch(); !b.Empty() {
			d.pendingBatch, d.storedAt = b, env.now+storeLatency
		}
	}
	if d.pendingBatch != nil && env.now >= d.storedAt {
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
	w := d.environment.byID[o.Runner]
	if w == nil || w.lost {
		return
	}
	switch o.Kind {
	case jaycell.OrderAcknowledge:
		w.acked = max(w.acked, o.Number)
	case jaycell.OrderStop:
		d.environment.stopRun(w, o.Task, o.Run)
	case jaycell.OrderStart:
		id, index := splitTask(o.Task)
		d.environment.startRun(w, o.Task, index, o.Run, d.environment.byJob[id], o.Checkpoint)
		d.report(w)
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

func (d *driver) report(w *worker) {
	env := d.environment
	d.lastReport[w.id] = env.now
	report := jaycell.Report{
		Node: "side-" + w.id, Sequence: int64(clockStart + env.now), Term: 1, Responsive: true,
		Runner: jaycell.RunnerInfo{ID: w.id, Service: service, Labels: []string{"a", w.rack}, Capacity: env.load.Worker},
	}
	for _, r := range w.sortedRuns() {
		report.Running = append(report.Running, jaycell.Run{Task: r.task, Run: r.run, Percent: min(100, max(0, int(100*r.workDone/r.workTotal)))})
	}
	for _, e := range w.finished {
		if e.Number > w.acked {
			report.Finished = append(report.Finished, e)
		}
	}
	d.cell.ApplyReport(report)
}
