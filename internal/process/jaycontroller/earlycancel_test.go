package jaycontroller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

// cancelPlay is a statesModel without faults in which callers of two workspaces use the ID of job.
type cancelPlay struct {
	*takeoverPlay
	t *testing.T
}

const (
	ownKey   = "key-own"
	otherKey = "key-other"
)

func newCancelPlay(t *testing.T) *cancelPlay {
	p := &cancelPlay{t: t, takeoverPlay: &takeoverPlay{statesModel: newStatesModel(t, 0), job: "ffffffffffffffaa"}}
	p.leader, p.successor = p.entries[0], p.entries[1]
	for _, e := range p.entries {
		p.configure(e)
	}
	time.Sleep(time.Second)
	p.leadership, p.runs = p.begin(p.leader, 1)
	p.tasks[p.job] = 1
	return p
}

func (p *cancelPlay) configure(e *statesEntry) {
	workspaces := []jayconfig.Workspace{{Name: "own", Keys: []string{ownKey}}, {Name: "other", Keys: []string{otherKey}}}
	routes := []jayconfig.Route{{Name: "r", Host: "host", Prefix: "/r/", Service: "s", MaxAttempts: 3, Stretch: 3, Objective: time.Minute}}
	e.config.Store(jayconfig.NewConfig(1, routes, nil, workspaces, jayconfig.Limits{}))
}

func (p *cancelPlay) request(key string) Request {
	return Request{Host: "host", Path: "/r/" + p.job, Key: key}
}

func (p *cancelPlay) submitAs(e *statesEntry, key string) Response {
	return e.Submit(e.ctx, p.request(key), func() (*jaytask.Job, error) {
		return &jaytask.Job{Spec: "x", Steps: []jaytask.Step{{Count: 1, Estimate: time.Second, Resources: jaytask.Resources{CPU: 1, Memory: 1}}}}, nil
	})
}

func (p *cancelPlay) cancelAs(e *statesEntry, key string) Outcome {
	return e.Cancel(e.ctx, p.request(key)).Outcome
}

// askAs returns the state of the job for a workspace.
func (p *cancelPlay) askAs(e *statesEntry, key string) (jaytask.State, bool) {
	response := e.State(e.ctx, p.request(key))
	return response.State, response.Outcome == Found
}

// restart replaces the process of an entry.
func (p *cancelPlay) restart(i int) {
	former := p.entries[i]
	former.stop()
	p.background(former.tasks.Wait)
	p.entries[i] = p.newEntry(i)
	p.configure(p.entries[i])
}

// lead lets a leader decide for a while.
func (p *cancelPlay) lead(e *statesEntry, l *leadership, runs *jaystore.FailoverWriter, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(leaderStep) {
		p.round(e.ctx, e, l, runs, time.Now())
	}
}

// Guards against a job that runs after its caller was told that there is no such job: its submission
// comes late, over any path, and whatever happens in between.
func TestLateSubmissionOfACanceledJobDoesNotRun(t *testing.T) {
	lateAppend := func(p *cancelPlay, canceler *statesEntry) {
		submitter := p.entries[2]
		release := p.store.hold(submitter.Name, "jobs", true)
		p.background(func() { p.submitAs(submitter, ownKey) })
		time.Sleep(5 * time.Second)
		assert.Equal(p.t, p.cancelAs(canceler, ownKey), NoJob)
		time.Sleep(time.Second)
		release()
	}
	for _, c := range []struct {
		name string
		// submit lets the submission become a job after its cancellation.
		submit func(p *cancelPlay)
		// between happens after the cancellation.
		between func(p *cancelPlay)
	}{
		{name: "the request waits at an entry that stands still", submit: func(p *cancelPlay) {
			assert.Equal(p.t, p.cancelAs(p.entries[3], ownKey), NoJob)
			p.submitAs(p.entries[2], ownKey)
		}},
		{name: "canceled at the leader", submit: func(p *cancelPlay) {
			assert.Equal(p.t, p.cancelAs(p.leader, ownKey), NoJob)
			p.submitAs(p.entries[2], ownKey)
		}},
		{name: "canceled at all entries", submit: func(p *cancelPlay) {
			for _, e := range p.entries {
				assert.Equal(p.t, p.cancelAs(e, ownKey), NoJob)
			}
			p.submitAs(p.entries[2], ownKey)
		}},
		{name: "the store executes the append late", submit: func(p *cancelPlay) { lateAppend(p, p.entries[3]) }},
		{name: "the store executes the append late, canceled at the leader", submit: func(p *cancelPlay) { lateAppend(p, p.leader) }},
		{name: "all other entries restart in between", submit: func(p *cancelPlay) {
			assert.Equal(p.t, p.cancelAs(p.entries[3], ownKey), NoJob)
			p.restart(1)
			p.successor = p.entries[1]
			p.restart(3)
			time.Sleep(time.Second)
			p.submitAs(p.entries[2], ownKey)
		}},
		{name: "the store forgets its history in between", submit: func(p *cancelPlay) {
			assert.Equal(p.t, p.cancelAs(p.entries[3], ownKey), NoJob)
			p.store.forget("jobs")
			time.Sleep(5 * time.Second)
			p.submitAs(p.entries[2], ownKey)
			p.store.forget("jobs")
		}},
		{name: "submitted again and again", submit: func(p *cancelPlay) {
			assert.Equal(p.t, p.cancelAs(p.entries[3], ownKey), NoJob)
			for _, e := range p.entries {
				p.submitAs(e, ownKey)
				time.Sleep(time.Second)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCancelPlay(t)
				defer p.end()
				c.submit(p)
				p.lead(p.leader, p.leadership, p.runs, 5*time.Second)
				l, runs := p.begin(p.successor, 2)
				p.lead(p.successor, l, runs, 5*time.Second)
				assert.Equal(t, p.starts, 0)
				for _, e := range p.entries {
					state, found := p.askAs(e, ownKey)
					assert.Assert(t, found && state == jaytask.Canceled, "%s: %t %s", e.Name, found, state)
				}
				// A leader for which the cancellation has expired finds the stored state.
				p.leadership = l
				time.Sleep(modelRetention / 2)
				l.deleteExpiredJobs()
				time.Sleep(3 * time.Second)
				assert.Equal(t, p.successor.jobs.early.countOf("own"), 0)
				p.restart(3)
				time.Sleep(time.Second)
				l, runs = p.begin(p.entries[3], 3)
				p.lead(p.entries[3], l, runs, 3*time.Second)
				assert.Equal(t, p.starts, 0)
			})
		})
	}
}

