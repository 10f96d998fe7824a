package jaycontroller

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// takeoverPlay is a statesModel without faults, in which a job completes under one leader and another
// one takes over.
type takeoverPlay struct {
	*statesModel
	job string
	// leader is the entry that leads first, successor the one that leads next.
	leader, successor *statesEntry
	leadership        *leadership
	runs              *jaystore.FailoverWriter
}

// begin lets an entry lead a term.
func (p *takeoverPlay) begin(e *statesEntry, term uint64) (*leadership, *jaystore.FailoverWriter) {
	ctx := e.ctx
	claim := Term{number: term, leader: e.Name, address: "a", incarnation: 1}
	_, err := e.storeClient.Append(ctx, jaystore.Append{Topic: "cell", Records: []jaystore.Record{{Key: TermKey, Value: claim.encode()}}})
	assert.NilError(p.t, err)
	assert.NilError(p.t, e.cellTail.Refresh(ctx))
	l := newLeadership(e.Controller, term)
	e.mutex.Lock()
	e.leadership = l
	e.mutex.Unlock()
	runs := p.writer(l)
	assert.NilError(p.t, l.load(ctx, runs))
	return l, runs
}

// complete lets the job run to its end under the first leader, which shows it as completed.
func (p *takeoverPlay) complete(ctx context.Context) {
	for range 100 {
		p.round(ctx, p.leader, p.leadership, p.runs, time.Now())
		if state, _ := p.askFor(p.leader, p.job); state == jaytask.Completed {
			return
		}
		time.Sleep(leaderStep)
	}
	p.t.Fatal("the job does not complete")
}

// storeAgain stores the job once more, as a request that is repeated at an entry that does not know it.
func (p *takeoverPlay) storeAgain(ctx context.Context) {
	job := jobRecordAt(p.t, p.job, time.Now())
	_, err := p.entries[2].storeClient.Append(ctx, jaystore.Append{Topic: "jobs", Records: []jaystore.Record{job.Record}})
	assert.NilError(p.t, err)
}

// tell sends the job's newest state to the successor as the leader's broadcast does.
func (p *takeoverPlay) tell(at time.Time) {
	p.successor.handleMessage(nil, 0, &jayframe.StoredRecords{Records: []jayframe.StoredRecord{{Key: jaycell.StateKey(p.job), Value: jaycell.EncodeState(jaytask.Completed, at)}}})
}

// restartSuccessor replaces the successor's process.
func (p *takeoverPlay) restartSuccessor() {
	former := p.successor
	former.stop()
	p.background(former.tasks.Wait)
	p.successor = p.newEntry(1)
	p.entries[1] = p.successor
}

