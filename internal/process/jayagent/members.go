package jayagent

import (
	"context"
	"errors"
	"fmt"
	"math"
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
	joinTimeout = 2 * time.Second
	joinRetry   = 20 * time.Millisecond
	// noDeadline bounds a runner's request whose caller set none.
	noDeadline    = time.Hour
	latencyWeight = 0.2
)

// member is one member of a gang that holds something here.
type member struct {
	key      jayreservation.Key
	hold     *jayframe.Reserve
	spec     jayjob.Spec
	token    uint64
	task     string
	deadline time.Duration
	contact  time.Duration
	waiting  []waiter
	granted  bool
	prepared bool
	running  bool
	stopping bool
	// throttled says that the task used more than it holds and was slowed down.
	throttled bool
	gone      bool
}

// waiter is a call that is answered when the hold is granted.
type waiter struct {
	link *jaylink.Link
	call uint64
}

// remote reports whether the member's anchor is another process.
func (s *Agent) remote(m *member) bool { return s.gangs[m.key.Attempt] == nil }

func (s *Agent) onPrepare(a jayattempt.ID, i int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.prepareMember(a, i)
}

// prepareMember loads the task of a member that runs here.
func (s *Agent) prepareMember(a jayattempt.ID, i int) {
	m := s.members[jayreservation.Key{Attempt: a, Member: i}]
	if m == nil {
		s.tellAnchor(jayreservation.Key{Attempt: a, Member: i}, &jayframe.Prepared{Attempt: jayframe.FromID(a), Member: i, Message: "hold is gone"})
		return
	}
	s.extendHold(m.key)
	m.contact = s.now()
	if m.spec.Shape().Accelerators() == 0 {
		s.prepared(m, nil)
		return
	}
	m.prepared = true
	s.work.Spawn(func() {
		err := s.worker.Create(s.taskOf(m, false))
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.prepared(m, err)
	})
}

func (s *Agent) taskOf(m *member, start bool) jayplatform.Task {
	return jayplatform.Task{
		ID:           m.task,
		Job:          m.hold.Job,
		Token:        m.token,
		TTL:          s.Settings.WorkerLease,
		Accelerators: m.spec.Shape().Accelerators(),
		Payload:      m.spec.Payload(),
		Checkpoint:   m.hold.Checkpoint,
		Start:        start,
	}
}

func (s *Agent) prepared(m *member, err error) {
	r := &jayframe.Prepared{Attempt: jayframe.FromID(m.key.Attempt), Member: m.key.Member, OK: err == nil && !m.gone}
	if err != nil {
		r.Message = "worker could not load the task: " + err.Error()
		s.countWorkerFailure()
	}
	if !s.remote(m) {
		s.preparedMember(m.key.Attempt, m.key.Member, r.OK, r.Message)
		return
	}
	s.tellAnchor(m.key, r)
}

func (s *Agent) countWorkerFailure() {
	s.metrics.GetOrCreateCounter(`jaystile_side_worker_failures_total`).Inc()
}

func (s *Agent) onGo(a jayattempt.ID, i int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.startMember(a, i)
}

// startMember starts a member if its hold is still its own. Time is read before
// the ledger is asked, so that a process that was paused past the lease starts
// nothing.
func (s *Agent) startMember(a jayattempt.ID, i int) {
	k := jayreservation.Key{Attempt: a, Member: i}
	m := s.members[k]
	if m == nil || m.running {
		return
	}
	now := s.now()
	m.contact = now
	if err := s.ledger.Start(k, m.token, now); err != nil {
		s.endMember(m, &jayframe.MemberDone{Status: jayframe.StatusFailed, Message: err.Error()})
		return
	}
	m.running = true
	s.poke()
	if m.spec.Shape().Accelerators() == 0 {
		s.work.Spawn(func() { s.callRunner(m) })
		return
	}
	s.work.Spawn(func() { s.startTask(m) })
}

// startTask starts the member's task at the worker. Its end arrives through
// watchTasks.
func (s *Agent) startTask(m *member) {
	var err error
	if m.prepared {
		err = s.worker.Start(m.task)
	} else {
		err = s.worker.Create(s.taskOf(m, true))
	}
	if err == nil {
		return
	}
	_ = s.worker.Delete(m.task)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.countWorkerFailure()
	status := jayframe.StatusFailed
	var rejected *jayhttp.RejectedError
	if errors.As(err, &rejected) && m.hold.Members == 1 {
		status = jayframe.StatusNeverStarted
	}
	s.endMember(m, &jayframe.MemberDone{Status: status, Message: "worker could not start the task: " + err.Error()})
}

