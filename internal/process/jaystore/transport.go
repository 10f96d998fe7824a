package jaystore

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

// Exchange is one request to the store as it stands on the wire. Peers pass it
// on without reading it.
type Request struct {
	Method string
	Target string
	Body   []byte
	// Wait is how long the store may hold the request back.
	Wait time.Duration
	// Try is that of an Append: each goes one way only.
	Try int
}

// Reply is the store's answer to an Exchange.
type Response struct {
	Status int
	Body   []byte
}

const (
	// directRest is how long a process goes through a peer after the store has not
	// served it, before it tries the straight way again.
	directRest = 1200 * time.Millisecond
	// otherAfter is when the other way is tried at the earliest beside one that has
	// not answered; a slow store is given hedgeFactor times what it took lately.
	otherAfter = 500 * time.Millisecond

	statusBusy        = 429
	statusUnavailable = 503
)

// Path chooses the way to the store: straight, or through a peer while the
// store does not serve this process. Its fields are set before use.
type Transport struct {
	// Direct sends one request straight to the store.
	Direct func(ctx context.Context, x Request) (Response, error)
	// Relay sends it through a peer; it returns a NoAnswerError when none is there.
	Relay func(ctx context.Context, x Request) (Response, error)
	// HasPeer reports whether a peer stands ready.
	HasPeer func() bool
	// Turned is called when the way changes.
	OnRouteChange func(throughPeer bool, cause string)

	pace      pace
	restUntil atomic.Int64
	relayed   atomic.Bool
	// served and failed are when the store last served a request and last did not,
	// whichever way the request went.
	served atomic.Int64
	failed atomic.Int64
}

// Metrics of the calls to the store; reads that wait for news are not timed.
var (
	callSeconds = metrics.NewHistogram("jaystile_store_call_seconds")
	callsServed = metrics.NewCounter(`jaystile_store_calls_total{outcome="served"}`)
	callsFailed = metrics.NewCounter(`jaystile_store_calls_total{outcome="failed"}`)
)

// Down reports whether the store has served nothing since a request failed, and
// for how long.
func (p *Transport) Outage() (time.Duration, bool) {
	served, failed := time.Duration(p.served.Load()), time.Duration(p.failed.Load())
	if failed <= served {
		return 0, false
	}
	return jayclock.Elapsed() - served, true
}

func (p *Transport) note(r Response, err error) {
	now := int64(jayclock.Elapsed())
	if err == nil && !unserved(r.Status) {
		p.served.Store(now)
		callsServed.Inc()
		return
	}
	p.failed.Store(now)
	callsFailed.Inc()
}

// Do sends a request. A request that may be open on one way is sent on the other
// too, unless its tries are counted and go one way each: everything that this product
// sends may be repeated. A refusal on one way is not returned while a try on the
// other is open.
func (p *Transport) Do(ctx context.Context, x Request) (Response, error) {
	begun := time.Now()
	r, err := p.choose(ctx, x)
	if x.Wait == 0 {
		callSeconds.UpdateDuration(begun)
		if err == nil && !unserved(r.Status) {
			p.pace.note(time.Since(begun))
		}
	}
	// A caller that has stopped waiting says nothing of the store.
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		p.note(r, err)
	}
	return r, err
}

func (p *Transport) choose(ctx context.Context, x Request) (Response, error) {
	if !p.HasPeer() {
		return p.Direct(ctx, x)
	}
	first, second := way(p.tryDirect), way(p.Relay)
	if jayclock.Elapsed() < time.Duration(p.restUntil.Load()) {
		first, second = second, first
	}
	switch {
	case x.Try == 0:
		return p.both(ctx, x, first, second)
	case x.Try%2 == 1:
		return first(ctx, x)
	}
	return second(ctx, x)
}

type way func(ctx context.Context, x Request) (Response, error)

// both sends on the first way, and on the second too when the first has refused,
// failed or not answered in time. The first answer of a store that serves counts;
// the other way's try goes on to its end, since a slow answer is still one.
func (p *Transport) both(ctx context.Context, x Request, first, second way) (Response, error) {
	type result struct {
		reply Response
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	send := func(w way) {
		go func() {
			r, err := w(ctx, x)
			results <- result{r, err}
		}()
	}
	send(first)
	open, next := 1, second
	timer := time.NewTimer(max(otherAfter, p.pace.hedge()) + x.Wait)
	defer timer.Stop()
	var refusal result
	var silent error
	for {
		select {
		case r := <-results:
			open--
			switch {
			case r.err == nil && !unserved(r.reply.Status):
				return r.reply, nil
			case r.err != nil:
				silent = r.err
			default:
				refusal = r
			}
			if next != nil && ctx.Err() == nil {
				send(next)
				open, next = open+1, nil
			}
			if open == 0 && silent != nil {
				return Response{}, silent
			}
			if open == 0 {
				return refusal.reply, nil
			}
		case <-timer.C:
			if next != nil {
				send(next)
				open, next = open+1, nil
			}
		}
	}
}

// tryDirect goes straight and notes whether that way serves.
func (p *Transport) tryDirect(ctx context.Context, x Request) (Response, error) {
	r, err := p.Direct(ctx, x)
	switch {
	case err != nil && ctx.Err() != nil:
		// Nobody waits any more; the other way was faster.
		p.rest("slower than a peer")
	case err != nil:
		p.rest(err.Error())
	case unserved(r.Status):
		p.rest("refused")
	default:
		p.restUntil.Store(0)
		p.turn(false, "")
	}
	return r, err
}

func (p *Transport) rest(cause string) {
	p.restUntil.Store(int64(jayclock.Elapsed() + directRest))
	p.turn(true, cause)
}

func (p *Transport) turn(throughPeer bool, cause string) {
	if p.relayed.Swap(throughPeer) != throughPeer && p.OnRouteChange != nil {
		p.OnRouteChange(throughPeer, cause)
	}
}

func unserved(status int) bool { return status == statusBusy || status == statusUnavailable }
