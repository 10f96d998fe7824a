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
	// tickInterval bounds how late a timeout or deadline is noticed.
	tickInterval = 100 * time.Millisecond
	// maxTickGap is the gap between two ticks after which this process may have been
	// frozen, so that another entry may lead by now.
	maxTickGap = 700 * time.Millisecond
	// expiryInterval is the time between two scans for expired jobs, and
	// maxExpiredPerRound how many one scan deletes: far more than arrive in that time.
	expiryInterval     = 5 * time.Second
	maxExpiredPerRound = 200
	// producer is the name under which leaders write, as in jaystore.Fence.
	producer = "cell"
)

// leadership is one term in which this entry leads: it schedules jobs and sends
// orders to agents until the term ends.
type leadership struct {
	controller *Controller
	term       uint64
	// wake is signaled to tick at once.
	wake chan struct{}
	// done is closed when the leadership ends.
	done chan struct{}
	// adviceWanted is signaled when there may be a query for the advice service.
	adviceWanted chan struct{}
	endOnce      sync.Once

	mutex sync.Mutex
	cell  *jaycell.Cell
	// loaded is set once the records of earlier terms have been read.
	loaded bool
	// writing is set while a batch is being stored; the next one is taken afterwards.
	writing  bool
	resigned bool
	// termUnverified is set after a pause in which the process may have been frozen,
	// until the store confirms that the term still lasts.
	termUnverified bool
	lastTick       time.Duration
	// stateDeletions are the state records to delete, of jobs whose other records have
	// been deleted.
	stateDeletions []jaycell.Record
	lastExpiry     time.Duration
}

func newLeadership(c *Controller, term uint64) *leadership {
	l := &leadership{controller: c, term: term, wake: make(chan struct{}, 1), adviceWanted: make(chan struct{}, 1), done: make(chan struct{}), lastTick: jayclock.Elapsed()}
	l.cell = jaycell.New(jaycell.Settings{
		Term: term, Lease: c.Timing.Lease, Retention: c.Timing.Retention, StopTimeout: c.Timing.StopTimeout, GangTimeout: c.Timing.GangTimeout, RemoteSlowdown: c.Timing.RemoteSlowdown,
		Guaranteed: func(workspace string) int {
			if config := c.config.Load(); config != nil {
				return config.Guaranteed(workspace)
			}
			return 0
		},
		NeedsTicket: func(route string) bool {
			config := c.config.Load()
			if config == nil {
				return false
			}
			_, needed := config.Advice(route)
			return needed
		},
		ReclaimDeadline:      c.Timing.ReclaimDeadline,
		OnDecision:           l.recordDecision,
		OnInvariantViolation: l.recordInvariantViolation,
	}, jayclock.Elapsed(), time.Now())
	return l
}

// startWaitSeconds is how long jobs wait for each of their starts.
var startWaitSeconds = metrics.NewHistogram("jaystile_start_wait_seconds")

// recordDecision counts and logs a scheduling decision.
func (l *leadership) recordDecision(d jaycell.Decision) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`jaystile_decisions_total{event=%q,outcome=%q}`, d.Event, d.Outcome)).Inc()
	if d.Event == "place" {
		startWaitSeconds.Update(float64(d.AgeMS) / 1000)
	}
	e := l.controller.Logger.Info().Str("event", d.Event).Uint64("term", l.term)
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

// recordInvariantViolation counts and logs an invariant that does not hold.
func (l *leadership) recordInvariantViolation(what string, d jaycell.Decision) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`jaystile_broken_invariants_total{what=%q}`, what)).Inc()
	l.controller.Logger.Error().Str("event", "invariant").Uint64("term", l.term).Str("job", d.Job).Str("task", d.Task).Int("run", d.Run).Str("what", what).Msg("invariant violated; skipping the start that would violate it")
}

// end stops leading. The first cause is logged.
func (l *leadership) end(cause string) {
	l.endOnce.Do(func() {
		l.controller.Logger.Info().Str("event", "term").Uint64("term", l.term).Str("cause", cause).Msg("leadership ended")
		close(l.done)
	})
}

// resign stops scheduling. Leases are still granted until another entry leads.
func (l *leadership) resign() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.resigned = true
}

