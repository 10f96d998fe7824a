package jaysupervisor

import (
	"cmp"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// Directions of a link's messages.
const (
	up = iota
	down
)

// link carries messages between an agent process and the leader of a term, in order.
type link struct {
	node       *node
	number     uint64
	supervisor *Supervisor
	term       uint64
	// closed links accept no messages; lost ones do not deliver those in transit either.
	closed, lost bool
	// cuts counts the reasons to hold back the messages of a direction.
	cuts  [2]int
	queue [2][]func()
	due   [2]time.Duration
}

func (l *link) send(direction int, deliver func()) {
	f := l.node.fleet
	if l.closed {
		return
	}
	l.due[direction] = max(l.due[direction]+time.Microsecond, f.now()+f.luckOf(fmt.Sprint(l.node.name, direction)).between(1, 6))
	time.AfterFunc(l.due[direction]-f.now(), func() {
		f.mutex.Lock()
		l.queue[direction] = append(l.queue[direction], deliver)
		f.mutex.Unlock()
		l.flush(direction)
	})
}

// flush delivers the messages that have arrived and are not held back.
func (l *link) flush(direction int) {
	for l.deliverNext(direction, false) {
	}
}

// deliverNext delivers one message, even during a cut if forced. It reports whether there
// was one.
func (l *link) deliverNext(direction int, forced bool) bool {
	l.node.fleet.mutex.Lock()
	held := l.cuts[direction] > 0 && !forced || direction == down && l.node.paused != nil
	if held || len(l.queue[direction]) == 0 {
		l.node.fleet.mutex.Unlock()
		return false
	}
	deliver := l.queue[direction][0]
	l.queue[direction] = l.queue[direction][1:]
	lost := l.lost || direction == down && l.supervisor != l.node.supervisor
	l.node.fleet.mutex.Unlock()
	if !lost {
		deliver()
	}
	return true
}

// cut holds back the messages of the given directions.
func (l *link) cut(directions ...int) {
	l.node.fleet.locked(func() { l.cutLocked(directions) })
}

func (l *link) cutLocked(directions []int) {
	l.node.disturb()
	for _, d := range directions {
		l.cuts[d]++
	}
	l.node.fleet.logf("", "link of %s cut %v", l.node.name, directions)
}

func (l *link) heal(directions ...int) {
	l.node.fleet.locked(func() {
		l.node.disturb()
		for _, d := range directions {
			l.cuts[d]--
		}
		l.node.fleet.logf("", "link of %s healed %v", l.node.name, directions)
	})
	for _, d := range directions {
		l.flush(d)
	}
}

// node is a machine with an agent process and a runner.
type node struct {
	fleet      *fleet
	name       string
	heartbeats bool
	runner     *modelRunner
	supervisor *Supervisor
	link       *link
	kill       context.CancelFunc
	// storeCut agents do not reach the store, and those that followFormer link to the former
	// leader while there is one.
	storeCut, followFormer bool
	// paused is closed when a pause of the agent process ends.
	paused        chan struct{}
	runnerAtPause *modelRunner
	sequence      uint64
	// disturbedAt is when the last fault of the node, its links or its runner's calls began or
	// ended.
	disturbedAt time.Duration
	// resumedAt is when the last pause of the agent process ended.
	resumedAt time.Duration
	elapsed   time.Duration
	clock     sync.Mutex
}

func (f *fleet) addNode(heartbeats bool) *node {
	n := &node{fleet: f, name: fmt.Sprintf("n%d", len(f.nodes)), heartbeats: heartbeats}
	f.locked(func() {
		f.nodes = append(f.nodes, n)
		n.newRunner()
		n.launch()
	})
	f.group.Go(func() {
		for f.ctx.Err() == nil {
			n.heartbeat()
			time.Sleep(200 * time.Millisecond)
		}
	})
	return n
}

// now is the machine's clock; no two readings are equal.
func (n *node) now() time.Duration {
	n.clock.Lock()
	defer n.clock.Unlock()
	n.elapsed = max(n.elapsed+1, n.fleet.now())
	return n.elapsed
}

// launch starts an agent process in place of the previous one, whose calls may still be
// carried out.
func (n *node) launch() {
	if n.kill != nil {
		n.kill()
		n.fleet.logf("", "agent of %s killed", n.name)
		n.disturb()
	}
	if n.paused != nil {
		close(n.paused)
		n.paused = nil
	}
	ctx, cancel := context.WithCancel(n.fleet.ctx)
	s := New()
	s.Node, s.Lease, s.Elapsed, s.Logger, s.OrdersByHeartbeat, s.HeartbeatInterval = n.name, n.fleet.lease, n.now, zerolog.Nop(), n.heartbeats, 200*time.Millisecond
	if n.fleet.evacuations != nil {
		s.EvacuationBound = modelEvacuationBound
	}
	s.Client = n.client(ctx)
	s.SendReport = func(r jaycell.Report) {
		n.awaitResume(ctx)
		n.fleet.locked(func() {
			if l := n.link; ctx.Err() == nil && l != nil {
				l.send(up, func() { n.fleet.handleReport(l, r) })
			}
		})
	}
	n.supervisor, n.kill = s, cancel
	n.fleet.group.Go(func() { s.Run(ctx) })
	if n.heartbeats {
		n.readStore()
	}
	n.connect()
}

// connect replaces the link to the leader.
func (n *node) connect() {
	if n.link != nil {
		n.link.closed = true
	}
	n.fleet.logf("", "%s connects", n.name)
	n.fleet.opened++
	l := &link{node: n, number: n.fleet.opened, supervisor: n.supervisor, term: n.fleet.term}
	if n.followFormer && n.fleet.former != nil {
		l.term = n.fleet.former.term
	}
	n.link = l
	l.send(down, func() {
		l.supervisor.SetTerm(l.term)
		l.supervisor.ReportNow()
	})
}

// readStore makes an agent with access to the store adopt the newest term.
func (n *node) readStore() {
	if s := n.supervisor; !n.storeCut {
		s.SetTerm(n.fleet.term)
		s.MarkTermRead()
	}
}

// healStore gives the agent access to the store again.
func (n *node) healStore() {
	n.storeCut = false
	n.readStore()
}

func (n *node) pause() {
	n.fleet.locked(n.pauseLocked)
}

func (n *node) pauseLocked() {
	n.disturb()
	n.fleet.logf("", "agent of %s pauses", n.name)
	if n.paused == nil {
		n.runnerAtPause = n.runner
	}
	n.paused = cmp.Or(n.paused, make(chan struct{}))
}

// resume ends a pause.
func (n *node) resume() {
	n.fleet.mutex.Lock()
	l := n.link
	if n.paused != nil {
		n.fleet.logf("", "agent of %s goes on", n.name)
		close(n.paused)
		n.paused = nil
		n.resumedAt = n.fleet.now()
		n.disturb()
	}
	n.fleet.mutex.Unlock()
	l.flush(down)
}

func (n *node) awaitResume(ctx context.Context) {
	n.fleet.mutex.Lock()
	paused := n.paused
	n.fleet.mutex.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-ctx.Done():
		}
	}
}

