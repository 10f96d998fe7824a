package jaycontroller

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// cellTopic is the cell's topic in memory.
type cellTopic struct{ records []jaystore.StoredRecord }

func (s *cellTopic) add(r jaystore.Record) {
	s.records = append(s.records, jaystore.StoredRecord{Record: r, Offset: uint64(len(s.records))})
}

func (s *cellTopic) client() jaystore.Client {
	return jaystore.Client{
		Append: func(_ context.Context, a jaystore.Append) (uint64, error) {
			if a.ExpectedEnd != nil && *a.ExpectedEnd != uint64(len(s.records)) {
				return 0, &jaystore.EndMismatchError{End: uint64(len(s.records))}
			}
			for _, r := range a.Records {
				s.add(r)
			}
			return uint64(len(s.records)), nil
		},
		Newest: func(context.Context, string, string) (jaystore.Page, error) {
			return jaystore.Page{Records: s.records, End: uint64(len(s.records))}, nil
		},
		Read: func(_ context.Context, _ string, from uint64, _ time.Duration) (jaystore.ReadResult, error) {
			return jaystore.ReadResult{Records: s.records[from:], Next: uint64(len(s.records)), End: uint64(len(s.records))}, nil
		},
	}
}

// Of a leader and its successor, the successor must know where the records are: an
// announcement comes before the successor's claim, or not at all.
func TestStandbyIsAnnouncedOnlyByTheLeader(t *testing.T) {
	for _, c := range []struct {
		name string
		// meanwhile is what is written to the topic before the announcement.
		meanwhile []jaystore.Record
		announced bool
	}{
		{"nothing else", nil, true},
		{"an entry's address", []jaystore.Record{{Key: entryPrefix + "entry-9", Value: encodeEntry("a:1", 1)}}, true},
		{"the claim of the next term", []jaystore.Record{{Key: TermKey, Value: Term{number: 2, leader: "entry-2"}.encode()}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry, l := newLeader(true)
			entry.term = Term{number: 1, leader: entry.Name}
			topic := &cellTopic{}
			topic.add(jaystore.Record{Key: TermKey, Value: entry.term.encode()})
			*entry.storeClient = topic.client()
			assert.NilError(t, entry.cellTail.Refresh(t.Context()))
			for _, r := range c.meanwhile {
				topic.add(r)
			}
			wanted := jaystore.Standby{Number: 3, Topic: "standby-1", Open: true}
			err := l.announceStandby(t.Context(), wanted)
			var fenced *jaystore.FencedError
			assert.Equal(t, errors.As(err, &fenced), !c.announced, "%v", err)
			successor, _ := newLeader(false)
			*successor.storeClient = topic.client()
			assert.NilError(t, successor.cellTail.Refresh(t.Context()))
			assert.Equal(t, successor.newestStandby() == wanted, c.announced)
		})
	}
}

// Two entries miss the same leader. The one that reads the store later used to claim the
// term after that of the other, which had just begun.
func TestClaimLeavesANewTermToItsLeader(t *testing.T) {
	for _, c := range []struct {
		name    string
		other   bool
		claimed uint64
	}{
		{"nobody has claimed", false, 2},
		{"another entry has claimed", true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry, _ := newLeader(true)
			entry.Name, entry.Incarnation, entry.leadership = "entry-3", 7, nil
			topic := &cellTopic{}
			topic.add(jaystore.Record{Key: TermKey, Value: Term{number: 1, leader: "entry-1"}.encode()})
			*entry.storeClient = topic.client()
			ctx, cancel := context.WithCancel(t.Context())
			entry.ctx = ctx
			t.Cleanup(func() { cancel(); entry.tasks.Wait() })
			assert.NilError(t, entry.cellTail.Refresh(ctx))
			missing := entry.Term()
			if c.other {
				topic.add(jaystore.Record{Key: TermKey, Value: Term{number: 2, leader: "entry-2"}.encode()})
			}
			entry.claimTerm(ctx, missing)
			claimed := uint64(0)
			for _, r := range topic.records {
				if term, err := DecodeTerm(r.Value); err == nil && term.leader == entry.Name {
					claimed = term.number
				}
			}
			assert.Equal(t, claimed, c.claimed)
		})
	}
}
