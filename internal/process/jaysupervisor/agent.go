package jaysupervisor

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

const (
	// tailWait is how long a read for a new term waits; a side that has a link
	// hears of it there as well.
	tailWait = 8 * time.Second
	// linkBeat and linkSilence are those of entries.
	linkBeat    = 250 * time.Millisecond
	linkSilence = 800 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	dialPause   = 120 * time.Millisecond
)

// Side is the process beside a runner. Its exported fields are set before Run.
type Agent struct {
	Supervisor  *Supervisor
	Name        string
	DataCentre  string
	Incarnation uint64
	// Seeds are link addresses of entries that may be there.
	Seeds  []string
	Logger zerolog.Logger
	// Store reads the cell's topic.
	Store     *jaystore.Client
	CellTopic string

	endpoint *jaylink.Endpoint
	mutex    sync.Mutex
	term     jaycontroller.Term
	entries  map[string]bool
	link     *jaylink.Link
	changed  chan struct{}
	next     int
}

// NewSide returns a side for a keeper.
func NewAgent(k *Supervisor) *Agent {
	return &Agent{Supervisor: k, entries: map[string]bool{}, changed: make(chan struct{}, 1)}
}

// Run serves until ctx ends.
func (s *Agent) Run(ctx context.Context) {
	s.endpoint = &jaylink.Endpoint{
		Name: s.Name, Incarnation: s.Incarnation, Timing: jaylink.Timing{HeartbeatInterval: linkBeat, SilenceTimeout: linkSilence}, Handler: s.handle,
		MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} },
	}
	s.Supervisor.SendReport = s.send
	tail := &jaystore.Tail{Client: s.Store, Topic: s.CellTopic, Wait: tailWait, Apply: s.apply, OnError: func(err error) {
		s.Logger.Debug().Str("event", "dependency").Str("dependency", "store").Err(err).Msg("cannot read the term")
	}}
	var wg conc.WaitGroup
	wg.Go(func() { s.Supervisor.Run(ctx) })
	wg.Go(func() { tail.Run(ctx) })
	wg.Go(func() { s.follow(ctx) })
	wg.Wait()
}

// apply takes a record of the cell's topic.
func (s *Agent) apply(r jaystore.StoredRecord) {
	name, address, _, isEntry := jaycontroller.DecodeEntry(r)
	switch {
	case r.Key == jaycontroller.TermKey && r.Value != nil:
		t, err := jaycontroller.DecodeTerm(r.Value)
		if err != nil {
			s.Logger.Error().Str("event", "record").Err(err).Msg("skipping a term that cannot be read")
			return
		}
		s.learn(t)
	case isEntry && address != "":
		s.mutex.Lock()
		s.entries[address] = true
		s.mutex.Unlock()
		s.Logger.Debug().Str("event", "entry").Str("peer", name).Str("address", address).Msg("learnt of an entry")
	}
}

// learn follows a newer term.
func (s *Agent) learn(t jaycontroller.Term) {
	s.mutex.Lock()
	if t.Number() <= s.term.Number() {
		s.mutex.Unlock()
		return
	}
	s.term = t
	old := s.link
	s.link = nil
	s.mutex.Unlock()
	s.Supervisor.SetTerm(t.Number())
	if old != nil {
		old.Close("the term is over")
	}
	jaycontroller.Signal(s.changed)
}

// target returns the next address to try: the holder's, and after a failure
// there, in turn, those of other entries, which know of a newer term.
func (s *Agent) target(failures int) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if address := s.term.Address(); address != "" && failures%2 == 0 {
		return address
	}
	all := append([]string(nil), s.Seeds...)
	for a := range s.entries {
		if a != s.term.Address() {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return s.term.Address()
	}
	s.next++
	return all[s.next%len(all)]
}

// follow keeps a link to the holder of the term.
func (s *Agent) follow(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		address := s.target(failures)
		if address != "" && s.carry(ctx, address) {
			failures = 0
		} else {
			failures++
		}
		select {
		case <-ctx.Done():
		case <-s.changed:
			failures = 0
		case <-time.After(dialPause):
		}
	}
}