// The leader that has taken the request dies after the cancellation is answered, and its append is
// executed later.
func TestLateSubmissionOfADeadLeaderDoesNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCancelPlay(t)
		defer p.end()
		release := p.store.hold(p.leader.Name, "jobs", true)
		p.background(func() { p.submitAs(p.leader, ownKey) })
		time.Sleep(3 * time.Second)
		assert.Equal(t, p.cancelAs(p.entries[3], ownKey), NoJob)
		p.leader.stop()
		l, runs := p.begin(p.successor, 2)
		p.lead(p.successor, l, runs, time.Second)
		release()
		p.lead(p.successor, l, runs, 10*time.Second)
		assert.Equal(t, p.starts, 0)
		state, found := p.askAs(p.entries[3], ownKey)
		assert.Assert(t, found && state == jaytask.Canceled)
	})
}

// Guards against a workspace that keeps the job of another one from running by canceling its ID, or that
// learns of the other's cancellation.
func TestCancellationOfAnotherWorkspaceHasNoEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCancelPlay(t)
		defer p.end()
		assert.Equal(t, p.cancelAs(p.entries[3], otherKey), NoJob)
		assert.Equal(t, p.cancelAs(p.entries[2], otherKey), NoJob)
		assert.Equal(t, p.submitAs(p.entries[2], ownKey).Outcome, Accepted)
		p.lead(p.leader, p.leadership, p.runs, 5*time.Second)
		assert.Equal(t, p.starts, 1)
		for _, e := range p.entries {
			state, _ := p.askAs(e, ownKey)
			assert.Equal(t, state, jaytask.Completed)
		}
	})
}

// An early cancellation is deleted once no submission can be late for it, so that its ID can be used
// again; not before the final state of a job that it cancels is stored.
func TestEarlyCancellationsExpire(t *testing.T) {
	for _, submitted := range []bool{false, true} {
		t.Run(fmt.Sprint("submitted ", submitted), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newCancelPlay(t)
				defer p.end()
				stored := func() int {
					n := 0
					for page := (jaystore.Page{More: true}); page.More; {
						page = p.store.newest("jobs", page.LastKey)
						for _, r := range page.Records {
							page.LastKey = r.Key
							if r.Key[:2] == "e/" {
								n++
							}
						}
					}
					return n
				}
				assert.Equal(t, p.cancelAs(p.entries[3], ownKey), NoJob)
				time.Sleep(modelRetention / 4)
				p.leadership.deleteExpiredJobs()
				assert.Equal(t, stored(), 1)
				if submitted {
					assert.Equal(t, p.submitAs(p.entries[2], ownKey).Outcome, Accepted)
				}
				time.Sleep(modelRetention / 2)
				p.leadership.deleteExpiredJobs()
				time.Sleep(3 * time.Second)
				if submitted {
					// The leader has not decided yet.
					assert.Equal(t, stored(), 1)
					p.lead(p.leader, p.leadership, p.runs, time.Second)
					p.leadership.deleteExpiredJobs()
					time.Sleep(3 * time.Second)
				}
				assert.Equal(t, stored(), 0)
				for _, e := range p.entries {
					assert.Equal(t, e.jobs.early.countOf("own"), 0, e.Name)
				}
				if !submitted {
					assert.Equal(t, p.submitAs(p.entries[2], ownKey).Outcome, Accepted)
				}
				p.lead(p.leader, p.leadership, p.runs, 5*time.Second)
				state, _ := p.askAs(p.entries[1], ownKey)
				want := jaytask.Completed
				if submitted {
					want = jaytask.Canceled
				}
				assert.Equal(t, state, want)
			})
		})
	}
}

