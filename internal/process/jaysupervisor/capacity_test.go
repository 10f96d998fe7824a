package jaysupervisor

import (
	"testing"
	"testing/synctest"
	"time"
)

// capacityGrace is after how long a smaller capacity counts: what is in touch, and one
// heartbeat.
const capacityGrace = contactTime + 200*time.Millisecond

// setCapacity changes the capacity of a node's runner. The mutex is held.
func (n *node) setCapacity(slots int) {
	r := n.runner
	if slots < r.slots {
		r.shrunkAt = n.fleet.now()
	}
	r.slots = slots
	n.fleet.logf("", "capacity of %s is %d", r.id, slots)
}

// checkCapacity checks that a start does not bring its runner over its capacity.
func (f *fleet) checkCapacity(x *modelRun) {
	r, used := x.runner, 1
	for _, other := range f.runs {
		if other.runner == r {
			used++
		}
	}
	// What a runner carries out late was sent in time.
	sentAt := f.now() - f.callAge
	if used > r.slots && sentAt > r.shrunkAt+capacityGrace {
		f.fail(x.task, "run %d is number %d on %s, whose capacity is %d since %s", x.run, used, r.id, r.slots, sentAt-r.shrunkAt)
	}
}

// A runner that starts whatever it is told shrinks while starts are on their way.
func TestShrunkRunnerIsNotOverfilled(t *testing.T) {
	for _, c := range []struct {
		name       string
		heartbeats bool
		// delay makes starts late, resume ends that.
		delay, resume func(n *node)
	}{
		{"nothing else", false, func(*node) {}, func(*node) {}},
		{"orders by heartbeat", true, func(*node) {}, func(*node) {}},
		{"store away", false, func(n *node) { n.fleet.locked(func() { n.fleet.storeDelay = 5 * time.Second }) }, func(n *node) {
			n.fleet.locked(func() { n.fleet.storeDelay = 10 * time.Millisecond })
		}},
		{"agent without a lease", false, func(n *node) { n.link.cut(up) }, func(n *node) { n.link.heal(up) }},
		{"agent stands still", false, func(n *node) { n.pause() }, func(n *node) { n.resume() }},
		{"runner does not answer", false, func(n *node) { n.setSilent(true) }, func(n *node) { n.setSilent(false) }},
		{"gang", false, func(n *node) { n.setSilent(true) }, func(n *node) { n.setSilent(false) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 6*time.Second, 1)
				defer f.close()
				n := f.addNode(c.heartbeats)
				f.locked(func() { n.runner.unguarded = true })
				time.Sleep(2 * time.Second)
				first := f.submit(1, false, 12*time.Second)
				f.until("first run", 2*time.Second, f.hasBegun(first, 1))
				c.delay(n)
				if c.name == "agent without a lease" {
					time.Sleep(5600 * time.Millisecond)
				}
				second := f.submit(2, c.name == "gang", time.Second)
				time.Sleep(200 * time.Millisecond)
				f.locked(func() { n.setCapacity(1) })
				time.Sleep(capacityGrace + time.Second)
				c.resume(n)
				time.Sleep(4 * time.Second)
				f.locked(func() { n.setCapacity(modelSlots) })
				f.stuck = second.ID
				f.until("end of the second job", 30*time.Second, f.ended(second))
			})
		})
	}
}

// TestShrinkingRunnersUnderFaults plays the random faults on runners that shrink and grow and
// start whatever they are told.
func TestShrinkingRunnersUnderFaults(t *testing.T) {
	playSeeds(t, func(f *fleet) { f.shrinking = true })
}
