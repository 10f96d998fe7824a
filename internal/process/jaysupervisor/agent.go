package jaysupervisor

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
	"github.com/jaystile/jaystile/internal/process/jayevacuation"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// termPollWait is the long-poll time of reads for a new term, which links announce as
	// well.
	termPollWait = 8 * time.Second
	// heartbeatInterval and silenceTimeout are the same as those of entries.
	heartbeatInterval = 250 * time.Millisecond
	silenceTimeout    = 800 * time.Millisecond
	dialTimeout       = 500 * time.Millisecond
	redialDelay       = 120 * time.Millisecond
)

// Agent is the process beside a runner. It connects the runner's supervisor to the
// leader. Its exported fields are set before Run.
type Agent struct {
	Supervisor  *Supervisor
	Name        string
	DataCentre  string
	Incarnation uint64
	// Seeds are link addresses at which entries may be reachable.
	Seeds  []string
	Logger zerolog.Logger
	// Store reads the cell's topic.
	Store     *jaystore.Client
	CellTopic string

	endpoint *jaylink.Endpoint
	// skippedRecords is set if records could not be read since the newest ones were loaded. The
	// reader of the cell's topic alone uses it.
	skippedRecords bool

	mutex sync.Mutex
	term  jaycontroller.Term
	// entries holds the addresses of all entries that the agent has heard of.
	entries map[string]bool
	link    *jaylink.Link
	// leaseGranted is set once a lease has been granted over the link.
	leaseGranted bool
	termChanged  chan struct{}
	nextSeed     int
}

// NewAgent returns an agent for a supervisor.
func NewAgent(s *Supervisor) *Agent {
	return &Agent{Supervisor: s, entries: map[string]bool{}, termChanged: make(chan struct{}, 1)}
}

// Run runs the agent and its supervisor until ctx is done.
func (a *Agent) Run(ctx context.Context) {
	a.endpoint = &jaylink.Endpoint{
		Name: a.Name, Incarnation: a.Incarnation, Timing: jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout}, Handler: a.handleMessage,
		MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} },
	}
	a.Supervisor.SendReport = a.sendReport
	tail := &jaystore.Tail{Client: a.Store, Topic: a.CellTopic, Wait: termPollWait, Apply: a.applyNewRecord, Replace: a.replaceRecords, OnError: func(err error) {
		var unreadable *jaystore.UnreadableError
		a.skippedRecords = a.skippedRecords || errors.As(err, &unreadable)
		a.Logger.Debug().Str("event", "dependency").Str("dependency", "store").Err(err).Msg("cannot read the term")
	}}
	var wg jayassert.Group
	wg.Go(func() { a.Supervisor.Run(ctx) })
	wg.Go(func() { tail.Run(ctx) })
	wg.Go(func() { a.maintainLink(ctx) })
	wg.Wait()
}

// replaceRecords applies the newest records of the cell's topic, the newest term's among them.
func (a *Agent) replaceRecords(all []jaystore.StoredRecord) {
	// Without a record of a term there is none yet, unless it is one that was left out.
	read := !a.skippedRecords
	a.skippedRecords = false
	for _, r := range all {
		if valid := a.applyRecord(r); r.Key == jaycontroller.TermKey {
			read = valid
		}
	}
	if read {
		a.Supervisor.MarkTermRead()
	}
}

// applyNewRecord applies a record that is newer than those of replaceRecords.
func (a *Agent) applyNewRecord(r jaystore.StoredRecord) {
	if valid := a.applyRecord(r); valid && r.Key == jaycontroller.TermKey {
		a.Supervisor.MarkTermRead()
	}
}

