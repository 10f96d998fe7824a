package jayentry

import (
	"bytes"
	"context"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayroute"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	// settleAfter is how long an attempt may go unheard of before its anchor is
	// asked.
	settleAfter   = 2 * time.Second
	settleTimeout = 2 * time.Second
	// maxFailures bounds how often a job is tried again after it has failed.
	maxFailures = 5
	// maxNever bounds how often a job is placed again without a start.
	maxNever = 200
)

// onOutcome takes an anchor's word that came unasked. An outcome of no open
// attempt, or with another digest, is dropped.
func (e *Entry) onOutcome(l *jaylink.Link, o *jayframe.Outcome) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	a := e.attempts[o.Attempt.ID()]
	if a == nil {
		e.dropAnswer(o, "no open attempt")
		return
	}
	if l.Peer() != a.anchor {
		e.dropAnswer(o, "sender is not the anchor")
		return
	}
	e.takeOutcome(a, o)
}

func (e *Entry) dropAnswer(o *jayframe.Outcome, why string) {
	e.counter(`jaystile_entry_answers_dropped_total{why="` + why + `"}`).Inc()
	e.recorder.Record(jaytimeline.AnswerDropped, jaytimeline.Fields{Attempt: o.Attempt.ID().String(), Worker: o.Worker, Detail: why})
}

// takeOutcome acts on what an anchor says of an open attempt.
func (e *Entry) takeOutcome(a *attempt, o *jayframe.Outcome) {
	if e.attempts[a.id] != a || a.job.ended() {
		return
	}
	a.heard = e.now()
	if len(o.Digest) > 0 && !bytes.Equal(o.Digest, a.digest) {
		e.dropAnswer(o, "digest differs")
		return
	}
	switch o.Status {
	case jayframe.StatusReserved:
	case jayframe.StatusRunning:
		a.job.mayHave = true
		e.move(a, jayattempt.Running)
	case jayframe.StatusAnswered:
		e.answered(a, o)
	case jayframe.StatusNeverStarted:
		e.neverStarted(a, o)
	case jayframe.StatusStopped:
		e.stopped(a, o)
	case jayframe.StatusFailed:
		e.failed(a, o.Message, jayrefusal.Failed)
	case jayframe.StatusCanceled:
		e.move(a, jayattempt.Answered)
		a.job.mayHave = true
		e.finish(a.job, nil, jayrefusal.New(jayrefusal.Canceled, jayrefusal.Ran, "the job was stopped after it had started"))
	case jayframe.StatusUnknown:
		e.failed(a, "the anchor does not know the attempt", jayrefusal.OwnerLost)
	}
}

// answered delivers the whole answer. One that lacks a member's part is
// dropped; the anchor is asked again.
func (e *Entry) answered(a *attempt, o *jayframe.Outcome) {
	j := a.job
	if len(o.Results) != j.spec.Shape().Members() {
		e.dropAnswer(o, "truncated")
		return
	}
	j.mayHave = true
	e.move(a, jayattempt.Answered)
	took := e.now() - a.sent
	j.ran += time.Duration(o.ElapsedMillis) * time.Millisecond
	if a.router {
		e.router.Done(a.anchor, jayroute.Answered, took, e.now())
	} else {
		e.scheduler.Finish(j.id, j.ran)
	}
	for _, worker := range a.seats {
		e.health.RecordSuccess(worker, j.spec.Workspace(), j.spec.Kind())
	}
	e.metrics.GetOrCreateHistogram(`jaystile_entry_completion_seconds{class="` + j.spec.Class().String() + `"}`).Update((e.now() - j.accepted).Seconds())
	e.finish(j, o.Results, nil)
}

// ownerCauses are the codes by which owners refuse for reasons of their own
// load; any other refusal counts against the worker.
var ownerCauses = map[string]bool{
	"no_room":           true,
	"no_slot":           true,
	"guarantee_blocked": true,
	"draining":          true,
	"buried":            true,
	"homes_unknown":     true,
	"displaced":         true,
	"never_heard_of":    true,
}

