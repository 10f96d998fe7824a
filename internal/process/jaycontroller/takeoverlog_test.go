package jaycontroller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// loggedLines returns the logged lines of an event.
func loggedLines(t *testing.T, log *bytes.Buffer, event string) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for _, raw := range bytes.Split(bytes.TrimSpace(log.Bytes()), []byte("\n")) {
		var line map[string]any
		assert.NilError(t, json.Unmarshal(raw, &line))
		if line["event"] == event {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against a takeover whose log does not tell what was found: then it is unknown why a job
// ran again under a later leader.
func TestTakeoverLogsWhatItFound(t *testing.T) {
	unknownID := func(i int) string { return fmt.Sprintf("%016d", i) }
	const completed, running, late = "aaaaaaaaaaaaaaaa", "bbbbbbbbbbbbbbbb", "cccccccccccccccc"
	pages := map[string][]jaystore.StoredRecord{
		"jobs": {jobRecord(t, completed), jobRecord(t, running)},
		"runs": {stateRecord(completed, jaytask.Completed), stateRecord(running, jaytask.Running)},
	}
	for i := range maxLoggedJobs + 2 {
		pages["runs"] = append(pages["runs"], stateRecord(unknownID(i), jaytask.Completed))
	}
	c, l := newLeader(false)
	log := &bytes.Buffer{}
	c.Logger = zerolog.New(log)
	*c.storeClient = jaystore.Client{
		Append: c.storeClient.Append,
		Newest: func(_ context.Context, topic, _ string) (jaystore.Page, error) {
			return jaystore.Page{Records: pages[topic], End: 3}, nil
		},
		Read: func(context.Context, string, uint64, time.Duration) (jaystore.ReadResult, error) {
			return jaystore.ReadResult{Next: 3, End: 3}, nil
		},
	}
	c.standby = jaystore.Standby{Number: 1, Topic: "runs-standby-1", Open: true}
	assert.NilError(t, l.load(t.Context(), l.newRunsWriter()))

	deciding := loggedLines(t, log, "term")
	assert.Equal(t, len(deciding), 1)
	for field, want := range map[string]any{"runs": 0.0, "unfinished_jobs": 1.0, "states": 2.0, "unknown_states": float64(maxLoggedJobs + 2), "standby": "runs-standby-1"} {
		assert.Equal(t, deciding[0][field], want, field)
	}
	deleted := loggedLines(t, log, "record")
	assert.Equal(t, len(deleted), 1)
	assert.Equal(t, deleted[0]["states"], float64(maxLoggedJobs+2))
	assert.Equal(t, len(deleted[0]["jobs"].([]any)), maxLoggedJobs)
	assert.Equal(t, deleted[0]["jobs_read_to"], 3.0)

	for _, id := range []string{running, late, late} {
		job := jobRecordAt(t, id, time.Now().Add(-time.Second))
		c.jobs.apply(job.Key, job.Value)
		c.updateInCell(id)
	}
	added := loggedLines(t, log, "job")
	assert.Equal(t, len(added), 1)
	assert.Equal(t, added[0]["job"], late)
	assert.Equal(t, added[0]["outcome"], "new in this term")
	assert.Assert(t, added[0]["age_ms"].(float64) >= 1000)
}
