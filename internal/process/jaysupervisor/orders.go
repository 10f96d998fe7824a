package jaysupervisor

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
	"github.com/jaystile/jaystile/internal/process/jayevacuation"
)

// Metrics of the start calls to the runner; every attempt counts.
var (
	startSeconds = metrics.NewHistogram("jaystile_runner_start_seconds")
	startsFailed = metrics.NewCounter("jaystile_runner_starts_failed_total")
)

// ApplyOrders executes the orders of a term. Orders of an earlier term are ignored.
func (s *Supervisor) ApplyOrders(term uint64, orders []jaycell.Order) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if term < s.term || !s.mayFollow() || s.ctx == nil || s.ended {
		return
	}
	s.setTerm(term)
	for _, o := range orders {
		if o.Kind == jaycell.OrderAcknowledgeCrash {
			s.crashes = slices.DeleteFunc(s.crashes, func(c jaycell.Crash) bool { return c.Runner == o.Runner })
			continue
		}
		if o.Runner != s.runner.ID {
			if o.Kind == jaycell.OrderStart {
				s.addResult(o, true, ReasonReplaced)
			}
			continue
		}
		switch o.Kind {
		case jaycell.OrderAcknowledge:
			if o.Number > s.acknowledged {
				s.acknowledged = o.Number
				jaycontroller.Signal(s.pollSignal)
			}
		case jaycell.OrderStart:
			switch {
			case s.isListed(o.Task, o.Run):
				// The run has begun: this is a copy.
			case o.Run <= s.excluded[o.Task].run:
				s.addResult(o, true, ReasonNotStarted)
			default:
				s.execute(o, false)
			}
		case jaycell.OrderStop:
			s.execute(o, true)
		case jaycell.OrderThrottle:
			s.throttle(o, term)
		}
	}
}

// execute begins to execute an order, unless it or a later one for the same task is in
// progress.
func (s *Supervisor) execute(o jaycell.Order, stop bool) {
	old := s.orders[o.Task]
	if old != nil {
		if old.Run > o.Run || old.Run == o.Run && (old.stop || !stop) {
			return
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	pending := &order{Order: o, term: s.term, stop: stop, receivedAt: s.Elapsed(), cancel: cancel}
	s.orders[o.Task] = pending
	if s.OrdersByHeartbeat {
		return
	}
	s.tasks.Go(func() {
		defer cancel()
		if stop {
			s.stop(ctx, pending)
			return
		}
		s.start(ctx, pending)
	})
}

// throttle sends a new CPU share to the runner once, without retries: the leader
// repeats it. Runners that get their orders by heartbeat cannot be throttled.
func (s *Supervisor) throttle(o jaycell.Order, term uint64) {
	if s.OrdersByHeartbeat {
		return
	}
	request := Throttle{Incarnation: o.Runner, Task: o.Task, Run: o.Run, Percent: o.Percent, Fence: term}
	s.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		if err := s.Client.Throttle(ctx, request); err != nil {
			s.Logger.Warn().Str("event", "pace").Str("task", o.Task).Int("run", o.Run).Int("percent", o.Percent).Err(err).Msg("throttle call failed")
		}
	})
}

// addResult records the result of an order that left no run behind. The run is excluded:
// copies of its start may arrive later.
func (s *Supervisor) addResult(o jaycell.Order, refused bool, reason string) {
	now := s.Elapsed()
	s.results = append(s.results, orderResult{OrderResult: jaycell.OrderResult{Task: o.Task, Run: o.Run, Refused: refused, Reason: reason}, recordedAt: now})
	s.excluded[o.Task] = exclusion{run: max(o.Run, s.excluded[o.Task].run), recordedAt: now}
	jaycontroller.Signal(s.reportSignal)
}

// removeOrder removes an order and reports whether it was still the task's current
// one.
func (s *Supervisor) removeOrder(o *order) bool {
	if s.orders[o.Task] != o {
		return false
	}
	delete(s.orders, o.Task)
	return true
}

// start repeats a start call until the runner answers. Starts are idempotent.
func (s *Supervisor) start(ctx context.Context, o *order) {
	for ctx.Err() == nil {
		closeCall := openCall(ctx, s.startCalls)
		if closeCall == nil {
			return
		}
		// As in poll, a call that has waited since the decision to make it is not sent.
		callUntil := time.Now().Add(callTimeout)
		request, refusal, ready := s.prepareStart(o)
		var err error
		if ready {
			o.calls++
			err = s.tryStart(ctx, request, callUntil)
		}
		closeCall()
		if refusal != "" {
			s.refuse(ctx, o, refusal)
			return
		}
		if !ready {
			jayclock.Sleep(ctx, retryDelay)
			continue
		}
		s.noteCallError(o.Runner, err)
		s.noteStartCall(o, err)
		if err != nil {
			jaycontroller.Signal(s.pollSignal)
		}
		var refused *RefusedError
		var replaced *ReplacedError
		switch {
		case err == nil:
			s.logOrder(o, "accepted", "").Msg("run started")
			// The order stays pending until a listing confirms the run.
			s.awaitListed(ctx, o)
			return
		case errors.As(err, &replaced):
			s.mutex.Lock()
			s.removeOrder(o)
			s.mutex.Unlock()
			return
		case errors.As(err, &refused) && refused.Reason == ReasonLeaseExpired:
			// The next attempt carries a newer lease deadline.
		case errors.As(err, &refused):
			s.refuse(ctx, o, refused.Reason)
			return
		default:
			s.mutex.Lock()
			o.unanswered = true
			s.mutex.Unlock()
			s.Logger.Warn().Str("event", "start").Str("task", o.Task).Int("run", o.Run).Err(err).Msg("start call failed; retrying")
		}
		jayclock.Sleep(ctx, retryDelay)
	}
}

