package jaystore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const (
	// callTimeout bounds one call. A store under load may take a hundred times its
	// usual 4 ms.
	callTimeout = 2 * time.Second
	// An append that has not been answered is hedged with a second one after
	// hedgeFactor times the recent latency, within these bounds. A slow store runs
	// appends one by one, so that more of them would slow it down further.
	minHedgeDelay = 200 * time.Millisecond
	maxHedgeDelay = callTimeout
	hedgeFactor   = 2.5
	// A recent latency above slowThreshold reduces the tries of an append to
	// maxTriesWhenSlow.
	slowThreshold    = 100 * time.Millisecond
	maxTriesWhenSlow = 2
	// After quickTries tries without an answer the store is likely to be away. The append
	// is then sent every outageRetryDelay, since calls from before the end of an outage get
	// no answer.
	quickTries       = 3
	outageRetryDelay = 400 * time.Millisecond
	// latencyDecay multiplies the recent maximum latency at each faster answer.
	latencyDecay = 0.8
	// minRetryDelay and maxRetryDelay bound the backoff after a refusal.
	minRetryDelay = 40 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// latencyTracker keeps a decaying maximum of the latency of answers.
type latencyTracker struct {
	recentMax atomic.Int64
	// minDelay returns the shortest hedge delay, if it is longer than minHedgeDelay; it may
	// be nil.
	minDelay func() time.Duration
}

// observe records the latency of one answer.
func (l *latencyTracker) observe(latency time.Duration) {
	l.recentMax.Store(int64(max(latency, time.Duration(latencyDecay*float64(l.recentMax.Load())))))
}

// hedgeDelay returns how long to wait for an answer before sending another try.
func (l *latencyTracker) hedgeDelay() time.Duration {
	shortest := minHedgeDelay
	if l.minDelay != nil {
		shortest = max(shortest, l.minDelay())
	}
	return min(max(time.Duration(hedgeFactor*float64(l.recentMax.Load())), shortest), maxHedgeDelay)
}

// mayTryAgain reports whether an append that has been sent some times may be sent again.
func (l *latencyTracker) mayTryAgain(tries int) bool {
	return time.Duration(l.recentMax.Load()) <= slowThreshold || tries < maxTriesWhenSlow
}

// retryDelay returns how long to wait for an answer after the latest of several tries.
func (l *latencyTracker) retryDelay(tries int) time.Duration {
	if tries < quickTries {
		return 2 * l.hedgeDelay()
	}
	return outageRetryDelay
}

// hedgedAppend makes an idempotent append. When a try gets no answer in time,
// another one is sent in parallel; the first answer counts.
func (l *latencyTracker) hedgedAppend(ctx context.Context, call func(ctx context.Context, try int) (uint64, error)) (uint64, error) {
	type result struct {
		end uint64
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result)
	var wg conc.WaitGroup
	defer func() { go wg.Wait() }()
	pending, tries := 0, 0
	launch := func() {
		pending++
		tries++
		try := tries
		wg.Go(func() {
			start := time.Now()
			end, err := call(ctx, try)
			if err == nil {
				l.observe(time.Since(start))
			}
			select {
			case results <- result{end, err}:
			case <-ctx.Done():
			}
		})
	}
	launch()
	timer := time.NewTimer(l.hedgeDelay())
	defer timer.Stop()
	unanswered := error(nil)
	for {
		select {
		case r := <-results:
			pending--
			var noAnswer *NoAnswerError
			if !errors.As(r.err, &noAnswer) {
				if r.err != nil && isRefusal(r.err) {
					// A try that is still pending or was not answered may yet take effect, so
					// this refusal does not prove that the record is not stored.
					if unanswered != nil {
						return 0, unanswered
					}
					if pending > 0 {
						// Callers may get this text in a refusal, so it must not change. Its ways are
						// routes to the store.
						return 0, &NoAnswerError{Operation: "append", Cause: "refused on one way, open on another"}
					}
				}
				return r.end, r.err
			}
			unanswered = r.err
			if pending == 0 {
				return 0, unanswered
			}
		case <-timer.C:
			if l.mayTryAgain(tries) {
				launch()
				timer.Reset(l.retryDelay(tries))
			}
		case <-ctx.Done():
			return 0, &NoAnswerError{Operation: "append", Cause: ctx.Err().Error()}
		}
	}
}

// isRefusal reports whether the store refused the call without acting. This says
// nothing about earlier tries that were not answered.
func isRefusal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// sleepBackoff waits between tries with exponential backoff and jitter. It returns
// false when ctx has ended.
func sleepBackoff(ctx context.Context, tries int) bool {
	d := min(minRetryDelay<<min(tries, 6), maxRetryDelay)
	d = d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
	return jayclock.Sleep(ctx, d)
}
