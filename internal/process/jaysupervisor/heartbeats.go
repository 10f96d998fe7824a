package jaysupervisor

import (
	"slices"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const (
	// answerWay is how much later than it is counted from a lease in an answer may
	// begin on the runner: an answer counts for at most a second.
	answerWay = time.Second
	// nextBeat is when a runner that takes its orders with its heartbeats is asked
	// to report again: as often as other runners are asked for ends.
	nextBeat = 200 * time.Millisecond
	// startsBeforeStop is how often a start is given before a runner that does not
	// list it counts as having refused it: an answer may be lost.
	startsBeforeStop = 2
	// pastLives bounds the earlier lives of a runner that are remembered, of which
	// late heartbeats may come.
	pastLives = 16
)

// ReasonNotBegun is the keeper's own refusal of a start that the runner was given
// and did not begin.
const ReasonNotStarted = "not begun"

// Answer is what a runner is told that takes its orders with its heartbeats.
type HeartbeatResponse struct {
	// Lease counts from the arrival of the answer; zero extends nothing.
	Lease        time.Duration
	Fence        uint64
	Acknowledged uint64
	Starts       []Start
	Stops        []Stop
	// Next is when the runner reports again.
	NextHeartbeat time.Duration
}

// Exchange takes a heartbeat with a listing and returns the orders for the runner.
// Late heartbeats, of this life or an earlier one, change nothing and carry none.
func (k *Supervisor) ExchangeHeartbeat(h Heartbeat) HeartbeatResponse {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if slices.Contains(k.past, h.Runner.ID) || k.runner.ID == h.Runner.ID && (k.left || h.Sequence <= k.sequence) {
		return HeartbeatResponse{}
	}
	if k.runner.ID != h.Runner.ID {
		k.replace(h)
	} else {
		k.refresh(h)
	}
	// The runner has read the answer to its last heartbeat before it sent this one.
	now := jayclock.Elapsed()
	k.take(h.Listing, now, now, k.told)
	a := HeartbeatResponse{Fence: k.term, Acknowledged: k.acked, NextHeartbeat: nextBeat}
	if lease := k.permit - now - answerWay; lease > 0 {
		a.Lease = lease
	}
	k.give(&a)
	k.told = k.term
	return a
}

// give puts what is left to be done into an answer, in the order of task names.
func (k *Supervisor) give(a *HeartbeatResponse) {
	tasks := make([]string, 0, len(k.orders))
	for task := range k.orders {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	for _, task := range tasks {
		o := k.orders[task]
		switch {
		case o.stop && o.given > 0 && !k.runs(task, o.Run):
			k.finish(o)
			k.settled(o.Order, o.Kind == jaycell.OrderStart, ReasonNotStarted)
			continue
		case !o.stop && k.runner.Draining && o.given == 0:
			k.finish(o)
			k.settled(o.Order, true, ReasonDraining)
			continue
		case !o.stop && a.Lease < leastLease:
			continue
		case !o.stop && (k.runner.Draining || o.given >= startsBeforeStop):
			// The stop makes the runner refuse the start, should it still come.
			k.Logger.Info().Str("event", "start").Str("task", task).Int("run", o.Run).Int("given", o.given).Msg("runner does not list a start; taking it back")
			o.stop, o.given = true, 0
		}
		o.given++
		if o.stop {
			a.Stops = append(a.Stops, Stop{Task: task, Run: o.Run})
		} else {
			a.Starts = append(a.Starts, Start{Task: task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket})
		}
	}
}
