package jaycell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// crashing drives a harness whose runners crash under some tasks.
type crashing struct {
	*harness
	runners []string
	// lives counts the incarnations by node, running holds the runs by node.
	lives   map[string]int
	running map[string][]Run
	startAt map[string]time.Duration
	// deadly tasks crash their runner at a progress in percent, counted from what they have
	// saved. saved holds the progress of tasks with checkpoints.
	deadly map[string]int
	saved  map[string]int
	starts map[string]int
	crash  map[string][]Crash
	// unseen holds the starts of a deadly task whose crash no agent sees.
	unseen map[int]bool
}

func newCrashing(t *testing.T, runners int) *crashing {
	c := &crashing{harness: newHarness(t, nil), lives: map[string]int{}, running: map[string][]Run{}, startAt: map[string]time.Duration{}, deadly: map[string]int{}, saved: map[string]int{}, starts: map[string]int{}, crash: map[string][]Crash{}}
	for i := range runners {
		c.runners = append(c.runners, fmt.Sprintf("n%02d", i))
	}
	return c
}

func (c *crashing) id(node string) string { return fmt.Sprintf("%s-%d", node, c.lives[node]) }

// crashNode ends the runner of a node, whose agent has seen it or not, and begins another.
func (c *crashing) crashNode(node string, seen bool) {
	if seen {
		x := Crash{Runner: c.id(node)}
		for _, r := range c.running[node] {
			if _, saves := c.saved[r.Task]; saves {
				c.saved[r.Task] = r.Percent
			}
			worked := c.now - c.startAt[r.Task]
			x.Runs = append(x.Runs, CrashedRun{Task: r.Task, Run: r.Run, Percent: r.Percent, WorkedFor: worked, ListedFor: worked})
		}
		c.crash[node] = append(c.crash[node], x)
	}
	c.running[node] = nil
	c.lives[node]++
}

// step lets 100 ms pass: runs progress by one percent, deadly ones crash their runners.
func (c *crashing) step() []Order {
	for _, node := range c.runners {
		for i := range c.running[node] {
			c.running[node][i].Percent++
		}
		for _, r := range c.running[node] {
			if percent, deadly := c.deadly[r.Task]; deadly && r.Percent-c.saved[r.Task] > percent {
				if percent == 0 {
					c.startAt[r.Task] = c.now
				}
				c.crashNode(node, !c.unseen[c.starts[r.Task]])
				break
			}
		}
		c.report(node, c.id(node), func(p *Report) { p.Running, p.Crashes = c.running[node], c.crash[node] })
	}
	orders := c.advance(100 * time.Millisecond)
	for _, o := range orders {
		switch o.Kind {
		case OrderStart:
			c.starts[o.Task]++
			c.startAt[o.Task] = c.now
			c.running[o.Node] = append(c.running[o.Node], Run{Task: o.Task, Run: o.Run, Percent: c.saved[o.Task]})
		case OrderStop:
			c.running[o.Node] = slices.DeleteFunc(c.running[o.Node], func(x Run) bool { return x.Task == o.Task })
		case OrderAcknowledgeCrash:
			c.crash[o.Node] = slices.DeleteFunc(c.crash[o.Node], func(x Crash) bool { return x.Runner == o.Runner })
		}
	}
	return orders
}

func (c *crashing) steps(n int) {
	for range n {
		c.step()
	}
}

// suspects returns the tasks that are suspect.
func (c *crashing) suspects() []string {
	var all []string
	for _, j := range c.cell.jobs {
		if j.state.Ended() {
			continue
		}
		for _, u := range j.units {
			if u.isSuspect() {
				all = append(all, u.key())
			}
		}
	}
	slices.Sort(all)
	return all
}

const deadlyTask = "00000000000000dd.0.0.0"

