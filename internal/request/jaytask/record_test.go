package jaytask

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against jobs whose steps name one step many thousand times, which each round of decisions
// walks: earlier versions have stored such jobs.
func TestRepeatedDependenciesCountOnce(t *testing.T) {
	after := make([]int, 10_000)
	j := &Job{ID: "a", Accepted: time.UnixMilli(1), Start: time.UnixMilli(0), Steps: []Step{{Count: 1}, {Count: 1}, {Count: 1, After: append(after, 1, 0, 1)}}}
	b, err := EncodeJob(j)
	assert.NilError(t, err)
	decoded, err := DecodeJob("a", b)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded.Steps[2].After, []int{0, 1})
	assert.Equal(t, len(decoded.Steps[0].After), 0)
}
