package jaycontroller

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// absentLeader is an entry that has no link to the leader of term 2.
type absentLeader struct {
	t        *testing.T
	store    *memoryStore
	entry    *Controller
	election *election
}

func newAbsentLeader(t *testing.T, linkedBefore bool) *absentLeader {
	a := &absentLeader{t: t, store: &memoryStore{topics: map[string][]jaystore.StoredRecord{}}, election: &election{detector: newFailureDetector(minMisses)}}
	a.election.detector.term = 2
	a.entry, _ = newLeader(true)
	a.entry.Name, a.entry.leadership = "entry-1", nil
	a.entry.Topics.Cell, a.entry.cellTail.Topic = "cell", "cell"
	*a.entry.storeClient = jaystore.Client{Append: a.store.append, Newest: a.store.newest, Read: a.store.read}
	ctx, cancel := context.WithCancel(t.Context())
	a.entry.ctx = ctx
	t.Cleanup(func() { cancel(); a.entry.tasks.Wait() })
	a.add("cell", TermKey, Term{number: 2, leader: "entry-2", address: "a:1"}.encode())
	assert.NilError(t, a.entry.cellTail.Refresh(ctx))
	if linkedBefore {
		a.entry.linkedTerm = 2
	}
	return a
}

func (a *absentLeader) add(topic, key string, value []byte) {
	_, err := a.store.append(a.t.Context(), jaystore.Append{Topic: topic, Records: []jaystore.Record{{Key: key, Value: value}}})
	assert.NilError(a.t, err)
}

// checks returns after how many checks of at most n the entry claims the next term, zero if it does
// not. A leader that decides stores a record before each.
func (a *absentLeader) checks(n int, decides bool) int {
	for i := range n {
		if decides {
			a.add("runs", "unit", []byte("u"))
		}
		a.entry.checkLeader(a.entry.ctx, a.election)
		if a.entry.Term().number > 2 {
			return i + 1
		}
		if s := a.election.sign.latest; s != nil && len(s) == 0 {
			// The leader's next record comes after the read.
			end := <-s
			again := make(chan topicEnd, 1)
			again <- end
			a.election.sign.latest = again
		}
	}
	return 0
}

// On busy machines each leader was replaced every few seconds, as soon as one entry had lost its link to it or none had been accepted in time.
func TestLeaderThatStoresRecordsIsNotReplacedForLostLinks(t *testing.T) {
	for _, c := range []struct {
		name         string
		linkedBefore bool
		usual        int
	}{
		{"one entry has lost its link", true, minMisses},
		{"no link was accepted in time", false, minMisses + newLeaderMisses},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAbsentLeader(t, c.linkedBefore)
			assert.Equal(t, a.checks(maxDecidingMisses, true), 0, "a leader that decides was replaced")
			a = newAbsentLeader(t, c.linkedBefore)
			assert.Equal(t, a.checks(2*c.usual, true), 0)
			claimedAfter := a.checks(2*c.usual, false)
			assert.Assert(t, claimedAfter > 0 && claimedAfter <= 2*c.usual, "the leader has ceased to store records")
		})
	}
}

// The time from the death of a leader to the next one must not grow.
func TestLeaderThatStoresNothingIsReplacedAsBefore(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*absentLeader)
		decides bool
		checks  int
	}{
		{"nothing stored since the first check", func(*absentLeader) {}, false, minMisses},
		{"its machine refuses connections", func(a *absentLeader) { a.entry.refusedTerm = 2 }, true, minMisses},
		{"an earlier life of this entry", func(a *absentLeader) { a.entry.Name = "entry-2" }, true, 2},
		{"the leader's topic does not answer", func(a *absentLeader) {
			read := a.entry.storeClient.Read
			a.entry.storeClient.Read = func(ctx context.Context, topic string, from uint64, wait time.Duration) (jaystore.ReadResult, error) {
				if topic == "runs" {
					return jaystore.ReadResult{}, errors.New("no answer")
				}
				return read(ctx, topic, from, wait)
			}
		}, true, minMisses},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAbsentLeader(t, true)
			a.add("runs", "unit", []byte("u"))
			c.prepare(a)
			assert.Equal(t, a.checks(maxDecidingMisses, c.decides), c.checks)
		})
	}
}

// A leader that stores records and that nobody reaches would lead forever.
func TestLeaderThatCannotBeReachedIsReplacedInTheEnd(t *testing.T) {
	a := newAbsentLeader(t, true)
	checks := a.checks(2*maxDecidingMisses, true)
	assert.Assert(t, checks > maxDecidingMisses && checks <= maxDecidingMisses+minMisses, "claimed after %d checks", checks)
}
