package jaysupervisor

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
)

// Metrics of the starts asked of the runner, each try counted.
var (
	startSeconds = metrics.NewHistogram("jaystile_runner_start_seconds")
	startsFailed = metrics.NewCounter("jaystile_runner_starts_failed_total")
)

// Take carries out the orders of a term. Orders of an earlier term are ignored.
func (k *Supervisor) ApplyOrders(term uint64, orders []jaycell.Order) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if term < k.term || k.ctx == nil {
		return
	}
	k.setTerm(term)
	for _, o := range orders {
		if o.Runner != k.runner.ID {
			if o.Kind == jaycell.OrderStart {
				k.settled(o, true, ReasonReplaced)
			}
			continue
		}
		switch o.Kind {
		case jaycell.OrderAcknowledge:
			if o.Number > k.acked {
				k.acked = o.Number
				jaycontroller.Signal(k.urgent)
			}
		case jaycell.OrderStart:
			k.begin(o, false)
		case jaycell.OrderStop:
			k.begin(o, true)
		case jaycell.OrderThrottle:
			k.pace(o, term)
		}
	}
}

// begin starts carrying out an order, unless the same one is under way.
func (k *Supervisor) begin(o jaycell.Order, stop bool) {
	old := k.orders[o.Task]
	if old != nil {
		if old.Run > o.Run || old.Run == o.Run && (old.stop || !stop) {
			return
		}
		old.cancel()
	}
	ctx, cancel := context.WithCancel(k.ctx)
	n := &order{Order: o, term: k.term, stop: stop, cancel: cancel}
	k.orders[o.Task] = n
	if k.OrdersByHeartbeat {
		return
	}
	k.tasks.Go(func() {
		defer cancel()
		if stop {
			k.stop(ctx, n)
			return
		}
		k.start(ctx, n)
	})
}

// pace passes a new share on, once: the holder of the term repeats it. A runner
// that takes no calls has no pace.
func (k *Supervisor) pace(o jaycell.Order, term uint64) {
	if k.OrdersByHeartbeat {
		return
	}
	p := Throttle{Incarnation: o.Runner, Task: o.Task, Run: o.Run, Percent: o.Percent, Fence: term}
	k.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(k.ctx, callTimeout)
		defer cancel()
		if err := k.Client.Throttle(ctx, p); err != nil {
			k.Logger.Warn().Str("event", "pace").Str("task", o.Task).Int("run", o.Run).Int("percent", o.Percent).Err(err).Msg("pace was not taken")
		}
	})
}

// settled notes an order that left no run behind.
func (k *Supervisor) settled(o jaycell.Order, refused bool, reason string) {
	k.results = append(k.results, result{OrderResult: jaycell.OrderResult{Task: o.Task, Run: o.Run, Refused: refused, Reason: reason}, at: jayclock.Elapsed()})
	jaycontroller.Signal(k.changed)
}

// finish ends an order; it reports whether the order was still the current one.
func (k *Supervisor) finish(o *order) bool {
	if k.orders[o.Task] != o {
		return false
	}
	delete(k.orders, o.Task)
	return true
}

// start asks the runner to begin a run until it answers. The same start may be
// asked for again: it takes effect once.
func (k *Supervisor) start(ctx context.Context, o *order) {
	for ctx.Err() == nil {
		k.mutex.Lock()
		s := Start{Incarnation: o.Runner, Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Deadline: k.deadline(), Fence: o.term}
		draining := k.runner.Draining || k.left
		leased := k.permit-jayclock.Elapsed() > leastLease && s.Deadline > 0
		k.mutex.Unlock()
		if draining && !o.open {
			k.refuse(o, ReasonDraining)
			return
		}
		if !leased {
			jayclock.Sleep(ctx, retryPause)
			continue
		}
		err := k.tryStart(ctx, s)
		var refused *RefusedError
		var replaced *ReplacedError
		switch {
		case err == nil:
			// The listing confirms the run; until then the order stays known.
			k.confirm(ctx, o)
			return
		case errors.As(err, &replaced):
			k.mutex.Lock()
			k.finish(o)
			k.mutex.Unlock()
			return
		case errors.As(err, &refused) && refused.Reason == ReasonLeaseExpired:
		case errors.As(err, &refused):
			if o.open {
				// An earlier try may still be carried out: a stop makes the runner
				// refuse it.
				k.stop(ctx, o)
				return
			}
			k.refuse(o, refused.Reason)
			return
		default:
			k.mutex.Lock()
			o.open = true
			k.mutex.Unlock()
			k.Logger.Warn().Str("event", "start").Str("task", o.Task).Int("run", o.Run).Err(err).Msg("start was not answered; asking again")
		}
		jayclock.Sleep(ctx, retryPause)
	}
}

func (k *Supervisor) tryStart(ctx context.Context, s Start) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	begun := time.Now()
	err := k.Client.Start(ctx, s)
	startSeconds.UpdateDuration(begun)
	if err != nil {
		startsFailed.Inc()
	}
	return err
}

func (k *Supervisor) refuse(o *order, reason string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.finish(o) {
		k.Logger.Info().Str("event", "start").Str("task", o.Task).Int("run", o.Run).Str("outcome", "refused").Str("reason", reason).Msg("runner refused a start")
		k.settled(o.Order, true, reason)
	}
}

// confirm waits for a listing that shows an accepted run. A listing that was
// asked for later and shows neither the run nor its end means that it is gone.
func (k *Supervisor) confirm(ctx context.Context, o *order) {
	after := jayclock.Elapsed()
	jaycontroller.Signal(k.urgent)
	for jayclock.Sleep(ctx, retryPause) {
		k.mutex.Lock()
		listed := k.listedAt > after
		if listed && k.finish(o) {
			k.settled(o.Order, false, "vanished")
		}
		k.mutex.Unlock()
		if listed {
			return
		}
	}
}

// stop asks the runner to end a run until it answers, then waits for a listing
// that shows the end, or neither run nor end.
func (k *Supervisor) stop(ctx context.Context, o *order) {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := k.Client.Stop(call, Stop{Incarnation: o.Runner, Task: o.Task, Run: o.Run, Fence: o.term})
		cancel()
		var refused *RefusedError
		var replaced *ReplacedError
		if errors.As(err, &replaced) || errors.As(err, &refused) && refused.Reason == ReasonFence {
			k.mutex.Lock()
			k.finish(o)
			k.mutex.Unlock()
			return
		}
		if err == nil {
			k.awaitEnd(ctx, o, jayclock.Elapsed())
			return
		}
		k.Logger.Warn().Str("event", "stop").Str("task", o.Task).Int("run", o.Run).Err(err).Msg("stop was not taken; asking again")
		jayclock.Sleep(ctx, retryPause)
	}
}

// awaitEnd waits until a listing that was asked for after the stop no longer
// shows the run.
func (k *Supervisor) awaitEnd(ctx context.Context, o *order, after time.Duration) {
	jaycontroller.Signal(k.urgent)
	for jayclock.Sleep(ctx, retryPause) {
		k.mutex.Lock()
		gone := k.listedAt > after && !k.runs(o.Task, o.Run)
		if gone && k.finish(o) {
			k.settled(o.Order, false, "stopped before it began")
		}
		k.mutex.Unlock()
		if gone {
			return
		}
		jaycontroller.Signal(k.urgent)
	}
}

func (k *Supervisor) runs(task string, run int) bool {
	for _, r := range k.listing.Running {
		if r.Task == task && r.Run == run {
			return true
		}
	}
	return false
}
