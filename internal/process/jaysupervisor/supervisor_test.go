package jaysupervisor

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
)

// fakeRunner implements RunnerClient. Starts can be left unanswered and executed
// later.
type fakeRunner struct {
	mutex        sync.Mutex
	id           string
	fence        uint64
	running      map[string]int
	stopped      map[string]int
	finished     []jaycell.End
	acknowledged uint64
	deadline     time.Duration
	late         []Start
	// unanswered is how many of the next starts are not answered; they are kept in late.
	unanswered int
	refusal    string
}

func newFakeRunner() *fakeRunner {
	return &fakeRunner{id: "r1", running: map[string]int{}, stopped: map[string]int{}}
}

func (f *fakeRunner) client() RunnerClient {
	return RunnerClient{Start: f.start, Stop: f.stop, Renew: f.renew}
}

func (f *fakeRunner) start(_ context.Context, s Start) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.unanswered > 0 {
		f.unanswered--
		f.late = append(f.late, s)
		return &NoAnswerError{Call: "start", Cause: "swallowed"}
	}
	return f.executeStart(s)
}

func (f *fakeRunner) executeStart(s Start) error {
	switch {
	case s.Incarnation != f.id:
		return &ReplacedError{Incarnation: s.Incarnation}
	case s.Fence < f.fence:
		return &RefusedError{Call: "start", Reason: ReasonFence}
	case f.refusal != "":
		return &RefusedError{Call: "start", Reason: f.refusal}
	case f.running[s.Task] == s.Run:
		return nil
	case f.stopped[s.Task] >= s.Run:
		return &RefusedError{Call: "start", Reason: "old"}
	}
	f.fence = s.Fence
	f.running[s.Task] = s.Run
	return nil
}

// executeLate executes the starts that were not answered.
func (f *fakeRunner) executeLate() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, s := range f.late {
		_ = f.executeStart(s)
	}
	f.late = nil
}

func (f *fakeRunner) stop(_ context.Context, s Stop) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if s.Fence < f.fence {
		return &RefusedError{Call: "stop", Reason: ReasonFence}
	}
	f.stopped[s.Task] = max(f.stopped[s.Task], s.Run)
	if f.running[s.Task] == s.Run {
		delete(f.running, s.Task)
		f.finished = append(f.finished, jaycell.End{Number: uint64(len(f.finished) + 1), Task: s.Task, Run: s.Run, Reason: jaycell.EndStopped})
	}
	return nil
}

func (f *fakeRunner) renew(_ context.Context, r Renewal) (Listing, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if r.Incarnation != f.id {
		return Listing{}, &ReplacedError{Incarnation: r.Incarnation}
	}
	f.fence = max(f.fence, r.Fence)
	f.acknowledged = max(f.acknowledged, r.Acknowledged)
	f.deadline = max(f.deadline, r.Deadline)
	l := Listing{Clock: jayclock.Elapsed()}
	for task, run := range f.running {
		l.Running = append(l.Running, jaycell.Run{Task: task, Run: run})
	}
	for _, e := range f.finished {
		if e.Number > f.acknowledged {
			l.Finished = append(l.Finished, e)
		}
	}
	return l, nil
}

// refuse makes the runner refuse all starts for a reason; an empty one ends that.
func (f *fakeRunner) refuse(reason string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.refusal = reason
}

func (f *fakeRunner) runs(task string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.running[task]
}

// startSupervisor runs a supervisor for a fake runner under term 1, with a lease
// granted.
func startSupervisor(t *testing.T, f *fakeRunner) *Supervisor {
	return startSupervisorOf(t, f.client())
}

