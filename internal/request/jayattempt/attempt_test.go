package jayattempt

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := NewID(Incarnation(rapid.Uint64().Draw(t, "origin")), rapid.Uint64().Draw(t, "counter"))
		back, err := ParseID(i.String())
		assert.NilError(t, err)
		assert.Equal(t, back, i)
	})
}

func TestParseIDRejectsInvalidInput(t *testing.T) {
	for _, s := range []string{"", "x", "1-2", "00000000000000zz-1", "0000000000000001-01", "0000000000000001-1 "} {
		_, err := ParseID(s)
		assert.ErrorContains(t, err, "want origin-counter")
	}
}

// TestFinalStatesStayFinal applies random transitions: an answered or refused
// attempt keeps its state, and NeverRan is false for any attempt that ran.
func TestFinalStatesStayFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(NewID(1, 1))
		ran := false
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			before := a.State()
			to := State(rapid.IntRange(0, int(Unknown)).Draw(t, "to"))
			err := a.Transition(to)
			if before == Answered || before == Refused {
				assert.Assert(t, err != nil)
				assert.Equal(t, a.State(), before)
			}
			ran = ran || a.State() == Answered
			if a.NeverRan() {
				assert.Assert(t, !ran)
			}
		}
	})
}
