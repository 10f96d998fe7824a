// Package jayload sends requests through the public interface at a fixed rate,
// whatever the answers do, and measures them from the moment at which each was
// due, so that a slow server cannot hide its own delay.
package jayload

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayclient"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	// maxRequests bounds the requests of one run.
	maxRequests     = 2_000_000
	maxMicros       = 600_000_000
	histogramDigits = 3
	answerGrace     = 5 * time.Second
)

// NumberMark stands for a request's number in payloads and expected answers.
const NumberMark = "{n}"

// Load is an open-loop load. All fields are set before Run.
type Load struct {
	Client *jayclient.Client
	// Send replaces the client, for baselines; it may be nil.
	Send func(ctx context.Context) error
	// Submission is sent again and again; Wait is set.
	Submission jayapi.Submission
	// Expect is the answer that each request must get; empty checks nothing. In it
	// and in the payload, NumberMark stands for the request's number.
	Expect string
	// NewKey makes an idempotency key for each request; it may be nil.
	NewKey func() string
	// Rate is in requests a second.
	Rate float64
	Span time.Duration
}

// Result is what a load measured.
type Result struct {
	Sent     int
	Answered int
	// Wrong counts answers that were not the request's own.
	Wrong     int
	NotRun    int
	Unknown   int
	Ran       int
	Elapsed   time.Duration
	P50       time.Duration
	P99       time.Duration
	P999      time.Duration
	Most      time.Duration
	Refusals  map[string]int
	Goodput   float64
	RefusedIn time.Duration
}

// TooManyError reports a load beyond the bound of requests.
type TooManyError struct{ Asked float64 }

// Error implements error.
func (e *TooManyError) Error() string {
	return fmt.Sprintf("load: given %.0f requests, allowed at most %d", e.Asked, maxRequests)
}

// meter collects answers.
type meter struct {
	mutex    sync.Mutex
	result   Result
	answered *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
}

// Run sends the load until its span or ctx ends and waits for the last answers.
func (l *Load) Run(ctx context.Context) (*Result, error) {
	total := l.Rate * l.Span.Seconds()
	if total > maxRequests {
		return nil, &TooManyError{Asked: total}
	}
	m := &meter{answered: hdrhistogram.New(1, maxMicros, histogramDigits), refused: hdrhistogram.New(1, maxMicros, histogramDigits)}
	m.result.Refusals = map[string]int{}
	var wg conc.WaitGroup
	begin := time.Now()
	for n := 0; n < int(total) && ctx.Err() == nil; n++ {
		due := begin.Add(time.Duration(float64(n) / l.Rate * float64(time.Second)))
		time.Sleep(time.Until(due))
		m.result.Sent++
		wg.Go(func() { l.send(ctx, m, n, due) })
	}
	wg.Wait()
	return m.finish(time.Since(begin)), nil
}

// numbered replaces NumberMark by the request's number.
func numbered(text string, n int) string {
	return strings.ReplaceAll(text, NumberMark, strconv.Itoa(n))
}

func (l *Load) send(ctx context.Context, m *meter, n int, due time.Time) {
	s := l.Submission
	s.Wait = true
	s.Payload = []byte(numbered(string(s.Payload), n))
	if l.NewKey != nil {
		s.Key = l.NewKey()
	}
	limit := time.Duration(s.DeadlineMillis)*time.Millisecond + answerGrace
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if l.Send != nil {
		err := l.Send(ctx)
		m.take(time.Since(due), err)
		return
	}
	j, err := l.Client.Submit(ctx, s)
	m.take(time.Since(due), err)
	if err == nil && l.Expect != "" && (len(j.Answers) != 1 || string(j.Answers[0]) != numbered(l.Expect, n)) {
		m.wrong()
	}
}

func (m *meter) take(took time.Duration, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err == nil {
		m.result.Answered++
		_ = m.answered.RecordValue(took.Microseconds())
		return
	}
	r := jayrefusal.From(err)
	m.result.Refusals[string(r.Code())]++
	_ = m.refused.RecordValue(took.Microseconds())
	switch r.Outcome() {
	case jayrefusal.NotRun:
		m.result.NotRun++
	case jayrefusal.Ran:
		m.result.Ran++
	default:
		m.result.Unknown++
	}
}

// wrong counts an answer that is not the request's own.
func (m *meter) wrong() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.result.Wrong++
}

func (m *meter) finish(elapsed time.Duration) *Result {
	micros := func(h *hdrhistogram.Histogram, q float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
	}
	r := m.result
	r.Elapsed = elapsed
	r.P50 = micros(m.answered, 50)
	r.P99 = micros(m.answered, 99)
	r.P999 = micros(m.answered, 99.9)
	r.Most = micros(m.answered, 100)
	r.RefusedIn = micros(m.refused, 99)
	r.Goodput = float64(r.Answered) / elapsed.Seconds()
	return &r
}