func (s *Agent) carry(ctx context.Context, address string) bool {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	l, _, err := s.endpoint.Dial(dial, address, &jayframe.Hello{Role: jayframe.RoleAgent, DataCentre: s.DataCentre})
	cancel()
	if err != nil {
		s.Logger.Debug().Str("event", "link").Str("address", address).Err(err).Msg("cannot reach an entry")
		return false
	}
	s.mutex.Lock()
	s.link = l
	s.mutex.Unlock()
	s.Logger.Info().Str("event", "link").Str("peer", l.Peer()).Str("address", address).Msg("linked to an entry")
	s.Supervisor.ReportNow()
	l.Run(ctx)
	s.mutex.Lock()
	if s.link == l {
		s.link = nil
	}
	s.mutex.Unlock()
	s.Logger.Info().Str("event", "link").Str("peer", l.Peer()).Err(l.Err()).Msg("link ended")
	return false
}

// handle takes a message of the link.
func (s *Agent) handle(l *jaylink.Link, _ uint64, m jayframe.Message) {
	switch m := m.(type) {
	case *jayframe.CellLeaseGrant:
		if m.Sequence > 0 {
			s.Supervisor.GrantLease(m.Term, m.Sequence)
		}
	case *jayframe.CellOrders:
		orders := make([]jaycell.Order, len(m.Orders))
		for i, o := range m.Orders {
			orders[i] = jaycell.Order{Kind: jaycell.OrderKind(o.Kind), Runner: o.Runner, Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Number: o.Number, Percent: o.Percent}
		}
		s.Supervisor.ApplyOrders(m.Term, orders)
	case *jayframe.CellView:
		s.seen(l, m)
	}
}

// seen takes an entry's word on who holds the term. An entry that does not hold
// it is left for the one that does.
func (s *Agent) seen(l *jaylink.Link, m *jayframe.CellView) {
	s.mutex.Lock()
	for _, a := range m.Entries {
		s.entries[a] = true
	}
	s.mutex.Unlock()
	s.learn(jaycontroller.NewTerm(m.Term, m.Leader, m.Address))
	if m.Leader != l.Peer() && m.Address != "" {
		l.Close("this entry does not hold the term")
	}
}

// send passes a report to the linked entry.
func (s *Agent) send(r jaycell.Report) {
	s.mutex.Lock()
	l := s.link
	s.mutex.Unlock()
	if l == nil {
		return
	}
	if err := l.Send(toFrame(r)); err != nil {
		s.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("cannot report")
	}
}

func toFrame(r jaycell.Report) *jayframe.CellReport {
	m := &jayframe.CellReport{
		Node: r.Node, Sequence: r.Sequence, Term: r.Term, Runner: r.Runner.ID, Service: r.Runner.Service, DataCentre: r.Runner.Zone, Labels: r.Runner.Labels,
		CPU: r.Runner.Capacity.CPU, Memory: r.Runner.Capacity.Memory, Accelerators: r.Runner.Capacity.Accelerators,
		Draining: r.Runner.Draining, DrainRemainingMillis: r.Runner.DrainRemaining.Milliseconds(), Current: r.Responsive, Deregistered: r.Departed,
	}
	for _, x := range r.Running {
		m.Running = append(m.Running, jayframe.CellRun{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: x.Percent, Load: x.Load})
	}
	for _, x := range r.Finished {
		m.Finished = append(m.Finished, jayframe.CellEnd{Number: x.Number, Task: x.Task, Run: x.Run, Reason: uint8(x.Reason), Checkpoint: x.Checkpoint})
	}
	for _, x := range r.OrderResults {
		m.Results = append(m.Results, jayframe.CellResult{Task: x.Task, Run: x.Run, Refused: x.Refused, Reason: x.Reason})
	}
	for _, x := range r.PendingOrders {
		m.PendingOrders = append(m.PendingOrders, jayframe.CellOrder{Kind: uint8(x.Kind), Task: x.Task, Run: x.Run})
	}
	return m
}
