package jayagent

import (
	"context"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayreservation"
)

// coordinatorIdleTimeout is how long a link to a coordinator stays open after its last
// member has ended.
const coordinatorIdleTimeout = 2 * time.Second

// coordinatorLink is the link to a remote coordinator of gangs with members on this
// agent.
type coordinatorLink struct {
	address string
	link    *jaylink.Link
	dialing bool
	members map[jayreservation.Key]bool
	// idleSince is when the last member ended.
	idleSince time.Duration
}

// joinCoordinator reports to a member's coordinator that the member has its
// reservation. It retries until the coordinator has replied or the member has ended.
func (a *Agent) joinCoordinator(m *member) {
	c := a.coordinators[m.request.Coordinator]
	if c == nil {
		c = &coordinatorLink{address: m.request.Coordinator, members: map[jayreservation.Key]bool{}}
		a.coordinators[m.request.Coordinator] = c
	}
	c.members[m.key] = true
	m.lastContact = a.now()
	a.work.Spawn(func() { a.joinWithRetry(c, m) })
}

func (a *Agent) joinWithRetry(c *coordinatorLink, m *member) {
	for {
		a.mutex.Lock()
		ended := m.ended
		a.mutex.Unlock()
		if ended {
			return
		}
		if a.tryJoin(c, m) {
			return
		}
		time.Sleep(joinRetryDelay)
	}
}

// tryJoin sends one join and reports whether no further one is needed.
func (a *Agent) tryJoin(c *coordinatorLink, m *member) bool {
	link := a.openCoordinatorLink(c)
	if link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	reply, err := link.Call(ctx, &jayframe.Join{Attempt: jayframe.FromID(m.key.Attempt), Member: m.key.Member, Agent: a.Settings.Name, Token: m.token})
	if err != nil {
		return false
	}
	ack, ok := reply.(*jayframe.Ack)
	if !ok {
		return false
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !ack.OK {
		a.abandon(m)
		return true
	}
	m.lastContact = a.now()
	return a.remote(m)
}

// abandon stops a member whose join was rejected because its gang has ended.
func (a *Agent) abandon(m *member) {
	a.stopMember(m, jayframe.StatusStopped, "anchor has ended the gang", false)
}

// openCoordinatorLink returns the open link to the coordinator, dialing if there is
// none, or nil.
func (a *Agent) openCoordinatorLink(c *coordinatorLink) *jaylink.Link {
	a.mutex.Lock()
	link, dialing := c.link, c.dialing
	if link == nil && !dialing {
		c.dialing = true
	}
	a.mutex.Unlock()
	if link != nil || dialing {
		return link
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	link, _, err := a.endpoint.Dial(ctx, c.address, a.hello())
	a.mutex.Lock()
	defer a.mutex.Unlock()
	c.dialing = false
	if err != nil {
		a.metrics.GetOrCreateCounter(`jaystile_side_dial_failures_total`).Inc()
		return nil
	}
	c.link = link
	a.runCoordinatorLink(c, link)
	return link
}

// runCoordinatorLink runs a link to a coordinator and, when it closes, joins again for
// every member.
func (a *Agent) runCoordinatorLink(c *coordinatorLink, link *jaylink.Link) {
	a.runLink(link, func() {
		a.mutex.Lock()
		defer a.mutex.Unlock()
		if c.link == link {
			c.link = nil
		}
		for k := range c.members {
			if m := a.members[k]; m != nil {
				a.work.Spawn(func() { a.joinWithRetry(c, m) })
			}
		}
	})
}

// leaveCoordinator removes an ended member from its coordinator's link, which is
// closed later if it has no other members.
func (a *Agent) leaveCoordinator(k jayreservation.Key) {
	for _, c := range a.coordinators {
		delete(c.members, k)
		if len(c.members) == 0 {
			c.idleSince = a.now()
		}
	}
}

// closeIdleCoordinatorLinks closes links that have had no member for
// coordinatorIdleTimeout, by which time their last messages have been sent.
func (a *Agent) closeIdleCoordinatorLinks(now time.Duration) {
	for address, c := range a.coordinators {
		if len(c.members) > 0 || c.dialing || now-c.idleSince < coordinatorIdleTimeout {
			continue
		}
		delete(a.coordinators, address)
		if c.link != nil {
			c.link.Close("no members left")
		}
	}
}

// recordContact records a heartbeat on a link: from the coordinator of members that run
// here, or from the agent of a member of gangs that are coordinated here.
func (a *Agent) recordContact(l *jaylink.Link) {
	now := a.now()
	for _, c := range a.coordinators {
		if c.link != l {
			continue
		}
		for k := range c.members {
			if m := a.members[k]; m != nil {
				m.lastContact = now
			}
		}
	}
	for _, g := range a.activeGangs {
		for i, link := range g.memberLinks {
			if link == l {
				g.state.RecordContact(i, now)
			}
		}
	}
	a.recordLocalContact(now)
}

// recordLocalContact records contact for members that run on their coordinator's
// agent.
func (a *Agent) recordLocalContact(now time.Duration) {
	for k, m := range a.members {
		if g := a.gangs[k.Attempt]; g != nil && !m.ended {
			g.state.RecordContact(k.Member, now)
		}
	}
}

// checkMemberLeases stops members whose coordinator has been out of contact for a
// lease.
func (a *Agent) checkMemberLeases(now time.Duration) {
	a.recordLocalContact(now)
	for _, m := range a.members {
		if a.remote(m) && m.running && now-m.lastContact >= a.Settings.Lease {
			a.stopMember(m, jayframe.StatusFailed, "anchor out of contact for a lease", false)
		}
	}
}

// sendToCoordinator sends a message to the coordinator of a member. If the link is
// down, the message is lost and the coordinator ends the gang after a lease without
// contact.
func (a *Agent) sendToCoordinator(k jayreservation.Key, msg jayframe.Message) {
	for _, c := range a.coordinators {
		if c.members[k] && c.link != nil {
			_ = c.link.Send(msg)
			return
		}
	}
}
