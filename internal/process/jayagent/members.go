package jayagent

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jayhttp"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/connection/jayplatform"
	"github.com/jaystile/jaystile/internal/process/jayreservation"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/process/jaywork"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

const (
	joinTimeout    = 2 * time.Second
	joinRetryDelay = 20 * time.Millisecond
	// defaultRunTimeout bounds a request to the runner without a deadline.
	defaultRunTimeout = time.Hour
	latencyWeight     = 0.2
)

// member is one gang member that has a reservation on this agent.
type member struct {
	key          jayreservation.Key
	request      *jayframe.Reserve
	spec         jayjob.Spec
	token        uint64
	task         string
	deadline     time.Duration
	lastContact  time.Duration
	pendingCalls []pendingCall
	granted      bool
	// loadRequested is set when the worker has been asked to load the task.
	loadRequested bool
	running       bool
	stopping      bool
	// throttled is set when the task has been throttled for using more accelerators
	// than it has reserved.
	throttled bool
	// deleting is set before the task is deleted; from then on it is not started and its
	// lease is not renewed.
	deleting bool
	// startCall is closed when the call that starts the task has ended; it is nil before
	// the call.
	startCall chan struct{}
	// startUnanswered is set when the call that starts the task got no answer, so that the
	// worker may still carry it out.
	startUnanswered bool
	ended           bool
}

// pendingCall is a Reserve call that is answered when the reservation is granted.
type pendingCall struct {
	link *jaylink.Link
	call uint64
}

// remote reports whether the member's coordinator is another agent.
func (a *Agent) remote(m *member) bool { return a.gangs[m.key.Attempt] == nil }

func (a *Agent) onPrepare(attempt jayattempt.ID, i int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.prepareMember(attempt, i)
}

// prepareMember loads the task of a member on its worker.
func (a *Agent) prepareMember(attempt jayattempt.ID, i int) {
	m := a.members[jayreservation.Key{Attempt: attempt, Member: i}]
	if m == nil {
		a.sendToCoordinator(jayreservation.Key{Attempt: attempt, Member: i}, &jayframe.Prepared{Attempt: jayframe.FromID(attempt), Member: i, Message: "hold is gone"})
		return
	}
	a.extendReservation(m.key)
	m.lastContact = a.now()
	if m.spec.Shape().Accelerators() == 0 {
		a.reportPrepared(m, nil)
		return
	}
	m.loadRequested = true
	a.work.Spawn(func() {
		err := a.worker.Create(a.taskRequest(m, false))
		a.mutex.Lock()
		defer a.mutex.Unlock()
		a.reportPrepared(m, err)
	})
}

func (a *Agent) taskRequest(m *member, start bool) jayplatform.Task {
	return jayplatform.Task{
		ID:           m.task,
		Job:          m.request.Job,
		Token:        m.token,
		TTL:          a.Settings.WorkerLease,
		Accelerators: m.spec.Shape().Accelerators(),
		Payload:      m.spec.Payload(),
		Checkpoint:   m.request.Checkpoint,
		Start:        start,
	}
}

func (a *Agent) reportPrepared(m *member, err error) {
	r := &jayframe.Prepared{Attempt: jayframe.FromID(m.key.Attempt), Member: m.key.Member, OK: err == nil && !m.ended}
	if err != nil {
		r.Message = "worker could not load the task: " + err.Error()
		a.countWorkerFailure()
	}
	if !a.remote(m) {
		a.recordPrepared(m.key.Attempt, m.key.Member, r.OK, r.Message)
		return
	}
	a.sendToCoordinator(m.key, r)
}

func (a *Agent) countWorkerFailure() {
	a.metrics.GetOrCreateCounter(`jaystile_side_worker_failures_total`).Inc()
}

func (a *Agent) onStart(attempt jayattempt.ID, i int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.startMember(attempt, i)
}

