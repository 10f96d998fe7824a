package jayentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/process/jayqueue"
	"github.com/jaystile/jaystile/internal/process/jaysched"
	"github.com/jaystile/jaystile/internal/process/jaystate"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	// claimTimeout bounds the wait for the log unless the caller sets a limit.
	claimTimeout       = 3 * time.Second
	claimRetryInterval = 50 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound the retry delay suggested to callers.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// earlierJobTimeout bounds the wait for an earlier job with the same key, here or
	// at another entry, unless the caller sets a deadline.
	earlierJobTimeout = 30 * time.Second
	// unknownOwnerTimeout bounds the wait for an earlier job whose entry does not know it
	// or has no link to this one: it may not have read its own claim yet, which it gives
	// up after claimTimeout.
	unknownOwnerTimeout = claimTimeout
)

// submission is a validated job with the caller's options.
type submission struct {
	spec    jayjob.Spec
	wait    bool
	durable bool
	logWait time.Duration
}

// submit admits and queues a job. It returns the job, the status of an earlier job
// with the same key, or a refusal.
func (e *Entry) submit(ctx context.Context, s submission) (*job, *jayapi.Job, error) {
	if refusal := e.checkAdmission(s); refusal != nil {
		return nil, nil, refusal
	}
	id := jobPrefix + e.ids.Next().String()
	if s.spec.Key() != "" {
		if status, err := e.findByKey(s, id); status != nil || err != nil {
			return nil, status, err
		}
	}
	if s.durable {
		if status, err := e.claim(ctx, id, s); status != nil || err != nil {
			return nil, status, err
		}
	}
	return e.enqueue(id, s)
}

// checkAdmission returns a refusal if the job must not be queued.
func (e *Entry) checkAdmission(s submission) *jayrefusal.Refusal {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.draining {
		return jayrefusal.New(jayrefusal.Draining, jayrefusal.NotRun, "this entry is shutting down; ask another").WithRetryAfter(minRetryAfter)
	}
	m := e.manifests.Current()
	if m == nil {
		return jayrefusal.New(jayrefusal.NoManifest, jayrefusal.NotRun, "no manifest is in force yet").WithRetryAfter(jitteredRetryAfter(time.Second))
	}
	if keyExpired(s.spec.Key(), e.Settings.KeyRetention) {
		return jayrefusal.New(jayrefusal.KeyExpired, jayrefusal.Unknown, "the idempotency key is older than keys are remembered")
	}
	if refusal := e.checkFeasible(s.spec); refusal != nil {
		return refusal
	}
	return e.checkQueueLimit(s.spec, m.Workspace(s.spec.Workspace()))
}

// keyExpired reports whether a ULID key is older than the retention. Other keys
// carry no time.
func keyExpired(key string, retention time.Duration) bool {
	u, err := ulid.ParseStrict(key)
	return err == nil && time.Since(ulid.Time(u.Time())) > retention
}

// checkFeasible returns a refusal for a job that can never run. Until the pool is
// known, jobs are queued unchecked; recheckFeasibility checks them later.
func (e *Entry) checkFeasible(spec jayjob.Spec) *jayrefusal.Refusal {
	if spec.Shape().Accelerators() == 0 || !e.poolKnown(e.now()) {
		return nil
	}
	if err := e.scheduler.CheckFeasible(jaysched.NewJob("", spec, 0)); err != nil {
		return jayrefusal.New(jayrefusal.NeverFits, jayrefusal.NotRun, "%v", err)
	}
	return nil
}

// poolKnown reports whether every live agent has had time to link to this entry.
func (e *Entry) poolKnown(now time.Duration) bool {
	return now-e.started >= e.adoptionDelay() && e.scheduler.Pool().Total() > 0
}

// recheckFeasibility refuses, once the pool is known, the jobs queued before that
// can never run.
func (e *Entry) recheckFeasibility(now time.Duration) {
	if e.feasibilityChecked || !e.poolKnown(now) {
		return
	}
	e.feasibilityChecked = true
	for _, j := range e.jobs {
		if j.ended() || j.attempt != nil || j.mayHaveRun {
			continue
		}
		if refusal := e.checkFeasible(j.spec); refusal != nil {
			e.finish(j, nil, refusal)
		}
	}
}

