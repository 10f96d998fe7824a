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
	// lostAgentRetention is how long a lost worker still counts when jobs are
	// checked for feasibility.
	lostAgentRetention = 10 * time.Minute
)

// agentState is what this entry knows of one agent and its worker.
type agentState struct {
	name        string
	hello       *jayframe.Hello
	incarnation jayattempt.Incarnation
	link        *jaylink.Link
	report      *jayframe.Report
	// homesDigest identifies the homes that were last sent to the agent.
	homesDigest [sha256.Size]byte
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
	lastSeen    time.Duration
}

func (e *Entry) buildEndpoint() {
	e.endpoint = &jaylink.Endpoint{
		Name:          e.Settings.Name,
		Incarnation:   uint64(e.incarnation),
		SharedKey:     []byte(e.Settings.SharedKey),
		Timing:        jaylink.Timing{HeartbeatInterval: e.Settings.HeartbeatInterval, SilenceTimeout: e.Settings.SilenceTimeout},
		Handler:       e.handle,
		MakeHeartbeat: e.makeHeartbeat,
		Admit:         e.admitLink,
		Opened:        e.linkOpened,
		Closed:        e.linkClosed,
		MaxLinks:      e.Settings.MaxLinks,
		Budget:        e.budget(linkShare),
	}
}

func (e *Entry) admitLink(h *jayframe.Hello) (*jayframe.HelloReply, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	agent := e.agents[h.Name]
	if h.Role == jayframe.RoleAgent && agent != nil && uint64(agent.incarnation) > h.Incarnation {
		return nil, &jaylink.HandshakeError{Peer: h.Name, Cause: "a later incarnation of this side is known"}
	}
	return &jayframe.HelloReply{Entries: e.entryAddresses()}, nil
}

// entryAddresses lists the link addresses of all known entries, this one first.
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
	e.agentOpened(l, h)
}

// agentOpened registers a new link of an agent. A link of the same incarnation
// replaces the previous one, which may be dead but not yet timed out.
func (e *Entry) agentOpened(l *jaylink.Link, h *jayframe.Hello) {
	agent := e.agents[h.Name]
	isNew := agent == nil || uint64(agent.incarnation) != h.Incarnation
	if isNew {
		if agent != nil {
			e.onAgentLost(agent, "a new incarnation of the side started")
		}
		agent = &agentState{name: h.Name, incarnation: jayattempt.Incarnation(h.Incarnation)}
		e.agents[h.Name] = agent
		e.scheduler.Pool().Add(h.Name, jaypool.NewLocation(h.DataCentre, h.Rack, h.Cell), h.Accelerators)
		e.router.Add(h.Name, h.DataCentre, h.Slots)
		e.recorder.Record(jaytimeline.WorkerJoined, jaytimeline.Fields{Worker: h.Name, Detail: "incarnation " + agent.incarnation.String()})
	}
	e.markStale(agent)
	agent.hello = h
	agent.link = l
	agent.lost = false
	agent.homesSent = false
	e.updateClosed(agent)
	e.replan()
	e.sendManifest(agent)
	e.recorder.Record(jaytimeline.LinkOpened, jaytimeline.Fields{Worker: h.Name})
	e.Logger.Info().Str("side", h.Name).Msg("link from side opened")
	e.signalDecide()
}

// markStale makes resolveStale ask an agent about its attempts: requests and outcomes may have
// been lost with its earlier link, and it may be about to end.
func (e *Entry) markStale(agent *agentState) {
	for _, a := range e.attempts {
		if a.coordinator == agent.name && a.incarnation == agent.incarnation {
			a.lastHeard = e.now() - resolveDelay
		}
	}
}

// updateClosed marks the worker closed in the pool while it accepts no new work.
func (e *Entry) updateClosed(agent *agentState) {
	draining := agent.report != nil && agent.report.Draining
	e.scheduler.Pool().SetClosed(agent.name, agent.lost || draining || agent.quarantined)
}

func (e *Entry) linkClosed(l *jaylink.Link) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, agent := range e.agents {
		if agent.link == l {
			agent.link = nil
			agent.lost = true
			agent.lostAt = e.now()
			e.updateClosed(agent)
			e.router.Report(agent.name, 0, true)
			e.recorder.Record(jaytimeline.LinkClosed, jaytimeline.Fields{Worker: agent.name, Detail: l.Err().Error()})
			e.Logger.Info().Str("side", agent.name).AnErr("cause", l.Err()).Msg("link from side closed")
			e.signalDecide()
			return
		}
	}
	e.peerClosed(l)
}

// agentStopTimeout is the time after the last contact with an agent by which its
// work has certainly stopped, because the leases at its worker have expired.
func (e *Entry) agentStopTimeout() time.Duration {
	return 2*e.Settings.Lease + e.Settings.SilenceTimeout
}

// removeLostAgents declares unreachable agents lost after the silence timeout and
// removes them after lostAgentRetention.
func (e *Entry) removeLostAgents(now time.Duration) {
	for _, agent := range e.agents {
		if !agent.lost {
			continue
		}
		if now-agent.lostAt >= e.Settings.SilenceTimeout && agent.report != nil {
			agent.report = nil
			e.onAgentLost(agent, "out of contact")
			e.replan()
		}
		if now-agent.lostAt >= lostAgentRetention {
			delete(e.agents, agent.name)
			e.scheduler.Pool().Remove(agent.name)
			e.router.Remove(agent.name)
			e.replan()
		}
	}
}

