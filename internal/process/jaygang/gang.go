// Package jaygang holds the one place where it is decided whether a gang runs:
// the book of its anchor, the side process of its first member. It has no clock
// and does no input or output.
package jaygang

import (
	"fmt"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
)

// Phase is how far a gang has come.
type Phase uint8

// The phases of a gang.
const (
	// Gathering waits for every member to hold and for the entry to commit.
	Gathering Phase = iota
	// Preparing waits for every member to load its task.
	Preparing
	// Started has released the barrier: members may run.
	Started
	// Ended is final.
	Ended
)

// Result says how a gang or one of its members ended.
type Result uint8

// The results.
const (
	NoResult Result = iota
	// Never means that no member started and none will.
	NeverStarted
	// Answered means that the member ended with an answer.
	Answered
	// Failed means that the member started and ended without an answer.
	Failed
	// Stopped means that the member was stopped for other work.
	Stopped
	// Canceled means that the caller asked for the end.
	Canceled
)

// Order is what an action asks of a member.
type Order uint8

// The orders to members.
const (
	Prepare Order = iota
	Start
	Stop
)

// Action is one order for one member.
type Action struct {
	order  Order
	member int
}

// Order returns what is asked.
func (a Action) Order() Order { return a.order }

// Member returns of whom it is asked.
func (a Action) Member() int { return a.member }

type member struct {
	joined     bool
	prepared   bool
	done       bool
	left       bool
	token      uint64
	contact    time.Duration
	answer     []byte
	checkpoint []byte
	progress   time.Duration
}

// Gang is the anchor's book of one attempt. It is not safe for concurrent use.
type Gang struct {
	attempt   jayattempt.ID
	members   []member
	lease     time.Duration
	phase     Phase
	committed []uint64
	result    Result
	cause     string
	started   time.Duration
	ended     time.Duration
	expires   time.Duration
}

// New returns a gang that nobody has joined. Unless it is committed within ttl,
// it never starts; once it has started, a member that is out of contact for a
// lease ends it.
func New(attempt jayattempt.ID, members int, lease, ttl, now time.Duration) *Gang {
	return &Gang{attempt: attempt, members: make([]member, members), lease: lease, expires: now + ttl}
}

// Attempt returns the attempt that the gang belongs to.
func (g *Gang) Attempt() jayattempt.ID { return g.attempt }

// Members returns how many members the gang has.
func (g *Gang) Members() int { return len(g.members) }

// Phase returns how far the gang has come.
func (g *Gang) Phase() Phase { return g.phase }

// Result returns how the gang ended.
func (g *Gang) Result() Result { return g.result }

// Cause returns why the gang ended without an answer.
func (g *Gang) Cause() string { return g.cause }

// Started returns when the barrier was released.
func (g *Gang) StartedAt() time.Duration { return g.started }

// EndedAt returns when the gang ended.
func (g *Gang) EndedAt() time.Duration { return g.ended }

// Answers returns the members' answers in order. It is complete only when the
// result is Answered.
func (g *Gang) Answers() [][]byte {
	answers := make([][]byte, len(g.members))
	for i, m := range g.members {
		answers[i] = m.answer
	}
	return answers
}

// Checkpoint returns the checkpoint of the first member and the least progress
// that the members have saved.
func (g *Gang) Checkpoint() ([]byte, time.Duration) {
	least := g.members[0].progress
	for _, m := range g.members {
		least = min(least, m.progress)
	}
	return g.members[0].checkpoint, least
}

// StepError reports a message that does not fit the gang's phase.
type PhaseError struct {
	Attempt jayattempt.ID
	Step    string
	Phase   Phase
}

// Error implements error.
func (e *PhaseError) Error() string {
	return fmt.Sprintf("gang %s: %s in phase %d", e.Attempt, e.Step, e.Phase)
}

// Commit records the entry's wish that the gang runs with the given tokens.
func (g *Gang) Commit(tokens []uint64, now time.Duration) ([]Action, error) {
	if g.phase == Ended || len(tokens) != len(g.members) {
		return nil, &PhaseError{Attempt: g.attempt, Step: "commit", Phase: g.phase}
	}
	if g.committed == nil {
		g.committed = tokens
		g.expires = now + g.lease
	}
	return g.advance(now), nil
}

// Join records that a member holds its accelerators. Joining again shows that
// it is alive.
func (g *Gang) Join(i int, token uint64, now time.Duration) ([]Action, error) {
	if i < 0 || i >= len(g.members) {
		return nil, &PhaseError{Attempt: g.attempt, Step: "join of a member outside the gang", Phase: g.phase}
	}
	m := &g.members[i]
	if g.phase == Ended || (m.joined && m.token != token) {
		return nil, &PhaseError{Attempt: g.attempt, Step: "join", Phase: g.phase}
	}
	m.joined = true
	m.token = token
	m.contact = now
	return g.advance(now), nil
}

