package jaysupervisor

import (
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
)

const (
	// crashConfirmation is how long nothing listens at a runner's address before its end
	// counts as a crash, unless a new incarnation answers sooner.
	crashConfirmation = time.Second
	// maxKeptCrashes bounds the crashes that are kept until the leader has recorded them;
	// a runner takes seconds to come back, so that the oldest are minutes old.
	maxKeptCrashes = 16
	// maxCrashedRuns bounds the runs that the log line of a crash names.
	maxCrashedRuns = 10
)

// observedRun is what the listings have shown of a run.
type observedRun struct {
	run          int
	firstPercent int
	firstSeen    time.Duration
}

// observeRuns updates what is known about the listed runs.
func (s *Supervisor) observeRuns(l Listing, now time.Duration) {
	listed := map[string]observedRun{}
	for _, r := range l.Running {
		o, known := s.observed[r.Task]
		if !known || o.run != r.Run {
			o = observedRun{run: r.Run, firstPercent: r.Percent, firstSeen: now}
		}
		listed[r.Task] = o
	}
	s.observed = listed
}

// noteCallError notes that nothing listens at the runner's address any more, or that
// another incarnation does. Silence tells neither.
func (s *Supervisor) noteCallError(incarnation string, err error) {
	var ended *EndedError
	var replaced *ReplacedError
	if !errors.As(err, &ended) && !errors.As(err, &replaced) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runner.ID == incarnation && s.endSeenAt == 0 {
		s.endSeenAt = s.Elapsed()
	}
}

// recordCrash notes that the runner has crashed, once. A runner that was about to leave has
// not crashed, and neither has one that was silent before its end was seen: it may have been
// cut off with its machine, lost its power or been replaced while this process stood still.
// Of runners that accept no calls, nothing but silence can be seen.
func (s *Supervisor) recordCrash(now time.Duration) {
	if s.runner.ID == "" || s.runner.Draining || s.deregistered || s.crashRecorded {
		return
	}
	seenAt := s.endSeenAt
	if seenAt == 0 {
		seenAt = now
	}
	if silence := seenAt - s.lastAnswer; s.lastAnswer == 0 || silence > responsiveTimeout && !s.OrdersByHeartbeat {
		s.Logger.Info().Str("event", "crash").Str("runner", s.runner.ID).Str("outcome", "not counted").Int64("silent_ms", silence.Milliseconds()).Msg("runner was silent before it ended")
		return
	}
	s.crashRecorded = true
	c := jaycell.Crash{Runner: s.runner.ID, Runs: s.exposedRuns(now)}
	if len(s.crashes) == maxKeptCrashes {
		s.Logger.Warn().Str("event", "crash").Str("runner", s.crashes[0].Runner).Str("outcome", "dropped").Msg("too many crashes that no leader has recorded")
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, c)
	tasks := zerolog.Arr()
	for _, r := range c.Runs[:min(len(c.Runs), maxCrashedRuns)] {
		tasks = tasks.Dict(zerolog.Dict().Str("task", r.Task).Int("run", r.Run).Int("percent", r.Percent).Bool("progressed", r.Progressed))
	}
	s.Logger.Warn().Str("event", "crash").Str("runner", c.Runner).Str("outcome", "counted").Int("runs", len(c.Runs)).Array("tasks", tasks).Msg("runner has crashed")
	jaycontroller.Signal(s.reportSignal)
}

// exposedRuns returns the runs that were on the runner, or may have begun, when it ended.
func (s *Supervisor) exposedRuns(now time.Duration) []jaycell.CrashedRun {
	var runs []jaycell.CrashedRun
	for _, r := range s.listing.Running {
		o := s.observed[r.Task]
		runs = append(runs, jaycell.CrashedRun{Task: r.Task, Run: r.Run, Percent: r.Percent, Progressed: r.Percent > o.firstPercent, Age: now - o.firstSeen})
	}
	for task, o := range s.orders {
		listed := slices.ContainsFunc(runs, func(r jaycell.CrashedRun) bool { return r.Task == task && r.Run == o.Run })
		if o.mayHaveBegun && !listed {
			runs = append(runs, jaycell.CrashedRun{Task: task, Run: o.Run})
		}
	}
	slices.SortFunc(runs, func(a, b jaycell.CrashedRun) int { return strings.Compare(a.Task, b.Task) })
	return runs
}

// checkCrash counts a runner as crashed at whose address nothing has listened for a while.
func (s *Supervisor) checkCrash(now time.Duration) {
	if s.endSeenAt > 0 && now-s.endSeenAt >= crashConfirmation {
		s.recordCrash(now)
	}
}
