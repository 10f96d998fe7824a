package jaysupervisor

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
	"github.com/jaystile/jaystile/internal/process/jayevacuation"
)

const (
	// ReportInterval is the time between two reports when nothing changes.
	ReportInterval = 500 * time.Millisecond
	// renewalWait is how long a runner may delay its answer until a run ends; it bounds
	// the age of the reported progress.
	renewalWait = 500 * time.Millisecond
	// callTimeout bounds one call to the runner on the same machine, which answers within
	// a few milliseconds.
	callTimeout = 400 * time.Millisecond
	// minRenewalInterval prevents a busy loop with a runner that answers at once because
	// it lists unacknowledged ended runs.
	minRenewalInterval = 60 * time.Millisecond
	// retryDelay is the delay between two attempts to execute an order.
	retryDelay = 120 * time.Millisecond
	// A runner counts as responsive after its last answer for responsiveTimeout, or for
	// responsiveHeartbeats heartbeat intervals if that is longer.
	responsiveTimeout    = 1200 * time.Millisecond
	responsiveHeartbeats = 2
	// maxConcurrentCalls bounds the start calls that are open at the same time, and the stop calls: a
	// runner accepts a bounded number of connections.
	maxConcurrentCalls = 32
	// minLeaseLeft is the minimum remaining lease for a start.
	minLeaseLeft = 500 * time.Millisecond
	// resultRetention is how long the result of an order is repeated in reports.
	resultRetention = 4 * time.Second
	// exclusionRetention is far longer than a copy of an order may be in transit: silent
	// links are closed within a second.
	exclusionRetention = time.Minute
)

// order is an order in progress.
type order struct {
	jaycell.Order
	term uint64
	// stop is set for a stop, and for a start in a heartbeat response that is to be
	// withdrawn.
	stop       bool
	receivedAt time.Duration
	// calls counts the start calls; unanswered is set once one of them has had no answer.
	calls      int
	unanswered bool
	// refusal is why a start is refused, while its run is being stopped.
	refusal string
	// timesSent counts the heartbeat responses that have carried the order.
	timesSent int
	cancel    context.CancelFunc
}

// orderResult is a result that reports repeat for resultRetention.
type orderResult struct {
	jaycell.OrderResult
	recordedAt time.Duration
}

// exclusion is a run whose start is refused until exclusionRetention has passed.
type exclusion struct {
	run        int
	recordedAt time.Duration
}

