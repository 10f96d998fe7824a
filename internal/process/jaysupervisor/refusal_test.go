package jaysupervisor

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

// An unhealthy runner refuses stops as well as starts.
func TestAnsweredRefusalIsReportedWithoutAStop(t *testing.T) {
	client := newFakeRunner().client()
	client.Start = func(context.Context, Start) error {
		return &RefusedError{Call: "start", Reason: jaycell.ReasonUnhealthy}
	}
	client.Stop = func(context.Context, Stop) error {
		return &RefusedError{Call: "stop", Reason: jaycell.ReasonUnhealthy}
	}
	s := startSupervisorOf(t, client)
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
	deadline := time.Now().Add(5 * time.Second)
	for resultOf(s, 1) == nil && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	r := resultOf(s, 1)
	assert.Assert(t, r != nil && r.Refused, "pending: %+v", s.Report().PendingOrders)
}

func TestCopyOfListedStartDoesNotStopItsRun(t *testing.T) {
	for _, c := range []struct {
		name     string
		refusal  string
		draining bool
	}{
		{"draining runner", "", true},
		{"unhealthy runner", jaycell.ReasonUnhealthy, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeRunner()
			s := startSupervisor(t, f)
			s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
			waitUntil(t, "the run", func() bool { return len(s.Report().Running) == 1 && len(s.Report().PendingOrders) == 0 })
			s.HandleHeartbeat(t.Context(), Heartbeat{Sequence: 2, Runner: jaycell.RunnerInfo{ID: "r1", Draining: c.draining}})
			f.refuse(c.refusal)
			s.ApplyOrders(1, repeatedStart(1))
			waitUntil(t, "the end of the order", func() bool { return len(s.Report().PendingOrders) == 0 })
			assert.Equal(t, f.runs("a.0.0.0"), 1)
		})
	}
}

// A runner lists a part of its ends while many wait for their acknowledgement.
func TestRunThatEndedBeyondTheListingIsNotReportedAsVanished(t *testing.T) {
	const listed = jaycell.MaxListedEnds
	f := newFakeRunner()
	for i := range listed {
		f.finished = append(f.finished, jaycell.End{Number: uint64(i + 1), Task: fmt.Sprintf("b.0.0.%d", i), Run: 1, Reason: jaycell.EndDone})
	}
	client := f.client()
	client.Start = func(_ context.Context, r Start) error {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		f.finished = append(f.finished, jaycell.End{Number: listed + 1, Task: r.Task, Run: r.Run, Reason: jaycell.EndDone})
		return nil
	}
	client.Renew = func(ctx context.Context, r Renewal) (Listing, error) {
		l, err := f.renew(ctx, r)
		l.Finished = l.Finished[:min(len(l.Finished), listed)]
		return l, err
	}
	s := startSupervisorOf(t, client)
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
	for range 100 {
		assert.Assert(t, resultOf(s, 1) == nil, "result %+v", resultOf(s, 1))
		time.Sleep(10 * time.Millisecond)
	}
}