// Of the tasks on a runner that crashed, those that had worked are no suspects, and the others
// are tried with nothing beside them.
func TestSuspectsAreTriedApart(t *testing.T) {
	c := newCrashing(t, 6)
	c.submit("00000000000000aa", 1, "", wide(4))
	c.steps(10)
	c.submit("00000000000000bb", 1, "", wide(2))
	c.deadly[deadlyTask] = 0
	c.submit("00000000000000dd", 1, "", wide(1))
	c.steps(3)
	assert.Equal(t, c.starts[deadlyTask], 1)
	// All were packed on one runner; those of the first job had worked.
	assert.DeepEqual(t, c.suspects(), []string{"00000000000000bb.0.0.0", "00000000000000bb.0.0.1", deadlyTask})
	c.submit("00000000000000cc", 0, "", wide(8))
	for range 30 {
		c.step()
		for _, r := range c.cell.sortedRunners() {
			if tried := r.triedUnits(); len(tried) > 0 {
				assert.Equal(t, len(r.placements), 1, "a suspect runs beside others on %s", r.id)
			}
		}
	}
	assert.Equal(t, c.jobStates["00000000000000dd"], jaytask.Failed)
	assert.Equal(t, c.starts[deadlyTask], maxCrashesAtStart)
	assert.Equal(t, len(c.suspects()), 0)
	for _, id := range []string{"aa", "bb", "cc"} {
		assert.Equal(t, c.jobStates["00000000000000"+id], jaytask.Running)
	}
}

func TestTaskThatCrashesRunnersLaterIsGivenUp(t *testing.T) {
	c := newCrashing(t, 4)
	c.deadly[deadlyTask] = 8
	c.submit("00000000000000dd", 1, "", wide(1))
	c.steps(100)
	assert.Equal(t, c.jobStates["00000000000000dd"], jaytask.Failed)
	assert.Equal(t, c.starts[deadlyTask], maxCrashes)
}

// Guards against a task that saves its progress, comes further each time and crashes runner after
// runner: each crash cleared it of those before.
func TestTaskThatSavesItsProgressAndCrashesRunnersIsGivenUp(t *testing.T) {
	c := newCrashing(t, 6)
	c.saved["00000000000000aa.0.0.0"] = 0
	c.submit("00000000000000aa", 1, "", wide(1))
	c.steps(5)
	c.deadly[deadlyTask], c.saved[deadlyTask] = 8, 0
	c.submit("00000000000000dd", 1, "", wide(1))
	c.steps(100)
	assert.Equal(t, c.jobStates["00000000000000dd"], jaytask.Failed)
	assert.Equal(t, c.starts[deadlyTask], maxCrashes)
	// The sound task beside it met the first crashes only.
	assert.Equal(t, c.jobStates["00000000000000aa"], jaytask.Running)
	assert.Assert(t, c.starts["00000000000000aa.0.0.0"] <= maxCrashesBeside+1, "%d starts", c.starts["00000000000000aa.0.0.0"])
}

// Guards against a sound job that fails for a neighbor's fault: with the third crash at its start,
// or the fourth in all, its task was given up although the neighbor may have crashed the runner.
func TestLastCrashBesideOthersGivesNoTaskUp(t *testing.T) {
	for _, c := range []struct {
		name    string
		percent int
		worked  time.Duration
		crashes int
	}{
		{name: "at the start", crashes: maxCrashesAtStart},
		{name: "in all", percent: 7, worked: time.Second, crashes: maxCrashes},
	} {
		for _, beside := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, beside others %t", c.name, beside), func(t *testing.T) {
				h := newHarness(t, nil)
				h.submit("00000000000000dd", 1, "", wide(1))
				crash := func(run int, beside bool) bool {
					runs := []CrashedRun{{Task: deadlyTask, Run: run, Percent: c.percent, WorkedFor: c.worked}}
					if beside {
						runs = append(runs, CrashedRun{Task: "00000000000000aa.0.0.0", Run: 1, Percent: 9, WorkedFor: time.Second})
					}
					h.report("n", "r", func(p *Report) { p.Crashes = []Crash{{Runner: fmt.Sprint("q", run), Runs: runs}} })
					h.advance(time.Millisecond)
					return h.jobStates["00000000000000dd"] == jaytask.Failed
				}
				for run := 1; run < c.crashes; run++ {
					assert.Assert(t, !crash(run, false), "after %d crashes", run)
				}
				assert.Equal(t, crash(c.crashes, beside), !beside)
				assert.Assert(t, crash(c.crashes+1, true))
			})
		}
	}
}

