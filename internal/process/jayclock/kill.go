package jayclock

import (
	"context"
	"errors"
)

// KilledError is the cause of a context that ends without any shutdown, as when
// a machine fails.
type KilledError struct{}

// Error implements error.
func (*KilledError) Error() string { return "process was killed" }

// Killed reports whether the context ended by a kill.
func Killed(ctx context.Context) bool {
	var k *KilledError
	return errors.As(context.Cause(ctx), &k)
}