// startSupervisorOf is startSupervisor for a runner with another client.
func startSupervisorOf(t *testing.T, client RunnerClient) *Supervisor {
	s := New()
	s.Node, s.Client, s.Lease, s.Logger = "n1", client, time.Minute, zerolog.Nop()
	s.SendReport = func(r jaycell.Report) { s.GrantLease(s.Term(), r.Sequence) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	s.SetTerm(1)
	s.HandleHeartbeat(ctx, Heartbeat{Sequence: 1, Runner: jaycell.RunnerInfo{ID: "r1"}})
	waitUntil(t, "a lease", func() bool { return s.Report().Term == 1 && hasLease(s) })
	return s
}

func hasLease(s *Supervisor) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leaseDeadline() > 0
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func ordersOf(kind jaycell.OrderKind, run int) []jaycell.Order {
	return []jaycell.Order{{Kind: kind, Runner: "r1", Task: "a.0.0.0", Run: run}}
}

// repeatedStart is a start that the leader has sent before.
func repeatedStart(run int) []jaycell.Order {
	orders := ordersOf(jaycell.OrderStart, run)
	orders[0].Repeated = true
	return orders
}

func resultOf(s *Supervisor, run int) *jaycell.OrderResult {
	for _, r := range s.Report().OrderResults {
		if r.Run == run {
			return &r
		}
	}
	return nil
}

func TestSupervisorStartsAndStops(t *testing.T) {
	f := newFakeRunner()
	s := startSupervisor(t, f)
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
	waitUntil(t, "the run", func() bool { return f.runs("a.0.0.0") == 1 && len(s.Report().Running) == 1 })
	s.ApplyOrders(1, ordersOf(jaycell.OrderStop, 1))
	waitUntil(t, "the end", func() bool { return len(s.Report().Finished) == 1 })
	s.ApplyOrders(1, []jaycell.Order{{Kind: jaycell.OrderAcknowledge, Runner: "r1", Number: 1}})
	waitUntil(t, "the acknowledgement", func() bool { return len(s.Report().Finished) == 0 })
}

// An unanswered start is repeated. Late execution of the first one changes nothing.
func TestUnansweredStartIsRepeated(t *testing.T) {
	f := newFakeRunner()
	f.unanswered = 2
	s := startSupervisor(t, f)
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
	waitUntil(t, "the run", func() bool { return f.runs("a.0.0.0") == 1 })
	f.executeLate()
	assert.Equal(t, f.runs("a.0.0.0"), 1)
}

// A start that is stopped before it was answered never takes effect, however late it
// arrives.
func TestStoppedStartNeverBegins(t *testing.T) {
	f := newFakeRunner()
	f.unanswered = 1000
	s := startSupervisor(t, f)
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
	waitUntil(t, "an attempt", func() bool { f.mutex.Lock(); defer f.mutex.Unlock(); return len(f.late) > 0 })
	s.ApplyOrders(1, ordersOf(jaycell.OrderStop, 1))
	waitUntil(t, "the result", func() bool { r := resultOf(s, 1); return r != nil && !r.Refused })
	f.executeLate()
	assert.Equal(t, f.runs("a.0.0.0"), 0)
}

// A refusal after an unanswered start is reported only once no earlier attempt can
// take effect.
func TestRefusalAfterUnansweredStartIsFollowedByAStop(t *testing.T) {
	f := newFakeRunner()
	f.unanswered = 1
	f.refusal = "room"
	s := startSupervisor(t, f)
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
	waitUntil(t, "the result", func() bool { return resultOf(s, 1) != nil })
	f.refuse("")
	f.executeLate()
	assert.Equal(t, f.runs("a.0.0.0"), 0)
}

// The leader may have sent a start twice, and has given the run up by the time the copy arrives.
func TestCopyOfRefusedStartDoesNotBegin(t *testing.T) {
	for _, c := range []struct {
		name     string
		refusal  string
		draining bool
		want     string
	}{
		{"no room", "room", false, "room"},
		{"unhealthy runner", jaycell.ReasonUnhealthy, false, jaycell.ReasonUnhealthy},
		{"draining runner", "", true, ReasonDraining},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakeRunner()
			f.refusal = c.refusal
			s := startSupervisor(t, f)
			s.HandleHeartbeat(t.Context(), Heartbeat{Sequence: 2, Runner: jaycell.RunnerInfo{ID: "r1", Draining: c.draining}})
			s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
			waitUntil(t, "the refusal", func() bool { r := resultOf(s, 1); return r != nil && r.Refused && r.Reason == c.want })
			s.HandleHeartbeat(t.Context(), Heartbeat{Sequence: 3, Runner: jaycell.RunnerInfo{ID: "r1"}})
			f.refuse("")
			s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
			waitUntil(t, "the end of the order", func() bool { return len(s.Report().PendingOrders) == 0 })
			assert.Equal(t, f.runs("a.0.0.0"), 0)
		})
	}
}

