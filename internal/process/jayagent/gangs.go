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

// gang is an attempt that this agent coordinates. Its member links are nil for members
// on this agent; the subscribers are the entries that get its outcome.
type gang struct {
	state       *jaygang.Gang
	job         string
	workspace   string
	digest      []byte
	memberLinks []*jaylink.Link
	subscribers map[jayattempt.Incarnation]bool
	announced   bool
}

// openGang creates the gang of an attempt that this agent coordinates.
func (a *Agent) openGang(m *member, now time.Duration) {
	attempt := m.key.Attempt
	if a.gangs[attempt] != nil {
		return
	}
	g := &gang{
		state:       jaygang.New(attempt, m.request.Members, a.Settings.Lease, time.Duration(m.request.TTLMillis)*time.Millisecond, now),
		job:         m.request.Job,
		workspace:   m.spec.Workspace(),
		digest:      m.request.Digest,
		memberLinks: make([]*jaylink.Link, m.request.Members),
		subscribers: map[jayattempt.Incarnation]bool{attempt.Origin(): true},
	}
	a.gangs[attempt] = g
	a.activeGangs[attempt] = g
}

// onCommit records the entry's decision to run the gang. It starts once every member
// has joined.
func (a *Agent) onCommit(l *jaylink.Link, call uint64, m *jayframe.Commit) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	g := a.gangs[m.Attempt.ID()]
	if g == nil {
		a.tombstone(m.Attempt.ID(), "committed without a reservation")
		_ = l.Reply(call, &jayframe.Outcome{Attempt: m.Attempt, Status: jayframe.StatusNeverStarted, Code: "no_hold", Message: "the anchor holds nothing for this attempt"})
		return
	}
	tokens := make([]uint64, len(m.Members))
	for i, t := range m.Members {
		tokens[i] = t.Token
	}
	actions, err := g.state.Commit(tokens, a.now())
	if err == nil {
		a.extendReservation(jayreservation.Key{Attempt: g.state.Attempt()})
		a.recorder.Record(jaytimeline.AttemptCommitted, jaytimeline.Fields{Job: g.job, Attempt: g.state.Attempt().String(), Workspace: g.workspace, Worker: a.Settings.Name})
		a.executeActions(g, actions)
	}
	_ = l.Reply(call, a.outcome(g))
}

// extendReservation gives a local member of a committed gang one lease to start.
func (a *Agent) extendReservation(k jayreservation.Key) { a.ledger.Extend(k, a.now()+a.Settings.Lease) }

// executeActions sends the gang's orders to its members.
func (a *Agent) executeActions(g *gang, actions []jaygang.Action) {
	if len(actions) > 0 && actions[0].Order() == jaygang.Start {
		a.recorder.Record(jaytimeline.AttemptStarted, jaytimeline.Fields{Job: g.job, Attempt: g.state.Attempt().String(), Workspace: g.workspace, Worker: a.Settings.Name, Detail: "start barrier released"})
	}
	for _, action := range actions {
		a.executeAction(g, action)
	}
	a.announce(g)
}

// executeAction sends one order to a member on this or another agent.
func (a *Agent) executeAction(g *gang, action jaygang.Action) {
	attempt := g.state.Attempt()
	l := g.memberLinks[action.Member()]
	id := jayframe.FromID(attempt)
	takeCheckpoint := g.state.Result() == jaygang.Stopped
	switch action.Order() {
	case jaygang.Prepare:
		if l == nil {
			a.prepareMember(attempt, action.Member())
			return
		}
		_ = l.Send(&jayframe.Prepare{Attempt: id, Member: action.Member()})
	case jaygang.Start:
		if l == nil {
			a.startMember(attempt, action.Member())
			return
		}
		_ = l.Send(&jayframe.Start{Attempt: id, Member: action.Member()})
	case jaygang.Stop:
		if l == nil {
			a.stopByCoordinator(attempt, action.Member(), takeCheckpoint)
			return
		}
		_ = l.Send(&jayframe.Stop{Attempt: id, Member: action.Member(), Checkpoint: takeCheckpoint})
	}
}

