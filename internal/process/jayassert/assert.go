// Package jayassert crashes the process when an invariant is violated.
package jayassert

import (
	"fmt"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

// ViolationError reports an invariant that does not hold.
type ViolationError struct{ Description string }

// Error implements error.
func (e *ViolationError) Error() string { return "invariant violated: " + e.Description }

// PanicError reports a panic, with its stack.
type PanicError struct{ Description string }

// Error implements error.
func (e *PanicError) Error() string { return e.Description }

// Try runs f and returns a PanicError if it panics.
func Try(f func()) error {
	if r := panics.Try(f); r != nil {
		return &PanicError{Description: r.String()}
	}
	return nil
}

// Group runs goroutines that end together. A panic in one of them calls OnViolation at
// once; conc.WaitGroup holds it back until all others have ended, so that a process would
// go on without one of its loops.
type Group struct{ goroutines conc.WaitGroup }

// Go runs f in a goroutine.
func (g *Group) Go(f func()) {
	g.goroutines.Go(func() {
		if err := Try(f); err != nil {
			OnViolation(err)
		}
	})
}

// Wait waits for all goroutines.
func (g *Group) Wait() { g.goroutines.Wait() }

// OnViolation is called with each violated invariant. Tests of the checks replace it.
var OnViolation = crash

// crash panics in a new goroutine, so that no caller can recover: the state of the
// process can no longer be trusted.
func crash(err error) {
	go func() { panic(err) }()
	select {}
}

// That calls OnViolation, by default to crash the process, unless the condition
// holds.
func That(holds bool, format string, args ...any) {
	if !holds {
		OnViolation(&ViolationError{Description: fmt.Sprintf(format, args...)})
	}
}