func TestRefusalIsFinalAlsoForCallsOfAnEarlierAgent(t *testing.T) {
	f := newFakeRunner()
	f.unanswered = 1000
	t.Run("killed agent", func(t *testing.T) {
		startSupervisor(t, f).ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
		waitUntil(t, "a call", func() bool { f.mutex.Lock(); defer f.mutex.Unlock(); return len(f.late) > 0 })
	})
	f.mutex.Lock()
	f.unanswered, f.refusal = 0, "room"
	f.mutex.Unlock()
	s := startSupervisor(t, f)
	s.ApplyOrders(1, repeatedStart(1))
	waitUntil(t, "the refusal", func() bool { return resultOf(s, 1) != nil })
	f.refuse("")
	f.executeLate()
	assert.Equal(t, f.runs("a.0.0.0"), 0)
}

func TestSupervisorFollowsTheHighestTerm(t *testing.T) {
	f := newFakeRunner()
	s := startSupervisor(t, f)
	s.SetTerm(2)
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
	waitUntil(t, "the fence", func() bool { return s.Report().Term == 2 })
	assert.Equal(t, f.runs("a.0.0.0"), 0)
	assert.Equal(t, len(s.Report().PendingOrders), 0)
	s.ApplyOrders(2, ordersOf(jaycell.OrderStart, 2))
	waitUntil(t, "the run", func() bool { return f.runs("a.0.0.0") == 2 })
}

func TestHandleHeartbeat(t *testing.T) {
	for _, c := range []struct {
		name      string
		heartbeat Heartbeat
		want      string
	}{
		{"of the same incarnation", Heartbeat{Sequence: 2, Runner: jaycell.RunnerInfo{ID: "r1", Draining: true}}, "r1"},
		{"of an incarnation that does not answer", Heartbeat{Sequence: 99, Runner: jaycell.RunnerInfo{ID: "r0"}}, "r1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := startSupervisor(t, newFakeRunner())
			s.HandleHeartbeat(context.Background(), c.heartbeat)
			assert.Equal(t, s.Report().Runner.ID, c.want)
			assert.Equal(t, s.Report().Runner.Draining, c.heartbeat.Runner.Draining)
		})
	}
}

func TestNewIncarnationReplacesTheRunner(t *testing.T) {
	f := newFakeRunner()
	s := startSupervisor(t, f)
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
	waitUntil(t, "the run", func() bool { return len(s.Report().Running) == 1 })
	f.mutex.Lock()
	f.id, f.running = "r2", map[string]int{}
	f.mutex.Unlock()
	s.HandleHeartbeat(context.Background(), Heartbeat{Sequence: 1, Runner: jaycell.RunnerInfo{ID: "r2"}})
	assert.Equal(t, s.Report().Runner.ID, "r2")
	assert.Equal(t, len(s.Report().Running), 0)
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 2))
	waitUntil(t, "the refusal", func() bool { r := resultOf(s, 2); return r != nil && r.Reason == ReasonReplaced })
}

func TestDrainingRunnerRefusesStarts(t *testing.T) {
	f := newFakeRunner()
	s := startSupervisor(t, f)
	s.HandleHeartbeat(context.Background(), Heartbeat{Sequence: 2, Runner: jaycell.RunnerInfo{ID: "r1", Draining: true}})
	s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
	waitUntil(t, "the refusal", func() bool { r := resultOf(s, 1); return r != nil && r.Reason == ReasonDraining })
	assert.Equal(t, f.runs("a.0.0.0"), 0)
}

// The lease ends no later than the grant allows, counted from when the report was
// sent.
func TestLeaseFollowsTheGrant(t *testing.T) {
	f := newFakeRunner()
	s := New()
	s.Node, s.Client, s.Lease, s.Logger = "n1", f.client(), 6*time.Second, zerolog.Nop()
	s.HandleHeartbeat(context.Background(), Heartbeat{Sequence: 1, Runner: jaycell.RunnerInfo{ID: "r1"}})
	s.SetTerm(3)
	sent := jayclock.Elapsed()
	s.GrantLease(2, int64(sent))
	assert.Equal(t, s.leaseDeadline(), time.Duration(0), "a grant of another term")
	s.GrantLease(3, int64(sent))
	assert.Assert(t, s.poll(context.Background(), 0))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	assert.Assert(t, f.deadline > 0 && f.deadline <= sent+6*time.Second, "lease ends at %s, sent at %s", f.deadline, sent)
}