// Supervisor supervises one runner. Its exported fields are set before Run.
type Supervisor struct {
	// Node names the agent's machine and the runner's address in reports.
	Node   string
	Client RunnerClient
	// Service is that of the runner; empty if it is unknown. What is said of a runner of
	// another service is not about this one.
	Service string
	// Lease is how long a run may continue after the last granted report was sent.
	Lease time.Duration
	// OrdersByHeartbeat is set if the runner accepts no calls: its heartbeats carry its
	// listing, and the responses its orders.
	OrdersByHeartbeat bool
	// HeartbeatInterval is the time between two heartbeats of the runner.
	HeartbeatInterval time.Duration
	// EvacuationBound is the time within which no more tasks start in a data centre that
	// operators take out of service; zero means that they take none.
	EvacuationBound time.Duration
	Logger          zerolog.Logger
	// SendReport sends a report to the leader.
	SendReport func(r jaycell.Report)
	// Elapsed returns the time that leases are measured by.
	Elapsed func() time.Duration

	ctx   context.Context
	tasks jayassert.Group

	mutex  sync.Mutex
	runner jaycell.RunnerInfo
	// sequence is that of the newest heartbeat, earlier what came since with lower ones.
	sequence uint64
	earlier  earlierHeartbeats
	// formerLife is zero if the life before the present one had another name.
	formerLife formerLife
	// heartbeatAt is when the newest heartbeat came.
	heartbeatAt  time.Duration
	deregistered bool
	// ended is set once a deregistered runner no longer listens.
	ended bool
	// lastResponse is when the runner last answered, zero after another incarnation has
	// answered instead.
	lastResponse time.Duration
	// lastAnswer is when the runner last answered under its ID. endSeenAt is when its end was
	// first seen since, zero if it was not.
	lastAnswer time.Duration
	endSeenAt  time.Duration
	// doubtedAt is when a call last failed, after which the runner may have restarted under
	// its name. It is zero once a listing has told that it has not. confirmedAt is when the
	// newest listing was requested: its answer may have waited while this process stood still.
	doubtedAt   time.Duration
	confirmedAt time.Duration
	// crashRecorded is set once the crash of this runner is in crashes, which holds those
	// that the leader has not recorded.
	crashRecorded bool
	crashes       []jaycell.Crash
	// observed holds what the listings have shown of the listed runs, by task; unlisted holds
	// the starts that no listing has shown yet.
	observed map[string]observedRun
	unlisted map[string]unlistedStart
	// listed holds the runs that the newest listing shows as running.
	listed map[listedRun]bool
	// startCalls and stopCalls hold an element for each open call.
	startCalls, stopCalls chan struct{}
	// runnerClock is the runner's own clock at runnerClockReadAt.
	runnerClock       time.Duration
	runnerClockReadAt time.Duration
	runnerClockKnown  bool
	term              uint64
	// termRead is set once this process has read the newest term from the store.
	termRead bool
	// confirmedFence is the highest fence that the runner had seen when it listed its
	// runs.
	confirmedFence uint64
	// grantedUntil is when the last grant ends, on this machine's clock, grantedIn the term of
	// that grant. lapseLogged is set once its end has been logged.
	grantedUntil time.Duration
	grantedIn    uint64
	lapseLogged  bool
	// evacuation allows starts by what the leader has last told of the data centre.
	evacuation jayevacuation.Gate
	// acknowledged is the highest number of an ended run that the leader has recorded.
	acknowledged uint64
	orders       map[string]*order
	results      []orderResult
	// excluded holds, by task, the highest run that has a result and may not start any more.
	excluded map[string]exclusion
	listing  Listing
	// listingRequestedAt is when the newest listing was requested.
	listingRequestedAt time.Duration
	// reportSignal requests a report at once, pollSignal a listing.
	reportSignal chan struct{}
	pollSignal   chan struct{}
	// pastIncarnations are the earlier incarnations of the runner.
	pastIncarnations []string
	// candidate is an incarnation that may replace the runner, if it reports by heartbeat.
	candidate candidate
	// sentFence is the fence in the last response to a heartbeat of this incarnation.
	sentFence uint64
}

// New returns a supervisor without a runner.
func New() *Supervisor {
	return &Supervisor{Elapsed: jayclock.Elapsed, orders: map[string]*order{}, excluded: map[string]exclusion{}, unlisted: map[string]unlistedStart{}, startCalls: make(chan struct{}, maxConcurrentCalls), stopCalls: make(chan struct{}, maxConcurrentCalls), reportSignal: make(chan struct{}, 1), pollSignal: make(chan struct{}, 1)}
}

// Run supervises the runner until ctx is done.
func (s *Supervisor) Run(ctx context.Context) {
	s.mutex.Lock()
	s.ctx, s.evacuation.Bound = ctx, s.EvacuationBound
	s.mutex.Unlock()
	var wg jayassert.Group
	if !s.OrdersByHeartbeat {
		wg.Go(func() { s.pollContinuously(ctx) })
		wg.Go(func() { s.pollOnDemand(ctx) })
	}
	wg.Go(func() { s.sendReports(ctx) })
	wg.Wait()
	s.tasks.Wait()
}

// Term returns the highest term that the supervisor knows.
func (s *Supervisor) Term() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.term
}

