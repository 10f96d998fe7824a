package jaycell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// evacuation is the set of evacuated data centres of a test.
type evacuation map[string]bool

// newEvacuationEnvironment returns an environment in which operators take data centres out of
// service. A runner's data centre is the first letter of its name.
func newEvacuationEnvironment(t *testing.T, guaranteed map[string]int, runners ...string) (*environment, evacuation) {
	e, evacuated := newEnvironment(t, guaranteed, runners...), evacuation{}
	e.dataCentres = map[string]string{}
	for _, r := range runners {
		e.dataCentres[r] = r[:1]
	}
	e.cell.settings.Evacuated = evacuated.contains
	return e, evacuated
}

func (x evacuation) contains(dataCentre string) bool { return x[dataCentre] }

// startedOn returns the runners of all starts, sorted.
func startedOn(orders []Order) []string {
	var runners []string
	for _, o := range orders {
		if o.Kind == OrderStart {
			runners = append(runners, o.Runner)
		}
	}
	slices.Sort(runners)
	return runners
}

// The kinds of work are placed by different rules, each of which could take a runner of an
// evacuated data centre.
func TestNothingIsPlacedInAnEvacuatedDataCentre(t *testing.T) {
	gang := step(2, 8)
	gang.Gang = true
	for _, c := range []struct {
		name   string
		submit func(e *environment)
		want   []string
	}{
		{"single tasks", func(e *environment) { e.submit("x", 1, "w", step(1, 8)); e.submit("y", 1, "w", step(1, 8)) }, []string{"b1", "b2"}},
		{"gang", func(e *environment) { e.submit("x", 1, "w", gang) }, []string{"b1", "b2"}},
		{"guaranteed job", func(e *environment) { e.submit("x", 0, "first", step(2, 8)) }, []string{"b1", "b2"}},
		{"daemon tasks", func(e *environment) { e.submit("x", 2, "w", daemonStep(2, 8, 1)) }, []string{"b1", "b2"}},
		{"guaranteed job that has to preempt", func(e *environment) {
			for i := range 2 {
				e.submit(fmt.Sprint("low", i), 2, "w", step(1, 8))
			}
			e.tick(100 * time.Millisecond)
			assert.Equal(e.t, len(e.running["b1"])+len(e.running["b2"]), 2)
			e.submit("x", 0, "first", step(2, 8))
		}, []string{"b1", "b2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, evacuated := newEvacuationEnvironment(t, map[string]int{"first": 16}, "a1", "a2", "b1", "b2")
			evacuated["a"] = true
			e.tick(0)
			c.submit(e)
			var started []string
			for range 8 {
				started = append(started, startedOn(e.tick(100*time.Millisecond))...)
			}
			slices.Sort(started)
			assert.DeepEqual(t, started, c.want)
		})
	}
}

// What has begun would lose its work by a stop; what has not begun would wait for a runner that
// refuses it.
func TestOnlyStartsThatHaveNotBegunAreWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name    string
		begun   bool
		gang    bool
		stopped int
	}{
		{"single task, not begun", false, false, 1},
		{"single task, running", true, false, 0},
		{"gang, not begun", false, true, 2},
		{"gang, running", true, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, evacuated := newEvacuationEnvironment(t, nil, "a1", "a2")
			e.tick(0)
			s := step(1, 8)
			if c.gang {
				s = step(2, 8)
				s.Gang = true
			}
			e.submit("x", 1, "w", s)
			orders := e.advance(0)
			placed := startedOn(orders)
			report := func(stopped bool) {
				for _, o := range orders {
					e.report("node-"+o.Runner, o.Runner, func(p *Report) {
						switch {
						case c.begun:
							p.Running = []Run{{Task: o.Task, Run: o.Run, Percent: 1}}
						case stopped:
							p.OrderResults = []OrderResult{{Task: o.Task, Run: o.Run}}
						default:
							p.PendingOrders = []Order{{Kind: OrderStart, Task: o.Task, Run: o.Run}}
						}
					})
				}
			}
			advance := func(d time.Duration) []Order {
				e.now += d
				e.cell.SetTime(e.now, e.wall)
				report(false)
				return e.advance(0)
			}
			advance(100 * time.Millisecond)
			evacuated["a"] = true
			assert.Equal(t, e.countStops(advance(100*time.Millisecond)), 0, "stopped at once")
			assert.Equal(t, e.countStops(advance(withdrawalDelay-100*time.Millisecond)), 0, "stopped before the delay")
			stops := advance(200 * time.Millisecond)
			assert.Equal(t, e.countStops(stops), c.stopped)
			for range 5 {
				if c.begun {
					assert.Equal(t, e.countStops(advance(500*time.Millisecond)), 0)
				}
			}
			if c.begun {
				return
			}
			e.now += 100 * time.Millisecond
			e.cell.SetTime(e.now, e.wall)
			report(true)
			assert.Equal(t, len(startedTasks(e.advance(time.Second))), 0, "placed in an evacuated data centre")
			for _, r := range []string{"b1", "b2"} {
				e.dataCentres[r] = "b"
				e.report("node-"+r, r, nil)
			}
			assert.DeepEqual(t, startedOn(e.advance(time.Second)), []string{"b1", "b2"}[:len(placed)])
		})
	}
}

