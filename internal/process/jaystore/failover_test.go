package jaystore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// topics is a store of several topics, each of which may be silent. A call that a silent
// topic leaves without an answer may be executed when it is back.
type topics struct {
	mutex   sync.Mutex
	logs    map[string]*fakeLog
	silent  map[string]bool
	standby Standby
	// rejectedKey is part of the keys of records that the store never accepts, empty if there are none.
	rejectedKey string
	// term is that of the newest leader; announcements of earlier ones fail.
	term uint64
}

func newTopics() *topics {
	return &topics{logs: map[string]*fakeLog{}, silent: map[string]bool{}}
}

func (s *topics) log(name string) *fakeLog {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.logs[name] == nil {
		s.logs[name] = &fakeLog{}
	}
	return s.logs[name]
}

func (s *topics) isSilent(name string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.silent[name]
}

func (s *topics) setSilent(name string, silent bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent[name] = silent
}

func (s *topics) client() *Client {
	return &Client{Append: func(ctx context.Context, a Append) (uint64, error) {
		for waited := time.Duration(0); s.isSilent(a.Topic); waited += 10 * time.Millisecond {
			if ctx.Err() != nil || waited > callTimeout {
				return 0, &NoAnswerError{Operation: "append", Cause: "silent"}
			}
			time.Sleep(10 * time.Millisecond)
		}
		if s.rejectedKey != "" && slices.ContainsFunc(a.Records, func(r Record) bool { return strings.Contains(r.Key, s.rejectedKey) }) {
			return 0, &RefusedError{Operation: "append", Status: statusTooLarge}
		}
		return s.log(a.Topic).append(ctx, a)
	}}
}

// writer returns the writer of a term's leader.
func (s *topics) writer(term uint64) *FailoverWriter {
	w := &FailoverWriter{Main: NewTermWriter(s.client(), "main", "cell", term), Standbys: []string{"standby-1", "standby-2"}, Delay: func() time.Duration { return 700 * time.Millisecond }}
	w.NewWriter = func(n Standby) *TermWriter {
		return NewTermWriter(s.client(), n.Topic, fmt.Sprint("cell-", n.Number), term)
	}
	w.Announce = func(_ context.Context, n Standby) error {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.term != term {
			return &FencedError{Term: term}
		}
		s.standby = n
		return nil
	}
	// Another topic is served all the time.
	w.ServedAt = func() time.Duration { return 1 << 62 }
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.term = term
	w.Announced(s.standby)
	return w
}

// newestStandby returns the newest announcement.
func (s *topics) newestStandby() Standby {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.standby
}

// load returns the records as the next leader reads them, and its writer.
func (s *topics) load(t *testing.T, term uint64) (map[string]string, *FailoverWriter) {
	w := s.writer(term)
	assert.NilError(t, w.Main.FenceLowerTerms(t.Context()))
	main := s.newest("main")
	if open := s.newestStandby(); open.Open {
		standby := w.NewWriter(open)
		assert.NilError(t, standby.FenceLowerTerms(t.Context()))
		moved, all := open.Overlay(main, s.newest(open.Topic))
		w.Restore(t.Context(), open, standby, moved)
		main = all
	}
	found := map[string]string{}
	for _, r := range main {
		found[r.Key] = string(r.Value)
	}
	return found, w
}

// settle lets calls without an answer end.
func (s *topics) settle() {
	for _, name := range []string{"main", "standby-1", "standby-2"} {
		s.setSilent(name, false)
	}
	time.Sleep(time.Minute)
}

func (s *topics) newest(topic string) []Record {
	log := s.log(topic)
	log.mutex.Lock()
	defer log.mutex.Unlock()
	values := map[string][]byte{}
	for _, r := range log.records {
		values[r.Key] = r.Value
	}
	var all []Record
	for k, v := range values {
		if v != nil {
			all = append(all, Record{Key: k, Value: v})
		}
	}
	return all
}

// Starts used to wait for the topic of the runs, also when the store served all others.
func TestRecordsGoToTheStandbyTopicWhileTheMainOneIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTopics()
		_, w := s.load(t, 1)
		assert.NilError(t, w.Write(t.Context(), []Record{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}))
		s.setSilent("main", true)
		began := time.Now()
		assert.NilError(t, w.Write(t.Context(), []Record{{Key: "a", Value: []byte("2")}}))
		assert.NilError(t, w.Write(t.Context(), []Record{{Key: "b"}}))
		assert.Assert(t, time.Since(began) <= time.Second, "stored after %s", time.Since(began))
		s.setSilent("main", false)
		time.Sleep(3 * time.Second)
		assert.NilError(t, w.Write(t.Context(), []Record{{Key: "c", Value: []byte("1")}}))
		assert.Equal(t, s.newestStandby().Open, false)
		time.Sleep(time.Second)
		assert.Equal(t, len(s.newest(s.newestStandby().Topic)), 0)
		found, _ := s.load(t, 2)
		assert.DeepEqual(t, found, map[string]string{"a": "2", "c": "1"})
		s.settle()
	})
}

