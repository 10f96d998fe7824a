package jaycontroller

import (
	"context"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// follow keeps a link to the holder of the term while that is another entry.
func (h *Controller) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changed := h.termChanged.wait()
		t := h.Term()
		if t.address == "" || t.name == h.Name {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		h.carry(ctx, t)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(dialPause):
		}
	}
}

// carry opens a link to the holder and carries it until it ends.
func (h *Controller) carry(ctx context.Context, t Term) {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	l, _, err := h.endpoint.Dial(dial, t.address, &jayframe.Hello{Role: jayframe.RoleEntry, Address: h.Address, DataCentre: h.DataCentre})
	cancel()
	if err != nil {
		h.Logger.Debug().Str("event", "link").Str("peer", t.name).Err(err).Msg("cannot reach the holder of the term")
		return
	}
	h.mutex.Lock()
	if h.term.number != t.number {
		h.mutex.Unlock()
		l.Close("the term is over")
		return
	}
	h.holder = l
	h.mutex.Unlock()
	h.Logger.Info().Str("event", "link").Str("peer", l.Peer()).Uint64("term", t.number).Msg("linked to the holder of the term")
	l.Run(ctx)
	h.mutex.Lock()
	if h.holder == l {
		h.holder = nil
	}
	h.mutex.Unlock()
	h.Logger.Warn().Str("event", "link").Str("peer", l.Peer()).Err(l.Err()).Msg("link to the holder of the term ended")
}

func (h *Controller) opened(l *jaylink.Link, hello *jayframe.Hello) {
	h.mutex.Lock()
	if hello.Role == jayframe.RoleEntry {
		h.peers[l] = hello.Name
	}
	view := h.view()
	h.mutex.Unlock()
	if err := l.Send(view); err != nil {
		h.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("cannot greet")
	}
}

func (h *Controller) ended(l *jaylink.Link) {
	h.mutex.Lock()
	delete(h.peers, l)
	for node, s := range h.sides {
		if s == l {
			delete(h.sides, node)
		}
	}
	h.mutex.Unlock()
	h.Logger.Info().Str("event", "link").Str("peer", l.Peer()).Err(l.Err()).Msg("link ended")
}

// view returns what this entry knows of the term. The mutex is held.
func (h *Controller) view() *jayframe.CellView {
	v := &jayframe.CellView{Term: h.term.number, Leader: h.term.name, Address: h.term.address}
	for _, a := range h.entries {
		v.Entries = append(v.Entries, a)
	}
	return v
}

func (h *Controller) addresses() []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.view().Entries
}

// handle takes a message of a link.
func (h *Controller) handle(l *jaylink.Link, call uint64, m jayframe.Message) {
	switch m := m.(type) {
	case *jayframe.CellReport:
		h.report(l, m)
	case *jayframe.StoredRecords:
		for _, r := range m.Records {
			if len(r.Value) > 0 {
				h.jobs.apply(r.Key, r.Value)
			}
		}
	case *jayframe.CellResign:
		h.resigned(m.Term)
	case *jayframe.CellView:
		// Whether a term is this entry's own, the store alone tells.
		if m.Leader != h.Name {
			h.setTerm(Term{number: m.Term, name: m.Leader, address: m.Address})
		}
	case *jayframe.StoreRelay:
		h.tasks.Go(func() { h.serveRelay(l, call, m) })
	}
}

// resigned takes the term over from a holder that gives it up.
func (h *Controller) resigned(term uint64) {
	h.mutex.Lock()
	current := term == h.term.number && h.holder != nil
	if current {
		h.holder.Close("the holder gives up its term")
		h.holder = nil
	}
	h.mutex.Unlock()
	if current {
		h.resignedTerm.Store(term)
		Signal(h.vacant)
	}
}

