// Package jayattempt identifies each try at running a job and holds the states
// that a try passes through.
package jayattempt

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"sync/atomic"
	"time"
)

// Incarnation identifies one life of one process. A later life of the same
// process has a greater incarnation.
type Incarnation uint64

const randomBits = 20

// NewIncarnation returns an incarnation that starts at now.
func NewIncarnation(now time.Time) Incarnation {
	var b [4]byte
	_, _ = rand.Read(b[:])
	r := uint64(binary.BigEndian.Uint32(b[:])) & (1<<randomBits - 1)
	return Incarnation(uint64(now.UnixMilli())<<randomBits | r)
}

// String returns the incarnation as sixteen hexadecimal digits.
func (i Incarnation) String() string { return fmt.Sprintf("%016x", uint64(i)) }

// ID identifies one attempt over all processes and all time.
type ID struct {
	origin  Incarnation
	counter uint64
}

// NewID returns the identity with the given parts.
func NewID(origin Incarnation, counter uint64) ID { return ID{origin: origin, counter: counter} }

// Origin returns the incarnation of the process that made the attempt.
func (i ID) Origin() Incarnation { return i.origin }

// Counter returns the attempt's number within its origin.
func (i ID) Counter() uint64 { return i.counter }

// IsZero reports whether the identity is unset.
func (i ID) IsZero() bool { return i == ID{} }

// String returns the identity as origin-counter in hexadecimal.
func (i ID) String() string { return fmt.Sprintf("%s-%x", i.origin, i.counter) }

// ParseError reports a text that is not an attempt's identity.
type ParseError struct{ Given string }

// Error implements error.
func (e *ParseError) Error() string {
	return fmt.Sprintf("attempt %q: want origin-counter in hexadecimal", e.Given)
}

// ParseID reads the text that ID.String wrote.
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

// Source makes the attempts of one process.
type Source struct {
	origin  Incarnation
	counter atomic.Uint64
}

// NewSource returns a source for the incarnation.
func NewSource(origin Incarnation) *Source { return &Source{origin: origin} }

// Next returns an identity that was never returned before.
func (s *Source) Next() ID { return NewID(s.origin, s.counter.Add(1)) }

// Origin returns the incarnation of the process.
func (s *Source) Origin() Incarnation { return s.origin }

// State is where an attempt stands, as its maker knows it.
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

var transitions = [...][]State{
	NotSent:  {Sent, Refused},
	Sent:     {Refused, Running, Answered, Unknown},
	Running:  {Answered, Unknown, Refused},
	Unknown:  {Answered, Refused, Running},
	Refused:  {},
	Answered: {},
}

// TransitionError reports a step that the state machine does not allow.
type TransitionError struct {
	Attempt  ID
	From, To State
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("attempt %s: no transition from %s to %s", e.Attempt, e.From, e.To)
}

// Attempt is one try at running a job. It is not safe for concurrent use.
type Attempt struct {
	id    ID
	state State
}

// New returns an attempt that has not been sent.
func New(id ID) *Attempt { return &Attempt{id: id} }

// ID returns the attempt's identity.
func (a *Attempt) ID() ID { return a.id }

// State returns where the attempt stands.
func (a *Attempt) State() State { return a.state }

// Move takes the attempt to the next state or returns a TransitionError.
func (a *Attempt) Move(to State) error {
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
