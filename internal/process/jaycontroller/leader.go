package jaycontroller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// tickEvery bounds how late what time alone decides is noticed.
	tickEvery = 100 * time.Millisecond
	// pausedFor is a gap between two ticks after which this process may have been
	// frozen, and another entry may hold the term.
	pausedFor = 700 * time.Millisecond
	// forgetEvery is how often ended jobs are looked through, forgetMost how many are
	// forgotten at a time: far more than come.
	forgetEvery = 5 * time.Second
	forgetMost  = 200
	// producer names the holder's writes to the store.
	producer = "cell"
)

// lead is this entry's own term: it decides and orders until it ends.
type lead struct {
	hub  *Controller
	term uint64
	kick chan struct{}
	done chan struct{}
	// asking is poked when there may be a question for the advice service.
	asking chan struct{}
	once   sync.Once

	mutex sync.Mutex
	cell  *jaycell.Cell
	// loaded tells that the earlier terms' records are read.
	loaded   bool
	writing  bool
	resigned bool
	// doubtful tells that the process may have been frozen and has not yet seen
	// that its term goes on.
	doubtful bool
	lastTick time.Duration
	// gone are the states to drop, of jobs whose other records are dropped.
	gone       []jaycell.Record
	lastForget time.Duration
}

func newLead(h *Controller, term uint64) *lead {
	l := &lead{hub: h, term: term, kick: make(chan struct{}, 1), asking: make(chan struct{}, 1), done: make(chan struct{}), lastTick: jayclock.Elapsed()}
	l.cell = jaycell.New(jaycell.Settings{
		Term: term, Lease: h.Timing.Lease, Retention: h.Timing.Retention, MaxStopTime: h.Timing.StopTimeout, GangTimeout: h.Timing.GangTimeout, FarFactor: h.Timing.RemoteSlowdown,
		Guaranteed: func(workspace string) int {
			if c := h.config.Load(); c != nil {
				return c.Guaranteed(workspace)
			}
			return 0
		},
		NeedsTicket: func(route string) bool {
			c := h.config.Load()
			if c == nil {
				return false
			}
			_, needed := c.Advice(route)
			return needed
		},
		ReclaimTimeout:       h.Timing.ReclaimDeadline,
		OnDecision:           l.explain,
		OnInvariantViolation: l.broken,
	}, jayclock.Elapsed(), time.Now())
	return l
}

// startSeconds is how long jobs wait for each of their starts.
var startSeconds = metrics.NewHistogram("jaystile_start_wait_seconds")

// explain counts and logs a decision.
func (l *lead) explain(d jaycell.Decision) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`jaystile_decisions_total{event=%q,outcome=%q}`, d.Event, d.Outcome)).Inc()
	if d.Event == "place" {
		startSeconds.Update(float64(d.AgeMS) / 1000)
	}
	e := l.hub.Logger.Info().Str("event", d.Event).Uint64("term", l.term)
	for _, f := range [][2]string{{"job", d.Job}, {"task", d.Task}, {"runner", d.Runner}, {"outcome", d.Outcome}, {"reason", d.Reason}} {
		if f[1] != "" {
			e = e.Str(f[0], f[1])
		}
	}
	if d.Run > 0 {
		e = e.Int("run", d.Run)
	}
	e.Int64("age_ms", d.AgeMS).Msg("decided")
}

// broken counts and logs an invariant that does not hold.
func (l *lead) broken(what string, d jaycell.Decision) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`jaystile_broken_invariants_total{what=%q}`, what)).Inc()
	l.hub.Logger.Error().Str("event", "invariant").Uint64("term", l.term).Str("job", d.Job).Str("task", d.Task).Int("run", d.Run).Str("what", what).Msg("an invariant does not hold; the step is left out")
}

// end ends the term for this entry.
func (l *lead) end(cause string) {
	l.once.Do(func() {
		l.hub.Logger.Info().Str("event", "term").Uint64("term", l.term).Str("cause", cause).Msg("giving up the term")
		close(l.done)
	})
}

