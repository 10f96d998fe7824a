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

const (
	// appendTime is how long the store takes for one append.
	appendTime = 4 * time.Millisecond
	// pageSize is the number of records in one answer of /log-newest.
	pageSize = 500
)

// record is a record of a compacted topic. A record without a value deletes its key.
type record struct {
	key   string
	value []byte
}

// topic is a compacted topic with one partition.
type topic struct {
	records []record
	// first is the oldest offset that can still be read.
	first     int
	producers map[string]*producer
}

// producer is the state of one fenced producer.
type producer struct {
	epoch, next uint64
	// answers holds the offsets of the last appends by sequence number.
	answers map[uint64]int
}

// store is a stand-in for the platform's metadata store.
type store struct {
	mutex   sync.Mutex
	changed *sync.Cond
	topics  map[string]*topic
	// silent is set while reads that wait for records hear nothing, and cuts counts how
	// often waiting reads have been cut.
	silent bool
	cuts   int
}

func newStore() *store {
	s := &store{topics: map[string]*topic{}}
	s.changed = sync.NewCond(&s.mutex)
	return s
}

func (s *store) topic(name string) *topic {
	if s.topics[name] == nil {
		s.topics[name] = &topic{producers: map[string]*producer{}}
	}
	return s.topics[name]
}

// put appends a record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	t.records = append(t.records, record{key, value})
	s.changed.Broadcast()
}

// newest returns the values of the newest records whose key has a prefix.
func (s *store) newest(name, prefix string) map[string][]byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	all := map[string][]byte{}
	for _, r := range s.topic(name).records {
		if len(r.key) >= len(prefix) && r.key[:len(prefix)] == prefix {
			all[r.key] = r.value
		}
	}
	return all
}

// count returns how many records of a key were appended.
func (s *store) count(name, key string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	n := 0
	for _, r := range s.topic(name).records {
		if r.key == key {
			n++
		}
	}
	return n
}

// hold makes reads that wait for records hear nothing until forget is called.
func (s *store) hold() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.silent = true
}

// forget drops the history of all topics, of which the newest record of each key stays, and
// cuts the reads that wait.
func (s *store) forget() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, t := range s.topics {
		t.first = len(t.records)
	}
	s.silent = false
	s.cuts++
	s.changed.Broadcast()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("Topic")
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, name)
	case "/log-read":
		s.read(w, r, name)
	case "/log-newest":
		s.listNewest(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func queryNumber(r *http.Request, name string) (uint64, bool) {
	n, err := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n, err == nil
}

func (s *store) append(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(appendTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	if at, ok := queryNumber(r, "At"); ok && at != uint64(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"End": len(t.records)})
		return
	}
	sequence, _ := queryNumber(r, "Seq")
	var p *producer
	if id := r.URL.Query().Get("Producer"); id != "" {
		epoch, _ := queryNumber(r, "epoch")
		if p = t.producers[id]; p == nil {
			p = &producer{}
			t.producers[id] = p
		}
		switch {
		case epoch < p.epoch:
			reply(w, http.StatusConflict, map[string]string{"Reason": "fenced"})
			return
		case epoch > p.epoch:
			*p = producer{epoch: epoch, next: sequence, answers: map[uint64]int{}}
		}
		if offset, repeated := p.answers[sequence]; repeated {
			reply(w, http.StatusOK, map[string]int{"Offset": offset, "End": len(t.records)})
			return
		}
		if sequence != p.next {
			reply(w, http.StatusConflict, map[string]any{"Reason": "seq", "Seq": p.next})
			return
		}
	}
	offset := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		content := body[4 : 4+n]
		k := int(content[0])
		t.records = append(t.records, record{string(content[1 : 1+k]), append([]byte(nil), content[1+k:]...)})
		body = body[4+n:]
	}
	if p != nil {
		if p.answers == nil {
			p.answers = map[uint64]int{}
		}
		p.answers[sequence] = offset
		p.next = sequence + 1
		delete(p.answers, sequence-5)
	}
	s.changed.Broadcast()
	reply(w, http.StatusOK, map[string]int{"Offset": offset, "End": len(t.records)})
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	n, _ := queryNumber(r, "From")
	from := int(n)
	wait, _ := queryNumber(r, "WaitMs")
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	stop := time.AfterFunc(time.Until(deadline), s.changed.Broadcast)
	defer stop.Stop()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t, cuts := s.topic(name), s.cuts
	for wait > 0 && (s.silent || from >= len(t.records)) && time.Now().Before(deadline) && cuts == s.cuts {
		s.changed.Wait()
	}
	if cuts != s.cuts {
		panic(http.ErrAbortHandler)
	}
	if from < t.first {
		reply(w, http.StatusGone, map[string]int{"First": t.first})
		return
	}
	end := len(t.records)
	if s.silent && wait > 0 {
		end = min(end, from)
	}
	b := binary.BigEndian.AppendUint64(nil, uint64(end))
	b = binary.BigEndian.AppendUint64(b, uint64(t.first))
	for ; from < end; from++ {
		x := t.records[from]
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(x.key)+len(x.value)))
		b = append(b, byte(len(x.key)))
		b = append(b, x.key...)
		b = append(b, x.value...)
	}
	_, _ = w.Write(b)
}

func (s *store) listNewest(w http.ResponseWriter, r *http.Request, name string) {
	type item struct {
		Key, Value string
		Offset     int
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.topic(name)
	newest := map[string]int{}
	for i, x := range t.records {
		newest[x.key] = i
	}
	after := r.URL.Query().Get("After")
	keys := []string{}
	for key, i := range newest {
		if len(t.records[i].value) > 0 && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, item{key, base64.StdEncoding.EncodeToString(t.records[newest[key]].value), newest[key]})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": len(keys) > pageSize, "End": len(t.records)})
}
