package jaycontroller

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a leader that nobody reaches and that holds its term for longer than its followers' leases last.
func TestLeaderOutOfReachIsReplacedWithinTheBound(t *testing.T) {
	for _, c := range []struct {
		name         string
		linkedBefore bool
		threshold    int
		stronger     bool
	}{
		{"lost link", true, minMisses, false},
		{"lost link, jitter", true, minMisses + maxMissJitter, false},
		{"lost link, weaker entry", true, minMisses, true},
		{"never linked", false, minMisses, false},
		{"never linked, jitter", false, minMisses + maxMissJitter, false},
		{"never linked, weaker entry", false, minMisses, true},
		{"never linked, weaker entry, jitter 1", false, minMisses + 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAbsentLeader(t, c.linkedBefore)
			a.election.detector = newFailureDetector(c.threshold)
			a.election.detector.term = 2
			if c.stronger {
				a.entry.Cores = 1
				a.entry.entryCores["entry-3"] = 64
			}
			n := a.checks(200, true)
			t.Logf("claimed after %d checks", n)
			assert.Assert(t, n > 0 && n <= maxDecidingMisses+minMisses, "claimed after %d checks", n)
		})
	}
}
