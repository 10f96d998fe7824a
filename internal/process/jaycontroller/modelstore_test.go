package jaycontroller

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

const (
	// modelCallTimeout is how long a caller waits for an answer of the modelStore, beyond the
	// time that it asks the store to wait.
	modelCallTimeout = 2 * time.Second
	// modelPage and modelReadSize bound the records of one answer, so that reads take several.
	modelPage     = 5
	modelReadSize = 50
	modelPageTime = 20 * time.Millisecond
	// modelMaxLate bounds how late a call without an answer may be executed.
	modelMaxLate = 5 * time.Second
	// modelMaxAnswerDelay bounds how long an answer is on its way: answers of later calls overtake it.
	modelMaxAnswerDelay = 1500 * time.Millisecond
	// modelDedup is how many of the last appends of a producer are answered again.
	modelDedup = 5
)

// fenceReading is a way to read the store's description of an append without records, which "sets
// the epoch".
type fenceReading int

const (
	// fenceTakesNumber counts it as an append, whose sequence number the next one follows.
	fenceTakesNumber fenceReading = iota
	// fenceKeepsNumber sets the epoch only: the next append follows the last one of the lower epoch.
	fenceKeepsNumber
	// fenceResetsNumber begins the numbers of the epoch at 0.
	fenceResetsNumber
)

var fenceReadings = []fenceReading{fenceTakesNumber, fenceKeepsNumber, fenceResetsNumber}

// modelStore is the platform's store in memory, with topics that may be silent or forget their
// history, calls that get no answer, and appends that are executed late.
type modelStore struct {
	mutex   sync.Mutex
	seed    uint64
	fence   fenceReading
	topics  map[string]*modelLog
	streams map[string]*rand.Rand
	// recordBytes bounds a record, zero if nothing does.
	recordBytes int
	// faults is the share of calls that are refused, get no answer or are late.
	faults float64
	// lateAnswers is the share of answers that are late, forgets that of appends with which the topic
	// forgets its history.
	lateAnswers, forgets float64
	// silentUntil and cutUntil hold by topic and by entry until when calls are not handled.
	silentUntil map[string]time.Time
	cutUntil    map[string]time.Time
	// mutedUntil holds by entry and topic until when the entry's reads of the topic get no answer.
	mutedUntil map[string]time.Time
	// held holds, by entry and topic and kind of call, what ends the hold of its calls and answers.
	held  map[string]chan struct{}
	trace func(format string, args ...any)
}

func (s *modelStore) tracef(format string, args ...any) {
	if s.trace != nil {
		s.trace(format, args...)
	}
}

func traceKeys(rs []jaystore.Record) string {
	var b strings.Builder
	for _, r := range rs {
		fmt.Fprintf(&b, " %s:%d", r.Key, len(r.Value))
		if i := strings.Index(r.Key, "s/"); i >= 0 && r.Value != nil {
			v := r.Value
			if i > 0 {
				v = v[1:]
			}
			if st, at, err := jaycell.DecodeState(v); err == nil {
				fmt.Fprintf(&b, "=%s@%d", st, at.UnixMilli()-946684800000)
			}
		}
	}
	return b.String()
}

type modelLog struct {
	records   []jaystore.StoredRecord
	first     uint64
	producers map[string]*modelProducer
	changed   changeNotifier
}

type modelProducer struct {
	term    uint64
	next    uint64
	answers []modelAnswer
}

type modelAnswer struct{ sequence, end uint64 }

func newModelStore(seed uint64, fence fenceReading) *modelStore {
	return &modelStore{seed: seed, fence: fence, topics: map[string]*modelLog{}, streams: map[string]*rand.Rand{}, silentUntil: map[string]time.Time{}, cutUntil: map[string]time.Time{}, mutedUntil: map[string]time.Time{}, held: map[string]chan struct{}{}}
}

