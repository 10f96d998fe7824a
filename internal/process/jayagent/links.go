package jayagent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/process/jaywork"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// followEntry keeps a link to the entry at the address for as long as the side
// lives. An address is followed once.
func (s *Agent) followEntry(ctx context.Context, wg *conc.WaitGroup, address string) {
	s.mutex.Lock()
	known := s.entries[address] != nil
	if !known {
		s.entries[address] = &entryLink{address: address}
	}
	s.mutex.Unlock()
	if known {
		return
	}
	wg.Go(func() {
		jaywork.KeepDialing(ctx, slices.Contains(s.Settings.Entries, address), func() bool { return s.linkEntry(ctx, wg, address) })
		s.mutex.Lock()
		delete(s.entries, address)
		s.mutex.Unlock()
	})
}

// linkEntry carries one link to an entry and reports whether it opened.
func (s *Agent) linkEntry(ctx context.Context, wg *conc.WaitGroup, address string) bool {
	link, welcome, err := s.endpoint.Dial(ctx, address, s.hello())
	if err != nil {
		s.metrics.GetOrCreateCounter(`jaystile_side_dial_failures_total`).Inc()
		return false
	}
	s.openedEntry(address, link, welcome)
	for _, a := range welcome.Entries {
		s.followEntry(ctx, wg, a)
	}
	link.Run(ctx)
	s.closedEntry(address, link)
	return true
}

func (s *Agent) hello() *jayframe.Hello {
	p := s.Settings
	return &jayframe.Hello{
		Role:         jayframe.RoleAgent,
		Address:      p.Link,
		DataCentre:   p.DataCentre,
		Rack:         p.Rack,
		Cell:         p.Cell,
		Service:      p.Service,
		Accelerators: p.Accelerators,
		Slots:        p.Slots,
		Connections:  p.Connections,
	}
}

func (s *Agent) openedEntry(address string, link *jaylink.Link, w *jayframe.HelloReply) {
	s.mutex.Lock()
	e := s.entries[address]
	e.link = link
	e.name = w.Name
	e.incarnation = jayattempt.Incarnation(w.Incarnation)
	r := s.report()
	s.mutex.Unlock()
	_ = link.Send(r)
	s.recorder.Record(jaytimeline.LinkOpened, jaytimeline.Fields{Worker: s.Settings.Name, Detail: "entry " + w.Name})
	s.Logger.Info().Str("entry", w.Name).Msg("link to entry opened")
}

func (s *Agent) closedEntry(address string, link *jaylink.Link) {
	s.mutex.Lock()
	e := s.entries[address]
	if e.link == link {
		e.link = nil
		e.homes = nil
		s.mergeHomes()
	}
	s.mutex.Unlock()
	s.recorder.Record(jaytimeline.LinkClosed, jaytimeline.Fields{Worker: s.Settings.Name, Detail: link.Err().Error()})
	s.Logger.Info().Str("entry", link.Peer()).AnErr("cause", link.Err()).Msg("link to entry closed")
}

func (s *Agent) makeBeat() jayframe.Heartbeat {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	b := jayframe.Heartbeat{Time: uint64(s.recorder.Clock().Now())}
	if s.manifest != nil {
		b.Manifest = s.manifest.Version()
	}
	return b
}

// handle takes one message of any link.
func (s *Agent) handle(l *jaylink.Link, call uint64, m jayframe.Message) {
	switch m := m.(type) {
	case *jayframe.Heartbeat:
		s.onBeat(l, m)
	case *jayframe.Manifest:
		s.onManifest(m)
	case *jayframe.WorkerHomes:
		s.onHomes(l, m)
	case *jayframe.Reserve:
		s.onHold(l, call, m)
	case *jayframe.Commit:
		s.onCommit(l, call, m)
	case *jayframe.Release:
		s.onRelease(l, call, m)
	case *jayframe.Resolve:
		s.onSettle(l, call, m)
	case *jayframe.Cancel:
		s.onCancel(l, call, m)
	case *jayframe.Drain:
		s.SetDraining(m.On)
		_ = l.Reply(call, &jayframe.Ack{OK: true})
	case *jayframe.TimelineQuery:
		_ = l.Reply(call, jaytimeline.ToFrame(s.recorder.Events(jaytimeline.Time(m.Since), m.Limit)))
	case *jayframe.Join:
		s.onJoin(l, call, m)
	case *jayframe.Prepared:
		s.onPrepared(m)
	case *jayframe.MemberDone:
		s.onMemberDone(m)
	case *jayframe.Prepare:
		s.onPrepare(m.Attempt.ID(), m.Member)
	case *jayframe.Start:
		s.onGo(m.Attempt.ID(), m.Member)
	case *jayframe.Stop:
		s.onStop(m.Attempt.ID(), m.Member, m.Checkpoint)
	}
}

