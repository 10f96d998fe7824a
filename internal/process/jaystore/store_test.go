package jaystore

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// fakeLog is a topic in memory that can lose answers and refuse appends.
type fakeLog struct {
	mutex       sync.Mutex
	records     []Record
	firstOffset uint64
	producers   map[string]*fakeProducer
	// loseAnswers and refuseNext count the next appends that get no answer or are
	// refused. Appends without an answer take effect unless dropLost is set.
	loseAnswers int
	refuseNext  int
	appends     int
	dropLost    bool
	fence       fenceReading
}

// fenceReading is a way to read the store's description of an append without records, which "sets
// the epoch" of a producer.
type fenceReading int

const (
	// fenceTakesNumber counts it as an append, whose sequence number the next one follows.
	fenceTakesNumber fenceReading = iota
	// fenceKeepsNumber lets the next append follow the last one of the lower epoch.
	fenceKeepsNumber
	// fenceResetsNumber begins the numbers of the epoch at 0.
	fenceResetsNumber
)

// fakeProducer holds what the log remembers of a producer. answers holds the end offset
// returned for each sequence number of its term.
type fakeProducer struct {
	term     uint64
	sequence uint64
	answers  map[uint64]uint64
}

func (f *fakeLog) producer(name string) *fakeProducer {
	if f.producers == nil {
		f.producers = map[string]*fakeProducer{}
	}
	if f.producers[name] == nil {
		f.producers[name] = &fakeProducer{answers: map[uint64]uint64{}}
	}
	return f.producers[name]
}

func (f *fakeLog) client() *Client {
	return &Client{Append: f.append, Read: f.read, Newest: f.newest}
}

func (f *fakeLog) append(_ context.Context, a Append) (uint64, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.appends++
	if f.refuseNext > 0 {
		f.refuseNext--
		return 0, &RefusedError{Operation: "append", Status: 503}
	}
	lost := f.loseAnswers > 0
	if lost {
		f.loseAnswers--
	}
	if lost && f.dropLost {
		return 0, &NoAnswerError{Operation: "append", Cause: "lost"}
	}
	end, err := f.apply(a)
	if lost {
		return 0, &NoAnswerError{Operation: "append", Cause: "lost"}
	}
	return end, err
}

func (f *fakeLog) apply(a Append) (uint64, error) {
	if a.ExpectedEnd != nil && *a.ExpectedEnd != uint64(len(f.records)) {
		return 0, &EndMismatchError{End: uint64(len(f.records))}
	}
	if a.Fence == nil {
		f.records = append(f.records, a.Records...)
		return uint64(len(f.records)), nil
	}
	p := f.producer(a.Fence.Producer)
	switch {
	case a.Fence.Term < p.term:
		return 0, &FencedError{Term: a.Fence.Term}
	case len(a.Records) == 0 && f.fence != fenceTakesNumber:
		if a.Fence.Term > p.term && f.fence == fenceResetsNumber {
			// The next number is one more.
			p.sequence, p.answers = ^uint64(0), map[uint64]uint64{}
		}
		p.term = a.Fence.Term
		return uint64(len(f.records)), nil
	case a.Fence.Term > p.term:
		p.term, p.answers = a.Fence.Term, map[uint64]uint64{}
	case p.answers[a.Fence.Sequence] > 0:
		return p.answers[a.Fence.Sequence], nil
	case a.Fence.Sequence != p.sequence+1:
		return 0, &SequenceError{Expected: p.sequence + 1}
	}
	p.sequence = a.Fence.Sequence
	f.records = append(f.records, a.Records...)
	p.answers[a.Fence.Sequence] = uint64(len(f.records))
	return uint64(len(f.records)), nil
}

func (f *fakeLog) read(_ context.Context, _ string, from uint64, _ time.Duration) (ReadResult, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if from < f.firstOffset {
		return ReadResult{}, &ExpiredError{First: f.firstOffset}
	}
	result := ReadResult{Next: from, End: uint64(len(f.records))}
	for ; result.Next < result.End; result.Next++ {
		result.Records = append(result.Records, StoredRecord{Record: f.records[result.Next], Offset: result.Next})
	}
	return result, nil
}

func (f *fakeLog) newest(_ context.Context, _, after string) (Page, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	newest := map[string]StoredRecord{}
	nextKey := ""
	for i, r := range f.records {
		newest[r.Key] = StoredRecord{Record: r, Offset: uint64(i)}
	}
	for k, s := range newest {
		if s.Value != nil && k > after && (nextKey == "" || k < nextKey) {
			nextKey = k
		}
	}
	p := Page{End: uint64(len(f.records))}
	if nextKey != "" {
		p.Records, p.More = []StoredRecord{newest[nextKey]}, true
	}
	return p, nil
}

