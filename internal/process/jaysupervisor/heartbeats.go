package jaysupervisor

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayevacuation"
)

const (
	// maxResponseDelay is subtracted from the lease in a heartbeat response: the runner
	// counts the lease from the arrival of the response, which may be a second old.
	maxResponseDelay = time.Second
	// nextHeartbeatDelay is the heartbeat delay of a runner that gets its orders by
	// heartbeat: it reports as often as other runners are polled for ended runs.
	nextHeartbeatDelay = 200 * time.Millisecond
	// minCandidateAge is the time between two heartbeats of a new incarnation before it
	// replaces the runner. Late ones of an ended incarnation come closer together.
	minCandidateAge = nextHeartbeatDelay / 2
	// maxStartsSent is how many responses carry a start that the runner does not list
	// before the start is withdrawn by a stop: one response may be lost.
	maxStartsSent = 2
	// maxResponseBytes bounds the starts in one response: those that are left come with the next one.
	maxResponseBytes = 256 << 10
	// maxPastIncarnations bounds the past incarnations of a runner that are remembered to
	// ignore their late heartbeats.
	maxPastIncarnations = 16
)

// ReasonNotStarted is the supervisor's own refusal of a start that was sent to the
// runner but did not take effect.
const ReasonNotStarted = "not begun"

// HeartbeatResponse answers a heartbeat of a runner that gets its orders by heartbeat.
type HeartbeatResponse struct {
	// Lease counts from the arrival of the response; zero does not extend the lease.
	Lease        time.Duration
	Fence        uint64
	Acknowledged uint64
	Starts       []Start
	Stops        []Stop
	// NextHeartbeat is the delay until the runner should report again.
	NextHeartbeat time.Duration
}

// ExchangeHeartbeat applies a heartbeat with a listing and returns the orders for the
// runner. Late heartbeats, of this incarnation or an earlier one, change nothing and
// get an empty response.
func (s *Supervisor) ExchangeHeartbeat(h Heartbeat) HeartbeatResponse {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.isWhole(h) || !s.isOwn(h) {
		return HeartbeatResponse{}
	}
	now := s.Elapsed()
	h.Runner.ID = s.presentLife(h.Runner.ID)
	if s.continuesFormer(h) && !s.earlier.goOn(h.Sequence, now, minLifeAge) {
		return HeartbeatResponse{NextHeartbeat: nextHeartbeatDelay}
	}
	if s.isEarlier(h) && !s.deregistered {
		// A late one comes by itself; those of another life go on.
		if s.listsKnownRun(h.Listing) || !s.earlier.goOn(h.Sequence, now, minLifeAge) {
			return HeartbeatResponse{NextHeartbeat: nextHeartbeatDelay}
		}
		s.restart(now, h)
		h.Runner.ID = s.runner.ID
	} else if slices.Contains(s.pastIncarnations, h.Runner.ID) || s.runner.ID == h.Runner.ID && (s.deregistered || !s.isNewest(h)) {
		return HeartbeatResponse{}
	}
	switch {
	case s.runner.ID == h.Runner.ID:
		s.candidate = candidate{}
		s.updateRunner(h)
	case !s.candidate.confirm(h, now):
		return HeartbeatResponse{NextHeartbeat: nextHeartbeatDelay}
	default:
		s.candidate = candidate{}
		s.recordCrash(now)
		s.replaceRunner(h)
	}
	// The runner has read the response to its previous heartbeat, or given it up: no start
	// of an earlier term can begin any more, which is what the fence stands for: neither this process
	// nor a later one of this machine (mayFollow) sends one.
	s.applyListing(h.Listing, now, now, s.sentFence)
	response := HeartbeatResponse{Fence: s.term, Acknowledged: s.acknowledged, NextHeartbeat: nextHeartbeatDelay}
	if lease := s.grantedUntil - now - maxResponseDelay; lease > 0 {
		response.Lease = lease
	}
	s.addOrders(&response)
	s.sentFence = s.term
	return response
}

// candidate is an incarnation that may have replaced the runner. A single heartbeat may
// be a late one of an incarnation that had ended before this process began.
type candidate struct {
	id        string
	sequence  uint64
	firstSeen time.Duration
}

// confirm records a heartbeat and reports whether the incarnation has gone on sending
// while the runner was silent.
func (c *candidate) confirm(h Heartbeat, now time.Duration) bool {
	if c.id != h.Runner.ID {
		*c = candidate{id: h.Runner.ID, sequence: h.Sequence, firstSeen: now}
		return false
	}
	newer := h.Sequence > c.sequence
	c.sequence = max(c.sequence, h.Sequence)
	return newer && now-c.firstSeen >= minCandidateAge
}

// addOrders adds the pending orders to a response, sorted by task name.
func (s *Supervisor) addOrders(r *HeartbeatResponse) {
	tasks := make([]string, 0, len(s.orders))
	for task := range s.orders {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	evacuation := s.evacuation.Check(s.Elapsed())
	bytes := 0
	for _, task := range tasks {
		o := s.orders[task]
		switch {
		case o.stop && o.timesSent > 0 && !s.isListed(task, o.Run) && s.listing.showsAllEnds():
			s.removeOrder(o)
			s.addResult(o.Order, o.Kind == jaycell.OrderStart, cmp.Or(o.refusal, ReasonNotStarted))
			continue
		case !o.stop && s.runner.Draining && o.timesSent == 0:
			s.withdraw(o, ReasonDraining)
		case !o.stop && s.hasShrunk(o):
			s.withdraw(o, ReasonShrunk)
		case !o.stop && evacuation == jayevacuation.Refuse:
			s.withdraw(o, ReasonEvacuated)
		case !o.stop && (r.Lease < minLeaseLeft || evacuation == jayevacuation.Wait):
			continue
		case !o.stop && (s.runner.Draining || o.timesSent >= maxStartsSent):
			s.withdraw(o, ReasonNotStarted)
		}
		if !o.stop {
			size := len(o.Spec) + len(o.Checkpoint) + len(o.Ticket)
			if bytes > 0 && bytes+size > maxResponseBytes {
				continue
			}
			bytes += size
		}
		o.timesSent++
		if o.stop {
			r.Stops = append(r.Stops, Stop{Task: task, Run: o.Run})
		} else {
			s.unlisted[task] = unlistedStart{run: o.Run, calledAt: s.Elapsed()}
			r.Starts = append(r.Starts, Start{Task: task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket})
		}
	}
}

// withdraw turns a start into a stop, after which the runner refuses all copies of the
// start.
func (s *Supervisor) withdraw(o *order, reason string) {
	s.Logger.Info().Str("event", "start").Str("task", o.Task).Int("run", o.Run).Str("reason", reason).Int("given", o.timesSent).Msg("stopping a start before it is reported as refused")
	o.stop, o.refusal, o.timesSent = true, reason, 0
}