// startMember starts a member if its reservation is still valid. It reads the clock
// before it asks the ledger, so that a process that was paused past the lease starts
// nothing.
func (a *Agent) startMember(attempt jayattempt.ID, i int) {
	k := jayreservation.Key{Attempt: attempt, Member: i}
	m := a.members[k]
	if m == nil || m.running {
		return
	}
	now := a.now()
	m.lastContact = now
	if err := a.ledger.Start(k, m.token, now); err != nil {
		a.endMember(m, &jayframe.MemberDone{Status: jayframe.StatusFailed, Message: err.Error()})
		return
	}
	m.running = true
	a.signalReport()
	if m.spec.Shape().Accelerators() == 0 {
		a.work.Spawn(func() { a.runOnRunner(m) })
		return
	}
	a.work.Spawn(func() { a.startTask(m) })
}

// startTask starts the member's task on the worker. watchTasks handles its end.
func (a *Agent) startTask(m *member) {
	if !a.openStartCall(m) {
		return
	}
	var err error
	if m.loadRequested {
		err = a.worker.Start(m.task)
	} else {
		err = a.worker.Create(a.taskRequest(m, true))
	}
	a.closeStartCall(m, err)
	if err == nil {
		return
	}
	a.ensureStopped(m)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.countWorkerFailure()
	status := jayframe.StatusFailed
	var rejected *jayhttp.RejectedError
	if errors.As(err, &rejected) && m.request.Members == 1 {
		status = jayframe.StatusNeverStarted
	}
	a.endMember(m, &jayframe.MemberDone{Status: status, Message: "worker could not start the task: " + err.Error()})
}

// openStartCall reports whether the task may still be started, and makes its deletion
// wait for the call.
func (a *Agent) openStartCall(m *member) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if m.ended || m.deleting {
		return false
	}
	m.startCall = make(chan struct{})
	return true
}

func (a *Agent) closeStartCall(m *member, err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var unanswered *jayhttp.NoAnswerError
	m.startUnanswered = errors.As(err, &unanswered)
	close(m.startCall)
}

// runOnRunner sends a member that needs a slot to the runner.
func (a *Agent) runOnRunner(m *member) {
	timeout := defaultRunTimeout
	if m.deadline > 0 {
		timeout = m.deadline - a.now()
	}
	if timeout <= 0 {
		a.finishRun(m, nil, &jayplatform.NotRunError{Cause: "deadline passed before the start"}, 0)
		return
	}
	start := a.now()
	answer, err := a.runner.Run(m.key.Attempt.String(), m.request.Job, m.request.Digest, m.spec.Payload(), timeout)
	a.finishRun(m, answer, err, a.now()-start)
}

func (a *Agent) finishRun(m *member, answer []byte, err error, elapsed time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if err == nil {
		a.observeLatency(elapsed)
		a.unhealthy = false
		a.endMember(m, &jayframe.MemberDone{Status: jayframe.StatusAnswered, Result: answer})
		return
	}
	a.metrics.GetOrCreateCounter(`jaystile_side_runner_failures_total`).Inc()
	done := &jayframe.MemberDone{Status: jayframe.StatusFailed, Message: err.Error()}
	var notRun *jayplatform.NotRunError
	if errors.As(err, &notRun) {
		a.unhealthy = true
		done.Status = jayframe.StatusNeverStarted
	}
	var mismatched *jayplatform.MismatchedAnswerError
	if errors.As(err, &mismatched) {
		a.recorder.Record(jaytimeline.AnswerDropped, a.memberFields(m, err.Error()))
	}
	a.endMember(m, done)
}

func (a *Agent) observeLatency(latency time.Duration) {
	if a.latency == 0 {
		a.latency = latency
	}
	a.latency += time.Duration(math.Round(latencyWeight * float64(latency-a.latency)))
}

