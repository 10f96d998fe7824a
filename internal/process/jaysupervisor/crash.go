package jaysupervisor

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
)

const (
	// crashConfirmation is how long nothing listens at a runner's address before its end
	// counts as a crash, unless a new incarnation answers sooner: two refused connections.
	crashConfirmation = retryDelay
	// maxReportDelay is how late a runner's report may be: after a second it calls another node.
	maxReportDelay = time.Second
	// maxKeptCrashes bounds the crashes that are kept until the leader has recorded them;
	// a runner takes seconds to come back, so that the oldest are minutes old.
	maxKeptCrashes = 16
	// maxKeptCrashedRuns bounds their runs: a report holds them all.
	maxKeptCrashedRuns = 32 << 10
	// maxCrashedRuns bounds the runs that the log line of a crash names.
	maxCrashedRuns = 10
)

// observedRun is what the listings have shown of a run. A run without a checkpoint counts as
// seen at 0% when its start was answered.
type observedRun struct {
	run       int
	percent   int
	firstSeen time.Duration
	// progressAt is when percent last rose, lastSeen when the run was last listed.
	progressAt time.Duration
	lastSeen   time.Duration
}

// unlistedStart is a start that may have begun and that no listing has shown yet.
type unlistedStart struct {
	run      int
	calledAt time.Duration
	// accepted is set if the call was answered with success, fresh if it had no checkpoint.
	accepted, fresh bool
}

// noteStartCall notes whether a start call may have begun its run.
func (s *Supervisor) noteStartCall(o *order, err error) {
	var unanswered *NoAnswerError
	if err != nil && !errors.As(err, &unanswered) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runner.ID == o.Runner {
		s.unlisted[o.Task] = unlistedStart{run: o.Run, calledAt: s.Elapsed(), accepted: err == nil, fresh: o.Checkpoint == ""}
	}
}

// forgetUnlisted forgets the starts that a listing shows, or would show if they had begun. A
// call without an answer may begin its run later; that it did so just before a crash is unlikely.
func (s *Supervisor) forgetUnlisted(l Listing, requestedAt time.Duration) {
	for _, r := range l.Running {
		if s.unlisted[r.Task].run == r.Run {
			delete(s.unlisted, r.Task)
		}
	}
	for _, e := range l.Finished {
		if s.unlisted[e.Task].run <= e.Run {
			delete(s.unlisted, e.Task)
		}
	}
	maps.DeleteFunc(s.unlisted, func(_ string, u unlistedStart) bool { return requestedAt > u.calledAt })
}

// observeRuns updates what is known about the listed runs.
func (s *Supervisor) observeRuns(l Listing, requestedAt, now time.Duration) {
	defer s.forgetUnlisted(l, requestedAt)
	listed := map[string]observedRun{}
	for _, r := range l.Running {
		o, known := s.observed[r.Task]
		if !known || o.run != r.Run {
			o = observedRun{run: r.Run, percent: r.Percent, firstSeen: now, progressAt: now}
			if start := s.unlisted[r.Task]; start.run == r.Run && start.accepted && start.fresh {
				o.percent, o.firstSeen, o.progressAt = 0, start.calledAt, start.calledAt
			}
		}
		o.lastSeen = now
		if r.Percent > o.percent {
			o.percent, o.progressAt = r.Percent, now
		}
		listed[r.Task] = o
	}
	s.observed = listed
}

// noteCallError notes that a call has failed, and whether nothing listens at the runner's
// address any more or another incarnation does. Silence tells neither.
func (s *Supervisor) noteCallError(incarnation string, err error) {
	var ended *EndedError
	var replaced *ReplacedError
	var unanswered *NoAnswerError
	hasEnded := errors.As(err, &ended) || errors.As(err, &replaced)
	if !hasEnded && !errors.As(err, &unanswered) {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.runner.ID != incarnation {
		return
	}
	now := s.Elapsed()
	s.doubtedAt = now
	if !hasEnded {
		return
	}
	if s.endSeenAt == 0 {
		s.endSeenAt = now
	}
	if ended != nil && now-s.endSeenAt >= crashConfirmation {
		s.recordCrash(now)
	}
}

// mayHaveLeft reports whether an end of the runner at a time may be its announced one. A draining
// runner tells how long it runs on at least, and deregisters as it ends.
func (s *Supervisor) mayHaveLeft(at time.Duration) bool {
	return s.deregistered || s.runner.Draining && at+maxReportDelay >= s.heartbeatAt+s.runner.DrainRemaining
}

// recordCrash notes that the runner has crashed, once. A runner that may have left as announced
// has not crashed, and neither has one that was silent before its end was seen: it may have been
// cut off with its machine, lost its power or been replaced while this process stood still.
// Of runners that accept no calls, nothing but silence can be seen.
func (s *Supervisor) recordCrash(now time.Duration) {
	seenAt := s.endSeenAt
	if seenAt == 0 {
		seenAt = now
	}
	if s.runner.ID == "" || s.crashRecorded || s.mayHaveLeft(seenAt) {
		return
	}
	if silence := seenAt - s.lastAnswer; s.lastAnswer == 0 || silence > responsiveTimeout && !s.OrdersByHeartbeat {
		s.Logger.Info().Str("event", "crash").Str("runner", s.runner.ID).Str("outcome", "not counted").Int64("silent_ms", silence.Milliseconds()).Msg("runner was silent before it ended")
		return
	}
	s.crashRecorded = true
	c := jaycell.Crash{Runner: s.runner.ID, Runs: s.exposedRuns()}
	for len(s.crashes) > 0 && (len(s.crashes) >= maxKeptCrashes || s.countCrashedRuns()+len(c.Runs) > maxKeptCrashedRuns) {
		s.Logger.Warn().Str("event", "crash").Str("runner", s.crashes[0].Runner).Str("outcome", "dropped").Msg("too many crashes that no leader has recorded")
		s.crashes = s.crashes[1:]
	}
	s.crashes = append(s.crashes, c)
	tasks := zerolog.Arr()
	for _, r := range c.Runs[:min(len(c.Runs), maxCrashedRuns)] {
		tasks = tasks.Dict(zerolog.Dict().Str("task", r.Task).Int("run", r.Run).Int("percent", r.Percent).Int64("worked_ms", r.WorkedFor.Milliseconds()))
	}
	s.Logger.Warn().Str("event", "crash").Str("runner", c.Runner).Str("outcome", "counted").Int("runs", len(c.Runs)).Array("tasks", tasks).Msg("runner has crashed")
	jaycontroller.Signal(s.reportSignal)
}

// countCrashedRuns returns how many runs the kept crashes have.
func (s *Supervisor) countCrashedRuns() int {
	n := 0
	for _, c := range s.crashes {
		n += len(c.Runs)
	}
	return n
}

// exposedRuns returns the runs that were on the runner, or may have begun, when it ended.
func (s *Supervisor) exposedRuns() []jaycell.CrashedRun {
	var runs []jaycell.CrashedRun
	for _, r := range s.listing.Running {
		o := s.observed[r.Task]
		runs = append(runs, jaycell.CrashedRun{Task: r.Task, Run: r.Run, Percent: r.Percent, WorkedFor: o.progressAt - o.firstSeen, ListedFor: o.lastSeen - o.firstSeen})
	}
	for task, u := range s.unlisted {
		runs = append(runs, jaycell.CrashedRun{Task: task, Run: u.run})
	}
	slices.SortFunc(runs, func(a, b jaycell.CrashedRun) int { return strings.Compare(a.Task, b.Task) })
	return runs
}
