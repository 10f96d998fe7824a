package jaysupervisor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

// formerLeader is a leader that the store does not serve any more. It goes on granting leases and
// repeating orders until its successor counts on the end of that, but places nothing.
type formerLeader struct {
	cell  *jaycell.Cell
	term  uint64
	links map[string]*link
}

// split makes another leader take over while the former one goes on for as long as the successor
// counts on that.
func (f *fleet) split(handover time.Duration) {
	former := &formerLeader{cell: f.cell, term: f.term, links: f.links}
	f.former, f.handover = former, handover
	f.newTerm()
	time.AfterFunc(handover, f.lockedFunc(func() {
		if f.former == former {
			f.former, f.handover = nil, 0
			f.logf("", "the leader of term %d grants no more leases", former.term)
		}
	}))
}

func (l *formerLeader) tick(f *fleet) {
	if l == nil {
		return
	}
	l.cell.SetTime(f.now(), time.Now())
	l.cell.SetStarting(false)
	l.cell.Tick()
	f.sendOrders(l.term, l.links, l.cell.TakeImmediateOrders())
}

func (l *formerLeader) handleReport(f *fleet, from *link, r jaycell.Report) {
	if l == nil || from.term != l.term {
		return
	}
	r.Connection = from.number
	if old := l.links[r.Node]; old == nil || old.number <= from.number {
		l.links[r.Node] = from
	}
	l.cell.SetTime(f.now(), time.Now())
	if l.cell.ApplyReport(r) {
		from.send(down, func() { from.supervisor.GrantLease(l.term, r.Sequence) })
	}
}

// Guards against an agent that restarts without the store, follows the leader before the one that it
// had followed, and starts or keeps a run that the later leader has given up. Runners with orders by
// heartbeat may not have read the later leader's fence.
func TestRestartedAgentFollowsNoEarlierLeader(t *testing.T) {
	const lease, handover = 3 * time.Second, 20 * time.Second
	for _, c := range []struct {
		name       string
		heartbeats bool
		// begun is set if the run has begun before the next leader takes over.
		begun bool
		// readsStore is when the restarted agent reaches the store again, zero if it does not
		// before the former leader has ended.
		readsStore time.Duration
	}{
		{"start, by heartbeat", true, false, 0},
		{"lease, by heartbeat", true, true, 0},
		{"lease until the store is read, by heartbeat", true, true, 2800 * time.Millisecond},
		{"start, by call", false, false, 0},
		{"lease, by call", false, true, 0},
		{"lease until the store is read, by call", false, true, 2800 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, lease, 1)
				defer f.close()
				n := f.addNode(c.heartbeats)
				time.Sleep(2 * time.Second)
				if !c.begun {
					n.link.cut(down)
				}
				j := f.submit(1, false, 15*time.Second)
				f.stuck = j.ID
				if c.begun {
					f.until("first run", time.Second, f.hasBegun(j, 1))
				} else {
					f.until("order", time.Second, f.logged("order start", "run 1 to n0"))
				}
				f.addNode(false)
				time.Sleep(700 * time.Millisecond)
				f.locked(func() {
					// The runner gives up the answers that carry the next term's fence.
					n.runner.deaf = true
					f.split(handover)
				})
				f.until("report in the next term", 2*time.Second, func() bool { return n.supervisor.Report().Term == f.term })
				if c.begun {
					time.Sleep(300 * time.Millisecond)
				} else {
					f.until("run on the other runner", 4*time.Second, func() bool { return len(f.runs) > 0 })
				}
				f.locked(func() {
					n.storeCut, n.followFormer = true, true
					n.launch()
					n.runner.deaf = false
				})
				if c.readsStore > 0 {
					time.Sleep(c.readsStore)
					n.link.cut(up, down)
					f.locked(n.healStore)
				}
				time.Sleep(handover)
				f.locked(func() {
					n.followFormer = false
					n.healStore()
					n.connect()
				})
				f.until("end of the job", 40*time.Second, f.ended(j))
				time.Sleep(time.Second)
				f.checkIdle()
			})
		})
	}
}
