package jaysupervisor

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

// The leader may have started the next run elsewhere.
func TestUnansweredStartIsNotRepeatedOnLeavingRunner(t *testing.T) {
	for _, c := range []struct {
		name  string
		leave func(s *Supervisor)
	}{
		{"deregistered", func(s *Supervisor) { s.Deregister("r1") }},
		{"draining", func(s *Supervisor) {
			s.HandleHeartbeat(t.Context(), Heartbeat{Sequence: 2, Runner: jaycell.RunnerInfo{ID: "r1", Draining: true}})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeRunner()
			f.unanswered = 1000
			s := startSupervisor(t, f)
			s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
			waitUntil(t, "a call", func() bool { f.mutex.Lock(); defer f.mutex.Unlock(); return len(f.late) > 0 })
			c.leave(s)
			f.mutex.Lock()
			f.unanswered = 0
			f.mutex.Unlock()
			for range 100 {
				assert.Equal(t, f.runs("a.0.0.0"), 0)
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}

func TestEndedRunnerGetsNoMoreCalls(t *testing.T) {
	f := newFakeRunner()
	client := f.client()
	var ended atomic.Bool
	var calls atomic.Int64
	client.Stop = func(context.Context, Stop) error {
		calls.Add(1)
		return &EndedError{Call: "stop"}
	}
	client.Renew = func(ctx context.Context, r Renewal) (Listing, error) {
		if ended.Load() {
			calls.Add(1)
			return Listing{}, &EndedError{Call: "renew"}
		}
		return f.renew(ctx, r)
	}
	s := startSupervisorOf(t, client)
	s.Deregister("r1")
	s.ApplyOrders(1, repeatedStart(1))
	waitUntil(t, "a stop", func() bool { return calls.Load() > 0 })
	ended.Store(true)
	waitUntil(t, "the end", func() bool { return s.Report().Ended })
	s.ApplyOrders(1, repeatedStart(1))
	time.Sleep(retryDelay)
	before := calls.Load()
	time.Sleep(4 * retryDelay)
	assert.Equal(t, calls.Load(), before)
	assert.Equal(t, len(s.Report().PendingOrders), 0)
}

func TestDeregisteredRunnerCountsAsDrainingUntilItHasEnded(t *testing.T) {
	f := newFakeRunner()
	s := startSupervisor(t, f)
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
	waitUntil(t, "the run", func() bool { return len(s.Report().Running) == 1 })
	s.Deregister("r1")
	for range 20 {
		r := s.Report()
		assert.Assert(t, !r.Ended && r.Responsive && r.Runner.Draining && len(r.Running) == 1)
		time.Sleep(10 * time.Millisecond)
	}
	f.mutex.Lock()
	f.id = "r2"
	f.mutex.Unlock()
	waitUntil(t, "the end", func() bool { return s.Report().Ended })
}
