package jaysupervisor

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayevacuation"
)

const evacuationBound = 5 * time.Second

// evacuationLeader answers each report with a lease and, if it is set, a statement.
type evacuationLeader struct {
	mutex     sync.Mutex
	statement *jayevacuation.Statement
}

func (l *evacuationLeader) tell(s *jayevacuation.Statement) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.statement = s
}

// startEvacuationSupervisor starts a supervisor that has a lease, in the bubble of a test.
func startEvacuationSupervisor(t *testing.T, f *fakeRunner, bound time.Duration, l *evacuationLeader) *Supervisor {
	s, begin, clock, last := New(), time.Now().Add(-time.Hour), sync.Mutex{}, time.Duration(0)
	s.Node, s.Client, s.Lease, s.EvacuationBound, s.Logger = "n1", f.client(), time.Minute, bound, zerolog.Nop()
	s.Elapsed = func() time.Duration {
		clock.Lock()
		defer clock.Unlock()
		last = max(last+1, time.Since(begin))
		return last
	}
	s.SendReport = func(r jaycell.Report) {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if l.statement != nil {
			s.RecordEvacuation(*l.statement, r.Sequence)
		}
		s.GrantLease(s.Term(), r.Sequence)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	synctest.Wait()
	s.SetTerm(1)
	s.HandleHeartbeat(ctx, Heartbeat{Sequence: 1, Runner: jaycell.RunnerInfo{ID: "r1"}})
	time.Sleep(2 * time.Second)
	assert.Assert(t, hasLease(s) && s.Report().Term == 1, "no lease")
	return s
}

// A start that waits for a statement must be neither executed on what may have changed nor lost,
// and one in an evacuated data centre must be refused so that it is placed elsewhere.
func TestStartsWaitForARecentStatement(t *testing.T) {
	inService, evacuated := &jayevacuation.Statement{}, &jayevacuation.Statement{Evacuated: true}
	tooOld := &jayevacuation.Statement{ViewAge: jayevacuation.MaxStatementAge(evacuationBound) + time.Millisecond}
	for _, c := range []struct {
		name  string
		bound time.Duration
		// first is told before silence begins, then before the start and later afterwards.
		first, then, later *jayevacuation.Statement
		runs, runsLater    int
		refused            bool
	}{
		{"in service", evacuationBound, inService, inService, inService, 1, 1, false},
		{"nothing known", evacuationBound, nil, nil, inService, 0, 1, false},
		{"old statement", evacuationBound, inService, nil, inService, 0, 1, false},
		{"statement on an old view", evacuationBound, inService, tooOld, inService, 0, 1, false},
		{"nothing known, then evacuated", evacuationBound, nil, nil, evacuated, 0, 0, true},
		{"evacuated", evacuationBound, inService, evacuated, evacuated, 0, 0, true},
		{"old statement that it is evacuated", evacuationBound, evacuated, nil, inService, 0, 1, false},
		{"no bound, nothing known", 0, nil, nil, nil, 1, 1, false},
		{"no bound, evacuated", 0, evacuated, evacuated, evacuated, 1, 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, l := newFakeRunner(), &evacuationLeader{statement: c.first}
				s := startEvacuationSupervisor(t, f, c.bound, l)
				l.tell(c.then)
				time.Sleep(2 * evacuationBound)
				s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
				time.Sleep(time.Second)
				assert.Equal(t, f.runs("a.0.0.0"), c.runs)
				assert.Equal(t, len(s.Report().PendingOrders) == 1, c.runs == 0 && c.then != evacuated, "orders that wait")
				l.tell(c.later)
				time.Sleep(ReportInterval + 2*retryDelay)
				assert.Equal(t, f.runs("a.0.0.0"), c.runsLater)
				r := resultOf(s, 1)
				assert.Equal(t, r != nil, c.refused)
				assert.Assert(t, r == nil || r.Refused && r.Reason == ReasonEvacuated, "result %+v", r)
			})
		})
	}
}

// A call without an answer may still be executed. The run is stopped before the start is reported
// as refused, or it would begin in the evacuated data centre, beside the next run elsewhere.
func TestEvacuationDuringRetriesStopsTheRunFirst(t *testing.T) {
	for _, c := range []struct {
		name   string
		orders []jaycell.Order
		calls  int
	}{
		{"call of this agent", ordersOf(jaycell.OrderStart, 1), 100},
		{"call of an earlier agent", repeatedStart(1), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, l := newFakeRunner(), &evacuationLeader{statement: &jayevacuation.Statement{Evacuated: c.calls == 0}}
				s := startEvacuationSupervisor(t, f, evacuationBound, l)
				f.unanswered = c.calls
				if c.calls == 0 {
					f.late = []Start{{Incarnation: "r1", Task: "a.0.0.0", Run: 1, Fence: 1}}
				}
				s.ApplyOrders(1, c.orders)
				time.Sleep(retryDelay)
				l.tell(&jayevacuation.Statement{Evacuated: true})
				for range 100 {
					if resultOf(s, 1) != nil {
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				r := resultOf(s, 1)
				assert.Assert(t, r != nil && r.Refused && r.Reason == ReasonEvacuated, "result %+v", r)
				f.executeLate()
				assert.Equal(t, f.runs("a.0.0.0"), 0, "the call was executed late")
			})
		})
	}
}

