package jayagent

import (
	"context"
	"maps"
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

// followEntry keeps a link to the entry at the address until ctx ends. It does nothing
// for an address that is already followed.
func (a *Agent) followEntry(ctx context.Context, wg *conc.WaitGroup, address string) {
	a.mutex.Lock()
	known := a.entries[address] != nil
	if !known {
		a.entries[address] = &entryLink{address: address}
	}
	a.mutex.Unlock()
	if known {
		return
	}
	wg.Go(func() {
		jaywork.KeepDialing(ctx, slices.Contains(a.Settings.Entries, address), func() bool { return a.dialEntry(ctx, wg, address) })
		a.mutex.Lock()
		delete(a.entries, address)
		a.mutex.Unlock()
	})
}

// dialEntry dials an entry, runs the link until it closes and reports whether it had
// opened.
func (a *Agent) dialEntry(ctx context.Context, wg *conc.WaitGroup, address string) bool {
	link, reply, err := a.endpoint.Dial(ctx, address, a.hello())
	if err != nil {
		a.metrics.GetOrCreateCounter(`jaystile_side_dial_failures_total`).Inc()
		return false
	}
	a.onEntryLinkOpened(address, link, reply)
	for _, entryAddress := range reply.Entries {
		a.followEntry(ctx, wg, entryAddress)
	}
	link.Run(ctx)
	a.onEntryLinkClosed(address, link)
	return true
}

func (a *Agent) hello() *jayframe.Hello {
	settings := a.Settings
	return &jayframe.Hello{
		Role:         jayframe.RoleAgent,
		Address:      settings.Link,
		DataCentre:   settings.DataCentre,
		Rack:         settings.Rack,
		Cell:         settings.Cell,
		Service:      settings.Service,
		Accelerators: settings.Accelerators,
		Slots:        settings.Slots,
		Connections:  settings.Connections,
	}
}

func (a *Agent) onEntryLinkOpened(address string, link *jaylink.Link, reply *jayframe.HelloReply) {
	a.mutex.Lock()
	e := a.entries[address]
	e.link = link
	e.openedAt = a.now()
	e.name = reply.Name
	e.incarnation = jayattempt.Incarnation(reply.Incarnation)
	r := a.makeReport()
	a.mutex.Unlock()
	_ = link.Send(r)
	a.recorder.Record(jaytimeline.LinkOpened, jaytimeline.Fields{Worker: a.Settings.Name, Detail: "entry " + reply.Name})
	a.Logger.Info().Str("entry", reply.Name).Msg("link to entry opened")
}

func (a *Agent) onEntryLinkClosed(address string, link *jaylink.Link) {
	a.mutex.Lock()
	e := a.entries[address]
	if e.link == link {
		e.link = nil
		e.homes = nil
		a.mergeHomes()
	}
	a.mutex.Unlock()
	a.recorder.Record(jaytimeline.LinkClosed, jaytimeline.Fields{Worker: a.Settings.Name, Detail: link.Err().Error()})
	a.Logger.Info().Str("entry", link.Peer()).AnErr("cause", link.Err()).Msg("link to entry closed")
}

func (a *Agent) makeHeartbeat() jayframe.Heartbeat {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	heartbeat := jayframe.Heartbeat{Time: uint64(a.recorder.Clock().Now())}
	if a.manifest != nil {
		heartbeat.Manifest = a.manifest.Version()
	}
	return heartbeat
}

// handle dispatches one message of any link.
func (a *Agent) handle(l *jaylink.Link, call uint64, m jayframe.Message) {
	switch m := m.(type) {
	case *jayframe.Heartbeat:
		a.onHeartbeat(l, m)
	case *jayframe.Manifest:
		a.onManifest(m)
	case *jayframe.WorkerHomes:
		a.onHomes(l, m)
	case *jayframe.Reserve:
		a.onReserve(l, call, m)
	case *jayframe.Commit:
		a.onCommit(l, call, m)
	case *jayframe.Release:
		a.onRelease(l, call, m)
	case *jayframe.Resolve:
		a.onResolve(l, call, m)
	case *jayframe.Cancel:
		a.onCancel(l, call, m)
	case *jayframe.Drain:
		a.SetDraining(m.On)
		_ = l.Reply(call, &jayframe.Ack{OK: true})
	case *jayframe.TimelineQuery:
		_ = l.Reply(call, jaytimeline.ToFrame(a.recorder.Events(jaytimeline.Time(m.Since), m.Limit)))
	case *jayframe.Join:
		a.onJoin(l, call, m)
	case *jayframe.Prepared:
		a.onPrepared(m)
	case *jayframe.MemberDone:
		a.onMemberDone(m)
	case *jayframe.Prepare:
		a.onPrepare(m.Attempt.ID(), m.Member)
	case *jayframe.Start:
		a.onStart(m.Attempt.ID(), m.Member)
	case *jayframe.Stop:
		a.onStop(m.Attempt.ID(), m.Member, m.Checkpoint)
	}
}

func (a *Agent) onHeartbeat(l *jaylink.Link, b *jayframe.Heartbeat) {
	a.recorder.Clock().Observe(jaytimeline.Time(b.Time))
	a.mutex.Lock()
	m, follow := a.manifest, a.followAddress
	a.recordContact(l)
	a.mutex.Unlock()
	for _, address := range b.Entries {
		follow(address)
	}
	// An entry that started while the log is unavailable gets the manifest from the
	// agents.
	if m != nil && b.Manifest < m.Version() && a.isEntry(l) {
		_ = l.Send(&jayframe.Manifest{Version: m.Version(), Source: m.Source()})
	}
}

func (a *Agent) isEntry(l *jaylink.Link) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.entryOfLink(l) != nil
}

