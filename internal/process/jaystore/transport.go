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

// Unavailable reports that the store, or the route to it, refused the request without
// acting on it.
func (r Response) Unavailable() bool { return r.Status == statusBusy || r.Status == StatusUnavailable }

const (
	// directCooldown is how long requests go through a peer after a direct one
	// failed, before the direct route is tried first again.
	directCooldown = 1200 * time.Millisecond
	// minFailoverDelay is the minimum delay before the second route is tried while
	// the first has not answered; for a slow store the hedge delay is longer.
	minFailoverDelay = 500 * time.Millisecond

	statusBusy = 429
	// StatusUnavailable is the status of a request on which nothing was done.
	StatusUnavailable = 503
)

// Route is a way to send a request to the store.
type Route func(ctx context.Context, request Request) (Response, error)

// Transport sends requests to the store, either directly or through a peer while
// the store does not serve this process. Its fields are set before use.
type Transport struct {
	// Direct sends a request to the store itself.
	Direct Route
	// Relay sends a request through a peer; without a peer it returns a NoAnswerError.
	Relay Route
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
	served, failed := t.ServedAt(), time.Duration(t.lastFailure.Load())
	if failed <= served {
		return 0, false
	}
	return jayclock.Elapsed() - served, true
}

// ServedAt returns when the store last served a request, over either route.
func (t *Transport) ServedAt() time.Duration { return time.Duration(t.lastSuccess.Load()) }

func (t *Transport) recordResult(r Response, err error) {
	now := int64(jayclock.Elapsed())
	if err == nil && !r.Unavailable() {
		t.lastSuccess.Store(now)
		callsServed.Inc()
		return
	}
	t.lastFailure.Store(now)
	callsFailed.Inc()
}

// HedgeDelay returns how long a route may take to answer, longer for a slow store, before
// another one is worth trying.
func (t *Transport) HedgeDelay() time.Duration { return t.latency.hedgeDelay() }

// Do sends a request. When it fails or gets no answer over one route, it is sent over
// the other too, since all requests are idempotent; a request with a Try uses one route
// only. A refusal over one route is not returned while the other is unanswered.
func (t *Transport) Do(ctx context.Context, request Request) (Response, error) {
	start := time.Now()
	r, err := t.send(ctx, request, t.Relay)
	if request.Wait == 0 {
		callSeconds.UpdateDuration(start)
	}
	// A call that its caller canceled says nothing about the store.
	if err == nil || !errors.Is(ctx.Err(), context.Canceled) {
		t.recordResult(r, err)
	}
	return r, err
}

// Forward sends a request on behalf of a peer, like Do, but with another relay: the peer
// itself must not get it back.
func (t *Transport) Forward(ctx context.Context, request Request, relay Route) (Response, error) {
	return t.send(ctx, request, relay)
}

func (t *Transport) send(ctx context.Context, request Request, relay Route) (Response, error) {
	if !t.HasPeer() {
		return t.timed(t.Direct)(ctx, request)
	}
	first, second := t.timed(t.sendDirect), t.timed(relay)
	if jayclock.Elapsed() < time.Duration(t.cooldownUntil.Load()) {
		first, second = second, first
	}
	switch {
	case request.Try == 0:
		return Failover(ctx, request, max(minFailoverDelay, t.HedgeDelay()), first, second)
	case request.Try%2 == 1:
		return first(ctx, request)
	}
	return second(ctx, request)
}

// timed records how long the answers of a route take.
func (t *Transport) timed(r Route) Route {
	return func(ctx context.Context, request Request) (Response, error) {
		start := time.Now()
		response, err := r(ctx, request)
		if request.Wait == 0 && err == nil && !response.Unavailable() {
			t.latency.observe(time.Since(start))
		}
		return response, err
	}
}

// Failover sends an idempotent request over the first route, and over each next one when
// one has failed or refused, or when none has answered for delay beyond the request's
// Wait. The first answer other than a refusal counts, over whichever route it comes. A
// refusal is not returned if a route gave no answer: the request may yet be executed.
func Failover(ctx context.Context, request Request, delay time.Duration, routes ...Route) (Response, error) {
	type result struct {
		response Response
		err      error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, len(routes))
	pending := 0
	timer := time.NewTimer(delay + request.Wait)
	defer timer.Stop()
	sendNext := func() {
		if len(routes) == 0 {
			return
		}
		via := routes[0]
		routes = routes[1:]
		pending++
		timer.Reset(delay + request.Wait)
		go func() {
			r, err := via(ctx, request)
			results <- result{r, err}
		}()
	}
	var refusal result
	var noAnswer error
	for sendNext(); pending > 0; {
		select {
		case r := <-results:
			pending--
			switch {
			case r.err == nil && !r.response.Unavailable():
				return r.response, nil
			case r.err != nil:
				noAnswer = r.err
			default:
				refusal = r
			}
		case <-timer.C:
		}
		if ctx.Err() == nil {
			sendNext()
		}
	}
	if noAnswer != nil {
		return Response{}, noAnswer
	}
	return refusal.response, nil
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
	case r.Unavailable():
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
