package jaycontroller

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// Guards against electors that are out of date: the answer to an append of them is handled after the
// entry has read that a higher term began and stored others.
func TestLateAnswerDoesNotBringBackFormerElectors(t *testing.T) {
	store := &memoryStore{topics: map[string][]jaystore.StoredRecord{}}
	c := New(nil)
	c.Name, c.Topics.Cell = "entry-1", "cell"
	client := &jaystore.Client{Newest: store.newest, Read: store.read}
	c.storeClient = client
	c.cellTail = &jaystore.Tail{Client: client, Topic: "cell", Apply: c.applyCellRecord, OnError: func(error) {}}
	put := func(records ...jaystore.Record) {
		_, err := store.append(t.Context(), jaystore.Append{Topic: "cell", Records: records})
		assert.NilError(t, err)
		assert.NilError(t, c.cellTail.Refresh(t.Context()))
	}
	begin := func(number uint64, unknown bool) {
		put(jaystore.Record{Key: TermKey, Value: Term{number: number, leader: "entry-2"}.encode()}, jaystore.Record{Key: claimKey, Value: claim{number, unknown}.encode()})
	}
	former, newest := []string{"a:1/1", "b:1/1", "c:1/1"}, []string{"d:1/1", "e:1/1", "f:1/1"}
	begin(1, false)
	client.Append = func(ctx context.Context, a jaystore.Append) (uint64, error) {
		end, err := store.append(ctx, a)
		// The answer is late: meanwhile entry-2 leads and stores other electors.
		begin(2, false)
		put(jaystore.Record{Key: electorsKey, Value: encodeElectors(newest)}, jaystore.Record{Key: claimKey, Value: claim{term: 2}.encode()})
		return end, err
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	assert.NilError(t, c.appendElectors(ctx, 1, former))
	// The next leader does not change them; then this entry claims a term.
	begin(3, false)
	next := c.newestClaim().next(c.Term().number)
	put(jaystore.Record{Key: TermKey, Value: Term{number: 4, leader: "entry-1"}.encode()}, jaystore.Record{Key: claimKey, Value: next.encode()})
	assert.DeepEqual(t, c.electorsOf(4), newest)
}
