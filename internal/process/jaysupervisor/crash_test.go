package jaysupervisor

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// A task is not started maxStartsAfterCrashes times more once crashesBeforeLimit runners
	// have crashed under it.
	crashesBeforeLimit    = 3
	maxStartsAfterCrashes = 3
	// crashDelay is how long after its start a deadly task crashes its runner.
	crashDelay = 10 * time.Millisecond
)

// isDeadly reports whether a task crashes its runners.
func (f *fleet) isDeadly(task string) bool {
	j := f.jobOf(task)
	return f.deadly[j.ID] && task == jaycell.TaskName(j.ID, 0, 0, 0)
}

// crashRunners ends the runners on which deadly tasks have begun. They are back after
// seconds. The mutex is held.
func (f *fleet) crashRunners() {
	for _, x := range slices.Clone(f.runs) {
		if x.ended || !f.isDeadly(x.task) || f.now() < x.beganAt+crashDelay {
			continue
		}
		f.crashed[x.task]++
		r := x.runner
		f.logf("", "%s has crashed runner %s, its crash number %d", x.task, r.id, f.crashed[x.task])
		r.node.endRunner()
		time.AfterFunc(f.luckOf("restart").between(1500, 3500), func() { f.locked(r.node.replaceRunner(r)) })
	}
}

// checkBudget checks the start of a task under which runners have crashed.
func (f *fleet) checkBudget(x *modelRun) {
	if f.crashed[x.task] < crashesBeforeLimit {
		return
	}
	if f.startsAfter[x.task]++; f.startsAfter[x.task] >= maxStartsAfterCrashes {
		f.fail(x.task, "run %d begins on %s after %d runners have crashed under it", x.run, x.runner.id, f.crashed[x.task])
	}
}

// checkFailed checks that a job failed by its own fault.
func (f *fleet) checkFailed(id string) {
	if f.deadly[id] {
		return
	}
	for unit, runs := range f.failedEnds {
		if f.jobOf(unit).ID == id && len(runs) >= modelAttempts {
			return
		}
	}
	f.fail(jaycell.TaskName(id, 0, 0, 0), "job %s is shown as failed, and neither failed nor crashed its runners", id)
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
				for crashes := 1; crashes <= crashesBeforeLimit; crashes++ {
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
	playSeeds(t, func(f *fleet) { f.deadlyShare, f.rough = 0.15, 6 })
}
