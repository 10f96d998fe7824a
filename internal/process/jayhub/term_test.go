package jayhub

import (
	"testing"

	"gotest.tools/v3/assert"
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
