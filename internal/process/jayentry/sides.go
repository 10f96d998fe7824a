package jayentry

import (
	"context"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/process/jaywork"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	// absentFor is how long a lost worker still counts when it is judged whether
	// a job can ever run.
	absentFor = 10 * time.Minute
)

// side is what this entry knows of one side process and its worker.
type side struct {
	name        string
	hello       *jayframe.Hello
	incarnation jayattempt.Incarnation
	link        *jaylink.Link
	report      *jayframe.Report
	homes       [sha256.Size]byte
	homesSent   bool
	lostAt      time.Duration
	lost        bool
	quarantined bool
}

// peer is another entry.
type peer struct {
	name        string
	incarnation jayattempt.Incarnation
	link        *jaylink.Link
	manifest    uint64
	seen        time.Duration
}

func (e *Entry) buildEndpoint() {
	e.endpoint = &jaylink.Endpoint{
		Name:          e.Settings.Name,
		Incarnation:   uint64(e.incarnation),
		SharedKey:     []byte(e.Settings.SharedKey),
		Timing:        jaylink.Timing{HeartbeatInterval: e.Settings.HeartbeatInterval, SilenceTimeout: e.Settings.SilenceTimeout},
		Handler:       e.handle,
		MakeHeartbeat: e.makeBeat,
		Admit:         e.admitLink,
		Opened:        e.linkOpened,
		Closed:        e.linkEnded,
		MaxLinks:      e.Settings.MaxLinks,
	}
}

func (e *Entry) admitLink(h *jayframe.Hello) (*jayframe.HelloReply, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := e.sides[h.Name]
	if h.Role == jayframe.RoleAgent && s != nil && uint64(s.incarnation) > h.Incarnation {
		return nil, &jaylink.HandshakeError{Peer: h.Name, Cause: "a later life of this side is known"}
	}
	return &jayframe.HelloReply{Entries: e.entryAddresses()}, nil
}

// entryAddresses lists the link addresses of all entries that are known.
func (e *Entry) entryAddresses() []string {
	addresses := []string{e.Settings.Link}
	for _, m := range e.members.All() {
		if m.Link() != e.Settings.Link {
			addresses = append(addresses, m.Link())
		}
	}
	return addresses
}

func (e *Entry) linkOpened(l *jaylink.Link, h *jayframe.Hello) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if h.Role == jayframe.RoleEntry {
		e.peerOpened(l, h.Name, jayattempt.Incarnation(h.Incarnation))
		return
	}
	e.sideOpened(l, h)
}

// sideOpened takes a new link to a side. A link of the same life replaces the
// one before, which may have gone silent.
func (e *Entry) sideOpened(l *jaylink.Link, h *jayframe.Hello) {
	s := e.sides[h.Name]
	fresh := s == nil || uint64(s.incarnation) != h.Incarnation
	if fresh {
		if s != nil {
			e.loseSide(s, "a new life of the side began")
		}
		s = &side{name: h.Name, incarnation: jayattempt.Incarnation(h.Incarnation)}
		e.sides[h.Name] = s
		e.scheduler.Pool().Add(h.Name, jaypool.NewLocation(h.DataCentre, h.Rack, h.Cell), h.Accelerators)
		e.router.Add(h.Name, h.DataCentre, h.Slots)
		e.recorder.Record(jaytimeline.WorkerJoined, jaytimeline.Fields{Worker: h.Name, Detail: "incarnation " + s.incarnation.String()})
	}
	s.hello = h
	s.link = l
	s.lost = false
	s.homesSent = false
	e.applyClosed(s)
	e.replan()
	e.sendManifest(s)
	e.recorder.Record(jaytimeline.LinkOpened, jaytimeline.Fields{Worker: h.Name})
	e.Logger.Info().Str("side", h.Name).Msg("link from side opened")
	e.kick()
}

// applyClosed closes the worker in the table while it takes no new work.
func (e *Entry) applyClosed(s *side) {
	draining := s.report != nil && s.report.Draining
	e.scheduler.Pool().SetClosed(s.name, s.lost || draining || s.quarantined)
}

func (e *Entry) linkEnded(l *jaylink.Link) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, s := range e.sides {
		if s.link == l {
			s.link = nil
			s.lost = true
			s.lostAt = e.now()
			e.applyClosed(s)
			e.router.Report(s.name, 0, true)
			e.recorder.Record(jaytimeline.LinkClosed, jaytimeline.Fields{Worker: s.name, Detail: l.Err().Error()})
			e.Logger.Info().Str("side", s.name).AnErr("cause", l.Err()).Msg("link from side closed")
			e.kick()
			return
		}
	}
	e.peerClosed(l)
}

// ownerDeadAfter is how long after its last sign of life an owner has certainly
// stopped what it ran: its worker's leases have lapsed by then.
func (e *Entry) ownerDeadAfter() time.Duration { return 2*e.Settings.Lease + e.Settings.SilenceTimeout }

// dropLostSides gives up sides that have been out of contact for too long.
func (e *Entry) dropLostSides(now time.Duration) {
	for _, s := range e.sides {
		if !s.lost {
			continue
		}
		if now-s.lostAt >= e.Settings.SilenceTimeout && s.report != nil {
			s.report = nil
			e.loseSide(s, "out of contact")
			e.replan()
		}
		if now-s.lostAt >= absentFor {
			delete(e.sides, s.name)
			e.scheduler.Pool().Remove(s.name)
			e.router.Remove(s.name)
			e.replan()
		}
	}
}