// onJoin records that a member on another agent has its reservation.
func (a *Agent) onJoin(l *jaylink.Link, call uint64, m *jayframe.Join) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	g := a.gangs[m.Attempt.ID()]
	if g == nil {
		// The entry's Reserve for the coordinator's member may still be in transit, so
		// the member is stopped only if the attempt has a tombstone. The join is not
		// recorded; the member joins again only when its link reopens.
		_ = l.Reply(call, &jayframe.Ack{OK: !a.ledger.HasTombstone(m.Attempt.ID())})
		return
	}
	if m.Member >= 0 && m.Member < len(g.memberLinks) {
		g.memberLinks[m.Member] = l
	}
	actions, err := g.state.Join(m.Member, m.Token, a.now())
	_ = l.Reply(call, &jayframe.Ack{OK: err == nil})
	a.executeActions(g, actions)
}

func (a *Agent) onPrepared(m *jayframe.Prepared) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.recordPrepared(m.Attempt.ID(), m.Member, m.OK, m.Message)
}

func (a *Agent) recordPrepared(attempt jayattempt.ID, i int, ok bool, cause string) {
	if g := a.gangs[attempt]; g != nil {
		a.executeActions(g, g.state.MemberPrepared(i, ok, cause, a.now()))
	}
}

var resultByStatus = map[jayframe.Status]jaygang.Result{
	jayframe.StatusNeverStarted: jaygang.NeverStarted,
	jayframe.StatusAnswered:     jaygang.Answered,
	jayframe.StatusFailed:       jaygang.Failed,
	jayframe.StatusStopped:      jaygang.Stopped,
	jayframe.StatusCanceled:     jaygang.Canceled,
}

var statusByResult = map[jaygang.Result]jayframe.Status{
	jaygang.NeverStarted: jayframe.StatusNeverStarted,
	jaygang.Answered:     jayframe.StatusAnswered,
	jaygang.Failed:       jayframe.StatusFailed,
	jaygang.Stopped:      jayframe.StatusStopped,
	jaygang.Canceled:     jayframe.StatusCanceled,
}

func (a *Agent) onMemberDone(m *jayframe.MemberDone) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.recordMemberDone(m)
}

// recordMemberDone records how a member of a gang that is coordinated here ended.
func (a *Agent) recordMemberDone(m *jayframe.MemberDone) {
	g := a.gangs[m.Attempt.ID()]
	if g == nil {
		return
	}
	if m.Checkpoint != nil {
		g.state.RecordCheckpoint(m.Member, m.Checkpoint, time.Duration(m.ProgressMillis)*time.Millisecond)
	}
	actions := g.state.MemberEnded(m.Member, resultByStatus[m.Status], m.Result, m.Message, a.now())
	g.state.MemberReleased(m.Member)
	a.executeActions(g, actions)
}

// announce sends the gang's outcome to the subscribers once, as soon as the gang has
// ended and no member runs anymore.
func (a *Agent) announce(g *gang) {
	if g.announced || !g.state.Settled(a.now()) {
		return
	}
	g.announced = true
	delete(a.activeGangs, g.state.Attempt())
	a.endedGangs = append(a.endedGangs, g)
	a.recorder.Record(jaytimeline.AttemptEnded, jaytimeline.Fields{Job: g.job, Attempt: g.state.Attempt().String(), Workspace: g.workspace, Worker: a.Settings.Name, Detail: g.state.Cause()})
	o := a.outcome(g)
	for _, e := range a.entries {
		if e.link != nil && g.subscribers[e.incarnation] {
			_ = e.link.Send(o)
		}
	}
	a.signalReport()
}

