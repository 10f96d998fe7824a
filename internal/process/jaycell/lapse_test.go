package jaycell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// lapse lets the lease of runner r1 lapse, on which run 1 of task a.0.0.0 was placed, so
// that run 2 is placed on r2. seen reports whether r1 has listed the run before.
func lapse(t *testing.T, seen bool) *harness {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.submit("a", 1, "w", step(1, 8))
	assert.DeepEqual(t, startedTasks(h.advance(0)), []string{"a.0.0.0"})
	if seen {
		h.advance(100 * time.Millisecond)
		h.report("n1", "r1", func(p *Report) { p.Running = []Run{{Task: "a.0.0.0", Run: 1}} })
	}
	var started []string
	for range 14 {
		h.report("n2", "r2", nil)
		started = append(started, startedTasks(h.advance(500*time.Millisecond))...)
	}
	assert.DeepEqual(t, started, []string{"a.0.0.0"})
	return h
}

func stopOf(run int) Order {
	return Order{Kind: OrderStop, Node: "n1", Runner: "r1", Task: "a.0.0.0", Run: run}
}

func TestPendingStartDoesNotOutliveItsLease(t *testing.T) {
	pending := []Order{{Kind: OrderStart, Task: "a.0.0.0", Run: 1}}
	for _, c := range []struct {
		name    string
		seen    bool
		back    Report
		granted bool
	}{
		{"start pending at the agent", false, Report{PendingOrders: pending}, false},
		{"start in transit", false, Report{}, false},
		{"start of an earlier run listed as ended", false, Report{Finished: []End{{Number: 1, Task: "b.0.0.0", Run: 1, Reason: EndLapsed}}}, false},
		{"run stopped at the runner", false, Report{OrderResults: []OrderResult{{Task: "a.0.0.0", Run: 1}}}, true},
		{"run refused for good", false, Report{OrderResults: []OrderResult{{Task: "a.0.0.0", Run: 1, Refused: true}}}, true},
		{"run lapsed", false, Report{Finished: []End{{Number: 1, Task: "a.0.0.0", Run: 1, Reason: EndLapsed}}}, true},
		{"run was listed before", true, Report{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := lapse(t, c.seen)
			granted := h.report("n1", "r1", func(p *Report) {
				p.PendingOrders, p.OrderResults, p.Finished = c.back.PendingOrders, c.back.OrderResults, c.back.Finished
			})
			assert.Equal(t, granted, c.granted)
			stops := 0
			for _, o := range h.advance(0) {
				if o == stopOf(1) {
					stops++
				}
			}
			assert.Equal(t, stops > 0, !c.granted)
		})
	}
}

func TestRunnerWithUnknownPendingStartGetsNoLease(t *testing.T) {
	h := newHarness(t, nil)
	pending := func(p *Report) { p.PendingOrders = []Order{{Kind: OrderStart, Task: "a.0.0.0", Run: 1}} }
	assert.Assert(t, !h.report("n1", "r1", pending))
	assert.DeepEqual(t, h.advance(100*time.Millisecond), []Order{stopOf(1)})
	assert.Assert(t, !h.report("n1", "r1", pending))
	assert.Equal(t, len(h.advance(100*time.Millisecond)), 0)
	assert.Assert(t, !h.report("n1", "r1", func(p *Report) { pending(p); p.Connection = 1 }))
	assert.DeepEqual(t, h.advance(100*time.Millisecond), []Order{stopOf(1)})
	assert.Assert(t, h.report("n1", "r1", func(p *Report) { p.OrderResults, p.Connection = []OrderResult{{Task: "a.0.0.0", Run: 1}}, 1 }))
}

func TestPendingStartWithoutPlacementIsStopped(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.advance(100 * time.Millisecond)
	h.report("n1", "r1", func(p *Report) { p.PendingOrders = []Order{{Kind: OrderStart, Task: "a.0.0.0", Run: 1}} })
	assert.DeepEqual(t, h.advance(0), []Order{stopOf(1)})
}

