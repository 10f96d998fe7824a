package jayagent

import (
	"errors"
	"fmt"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayreservation"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

func formatVersion(v uint64) string { return fmt.Sprintf("version %d", v) }

var preemptionModes = map[jayframe.PreemptionMode]jayreservation.PreemptionMode{
	jayframe.NoPreemption:      jayreservation.NoPreemption,
	jayframe.ReclaimHome:       jayreservation.ReclaimHome,
	jayframe.UrgentPreemption:  jayreservation.UrgentPreemption,
	jayframe.ShorterPreemption: jayreservation.ShorterPreemption,
}

// ledgerRequest converts a Reserve message to a request to the ledger.
func ledgerRequest(m *jayframe.Reserve, spec jayjob.Spec) jayreservation.Request {
	return jayreservation.Request{
		Key:           jayreservation.Key{Attempt: m.Attempt.ID(), Member: m.Member},
		Job:           m.Job,
		Workspace:     spec.Workspace(),
		Kind:          spec.Kind(),
		Class:         spec.Class(),
		Accelerators:  spec.Shape().Accelerators(),
		Preemptible:   spec.Preemptible(),
		Checkpointing: spec.Checkpointing(),
		Preemption:    preemptionModes[m.Preemption],
		Victims:       m.Victims,
		TTL:           time.Duration(m.TTLMillis) * time.Millisecond,
	}
}

// onReserve requests a reservation from the ledger and replies once it is granted or
// refused.
func (a *Agent) onReserve(l *jaylink.Link, call uint64, m *jayframe.Reserve) {
	spec, err := m.Spec.Spec()
	if err != nil {
		_ = l.Reply(call, &jayframe.ReserveReply{Code: "malformed", Message: err.Error()})
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.now()
	request := ledgerRequest(m, spec)
	reservation, victims, err := a.ledger.Request(request, now)
	if err != nil {
		a.refuse(l, call, m, err)
		return
	}
	if a.members[request.Key] != nil {
		a.answerRepeated(a.members[request.Key], l, call)
		return
	}
	newMember := &member{key: request.Key, request: m, spec: spec, token: reservation.Token(), lastContact: now, task: fmt.Sprintf("%s.%d", request.Key.Attempt, request.Key.Member)}
	if m.RemainingMillis > 0 {
		newMember.deadline = now + time.Duration(m.RemainingMillis)*time.Millisecond
	}
	a.members[request.Key] = newMember
	if m.Coordinator == a.Settings.Link || m.Members == 1 {
		a.openGang(newMember, now)
	}
	newMember.pendingCalls = append(newMember.pendingCalls, pendingCall{link: l, call: call})
	for _, v := range victims {
		a.preempt(v)
	}
	a.signalReport()
	if reservation.State() == jayreservation.Granted && !newMember.granted {
		a.onGranted(newMember)
	}
	a.grantPending()
}

func (a *Agent) refuse(l *jaylink.Link, call uint64, m *jayframe.Reserve, err error) {
	code := "refused"
	var refused *jayreservation.RefusedError
	if errors.As(err, &refused) {
		code = string(refused.Cause)
	}
	a.metrics.GetOrCreateCounter(fmt.Sprintf(`jaystile_side_holds_refused_total{cause=%q}`, code)).Inc()
	a.recorder.Record(jaytimeline.AttemptRefused, jaytimeline.Fields{Job: m.Job, Attempt: m.Attempt.ID().String(), Workspace: m.Spec.Workspace, Worker: a.Settings.Name, Detail: code})
	a.tombstone(m.Attempt.ID(), "refused: "+code)
	if m.Run {
		_ = l.Send(&jayframe.Outcome{Attempt: m.Attempt, Digest: m.Digest, Status: jayframe.StatusNeverStarted, Code: code, Message: err.Error(), Worker: a.Settings.Name})
		return
	}
	_ = l.Reply(call, &jayframe.ReserveReply{Code: code, Message: err.Error()})
}

// answerRepeated answers a repeated Reserve, immediately or once the reservation is
// granted.
func (a *Agent) answerRepeated(m *member, l *jaylink.Link, call uint64) {
	if m.granted {
		_ = l.Reply(call, &jayframe.ReserveReply{Granted: true, Token: m.token})
		return
	}
	m.pendingCalls = append(m.pendingCalls, pendingCall{link: l, call: call})
}

// onGranted replies to the entry and joins the gang.
func (a *Agent) onGranted(m *member) {
	m.granted = true
	a.recorder.Record(jaytimeline.AttemptReserved, a.memberFields(m, ""))
	for _, c := range m.pendingCalls {
		_ = c.link.Reply(c.call, &jayframe.ReserveReply{Granted: true, Token: m.token})
	}
	m.pendingCalls = nil
	g := a.gangs[m.key.Attempt]
	if g == nil {
		a.joinCoordinator(m)
		return
	}
	now := a.now()
	actions, err := g.state.Join(m.key.Member, m.token, now)
	if err != nil {
		a.abandon(m)
		return
	}
	if m.request.Run {
		actions, _ = g.state.Commit([]uint64{m.token}, now)
	}
	a.executeActions(g, actions)
}

// grantPending grants pending reservations whose accelerators are now free.
func (a *Agent) grantPending() {
	for _, r := range a.ledger.GrantPending() {
		if m := a.members[r.Request().Key]; m != nil {
			a.onGranted(m)
		}
	}
}

// preempt stops the member that has the given reservation, with a checkpoint if it
// supports one, and reports the end to its coordinator.
func (a *Agent) preempt(v *jayreservation.Reservation) {
	m := a.members[v.Request().Key]
	if m == nil {
		a.ledger.Release(v.Request().Key)
		return
	}
	a.metrics.GetOrCreateCounter(`jaystile_side_preemptions_total`).Inc()
	a.stopMember(m, jayframe.StatusStopped, "stopped for other work", true)
}

// onRelease releases an attempt that has not started and records its tombstone.
func (a *Agent) onRelease(l *jaylink.Link, call uint64, m *jayframe.Release) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	ok := a.tombstone(m.Attempt.ID(), "released by entry")
	_ = l.Reply(call, &jayframe.Ack{OK: ok})
}

// tombstone rejects the attempt for good, so that it never starts here. It returns
// false if a member of it may have started.
func (a *Agent) tombstone(attempt jayattempt.ID, cause string) bool {
	if g := a.gangs[attempt]; g != nil {
		a.executeActions(g, a.stopIfNotStarted(g, cause))
	}
	if !a.ledger.Tombstone(attempt, a.now()) {
		return false
	}
	for k := range a.members {
		if k.Attempt == attempt {
			a.dropMember(k)
		}
	}
	a.recorder.Record(jaytimeline.AttemptTombstoned, jaytimeline.Fields{Attempt: attempt.String(), Worker: a.Settings.Name, Detail: cause})
	a.grantPending()
	a.signalReport()
	return true
}

// dropMember removes a member that has lost its reservation before it started.
func (a *Agent) dropMember(k jayreservation.Key) {
	m := a.members[k]
	if m == nil {
		return
	}
	delete(a.members, k)
	for _, c := range m.pendingCalls {
		_ = c.link.Reply(c.call, &jayframe.ReserveReply{Code: string(jayreservation.AttemptTombstoned), Message: "hold lapsed or was released"})
	}
	m.pendingCalls = nil
	m.ended = true
	if m.loadRequested {
		task := m.task
		a.work.Spawn(func() { _ = a.worker.Delete(task) })
	}
	if g := a.gangs[k.Attempt]; g != nil {
		g.state.MemberReleased(k.Member)
		a.announce(g)
	}
	a.signalReport()
}

func (a *Agent) memberFields(m *member, detail string) jaytimeline.Fields {
	return jaytimeline.Fields{Job: m.request.Job, Attempt: m.key.Attempt.String(), Workspace: m.spec.Workspace(), Worker: a.Settings.Name, Detail: detail}
}