// endMember releases the member's reservation and reports its end to the coordinator.
func (a *Agent) endMember(m *member, done *jayframe.MemberDone) {
	if m.ended {
		return
	}
	m.ended = true
	for _, c := range m.pendingCalls {
		_ = c.link.Reply(c.call, &jayframe.ReserveReply{Code: "displaced", Message: done.Message})
	}
	m.pendingCalls = nil
	done.Attempt = jayframe.FromID(m.key.Attempt)
	done.Member = m.key.Member
	remote := a.remote(m)
	a.ledger.Release(m.key)
	if a.members[m.key] == m {
		delete(a.members, m.key)
	}
	if remote {
		a.sendToCoordinator(m.key, done)
		a.leaveCoordinator(m.key)
	} else {
		a.recordMemberDone(done)
	}
	a.grantPending()
	a.signalReport()
}

func (a *Agent) onStop(attempt jayattempt.ID, i int, takeCheckpoint bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.stopByCoordinator(attempt, i, takeCheckpoint)
}

// stopByCoordinator stops a member on its coordinator's order.
func (a *Agent) stopByCoordinator(attempt jayattempt.ID, i int, takeCheckpoint bool) {
	m := a.members[jayreservation.Key{Attempt: attempt, Member: i}]
	if m == nil {
		return
	}
	a.stopMember(m, jayframe.StatusStopped, "stopped by its anchor", takeCheckpoint)
}

// stopMember stops a member and releases its accelerators once the worker has stopped
// the task. A request that a runner is handling cannot be stopped: it runs to its end.
func (a *Agent) stopMember(m *member, status jayframe.Status, cause string, takeCheckpoint bool) {
	if m.stopping || m.ended {
		return
	}
	m.stopping = true
	a.ledger.MarkStopping(m.key)
	a.recorder.Record(jaytimeline.AttemptStopped, a.memberFields(m, cause))
	if m.spec.Shape().Accelerators() == 0 {
		if !m.running {
			a.endMember(m, &jayframe.MemberDone{Status: status, Message: cause})
		}
		return
	}
	if !m.running && !m.loadRequested {
		a.endMember(m, &jayframe.MemberDone{Status: status, Message: cause})
		return
	}
	a.work.Spawn(func() { a.stopTask(m, status, cause, takeCheckpoint) })
}

func (a *Agent) stopTask(m *member, status jayframe.Status, cause string, takeCheckpoint bool) {
	done := &jayframe.MemberDone{Status: status, Message: cause}
	if takeCheckpoint && m.running && m.spec.Checkpointing() {
		if checkpoint, progress, err := a.worker.Checkpoint(m.task, a.Settings.CheckpointTimeout); err == nil {
			done.Checkpoint = checkpoint
			done.ProgressMillis = progress.Milliseconds()
		}
	}
	a.ensureStopped(m)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.endMember(m, done)
}

// ensureStopped deletes a member's task and returns when the task certainly no longer
// runs: at once if the worker has deleted it, or has none and will not start it, else when
// the lease has expired, at which the worker stops the task itself.
func (a *Agent) ensureStopped(m *member) {
	mayStart := a.markDeleting(m)
	err := a.worker.Delete(m.task)
	var rejected *jayhttp.RejectedError
	if err == nil || !mayStart && errors.As(err, &rejected) && rejected.Status == http.StatusNotFound {
		return
	}
	a.Logger.Warn().Err(err).Str("task", m.task).Msg("task may still run, waiting for the end of its lease")
	time.Sleep(a.Settings.WorkerLease)
}

