package jayentry

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaysched"
	"github.com/jaystile/jaystile/internal/process/jaystate"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	jobPrefix = "j"
	// maxEndedJobs bounds the ended jobs that an entry keeps for queries.
	maxEndedJobs = 50_000
	// maxPastAttempts bounds the finished attempts that a job keeps for /why.
	maxPastAttempts = 16
)

type workspaceKey struct{ workspace, key string }

// job is a job that this entry owns.
type job struct {
	id      string
	spec    jayjob.Spec
	durable bool
	// waiters counts the callers whose requests are held open for the job.
	waiters    int
	acceptedAt time.Duration
	deadline   time.Duration
	scheduled  *jaysched.Job
	// isRequest is set for a job without accelerators, which needs a runner's slot.
	isRequest    bool
	attempt      *attempt
	attemptCount int
	failures     int
	// refusals counts the consecutive attempts that never ran.
	refusals     int
	pastAttempts []jayapi.Attempt
	avoidRunners map[string]bool
	checkpoint   []byte
	startedAt    time.Duration
	finishedAt   time.Duration
	runTime      time.Duration
	mayHaveRun   bool
	canceling    bool
	// handedOver is set when another entry owns the job now.
	handedOver bool
	answers    [][]byte
	refusal    *jayrefusal.Refusal
	done       chan struct{}
}

func newJob(id string, spec jayjob.Spec, now time.Duration) *job {
	j := &job{id: id, spec: spec, acceptedAt: now, isRequest: spec.Shape().Accelerators() == 0, done: make(chan struct{}), avoidRunners: map[string]bool{}}
	if spec.Deadline() > 0 {
		j.deadline = now + spec.Deadline()
	}
	return j
}

func (j *job) ended() bool {
	select {
	case <-j.done:
		return true
	default:
		return false
	}
}

// mustFinish reports whether a graceful shutdown waits for the job: a caller waits
// for it here, or no other entry could take it over.
func (j *job) mustFinish() bool { return j.waiters > 0 || !j.durable || !j.spec.Idempotent() }

// neverRan reports whether no member of any attempt can have started. A gang starts
// only after its commit, a single member as soon as it has its reservation.
func (j *job) neverRan() bool {
	return !j.mayHaveRun && (j.attempt == nil || (len(j.attempt.workers) > 1 && !j.attempt.committed))
}

// attempt is one attempt to run a job, as its entry sees it.
type attempt struct {
	id          jayattempt.ID
	state       *jayattempt.Attempt
	job         *job
	digest      []byte
	workers     []string
	coordinator string
	incarnation jayattempt.Incarnation
	sentAt      time.Duration
	lastHeard   time.Duration
	resolving   bool
	// committed is set before the coordinator is asked to commit.
	committed bool
	// routed is set for a request that the router sent to a runner.
	routed bool
}

// transition changes the attempt's state. A transition that the state machine does
// not allow is a bug; it is counted and logged.
func (e *Entry) transition(a *attempt, to jayattempt.State) {
	if a.state.State() == to {
		return
	}
	if err := a.state.Transition(to); err != nil {
		e.counter(`jaystile_entry_attempt_transition_errors_total`).Inc()
		e.Logger.Error().Err(err).Msg("invalid attempt state transition")
	}
}

// finish ends a job with answers or a refusal. It does nothing if the job has
// ended.
func (e *Entry) finish(j *job, answers [][]byte, refusal *jayrefusal.Refusal) {
	if j.ended() {
		return
	}
	now := e.now()
	j.answers = answers
	j.refusal = refusal
	j.finishedAt = now
	e.scheduler.Cancel(j.id)
	e.queue.Remove(j.id)
	if j.attempt != nil {
		delete(e.attempts, j.attempt.id)
		j.attempt = nil
	}
	detail := "answered"
	if refusal != nil {
		detail = refusal.Error()
		e.counter(`jaystile_entry_refusals_total{code="` + string(refusal.Code()) + `",outcome="` + string(refusal.Outcome()) + `"}`).Inc()
	} else {
		e.counter(`jaystile_entry_answers_total`).Inc()
	}
	e.recorder.Record(jaytimeline.JobEnded, jaytimeline.Fields{Job: j.id, Workspace: j.spec.Workspace(), Detail: detail})
	if j.durable {
		e.appendEnded(j.id, refusal, answers)
	}
	close(j.done)
	e.endedJobs = append(e.endedJobs, j)
	if j.isRequest {
		e.dispatch()
		return
	}
	e.signalDecide()
}

// appendEnded queues the record of a job's end for the log.
func (e *Entry) appendEnded(id string, refusal *jayrefusal.Refusal, answers [][]byte) {
	b, err := jaystate.EncodeEnded(id, time.Now(), refusal, answers)
	if err == nil {
		err = e.appender.Post(b)
	}
	if err != nil {
		e.counter(`jaystile_entry_ended_records_dropped_total`).Inc()
	}
}

// removeEndedJobs removes ended jobs whose retention is over, and the oldest when
// there are too many.
func (e *Entry) removeEndedJobs(now time.Duration) {
	for len(e.endedJobs) > 0 {
		j := e.endedJobs[0]
		if len(e.endedJobs) <= maxEndedJobs && now-j.finishedAt < e.Settings.JobRetention {
			return
		}
		e.endedJobs = e.endedJobs[1:]
		delete(e.jobs, j.id)
		k := workspaceKey{j.spec.Workspace(), j.spec.Key()}
		if e.localKeys[k] == j.id {
			delete(e.localKeys, k)
		}
	}
}

