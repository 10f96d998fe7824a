package jaysupervisor

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
)

const (
	// ReportEvery is the time between two reports when nothing changes.
	ReportInterval = 500 * time.Millisecond
	// holdWait is how long a runner may wait for an end; it bounds the age of the
	// progress that is reported.
	holdWait = 500 * time.Millisecond
	// callTimeout bounds one try of a call on the own machine, where an answer
	// takes a few milliseconds.
	callTimeout = 400 * time.Millisecond
	// holdSpacing keeps a runner that lists unacknowledged ends from answering in
	// a tight loop.
	holdSpacing = 60 * time.Millisecond
	// retryPause is between two tries of an order.
	retryPause = 120 * time.Millisecond
	// currentFor is how long a runner counts as present after its last answer.
	currentFor = 1200 * time.Millisecond
	// currentBeats is the same in heartbeats, of a runner that takes no calls.
	currentBeats = 2
	// leastLease is what must be left of a lease for a start.
	leastLease = 500 * time.Millisecond
	// resultsFor is how long the outcome of an order is repeated in reports.
	resultsFor = 4 * time.Second
)

// order is one order that is being carried out.
type order struct {
	jaycell.Order
	term uint64
	stop bool
	// open tells that a start was sent and not answered.
	open bool
	// given counts the answers to heartbeats that have carried the order.
	given  int
	cancel context.CancelFunc
}

type result struct {
	jaycell.OrderResult
	at time.Duration
}

// Keeper keeps one runner. Its exported fields are set before Run.
type Supervisor struct {
	Node   string
	Client RunnerClient
	// Lease is how long a run outlives the last grant.
	Lease time.Duration
	// ByHeartbeat tells that the runner takes no calls: its heartbeats carry its
	// listing, and their answers its orders.
	OrdersByHeartbeat bool
	// HeartbeatEvery is the time between two heartbeats of the runner.
	HeartbeatInterval time.Duration
	Logger            zerolog.Logger
	// Send passes a report to the holder of the term.
	SendReport func(r jaycell.Report)

	ctx   context.Context
	tasks conc.WaitGroup

	mutex     sync.Mutex
	runner    jaycell.RunnerInfo
	sequence  uint64
	left      bool
	lastHeard time.Duration
	clock     time.Duration
	clockAt   time.Duration
	clockSet  bool
	term      uint64
	fenced    uint64
	permit    time.Duration
	acked     uint64
	orders    map[string]*order
	results   []result
	listing   Listing
	listedAt  time.Duration
	changed   chan struct{}
	urgent    chan struct{}
	// past names earlier lives of the runner, told is the fence in the last answer
	// to a heartbeat of this one.
	past []string
	told uint64
}

// New returns a keeper without a runner.
func New() *Supervisor {
	return &Supervisor{orders: map[string]*order{}, changed: make(chan struct{}, 1), urgent: make(chan struct{}, 1)}
}

// Run keeps the runner until ctx ends.
func (k *Supervisor) Run(ctx context.Context) {
	k.mutex.Lock()
	k.ctx = ctx
	k.mutex.Unlock()
	var wg conc.WaitGroup
	if !k.OrdersByHeartbeat {
		wg.Go(func() { k.watch(ctx) })
		wg.Go(func() { k.glance(ctx) })
	}
	wg.Go(func() { k.report(ctx) })
	wg.Wait()
	k.tasks.Wait()
}

// Term returns the highest term that the keeper knows.
func (k *Supervisor) Term() uint64 {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.term
}

// SetTerm notes that a term has begun. Orders of earlier terms end: once the
// runner has seen the new fence, their starts cannot begin any more.
func (k *Supervisor) SetTerm(term uint64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.setTerm(term)
}

func (k *Supervisor) setTerm(term uint64) {
	if term <= k.term {
		return
	}
	k.Logger.Info().Str("event", "term").Uint64("term", term).Uint64("was", k.term).Msg("following a new term")
	k.term = term
	for task, o := range k.orders {
		o.cancel()
		delete(k.orders, task)
	}
	k.results = nil
	jaycontroller.Signal(k.urgent)
}

// Grant extends the permission to hold the lease, counted from when the report
// was sent.
func (k *Supervisor) GrantLease(term uint64, sequence int64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if term == k.term {
		k.permit = max(k.permit, time.Duration(sequence)+k.Lease)
	}
}

