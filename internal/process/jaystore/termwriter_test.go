package jaystore

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against records that are acknowledged and not stored: an append whose sequence number the
// store has already seen is answered as a repeat. The store's description does not tell whether the
// append that fences earlier terms has a number.
func TestAcknowledgedRecordsOfATermAreStored(t *testing.T) {
	for _, reading := range []fenceReading{fenceTakesNumber, fenceKeepsNumber, fenceResetsNumber} {
		t.Run(fmt.Sprint(reading), func(t *testing.T) {
			f := &fakeLog{fence: reading}
			var want []Record
			for term := range uint64(4) {
				w := NewTermWriter(f.client(), "topic", "p", term+1)
				assert.NilError(t, w.FenceLowerTerms(t.Context()))
				for i := range term + 1 {
					r := Record{Key: fmt.Sprintf("%d-%d", term, i), Value: []byte("1")}
					assert.NilError(t, w.Write(t.Context(), []Record{r}))
					want = append(want, r)
				}
			}
			assert.DeepEqual(t, f.records, want)
		})
	}
}

// clientHoldingFirst returns a client whose first append of records gets no answer and is not
// executed; it is passed to late.
func (f *fakeLog) clientHoldingFirst() (client *Client, late <-chan Append) {
	var held atomic.Bool
	first := make(chan Append, 1)
	return &Client{Append: func(ctx context.Context, a Append) (uint64, error) {
		if len(a.Records) > 0 && held.CompareAndSwap(false, true) {
			first <- a
			<-ctx.Done()
			return 0, &NoAnswerError{Operation: "append", Cause: "late"}
		}
		return f.append(ctx, a)
	}}, first
}

// The first try of a term's first append is executed late, after the store has told which number it
// expects and the append has been stored under that. It must not take the number of the next one.
func TestLateFirstAppendTakesNoLaterNumber(t *testing.T) {
	for _, reading := range []fenceReading{fenceTakesNumber, fenceKeepsNumber, fenceResetsNumber} {
		t.Run(fmt.Sprint(reading), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeLog{fence: reading}
				client, late := f.clientHoldingFirst()
				w := NewTermWriter(client, "topic", "p", 1)
				assert.NilError(t, w.FenceLowerTerms(t.Context()))
				assert.NilError(t, w.Write(t.Context(), []Record{{Key: "a", Value: []byte("1")}}))
				_, _ = f.append(t.Context(), <-late)
				assert.NilError(t, w.Write(t.Context(), []Record{{Key: "b", Value: []byte("1")}}))
				assert.DeepEqual(t, f.records, []Record{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}})
				time.Sleep(time.Minute)
			})
		})
	}
}