// neverStarted places a job again whose attempt certainly did not run.
func (e *Entry) neverStarted(a *attempt, o *jayframe.Outcome) {
	j := a.job
	e.move(a, jayattempt.Refused)
	if a.router {
		result := jayroute.NoSlot
		if !ownerCauses[o.Code] {
			result = jayroute.Failed
		}
		e.router.Done(a.anchor, result, 0, e.now())
		j.avoid[a.anchor] = true
	} else if !ownerCauses[o.Code] && o.Message != "" {
		e.workerFailed(a.anchor, j.spec)
		j.failures++
	}
	e.endAttempt(a, o.Code+" "+o.Message)
	if e.health.Poisoned(j.spec.Workspace(), j.spec.Kind()) && j.failures >= maxFailures || j.tries >= maxNever {
		e.finish(j, nil, jayrefusal.New(jayrefusal.Failed, j.outcomeSoFar(), "no worker could start the job: %s", o.Message).WithRetryAfter(spread(retryAfterMost)))
		return
	}
	e.retryPlacement(j, o.Code+" "+o.Message)
}

// outcomeSoFar is what can be said of a job that will not be tried again.
func (j *job) outcomeSoFar() jayrefusal.Outcome {
	if j.mayHave {
		return jayrefusal.Unknown
	}
	return jayrefusal.NotRun
}

// stopped queues a job again that made room for other work.
func (e *Entry) stopped(a *attempt, o *jayframe.Outcome) {
	j := a.job
	j.mayHave = true
	j.refused = 0
	e.move(a, jayattempt.Answered)
	e.endAttempt(a, "stopped for other work")
	done := time.Duration(o.ProgressMillis) * time.Millisecond
	if len(o.Checkpoint) == 0 && !j.spec.Idempotent() {
		e.finish(j, nil, jayrefusal.New(jayrefusal.Failed, jayrefusal.Ran, "the job was stopped and its checkpoint was lost"))
		return
	}
	if len(o.Checkpoint) > 0 {
		j.saved = o.Checkpoint
	}
	e.counter(`jaystile_entry_stops_total`).Inc()
	e.recorder.Record(jaytimeline.JobRequeued, jaytimeline.Fields{Job: j.id, Workspace: j.spec.Workspace(), Detail: "stopped for other work with " + done.String() + " saved"})
	e.scheduler.Requeue(j.id, done)
	e.kick()
}

// failed tries an idempotent job again within the retry budget; any other job
// ends with what is known.
func (e *Entry) failed(a *attempt, message string, code jayrefusal.Code) {
	j := a.job
	j.mayHave = true
	if a.state.State() == jayattempt.Sent {
		e.move(a, jayattempt.Unknown)
	}
	if j.due > 0 && e.now()+sheddingMargin >= j.due {
		e.outOfTime(a)
		return
	}
	if a.router {
		e.router.Done(a.anchor, jayroute.Failed, 0, e.now())
		j.avoid[a.anchor] = true
	} else if code == jayrefusal.Failed {
		for _, worker := range a.seats {
			e.workerFailed(worker, j.spec)
		}
	}
	e.endAttempt(a, message)
	j.failures++
	resumes := j.spec.Idempotent() || (len(j.saved) > 0 && code == jayrefusal.Failed)
	if !resumes || j.canceling {
		e.finish(j, nil, jayrefusal.New(code, jayrefusal.Unknown, "%s", message))
		return
	}
	if j.failures > maxFailures || !e.budget.spend() {
		e.finish(j, nil, jayrefusal.New(code, jayrefusal.Ran, "%s; tried %d times", message, j.tries).WithRetryAfter(spread(time.Second)))
		return
	}
	e.counter(`jaystile_entry_retries_total`).Inc()
	e.retryPlacement(j, message)
}

// outOfTime ends a job whose owner stopped waiting at the caller's deadline. That
// says nothing about the worker or runner.
func (e *Entry) outOfTime(a *attempt) {
	if a.router {
		e.router.Done(a.anchor, jayroute.Neutral, 0, e.now())
	}
	e.endAttempt(a, "the deadline passed")
	e.finish(a.job, nil, jayrefusal.New(jayrefusal.DeadlinePassed, jayrefusal.Unknown, "the deadline passed while the job ran"))
}

