package jaycell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// Each check of a start reports the fault that it is for, and nothing starts.
func TestStartChecks(t *testing.T) {
	for _, c := range []struct {
		want  string
		spoil func(u *unit, runners []*view) []*view
	}{
		{"", func(_ *unit, r []*view) []*view { return r }},
		{"a unit starts whole", func(_ *unit, r []*view) []*view { return r[:1] }},
		{"one run at a time", func(u *unit, r []*view) []*view { u.phase = phaseActive; return r }},
		{"earlier steps are done", func(u *unit, r []*view) []*view { u.job.undone[0][0] = 1; return r }},
		{"attempts are left", func(u *unit, r []*view) []*view { u.failedRuns = []int{1, 2}; return r }},
		{"the job is not over", func(u *unit, r []*view) []*view { u.job.canceled = true; return r }},
		{"a runner is not overfilled", func(_ *unit, r []*view) []*view { r[0].runner.used.Accelerators = 8; return r }},
		{"tasks are spread", func(u *unit, r []*view) []*view { u.spec().MaxPerRunner = 1; return r }},
	} {
		t.Run(c.want, func(t *testing.T) {
			var got string
			settings := benchSettings(1, nil)
			settings.OnInvariantViolation = func(what string, _ Decision) { got = what }
			cell := New(settings, time.Hour, time.UnixMilli(1))
			gang := jaytask.Step{Count: 2, Gang: true, After: []int{0}, Resources: jaytask.Resources{Accelerators: 4}}
			j := newJob(&jaytask.Job{ID: "a", Steps: []jaytask.Step{step(1, 1), gang}, Policy: jaytask.Policy{MaxAttempts: 2}})
			j.undone[0][0] = 0
			u := j.unitOf(0, 1, 0)
			n := &Runner{id: "r", holds: map[string]*hold{}, info: RunnerInfo{Capacity: jaytask.Resources{Accelerators: 8}}}
			v := &view{runner: n}
			r := &round{cell: cell}
			r.start(u, c.spoil(u, []*view{v, v}))
			assert.Equal(t, got, c.want)
			assert.Equal(t, len(n.holds) == 2, c.want == "")
		})
	}
}

func TestMissedGuaranteeIsReportedOnce(t *testing.T) {
	var events []string
	settings := benchSettings(1, map[string]int{"w": 8})
	settings.ReclaimTimeout = time.Second
	settings.OnDecision = func(d Decision) { events = append(events, d.Event) }
	b := newBench(t, nil)
	b.cell = New(settings, b.now, b.wall)
	b.submit("a", 0, "w", step(1, 8))
	for range 5 {
		b.pass(500 * time.Millisecond)
	}
	assert.DeepEqual(t, events, []string{"guarantee"})
}
