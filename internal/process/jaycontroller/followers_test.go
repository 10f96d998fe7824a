package jaycontroller

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// answeringEntry is an entry that is linked to a cutLeader. It answers whom it follows while
// answers is set.
type answeringEntry struct {
	link    *jaylink.Link
	answers atomic.Bool
}

func (f *cutLeader) follow(address string, incarnation uint64) *answeringEntry {
	e := &answeringEntry{}
	e.answers.Store(true)
	endpoint := &jaylink.Endpoint{Name: "entry-3", Incarnation: incarnation, Timing: jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout}, MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} }}
	endpoint.Handler = func(l *jaylink.Link, _ uint64, m jayframe.Message) {
		if ask, ok := m.(*jayframe.CellAsk); ok && e.answers.Load() {
			_ = l.Send(&jayframe.CellFollow{Term: 1, AskedNanos: ask.AskedNanos})
		}
	}
	link, _, err := endpoint.Dial(f.t.Context(), f.controller.listener.Addr().String(), &jayframe.Hello{Role: jayframe.RoleEntry, Address: address})
	assert.NilError(f.t, err)
	e.link = link
	// The view that entries of earlier versions send.
	assert.NilError(f.t, link.Send(&jayframe.CellView{Term: 1, Leader: "entry-1"}))
	go link.Run(f.t.Context())
	return e
}

// newFollowedLeader returns a leader that the store does not serve, and its only follower; a third
// elector is not in reach.
func newFollowedLeader(t *testing.T) (*cutLeader, *answeringEntry) {
	f := newCutLeader(t)
	f.served.Store(true)
	f.records.Store(true)
	e := f.follow("b:1", 1)
	await(t, "the entries are electors", func() bool {
		f.report(1)
		return len(f.controller.electorsOf(1)) == 3
	})
	f.served.Store(false)
	f.records.Store(false)
	f.report(2 * int(isolationTimeout/(100*time.Millisecond)))
	from := f.sent
	await(t, "a leader that a majority follows grants leases", func() bool { f.report(1); return f.granted.Load() > from })
	return f, e
}

// Guards against a leader that counts an entry which has left for as long as its link is open: the
// leader's own stalls and frames that wait in sockets keep it open for longer than its successor
// waits.
func TestOpenLinkAloneMakesNoFollower(t *testing.T) {
	f, e := newFollowedLeader(t)
	e.answers.Store(false)
	from := f.sent
	f.report(30)
	assert.NilError(t, e.link.Err())
	// One report is sent each 100 ms or later.
	assert.Assert(t, f.granted.Load() <= from+int64(handoverDelay/(100*time.Millisecond)), "report %d was granted a lease; the follower fell silent at %d", f.granted.Load(), from)
}

// Guards against an entry that has forgotten by a restart that it follows a later leader, and
// counts for a former one again.
func TestRestartedEntryDoesNotCountForAFormerLeader(t *testing.T) {
	f, e := newFollowedLeader(t)
	e.link.Close("restart")
	f.report(15)
	from := f.sent
	f.follow("b:1", 2)
	f.report(20)
	assert.Assert(t, f.granted.Load() <= from, "report %d was granted a lease; the follower had restarted at %d", f.granted.Load(), from)
}

func TestAnswersToQuestionsThatWereNotAskedAreIgnored(t *testing.T) {
	c := New(nil)
	l := &jaylink.Link{}
	f := &follower{elector: "b:1/1", asked: []time.Duration{1, 2, 3}}
	c.peers[l] = f
	for _, x := range []struct {
		name    string
		askedAt int64
		askedTo time.Duration
	}{
		{"never asked, from the future", int64(time.Hour), 0},
		{"negative", -1, 0},
		{"asked second", 2, 2},
		{"asked first, late", 1, 2},
		{"repeated", 2, 2},
		{"asked last", 3, 3},
	} {
		t.Run(x.name, func(t *testing.T) {
			before := unaskedAnswers.Get()
			was := f.askedAt
			f.reported = true
			c.recordAnswer(l, &jayframe.CellFollow{Term: 1, AskedNanos: x.askedAt})
			assert.Equal(t, f.askedAt, x.askedTo)
			assert.Equal(t, unaskedAnswers.Get() > before, f.askedAt == was)
		})
	}
	c.recordAnswer(&jaylink.Link{}, &jayframe.CellFollow{Term: 1, AskedNanos: 3})
}

// Guards against entries of an earlier version that are not counted as followers and not logged.
func TestEntryThatAnswersNothingIsReportedOnce(t *testing.T) {
	c := New(nil)
	for _, x := range []struct {
		name string
		// answersFrom is the question from which on all are answered, zero if none is.
		answersFrom int
		reported    int
	}{
		{"answers nothing", 0, 1},
		{"answers all", 1, 0},
		{"answers late", silentQuestions, 0},
		{"answers after it has been reported", silentQuestions + 2, 1},
	} {
		t.Run(x.name, func(t *testing.T) {
			l, f, reported := &jaylink.Link{}, &follower{}, 0
			c.peers[l] = f
			for n := 1; n <= 4*maxOpenQuestions; n++ {
				if f.ask(time.Duration(n)) {
					reported++
				}
				if x.answersFrom > 0 && n >= x.answersFrom {
					c.recordAnswer(l, &jayframe.CellFollow{Term: 1, AskedNanos: int64(n)})
				}
			}
			assert.Equal(t, reported, x.reported)
			assert.Assert(t, len(f.asked) <= maxOpenQuestions)
		})
	}
}

