package jaysupervisor

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// A task is not started maxStartsAfterCrashes times more once crashesBeforeLimit runners
	// have crashed under it.
	crashesBeforeLimit    = 3
	maxStartsAfterCrashes = 3
	// A task under which crashesThatExcuse runners have crashed may be given up.
	crashesThatExcuse = 2
	// A node is in touch when nothing has disturbed it for contactTime.
	contactTime = 3 * time.Second
	// crashDelay is how long after its start a deadly task crashes its runner, lateCrashDelay the
	// same for one that works before it does so.
	crashDelay     = 10 * time.Millisecond
	lateCrashDelay = 700 * time.Millisecond
)

// isDeadly reports whether a task crashes its runners.
func (f *fleet) isDeadly(task string) bool {
	j := f.jobOf(task)
	return f.deadly[j.ID] && task == jaycell.TaskName(j.ID, 0, 0, 0)
}

// crashDelayOf returns how long after its start a deadly task crashes its runner.
func (f *fleet) crashDelayOf(task string) time.Duration {
	if f.lateCrashes {
		return lateCrashDelay
	}
	return crashDelay
}

// crashRunners ends the runners on which deadly tasks have begun. They are back after
// seconds. The mutex is held.
func (f *fleet) crashRunners() {
	for _, x := range slices.Clone(f.runs) {
		if x.ended || !f.isDeadly(x.task) || f.now() < x.beganAt+f.crashDelayOf(x.task) {
			continue
		}
		f.crashed[x.task]++
		r := x.runner
		f.logf("", "%s has crashed runner %s, its crash number %d", x.task, r.id, f.crashed[x.task])
		r.node.endRunner()
		time.AfterFunc(f.luckOf("restart").between(1500, 3500), func() { f.locked(r.node.replaceRunner(r)) })
	}
}

func (n *node) disturb() { n.disturbedAt = n.fleet.now() }

// checkBudget checks the start of a task under which runners have crashed, by a node in touch.
func (f *fleet) checkBudget(x *modelRun) {
	if n := x.runner.node; f.crashed[x.task] < crashesBeforeLimit || n.disturbedAt > 0 && f.now()-n.disturbedAt < contactTime {
		return
	}
	if f.startsAfter[x.task]++; f.startsAfter[x.task] >= maxStartsAfterCrashes {
		f.fail(x.task, "run %d begins on %s after %d runners have crashed under it", x.run, x.runner.id, f.crashed[x.task])
	}
}

// noteCrash notes the crash of a runner under the tasks that run there.
func (f *fleet) noteCrash(r *modelRunner) {
	for _, x := range f.runs {
		if x.runner == r && !x.ended {
			f.exposed[x.task]++
		}
	}
}

// checkFailed checks that a job failed by its own fault, or had a task under which as many
// runners crashed as excuse it.
func (f *fleet) checkFailed(id string) {
	if f.deadly[id] {
		return
	}
	for task, crashes := range f.exposed {
		if !f.crashesFromTasksOnly && f.jobOf(task).ID == id && crashes >= crashesThatExcuse {
			return
		}
	}
	for unit, runs := range f.failedEnds {
		if f.jobOf(unit).ID == id && len(runs) >= modelAttempts {
			return
		}
	}
	f.stuck = id
	f.fail(id, "job %s is shown as failed, and neither failed nor crashed its runners", id)
}