// SetTerm adopts a higher term. Orders of earlier terms are dropped: once the runner
// has seen the new fence, it refuses their starts.
func (s *Supervisor) SetTerm(term uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.setTerm(term)
}

func (s *Supervisor) setTerm(term uint64) {
	if term <= s.term {
		return
	}
	s.Logger.Info().Str("event", "term").Uint64("term", term).Uint64("was", s.term).Msg("following a new term")
	s.term = term
	s.dropOrders()
	s.results = nil
	jaycontroller.Signal(s.pollSignal)
}

// MarkTermRead records that the known term is not lower than the newest one that the store had
// after this process began.
func (s *Supervisor) MarkTermRead() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.termRead {
		return
	}
	s.termRead = true
	s.Logger.Info().Str("event", "term").Uint64("term", s.term).Msg("read the newest term")
	jaycontroller.Signal(s.reportSignal)
}

// mayFollow reports whether this process may follow the leader of the known term. The process before
// it may have confirmed a higher one, of which entries do not tell and whose fence a runner with
// orders by heartbeat may not have read. Other runners refuse what comes from an earlier leader.
func (s *Supervisor) mayFollow() bool { return s.termRead || !s.OrdersByHeartbeat }

// GrantLease allows the lease to be extended, counted from when the report with this
// sequence number was sent: a report's sequence number is its time, as of Elapsed.
func (s *Supervisor) GrantLease(term uint64, sequence int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if term != s.term || !s.mayFollow() {
		return
	}
	if term != s.grantedIn || s.lapseLogged {
		s.Logger.Info().Str("event", "lease").Uint64("term", term).Uint64("was", s.grantedIn).Str("runner", s.runner.ID).Int64("left_ms", (s.grantedUntil - s.Elapsed()).Milliseconds()).Msg("a leader extends the lease")
	}
	s.grantedUntil, s.grantedIn, s.lapseLogged = max(s.grantedUntil, time.Duration(sequence)+s.Lease), term, false
}

// logLapse logs once that the last grant has ended.
func (s *Supervisor) logLapse(now time.Duration) {
	if s.grantedIn > 0 && now > s.grantedUntil && !s.lapseLogged {
		s.lapseLogged = true
		s.Logger.Warn().Str("event", "lease").Uint64("term", s.grantedIn).Str("runner", s.runner.ID).Int64("ended_ms_ago", (now - s.grantedUntil).Milliseconds()).Msg("no leader has extended the lease")
	}
}

// RecordEvacuation records what the leader has told of the runner's data centre in answer to the
// report with this sequence number.
func (s *Supervisor) RecordEvacuation(told jayevacuation.Statement, sequence int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	before := s.evacuation.Check(s.Elapsed())
	s.evacuation.Record(told, time.Duration(sequence))
	if after := s.evacuation.Check(s.Elapsed()); after != before {
		s.Logger.Info().Str("event", "evacuation").Bool("evacuated", told.Evacuated).Int64("view_age_ms", told.ViewAge.Milliseconds()).Bool("starts_allowed", after == jayevacuation.Start).Msg("what may start here has changed")
	}
}