func TestLateSuccessOfAnEarlierRunCounts(t *testing.T) {
	h := lapse(t, true)
	h.report("n2", "r2", func(p *Report) { p.Running = []Run{{Task: "a.0.0.0", Run: 2}} })
	h.advance(100 * time.Millisecond)
	h.report("n1", "r1", func(p *Report) { p.Finished = []End{{Number: 1, Task: "a.0.0.0", Run: 1, Reason: EndDone}} })
	orders := h.advance(0)
	assert.Equal(t, countKinds(orders)[OrderStop], 1)
	assert.Equal(t, h.jobStates["a"], jaytask.Completed)
	h.report("n2", "r2", func(p *Report) { p.Finished = []End{{Number: 1, Task: "a.0.0.0", Run: 2, Reason: EndStopped}} })
	assert.Equal(t, len(startedTasks(h.advance(time.Second))), 0)
}

func TestAbandonedStartIsNotForgottenWhileItsRunnerReports(t *testing.T) {
	h := lapse(t, false)
	for range int(2 * h.cell.settings.Retention / time.Second) {
		h.advance(time.Second)
		assert.Assert(t, !h.report("n1", "r1", nil))
	}
}

func TestStopOfUnknownRunIsNotSentWithEachReport(t *testing.T) {
	h := newHarness(t, nil)
	stops := 0
	for range 15 {
		h.report("n1", "r1", func(p *Report) { p.Running = []Run{{Task: "a.0.0.0", Run: 1}} })
		stops += countKinds(h.advance(100 * time.Millisecond))[OrderStop]
	}
	assert.Equal(t, stops, 2, "in 1.5 s")
}

// newSuccessor returns the leader of term 2, for which job j runs on r1 since the term before.
func newSuccessor(t *testing.T, handover time.Duration) *harness {
	first := newHarness(t, nil)
	first.report("n1", "r1", nil)
	first.submit("j", 0, "", step(1, 1))
	first.advance(0)

	h := newHarness(t, nil)
	settings := h.cell.settings
	settings.Term, settings.HandoverDelay = 2, handover
	h.cell = New(settings, h.now, h.wall)
	h.submit("j", 0, "", step(1, 1))
	for key, value := range first.unitRecords {
		assert.NilError(t, h.cell.RestoreUnit(Record{Key: key, Value: value}))
	}
	return h
}

// A leader that has been cut off grants leases until it notices. Its successor waits for
// the end of these too before it starts the runs of silent runners again.
func TestSuccessorWaitsForLeasesGrantedAfterItsBeginning(t *testing.T) {
	const handover = 1500 * time.Millisecond
	h := newSuccessor(t, handover)
	lease := h.cell.settings.Lease
	latest := lease + time.Duration(float64(lease)*clockDrift) + clockSlack
	for waited := time.Duration(0); waited < time.Minute; waited += 100 * time.Millisecond {
		h.report("n2", "r2", nil)
		if countKinds(h.advance(100 * time.Millisecond))[OrderStart] > 0 {
			assert.Assert(t, waited > latest+handover-200*time.Millisecond, "started again after %s", waited)
			return
		}
	}
	t.Fatal("not started again")
}

// Guards against a successor that takes leases for lapsed while an earlier leader may extend
// them: until the handover has ended, and where a report of an earlier term came meanwhile.
func TestLeasesDoNotLapseBeforeTheHandoverEnds(t *testing.T) {
	const handover, ended = 20 * time.Second, 10 * time.Second
	for _, c := range []struct {
		name  string
		ended bool
		// reportedIn is the term that the runner has confirmed in a report of the
		// beginning, zero without a report.
		reportedIn uint64
		from       time.Duration
	}{
		{"handover that does not end", false, 0, handover},
		{"handover that ends", true, 0, ended},
		{"report of an earlier term", true, 1, ended},
		{"report of this term", false, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newSuccessor(t, handover)
			if c.reportedIn > 0 {
				h.report("n1", "r1", func(p *Report) {
					p.Term, p.Running = c.reportedIn, []Run{{Task: "j.0.0.0", Run: 1}}
				})
			}
			latest := h.cell.latestLeaseEnd(c.from)
			for waited := time.Duration(0); waited < time.Minute; waited += 100 * time.Millisecond {
				if c.ended && waited == ended/2 {
					h.cell.EndHandover(h.now + ended/2)
				}
				h.report("n2", "r2", func(p *Report) { p.Term = 2 })
				if countKinds(h.advance(100 * time.Millisecond))[OrderStart] > 0 {
					assert.Assert(t, waited >= latest-100*time.Millisecond && waited < latest+time.Second, "started again after %s, not %s", waited, latest)
					return
				}
			}
			t.Fatal("not started again")
		})
	}
}
