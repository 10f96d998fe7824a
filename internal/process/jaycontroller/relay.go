package jaycontroller

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

const (
	// relayTimeout bounds a relayed request, in addition to the time that the store may
	// wait for new records.
	relayTimeout = 2 * time.Second
	// relayHops allows the leader to forward a relayed request to another entry that
	// reaches the store.
	relayHops = 1
	// maxRelays bounds the entries that are asked to relay one request, so that an outage
	// of the store does not multiply the calls to it.
	maxRelays = 3
)

// relayHistory remembers by entry whether its last relayed request reached the store.
type relayHistory struct {
	mutex    sync.Mutex
	outcomes map[string]relayOutcome
}

type relayOutcome struct {
	served bool
	at     time.Duration
}

func newRelayHistory() *relayHistory { return &relayHistory{outcomes: map[string]relayOutcome{}} }

func (h *relayHistory) record(entry string, served bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.outcomes[entry] = relayOutcome{served: served, at: jayclock.Elapsed()}
}

func (h *relayHistory) forget(entry string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.outcomes, entry)
}

// rank sorts links by the entries that they lead to: those that served last, the latest
// first, then unknown ones, then those that did not serve, the one that failed longest ago
// first.
func (h *relayHistory) rank(links []*jaylink.Link) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	slices.SortStableFunc(links, func(a, b *jaylink.Link) int {
		return compareOutcomes(h.outcomes[a.Peer()], h.outcomes[b.Peer()])
	})
}

func compareOutcomes(a, b relayOutcome) int {
	if a.served != b.served {
		if a.served {
			return -1
		}
		return 1
	}
	if a.served {
		return cmp.Compare(b.at, a.at)
	}
	// An unknown entry has never failed.
	return cmp.Compare(a.at, b.at)
}

// relay sends a request to the store through linked entries.
func (c *Controller) relay(ctx context.Context, req jaystore.Request) (jaystore.Response, error) {
	return c.relayThrough(ctx, req, 0, nil)
}

// relayThrough is relay for a request that has been relayed hops times; the link that
// it came from is skipped. Without a reply of the store it returns an error.
func (c *Controller) relayThrough(ctx context.Context, req jaystore.Request, hops int, from *jaylink.Link) (jaystore.Response, error) {
	links := slices.DeleteFunc(c.linkedEntries(), func(l *jaylink.Link) bool { return l == from })
	if len(links) == 0 {
		return jaystore.Response{}, &jaystore.NoAnswerError{Operation: "relay", Cause: "no peer"}
	}
	c.relays.rank(links)
	var routes []jaystore.Route
	for _, l := range links[:min(len(links), maxRelays)] {
		routes = append(routes, func(ctx context.Context, req jaystore.Request) (jaystore.Response, error) {
			return c.relayOver(ctx, l, req, hops)
		})
	}
	return jaystore.Failover(ctx, req, c.storeTransport.HedgeDelay(), routes...)
}

// relayOver sends a request through one entry and records whether that reached the store.
func (c *Controller) relayOver(ctx context.Context, l *jaylink.Link, req jaystore.Request, hops int) (jaystore.Response, error) {
	start := jayclock.Elapsed()
	call, cancel := context.WithTimeout(ctx, req.Wait+relayTimeout)
	defer cancel()
	m, err := l.Call(call, &jayframe.StoreRelay{Method: req.Method, Target: req.Target, Body: req.Body, WaitMillis: req.Wait.Milliseconds(), Hops: hops})
	reply, ok := m.(*jayframe.StoreReply)
	switch {
	case err != nil:
		err = &jaystore.NoAnswerError{Operation: "relay", Cause: err.Error()}
	case !ok:
		err = &jaystore.NoAnswerError{Operation: "relay", Cause: "unexpected reply of " + l.Peer()}
	case reply.Error != "":
		err = &jaystore.NoAnswerError{Operation: "relay", Cause: reply.Error}
	}
	if err != nil {
		// A call that another route has overtaken before it was late says nothing.
		late := jayclock.Elapsed()-start >= req.Wait+c.storeTransport.HedgeDelay()
		if late || !errors.Is(ctx.Err(), context.Canceled) {
			c.relays.record(l.Peer(), false)
		}
		return jaystore.Response{}, err
	}
	response := jaystore.Response{Status: reply.Status, Body: reply.Body}
	c.relays.record(l.Peer(), !response.Unavailable())
	return response, nil
}

// serveRelay forwards a peer's request to the store, through a third entry if this one
// does not reach it, and answers with the reply.
func (c *Controller) serveRelay(l *jaylink.Link, call uint64, m *jayframe.StoreRelay) {
	req := jaystore.Request{Method: m.Method, Target: m.Target, Body: m.Body, Wait: time.Duration(m.WaitMillis) * time.Millisecond}
	ctx, cancel := context.WithTimeout(c.ctx, req.Wait+relayTimeout)
	defer cancel()
	// Without a way to the store, relayed requests of all entries would pile up here.
	if down, ok := c.storeTransport.Outage(); ok && down > storeDownThreshold {
		c.replyToRelay(l, call, &jayframe.StoreReply{Status: jaystore.StatusUnavailable})
		return
	}
	send := c.CallStore
	if m.Hops < relayHops {
		send = func(ctx context.Context, req jaystore.Request) (jaystore.Response, error) {
			return c.storeTransport.Forward(ctx, req, func(ctx context.Context, req jaystore.Request) (jaystore.Response, error) {
				return c.relayThrough(ctx, req, m.Hops+1, l)
			})
		}
	}
	r, err := send(ctx, req)
	reply := &jayframe.StoreReply{Status: r.Status, Body: r.Body}
	if err != nil {
		reply.Error = err.Error()
	}
	c.replyToRelay(l, call, reply)
}

func (c *Controller) replyToRelay(l *jaylink.Link, call uint64, reply *jayframe.StoreReply) {
	if err := l.Reply(call, reply); err != nil {
		c.Logger.Debug().Str("event", "relay").Str("peer", l.Peer()).Err(err).Msg("cannot answer a relayed request")
	}
}