// HandleHeartbeat applies a heartbeat. A heartbeat of another incarnation counts only
// if the runner answers calls under that ID: it may be a late one of an incarnation
// that has ended.
func (s *Supervisor) HandleHeartbeat(ctx context.Context, h Heartbeat) {
	s.mutex.Lock()
	if !s.isWhole(h) || !s.isOwn(h) {
		s.mutex.Unlock()
		return
	}
	h.Runner.ID = s.presentLife(h.Runner.ID)
	if s.runner.ID == h.Runner.ID {
		if s.isNewest(h) {
			s.updateRunner(h)
		}
		s.mutex.Unlock()
		return
	}
	fence := s.term
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := s.Client.Renew(ctx, Renewal{Incarnation: h.Runner.ID, Fence: fence})
	if err != nil {
		s.Logger.Warn().Str("event", "runner").Str("runner", h.Runner.ID).Err(err).Msg("ignoring a heartbeat of a runner that does not answer")
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runner.ID == h.Runner.ID {
		return
	}
	s.recordCrash(s.Elapsed())
	s.replaceRunner(h)
	s.applyListing(listing, s.Elapsed(), s.Elapsed(), fence)
	jaycontroller.Signal(s.pollSignal)
}

// isWhole reports whether a heartbeat tells which life of the runner it is about. One that does
// not, of a runner that has told before, identifies none.
func (s *Supervisor) isWhole(h Heartbeat) bool {
	whole := jaycell.TellsLife(h.Runner.ID) || !jaycell.TellsLife(s.runner.ID)
	if !whole {
		s.Logger.Warn().Str("event", "runner").Str("runner", h.Runner.ID).Str("known", s.runner.ID).Msg("ignoring a heartbeat that does not tell the runner's life")
	}
	return whole
}

// updateRunner applies a newer heartbeat of the same incarnation.
func (s *Supervisor) updateRunner(h Heartbeat) {
	s.sequence, s.heartbeatAt, s.earlier = h.Sequence, s.Elapsed(), earlierHeartbeats{}
	if s.runner.Draining != h.Runner.Draining {
		s.Logger.Info().Str("event", "runner").Str("runner", h.Runner.ID).Bool("draining", h.Runner.Draining).Dur("drain_left", h.Runner.DrainRemaining).Msg("runner changed its draining state")
		jaycontroller.Signal(s.reportSignal)
	}
	if s.runner.Capacity != h.Runner.Capacity {
		s.Logger.Info().Str("event", "runner").Str("runner", h.Runner.ID).Int("cpu", h.Runner.Capacity.CPU).Int("memory", h.Runner.Capacity.Memory).Int("accelerators", h.Runner.Capacity.Accelerators).Msg("runner changed its capacity")
		jaycontroller.Signal(s.reportSignal)
	}
	s.runner = h.Runner
}

// isDoubted reports whether the runner may have restarted under its name: a call has failed, or
// this process has stood still, and no listing has told since that it has not.
func (s *Supervisor) isDoubted() bool {
	return s.doubtedAt > 0 || s.Elapsed()-s.confirmedAt > responsiveTimeout
}

// knowsCapacity reports whether the runner's last heartbeat is recent. After a pause of this
// process, its runner may have shrunk unnoticed.
func (s *Supervisor) knowsCapacity() bool {
	return s.HeartbeatInterval == 0 || s.Elapsed()-s.heartbeatAt <= responsiveHeartbeats*s.HeartbeatInterval
}

// hasShrunk reports whether the runner has less than the capacity for which a start was
// decided. Not every runner refuses what does not fit.
func (s *Supervisor) hasShrunk(o *order) bool { return !o.Capacity.FitsIn(s.runner.Capacity) }

// replaceRunner resets the state for another incarnation of the runner.
func (s *Supervisor) replaceRunner(h Heartbeat) {
	s.Logger.Info().Str("event", "runner").Str("runner", h.Runner.ID).Str("was", s.runner.ID).Msg("runner has a new incarnation")
	s.dropOrders()
	if s.runner.ID != "" {
		s.pastIncarnations = append(s.pastIncarnations[max(0, len(s.pastIncarnations)-maxPastIncarnations+1):], s.runner.ID)
	}
	s.runner, s.sequence, s.deregistered, s.ended, s.acknowledged, s.results, s.runnerClockKnown, s.confirmedFence, s.sentFence = h.Runner, h.Sequence, false, false, 0, nil, false, 0, 0
	s.listing, s.listed, s.heartbeatAt, s.earlier, s.formerLife = Listing{}, nil, s.Elapsed(), earlierHeartbeats{}, formerLife{}
	s.lastAnswer, s.endSeenAt, s.crashRecorded, s.observed, s.doubtedAt, s.confirmedAt = 0, 0, false, nil, 0, 0
	clear(s.unlisted)
	clear(s.excluded)
	jaycontroller.Signal(s.reportSignal)
}

// Deregister records that a runner has announced its shutdown. It may run on for seconds,
// and its runs with it, so it counts as draining until it has ended.
func (s *Supervisor) Deregister(id string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id = s.presentLife(id)
	if s.runner.ID != id {
		return
	}
	s.Logger.Info().Str("event", "runner").Str("runner", id).Msg("runner has deregistered")
	s.deregistered = true
	jaycontroller.Signal(s.reportSignal)
	jaycontroller.Signal(s.pollSignal)
}

// pollContinuously long-polls the runner for ended runs.
func (s *Supervisor) pollContinuously(ctx context.Context) {
	for ctx.Err() == nil {
		start := s.Elapsed()
		ok := s.poll(ctx, renewalWait)
		wait := minRenewalInterval - (s.Elapsed() - start)
		if !ok {
			wait = retryDelay
		}
		if !jayclock.Sleep(ctx, wait) {
			return
		}
	}
}

// pollOnDemand polls without waiting whenever a new listing is needed at once.
func (s *Supervisor) pollOnDemand(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pollSignal:
			s.poll(ctx, 0)
		}
	}
}

