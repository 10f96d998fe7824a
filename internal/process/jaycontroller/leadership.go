package jaycontroller

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

const (
	// tickInterval bounds how late a timeout or deadline is noticed.
	tickInterval = 100 * time.Millisecond
	// maxStartDelay is how long a batch may take to be stored before nothing more is placed
	// or preempted: what waits for it would be decided on a picture of long ago.
	maxStartDelay = storeDownThreshold
	// minTickPause is the time between two ticks that reports ask for, unless the last one
	// took longer: deciding takes at most half of the processor time.
	minTickPause = 5 * time.Millisecond
	// slowTick is how long a tick may take without a log line.
	slowTick = 200 * time.Millisecond
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
	// lastGrantAt is when a lease was last granted, as of jayclock.Elapsed.
	lastGrantAt atomic.Int64
	// termReadAt is when the read was requested that told last that the term is the newest one, as
	// noted beside the rounds of decisions.
	termReadAt atomic.Int64
	// entryLinked is set once an entry has opened a link that has not been asked whom it follows.
	entryLinked atomic.Bool
	// evacuationRequested is set until the next decisions have applied the request.
	evacuationRequested atomic.Bool
	// beganAt is when the term began here.
	beganAt time.Duration
	// standingCheckedAt, electorsCheckedAt and askedAt are used by tick only, followedAt, alive
	// and shared by checkStanding and tick. followedAt holds by elector when it was last asked and has answered
	// that it follows this leader, alive by address the newest answer, shared the addresses that
	// several entries announce.
	standingCheckedAt time.Duration
	electorsCheckedAt time.Duration
	askedAt           time.Duration
	followedAt        map[string]time.Duration
	alive             map[string]answer
	shared            map[string]bool
	// accountMadeAt, accountSequence and accountEmpty are of the latest account of the
	// backlog, and used by tick only.
	accountMadeAt   time.Duration
	accountSequence uint64
	accountEmpty    bool
	reports         *reportQueue

	mutex sync.Mutex
	cell  *jaycell.Cell
	// loaded is set once the records of earlier terms have been read.
	loaded bool
	// writing is set while a batch is being stored; the next one is taken afterwards.
	writing      bool
	writingSince time.Duration
	resigned     bool
	// termUnverified is set after a pause in which the process may have been frozen,
	// until the store confirms that the term still lasts.
	termUnverified bool
	// heldOrders wait until the term is verified.
	heldOrders []jaycell.Order
	pauses     *pauseDetector
	// standing tells until when this leader may grant leases; isolated is set once the log tells
	// that it may not.
	standing standing
	isolated bool
	// handoverEnded is set once no earlier leader grants leases, but for handoverDelay.
	handoverEnded bool
	// nextElectors are the electors that may have been stored, nil if it is known which ones
	// are; storingElectors is set while they are being stored.
	nextElectors    []string
	storingElectors bool
	// stateDeletions are the state records to delete, of jobs whose other records have
	// been deleted.
	stateDeletions []jaycell.Record
	lastExpiry     time.Duration
	// evacuationsUnknown is set while the view of the evacuations is too old to place tasks. It
	// is used by tick only.
	evacuationsUnknown bool
}

func newLeadership(c *Controller, term uint64) *leadership {
	now := jayclock.Elapsed()
	l := &leadership{controller: c, term: term, wake: make(chan struct{}, 1), adviceWanted: make(chan struct{}, 1), done: make(chan struct{}), accountEmpty: true, reports: newReportQueue(), pauses: newPauseDetector(), beganAt: now, followedAt: map[string]time.Duration{}, alive: map[string]answer{}, shared: map[string]bool{}}
	l.cell = jaycell.New(jaycell.Settings{
		Term: term, Lease: c.Timing.Lease, HandoverDelay: outageWait + handoverDelay, Retention: c.Timing.Retention, StopTimeout: c.Timing.StopTimeout, GangTimeout: c.Timing.GangTimeout, RemoteSlowdown: c.Timing.RemoteSlowdown,
		Guaranteed: func(workspace string) int {
			if config := c.config.Load(); config != nil {
				return config.Guaranteed(workspace)
			}
			return 0
		},
		NeedsTicket: func(route string) bool {
			config := c.config.Load()
			if config == nil {
				// It is about to be read, and may ask for a ticket.
				return true
			}
			_, needed := config.Advice(route)
			return needed
		},
		MaxRecordBytes:       c.maxUnitRecordBytes(),
		Evacuated:            c.evacuated(),
		ReclaimDeadline:      c.Timing.ReclaimDeadline,
		OnDecision:           l.recordDecision,
		OnInvariantViolation: l.recordInvariantViolation,
	}, now, time.Now())
	return l
}

// startWaitSeconds is how long jobs wait for each of their starts.
var startWaitSeconds = metrics.NewHistogram("jaystile_start_wait_seconds")

// waitingForHeadroom is how many units wait although resources are free, for more urgent work
// that may come.
var waitingForHeadroom = metrics.NewGauge("jaystile_units_waiting_for_headroom", nil)

// undecidedSteps is how many steps of jobs the last round has left to the next ones.
var undecidedSteps = metrics.NewGauge("jaystile_undecided_steps", nil)

// roundWork is the work of a round of decisions, in looks at a runner.
var roundWork = metrics.NewHistogram("jaystile_round_work")

// tickSeconds is how long the leader takes to decide once.
var tickSeconds = metrics.NewHistogram("jaystile_tick_seconds")