// A task crashes each runner that starts it, beside sound ones.
func TestTaskThatCrashesRunnersIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		name       string
		count      int
		gang       bool
		heartbeats bool
		// disturb happens while runners crash.
		disturb func(f *fleet)
	}{
		{name: "single task", count: 1},
		{name: "task of a wide job", count: 4},
		{name: "gang", count: 2, gang: true},
		{name: "orders by heartbeat", count: 1, heartbeats: true},
		{name: "new leader after each crash", count: 1, disturb: func(f *fleet) { f.locked(f.newTerm) }},
		{name: "slow store", count: 1, disturb: func(f *fleet) { f.locked(func() { f.storeDelay = 900 * time.Millisecond }) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3*time.Second, 1)
				defer f.close()
				for range 4 {
					f.addNode(c.heartbeats)
				}
				time.Sleep(2 * time.Second)
				var sound []*jaytask.Job
				for range 4 {
					sound = append(sound, f.submit(1, false, 2*time.Second))
				}
				j := f.submit(c.count, c.gang, 2*time.Second)
				f.locked(func() { f.deadly[j.ID] = true })
				for crashes := 1; crashes <= crashesBeforeLimit+maxStartsAfterCrashes; crashes++ {
					f.until("crash", 15*time.Second, func() bool {
						return f.crashed[jaycell.TaskName(j.ID, 0, 0, 0)] >= crashes || f.states[j.ID].Ended()
					})
					if c.disturb != nil {
						c.disturb(f)
					}
				}
				f.stuck = j.ID
				f.until("end of the deadly job", 10*time.Second, f.ended(j))
				for _, s := range sound {
					f.stuck = s.ID
					f.until("end of a sound job", 20*time.Second, f.ended(s))
				}
				f.locked(func() {
					if f.states[j.ID] != jaytask.Failed {
						f.fail(j.ID, "the deadly job is shown as %s", f.states[j.ID])
					}
					for _, s := range sound {
						if f.states[s.ID] != jaytask.Completed {
							f.fail(s.ID, "a sound job is shown as %s", f.states[s.ID])
						}
					}
				})
			})
		})
	}
}

// TestDeadlyTasksUnderFaults plays the random faults with deadly tasks among the jobs.
func TestDeadlyTasksUnderFaults(t *testing.T) {
	playSeeds(t, func(f *fleet) { f.deadlyShare, f.rough, f.faultGap = 0.25, 6, 4 })
}

// No sound job fails for the crashes of its neighbors.
func TestNeighborsOfDeadlyTasksAreNotBlamed(t *testing.T) {
	playSeeds(t, func(f *fleet) { f.deadlyShare, f.rough, f.faultGap, f.crashesFromTasksOnly = 0.25, 6, 4, true })
}

// TestLateDeadlyTasksUnderFaults plays the random faults with tasks that work before they crash
// their runners.
func TestLateDeadlyTasksUnderFaults(t *testing.T) {
	playSeeds(t, func(f *fleet) { f.deadlyShare, f.rough, f.faultGap, f.lateCrashes = 0.25, 6, 4, true })
}

// No sound job fails for neighbors that crash their runners after some work.
func TestNeighborsOfLateDeadlyTasksAreNotBlamed(t *testing.T) {
	playSeeds(t, func(f *fleet) {
		f.deadlyShare, f.rough, f.faultGap, f.lateCrashes, f.crashesFromTasksOnly = 0.25, 6, 4, true, true
	})
}

// TestOnlyCrashesCount ends a runner under a sound task that has just begun, in several ways.
func TestOnlyCrashesCount(t *testing.T) {
	// restart ends the runner and begins another after a pause.
	restart := func(n *node, pause time.Duration) {
		r := n.runner
		n.fleet.locked(n.endRunner)
		time.Sleep(pause)
		n.fleet.locked(n.replaceRunner(r))
	}
	// drain makes the runner announce its shutdown.
	drain := func(n *node, left time.Duration) {
		n.fleet.locked(func() {
			n.runner.refuse(ReasonDraining)
			n.runner.drainLeft = left
		})
		time.Sleep(210 * time.Millisecond)
	}
	for _, c := range []struct {
		name       string
		heartbeats bool
		end        func(n *node)
		crash      bool
	}{
		{name: "crash", end: func(n *node) { restart(n, 2*time.Second) }, crash: true},
		{name: "crash with a new runner at once", end: func(n *node) { n.fleet.locked(n.newRunner) }, crash: true},
		{name: "crash for good", end: func(n *node) { n.fleet.locked(n.endRunner) }, crash: true},
		{name: "crash, orders by heartbeat", heartbeats: true, end: func(n *node) { restart(n, 2*time.Second) }, crash: true},
		{name: "crash while the link is cut", end: func(n *node) {
			n.link.cut(up, down)
			restart(n, 2*time.Second)
			time.Sleep(8 * time.Second)
			n.link.heal(up, down)
			n.fleet.locked(n.connect)
		}, crash: true},
		{name: "crash with a change of the leader", end: func(n *node) {
			n.fleet.locked(n.endRunner)
			n.fleet.locked(n.fleet.newTerm)
		}, crash: true},
		{name: "drained", end: func(n *node) {
			drain(n, 500*time.Millisecond)
			time.Sleep(400 * time.Millisecond)
			restart(n, time.Second)
		}},
		{name: "crash soon after its notice of shutdown", end: func(n *node) {
			drain(n, modelDrainTime)
			restart(n, 2*time.Second)
		}, crash: true},
		{name: "deregistered", end: func(n *node) {
			n.supervisor.Deregister(n.runner.id)
			restart(n, time.Second)
		}},
		{name: "behind a cut from its agent", end: func(n *node) {
			n.setSilent(true)
			time.Sleep(4 * time.Second)
			restart(n, 0)
		}},
		{name: "while its agent stands still", end: func(n *node) {
			n.pause()
			restart(n, 2*time.Second)
			time.Sleep(2 * time.Second)
			n.resume()
		}},
		{name: "with its agent", end: func(n *node) {
			n.fleet.locked(n.launch)
			restart(n, 2*time.Second)
		}},
		{name: "lapsed lease", end: func(n *node) {
			n.link.cut(up, down)
			time.Sleep(5 * time.Second)
			n.link.heal(up, down)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3*time.Second, 1)
				defer f.close()
				n := f.addNode(c.heartbeats)
				time.Sleep(2 * time.Second)
				j := f.submit(1, false, 5*time.Second)
				f.until("first run", 2*time.Second, f.hasBegun(j, 1))
				c.end(n)
				f.addNode(false)
				f.stuck = j.ID
				f.until("end of the job", 30*time.Second, f.ended(j))
				f.locked(func() {
					if f.states[j.ID] != jaytask.Completed {
						f.fail(j.ID, "the sound job is shown as %s", f.states[j.ID])
					}
					if counted := f.logged("crash suspect")(); counted != c.crash {
						f.fail(j.ID, "counted as a crash under the task: %t", counted)
					}
				})
			})
		})
	}
}