// Guards against a successor that takes leases for lapsed although it knows of no electors, or of none
// of this version, while a leader of an earlier version may grant them.
func TestPredecessorsThatAreNotKnownAreWaitedFor(t *testing.T) {
	three := []string{electorID("a:1", 1), electorID("b:1", 1), electorID("c:1", 1)}
	for _, x := range []struct {
		name     string
		term     uint64
		electors []string
		follow   []string
		after    time.Duration
		ceased   bool
	}{
		{"first term", firstTerm, nil, nil, 0, true},
		{"no record", 2, nil, three, 0, false},
		{"no record, after the longest outage", 2, nil, nil, maxOutage + 1, false},
		{"no record, after the wait for it", 2, nil, nil, outageWait + 1, true},
		{"names of an earlier version", 2, []string{"entry-1", "entry-2"}, three, 0, false},
		{"nothing stored by a leader of this version", 2, []string{}, nil, 0, true},
		{"half follow", 2, three[:2], three[:1], 0, true},
		{"fewer than half follow", 2, three, three[:1], 0, false},
		{"more than half follow", 2, three, three[1:], 0, true},
		{"an earlier life follows", 2, []string{electorID("b:1", 2), electorID("c:1", 2), electorID("a:1", 1)}, three[:1], 0, false},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := New(nil)
			l := newLeadership(c, x.term)
			for _, e := range x.follow {
				l.followedAt[e] = l.beganAt + 1
			}
			assert.Equal(t, l.predecessorsHaveCeased(x.electors, l.beganAt+x.after), x.ceased)
		})
	}
}

// A process at an address ends before another one accepts links there.
func TestAnswerOfAnotherLifeExcludesAnElector(t *testing.T) {
	c := New(nil)
	c.Address, c.Incarnation = "a:1", 1
	l := newLeadership(c, 2)
	electors := []string{electorID("a:1", 1), electorID("b:1", 1), electorID("c:1", 1), electorID("d:1", 1), electorID("e:1", 1)}
	c.peers[&jaylink.Link{}] = &follower{elector: electorID("b:1", 2), term: 1, askedAt: l.beganAt + 1}
	// Asked before this term began.
	c.peers[&jaylink.Link{}] = &follower{elector: electorID("c:1", 2), term: 1, askedAt: l.beganAt - 1}
	// The same life follows an earlier leader.
	c.peers[&jaylink.Link{}] = &follower{elector: electorID("d:1", 1), term: 1, askedAt: l.beganAt + 1}
	l.noteAnswers(l.beganAt + 2)
	for i, want := range []bool{true, true, false, false, false} {
		assert.Equal(t, l.followsNoOther(electors[i]), want, electors[i])
	}
	assert.Assert(t, !l.predecessorsHaveCeased(electors, l.beganAt+2))
	c.peers[&jaylink.Link{}] = &follower{elector: electorID("e:1", 1), term: 2, askedAt: l.beganAt + 1}
	l.noteAnswers(l.beganAt + 2)
	assert.Assert(t, l.predecessorsHaveCeased(electors, l.beganAt+2))
	assert.Assert(t, l.followsNoOther(electorID("a:1", 2)), "a former life of the leader")
}

// Guards against electors that are out of date: a leader of an earlier version has led since they were
// stored, and grants leases by another measure.
func TestClaimTellsWhetherAnotherVersionMayHaveLed(t *testing.T) {
	for _, x := range []struct {
		name    string
		newest  claim
		missing uint64
		want    claim
	}{
		{"first term", claim{}, 0, claim{term: 1}},
		{"no claim by this version", claim{}, 4, claim{term: 5, unknownLeaders: true}},
		{"claim of the term before", claim{term: 4}, 4, claim{term: 5}},
		{"a term of another version between", claim{term: 3}, 4, claim{term: 5, unknownLeaders: true}},
		{"its successor has not stored electors", claim{term: 4, unknownLeaders: true}, 4, claim{term: 5, unknownLeaders: true}},
	} {
		t.Run(x.name, func(t *testing.T) {
			assert.Equal(t, x.newest.next(x.missing), x.want)
			decoded, err := decodeClaim(x.want.encode())
			assert.NilError(t, err)
			assert.Equal(t, decoded, x.want)
			c := New(nil)
			c.electors = []string{"b:1/1"}
			c.applyCellRecord(jaystore.StoredRecord{Record: jaystore.Record{Key: claimKey, Value: x.want.encode()}})
			assert.Equal(t, c.electorsOf(x.want.term) != nil, !x.want.unknownLeaders)
			assert.Assert(t, c.electorsOf(x.want.term+1) == nil, "the electors of another claim")
		})
	}
}

// Guards against a handover that ends at once since nothing is known of the electors.
func TestUnreadableElectorsAreNotExcluded(t *testing.T) {
	c := New(nil)
	c.applyCellRecord(jaystore.StoredRecord{Record: jaystore.Record{Key: electorsKey, Value: []byte{0xff}}})
	c.applyCellRecord(jaystore.StoredRecord{Record: jaystore.Record{Key: claimKey, Value: claim{term: 2}.encode()}})
	l := newLeadership(c, 2)
	l.noteAnswers(l.beganAt + 1)
	assert.Assert(t, !l.predecessorsHaveCeased(c.electorsOf(2), l.beganAt+2))
}

func TestClaimIsStoredWithItsTerm(t *testing.T) {
	store, entries := newLinkedEntries(t, 2)
	page, err := store.newest(context.Background(), "cell", "")
	assert.NilError(t, err)
	for i, r := range page.Records {
		if r.Key == TermKey {
			assert.Equal(t, page.Records[i+1].Key, claimKey)
			c, err := decodeClaim(page.Records[i+1].Value)
			assert.NilError(t, err)
			assert.Equal(t, c, claim{term: firstTerm})
			break
		}
	}
	await(t, "both entries are electors", func() bool {
		electors := entries[0].electorsOf(entries[0].Term().Number())
		return len(electors) == 2 && electors[0] != electors[1]
	})
}
