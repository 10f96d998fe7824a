package jaycontroller

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const (
	// viewTimeout is how long another entry may take to tell the term that it knows.
	viewTimeout = 200 * time.Millisecond
	// informInterval is the time between two announcements of a leader's term to entries that
	// do not follow it, and maxInformed to how many of them each goes.
	informInterval = 250 * time.Millisecond
	maxInformed    = 4
)

// followLeader keeps a link to the leader while that is another entry. Whenever it cannot
// reach the leader, it asks the next other entry for a newer term: an entry that does not
// reach the store learns of one in no other way.
func (c *Controller) followLeader(ctx context.Context) {
	for asked := 0; ctx.Err() == nil; {
		changed := c.termChanged.changed()
		t := c.Term()
		if t.address == "" || t.leader == c.Name {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		if !c.serveLeaderLink(ctx, t) {
			c.askForTerm(ctx, asked, changed)
			asked++
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(redialDelay):
		}
	}
}

// askForTerm exchanges views with the n-th other entry, in turn.
func (c *Controller) askForTerm(ctx context.Context, n int, changed <-chan struct{}) {
	if others := c.otherEntries(); len(others) > 0 {
		c.exchangeViews(ctx, others[n%len(others)], changed)
	}
}

// exchangeViews opens a link to another entry: each announces the newest term that it knows.
// It returns when the term has changed or after viewTimeout.
func (c *Controller) exchangeViews(ctx context.Context, address string, changed <-chan struct{}) {
	exchange, cancel := context.WithTimeout(ctx, viewTimeout)
	defer cancel()
	l, err := c.dialEntry(exchange, address, jayframe.RoleObserver)
	if err != nil {
		c.Logger.Debug().Str("event", "link").Str("address", address).Err(err).Msg("cannot exchange views of the term with another entry")
		return
	}
	c.sendView(l)
	c.tasks.Go(func() {
		select {
		case <-exchange.Done():
		case <-changed:
		}
		l.Close("the views of the term have been exchanged")
	})
	l.Run(exchange)
}

// informEntries announces the term to the entries that do not follow this leader. One that
// does not reach the store, such as an earlier leader, may learn of it in no other way.
func (l *leadership) informEntries(ctx context.Context) {
	c := l.controller
	for n := 0; jayclock.Sleep(ctx, informInterval); {
		// A leader that may have a successor itself must not win back entries.
		if age, complete := c.cellTail.CompleteAge(); !complete || age >= isolationTimeout {
			continue
		}
		addresses := c.unlinkedEntries()
		var wg jayassert.Group
		for range min(maxInformed, len(addresses)) {
			address := addresses[n%len(addresses)]
			n++
			wg.Go(func() { c.exchangeViews(ctx, address, l.done) })
		}
		wg.Wait()
	}
}

// unlinkedEntries returns the sorted addresses of the other known entries that have no link to
// this one, as followers have.
func (c *Controller) unlinkedEntries() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	linked := map[string]bool{c.Name: true}
	for _, f := range c.peers {
		linked[f.name] = true
	}
	var all []string
	for name, address := range c.entryAddresses {
		if !linked[name] {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}

// otherEntries returns the sorted addresses of the known entries other than this one and
// the leader.
func (c *Controller) otherEntries() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []string
	for name, address := range c.entryAddresses {
		if name != c.Name && name != c.term.leader {
			all = append(all, address)
		}
	}
	slices.Sort(all)
	return all
}

// serveLeaderLink opens a link to the leader and serves it until it ends. It returns
// whether there was one.
func (c *Controller) serveLeaderLink(ctx context.Context, t Term) bool {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	l, err := c.dialEntry(dial, t.address, jayframe.RoleEntry)
	cancel()
	if err != nil {
		c.Logger.Debug().Str("event", "link").Str("peer", t.leader).Err(err).Msg("cannot reach the leader")
		if errors.Is(err, syscall.ECONNREFUSED) {
			c.mutex.Lock()
			c.refusedTerm = max(c.refusedTerm, t.number)
			c.mutex.Unlock()
		}
		return false
	}
	c.mutex.Lock()
	if c.term.number != t.number {
		c.mutex.Unlock()
		l.Close("a newer term has begun")
		return true
	}
	c.leaderLink, c.linkedTerm = l, t.number
	c.mutex.Unlock()
	c.Logger.Info().Str("event", "link").Str("peer", l.Peer()).Uint64("term", t.number).Msg("linked to the leader")
	l.Run(ctx)
	c.mutex.Lock()
	if c.leaderLink == l {
		c.leaderLink = nil
	}
	c.mutex.Unlock()
	c.Logger.Warn().Str("event", "link").Str("peer", l.Peer()).Err(l.Err()).Msg("link to the leader ended")
	return true
}

func (c *Controller) dialEntry(ctx context.Context, address string, role jayframe.Role) (*jaylink.Link, error) {
	l, _, err := c.endpoint.Dial(ctx, address, &jayframe.Hello{Role: role, Address: c.Address, DataCentre: c.DataCentre})
	return l, err
}

// linkOpened sends the newest term and the known entries to a new peer.
func (c *Controller) linkOpened(l *jaylink.Link, hello *jayframe.Hello) {
	c.mutex.Lock()
	if hello.Role == jayframe.RoleEntry {
		c.peers[l] = &follower{name: hello.Name, elector: electorID(hello.Address, hello.Incarnation)}
		if c.leadership != nil {
			c.leadership.entryLinked.Store(true)
		}
	}
	c.lastLink++
	c.linkNumbers[l] = c.lastLink
	c.mutex.Unlock()
	c.sendView(l)
}

// sendView announces the newest term and the known entries.
func (c *Controller) sendView(l *jaylink.Link) {
	c.mutex.Lock()
	view := c.cellView()
	c.mutex.Unlock()
	if err := l.Send(view); err != nil {
		c.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("cannot send the newest term")
	}
}

func (c *Controller) linkClosed(l *jaylink.Link) {
	c.mutex.Lock()
	if f := c.peers[l]; f != nil {
		c.relays.forget(f.name)
	}
	delete(c.peers, l)
	delete(c.linkNumbers, l)
	for node, link := range c.agents {
		if link == l {
			delete(c.agents, node)
		}
	}
	c.mutex.Unlock()
	c.Logger.Info().Str("event", "link").Str("peer", l.Peer()).Err(l.Err()).Msg("link ended")
}

// cellView returns the newest term and the addresses of all known entries. The mutex
// is held.
func (c *Controller) cellView() *jayframe.CellView {
	v := &jayframe.CellView{Term: c.term.number, Leader: c.term.leader, Address: c.term.address}
	for _, a := range c.entryAddresses {
		v.Entries = append(v.Entries, a)
	}
	return v
}

func (c *Controller) knownEntries() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.cellView().Entries
}

