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

// fakeRunner answers a keeper's calls; late starts are carried out when asked to.
type fakeRunner struct {
	mutex    sync.Mutex
	id       string
	fence    uint64
	running  map[string]int
	stopped  map[string]int
	finished []jaycell.End
	acked    uint64
	deadline time.Duration
	late     []Start
	// swallow is how many of the next starts are not answered and kept for later.
	swallow int
	refuse  string
}

func newFakeRunner() *fakeRunner {
	return &fakeRunner{id: "r1", running: map[string]int{}, stopped: map[string]int{}}
}

func (f *fakeRunner) calls() RunnerClient {
	return RunnerClient{Start: f.start, Stop: f.stop, Renew: f.hold}
}

func (f *fakeRunner) start(_ context.Context, s Start) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.swallow > 0 {
		f.swallow--
		f.late = append(f.late, s)
		return &NoAnswerError{Call: "start", Cause: "swallowed"}
	}
	return f.carryOut(s)
}

func (f *fakeRunner) carryOut(s Start) error {
	switch {
	case s.Incarnation != f.id:
		return &ReplacedError{Incarnation: s.Incarnation}
	case s.Fence < f.fence:
		return &RefusedError{Call: "start", Reason: ReasonFence}
	case f.refuse != "":
		return &RefusedError{Call: "start", Reason: f.refuse}
	case f.running[s.Task] == s.Run:
		return nil
	case f.stopped[s.Task] >= s.Run:
		return &RefusedError{Call: "start", Reason: "old"}
	}
	f.fence = s.Fence
	f.running[s.Task] = s.Run
	return nil
}