// poll extends the runner's lease and applies its listing. It reports whether the
// runner answered.
func (s *Supervisor) poll(ctx context.Context, wait time.Duration) bool {
	// The call's time counts from before the decision what it carries: after a pause of this
	// process in between, the runner may have restarted.
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	s.mutex.Lock()
	renewal := Renewal{Incarnation: s.runner.ID, Deadline: s.leaseDeadline(), Fence: s.term, Acknowledged: s.acknowledged, Wait: wait}
	if s.isDoubted() {
		// A new life would take the acknowledgement for its own ends, and the deadline for
		// one on its own clock.
		renewal.Acknowledged, renewal.Deadline = 0, 0
	}
	idle := s.runner.ID == "" || s.ended
	s.mutex.Unlock()
	if idle {
		return false
	}
	requestedAt := s.Elapsed()
	listing, err := s.Client.Renew(call, renewal)
	answeredAt := s.Elapsed()
	s.noteCallError(renewal.Incarnation, err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runner.ID != renewal.Incarnation {
		return false
	}
	if err == nil && s.hasRestarted(listing, requestedAt) {
		h := Heartbeat{Runner: s.runner}
		h.Runner.Draining = false
		s.restart(answeredAt, h)
		return false
	}
	if err != nil {
		var replaced *ReplacedError
		var ended *EndedError
		if errors.As(err, &replaced) {
			s.lastResponse = 0
		}
		if s.deregistered && (replaced != nil || errors.As(err, &ended)) {
			s.markEnded()
		}
		return false
	}
	s.applyListing(listing, requestedAt, answeredAt, renewal.Fence)
	return true
}

// markEnded drops all orders for a runner that has ended.
func (s *Supervisor) markEnded() {
	s.Logger.Info().Str("event", "runner").Str("runner", s.runner.ID).Msg("runner has ended")
	s.ended = true
	s.dropOrders()
	jaycontroller.Signal(s.reportSignal)
}

func (s *Supervisor) dropOrders() {
	for task, o := range s.orders {
		o.cancel()
		delete(s.orders, task)
	}
}

// leaseDeadline returns when the lease ends on the runner's clock, or zero.
func (s *Supervisor) leaseDeadline() time.Duration {
	if !s.runnerClockKnown || s.grantedUntil <= s.runnerClockReadAt {
		return 0
	}
	return s.runnerClock + s.grantedUntil - s.runnerClockReadAt
}

// applyListing applies a listing, unless one that was requested later has arrived
// before it.
func (s *Supervisor) applyListing(l Listing, requestedAt, answeredAt time.Duration, fence uint64) {
	if l.InvalidRows > 0 {
		s.Logger.Warn().Str("event", "listing").Str("runner", s.runner.ID).Int("unreadable", l.InvalidRows).Msg("skipped invalid rows of the runner's listing")
	}
	s.lastResponse = max(s.lastResponse, answeredAt)
	s.lastAnswer = max(s.lastAnswer, answeredAt)
	if answeredAt > s.endSeenAt {
		s.endSeenAt = 0
	}
	s.confirmedAt = max(s.confirmedAt, requestedAt)
	if requestedAt > s.doubtedAt {
		s.doubtedAt = 0
	}
	if !s.runnerClockKnown || l.Clock > s.runnerClock {
		s.runnerClock, s.runnerClockReadAt, s.runnerClockKnown = l.Clock, answeredAt, true
	}
	if requestedAt < s.listingRequestedAt {
		return
	}
	s.listingRequestedAt = requestedAt
	s.confirmedFence = max(s.confirmedFence, fence)
	old := s.listing
	s.listing, s.listed = l, make(map[listedRun]bool, len(l.Running))
	for _, r := range l.Running {
		s.listed[listedRun{task: r.Task, run: r.Run}] = true
	}
	s.observeRuns(l, requestedAt, answeredAt)
	// A listed run needs no start any more, and an ended one no order at all.
	for _, e := range l.Finished {
		if o := s.orders[e.Task]; o != nil && o.Run <= e.Run {
			o.cancel()
			delete(s.orders, e.Task)
		}
	}
	for _, r := range l.Running {
		if o := s.orders[r.Task]; o != nil && o.Run == r.Run && !o.stop {
			o.cancel()
			delete(s.orders, r.Task)
		}
	}
	if len(old.Finished) != len(l.Finished) || len(old.Running) != len(l.Running) {
		jaycontroller.Signal(s.reportSignal)
	}
}

// sendReports sends a report when something has changed, and at regular intervals.
func (s *Supervisor) sendReports(ctx context.Context) {
	ticker := time.NewTicker(ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-s.reportSignal:
		}
		s.SendReport(s.Report())
	}
}

