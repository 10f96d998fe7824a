package jaysupervisor

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// until waits for a condition, which is checked with the mutex held.
func (f *fleet) until(what string, limit time.Duration, ok func() bool) {
	f.t.Helper()
	for deadline := f.now() + limit; ; time.Sleep(time.Millisecond) {
		f.mutex.Lock()
		met, failed := ok(), f.failure != ""
		if !met && !failed && f.now() > deadline {
			f.fail(f.stuck, "no %s within %s", what, limit)
			failed = true
		}
		f.mutex.Unlock()
		if met {
			return
		}
		if failed {
			f.close()
			f.t.FailNow()
		}
	}
}

func (f *fleet) ended(j *jaytask.Job) func() bool {
	return func() bool { return f.states[j.ID].Ended() }
}

// hasBegun reports whether a run of the job's first task has begun.
func (f *fleet) hasBegun(j *jaytask.Job, run int) func() bool {
	return func() bool {
		x := f.begun[f.unitOf(jaycell.TaskName(j.ID, 0, 0, 0))]
		return x != nil && x.run == run
	}
}

// logged reports whether an event contains all parts.
func (f *fleet) logged(parts ...string) func() bool {
	return func() bool {
		for _, e := range f.events {
			all := true
			for _, p := range parts {
				all = all && strings.Contains(e.text, p)
			}
			if all {
				return true
			}
		}
		return false
	}
}

// The agent of the first node is out of touch until the next run begins on the second.
func TestPendingStartDoesNotOutliveItsLease(t *testing.T) {
	for _, c := range []struct {
		name       string
		heartbeats bool
		// leave makes the node lose touch with a start pending, and back ends that.
		leave, back func(n *node, submit func())
	}{
		{"waiting for a lease in the agent", false, func(n *node, submit func()) {
			n.link.cut(up)
			time.Sleep(600 * time.Millisecond)
			submit()
			n.fleet.until("order", time.Second, n.fleet.logged("n0 gets order start"))
			n.link.cut(down)
		}, func(n *node, _ func()) { n.link.heal(up, down) }},
		{"unanswered by the runner", false, func(n *node, submit func()) {
			n.setSilent(true)
			submit()
			n.fleet.until("order", time.Second, n.fleet.logged("n0 gets order start"))
			n.link.cut(up, down)
		}, func(n *node, _ func()) { n.setSilent(false); n.link.heal(up, down) }},
		{"while only the runner is out of touch", false, func(n *node, submit func()) {
			n.setSilent(true)
			submit()
		}, func(n *node, _ func()) { n.setSilent(false) }},
		{"in transit on the old link", false, func(n *node, submit func()) {
			n.link.cut(down)
			submit()
			time.Sleep(150 * time.Millisecond)
			n.link.cut(up)
		}, func(n *node, _ func()) {
			n.link.heal(up, down)
			n.fleet.locked(n.connect)
		}},
		{"buffered while the agent pauses", false, func(n *node, submit func()) {
			n.pause()
			submit()
		}, func(n *node, _ func()) { n.resume() }},
		{"for a runner with orders by heartbeat", true, func(n *node, submit func()) {
			n.setSilent(true)
			submit()
		}, func(n *node, _ func()) { n.setSilent(false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lease := time.Second
				if c.heartbeats {
					lease = 3 * time.Second
				}
				f := newFleet(t, lease, 1)
				defer f.close()
				n := f.addNode(c.heartbeats)
				time.Sleep(2 * time.Second)
				var j *jaytask.Job
				c.leave(n, func() { j = f.submit(1, false, 3*time.Second) })
				f.addNode(false)
				f.until("second run", 2*lease, f.hasBegun(j, 2))
				c.back(n, nil)
				f.until("end of the job", 20*time.Second, f.ended(j))
				time.Sleep(time.Second)
				f.checkIdle()
			})
		})
	}
}

func (n *node) setSilent(silent bool) {
	n.fleet.locked(func() { n.runner.silent = silent })
}

func (r *modelRunner) refuse(reason string) {
	r.refusal, r.draining = reason, reason == ReasonDraining
	r.node.fleet.logf("", "%s refuses starts: %q", r.id, reason)
}

// setRefusal makes the runner or its agent refuse starts for a reason; an empty one ends
// that.
func (n *node) setRefusal(reason string) {
	n.fleet.locked(func() { n.runner.refuse(reason) })
	time.Sleep(250 * time.Millisecond)
}

// checkIdle requires that no supervisor has an order and no runner a run.
func (f *fleet) checkIdle() {
	for _, n := range f.nodes {
		for _, o := range n.supervisor.Report().PendingOrders {
			f.locked(func() { f.fail(o.Task, "%s still has order %s", n.name, describe(o)) })
		}
	}
	f.locked(func() {
		for _, x := range f.runs {
			f.fail(x.task, "run %d is still on %s", x.run, x.runner.id)
		}
	})
}