// resign stops deciding; leases are granted until another entry takes over.
func (l *lead) resign() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.resigned = true
}

// run reads what earlier terms have left, then decides until the term ends.
func (l *lead) run() {
	ctx, cancel := context.WithCancel(l.hub.ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	l.hub.tasks.Go(func() {
		select {
		case <-l.done:
			cancel()
		case <-stop:
		}
	})
	defer l.hub.leave(l)
	runs := jaystore.NewTermWriter(l.hub.client, l.hub.Topics.Runs, producer, l.term)
	if err := l.load(ctx, runs); err != nil {
		l.hub.Logger.Warn().Str("event", "term").Uint64("term", l.term).Err(err).Msg("cannot begin the term")
		return
	}
	l.hub.tasks.Go(func() { l.advise(ctx) })
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.kick:
		case <-ticker.C:
		}
		l.step(ctx, runs)
	}
}

// leave forgets an ended lead.
func (h *Controller) leave(l *lead) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.lead == l {
		h.lead = nil
	}
}

// load makes the store refuse earlier terms, then reads what they have left. Jobs
// and runs are read side by side: a slow store makes each call a part of the time
// in which nothing is decided.
func (l *lead) load(ctx context.Context, runs *jaystore.TermWriter) error {
	if err := runs.FenceLowerTerms(ctx); err != nil {
		return err
	}
	var records []jaystore.Record
	err := again(ctx, func() (err error) {
		records, err = jaystore.LoadAll(ctx, l.hub.client, l.hub.Topics.Runs, l.hub.tailFailed(l.hub.Topics.Runs))
		return err
	})
	if err != nil {
		return err
	}
	// The jobs are read after the runs, so that every job of which there is a run is
	// known.
	if err := again(ctx, func() error { return l.hub.jobsTail.Refresh(ctx) }); err != nil {
		return err
	}
	var units []jaystore.Record
	for _, r := range records {
		if jaycell.IsStateKey(r.Key) {
			l.hub.jobs.apply(r.Key, r.Value)
		} else {
			units = append(units, r)
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.at()
	canceled := []string{}
	for _, e := range l.hub.jobs.open() {
		l.cell.Submit(e.spec)
		if e.state == jaytask.Running {
			l.cell.MarkStarted(e.spec.ID)
		}
		if e.canceled {
			canceled = append(canceled, e.spec.ID)
		}
	}
	for _, r := range units {
		if err := l.cell.RestoreUnit(jaycell.Record{Key: r.Key, Value: r.Value}); err != nil {
			l.hub.Logger.Error().Str("event", "record").Err(err).Msg("skipping a run that cannot be read")
		}
	}
	for _, id := range canceled {
		l.cell.Cancel(id)
	}
	l.loaded, l.lastTick = true, jayclock.Elapsed()
	l.hub.Logger.Info().Str("event", "term").Uint64("term", l.term).Int("runs", len(units)).Msg("deciding")
	return nil
}

// again repeats a read until it succeeds or ctx ends.
func again(ctx context.Context, read func() error) error {
	for {
		err := read()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(tickEvery)
	}
}

// at sets the cell's time; the mutex is held.
func (l *lead) at() { l.cell.SetTime(jayclock.Elapsed(), time.Now()) }

// step decides and starts to store what was decided.
func (l *lead) step(ctx context.Context, runs *jaystore.TermWriter) {
	l.mutex.Lock()
	l.at()
	now := jayclock.Elapsed()
	if now-l.lastTick > pausedFor && !l.doubtful {
		l.doubtful = true
		l.hub.Logger.Warn().Str("event", "pause").Int64("gap_ms", (now - l.lastTick).Milliseconds()).Msg("this process may have been frozen; checking its term")
		l.hub.tasks.Go(func() { l.check(ctx) })
	}
	l.lastTick = now
	var batch *jaycell.Batch
	if !l.resigned && !l.doubtful {
		l.cell.Tick()
		if !l.writing {
			batch = l.cell.TakeBatch()
		}
	}
	stops := l.cell.TakeImmediateOrders()
	if batch != nil && (!batch.Empty() || len(l.gone) > 0) {
		l.writing = true
	} else {
		batch = nil
	}
	if now-l.lastForget > forgetEvery && !l.resigned {
		l.lastForget = now
		l.hub.tasks.Go(l.forget)
	}
	l.mutex.Unlock()
	l.send(stops)
	Signal(l.asking)
	if batch != nil {
		l.hub.tasks.Go(func() { l.store(ctx, runs, batch) })
	}
}

// check reads the term back after a pause.
func (l *lead) check(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, takeTimeout)
		err := l.hub.cellTail.Refresh(call)
		cancel()
		if err == nil {
			break
		}
		time.Sleep(tickEvery)
	}
	l.mutex.Lock()
	l.doubtful = false
	l.lastTick = jayclock.Elapsed()
	l.mutex.Unlock()
	Signal(l.kick)
}

