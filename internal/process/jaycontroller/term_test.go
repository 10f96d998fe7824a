package jaycontroller

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// observation is one call of failureDetector.observe and its wanted result.
type observation struct {
	term     uint64
	missing  bool
	resigned bool
	want     bool
}

func TestFailureDetector(t *testing.T) {
	for _, c := range []struct {
		name         string
		observations []observation
	}{
		{"the threshold is reached", []observation{{term: 1, missing: true}, {term: 1, missing: true}, {term: 1, missing: true, want: true}}},
		{"a leader that returns resets the count", []observation{{term: 1, missing: true}, {term: 1, missing: true}, {term: 1}, {term: 1, missing: true}, {term: 1, missing: true}}},
		{"a resigned leader is replaced at once", []observation{{term: 1}, {term: 1, missing: true, resigned: true, want: true}}},
		// At a hand-over the other entries used to claim the term from the new leader at once.
		{"the next leader gets the full threshold", []observation{{term: 1}, {term: 1, missing: true, resigned: true, want: true}, {term: 2, missing: true}, {term: 2, missing: true}, {term: 2, missing: true}, {term: 2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			detector := newFailureDetector(3)
			detector.term = c.observations[0].term
			for i, o := range c.observations {
				assert.Equal(t, detector.observe(Term{number: o.term}, o.missing, o.resigned, false), o.want, "observation %d", i)
			}
		})
	}
}

// A weaker entry defers to a stronger one for a limited time, also when the
// leader resigns, and then claims the term.
func TestWeakerEntryDefers(t *testing.T) {
	for _, c := range []struct {
		name     string
		own      float64
		peer     string
		linked   bool
		resigned bool
		checks   int
	}{
		{"stronger peer", 0.2, "0.8", true, false, 3 + weakerEntryMisses},
		{"stronger peer, resigned leader", 0.2, "0.8", true, true, 1 + weakerEntryMisses},
		{"peer of the same strength", 0.4, "0.4", true, false, 3},
		{"weaker peer, resigned leader", 0.8, "0.2", true, true, 1},
		{"peer of unknown strength", 0.2, "", true, false, 3},
		// Entries are linked to the leader only, so they know each other from the store.
		{"stronger entry without a link", 0.2, "0.8", false, false, 3 + weakerEntryMisses},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry := New(nil)
			entry.Cores = c.own
			if c.linked {
				entry.peers[nil] = &follower{name: "peer"}
			}
			entry.applyCellRecord(jaystore.StoredRecord{Record: jaystore.Record{Key: entryPrefix + "peer", Value: []byte("127.0.0.1:1 " + c.peer)}})
			assert.Equal(t, entry.entryAddresses["peer"], "127.0.0.1:1")
			detector := newFailureDetector(3)
			detector.term, detector.deferral = 1, entry.electionDeferral()
			checks := 1
			for !detector.observe(Term{number: 1}, true, c.resigned, false) {
				checks++
			}
			assert.Equal(t, checks, c.checks)
		})
	}
}

// After a restart of all entries, each new leader was busy with the links of all others when
// the next one claimed the term: thirteen terms in two and a half seconds.
func TestNewLeaderIsGivenTimeToAcceptLinks(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*Controller)
		// checks is how many misses lead to a claim.
		checks int
	}{
		{"never linked", func(*Controller) {}, 3 + newLeaderMisses},
		{"linked before", func(c *Controller) { c.linkedTerm = 2 }, 3},
		{"linked to the leader of an earlier term", func(c *Controller) { c.linkedTerm = 1 }, 3 + newLeaderMisses},
		{"its machine refuses connections", func(c *Controller) { c.refusedTerm = 2 }, 3},
		{"an earlier life of this entry", func(c *Controller) { c.term.leader = c.Name }, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry := New(nil)
			entry.Name, entry.term = "entry-1", Term{number: 2, leader: "entry-2"}
			c.prepare(entry)
			detector := newFailureDetector(3)
			detector.term, detector.grace = 2, entry.newLeaderGrace()
			checks := 1
			for !detector.observe(entry.term, true, false, false) {
				checks++
			}
			assert.Equal(t, checks, c.checks)
		})
	}
}

// No process listens at the address of a leader that has been killed.
func TestRefusedConnectionEndsTheGrace(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	entry, _ := newLeader(true)
	entry.term = Term{number: 2, leader: "entry-2", address: address}
	assert.Equal(t, entry.newLeaderGrace(), newLeaderMisses)
	assert.Assert(t, !entry.serveLeaderLink(t.Context(), entry.term))
	assert.Equal(t, entry.newLeaderGrace(), 0)
}

func TestDecodeEntry(t *testing.T) {
	for _, c := range []struct {
		value   string
		address string
		cores   float64
	}{{"a:1 0.4", "a:1", 0.4}, {"a:1", "a:1", 0}, {"a:1 much", "a:1", 0}, {"", "", 0}, {string(encodeEntry("b:2", 0.192)), "b:2", 0.192}} {
		name, address, cores, ok := DecodeEntry(jaystore.StoredRecord{Record: jaystore.Record{Key: "entry/e", Value: []byte(c.value)}})
		assert.Assert(t, ok)
		assert.Equal(t, name, "e")
		assert.Equal(t, address, c.address)
		assert.Equal(t, cores, c.cores)
	}
}

// A resignation may come before its term or the link to the leader, or during a claim that outlasts the next dial.
func TestResignationIsRemembered(t *testing.T) {
	link := func(c *Controller) { c.leaderLink = &jaylink.Link{} }
	term := func(c *Controller) { c.setTerm(Term{number: 3, leader: "other"}) }
	resign := func(c *Controller) { c.handleResignation(3) }
	for _, c := range []struct {
		name  string
		steps []func(*Controller)
		want  bool
	}{
		{"before the term", []func(*Controller){resign, term, link}, true},
		{"before the link", []func(*Controller){term, resign, link}, true},
		{"none", []func(*Controller){term, link}, false},
		{"of an earlier term", []func(*Controller){term, func(c *Controller) { c.handleResignation(2) }, link}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			entry, _ := newLeader(true)
			entry.leadership = nil
			assert.NilError(t, entry.cellTail.Refresh(t.Context()))
			for _, step := range c.steps {
				step(entry)
			}
			detector := newFailureDetector(3)
			detector.term = 3
			assert.Equal(t, detector.observe(entry.Term(), entry.mayClaimTerm(), entry.hasResigned(3), false), c.want)
		})
	}
}
