package jaycontroller

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const (
	// adviceWay is the time of a question's way there and back.
	adviceWay = 500 * time.Millisecond
	// advicePause is the least time before the next question after one that was
	// not answered; up to as much again is added at random.
	advicePause = 200 * time.Millisecond
)

// Metrics of the advice service.
var (
	adviceSeconds = metrics.NewHistogram("jaystile_advice_seconds")
	adviceFailed  = metrics.NewCounter("jaystile_advice_failed_total")
)

// advise asks the cell's questions one after the other: the service answers one
// question of a machine at a time.
func (l *lead) advise(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.asking:
		}
		for l.adviseOnce(ctx) {
		}
	}
}

// adviseOnce asks the most urgent question; it reports whether there may be more.
func (l *lead) adviseOnce(ctx context.Context) bool {
	l.mutex.Lock()
	q, ok := l.cell.NextQuery()
	l.mutex.Unlock()
	if !ok || ctx.Err() != nil {
		return false
	}
	expected := time.Duration(0)
	if c := l.hub.config.Load(); c != nil {
		if a, ok := c.Advice(q.Route); ok {
			expected = a.Base + time.Duration(len(q.Runners))*a.PerRunner
		}
	}
	begun := jayclock.Elapsed()
	call, cancel := context.WithTimeout(ctx, 2*expected+adviceWay)
	tickets, valid, err := l.hub.Advise(call, q.Step, q.Runners)
	cancel()
	adviceSeconds.Update((jayclock.Elapsed() - begun).Seconds())
	if err != nil {
		adviceFailed.Inc()
		l.hub.Logger.Warn().Str("event", "advice").Str("step", q.Step).Int("runners", len(q.Runners)).Err(err).Msg("no advice; asking again")
		return jayclock.Sleep(ctx, advicePause+rand.N(advicePause))
	}
	l.mutex.Lock()
	l.at()
	l.cell.ApplyAdvice(q, tickets, valid, begun)
	l.mutex.Unlock()
	Signal(l.kick)
	return true
}

// noAdvice is the advice service of a deployment that has none.
func noAdvice(_ context.Context, step string, _ []string) (map[string]string, time.Duration, error) {
	return nil, 0, &NoAdviceError{Step: step, Cause: "the settings name no advice service"}
}

// NoAdviceError reports a question that was not answered.
type NoAdviceError struct {
	Step  string
	Cause string
}

// Error implements error.
func (e *NoAdviceError) Error() string { return "no advice on " + e.Step + ": " + e.Cause }
