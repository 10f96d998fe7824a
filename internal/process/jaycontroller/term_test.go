package jaycontroller

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// look is one look of a vigil in a test.
type look struct {
	term     uint64
	missing  bool
	resigned bool
	want     bool
}

func TestVigil(t *testing.T) {
	for _, c := range []struct {
		name  string
		looks []look
	}{
		{"a missing holder is waited for", []look{{term: 1, missing: true}, {term: 1, missing: true}, {term: 1, missing: true, want: true}}},
		{"a holder that is back starts the count anew", []look{{term: 1, missing: true}, {term: 1, missing: true}, {term: 1}, {term: 1, missing: true}, {term: 1, missing: true}}},
		{"a resigned holder is not waited for", []look{{term: 1}, {term: 1, missing: true, resigned: true, want: true}}},
		// At a hand-over every entry took the term from the one that had just got it.
		{"the next holder gets patience", []look{{term: 1}, {term: 1, missing: true, resigned: true, want: true}, {term: 2, missing: true}, {term: 2, missing: true}, {term: 2, missing: true}, {term: 2}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := newVigil(3)
			v.term = c.looks[0].term
			for i, l := range c.looks {
				assert.Equal(t, v.look(Term{number: l.term}, l.missing, l.resigned, false), l.want, "look %d", i)
			}
		})
	}
}

// While a stronger entry is linked, a weaker one leaves the term to it for a while,
// also when the holder resigns, and then takes it all the same.
func TestWeakerEntryYields(t *testing.T) {
	for _, c := range []struct {
		name     string
		own      float64
		peer     string
		resigned bool
		looks    int
	}{
		{"stronger peer", 0.2, "0.8", false, 3 + weakerMisses},
		{"stronger peer, resigned holder", 0.2, "0.8", true, 1 + weakerMisses},
		{"peer of the same strength", 0.4, "0.4", false, 3},
		{"weaker peer, resigned holder", 0.8, "0.2", true, 1},
		{"peer of unknown strength", 0.2, "", false, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := New(nil)
			h.Cores = c.own
			h.peers[nil] = "peer"
			h.applyCell(jaystore.StoredRecord{Record: jaystore.Record{Key: entryPrefix + "peer", Value: []byte("127.0.0.1:1 " + c.peer)}})
			assert.Equal(t, h.entries["peer"], "127.0.0.1:1")
			v := newVigil(3)
			v.term, v.yield = 1, h.yield()
			looks := 1
			for !v.look(Term{number: 1}, true, c.resigned, false) {
				looks++
			}
			assert.Equal(t, looks, c.looks)
		})
	}
}

func TestEntryRecord(t *testing.T) {
	for _, c := range []struct {
		value   string
		address string
		cores   float64
	}{{"a:1 0.4", "a:1", 0.4}, {"a:1", "a:1", 0}, {"a:1 much", "a:1", 0}, {"", "", 0}, {string(entryValue("b:2", 0.192)), "b:2", 0.192}} {
		name, address, cores, ok := DecodeEntry(jaystore.StoredRecord{Record: jaystore.Record{Key: "entry/e", Value: []byte(c.value)}})
		assert.Assert(t, ok)
		assert.Equal(t, name, "e")
		assert.Equal(t, address, c.address)
		assert.Equal(t, cores, c.cores)
	}
}
