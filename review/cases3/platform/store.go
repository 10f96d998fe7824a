package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the store, as in the settings of a small deployment.
const (
	answerDelay   = 4 * time.Millisecond
	readsPerS     = 2000
	writesPerS    = 800
	recordBytes   = 262144
	maxReadBytes  = 1 << 20
	maxPageItems  = 500
	maxPageBytes  = 1 << 20
	keptSequences = 5
)

// store is a stand-in of the platform's log with one partition a topic.
type store struct {
	mutex  sync.Mutex
	topics map[string]*topic
	reads  bucket
	writes bucket
	// slowness is by how much an answer takes longer than usual.
	slowness atomic.Int64
	// refused counts the calls beyond the rates.
	refused int
}

type topic struct {
	records   [][]byte
	newest    map[string]int
	producers map[string]*producer
	// changed is closed and replaced at each append.
	changed chan struct{}
	// turn is held while an append is processed.
	turn sync.Mutex
}

type producer struct {
	epoch uint64
	next  uint64
	// adopted is set once the epoch has appended; a higher epoch may start at any number.
	adopted bool
	// done holds the offsets of the last appends by sequence number.
	done map[uint64][2]int
}

// bucket admits a number of calls a second.
type bucket struct {
	perS   float64
	tokens float64
	at     time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.tokens = min(b.perS, b.tokens+now.Sub(b.at).Seconds()*b.perS)
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// delay takes the time of an answer.
func (s *store) delay() { time.Sleep(answerDelay * time.Duration(s.slowness.Load())) }

func newStore() *store {
	s := &store{topics: map[string]*topic{}, reads: bucket{perS: readsPerS, at: time.Now()}, writes: bucket{perS: writesPerS, at: time.Now()}}
	s.slowness.Store(1)
	return s
}

// topic returns a topic. The mutex is held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add adds a record. The mutex is held.
func (t *topic) add(record []byte) {
	t.newest[string(record[1:1+int(record[0])])] = len(t.records)
	t.records = append(t.records, record)
}

// put writes a record of the operator.
func (s *store) put(name, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	t.add(append(append([]byte{byte(len(key))}, key...), value...))
	close(t.changed)
	t.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	ok := true
	switch r.URL.Path {
	case "/log-append":
		ok = s.writes.take(1)
	case "/log-read", "/log-newest":
		ok = s.reads.take(1)
	}
	if !ok {
		s.refused++
	}
	s.mutex.Unlock()
	if !ok {
		answer(w, 429, struct{}{})
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r)
	case "/log-read":
		s.delay()
		s.read(w, r)
	case "/log-newest":
		s.delay()
		s.readNewest(w, r)
	default:
		answer(w, 404, struct{}{})
	}
}

func number(r *http.Request, name string) (uint64, bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

// split parses the records of an append.
func split(b []byte) (records [][]byte, ok bool) {
	for len(b) > 0 {
		if len(b) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(b))
		if n > recordBytes || n > len(b)-4 || n == 0 {
			return nil, false
		}
		records = append(records, b[4:4+n])
		b = b[4+n:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	records, ok := split(body)
	if err != nil || !ok {
		answer(w, 400, struct{}{})
		return
	}
	name := r.URL.Query().Get("Topic")
	s.mutex.Lock()
	t := s.topic(name)
	s.mutex.Unlock()
	t.turn.Lock()
	defer t.turn.Unlock()
	s.delay()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if at, set := number(r, "At"); set && at != uint64(len(t.records)) {
		answer(w, 412, map[string]any{"End": len(t.records)})
		return
	}
	var p *producer
	sequence, _ := number(r, "Seq")
	if id := r.URL.Query().Get("Producer"); id != "" {
		if p = t.producers[id]; p == nil {
			p = &producer{done: map[uint64][2]int{}}
			t.producers[id] = p
		}
		epoch, _ := number(r, "epoch")
		if epoch < p.epoch {
			answer(w, 409, map[string]any{"Reason": "fenced"})
			return
		}
		if epoch > p.epoch {
			p.epoch, p.adopted, p.done = epoch, false, map[uint64][2]int{}
		}
		if d, repeated := p.done[sequence]; repeated {
			answer(w, 200, map[string]any{"Offset": d[0], "End": d[1]})
			return
		}
		if len(records) == 0 {
			answer(w, 200, map[string]any{"Offset": len(t.records), "End": len(t.records)})
			return
		}
		if p.adopted && sequence != p.next {
			answer(w, 409, map[string]any{"Reason": "seq", "Seq": p.next})
			return
		}
	}
	offset := len(t.records)
	for _, x := range records {
		t.add(x)
	}
	if p != nil {
		p.adopted, p.next = true, sequence+1
		p.done[sequence] = [2]int{offset, len(t.records)}
		delete(p.done, sequence-keptSequences)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	answer(w, 200, map[string]any{"Offset": offset, "End": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("Topic")
	from, _ := number(r, "From")
	wait, _ := number(r, "WaitMs")
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mutex.Lock()
		t := s.topic(name)
		records, changed := t.records, t.changed
		s.mutex.Unlock()
		if from < uint64(len(records)) || wait == 0 {
			writeRecords(w, records, int(from))
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for i := from; i < len(records) && (i == from || len(b) < maxReadBytes); i++ {
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(records[i]))), records[i]...)
	}
	_, _ = w.Write(b)
}

func (s *store) readNewest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("After")
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(r.URL.Query().Get("Topic"))
	var keys []string
	for key, i := range t.newest {
		if key > after && len(t.records[i]) > 1+len(key) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, bytes := []map[string]any{}, 0
	for _, key := range keys {
		if len(items) == maxPageItems || bytes > maxPageBytes {
			break
		}
		value := t.records[t.newest[key]][1+len(key):]
		bytes += len(value)
		items = append(items, map[string]any{"Key": strings.Clone(key), "Value": base64.StdEncoding.EncodeToString(value), "Offset": t.newest[key]})
	}
	answer(w, 200, map[string]any{"items": items, "HasMore": len(items) < len(keys), "End": len(t.records)})
}