// store writes a batch, in one append where it fits, then sends the orders that
// depend on it.
func (l *lead) store(ctx context.Context, runs *jaystore.TermWriter, b *jaycell.Batch) {
	l.mutex.Lock()
	gone := l.gone
	l.gone = nil
	l.mutex.Unlock()
	var records []jaystore.Record
	for _, r := range slices.Concat(b.Runs, b.JobStates, b.Deletions, gone) {
		records = append(records, jaystore.Record{Key: r.Key, Value: r.Value})
	}
	err := runs.Write(ctx, records)
	var fenced *jaystore.FencedError
	if errors.As(err, &fenced) {
		l.end("the store has seen a higher term")
		return
	}
	if err != nil {
		return
	}
	l.mutex.Lock()
	l.at()
	orders := l.cell.ConfirmStored(b)
	l.writing = false
	doubtful := l.doubtful
	l.mutex.Unlock()
	l.publish(b.JobStates)
	if !doubtful {
		l.send(orders)
	}
	Signal(l.kick)
}

// forget drops the records of jobs that ended longer ago than callers may ask, also
// of those that ended under earlier terms.
func (l *lead) forget() {
	var wg conc.WaitGroup
	for _, id := range l.hub.jobs.expired(time.Now().Add(-l.hub.Timing.Retention), forgetMost) {
		wg.Go(func() { l.forgetJob(id) })
	}
	wg.Wait()
}