// callRunner has the runner answer a member that needs a slot.
func (s *Agent) callRunner(m *member) {
	timeout := noDeadline
	if m.deadline > 0 {
		timeout = m.deadline - s.now()
	}
	if timeout <= 0 {
		s.finishCall(m, nil, &jayplatform.NotRunError{Cause: "deadline passed before the start"}, 0)
		return
	}
	begin := s.now()
	answer, err := s.runner.Run(m.key.Attempt.String(), m.hold.Job, m.hold.Digest, m.spec.Payload(), timeout)
	s.finishCall(m, answer, err, s.now()-begin)
}

func (s *Agent) finishCall(m *member, answer []byte, err error, took time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err == nil {
		s.observeLatency(took)
		s.sick = false
		s.endMember(m, &jayframe.MemberDone{Status: jayframe.StatusAnswered, Result: answer})
		return
	}
	s.metrics.GetOrCreateCounter(`jaystile_side_runner_failures_total`).Inc()
	done := &jayframe.MemberDone{Status: jayframe.StatusFailed, Message: err.Error()}
	var notRun *jayplatform.NotRunError
	if errors.As(err, &notRun) {
		s.sick = true
		done.Status = jayframe.StatusNeverStarted
	}
	var foreign *jayplatform.MismatchedAnswerError
	if errors.As(err, &foreign) {
		s.recorder.Record(jaytimeline.AnswerDropped, s.fields(m, err.Error()))
	}
	s.endMember(m, done)
}

func (s *Agent) observeLatency(took time.Duration) {
	if s.latency == 0 {
		s.latency = took
	}
	s.latency += time.Duration(math.Round(latencyWeight * float64(took-s.latency)))
}

// endMember frees what the member holds and tells its anchor how it ended.
func (s *Agent) endMember(m *member, done *jayframe.MemberDone) {
	if m.gone {
		return
	}
	m.gone = true
	for _, w := range m.waiting {
		_ = w.link.Reply(w.call, &jayframe.ReserveReply{Code: "displaced", Message: done.Message})
	}
	m.waiting = nil
	done.Attempt = jayframe.FromID(m.key.Attempt)
	done.Member = m.key.Member
	remote := s.remote(m)
	s.ledger.Release(m.key)
	if s.members[m.key] == m {
		delete(s.members, m.key)
	}
	if remote {
		s.tellAnchor(m.key, done)
		s.leaveAnchor(m.key)
	} else {
		s.memberDone(done)
	}
	s.promote()
	s.poke()
}

func (s *Agent) onStop(a jayattempt.ID, i int, save bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.haltMember(a, i, save)
}

// haltMember stops a member that runs here because its anchor says so.
func (s *Agent) haltMember(a jayattempt.ID, i int, save bool) {
	m := s.members[jayreservation.Key{Attempt: a, Member: i}]
	if m == nil {
		return
	}
	s.stopMember(m, jayframe.StatusStopped, "stopped by its anchor", save)
}

// stopMember stops a member and frees its accelerators once the worker has let
// go of them. Work at a runner cannot be stopped: it is left to end.
func (s *Agent) stopMember(m *member, status jayframe.Status, cause string, save bool) {
	if m.stopping || m.gone {
		return
	}
	m.stopping = true
	s.ledger.MarkStopping(m.key)
	s.recorder.Record(jaytimeline.AttemptStopped, s.fields(m, cause))
	if m.spec.Shape().Accelerators() == 0 {
		if !m.running {
			s.endMember(m, &jayframe.MemberDone{Status: status, Message: cause})
		}
		return
	}
	if !m.running && !m.prepared {
		s.endMember(m, &jayframe.MemberDone{Status: status, Message: cause})
		return
	}
	s.work.Spawn(func() { s.stopTask(m, status, cause, save) })
}

