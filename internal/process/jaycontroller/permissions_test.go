package jaycontroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// slowestClock is the rate of the slowest clock that docs/design/permissions.md allows.
const slowestClock = 0.98

// onSlowClock returns how long a duration takes that is measured by the slowest clock.
func onSlowClock(d time.Duration) time.Duration { return time.Duration(float64(d) / slowestClock) }

// Guards against a permission to grant leases that outlasts the wait of a successor, by the
// constants alone: sum A of docs/design/permissions.md.
func TestSuccessorOutwaitsEarlierLeaders(t *testing.T) {
	for _, c := range []struct {
		name          string
		granted, wait time.Duration
	}{
		{"read of the term", isolationTimeout, handoverDelay},
		{"answers of the electors", followTimeout, handoverDelay},
		{"outage of the store", maxOutage, outageWait + handoverDelay},
		{"outage of the store, leader of the version before", maxOutage + maxPause, outageWait + handoverDelay},
	} {
		assert.Assert(t, onSlowClock(c.granted) < c.wait, "%s: %s on a slow clock, the successor waits %s", c.name, onSlowClock(c.granted), c.wait)
	}
	// What standing grants is what the sums are made of.
	atBest := standing{termKnownAt: time.Minute, followedSince: 2 * time.Minute, followed: true}
	assert.Equal(t, atBest.grantsUntil(), time.Minute+maxOutage)
	assert.Equal(t, standing{termKnownAt: time.Minute, followedSince: time.Minute, followed: true}.grantsUntil(), time.Minute+max(isolationTimeout, followTimeout))
	assert.Equal(t, standing{termKnownAt: time.Minute}.grantsUntil(), time.Minute+isolationTimeout)
}

// Guards against a leader that stops granting leases when it loses the store, although its
// electors follow it: it must have asked them, and have looked again, before the read is too old.
func TestElectorsAreAskedBeforeTheTermIsTooOld(t *testing.T) {
	assert.Assert(t, leaderTermPollWait+tickInterval < termAgeToAsk, "a leader in reach of the store would ask all the time")
	assert.Assert(t, termAgeToAsk+urgentQuestionInterval+2*tickInterval < isolationTimeout)
	assert.Assert(t, urgentQuestionInterval+2*tickInterval < followTimeout, "answers would be too old before the next question")
	assert.Assert(t, 2*questionInterval < electorTimeout, "an entry that follows would be removed from the electors")
	assert.Assert(t, tickInterval < maxPause)
	assert.Assert(t, 2*pauseCheckInterval < maxPause)
}

// Guards against a former leader that grants leases again once it reads the store: the read that
// shows a higher term told it that the topic was read, and reports reach the leadership until its
// loop has returned.
func TestEndedLeadershipGrantsNothing(t *testing.T) {
	entry, l := newLeader(true)
	entry.Name, entry.term = "entry-1", Term{number: 1, leader: "entry-1"}
	topic := &cellTopic{}
	topic.add(jaystore.Record{Key: TermKey, Value: entry.term.encode()})
	*entry.storeClient = topic.client()
	mayGrant := func() bool {
		assert.NilError(t, entry.cellTail.Refresh(t.Context()))
		l.checkStanding()
		l.mutex.Lock()
		defer l.mutex.Unlock()
		l.pauses.reset()
		return l.mayGrant()
	}
	assert.Assert(t, mayGrant())
	l.standing = standing{}
	topic.add(jaystore.Record{Key: TermKey, Value: Term{number: 2, leader: "entry-2"}.encode()})
	assert.Assert(t, !mayGrant(), "the leadership of term 1 grants leases, the entry follows term %d", entry.Term().Number())
}

// Guards against a leader that was overtaken while it read, and acknowledges the end of a run that it
// does not know: its successor would take the run for one that never began.
func TestUnwrittenBatchAcknowledgesEndsOnlyWhileLeasesMayBeGranted(t *testing.T) {
	stop, acknowledge := jaycell.Order{Kind: jaycell.OrderStop}, jaycell.Order{Kind: jaycell.OrderAcknowledge}
	for _, c := range []struct {
		name              string
		mayGrant, written bool
		want              []jaycell.Order
	}{
		{"written", false, true, []jaycell.Order{stop, acknowledge}},
		{"not written, leases may be granted", true, false, []jaycell.Order{stop, acknowledge}},
		{"not written, nothing tells that the term is the newest", false, false, []jaycell.Order{stop}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, l := newLeader(true)
			l.pauses.reset()
			if c.mayGrant {
				l.standing.termKnownAt = jayclock.Elapsed()
			} else {
				l.standing.termKnownAt = jayclock.Elapsed() - isolationTimeout
			}
			orders := l.confirmStored(&jaycell.Batch{Orders: []jaycell.Order{stop, acknowledge}}, c.written)
			assert.DeepEqual(t, orders, c.want)
		})
	}
}
