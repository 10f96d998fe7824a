// Package jaygang is the state machine of a gang's coordinator, the agent of the first
// member. The coordinator alone decides whether the gang starts and how it ends. The
// methods apply messages from the entry and the members and return the orders to send
// to the members. The package has no clock and does no I/O.
package jaygang

import (
	"fmt"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
)

// Phase is the phase of a gang's start, run and end.
type Phase uint8

// The phases of a gang.
const (
	// Gathering waits for every member's reservation and for the entry's commit.
	Gathering Phase = iota
	// Preparing waits for every member to load its task.
	Preparing
	// Started means that the members have been ordered to start.
	Started
	// Ended is final.
	Ended
)

// Result is how a gang or one of its members ended.
type Result uint8

// The results.
const (
	NoResult Result = iota
	// NeverStarted means that no member started and none will.
	NeverStarted
	// Answered means that the member returned an answer; for a gang, that all did.
	Answered
	// Failed means that the member started and ended without an answer.
	Failed
	// Stopped means that the member was stopped for other work.
	Stopped
	// Canceled means that the caller canceled the job.
	Canceled
)

// Order is an order to a member.
type Order uint8

// The orders to members.
const (
	Prepare Order = iota
	Start
	Stop
)

// Action is an order with the member that it goes to.
type Action struct {
	order  Order
	member int
}

// Order returns the order.
func (a Action) Order() Order { return a.order }

// Member returns the index of the member.
func (a Action) Member() int { return a.member }

type member struct {
	joined      bool
	prepared    bool
	ended       bool
	released    bool
	answered    bool
	token       uint64
	lastContact time.Duration
	answer      []byte
	checkpoint  []byte
	progress    time.Duration
}

// Gang is the coordinator's state of one attempt. It is not safe for concurrent
// use.
type Gang struct {
	attempt   jayattempt.ID
	members   []member
	lease     time.Duration
	phase     Phase
	tokens    []uint64
	result    Result
	cause     string
	startedAt time.Duration
	endedAt   time.Duration
	expires   time.Duration
}

// New returns a gang without joined members. Unless it is committed within ttl,
// it never starts. While its members prepare or run, a member that is out of
// contact for a lease ends it.
func New(attempt jayattempt.ID, members int, lease, ttl, now time.Duration) *Gang {
	return &Gang{attempt: attempt, members: make([]member, members), lease: lease, expires: now + ttl}
}

// Attempt returns the attempt that the gang belongs to.
func (g *Gang) Attempt() jayattempt.ID { return g.attempt }

// Members returns how many members the gang has.
func (g *Gang) Members() int { return len(g.members) }

// Phase returns the gang's phase.
func (g *Gang) Phase() Phase { return g.phase }

// Result returns how the gang ended.
func (g *Gang) Result() Result { return g.result }

// Cause returns why the gang ended without an answer.
func (g *Gang) Cause() string { return g.cause }

// StartedAt returns when the members were ordered to start.
func (g *Gang) StartedAt() time.Duration { return g.startedAt }

// EndedAt returns when the gang ended.
func (g *Gang) EndedAt() time.Duration { return g.endedAt }

// Answers returns the answers by member. They are complete only when the result
// is Answered.
func (g *Gang) Answers() [][]byte {
	answers := make([][]byte, len(g.members))
	for i, m := range g.members {
		answers[i] = m.answer
	}
	return answers
}

// Checkpoint returns the checkpoint of the first member and the least run time
// that a member's checkpoint holds.
func (g *Gang) Checkpoint() ([]byte, time.Duration) {
	progress := g.members[0].progress
	for _, m := range g.members {
		progress = min(progress, m.progress)
	}
	return g.members[0].checkpoint, progress
}

// PhaseError reports a message that is invalid in the gang's phase.
type PhaseError struct {
	Attempt jayattempt.ID
	Message string
	Phase   Phase
}

// Error implements error.
func (e *PhaseError) Error() string {
	return fmt.Sprintf("gang %s: %s is invalid in phase %d", e.Attempt, e.Message, e.Phase)
}

// Commit records the entry's decision that the gang runs under the given
// reservation tokens, one per member.
func (g *Gang) Commit(tokens []uint64, now time.Duration) ([]Action, error) {
	if g.phase == Ended || len(tokens) != len(g.members) {
		return nil, &PhaseError{Attempt: g.attempt, Message: "commit", Phase: g.phase}
	}
	if g.tokens == nil {
		g.tokens = tokens
		g.expires = now + g.lease
	}
	return g.advance(now), nil
}

// Join records that a member has its reservation. A repeated join counts as
// contact.
func (g *Gang) Join(i int, token uint64, now time.Duration) ([]Action, error) {
	if i < 0 || i >= len(g.members) {
		return nil, &PhaseError{Attempt: g.attempt, Message: "join of an unknown member", Phase: g.phase}
	}
	m := &g.members[i]
	if g.phase == Ended || (m.joined && m.token != token) {
		return nil, &PhaseError{Attempt: g.attempt, Message: "join", Phase: g.phase}
	}
	m.joined = true
	m.token = token
	m.lastContact = now
	return g.advance(now), nil
}

