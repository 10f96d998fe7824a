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
	// resolveDelay is the time without news of an attempt after which its
	// coordinator is asked.
	resolveDelay   = 2 * time.Second
	resolveTimeout = 2 * time.Second
	// maxFailures bounds the retries of a job that failed.
	maxFailures = 5
	// maxAttempts bounds the attempts of a job that no worker starts.
	maxAttempts = 200
)

// onOutcome applies an unsolicited outcome from a coordinator. Outcomes of unknown
// attempts, from other senders or with another digest are dropped.
func (e *Entry) onOutcome(l *jaylink.Link, o *jayframe.Outcome) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	a := e.attempts[o.Attempt.ID()]
	if a == nil {
		e.dropAnswer(o, "no open attempt")
		return
	}
	if l.Peer() != a.coordinator {
		// The reason is a metric label; the anchor is the coordinator.
		e.dropAnswer(o, "sender is not the anchor")
		return
	}
	e.applyOutcome(a, o)
}

func (e *Entry) dropAnswer(o *jayframe.Outcome, why string) {
	e.counter(`jaystile_entry_answers_dropped_total{why="` + why + `"}`).Inc()
	e.recorder.Record(jaytimeline.AnswerDropped, jaytimeline.Fields{Attempt: o.Attempt.ID().String(), Worker: o.Worker, Detail: why})
}

// applyOutcome updates an open attempt and its job from the coordinator's outcome.
func (e *Entry) applyOutcome(a *attempt, o *jayframe.Outcome) {
	if e.attempts[a.id] != a || a.job.ended() {
		return
	}
	a.lastHeard = e.now()
	if len(o.Digest) > 0 && !bytes.Equal(o.Digest, a.digest) {
		e.dropAnswer(o, "digest differs")
		return
	}
	switch o.Status {
	case jayframe.StatusReserved:
	case jayframe.StatusRunning:
		a.job.mayHaveRun = true
		e.transition(a, jayattempt.Running)
	case jayframe.StatusAnswered:
		e.onAnswered(a, o)
	case jayframe.StatusNeverStarted:
		e.onNeverStarted(a, o)
	case jayframe.StatusStopped:
		e.onStopped(a, o)
	case jayframe.StatusFailed:
		e.onFailed(a, o.Message, jayrefusal.Failed)
	case jayframe.StatusCanceled:
		e.transition(a, jayattempt.Answered)
		a.job.mayHaveRun = true
		e.finish(a.job, nil, jayrefusal.New(jayrefusal.Canceled, jayrefusal.Ran, "the job was stopped after it had started"))
	case jayframe.StatusUnknown:
		// Callers get this text in a refusal; the anchor is the coordinator.
		e.onFailed(a, "the anchor does not know the attempt", jayrefusal.OwnerLost)
	}
}

// onAnswered ends the job with its answers. An outcome that lacks a member's answer
// is dropped, and the coordinator is asked again later.
func (e *Entry) onAnswered(a *attempt, o *jayframe.Outcome) {
	j := a.job
	if len(o.Results) != j.spec.Shape().Members() {
		e.dropAnswer(o, "truncated")
		return
	}
	j.mayHaveRun = true
	e.transition(a, jayattempt.Answered)
	took := e.now() - a.sentAt
	j.runTime += time.Duration(o.ElapsedMillis) * time.Millisecond
	if a.routed {
		e.finishRoute(a, jayroute.Answered, took)
	} else {
		e.scheduler.Finish(j.id, j.runTime)
	}
	for _, worker := range a.workers {
		e.health.RecordSuccess(worker, j.spec.Workspace(), j.spec.Kind())
	}
	e.metrics.GetOrCreateHistogram(`jaystile_entry_completion_seconds{class="` + j.spec.Class().String() + `"}`).Update((e.now() - j.acceptedAt).Seconds())
	e.finish(j, o.Results, nil)
}

// loadRefusals are the codes of refusals due to an agent's load or state. Any other
// refusal counts as a failure of the worker.
var loadRefusals = map[string]bool{
	"no_room":           true,
	"no_slot":           true,
	"guarantee_blocked": true,
	"draining":          true,
	"buried":            true,
	"homes_unknown":     true,
	"displaced":         true,
	"never_heard_of":    true,
}