// A run may begin while its agent is cut off. A stop that was ordered meanwhile would end it once
// the agent is back.
func TestRunThatBeganWhileItsAgentWasCutOffGoesOn(t *testing.T) {
	e, evacuated := newEvacuationEnvironment(t, nil, "a1")
	e.tick(0)
	e.submit("x", 1, "w", step(1, 8))
	assert.DeepEqual(t, startedOn(e.advance(0)), []string{"a1"})
	evacuated["a"] = true
	for range 20 {
		assert.Equal(t, e.countStops(e.advance(100*time.Millisecond)), 0)
	}
	e.report("node-a1", "a1", func(p *Report) { p.Running = []Run{{Task: "x.0.0.0", Run: 1, Percent: 1}} })
	assert.Equal(t, e.countStops(e.advance(100*time.Millisecond)), 0)
}

// A start that is being stored when its data centre is evacuated was never sent, and must not be.
func TestStartThatIsBeingStoredIsNotSent(t *testing.T) {
	e, evacuated := newEvacuationEnvironment(t, nil, "a1")
	e.tick(0)
	e.submit("x", 1, "w", step(1, 8))
	e.cell.Tick()
	batch := e.cell.TakeBatch()
	assert.Assert(t, !batch.Empty())
	evacuated["a"] = true
	for range 2 {
		e.now += withdrawalDelay + time.Millisecond
		e.cell.SetTime(e.now, e.wall)
		e.report("node-a1", "a1", nil)
		e.cell.Tick()
	}
	assert.Equal(t, len(startedTasks(e.cell.ConfirmStored(batch))), 0)
}

// Jobs would be judged by, and wide steps and gangs planned for, runners that take no work.
func TestPoolExcludesEvacuatedDataCentres(t *testing.T) {
	e, evacuated := newEvacuationEnvironment(t, nil, "a1", "a2", "b1", "b2")
	// Only in data centre a are two runners in one rack.
	e.racks = map[string]string{"a1": "r-a", "a2": "r-a", "b1": "r-b1", "b2": "r-b2"}
	e.cell.settings.RemoteSlowdown = 4
	s := step(2, 8)
	s.Gang, s.SameRack = true, true
	for _, c := range []struct {
		name         string
		evacuated    []string
		accelerators int
		slots        int
		spansRacks   bool
	}{
		{"none", nil, 32, 4, false},
		{"one", []string{"a"}, 16, 2, true},
		{"taken back", nil, 32, 4, false},
		{"the other", []string{"b"}, 16, 2, false},
		{"unknown and one", []string{"a", "nowhere"}, 16, 2, true},
		{"all", []string{"a", "b"}, 0, 0, true},
		{"all taken back", nil, 32, 4, false},
	} {
		clear(evacuated)
		for _, dataCentre := range c.evacuated {
			evacuated[dataCentre] = true
		}
		// One that is placed is done before the next case.
		e.tick(300 * time.Millisecond)
		assert.Equal(t, e.cell.PoolAccelerators(), c.accelerators, c.name)
		id := "job " + c.name
		e.cell.Submit(&jaytask.Job{ID: id, Steps: []jaytask.Step{s}, Accepted: e.wall, Policy: jaytask.Policy{Service: "s", Workspace: "w", MaxAttempts: 2, Stretch: 3, Objective: time.Second}})
		j := e.cell.jobs[id]
		j.createReadyUnits(e.wall)
		assert.Equal(t, e.cell.poolSlots(j, 0), c.slots, c.name)
		for _, u := range j.units {
			assert.Equal(t, e.cell.spansRacks(u), c.spansRacks, c.name)
		}
		e.cell.Cancel(id)
	}
}