// loseSide frees in the table what a lost worker held. The attempts on it are
// settled one by one.
func (e *Entry) loseSide(s *side, cause string) {
	e.recorder.Record(jaytimeline.WorkerLost, jaytimeline.Fields{Worker: s.name, Detail: cause})
	e.Logger.Warn().Str("worker", s.name).Str("cause", cause).Msg("worker lost")
	w := e.scheduler.Pool().Worker(s.name)
	if w == nil {
		return
	}
	for _, h := range w.Allocations() {
		if e.jobs[h.Job()] == nil {
			_ = e.scheduler.Pool().Release(s.name, h.ID())
		}
	}
}

func (e *Entry) linkedSides() []*side {
	var linked []*side
	for _, s := range e.sides {
		if s.link != nil {
			linked = append(linked, s)
		}
	}
	return linked
}

func (e *Entry) sideOf(l *jaylink.Link) *side {
	s := e.sides[l.Peer()]
	if s != nil && s.link == l {
		return s
	}
	return nil
}

func (e *Entry) makeBeat() jayframe.Heartbeat {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return jayframe.Heartbeat{Time: uint64(e.recorder.Clock().Now()), Manifest: e.manifests.Version(), Entries: e.entryAddresses()}
}

// handle takes one message of any link.
func (e *Entry) handle(l *jaylink.Link, call uint64, m jayframe.Message) {
	switch m := m.(type) {
	case *jayframe.Heartbeat:
		e.onBeat(l, m)
	case *jayframe.Report:
		e.onReport(l, m)
	case *jayframe.Manifest:
		e.onPeerManifest(m)
	case *jayframe.Outcome:
		e.onOutcome(l, m)
	case *jayframe.JobQuery:
		e.work.Spawn(func() { e.onJobQuery(l, call, m) })
	case *jayframe.TimelineQuery:
		_ = l.Reply(call, jaytimeline.ToFrame(e.recorder.Events(jaytimeline.Time(m.Since), m.Limit)))
	case *jayframe.VersionQuery:
		_ = l.Reply(call, e.versionMap())
	}
}

func (e *Entry) onBeat(l *jaylink.Link, b *jayframe.Heartbeat) {
	e.recorder.Clock().Observe(jaytimeline.Time(b.Time))
	e.mutex.Lock()
	current := e.manifests.Current()
	for _, p := range e.peers {
		if p.link == l {
			p.manifest = b.Manifest
			p.seen = e.now()
		}
	}
	follow := e.follow
	e.mutex.Unlock()
	for _, a := range b.Entries {
		follow(a)
	}
	if current != nil && b.Manifest < current.Version() {
		_ = l.Send(&jayframe.Manifest{Version: current.Version(), Source: current.Source()})
	}
}

func (e *Entry) sendManifest(s *side) {
	if m := e.manifests.Current(); m != nil && s.link != nil {
		_ = s.link.Send(&jayframe.Manifest{Version: m.Version(), Source: m.Source()})
	}
}

// followPeer keeps a link to the entry at the address. An address is followed
// once; this entry's own is not.
func (e *Entry) followPeer(ctx context.Context, wg *conc.WaitGroup, address string) {
	if address == e.Settings.Link {
		return
	}
	e.mutex.Lock()
	known := e.dialed[address]
	e.dialed[address] = true
	e.mutex.Unlock()
	if known {
		return
	}
	wg.Go(func() {
		jaywork.KeepDialing(ctx, slices.Contains(e.Settings.Entries, address), func() bool { return e.linkPeer(ctx, address) })
		e.mutex.Lock()
		delete(e.dialed, address)
		e.mutex.Unlock()
	})
}

func (e *Entry) linkPeer(ctx context.Context, address string) bool {
	link, welcome, err := e.endpoint.Dial(ctx, address, &jayframe.Hello{Role: jayframe.RoleEntry, Address: e.Settings.Link, DataCentre: e.Settings.DataCentre})
	if err != nil {
		e.counter(`jaystile_entry_dial_failures_total`).Inc()
		return false
	}
	e.mutex.Lock()
	e.peerOpened(link, welcome.Name, jayattempt.Incarnation(welcome.Incarnation))
	follow := e.follow
	e.mutex.Unlock()
	for _, a := range welcome.Entries {
		follow(a)
	}
	link.Run(ctx)
	e.mutex.Lock()
	e.peerClosed(link)
	e.mutex.Unlock()
	return true
}

// peerOpened keeps the newest link to a peer.
func (e *Entry) peerOpened(l *jaylink.Link, name string, incarnation jayattempt.Incarnation) {
	p := e.peers[incarnation]
	if p == nil {
		p = &peer{name: name, incarnation: incarnation}
		e.peers[incarnation] = p
	}
	p.link = l
	p.seen = e.now()
	e.recorder.Record(jaytimeline.LinkOpened, jaytimeline.Fields{Detail: "entry " + name})
}

func (e *Entry) peerClosed(l *jaylink.Link) {
	for _, p := range e.peers {
		if p.link == l {
			p.link = nil
			p.seen = e.now()
			e.recorder.Record(jaytimeline.LinkClosed, jaytimeline.Fields{Detail: "entry " + p.name})
		}
	}
}

// onJobQuery answers another entry about a job of this one.
func (e *Entry) onJobQuery(l *jaylink.Link, call uint64, m *jayframe.JobQuery) {
	j := e.localJob(m.Workspace, m.Job)
	if j == nil {
		_ = l.Reply(call, &jayframe.JobReply{})
		return
	}
	if m.Cancel {
		e.cancelJob(j, jayrefusal.Canceled, "canceled by its caller")
	}
	e.wait(j, time.Duration(m.WaitMillis)*time.Millisecond)
	if e.isClosed() && !j.ended() {
		return
	}
	_ = l.Reply(call, &jayframe.JobReply{Found: true, Status: e.encodeStatus(j)})
}
