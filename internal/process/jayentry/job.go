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
	// maxEndedJobs bounds the ended jobs that an entry can be asked about.
	maxEndedJobs = 50_000
	// maxTried bounds the attempts that a job's explanation lists.
	maxTried = 16
)

type workspaceKey struct{ workspace, key string }

// job is one job that this entry is responsible for.
type job struct {
	id       string
	spec     jayjob.Spec
	durable  bool
	waiters  int
	accepted time.Duration
	due      time.Duration
	queued   *jaysched.Job
	request  bool
	attempt  *attempt
	tries    int
	failures int
	// refused counts attempts that never ran since the last that did.
	refused   int
	tried     []jayapi.Attempt
	avoid     map[string]bool
	saved     []byte
	started   time.Duration
	finished  time.Duration
	ran       time.Duration
	mayHave   bool
	canceling bool
	// handedOver says that another entry looks after the job now.
	handedOver bool
	answers    [][]byte
	refusal    *jayrefusal.Refusal
	done       chan struct{}
}

func newJob(id string, spec jayjob.Spec, now time.Duration) *job {
	j := &job{id: id, spec: spec, accepted: now, request: spec.Shape().Accelerators() == 0, done: make(chan struct{}), avoid: map[string]bool{}}
	if spec.Deadline() > 0 {
		j.due = now + spec.Deadline()
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

// mustFinish reports whether a graceful shutdown waits for the job: somebody
// waits for it here, or no other entry could take it over.
func (j *job) mustFinish() bool { return j.waiters > 0 || !j.durable || !j.spec.Idempotent() }

// neverRan reports whether no member of any attempt can have started.
func (j *job) neverRan() bool {
	return !j.mayHave && (j.attempt == nil || (len(j.attempt.seats) > 1 && !j.attempt.committed))
}

// attempt is one try at a job, as its entry sees it.
type attempt struct {
	id       jayattempt.ID
	state    *jayattempt.Attempt
	job      *job
	digest   []byte
	seats    []string
	anchor   string
	owner    jayattempt.Incarnation
	sent     time.Duration
	heard    time.Duration
	settling bool
	// committed says that the anchor may have been asked to decide.
	committed bool
	router    bool
}

// move takes the attempt to the next state; a step that the state machine does
// not allow is a fault of this program.
func (e *Entry) move(a *attempt, to jayattempt.State) {
	if a.state.State() == to {
		return
	}
	if err := a.state.Transition(to); err != nil {
		e.counter(`jaystile_entry_attempt_transition_errors_total`).Inc()
		e.Logger.Error().Err(err).Msg("attempt took a step that its state machine does not allow")
	}
}

// finish ends a job with answers or a refusal, once.
func (e *Entry) finish(j *job, answers [][]byte, refusal *jayrefusal.Refusal) {
	if j.ended() {
		return
	}
	now := e.now()
	j.answers = answers
	j.refusal = refusal
	j.finished = now
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
		e.postEnded(j.id, refusal, answers)
	}
	close(j.done)
	e.endedJobs = append(e.endedJobs, j)
	if j.request {
		e.dispatch()
		return
	}
	e.kick()
}

func (e *Entry) postEnded(id string, refusal *jayrefusal.Refusal, answers [][]byte) {
	b, err := jaystate.EncodeEnded(id, time.Now(), refusal, answers)
	if err == nil {
		err = e.appender.Post(b)
	}
	if err != nil {
		e.counter(`jaystile_entry_ended_records_dropped_total`).Inc()
	}
}

// forgetJobs drops ended jobs whose retention is over or that are too many.
func (e *Entry) forgetJobs(now time.Duration) {
	for len(e.endedJobs) > 0 {
		j := e.endedJobs[0]
		if len(e.endedJobs) <= maxEndedJobs && now-j.finished < e.Settings.JobRetention {
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

// expireJobs gives up jobs whose deadline has passed. Their callers hear so at
// once: a job that has not started never will, of one that has only that it may
// have run.
func (e *Entry) expireJobs(now time.Duration) {
	for _, j := range e.jobs {
		if j.ended() || j.due == 0 || now < j.due {
			continue
		}
		e.giveUp(j, jayrefusal.DeadlinePassed, "the deadline passed")
	}
}

// giveUp ends a job that will not be answered.
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

// localJob returns a job of the workspace that this entry keeps, or nil.
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

// wait waits until the job or this process has ended, at most for d.
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

// status describes a job to its caller.
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
		Attempts:  j.tries,
		AgeMs:     (now - j.accepted).Milliseconds(),
		RanMs:     j.ran.Milliseconds(),
		Entry:     e.Settings.Name,
	}
	if j.queued != nil {
		s.Stops = j.queued.Preemptions()
	}
	if j.started > 0 {
		s.WaitedMs = (j.started - j.accepted).Milliseconds()
	}
	if j.attempt != nil {
		s.State = jayapi.JobStarting
		if j.attempt.state.State() == jayattempt.Running {
			s.State = jayapi.JobRunning
		}
	}
	if j.ended() {
		s.AgeMs = (j.finished - j.accepted).Milliseconds()
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

// rowStatus describes a job of which only the log's record is known.
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

// list returns a page of the workspace's jobs after the given identity.
func (e *Entry) list(workspace, after string, limit int) jayapi.JobList {
	e.mutex.Lock()
	ids := map[string]bool{}
	for id, j := range e.jobs {
		if j.spec.Workspace() == workspace {
			ids[id] = true
		}
	}
	e.jobsFold.Each(func(r *jaystate.Row) {
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

// knownStatus describes a job from this entry's own tables.
func (e *Entry) knownStatus(workspace, id string) (jayapi.Job, bool) {
	if j := e.localJob(workspace, id); j != nil {
		return e.status(j), true
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	r := e.jobsFold.Row(id)
	if r == nil || r.Spec().Workspace() != workspace {
		return jayapi.Job{}, false
	}
	return rowStatus(r), true
}
