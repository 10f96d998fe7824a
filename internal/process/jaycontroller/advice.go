package jaycontroller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const (
	// adviceRoundTrip is the network time of a query and its answer.
	adviceRoundTrip = 500 * time.Millisecond
	// minAdviceRetryDelay is the minimum delay after a failed query; up to as much
	// again is added at random.
	minAdviceRetryDelay = 200 * time.Millisecond
)

// Metrics of the advice service.
var (
	adviceSeconds = metrics.NewHistogram("jaystile_advice_seconds")
	adviceFailed  = metrics.NewCounter("jaystile_advice_failed_total")
)

// runAdvice sends the cell's queries one at a time: the service answers one query per
// client machine at a time.
func (l *leadership) runAdvice(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.adviceWanted:
		}
		for l.askAdvice(ctx) {
		}
	}
}

// askAdvice sends the most urgent query and reports whether there may be more.
func (l *leadership) askAdvice(ctx context.Context) bool {
	l.mutex.Lock()
	q, ok := l.cell.NextQuery()
	l.mutex.Unlock()
	if !ok || ctx.Err() != nil {
		return false
	}
	expected := time.Duration(0)
	if config := l.controller.config.Load(); config != nil {
		if a, ok := config.Advice(q.Route); ok {
			expected = a.Base + time.Duration(len(q.Runners))*a.PerRunner
		}
	}
	askedAt := jayclock.Elapsed()
	call, cancel := context.WithTimeout(ctx, 2*expected+adviceRoundTrip)
	tickets, valid, err := l.controller.Advise(call, q.Step, q.Runners)
	cancel()
	adviceSeconds.Update((jayclock.Elapsed() - askedAt).Seconds())
	if err != nil {
		adviceFailed.Inc()
		l.controller.Logger.Warn().Str("event", "advice").Str("step", q.Step).Int("runners", len(q.Runners)).Err(err).Msg("no advice; retrying")
		return jayclock.Sleep(ctx, minAdviceRetryDelay+rand.N(minAdviceRetryDelay))
	}
	l.mutex.Lock()
	l.setCellTime()
	l.cell.ApplyAdvice(q, tickets, valid, askedAt)
	l.mutex.Unlock()
	Signal(l.wake)
	return true
}

// noAdvice is Controller.Advise for deployments without an advice service.
func noAdvice(_ context.Context, step string, _ []string) (map[string]string, time.Duration, error) {
	return nil, 0, &NoAdviceError{Step: step, Cause: "the settings name no advice service"}
}

// NoAdviceError reports that the advice service has not answered a query.
type NoAdviceError struct {
	Step  string
	Cause string
}

// Error implements error.
func (e *NoAdviceError) Error() string { return "no advice on " + e.Step + ": " + e.Cause }
