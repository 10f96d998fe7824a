package jayreservation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jayattempt"
)

// An attempt that was refused and then released, as each gang that lacks a member, kept its
// tombstone for good.
func TestRepeatedTombstoneExpires(t *testing.T) {
	l := New(1, 0, 0, time.Minute)
	attempt := jayattempt.NewID(1, 1)
	l.Tombstone(attempt, 0)
	l.Tombstone(attempt, time.Second)
	for now := time.Duration(0); now < 10*time.Minute; now += time.Second {
		l.Expire(now)
	}
	assert.Equal(t, l.Tombstones(), 0)
}