// applyRecord applies a record of the cell's topic. It returns false for an invalid term.
func (a *Agent) applyRecord(r jaystore.StoredRecord) bool {
	name, address, _, isEntry := jaycontroller.DecodeEntry(r)
	switch {
	case r.Key == jaycontroller.TermKey && r.Value != nil:
		t, err := jaycontroller.DecodeTerm(r.Value)
		if err != nil {
			a.Logger.Error().Str("event", "record").Err(err).Msg("skipping an invalid term record")
			return false
		}
		a.setTerm(t)
	case isEntry && address != "":
		a.mutex.Lock()
		a.entries[address] = true
		a.mutex.Unlock()
		a.Logger.Debug().Str("event", "entry").Str("peer", name).Str("address", address).Msg("found an entry")
	}
	return true
}

// setTerm adopts a newer term and closes the link to the old leader.
func (a *Agent) setTerm(t jaycontroller.Term) {
	a.mutex.Lock()
	if t.Number() <= a.term.Number() {
		a.mutex.Unlock()
		return
	}
	a.term = t
	old := a.link
	a.link = nil
	a.mutex.Unlock()
	a.Supervisor.SetTerm(t.Number())
	if old != nil {
		old.Close("a newer term has begun")
	}
	jaycontroller.Signal(a.termChanged)
}

// nextAddress returns the next address to dial: the leader's and, after each attempt there
// that did not lead to a lease, that of another entry in turn, which may know a newer term.
func (a *Agent) nextAddress(failures int) string {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if address := a.term.Address(); address != "" && failures%2 == 0 {
		return address
	}
	all := append([]string(nil), a.Seeds...)
	for address := range a.entries {
		if address != a.term.Address() {
			all = append(all, address)
		}
	}
	if len(all) == 0 {
		return a.term.Address()
	}
	a.nextSeed++
	return all[a.nextSeed%len(all)]
}

// maintainLink keeps a link to the leader.
func (a *Agent) maintainLink(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; {
		address := a.nextAddress(failures)
		if address != "" && a.serveLink(ctx, address) {
			failures = 0
		} else {
			failures++
		}
		select {
		case <-ctx.Done():
		case <-a.termChanged:
			failures = 0
		case <-time.After(redialDelay):
		}
	}
}

// serveLink opens a link to an entry and serves it until it ends. It reports whether the
// entry has granted a lease, as only a leader does.
func (a *Agent) serveLink(ctx context.Context, address string) bool {
	dial, cancel := context.WithTimeout(ctx, dialTimeout)
	l, _, err := a.endpoint.Dial(dial, address, &jayframe.Hello{Role: jayframe.RoleAgent, DataCentre: a.DataCentre})
	cancel()
	if err != nil {
		a.Logger.Debug().Str("event", "link").Str("address", address).Err(err).Msg("cannot reach an entry")
		return false
	}
	a.mutex.Lock()
	a.link, a.leaseGranted = l, false
	a.mutex.Unlock()
	a.Logger.Info().Str("event", "link").Str("peer", l.Peer()).Str("address", address).Msg("linked to an entry")
	a.Supervisor.ReportNow()
	l.Run(ctx)
	a.mutex.Lock()
	if a.link == l {
		a.link = nil
	}
	granted := a.leaseGranted
	a.mutex.Unlock()
	a.Logger.Info().Str("event", "link").Str("peer", l.Peer()).Err(l.Err()).Msg("link ended")
	return granted
}

// handleMessage handles a message received on the link.
func (a *Agent) handleMessage(l *jaylink.Link, _ uint64, m jayframe.Message) {
	switch m := m.(type) {
	case *jayframe.CellLeaseGrant:
		if m.Sequence > 0 {
			a.recordGrant(l)
			if m.EvacuationKnown {
				a.Supervisor.RecordEvacuation(jayevacuation.Statement{Evacuated: m.Evacuated, ViewAge: time.Duration(m.ViewAgeMillis) * time.Millisecond}, m.Sequence)
			}
			a.Supervisor.GrantLease(m.Term, m.Sequence)
		}
	case *jayframe.CellOrders:
		orders := make([]jaycell.Order, len(m.Orders))
		for i, o := range m.Orders {
			orders[i] = jaycell.Order{Kind: jaycell.OrderKind(o.Kind), Runner: o.Runner, Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Number: o.Number, Percent: o.Percent, Repeated: o.Repeated, Capacity: jaytask.Resources{CPU: o.CPU, Memory: o.Memory, Accelerators: o.Accelerators}}
		}
		a.Supervisor.ApplyOrders(m.Term, orders)
	case *jayframe.CellView:
		a.handleView(l, m)
	}
}

