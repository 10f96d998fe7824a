// Package jayattempt identifies the attempts to run a job and defines their state
// machine.
package jayattempt

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"time"
)

// Incarnation identifies one execution of a process. It grows with each restart of
// the same process.
type Incarnation uint64

// randomBits is the number of random low bits of an Incarnation; the start time in
// milliseconds is above them.
const randomBits = 20

// NewIncarnation returns the incarnation of a process that starts at now.
func NewIncarnation(now time.Time) Incarnation {
	var b [4]byte
	_, _ = rand.Read(b[:])
	r := uint64(binary.BigEndian.Uint32(b[:])) & (1<<randomBits - 1)
	return Incarnation(uint64(now.UnixMilli())<<randomBits | r)
}

// String returns the incarnation as sixteen hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// ID identifies an attempt uniquely over all processes and their restarts.
type ID struct {
	origin  Incarnation
	counter uint64
}

// NewID returns the ID with the given parts.
func NewID(origin Incarnation, counter uint64) ID { return ID{origin: origin, counter: counter} }

// Origin returns the incarnation of the process that made the attempt.
func (i ID) Origin() Incarnation { return i.origin }

// Counter returns the sequence number of the attempt within its origin.
func (i ID) Counter() uint64 { return i.counter }

// IsZero reports whether the ID is unset.
func (i ID) IsZero() bool { return i == ID{} }

// String returns the ID as origin-counter in hexadecimal.
func (i ID) String() string { return fmt.Sprintf("%s-%x", i.origin, i.counter) }

// ParseError reports a string that is not an attempt ID.
type ParseError struct{ Given string }

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("attempt %q: want origin-counter in hexadecimal", e.Given)
}

// ParseID parses the output of ID.String.
func ParseID(s string) (ID, error) {
	var o, c uint64
	if n, err := fmt.Sscanf(s, "%16x-%x", &o, &c); n != 2 || err != nil {
		return ID{}, &ParseError{Given: s}
	}
	i := NewID(Incarnation(o), c)
	if i.String() != s {
		return ID{}, &ParseError{Given: s}
	}
	return i, nil
}

// IDGenerator generates the attempt IDs of one process.
type IDGenerator struct {
	origin  Incarnation
	counter atomic.Uint64
}

// NewIDGenerator returns a generator for the incarnation.
func NewIDGenerator(origin Incarnation) *IDGenerator { return &IDGenerator{origin: origin} }

// Next returns an ID that was never returned before.
func (g *IDGenerator) Next() ID { return NewID(g.origin, g.counter.Add(1)) }

// Origin returns the incarnation of the process.
func (g *IDGenerator) Origin() Incarnation { return g.origin }

// State is the state of an attempt as known to the process that made it.
type State uint8

// The states of an attempt. docs/design/attempts.md lists every transition.
const (
	NotSent State = iota
	Sent
	Refused
	Running
	Answered
	Unknown
)

var stateNames = []string{"not_sent", "sent", "refused", "running", "answered", "unknown"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// transitions lists the states to which each state may change.
var transitions = [...][]State{
	NotSent:  {Sent, Refused},
	Sent:     {Refused, Running, Answered, Unknown},
	Running:  {Answered, Unknown, Refused},
	Unknown:  {Answered, Refused, Running},
	Refused:  {},
	Answered: {},
}

// TransitionError reports a transition that the state machine does not allow.
type TransitionError struct {
	Attempt  ID
	From, To State
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("attempt %s: no transition from %s to %s", e.Attempt, e.From, e.To)
}

// Attempt is one attempt to run a job. It is not safe for concurrent use.
type Attempt struct {
	id    ID
	state State
}

// New returns an attempt that has not been sent.
func New(id ID) *Attempt { return &Attempt{id: id} }

// ID returns the attempt's ID.
func (a *Attempt) ID() ID { return a.id }

// State returns the current state.
func (a *Attempt) State() State { return a.state }

// Transition changes the state or returns a TransitionError.
func (a *Attempt) Transition(to State) error {
	for _, s := range transitions[a.state] {
		if s == to {
			a.state = to
			return nil
		}
	}
	return &TransitionError{Attempt: a.id, From: a.state, To: to}
}

// NeverRan reports whether it is certain that no member of the attempt started.
func (a *Attempt) NeverRan() bool { return a.state == NotSent || a.state == Refused }
