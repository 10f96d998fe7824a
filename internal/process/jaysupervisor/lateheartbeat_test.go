package jaysupervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

// Guards against a run that is taken for lost, and begun elsewhere, since a late heartbeat of the life before came while it ran.
func TestLateHeartbeatOfTheFormerLifeEndsNoRunOfTheNext(t *testing.T) {
	h := newHeartbeatHarness(t)
	s, clock := h.supervisor, 50*time.Second
	beat := func(l Listing) HeartbeatResponse {
		s.GrantLease(1, int64(h.elapsed))
		clock += nextHeartbeatDelay
		l.Clock = clock
		return h.heartbeat("r1", l)
	}
	for range 10 {
		beat(Listing{})
	}
	late := Heartbeat{Sequence: h.sequence + 1, Runner: jaycell.RunnerInfo{ID: "r1"}, Listing: Listing{Clock: clock + nextHeartbeatDelay}}
	h.elapsed += 2 * time.Second
	h.sequence, clock = 0, 0
	for range 6 {
		beat(Listing{})
	}
	id, crashes := s.runner.ID, len(s.crashes)
	assert.Assert(t, id != "r1", "the next life is not told")
	s.ApplyOrders(1, []jaycell.Order{{Kind: jaycell.OrderStart, Runner: id, Task: "t", Run: 1}})
	assert.Equal(t, len(beat(Listing{}).Starts), 1)
	beat(running(1))
	assert.Equal(t, len(s.Report().Running), 1)
	s.ExchangeHeartbeat(late)
	// IDs of inferred lives differ by milliseconds.
	time.Sleep(2 * time.Millisecond)
	for i := range 10 {
		r := beat(running(1))
		t.Logf("heartbeat %d after: %s, %d crashes %+v, lease %v", i+1, s.runner.ID, len(s.crashes), s.crashes, r.Lease)
	}
	assert.Equal(t, len(s.crashes), crashes, "%+v", s.crashes)
	assert.Equal(t, s.runner.ID, id)
}

// Guards against a run that is taken for lost since heartbeats from before its start came late and in order.
func TestLateHeartbeatsFromBeforeAStartEndNoRun(t *testing.T) {
	h := newHeartbeatHarness(t)
	s, clock := h.supervisor, 50*time.Second
	var late []Heartbeat
	beat := func(l Listing) HeartbeatResponse {
		s.GrantLease(1, int64(h.elapsed))
		clock += nextHeartbeatDelay
		l.Clock = clock
		return h.heartbeat("r1", l)
	}
	beat(Listing{})
	for range 3 {
		// These are held back.
		h.sequence++
		clock += nextHeartbeatDelay
		late = append(late, Heartbeat{Sequence: h.sequence, Runner: jaycell.RunnerInfo{ID: "r1"}, Listing: Listing{Clock: clock}})
	}
	s.ApplyOrders(1, []jaycell.Order{{Kind: jaycell.OrderStart, Runner: "r1", Task: "t", Run: 1}})
	assert.Equal(t, len(beat(Listing{}).Starts), 1)
	beat(running(1))
	for _, l := range late {
		h.elapsed += 300 * time.Millisecond
		s.ExchangeHeartbeat(l)
	}
	assert.Equal(t, s.runner.ID, "r1")
	assert.Equal(t, len(s.crashes), 0, "%+v", s.crashes)
}
