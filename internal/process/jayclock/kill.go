package jayclock

import (
	"context"
	"errors"
)

// KilledError is the cancellation cause of a process that ends without a graceful
// shutdown, as if its machine had failed.
type KilledError struct{}

// Error implements error.
func (*KilledError) Error() string { return "process was killed" }

// Killed reports whether the cause of the context's end is a KilledError.
func Killed(ctx context.Context) bool {
	var k *KilledError
	return errors.As(context.Cause(ctx), &k)
}
