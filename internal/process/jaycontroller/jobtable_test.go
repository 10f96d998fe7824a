package jaycontroller

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const id = "5c0e7a21d94b36f8"

func jobRecord(t *testing.T, id string) jaystore.StoredRecord {
	t.Helper()
	return jobRecordAt(t, id, time.UnixMilli(1))
}

// jobRecordAt is jobRecord with the time of acceptance.
func jobRecordAt(t *testing.T, id string, at time.Time) jaystore.StoredRecord {
	t.Helper()
	b, err := jaytask.EncodeJob(&jaytask.Job{ID: id, Spec: "x", Accepted: at, Steps: []jaytask.Step{{Count: 1}}})
	assert.NilError(t, err)
	return jaystore.StoredRecord{Record: jaystore.Record{Key: jaycell.JobKey(id), Value: b}}
}

func stateRecord(id string, s jaytask.State) jaystore.StoredRecord {
	return jaystore.StoredRecord{Record: jaystore.Record{Key: jaycell.StateKey(id), Value: jaycell.EncodeState(s, time.UnixMilli(1))}}
}

// A full read of the store lists a job before its final state. When the records were
// applied one by one, a completed job was started again by the next leader.
func TestReplaceReportsOnlyUnfinishedJobs(t *testing.T) {
	table := newJobTable(zerolog.Nop())
	var accepted []string
	table.onChanged = func(id string) { accepted = append(accepted, id) }
	table.replace([]jaystore.StoredRecord{jobRecord(t, id), jobRecord(t, "aaaaaaaaaaaaaaaa"), stateRecord(id, jaytask.Completed)})
	assert.DeepEqual(t, accepted, []string{"aaaaaaaaaaaaaaaa"})
}

func TestReplaceKeepsAFinalStateFromAPeer(t *testing.T) {
	table := newJobTable(zerolog.Nop())
	job, end := jobRecord(t, id), stateRecord(id, jaytask.Completed)
	table.apply(job.Key, job.Value)
	table.apply(end.Key, end.Value)
	table.replace([]jaystore.StoredRecord{job, stateRecord(id, jaytask.Running)})
	row, ok := table.get(id)
	assert.Assert(t, ok)
	assert.Equal(t, row.callerState(), jaytask.Completed)
}

func TestCallerState(t *testing.T) {
	for _, c := range []struct {
		name    string
		records []jaystore.StoredRecord
		want    jaytask.State
	}{
		{"accepted", nil, jaytask.Queued},
		{"begun", []jaystore.StoredRecord{stateRecord(id, jaytask.Running)}, jaytask.Running},
		{"canceled", []jaystore.StoredRecord{{Record: cancelRecord(id, time.UnixMilli(1))}}, jaytask.Canceled},
		{"canceled while running", []jaystore.StoredRecord{stateRecord(id, jaytask.Running), {Record: cancelRecord(id, time.UnixMilli(1))}}, jaytask.Canceled},
		{"running after completed", []jaystore.StoredRecord{stateRecord(id, jaytask.Completed), stateRecord(id, jaytask.Running)}, jaytask.Completed},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := newJobTable(zerolog.Nop())
			job := jobRecord(t, id)
			table.apply(job.Key, job.Value)
			for _, r := range c.records {
				table.apply(r.Key, r.Value)
			}
			row, ok := table.get(id)
			assert.Assert(t, ok)
			assert.Equal(t, row.callerState(), c.want)
		})
	}
}

func TestInvalidRecordsAreSkipped(t *testing.T) {
	table := newJobTable(zerolog.Nop())
	table.apply("not a known key", []byte("x"))
	table.apply(jaycell.JobKey(id), []byte("\xff\x00"))
	table.apply(jaycell.StateKey("bbbbbbbbbbbbbbbb"), []byte("\xff"))
	_, ok := table.get(id)
	assert.Assert(t, !ok)
	job := jobRecord(t, id)
	table.apply(job.Key, job.Value)
	_, ok = table.get(id)
	assert.Assert(t, ok)
}

// A request about a running job whose end is about to be recorded is answered with
// the end; otherwise it is answered "running" after the wait.
func TestAwaitEnd(t *testing.T) {
	for _, c := range []struct {
		name  string
		ends  bool
		state jaytask.State
	}{{"ends during the wait", true, jaytask.Completed}, {"none", false, jaytask.Running}} {
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
			row, ok := table.awaitEnd(ctx, "x")
			assert.Assert(t, ok)
			assert.Equal(t, row.callerState(), c.state)
		})
	}
}