// carryOutLate carries out the starts that were not answered.
func (f *fakeRunner) carryOutLate() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, s := range f.late {
		_ = f.carryOut(s)
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

func (f *fakeRunner) hold(_ context.Context, h Renewal) (Listing, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if h.Incarnation != f.id {
		return Listing{}, &ReplacedError{Incarnation: h.Incarnation}
	}
	f.fence = max(f.fence, h.Fence)
	f.acked = max(f.acked, h.Acknowledged)
	f.deadline = max(f.deadline, h.Deadline)
	l := Listing{Clock: jayclock.Elapsed()}
	for task, run := range f.running {
		l.Running = append(l.Running, jaycell.Run{Task: task, Run: run})
	}
	for _, e := range f.finished {
		if e.Number > f.acked {
			l.Finished = append(l.Finished, e)
		}
	}
	return l, nil
}

func (f *fakeRunner) runs(task string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.running[task]
}

// keep runs a keeper over a fake runner under term 1, with a lease granted.
func keep(t *testing.T, f *fakeRunner) *Supervisor {
	k := New()
	k.Node, k.Client, k.Lease, k.Logger = "n1", f.calls(), time.Minute, zerolog.Nop()
	k.SendReport = func(r jaycell.Report) { k.GrantLease(k.Term(), r.Sequence) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { k.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	k.SetTerm(1)
	k.HandleHeartbeat(ctx, Heartbeat{Sequence: 1, Runner: jaycell.RunnerInfo{ID: "r1"}})
	until(t, "a lease", func() bool { return k.Report().Term == 1 && leased(k) })
	return k
}

func leased(k *Supervisor) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.deadline() > 0
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func orderOf(kind jaycell.OrderKind, run int) []jaycell.Order {
	return []jaycell.Order{{Kind: kind, Runner: "r1", Task: "a.0.0.0", Run: run}}
}

func resultOf(k *Supervisor, run int) *jaycell.OrderResult {
	for _, r := range k.Report().OrderResults {
		if r.Run == run {
			return &r
		}
	}
	return nil
}

func TestKeeperStartsAndStops(t *testing.T) {
	f := newFakeRunner()
	k := keep(t, f)
	k.ApplyOrders(1, orderOf(jaycell.OrderStart, 1))
	until(t, "the run", func() bool { return f.runs("a.0.0.0") == 1 && len(k.Report().Running) == 1 })
	k.ApplyOrders(1, orderOf(jaycell.OrderStop, 1))
	until(t, "the end", func() bool { return len(k.Report().Finished) == 1 })
	k.ApplyOrders(1, []jaycell.Order{{Kind: jaycell.OrderAcknowledge, Runner: "r1", Number: 1}})
	until(t, "the acknowledgement", func() bool { return len(k.Report().Finished) == 0 })
}

// A start that was not answered is asked for again; its late copy changes nothing.
func TestUnansweredStartIsRepeated(t *testing.T) {
	f := newFakeRunner()
	f.swallow = 2
	k := keep(t, f)
	k.ApplyOrders(1, orderOf(jaycell.OrderStart, 1))
	until(t, "the run", func() bool { return f.runs("a.0.0.0") == 1 })
	f.carryOutLate()
	assert.Equal(t, f.runs("a.0.0.0"), 1)
}

// A start that is stopped before it was answered never begins, however late it is
// carried out.
func TestStoppedStartNeverBegins(t *testing.T) {
	f := newFakeRunner()
	f.swallow = 1000
	k := keep(t, f)
	k.ApplyOrders(1, orderOf(jaycell.OrderStart, 1))
	until(t, "a try", func() bool { f.mutex.Lock(); defer f.mutex.Unlock(); return len(f.late) > 0 })
	k.ApplyOrders(1, orderOf(jaycell.OrderStop, 1))
	until(t, "the result", func() bool { r := resultOf(k, 1); return r != nil && !r.Refused })
	f.carryOutLate()
	assert.Equal(t, f.runs("a.0.0.0"), 0)
}

// A refusal after an unanswered try is reported only once no try can begin.
func TestRefusalAfterOpenTryIsSealedByAStop(t *testing.T) {
	f := newFakeRunner()
	f.swallow = 1
	f.refuse = "room"
	k := keep(t, f)
	k.ApplyOrders(1, orderOf(jaycell.OrderStart, 1))
	until(t, "the result", func() bool { return resultOf(k, 1) != nil })
	f.mutex.Lock()
	f.refuse = ""
	f.mutex.Unlock()
	f.carryOutLate()
	assert.Equal(t, f.runs("a.0.0.0"), 0)
}

func TestKeeperFollowsTheHighestTerm(t *testing.T) {
	f := newFakeRunner()
	k := keep(t, f)
	k.SetTerm(2)
	k.ApplyOrders(1, orderOf(jaycell.OrderStart, 1))
	until(t, "the fence", func() bool { return k.Report().Term == 2 })
	assert.Equal(t, f.runs("a.0.0.0"), 0)
	assert.Equal(t, len(k.Report().PendingOrders), 0)
	k.ApplyOrders(2, orderOf(jaycell.OrderStart, 2))
	until(t, "the run", func() bool { return f.runs("a.0.0.0") == 2 })
}

func TestHeartbeats(t *testing.T) {
	for _, c := range []struct {
		name string
		beat Heartbeat
		want string
	}{
		{"of the same life", Heartbeat{Sequence: 2, Runner: jaycell.RunnerInfo{ID: "r1", Draining: true}}, "r1"},
		{"of a life that does not answer", Heartbeat{Sequence: 99, Runner: jaycell.RunnerInfo{ID: "r0"}}, "r1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := keep(t, newFakeRunner())
			k.HandleHeartbeat(context.Background(), c.beat)
			assert.Equal(t, k.Report().Runner.ID, c.want)
			assert.Equal(t, k.Report().Runner.Draining, c.beat.Runner.Draining)
		})
	}
}

func TestNewLifeOfTheRunner(t *testing.T) {
	f := newFakeRunner()
	k := keep(t, f)
	k.ApplyOrders(1, orderOf(jaycell.OrderStart, 1))
	until(t, "the run", func() bool { return len(k.Report().Running) == 1 })
	f.mutex.Lock()
	f.id, f.running = "r2", map[string]int{}
	f.mutex.Unlock()
	k.HandleHeartbeat(context.Background(), Heartbeat{Sequence: 1, Runner: jaycell.RunnerInfo{ID: "r2"}})
	assert.Equal(t, k.Report().Runner.ID, "r2")
	assert.Equal(t, len(k.Report().Running), 0)
	k.ApplyOrders(1, orderOf(jaycell.OrderStart, 2))
	until(t, "the refusal", func() bool { r := resultOf(k, 2); return r != nil && r.Reason == ReasonReplaced })
}

func TestDrainingRunnerStartsNothing(t *testing.T) {
	f := newFakeRunner()
	k := keep(t, f)
	k.HandleHeartbeat(context.Background(), Heartbeat{Sequence: 2, Runner: jaycell.RunnerInfo{ID: "r1", Draining: true}})
	k.ApplyOrders(1, orderOf(jaycell.OrderStart, 1))
	until(t, "the refusal", func() bool { r := resultOf(k, 1); return r != nil && r.Reason == ReasonDraining })
	assert.Equal(t, f.runs("a.0.0.0"), 0)
}

// The lease ends no later than a grant allows, counted from the report's sending.
func TestLeaseFollowsTheGrant(t *testing.T) {
	f := newFakeRunner()
	k := New()
	k.Node, k.Client, k.Lease, k.Logger = "n1", f.calls(), 6*time.Second, zerolog.Nop()
	k.HandleHeartbeat(context.Background(), Heartbeat{Sequence: 1, Runner: jaycell.RunnerInfo{ID: "r1"}})
	k.SetTerm(3)
	sent := jayclock.Elapsed()
	k.GrantLease(2, int64(sent))
	assert.Equal(t, k.deadline(), time.Duration(0), "a grant of another term")
	k.GrantLease(3, int64(sent))
	assert.Assert(t, k.poll(context.Background(), 0))
	f.mutex.Lock()
	defer f.mutex.Unlock()
	assert.Assert(t, f.deadline > 0 && f.deadline <= sent+6*time.Second, "lease ends at %s, sent at %s", f.deadline, sent)
}
