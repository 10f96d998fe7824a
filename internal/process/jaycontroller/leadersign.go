package jaycontroller

import (
	"context"
	"time"
)

const (
	// maxDecidingMisses is how many checks an entry leaves the term to a leader that it cannot reach
	// and that goes on storing records. One that nobody reaches places no more tasks once all
	// reports are old, so that it is replaced sooner.
	maxDecidingMisses = 40
	// minSignTimeout bounds a read of the leader's topic, longer while the store is slow. The first read
	// of an absence has ended by the claim, so that a topic that does not answer delays none.
	minSignTimeout = 200 * time.Millisecond
)

// leaderSign tells whether a leader to which this entry has no link stores records meanwhile. One
// that accepts links slowly, or to which a single entry has lost its link, still decides.
type leaderSign struct {
	term uint64
	// misses counts the checks of this absence.
	misses int
	// latest has the outcome of the latest read of the leader's topic, nil if nothing was read.
	latest <-chan topicEnd
}

// topicEnd is the end of a topic, unless the read has failed.
type topicEnd struct {
	offset uint64
	known  bool
}

// observe records one check. absent reports that the leader of the term cannot be reached, but may
// still decide.
func (s *leaderSign) observe(ctx context.Context, c *Controller, term uint64, absent bool) {
	if !absent || term != s.term {
		*s = leaderSign{term: term}
	}
	if !absent {
		return
	}
	s.misses++
	if s.latest == nil {
		s.latest = c.readRunsEnd(ctx)
	}
}

// compare begins to compare the end of the leader's topic with the one that was read before. The
// function that it returns reports whether the leader has stored records in between.
func (s *leaderSign) compare(ctx context.Context, c *Controller) func() bool {
	if s.latest == nil {
		return func() bool { return false }
	}
	before := <-s.latest
	s.latest = nil
	if !before.known || s.misses > maxDecidingMisses {
		return func() bool { return false }
	}
	read := c.readRunsEnd(ctx)
	return func() bool {
		now := <-read
		latest := make(chan topicEnd, 1)
		latest <- now
		s.latest = latest
		return now.known && now.offset > before.offset
	}
}

// readRunsEnd reads the end of the leader's topic.
func (c *Controller) readRunsEnd(ctx context.Context) <-chan topicEnd {
	end := make(chan topicEnd, 1)
	c.tasks.Go(func() {
		call, cancel := context.WithTimeout(ctx, max(minSignTimeout, c.storeTransport.HedgeDelay()))
		defer cancel()
		result, err := c.storeClient.Read(call, c.Topics.Runs, c.runsTail.NextOffset(), 0)
		end <- topicEnd{offset: result.End, known: err == nil}
	})
	return end
}
