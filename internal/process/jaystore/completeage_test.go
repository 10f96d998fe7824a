package jaystore

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

// A tail that has read only a part of the topic, or has lost its place, must not pass for one that
// knows all records: a request in the rest would be overlooked.
func TestTailIsCompleteOnlyAtTheEnd(t *testing.T) {
	f := &fakeLog{}
	put := func() { f.records = append(f.records, Record{Key: "a", Value: []byte("1")}) }
	client, partial, failing := f.client(), false, false
	client.Read = func(ctx context.Context, topic string, from uint64, wait time.Duration) (ReadResult, error) {
		r, err := f.read(ctx, topic, from, wait)
		if partial && len(r.Records) > 0 {
			r.Records, r.Next = r.Records[:1], from+1
		}
		if failing {
			return ReadResult{}, errors.New("store is down")
		}
		return r, err
	}
	tail := &Tail{Client: client, Topic: "t", Apply: func(StoredRecord) {}, OnError: func(error) {}}
	read := func() error {
		_, err := tail.readNext(t.Context(), 0)
		return err
	}
	check := func(what string, want bool) {
		t.Helper()
		age, complete := tail.CompleteAge()
		assert.Equal(t, complete, want, "%s, age %s", what, age)
	}
	check("before the first read", false)
	assert.NilError(t, read())
	check("newest records loaded", true)
	put()
	put()
	partial = true
	assert.NilError(t, read())
	check("a part read", false)
	assert.NilError(t, read())
	check("the rest read", true)
	failing = true
	time.Sleep(20 * time.Millisecond)
	assert.Assert(t, read() != nil)
	check("read failed", true)
	age, _ := tail.CompleteAge()
	assert.Assert(t, age >= 20*time.Millisecond, "a failed read made the view fresh: %s", age)
	failing = false
	put()
	put()
	f.firstOffset = 4
	assert.NilError(t, read())
	check("history lost", false)
	assert.NilError(t, read())
	check("newest records loaded again", true)
}

// The store may answer a long poll at once or at its end. The view is as old as the request.
func TestCompleteAgeCountsFromTheRequest(t *testing.T) {
	const answerTime = 30 * time.Millisecond
	client := &Client{
		Newest: func(context.Context, string, string) (Page, error) {
			time.Sleep(answerTime)
			return Page{}, nil
		},
		Read: func(context.Context, string, uint64, time.Duration) (ReadResult, error) {
			time.Sleep(answerTime)
			return ReadResult{}, nil
		},
	}
	tail := &Tail{Client: client, Topic: "t", Apply: func(StoredRecord) {}, OnError: func(error) {}}
	for _, what := range []string{"newest records", "read"} {
		requestedAt := jayclock.Elapsed()
		_, err := tail.readNext(t.Context(), time.Second)
		assert.NilError(t, err)
		at, complete := tail.CompleteAt()
		assert.Assert(t, complete && at >= requestedAt && at < requestedAt+answerTime, "%s: complete at %s, requested at %s", what, at, requestedAt)
		age, complete := tail.CompleteAge()
		assert.Assert(t, complete && age >= answerTime, "%s: age %s", what, age)
	}
}
