package jaydemo

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaystandin"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

// result is the response that a caller received for one arrival.
type result struct {
	arrival arrival
	job     *jayapi.Job
	refusal *jayrefusal.Refusal
	latency time.Duration
}

// Violation describes one violated invariant.
type Violation struct {
	Invariant string
	Detail    string
}

// Checker compares the responses to callers with the workers' and runners' records
// of what they ran.
type Checker struct {
	mutex      sync.Mutex
	results    []result
	violations []Violation
	checks     map[string]uint64
}

// NewChecker returns a checker without results.
func NewChecker() *Checker { return &Checker{checks: map[string]uint64{}} }

// The invariants that the checker verifies. Summaries name them by these texts.
const (
	invariantOwnAnswer  = "each caller gets the whole answer to its own request"
	invariantNotRun     = "a refusal that says not run is true"
	invariantAtMostOnce = "a non-idempotent request runs at most once"
	invariantWholeGang  = "no gang runs partially beyond one lease"
	invariantSettled    = "every job is answered or refused"
	invariantSlots      = "a runner's slots are never exceeded"
	invariantDraining   = "a leaving runner gets no new work after 3 s"
	invariantManifest   = "an accepted manifest is in force everywhere and never reverts"
)

func (c *Checker) check(invariant string, holds bool, format string, args ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.checks[invariant]++
	if !holds {
		c.violations = append(c.violations, Violation{Invariant: invariant, Detail: fmt.Sprintf(format, args...)})
	}
}

// recordResult records a caller's result and checks its answers.
func (c *Checker) recordResult(r result) {
	c.mutex.Lock()
	c.results = append(c.results, r)
	c.mutex.Unlock()
	if r.job == nil {
		return
	}
	if r.job.State != jayapi.JobAnswered {
		c.check(invariantSettled, r.job.State.Ended(), "wait for job %s returned in state %s, which is not final", r.arrival.token, r.job.State)
		return
	}
	whole := len(r.job.Answers) == r.arrival.kind.Shape.Members()
	for _, a := range r.job.Answers {
		whole = whole && string(a) == r.arrival.token
	}
	c.check(invariantOwnAnswer, whole, "job %s got %q", r.arrival.token, r.job.Answers)
}

// runsByToken groups the runs by the token of their arrival.
func runsByToken(records ...[]jaystandin.Run) map[string][]jaystandin.Run {
	runs := map[string][]jaystandin.Run{}
	for _, r := range records {
		for _, run := range r {
			runs[run.Answer] = append(runs[run.Answer], run)
		}
	}
	return runs
}

// checkRecords checks the invariants that need the complete records of workers and
// runners.
func (c *Checker) checkRecords(f *Fleet) {
	var records [][]jaystandin.Run
	for i := range f.workers {
		records = append(records, f.workers[i].Runs(), f.runners[i].Runs())
		c.check(invariantSlots, f.runners[i].Peak() <= runnerSlots, "runner %d had %d requests at once", i+1, f.runners[i].Peak())
	}
	c.checkRuns(runsByToken(records...), f.maxPartialGangTime())
}

// checkRuns compares the callers' results with what ran.
func (c *Checker) checkRuns(runs map[string][]jaystandin.Run, maxPartialTime time.Duration) {
	for _, r := range c.results {
		token := r.arrival.token
		if r.refusal != nil && r.refusal.Outcome() == jayrefusal.NotRun {
			c.check(invariantNotRun, len(runs[token]) == 0, "job %s was refused (%s) and ran %d times", token, r.refusal, len(runs[token]))
		}
		if !r.arrival.kind.Idempotent {
			c.check(invariantAtMostOnce, len(runs[token]) <= r.arrival.kind.Shape.Members(), "job %s ran %d times", token, len(runs[token]))
		}
		if r.arrival.kind.Shape.Members() > 1 {
			c.checkGang(r.arrival, runs[token], maxPartialTime)
		}
	}
}

// maxPartialGangTime is how long a member may run while others of its gang do not:
// it stops one lease after its coordinator went silent, and if its own agent has
// failed too, its worker stops it one lease later.
func (f *Fleet) maxPartialGangTime() time.Duration { return 2*f.Timing.Lease + f.Timing.SilenceTimeout }

// checkGang checks that when not all members of an attempt ran, the others ran no
// longer than maxPartialTime.
func (c *Checker) checkGang(a arrival, runs []jaystandin.Run, maxPartialTime time.Duration) {
	attempts := map[string][]jaystandin.Run{}
	for _, r := range runs {
		attempt := r.Attempt[:strings.LastIndexByte(r.Attempt, '.')]
		attempts[attempt] = append(attempts[attempt], r)
	}
	for attempt, members := range attempts {
		longest := time.Duration(0)
		for _, m := range members {
			longest = max(longest, m.End.Sub(m.Begin))
		}
		holds := len(members) == a.kind.Shape.Members() || longest <= maxPartialTime
		c.check(invariantWholeGang, holds, "attempt %s of %s: %d of %d members ran for %s", attempt, a.token, len(members), a.kind.Shape.Members(), longest)
	}
}

// Violations returns a copy of the violations found so far.
func (c *Checker) Violations() []Violation {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Violation(nil), c.violations...)
}

// Checks returns how often each invariant was checked, sorted by name.
func (c *Checker) Checks() []InvariantCount {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts := make([]InvariantCount, 0, len(c.checks))
	for invariant, n := range c.checks {
		counts = append(counts, InvariantCount{Invariant: invariant, Checks: n})
	}
	sort.Slice(counts, func(a, b int) bool { return counts[a].Invariant < counts[b].Invariant })
	return counts
}

// InvariantCount is how often an invariant was checked.
type InvariantCount struct {
	Invariant string
	Checks    uint64
}
