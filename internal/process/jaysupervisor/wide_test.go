package jaysupervisor

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// wideOrders returns an order for each of n tasks.
func wideOrders(kind jaycell.OrderKind, n int) []jaycell.Order {
	var orders []jaycell.Order
	for i := range n {
		orders = append(orders, jaycell.Order{Kind: kind, Runner: "r1", Task: jaycell.TaskName("wide", 0, 0, i), Run: 1, Spec: strings.Repeat("s", jaytask.MaxSpecBytes)})
	}
	return orders
}

// Guards against an agent that opens a connection for each of hundreds of starts, or stops: runners
// accept few, and each takes memory of a small machine.
func TestCallsToTheRunnerAreBounded(t *testing.T) {
	const tasks = 300
	f := newFakeRunner()
	open := make(chan struct{}, tasks)
	most := 0
	bounded := func() func() {
		open <- struct{}{}
		f.mutex.Lock()
		most = max(most, len(open))
		f.mutex.Unlock()
		time.Sleep(time.Millisecond)
		return func() { <-open }
	}
	client := f.client()
	client.Start = func(ctx context.Context, s Start) error { defer bounded()(); return f.start(ctx, s) }
	client.Stop = func(ctx context.Context, s Stop) error { defer bounded()(); return f.stop(ctx, s) }
	s := startSupervisorOf(t, client)
	s.ApplyOrders(1, wideOrders(jaycell.OrderStart, tasks))
	waitUntil(t, "all runs", func() bool { return len(s.Report().Running) == tasks })
	s.ApplyOrders(1, wideOrders(jaycell.OrderStop, tasks))
	waitUntil(t, "all ends", func() bool { r := s.Report(); return len(r.Running) == 0 && len(r.PendingOrders) == 0 })
	f.mutex.Lock()
	defer f.mutex.Unlock()
	assert.Assert(t, most <= maxConcurrentCalls, "%d calls were open", most)
}

// Guards against heartbeat responses that grow with the tasks of a job: the rest comes with the next
// ones.
func TestHeartbeatResponsesAreBounded(t *testing.T) {
	const tasks = 200
	h := newHeartbeatHarness(t)
	h.supervisor.ApplyOrders(1, wideOrders(jaycell.OrderStart, tasks))
	l := Listing{Clock: time.Hour}
	for responses := 1; len(l.Running) < tasks; responses++ {
		r := h.heartbeat("r1", l)
		bytes := 0
		for _, s := range r.Starts {
			bytes += len(s.Spec)
			l.Running = append(l.Running, jaycell.Run{Task: s.Task, Run: s.Run})
		}
		assert.Assert(t, bytes <= maxResponseBytes, "%d starts have %d bytes", len(r.Starts), bytes)
		assert.Assert(t, len(r.Stops) == 0 && responses <= tasks, "%d of %d tasks have started", len(l.Running), tasks)
		l.Clock += nextHeartbeatDelay
	}
}

// Guards against reports that exceed a frame, after which the runner's lease lapses: the largest answer of
// a runner, beside all else that a report holds.
func TestLargestReportFitsAFrame(t *testing.T) {
	const answerBytes, runs, orders, results = 4 << 20, 4096, 8192, 16384
	task := jaycell.TaskName("0123456789abcdef", 0, 255, 19_999)
	r := jaycell.Report{Node: "n1", Runner: jaycell.RunnerInfo{ID: "r1"}}
	for range runs {
		r.Running = append(r.Running, jaycell.Run{Task: task, Run: 1 << 20, Checkpoint: strings.Repeat("x", answerBytes/runs-len(task)), Percent: 100, Load: 1 << 20})
	}
	for range orders {
		r.PendingOrders = append(r.PendingOrders, jaycell.Order{Kind: jaycell.OrderStop, Task: task, Run: 1 << 20})
	}
	for range results {
		r.OrderResults = append(r.OrderResults, jaycell.OrderResult{Task: task, Run: 1 << 20, Refused: true, Reason: ReasonNotStarted})
	}
	crash := jaycell.Crash{Runner: "r1"}
	for range maxKeptCrashedRuns {
		crash.Runs = append(crash.Runs, jaycell.CrashedRun{Task: task, Run: 1 << 20, Percent: 100, WorkedFor: time.Hour, ListedFor: time.Hour})
	}
	r.Crashes = []jaycell.Crash{crash}
	_, err := jayframe.Encode(jayframe.NewFrame(encodeReport(r)))
	assert.NilError(t, err)
}

// Guards against crashes of a full runner that no leader records and whose runs outgrow a report.
func TestKeptCrashesAreBoundedByTheirRuns(t *testing.T) {
	h := newHeartbeatHarness(t)
	s := h.supervisor
	for crash := range 2 * maxKeptCrashes {
		s.listing.Running = make([]jaycell.Run, maxKeptCrashedRuns/4)
		s.crashRecorded = false
		s.recordCrash(h.elapsed)
		assert.Assert(t, s.countCrashedRuns() <= maxKeptCrashedRuns && len(s.crashes) == min(crash+1, 4), "%d crashes with %d runs", len(s.crashes), s.countCrashedRuns())
	}
}

// Guards against a report that no frame carries and that costs the runner its lease: it goes without
// checkpoints.
func TestReportLargerThanAFrameGoesWithoutCheckpoints(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	received := make(chan *jayframe.CellReport, 1)
	timing := jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout}
	heartbeat := func() jayframe.Heartbeat { return jayframe.Heartbeat{} }
	entry := &jaylink.Endpoint{Name: "entry-1", Timing: timing, MaxLinks: 1, MakeHeartbeat: heartbeat, Handler: func(_ *jaylink.Link, _ uint64, m jayframe.Message) {
		if r, ok := m.(*jayframe.CellReport); ok {
			received <- r
		}
	}, Admit: func(*jayframe.Hello) (*jayframe.HelloReply, error) { return &jayframe.HelloReply{}, nil }, Opened: func(*jaylink.Link, *jayframe.Hello) {}, Closed: func(*jaylink.Link) {}}
	ctx, cancel := context.WithCancel(t.Context())
	var wg conc.WaitGroup
	t.Cleanup(func() { cancel(); wg.Wait() })
	wg.Go(func() { _ = entry.Serve(ctx, listener) })
	agent := &jaylink.Endpoint{Name: "agent-1", Timing: timing, MakeHeartbeat: heartbeat, Handler: func(*jaylink.Link, uint64, jayframe.Message) {}}
	link, _, err := agent.Dial(ctx, listener.Addr().String(), &jayframe.Hello{Role: jayframe.RoleAgent})
	assert.NilError(t, err)
	wg.Go(func() { link.Run(ctx) })
	a := NewAgent(New())
	a.Logger, a.link = zerolog.Nop(), link
	a.sendReport(jaycell.Report{Node: "n1", Runner: jaycell.RunnerInfo{ID: "r1"}, Running: []jaycell.Run{{Task: "t", Run: 1, Checkpoint: strings.Repeat("x", jayframe.MaxFrameBytes)}}})
	r := <-received
	assert.Equal(t, len(r.Running), 1)
	assert.Equal(t, r.Running[0].Checkpoint, "")
	assert.NilError(t, link.Err())
}