func (s *Agent) onBeat(l *jaylink.Link, b *jayframe.Heartbeat) {
	s.recorder.Clock().Observe(jaytimeline.Time(b.Time))
	s.mutex.Lock()
	m, follow := s.manifest, s.follow
	s.touchAnchor(l)
	s.mutex.Unlock()
	for _, a := range b.Entries {
		follow(a)
	}
	// An entry that started while the log is out learns the manifest from here.
	if m != nil && b.Manifest < m.Version() && s.isEntry(l) {
		_ = l.Send(&jayframe.Manifest{Version: m.Version(), Source: m.Source()})
	}
}

func (s *Agent) isEntry(l *jaylink.Link) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.entryOf(l) != nil
}

func (s *Agent) entryOf(l *jaylink.Link) *entryLink {
	for _, e := range s.entries {
		if e.link == l {
			return e
		}
	}
	return nil
}

// onManifest puts a newer manifest in force. A lower version never replaces a
// higher one.
func (s *Agent) onManifest(w *jayframe.Manifest) {
	m, err := jaymanifest.Parse(w.Source)
	if err != nil {
		s.metrics.GetOrCreateCounter(`jaystile_side_malformed_manifests_total`).Inc()
		return
	}
	s.mutex.Lock()
	newer := s.manifest == nil || w.Version > s.manifest.Version()
	if newer {
		s.manifest = m.WithVersion(w.Version)
	}
	s.mutex.Unlock()
	if newer {
		s.recorder.Record(jaytimeline.ManifestInForce, jaytimeline.Fields{Worker: s.Settings.Name, Detail: fmtVersion(w.Version)})
		s.poke()
	}
}

func (s *Agent) onHomes(l *jaylink.Link, m *jayframe.WorkerHomes) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	e := s.entryOf(l)
	if e == nil {
		return
	}
	e.homesOf = m.Manifest
	e.homes = map[string]int{}
	for _, h := range m.Homes {
		e.homes[h.Workspace] = h.Accelerators
	}
	s.mergeHomes()
}

// mergeHomes takes, for each workspace, the greatest home that any linked entry
// with the newest manifest has planned: while entries disagree, work that may
// not be stopped is refused rather than placed in somebody's home. Homes stay
// as they were while no entry is linked.
func (s *Agent) mergeHomes() {
	newest := uint64(0)
	for _, e := range s.entries {
		if e.homes != nil {
			newest = max(newest, e.homesOf)
		}
	}
	merged := map[string]int{}
	known := false
	for _, e := range s.entries {
		if e.homes == nil || e.homesOf < newest {
			continue
		}
		known = true
		for space, n := range e.homes {
			merged[space] = max(merged[space], n)
		}
	}
	if known {
		s.ledger.SetHomes(merged)
	}
}

func (s *Agent) reportLoop(ctx context.Context) {
	for {
		t := time.NewTimer(reportEvery + rand.N(reportEvery/10))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-s.wake:
			t.Stop()
			jaywork.Pause(ctx, reportDelay)
		case <-t.C:
		}
		s.sendReports()
	}
}

func (s *Agent) sendReports() {
	s.mutex.Lock()
	r := s.report()
	var links []*jaylink.Link
	for _, e := range s.entries {
		if e.link != nil {
			links = append(links, e.link)
		}
	}
	s.mutex.Unlock()
	for _, l := range links {
		_ = l.Send(r)
	}
}

// report describes what the owner holds now.
func (s *Agent) report() *jayframe.Report {
	now := s.now()
	s.reports++
	r := &jayframe.Report{Sequence: s.reports, Draining: s.ledger.Draining(), FreeSlots: s.ledger.FreeSlots(), LatencyMicros: s.latency.Microseconds(), Unhealthy: s.sick}
	if s.manifest != nil {
		r.Manifest = s.manifest.Version()
	}
	for _, h := range s.ledger.Reservations() {
		q := h.Request()
		if q.Accelerators == 0 {
			r.InFlight++
		}
		r.Reservations = append(r.Reservations, jayframe.Reservation{
			Attempt:             jayframe.FromID(q.Key.Attempt),
			Member:              q.Key.Member,
			Job:                 q.Job,
			Workspace:           q.Workspace,
			JobKind:             q.Kind,
			Class:               uint8(q.Class),
			Accelerators:        q.Accelerators,
			Preemptible:         q.Preemptible,
			Checkpointing:       q.Checkpointing,
			Stopping:            h.State().String() == "leaving",
			AgeMillis:           (now - h.Since()).Milliseconds(),
			CheckpointAgeMillis: (now - h.LastCheckpoint()).Milliseconds(),
		})
	}
	return r
}
