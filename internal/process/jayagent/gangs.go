package jayagent

import (
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaygang"
	"github.com/jaystile/jaystile/internal/process/jayreservation"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
)

// gang is the anchor's book of one attempt with the links to its members and to
// those who want to hear of its end.
type gang struct {
	book      *jaygang.Gang
	job       string
	workspace string
	digest    []byte
	links     []*jaylink.Link
	listeners map[jayattempt.Incarnation]bool
	announced bool
}

// openGang starts the book of an attempt whose anchor is this process.
func (s *Agent) openGang(m *member, now time.Duration) {
	a := m.key.Attempt
	if s.gangs[a] != nil {
		return
	}
	g := &gang{
		book:      jaygang.New(a, m.hold.Members, s.Settings.Lease, time.Duration(m.hold.TTLMillis)*time.Millisecond, now),
		job:       m.hold.Job,
		workspace: m.spec.Workspace(),
		digest:    m.hold.Digest,
		links:     make([]*jaylink.Link, m.hold.Members),
		listeners: map[jayattempt.Incarnation]bool{a.Origin(): true},
	}
	s.gangs[a] = g
	s.active[a] = g
}

// onCommit decides, once every member has joined, that the gang runs.
func (s *Agent) onCommit(l *jaylink.Link, call uint64, m *jayframe.Commit) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.gangs[m.Attempt.ID()]
	if g == nil {
		s.bury(m.Attempt.ID(), "committed without a hold")
		_ = l.Reply(call, &jayframe.Outcome{Attempt: m.Attempt, Status: jayframe.StatusNeverStarted, Code: "no_hold", Message: "the anchor holds nothing for this attempt"})
		return
	}
	tokens := make([]uint64, len(m.Members))
	for i, t := range m.Members {
		tokens[i] = t.Token
	}
	actions, err := g.book.Commit(tokens, s.now())
	if err == nil {
		s.extendHold(jayreservation.Key{Attempt: g.book.Attempt()})
		s.recorder.Record(jaytimeline.AttemptCommitted, jaytimeline.Fields{Job: g.job, Attempt: g.book.Attempt().String(), Workspace: g.workspace, Worker: s.Settings.Name})
		s.carryOut(g, actions)
	}
	_ = l.Reply(call, s.outcome(g))
}

// extendHold gives a local member of a committed gang one lease to start.
func (s *Agent) extendHold(k jayreservation.Key) { s.ledger.Extend(k, s.now()+s.Settings.Lease) }

// carryOut sends the book's orders to the members.
func (s *Agent) carryOut(g *gang, actions []jaygang.Action) {
	if len(actions) > 0 && actions[0].Order() == jaygang.Start {
		s.recorder.Record(jaytimeline.AttemptStarted, jaytimeline.Fields{Job: g.job, Attempt: g.book.Attempt().String(), Workspace: g.workspace, Worker: s.Settings.Name, Detail: "start barrier released"})
	}
	for _, a := range actions {
		s.order(g, a)
	}
	s.announce(g)
}

// order hands one order to a member, here or on another side.
func (s *Agent) order(g *gang, a jaygang.Action) {
	attempt := g.book.Attempt()
	l := g.links[a.Member()]
	wire := jayframe.FromID(attempt)
	save := g.book.Result() == jaygang.Stopped
	switch a.Order() {
	case jaygang.Prepare:
		if l == nil {
			s.prepareMember(attempt, a.Member())
			return
		}
		_ = l.Send(&jayframe.Prepare{Attempt: wire, Member: a.Member()})
	case jaygang.Start:
		if l == nil {
			s.startMember(attempt, a.Member())
			return
		}
		_ = l.Send(&jayframe.Start{Attempt: wire, Member: a.Member()})
	case jaygang.Stop:
		if l == nil {
			s.haltMember(attempt, a.Member(), save)
			return
		}
		_ = l.Send(&jayframe.Stop{Attempt: wire, Member: a.Member(), Checkpoint: save})
	}
}

// onJoin records a member of another side.
func (s *Agent) onJoin(l *jaylink.Link, call uint64, m *jayframe.Join) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.gangs[m.Attempt.ID()]
	if g == nil {
		// The entry's hold for the anchor may still be on its way: the member
		// asks again until its own hold lapses.
		_ = l.Reply(call, &jayframe.Ack{OK: !s.ledger.HasTombstone(m.Attempt.ID())})
		return
	}
	if m.Member >= 0 && m.Member < len(g.links) {
		g.links[m.Member] = l
	}
	actions, err := g.book.Join(m.Member, m.Token, s.now())
	_ = l.Reply(call, &jayframe.Ack{OK: err == nil})
	s.carryOut(g, actions)
}

func (s *Agent) onPrepared(m *jayframe.Prepared) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.preparedMember(m.Attempt.ID(), m.Member, m.OK, m.Message)
}

func (s *Agent) preparedMember(a jayattempt.ID, i int, ok bool, cause string) {
	if g := s.gangs[a]; g != nil {
		s.carryOut(g, g.book.MemberPrepared(i, ok, cause, s.now()))
	}
}

var results = map[jayframe.Status]jaygang.Result{
	jayframe.StatusNeverStarted: jaygang.NeverStarted,
	jayframe.StatusAnswered:     jaygang.Answered,
	jayframe.StatusFailed:       jaygang.Failed,
	jayframe.StatusStopped:      jaygang.Stopped,
	jayframe.StatusCanceled:     jaygang.Canceled,
}

var statuses = map[jaygang.Result]jayframe.Status{
	jaygang.NeverStarted: jayframe.StatusNeverStarted,
	jaygang.Answered:     jayframe.StatusAnswered,
	jaygang.Failed:       jayframe.StatusFailed,
	jaygang.Stopped:      jayframe.StatusStopped,
	jaygang.Canceled:     jayframe.StatusCanceled,
}

