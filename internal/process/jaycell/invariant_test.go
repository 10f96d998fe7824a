package jaycell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// Each violated invariant is reported, and nothing starts.
func TestStartChecks(t *testing.T) {
	for _, c := range []struct {
		want    string
		violate func(u *unit, runners []*candidate) []*candidate
	}{
		{"", func(_ *unit, r []*candidate) []*candidate { return r }},
		{"a unit starts whole", func(_ *unit, r []*candidate) []*candidate { return r[:1] }},
		{"one run at a time", func(u *unit, r []*candidate) []*candidate { u.phase = phaseActive; return r }},
		{"earlier steps are done", func(u *unit, r []*candidate) []*candidate { u.job.remaining[0][0] = 1; return r }},
		{"attempts are left", func(u *unit, r []*candidate) []*candidate { u.failedRuns = []int{1, 2}; return r }},
		{"the job is not over", func(u *unit, r []*candidate) []*candidate { u.job.canceled = true; return r }},
		{"a runner is not overfilled", func(_ *unit, r []*candidate) []*candidate { r[0].runner.used.Accelerators = 8; return r }},
		{"tasks are spread", func(u *unit, r []*candidate) []*candidate { u.spec().MaxPerRunner = 1; return r }},
	} {
		t.Run(c.want, func(t *testing.T) {
			var got string
			settings := testSettings(1, nil)
			settings.OnInvariantViolation = func(what string, _ Decision) { got = what }
			cell := New(settings, time.Hour, time.UnixMilli(1))
			gang := jaytask.Step{Count: 2, Gang: true, After: []int{0}, Resources: jaytask.Resources{Accelerators: 4}}
			j := newJob(&jaytask.Job{ID: "a", Steps: []jaytask.Step{step(1, 1), gang}, Policy: jaytask.Policy{MaxAttempts: 2}})
			j.remaining[0][0] = 0
			u := j.unitFor(0, 1, 0)
			runner := &Runner{id: "r", placements: map[string]*placement{}, info: RunnerInfo{Capacity: jaytask.Resources{Accelerators: 8}}}
			cand := &candidate{runner: runner}
			r := &round{cell: cell, unreserved: map[string]int{}}
			r.startRun(u, c.violate(u, []*candidate{cand, cand}))
			assert.Equal(t, got, c.want)
			assert.Equal(t, len(runner.placements) == 2, c.want == "")
		})
	}
}

func TestMissedGuaranteeIsReportedOnce(t *testing.T) {
	var events []string
	settings := testSettings(1, map[string]int{"w": 8})
	settings.ReclaimDeadline = time.Second
	settings.OnDecision = func(d Decision) { events = append(events, d.Event) }
	h := newHarness(t, nil)
	h.cell = New(settings, h.now, h.wall)
	h.submit("a", 0, "w", step(1, 8))
	for range 5 {
		h.advance(500 * time.Millisecond)
	}
	assert.DeepEqual(t, events, []string{"guarantee"})
}
