package jaylog

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedReader returns the scripted answers in order, then cancels the test's
// context.
type scriptedReader struct {
	answers   []Batch
	errs      []error
	cancel    context.CancelFunc
	requested []uint64
}

func (s *scriptedReader) read(_ context.Context, _ string, from uint64, _ bool) (Batch, error) {
	n := len(s.requested)
	s.requested = append(s.requested, from)
	if n >= len(s.answers) {
		s.cancel()
		return Batch{}, &UnavailableError{Operation: "read", Cause: "end of script"}
	}
	return s.answers[n], s.errs[n]
}

func testBatch(first, next uint64, offsets ...uint64) Batch {
	b := Batch{first: first, next: next}
	for _, o := range offsets {
		b.records = append(b.records, NewRecord(o, nil))
	}
	return b
}

func TestFollowerAppliesEachRecordOnce(t *testing.T) {
	down := &UnavailableError{Operation: "read", Cause: "out"}
	cases := []struct {
		name    string
		answers []Batch
		errs    []error
		applied []uint64
		gaps    int
	}{
		{"in order", []Batch{testBatch(0, 2, 0, 1), testBatch(0, 3, 2)}, []error{nil, nil}, []uint64{0, 1, 2}, 0},
		{"stale read", []Batch{testBatch(0, 2, 0, 1), testBatch(0, 1, 0), testBatch(0, 3, 2)}, []error{nil, nil, nil}, []uint64{0, 1, 2}, 0},
		{"outage", []Batch{testBatch(0, 1, 0), {}, testBatch(0, 2, 1)}, []error{nil, down, nil}, []uint64{0, 1}, 0},
		{"retention", []Batch{testBatch(0, 1, 0), testBatch(5, 7, 5, 6)}, []error{nil, nil}, []uint64{0, 5, 6}, 1},
	}
	for _, c := range cases {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		s := &scriptedReader{answers: c.answers, errs: c.errs, cancel: cancel}
		var applied []uint64
		var health []Health
		gaps := 0
		f := &Follower{Stream: "s", Read: s.read, Apply: func(r Record) { applied = append(applied, r.Offset()) }, OnGap: func(uint64, uint64) { gaps++ }, OnHealthChange: func(h Health) { health = append(health, h) }}
		f.Run(ctx)
		cancel()
		assert.DeepEqual(t, applied, c.applied)
		assert.Equal(t, gaps, c.gaps, c.name)
		assert.Equal(t, health[len(health)-1], Unavailable)
	}
}

func TestAppenderBatchesRecords(t *testing.T) {
	a := NewAppender("s")
	var sizes []int
	a.Append = func(_ context.Context, _ string, records [][]byte) (uint64, error) {
		sizes = append(sizes, len(records))
		return 0, &UnavailableError{Operation: "append", Cause: "lost"}
	}
	a.OnAppend = func(int, time.Duration, error) {}
	for range 100 {
		assert.NilError(t, a.Post(nil))
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); a.Run(ctx) }()
	err := a.Add(context.Background(), nil)
	cancel()
	<-done
	var unavailable *UnavailableError
	assert.Assert(t, errors.As(err, &unavailable))
	assert.Assert(t, len(sizes) < 50, "101 records took %d appends", len(sizes))
}
