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
	// callTimeout bounds one call; the store may take a hundred times its usual
	// 4 ms.
	callTimeout = 2 * time.Second
	// leastHedge and mostHedge bound when an append that has not been answered is
	// repeated beside the first: hedgeFactor times what answers took lately. A slow
	// store is not helped by more appends, which it carries out one by one.
	leastHedge  = 200 * time.Millisecond
	mostHedge   = callTimeout
	hedgeFactor = 2.5
	// calmAnswer is the longest time that an answer of a store takes that is not slow;
	// calmTries and slowTries are how often an append is sent at most.
	calmAnswer = 100 * time.Millisecond
	calmTries  = 3
	slowTries  = 2
	// hedgeFade is how much of the slowest answer's weight is left after each
	// faster one.
	hedgeFade = 0.8
	// retryFirst and retryMost bound the pause after a refusal.
	retryFirst = 40 * time.Millisecond
	retryMost  = 400 * time.Millisecond
)

// pace remembers how long answers took lately.
type pace struct{ slowest atomic.Int64 }

// note takes the time of an answer.
func (p *pace) note(took time.Duration) {
	p.slowest.Store(int64(max(took, time.Duration(hedgeFade*float64(p.slowest.Load())))))
}

// hedge returns how long to wait for an answer before asking again.
func (p *pace) hedge() time.Duration {
	return min(max(time.Duration(hedgeFactor*float64(p.slowest.Load())), leastHedge), mostHedge)
}

// tries returns how often an append is sent at most.
func (p *pace) tries() int {
	if time.Duration(p.slowest.Load()) > calmAnswer {
		return slowTries
	}
	return calmTries
}

// hedged makes an append that may be repeated without harm: it is sent again
// beside a first try that gets no answer, and the first answer counts.
func (p *pace) hedged(ctx context.Context, call func(ctx context.Context, try int) (uint64, error)) (uint64, error) {
	type result struct {
		end uint64
		err error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 8)
	var wg conc.WaitGroup
	defer func() { go wg.Wait() }()
	open, tries := 0, 0
	launch := func() {
		open++
		tries++
		try := tries
		wg.Go(func() {
			begun := time.Now()
			end, err := call(ctx, try)
			if err == nil {
				p.note(time.Since(begun))
			}
			results <- result{end, err}
		})
	}
	launch()
	timer := time.NewTimer(p.hedge())
	defer timer.Stop()
	unanswered := error(nil)
	for {
		select {
		case r := <-results:
			open--
			var silent *NoAnswerError
			if !errors.As(r.err, &silent) {
				if r.err != nil && isRefusal(r.err) {
					// An earlier try that was refused is of no matter; one that is open, or
					// was not answered, may still be carried out.
					if unanswered != nil {
						return 0, unanswered
					}
					if open > 0 {
						return 0, &NoAnswerError{Operation: "append", Cause: "refused on one way, open on another"}
					}
				}
				return r.end, r.err
			}
			unanswered = r.err
			if open == 0 {
				return 0, unanswered
			}
		case <-timer.C:
			if tries < p.tries() {
				launch()
				timer.Reset(2 * p.hedge())
			}
		case <-ctx.Done():
			return 0, &NoAnswerError{Operation: "append", Cause: ctx.Err().Error()}
		}
	}
}

// isRefusal reports a plain refusal, after which an earlier try that was not
// answered is still open.
func isRefusal(err error) bool {
	var refused *RefusedError
	return errors.As(err, &refused)
}

// pause waits between tries, longer with each, with jitter; it returns false
// when ctx has ended.
func pause(ctx context.Context, tries int) bool {
	d := min(retryFirst<<min(tries, 6), retryMost)
	d = d/2 + time.Duration(rand.Int64N(int64(d/2)+1))
	return jayclock.Sleep(ctx, d)
}