// expireJobs gives up jobs whose deadline has passed. Callers are answered at once:
// not_run if the job has not started, else unknown.
func (e *Entry) expireJobs(now time.Duration) {
	for _, j := range e.jobs {
		if j.ended() || j.deadline == 0 || now < j.deadline {
			continue
		}
		e.giveUp(j, jayrefusal.DeadlinePassed, "the deadline passed")
	}
}

// giveUp ends a job without an answer and cancels its attempt.
func (e *Entry) giveUp(j *job, code jayrefusal.Code, message string) {
	if j.neverRan() {
		e.finish(j, nil, jayrefusal.New(code, jayrefusal.NotRun, "%s before the job started", message))
		return
	}
	if j.attempt != nil {
		e.cancelAttempt(j.attempt)
	}
	e.finish(j, nil, jayrefusal.New(code, jayrefusal.Unknown, "%s; the job may have run", message))
}

// localJob returns a job of the workspace that this entry has, or nil.
func (e *Entry) localJob(workspace, id string) *job {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j := e.jobs[id]
	if j == nil || j.spec.Workspace() != workspace {
		return nil
	}
	return j
}

func (e *Entry) isClosed() bool {
	select {
	case <-e.closed:
		return true
	default:
		return false
	}
}

// wait blocks until the job ends, the entry shuts down or d has passed.
func (e *Entry) wait(j *job, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-j.done:
	case <-e.closed:
	case <-t.C:
	}
}

// status returns a job's status as its caller sees it.
func (e *Entry) status(j *job) jayapi.Job {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	now := e.now()
	s := jayapi.Job{
		ID:        j.id,
		Workspace: j.spec.Workspace(),
		Kind:      j.spec.Kind(),
		Class:     j.spec.Class().String(),
		Shape:     j.spec.Shape().String(),
		State:     jayapi.JobQueued,
		Attempts:  j.attemptCount,
		AgeMs:     (now - j.acceptedAt).Milliseconds(),
		RanMs:     j.runTime.Milliseconds(),
		Entry:     e.Settings.Name,
	}
	if j.scheduled != nil {
		s.Stops = j.scheduled.Preemptions()
	}
	if j.startedAt > 0 {
		s.WaitedMs = (j.startedAt - j.acceptedAt).Milliseconds()
	}
	if j.attempt != nil {
		s.State = jayapi.JobStarting
		if j.attempt.state.State() == jayattempt.Running {
			s.State = jayapi.JobRunning
		}
	}
	if j.ended() {
		s.AgeMs = (j.finishedAt - j.acceptedAt).Milliseconds()
		s.State = jayapi.JobAnswered
		s.Answers = j.answers
		if j.refusal != nil {
			s.State = jayapi.JobRefused
			s.Refusal = jayapi.FromRefusal(j.refusal)
		}
	}
	return s
}

func (e *Entry) encodeStatus(j *job) []byte {
	b, err := json.Marshal(e.status(j))
	if err != nil {
		return nil
	}
	return b
}

// rowStatus returns the status of a job that is known only from the log.
func rowStatus(r *jaystate.Row) jayapi.Job {
	s := jayapi.Job{
		ID:        r.ID(),
		Workspace: r.Spec().Workspace(),
		Kind:      r.Spec().Kind(),
		Class:     r.Spec().Class().String(),
		Shape:     r.Spec().Shape().String(),
		State:     jayapi.JobQueued,
		AgeMs:     time.Since(r.AcceptedAt()).Milliseconds(),
	}
	end := r.End()
	switch {
	case end == nil:
	case end.Refusal() != nil:
		s.State = jayapi.JobRefused
		s.Refusal = jayapi.FromRefusal(end.Refusal())
	case end.TooLong():
		s.State = jayapi.JobRefused
		s.Refusal = jayapi.FromRefusal(jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Ran, "the job was answered, and its answer was too long for the log"))
	default:
		s.State = jayapi.JobAnswered
		s.Answers = end.Answers()
	}
	return s
}

// list returns a page of the workspace's jobs whose ID is greater than after.
func (e *Entry) list(workspace, after string, limit int) jayapi.JobList {
	e.mutex.Lock()
	ids := map[string]bool{}
	for id, j := range e.jobs {
		if j.spec.Workspace() == workspace {
			ids[id] = true
		}
	}
	e.jobTable.Each(func(r *jaystate.Row) {
		if r.Spec().Workspace() == workspace && r.OwnsKey() {
			ids[r.ID()] = true
		}
	})
	e.mutex.Unlock()
	ordered := make([]string, 0, len(ids))
	for id := range ids {
		if strings.Compare(id, after) > 0 {
			ordered = append(ordered, id)
		}
	}
	sort.Strings(ordered)
	page := jayapi.JobList{Jobs: []jayapi.Job{}}
	for _, id := range ordered {
		if len(page.Jobs) == limit {
			page.Next = page.Jobs[limit-1].ID
			break
		}
		if s, ok := e.knownStatus(workspace, id); ok {
			page.Jobs = append(page.Jobs, s)
		}
	}
	return page
}

// knownStatus returns a job's status from this entry's own tables.
func (e *Entry) knownStatus(workspace, id string) (jayapi.Job, bool) {
	if j := e.localJob(workspace, id); j != nil {
		return e.status(j), true
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := e.jobTable.Row(id)
	if r == nil || r.Spec().Workspace() != workspace {
		return jayapi.Job{}, false
	}
	return rowStatus(r), true
}
