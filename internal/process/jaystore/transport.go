package jaystore

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

// Request is a request to the store in its wire form. Peers forward it without
// decoding it.
type Request struct {
	Method string
	Target string
	Body   []byte
	// Wait is how long the store may wait for new records before it answers.
	Wait time.Duration
	// Try is that of the Append: zero may use both routes, odd and even ones use one
	// route each.
	Try int
}

// Response is the store's answer to a Request.
type Response struct {
	Status int
	Body   []byte
}

const (
	// directCooldown is how long requests go through a peer after a direct one
	// failed, before the direct route is tried first again.
	directCooldown = 1200 * time.Millisecond
	// minFailoverDelay is the minimum delay before the second route is tried while
	// the first has not answered; for a slow store the hedge delay is longer.
	minFailoverDelay = 500 * time.Millisecond

	statusBusy        = 429
	statusUnavailable = 503
)

// Transport sends requests to the store, either directly or through a peer while
// the store does not serve this process. Its fields are set before use.
type Transport struct {
	// Direct sends a request to the store itself.
	Direct func(ctx context.Context, request Request) (Response, error)
	// Relay sends a request through a peer; without a peer it returns a NoAnswerError.
	Relay func(ctx context.Context, request Request) (Response, error)
	// HasPeer reports whether a peer is connected.
	HasPeer func() bool
	// OnRouteChange is called when the preferred route changes.
	OnRouteChange func(throughPeer bool, cause string)

	latency       latencyTracker
	cooldownUntil atomic.Int64
	throughPeer   atomic.Bool
	// lastSuccess and lastFailure are when the store last served a request and when
	// a request last failed, over either route.
	lastSuccess atomic.Int64
	lastFailure atomic.Int64
}

// Metrics of the calls to the store; reads that wait for new records are not timed.
var (
	callSeconds = metrics.NewHistogram("jaystile_store_call_seconds")
	callsServed = metrics.NewCounter(`jaystile_store_calls_total{outcome="served"}`)
	callsFailed = metrics.NewCounter(`jaystile_store_calls_total{outcome="failed"}`)
)

// Outage reports whether requests have failed and none has succeeded since, and how
// long ago the last one succeeded.
func (t *Transport) Outage() (time.Duration, bool) {
	served, failed := time.Duration(t.lastSuccess.Load()), time.Duration(t.lastFailure.Load())
	if failed <= served {
		return 0, false
	}
	return jayclock.Elapsed() - served, true
}

func (t *Transport) recordResult(r Response, err error) {
	now := int64(jayclock.Elapsed())
	if err == nil && !isUnavailable(r.Status) {
		t.lastSuccess.Store(now)
		callsServed.Inc()
		return
	}
	t.lastFailure.Store(now)
	callsFailed.Inc()
}

// Do sends a request. When it fails or gets no answer over one route, it is sent over
// the other too, since all requests are idempotent; a request with a Try uses one route
// only. A refusal over one route is not returned while the other is unanswered.
func (t *Transport) Do(ctx context.Context, request Request) (Response, error) {
	start := time.Now()
	r, err := t.send(ctx, request)
	if request.Wait == 0 {
		callSeconds.UpdateDuration(start)
		if err == nil && !isUnavailable(r.Status) {
			t.latency.observe(time.Since(start))
		}
	}
	// A call that its caller canceled says nothing about the store.
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		t.recordResult(r, err)
	}
	return r, err
}

func (t *Transport) send(ctx context.Context, request Request) (Response, error) {
	if !t.HasPeer() {
		return t.Direct(ctx, request)
	}
	first, second := route(t.sendDirect), route(t.Relay)
	if jayclock.Elapsed() < time.Duration(t.cooldownUntil.Load()) {
		first, second = second, first
	}
	switch {
	case request.Try == 0:
		return t.sendWithFailover(ctx, request, first, second)
	case request.Try%2 == 1:
		return first(ctx, request)
	}
	return second(ctx, request)
}

// route sends a request directly or through a peer.
type route func(ctx context.Context, request Request) (Response, error)

// sendWithFailover sends over the first route, and over the second too when the
// first was refused, failed or has not answered in time. The first answer other than
// a refusal counts; a late one on the first route counts as well.
func (t *Transport) sendWithFailover(ctx context.Context, request Request, first, second route) (Response, error) {
	type result struct {
		response Response
		err      error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 2)
	send := func(via route) {
		go func() {
			r, err := via(ctx, request)
			results <- result{r, err}
		}()
	}
	send(first)
	pending, next := 1, second
	timer := time.NewTimer(max(minFailoverDelay, t.latency.hedgeDelay()) + request.Wait)
	defer timer.Stop()
	var refusal result
	var noAnswer error
	for {
		select {
		case r := <-results:
			pending--
			switch {
			case r.err == nil && !isUnavailable(r.response.Status):
				return r.response, nil
			case r.err != nil:
				noAnswer = r.err
			default:
				refusal = r
			}
			if next != nil && ctx.Err() == nil {
				send(next)
				pending, next = pending+1, nil
			}
			if pending == 0 && noAnswer != nil {
				return Response{}, noAnswer
			}
			if pending == 0 {
				return refusal.response, nil
			}
		case <-timer.C:
			if next != nil {
				send(next)
				pending, next = pending+1, nil
			}
		}
	}
}

// sendDirect sends directly and records whether that route works.
func (t *Transport) sendDirect(ctx context.Context, request Request) (Response, error) {
	r, err := t.Direct(ctx, request)
	switch {
	case err != nil && ctx.Err() != nil:
		// The caller has stopped waiting: the other route was faster.
		t.avoidDirect("slower than a peer")
	case err != nil:
		t.avoidDirect(err.Error())
	case isUnavailable(r.Status):
		t.avoidDirect("refused")
	default:
		t.cooldownUntil.Store(0)
		t.setRoute(false, "")
	}
	return r, err
}

func (t *Transport) avoidDirect(cause string) {
	t.cooldownUntil.Store(int64(jayclock.Elapsed() + directCooldown))
	t.setRoute(true, cause)
}

func (t *Transport) setRoute(throughPeer bool, cause string) {
	if t.throughPeer.Swap(throughPeer) != throughPeer && t.OnRouteChange != nil {
		t.OnRouteChange(throughPeer, cause)
	}
}

func isUnavailable(status int) bool { return status == statusBusy || status == statusUnavailable }
