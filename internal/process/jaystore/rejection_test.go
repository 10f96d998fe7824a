package jaystore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// clientRejecting returns a client of the log that answers appends with a status if one of their
// records has a key that begins with "bad".
func (f *fakeLog) clientRejecting(status int) *Client {
	return &Client{Append: func(ctx context.Context, a Append) (uint64, error) {
		if slices.ContainsFunc(a.Records, func(r Record) bool { return strings.Contains(r.Key, "bad") }) {
			return 0, &RefusedError{Operation: "append", Status: status}
		}
		return f.append(ctx, a)
	}}
}

func recordsOf(keys ...string) []Record {
	var all []Record
	for _, k := range keys {
		all = append(all, Record{Key: k, Value: []byte("1")})
	}
	return all
}

// Guards against one record that the store never accepts and that stops all later writes of a term.
func TestRejectedRecordHoldsBackNoOthers(t *testing.T) {
	for _, c := range []struct {
		keys   []string
		stored []string
	}{
		{[]string{"bad"}, nil},
		{[]string{"bad", "a", "b"}, []string{"a", "b"}},
		{[]string{"a", "bad", "b", "c", "d"}, []string{"a", "b", "c", "d"}},
		{[]string{"a", "b", "bad-1", "bad-2"}, []string{"a", "b"}},
	} {
		for _, status := range []int{statusBadRequest, statusTooLarge, statusUnprocessable} {
			t.Run(fmt.Sprint(c.keys, status), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := &fakeLog{}
					w := NewTermWriter(f.clientRejecting(status), "topic", "p", 1)
					ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
					defer cancel()
					assert.NilError(t, w.FenceLowerTerms(ctx))
					var rejected *RejectedError
					assert.Assert(t, errors.As(w.Write(ctx, recordsOf(c.keys...)), &rejected))
					assert.Equal(t, len(rejected.Keys), len(c.keys)-len(c.stored))
					assert.NilError(t, w.Write(ctx, recordsOf("next")))
					assert.DeepEqual(t, f.records, recordsOf(append(c.stored, "next")...))
				})
			})
		}
	}
}

// A record that the store never accepts is no reason to use a standby topic, and must not stop the
// return from one.
func TestRejectedRecordOpensNoStandbyTopic(t *testing.T) {
	large := Record{Key: "large", Value: make([]byte, 100)}
	for _, c := range []struct {
		name   string
		limits Limits
		bad    Record
		silent bool
	}{
		{"too large, main topic", Limits{RecordBytes: 100}, large, false},
		{"too large, standby topic", Limits{RecordBytes: 100}, large, true},
		{"rejected, main topic", Limits{}, Record{Key: "bad", Value: []byte("1")}, false},
		{"rejected, standby topic", Limits{}, Record{Key: "bad", Value: []byte("1")}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTopics()
				s.rejectedKey = "bad"
				_, w := s.load(t, 1)
				w.Main.client.Limits = c.limits
				s.setSilent("main", c.silent)
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				var rejected *RejectedError
				assert.Assert(t, errors.As(w.Write(ctx, append(recordsOf("a"), c.bad)), &rejected))
				assert.DeepEqual(t, rejected.Keys, []string{c.bad.Key})
				assert.Equal(t, s.newestStandby().Open, c.silent)
				s.setSilent("main", false)
				time.Sleep(3 * time.Second)
				assert.NilError(t, w.Write(ctx, recordsOf("b")))
				assert.Equal(t, s.newestStandby().Open, false)
				found, _ := s.load(t, 2)
				assert.DeepEqual(t, found, map[string]string{"a": "1", "b": "1"})
				s.settle()
			})
		})
	}
}

// Guards against a record that fails its neighbors in a group, and against a caller who is told to come
// back with a record that is never stored.
func TestRejectedRecordFailsAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeLog{}
		client := f.clientRejecting(statusTooLarge)
		client.Limits.RecordBytes = 100
		a := NewAppender(client, "topic")
		ctx, cancel := context.WithCancel(t.Context())
		const neighbors = 40
		results := make(chan error, neighbors)
		rejections := make(chan error, 3)
		deadline := time.Now().Add(5 * time.Second)
		for i := range neighbors {
			go func() { results <- a.Put(Record{Key: fmt.Sprint("k", i), Value: []byte("1")}, deadline) }()
			if i%20 == 10 {
				go func() { rejections <- a.Put(Record{Key: fmt.Sprint("bad", i), Value: []byte("1")}, deadline) }()
			}
		}
		go func() { rejections <- a.Put(Record{Key: "large", Value: make([]byte, 100)}, deadline) }()
		synctest.Wait()
		go a.Run(ctx)
		for range neighbors {
			assert.NilError(t, <-results)
		}
		for range cap(rejections) {
			err := <-rejections
			var notStored *NotStoredError
			assert.Assert(t, errors.As(err, &notStored) && IsRejection(err), "%v", err)
		}
		cancel()
		synctest.Wait()
		assert.Equal(t, len(f.records), neighbors)
	})
}

// What may pass is tried again; what cannot pass is not.
func TestRejections(t *testing.T) {
	for _, c := range []struct {
		err  error
		want bool
	}{
		{&RefusedError{Status: statusBadRequest}, true},
		{&RefusedError{Status: statusTooLarge}, true},
		{&RefusedError{Status: statusUnprocessable}, true},
		{&NotStoredError{Cause: &TooLargeError{}}, true},
		{&RefusedError{Status: 403}, false},
		{&RefusedError{Status: statusBusy}, false},
		{&RefusedError{Status: 500}, false},
		{&RefusedError{Status: StatusUnavailable}, false},
		{&RefusedError{Status: 507}, false},
		{&NoAnswerError{}, false},
		{&FencedError{}, false},
		{nil, false},
	} {
		assert.Equal(t, IsRejection(c.err), c.want, "%v", c.err)
	}
}

// Every append stays within the bounds of the store, with the length of each record.
func TestAppendsStayWithinTheBounds(t *testing.T) {
	limits := Limits{RecordBytes: 300, CallBytes: 1000}
	f := &fakeLog{}
	client := &Client{Limits: limits, Append: func(ctx context.Context, a Append) (uint64, error) {
		bytes := 0
		for _, r := range a.Records {
			assert.Assert(t, recordBytes(r) <= limits.RecordBytes)
			bytes += recordLengthBytes + recordBytes(r)
		}
		assert.Assert(t, bytes <= limits.CallBytes, "%d bytes in one append", bytes)
		return f.append(ctx, a)
	}}
	var records []Record
	for i := range 100 {
		records = append(records, Record{Key: fmt.Sprint(i), Value: make([]byte, 1+i*2)})
	}
	w := NewTermWriter(client, "topic", "p", 1)
	assert.NilError(t, w.FenceLowerTerms(t.Context()))
	assert.NilError(t, w.Write(t.Context(), records))
	assert.DeepEqual(t, f.records, records)
}
