// Package jayassert ends the process when an invariant is broken.
package jayassert

import "fmt"

// BrokenError reports an invariant that does not hold.
type BrokenError struct{ What string }

// Error implements error.
func (e *BrokenError) Error() string { return "invariant broken: " + e.What }

// OnBroken is called with each broken invariant. Tests of the checks replace it.
var OnBroken = crash

// crash panics in a goroutine of its own, which nothing recovers: a process
// that has broken a promise must not go on.
func crash(err error) {
	go func() { panic(err) }()
	select {}
}

// That ends the process unless the condition holds.
func That(holds bool, format string, args ...any) {
	if !holds {
		OnBroken(&BrokenError{What: fmt.Sprintf(format, args...)})
	}
}
