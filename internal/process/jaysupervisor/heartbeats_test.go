package jaysupervisor

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

// heartbeatHarness simulates a runner that gets its orders by heartbeat.
type heartbeatHarness struct {
	t          *testing.T
	supervisor *Supervisor
	sequence   uint64
	elapsed    time.Duration
}

func newHeartbeatHarness(t *testing.T) *heartbeatHarness {
	s := New()
	h := &heartbeatHarness{t: t, supervisor: s, elapsed: time.Hour}
	s.Node, s.Lease, s.OrdersByHeartbeat, s.HeartbeatInterval, s.Logger, s.ctx = "n", 5*time.Second, true, time.Second, zerolog.Nop(), t.Context()
	s.Elapsed = func() time.Duration { return h.elapsed }
	s.SetTerm(1)
	s.MarkTermRead()
	h.adopt("r1")
	s.GrantLease(1, int64(h.elapsed))
	return h
}

// adopt sends the heartbeats after which an incarnation counts as the runner.
func (h *heartbeatHarness) adopt(id string) {
	for range 2 {
		h.heartbeat(id, Listing{})
	}
}

func (h *heartbeatHarness) heartbeat(id string, l Listing) HeartbeatResponse {
	h.sequence++
	h.elapsed += nextHeartbeatDelay
	return h.supervisor.ExchangeHeartbeat(Heartbeat{Sequence: h.sequence, Runner: jaycell.RunnerInfo{ID: id}, Listing: l})
}

func (h *heartbeatHarness) order(kind jaycell.OrderKind, run int) {
	h.supervisor.ApplyOrders(h.supervisor.Term(), []jaycell.Order{{Kind: kind, Runner: "r1", Task: "t", Run: run}})
}

// running returns a listing with one run of the task.
func running(run int) Listing {
	return Listing{Clock: time.Hour, Running: []jaycell.Run{{Task: "t", Run: run}}}
}

func TestHeartbeatResponsesRepeatOrdersUntilListed(t *testing.T) {
	h := newHeartbeatHarness(t)
	h.order(jaycell.OrderStart, 1)
	response := h.heartbeat("r1", Listing{})
	assert.Equal(t, len(response.Starts), 1)
	assert.Equal(t, response.Fence, uint64(1))
	assert.Assert(t, response.Lease > 3*time.Second && response.Lease <= 4*time.Second, "lease %s", response.Lease)
	response = h.heartbeat("r1", running(1))
	assert.Equal(t, len(response.Starts), 0)
	h.order(jaycell.OrderStop, 1)
	for range 2 {
		response = h.heartbeat("r1", running(1))
		assert.Equal(t, len(response.Stops), 1)
	}
	end := Listing{Finished: []jaycell.End{{Number: 1, Task: "t", Run: 1, Reason: jaycell.EndStopped}}}
	assert.Equal(t, len(h.heartbeat("r1", end).Stops), 0)
	h.supervisor.ApplyOrders(1, []jaycell.Order{{Kind: jaycell.OrderAcknowledge, Runner: "r1", Number: 1}})
	assert.Equal(t, h.heartbeat("r1", end).Acknowledged, uint64(1))
}

// A start that the runner does not list is stopped before it is reported as refused:
// it might still arrive.
func TestUnlistedStartIsStopped(t *testing.T) {
	h := newHeartbeatHarness(t)
	h.order(jaycell.OrderStart, 1)
	for range maxStartsSent {
		assert.Equal(t, len(h.heartbeat("r1", Listing{}).Starts), 1)
	}
	assert.Equal(t, len(h.supervisor.Report().OrderResults), 0)
	assert.Equal(t, len(h.heartbeat("r1", Listing{}).Stops), 1)
	assert.Equal(t, len(h.supervisor.Report().OrderResults), 0)
	assert.Equal(t, len(h.heartbeat("r1", Listing{}).Stops), 0)
	results := h.supervisor.Report().OrderResults
	assert.Equal(t, len(results), 1)
	assert.Assert(t, results[0].Refused && results[0].Reason == ReasonNotStarted)
}