// Guards against a crash that is counted nowhere because its agent was away: the task was started
// once more for each.
func TestCrashThatNoAgentHasSeenCountsBesideSeenOnes(t *testing.T) {
	for _, unseen := range [][]int{{1}, {2}, {3}, {1, 2}} {
		// An agent has seen minSeenToFail at least.
		starts := max(maxCrashes, minSeenToFail+len(unseen))
		t.Run(fmt.Sprint(unseen), func(t *testing.T) {
			c := newCrashing(t, 6)
			c.unseen = map[int]bool{}
			for _, start := range unseen {
				c.unseen[start] = true
			}
			c.deadly[deadlyTask] = 8
			c.submit("00000000000000dd", 1, "", wide(1))
			c.steps(120)
			assert.Equal(t, c.jobStates["00000000000000dd"], jaytask.Failed)
			assert.Equal(t, c.starts[deadlyTask], starts)
		})
	}
}

// endUnderTask ends a task's runner as end tells, and reports the runner's next incarnation. It
// returns the task's unit.
func endUnderTask(t *testing.T, end func(h *harness)) *unit {
	h := newHarness(t, nil)
	h.submit("00000000000000dd", 1, "", wide(1))
	h.report("n", "r1", nil)
	h.advance(100 * time.Millisecond)
	listed := func(p *Report) { p.Running = []Run{{Task: deadlyTask, Run: 1, Percent: 7}} }
	h.report("n", "r1", listed)
	h.advance(100 * time.Millisecond)
	end(h)
	h.advance(100 * time.Millisecond)
	h.report("n", "r2", nil)
	h.advance(100 * time.Millisecond)
	return h.cell.jobs["00000000000000dd"].units[deadlyTask]
}

