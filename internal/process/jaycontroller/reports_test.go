package jaycontroller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
)

func report(runner string, sequence int64, connection uint64) receivedReport {
	return receivedReport{message: &jayframe.CellReport{Runner: runner, Sequence: sequence}, connection: connection}
}

func TestQueueKeepsTheNewestReportOfEachRunner(t *testing.T) {
	for _, c := range []struct {
		name string
		put  []receivedReport
		want string
	}{
		{"in order of arrival", []receivedReport{report("a", 1, 1), report("b", 1, 2)}, "a1 b1 "},
		{"the newest replaces the others in their place", []receivedReport{report("a", 1, 1), report("b", 1, 2), report("a", 2, 1), report("a", 3, 1)}, "a3 b1 "},
		{"a new link replaces the old one", []receivedReport{report("a", 1, 1), report("a", 2, 3)}, "a2 "},
		{"an old link does not replace the new one", []receivedReport{report("a", 2, 3), report("a", 1, 1)}, "a2 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newReportQueue()
			for _, r := range c.put {
				q.put(r)
			}
			assert.Assert(t, q.begin())
			assert.Assert(t, !q.begin(), "reports are taken twice")
			got := ""
			for r, ok := q.take(); ok; r, ok = q.take() {
				got += fmt.Sprintf("%s%d ", r.message.Runner, r.message.Sequence)
			}
			assert.Equal(t, got, c.want)
			assert.Assert(t, !q.begin(), "the queue is empty")
		})
	}
}

// A leader whose decisions take longer than the silence timeout used to lose its agents: the
// readers of their links waited for the decisions.
func TestLinksOutliveLongDecisions(t *testing.T) {
	f := newCutLeader(t)
	f.served.Store(true)
	f.report(2)
	f.leadership.mutex.Lock()
	for range 20 {
		f.sent++
		assert.NilError(t, f.link.Send(&jayframe.CellReport{Node: "n1", Sequence: f.sent, Term: 1, Runner: "r1", Responsive: true}))
		time.Sleep(100 * time.Millisecond)
	}
	f.leadership.mutex.Unlock()
	assert.NilError(t, f.link.Err())
}

// Reports that arrive while the records of earlier terms are read are applied afterwards.
func TestReportsWaitForTheRecords(t *testing.T) {
	f := newCutLeader(t)
	f.served.Store(true)
	f.leadership.loaded = false
	f.sent++
	assert.NilError(t, f.link.Send(&jayframe.CellReport{Node: "n1", Sequence: f.sent, Term: 1, Runner: "r1", Responsive: true}))
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, f.granted.Load(), int64(0))
	f.records.Store(true)
	await(t, "the leader knows that its term is the newest", func() bool {
		_, complete := f.controller.cellTail.CompleteAge()
		return complete
	})
	f.leadership.checkStanding()
	f.leadership.restore(earlierRecords{})
	f.leadership.applyWaitingReports()
	for range 100 {
		if f.granted.Load() == f.sent {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("the report was not applied")
}