// outcome returns the current outcome of a gang.
func (a *Agent) outcome(g *gang) *jayframe.Outcome {
	o := &jayframe.Outcome{Attempt: jayframe.FromID(g.state.Attempt()), Digest: g.digest, Worker: a.Settings.Name, Message: g.state.Cause()}
	switch g.state.Phase() {
	case jaygang.Gathering:
		o.Status = jayframe.StatusReserved
	case jaygang.Preparing, jaygang.Started:
		o.Status = jayframe.StatusRunning
	case jaygang.Ended:
		o.Status = statusByResult[g.state.Result()]
		if !g.state.Settled(a.now()) {
			o.Status = jayframe.StatusRunning
		}
		if g.state.StartedAt() > 0 {
			o.ElapsedMillis = (g.state.EndedAt() - g.state.StartedAt()).Milliseconds()
		}
	}
	if o.Status == jayframe.StatusAnswered {
		o.Results = g.state.Answers()
	}
	if o.Status == jayframe.StatusStopped {
		checkpoint, progress := g.state.Checkpoint()
		o.Checkpoint = checkpoint
		o.ProgressMillis = progress.Milliseconds()
	}
	return o
}

// onResolve replies with the outcome of an attempt and subscribes the sender to its
// end. An unknown attempt gets a tombstone, so that it can never start; if the entry
// asks for one, a gang that has not started ends as well.
func (a *Agent) onResolve(l *jaylink.Link, call uint64, m *jayframe.Resolve) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	attempt := m.Attempt.ID()
	g := a.gangs[attempt]
	if g == nil {
		_ = l.Reply(call, a.resolveUnknown(m.Attempt, m.Incarnation))
		return
	}
	if e := a.entryOfLink(l); e != nil {
		g.subscribers[e.incarnation] = true
	}
	if m.Tombstone {
		a.executeActions(g, a.stopIfNotStarted(g, "given up by its entry"))
	}
	_ = l.Reply(call, a.outcome(g))
}

// resolveUnknown returns the outcome of an attempt without a gang on this agent: it
// never started and, with a tombstone, never will. The outcome is unknown if the attempt
// was sent to an earlier incarnation of this agent or its gang may have been removed.
func (a *Agent) resolveUnknown(attempt jayframe.Attempt, incarnation uint64) *jayframe.Outcome {
	o := &jayframe.Outcome{Attempt: attempt, Status: jayframe.StatusNeverStarted, Code: "never_heard_of", Worker: a.Settings.Name}
	id := attempt.ID()
	mayBeRemoved := id.Counter() <= a.highestRemoved[id.Origin()] && !a.ledger.HasTombstone(id)
	if incarnation != uint64(a.incarnation) || mayBeRemoved || !a.tombstone(id, "resolved: attempt was never received") {
		o.Status = jayframe.StatusUnknown
		o.Code = "not_known"
	}
	return o
}

func (a *Agent) stopIfNotStarted(g *gang, cause string) []jaygang.Action {
	if g.state.Phase() == jaygang.Started {
		return nil
	}
	return g.state.Stop(jaygang.NeverStarted, cause, a.now())
}

func (a *Agent) onCancel(l *jaylink.Link, call uint64, m *jayframe.Cancel) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	g := a.gangs[m.Attempt.ID()]
	if g == nil {
		_ = l.Reply(call, a.resolveUnknown(m.Attempt, m.Incarnation))
		return
	}
	result, cause := jaygang.Canceled, "canceled by its caller"
	if m.Resume {
		result, cause = jaygang.Stopped, "moved by its entry"
	}
	a.executeActions(g, g.state.Stop(result, cause, a.now()))
	_ = l.Reply(call, a.outcome(g))
}

// removeEndedGangs removes gangs that ended more than endedGangRetention ago, and the
// oldest ones beyond maxEndedGangs. It keeps the highest removed attempt of each origin,
// so that a removed attempt is not reported later as never started.
func (a *Agent) removeEndedGangs(now time.Duration) {
	for len(a.endedGangs) > 0 && (len(a.endedGangs) > maxEndedGangs || now-a.endedGangs[0].state.EndedAt() > endedGangRetention) {
		g := a.endedGangs[0]
		a.endedGangs = a.endedGangs[1:]
		attempt := g.state.Attempt()
		delete(a.gangs, attempt)
		a.highestRemoved[attempt.Origin()] = max(a.highestRemoved[attempt.Origin()], attempt.Counter())
	}
}
