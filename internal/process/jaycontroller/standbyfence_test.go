package jaycontroller

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// Guards against a completed job that runs again: a former leader goes on in its standby topic.
func TestSuccessorKnowsTheJobsOfAStandbyTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &takeoverPlay{statesModel: newStatesModel(t, 0), job: "ffffffffffffffaa"}
		defer p.end()
		p.leader, p.successor = p.entries[0], p.entries[1]
		ctx := p.entries[2].ctx
		rounds := func(n int, e *statesEntry, l *leadership, runs *jaystore.FailoverWriter) {
			for range n {
				p.round(ctx, e, l, runs, time.Now())
				time.Sleep(leaderStep)
			}
		}
		accept := func(id string) {
			p.tasks[id] = 1
			assert.Equal(t, p.leader.storeRecord(ctx, p.jobRecord(id, 1), Request{}).Outcome, Accepted)
		}
		time.Sleep(time.Second)
		p.leadership, p.runs = p.begin(p.leader, 1)
		defer p.store.hold("entry-0", "runs", true)()
		accept("ffffffffffffff00")
		rounds(30, p.leader, p.leadership, p.runs)
		assert.Assert(t, p.leader.newestStandby().Open)

		p.store.mute("entry-0", "cell", time.Now().Add(time.Minute))
		releaseRuns := p.store.hold("entry-1", "runs", false)
		p.background(func() {
			l, runs := p.begin(p.successor, 2)
			rounds(60, p.successor, l, runs)
		})
		time.Sleep(200 * time.Millisecond)
		releaseJobs := p.store.hold("entry-1", "jobs", false)
		accept(p.job)
		rounds(40, p.leader, p.leadership, p.runs)
		p.askFor(p.leader, p.job)
		releaseRuns()
		time.Sleep(3 * time.Second)
		releaseJobs()
		time.Sleep(10 * time.Second)
		for _, e := range []*statesEntry{p.successor, p.entries[2]} {
			state, found := p.askFor(e, p.job)
			assert.Assert(t, found && state == jaytask.Completed, "%s at %s", state, e.Name)
		}
	})
}
