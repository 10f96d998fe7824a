// Package jaystandin simulates the platform: the log service, workers and runners,
// with scripted faults. It serves tests and trials of jaystile on one machine, and
// speaks the protocols of docs/PLATFORM.md.
package jaystandin

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// LogFaults are the faults of a log service.
type LogFaults struct {
	// Unavailable rejects every request.
	Unavailable bool
	// Delay is added to every request.
	Delay time.Duration
	// LostResponses is the share of appends that take effect but return an error.
	LostResponses float64
	// StaleReads is the share of reads that return no records.
	StaleReads float64
}

type stream struct {
	firstOffset uint64
	records     [][]byte
}

// Log is a simulated log service that keeps its records in memory.
type Log struct {
	// Retention is the number of records that a stream keeps; zero keeps all.
	Retention int

	mutex   sync.Mutex
	streams map[string]*stream
	changed chan struct{}
	faults  LogFaults
	random  *rand.Rand
	appends int
}

// NewLog returns an empty log. The seed selects the appends and reads that fail.
func NewLog(seed uint64) *Log {
	return &Log{streams: map[string]*stream{}, changed: make(chan struct{}), random: rand.New(rand.NewPCG(seed, 1))}
}

// SetFaults replaces the service's faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.faults = f
}

// Appends returns how many appends took effect.
func (l *Log) Appends() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.appends
}

// Records returns a copy of the records that a stream keeps.
func (l *Log) Records(name string) [][]byte {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.streams[name] == nil {
		return nil
	}
	return append([][]byte(nil), l.streams[name].records...)
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

func (l *Log) appendRecords(name string, records [][]byte) uint64 {
	s := l.stream(name)
	offset := s.firstOffset + uint64(len(s.records))
	s.records = append(s.records, records...)
	if excess := len(s.records) - l.Retention; l.Retention > 0 && excess > 0 {
		s.records = append([][]byte(nil), s.records[excess:]...)
		s.firstOffset += uint64(excess)
	}
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	return offset
}

// applyFaults delays a request and reports whether the service accepts it.
func (l *Log) applyFaults() bool {
	l.mutex.Lock()
	f := l.faults
	l.mutex.Unlock()
	time.Sleep(f.Delay)
	return !f.Unavailable
}

func (l *Log) chance(share float64) bool { return share > 0 && l.random.Float64() < share }

type logAppend struct {
	Records [][]byte `json:"records"`
}

type logRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type logBatch struct {
	Records []logRecord `json:"records"`
	First   uint64      `json:"first"`
	Next    uint64      `json:"next"`
}

func (l *Log) handleAppend(c *fiber.Ctx) error {
	if !l.applyFaults() {
		return fiber.ErrServiceUnavailable
	}
	var body logAppend
	if err := c.BodyParser(&body); err != nil || len(body.Records) == 0 {
		return fiber.ErrBadRequest
	}
	l.mutex.Lock()
	offset := l.appendRecords(c.Params("stream"), body.Records)
	lost := l.chance(l.faults.LostResponses)
	l.mutex.Unlock()
	if lost {
		return fiber.ErrGatewayTimeout
	}
	return c.JSON(fiber.Map{"first_offset": offset})
}

func (l *Log) handleRead(c *fiber.Ctx) error {
	if !l.applyFaults() {
		return fiber.ErrServiceUnavailable
	}
	from := uint64(max(c.QueryInt("from"), 0))
	limit := max(c.QueryInt("most", 1024), 1)
	deadline := time.NewTimer(time.Duration(c.QueryInt("wait_ms")) * time.Millisecond)
	defer deadline.Stop()
	for {
		batch, changed := l.read(c.Params("stream"), from, limit)
		if len(batch.Records) > 0 || batch.First > from {
			return c.JSON(batch)
		}
		select {
		case <-changed:
		case <-deadline.C:
			return c.JSON(batch)
		}
	}
}

func (l *Log) read(name string, from uint64, limit int) (logBatch, chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := l.stream(name)
	next := s.firstOffset + uint64(len(s.records))
	b := logBatch{Records: []logRecord{}, First: s.firstOffset, Next: next}
	if l.chance(l.faults.StaleReads) {
		b.Next = min(from, next)
		return b, l.changed
	}
	for o := max(from, s.firstOffset); o < next && len(b.Records) < limit; o++ {
		b.Records = append(b.Records, logRecord{Offset: o, Data: s.records[o-s.firstOffset]})
	}
	return b, l.changed
}

type faultsBody struct {
	Unavailable   bool    `json:"out"`
	DelayMillis   int64   `json:"delay_ms"`
	LostResponses float64 `json:"lose_answers"`
	StaleReads    float64 `json:"stale_reads"`
}

func (l *Log) handleFaults(c *fiber.Ctx) error {
	var b faultsBody
	if err := c.BodyParser(&b); err != nil {
		return fiber.ErrBadRequest
	}
	l.SetFaults(LogFaults{Unavailable: b.Unavailable, Delay: time.Duration(b.DelayMillis) * time.Millisecond, LostResponses: b.LostResponses, StaleReads: b.StaleReads})
	return c.SendStatus(fiber.StatusNoContent)
}

// App returns the HTTP interface of the log service.
func (l *Log) App() *fiber.App {
	app := newApp()
	app.Post("/v1/streams/:stream/records", l.handleAppend)
	app.Get("/v1/streams/:stream/records", l.handleRead)
	app.Post("/v1/faults", l.handleFaults)
	return app
}

func newApp() *fiber.App {
	return fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: 64 << 20, Immutable: true})
}