func (s *Agent) stopTask(m *member, status jayframe.Status, cause string, save bool) {
	done := &jayframe.MemberDone{Status: status, Message: cause}
	if save && m.running && m.spec.Checkpointing() {
		if checkpoint, progress, err := s.worker.Checkpoint(m.task, s.Settings.CheckpointTimeout); err == nil {
			done.Checkpoint = checkpoint
			done.ProgressMillis = progress.Milliseconds()
		}
	}
	if !s.forgetTask(m.task) {
		// The worker stops the task itself when its lease lapses.
		time.Sleep(s.Settings.WorkerLease)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.endMember(m, done)
}

// forgetTask removes a task from the worker and reports whether it is certain
// that the task no longer runs.
func (s *Agent) forgetTask(task string) bool {
	err := s.worker.Delete(task)
	var rejected *jayhttp.RejectedError
	return err == nil || errors.As(err, &rejected)
}

// watchTasks follows the worker's tasks and ends members whose task has ended.
func (s *Agent) watchTasks(ctx context.Context) {
	b := jaywork.NewDialBackOff()
	revision := uint64(0)
	for ctx.Err() == nil {
		statuses, next, err := s.worker.List(revision, true)
		if err != nil {
			s.setWorkerSick(true)
			jaywork.Pause(ctx, b.NextBackOff())
			continue
		}
		s.setWorkerSick(false)
		b.Reset()
		revision = next
		for _, t := range statuses {
			s.taskChanged(t)
		}
	}
}

func (s *Agent) setWorkerSick(sick bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.Settings.Accelerators > 0 && s.sick != sick && sick {
		s.sick = true
		s.poke()
	}
}

var taskEnds = map[jayplatform.TaskState]jayframe.Status{
	jayplatform.TaskDone:    jayframe.StatusAnswered,
	jayplatform.TaskFailed:  jayframe.StatusFailed,
	jayplatform.TaskLapsed:  jayframe.StatusFailed,
	jayplatform.TaskStopped: jayframe.StatusFailed,
}

func (s *Agent) taskChanged(t jayplatform.Status) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m := s.memberOf(t.Task())
	status, ended := taskEnds[t.State()]
	if !ended {
		s.limitUse(m, t)
		return
	}
	if m == nil || (m.stopping && status != jayframe.StatusAnswered) {
		return
	}
	if status != jayframe.StatusAnswered {
		s.countWorkerFailure()
	}
	done := &jayframe.MemberDone{Status: status, Result: t.Result(), Message: "task " + string(t.State())}
	task := m.task
	s.endMember(m, done)
	s.work.Spawn(func() { _ = s.worker.Delete(task) })
}

// limitUse acts on a task that uses more accelerators than it holds: first it is
// throttled to what it holds, and stopped when a later report shows that this
// did not help.
func (s *Agent) limitUse(m *member, t jayplatform.Status) {
	if m == nil || t.Accelerators() <= m.spec.Shape().Accelerators() {
		return
	}
	if m.throttled {
		s.stopMember(m, jayframe.StatusFailed, fmt.Sprintf("uses %d accelerators and holds %d", t.Accelerators(), m.spec.Shape().Accelerators()), false)
		return
	}
	m.throttled = true
	share := float64(m.spec.Shape().Accelerators()) / float64(t.Accelerators())
	s.metrics.GetOrCreateCounter(`jaystile_side_throttled_total`).Inc()
	s.recorder.Record(jaytimeline.TaskThrottled, s.fields(m, fmt.Sprintf("to %.2f of its speed", share)))
	s.work.Spawn(func() { _ = s.worker.Throttle(m.task, share) })
}

func (s *Agent) memberOf(task string) *member {
	for _, m := range s.members {
		if m.task == task {
			return m
		}
	}
	return nil
}

// renew extends the leases of tasks at the worker. When this process is paused,
// the worker stops them.
func (s *Agent) renew() {
	tasks := s.liveTasks()
	if len(tasks) == 0 {
		return
	}
	if err := s.worker.Renew(tasks, s.Settings.WorkerLease); err != nil {
		s.metrics.GetOrCreateCounter(`jaystile_side_renewal_failures_total`).Inc()
	}
}

func (s *Agent) liveTasks() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var tasks []string
	for _, m := range s.members {
		if (m.running || m.prepared) && m.spec.Shape().Accelerators() > 0 {
			tasks = append(tasks, m.task)
		}
	}
	return tasks
}

// settleOrphans removes what an earlier life of this process left at the
// worker: its gangs end for want of a member, and their entries place them
// anew where they may.
func (s *Agent) settleOrphans() {
	statuses, _, err := s.worker.List(0, false)
	if err != nil {
		return
	}
	for _, t := range statuses {
		s.recorder.Record(jaytimeline.TaskOrphaned, jaytimeline.Fields{Job: t.Job(), Worker: s.Settings.Name, Detail: t.Task() + " " + string(t.State())})
		_ = s.worker.Delete(t.Task())
	}
}
