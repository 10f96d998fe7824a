package jaycell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a run that outlasts the leader's bound of its lease on a runner whose clock is
// slow: sums B and C of docs/design/permissions.md.
func TestLeaseBoundCoversSlowRunners(t *testing.T) {
	const slowestClock = 0.98
	// The agent reports a runner as responsive up to 1.2 s after its last answer, or two of
	// the longest heartbeat intervals.
	const maxListingAge = 3 * time.Second
	for lease := time.Second; lease <= 6*time.Second; lease += 100 * time.Millisecond {
		// Each runner counts the lease, and the age of the listing that its deadline was
		// computed with, on its own clock.
		end := time.Duration(float64(lease+maxListingAge)/slowestClock) - maxListingAge
		c := New(Settings{Lease: lease}, time.Hour, time.Now())
		bound := c.latestLeaseEnd(time.Hour) - time.Hour
		assert.Assert(t, end < bound, "lease %s: ends after %s, the leader counts on %s", lease, end, bound)
		// A successor counts on the same from the end of the handover.
		r := newRunner("r1", "n1")
		c.EndHandover(2 * time.Hour)
		assert.Equal(t, c.leaseBound(r), 2*time.Hour+bound)
		r.follows, r.leaseEnd = true, time.Hour+bound
		assert.Equal(t, c.leaseBound(r), r.leaseEnd)
	}
}