// heartbeat sends a heartbeat of the runner and carries out the response.
func (n *node) heartbeat() {
	f := n.fleet
	n.awaitResume(f.ctx)
	f.mutex.Lock()
	f.advance()
	r, s := n.runner, n.supervisor
	if r.leaving || !r.alive {
		f.mutex.Unlock()
		return
	}
	n.sequence++
	h := Heartbeat{Sequence: n.sequence, Runner: jaycell.RunnerInfo{ID: r.id, Service: "s", DataCentre: n.dataCentre(), Capacity: jaytask.Resources{CPU: r.slots}, Draining: r.draining, DrainRemaining: r.drainLeft}}
	if n.heartbeats {
		h.Listing = r.listing()
	}
	x := r.fateOf("heartbeat")
	f.mutex.Unlock()
	if !n.heartbeats {
		if x.answered {
			s.HandleHeartbeat(f.ctx, h)
		}
		return
	}
	sentAt := f.now()
	if !x.executed || !jayclock.Sleep(f.ctx, min(x.delay, time.Second)) {
		return
	}
	n.awaitResume(f.ctx)
	response := s.ExchangeHeartbeat(h)
	if !jayclock.Sleep(f.ctx, 2*time.Millisecond) || !x.answered || f.now()-sentAt > time.Second {
		return
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.advance()
	if n.runner != r || !r.alive || r.deaf || response.Fence < r.fence || response.NextHeartbeat == 0 {
		return
	}
	r.fence = response.Fence
	r.acknowledge(response.Acknowledged)
	if response.Lease > 0 {
		r.extend(r.clock() + response.Lease)
	}
	for _, o := range response.Stops {
		o.Incarnation, o.Fence = r.id, r.fence
		f.logf(o.Task, "%s heartbeat: stop %s run %d: %v", r.id, o.Task, o.Run, r.stop(o))
	}
	for _, o := range response.Starts {
		o.Incarnation, o.Fence, o.Deadline = r.id, r.fence, r.deadline
		f.logf(o.Task, "%s heartbeat: start %s run %d: %v", r.id, o.Task, o.Run, r.start(o))
	}
}