// forgetJob drops a job's records, the state last: a job without one would count as
// new. Those of other jobs go with the same appends.
func (l *lead) forgetJob(id string) {
	deadline := time.Now().Add(putMost)
	for _, key := range []string{jaycell.CancelKey(id), jaycell.JobKey(id)} {
		if err := l.hub.jobsPut.Put(jaystore.Record{Key: key}, deadline); err != nil {
			l.hub.Logger.Warn().Str("event", "forget").Str("job", id).Err(err).Msg("the record of a job stays for now")
			return
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.gone = append(l.gone, jaycell.Record{Key: jaycell.StateKey(id)})
}

// publish spreads stored states of jobs.
func (l *lead) publish(records []jaycell.Record) {
	if len(records) == 0 {
		return
	}
	m := &jayframe.StoredRecords{}
	for _, r := range records {
		l.hub.jobs.apply(r.Key, r.Value)
		m.Records = append(m.Records, jayframe.StoredRecord{Key: r.Key, Value: r.Value})
	}
	l.hub.spread(m)
}

// send passes orders to the sides that are linked; others get them with their
// next link.
func (l *lead) send(orders []jaycell.Order) {
	byNode := map[string]*jayframe.CellOrders{}
	var nodes []string
	for _, o := range orders {
		m := byNode[o.Node]
		if m == nil {
			m = &jayframe.CellOrders{Term: l.term}
			byNode[o.Node] = m
			nodes = append(nodes, o.Node)
		}
		m.Orders = append(m.Orders, toFrame(o))
	}
	for _, node := range nodes {
		link := l.hub.side(node)
		if link == nil {
			continue
		}
		if err := link.Send(byNode[node]); err != nil {
			l.hub.Logger.Warn().Str("event", "link").Str("peer", node).Err(err).Msg("cannot send orders; they follow with the next link")
			link.Close("orders were not sent")
		}
	}
}

func toFrame(o jaycell.Order) jayframe.CellOrder {
	return jayframe.CellOrder{Kind: uint8(o.Kind), Runner: o.Runner, Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Number: o.Number, Percent: o.Percent}
}

// hear takes a side's report.
func (l *lead) hear(link *jaylink.Link, m *jayframe.CellReport, fresh bool) {
	l.mutex.Lock()
	if l.doubtful || !l.loaded {
		l.mutex.Unlock()
		return
	}
	l.at()
	report := fromFrame(m)
	report.NewConnection = fresh
	granted := l.cell.ApplyReport(report)
	l.mutex.Unlock()
	grant := &jayframe.CellLeaseGrant{Term: l.term}
	if granted {
		grant.Sequence = m.Sequence
	}
	if err := link.Send(grant); err != nil {
		l.hub.Logger.Debug().Str("event", "link").Str("peer", link.Peer()).Err(err).Msg("cannot grant")
	}
	Signal(l.kick)
}

func fromFrame(m *jayframe.CellReport) jaycell.Report {
	r := jaycell.Report{
		Node: m.Node, Sequence: m.Sequence, Term: m.Term, Responsive: m.Current, Departed: m.Deregistered,
		Runner: jaycell.RunnerInfo{
			ID: m.Runner, Service: m.Service, Zone: m.DataCentre, Labels: m.Labels, Draining: m.Draining, DrainRemaining: time.Duration(m.DrainRemainingMillis) * time.Millisecond,
			Capacity: jaytask.Resources{CPU: m.CPU, Memory: m.Memory, Accelerators: m.Accelerators},
		},
	}
	for _, x := range m.Running {
		r.Running = append(r.Running, jaycell.Run{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: x.Percent, Load: x.Load})
	}
	for _, x := range m.Finished {
		r.Finished = append(r.Finished, jaycell.End{Number: x.Number, Task: x.Task, Run: x.Run, Reason: jaycell.EndReason(x.Reason), Checkpoint: x.Checkpoint})
	}
	for _, x := range m.Results {
		r.OrderResults = append(r.OrderResults, jaycell.OrderResult{Task: x.Task, Run: x.Run, Refused: x.Refused, Reason: x.Reason})
	}
	for _, x := range m.PendingOrders {
		r.PendingOrders = append(r.PendingOrders, jaycell.Order{Kind: jaycell.OrderKind(x.Kind), Task: x.Task, Run: x.Run})
	}
	return r
}

// submit takes a job over.
func (l *lead) submit(j *jaytask.Job) {
	l.mutex.Lock()
	l.at()
	// Until the earlier terms' records are read, the table of jobs speaks for all.
	if l.loaded {
		l.cell.Submit(j)
	}
	l.mutex.Unlock()
	Signal(l.kick)
}

// cancel stops a job.
func (l *lead) cancel(id string) {
	l.mutex.Lock()
	l.at()
	l.cell.Cancel(id)
	l.mutex.Unlock()
	Signal(l.kick)
}

// accepted passes a new job of the table to the lead.
func (h *Controller) accepted(j *jaytask.Job) {
	if l := h.leading(); l != nil {
		l.submit(j)
	}
}

// canceled passes a new cancellation of the table to the lead.
func (h *Controller) canceled(id string) {
	if l := h.leading(); l != nil {
		l.cancel(id)
	}
}