// Contact records a sign of life of a member.
func (g *Gang) RecordContact(i int, now time.Duration) {
	if i >= 0 && i < len(g.members) {
		g.members[i].contact = now
	}
}

// Prepared records whether a member has loaded its task. A member that could
// not ends the gang before anything has started.
func (g *Gang) MemberPrepared(i int, ok bool, cause string, now time.Duration) []Action {
	if g.phase != Preparing || i < 0 || i >= len(g.members) {
		return nil
	}
	g.members[i].contact = now
	if !ok {
		return g.end(NeverStarted, cause, now)
	}
	g.members[i].prepared = true
	return g.advance(now)
}

// Done records how a member ended. Any end but an answer stops the others.
func (g *Gang) MemberEnded(i int, r Result, answer []byte, cause string, now time.Duration) []Action {
	if g.phase == Ended || i < 0 || i >= len(g.members) || g.members[i].done {
		return nil
	}
	m := &g.members[i]
	m.done = true
	m.contact = now
	if r != Answered {
		switch {
		case g.phase != Started:
			r = NeverStarted
		case r == NeverStarted && len(g.members) > 1:
			// The others may have run.
			r = Failed
		}
		return g.end(r, cause, now)
	}
	m.answer = answer
	for _, o := range g.members {
		if !o.done {
			return nil
		}
	}
	return g.end(Answered, "", now)
}

// Saved records a member's checkpoint and the run time that it holds.
func (g *Gang) RecordCheckpoint(i int, checkpoint []byte, progress time.Duration) {
	if i >= 0 && i < len(g.members) {
		g.members[i].checkpoint = checkpoint
		g.members[i].progress = progress
	}
}

// Left records that a member has stopped and freed what it held.
func (g *Gang) MemberReleased(i int) {
	if i >= 0 && i < len(g.members) {
		g.members[i].left = true
	}
}

// Settled reports whether the gang has ended and no member of it still runs. A
// member that has been out of contact for two leases has stopped: its side stops
// it after one, and should the side be gone, its worker does.
func (g *Gang) Settled(now time.Duration) bool {
	if g.phase != Ended {
		return false
	}
	for _, m := range g.members {
		if !m.left && !m.done && m.joined && now-m.contact < 2*g.lease {
			return false
		}
	}
	return true
}

// Stop ends the gang for the given reason; before the barrier is released the
// result is Never.
func (g *Gang) Stop(r Result, cause string, now time.Duration) []Action {
	if g.phase == Ended {
		return nil
	}
	if g.phase != Started {
		r = NeverStarted
	}
	return g.end(r, cause, now)
}

// Tick ends a gang that was not committed in time or has lost a member.
func (g *Gang) Tick(now time.Duration) []Action {
	switch g.phase {
	case Gathering:
		if now >= g.expires {
			return g.end(NeverStarted, "not committed in time", now)
		}
	case Preparing, Started:
		for i, m := range g.members {
			if !m.done && now-m.contact >= g.lease {
				return g.Stop(Failed, fmt.Sprintf("member %d out of contact for a lease", i), now)
			}
		}
	}
	return nil
}

// advance moves on once every member has done its part.
func (g *Gang) advance(now time.Duration) []Action {
	if g.phase == Gathering && g.complete() {
		if len(g.members) == 1 {
			g.phase = Preparing
			g.members[0].prepared = true
		} else {
			g.phase = Preparing
			return g.toAll(Prepare)
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
	g.started = now
	return g.toAll(Start)
}

// complete reports whether the gang is committed and every member holds under
// the committed token.
func (g *Gang) complete() bool {
	if g.committed == nil {
		return false
	}
	for i, m := range g.members {
		if !m.joined || m.token != g.committed[i] {
			return false
		}
	}
	return true
}

func (g *Gang) end(r Result, cause string, now time.Duration) []Action {
	jayassert.That(g.phase != Started || r != NeverStarted || len(g.members) == 1, "gang %s started and is said never to have", g.attempt)
	g.phase = Ended
	g.result = r
	g.cause = cause
	g.ended = now
	if r == Answered {
		return nil
	}
	return g.toAll(Stop)
}

func (g *Gang) toAll(o Order) []Action {
	actions := make([]Action, len(g.members))
	for i := range g.members {
		actions[i] = Action{order: o, member: i}
	}
	return actions
}