// onNeverStarted retries a job whose attempt certainly did not run, within the
// limits on attempts.
func (e *Entry) onNeverStarted(a *attempt, o *jayframe.Outcome) {
	j := a.job
	e.transition(a, jayattempt.Refused)
	if a.routed {
		result := jayroute.NoSlot
		if !loadRefusals[o.Code] {
			result = jayroute.Failed
		}
		e.finishRoute(a, result, 0)
		j.avoidRunners[a.coordinator] = true
	} else if !loadRefusals[o.Code] && o.Message != "" {
		e.recordWorkerFailure(a.coordinator, j.spec)
		j.failures++
	}
	e.removeAttempt(a, o.Code+" "+o.Message)
	if e.health.Poisoned(j.spec.Workspace(), j.spec.Kind()) && j.failures >= maxFailures || j.attemptCount >= maxAttempts {
		e.finish(j, nil, jayrefusal.New(jayrefusal.Failed, j.currentOutcome(), "no worker could start the job: %s", o.Message).WithRetryAfter(jitteredRetryAfter(maxRetryAfter)))
		return
	}
	e.retryPlacement(j, o.Code+" "+o.Message)
}

// currentOutcome is the outcome of a job that is not retried.
func (j *job) currentOutcome() jayrefusal.Outcome {
	if j.mayHaveRun {
		return jayrefusal.Unknown
	}
	return jayrefusal.NotRun
}

// onStopped requeues a job that was preempted or moved, from its checkpoint if it
// has one.
func (e *Entry) onStopped(a *attempt, o *jayframe.Outcome) {
	j := a.job
	j.mayHaveRun = true
	j.refusals = 0
	e.transition(a, jayattempt.Answered)
	e.removeAttempt(a, "stopped for other work")
	progress := time.Duration(o.ProgressMillis) * time.Millisecond
	if len(o.Checkpoint) == 0 && !j.spec.Idempotent() {
		e.finish(j, nil, jayrefusal.New(jayrefusal.Failed, jayrefusal.Ran, "the job was stopped and its checkpoint was lost"))
		return
	}
	if len(o.Checkpoint) > 0 {
		j.checkpoint = o.Checkpoint
	}
	e.counter(`jaystile_entry_stops_total`).Inc()
	e.recorder.Record(jaytimeline.JobRequeued, jaytimeline.Fields{Job: j.id, Workspace: j.spec.Workspace(), Detail: "stopped for other work with " + progress.String() + " saved"})
	e.scheduler.Requeue(j.id, progress)
	e.signalDecide()
}

// onFailed retries a job that is idempotent or has a checkpoint, within the retry
// budget. Any other job ends with a refusal.
func (e *Entry) onFailed(a *attempt, message string, code jayrefusal.Code) {
	j := a.job
	j.mayHaveRun = true
	if a.state.State() == jayattempt.Sent {
		e.transition(a, jayattempt.Unknown)
	}
	if j.deadline > 0 && e.now()+minSendMargin >= j.deadline {
		e.onDeadlinePassed(a)
		return
	}
	if a.routed {
		e.finishRoute(a, jayroute.Failed, 0)
		j.avoidRunners[a.coordinator] = true
	} else if code == jayrefusal.Failed {
		for _, worker := range a.workers {
			e.recordWorkerFailure(worker, j.spec)
		}
	}
	e.removeAttempt(a, message)
	j.failures++
	retriable := j.spec.Idempotent() || (len(j.checkpoint) > 0 && code == jayrefusal.Failed)
	if !retriable || j.canceling {
		e.finish(j, nil, jayrefusal.New(code, jayrefusal.Unknown, "%s", message))
		return
	}
	if j.failures > maxFailures || !e.retryBudget.spend() {
		e.finish(j, nil, jayrefusal.New(code, jayrefusal.Ran, "%s; tried %d times", message, j.attemptCount).WithRetryAfter(jitteredRetryAfter(time.Second)))
		return
	}
	e.counter(`jaystile_entry_retries_total`).Inc()
	e.retryPlacement(j, message)
}

// finishRoute records the end of a request at its runner, unless the agent that it was
// sent to has restarted since: the router began anew then and does not count the request.
func (e *Entry) finishRoute(a *attempt, result jayroute.Result, latency time.Duration) {
	if agent := e.agents[a.coordinator]; agent == nil || agent.incarnation != a.incarnation {
		return
	}
	e.router.Finish(a.coordinator, result, latency, e.now())
}

// onDeadlinePassed ends a job whose agent gave up at the caller's deadline. This
// does not count as a failure of the worker or runner.
func (e *Entry) onDeadlinePassed(a *attempt) {
	if a.routed {
		e.finishRoute(a, jayroute.Neutral, 0)
	}
	e.removeAttempt(a, "the deadline passed")
	e.finish(a.job, nil, jayrefusal.New(jayrefusal.DeadlinePassed, jayrefusal.Unknown, "the deadline passed while the job ran"))
}