// handleMessage handles a message received on a link.
func (c *Controller) handleMessage(l *jaylink.Link, call uint64, m jayframe.Message) {
	switch m := m.(type) {
	case *jayframe.CellReport:
		c.handleReport(l, m)
	case *jayframe.StoredRecords:
		for _, r := range m.Records {
			if len(r.Value) > 0 {
				c.jobs.applyCopy(r.Key, r.Value)
			}
		}
	case *jayframe.CellResign:
		c.handleResignation(m.Term)
	case *jayframe.CellView:
		// Only the store can tell this entry that it leads.
		if m.Leader != c.Name {
			c.setTerm(Term{number: m.Term, leader: m.Leader, address: m.Address})
		}
	case *jayframe.CellAsk:
		c.answerWhomItFollows(l, m)
	case *jayframe.CellFollow:
		c.recordAnswer(l, m)
	case *jayframe.CellAccount:
		c.keepAccount(m)
	case *jayframe.PutRecords:
		c.tasks.Go(func() { c.servePut(l, call, m) })
	case *jayframe.StoreRelay:
		c.tasks.Go(func() { c.serveRelay(l, call, m) })
	}
}

// handleResignation remembers that the leader of a term has resigned. If the term lasts, it
// closes the link to its leader and starts an election.
func (c *Controller) handleResignation(term uint64) {
	c.mutex.Lock()
	if term > c.resignedTerm.Load() {
		c.resignedTerm.Store(term)
	}
	current := term == c.term.number
	if current && c.leaderLink != nil {
		c.leaderLink.Close("the leader has resigned")
		c.leaderLink = nil
	}
	c.mutex.Unlock()
	if current {
		Signal(c.leaderResigned)
	}
}

// handleReport applies an agent's report, or answers who leads when this entry does
// not.
func (c *Controller) handleReport(l *jaylink.Link, m *jayframe.CellReport) {
	leadership := c.currentLeadership()
	if leadership == nil {
		c.sendView(l)
		return
	}
	c.mutex.Lock()
	number := c.linkNumbers[l]
	if c.linkNumbers[c.agents[m.Node]] <= number {
		c.agents[m.Node] = l
	}
	c.mutex.Unlock()
	leadership.receiveReport(receivedReport{link: l, message: m, connection: number})
}

// agentLink returns the link to a node's agent, or nil.
func (c *Controller) agentLink(node string) *jaylink.Link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.agents[node]
}

// linkedEntries returns the links to other entries.
func (c *Controller) linkedEntries() []*jaylink.Link {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []*jaylink.Link
	if c.leaderLink != nil {
		all = append(all, c.leaderLink)
	}
	for l := range c.peers {
		all = append(all, l)
	}
	return all
}

// broadcast sends a message to all linked entries.
func (c *Controller) broadcast(m jayframe.Message) {
	for _, l := range c.linkedEntries() {
		if err := l.Send(m); err != nil {
			c.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("cannot send a broadcast message")
		}
	}
}

func (c *Controller) hasPeer() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.leaderLink != nil || len(c.peers) > 0
}
