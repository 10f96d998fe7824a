package jaystore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// heldCalls is a client whose calls take their answers when the test gives them.
type heldCalls struct {
	pages chan chan Page
	reads chan heldRead
	// over is closed at the end of a test, which may have failed before it has answered all calls.
	over chan struct{}
}

type heldRead struct {
	from   uint64
	answer chan readAnswer
}

type readAnswer struct {
	result ReadResult
	err    error
}

func (h *heldCalls) client() *Client {
	return &Client{
		Newest: func(context.Context, string, string) (Page, error) {
			answer := make(chan Page)
			h.pages <- answer
			select {
			case page := <-answer:
				return page, nil
			case <-h.over:
				return Page{}, context.Canceled
			}
		},
		Read: func(_ context.Context, _ string, from uint64, _ time.Duration) (ReadResult, error) {
			answer := make(chan readAnswer)
			h.reads <- heldRead{from, answer}
			select {
			case a := <-answer:
				return a.result, a.err
			case <-h.over:
				return ReadResult{}, context.Canceled
			}
		},
	}
}

// tableTail returns a tail and the keys that it has applied.
func tableTail(h *heldCalls) (*Tail, map[string]bool) {
	keys := map[string]bool{}
	apply := func(s StoredRecord) {
		if s.Value == nil {
			delete(keys, s.Key)
			return
		}
		keys[s.Key] = true
	}
	return &Tail{Client: h.client(), Topic: "topic", OnError: func(error) {}, Apply: apply, Replace: func(all []StoredRecord) {
		clear(keys)
		for _, s := range all {
			apply(s)
		}
	}}, keys
}

func stored(offset uint64, key, value string) StoredRecord {
	r := StoredRecord{Record: Record{Key: key}, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	return r
}

// Guards against deleted records that come back: a late answer tells that the records at a former
// offset have been deleted, although the tail has read further. The topic must not be loaded again,
// while the record that another reader is about to get deletes one of those.
func TestLateExpiryDoesNotReloadTheTopic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &heldCalls{pages: make(chan chan Page, 9), reads: make(chan heldRead, 9), over: make(chan struct{})}
		defer close(h.over)
		tail, keys := tableTail(h)
		tail.loaded, tail.next = true, 1
		keys["a"] = true
		read := func() {
			go func() { _, _ = tail.readNext(context.Background(), 0) }()
			synctest.Wait()
		}
		read()
		late := <-h.reads
		read()
		(<-h.reads).answer <- readAnswer{result: ReadResult{Records: []StoredRecord{stored(1, "b", "1")}, Next: 2, End: 2}}
		synctest.Wait()
		read()
		next := <-h.reads
		late.answer <- readAnswer{err: &ExpiredError{First: 2}}
		synctest.Wait()
		read()
		next.answer <- readAnswer{result: ReadResult{Records: []StoredRecord{stored(2, "a", "")}, Next: 3, End: 3}}
		synctest.Wait()
		select {
		case page := <-h.pages:
			page <- Page{Records: []StoredRecord{stored(0, "a", "1"), stored(1, "b", "1")}, End: 2}
		case r := <-h.reads:
			r.answer <- readAnswer{result: ReadResult{Next: 3, End: 3}}
		}
		synctest.Wait()
		assert.DeepEqual(t, keys, map[string]bool{"b": true})
		assert.Equal(t, tail.NextOffset(), uint64(3))
	})
}

// Guards against deleted records that come back, and records that are never read: one reader's load
// is slow, another reader has loaded the topic and read on, and the answer to a read of a former
// offset, whose records have been deleted since, comes late.
func TestSlowLoadDoesNotReplaceWhatWasReadSince(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := &heldCalls{pages: make(chan chan Page, 9), reads: make(chan heldRead, 9), over: make(chan struct{})}
		defer close(h.over)
		tail, keys := tableTail(h)
		read := func() {
			go func() { _, _ = tail.readNext(context.Background(), 0) }()
			synctest.Wait()
		}
		answer := func(r heldRead, a readAnswer) {
			r.answer <- a
			synctest.Wait()
		}
		read()
		slow := <-h.pages
		read()
		<-h.pages <- Page{Records: []StoredRecord{stored(0, "a", "1")}, End: 1}
		synctest.Wait()
		read()
		late := <-h.reads
		read()
		answer(<-h.reads, readAnswer{result: ReadResult{Records: []StoredRecord{stored(1, "a", ""), stored(2, "b", "1")}, Next: 3, End: 3}})
		assert.DeepEqual(t, keys, map[string]bool{"b": true})
		read()
		next := <-h.reads
		// The store has dropped the records before offset 3.
		answer(late, readAnswer{err: &ExpiredError{First: 3}})
		slow <- Page{Records: []StoredRecord{stored(0, "a", "1")}, End: 1}
		synctest.Wait()
		assert.DeepEqual(t, keys, map[string]bool{"b": true})
		answer(next, readAnswer{result: ReadResult{Records: []StoredRecord{stored(3, "c", "1")}, Next: 4, End: 4}})
		assert.DeepEqual(t, keys, map[string]bool{"b": true, "c": true})
		assert.Equal(t, tail.NextOffset(), uint64(4))
	})
}
