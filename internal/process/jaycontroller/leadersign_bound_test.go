package jaycontroller

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaystore"
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

// Guards against a claim of the term of a leader to which the entry was linked again while it compared the topic's ends.
func TestLeaderLinkedDuringTheComparisonIsNotReplaced(t *testing.T) {
	a := newAbsentLeader(t, true)
	read, runs := a.entry.storeClient.Read, 0
	a.entry.storeClient.Read = func(ctx context.Context, topic string, from uint64, wait time.Duration) (jaystore.ReadResult, error) {
		if topic == "runs" {
			if runs++; runs == 2 {
				time.Sleep(50 * time.Millisecond)
				a.entry.mutex.Lock()
				a.entry.leaderLink = &jaylink.Link{}
				a.entry.mutex.Unlock()
			}
		}
		return read(ctx, topic, from, wait)
	}
	claims := 0
	a.entry.storeClient.Append = func(context.Context, jaystore.Append) (uint64, error) {
		claims++
		return 0, errors.New("no answer")
	}
	for range minMisses {
		a.entry.checkLeader(a.entry.ctx, a.election)
		time.Sleep(5 * time.Millisecond)
	}
	assert.Equal(t, runs, 2)
	assert.Equal(t, claims, 0, "claimed while linked to the leader")
}