// resolveStale asks the coordinators of attempts without recent news for the
// outcome, and fails attempts whose agent has certainly stopped.
func (e *Entry) resolveStale(now time.Duration) {
	for _, a := range e.attempts {
		if a.resolving {
			continue
		}
		agent := e.agents[a.coordinator]
		if agent == nil || agent.incarnation != a.incarnation {
			// Callers get these texts in refusals; the owner is the coordinator.
			e.onCoordinatorLost(a, "a new life of the owner began")
			continue
		}
		if agent.link == nil {
			if now-agent.lostAt >= e.lostAgentTimeout(a.job) {
				e.onCoordinatorLost(a, "the owner is out of contact")
			}
			continue
		}
		stale := now-a.lastHeard >= resolveDelay
		if a.state.State() == jayattempt.Unknown || (stale && (a.routed || len(a.workers) == 1 || a.committed)) {
			a.resolving = true
			link := agent.link
			e.background.Spawn(func() { e.resolve(a, link) })
		}
	}
}

// lostAgentTimeout is how long an attempt waits for an unreachable agent. Urgent
// idempotent work is retried at once. Other work waits until the agent's work has
// certainly stopped, so that it does not occupy accelerators twice.
func (e *Entry) lostAgentTimeout(j *job) time.Duration {
	if j.spec.Class() == jayjob.Urgent && j.spec.Idempotent() {
		return 0
	}
	return e.agentStopTimeout()
}

// onCoordinatorLost ends an attempt whose coordinator is lost and whose work has
// stopped.
func (e *Entry) onCoordinatorLost(a *attempt, why string) {
	if len(a.workers) > 1 && !a.committed {
		e.discardAttempt(a, why)
		e.retryPlacement(a.job, why)
		return
	}
	if a.state.State() == jayattempt.NotSent {
		e.transition(a, jayattempt.Sent)
	}
	e.transition(a, jayattempt.Unknown)
	e.onFailed(a, why, jayrefusal.OwnerLost)
}

// resolve asks the coordinator for the outcome of an attempt.
func (e *Entry) resolve(a *attempt, l *jaylink.Link) {
	ctx, cancel := context.WithTimeout(context.Background(), resolveTimeout)
	defer cancel()
	reply, err := l.Call(ctx, &jayframe.Resolve{Attempt: jayframe.FromID(a.id), Incarnation: uint64(a.incarnation)})
	e.mutex.Lock()
	defer e.mutex.Unlock()
	a.resolving = false
	o, ok := reply.(*jayframe.Outcome)
	if err != nil || !ok {
		return
	}
	e.counter(`jaystile_entry_settlements_total`).Inc()
	e.recorder.Record(jaytimeline.AttemptSettled, e.attemptFields(a, o.Code+" "+o.Message))
	if a.state.State() == jayattempt.Unknown && o.Status == jayframe.StatusReserved {
		// The commit was lost and will not be sent again.
		_ = l.Send(&jayframe.Release{Attempt: jayframe.FromID(a.id)})
		return
	}
	e.applyOutcome(a, o)
}

// cancelAttempt tells the coordinator to stop an attempt.
func (e *Entry) cancelAttempt(a *attempt) {
	if agent := e.agents[a.coordinator]; agent != nil && agent.link != nil {
		_ = agent.link.Send(&jayframe.Cancel{Attempt: jayframe.FromID(a.id), Incarnation: uint64(a.incarnation)})
	}
	if a.routed {
		e.finishRoute(a, jayroute.Neutral, 0)
	}
}

// cancelJob cancels a job. A waiting job ends at once, a running one when its
// coordinator has stopped it.
func (e *Entry) cancelJob(j *job, code jayrefusal.Code, message string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if j.ended() || j.canceling {
		return
	}
	e.counter(`jaystile_entry_cancels_total`).Inc()
	e.recorder.Record(jaytimeline.JobCanceled, jaytimeline.Fields{Job: j.id, Workspace: j.spec.Workspace()})
	if j.attempt == nil {
		e.finish(j, nil, jayrefusal.New(code, j.currentOutcome(), "%s", message))
		return
	}
	if j.neverRan() {
		e.finish(j, nil, jayrefusal.New(code, jayrefusal.NotRun, "%s before it started", message))
		return
	}
	j.canceling = true
	if agent := e.agents[j.attempt.coordinator]; agent != nil && agent.link != nil {
		_ = agent.link.Send(&jayframe.Cancel{Attempt: jayframe.FromID(j.attempt.id), Incarnation: uint64(j.attempt.incarnation)})
	}
}

// onRouteChange records a runner's ejection or return in the timeline.
func (e *Entry) onRouteChange(c jayroute.Change) {
	name := jaytimeline.RunnerReturned
	if c.Ejected {
		name = jaytimeline.RunnerEjected
		e.counter(`jaystile_entry_ejections_total`).Inc()
	}
	e.recorder.Record(name, jaytimeline.Fields{Worker: c.Runner, Detail: c.Cause})
}
