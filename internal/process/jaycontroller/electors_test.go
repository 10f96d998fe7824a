package jaycontroller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// memoryStore is a store in memory whose topics keep all records.
type memoryStore struct {
	mutex  sync.Mutex
	topics map[string][]jaystore.StoredRecord
}

func (s *memoryStore) append(_ context.Context, a jaystore.Append) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	end := uint64(len(s.topics[a.Topic]))
	if a.ExpectedEnd != nil && *a.ExpectedEnd != end {
		return 0, &jaystore.EndMismatchError{End: end}
	}
	for i, r := range a.Records {
		s.topics[a.Topic] = append(s.topics[a.Topic], jaystore.StoredRecord{Record: r, Offset: end + uint64(i)})
	}
	return end, nil
}

func (s *memoryStore) newest(_ context.Context, topic, _ string) (jaystore.Page, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := s.topics[topic]
	return jaystore.Page{Records: append([]jaystore.StoredRecord(nil), all...), End: uint64(len(all))}, nil
}

func (s *memoryStore) read(ctx context.Context, topic string, from uint64, wait time.Duration) (jaystore.ReadResult, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		s.mutex.Lock()
		all := s.topics[topic]
		s.mutex.Unlock()
		if end := uint64(len(all)); end > from || ctx.Err() != nil || !time.Now().Before(deadline) {
			return jaystore.ReadResult{Records: append([]jaystore.StoredRecord(nil), all[min(from, end):]...), Next: end, End: end}, ctx.Err()
		}
	}
}

// storedEntry is an entry that runs over a memoryStore, which serves it unless cut is set.
type storedEntry struct {
	*Controller
	cut atomic.Bool
}

func (e *storedEntry) reach() error {
	if e.cut.Load() {
		time.Sleep(10 * time.Millisecond)
		return errors.New("cut off")
	}
	return nil
}

func newStoredEntry(t *testing.T, store *memoryStore, name string) *storedEntry {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &storedEntry{Controller: New(listener)}
	e.Name, e.Address, e.Incarnation = name, listener.Addr().String(), 1
	e.Topics = Topics{Operator: "operator", Cell: "cell", Jobs: "jobs", Runs: "runs", ConfigKey: "config"}
	e.Timing.Lease, e.Timing.Retention = 6*time.Second, time.Minute
	e.CallStore = func(context.Context, jaystore.Request) (jaystore.Response, error) {
		return jaystore.Response{Status: 200}, e.reach()
	}
	e.NewStoreClient = func(func(context.Context, jaystore.Request) (jaystore.Response, error)) *jaystore.Client {
		return &jaystore.Client{
			Append: func(ctx context.Context, a jaystore.Append) (uint64, error) {
				if err := e.reach(); err != nil {
					return 0, err
				}
				return store.append(ctx, a)
			},
			Newest: func(ctx context.Context, topic, after string) (jaystore.Page, error) {
				if err := e.reach(); err != nil {
					return jaystore.Page{}, err
				}
				return store.newest(ctx, topic, after)
			},
			Read: func(ctx context.Context, topic string, from uint64, wait time.Duration) (jaystore.ReadResult, error) {
				if err := e.reach(); err != nil {
					return jaystore.ReadResult{}, err
				}
				result, err := store.read(ctx, topic, from, wait)
				if cut := e.reach(); cut != nil {
					return jaystore.ReadResult{}, cut
				}
				return result, err
			},
		}
	}
	e.Prepare()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = e.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return e
}

// await waits until a condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(20*time.Millisecond))
}

// newLinkedEntries starts entries that are all linked to their leader, which comes first.
func newLinkedEntries(t *testing.T, n int) (*memoryStore, []*storedEntry) {
	store := &memoryStore{topics: map[string][]jaystore.StoredRecord{}}
	var entries []*storedEntry
	for i := range n {
		entries = append(entries, newStoredEntry(t, store, fmt.Sprintf("entry-%d", i+1)))
	}
	await(t, "all entries are linked to their leader", func() bool {
		linked, leader := 0, -1
		for i, e := range entries {
			// It takes the lock of the first entry.
			term := entries[0].Term().number
			e.mutex.Lock()
			if e.leadership != nil && len(e.peers) == n-1 {
				leader = i
			}
			if e.leaderLink != nil && e.linkedTerm == term {
				linked++
			}
			e.mutex.Unlock()
		}
		if leader > 0 {
			entries[0], entries[leader] = entries[leader], entries[0]
		}
		return leader >= 0 && linked == n-1
	})
	return store, entries
}

