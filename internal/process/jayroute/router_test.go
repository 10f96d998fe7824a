package jayroute

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func router(runners int) *Router {
	r := New("near", 1)
	for i := range runners {
		r.Add(fmt.Sprintf("r%d", i), "near", 8)
	}
	return r
}

// TestSlotsAreNeverExceeded sends and ends requests at random.
func TestSlotsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := router(3)
		now := time.Duration(0)
		out := map[string]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pass")) * time.Millisecond
			if rapid.Bool().Draw(t, "send") {
				if name := r.Pick(now, nil); name != "" {
					out[name]++
				}
			} else {
				name := fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "runner"))
				if out[name] > 0 {
					out[name]--
					r.Done(name, Result(rapid.IntRange(0, 3).Draw(t, "result")), time.Millisecond, now)
				}
			}
			for name, n := range out {
				assert.Assert(t, n <= 8 && r.Runner(name).Outstanding() == n)
			}
			assert.Assert(t, r.Ejected(now) <= 1, "more than a third of three runners is out")
		}
	})
}

func TestFailingRunnerIsEjectedAndComesBackGently(t *testing.T) {
	r := router(3)
	for range failuresToEject {
		r.Done("r0", Failed, 0, 0)
	}
	for range 8 {
		name := r.Pick(0, nil)
		assert.Assert(t, name != "r0" && name != "")
	}
	later := time.Minute
	back := 0
	for range 20 {
		if r.Pick(later, map[string]bool{"r1": true, "r2": true}) == "r0" {
			back++
		}
	}
	assert.Equal(t, back, 1)
	r.Done("r0", Answered, time.Millisecond, later)
	assert.Equal(t, r.Runner("r0").Limit(), minLimit)
}

func TestSlowRunnerIsEjected(t *testing.T) {
	r := router(4)
	var changes []Change
	r.OnChange = func(c Change) { changes = append(changes, c) }
	for range minSlowSamples + 1 {
		for i := range 4 {
			took := 10 * time.Millisecond
			if i == 3 {
				took = time.Second
			}
			r.Done(fmt.Sprintf("r%d", i), Answered, took, 0)
		}
	}
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Runner, "r3")
}

func TestNearRunnersComeFirstWhileTheyAreNotWorse(t *testing.T) {
	r := New("near", 1)
	for i := range 4 {
		r.Add(fmt.Sprintf("n%d", i), "near", 8)
		r.Add(fmt.Sprintf("f%d", i), "far", 8)
	}
	near, far := 0, 0
	for range 24 {
		if r.Pick(0, nil)[0] == 'n' {
			near++
		} else {
			far++
		}
	}
	assert.Assert(t, near > far && far > 0, "%d near, %d far", near, far)
	r.Report("n0", 8, true)
	for range 50 {
		assert.Assert(t, r.Pick(0, nil) != "n0", "a leaving runner was chosen")
	}
}

// TestOwnAnswerFreesTheSlotAtOnce checks that a slot whose request has ended is
// used again before the owner's next report.
func TestOwnAnswerFreesTheSlotAtOnce(t *testing.T) {
	r := router(1)
	for range 4 {
		assert.Equal(t, r.Pick(0, nil), "r0")
	}
	r.Report("r0", 8, false)
	assert.Equal(t, r.Pick(0, nil), "")
	r.Done("r0", Answered, time.Millisecond, 0)
	assert.Equal(t, r.Pick(0, nil), "r0")
}