// The size of the pool is remembered for a moment, in which an evacuation would not count.
func TestPoolSizeChangesAtOnce(t *testing.T) {
	e, evacuated := newEvacuationEnvironment(t, nil, "a1", "b1")
	e.tick(0)
	e.cell.Submit(&jaytask.Job{ID: "x", Steps: []jaytask.Step{step(1, 16)}, Accepted: e.wall, Policy: jaytask.Policy{Service: "s", MaxAttempts: 2}})
	j := e.cell.jobs["x"]
	j.spec.Steps[0].Resources.Accelerators = 8
	assert.Equal(t, e.cell.poolSlots(j, 0), 2)
	evacuated["a"] = true
	e.cell.evacuate()
	assert.Equal(t, e.cell.poolSlots(j, 0), 1)
}

// A data centre that has been taken back must get work again, and its cold runners must not be
// taken while warm ones are free.
func TestRunnersThatAreTakenBackGetWork(t *testing.T) {
	e, evacuated := newEvacuationEnvironment(t, nil, "a1", "a2", "b1")
	evacuated["a"] = true
	e.tick(0)
	e.submit("one", 1, "w", step(1, 8))
	e.submit("two", 1, "w", step(1, 8))
	e.submit("three", 1, "w", step(1, 8))
	assert.DeepEqual(t, startedOn(e.tick(100*time.Millisecond)), []string{"b1"})
	delete(evacuated, "a")
	assert.DeepEqual(t, startedOn(e.tick(100*time.Millisecond)), []string{"a1", "a2"})
}

// A cold runner is slow, so that work is placed on it only where no warm one is free.
func TestColdRunnersAreTakenAfterWarmOnes(t *testing.T) {
	for _, c := range []struct {
		name     string
		operated bool
		coldLeft time.Duration
		tasks    int
		want     []string
	}{
		{"warm ones free", true, 5 * time.Second, 2, []string{"a2", "b1"}},
		{"all needed", true, 5 * time.Second, 3, []string{"a1", "a2", "b1"}},
		{"warm by now", true, 0, 2, []string{"a1", "a2"}},
		{"without evacuations", false, 5 * time.Second, 2, []string{"a1", "a2"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, _ := newEvacuationEnvironment(t, nil, "a1", "a2", "b1")
			if !c.operated {
				e.cell.settings.Evacuated = nil
			}
			e.tick(0)
			e.now += 10 * time.Millisecond
			e.cell.SetTime(e.now, e.wall)
			e.report("node-a1", "a1", func(p *Report) { p.Runner.ColdLeft = c.coldLeft })
			for i := range c.tasks {
				e.submit(fmt.Sprint("x", i), 1, "w", step(1, 8))
			}
			assert.DeepEqual(t, startedOn(e.advance(0)), c.want)
		})
	}
}

// Jobs that find no data centre in service must wait, neither fail nor be forgotten.
func TestJobsWaitWhileAllDataCentresAreEvacuated(t *testing.T) {
	e, evacuated := newEvacuationEnvironment(t, nil, "a1", "b1")
	evacuated["a"], evacuated["b"] = true, true
	e.tick(0)
	e.submit("x", 1, "w", step(2, 8))
	for range 60 {
		assert.Equal(t, len(e.tick(500*time.Millisecond)), 0)
	}
	assert.Assert(t, !e.jobStates["x"].Ended())
	delete(evacuated, "b")
	assert.DeepEqual(t, startedOn(e.tick(100*time.Millisecond)), []string{"b1"})
	delete(evacuated, "a")
	assert.DeepEqual(t, startedOn(e.tick(100*time.Millisecond)), []string{"a1"})
}

