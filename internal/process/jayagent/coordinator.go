package jayagent

import (
	"context"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayreservation"
)

// anchorIdle is how long a link to an anchor outlives its last member.
const anchorIdle = 2 * time.Second

// anchorLink is the link to the anchor of gangs that have members here.
type anchorLink struct {
	address string
	link    *jaylink.Link
	dialing bool
	members map[jayreservation.Key]bool
	// idle is when the last member left.
	idle time.Duration
}

// joinAnchor tells a member's anchor that the member holds, and goes on telling
// until the anchor knows the gang or the member is gone.
func (s *Agent) joinAnchor(m *member) {
	a := s.anchors[m.hold.Coordinator]
	if a == nil {
		a = &anchorLink{address: m.hold.Coordinator, members: map[jayreservation.Key]bool{}}
		s.anchors[m.hold.Coordinator] = a
	}
	a.members[m.key] = true
	m.contact = s.now()
	s.work.Spawn(func() { s.joinUntilHeard(a, m) })
}

func (s *Agent) joinUntilHeard(a *anchorLink, m *member) {
	for {
		s.mutex.Lock()
		gone := m.gone
		s.mutex.Unlock()
		if gone {
			return
		}
		if s.joinOnce(a, m) {
			return
		}
		time.Sleep(joinRetry)
	}
}

// joinOnce reports whether nothing is left to do.
func (s *Agent) joinOnce(a *anchorLink, m *member) bool {
	link := s.anchorTo(a)
	if link == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	reply, err := link.Call(ctx, &jayframe.Join{Attempt: jayframe.FromID(m.key.Attempt), Member: m.key.Member, Agent: s.Settings.Name, Token: m.token})
	if err != nil {
		return false
	}
	ack, ok := reply.(*jayframe.Ack)
	if !ok {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !ack.OK {
		s.abandon(m)
		return true
	}
	m.contact = s.now()
	return s.remote(m)
}

// abandon gives up a member whose anchor does not want it.
func (s *Agent) abandon(m *member) {
	s.stopMember(m, jayframe.StatusStopped, "anchor has ended the gang", false)
}

// anchorTo returns an open link to the anchor, dialing one when there is none.
func (s *Agent) anchorTo(a *anchorLink) *jaylink.Link {
	s.mutex.Lock()
	link, dialing := a.link, a.dialing
	if link == nil && !dialing {
		a.dialing = true
	}
	s.mutex.Unlock()
	if link != nil || dialing {
		return link
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	link, _, err := s.endpoint.Dial(ctx, a.address, s.hello())
	s.mutex.Lock()
	defer s.mutex.Unlock()
	a.dialing = false
	if err != nil {
		s.metrics.GetOrCreateCounter(`jaystile_side_dial_failures_total`).Inc()
		return nil
	}
	a.link = link
	s.carryAnchor(a, link)
	return link
}

// carryAnchor moves the frames of a link to an anchor and joins again for every
// member when the link ends.
func (s *Agent) carryAnchor(a *anchorLink, link *jaylink.Link) {
	s.carry(link, func() {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if a.link == link {
			a.link = nil
		}
		for k := range a.members {
			if m := s.members[k]; m != nil {
				s.work.Spawn(func() { s.joinUntilHeard(a, m) })
			}
		}
	})
}

// leaveAnchor closes the link to an anchor that has no members here any more.
func (s *Agent) leaveAnchor(k jayreservation.Key) {
	for _, a := range s.anchors {
		delete(a.members, k)
		if len(a.members) == 0 {
			a.idle = s.now()
		}
	}
}

// closeIdleAnchors closes links to anchors that have had no member here for a
// while, long enough for the last messages to have left.
func (s *Agent) closeIdleAnchors(now time.Duration) {
	for address, a := range s.anchors {
		if len(a.members) > 0 || a.dialing || now-a.idle < anchorIdle {
			continue
		}
		delete(s.anchors, address)
		if a.link != nil {
			a.link.Close("no members left")
		}
	}
}

// touchAnchor notes a sign of life on a link: of an anchor to the members that
// run here, or of a member's side to the gangs that are anchored here.
func (s *Agent) touchAnchor(l *jaylink.Link) {
	now := s.now()
	for _, a := range s.anchors {
		if a.link != l {
			continue
		}
		for k := range a.members {
			if m := s.members[k]; m != nil {
				m.contact = now
			}
		}
	}
	for _, g := range s.active {
		for i, link := range g.links {
			if link == l {
				g.book.RecordContact(i, now)
			}
		}
	}
	s.touchLocal(now)
}

// touchLocal keeps members that run beside their anchor in contact with it.
func (s *Agent) touchLocal(now time.Duration) {
	for k, m := range s.members {
		if g := s.gangs[k.Attempt]; g != nil && !m.gone {
			g.book.RecordContact(k.Member, now)
		}
	}
}

// checkMemberLeases stops members whose anchor has been out of contact for a
// lease.
func (s *Agent) checkMemberLeases(now time.Duration) {
	s.touchLocal(now)
	for _, m := range s.members {
		if s.remote(m) && m.running && now-m.contact >= s.Settings.Lease {
			s.stopMember(m, jayframe.StatusFailed, "anchor out of contact for a lease", false)
		}
	}
}

// tellAnchor sends a message to the anchor of a member. When the link is down
// the anchor notices by the member's silence.
func (s *Agent) tellAnchor(k jayreservation.Key, msg jayframe.Message) {
	for _, a := range s.anchors {
		if a.members[k] && a.link != nil {
			_ = a.link.Send(msg)
			return
		}
	}
}
