// Package jayassert crashes the process when an invariant is violated.
package jayassert

import "fmt"

// ViolationError reports an invariant that does not hold.
type ViolationError struct{ Description string }

// Error implements error.
func (e *ViolationError) Error() string { return "invariant violated: " + e.Description }

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