// topic returns a topic. The mutex is held.
func (s *modelStore) topic(name string) *modelLog {
	if s.topics[name] == nil {
		s.topics[name] = &modelLog{producers: map[string]*modelProducer{}}
	}
	return s.topics[name]
}

// fate is what happens to one call.
type fate struct {
	refused    bool
	executed   bool
	delay      time.Duration
	loseAnswer bool
	// answerDelay is how long the answer of an executed call is on its way.
	answerDelay time.Duration
}

// draw draws the fate of a call. Each entry and topic has a stream of its own, so that the order in
// which goroutines run changes little.
func (s *modelStore) draw(entry, topic string, isAppend bool) fate {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	name := entry + "/" + topic
	r := s.stream(name)
	// Times of less than a millisecond decide which of several calls at one time comes first.
	f := fate{executed: true, delay: time.Duration(1+r.IntN(5))*time.Millisecond + time.Duration(r.IntN(int(time.Millisecond)))}
	if r.Float64() < s.lateAnswers {
		f.answerDelay = time.Duration(r.Int64N(int64(modelMaxAnswerDelay)))
	}
	if time.Now().Before(s.cutUntil[entry]) {
		return fate{delay: time.Duration(r.IntN(400)) * time.Millisecond, refused: r.IntN(2) == 0}
	}
	if !isAppend && time.Now().Before(s.mutedUntil[name]) {
		return fate{}
	}
	if r.Float64() >= s.faults {
		return f
	}
	switch r.IntN(4) {
	case 0:
		return fate{refused: true}
	case 1:
		f.executed = false
	case 2:
		f.loseAnswer = true
	case 3:
		f.delay = time.Duration(r.Int64N(int64(modelMaxLate)))
		f.loseAnswer = isAppend && r.IntN(2) == 0
	}
	return f
}

// stream returns the random numbers of a name. The mutex is held.
func (s *modelStore) stream(name string) *rand.Rand {
	r := s.streams[name]
	if r == nil {
		h := fnv.New64()
		fmt.Fprint(h, name)
		r = rand.New(rand.NewPCG(s.seed, h.Sum64()))
		s.streams[name] = r
	}
	return r
}

// hold holds the calls of one kind of an entry to a topic, and their answers, until release is called.
func (s *modelStore) hold(entry, topic string, isAppend bool) (release func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	until := make(chan struct{})
	s.held[fmt.Sprint(entry, "/", topic, "/", isAppend)] = until
	return func() { close(until) }
}

// awaitRelease waits while calls are held.
func (s *modelStore) awaitRelease(entry, topic string, isAppend bool) {
	s.mutex.Lock()
	until := s.held[fmt.Sprint(entry, "/", topic, "/", isAppend)]
	s.mutex.Unlock()
	if until != nil {
		<-until
	}
}

func (s *modelStore) silentFor(topic string) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return time.Until(s.silentUntil[topic])
}

// call executes f with the fate that it draws and returns its error.
func (s *modelStore) call(ctx context.Context, entry, topic string, isAppend bool, wait time.Duration, f func() error) error {
	noAnswer := &jaystore.NoAnswerError{Operation: "call", Cause: "lost"}
	fate := s.draw(entry, topic, isAppend)
	if fate.refused {
		time.Sleep(fate.delay)
		return &jaystore.RefusedError{Operation: "call", Status: 503}
	}
	done := make(chan error, 1)
	if fate.executed {
		go func() {
			time.Sleep(fate.delay)
			for silent := s.silentFor(topic); silent > 0; silent = s.silentFor(topic) {
				time.Sleep(silent)
			}
			s.awaitRelease(entry, topic, isAppend)
			if err := f(); !fate.loseAnswer {
				time.Sleep(fate.answerDelay)
				s.awaitRelease(entry, topic, isAppend)
				done <- err
			}
		}()
	}
	timer := time.NewTimer(wait + modelCallTimeout)
	defer timer.Stop()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	case <-timer.C:
	}
	return noAnswer
}