func runAppender(t *testing.T, f *fakeLog) *Appender {
	a := NewAppender(f.client(), "topic")
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { a.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return a
}

func TestPutReportsOutcome(t *testing.T) {
	for _, c := range []struct {
		name      string
		log       *fakeLog
		wait      time.Duration
		stored    bool
		notStored bool
		unknown   bool
	}{
		{"stored", &fakeLog{}, 10 * time.Second, true, false, false},
		{"an answer is lost, the retry is answered", &fakeLog{loseAnswers: 1}, 10 * time.Second, true, false, false},
		{"a short refusal passes", &fakeLog{refuseNext: 2}, 5 * time.Second, true, false, false},
		{"a long refusal is not stored", &fakeLog{refuseNext: 1000}, 5 * time.Second, false, true, false},
		{"no answer at all is unknown", &fakeLog{loseAnswers: 1000, dropLost: true}, 300 * time.Millisecond, false, false, true},
		{"a lost answer and refusals are unknown", &fakeLog{loseAnswers: 1, refuseNext: 0, dropLost: true}, 0, false, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			if c.wait == 0 {
				// The first try gets no answer, all others are refused.
				c.wait = 400 * time.Millisecond
				go func() {
					for {
						c.log.mutex.Lock()
						if c.log.appends > 0 {
							c.log.refuseNext = 1000
							c.log.mutex.Unlock()
							return
						}
						c.log.mutex.Unlock()
						time.Sleep(time.Millisecond)
					}
				}()
			}
			err := runAppender(t, c.log).Put(Record{Key: "k", Value: []byte("v")}, time.Now().Add(c.wait))
			var notStored *NotStoredError
			var unknown *UnknownOutcomeError
			assert.Equal(t, err == nil, c.stored, "%v", err)
			assert.Equal(t, errors.As(err, &notStored), c.notStored, "%v", err)
			assert.Equal(t, errors.As(err, &unknown), c.unknown, "%v", err)
			c.log.mutex.Lock()
			defer c.log.mutex.Unlock()
			if c.notStored {
				assert.Equal(t, len(c.log.records), 0)
			}
			if c.stored {
				assert.Assert(t, len(c.log.records) > 0)
			}
		})
	}
}

func TestTermWriterWritesOnce(t *testing.T) {
	f := &fakeLog{}
	w := NewTermWriter(f.client(), "topic", "p", 1)
	assert.NilError(t, w.FenceLowerTerms(context.Background()))
	f.loseAnswers = 1
	assert.NilError(t, w.Write(context.Background(), []Record{{Key: "a", Value: []byte("1")}}))
	assert.NilError(t, w.Write(context.Background(), []Record{{Key: "b", Value: []byte("2")}}))
	assert.Equal(t, len(f.records), 2)
}

func TestTermWriterIsFencedByHigherTerm(t *testing.T) {
	f := &fakeLog{}
	old := NewTermWriter(f.client(), "topic", "p", 1)
	assert.NilError(t, old.FenceLowerTerms(context.Background()))
	assert.NilError(t, NewTermWriter(f.client(), "topic", "p", 2).FenceLowerTerms(context.Background()))
	var fenced *FencedError
	assert.Assert(t, errors.As(old.Write(context.Background(), []Record{{Key: "a"}}), &fenced))
	assert.Equal(t, len(f.records), 0)
}

func TestTailCatchesUpAfterHistoryIsDropped(t *testing.T) {
	f := &fakeLog{}
	put := func(key, value string) { f.records = append(f.records, Record{Key: key, Value: []byte(value)}) }
	seen := map[string]string{}
	tail := &Tail{Client: f.client(), Topic: "topic", Apply: func(s StoredRecord) { seen[s.Key] = string(s.Value) }, Replace: func(all []StoredRecord) {
		clear(seen)
		for _, s := range all {
			seen[s.Key] = string(s.Value)
		}
	}}
	put("a", "1")
	put("b", "1")
	assert.NilError(t, tail.Refresh(context.Background()))
	assert.DeepEqual(t, seen, map[string]string{"a": "1", "b": "1"})
	put("a", "2")
	f.records = append(f.records, Record{Key: "b"})
	put("c", "1")
	f.firstOffset = 5
	assert.NilError(t, tail.Refresh(context.Background()))
	assert.DeepEqual(t, seen, map[string]string{"a": "2", "c": "1"})
	put("c", "2")
	assert.NilError(t, tail.Refresh(context.Background()))
	assert.Equal(t, seen["c"], "2")
}