func (a *Agent) recordGrant(l *jaylink.Link) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.link == l {
		a.leaseGranted = true
	}
}

// handleView adopts the term that an entry has announced, and closes the link to an
// entry that is not the leader.
func (a *Agent) handleView(l *jaylink.Link, m *jayframe.CellView) {
	a.mutex.Lock()
	for _, address := range m.Entries {
		a.entries[address] = true
	}
	a.mutex.Unlock()
	a.setTerm(jaycontroller.NewTerm(m.Term, m.Leader, m.Address))
	if m.Leader != l.Peer() && m.Address != "" {
		l.Close("this entry is not the leader")
	}
}

// sendReport sends a report to the linked entry, if any.
func (a *Agent) sendReport(r jaycell.Report) {
	a.mutex.Lock()
	l := a.link
	a.mutex.Unlock()
	if l == nil {
		return
	}
	err := l.Send(encodeReport(r))
	var tooLarge *jayframe.TooLargeError
	if errors.As(err, &tooLarge) {
		// The runner's lease depends on the report, while the checkpoint of a run matters only once
		// its runner is lost.
		for i := range r.Running {
			r.Running[i].Checkpoint = ""
		}
		a.Logger.Warn().Str("event", "report").Str("runner", r.Runner.ID).Int("runs", len(r.Running)).Err(err).Msg("sending a report without checkpoints")
		err = l.Send(encodeReport(r))
	}
	if err != nil {
		a.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("cannot send a report")
	}
}

func encodeReport(r jaycell.Report) *jayframe.CellReport {
	m := &jayframe.CellReport{
		Node: r.Node, Sequence: r.Sequence, Term: r.Term, Runner: r.Runner.ID, Service: r.Runner.Service, DataCentre: r.Runner.DataCentre, Labels: r.Runner.Labels,
		CPU: r.Runner.Capacity.CPU, Memory: r.Runner.Capacity.Memory, Accelerators: r.Runner.Capacity.Accelerators,
		Draining: r.Runner.Draining, DrainRemainingMillis: r.Runner.DrainRemaining.Milliseconds(), ColdLeftMillis: r.Runner.ColdLeft.Milliseconds(), Responsive: r.Responsive, Ended: r.Ended,
	}
	for _, x := range r.Running {
		m.Running = append(m.Running, jayframe.CellRun{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: x.Percent, Load: x.Load})
	}
	for _, x := range r.Finished {
		m.Finished = append(m.Finished, jayframe.CellEnd{Number: x.Number, Task: x.Task, Run: x.Run, Reason: uint8(x.Reason), Checkpoint: x.Checkpoint})
	}
	for _, x := range r.OrderResults {
		m.OrderResults = append(m.OrderResults, jayframe.CellOrderResult{Task: x.Task, Run: x.Run, Refused: x.Refused, Reason: x.Reason})
	}
	for _, x := range r.PendingOrders {
		m.PendingOrders = append(m.PendingOrders, jayframe.CellOrder{Kind: uint8(x.Kind), Task: x.Task, Run: x.Run})
	}
	for _, x := range r.Crashes {
		c := jayframe.CellCrash{Runner: x.Runner}
		for _, y := range x.Runs {
			c.Runs = append(c.Runs, jayframe.CellCrashedRun{Task: y.Task, Run: y.Run, Percent: y.Percent, WorkedForMillis: y.WorkedFor.Milliseconds(), ListedForMillis: y.ListedFor.Milliseconds()})
		}
		m.Crashes = append(m.Crashes, c)
	}
	return m
}
