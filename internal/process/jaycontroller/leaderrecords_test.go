package jaycontroller

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

// A new leader reads jobs and runs side by side, since a slow store takes a large part of
// a second for each: here the runs are answered once the jobs have been asked for.
func TestLeaderReadsJobsAndRunsSideBySide(t *testing.T) {
	jobsRead := make(chan struct{})
	client := &jaystore.Client{
		Append: func(context.Context, jaystore.Append) (uint64, error) { return 0, nil },
		Newest: func(ctx context.Context, topic, _ string) (jaystore.Page, error) {
			switch topic {
			case "cell":
				return jaystore.Page{}, nil
			case "jobs":
				close(jobsRead)
				return jaystore.Page{}, nil
			}
			select {
			case <-jobsRead:
				return jaystore.Page{}, nil
			case <-ctx.Done():
				return jaystore.Page{}, errors.New("the jobs have not been read")
			}
		},
		Read: func(context.Context, string, uint64, time.Duration) (jaystore.ReadResult, error) {
			return jaystore.ReadResult{}, nil
		},
	}
	c := &Controller{Topics: Topics{Cell: "cell", Jobs: "jobs", Runs: "runs"}, storeClient: client, storeTransport: &jaystore.Transport{}}
	c.cellTail = &jaystore.Tail{Client: client, Topic: "cell", Apply: c.applyCellRecord, OnError: func(error) {}}
	c.jobs = newJobTable(c.Logger)
	c.jobsTail = &jaystore.Tail{Client: client, Topic: "jobs", Replace: c.jobs.replace, OnError: func(error) {}}
	l := newLeadership(c, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, l.load(ctx, l.newRunsWriter()))
	assert.Assert(t, l.loaded)
}

// newLeader returns a controller that leads, over a store that holds nothing.
func newLeader(loaded bool) (*Controller, *leadership) {
	c := New(nil)
	c.Topics = Topics{Jobs: "jobs", Runs: "runs"}
	c.Timing.Retention = time.Minute
	c.NewStoreClient = func(func(context.Context, jaystore.Request) (jaystore.Response, error)) *jaystore.Client {
		return &jaystore.Client{
			Append: func(context.Context, jaystore.Append) (uint64, error) { return 0, nil },
			Newest: func(context.Context, string, string) (jaystore.Page, error) { return jaystore.Page{}, nil },
			Read: func(context.Context, string, uint64, time.Duration) (jaystore.ReadResult, error) {
				return jaystore.ReadResult{}, nil
			},
		}
	}
	c.Prepare()
	c.leadership = newLeadership(c, 1)
	c.leadership.loaded = loaded
	return c, c.leadership
}

// The peers' copies and the store's records of a job and of its cancellation reach the leader in any order.
func TestCancellationBeforeItsJobIsNotLost(t *testing.T) {
	job, cancel := jobRecord(t, id), jaystore.StoredRecord{Record: cancelRecord(id, time.UnixMilli(1))}
	one := func(s jaystore.StoredRecord) func(*jobTable) {
		return func(table *jobTable) { table.apply(s.Key, s.Value) }
	}
	all := func(records ...jaystore.StoredRecord) func(*jobTable) {
		return func(table *jobTable) { table.replace(records) }
	}
	for _, c := range []struct {
		name  string
		steps []func(*jobTable)
	}{
		{"job first", []func(*jobTable){one(job), one(cancel)}},
		{"cancellation first", []func(*jobTable){one(cancel), one(job)}},
		{"job first, then all records", []func(*jobTable){one(job), all(cancel, job)}},
		{"cancellation first, then all records", []func(*jobTable){one(cancel), all(cancel, job)}},
		{"all records", []func(*jobTable){all(cancel, job)}},
		{"cancellation in all records, then the job", []func(*jobTable){all(cancel), one(job)}},
		{"job in all records, then the cancellation", []func(*jobTable){all(job), one(cancel)}},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, l := newLeader(true)
			for _, step := range c.steps {
				step(controller.jobs)
			}
			states := l.cell.TakeBatch().JobStates
			assert.Equal(t, len(states), 1, "states of the job")
			state, _, err := jaycell.DecodeState(states[0].Value)
			assert.NilError(t, err)
			assert.Equal(t, state, jaytask.Canceled)
		})
	}
}