// client returns the client of an entry.
func (s *modelStore) client(entry string) *jaystore.Client {
	return &jaystore.Client{
		Append: func(ctx context.Context, a jaystore.Append) (end uint64, err error) {
			var answered uint64
			err = s.call(ctx, entry, a.Topic, true, 0, func() (err error) {
				end, err := s.append(a)
				if a.Fence != nil {
					s.tracef("APPEND %s %s term=%d seq=%d try=%d -> end=%d err=%v:%s", entry, a.Topic, a.Fence.Term, a.Fence.Sequence, a.Try, end, err, traceKeys(a.Records))
				} else {
					s.tracef("APPEND %s %s try=%d -> end=%d err=%v:%s", entry, a.Topic, a.Try, end, err, traceKeys(a.Records))
				}
				if err == nil {
					answered = end
				}
				return err
			})
			if err != nil {
				return 0, err
			}
			return answered, nil
		},
		Read: func(ctx context.Context, topic string, from uint64, wait time.Duration) (jaystore.ReadResult, error) {
			results := make(chan jaystore.ReadResult, 1)
			err := s.call(ctx, entry, topic, false, wait, func() error {
				result, err := s.read(ctx, topic, from, wait)
				var rs []jaystore.Record
				for _, r := range result.Records {
					rs = append(rs, r.Record)
				}
				s.tracef("READ %s %s from=%d next=%d end=%d err=%v:%s", entry, topic, from, result.Next, result.End, err, traceKeys(rs))
				results <- result
				return err
			})
			if err != nil {
				return jaystore.ReadResult{}, err
			}
			return <-results, nil
		},
		Newest: func(ctx context.Context, topic, after string) (jaystore.Page, error) {
			pages := make(chan jaystore.Page, 1)
			err := s.call(ctx, entry, topic, false, 0, func() error {
				// Records are stored between two pages.
				time.Sleep(modelPageTime)
				page := s.newest(topic, after)
				var rs []jaystore.Record
				for _, r := range page.Records {
					rs = append(rs, r.Record)
				}
				s.tracef("NEWEST %s %s after=%s end=%d more=%v:%s", entry, topic, after, page.End, page.More, traceKeys(rs))
				pages <- page
				return nil
			})
			if err != nil {
				return jaystore.Page{}, err
			}
			return <-pages, nil
		},
	}
}

func (s *modelStore) append(a jaystore.Append) (uint64, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.recordBytes > 0 && slices.ContainsFunc(a.Records, func(r jaystore.Record) bool { return 1+len(r.Key)+len(r.Value) > s.recordBytes }) {
		return 0, &jaystore.RefusedError{Operation: "append", Status: 413}
	}
	t := s.topic(a.Topic)
	end := uint64(len(t.records))
	if a.ExpectedEnd != nil && *a.ExpectedEnd != end {
		return 0, &jaystore.EndMismatchError{End: end}
	}
	var p *modelProducer
	if a.Fence != nil {
		p = t.producers[a.Fence.Producer]
		if p == nil {
			p = &modelProducer{}
			t.producers[a.Fence.Producer] = p
		}
		if answered, end, err := p.check(a, s.fence); err != nil || answered {
			return end, err
		}
	}
	for _, r := range a.Records {
		t.records = append(t.records, jaystore.StoredRecord{Record: r, Offset: uint64(len(t.records))})
	}
	end = uint64(len(t.records))
	if p != nil && (len(a.Records) > 0 || s.fence == fenceTakesNumber) {
		p.next = a.Fence.Sequence + 1
		p.answers = append(p.answers, modelAnswer{a.Fence.Sequence, end})
		p.answers = p.answers[max(0, len(p.answers)-modelDedup):]
	}
	if s.stream("forget/"+a.Topic).Float64() < s.forgets {
		// Readers that follow the topic have not read the newest records yet.
		t.first = end
		s.tracef("FORGET %s up to its newest records", a.Topic)
	}
	t.changed.broadcast()
	return end, nil
}

