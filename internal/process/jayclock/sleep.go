package jayclock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends. It reports whether the full duration has
// passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
