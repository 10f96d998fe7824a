package jayroute

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func testRouter(runners int) *Router {
	r := New("near", 1)
	for i := range runners {
		r.Add(fmt.Sprintf("r%d", i), "near", 8)
	}
	return r
}

func TestSlotsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := testRouter(3)
		now := time.Duration(0)
		outstanding := map[string]int{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 100).Draw(t, "pass")) * time.Millisecond
			if rapid.Bool().Draw(t, "send") {
				if name := r.Pick(now, nil); name != "" {
					outstanding[name]++
				}
			} else {
				name := fmt.Sprintf("r%d", rapid.IntRange(0, 2).Draw(t, "runner"))
				if outstanding[name] > 0 {
					outstanding[name]--
					r.Finish(name, Result(rapid.IntRange(0, 3).Draw(t, "result")), time.Millisecond, now)
				}
			}
			for name, n := range outstanding {
				assert.Assert(t, n <= 8 && r.Runner(name).Outstanding() == n)
			}
			assert.Assert(t, r.EjectedCount(now) <= 1, "more than one of three runners is ejected")
		}
	})
}

func TestFailingRunnerEjectedAndReturnsWithOneRequest(t *testing.T) {
	r := testRouter(3)
	for range maxConsecutiveFailures {
		r.Finish("r0", Failed, 0, 0)
	}
	for range 8 {
		name := r.Pick(0, nil)
		assert.Assert(t, name != "r0" && name != "")
	}
	later := time.Minute
	picks := 0
	for range 20 {
		if r.Pick(later, map[string]bool{"r1": true, "r2": true}) == "r0" {
			picks++
		}
	}
	assert.Equal(t, picks, 1)
	r.Finish("r0", Answered, time.Millisecond, later)
	assert.Equal(t, r.Runner("r0").Limit(), minLimit)
}

func TestSlowRunnerEjected(t *testing.T) {
	r := testRouter(4)
	var changes []Change
	r.OnChange = func(c Change) { changes = append(changes, c) }
	for range minSlowSamples + 1 {
		for i := range 4 {
			took := 10 * time.Millisecond
			if i == 3 {
				took = time.Second
			}
			r.Finish(fmt.Sprintf("r%d", i), Answered, took, 0)
		}
	}
	assert.Equal(t, len(changes), 1)
	assert.Equal(t, changes[0].Runner, "r3")
}

func TestLocalRunnersPreferredUntilLoaded(t *testing.T) {
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
		assert.Assert(t, r.Pick(0, nil) != "n0", "a draining runner was chosen")
	}
}

// A slot is used again as soon as its request has ended, without waiting for the
// agent's next report.
func TestAnswerFreesSlotBeforeNextReport(t *testing.T) {
	r := testRouter(1)
	for range 4 {
		assert.Equal(t, r.Pick(0, nil), "r0")
	}
	r.Report("r0", 8, false)
	assert.Equal(t, r.Pick(0, nil), "")
	r.Finish("r0", Answered, time.Millisecond, 0)
	assert.Equal(t, r.Pick(0, nil), "r0")
}
