package jaycontroller

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// A new leader reads jobs and runs side by side, since a slow store takes a large part of
// a second for each: here the runs are answered once the jobs have been asked for.
func TestLeaderReadsJobsAndRunsSideBySide(t *testing.T) {
	jobsRead := make(chan struct{})
	client := &jaystore.Client{
		Append: func(context.Context, jaystore.Append) (uint64, error) { return 0, nil },
		Newest: func(ctx context.Context, topic, _ string) (jaystore.Page, error) {
			if topic == "jobs" {
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
	c := &Controller{Topics: Topics{Jobs: "jobs", Runs: "runs"}, storeClient: client}
	c.jobs = newJobTable(c.Logger)
	c.jobsTail = &jaystore.Tail{Client: client, Topic: "jobs", Replace: c.jobs.replace, OnError: func(error) {}}
	l := newLeadership(c, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	assert.NilError(t, l.load(ctx, jaystore.NewTermWriter(client, "runs", producer, 1)))
	assert.Assert(t, l.loaded)
}
