package jaycell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A wide job of long tasks leaves room while it has time to spare, and takes what
// it needs to be on time.
func TestWideStepsLeaveRoom(t *testing.T) {
	for _, c := range []struct {
		count, running int
		waited         time.Duration
	}{
		{2, 2, 0},
		{6, 2, 0},
		{24, 2, 0},
		// Six waves of 2 s, each three times as long for callers, and 1 s: 37 s.
		{12, 3, 27 * time.Second},
		{12, 4, 29 * time.Second},
		{12, 6, 31 * time.Second},
		{12, 8, 33 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d after %s", c.count, c.waited), func(t *testing.T) {
			w := newWorld(t, nil, "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")
			w.turn(0)
			w.submit("wide", 1, "w", step(c.count, 8))
			w.wall = w.wall.Add(c.waited)
			assert.Equal(t, len(starts(w.turn(0))), c.running)
		})
	}
}

// An urgent job with time to spare throws away less of what others have done than
// one that would be late.
func TestPatientUrgentJobSparesOthers(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		stops  int
	}{{0, 0}, {4 * time.Second, 1}} {
		w := newWorld(t, nil, "r1", "r2", "r3", "r4")
		for i := range 4 {
			w.submit(fmt.Sprintf("other%d", i), 1, "w", step(1, 8))
		}
		w.turn(0)
		w.turn(500 * time.Millisecond)
		w.turn(2 * time.Second)
		w.wall = w.wall.Add(-c.waited)
		w.submit("urgent", 0, "w", step(1, 8))
		w.wall = w.wall.Add(c.waited)
		assert.Equal(t, w.stops(w.turn(100*time.Millisecond)), c.stops, "after %s", c.waited)
	}
}

// An urgent job beside a wide one of its own priority does not wait for it.
func TestUrgentJobStartsBesideAWideOne(t *testing.T) {
	w := newWorld(t, nil, "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")
	w.turn(0)
	w.submit("wide", 0, "w", step(18, 8))
	w.turn(0)
	w.submit("short", 0, "w", step(2, 8))
	assert.Equal(t, len(starts(w.turn(100*time.Millisecond))), 2)
}
