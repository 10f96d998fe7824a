package jaysupervisor

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
)

// beatBench plays a runner that takes its orders with its heartbeats.
type beatBench struct {
	t        *testing.T
	keeper   *Supervisor
	sequence uint64
}

func newBeatBench(t *testing.T) *beatBench {
	k := New()
	k.Node, k.Lease, k.OrdersByHeartbeat, k.HeartbeatInterval, k.Logger, k.ctx = "n", 5*time.Second, true, time.Second, zerolog.Nop(), t.Context()
	k.SetTerm(1)
	b := &beatBench{t: t, keeper: k}
	b.beat("r1", Listing{})
	k.GrantLease(1, int64(jayclock.Elapsed()))
	return b
}

func (b *beatBench) beat(id string, l Listing) HeartbeatResponse {
	b.sequence++
	return b.keeper.ExchangeHeartbeat(Heartbeat{Sequence: b.sequence, Runner: jaycell.RunnerInfo{ID: id}, Listing: l})
}

func (b *beatBench) order(kind jaycell.OrderKind, run int) {
	b.keeper.ApplyOrders(b.keeper.Term(), []jaycell.Order{{Kind: kind, Runner: "r1", Task: "t", Run: run}})
}

// running lists one run of the task.
func running(run int) Listing {
	return Listing{Clock: jayclock.Elapsed(), Running: []jaycell.Run{{Task: "t", Run: run}}}
}

func TestAnswersCarryOrdersUntilTheyAreListed(t *testing.T) {
	b := newBeatBench(t)
	b.order(jaycell.OrderStart, 1)
	a := b.beat("r1", Listing{})
	assert.Equal(t, len(a.Starts), 1)
	assert.Equal(t, a.Fence, uint64(1))
	assert.Assert(t, a.Lease > 3*time.Second && a.Lease <= 4*time.Second, "lease %s", a.Lease)
	a = b.beat("r1", running(1))
	assert.Equal(t, len(a.Starts), 0)
	b.order(jaycell.OrderStop, 1)
	for range 2 {
		a = b.beat("r1", running(1))
		assert.Equal(t, len(a.Stops), 1)
	}
	end := Listing{Finished: []jaycell.End{{Number: 1, Task: "t", Run: 1, Reason: jaycell.EndStopped}}}
	assert.Equal(t, len(b.beat("r1", end).Stops), 0)
	b.keeper.ApplyOrders(1, []jaycell.Order{{Kind: jaycell.OrderAcknowledge, Runner: "r1", Number: 1}})
	assert.Equal(t, b.beat("r1", end).Acknowledged, uint64(1))
}

// A start that the runner does not list is taken back before it counts as refused:
// it could still come.
func TestUnlistedStartIsTakenBack(t *testing.T) {
	b := newBeatBench(t)
	b.order(jaycell.OrderStart, 1)
	for range startsBeforeStop {
		assert.Equal(t, len(b.beat("r1", Listing{}).Starts), 1)
	}
	assert.Equal(t, len(b.keeper.Report().OrderResults), 0)
	assert.Equal(t, len(b.beat("r1", Listing{}).Stops), 1)
	assert.Equal(t, len(b.keeper.Report().OrderResults), 0)
	assert.Equal(t, len(b.beat("r1", Listing{}).Stops), 0)
	results := b.keeper.Report().OrderResults
	assert.Equal(t, len(results), 1)
	assert.Assert(t, results[0].Refused && results[0].Reason == ReasonNotStarted)
}

func TestHeartbeatsThatCountForNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		beat func(b *beatBench) HeartbeatResponse
	}{
		{"a copy", func(b *beatBench) HeartbeatResponse { b.sequence--; return b.beat("r1", Listing{}) }},
		{"of an earlier life", func(b *beatBench) HeartbeatResponse { b.beat("r2", Listing{}); return b.beat("r1", Listing{}) }},
		{"after it has left", func(b *beatBench) HeartbeatResponse { b.keeper.Deregister("r1"); return b.beat("r1", Listing{}) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBeatBench(t)
			b.order(jaycell.OrderStart, 1)
			b.beat("r1", Listing{})
			a := c.beat(b)
			assert.Equal(t, len(a.Starts)+len(a.Stops), 0)
			assert.Equal(t, a.Lease, time.Duration(0))
		})
	}
}

// Only a listing that follows an answer with the term's fence tells that starts of
// earlier terms cannot begin any more.
func TestReportsNameTheTermOnceTheFenceIsRead(t *testing.T) {
	b := newBeatBench(t)
	b.beat("r1", Listing{})
	assert.Equal(t, b.keeper.Report().Term, uint64(1))
	b.keeper.SetTerm(2)
	assert.Equal(t, b.keeper.Report().Term, uint64(0))
	b.beat("r1", Listing{})
	assert.Equal(t, b.keeper.Report().Term, uint64(0))
	b.beat("r1", Listing{})
	assert.Equal(t, b.keeper.Report().Term, uint64(2))
}
