// Package jayload is an open-loop load generator: it sends requests to the public API
// at a fixed rate, independent of the responses, and measures each latency from the
// scheduled send time, which avoids coordinated omission.
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
	maxRequests      = 2_000_000
	maxLatencyMicros = 600_000_000
	histogramDigits  = 3
	answerGrace      = 5 * time.Second
)

// NumberPlaceholder is replaced by the request's number in payloads and expected
// answers.
const NumberPlaceholder = "{n}"

// Load describes one run. All fields are set before Run.
type Load struct {
	Client *jayclient.Client
	// Send, if set, is called instead of the client, to measure baselines.
	Send func(ctx context.Context) error
	// Submission is the template of all requests; Run sets Wait.
	Submission jayapi.Submission
	// Expect is the expected answer, or empty to check none. NumberPlaceholder in it
	// and in the payload is replaced by the request's number.
	Expect string
	// NewKey, if set, returns the idempotency key of each request.
	NewKey func() string
	// Rate is in requests per second.
	Rate     float64
	Duration time.Duration
}

// Result holds the measurements of one run. It is encoded as JSON under its field
// names.
type Result struct {
	Sent     int
	Answered int
	// Wrong counts answers that differ from the expected one.
	Wrong int
	// NotRun, Unknown and Ran count the refusals by outcome.
	NotRun  int
	Unknown int
	Ran     int
	Elapsed time.Duration
	P50     time.Duration
	P99     time.Duration
	P999    time.Duration
	// Most is the maximum latency.
	Most     time.Duration
	Refusals map[string]int
	// Goodput is in answers per second.
	Goodput float64
	// RefusedIn is the 99th percentile of the time to a refusal.
	RefusedIn time.Duration
}

// TooManyRequestsError reports a load of more than maxRequests.
type TooManyRequestsError struct{ Requests float64 }

// Error implements error.
func (e *TooManyRequestsError) Error() string {
	return fmt.Sprintf("load of %.0f requests exceeds the maximum of %d", e.Requests, maxRequests)
}

// meter records latencies and outcomes.
type meter struct {
	mutex    sync.Mutex
	result   Result
	answered *hdrhistogram.Histogram
	refused  *hdrhistogram.Histogram
}

// Run sends requests for the load's duration or until ctx ends, then waits for the
// pending answers.
func (l *Load) Run(ctx context.Context) (*Result, error) {
	total := l.Rate * l.Duration.Seconds()
	if total > maxRequests {
		return nil, &TooManyRequestsError{Requests: total}
	}
	m := &meter{answered: hdrhistogram.New(1, maxLatencyMicros, histogramDigits), refused: hdrhistogram.New(1, maxLatencyMicros, histogramDigits)}
	m.result.Refusals = map[string]int{}
	var wg conc.WaitGroup
	start := time.Now()
	for n := 0; n < int(total) && ctx.Err() == nil; n++ {
		scheduledAt := start.Add(time.Duration(float64(n) / l.Rate * float64(time.Second)))
		time.Sleep(time.Until(scheduledAt))
		m.result.Sent++
		wg.Go(func() { l.send(ctx, m, n, scheduledAt) })
	}
	wg.Wait()
	return m.summarize(time.Since(start)), nil
}

// replaceNumber replaces NumberPlaceholder by the request's number.
func replaceNumber(text string, n int) string {
	return strings.ReplaceAll(text, NumberPlaceholder, strconv.Itoa(n))
}

func (l *Load) send(ctx context.Context, m *meter, n int, scheduledAt time.Time) {
	s := l.Submission
	s.Wait = true
	s.Payload = []byte(replaceNumber(string(s.Payload), n))
	if l.NewKey != nil {
		s.Key = l.NewKey()
	}
	timeout := time.Duration(s.DeadlineMillis)*time.Millisecond + answerGrace
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if l.Send != nil {
		err := l.Send(ctx)
		m.record(time.Since(scheduledAt), err)
		return
	}
	j, err := l.Client.Submit(ctx, s)
	m.record(time.Since(scheduledAt), err)
	if err == nil && l.Expect != "" && (len(j.Answers) != 1 || string(j.Answers[0]) != replaceNumber(l.Expect, n)) {
		m.recordWrong()
	}
}

func (m *meter) record(latency time.Duration, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if err == nil {
		m.result.Answered++
		_ = m.answered.RecordValue(latency.Microseconds())
		return
	}
	r := jayrefusal.From(err)
	m.result.Refusals[string(r.Code())]++
	_ = m.refused.RecordValue(latency.Microseconds())
	switch r.Outcome() {
	case jayrefusal.NotRun:
		m.result.NotRun++
	case jayrefusal.Ran:
		m.result.Ran++
	default:
		m.result.Unknown++
	}
}

// recordWrong counts an answer that differs from the expected one.
func (m *meter) recordWrong() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.result.Wrong++
}

func (m *meter) summarize(elapsed time.Duration) *Result {
	percentile := func(h *hdrhistogram.Histogram, p float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
	}
	r := m.result
	r.Elapsed = elapsed
	r.P50 = percentile(m.answered, 50)
	r.P99 = percentile(m.answered, 99)
	r.P999 = percentile(m.answered, 99.9)
	r.Most = percentile(m.answered, 100)
	r.RefusedIn = percentile(m.refused, 99)
	r.Goodput = float64(r.Answered) / elapsed.Seconds()
	return &r
}