// onAgentLost releases the lost worker's allocations in the pool, except those of
// this entry's jobs, whose attempts are resolved individually.
func (e *Entry) onAgentLost(agent *agentState, cause string) {
	e.recorder.Record(jaytimeline.WorkerLost, jaytimeline.Fields{Worker: agent.name, Detail: cause})
	e.Logger.Warn().Str("worker", agent.name).Str("cause", cause).Msg("worker lost")
	w := e.scheduler.Pool().Worker(agent.name)
	if w == nil {
		return
	}
	for _, allocation := range w.Allocations() {
		if e.jobs[allocation.Job()] == nil {
			_ = e.scheduler.Pool().Release(agent.name, allocation.ID())
		}
	}
}

func (e *Entry) linkedAgents() []*agentState {
	var linked []*agentState
	for _, agent := range e.agents {
		if agent.link != nil {
			linked = append(linked, agent)
		}
	}
	return linked
}

// agentByLink returns the agent whose current link is l, or nil.
func (e *Entry) agentByLink(l *jaylink.Link) *agentState {
	agent := e.agents[l.Peer()]
	if agent != nil && agent.link == l {
		return agent
	}
	return nil
}

func (e *Entry) makeHeartbeat() jayframe.Heartbeat {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return jayframe.Heartbeat{Time: uint64(e.recorder.Clock().Now()), Manifest: e.manifests.Version(), Entries: e.entryAddresses()}
}

// handle processes one message from an agent or entry.
func (e *Entry) handle(l *jaylink.Link, call uint64, m jayframe.Message) {
	switch m := m.(type) {
	case *jayframe.Heartbeat:
		e.onHeartbeat(l, m)
	case *jayframe.Report:
		e.onReport(l, m)
	case *jayframe.Manifest:
		e.onPeerManifest(m)
	case *jayframe.Outcome:
		e.onOutcome(l, m)
	case *jayframe.JobQuery:
		e.background.Spawn(func() { e.onJobQuery(l, call, m) })
	case *jayframe.TimelineQuery:
		_ = l.Reply(call, jaytimeline.ToFrame(e.recorder.Events(jaytimeline.Time(m.Since), m.Limit)))
	case *jayframe.VersionQuery:
		_ = l.Reply(call, e.versionMap())
	}
}

func (e *Entry) onHeartbeat(l *jaylink.Link, b *jayframe.Heartbeat) {
	e.recorder.Clock().Observe(jaytimeline.Time(b.Time))
	e.mutex.Lock()
	current := e.manifests.Current()
	for _, p := range e.peers {
		if p.link == l {
			p.manifest = b.Manifest
			p.lastSeen = e.now()
		}
	}
	follow := e.followEntry
	e.mutex.Unlock()
	for _, a := range b.Entries {
		follow(a)
	}
	if current != nil && b.Manifest < current.Version() {
		_ = l.Send(&jayframe.Manifest{Version: current.Version(), Source: current.Source()})
	}
}

func (e *Entry) sendManifest(agent *agentState) {
	if m := e.manifests.Current(); m != nil && agent.link != nil {
		_ = agent.link.Send(&jayframe.Manifest{Version: m.Version(), Source: m.Source()})
	}
}

// followPeer keeps a link to the entry at the address, unless there is one or the
// address is this entry's own.
func (e *Entry) followPeer(ctx context.Context, wg *conc.WaitGroup, address string) {
	if address == e.Settings.Link {
		return
	}
	e.mutex.Lock()
	known := e.dialing[address]
	e.dialing[address] = true
	e.mutex.Unlock()
	if known {
		return
	}
	wg.Go(func() {
		jaywork.KeepDialing(ctx, slices.Contains(e.Settings.Entries, address), func() bool { return e.linkPeer(ctx, address) })
		e.mutex.Lock()
		delete(e.dialing, address)
		e.mutex.Unlock()
	})
}

func (e *Entry) linkPeer(ctx context.Context, address string) bool {
	link, reply, err := e.endpoint.Dial(ctx, address, &jayframe.Hello{Role: jayframe.RoleEntry, Address: e.Settings.Link, DataCentre: e.Settings.DataCentre})
	if err != nil {
		e.counter(`jaystile_entry_dial_failures_total`).Inc()
		return false
	}
	e.mutex.Lock()
	e.peerOpened(link, reply.Name, jayattempt.Incarnation(reply.Incarnation))
	follow := e.followEntry
	e.mutex.Unlock()
	for _, a := range reply.Entries {
		follow(a)
	}
	link.Run(ctx)
	e.mutex.Lock()
	e.peerClosed(link)
	e.mutex.Unlock()
	return true
}

// peerOpened registers a link to another entry in place of an older one.
func (e *Entry) peerOpened(l *jaylink.Link, name string, incarnation jayattempt.Incarnation) {
	p := e.peers[incarnation]
	if p == nil {
		p = &peer{name: name, incarnation: incarnation}
		e.peers[incarnation] = p
	}
	p.link = l
	p.lastSeen = e.now()
	e.recorder.Record(jaytimeline.LinkOpened, jaytimeline.Fields{Detail: "entry " + name})
}

func (e *Entry) peerClosed(l *jaylink.Link) {
	for _, p := range e.peers {
		if p.link == l {
			p.link = nil
			p.lastSeen = e.now()
			e.recorder.Record(jaytimeline.LinkClosed, jaytimeline.Fields{Detail: "entry " + p.name})
		}
	}
}

// onJobQuery answers another entry's query about a job of this one.
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