// run loads the records of earlier terms, then schedules until the term ends.
func (l *leadership) run() {
	ctx, cancel := context.WithCancel(l.controller.ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	l.controller.tasks.Go(func() {
		select {
		case <-l.done:
			cancel()
		case <-stop:
		}
	})
	defer l.controller.clearLeadership(l)
	runs := jaystore.NewTermWriter(l.controller.storeClient, l.controller.Topics.Runs, producer, l.term)
	if err := l.load(ctx, runs); err != nil {
		l.controller.Logger.Warn().Str("event", "term").Uint64("term", l.term).Err(err).Msg("cannot load the records of earlier terms")
		return
	}
	l.controller.tasks.Go(func() { l.runAdvice(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-ticker.C:
		}
		l.tick(ctx, runs)
	}
}

// clearLeadership removes an ended leadership.
func (c *Controller) clearLeadership(l *leadership) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.leadership == l {
		c.leadership = nil
	}
}

// load makes the store reject writes of earlier terms, then reads their records.
// Nothing is scheduled until it returns, so the latency of each of its calls to the
// store delays the takeover.
func (l *leadership) load(ctx context.Context, runs *jaystore.TermWriter) error {
	if err := runs.FenceLowerTerms(ctx); err != nil {
		return err
	}
	var records []jaystore.Record
	err := retryRead(ctx, func() (err error) {
		records, err = jaystore.LoadAll(ctx, l.controller.storeClient, l.controller.Topics.Runs, l.controller.tailFailureLogger(l.controller.Topics.Runs))
		return err
	})
	if err != nil {
		return err
	}
	// The jobs are read after the runs, so that the job of every run is known.
	if err := retryRead(ctx, func() error { return l.controller.jobsTail.Refresh(ctx) }); err != nil {
		return err
	}
	var units []jaystore.Record
	for _, r := range records {
		if jaycell.IsStateKey(r.Key) {
			l.controller.jobs.apply(r.Key, r.Value)
		} else {
			units = append(units, r)
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setCellTime()
	canceled := []string{}
	for _, row := range l.controller.jobs.unfinished() {
		l.cell.Submit(row.spec)
		if row.state == jaytask.Running {
			l.cell.MarkStarted(row.spec.ID)
		}
		if row.canceled {
			canceled = append(canceled, row.spec.ID)
		}
	}
	for _, r := range units {
		if err := l.cell.RestoreUnit(jaycell.Record{Key: r.Key, Value: r.Value}); err != nil {
			l.controller.Logger.Error().Str("event", "record").Err(err).Msg("skipping an invalid unit record")
		}
	}
	// Cancel stops the restored runs, so it comes last.
	for _, id := range canceled {
		l.cell.Cancel(id)
	}
	l.loaded, l.lastTick = true, jayclock.Elapsed()
	l.controller.Logger.Info().Str("event", "term").Uint64("term", l.term).Int("runs", len(units)).Msg("deciding")
	return nil
}

// retryRead repeats a read until it succeeds or ctx is done.
func retryRead(ctx context.Context, read func() error) error {
	for {
		err := read()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(tickInterval)
	}
}

// setCellTime sets the cell's time to now. The mutex is held.
func (l *leadership) setCellTime() { l.cell.SetTime(jayclock.Elapsed(), time.Now()) }

// tick makes the decisions that are due and starts to store them.
func (l *leadership) tick(ctx context.Context, runs *jaystore.TermWriter) {
	l.mutex.Lock()
	l.setCellTime()
	now := jayclock.Elapsed()
	if now-l.lastTick > maxTickGap && !l.termUnverified {
		l.termUnverified = true
		l.controller.Logger.Warn().Str("event", "pause").Int64("gap_ms", (now - l.lastTick).Milliseconds()).Msg("this process may have been frozen; verifying its term")
		l.controller.tasks.Go(func() { l.verifyTerm(ctx) })
	}
	l.lastTick = now
	var batch *jaycell.Batch
	if !l.resigned && !l.termUnverified {
		l.cell.Tick()
		if !l.writing {
			batch = l.cell.TakeBatch()
		}
	}
	immediate := l.cell.TakeImmediateOrders()
	if batch != nil && (!batch.Empty() || len(l.stateDeletions) > 0) {
		l.writing = true
	} else {
		batch = nil
	}
	if now-l.lastExpiry > expiryInterval && !l.resigned {
		l.lastExpiry = now
		l.controller.tasks.Go(l.deleteExpiredJobs)
	}
	l.mutex.Unlock()
	l.sendOrders(immediate)
	Signal(l.adviceWanted)
	if batch != nil {
		l.controller.tasks.Go(func() { l.storeBatch(ctx, runs, batch) })
	}
}

// verifyTerm reads the newest term from the store after a pause. A higher one ends
// this leadership.
func (l *leadership) verifyTerm(ctx context.Context) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		err := l.controller.cellTail.Refresh(call)
		cancel()
		if err == nil {
			break
		}
		time.Sleep(tickInterval)
	}
	l.mutex.Lock()
	l.termUnverified = false
	l.lastTick = jayclock.Elapsed()
	l.mutex.Unlock()
	Signal(l.wake)
}

// storeBatch writes a batch, in one append where it fits, then sends the orders that
// depend on it.
func (l *leadership) storeBatch(ctx context.Context, runs *jaystore.TermWriter, b *jaycell.Batch) {
	l.mutex.Lock()
	stateDeletions := l.stateDeletions
	l.stateDeletions = nil
	l.mutex.Unlock()
	var records []jaystore.Record
	for _, r := range slices.Concat(b.Units, b.JobStates, b.Deletions, stateDeletions) {
		records = append(records, jaystore.Record{Key: r.Key, Value: r.Value})
	}
	err := runs.Write(ctx, records)
	var fenced *jaystore.FencedError
	if errors.As(err, &fenced) {
		l.end("the store has accepted a higher term")
		return
	}
	if err != nil {
		// Write gives up only when ctx is done: the leadership has ended.
		return
	}
	l.mutex.Lock()
	l.setCellTime()
	orders := l.cell.ConfirmStored(b)
	l.writing = false
	termUnverified := l.termUnverified
	l.mutex.Unlock()
	l.publishStates(b.JobStates)
	if !termUnverified {
		l.sendOrders(orders)
	}
	Signal(l.wake)
}

// deleteExpiredJobs deletes the records of jobs whose retention has passed, including
// jobs that ended under earlier terms.
func (l *leadership) deleteExpiredJobs() {
	var wg conc.WaitGroup
	for _, id := range l.controller.jobs.endedBefore(time.Now().Add(-l.controller.Timing.Retention), maxExpiredPerRound) {
		wg.Go(func() { l.deleteJob(id) })
	}
	wg.Wait()
}

// deleteJob deletes a job's records, its state last: a job without a state counts as
// new. Deletions for several jobs share appends.
func (l *leadership) deleteJob(id string) {
	deadline := time.Now().Add(maxPutWait)
	for _, key := range []string{jaycell.CancelKey(id), jaycell.JobKey(id)} {
		if err := l.controller.jobsAppender.Put(jaystore.Record{Key: key}, deadline); err != nil {
			l.controller.Logger.Warn().Str("event", "forget").Str("job", id).Err(err).Msg("cannot delete a record of an expired job; trying again later")
			return
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stateDeletions = append(l.stateDeletions, jaycell.Record{Key: jaycell.StateKey(id)})
}

// publishStates applies stored states of jobs and broadcasts them to the other
// entries.
func (l *leadership) publishStates(records []jaycell.Record) {
	if len(records) == 0 {
		return
	}
	m := &jayframe.StoredRecords{}
	for _, r := range records {
		l.controller.jobs.apply(r.Key, r.Value)
		m.Records = append(m.Records, jayframe.StoredRecord{Key: r.Key, Value: r.Value})
	}
	l.controller.broadcast(m)
}

// sendOrders sends orders to the agents that are linked; the others receive them
// after they reconnect.
func (l *leadership) sendOrders(orders []jaycell.Order) {
	byNode := map[string]*jayframe.CellOrders{}
	var nodes []string
	for _, o := range orders {
		m := byNode[o.Node]
		if m == nil {
			m = &jayframe.CellOrders{Term: l.term}
			byNode[o.Node] = m
			nodes = append(nodes, o.Node)
		}
		m.Orders = append(m.Orders, encodeOrder(o))
	}
	for _, node := range nodes {
		link := l.controller.agentLink(node)
		if link == nil {
			continue
		}
		if err := link.Send(byNode[node]); err != nil {
			l.controller.Logger.Warn().Str("event", "link").Str("peer", node).Err(err).Msg("cannot send orders; sending them again on the next link")
			link.Close("cannot send orders")
		}
	}
}

func encodeOrder(o jaycell.Order) jayframe.CellOrder {
	return jayframe.CellOrder{Kind: uint8(o.Kind), Runner: o.Runner, Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Number: o.Number, Percent: o.Percent}
}

// applyReport applies an agent's report and answers with a lease grant, whose sequence
// number is zero if the lease may not be extended. newConnection is set for the first
// report on a link.
func (l *leadership) applyReport(link *jaylink.Link, m *jayframe.CellReport, newConnection bool) {
	l.mutex.Lock()
	if l.termUnverified || !l.loaded {
		l.mutex.Unlock()
		return
	}
	l.setCellTime()
	report := decodeReport(m)
	report.NewConnection = newConnection
	granted := l.cell.ApplyReport(report)
	l.mutex.Unlock()
	grant := &jayframe.CellLeaseGrant{Term: l.term}
	if granted {
		grant.Sequence = m.Sequence
	}
	if err := link.Send(grant); err != nil {
		l.controller.Logger.Debug().Str("event", "link").Str("peer", link.Peer()).Err(err).Msg("cannot send a lease grant")
	}
	Signal(l.wake)
}

func decodeReport(m *jayframe.CellReport) jaycell.Report {
	r := jaycell.Report{
		Node: m.Node, Sequence: m.Sequence, Term: m.Term, Responsive: m.Responsive, Deregistered: m.Deregistered,
		Runner: jaycell.RunnerInfo{
			ID: m.Runner, Service: m.Service, DataCentre: m.DataCentre, Labels: m.Labels, Draining: m.Draining, DrainRemaining: time.Duration(m.DrainRemainingMillis) * time.Millisecond,
			Capacity: jaytask.Resources{CPU: m.CPU, Memory: m.Memory, Accelerators: m.Accelerators},
		},
	}
	for _, x := range m.Running {
		r.Running = append(r.Running, jaycell.Run{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: x.Percent, Load: x.Load})
	}
	for _, x := range m.Finished {
		r.Finished = append(r.Finished, jaycell.End{Number: x.Number, Task: x.Task, Run: x.Run, Reason: jaycell.EndReason(x.Reason), Checkpoint: x.Checkpoint})
	}
	for _, x := range m.OrderResults {
		r.OrderResults = append(r.OrderResults, jaycell.OrderResult{Task: x.Task, Run: x.Run, Refused: x.Refused, Reason: x.Reason})
	}
	for _, x := range m.PendingOrders {
		r.PendingOrders = append(r.PendingOrders, jaycell.Order{Kind: jaycell.OrderKind(x.Kind), Task: x.Task, Run: x.Run})
	}
	return r
}

// submitJob adds an accepted job.
func (l *leadership) submitJob(j *jaytask.Job) {
	l.mutex.Lock()
	l.setCellTime()
	// Until loaded is set, load takes all jobs from the job table.
	if l.loaded {
		l.cell.Submit(j)
	}
	l.mutex.Unlock()
	Signal(l.wake)
}

// cancelJob cancels a job.
func (l *leadership) cancelJob(id string) {
	l.mutex.Lock()
	l.setCellTime()
	l.cell.Cancel(id)
	l.mutex.Unlock()
	Signal(l.wake)
}

// submitToCell passes a newly accepted job to the cell while this entry leads.
func (c *Controller) submitToCell(j *jaytask.Job) {
	if l := c.currentLeadership(); l != nil {
		l.submitJob(j)
	}
}

// cancelInCell passes a new cancellation to the cell while this entry leads.
func (c *Controller) cancelInCell(id string) {
	if l := c.currentLeadership(); l != nil {
		l.cancelJob(id)
	}
}