// prepareStart returns the start call for an order and whether it may be made now, or why the start is
// refused.
func (s *Supervisor) prepareStart(o *order) (request Start, refusal string, ready bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	request = Start{Incarnation: o.Runner, Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Deadline: s.leaseDeadline(), Fence: o.term}
	evacuation := s.evacuation.Check(s.Elapsed())
	switch {
	case s.runner.Draining || s.deregistered:
		return request, ReasonDraining, false
	case s.hasShrunk(o):
		return request, ReasonShrunk, false
	case evacuation == jayevacuation.Refuse:
		return request, ReasonEvacuated, false
	}
	ready = evacuation == jayevacuation.Start && s.grantedUntil-s.Elapsed() > minLeaseLeft && request.Deadline > 0 && s.knowsCapacity() && !s.isDoubted()
	return request, "", ready
}

func (s *Supervisor) tryStart(ctx context.Context, request Start, until time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	started := time.Now()
	err := s.Client.Start(ctx, request)
	startSeconds.UpdateDuration(started)
	if err != nil {
		startsFailed.Inc()
	}
	return err
}

// logOrder returns a log line for the outcome of a start.
func (s *Supervisor) logOrder(o *order, outcome, reason string) *zerolog.Event {
	e := s.Logger.Info().Str("event", "start").Uint64("term", o.term).Str("task", o.Task).Int("run", o.Run).Str("runner", o.Runner).Str("outcome", outcome)
	if reason != "" {
		e = e.Str("reason", reason)
	}
	return e.Int("calls", o.calls).Bool("unanswered", o.unanswered).Int64("age_ms", (s.Elapsed() - o.receivedAt).Milliseconds())
}

// refuse reports a start as refused. A refusal leaves no trace on the runner: if a call of
// this process or of an earlier one may still be executed, the run is stopped first, so
// that it does not begin after the leader has started the next one elsewhere.
func (s *Supervisor) refuse(ctx context.Context, o *order, reason string) {
	s.mutex.Lock()
	o.refusal = reason
	begun := s.isListed(o.Task, o.Run)
	final := begun || !o.unanswered && !o.Repeated
	if final && s.removeOrder(o) && !begun {
		s.addResult(o.Order, true, reason)
	}
	s.mutex.Unlock()
	s.logOrder(o, "refused", reason).Msg("start refused")
	if !final {
		s.stop(ctx, o)
	}
}

// awaitListed waits until a listing shows a started run or its end, which removes the
// order. If a listing requested after the call shows neither, the run has vanished.
func (s *Supervisor) awaitListed(ctx context.Context, o *order) {
	after := s.Elapsed()
	jaycontroller.Signal(s.pollSignal)
	for jayclock.Sleep(ctx, retryDelay) {
		s.mutex.Lock()
		listed := s.isComplete(after)
		if listed && s.removeOrder(o) {
			s.addResult(o.Order, false, "vanished")
		}
		s.mutex.Unlock()
		if listed {
			return
		}
	}
}

// stop repeats a stop call until the runner answers, then waits for the run to end.
func (s *Supervisor) stop(ctx context.Context, o *order) {
	for ctx.Err() == nil {
		closeCall := openCall(ctx, s.stopCalls)
		if closeCall == nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.Client.Stop(call, Stop{Incarnation: o.Runner, Task: o.Task, Run: o.Run, Fence: o.term})
		cancel()
		closeCall()
		s.noteCallError(o.Runner, err)
		var refused *RefusedError
		var replaced *ReplacedError
		if errors.As(err, &replaced) || errors.As(err, &refused) && refused.Reason == ReasonFence {
			s.mutex.Lock()
			s.removeOrder(o)
			s.mutex.Unlock()
			return
		}
		if err == nil {
			s.awaitEnd(ctx, o, s.Elapsed())
			return
		}
		s.Logger.Warn().Str("event", "stop").Str("task", o.Task).Int("run", o.Run).Err(err).Msg("stop call failed; retrying")
		jayclock.Sleep(ctx, retryDelay)
	}
}

// awaitEnd waits for a listing, requested after the given time, that no longer shows
// the run. If it does not show the run's end either, the run had not started.
func (s *Supervisor) awaitEnd(ctx context.Context, o *order, after time.Duration) {
	jaycontroller.Signal(s.pollSignal)
	for jayclock.Sleep(ctx, retryDelay) {
		s.mutex.Lock()
		ended := s.isComplete(after) && !s.isListed(o.Task, o.Run)
		if ended && s.removeOrder(o) {
			s.addResult(o.Order, o.refusal != "", cmp.Or(o.refusal, "stopped before it began"))
		}
		s.mutex.Unlock()
		if ended {
			return
		}
		jaycontroller.Signal(s.pollSignal)
	}
}

// isComplete reports whether the newest listing was requested after the given time and
// shows all ends.
func (s *Supervisor) isComplete(after time.Duration) bool {
	return s.listingRequestedAt > after && s.listing.showsAllEnds()
}

// listedRun identifies a run in a listing.
type listedRun struct {
	task string
	run  int
}

// isListed reports whether the newest listing shows a run as running.
func (s *Supervisor) isListed(task string, run int) bool {
	return s.listed[listedRun{task: task, run: run}]
}

// openCall waits until a call may be made, as bounded by maxConcurrentCalls, and returns the
// function that ends it. It returns nil if ctx ends first.
func openCall(ctx context.Context, calls chan struct{}) func() {
	select {
	case calls <- struct{}{}:
		return func() { <-calls }
	case <-ctx.Done():
		return nil
	}
}