// A copy of an order whose run has begun must not stop it: what runs in an evacuated data centre
// goes on.
func TestCopyOfAListedStartDoesNotStopItsRunInAnEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, l := newFakeRunner(), &evacuationLeader{statement: &jayevacuation.Statement{}}
		s := startEvacuationSupervisor(t, f, evacuationBound, l)
		s.ApplyOrders(1, ordersOf(jaycell.OrderStart, 1))
		time.Sleep(time.Second)
		assert.Equal(t, f.runs("a.0.0.0"), 1)
		l.tell(&jayevacuation.Statement{Evacuated: true})
		time.Sleep(time.Second)
		s.ApplyOrders(1, repeatedStart(1))
		time.Sleep(2 * time.Second)
		assert.Equal(t, f.runs("a.0.0.0"), 1)
		assert.Equal(t, len(s.Report().PendingOrders), 0)
	})
}

// Runners with orders by heartbeat get starts and stops in responses, by rules of their own.
func TestHeartbeatResponsesFollowTheStatement(t *testing.T) {
	inService, evacuated := &jayevacuation.Statement{}, &jayevacuation.Statement{Evacuated: true}
	for _, c := range []struct {
		name          string
		bound         time.Duration
		told          *jayevacuation.Statement
		toldAgo       time.Duration
		starts, stops int
	}{
		{"in service", evacuationBound, inService, 0, 1, 0},
		{"nothing known", evacuationBound, nil, 0, 0, 0},
		{"old statement", evacuationBound, inService, evacuationBound, 0, 0},
		{"old statement that it is evacuated", evacuationBound, evacuated, evacuationBound, 0, 0},
		{"evacuated", evacuationBound, evacuated, 0, 0, 1},
		{"no bound, nothing known", 0, nil, 0, 1, 0},
		{"no bound, evacuated", 0, evacuated, 0, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHeartbeatHarness(t)
			h.supervisor.evacuation.Bound = c.bound
			h.order(jaycell.OrderStart, 1)
			if c.told != nil {
				h.supervisor.RecordEvacuation(*c.told, int64(h.elapsed-c.toldAgo))
			}
			response := h.heartbeat("r1", Listing{})
			assert.Equal(t, len(response.Starts), c.starts)
			assert.Equal(t, len(response.Stops), c.stops)
			assert.Equal(t, len(h.supervisor.Report().OrderResults), 0, "refused before the stop")
			if c.starts > 0 {
				return
			}
			h.supervisor.RecordEvacuation(*inService, int64(h.elapsed))
			response = h.heartbeat("r1", Listing{})
			assert.Equal(t, len(response.Starts), 1-c.stops)
			results := h.supervisor.Report().OrderResults
			assert.Equal(t, len(results), c.stops)
			for _, r := range results {
				assert.Assert(t, r.Refused && r.Reason == ReasonEvacuated, "result %+v", r)
			}
		})
	}
}

// A response with a start may be on its way when the data centre is evacuated.
func TestStartThatWasGivenIsStoppedByHeartbeat(t *testing.T) {
	h := newHeartbeatHarness(t)
	h.supervisor.evacuation.Bound = evacuationBound
	h.supervisor.RecordEvacuation(jayevacuation.Statement{}, int64(h.elapsed))
	h.order(jaycell.OrderStart, 1)
	assert.Equal(t, len(h.heartbeat("r1", Listing{}).Starts), 1)
	h.supervisor.RecordEvacuation(jayevacuation.Statement{Evacuated: true}, int64(h.elapsed))
	response := h.heartbeat("r1", Listing{})
	assert.Equal(t, len(response.Starts), 0)
	assert.Equal(t, len(response.Stops), 1)
	assert.Equal(t, len(h.supervisor.Report().OrderResults), 0, "refused before the stop")
	h.heartbeat("r1", Listing{})
	results := h.supervisor.Report().OrderResults
	assert.Equal(t, len(results), 1)
	assert.Assert(t, results[0].Refused && results[0].Reason == ReasonEvacuated)
}

// An agent that drops what a grant says would hold all starts back.
func TestAgentRecordsTheStatementOfAGrant(t *testing.T) {
	for _, c := range []struct {
		name  string
		grant jayframe.CellLeaseGrant
		want  jayevacuation.Verdict
	}{
		{"in service", jayframe.CellLeaseGrant{EvacuationKnown: true}, jayevacuation.Start},
		{"evacuated", jayframe.CellLeaseGrant{EvacuationKnown: true, Evacuated: true}, jayevacuation.Refuse},
		{"old view", jayframe.CellLeaseGrant{EvacuationKnown: true, ViewAgeMillis: evacuationBound.Milliseconds()}, jayevacuation.Wait},
		{"nothing known", jayframe.CellLeaseGrant{}, jayevacuation.Wait},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHeartbeatHarness(t)
			h.supervisor.evacuation.Bound = evacuationBound
			c.grant.Term, c.grant.Sequence = 1, int64(h.elapsed)
			NewAgent(h.supervisor).handleMessage(nil, 0, &c.grant)
			assert.Equal(t, h.supervisor.evacuation.Check(h.elapsed), c.want)
		})
	}
}

// The leader counts the time that a runner stays cold from the report, which may be sent long
// after the heartbeat.
func TestReportsCountDownTheColdTime(t *testing.T) {
	h := newHeartbeatHarness(t)
	h.supervisor.ExchangeHeartbeat(Heartbeat{Sequence: 10, Runner: jaycell.RunnerInfo{ID: "r1", ColdLeft: 3 * time.Second}})
	h.elapsed += 2 * time.Second
	assert.Equal(t, h.supervisor.Report().Runner.ColdLeft, time.Second)
	assert.Equal(t, encodeReport(h.supervisor.Report()).ColdLeftMillis, int64(1000))
	h.elapsed += 2 * time.Second
	assert.Equal(t, h.supervisor.Report().Runner.ColdLeft, time.Duration(0))
}