func TestTransportFallsBackToPeer(t *testing.T) {
	ok := func(context.Context, Request) (Response, error) { return Response{Status: 200}, nil }
	busy := func(context.Context, Request) (Response, error) { return Response{Status: 503}, nil }
	noAnswer := func(context.Context, Request) (Response, error) { return Response{}, &NoAnswerError{} }
	for _, c := range []struct {
		name    string
		direct  Route
		relay   Route
		status  int
		unknown bool
	}{
		{"straight", ok, noAnswer, 200, false},
		{"refused directly", busy, ok, 200, false},
		{"no direct answer", noAnswer, ok, 200, false},
		{"refused on both routes", busy, busy, 503, false},
		{"no direct answer, refused by the peer: unknown", noAnswer, busy, 0, true},
		{"refused directly, no answer from the peer: unknown", busy, noAnswer, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &Transport{Direct: c.direct, Relay: c.relay, HasPeer: func() bool { return true }}
			for range 2 {
				// If the direct route failed, the second request goes to the peer first.
				r, err := p.Do(context.Background(), Request{})
				assert.Equal(t, r.Status, c.status)
				assert.Equal(t, err != nil, c.unknown)
			}
		})
	}
}

// Routes that do not answer cost a request the delay of each, not all of its time.
func TestFailoverPassesSilentRoutes(t *testing.T) {
	silent := func(ctx context.Context, _ Request) (Response, error) {
		<-ctx.Done()
		return Response{}, &NoAnswerError{}
	}
	ok := func(context.Context, Request) (Response, error) { return Response{Status: 200}, nil }
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	r, err := Failover(ctx, Request{}, time.Millisecond, silent, silent, ok)
	assert.NilError(t, err)
	assert.Equal(t, r.Status, 200)
}

func TestTransportOutageEndsWithSuccess(t *testing.T) {
	status := 503
	p := &Transport{Direct: func(context.Context, Request) (Response, error) { return Response{Status: status}, nil }, HasPeer: func() bool { return false }}
	_, down := p.Outage()
	assert.Assert(t, !down)
	_, err := p.Do(context.Background(), Request{})
	assert.NilError(t, err)
	_, down = p.Outage()
	assert.Assert(t, down)
	status = 200
	_, err = p.Do(context.Background(), Request{})
	assert.NilError(t, err)
	_, down = p.Outage()
	assert.Assert(t, !down)
}

// A store that runs appends one by one at 250 ms each is not overloaded by retries: all
// records of a burst are stored, with at most two appends per record on average.
func TestSlowStoreIsNotFloodedWithRetries(t *testing.T) {
	const each = 250 * time.Millisecond
	var queue sync.Mutex
	var calls atomic.Int64
	slow := func(ctx context.Context, x Request) (Response, error) {
		if x.Method != "append" {
			return Response{Status: 200}, nil
		}
		calls.Add(1)
		done := make(chan struct{})
		go func() {
			defer close(done)
			queue.Lock()
			defer queue.Unlock()
			time.Sleep(each)
		}()
		select {
		case <-ctx.Done():
			return Response{}, &NoAnswerError{Operation: "append", Cause: ctx.Err().Error()}
		case <-done:
			return Response{Status: 200}, nil
		}
	}
	p := &Transport{Direct: slow, Relay: slow, HasPeer: func() bool { return true }}
	client := &Client{Append: func(ctx context.Context, a Append) (uint64, error) {
		_, err := p.Do(ctx, Request{Method: "append", Try: a.Try})
		return 0, err
	}}
	const writers, records = 3, 3
	var wg conc.WaitGroup
	var failed atomic.Int64
	for w := range writers {
		a := NewAppender(client, "t")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go a.Run(ctx)
		for r := range records {
			wg.Go(func() {
				time.Sleep(time.Duration(w*70+r*300) * time.Millisecond)
				if err := a.Put(Record{Key: fmt.Sprintf("%d/%d", w, r)}, time.Now().Add(5*time.Second)); err != nil {
					failed.Add(1)
				}
			})
		}
	}
	wg.Wait()
	assert.Equal(t, failed.Load(), int64(0))
	assert.Assert(t, calls.Load() <= 2*writers*records, "%d appends for %d records", calls.Load(), writers*records)
}