// Beat takes a runner's report about itself. A report of another life counts
// only when the runner answers under that identity: it may be a late one of a
// life that has ended.
func (k *Supervisor) HandleHeartbeat(ctx context.Context, h Heartbeat) {
	k.mutex.Lock()
	if k.runner.ID == h.Runner.ID {
		if h.Sequence > k.sequence {
			k.refresh(h)
		}
		k.mutex.Unlock()
		return
	}
	fence := k.term
	k.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listing, err := k.Client.Renew(ctx, Renewal{Incarnation: h.Runner.ID, Fence: fence})
	if err != nil {
		k.Logger.Warn().Str("event", "runner").Str("runner", h.Runner.ID).Err(err).Msg("ignoring a heartbeat of a runner that does not answer")
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.runner.ID == h.Runner.ID {
		return
	}
	k.replace(h)
	k.take(listing, jayclock.Elapsed(), jayclock.Elapsed(), fence)
	jaycontroller.Signal(k.urgent)
}

// refresh takes a newer report of the same life.
func (k *Supervisor) refresh(h Heartbeat) {
	k.sequence = h.Sequence
	if k.runner.Draining != h.Runner.Draining {
		k.Logger.Info().Str("event", "runner").Str("runner", h.Runner.ID).Bool("draining", h.Runner.Draining).Dur("drain_left", h.Runner.DrainRemaining).Msg("runner changed its state")
		jaycontroller.Signal(k.changed)
	}
	k.runner = h.Runner
}

// replace begins with another life of the runner.
func (k *Supervisor) replace(h Heartbeat) {
	k.Logger.Info().Str("event", "runner").Str("runner", h.Runner.ID).Str("was", k.runner.ID).Msg("runner began a new life")
	for task, o := range k.orders {
		o.cancel()
		delete(k.orders, task)
	}
	if k.runner.ID != "" {
		k.past = append(k.past[max(0, len(k.past)-pastLives+1):], k.runner.ID)
	}
	k.runner, k.sequence, k.left, k.acked, k.results, k.clockSet, k.fenced, k.told = h.Runner, h.Sequence, false, 0, nil, false, 0, 0
	k.listing = Listing{}
	jaycontroller.Signal(k.changed)
}

// Leave notes that a runner has said that it is gone.
func (k *Supervisor) Deregister(id string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.runner.ID != id {
		return
	}
	k.Logger.Info().Str("event", "runner").Str("runner", id).Msg("runner has left")
	k.left = true
	jaycontroller.Signal(k.changed)
}

// watch asks for ends without pause.
func (k *Supervisor) watch(ctx context.Context) {
	for ctx.Err() == nil {
		begun := jayclock.Elapsed()
		ok := k.poll(ctx, holdWait)
		wait := holdSpacing - (jayclock.Elapsed() - begun)
		if !ok {
			wait = retryPause
		}
		if !jayclock.Sleep(ctx, wait) {
			return
		}
	}
}

// glance asks at once when a listing is wanted now.
func (k *Supervisor) glance(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.urgent:
			k.poll(ctx, 0)
		}
	}
}

// poll asks the runner what runs and extends its lease.
func (k *Supervisor) poll(ctx context.Context, wait time.Duration) bool {
	k.mutex.Lock()
	h := Renewal{Incarnation: k.runner.ID, Deadline: k.deadline(), Fence: k.term, Acknowledged: k.acked, Wait: wait}
	idle := k.runner.ID == "" || k.left
	k.mutex.Unlock()
	if idle {
		return false
	}
	begun := jayclock.Elapsed()
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	listing, err := k.Client.Renew(call, h)
	ended := jayclock.Elapsed()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.runner.ID != h.Incarnation {
		return false
	}
	if err != nil {
		var replaced *ReplacedError
		if errors.As(err, &replaced) {
			k.lastHeard = 0
		}
		return false
	}
	k.take(listing, begun, ended, h.Fence)
	return true
}

// deadline returns when the lease ends on the runner's clock, or zero.
func (k *Supervisor) deadline() time.Duration {
	if !k.clockSet || k.permit <= k.clockAt {
		return 0
	}
	return k.clock + k.permit - k.clockAt
}

// take notes a listing, unless one that was asked for later has come before.
func (k *Supervisor) take(l Listing, begun, ended time.Duration, fence uint64) {
	if l.InvalidRows > 0 {
		k.Logger.Warn().Str("event", "listing").Str("runner", k.runner.ID).Int("unreadable", l.InvalidRows).Msg("skipped rows that cannot be read")
	}
	k.lastHeard = max(k.lastHeard, ended)
	if !k.clockSet || l.Clock > k.clock {
		k.clock, k.clockAt, k.clockSet = l.Clock, ended, true
	}
	if begun < k.listedAt {
		return
	}
	k.listedAt = begun
	k.fenced = max(k.fenced, fence)
	old := k.listing
	k.listing = l
	for _, e := range l.Finished {
		if o := k.orders[e.Task]; o != nil && o.Run <= e.Run {
			o.cancel()
			delete(k.orders, e.Task)
		}
	}
	for _, r := range l.Running {
		if o := k.orders[r.Task]; o != nil && o.Run == r.Run && !o.stop {
			o.cancel()
			delete(k.orders, r.Task)
		}
	}
	if len(old.Finished) != len(l.Finished) || len(old.Running) != len(l.Running) {
		jaycontroller.Signal(k.changed)
	}
}

// report sends reports: at once when something changed, else regularly.
func (k *Supervisor) report(ctx context.Context) {
	timer := time.NewTicker(ReportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-k.changed:
		}
		k.SendReport(k.Report())
	}
}

// Report returns what the keeper knows now.
func (k *Supervisor) Report() jaycell.Report {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := jayclock.Elapsed()
	r := jaycell.Report{
		Node: k.Node, Sequence: int64(now), Term: min(k.fenced, k.term), Runner: k.runner, Departed: k.left,
		Responsive: !k.left && k.lastHeard > 0 && now-k.lastHeard < max(currentFor, k.HeartbeatInterval*currentBeats),
		Running:    append([]jaycell.Run(nil), k.listing.Running...), Finished: append([]jaycell.End(nil), k.listing.Finished...),
	}
	if k.fenced < k.term {
		r.Term = 0
	}
	kept := k.results[:0]
	for _, s := range k.results {
		if now-s.at < resultsFor {
			kept = append(kept, s)
			r.OrderResults = append(r.OrderResults, s.OrderResult)
		}
	}
	k.results = kept
	for _, o := range k.orders {
		kind := jaycell.OrderStart
		if o.stop {
			kind = jaycell.OrderStop
		}
		r.PendingOrders = append(r.PendingOrders, jaycell.Order{Kind: kind, Task: o.Task, Run: o.Run})
	}
	return r
}

// Changed makes the next report go out at once.
func (k *Supervisor) ReportNow() { jaycontroller.Signal(k.changed) }
