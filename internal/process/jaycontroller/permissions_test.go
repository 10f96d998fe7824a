package jaycontroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
		{"outage of the store", maxOutage, maxOutage + handoverDelay},
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
	assert.Assert(t, tickInterval < maxTickGap)
}