// Report returns the current report to the leader.
func (s *Supervisor) Report() jaycell.Report {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Elapsed()
	s.logLapse(now)
	r := jaycell.Report{
		Node: s.Node, Sequence: int64(now), Term: min(s.confirmedFence, s.term), Runner: s.runner, Ended: s.ended,
		Responsive: !s.ended && s.mayFollow() && s.lastResponse > 0 && now-s.lastResponse < max(responsiveTimeout, s.HeartbeatInterval*responsiveHeartbeats),
		Running:    append([]jaycell.Run(nil), s.listing.Running...), Finished: append([]jaycell.End(nil), s.listing.Finished...),
	}
	r.Runner.Draining = r.Runner.Draining || s.deregistered
	r.Runner.ColdLeft = max(0, r.Runner.ColdLeft-(now-s.heartbeatAt))
	if s.confirmedFence < s.term {
		r.Term = 0
	}
	r.Crashes = slices.Clone(s.crashes)
	kept := s.results[:0]
	for _, result := range s.results {
		if now-result.recordedAt < resultRetention {
			kept = append(kept, result)
			r.OrderResults = append(r.OrderResults, result.OrderResult)
		}
	}
	s.results = kept
	maps.DeleteFunc(s.excluded, func(_ string, x exclusion) bool { return now-x.recordedAt > exclusionRetention })
	for _, o := range s.orders {
		kind := jaycell.OrderStart
		if o.stop {
			kind = jaycell.OrderStop
		}
		r.PendingOrders = append(r.PendingOrders, jaycell.Order{Kind: kind, Task: o.Task, Run: o.Run})
	}
	return r
}

// ReportNow makes the next report go out at once.
func (s *Supervisor) ReportNow() { jaycontroller.Signal(s.reportSignal) }