// markDeleting ends the starts of the task and the renewals of its lease, and waits for
// calls that are under way. It reports whether the worker may still start the task.
func (a *Agent) markDeleting(m *member) bool {
	if startCall := a.barTask(m); startCall != nil {
		<-startCall
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return m.startUnanswered
}

// barTask sets deleting between two renewals and returns startCall.
func (a *Agent) barTask(m *member) chan struct{} {
	a.renewing.Lock()
	defer a.renewing.Unlock()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	m.deleting = true
	return m.startCall
}

// watchTasks long-polls the worker's tasks and ends members whose task has ended.
func (a *Agent) watchTasks(ctx context.Context) {
	b := jaywork.NewDialBackOff()
	revision := uint64(0)
	for ctx.Err() == nil {
		statuses, next, err := a.worker.List(revision, true)
		if err != nil {
			a.setWorkerUnhealthy(true)
			jaywork.Pause(ctx, b.NextBackOff())
			continue
		}
		a.setWorkerUnhealthy(false)
		b.Reset()
		revision = next
		for _, t := range statuses {
			a.onTaskChange(t)
		}
	}
}

func (a *Agent) setWorkerUnhealthy(unhealthy bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.Settings.Accelerators > 0 && a.unhealthy != unhealthy && unhealthy {
		a.unhealthy = true
		a.signalReport()
	}
}

var statusByTaskState = map[jayplatform.TaskState]jayframe.Status{
	jayplatform.TaskDone:    jayframe.StatusAnswered,
	jayplatform.TaskFailed:  jayframe.StatusFailed,
	jayplatform.TaskLapsed:  jayframe.StatusFailed,
	jayplatform.TaskStopped: jayframe.StatusFailed,
}

func (a *Agent) onTaskChange(t jayplatform.Status) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	m := a.memberOfTask(t.Task())
	status, ended := statusByTaskState[t.State()]
	if !ended {
		a.enforceAccelerators(m, t)
		return
	}
	if m == nil || (m.stopping && status != jayframe.StatusAnswered) {
		return
	}
	if status != jayframe.StatusAnswered {
		a.countWorkerFailure()
	}
	done := &jayframe.MemberDone{Status: status, Result: t.Result(), Message: "task " + string(t.State())}
	task := m.task
	a.endMember(m, done)
	a.work.Spawn(func() { _ = a.worker.Delete(task) })
}

// enforceAccelerators throttles a task that uses more accelerators than it has
// reserved, and stops it if a later status still shows more.
func (a *Agent) enforceAccelerators(m *member, t jayplatform.Status) {
	if m == nil || t.Accelerators() <= m.spec.Shape().Accelerators() {
		return
	}
	if m.throttled {
		a.stopMember(m, jayframe.StatusFailed, fmt.Sprintf("uses %d accelerators and holds %d", t.Accelerators(), m.spec.Shape().Accelerators()), false)
		return
	}
	m.throttled = true
	share := float64(m.spec.Shape().Accelerators()) / float64(t.Accelerators())
	a.metrics.GetOrCreateCounter(`jaystile_side_throttled_total`).Inc()
	a.recorder.Record(jaytimeline.TaskThrottled, a.memberFields(m, fmt.Sprintf("to %.2f of its speed", share)))
	a.work.Spawn(func() { _ = a.worker.Throttle(m.task, share) })
}

func (a *Agent) memberOfTask(task string) *member {
	for _, m := range a.members {
		if m.task == task {
			return m
		}
	}
	return nil
}

// renewLeases extends the leases of the tasks on the worker. When this process fails or
// is paused, the leases expire and the worker stops the tasks.
func (a *Agent) renewLeases() {
	a.renewing.Lock()
	defer a.renewing.Unlock()
	tasks := a.leasedTasks()
	if len(tasks) == 0 {
		return
	}
	if err := a.worker.Renew(tasks, a.Settings.WorkerLease); err != nil {
		a.metrics.GetOrCreateCounter(`jaystile_side_renewal_failures_total`).Inc()
	}
}

func (a *Agent) leasedTasks() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var tasks []string
	for _, m := range a.members {
		if (m.running || m.loadRequested) && !m.deleting && m.spec.Shape().Accelerators() > 0 {
			tasks = append(tasks, m.task)
		}
	}
	return tasks
}

// deleteOrphanedTasks deletes the tasks that an earlier incarnation of this process left
// on the worker. Their gangs end because a member is missing, and the entries place
// those that may run again.
func (a *Agent) deleteOrphanedTasks() {
	statuses, _, err := a.worker.List(0, false)
	if err != nil {
		return
	}
	for _, t := range statuses {
		a.recorder.Record(jaytimeline.TaskOrphaned, jaytimeline.Fields{Job: t.Job(), Worker: a.Settings.Name, Detail: t.Task() + " " + string(t.State())})
		_ = a.worker.Delete(t.Task())
	}
}
