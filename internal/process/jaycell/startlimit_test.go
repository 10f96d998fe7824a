package jaycell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A wide job of long tasks leaves part of the pool free while it has slack, and takes
// what it needs to be on time.
func TestStartLimitOfWideSteps(t *testing.T) {
	for _, c := range []struct {
		count, running int
		waited         time.Duration
	}{
		{2, 2, 0},
		{6, 2, 0},
		{24, 2, 0},
		// The objective is three times (Stretch) six waves of 2 s, plus 1 s: 37 s.
		{12, 3, 27 * time.Second},
		{12, 4, 29 * time.Second},
		{12, 6, 31 * time.Second},
		{12, 8, 33 * time.Second},
	} {
		t.Run(fmt.Sprintf("%d after %s", c.count, c.waited), func(t *testing.T) {
			e := newEnvironment(t, nil, "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")
			e.tick(0)
			e.submit("wide", 1, "w", step(c.count, 8))
			e.wall = e.wall.Add(c.waited)
			assert.Equal(t, len(startedTasks(e.tick(0))), c.running)
		})
	}
}

// An urgent job with slack preempts less work than one that is about to be late.
func TestUrgentJobWithSlackPreemptsLess(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		stops  int
	}{{0, 0}, {4 * time.Second, 1}} {
		e := newEnvironment(t, nil, "r1", "r2", "r3", "r4")
		for i := range 4 {
			e.submit(fmt.Sprintf("other%d", i), 1, "w", step(1, 8))
		}
		e.tick(0)
		e.tick(500 * time.Millisecond)
		e.tick(2 * time.Second)
		e.wall = e.wall.Add(-c.waited)
		e.submit("urgent", 0, "w", step(1, 8))
		e.wall = e.wall.Add(c.waited)
		assert.Equal(t, e.countStops(e.tick(100*time.Millisecond)), c.stops, "after %s", c.waited)
	}
}

// A job that is not urgent preempts nothing while it can wait, however cheap the stops
// are.
func TestJobWithSlackPreemptsNothing(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		stops  int
	}{{0, 0}, {3 * time.Second, 0}, {6 * time.Second, 1}} {
		e := newEnvironment(t, nil, "r1", "r2", "r3", "r4")
		// One fits each runner and leaves half of the accelerators free.
		saved := step(1, 4)
		saved.Checkpoint, saved.Resources.CPU = true, 40000
		for i := range 4 {
			e.submit(fmt.Sprintf("other%d", i), 2, "w", saved)
		}
		e.tick(0)
		e.tick(500 * time.Millisecond)
		e.wall = e.wall.Add(-c.waited)
		long := step(1, 8)
		long.Estimate = 4 * time.Second
		e.submit("long", 1, "w", long)
		e.wall = e.wall.Add(c.waited)
		assert.Equal(t, e.countStops(e.tick(100*time.Millisecond)), c.stops, "after %s", c.waited)
	}
}

// An urgent job does not wait for a wide job of the same priority.
func TestUrgentJobStartsBesideWideJob(t *testing.T) {
	e := newEnvironment(t, nil, "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")
	e.tick(0)
	e.submit("wide", 0, "w", step(18, 8))
	e.tick(0)
	e.submit("short", 0, "w", step(2, 8))
	assert.Equal(t, len(startedTasks(e.tick(100*time.Millisecond))), 2)
}