// checkQueueLimit refuses a job if its queue is full or it cannot meet its
// deadline.
func (e *Entry) checkQueueLimit(spec jayjob.Spec, w *jaymanifest.Workspace) *jayrefusal.Refusal {
	limit := e.Settings.QueueLimit
	if w != nil && w.QueueLimit() > 0 {
		limit = min(limit, w.QueueLimit())
	}
	request := spec.Shape().Accelerators() == 0
	waiting := e.scheduler.WaitingIn(spec.Workspace(), spec.Class())
	if request {
		waiting = e.queue.LenIn(spec.Workspace(), spec.Class())
	}
	expected := e.expectedWait(spec, waiting)
	if waiting >= limit {
		return jayrefusal.New(jayrefusal.QueueFull, jayrefusal.NotRun, "%d %s jobs of the workspace wait already", waiting, spec.Class()).WithRetryAfter(jitteredRetryAfter(expected))
	}
	if request && spec.Deadline() > 0 && expected > spec.Deadline() {
		return jayrefusal.New(jayrefusal.DeadlineTooNear, jayrefusal.NotRun, "the expected wait of %s is longer than the deadline", expected.Round(time.Millisecond)).WithRetryAfter(jitteredRetryAfter(expected - spec.Deadline()/2))
	}
	return nil
}

// expectedWait estimates the queueing time of a new job. For jobs with accelerators it
// assumes one second for each waiting job of the workspace and class.
func (e *Entry) expectedWait(spec jayjob.Spec, waiting int) time.Duration {
	if spec.Shape().Accelerators() > 0 {
		return time.Duration(waiting+1) * time.Second
	}
	slots := max(e.router.Capacity(e.now())/max(len(e.linkedPeers())+1, 1), 1)
	ahead := e.queue.Ahead(spec.Workspace(), spec.Class())
	return time.Duration(ahead) * e.router.MeanLatency() / time.Duration(slots)
}

// jitteredRetryAfter returns a random delay around d, so that callers refused at
// the same time do not retry at the same time.
func jitteredRetryAfter(d time.Duration) time.Duration {
	d = min(max(d, minRetryAfter), maxRetryAfter)
	return d/2 + rand.N(d)
}

// findByKey returns the status of an earlier job with the same key from this
// entry's tables. It reserves the key for id if there is none, and refuses a key
// that was used with another body.
func (e *Entry) findByKey(s submission, id string) (*jayapi.Job, error) {
	k := workspaceKey{s.spec.Workspace(), s.spec.Key()}
	e.mutex.Lock()
	if row := e.jobTable.ByKey(k.workspace, k.key); row != nil && !keyReleased(row) {
		e.mutex.Unlock()
		return e.answerRepeated(row, s)
	}
	j := e.jobs[e.localKeys[k]]
	if j == nil || (j.ended() && j.refusal != nil && j.refusal.Outcome() == jayrefusal.NotRun) {
		e.localKeys[k] = id
		e.mutex.Unlock()
		return nil, nil
	}
	e.mutex.Unlock()
	if j.spec.Digest() != s.spec.Digest() {
		return nil, keyReused()
	}
	return e.awaitLocalJob(j, s)
}

// keyReleased reports whether the job's key may be used again because the job never
// ran.
func keyReleased(r *jaystate.Row) bool {
	return r.End() != nil && r.End().Refusal() != nil && r.End().Refusal().Outcome() == jayrefusal.NotRun
}

func keyReused() *jayrefusal.Refusal {
	return jayrefusal.New(jayrefusal.KeyReused, jayrefusal.NotRun, "the idempotency key belongs to a job with another body")
}