// A leader may end between the deletion of a job and that of its state.
func TestStateOfADeletedJobIsDeletedByTheNextLeader(t *testing.T) {
	const kept, invalid = "aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb"
	pages := map[string][]jaystore.StoredRecord{
		"jobs": {jobRecord(t, kept), {Record: jaystore.Record{Key: jaycell.JobKey(invalid), Value: []byte("of a later version")}}},
		"runs": {stateRecord(kept, jaytask.Completed), stateRecord(invalid, jaytask.Completed), stateRecord(id, jaytask.Completed)},
	}
	c, l := newLeader(false)
	*c.storeClient = jaystore.Client{
		Append: c.storeClient.Append,
		Newest: func(_ context.Context, topic, _ string) (jaystore.Page, error) {
			return jaystore.Page{Records: pages[topic], End: 3}, nil
		},
		Read: func(context.Context, string, uint64, time.Duration) (jaystore.ReadResult, error) {
			return jaystore.ReadResult{Next: 3, End: 3}, nil
		},
	}
	assert.NilError(t, l.load(t.Context(), l.newRunsWriter()))
	assert.DeepEqual(t, l.stateDeletions, []jaycell.Record{{Key: jaycell.StateKey(id)}})
	again := jobRecord(t, id)
	c.jobs.apply(again.Key, again.Value)
	row, ok := c.jobs.get(id)
	assert.Assert(t, ok)
	assert.Equal(t, row.callerState(), jaytask.Queued)
}

// Guards against a job that runs again after it was shown as completed: the state of an earlier job
// under its ID was to be deleted, and the deletion took the new one.
func TestDeletionOfAnEarlierJobsStateKeepsTheNewOne(t *testing.T) {
	long := time.Now().Add(-2 * time.Minute)
	state := func(s jaytask.State, at time.Time) jaycell.Record {
		return jaycell.Record{Key: jaycell.StateKey(id), Value: jaycell.EncodeState(s, at)}
	}
	for _, c := range []struct {
		name string
		// job and state are in the table; batch is stored together with the deletion.
		job     bool
		state   *jaycell.Record
		batch   []jaycell.Record
		deleted bool
	}{
		{"job unknown", false, nil, nil, true},
		{"deletion of the job not read yet", true, new(state(jaytask.Completed, long)), nil, true},
		{"ID used again, queued", true, nil, nil, true},
		{"ID used again, running", true, new(state(jaytask.Running, time.Now())), nil, false},
		{"ID used again, completed", true, new(state(jaytask.Completed, time.Now())), nil, false},
		{"ID used again, its first state is being stored", true, nil, []jaycell.Record{state(jaytask.Running, time.Now())}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry, l := newLeader(true)
			var stored []jaystore.Record
			entry.storeClient.Append = func(_ context.Context, a jaystore.Append) (uint64, error) {
				stored = append(stored, a.Records...)
				return 0, nil
			}
			if c.job {
				job := jobRecordAt(t, id, time.Now())
				entry.jobs.apply(job.Key, job.Value)
			}
			if c.state != nil {
				entry.jobs.apply(c.state.Key, c.state.Value)
			}
			l.stateDeletions = []jaycell.Record{{Key: jaycell.StateKey(id)}}
			l.storeBatch(t.Context(), l.newRunsWriter(), &jaycell.Batch{JobStates: c.batch})
			deleted := false
			for _, r := range stored {
				deleted = deleted || r.Value == nil
			}
			assert.Equal(t, deleted, c.deleted)
		})
	}
}

// The tails of jobs and states run side by side, so a state may come after its job's deletion.
func TestDeletionOfAStateWithoutJobLeavesNothing(t *testing.T) {
	table := newJobTable(zerolog.Nop())
	job, end := jobRecord(t, id), stateRecord(id, jaytask.Completed)
	table.apply(end.Key, end.Value)
	table.apply(end.Key, nil)
	assert.Equal(t, len(table.jobs), 0)
	table.apply(job.Key, job.Value)
	table.apply(end.Key, end.Value)
	table.apply(end.Key, nil)
	row, ok := table.get(id)
	assert.Assert(t, ok)
	assert.Equal(t, row.callerState(), jaytask.Completed)
}

// A new leader may have read the jobs before the first configuration.
func TestNothingStartsWithoutATicketBeforeTheConfiguration(t *testing.T) {
	c, l := newLeader(true)
	value, err := jaytask.EncodeJob(&jaytask.Job{ID: id, Spec: "x", Accepted: time.Now(), Policy: jaytask.Policy{Route: "r", Service: "s", MaxAttempts: 1, Stretch: 3}, Steps: []jaytask.Step{{Count: 1, Resources: jaytask.Resources{CPU: 1, Memory: 1}}}})
	assert.NilError(t, err)
	c.jobs.apply(jaycell.JobKey(id), value)
	starts := func(sequence int64) int {
		l.setCellTime()
		assert.Assert(t, l.cell.ApplyReport(jaycell.Report{Node: "n", Sequence: sequence, Term: 1, Responsive: true, Runner: jaycell.RunnerInfo{ID: "i", Service: "s", Capacity: jaytask.Resources{CPU: 1, Memory: 1}}}))
		l.cell.Tick()
		return len(l.cell.ConfirmStored(l.cell.TakeBatch()))
	}
	assert.Equal(t, starts(1), 0)
	c.config.Store(jayconfig.NewConfig(1, nil, nil, nil, jayconfig.Limits{}))
	assert.Equal(t, starts(2), 1)
}