// RecordContact records a message of a member.
func (g *Gang) RecordContact(i int, now time.Duration) {
	if i >= 0 && i < len(g.members) {
		g.members[i].lastContact = now
	}
}

// MemberPrepared records whether a member has loaded its task. A failure ends the
// gang before any member has started.
func (g *Gang) MemberPrepared(i int, ok bool, cause string, now time.Duration) []Action {
	if g.phase != Preparing || i < 0 || i >= len(g.members) {
		return nil
	}
	g.members[i].lastContact = now
	if !ok {
		return g.end(NeverStarted, cause, now)
	}
	g.members[i].prepared = true
	return g.advance(now)
}

// MemberEnded records how a member ended. Any result but an answer ends the gang and
// stops all members. A gang that is stopped for other work is answered all the same if
// every member answers before the gang has settled.
func (g *Gang) MemberEnded(i int, r Result, answer []byte, cause string, now time.Duration) []Action {
	if i < 0 || i >= len(g.members) || g.members[i].ended {
		return nil
	}
	if g.phase == Ended && (g.result != Stopped || r != Answered || g.Settled(now)) {
		return nil
	}
	m := &g.members[i]
	m.ended = true
	m.lastContact = now
	if r != Answered {
		switch {
		case g.phase != Started:
			r = NeverStarted
		case r == NeverStarted && len(g.members) > 1:
			// Other members may have run.
			r = Failed
		}
		return g.end(r, cause, now)
	}
	m.answer = answer
	m.answered = true
	for _, o := range g.members {
		if !o.answered {
			return nil
		}
	}
	return g.end(Answered, "", now)
}

// RecordCheckpoint records a member's checkpoint and the run time that it holds.
func (g *Gang) RecordCheckpoint(i int, checkpoint []byte, progress time.Duration) {
	if i >= 0 && i < len(g.members) {
		g.members[i].checkpoint = checkpoint
		g.members[i].progress = progress
	}
}

// MemberReleased records that a member has stopped and released its
// reservation.
func (g *Gang) MemberReleased(i int) {
	if i >= 0 && i < len(g.members) {
		g.members[i].released = true
	}
}

// Settled reports whether the gang has ended and no member of it still runs. A
// member that has been out of contact for two leases has stopped: its agent stops
// it after one, or its worker does if the agent has failed.
func (g *Gang) Settled(now time.Duration) bool {
	if g.phase != Ended {
		return false
	}
	for _, m := range g.members {
		if !m.released && !m.ended && m.joined && now-m.lastContact < 2*g.lease {
			return false
		}
	}
	return true
}

// Stop ends the gang with the given result, or with NeverStarted if its members
// were not ordered to start.
func (g *Gang) Stop(r Result, cause string, now time.Duration) []Action {
	if g.phase == Ended {
		return nil
	}
	if g.phase != Started {
		r = NeverStarted
	}
	return g.end(r, cause, now)
}

// Tick ends a gang that was not committed in time, whose members did not all join
// within a lease of the commit, or that has a member out of contact for a lease.
func (g *Gang) Tick(now time.Duration) []Action {
	switch g.phase {
	case Gathering:
		if now >= g.expires {
			return g.end(NeverStarted, "not committed in time", now)
		}
	case Preparing, Started:
		for i, m := range g.members {
			if !m.ended && now-m.lastContact >= g.lease {
				return g.Stop(Failed, fmt.Sprintf("member %d out of contact for a lease", i), now)
			}
		}
	}
	return nil
}

// advance enters the next phases whose conditions all members meet. A gang of one
// member needs no separate preparation.
func (g *Gang) advance(now time.Duration) []Action {
	if g.phase == Gathering && g.readyToPrepare() {
		if len(g.members) == 1 {
			g.phase = Preparing
			g.members[0].prepared = true
		} else {
			g.phase = Preparing
			return g.orderAll(Prepare)
		}
	}
	if g.phase != Preparing {
		return nil
	}
	for _, m := range g.members {
		if !m.prepared {
			return nil
		}
	}
	g.phase = Started
	g.startedAt = now
	return g.orderAll(Start)
}

// readyToPrepare reports whether the gang is committed and every member has
// joined under its committed token.
func (g *Gang) readyToPrepare() bool {
	if g.tokens == nil {
		return false
	}
	for i, m := range g.members {
		if !m.joined || m.token != g.tokens[i] {
			return false
		}
	}
	return true
}

func (g *Gang) end(r Result, cause string, now time.Duration) []Action {
	jayassert.That(g.phase != Started || r != NeverStarted || len(g.members) == 1, "gang %s started but ends as never started", g.attempt)
	g.phase = Ended
	g.result = r
	g.cause = cause
	g.endedAt = now
	if r == Answered {
		return nil
	}
	return g.orderAll(Stop)
}

func (g *Gang) orderAll(o Order) []Action {
	actions := make([]Action, len(g.members))
	for i := range g.members {
		actions[i] = Action{order: o, member: i}
	}
	return actions
}
