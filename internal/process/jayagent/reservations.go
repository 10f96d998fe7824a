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

func fmtVersion(v uint64) string { return fmt.Sprintf("version %d", v) }

var rights = map[jayframe.PreemptionMode]jayreservation.PreemptionMode{
	jayframe.NoPreemption:      jayreservation.NoPreemption,
	jayframe.ReclaimHome:       jayreservation.ReclaimHome,
	jayframe.UrgentPreemption:  jayreservation.UrgentPreemption,
	jayframe.ShorterPreemption: jayreservation.ShorterPreemption,
}

// requestOf maps a Hold to the ledger's request.
func requestOf(m *jayframe.Reserve, spec jayjob.Spec) jayreservation.Request {
	return jayreservation.Request{
		Key:           jayreservation.Key{Attempt: m.Attempt.ID(), Member: m.Member},
		Job:           m.Job,
		Workspace:     spec.Workspace(),
		Kind:          spec.Kind(),
		Class:         spec.Class(),
		Accelerators:  spec.Shape().Accelerators(),
		Preemptible:   spec.Preemptible(),
		Checkpointing: spec.Checkpointing(),
		Preemption:    rights[m.Preemption],
		Victims:       m.Victims,
		TTL:           time.Duration(m.TTLMillis) * time.Millisecond,
	}
}

// onHold asks the ledger for a hold and answers once it is granted or refused.
func (s *Agent) onHold(l *jaylink.Link, call uint64, m *jayframe.Reserve) {
	spec, err := m.Spec.Spec()
	if err != nil {
		_ = l.Reply(call, &jayframe.ReserveReply{Code: "malformed", Message: err.Error()})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	request := requestOf(m, spec)
	hold, victims, err := s.ledger.Request(request, now)
	if err != nil {
		s.refuseHold(l, call, m, err)
		return
	}
	if s.members[request.Key] != nil {
		s.answerHold(s.members[request.Key], l, call)
		return
	}
	mb := &member{key: request.Key, hold: m, spec: spec, token: hold.Token(), contact: now, task: fmt.Sprintf("%s.%d", request.Key.Attempt, request.Key.Member)}
	if m.RemainingMillis > 0 {
		mb.deadline = now + time.Duration(m.RemainingMillis)*time.Millisecond
	}
	s.members[request.Key] = mb
	if m.Coordinator == s.Settings.Link || m.Members == 1 {
		s.openGang(mb, now)
	}
	mb.waiting = append(mb.waiting, waiter{link: l, call: call})
	for _, v := range victims {
		s.preempt(v)
	}
	s.poke()
	if hold.State() == jayreservation.Granted && !mb.granted {
		s.granted(mb)
	}
	s.promote()
}

func (s *Agent) refuseHold(l *jaylink.Link, call uint64, m *jayframe.Reserve, err error) {
	code := "refused"
	var refused *jayreservation.RefusedError
	if errors.As(err, &refused) {
		code = string(refused.Cause)
	}
	s.metrics.GetOrCreateCounter(fmt.Sprintf(`jaystile_side_holds_refused_total{cause=%q}`, code)).Inc()
	s.recorder.Record(jaytimeline.AttemptRefused, jaytimeline.Fields{Job: m.Job, Attempt: m.Attempt.ID().String(), Workspace: m.Spec.Workspace, Worker: s.Settings.Name, Detail: code})
	s.bury(m.Attempt.ID(), "refused: "+code)
	if m.Run {
		_ = l.Send(&jayframe.Outcome{Attempt: m.Attempt, Digest: m.Digest, Status: jayframe.StatusNeverStarted, Code: code, Message: err.Error(), Worker: s.Settings.Name})
		return
	}
	_ = l.Reply(call, &jayframe.ReserveReply{Code: code, Message: err.Error()})
}

// answerHold repeats the answer to a hold that was asked for again.
func (s *Agent) answerHold(m *member, l *jaylink.Link, call uint64) {
	if m.granted {
		_ = l.Reply(call, &jayframe.ReserveReply{Granted: true, Token: m.token})
		return
	}
	m.waiting = append(m.waiting, waiter{link: l, call: call})
}

// granted answers the entry and joins the gang.
func (s *Agent) granted(m *member) {
	m.granted = true
	s.recorder.Record(jaytimeline.AttemptReserved, s.fields(m, ""))
	for _, w := range m.waiting {
		_ = w.link.Reply(w.call, &jayframe.ReserveReply{Granted: true, Token: m.token})
	}
	m.waiting = nil
	g := s.gangs[m.key.Attempt]
	if g == nil {
		s.joinAnchor(m)
		return
	}
	now := s.now()
	actions, err := g.book.Join(m.key.Member, m.token, now)
	if err != nil {
		s.abandon(m)
		return
	}
	if m.hold.Run {
		actions, _ = g.book.Commit([]uint64{m.token}, now)
	}
	s.carryOut(g, actions)
}

// promote answers pending holds whose accelerators are now free.
func (s *Agent) promote() {
	for _, h := range s.ledger.GrantPending() {
		if m := s.members[h.Request().Key]; m != nil {
			s.granted(m)
		}
	}
}

// preempt stops a victim and tells its anchor.
func (s *Agent) preempt(v *jayreservation.Reservation) {
	m := s.members[v.Request().Key]
	if m == nil {
		s.ledger.Release(v.Request().Key)
		return
	}
	s.metrics.GetOrCreateCounter(`jaystile_side_preemptions_total`).Inc()
	s.stopMember(m, jayframe.StatusStopped, "stopped for other work", true)
}

// onRelease frees a hold that has not started and buries its attempt.
func (s *Agent) onRelease(l *jaylink.Link, call uint64, m *jayframe.Release) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	ok := s.bury(m.Attempt.ID(), "released by entry")
	_ = l.Reply(call, &jayframe.Ack{OK: ok})
}

// bury makes sure that the attempt never starts here; it returns false when a
// member of it may have started.
func (s *Agent) bury(a jayattempt.ID, cause string) bool {
	if g := s.gangs[a]; g != nil {
		s.carryOut(g, s.stopIfNotStarted(g, cause))
	}
	if !s.ledger.Tombstone(a, s.now()) {
		return false
	}
	for k := range s.members {
		if k.Attempt == a {
			s.dropMember(k)
		}
	}
	s.recorder.Record(jaytimeline.AttemptTombstoned, jaytimeline.Fields{Attempt: a.String(), Worker: s.Settings.Name, Detail: cause})
	s.promote()
	s.poke()
	return true
}

// dropMember forgets a member that holds nothing any more and has not started.
func (s *Agent) dropMember(k jayreservation.Key) {
	m := s.members[k]
	if m == nil {
		return
	}
	delete(s.members, k)
	for _, w := range m.waiting {
		_ = w.link.Reply(w.call, &jayframe.ReserveReply{Code: string(jayreservation.AttemptTombstoned), Message: "hold lapsed or was released"})
	}
	m.waiting = nil
	m.gone = true
	if m.prepared {
		task := m.task
		s.work.Spawn(func() { _ = s.worker.Delete(task) })
	}
	if g := s.gangs[k.Attempt]; g != nil {
		g.book.MemberReleased(k.Member)
		s.announce(g)
	}
	s.poke()
}

func (s *Agent) fields(m *member, detail string) jaytimeline.Fields {
	return jaytimeline.Fields{Job: m.hold.Job, Attempt: m.key.Attempt.String(), Workspace: m.spec.Workspace(), Worker: s.Settings.Name, Detail: detail}
}