// The states of jobs are stored in another topic, so replacing the jobs must keep them.
// Ended jobs expire once their retention has passed.
func TestReplaceKeepsFinalStatesUntilExpiry(t *testing.T) {
	accepted := 0
	table := newJobTable(zerolog.Nop())
	table.onChanged = func(string) { accepted++ }
	now := time.UnixMilli(1_700_000_000_000)
	record := jobRecord(t, id)
	table.apply("s/"+id, jaycell.EncodeState(jaytask.Completed, now))
	table.replace([]jaystore.StoredRecord{record})
	assert.Equal(t, accepted, 0)
	assert.Equal(t, len(table.unfinished()), 0)
	stateFirst := newJobTable(zerolog.Nop())
	stateFirst.onChanged = table.onChanged
	stateFirst.apply("s/"+id, jaycell.EncodeState(jaytask.Completed, now))
	stateFirst.apply(record.Key, record.Value)
	assert.Equal(t, accepted, 0, "a job's end may be known before the job")
	assert.Equal(t, len(table.endedBefore(now, 10)), 0)
	assert.DeepEqual(t, table.endedBefore(now.Add(time.Second), 10), []string{id})
	table.apply("j/"+id, nil)
	assert.Equal(t, len(table.endedBefore(now.Add(time.Second), 10)), 0)
}

// A read of all jobs may have begun before facts that peers have told since.
func TestReplaceKeepsWhatIsNewerThanItsRead(t *testing.T) {
	now := time.Now()
	job, cancel := jobRecordAt(t, id, now), jaystore.StoredRecord{Record: cancelRecord(id, now)}
	end := jaystore.StoredRecord{Record: jaystore.Record{Key: jaycell.StateKey(id), Value: jaycell.EncodeState(jaytask.Completed, now)}}
	for _, c := range []struct {
		name    string
		copies  []jaystore.StoredRecord
		read    []jaystore.StoredRecord
		want    jaytask.State
		reports int
	}{
		{"end of a job that is not read", []jaystore.StoredRecord{job, end}, nil, jaytask.Completed, 1},
		{"end without its job", []jaystore.StoredRecord{end}, nil, jaytask.Completed, 0},
		{"cancellation of a job that is read", []jaystore.StoredRecord{job, cancel}, []jaystore.StoredRecord{job}, jaytask.Canceled, 2},
		{"cancellation of a job that is not read", []jaystore.StoredRecord{job, cancel}, nil, jaytask.Canceled, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, _ := newLeader(true)
			table, reports := controller.jobs, 0
			table.onChanged = func(string) { reports++ }
			for _, r := range c.copies {
				table.apply(r.Key, r.Value)
			}
			table.replace(c.read)
			// The tail reads on from where the read began.
			table.apply(job.Key, job.Value)
			row, ok := table.get(id)
			assert.Assert(t, ok)
			assert.Equal(t, row.callerState(), c.want)
			assert.Equal(t, reports, c.reports)
		})
	}
}

func TestReplaceDropsExpiredJobs(t *testing.T) {
	controller, _ := newLeader(true)
	table, long := controller.jobs, time.Now().Add(-controller.Timing.Retention)
	job := jobRecordAt(t, id, long)
	table.apply(job.Key, job.Value)
	table.apply(jaycell.StateKey(id), jaycell.EncodeState(jaytask.Completed, long))
	table.replace(nil)
	_, ok := table.get(id)
	assert.Assert(t, !ok)
}

func TestReplaceTellsANewJobFromADeletedOne(t *testing.T) {
	controller, _ := newLeader(true)
	table := controller.jobs
	for _, r := range []jaystore.StoredRecord{jobRecord(t, id), {Record: cancelRecord(id, time.UnixMilli(1))}, stateRecord(id, jaytask.Canceled)} {
		table.apply(r.Key, r.Value)
	}
	table.replace([]jaystore.StoredRecord{jobRecordAt(t, id, time.Now())})
	row, ok := table.get(id)
	assert.Assert(t, ok)
	assert.Equal(t, row.callerState(), jaytask.Queued)
}