// settleStale asks the anchors of attempts that have not been heard of for a
// while, and gives up those whose owner has certainly stopped.
func (e *Entry) settleStale(now time.Duration) {
	for _, a := range e.attempts {
		if a.settling {
			continue
		}
		s := e.sides[a.anchor]
		if s == nil || s.incarnation != a.owner {
			e.lost(a, "a new life of the owner began")
			continue
		}
		if s.link == nil {
			if now-s.lostAt >= e.patience(a.job) {
				e.lost(a, "the owner is out of contact")
			}
			continue
		}
		stale := now-a.heard >= settleAfter
		if a.state.State() == jayattempt.Unknown || (stale && (a.router || len(a.seats) == 1 || a.committed)) {
			a.settling = true
			e.work.Spawn(func() { e.settle(a, s.link) })
		}
	}
}

// patience is how long an attempt waits for an owner that is out of contact.
// Urgent idempotent work moves at once; other work waits until what its owner
// ran has certainly stopped, rather than hold accelerators twice.
func (e *Entry) patience(j *job) time.Duration {
	if j.spec.Class() == jayjob.Urgent && j.spec.Idempotent() {
		return 0
	}
	return e.ownerDeadAfter()
}

// lost ends an attempt whose owner cannot be asked any more. What ran under it
// has stopped by now.
func (e *Entry) lost(a *attempt, why string) {
	if len(a.seats) > 1 && !a.committed {
		e.dropAttempt(a, why)
		e.retryPlacement(a.job, why)
		return
	}
	if a.state.State() == jayattempt.NotSent {
		e.move(a, jayattempt.Sent)
	}
	e.move(a, jayattempt.Unknown)
	e.failed(a, why, jayrefusal.OwnerLost)
}

// settle asks the anchor what became of an attempt.
func (e *Entry) settle(a *attempt, l *jaylink.Link) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	reply, err := l.Call(ctx, &jayframe.Resolve{Attempt: jayframe.FromID(a.id), Incarnation: uint64(a.owner)})
	e.mutex.Lock()
	defer e.mutex.Unlock()
	a.settling = false
	o, ok := reply.(*jayframe.Outcome)
	if err != nil || !ok {
		return
	}
	e.counter(`jaystile_entry_settlements_total`).Inc()
	e.recorder.Record(jaytimeline.AttemptSettled, e.attemptFields(a, o.Code+" "+o.Message))
	if a.state.State() == jayattempt.Unknown && o.Status == jayframe.StatusReserved {
		// Nobody will commit it any more.
		_ = l.Send(&jayframe.Release{Attempt: jayframe.FromID(a.id)})
		return
	}
	e.takeOutcome(a, o)
}

// cancelAttempt tells the anchor to stop an attempt.
func (e *Entry) cancelAttempt(a *attempt) {
	if s := e.sides[a.anchor]; s != nil && s.link != nil {
		_ = s.link.Send(&jayframe.Cancel{Attempt: jayframe.FromID(a.id), Incarnation: uint64(a.owner)})
	}
	if a.router {
		e.router.Done(a.anchor, jayroute.Neutral, 0, e.now())
	}
}

// cancelJob stops a job: one that waits ends at once, one that runs ends when
// its anchor has stopped it.
func (e *Entry) cancelJob(j *job, code jayrefusal.Code, message string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if j.ended() || j.canceling {
		return
	}
	e.counter(`jaystile_entry_cancels_total`).Inc()
	e.recorder.Record(jaytimeline.JobCanceled, jaytimeline.Fields{Job: j.id, Workspace: j.spec.Workspace()})
	if j.attempt == nil {
		e.finish(j, nil, jayrefusal.New(code, j.outcomeSoFar(), "%s", message))
		return
	}
	if j.neverRan() {
		e.finish(j, nil, jayrefusal.New(code, jayrefusal.NotRun, "%s before it started", message))
		return
	}
	j.canceling = true
	if s := e.sides[j.attempt.anchor]; s != nil && s.link != nil {
		_ = s.link.Send(&jayframe.Cancel{Attempt: jayframe.FromID(j.attempt.id), Incarnation: uint64(j.attempt.owner)})
	}
}

// routeChanged records a runner's ejection or return.
func (e *Entry) routeChanged(c jayroute.Change) {
	name := jaytimeline.RunnerReturned
	if c.Ejected {
		name = jaytimeline.RunnerEjected
		e.counter(`jaystile_entry_ejections_total`).Inc()
	}
	e.recorder.Record(name, jaytimeline.Fields{Worker: c.Runner, Detail: c.Cause})
}