// Guards against records that stay in a standby topic for as long as there is nothing to store:
// entries that follow the main topic only would show a completed job as running.
func TestRecordsReturnToTheMainTopicWithoutAnotherWrite(t *testing.T) {
	for _, successor := range []bool{false, true} {
		t.Run(fmt.Sprintf("successor %t", successor), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newTopics()
				_, w := s.load(t, 1)
				s.setSilent("main", true)
				ctx, cancel := context.WithCancel(t.Context())
				assert.NilError(t, w.Write(ctx, []Record{{Key: "a", Value: []byte("1")}}))
				assert.NilError(t, w.Write(ctx, []Record{{Key: "a", Value: []byte("2")}}))
				if successor {
					cancel()
				}
				s.setSilent("main", false)
				if successor {
					found, _ := s.load(t, 2)
					assert.DeepEqual(t, found, map[string]string{"a": "2"})
				}
				time.Sleep(5 * time.Second)
				assert.Equal(t, s.newestStandby().Open, false)
				assert.DeepEqual(t, s.newest("main"), []Record{{Key: "a", Value: []byte("2")}})
				assert.Equal(t, len(s.newest(s.newestStandby().Topic)), 0)
				cancel()
				s.settle()
			})
		})
	}
}

// A store that answers no topic is waited for: there is nothing to move to.
func TestRecordsWaitForAStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTopics()
		_, w := s.load(t, 1)
		w.ServedAt = func() time.Duration { return 0 }
		s.setSilent("main", true)
		go func() {
			time.Sleep(5 * time.Second)
			s.setSilent("main", false)
		}()
		assert.NilError(t, w.Write(t.Context(), []Record{{Key: "a", Value: []byte("1")}}))
		assert.Equal(t, s.newestStandby(), Standby{})
		s.settle()
	})
}

// A slow store is slow for the standby topics too, and more appends would slow it down.
func TestSlowStoreIsNoReasonToMove(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTopics()
		_, w := s.load(t, 1)
		var slow atomic.Bool
		w.Delay = func() time.Duration {
			if slow.Load() {
				return 5 * time.Second
			}
			return 700 * time.Millisecond
		}
		s.setSilent("main", true)
		go func() {
			// The first slow answer comes before the delay has passed.
			time.Sleep(600 * time.Millisecond)
			slow.Store(true)
			time.Sleep(time.Second)
			s.setSilent("main", false)
		}()
		assert.NilError(t, w.Write(t.Context(), []Record{{Key: "a", Value: []byte("1")}}))
		assert.Equal(t, s.newestStandby(), Standby{})
		s.settle()
	})
}

// Leaders write, lose topics, pause and are replaced at any moment. Each finds exactly what
// its predecessors have stored, and of the last write without an answer all or nothing.
func TestLeadersFindAllRecordsOverFailovers(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playFailovers(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

func playFailovers(t *testing.T, r *rand.Rand) {
	s := newTopics()
	names := []string{"main", "standby-1", "standby-2"}
	defer s.settle()
	want, unsettled := map[string]string{}, map[string]string(nil)
	for term := uint64(1); term <= 6; term++ {
		for _, name := range names {
			s.setSilent(name, false)
		}
		found, w := s.load(t, term)
		if unsettled != nil && maps.Equal(found, unsettled) {
			want = unsettled
		}
		assert.DeepEqual(t, found, want)
		unsettled = nil
		ctx, cancel := context.WithCancel(t.Context())
		for range 1 + r.IntN(12) {
			s.setSilent(names[r.IntN(len(names))], r.IntN(2) == 0)
			next := maps.Clone(want)
			var records []Record
			for _, i := range r.Perm(5)[:1+r.IntN(4)] {
				key := fmt.Sprint("k", i)
				if r.IntN(4) == 0 {
					records = append(records, Record{Key: key})
					delete(next, key)
					continue
				}
				value := fmt.Sprint(term, "-", r.IntN(1000))
				records = append(records, Record{Key: key, Value: []byte(value)})
				next[key] = value
			}
			done := make(chan error, 1)
			go func() { done <- w.Write(ctx, records) }()
			limit := time.After(time.Duration(r.IntN(8000)) * time.Millisecond)
			var err error
			select {
			case err = <-done:
			case <-limit:
				// The leader ends, and its calls may be executed until the next one fences it.
				err = errors.New("replaced")
			}
			if err != nil {
				unsettled = next
				break
			}
			want = next
		}
		cancel()
		if r.IntN(2) == 0 {
			time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
		}
	}
}
