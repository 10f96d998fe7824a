package jaycontroller

import (
	"context"
	"errors"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

const (
	// leaderAppendDelay is how long the leader may take to store the records of an entry
	// before the entry stores them itself as well: a frozen leader's link is closed by then.
	leaderAppendDelay = time.Second
	// putReplyMargin is the part of the time for a record that is kept for the reply.
	putReplyMargin = 100 * time.Millisecond
)

// The store appends to a topic one call after the other. In a slow store, where that takes a
// quarter of a second, the records of dozens of entries would wait for seconds, and each
// entry would send its own further tries. So entries pass their records to the leader, which
// stores those of all in one append.

// linkToLeader returns the link to the leader, or nil.
func (c *Controller) linkToLeader() *jaylink.Link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaderLink
}

// minAppendDelay returns how long an append of records of jobs may take before its second
// try.
func (c *Controller) minAppendDelay() time.Duration {
	if c.linkToLeader() == nil {
		return 0
	}
	return leaderAppendDelay
}

// appendJobs stores records of jobs through the leader, and itself if there is none or it
// does not say that they are stored. Such appends are idempotent.
func (c *Controller) appendJobs(ctx context.Context, a jaystore.Append) (uint64, error) {
	l := c.linkToLeader()
	if l == nil {
		return c.storeClient.Append(ctx, a)
	}
	if a.Try > 1 {
		a.Try--
		return c.storeClient.Append(ctx, a)
	}
	m := &jayframe.PutRecords{WaitMillis: (maxPutWait - putReplyMargin).Milliseconds()}
	if deadline, ok := ctx.Deadline(); ok {
		m.WaitMillis = min(m.WaitMillis, (time.Until(deadline) - putReplyMargin).Milliseconds())
	}
	for _, r := range a.Records {
		m.Records = append(m.Records, jayframe.StoredRecord{Key: r.Key, Value: r.Value})
	}
	message, err := l.Call(ctx, m)
	reply, ok := message.(*jayframe.PutReply)
	if ok && reply.Stored {
		return 0, nil
	}
	c.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("the leader has not stored records of jobs; storing them here")
	end, err := c.storeClient.Append(ctx, a)
	var refused *jaystore.RefusedError
	if errors.As(err, &refused) && (!ok || reply.Unknown) {
		// The leader may yet store them, so this refusal does not prove that they are not.
		return 0, &jaystore.NoAnswerError{Operation: "append", Cause: "refused here, open at the leader"}
	}
	return end, err
}

// servePut stores the records of another entry with this leader's own.
func (c *Controller) servePut(l *jaylink.Link, call uint64, m *jayframe.PutRecords) {
	reply := &jayframe.PutReply{}
	if c.currentLeadership() != nil {
		missing, unknown := c.putAll(m.Records, time.Now().Add(time.Duration(m.WaitMillis)*time.Millisecond))
		reply.Stored, reply.Unknown = !missing, unknown
	}
	if err := l.Reply(call, reply); err != nil {
		c.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("cannot tell an entry whether its records are stored")
	}
}

// putAll stores records and returns whether some are not known to be stored, and whether some
// of these may be.
func (c *Controller) putAll(records []jayframe.StoredRecord, deadline time.Time) (missing, unknown bool) {
	outcomes := make([]error, len(records))
	var wg conc.WaitGroup
	for i, r := range records {
		wg.Go(func() { outcomes[i] = c.jobsAppender.Put(jaystore.Record{Key: r.Key, Value: r.Value}, deadline) })
	}
	wg.Wait()
	for i, err := range outcomes {
		var refused *jaystore.NotStoredError
		missing = missing || err != nil
		unknown = unknown || err != nil && !errors.As(err, &refused)
		if r := records[i]; err == nil && len(r.Value) > 0 {
			c.jobs.applyCopy(r.Key, r.Value)
		}
	}
	return missing, unknown
}