// check applies the epoch and sequence number of an append. It reports whether the append is
// answered already, since it is a repeat or an empty one.
func (p *modelProducer) check(a jaystore.Append, reading fenceReading) (answered bool, end uint64, err error) {
	if a.Fence.Term < p.term {
		return false, 0, &jaystore.FencedError{Term: a.Fence.Term}
	}
	higher := a.Fence.Term > p.term
	p.term = a.Fence.Term
	switch {
	case len(a.Records) > 0 || reading == fenceTakesNumber:
	case reading == fenceKeepsNumber:
		return true, 0, nil
	default:
		if higher {
			p.next, p.answers = 0, nil
		}
		return true, 0, nil
	}
	if higher {
		p.answers = nil
		return false, 0, nil
	}
	for _, x := range p.answers {
		if x.sequence == a.Fence.Sequence {
			return true, x.end, nil
		}
	}
	if a.Fence.Sequence != p.next {
		return false, 0, &jaystore.SequenceError{Expected: p.next}
	}
	return false, 0, nil
}

func (s *modelStore) read(ctx context.Context, topic string, from uint64, wait time.Duration) (jaystore.ReadResult, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		t := s.topic(topic)
		changed, end := t.changed.changed(), uint64(len(t.records))
		if from < t.first {
			defer s.mutex.Unlock()
			return jaystore.ReadResult{}, &jaystore.ExpiredError{First: t.first}
		}
		if from < end || wait == 0 {
			defer s.mutex.Unlock()
			next := min(end, from+modelReadSize)
			return jaystore.ReadResult{Records: slices.Clone(t.records[from:next]), Next: next, End: end}, nil
		}
		s.mutex.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			wait = 0
		}
	}
}

func (s *modelStore) newest(topic, after string) jaystore.Page {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(topic)
	last := map[string]jaystore.StoredRecord{}
	for _, r := range t.records {
		last[r.Key] = r
	}
	page := jaystore.Page{End: uint64(len(t.records))}
	for key, r := range last {
		if r.Value != nil && key > after {
			page.Records = append(page.Records, r)
		}
	}
	slices.SortFunc(page.Records, func(a, b jaystore.StoredRecord) int {
		switch {
		case a.Key < b.Key:
			return -1
		case a.Key > b.Key:
			return 1
		}
		return 0
	})
	page.More = len(page.Records) > modelPage
	page.Records = page.Records[:min(len(page.Records), modelPage)]
	return page
}

// forget drops the history of a topic: the newest record of each key stays.
func (s *modelStore) forget(topic string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(topic)
	t.first = uint64(len(t.records))
	s.tracef("FORGET %s", topic)
	t.changed.broadcast()
}

// fencedOut reports whether a topic rejects a producer's writes of a term.
func (s *modelStore) fencedOut(topic, producer string, term uint64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	p := s.topic(topic).producers[producer]
	return p != nil && p.term > term
}

// silence lets a topic handle no calls until a time.
func (s *modelStore) silence(topic string, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silentUntil[topic] = until
	s.tracef("SILENCE %s for %v", topic, time.Until(until))
}

// cut lets the store handle no new calls of an entry until a time.
func (s *modelStore) cut(entry string, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cutUntil[entry] = until
	s.tracef("CUT %s for %v", entry, time.Until(until))
}

// mute leaves an entry's reads of a topic without an answer until a time.
func (s *modelStore) mute(entry, topic string, until time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.mutedUntil[entry+"/"+topic] = until
}

// setFaults sets the share of calls that are refused, get no answer or are late.
func (s *modelStore) setFaults(share float64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults, s.lateAnswers, s.forgets = share, share, share
}

// calm ends all faults but calls that are late.
func (s *modelStore) calm() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.faults, s.lateAnswers, s.forgets = 0, 0, 0
	s.silentUntil, s.cutUntil, s.mutedUntil = map[string]time.Time{}, map[string]time.Time{}, map[string]time.Time{}
}
