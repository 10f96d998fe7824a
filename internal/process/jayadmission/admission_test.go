package jayadmission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// init fixes the seed of property tests, so that runs are reproducible;
// -rapid.seed=0 uses random seeds.
func init() { _ = flag.Set("rapid.seed", "1") }

func accelerators(n int) jaytask.Resources {
	return jaytask.Resources{CPU: 1000, Memory: 1000, Accelerators: n}
}

func testRoute(priority int) Route {
	return Route{Name: "r", Service: "s", Priority: priority, Smallest: accelerators(1), Largest: accelerators(8), RunTimes: []RunTimes{{Shortest: 2 * time.Second, Longest: 4 * time.Second}}}
}

// Each row guards against a wait that is longer than certain, or against a missed one.
func TestWait(t *testing.T) {
	full := func(priority int, remaining time.Duration) []Run {
		return []Run{{Priority: priority, Resources: accelerators(8), Remaining: remaining}}
	}
	tasks := func(n, priority, size int, until time.Duration) []Task {
		var all []Task
		for range n {
			all = append(all, Task{Service: "s", Priority: priority, Resources: accelerators(size), RunTime: 2 * time.Second, Until: until})
		}
		return all
	}
	for _, c := range []struct {
		name   string
		runs   []Run
		tasks  []Task
		lowest int
		want   time.Duration
	}{
		{"an empty runner is room, whatever waits", nil, tasks(100, 0, 1, time.Hour), 1, 0},
		{"a full runner", full(1, 9*time.Second), nil, 1, 9 * time.Second},
		{"runs of lower priority are room", full(2, 9*time.Second), nil, 2, 0},
		{"a part of the runner is free", []Run{{Resources: accelerators(7), Remaining: time.Hour}}, nil, 1, 0},
		// 8 accelerators for 4 s and 32 for 2 s are 96 accelerator-seconds: 12 s, less the longest run.
		{"tasks of higher priority", full(1, 4*time.Second), tasks(32, 0, 1, time.Hour), 1, 8 * time.Second},
		{"tasks that expire are not waited for", full(1, 4*time.Second), tasks(32, 0, 1, 6*time.Second), 1, 6 * time.Second},
		{"late tasks of the same priority may come after the job", full(1, 4*time.Second), tasks(32, 1, 1, time.Hour), 1, 4 * time.Second},
		{"larger tasks may not fit where the job does", full(1, 4*time.Second), tasks(32, 0, 2, time.Hour), 1, 4 * time.Second},
		{"the job may stop what tasks of higher priority don't", full(1, 4*time.Second), tasks(32, 0, 1, time.Hour), 2, 4 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := Backlog{Runners: []Runner{{Service: "s", Capacity: jaytask.Resources{CPU: 100_000, Memory: 100_000, Accelerators: 8}, Runs: c.runs}, {Service: "other", Capacity: accelerators(8)}}, Tasks: c.tasks, LowestPriority: map[string]int{"s": c.lowest}}
			assert.Equal(t, b.wait(testRoute(1)), c.want)
		})
	}
}

func testJob(count, size int) *jaytask.Job {
	return &jaytask.Job{ID: "id", Steps: []jaytask.Step{{Count: count, Resources: accelerators(size), Estimate: time.Second}}, Policy: jaytask.Policy{Route: "r", Service: "s", Priority: 1, Stretch: 2, Objective: time.Second}}
}

// Each row guards against a refusal that is not certain, or against a missed one. A job of
// one task has 3 x (2 x 2 x 4 s + 1 s) = 51 s and takes at least 1 s.
func TestDecide(t *testing.T) {
	for _, c := range []struct {
		name   string
		wait   time.Duration
		age    time.Duration
		change func(x *Candidate)
		want   bool
	}{
		{"there is time", 50 * time.Second, 0, nil, false},
		{"there is none", 51 * time.Second, 0, nil, true},
		{"the account's age counts for the job", 51 * time.Second, 1200 * time.Millisecond, nil, false},
		{"a stale account", time.Hour, MaxAge + 1, nil, false},
		{"a retry has less time", 50 * time.Second, 0, func(x *Candidate) { x.Waited = 2 * time.Second }, true},
		{"a retry finds room", 0, 0, func(x *Candidate) { x.Waited = time.Hour }, false},
		{"a job of another priority than the route had", time.Hour, 0, func(x *Candidate) { x.Job.Policy.Priority = 2 }, false},
		{"a timed job", time.Hour, 0, func(x *Candidate) { x.Job.TimedOccurrences = 1 }, false},
		{"a daemon job", time.Hour, 0, func(x *Candidate) { x.Job.Steps[0].Daemon = true }, false},
		{"a step that the route has not had", time.Hour, 0, func(x *Candidate) { x.Job.Steps = append(x.Job.Steps, x.Job.Steps[0]) }, false},
		{"a larger task than the route had", time.Hour, 0, func(x *Candidate) { x.Job.Steps[0].Resources.Accelerators = 9 }, false},
		{"a smaller task than the route had", time.Hour, 0, func(x *Candidate) { x.Job.Steps[0].Resources.Accelerators = 0 }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := Candidate{Job: testJob(1, 8)}
			if c.change != nil {
				c.change(&x)
			}
			a := Account{Routes: []RouteAccount{{Route: testRoute(1), Wait: c.wait + maxDelivery, Slots: 8}}}
			assert.Equal(t, a.Decide(x, c.age) != nil, c.want)
		})
	}
}

// Guards against the refusal of a job within the guarantee of its workspace.
func TestGuaranteedJobIsNotRefused(t *testing.T) {
	a := Account{Routes: []RouteAccount{{Route: testRoute(0), Wait: time.Hour, Slots: 8}}}
	x := Candidate{Job: testJob(2, 4), Guaranteed: 8}
	x.Job.Policy.Priority = 0
	assert.Assert(t, a.Decide(x, 0) == nil)
	x.Guaranteed = 7
	assert.Assert(t, a.Decide(x, 0) != nil)
}

// Guards against the refusal of large jobs while small ones of the same route are accepted.
func TestLargeJobIsNotRefusedMoreReadily(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Account{Routes: []RouteAccount{{Route: testRoute(1), Wait: time.Duration(rapid.IntRange(0, 400).Draw(t, "wait")) * time.Second, Slots: rapid.IntRange(1, 50).Draw(t, "slots")}}}
		small := testJob(rapid.IntRange(1, 100).Draw(t, "count"), rapid.IntRange(1, 8).Draw(t, "size"))
		large := testJob(small.Steps[0].Count+rapid.IntRange(0, 100).Draw(t, "more"), rapid.IntRange(small.Steps[0].Resources.Accelerators, 8).Draw(t, "larger"))
		large.Steps[0].Estimate = small.Steps[0].Estimate * time.Duration(rapid.IntRange(1, 20).Draw(t, "longer"))
		if a.Decide(Candidate{Job: large}, 0) != nil {
			assert.Assert(t, a.Decide(Candidate{Job: small}, 0) != nil)
		}
	})
}

// Guards against refused callers that return together, before there may be room, or after
// the last of their attempts.
func TestRetryAfterIsSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for i := range 100 {
		d := retryAfter(4*time.Second, fmt.Sprintf("%016x", i))
		assert.Assert(t, d >= 4*time.Second && d <= 6*time.Second, "%s", d)
		seen[d.Truncate(100*time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) >= 15, "%d", len(seen))
	assert.Assert(t, retryAfter(time.Hour, "id") <= 18*time.Second && retryAfter(0, "id") >= time.Second)
}
