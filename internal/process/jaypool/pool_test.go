package jaypool

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestSumsAgreeWithAllocations allocates and releases at random and compares the
// sums with a plain list.
func TestSumsAgreeWithAllocations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		for i := range 3 {
			p.Add(fmt.Sprint(i), NewLocation("dc", "r", "c"), 8)
		}
		type row struct {
			worker, id, workspace string
			n                     int
		}
		var rows []row
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			if len(rows) > 0 && rapid.Bool().Draw(t, "free") {
				i := rapid.IntRange(0, len(rows)-1).Draw(t, "row")
				assert.NilError(t, p.Release(rows[i].worker, rows[i].id))
				rows = append(rows[:i], rows[i+1:]...)
			} else {
				r := row{fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "worker")), fmt.Sprint(step), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "space"), rapid.IntRange(1, 8).Draw(t, "n")}
				_, err := p.Allocate(r.worker, AllocationSpec{ID: r.id, Job: r.id, Workspace: r.workspace, Accelerators: r.n})
				var overbooked *OverbookedError
				if err == nil {
					rows = append(rows, r)
				} else {
					assert.Assert(t, errors.As(err, &overbooked))
				}
			}
			used, ofA := 0, 0
			for _, r := range rows {
				used += r.n
				if r.workspace == "a" {
					ofA += r.n
				}
			}
			assert.Equal(t, p.Free(), 24-used)
			assert.Equal(t, p.Usage("a"), ofA)
			assert.NilError(t, p.Check())
		}
	})
}

func TestClosedWorkersAreNotFree(t *testing.T) {
	p := New()
	p.Add("w", NewLocation("dc", "r", "c"), 8)
	p.SetClosed("w", true)
	assert.Equal(t, p.Free(), 0)
	p.SetClosed("w", false)
	assert.Equal(t, p.Free(), 8)
	p.Remove("w")
	assert.Equal(t, p.Total(), 0)
}