func TestCopyOfStartRefusedByDrainingRunnerIsStopped(t *testing.T) {
	h := newHeartbeatHarness(t)
	h.supervisor.ExchangeHeartbeat(Heartbeat{Sequence: 10, Runner: jaycell.RunnerInfo{ID: "r1", Draining: true}})
	h.order(jaycell.OrderStart, 1)
	response := h.supervisor.ExchangeHeartbeat(Heartbeat{Sequence: 11, Runner: jaycell.RunnerInfo{ID: "r1", Draining: true}})
	assert.Equal(t, len(response.Starts), 0)
	assert.Equal(t, len(response.Stops), 1)
	assert.Equal(t, len(h.supervisor.Report().OrderResults), 0)
	h.sequence = 11
	h.heartbeat("r1", Listing{})
	results := h.supervisor.Report().OrderResults
	assert.Equal(t, len(results), 1)
	assert.Assert(t, results[0].Refused && results[0].Reason == ReasonDraining)
}

func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	for _, c := range []struct {
		name string
		send func(h *heartbeatHarness) HeartbeatResponse
	}{
		{"a copy", func(h *heartbeatHarness) HeartbeatResponse { h.sequence--; return h.heartbeat("r1", Listing{}) }},
		{"of an earlier incarnation", func(h *heartbeatHarness) HeartbeatResponse {
			h.adopt("r2")
			return h.heartbeat("r1", Listing{})
		}},
		{"after deregistration", func(h *heartbeatHarness) HeartbeatResponse {
			h.supervisor.Deregister("r1")
			return h.heartbeat("r1", Listing{})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHeartbeatHarness(t)
			h.order(jaycell.OrderStart, 1)
			h.heartbeat("r1", Listing{})
			response := c.send(h)
			assert.Equal(t, len(response.Starts)+len(response.Stops), 0)
			assert.Equal(t, response.Lease, time.Duration(0))
		})
	}
}

// Only a listing sent after a response with the term's fence shows that the runner
// refuses starts of earlier terms.
func TestReportsHaveTheTermOnceTheFenceIsConfirmed(t *testing.T) {
	h := newHeartbeatHarness(t)
	h.heartbeat("r1", Listing{})
	assert.Equal(t, h.supervisor.Report().Term, uint64(1))
	h.supervisor.SetTerm(2)
	assert.Equal(t, h.supervisor.Report().Term, uint64(0))
	h.heartbeat("r1", Listing{})
	assert.Equal(t, h.supervisor.Report().Term, uint64(0))
	h.heartbeat("r1", Listing{})
	assert.Equal(t, h.supervisor.Report().Term, uint64(2))
}

// The incarnation may have ended before this process began.
func TestLateHeartbeatOfUnknownIncarnationDoesNotDisplaceTheRunner(t *testing.T) {
	h := newHeartbeatHarness(t)
	h.supervisor.ExchangeHeartbeat(Heartbeat{Sequence: 90, Runner: jaycell.RunnerInfo{ID: "r0"}})
	for range 20 {
		h.heartbeat("r1", Listing{})
	}
	h.supervisor.GrantLease(1, int64(h.elapsed))
	assert.Equal(t, h.supervisor.Report().Runner.ID, "r1")
	assert.Assert(t, h.heartbeat("r1", Listing{}).Lease > 0)
}

func TestLateHeartbeatsTogetherDoNotDisplaceTheRunner(t *testing.T) {
	h := newHeartbeatHarness(t)
	for i := range uint64(3) {
		h.supervisor.ExchangeHeartbeat(Heartbeat{Sequence: 90 + i, Runner: jaycell.RunnerInfo{ID: "r0"}})
	}
	assert.Equal(t, h.supervisor.Report().Runner.ID, "r1")
	assert.Assert(t, h.heartbeat("r1", Listing{}).Lease > 0)
}

// A heartbeat that does not tell the life of a runner that has told it identifies none.
func TestHeartbeatWithoutItsLifeIsIgnored(t *testing.T) {
	for _, byHeartbeat := range []bool{false, true} {
		s := New()
		s.OrdersByHeartbeat = byHeartbeat
		s.Client = RunnerClient{Renew: func(context.Context, Renewal) (Listing, error) { return Listing{}, nil }}
		send := func(id string, sequence uint64) {
			h := Heartbeat{Sequence: sequence, Runner: jaycell.RunnerInfo{ID: id}}
			if byHeartbeat {
				s.ExchangeHeartbeat(h)
				return
			}
			s.HandleHeartbeat(t.Context(), h)
		}
		known := jaycell.IncarnationID("r", 7)
		for n := range uint64(3) {
			send(known, n+1)
			time.Sleep(minCandidateAge)
		}
		assert.Equal(t, s.Report().Runner.ID, known)
		for n := range uint64(5) {
			send("r", n+10)
			time.Sleep(minCandidateAge)
		}
		assert.Equal(t, s.Report().Runner.ID, known)
	}
}