// answerRepeated answers a submission with the status of the job that holds its
// key. It asks again while the job's entry does not know of the job.
func (e *Entry) answerRepeated(row *jaystate.Row, s submission) (*jayapi.Job, error) {
	if !row.SameDigest(s.spec) {
		return nil, keyReused()
	}
	e.counter(`jaystile_entry_repeated_keys_total`).Inc()
	deadline := e.now() + min(s.waitTime(), unknownOwnerTimeout)
	for {
		if j := e.localJob(s.spec.Workspace(), row.ID()); j != nil {
			return e.awaitLocalJob(j, s)
		}
		if status := e.endedStatus(row); status != nil {
			return status, nil
		}
		status, err := e.queryOwner(row.ID(), s.spec.Workspace(), false, s.waitTime())
		if err == nil && status != nil {
			return status, nil
		}
		if err != nil || e.now() >= deadline || e.isClosed() {
			break
		}
		time.Sleep(claimRetryInterval)
	}
	return nil, jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Unknown, "the key's first job is with an entry that does not answer; ask again").WithRetryAfter(jitteredRetryAfter(2 * time.Second))
}

// endedStatus returns the status of a job that has ended by the log, or nil.
func (e *Entry) endedStatus(row *jaystate.Row) *jayapi.Job {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if row.End() == nil {
		return nil
	}
	status := rowStatus(row)
	return &status
}

// waitTime is how long the caller waits for the outcome of an earlier job.
func (s submission) waitTime() time.Duration {
	if !s.wait {
		return 0
	}
	if d := s.spec.Deadline(); d > 0 {
		return d
	}
	return earlierJobTimeout
}

// awaitLocalJob waits for an earlier job of this entry and returns its status.
func (e *Entry) awaitLocalJob(j *job, s submission) (*jayapi.Job, error) {
	e.wait(j, s.waitTime())
	if e.isClosed() && !j.ended() {
		return nil, jayrefusal.New(jayrefusal.Draining, jayrefusal.Unknown, "this entry shut down while the job ran").WithRetryAfter(minRetryAfter)
	}
	status := e.status(j)
	return &status, nil
}

// claim appends the job to the log and waits until the record is read back, which
// decides which job owns the key.
func (e *Entry) claim(ctx context.Context, id string, s submission) (*jayapi.Job, error) {
	timeout := claimTimeout
	if s.logWait > 0 {
		timeout = s.logWait
	} else if e.followers[jaystate.JobsStream].Health() == jaylog.Unavailable {
		return nil, logUnavailable(jayrefusal.NotRun)
	}
	if d := s.spec.Deadline(); d > 0 {
		timeout = min(timeout, d)
	}
	record, err := jaystate.EncodeAccepted(id, e.incarnation, time.Now(), s.spec)
	if err != nil {
		return nil, err
	}
	applied := make(chan *jaystate.Row, 1)
	e.mutex.Lock()
	e.pendingClaims[id] = applied
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		delete(e.pendingClaims, id)
		e.mutex.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := e.appendClaim(ctx, record, applied)
	select {
	case row := <-applied:
		return e.resolveClaim(row, id, s)
	default:
	}
	if !sent {
		return nil, logUnavailable(jayrefusal.NotRun)
	}
	return nil, logUnavailable(e.abandonClaim(id, s.spec))
}

func logUnavailable(o jayrefusal.Outcome) *jayrefusal.Refusal {
	return jayrefusal.New(jayrefusal.LogUnavailable, o, "the log does not take the job").WithRetryAfter(jitteredRetryAfter(2 * time.Second))
}

// appendClaim appends the record, again after each failure, until it has been
// applied or ctx ends. Repeated records are idempotent. It reports whether the
// record may have reached the log.
func (e *Entry) appendClaim(ctx context.Context, record []byte, applied chan *jaystate.Row) bool {
	sent := false
	for ctx.Err() == nil {
		err := e.appender.Add(ctx, record)
		var full *jaylog.QueueFullError
		if !errors.As(err, &full) {
			sent = true
		}
		if err != nil {
			e.counter(`jaystile_entry_claim_append_failures_total`).Inc()
		}
		timer := time.NewTimer(claimRetryInterval)
		done := ctx.Done()
		retry := timer.C
		if err == nil {
			retry = nil
		}
		select {
		case row := <-applied:
			applied <- row
			timer.Stop()
			return true
		case <-retry:
		case <-done:
		}
		timer.Stop()
	}
	return sent
}