// Guards against two leaders that grant leases at once: one that the store does not serve kept
// half of the other entries, while an entry that none of them was linked to led the next term.
func TestFormerLeaderLearnsOfItsSuccessor(t *testing.T) {
	store, entries := newLinkedEntries(t, 3)
	former, other, successor := entries[0], entries[1], entries[2]
	former.cut.Store(true)
	other.cut.Store(true)
	next := Term{number: former.Term().number + 1, leader: successor.Name, address: successor.Address, incarnation: successor.Incarnation}
	_, err := store.append(t.Context(), jaystore.Append{Topic: "cell", Records: []jaystore.Record{{Key: TermKey, Value: next.encode()}}})
	assert.NilError(t, err)
	await(t, "the former leader follows the next term", func() bool {
		return former.Term().Number() == next.number && former.currentLeadership() == nil
	})
	await(t, "the other entry follows the next term", func() bool { return other.Term().Number() == next.number })
}

// Guards against electors of whom a successor does not know: an append without an answer may
// have stored them, or may store them later.
func TestElectorsWithoutAnAnswerCountUntilTheyAreKnown(t *testing.T) {
	entry, l := newLeader(true)
	entry.Name, entry.Address, entry.Incarnation, entry.term = "entry-1", "a:1", 1, Term{number: 1, leader: "entry-1"}
	three := []string{electorID("a:1", 1), electorID("b:1", 1), electorID("c:1", 1)}
	topic := &cellTopic{}
	topic.add(jaystore.Record{Key: TermKey, Value: entry.term.encode()})
	topic.add(jaystore.Record{Key: electorsKey, Value: encodeElectors(three[:1])})
	topic.add(jaystore.Record{Key: claimKey, Value: claim{term: 1}.encode()})
	*entry.storeClient = topic.client()
	assert.NilError(t, entry.cellTail.Refresh(t.Context()))
	served := entry.storeClient.Append
	entry.storeClient.Append = func(ctx context.Context, a jaystore.Append) (uint64, error) {
		if _, err := served(ctx, a); err != nil {
			return 0, err
		}
		return 0, errors.New("no answer")
	}
	l.handoverEnded = true
	hasMajority := func() bool {
		_, ok := l.majorityFollowsSince(entry.electorsOf(1))
		return ok
	}
	l.followedAt = map[string]time.Duration{three[0]: time.Hour}
	assert.Assert(t, hasMajority())
	l.followedAt = map[string]time.Duration{three[0]: time.Hour, three[1]: time.Hour, three[2]: time.Hour}
	l.updateElectors(t.Context(), time.Hour)
	entry.tasks.Wait()
	l.followedAt = map[string]time.Duration{three[0]: 2 * time.Hour}
	assert.Assert(t, !hasMajority(), "the new electors may be in force")
	// The next try finds that the first one has stored them.
	l.updateElectors(t.Context(), 2*time.Hour)
	entry.tasks.Wait()
	assert.DeepEqual(t, entry.electorsOf(1), three)
	assert.Assert(t, l.nextElectors == nil)
	assert.Equal(t, len(topic.records), 5)
}

// Guards against electors that are changed by a leader that has a successor, or whose
// predecessors may still grant leases.
func TestElectorsAreChangedOnlyByTheLeader(t *testing.T) {
	for _, c := range []struct {
		name          string
		handoverEnded bool
		next          uint64
		changed       bool
	}{
		{"the newest leader", true, 1, true},
		{"earlier leaders may grant leases", false, 1, false},
		{"a higher term has begun", true, 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry, l := newLeader(true)
			entry.Name, entry.term = "entry-1", Term{number: 1, leader: "entry-1"}
			topic := &cellTopic{}
			*entry.storeClient = topic.client()
			assert.NilError(t, entry.cellTail.Refresh(t.Context()))
			topic.add(jaystore.Record{Key: TermKey, Value: Term{number: c.next, leader: "entry-2"}.encode()})
			l.handoverEnded = c.handoverEnded
			l.updateElectors(t.Context(), time.Hour)
			entry.tasks.Wait()
			assert.Equal(t, len(entry.electorsOf(1)) > 0, c.changed)
		})
	}
}