// A crash under a runner that has announced its shutdown uses up starts like any other.
func TestEndOfDrainingRunnerBeforeItsTimeIsACrash(t *testing.T) {
	for _, c := range []struct {
		name         string
		left, end    time.Duration
		deregistered bool
		crash        bool
	}{
		{name: "at once", left: 10 * time.Second, crash: true},
		{name: "long before its time", left: 10 * time.Second, end: 8 * time.Second, crash: true},
		{name: "before its time, which a late report may overstate", left: 10 * time.Second, end: 9500 * time.Millisecond},
		{name: "after its time", left: 2 * time.Second, end: 3 * time.Second},
		{name: "without a time"},
		{name: "deregistered", left: 10 * time.Second, deregistered: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := New()
			s.ctx = t.Context()
			now := time.Second
			s.Elapsed = func() time.Duration { return now }
			s.replaceRunner(Heartbeat{Runner: jaycell.RunnerInfo{ID: "r1"}})
			s.HandleHeartbeat(t.Context(), Heartbeat{Sequence: 1, Runner: jaycell.RunnerInfo{ID: "r1", Draining: true, DrainRemaining: c.left}})
			if c.deregistered {
				s.Deregister("r1")
			}
			now += c.end
			s.applyListing(Listing{}, now, now, 0)
			s.recordCrash(now)
			assert.Equal(t, len(s.Report().Crashes) == 1, c.crash)
		})
	}
}

// A crash is reported until it is acknowledged; of those that nobody acknowledges, the newest
// are kept.
func TestCrashIsReportedUntilAcknowledged(t *testing.T) {
	s := New()
	s.ctx = t.Context()
	var now time.Duration
	s.Elapsed = func() time.Duration { now++; return now }
	s.replaceRunner(Heartbeat{Runner: jaycell.RunnerInfo{ID: "r0"}})
	for n := 1; n <= maxKeptCrashes+2; n++ {
		s.applyListing(Listing{}, s.Elapsed(), s.Elapsed(), 0)
		s.recordCrash(s.Elapsed())
		s.recordCrash(s.Elapsed())
		s.replaceRunner(Heartbeat{Runner: jaycell.RunnerInfo{ID: fmt.Sprint("r", n)}})
	}
	assert.Equal(t, len(s.Report().Crashes), maxKeptCrashes)
	assert.Equal(t, s.Report().Crashes[0].Runner, "r2")
	s.ApplyOrders(1, []jaycell.Order{{Kind: jaycell.OrderAcknowledgeCrash, Runner: "r2"}})
	assert.Equal(t, s.Report().Crashes[0].Runner, "r3")
}
