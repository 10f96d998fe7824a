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
	// claimTimeout bounds the wait for the log when the caller sets no other.
	claimTimeout = 3 * time.Second
	claimRetry   = 50 * time.Millisecond
	// retryAfterLeast and retryAfterMost bound when a caller is told to come back.
	retryAfterLeast = 100 * time.Millisecond
	retryAfterMost  = 30 * time.Second
	// followTimeout bounds the wait for a job that another entry runs.
	followTimeout = 30 * time.Second
)

// submission is a checked job with what its caller asked of its handling.
type submission struct {
	spec    jayjob.Spec
	wait    bool
	durable bool
	logWait time.Duration
}

// submit admits a job. It returns the job, or the status of an earlier job that
// holds the same key, or a refusal.
func (e *Entry) submit(ctx context.Context, s submission) (*job, *jayapi.Job, error) {
	if refusal := e.admit(s); refusal != nil {
		return nil, nil, refusal
	}
	id := jobPrefix + e.source.Next().String()
	if s.spec.Key() != "" {
		if status, err := e.earlier(s, id); status != nil || err != nil {
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

// admit refuses what cannot or must not be queued.
func (e *Entry) admit(s submission) *jayrefusal.Refusal {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.draining {
		return jayrefusal.New(jayrefusal.Draining, jayrefusal.NotRun, "this entry is shutting down; ask another").WithRetryAfter(retryAfterLeast)
	}
	m := e.manifests.Current()
	if m == nil {
		return jayrefusal.New(jayrefusal.NoManifest, jayrefusal.NotRun, "no manifest is in force yet").WithRetryAfter(spread(time.Second))
	}
	if keyTooOld(s.spec.Key(), e.Settings.KeyRetention) {
		return jayrefusal.New(jayrefusal.KeyExpired, jayrefusal.Unknown, "the idempotency key is older than keys are remembered")
	}
	if refusal := e.fits(s.spec); refusal != nil {
		return refusal
	}
	return e.admitToQueue(s.spec, m.Workspace(s.spec.Workspace()))
}

// keyTooOld judges keys that carry the time at which they were made.
func keyTooOld(key string, retention time.Duration) bool {
	u, err := ulid.ParseStrict(key)
	return err == nil && time.Since(ulid.Time(u.Time())) > retention
}

// fits refuses a job that can never run. A new entry does not know the pool yet:
// jobs wait until it does, and are judged then.
func (e *Entry) fits(spec jayjob.Spec) *jayrefusal.Refusal {
	if spec.Shape().Accelerators() == 0 || !e.knowsPool(e.now()) {
		return nil
	}
	if err := e.scheduler.CheckFeasible(jaysched.NewJob("", spec, 0)); err != nil {
		return jayrefusal.New(jayrefusal.NeverFits, jayrefusal.NotRun, "%v", err)
	}
	return nil
}

// knowsPool reports whether every side that lives has had the time to link to
// this entry.
func (e *Entry) knowsPool(now time.Duration) bool {
	return now-e.started >= e.adoptAfter() && e.scheduler.Pool().Total() > 0
}

// judgeWaiting refuses, once the pool is known, the jobs that were queued before
// and can never run.
func (e *Entry) judgeWaiting(now time.Duration) {
	if e.judged || !e.knowsPool(now) {
		return
	}
	e.judged = true
	for _, j := range e.jobs {
		if j.ended() || j.attempt != nil || j.mayHave {
			continue
		}
		if refusal := e.fits(j.spec); refusal != nil {
			e.finish(j, nil, refusal)
		}
	}
}

// admitToQueue enforces the bound of the queue and sheds what cannot meet its
// deadline.
func (e *Entry) admitToQueue(spec jayjob.Spec, w *jaymanifest.Workspace) *jayrefusal.Refusal {
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
		return jayrefusal.New(jayrefusal.QueueFull, jayrefusal.NotRun, "%d %s jobs of the workspace wait already", waiting, spec.Class()).WithRetryAfter(spread(expected))
	}
	if request && spec.Deadline() > 0 && expected > spec.Deadline() {
		return jayrefusal.New(jayrefusal.DeadlineTooNear, jayrefusal.NotRun, "the expected wait of %s is longer than the deadline", expected.Round(time.Millisecond)).WithRetryAfter(spread(expected - spec.Deadline()/2))
	}
	return nil
}

// expectedWait estimates how long a new job waits for its turn.
func (e *Entry) expectedWait(spec jayjob.Spec, waiting int) time.Duration {
	if spec.Shape().Accelerators() > 0 {
		return time.Duration(waiting+1) * time.Second
	}
	slots := max(e.router.Capacity(e.now())/max(len(e.livePeers())+1, 1), 1)
	ahead := e.queue.Ahead(spec.Workspace(), spec.Class())
	return time.Duration(ahead) * e.router.MeanLatency() / time.Duration(slots)
}

// spread returns a time to come back at random around d, so that callers that
// were refused together do not return together.
func spread(d time.Duration) time.Duration {
	d = min(max(d, retryAfterLeast), retryAfterMost)
	return d/2 + rand.N(d)
}

// earlier finds a job of the same key that is known without asking the log. A
// key with another body is refused.
func (e *Entry) earlier(s submission, id string) (*jayapi.Job, error) {
	k := workspaceKey{s.spec.Workspace(), s.spec.Key()}
	e.mutex.Lock()
	if row := e.jobsFold.ByKey(k.workspace, k.key); row != nil && !released(row) {
		e.mutex.Unlock()
		return e.repeated(row, s)
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
	return e.awaitLocal(j, s)
}

// released reports whether the row's key is free again: its job never ran.
func released(r *jaystate.Row) bool {
	return r.End() != nil && r.End().Refusal() != nil && r.End().Refusal().Outcome() == jayrefusal.NotRun
}

func keyReused() *jayrefusal.Refusal {
	return jayrefusal.New(jayrefusal.KeyReused, jayrefusal.NotRun, "the idempotency key belongs to a job with another body")
}

// repeated answers a submission whose key another job holds with that job's
// outcome.
func (e *Entry) repeated(row *jaystate.Row, s submission) (*jayapi.Job, error) {
	if !row.SameDigest(s.spec) {
		return nil, keyReused()
	}
	e.counter(`jaystile_entry_repeated_keys_total`).Inc()
	if j := e.localJob(s.spec.Workspace(), row.ID()); j != nil {
		return e.awaitLocal(j, s)
	}
	if row.End() != nil {
		status := rowStatus(row)
		return &status, nil
	}
	status, err := e.askOwner(row.ID(), s.spec.Workspace(), false, s.waitTime())
	if err == nil && status != nil {
		return status, nil
	}
	return nil, jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Unknown, "the key's first job is with an entry that does not answer; ask again").WithRetryAfter(spread(2 * time.Second))
}

// waitTime is how long the caller wants its request held open.
func (s submission) waitTime() time.Duration {
	if !s.wait {
		return 0
	}
	if d := s.spec.Deadline(); d > 0 {
		return d
	}
	return followTimeout
}

// awaitLocal waits with the caller for a job that was here before.
func (e *Entry) awaitLocal(j *job, s submission) (*jayapi.Job, error) {
	e.wait(j, s.waitTime())
	if e.isClosed() && !j.ended() {
		return nil, jayrefusal.New(jayrefusal.Draining, jayrefusal.Unknown, "this entry shut down while the job ran").WithRetryAfter(retryAfterLeast)
	}
	status := e.status(j)
	return &status, nil
}

// claim appends the job to the log and waits until the log's order has said
// whose the key is.
func (e *Entry) claim(ctx context.Context, id string, s submission) (*jayapi.Job, error) {
	patience := claimTimeout
	if s.logWait > 0 {
		patience = s.logWait
	} else if e.follower[jaystate.JobsStream].Health() == jaylog.Unavailable {
		return nil, logUnavailable(jayrefusal.NotRun)
	}
	if d := s.spec.Deadline(); d > 0 {
		patience = min(patience, d)
	}
	record, err := jaystate.EncodeAccepted(id, e.incarnation, time.Now(), s.spec)
	if err != nil {
		return nil, err
	}
	folded := make(chan *jaystate.Row, 1)
	e.mutex.Lock()
	e.claims[id] = folded
	e.mutex.Unlock()
	defer func() {
		e.mutex.Lock()
		delete(e.claims, id)
		e.mutex.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	sent := e.appendClaim(ctx, record, folded)
	select {
	case row := <-folded:
		return e.judgeClaim(row, id, s)
	default:
	}
	if !sent {
		return nil, logUnavailable(jayrefusal.NotRun)
	}
	return nil, logUnavailable(e.abandonClaim(id, s.spec))
}

func logUnavailable(o jayrefusal.Outcome) *jayrefusal.Refusal {
	return jayrefusal.New(jayrefusal.LogUnavailable, o, "the log does not take the job").WithRetryAfter(spread(2 * time.Second))
}

// appendClaim appends the record again after each lost answer, which is
// harmless, until the fold shows it. It reports whether the record may have
// reached the log.
func (e *Entry) appendClaim(ctx context.Context, record []byte, folded chan *jaystate.Row) bool {
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
		pause := time.NewTimer(claimRetry)
		done := ctx.Done()
		retry := pause.C
		if err == nil {
			retry = nil
		}
		select {
		case row := <-folded:
			folded <- row
			pause.Stop()
			return true
		case <-retry:
		case <-done:
		}
		pause.Stop()
	}
	return sent
}

// judgeClaim acts on the log's word about a claim.
func (e *Entry) judgeClaim(row *jaystate.Row, id string, s submission) (*jayapi.Job, error) {
	if row.OwnsKey() {
		return nil, nil
	}
	if row.KeysExhausted() {
		return nil, jayrefusal.New(jayrefusal.KeysExhausted, jayrefusal.NotRun, "the workspace holds as many idempotency keys as it may").WithRetryAfter(retryAfterMost)
	}
	e.mutex.Lock()
	holder := e.jobsFold.ByKey(s.spec.Workspace(), s.spec.Key())
	e.mutex.Unlock()
	if holder == nil || holder.ID() == id {
		return nil, jayrefusal.New(jayrefusal.Conflict, jayrefusal.NotRun, "another job held the key until just now").WithRetryAfter(retryAfterLeast)
	}
	return e.repeated(holder, s)
}

// abandonClaim gives up a claim whose fate is unknown. This entry never runs
// the job, and no other runs one that is not idempotent: then "not run" is
// true, and the key is released as soon as the log takes the record.
func (e *Entry) abandonClaim(id string, spec jayjob.Spec) jayrefusal.Outcome {
	refusal := jayrefusal.New(jayrefusal.LogUnavailable, jayrefusal.NotRun, "the log did not take the job in time")
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.abandoned[id] = refusal
	e.postEnded(id, refusal, nil)
	if spec.Idempotent() {
		return jayrefusal.Unknown
	}
	return jayrefusal.NotRun
}

// enqueue makes the job known and queues it.
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
		refusal := jayrefusal.New(jayrefusal.QueueFull, jayrefusal.NotRun, "%v", err).WithRetryAfter(spread(time.Second))
		if j.durable {
			e.postEnded(id, refusal, nil)
		}
		return nil, nil, refusal
	}
	e.budget.earn()
	e.counter(`jaystile_entry_jobs_accepted_total`).Inc()
	if !j.request {
		e.kick()
	}
	return j, nil, nil
}

// queueJob queues a job with the scheduler or, when it needs only a slot, with
// the request queue.
func (e *Entry) queueJob(j *job) error {
	if j.request {
		if err := e.queue.Push(e.itemOf(j), e.Settings.QueueLimit); err != nil {
			return err
		}
		e.jobs[j.id] = j
		e.dispatch()
		return nil
	}
	j.queued = jaysched.NewJob(j.id, j.spec, j.accepted)
	e.scheduler.Enqueue(j.queued)
	e.jobs[j.id] = j
	return nil
}

func (e *Entry) itemOf(j *job) jayqueue.Item {
	share := 1
	if m := e.manifests.Current(); m != nil && m.Workspace(j.spec.Workspace()) != nil {
		share = m.Workspace(j.spec.Workspace()).Share()
	}
	return jayqueue.Item{ID: j.id, Workspace: j.spec.Workspace(), Class: j.spec.Class(), Arrived: j.accepted, Deadline: j.due, Share: share}
}