func (a *Agent) entryOfLink(l *jaylink.Link) *entryLink {
	for _, e := range a.entries {
		if e.link == l {
			return e
		}
	}
	return nil
}

// onManifest applies a manifest, unless its version is not newer than the one in force.
func (a *Agent) onManifest(update *jayframe.Manifest) {
	m, err := jaymanifest.Parse(update.Source)
	if err != nil {
		a.metrics.GetOrCreateCounter(`jaystile_side_malformed_manifests_total`).Inc()
		return
	}
	a.mutex.Lock()
	newer := a.manifest == nil || update.Version > a.manifest.Version()
	if newer {
		a.manifest = m.WithVersion(update.Version)
	}
	a.mutex.Unlock()
	if newer {
		a.recorder.Record(jaytimeline.ManifestInForce, jaytimeline.Fields{Worker: a.Settings.Name, Detail: formatVersion(update.Version)})
		a.signalReport()
	}
}

func (a *Agent) onHomes(l *jaylink.Link, m *jayframe.WorkerHomes) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	e := a.entryOfLink(l)
	if e == nil {
		return
	}
	e.homesManifest = m.Manifest
	e.homes = map[string]int{}
	for _, h := range m.Homes {
		e.homes[h.Workspace] = h.Accelerators
	}
	a.mergeHomes()
}

// mergeHomes sets each workspace's home to the largest one planned by any linked entry
// that has the newest manifest: while entries disagree, non-preemptible work is refused
// rather than placed in another workspace's home. Without a linked entry, homes stay
// unchanged.
func (a *Agent) mergeHomes() {
	newest := uint64(0)
	for _, e := range a.entries {
		if e.homes != nil {
			newest = max(newest, e.homesManifest)
		}
	}
	merged := map[string]int{}
	known := false
	for _, e := range a.entries {
		if e.homes == nil || e.homesManifest < newest {
			continue
		}
		known = true
		for workspace, n := range e.homes {
			merged[workspace] = max(merged[workspace], n)
		}
	}
	if known {
		a.ledger.SetHomes(merged)
	}
}

func (a *Agent) reportLoop(ctx context.Context) {
	for {
		t := time.NewTimer(reportInterval + rand.N(reportInterval/10))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-a.wake:
			t.Stop()
			jaywork.Pause(ctx, reportDelay)
		case <-t.C:
		}
		a.sendReports()
	}
}

func (a *Agent) sendReports() {
	a.mutex.Lock()
	r := a.makeReport()
	var links []*jaylink.Link
	for _, e := range a.entries {
		if e.link != nil {
			links = append(links, e.link)
		}
	}
	a.mutex.Unlock()
	for _, l := range links {
		_ = l.Send(r)
	}
}

// entryAddresses returns the addresses of the entries that are followed.
func (a *Agent) entryAddresses() []string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return slices.Collect(maps.Keys(a.entries))
}

// linkTo returns the link to the entry at an address and when it opened, or nil.
func (a *Agent) linkTo(address string) (*jaylink.Link, time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if e := a.entries[address]; e != nil {
		return e.link, e.openedAt
	}
	return nil, 0
}

// makeReport describes the ledger's reservations, free slots and health.
func (a *Agent) makeReport() *jayframe.Report {
	now := a.now()
	a.reportSequence++
	r := &jayframe.Report{Sequence: a.reportSequence, Draining: a.ledger.Draining(), FreeSlots: a.ledger.FreeSlots(), LatencyMicros: a.latency.Microseconds(), Unhealthy: a.unhealthy}
	if a.manifest != nil {
		r.Manifest = a.manifest.Version()
	}
	for _, reservation := range a.ledger.Reservations() {
		q := reservation.Request()
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
			Stopping:            reservation.State().String() == "leaving",
			AgeMillis:           (now - reservation.Since()).Milliseconds(),
			CheckpointAgeMillis: (now - reservation.LastCheckpoint()).Milliseconds(),
		})
	}
	return r
}
