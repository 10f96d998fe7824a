package jayqueue

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jayjob"
)

func item(workspace string, n, share int) Item {
	return Item{ID: fmt.Sprintf("%s%04d", workspace, n), Workspace: workspace, Class: jayjob.Urgent, Arrived: time.Duration(n), Share: share}
}

// TestBurstDoesNotDelayOthers queues a burst of one workspace before a few requests
// of another, which must still be served alternately with the burst.
func TestBurstDoesNotDelayOthers(t *testing.T) {
	q := New()
	for n := range 1000 {
		assert.NilError(t, q.Push(item("burst", n, 1), 2000))
	}
	for n := range 5 {
		assert.NilError(t, q.Push(item("quiet", n, 1), 2000))
	}
	assert.Equal(t, q.Ahead("quiet", jayjob.Urgent), 11)
	quiet := 0
	for range 11 {
		i, ok := q.Pop()
		assert.Assert(t, ok)
		if i.Workspace == "quiet" {
			quiet++
		}
	}
	assert.Equal(t, quiet, 5)
}

func TestSharesAndClasses(t *testing.T) {
	q := New()
	for n := range 300 {
		assert.NilError(t, q.Push(item("large", n, 2), 2000))
		assert.NilError(t, q.Push(item("small", n, 1), 2000))
	}
	deferrable := item("small", 999, 1)
	deferrable.Class = jayjob.Deferrable
	assert.NilError(t, q.Push(deferrable, 2000))
	counts := map[string]int{}
	for range 300 {
		i, _ := q.Pop()
		counts[i.Workspace]++
	}
	assert.Equal(t, counts["large"], 200)
	for range 300 {
		i, _ := q.Pop()
		assert.Assert(t, i.Class == jayjob.Urgent)
	}
	i, ok := q.Pop()
	assert.Assert(t, ok && i.Class == jayjob.Deferrable)
}

func TestDeadlinesAndLimits(t *testing.T) {
	q := New()
	soon, later := item("a", 1, 1), item("a", 0, 1)
	soon.Deadline, later.Deadline = 5*time.Second, 9*time.Second
	assert.NilError(t, q.Push(later, 2))
	assert.NilError(t, q.Push(soon, 2))
	var full *FullError
	assert.Assert(t, errors.As(q.Push(item("a", 3, 1), 2), &full))
	expired := q.RemoveExpired(4*time.Second, 2*time.Second)
	assert.Equal(t, len(expired), 1)
	assert.Equal(t, expired[0].ID, soon.ID)
	i, ok := q.Pop()
	assert.Assert(t, ok && i.ID == later.ID)
	q.Requeue(i)
	assert.Assert(t, q.Remove(later.ID) && !q.Remove(later.ID))
	assert.Equal(t, q.Len(), 0)
}
