package jaycontroller

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

// Guards against a job whose record the store never accepts and that stops all starts, also under later
// leaders: an earlier version has accepted it.
func TestUnstorableJobHoldsBackNoOther(t *testing.T) {
	const large, other = "aaaaaaaaaaaaaaaa", "ffffffffffffffaa"
	const recordBytes = 8 << 10
	for _, c := range []struct {
		name string
		// limits are what the leader knows of the store's.
		limits jaystore.Limits
		silent bool
	}{
		{name: "known limit", limits: jaystore.Limits{RecordBytes: recordBytes}},
		{name: "unknown limit"},
		{name: "unknown limit, main topic silent", silent: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &takeoverPlay{statesModel: newStatesModel(t, 0), job: other}
				defer p.end()
				p.store.recordBytes = recordBytes
				p.limits = c.limits
				for i, former := range p.entries {
					former.stop()
					p.background(former.tasks.Wait)
					p.entries[i] = p.newEntry(i)
				}
				p.leader, p.successor = p.entries[0], p.entries[1]
				ctx := p.entries[2].ctx
				time.Sleep(time.Second)
				spec := &jaytask.Job{ID: large, Accepted: time.Now(), Policy: jaytask.Policy{Route: "r", Service: "s", MaxAttempts: 3}, Steps: []jaytask.Step{{Count: 5000, Gang: true}}}
				value, err := jaytask.EncodeJob(spec)
				assert.NilError(t, err)
				_, err = p.entries[2].storeClient.Append(ctx, jaystore.Append{Topic: "jobs", Records: []jaystore.Record{{Key: "j/" + large, Value: value}}})
				assert.NilError(t, err)
				p.leadership, p.runs = p.begin(p.leader, 1)
				if c.silent {
					p.store.silence("runs", time.Now().Add(2*time.Second))
				}
				p.tasks[other], p.tasks[large] = 1, 5000
				p.submit(p.leader, other, 1)
				p.complete(ctx)
				time.Sleep(5 * time.Second)
				p.begin(p.successor, 2)
				for _, e := range p.entries[:2] {
					state, _ := p.askFor(e, large)
					assert.Equal(t, state, jaytask.Failed, e.Name)
				}
			})
		})
	}
}

// What can never be stored is refused with the reason, and not with a request to come back.
func TestUnstorableJobIsRefused(t *testing.T) {
	for _, c := range []struct {
		name   string
		step   jaytask.Step
		reason string
		want   Outcome
	}{
		{"gang", jaytask.Step{Count: 100, Gang: true}, "", Accepted},
		{"gang with a larger record", jaytask.Step{Count: 6000, Gang: true}, "a gang of 6000 tasks", Malformed},
		{"large field", jaytask.Step{Count: 1, Label: strings.Repeat("x", 256<<10)}, "too large to be stored", Malformed},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newStatesModel(t, 0)
				defer m.end()
				m.limits.RecordBytes = 256 << 10
				e := m.newEntry(modelEntries)
				m.entries = append(m.entries, e)
				e.config.Store(jayconfig.NewConfig(1, []jayconfig.Route{{Name: "r", Host: "host", Prefix: "/r/", Service: "s", Public: true, MaxAttempts: 3}}, nil, nil, jayconfig.Limits{}))
				response := e.Submit(context.Background(), Request{Host: "host", Path: "/r/" + id}, func() (*jaytask.Job, error) {
					j := &jaytask.Job{Steps: []jaytask.Step{c.step}}
					return j, j.Validate()
				})
				assert.Equal(t, response.Outcome, c.want, response.Reason)
				assert.Assert(t, strings.Contains(response.Reason, c.reason), response.Reason)
				assert.Equal(t, response.RetryAfter, time.Duration(0))
			})
		})
	}
}