// resolveClaim returns nil if the job owns its key, and otherwise the status of the
// owning job or a refusal.
func (e *Entry) resolveClaim(row *jaystate.Row, id string, s submission) (*jayapi.Job, error) {
	if row.OwnsKey() {
		return nil, nil
	}
	if row.KeysExhausted() {
		return nil, jayrefusal.New(jayrefusal.KeysExhausted, jayrefusal.NotRun, "the workspace holds as many idempotency keys as it may").WithRetryAfter(maxRetryAfter)
	}
	e.mutex.Lock()
	keyOwner := e.jobTable.ByKey(s.spec.Workspace(), s.spec.Key())
	e.mutex.Unlock()
	if keyOwner == nil || keyOwner.ID() == id {
		return nil, jayrefusal.New(jayrefusal.Conflict, jayrefusal.NotRun, "another job held the key until just now").WithRetryAfter(minRetryAfter)
	}
	return e.answerRepeated(keyOwner, s)
}

// abandonClaim gives up a claim whose append has an unknown result. This entry
// never runs the job. Another may adopt it only if it is idempotent; otherwise the
// outcome is not_run, and the key is released when the log accepts the end record.
func (e *Entry) abandonClaim(id string, spec jayjob.Spec) jayrefusal.Outcome {
	refusal := jayrefusal.New(jayrefusal.LogUnavailable, jayrefusal.NotRun, "the log did not take the job in time")
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.abandonedClaims[id] = refusal
	e.appendEnded(id, refusal, nil)
	if spec.Idempotent() {
		return jayrefusal.Unknown
	}
	return jayrefusal.NotRun
}

// enqueue registers and queues the job.
func (e *Entry) enqueue(id string, s submission) (*job, *jayapi.Job, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	j := newJob(id, s.spec, e.now())
	j.durable = s.durable
	if s.wait {
		j.waiters++
	}
	e.recorder.Record(jaytimeline.JobAccepted, jaytimeline.Fields{Job: id, Workspace: s.spec.Workspace(), Detail: s.spec.Kind() + " " + s.spec.Shape().String()})
	if err := e.queueJob(j); err != nil {
		refusal := jayrefusal.New(jayrefusal.QueueFull, jayrefusal.NotRun, "%v", err).WithRetryAfter(jitteredRetryAfter(time.Second))
		if j.durable {
			e.appendEnded(id, refusal, nil)
		}
		return nil, nil, refusal
	}
	e.retryBudget.earn()
	e.counter(`jaystile_entry_jobs_accepted_total`).Inc()
	if !j.isRequest {
		e.signalDecide()
	}
	return j, nil, nil
}

// queueJob adds a job to the scheduler's queue or, if it needs no accelerators, to
// the request queue.
func (e *Entry) queueJob(j *job) error {
	if j.isRequest {
		if err := e.queue.Push(e.queueItem(j), e.Settings.QueueLimit); err != nil {
			return err
		}
		e.jobs[j.id] = j
		e.dispatch()
		return nil
	}
	j.scheduled = jaysched.NewJob(j.id, j.spec, j.acceptedAt)
	e.scheduler.Enqueue(j.scheduled)
	e.jobs[j.id] = j
	return nil
}

func (e *Entry) queueItem(j *job) jayqueue.Item {
	share := 1
	if m := e.manifests.Current(); m != nil && m.Workspace(j.spec.Workspace()) != nil {
		share = m.Workspace(j.spec.Workspace()).Share()
	}
	return jayqueue.Item{ID: j.id, Workspace: j.spec.Workspace(), Class: j.spec.Class(), Arrived: j.acceptedAt, Deadline: j.deadline, Share: share}
}