// Guards against a completed job that runs again under a later leader: one row for each way in which
// its state becomes known, or may be lost.
func TestCompletedJobIsNotRunAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		// before happens before the job completes, after between its end and the takeover, during
		// while the successor reads the records.
		before, after, during func(ctx context.Context, p *takeoverPlay)
		// gone is set if the job has been deleted.
		gone bool
	}{
		{name: "state in the main topic"},
		{name: "state told by the leader", after: func(_ context.Context, p *takeoverPlay) { p.tell(time.Now()) }},
		{name: "state in a standby topic", before: func(_ context.Context, p *takeoverPlay) {
			p.store.silence("runs", time.Now().Add(10*time.Second))
		}, after: func(_ context.Context, p *takeoverPlay) { p.leader.stop() }},
		{name: "state moved back from a standby topic", before: func(_ context.Context, p *takeoverPlay) {
			p.store.silence("runs", time.Now().Add(4*time.Second))
		}, after: func(context.Context, *takeoverPlay) { time.Sleep(8 * time.Second) }},
		{name: "topic of jobs read again", after: func(_ context.Context, p *takeoverPlay) { p.store.forget("jobs") }},
		{name: "topic of states read again", after: func(_ context.Context, p *takeoverPlay) { p.store.forget("runs") }},
		{name: "all topics read again while the successor reads", during: func(_ context.Context, p *takeoverPlay) {
			for _, topic := range []string{"jobs", "runs", "cell"} {
				p.store.forget(topic)
			}
		}},
		{name: "job stored twice before its end", before: func(ctx context.Context, p *takeoverPlay) { p.storeAgain(ctx) }, after: func(_ context.Context, p *takeoverPlay) { p.store.forget("jobs") }},
		{name: "job stored again after its end", after: func(ctx context.Context, p *takeoverPlay) {
			time.Sleep(5 * time.Second)
			p.storeAgain(ctx)
			p.store.forget("jobs")
		}},
		{name: "job stored again under the successor", during: func(ctx context.Context, p *takeoverPlay) { p.storeAgain(ctx) }},
		{name: "several pages of other jobs", before: func(ctx context.Context, p *takeoverPlay) {
			for i := range 3 * modelPage {
				p.submit(p.leader, fmt.Sprintf("%016x", 0x1000+i), 1)
			}
		}, after: func(_ context.Context, p *takeoverPlay) { p.restartSuccessor() }},
		{name: "successor knows nothing", after: func(_ context.Context, p *takeoverPlay) { p.restartSuccessor() }},
		{name: "successor knows nothing and reads the jobs late", after: func(_ context.Context, p *takeoverPlay) {
			p.store.mute("entry-1", "jobs", time.Now().Add(time.Second))
			p.restartSuccessor()
		}},
		{name: "job expired", after: func(context.Context, *takeoverPlay) { time.Sleep(2 * modelRetention) }},
		{name: "job deleted, its state not", after: func(_ context.Context, p *takeoverPlay) {
			time.Sleep(2 * modelRetention)
			p.leadership.deleteExpiredJobs()
		}, gone: true},
		{name: "job and state deleted, late copies", after: func(ctx context.Context, p *takeoverPlay) {
			ended := time.Now()
			time.Sleep(2 * modelRetention)
			p.leadership.deleteExpiredJobs()
			p.round(ctx, p.leader, p.leadership, p.runs, time.Now())
			p.tell(ended)
			job := jobRecordAt(p.t, p.job, ended)
			p.successor.handleMessage(nil, 0, &jayframe.StoredRecords{Records: []jayframe.StoredRecord{{Key: job.Key, Value: job.Value}}})
		}, gone: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &takeoverPlay{statesModel: newStatesModel(t, 0), job: "ffffffffffffffaa"}
				defer p.end()
				p.leader, p.successor = p.entries[0], p.entries[1]
				ctx := p.entries[2].ctx
				run := func(f func(context.Context, *takeoverPlay)) {
					if f != nil {
						f(ctx, p)
					}
				}
				time.Sleep(time.Second)
				p.leadership, p.runs = p.begin(p.leader, 1)
				p.tasks[p.job] = 1
				p.submit(p.leader, p.job, 1)
				run(c.before)
				p.complete(ctx)
				run(c.after)
				p.background(func() {
					time.Sleep(2 * time.Millisecond)
					run(c.during)
				})
				l, runs := p.begin(p.successor, 2)
				for range 30 {
					p.round(ctx, p.successor, l, runs, time.Now())
					time.Sleep(leaderStep)
				}
				for task := range p.runner.running {
					assert.Assert(t, task[:16] != p.job, "runs again")
				}
				for _, e := range []*statesEntry{p.successor, p.entries[2]} {
					state, found := p.askFor(e, p.job)
					assert.Equal(t, found, !c.gone, e.Name)
					if found {
						assert.Equal(t, state, jaytask.Completed, e.Name)
					}
				}
			})
		})
	}
}

// Guards against a caller who is told a state that no later leader can read.
func TestStateIsShownOnceItIsStored(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		want jaytask.State
	}{{"stored", nil, jaytask.Completed}, {"refused, a higher term has begun", &jaystore.FencedError{Term: 1}, jaytask.Queued}} {
		t.Run(c.name, func(t *testing.T) {
			entry, l := newLeader(true)
			job := jobRecordAt(t, id, time.Now())
			entry.jobs.apply(job.Key, job.Value)
			shown := func() jaytask.State {
				row, _ := entry.jobs.get(id)
				return row.callerState()
			}
			// Appends are made by other goroutines, which must not end the test.
			entry.storeClient.Append = func(context.Context, jaystore.Append) (uint64, error) {
				assert.Check(t, shown() == jaytask.Queued, "shown before it is stored")
				return 0, c.err
			}
			l.storeBatch(t.Context(), l.newRunsWriter(), &jaycell.Batch{JobStates: []jaycell.Record{{Key: jaycell.StateKey(id), Value: jaycell.EncodeState(jaytask.Completed, time.Now())}}})
			assert.Equal(t, shown(), c.want)
		})
	}
}
