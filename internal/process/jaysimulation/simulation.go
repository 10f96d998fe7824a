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
	reportEvery = 500 * time.Millisecond
	// storeTime is how long a batch of records takes to be stored.
	storeTime = 20 * time.Millisecond
	// lease is that of the played deployment.
	lease = 5400 * time.Millisecond
	// after is how long work may end after the last job has come.
	after = 30 * time.Second
	// clockStart is where the virtual clock begins, so that no time is zero.
	clockStart = time.Hour
)

var epoch = time.UnixMilli(1_700_000_000_000)

// Play plays one day of a load through the decisions of a cell.
func (l *Load) Play(seed uint64) (Result, error) {
	requests := l.draw(seed, epoch)
	w, err := l.play(requests)
	return w.judge(requests), err
}

// play plays the jobs and returns the world that they leave.
func (l *Load) play(requests []*request) (*world, error) {
	w := newWorld(l, requests)
	d := &driver{world: w, reported: map[string]time.Duration{}}
	var broken error
	d.cell = jaycell.New(jaycell.Settings{
		Term: 1, Lease: lease, Retention: time.Hour, MaxStopTime: l.Stop, GangTimeout: gangWait, FarFactor: l.Far,
		Guaranteed: func(string) int {
			return int(l.Guaranteed * float64(l.Runners*accelerators) / float64(l.Workspaces))
		},
		OnInvariantViolation: func(what string, x jaycell.Decision) { broken = &BrokenError{What: what, Task: x.Task} },
	}, clockStart, epoch)
	next := 0
	for w.now < l.Span+after {
		w.advance()
		d.cell.SetTime(clockStart+w.now, epoch.Add(w.now))
		for ; next < len(requests) && requests[next].at <= w.now; next++ {
			d.cell.Submit(requests[next].spec)
		}
		for _, q := range requests {
			if q.cancelAt > 0 && w.now >= q.cancelAt && w.now < q.cancelAt+step {
				d.cell.Cancel(q.spec.ID)
			}
		}
		d.exchange()
	}
	return w, broken
}

// BrokenError reports an invariant that did not hold while a load was played.
type BrokenError struct{ What, Task string }

// Error implements error.
func (e *BrokenError) Error() string { return e.What + " does not hold for " + e.Task }

// driver carries reports and orders between a cell and the world.
type driver struct {
	world    *world
	cell     *jaycell.Cell
	reported map[string]time.Duration
	batch    *jaycell.Batch
	stored   time.Duration
	orders   []sentOrder
}

type sentOrder struct {
	jaycell.Order
	at time.Duration
}

// exchange plays one step of the sides and the holder of the term.
func (d *driver) exchange() {
	w := d.world
	var rest []sentOrder
	for _, o := range d.orders {
		if w.now < o.at {
			rest = append(rest, o)
			continue
		}
		d.carryOut(o.Order)
	}
	d.orders = rest
	for _, x := range w.workers {
		news := x.number > x.acked || d.reported[x.id]+reportEvery <= w.now
		if !x.gone && news {
			d.report(x)
		}
	}
	d.cell.Tick()
	d.send(d.cell.TakeImmediateOrders())
	if d.batch == nil {
		if b := d.cell.TakeBatch(); !b.Empty() {
			d.batch, d.stored = b, w.now+storeTime
		}
	}
	if d.batch != nil && w.now >= d.stored {
		b := d.batch
		d.batch = nil
		d.send(d.cell.ConfirmStored(b))
	}
}

func (d *driver) send(orders []jaycell.Order) {
	for _, o := range orders {
		d.orders = append(d.orders, sentOrder{Order: o, at: d.world.now + orderWay})
	}
}

func (d *driver) carryOut(o jaycell.Order) {
	x := d.world.byID[o.Runner]
	if x == nil || x.gone {
		return
	}
	switch o.Kind {
	case jaycell.OrderAcknowledge:
		x.acked = max(x.acked, o.Number)
	case jaycell.OrderStop:
		d.world.stop(x, o.Task, o.Run)
	case jaycell.OrderStart:
		id, index := splitTask(o.Task)
		d.world.start(x, o.Task, index, o.Run, d.world.byJob[id], o.Checkpoint)
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
	w := d.world
	d.reported[x.id] = w.now
	p := jaycell.Report{
		Node: "side-" + x.id, Sequence: int64(clockStart + w.now), Term: 1, Responsive: true,
		Runner: jaycell.RunnerInfo{ID: x.id, Service: service, Labels: []string{"a", x.rack}, Capacity: workerRoom},
	}
	for _, r := range x.sorted() {
		p.Running = append(p.Running, jaycell.Run{Task: r.task, Run: r.run, Percent: min(100, max(0, int(100*r.done/r.total)))})
	}
	for _, e := range x.finished {
		if e.Number > x.acked {
			p.Finished = append(p.Finished, e)
		}
	}
	d.cell.ApplyReport(p)
}