// report passes a side's report to the lead, or tells the side who leads.
func (h *Controller) report(l *jaylink.Link, m *jayframe.CellReport) {
	lead := h.leading()
	if lead == nil {
		h.mutex.Lock()
		view := h.view()
		h.mutex.Unlock()
		if err := l.Send(view); err != nil {
			h.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("cannot tell a side who leads")
		}
		return
	}
	h.mutex.Lock()
	fresh := h.sides[m.Node] != l
	h.sides[m.Node] = l
	h.mutex.Unlock()
	lead.hear(l, m, fresh)
}

// side returns the link to a side, or nil.
func (h *Controller) side(node string) *jaylink.Link {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.sides[node]
}

// neighbours returns the links to other entries.
func (h *Controller) neighbours() []*jaylink.Link {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	var all []*jaylink.Link
	if h.holder != nil {
		all = append(all, h.holder)
	}
	for l := range h.peers {
		all = append(all, l)
	}
	return all
}

// spread sends a message to the entries that are linked.
func (h *Controller) spread(m jayframe.Message) {
	for _, l := range h.neighbours() {
		if err := l.Send(m); err != nil {
			h.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("cannot spread")
		}
	}
}

func (h *Controller) hasPeer() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.holder != nil || len(h.peers) > 0
}

// relay sends a request to the store through the linked entries, one after the
// other, until one is served.
func (h *Controller) relay(ctx context.Context, x jaystore.Request) (jaystore.Response, error) {
	return h.relayThrough(ctx, x, 0, nil)
}

func (h *Controller) relayThrough(ctx context.Context, x jaystore.Request, hops int, not *jaylink.Link) (jaystore.Response, error) {
	var last jaystore.Response
	var open error = &jaystore.NoAnswerError{Operation: "relay", Cause: "no peer"}
	for _, l := range h.neighbours() {
		if l == not {
			continue
		}
		call, cancel := context.WithTimeout(ctx, x.Wait+relayTimeout)
		m, err := l.Call(call, &jayframe.StoreRelay{Method: x.Method, Target: x.Target, Body: x.Body, WaitMillis: x.Wait.Milliseconds(), Hops: hops})
		cancel()
		if err != nil {
			open = &jaystore.NoAnswerError{Operation: "relay", Cause: err.Error()}
			continue
		}
		r, ok := m.(*jayframe.StoreReply)
		if !ok || r.Error != "" {
			if ok {
				open = &jaystore.NoAnswerError{Operation: "relay", Cause: r.Error}
			}
			continue
		}
		last, open = jaystore.Response{Status: r.Status, Body: r.Body}, nil
		if r.Status != statusBusy && r.Status != statusUnavailable {
			return last, nil
		}
	}
	return last, open
}

const (
	relayTimeout      = 2 * time.Second
	statusBusy        = 429
	statusUnavailable = 503
	// relayHops lets the holder pass a request on to an entry that the store serves.
	relayHops = 1
)

// serveRelay passes a peer's request on to the store.
func (h *Controller) serveRelay(l *jaylink.Link, call uint64, m *jayframe.StoreRelay) {
	x := jaystore.Request{Method: m.Method, Target: m.Target, Body: m.Body, Wait: time.Duration(m.WaitMillis) * time.Millisecond}
	ctx, cancel := context.WithTimeout(h.ctx, x.Wait+relayTimeout)
	defer cancel()
	r, err := h.StoreTransport(ctx, x)
	if m.Hops < relayHops && (err != nil || r.Status == statusUnavailable || r.Status == statusBusy) {
		if other, otherErr := h.relayThrough(ctx, x, m.Hops+1, l); otherErr == nil {
			r, err = other, nil
		}
	}
	reply := &jayframe.StoreReply{Status: r.Status, Body: r.Body}
	if err != nil {
		reply.Error = err.Error()
	}
	if err := l.Reply(call, reply); err != nil {
		h.Logger.Debug().Str("event", "relay").Str("peer", l.Peer()).Err(err).Msg("cannot answer a relayed request")
	}
}