func (s *Agent) onMemberDone(m *jayframe.MemberDone) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.memberDone(m)
}

// memberDone records how a member of a gang anchored here ended.
func (s *Agent) memberDone(m *jayframe.MemberDone) {
	g := s.gangs[m.Attempt.ID()]
	if g == nil {
		return
	}
	if m.Checkpoint != nil {
		g.book.RecordCheckpoint(m.Member, m.Checkpoint, time.Duration(m.ProgressMillis)*time.Millisecond)
	}
	actions := g.book.MemberEnded(m.Member, results[m.Status], m.Result, m.Message, s.now())
	g.book.MemberReleased(m.Member)
	s.carryOut(g, actions)
}

// announce tells the listeners once how the gang ended, as soon as no member
// runs any more.
func (s *Agent) announce(g *gang) {
	if g.announced || !g.book.Settled(s.now()) {
		return
	}
	g.announced = true
	delete(s.active, g.book.Attempt())
	s.ended = append(s.ended, g)
	s.recorder.Record(jaytimeline.AttemptEnded, jaytimeline.Fields{Job: g.job, Attempt: g.book.Attempt().String(), Workspace: g.workspace, Worker: s.Settings.Name, Detail: g.book.Cause()})
	o := s.outcome(g)
	for _, e := range s.entries {
		if e.link != nil && g.listeners[e.incarnation] {
			_ = e.link.Send(o)
		}
	}
	s.poke()
}

// outcome is the anchor's word on a gang as it stands.
func (s *Agent) outcome(g *gang) *jayframe.Outcome {
	o := &jayframe.Outcome{Attempt: jayframe.FromID(g.book.Attempt()), Digest: g.digest, Worker: s.Settings.Name, Message: g.book.Cause()}
	switch g.book.Phase() {
	case jaygang.Gathering:
		o.Status = jayframe.StatusReserved
	case jaygang.Preparing, jaygang.Started:
		o.Status = jayframe.StatusRunning
	case jaygang.Ended:
		o.Status = statuses[g.book.Result()]
		if !g.book.Settled(s.now()) {
			o.Status = jayframe.StatusRunning
		}
		if g.book.StartedAt() > 0 {
			o.ElapsedMillis = (g.book.EndedAt() - g.book.StartedAt()).Milliseconds()
		}
	}
	if o.Status == jayframe.StatusAnswered {
		o.Results = g.book.Answers()
	}
	if o.Status == jayframe.StatusStopped {
		checkpoint, done := g.book.Checkpoint()
		o.Checkpoint = checkpoint
		o.ProgressMillis = done.Milliseconds()
	}
	return o
}

// onSettle says what became of an attempt. An attempt never heard of gets a
// tombstone; from then on the asking entry hears of its end.
func (s *Agent) onSettle(l *jaylink.Link, call uint64, m *jayframe.Resolve) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a := m.Attempt.ID()
	g := s.gangs[a]
	if g == nil {
		_ = l.Reply(call, s.unheard(m.Attempt, m.Incarnation))
		return
	}
	if e := s.entryOf(l); e != nil {
		g.listeners[e.incarnation] = true
	}
	if m.Tombstone {
		s.carryOut(g, s.stopIfNotStarted(g, "given up by its entry"))
	}
	_ = l.Reply(call, s.outcome(g))
}

// unheard judges an attempt that has no book here. It never started and never
// will, unless it was meant for an earlier life of this process or its book is
// old enough to have been forgotten: then nothing is known.
func (s *Agent) unheard(a jayframe.Attempt, owner uint64) *jayframe.Outcome {
	o := &jayframe.Outcome{Attempt: a, Status: jayframe.StatusNeverStarted, Code: "never_heard_of", Worker: s.Settings.Name}
	id := a.ID()
	forgotten := id.Counter() <= s.forgotten[id.Origin()] && !s.ledger.HasTombstone(id)
	if owner != uint64(s.incarnation) || forgotten || !s.bury(id, "settled: never heard of") {
		o.Status = jayframe.StatusUnknown
		o.Code = "not_known"
	}
	return o
}

func (s *Agent) stopIfNotStarted(g *gang, cause string) []jaygang.Action {
	if g.book.Phase() == jaygang.Started {
		return nil
	}
	return g.book.Stop(jaygang.NeverStarted, cause, s.now())
}

func (s *Agent) onCancel(l *jaylink.Link, call uint64, m *jayframe.Cancel) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	g := s.gangs[m.Attempt.ID()]
	if g == nil {
		_ = l.Reply(call, s.unheard(m.Attempt, m.Incarnation))
		return
	}
	result, cause := jaygang.Canceled, "canceled by its caller"
	if m.Resume {
		result, cause = jaygang.Stopped, "moved by its entry"
	}
	s.carryOut(g, g.book.Stop(result, cause, s.now()))
	_ = l.Reply(call, s.outcome(g))
}

// forgetGangs drops the books of gangs that ended long ago, or the oldest when
// there are too many. It keeps, for each origin, the highest attempt forgotten,
// so that none of them is later said never to have run.
func (s *Agent) forgetGangs(now time.Duration) {
	for len(s.ended) > 0 && (len(s.ended) > endedGangs || now-s.ended[0].book.EndedAt() > endedGangLife) {
		g := s.ended[0]
		s.ended = s.ended[1:]
		a := g.book.Attempt()
		delete(s.gangs, a)
		s.forgotten[a.Origin()] = max(s.forgotten[a.Origin()], a.Counter())
	}
}