// Guards against completed jobs that run again: a job that was stored twice was taken for another
// one when the history of the topic was lost.
func TestReplaceKeepsAJobThatWasStoredTwice(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		// kept is the record that the table has, which came before its state.
		kept  time.Time
		state jaytask.State
		want  jaytask.State
		// begun is set if the cell knows the job.
		begun bool
	}{
		{"first record kept, completed", now.Add(-8 * time.Second), jaytask.Completed, jaytask.Completed, false},
		{"second record kept, completed", now.Add(-6 * time.Second), jaytask.Completed, jaytask.Completed, false},
		{"stored again after its end", now.Add(-8 * time.Second), jaytask.Failed, jaytask.Failed, false},
		{"running", now.Add(-8 * time.Second), jaytask.Running, jaytask.Running, true},
		{"queued", now.Add(-8 * time.Second), 0, jaytask.Queued, true},
	} {
		for _, newest := range []time.Duration{-7 * time.Second, -time.Second, 0} {
			t.Run(fmt.Sprintf("%s, newest record %s", c.name, newest), func(t *testing.T) {
				controller, l := newLeader(true)
				job := jobRecordAt(t, id, c.kept)
				if !c.begun {
					// The term began after the job's end.
					controller.leadership = nil
				}
				controller.jobs.apply(job.Key, job.Value)
				if c.state > 0 {
					controller.jobs.apply(jaycell.StateKey(id), jaycell.EncodeState(c.state, now.Add(-2*time.Second)))
				}
				controller.leadership = l
				reports := 0
				update := controller.jobs.onChanged
				controller.jobs.onChanged = func(id string) { reports++; update(id) }
				controller.jobs.replace([]jaystore.StoredRecord{jobRecordAt(t, id, now.Add(newest))})
				row, ok := controller.jobs.get(id)
				assert.Assert(t, ok)
				assert.Equal(t, row.callerState(), c.want)
				assert.Equal(t, reports, 0, "reported as a new job")
			})
		}
	}
}

// A peer that stood still after it had stored a record sends its copy late.
func TestLateCopyFromAPeerRevivesNoExpiredJob(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name string
		// age is that of the copies, in retentions.
		age  int
		copy func(at time.Time) jaystore.StoredRecord
		// known tells whether the job is known after the copy, want the state of a job
		// accepted under its ID after that.
		known bool
		want  jaytask.State
	}{
		{"late job", 2, func(at time.Time) jaystore.StoredRecord { return jobRecordAt(t, id, at) }, false, jaytask.Queued},
		{"late cancellation", 2, func(at time.Time) jaystore.StoredRecord {
			return jaystore.StoredRecord{Record: cancelRecord(id, at)}
		}, false, jaytask.Queued},
		{"late state", 2, func(at time.Time) jaystore.StoredRecord {
			return jaystore.StoredRecord{Record: jaystore.Record{Key: jaycell.StateKey(id), Value: jaycell.EncodeState(jaytask.Completed, at)}}
		}, false, jaytask.Queued},
		{"job in time", 0, func(at time.Time) jaystore.StoredRecord { return jobRecordAt(t, id, at) }, true, jaytask.Queued},
		{"cancellation in time", 0, func(at time.Time) jaystore.StoredRecord {
			return jaystore.StoredRecord{Record: cancelRecord(id, at)}
		}, false, jaytask.Canceled},
	} {
		t.Run(c.name, func(t *testing.T) {
			controller, _ := newLeader(true)
			at := now.Add(-time.Duration(c.age) * controller.Timing.Retention)
			job := jobRecordAt(t, id, at)
			controller.jobs.apply(job.Key, job.Value)
			controller.jobs.apply(jaycell.StateKey(id), jaycell.EncodeState(jaytask.Completed, at))
			controller.jobs.apply(job.Key, nil)
			late := c.copy(at)
			controller.handleMessage(nil, 0, &jayframe.StoredRecords{Records: []jayframe.StoredRecord{{Key: late.Key, Value: late.Value}}})
			_, ok := controller.jobs.get(id)
			assert.Equal(t, ok, c.known)
			again := jobRecordAt(t, id, now)
			controller.jobs.apply(again.Key, again.Value)
			row, ok := controller.jobs.get(id)
			assert.Assert(t, ok)
			assert.Equal(t, row.callerState(), c.want)
		})
	}
}
