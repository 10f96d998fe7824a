package jaystore

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an acknowledged record that is not stored, in a store whose fence sets the number
// that the next append must have: the late first try has the number of the second append.
func TestLateFirstAppendAfterAFenceThatSetsTheNumber(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeLog{fence: fenceKeepsNumber}
		holding, late := f.clientHoldingFirst()
		client := &Client{Append: func(ctx context.Context, a Append) (uint64, error) {
			if len(a.Records) == 0 {
				p := f.producer(a.Fence.Producer)
				p.term, p.sequence = a.Fence.Term, a.Fence.Sequence-1
				return 0, nil
			}
			return holding.Append(ctx, a)
		}}
		w := NewTermWriter(client, "topic", "p", 1)
		assert.NilError(t, w.FenceLowerTerms(t.Context()))
		assert.NilError(t, w.Write(t.Context(), []Record{{Key: "a", Value: []byte("1")}}))
		_, _ = f.append(t.Context(), <-late)
		assert.NilError(t, w.Write(t.Context(), []Record{{Key: "b", Value: []byte("1")}}))
		// The first record is stored again where the late try might be.
		assert.DeepEqual(t, keysOf(f.records), []string{"a", "b"})
		time.Sleep(time.Minute)
	})
}

// Guards against numbers of a term that run into those of the next one, whose first append is then
// answered as a repeat.
func TestAppendsOfATermTakeNoNumberOfTheNext(t *testing.T) {
	f := &fakeLog{fence: fenceKeepsNumber}
	w := NewTermWriter(f.client(), "topic", "p", 1)
	assert.NilError(t, w.FenceLowerTerms(t.Context()))
	// All but one of the term's numbers have been used.
	w.sequence, f.producer("p").sequence = 2<<termSequenceBits-1, 2<<termSequenceBits-2
	acknowledged := 0
	for _, key := range []string{"a", "b", "c"} {
		if w.Write(t.Context(), []Record{{Key: key, Value: []byte("1")}}) == nil {
			acknowledged++
		}
	}
	next := NewTermWriter(f.client(), "topic", "p", 2)
	assert.NilError(t, next.FenceLowerTerms(t.Context()))
	assert.NilError(t, next.Write(t.Context(), []Record{{Key: "d", Value: []byte("1")}}))
	assert.Equal(t, acknowledged, 1)
	assert.DeepEqual(t, keysOf(f.records), []string{"a", "d"})
}

// keysOf returns the keys of records, those in a row once.
func keysOf(records []Record) []string {
	var keys []string
	for _, r := range records {
		keys = append(keys, r.Key)
	}
	return slices.Compact(keys)
}
