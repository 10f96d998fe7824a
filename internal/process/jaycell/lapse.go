package jaycell

import (
	"maps"
	"slices"
	"time"
)

// The lapse of a lease ends the runs that have begun. It does not exclude a start that is
// pending at the agent, in transit or in a call without an answer: with the next lease it
// would begin a run whose successor runs elsewhere, and its fence is still valid. So the
// runner gets no lease before it has confirmed that it will refuse these starts.

// leaseBound returns the latest time at which a runner's lease may end. An agent that has not
// confirmed this term may have got it from an earlier leader.
func (c *Cell) leaseBound(r *Runner) time.Duration {
	if r.follows {
		return r.leaseEnd
	}
	return max(r.leaseEnd, c.latestLeaseEnd(c.handoverEnd))
}

// abandonUnseenRuns notes the runs on a runner whose lease has lapsed that it has not
// listed yet.
func (c *Cell) abandonUnseenRuns(r *Runner) {
	for _, pl := range r.placements {
		if pl.committed && !pl.confirmed {
			r.abandon(pl.task(), pl.run)
		}
	}
}

func (r *Runner) abandon(task string, run int) {
	r.abandoned[task] = max(r.abandoned[task], run)
}

// forgetAbandoned removes a run, and with it earlier ones of the task, that the runner
// refuses to start from now on.
func (r *Runner) forgetAbandoned(task string, run int) {
	if run >= r.abandoned[task] {
		delete(r.abandoned, task)
	}
}

func hasPendingStart(p Report) bool {
	for _, o := range p.PendingOrders {
		if o.Kind == OrderStart {
			return true
		}
	}
	return false
}

// takeBack reports whether a lost runner may have a lease again. Until then it orders the
// stops of the abandoned runs. A run is excluded once an order for it has a result, after
// which its agent or its runner refuses the start, or once its end is listed.
func (c *Cell) takeBack(r *Runner, p Report) bool {
	for _, o := range p.PendingOrders {
		if o.Kind == OrderStart {
			r.abandon(o.Task, o.Run)
		}
	}
	for _, s := range p.OrderResults {
		r.forgetAbandoned(s.Task, s.Run)
	}
	for _, e := range p.Finished {
		r.forgetAbandoned(e.Task, e.Run)
	}
	if len(r.abandoned) == 0 {
		r.lost, r.lapsed = false, nil
		c.reportDecision(Decision{Runner: r.id, Event: "runner", Outcome: "back", Reason: "reported by " + p.Node})
		return true
	}
	// Tick forgets a lost runner some time after its lease.
	r.leaseEnd = c.now
	for _, task := range slices.Sorted(maps.Keys(r.abandoned)) {
		c.stopUnknownRun(r, task, r.abandoned[task], "its lease has lapsed before it began")
	}
	return false
}