// A store that is away answers no call from before its return. The leader's records must not
// wait for the timeouts of such calls.
func TestRecordIsStoredSoonAfterAnOutage(t *testing.T) {
	for _, outage := range []time.Duration{time.Second, 3100 * time.Millisecond, 6700 * time.Millisecond} {
		t.Run(outage.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				client := &Client{Append: func(ctx context.Context, _ Append) (uint64, error) {
					if time.Since(start) > outage {
						return 1, nil
					}
					select {
					case <-time.After(callTimeout):
					case <-ctx.Done():
					}
					return 0, &NoAnswerError{Operation: "append", Cause: "silent"}
				}}
				w := NewTermWriter(client, "runs", "cell", 1)
				assert.NilError(t, w.Write(t.Context(), []Record{{Key: "k"}}))
				late := time.Since(start) - outage
				assert.Assert(t, late <= 500*time.Millisecond, "stored %s after the end of the outage", late)
			})
		})
	}
}

// A record that comes while a process shuts down used to wait for ever, and the process with it.
func TestRecordAfterTheEndOfItsAppenderIsNotStored(t *testing.T) {
	a := NewAppender((&fakeLog{}).client(), "topic")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	a.Run(ctx)
	var refused *NotStoredError
	assert.Assert(t, errors.As(a.Put(Record{Key: "k"}, time.Now().Add(time.Minute)), &refused))
}

// A refused try does not prove that an unanswered one was not stored, so the caller
// must get a NoAnswerError and not the refusal.
func TestRefusalWithUnansweredTryIsNoAnswer(t *testing.T) {
	var latency latencyTracker
	released := make(chan struct{})
	defer close(released)
	_, err := latency.hedgedAppend(t.Context(), func(ctx context.Context, try int) (uint64, error) {
		if try == 1 {
			select {
			case <-ctx.Done():
			case <-released:
			}
			return 0, &NoAnswerError{Operation: "append", Cause: "open"}
		}
		return 0, &RefusedError{Operation: "append", Status: StatusUnavailable}
	})
	var noAnswer *NoAnswerError
	assert.Assert(t, errors.As(err, &noAnswer), "%v", err)
}

// Unreadable records are reported, and the others are applied.
func TestTailReportsUnreadableRecords(t *testing.T) {
	client := &Client{
		Newest: func(context.Context, string, string) (Page, error) {
			return Page{Records: []StoredRecord{{Record: Record{Key: "a"}}}, End: 2, Unreadable: 1}, nil
		},
		Read: func(context.Context, string, uint64, time.Duration) (ReadResult, error) {
			return ReadResult{Records: []StoredRecord{{Record: Record{Key: "b"}, Offset: 3}}, Next: 4, End: 4, Unreadable: 1}, nil
		},
	}
	var keys []string
	skipped := 0
	tail := &Tail{Client: client, Topic: "t", Apply: func(s StoredRecord) { keys = append(keys, s.Key) }, OnError: func(err error) {
		var unreadable *UnreadableError
		assert.Assert(t, errors.As(err, &unreadable))
		skipped += unreadable.Count
	}}
	for range 2 {
		_, err := tail.readNext(t.Context(), 0)
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, keys, []string{"a", "b"})
	assert.Equal(t, skipped, 2)
}

// The loop of a tail may finish the load or the page first that Refresh has asked for too.
func TestRefreshBesideAnotherReaderReadsToTheEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		loaded bool
	}{{"load", false}, {"page of a read", true}} {
		t.Run(c.name, func(t *testing.T) {
			var keys []string
			tail := &Tail{Topic: "t", Apply: func(s StoredRecord) { keys = append(keys, s.Key) }, OnError: func(error) {}}
			nested := false
			readBeside := func() bool {
				if nested {
					return false
				}
				nested = true
				_, err := tail.readNext(t.Context(), 0)
				assert.NilError(t, err)
				return true
			}
			tail.Client = &Client{
				Newest: func(context.Context, string, string) (Page, error) {
					if !c.loaded && readBeside() {
						return Page{Records: []StoredRecord{{Record: Record{Key: "a"}}, {Record: Record{Key: "b"}, Offset: 1}}, End: 2}, nil
					}
					// The other reader has asked before both records were stored.
					return Page{}, nil
				},
				Read: func(_ context.Context, _ string, from uint64, _ time.Duration) (ReadResult, error) {
					if c.loaded {
						readBeside()
					}
					r := ReadResult{Next: from, End: 2}
					if from < 2 {
						r.Next = from + 1
						r.Records = []StoredRecord{{Record: Record{Key: string(rune('a' + from))}, Offset: from}}
					}
					return r, nil
				},
			}
			tail.loaded = c.loaded
			assert.NilError(t, tail.Refresh(t.Context()))
			assert.DeepEqual(t, keys, []string{"a", "b"})
		})
	}
}