// An end that its runner or the leader has announced is no crash, and neither is that of a runner
// whose runs had ended before. What a lapse has ended may have crashed the runner before that.
func TestWhichUnseenEndsCount(t *testing.T) {
	lapse := func(h *harness) {
		for range 80 {
			h.advance(100 * time.Millisecond)
		}
	}
	for _, c := range []struct {
		name   string
		end    func(h *harness)
		unseen bool
	}{
		{name: "replaced", end: func(*harness) {}, unseen: true},
		{name: "replaced after its lease", end: lapse, unseen: true},
		{name: "back after its lease", end: func(h *harness) {
			lapse(h)
			h.report("n", "r1", func(p *Report) {
				p.Finished = []End{{Number: 1, Task: deadlyTask, Run: 1, Reason: EndLapsed}}
			})
		}},
		{name: "draining", end: func(h *harness) {
			h.report("n", "r1", func(p *Report) {
				p.Runner.Draining, p.Running = true, []Run{{Task: deadlyTask, Run: 1, Percent: 7}}
			})
		}},
		{name: "deregistered", end: func(h *harness) {
			h.report("n", "r1", func(p *Report) { p.Ended, p.Responsive = true, false })
		}},
		{name: "run stopped before", end: func(h *harness) {
			h.report("n", "r1", func(p *Report) {
				p.Finished = []End{{Number: 1, Task: deadlyTask, Run: 1, Reason: EndStopped}}
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := endUnderTask(t, c.end)
			unseen := slices.ContainsFunc(u.crashes, func(x taskCrash) bool { return x.Run == 1 && x.Percent == unseenEnd })
			assert.Equal(t, unseen, c.unseen, "%v", u.crashes)
			assert.Assert(t, !u.isSuspect())
		})
	}
}

// Guards against one crash that counts twice: its agent reports it after the leader has seen the
// next incarnation over another link.
func TestCrashThatIsSeenLateReplacesAnUnseenEnd(t *testing.T) {
	h := newHarness(t, nil)
	h.submit("00000000000000dd", 1, "", wide(1))
	h.report("n", "r1", nil)
	h.advance(100 * time.Millisecond)
	h.report("n", "r2", nil)
	h.advance(100 * time.Millisecond)
	u := h.cell.jobs["00000000000000dd"].units[deadlyTask]
	assert.Equal(t, u.crashes[0].Percent, unseenEnd)
	for range 2 {
		h.report("n", "r2", func(p *Report) {
			p.Crashes = []Crash{{Runner: "r1", Runs: []CrashedRun{{Task: deadlyTask, Run: 1}}}}
		})
		h.advance(100 * time.Millisecond)
		assert.DeepEqual(t, u.crashes, []taskCrash{{Run: 1, Runner: "r1", Node: "n"}})
	}
}

// Hundreds of runners that vanish with their agents say nothing about what ran there.
func TestLostRunnersBlameNoTask(t *testing.T) {
	c := newCrashing(t, 200)
	for i := range 20 {
		c.submit(fmt.Sprintf("%016x", i+1), 1, "", wide(20))
	}
	for range 5 {
		c.steps(2)
		for _, node := range c.runners {
			c.crashNode(node, false)
		}
	}
	c.steps(1)
	for _, j := range c.cell.jobs {
		for _, u := range j.units {
			assert.Assert(t, len(u.crashes) <= maxUnseenEnds, "%d ends are kept", len(u.crashes))
		}
	}
	assert.Equal(t, len(c.suspects()), 0)
	for id, state := range c.jobStates {
		assert.Equal(t, state, jaytask.Running, "%s", id)
	}
}

// Many runners crash at once, with and without deadly tasks: no more than a part of the pool
// is given to trials, and sound tasks go on.
func TestManyCrashesAtOnceLeaveRoomForOthers(t *testing.T) {
	c := newCrashing(t, 40)
	for i := range 8 {
		c.submit(fmt.Sprintf("%016x", i+1), 1, "", wide(20))
	}
	c.steps(2)
	for _, node := range c.runners[:20] {
		c.crashNode(node, true)
	}
	for range 100 {
		c.step()
		trials := 0
		for _, r := range c.cell.sortedRunners() {
			if len(r.triedUnits()) > 0 {
				trials++
			}
		}
		assert.Assert(t, trials <= 40/trialShare, "%d trials at once", trials)
	}
	assert.Equal(t, len(c.suspects()), 0)
	for id, state := range c.jobStates {
		assert.Equal(t, state, jaytask.Running, "%s", id)
	}
}

// A suspect does not wait for an empty runner for ever.
func TestSuspectSharesARunnerOfTasksThatHaveWorked(t *testing.T) {
	c := newCrashing(t, 2)
	c.submit("00000000000000aa", 1, "", wide(2))
	c.steps(1)
	c.submit("00000000000000bb", 1, "", jaytask.Step{Count: 2, Resources: jaytask.Resources{CPU: 40000, Memory: 100}, Estimate: 20 * time.Second})
	c.steps(8)
	c.submit("00000000000000cc", 1, "", wide(1))
	c.steps(1)
	crashed := ""
	for _, node := range c.runners {
		if slices.ContainsFunc(c.running[node], func(r Run) bool { return r.Task == "00000000000000cc.0.0.0" }) {
			crashed = node
		}
	}
	c.crashNode(crashed, true)
	c.step()
	assert.DeepEqual(t, c.suspects(), []string{"00000000000000cc.0.0.0"})
	// A victim takes the new runner before the suspect may.
	c.steps(2 + int((trialWait+instantFailureWindow)/(100*time.Millisecond)))
	assert.Equal(t, c.starts["00000000000000cc.0.0.0"], 2)
	c.steps(10)
	assert.Equal(t, len(c.suspects()), 0)
}

// Copies of a report, and one that comes after the next start, count once.
func TestLateCrashCountsOnce(t *testing.T) {
	c := newCrashing(t, 3)
	c.submit("00000000000000dd", 1, "", wide(1))
	c.steps(1)
	node := c.cell.jobs["00000000000000dd"].units[deadlyTask].placements[0].runner.node
	crash := Crash{Runner: c.id(node), Runs: []CrashedRun{{Task: deadlyTask, Run: 1}}}
	c.crashNode(node, false)
	c.steps(1)
	assert.Equal(t, c.starts[deadlyTask], 2)
	for range 2 {
		c.crash[node] = []Crash{crash}
		c.steps(1)
	}
	u := c.cell.jobs["00000000000000dd"].units[deadlyTask]
	assert.Equal(t, len(u.crashes), 1)
	assert.DeepEqual(t, c.suspects(), []string{deadlyTask})
	c.steps(5)
	assert.Equal(t, len(c.suspects()), 0)
	// The second run has worked since: what is told of the first one changes nothing.
	c.crash[node] = []Crash{crash}
	c.steps(1)
	assert.Equal(t, len(u.crashes), 1)
	assert.Equal(t, len(c.suspects()), 0)
}

func TestCrashIsAcknowledgedOnceItIsStored(t *testing.T) {
	h := newHarness(t, nil)
	h.submit("00000000000000dd", 1, "", wide(1))
	h.report("n", "r1", nil)
	h.advance(100 * time.Millisecond)
	h.report("n", "r2", func(p *Report) {
		p.Crashes = []Crash{{Runner: "r1", Runs: []CrashedRun{{Task: deadlyTask, Run: 1}}}}
	})
	assert.Equal(t, len(h.cell.TakeImmediateOrders()), 0)
	b := h.cell.TakeBatch()
	assert.Equal(t, len(b.Units), 1)
	orders := h.cell.ConfirmStored(b)
	assert.Assert(t, slices.ContainsFunc(orders, func(o Order) bool { return o.Kind == OrderAcknowledgeCrash && o.Runner == "r1" && o.Node == "n" }))
}

func TestCrashCountOutlivesTheLeader(t *testing.T) {
	h := newHarness(t, nil)
	h.submit("00000000000000dd", 1, "", wide(1))
	for run := 1; run <= maxCrashesAtStart; run++ {
		node := fmt.Sprint("n", run)
		h.report(node, "r-"+node, nil)
		h.advance(100 * time.Millisecond)
		h.report(node, "q-"+node, func(p *Report) {
			p.Runner.Draining = true
			p.Crashes = []Crash{{Runner: "r-" + node, Runs: []CrashedRun{{Task: deadlyTask, Run: run}}}}
		})
		h.advance(100 * time.Millisecond)
		assert.Equal(t, h.jobStates["00000000000000dd"].Ended(), run == maxCrashesAtStart, "after %d crashes", run)
		if run == maxCrashesAtStart {
			return
		}
		next := New(testSettings(uint64(run+1), nil), h.now, h.wall)
		next.Submit(h.cell.jobs["00000000000000dd"].spec)
		next.MarkStarted("00000000000000dd")
		for key, value := range h.unitRecords {
			assert.NilError(t, next.RestoreUnit(Record{Key: key, Value: value}))
		}
		h.cell = next
	}
}

// A record of an earlier version has no crashes.
func TestRecordWithoutCrashesIsRead(t *testing.T) {
	h := newHarness(t, nil)
	h.submit("00000000000000dd", 1, "", wide(1))
	b, err := cbor.Marshal(unitRecord{Phase: uint8(phaseWaiting), Run: 7, FailedRuns: []int{3}, Checkpoint: "x"})
	assert.NilError(t, err)
	assert.NilError(t, h.cell.RestoreUnit(Record{Key: deadlyTask, Value: b}))
	u := h.cell.jobs["00000000000000dd"].units[deadlyTask]
	assert.Equal(t, u.run, 7)
	assert.DeepEqual(t, u.record().Value, b)
	assert.ErrorContains(t, h.cell.RestoreUnit(Record{Key: deadlyTask, Value: []byte{0x81, 0x01}}), "unit")
}

// A daemon task that has outlived its start is not blamed for a crash.
func TestDaemonThatServesIsNoSuspect(t *testing.T) {
	c := newCrashing(t, 3)
	daemon := wide(1)
	daemon.Daemon = true
	c.submit("00000000000000ee", 1, "", daemon)
	for range 4 {
		c.steps(25)
		for _, node := range c.runners {
			if len(c.running[node]) > 0 {
				c.crashNode(node, true)
			}
		}
		c.steps(1)
		assert.Equal(t, len(c.suspects()), 0)
	}
	assert.Equal(t, c.jobStates["00000000000000ee"], jaytask.Running)
}

// The agent of a crashed runner repeats its last listing for some time.
func TestOldListingDoesNotClearADaemon(t *testing.T) {
	h := newHarness(t, nil)
	daemon := wide(1)
	daemon.Daemon = true
	h.submit("00000000000000ee", 1, "", daemon)
	h.report("n", "r", nil)
	task := startedTasks(h.advance(100 * time.Millisecond))[0]
	for i := range 30 {
		h.report("n", "r", func(p *Report) {
			p.Running = []Run{{Task: task, Run: 1, Percent: 100}}
			if i == 2 {
				p.Crashes = []Crash{{Runner: "r", Runs: []CrashedRun{{Task: task, Run: 1, Percent: 100}}}}
			}
		})
		h.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(h.cell.jobs["00000000000000ee"].units[task].crashes), 1)
}