// A cancellation that is repeated is renewed before it expires.
func TestRepeatedEarlyCancellationIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCancelPlay(t)
		defer p.end()
		for range 3 {
			assert.Equal(t, p.cancelAs(p.entries[3], ownKey), NoJob)
			time.Sleep(modelRetention/2 - 4*time.Second)
			p.leadership.deleteExpiredJobs()
		}
		assert.Equal(t, p.submitAs(p.entries[2], ownKey).Outcome, Accepted)
		p.lead(p.leader, p.leadership, p.runs, 5*time.Second)
		assert.Equal(t, p.starts, 0)
	})
}

// A cancellation that is repeated just before the leader deletes the former one stays: the deletion is
// executed late.
func TestDeletionSparesARenewedEarlyCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCancelPlay(t)
		defer p.end()
		assert.Equal(t, p.cancelAs(p.entries[3], ownKey), NoJob)
		time.Sleep(modelRetention)
		release := p.store.hold(p.leader.Name, "jobs", true)
		p.background(p.leadership.deleteExpiredJobs)
		time.Sleep(time.Second)
		assert.Equal(t, p.cancelAs(p.entries[3], ownKey), NoJob)
		release()
		time.Sleep(5 * time.Second)
		assert.Equal(t, p.submitAs(p.entries[2], ownKey).Outcome, Accepted)
		p.lead(p.leader, p.leadership, p.runs, 5*time.Second)
		assert.Equal(t, p.starts, 0)
	})
}

// One workspace that cancels unknown jobs without end is refused, and takes nothing from others.
func TestEarlyCancellationsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newCancelPlay(t)
		defer p.end()
		e := p.entries[3]
		for i := range e.maxEarlyCancelsOf() {
			e.jobs.early.add(newEarlyCancel(fmt.Sprintf("%016x", i), "own"), time.Hour)
		}
		response := e.Cancel(e.ctx, p.request(ownKey))
		assert.Equal(t, response.Outcome, NotNow)
		assert.Assert(t, response.RetryAfter > 0)
		assert.Equal(t, p.cancelAs(e, otherKey), NoJob)
		// One that is known is answered as before.
		p.job = fmt.Sprintf("%016x", 0)
		assert.Equal(t, p.cancelAs(e, ownKey), NoJob)
	})
}

// The records of a job and of its early cancellation come in any order, one by one and in reads of all.
func TestEarlyCancellationInAnyOrder(t *testing.T) {
	value, err := jaytask.EncodeJob(&jaytask.Job{ID: id, Accepted: time.Now(), Policy: jaytask.Policy{Workspace: "own"}, Steps: []jaytask.Step{{Count: 1}}})
	assert.NilError(t, err)
	job := jaystore.StoredRecord{Record: jaystore.Record{Key: jaycell.JobKey(id), Value: value}}
	own := jaystore.StoredRecord{Record: newEarlyCancel(id, "own").record(time.Now())}
	other := jaystore.StoredRecord{Record: newEarlyCancel(id, "other").record(time.Now())}
	for _, c := range []struct {
		name  string
		reads [][]jaystore.StoredRecord
		want  bool
	}{
		{"cancellation first", [][]jaystore.StoredRecord{{own}, {job}}, true},
		{"job first", [][]jaystore.StoredRecord{{job}, {own}}, true},
		{"both at once", [][]jaystore.StoredRecord{{job, own}}, true},
		{"of another workspace", [][]jaystore.StoredRecord{{other}, {job, other}}, false},
		{"of both", [][]jaystore.StoredRecord{{other, own}, {job}}, true},
		{"none", [][]jaystore.StoredRecord{{job}}, false},
	} {
		for _, all := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, all), func(t *testing.T) {
				table := newJobTable(zerolog.Nop())
				table.recent = time.Minute
				reported := 0
				table.onChanged = func(string) { reported++ }
				for _, records := range c.reads {
					if all {
						table.replace(records)
						continue
					}
					for _, r := range records {
						table.apply(r.Key, r.Value)
					}
				}
				row, ok := table.get(id)
				assert.Assert(t, ok || c.reads[len(c.reads)-1][0].Key != job.Key)
				if ok {
					assert.Equal(t, row.canceled, c.want)
					assert.Assert(t, reported > 0)
				}
			})
		}
	}
}

// Keys of another form are skipped.
func TestInvalidEarlyCancellationsAreSkipped(t *testing.T) {
	table := newJobTable(zerolog.Nop())
	for _, key := range []string{"e/", "e/x", "e/" + id, "e/" + id + "/", "e/" + id + "/zz", "e/" + id + "/" + fmt.Sprintf("%034x", 1)} {
		table.apply(key, []byte("x"))
		table.apply(key, nil)
	}
	assert.Equal(t, len(table.early.since)+len(table.jobs), 0)
	e := newEarlyCancel(id, "own")
	parsed, ok := parseEarlyCancel(e.key()[2:])
	assert.Assert(t, ok && parsed == e)
}
