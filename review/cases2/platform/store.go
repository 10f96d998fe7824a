package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in of the platform's store: topics with one partition, of which those
// named keyed.* keep the newest record of each key.
type store struct {
	world *world

	mutex   sync.Mutex
	changed chan struct{}
	topics  map[string]*topic
}

type storedRecord struct {
	key   string
	value []byte
}

type topic struct {
	records   []storedRecord
	producers map[string]*producerState
}

type producerState struct {
	epoch, next uint64
	// offsets holds the first offsets of the last appends by their sequence number.
	offsets map[uint64]int
}

func newStore(w *world) *store {
	return &store{world: w, changed: make(chan struct{}), topics: map[string]*topic{}}
}

// topic returns a topic, which is made on its first use. The mutex is held.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{producers: map[string]*producerState{}}
		s.topics[name] = t
	}
	return t
}

// put appends one record, as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	t.records = append(t.records, storedRecord{key: key, value: value})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(storeLatency)
		s.append(w, r, body)
	case "/log-read":
		s.read(w, r)
	case "/log-newest":
		time.Sleep(storeLatency)
		s.newest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

const (
	// recordBytes and callBytes are RecordBytes and CallBytes of the settings.
	recordBytes = 262_144
	callBytes   = 2_097_152
)

// withinLimits reports whether the store takes the records of a call.
func withinLimits(body []byte) bool {
	if len(body) > callBytes {
		return false
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes {
			return false
		}
		body = body[4+n:]
	}
	return true
}

// storeLatency is that of an answer of a store without trouble.
const storeLatency = 4 * time.Millisecond

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has left does not matter.
	_, _ = w.Write(b)
}

func queryNumber(r *http.Request, name string) (uint64, bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

func (s *store) append(w http.ResponseWriter, r *http.Request, body []byte) {
	if !withinLimits(body) {
		s.world.note("store: refuses an append of %d bytes to %s: a record is larger than RecordBytes", len(body), r.URL.Query().Get("Topic"))
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]any{"Reason": "size"})
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(r.URL.Query().Get("Topic"))
	end := uint64(len(t.records))
	if at, ok := queryNumber(r, "At"); ok && at != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"End": end})
		return
	}
	if name := r.URL.Query().Get("Producer"); name != "" {
		epoch, _ := queryNumber(r, "epoch")
		sequence, _ := queryNumber(r, "Seq")
		p := t.producers[name]
		switch {
		case p == nil || epoch > p.epoch:
			p = &producerState{epoch: epoch, next: sequence, offsets: map[uint64]int{}}
			t.producers[name] = p
		case epoch < p.epoch:
			writeJSON(w, http.StatusConflict, map[string]any{"Reason": "fenced"})
			return
		}
		if len(body) > 0 {
			if offset, repeated := p.offsets[sequence]; repeated {
				writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": end})
				return
			}
			if sequence != p.next {
				writeJSON(w, http.StatusConflict, map[string]any{"Reason": "seq", "Seq": p.next})
				return
			}
			p.next = sequence + 1
			p.offsets[sequence] = len(t.records)
			delete(p.offsets, sequence-5)
		}
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		k := int(content[0])
		t.records = append(t.records, storedRecord{key: string(content[1 : 1+k]), value: append([]byte(nil), content[1+k:]...)})
		body = body[4+n:]
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]any{"Offset": end, "End": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := queryNumber(r, "From")
	wait, _ := queryNumber(r, "WaitMs")
	time.Sleep(storeLatency)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		records := s.topic(r.URL.Query().Get("Topic")).records
		changed := s.changed
		s.mutex.Unlock()
		if from < uint64(len(records)) || wait == 0 {
			s.answerRead(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// answerRead answers with the end, the first offset, which is 0, and the records.
func (s *store) answerRead(w http.ResponseWriter, records []storedRecord, from uint64) {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for i := from; i < uint64(len(records)) && len(b) < 1<<20; i++ {
		x := records[i]
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(x.key)+len(x.value)))
		b = append(b, byte(len(x.key)))
		b = append(append(b, x.key...), x.value...)
	}
	_, _ = w.Write(b)
}

// newest answers with a page of the newest record of each key.
func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(r.URL.Query().Get("Topic"))
	last := map[string]int{}
	for i, x := range t.records {
		last[x.key] = i
	}
	var keys []string
	for k, i := range last {
		if len(t.records[i].value) > 0 && k > r.URL.Query().Get("After") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageSize
	items := []map[string]any{}
	for _, k := range keys[:min(len(keys), pageSize)] {
		items = append(items, map[string]any{"Key": k, "Value": base64.StdEncoding.EncodeToString(t.records[last[k]].value), "Offset": last[k]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": len(t.records)})
}