// The leader repeats a start; the copy that arrives first is refused, the other accepted.
func TestCopyOfRefusedStartDoesNotBeginBesideTheNextRun(t *testing.T) {
	for _, c := range []struct {
		name          string
		reason        string
		oldLink       bool
		heartbeats    bool
		lostResponses bool
	}{
		{"no room", "room", true, false, false},
		{"unhealthy", jaycell.ReasonUnhealthy, true, false, false},
		{"draining", ReasonDraining, true, false, false},
		{"unhealthy, copy on the same link", jaycell.ReasonUnhealthy, false, false, false},
		{"no room, by heartbeat", "room", true, true, false},
		{"draining, by heartbeat", ReasonDraining, true, true, false},
		{"draining, by heartbeat, responses lost", ReasonDraining, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3*time.Second, 1)
				defer f.close()
				n := f.addNode(c.heartbeats)
				time.Sleep(2 * time.Second)
				first := n.link
				first.cut(down)
				j := f.submit(1, false, 3*time.Second)
				time.Sleep(100 * time.Millisecond)
				f.addNode(false)
				n.setRefusal(c.reason)
				f.locked(func() { n.runner.deaf = c.lostResponses })
				if c.oldLink {
					time.Sleep(400 * time.Millisecond)
					f.locked(n.connect)
				} else {
					time.Sleep(1200 * time.Millisecond)
					for first.deliverNext(down, true) && !f.logged("n0 gets order start")() {
					}
				}
				f.until("second run", 5*time.Second, f.hasBegun(j, 2))
				f.locked(func() { n.runner.deaf = false })
				n.setRefusal("")
				first.heal(down)
				f.until("end of the job", 20*time.Second, f.ended(j))
				time.Sleep(time.Second)
				f.checkIdle()
			})
		})
	}
}

// The old agent's call is carried out after the new agent's copy was refused.
func TestUnansweredStartOfKilledAgentDoesNotBegin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3*time.Second, 1)
		defer f.close()
		n := f.addNode(false)
		time.Sleep(2 * time.Second)
		f.locked(func() { n.runner.fates = []fate{{delay: 2200 * time.Millisecond, executed: true}} })
		j := f.submit(1, false, 3*time.Second)
		f.until("order", time.Second, f.logged("n0 gets order start"))
		time.Sleep(20 * time.Millisecond)
		f.locked(n.launch)
		f.addNode(false)
		n.setRefusal("room")
		f.until("second run", 5*time.Second, f.hasBegun(j, 2))
		n.setRefusal("")
		f.until("end of the job", 20*time.Second, f.ended(j))
		time.Sleep(time.Second)
		f.checkIdle()
	})
}

// A run that was done before its lease lapsed is listed while the next run goes on.
func TestLateEndAsDoneCompletesTheTask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, time.Second, 1)
		defer f.close()
		n := f.addNode(false)
		time.Sleep(2 * time.Second)
		j := f.submit(1, false, 500*time.Millisecond)
		f.until("first run", time.Second, f.hasBegun(j, 1))
		n.link.cut(up, down)
		f.addNode(false)
		f.until("second run", 3*time.Second, f.hasBegun(j, 2))
		second := f.begun[jaycell.TaskName(j.ID, 0, 0, 0)]
		time.Sleep(50 * time.Millisecond)
		f.locked(func() { second.endsAt += 5 * time.Second })
		n.link.heal(up, down)
		f.until("acknowledgement", 2*time.Second, f.logged("run 1 as done acknowledged"))
		f.locked(func() { second.runner.end(second, jaycell.EndFailed) })
		f.until("end of the job", 20*time.Second, f.ended(j))
		time.Sleep(time.Second)
		f.locked(func() {
			if last := f.begun[second.unit]; last != second {
				f.fail(last.task, "run %d began after the end of run 1 as done was acknowledged", last.run)
			}
		})
		f.checkIdle()
	})
}

// The late report is about an incarnation that the leader has not heard of.
func TestLateReportDoesNotReplaceTheNewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, time.Second, 1)
		defer f.close()
		n := f.addNode(false)
		time.Sleep(2 * time.Second)
		first := n.link
		first.cut(up)
		f.locked(n.newRunner)
		time.Sleep(700 * time.Millisecond)
		f.locked(n.newRunner)
		time.Sleep(700 * time.Millisecond)
		f.locked(n.connect)
		time.Sleep(700 * time.Millisecond)
		j := f.submit(1, false, 3*time.Second)
		f.until("first run", time.Second, f.hasBegun(j, 1))
		f.addNode(false)
		time.Sleep(700 * time.Millisecond)
		first.heal(up)
		f.until("end of the job", 20*time.Second, f.ended(j))
		f.locked(func() {
			if last := f.begun[jaycell.TaskName(j.ID, 0, 0, 0)]; last.run != 1 {
				f.fail(last.task, "run %d began although run 1 went on", last.run)
			}
		})
		time.Sleep(time.Second)
		f.checkIdle()
	})
}

// A runner that has got no confirmation of its deregistration ends some seconds later.
func TestRunOfDeregisteredRunnerIsNotDoubled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, time.Second, 1)
		defer f.close()
		n := f.addNode(false)
		time.Sleep(2 * time.Second)
		j := f.submit(1, false, 3*time.Second)
		f.until("first run", time.Second, f.hasBegun(j, 1))
		f.addNode(false)
		time.Sleep(700 * time.Millisecond)
		f.locked(func() { n.runner.leaving = true })
		n.supervisor.Deregister(n.runner.id)
		time.Sleep(2 * time.Second)
		f.locked(n.newRunner)
		f.until("end of the job", 20*time.Second, f.ended(j))
		time.Sleep(time.Second)
		f.checkIdle()
	})
}