// pausesTotal counts the pauses after which leaders have verified their terms.
var pausesTotal = metrics.NewCounter("jaystile_leader_pauses_total")

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
		e := l.controller.Logger.Info().Str("event", "term").Uint64("term", l.term).Str("cause", cause)
		if at := time.Duration(l.lastGrantAt.Load()); at > 0 {
			e = e.Int64("last_grant_ms_ago", (jayclock.Elapsed() - at).Milliseconds())
		}
		e.Msg("leadership ended")
		close(l.done)
	})
}

// spawn runs a part of the leadership. One that panics ends the leadership: this entry goes
// on serving callers, and another one leads.
func (l *leadership) spawn(part func()) {
	l.controller.tasks.Go(func() {
		if err := jayassert.Try(part); err != nil {
			l.fail(err)
		}
	})
}

// fail ends the leadership after an unexpected error and lets another entry lead.
func (l *leadership) fail(err error) {
	l.controller.Logger.Error().Str("event", "term").Uint64("term", l.term).Err(err).Msg("leadership failed")
	l.controller.leadershipFailedAt.Store(int64(jayclock.Elapsed()))
	l.end("failed")
	l.controller.broadcast(&jayframe.CellResign{Term: l.term})
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
	l.spawn(func() { l.informEntries(ctx) })
	l.spawn(func() { l.pauses.run(ctx) })
	l.spawn(func() { l.noteTermReads(ctx) })
	runs := l.newRunsWriter()
	if err := l.load(ctx, runs); err != nil {
		l.controller.Logger.Warn().Str("event", "term").Uint64("term", l.term).Err(err).Msg("cannot load the records of earlier terms")
		return
	}
	l.spawn(func() { l.runAdvice(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-ticker.C:
		}
		began := jayclock.Elapsed()
		l.tick(ctx, runs)
		took := jayclock.Elapsed() - began
		tickSeconds.Update(took.Seconds())
		if took > slowTick {
			l.controller.Logger.Warn().Str("event", "tick").Uint64("term", l.term).Int64("took_ms", took.Milliseconds()).Msg("decisions took long")
		}
		jayclock.Sleep(ctx, max(took, minTickPause))
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

// setCellTime sets the cell's time to now. The mutex is held.
func (l *leadership) setCellTime() { l.cell.SetTime(jayclock.Elapsed(), time.Now()) }

// tick makes the decisions that are due and starts to store them.
func (l *leadership) tick(ctx context.Context, runs *jaystore.FailoverWriter) {
	if jayclock.Elapsed()-l.standingCheckedAt >= tickInterval {
		now := l.checkStanding()
		l.askFollowers(now)
		l.updateElectors(ctx, now)
		l.controller.refreshEvacuations(ctx)
	}
	batch, immediate := l.decide(ctx)
	l.sendOrders(immediate)
	l.publishAccount()
	Signal(l.adviceWanted)
	if batch != nil {
		l.spawn(func() { l.storeBatch(ctx, runs, batch) })
	}
}

// decide makes the decisions that are due. It returns the batch to be stored, which is nil
// if there is none or another one is being stored, and the orders to be sent at once.
func (l *leadership) decide(ctx context.Context) (*jaycell.Batch, []jaycell.Order) {
	// It takes the lock of a tail, which comes before that of a leadership.
	knowsEvacuations := l.knowsEvacuations()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setCellTime()
	now := jayclock.Elapsed()
	if l.pauses.check() && !l.termUnverified {
		l.termUnverified = true
		pausesTotal.Inc()
		l.controller.Logger.Warn().Str("event", "pause").Uint64("term", l.term).Msg("this process may have been frozen; verifying its term")
		l.spawn(func() { l.verifyTerm(ctx) })
	}
	if now-l.lastExpiry > expiryInterval && !l.resigned {
		l.lastExpiry = now
		l.spawn(l.deleteExpiredJobs)
	}
	var batch *jaycell.Batch
	if !l.resigned && !l.termUnverified {
		l.cell.SetStarting((!l.writing || now-l.writingSince < maxStartDelay) && knowsEvacuations)
		l.cell.Tick()
		waitingForHeadroom.Set(float64(l.cell.WaitingForHeadroom()))
		undecidedSteps.Set(float64(l.cell.Undecided()))
		roundWork.Update(float64(l.cell.RoundWork()))
		l.logRemainingPool()
		if !l.writing {
			batch = l.cell.TakeBatch()
		}
	}
	if batch != nil && batch.Empty() && len(l.stateDeletions) == 0 {
		batch = nil
	}
	if batch != nil {
		l.writing, l.writingSince = true, now
	}
	if !l.termVerified() {
		return batch, nil
	}
	return batch, l.cell.TakeImmediateOrders()
}

// termVerified reports whether this process has not been frozen since its term was last known to be
// the newest. Until it is, no lease is granted and no order is sent. The mutex is held.
func (l *leadership) termVerified() bool { return !l.pauses.check() && !l.termUnverified }

// verifyTerm reads the newest term from the store after a pause. A higher one ends
// this leadership. What has waited for it goes on.
func (l *leadership) verifyTerm(ctx context.Context) {
	for ctx.Err() == nil {
		l.pauses.reset()
		call, cancel := context.WithTimeout(ctx, claimTimeout)
		err := l.controller.cellTail.Refresh(call)
		cancel()
		if err == nil && !l.pauses.check() {
			break
		}
		jayclock.Sleep(ctx, tickInterval)
	}
	if ctx.Err() != nil || l.hasEnded() {
		return
	}
	l.mutex.Lock()
	l.termUnverified = false
	held := l.heldOrders
	l.heldOrders = nil
	l.mutex.Unlock()
	l.sendOrders(held)
	l.applyWaitingReports()
	Signal(l.wake)
}

// hasEnded reports whether the leadership has ended, also before its loop has returned.
func (l *leadership) hasEnded() bool {
	select {
	case <-l.done:
		return true
	default:
		return false
	}
}
