package jaycontroller

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const id = "5c0e7a21d94b36f8"

func jobRecord(t *testing.T, id string) jaystore.StoredRecord {
	t.Helper()
	b, err := jaytask.EncodeJob(&jaytask.Job{ID: id, Spec: "x", Steps: []jaytask.Step{{Count: 1}}})
	assert.NilError(t, err)
	return jaystore.StoredRecord{Record: jaystore.Record{Key: jaycell.JobKey(id), Value: b}}
}

func stateRecord(id string, s jaytask.State) jaystore.StoredRecord {
	return jaystore.StoredRecord{Record: jaystore.Record{Key: jaycell.StateKey(id), Value: jaycell.EncodeState(s, time.UnixMilli(1))}}
}

// A store that is read anew lists a job before its end. Taken one by one, a
// completed job began again under the next holder of the term.
func TestReplaceIsNoNewsOfEndedJobs(t *testing.T) {
	table := newJobTable(zerolog.Nop())
	var news []string
	table.accepted = func(j *jaytask.Job) { news = append(news, j.ID) }
	table.replace([]jaystore.StoredRecord{jobRecord(t, id), jobRecord(t, "aaaaaaaaaaaaaaaa"), stateRecord(id, jaytask.Completed)})
	assert.DeepEqual(t, news, []string{"aaaaaaaaaaaaaaaa"})
}

func TestReplaceKeepsAnEndThatAPeerHasTold(t *testing.T) {
	table := newJobTable(zerolog.Nop())
	job, end := jobRecord(t, id), stateRecord(id, jaytask.Completed)
	table.apply(job.Key, job.Value)
	table.apply(end.Key, end.Value)
	table.replace([]jaystore.StoredRecord{job, stateRecord(id, jaytask.Running)})
	e, ok := table.get(id)
	assert.Assert(t, ok)
	assert.Equal(t, e.shown(), jaytask.Completed)
}

func TestShownState(t *testing.T) {
	for _, c := range []struct {
		name    string
		records []jaystore.StoredRecord
		want    jaytask.State
	}{
		{"accepted", nil, jaytask.Queued},
		{"begun", []jaystore.StoredRecord{stateRecord(id, jaytask.Running)}, jaytask.Running},
		{"canceled", []jaystore.StoredRecord{{Record: cancelRecord(id, time.UnixMilli(1))}}, jaytask.Canceled},
		{"canceled while running", []jaystore.StoredRecord{stateRecord(id, jaytask.Running), {Record: cancelRecord(id, time.UnixMilli(1))}}, jaytask.Canceled},
		{"ends once", []jaystore.StoredRecord{stateRecord(id, jaytask.Completed), stateRecord(id, jaytask.Running)}, jaytask.Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newJobTable(zerolog.Nop())
			job := jobRecord(t, id)
			table.apply(job.Key, job.Value)
			for _, r := range c.records {
				table.apply(r.Key, r.Value)
			}
			e, ok := table.get(id)
			assert.Assert(t, ok)
			assert.Equal(t, e.shown(), c.want)
		})
	}
}

func TestUnreadableRecordsAreSkipped(t *testing.T) {
	table := newJobTable(zerolog.Nop())
	table.apply("no key of ours", []byte("x"))
	table.apply(jaycell.JobKey(id), []byte("\xff\x00"))
	table.apply(jaycell.StateKey("bbbbbbbbbbbbbbbb"), []byte("\xff"))
	_, ok := table.get(id)
	assert.Assert(t, !ok)
	job := jobRecord(t, id)
	table.apply(job.Key, job.Value)
	_, ok = table.get(id)
	assert.Assert(t, ok)
}

// Who asks for a running job while its end is recorded is told of the end; who asks
// earlier is told that it runs after the time given.
func TestAwaitTellsOfAnEndUnderWay(t *testing.T) {
	for _, c := range []struct {
		name  string
		ends  bool
		state jaytask.State
	}{{"an end under way", true, jaytask.Completed}, {"none", false, jaytask.Running}} {
		t.Run(c.name, func(t *testing.T) {
			table := newJobTable(zerolog.Nop())
			value, err := jaytask.EncodeJob(&jaytask.Job{ID: "x", Steps: []jaytask.Step{{Count: 1}}})
			assert.NilError(t, err)
			table.apply("j/x", value)
			table.apply("s/x", jaycell.EncodeState(jaytask.Running, time.Now()))
			wait := 20 * time.Millisecond
			if c.ends {
				wait = time.Minute
				time.AfterFunc(10*time.Millisecond, func() { table.apply("s/x", jaycell.EncodeState(jaytask.Completed, time.Now())) })
			}
			ctx, cancel := context.WithTimeout(t.Context(), wait)
			defer cancel()
			e, ok := table.await(ctx, "x")
			assert.Assert(t, ok)
			assert.Equal(t, e.shown(), c.state)
		})
	}
}

// Jobs that are read anew keep their states, which are stored elsewhere, and are
// forgotten once they have ended long enough ago.
func TestEndedJobsStayEndedUntilTheyAreForgotten(t *testing.T) {
	news := 0
	table := newJobTable(zerolog.Nop())
	table.accepted = func(*jaytask.Job) { news++ }
	now := time.UnixMilli(1_700_000_000_000)
	record := jobRecord(t, id)
	table.apply("s/"+id, jaycell.EncodeState(jaytask.Completed, now))
	table.replace([]jaystore.StoredRecord{record})
	assert.Equal(t, news, 0)
	assert.Equal(t, len(table.open()), 0)
	late := newJobTable(zerolog.Nop())
	late.accepted = table.accepted
	late.apply("s/"+id, jaycell.EncodeState(jaytask.Completed, now))
	late.apply(record.Key, record.Value)
	assert.Equal(t, news, 0, "a job's end may be known before the job")
	assert.Equal(t, len(table.expired(now, 10)), 0)
	assert.DeepEqual(t, table.expired(now.Add(time.Second), 10), []string{id})
	table.apply("j/"+id, nil)
	assert.Equal(t, len(table.expired(now.Add(time.Second), 10)), 0)
}
