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

// verdict is what became of one arrival, as its caller was told.
type verdict struct {
	arrival arrival
	job     *jayapi.Job
	refusal *jayrefusal.Refusal
	took    time.Duration
}

// Breach is one promise that was broken.
type Violation struct {
	Invariant string
	Detail    string
}

// Judge compares what callers were told with the workers' and runners' own
// records of what they ran.
type Checker struct {
	mutex    sync.Mutex
	verdicts []verdict
	breaches []Violation
	checks   map[string]uint64
}

// NewJudge returns a judge that has seen nothing.
func NewChecker() *Checker { return &Checker{checks: map[string]uint64{}} }

// The promises that the judge checks.
const (
	promiseOwnAnswer  = "each caller gets the whole answer to its own request"
	promiseNotRun     = "a refusal that says not run is true"
	promiseAtMostOnce = "a non-idempotent request runs at most once"
	promiseWholeGang  = "no gang runs partially beyond one lease"
	promiseSettled    = "every job is answered or refused"
	promiseSlots      = "a runner's slots are never exceeded"
	promiseLeaving    = "a leaving runner gets no new work after 3 s"
	promiseManifest   = "an accepted manifest is in force everywhere and never reverts"
)

func (j *Checker) check(promise string, kept bool, format string, args ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.checks[promise]++
	if !kept {
		j.breaches = append(j.breaches, Violation{Invariant: promise, Detail: fmt.Sprintf(format, args...)})
	}
}

// took records a caller's verdict and checks the answer itself.
func (j *Checker) took(v verdict) {
	j.mutex.Lock()
	j.verdicts = append(j.verdicts, v)
	j.mutex.Unlock()
	if v.job == nil {
		return
	}
	if v.job.State != jayapi.JobAnswered {
		j.check(promiseSettled, v.job.State.Ended(), "job %s ended its wait in state %s", v.arrival.token, v.job.State)
		return
	}
	whole := len(v.job.Answers) == v.arrival.kind.Shape.Members()
	for _, a := range v.job.Answers {
		whole = whole && string(a) == v.arrival.token
	}
	j.check(promiseOwnAnswer, whole, "job %s got %q", v.arrival.token, v.job.Answers)
}

// runsByToken groups what ran by the caller's request.
func runsByToken(records ...[]jaystandin.Run) map[string][]jaystandin.Run {
	runs := map[string][]jaystandin.Run{}
	for _, r := range records {
		for _, run := range r {
			runs[run.Answer] = append(runs[run.Answer], run)
		}
	}
	return runs
}

// conclude checks the promises that only the whole record shows.
func (j *Checker) conclude(f *Fleet) {
	var records [][]jaystandin.Run
	for i := range f.workers {
		records = append(records, f.workers[i].Runs(), f.runners[i].Runs())
		j.check(promiseSlots, f.runners[i].Peak() <= runnerSlots, "runner %d had %d requests at once", i+1, f.runners[i].Peak())
	}
	j.judgeRuns(runsByToken(records...), f.partialBound())
}

// judgeRuns compares the verdicts with what ran.
func (j *Checker) judgeRuns(runs map[string][]jaystandin.Run, bound time.Duration) {
	for _, v := range j.verdicts {
		token := v.arrival.token
		if v.refusal != nil && v.refusal.Outcome() == jayrefusal.NotRun {
			j.check(promiseNotRun, len(runs[token]) == 0, "job %s was refused (%s) and ran %d times", token, v.refusal, len(runs[token]))
		}
		if !v.arrival.kind.Idempotent {
			j.check(promiseAtMostOnce, len(runs[token]) <= v.arrival.kind.Shape.Members(), "job %s ran %d times", token, len(runs[token]))
		}
		if v.arrival.kind.Shape.Members() > 1 {
			j.checkGang(v.arrival, runs[token], bound)
		}
	}
}

// partialBound is how long a member may run while the others of its gang do
// not: it stops one lease after its anchor went silent, and its worker stops it
// one more lease after its own side did.
func (f *Fleet) partialBound() time.Duration { return 2*f.Timing.Lease + f.Timing.SilenceTimeout }

// checkGang checks that no member of an attempt ran on for long when others
// did not run.
func (j *Checker) checkGang(a arrival, runs []jaystandin.Run, bound time.Duration) {
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
		kept := len(members) == a.kind.Shape.Members() || longest <= bound
		j.check(promiseWholeGang, kept, "attempt %s of %s: %d of %d members ran for %s", attempt, a.token, len(members), a.kind.Shape.Members(), longest)
	}
}

// Breaches returns the promises that were broken.
func (j *Checker) Violations() []Violation {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return append([]Violation(nil), j.breaches...)
}

// Checks returns how often each promise was evaluated, by promise in order.
func (j *Checker) Checks() []InvariantCount {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	counts := make([]InvariantCount, 0, len(j.checks))
	for p, n := range j.checks {
		counts = append(counts, InvariantCount{Invariant: p, Evaluations: n})
	}
	sort.Slice(counts, func(a, b int) bool { return counts[a].Invariant < counts[b].Invariant })
	return counts
}

// PromiseCount says how often a promise was evaluated.
type InvariantCount struct {
	Invariant   string
	Evaluations uint64
}