// The next leader restores placements before it knows the runners' data centres. Those that have
// begun go on, the others must not wait in an evacuated data centre.
func TestNextLeaderWithdrawsWhatHasNotBegun(t *testing.T) {
	for _, c := range []struct {
		name   string
		modify func(p *Report)
		stops  int
		starts []string
	}{
		{"running", func(p *Report) { p.Running = []Run{{Task: "x.0.0.0", Run: 1, Percent: 1}} }, 0, nil},
		{"pending", func(p *Report) { p.PendingOrders = []Order{{Kind: OrderStart, Task: "x.0.0.0", Run: 1}} }, 1, nil},
		{"not known to the agent", nil, 0, []string{"b1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.dataCentres = map[string]string{"a1": "a", "b1": "b"}
			h.report("n1", "a1", nil)
			h.submit("x", 1, "w", step(1, 8))
			assert.DeepEqual(t, startedOn(h.advance(0)), []string{"a1"})

			settings := testSettings(2, nil)
			settings.Evacuated = evacuation{"a": true}.contains
			next := New(settings, h.now, h.wall)
			next.Submit(&jaytask.Job{ID: "x", Steps: []jaytask.Step{step(1, 8)}, Accepted: h.wall, Policy: jaytask.Policy{Service: "s", MaxAttempts: 2}})
			for k, v := range h.unitRecords {
				assert.NilError(t, next.RestoreUnit(Record{Key: k, Value: v}))
			}
			h.cell = next
			stops, starts := 0, []string(nil)
			for range 8 {
				h.now += 300 * time.Millisecond
				h.cell.SetTime(h.now, h.wall)
				h.report("n1", "a1", c.modify)
				h.report("n2", "b1", nil)
				orders := h.advance(0)
				stops += min(countKinds(orders)[OrderStop], 1)
				starts = append(starts, startedOn(orders)...)
			}
			assert.Equal(t, min(stops, 1), c.stops)
			// Starts that b1 does not list are repeated.
			assert.DeepEqual(t, slices.Compact(starts), c.starts)
		})
	}
}

// What leaves a draining runner must not go to an evacuated data centre, nor what runs there be
// stopped for it.
func TestEvacuationBesideADrainingRunner(t *testing.T) {
	e, evacuated := newEvacuationEnvironment(t, nil, "a1", "b1")
	e.tick(0)
	e.submit("x", 2, "w", daemonStep(2, 8, 1))
	e.tick(100 * time.Millisecond)
	e.tick(100 * time.Millisecond)
	assert.Equal(t, len(e.running["a1"])+len(e.running["b1"]), 2)
	e.running["a2"], e.dataCentres["a2"] = map[string]int{}, "a"
	evacuated["a"] = true
	e.tick(100 * time.Millisecond)
	// Nothing else could take the task yet.
	assert.Equal(t, e.countStops(e.tick(100*time.Millisecond, "b1")), 0)
	e.running["b2"], e.dataCentres["b2"] = map[string]int{}, "b"
	for range 10 {
		e.tick(100*time.Millisecond, "b1")
	}
	assert.Equal(t, len(e.running["b2"]), 1)
	assert.Equal(t, len(e.running["a1"]), 1, "stopped in the evacuated data centre")
	assert.Equal(t, len(e.running["a2"]), 0)
}

// Deployments whose operators take no data centre out of service must decide as before.
func TestWithoutEvacuationsNothingChanges(t *testing.T) {
	play := func(evacuated func(string) bool) []Order {
		e, _ := newEvacuationEnvironment(t, map[string]int{"first": 8}, "a1", "a2", "b1", "b2")
		e.cell.settings.Evacuated = evacuated
		var orders []Order
		for i := range 40 {
			s := step(1+i%4, 1<<(i%4))
			s.Gang = i%3 == 0
			e.submit(fmt.Sprintf("x%02d", i), i%3, []string{"first", "w"}[i%2], s)
			orders = append(orders, e.tick(300*time.Millisecond)...)
			if running := sortedKeys(e.running["b1"]); i%5 == 4 && len(running) > 0 {
				e.endRun("b1", running[0], EndDone)
			}
		}
		return orders
	}
	without := play(nil)
	assert.Assert(t, len(without) > 20, "%d orders", len(without))
	assert.DeepEqual(t, without, play(evacuation{"elsewhere": true}.contains))
}
