package jaycell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// harness drives a cell on a virtual clock. Records are stored at once.
type harness struct {
	t     *testing.T
	cell  *Cell
	now   time.Duration
	wall  time.Time
	racks map[string]string
	// dataCentres holds the runners' data centres.
	dataCentres map[string]string
	unitRecords map[string][]byte
	jobStates   map[string]jaytask.State
	orders      []Order
}

func newHarness(t *testing.T, guaranteed map[string]int) *harness {
	h := &harness{t: t, now: time.Hour, wall: time.UnixMilli(1_700_000_000_000), unitRecords: map[string][]byte{}, jobStates: map[string]jaytask.State{}}
	settings := testSettings(1, guaranteed)
	settings.OnInvariantViolation = func(what string, d Decision) { t.Errorf("invariant violated: %s (%s)", what, d.Task) }
	h.cell = New(settings, h.now, h.wall)
	return h
}

func testSettings(term uint64, guaranteed map[string]int) Settings {
	return Settings{Term: term, Lease: 6 * time.Second, Retention: time.Minute, StopTimeout: 400 * time.Millisecond, GangTimeout: 3 * time.Second, Guaranteed: func(w string) int { return guaranteed[w] }}
}

// advance advances the clock and returns the resulting orders.
func (h *harness) advance(d time.Duration) []Order {
	h.now += d
	h.wall = h.wall.Add(d)
	h.cell.SetTime(h.now, h.wall)
	h.cell.Tick()
	h.orders = nil
	for {
		h.orders = append(h.orders, h.cell.TakeImmediateOrders()...)
		batch := h.cell.TakeBatch()
		if batch.Empty() {
			return h.orders
		}
		for _, r := range append(append([]Record(nil), batch.Units...), batch.Deletions...) {
			if most := h.cell.settings.MaxRecordBytes; most > 0 {
				assert.Assert(h.t, len(r.Value) <= most, "record of %d bytes", len(r.Value))
			}
			h.unitRecords[r.Key] = r.Value
			if r.Value == nil {
				delete(h.unitRecords, r.Key)
			}
		}
		for _, r := range batch.JobStates {
			if r.Value != nil && r.Key[:2] == "s/" {
				s, _, err := DecodeState(r.Value)
				assert.NilError(h.t, err)
				h.jobStates[r.Key[2:]] = s
			}
		}
		h.orders = append(h.orders, h.cell.ConfirmStored(batch)...)
	}
}

// report applies a report of a runner with 64 cores and 8 accelerators; modify, if not
// nil, changes the report first. It returns whether the lease may be renewed.
func (h *harness) report(node, runner string, modify func(p *Report)) bool {
	p := Report{Node: node, Sequence: int64(h.now), Term: h.cell.settings.Term, Responsive: true, Runner: RunnerInfo{ID: runner, Service: "s", Labels: []string{"a", "r1-1"}, Capacity: jaytask.Resources{CPU: 64000, Memory: 131072, Accelerators: 8}}}
	if rack := h.racks[runner]; rack != "" {
		p.Runner.Labels[1] = rack
	}
	p.Runner.DataCentre = h.dataCentres[runner]
	if modify != nil {
		modify(&p)
	}
	return h.cell.ApplyReport(p)
}

func (h *harness) submit(id string, priority int, workspace string, steps ...jaytask.Step) {
	j := &jaytask.Job{ID: id, Steps: steps, Accepted: h.wall, Policy: jaytask.Policy{Service: "s", Workspace: workspace, Priority: priority, MaxAttempts: 2, Stretch: 3, Objective: time.Second}}
	assert.NilError(h.t, j.Validate())
	h.cell.Submit(j)
}

func step(count, accelerators int) jaytask.Step {
	return jaytask.Step{Count: count, Resources: jaytask.Resources{CPU: 1000, Memory: 100, Accelerators: accelerators}, Estimate: 2 * time.Second}
}

func startedTasks(orders []Order) []string {
	var tasks []string
	for _, o := range orders {
		if o.Kind == OrderStart {
			tasks = append(tasks, o.Task)
		}
	}
	return tasks
}

func countKinds(orders []Order) map[OrderKind]int {
	n := map[OrderKind]int{}
	for _, o := range orders {
		n[o.Kind]++
	}
	return n
}

// After a power loss of all machines, a new leader knew the old runners only from
// records. It waited for their leases to end although new runners had reported from
// their nodes.
func TestNewRunnerReplacesRunnerOfEarlierTerm(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "old", nil)
	h.submit("a", 1, "w", step(1, 8))
	assert.Equal(t, len(startedTasks(h.advance(0))), 1)

	next := New(testSettings(2, nil), h.now, h.wall)
	next.Submit(&jaytask.Job{ID: "a", Steps: []jaytask.Step{step(1, 8)}, Accepted: h.wall, Policy: jaytask.Policy{Service: "s", MaxAttempts: 2}})
	for k, v := range h.unitRecords {
		assert.NilError(t, next.RestoreUnit(Record{Key: k, Value: v}))
	}
	h.cell = next
	h.advance(time.Second)
	h.report("n1", "new", nil)
	assert.DeepEqual(t, startedTasks(h.advance(0)), []string{"a.0.0.0"})
}

// A runner that has not reported in this term may still be running what an earlier
// term placed.
func TestUnreportedRunnerKeepsItsLease(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.submit("a", 1, "w", step(1, 8))
	h.advance(0)
	for range 5 {
		h.advance(time.Second)
		h.report("n2", "r2", nil)
		assert.Equal(t, len(startedTasks(h.advance(0))), 0)
	}
	h.advance(2 * time.Second)
	h.report("n2", "r2", nil)
	assert.Equal(t, len(startedTasks(h.advance(0))), 1)
}

func TestAcknowledgementWaitsForStoredRecord(t *testing.T) {
	for _, newConnection := range []bool{false, true} {
		h := newHarness(t, nil)
		h.report("n1", "r1", nil)
		h.submit("a", 1, "w", step(1, 1))
		h.advance(0)
		h.now += time.Second
		h.cell.SetTime(h.now, h.wall)
		h.report("n1", "r1", func(p *Report) {
			if newConnection {
				p.Connection = 1
			}
			p.Finished = []End{{Number: 1, Task: "a.0.0.0", Run: 1, Reason: EndDone}}
		})
		assert.Equal(t, len(h.cell.TakeImmediateOrders()), 0, "sent before the record is stored")
		batch := h.cell.TakeBatch()
		assert.Assert(t, len(batch.JobStates) > 0)
		orders := h.cell.ConfirmStored(batch)
		assert.Equal(t, len(orders), 1)
		assert.Equal(t, orders[0].Kind, OrderAcknowledge)
	}
}

func TestLostOrderIsResent(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  time.Duration
		modify func(p *Report)
		want   int
	}{
		{"immediately on a new connection", 100 * time.Millisecond, func(p *Report) { p.Connection = 1 }, 1},
		{"not while it may be in transit", 100 * time.Millisecond, nil, 0},
		{"not while the agent executes it", 2 * time.Second, func(p *Report) { p.PendingOrders = []Order{{Kind: OrderStart, Task: "a.0.0.0", Run: 1}} }, 0},
		{"when the agent does not list it", 2 * time.Second, nil, 1},
		{"not when the task is running", 2 * time.Second, func(p *Report) { p.Running = []Run{{Task: "a.0.0.0", Run: 1, Percent: 1}} }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.report("n1", "r1", nil)
			h.submit("a", 1, "w", step(1, 1))
			assert.Equal(t, len(startedTasks(h.advance(0))), 1)
			h.now += c.after
			h.cell.SetTime(h.now, h.wall)
			h.report("n1", "r1", c.modify)
			assert.Equal(t, len(startedTasks(h.advance(0))), c.want)
		})
	}
}

// An urgent job of three large tasks must not start in part while other jobs become
// late.
func TestUrgentTasksStartTogether(t *testing.T) {
	h := newHarness(t, nil)
	for i := range 12 {
		h.report(fmt.Sprintf("n%d", i), fmt.Sprintf("r%d", i), nil)
	}
	for i := range 10 {
		h.submit(fmt.Sprintf("a%d", i), 0, "w", step(1, 8))
	}
	assert.Equal(t, len(startedTasks(h.advance(0))), 10)
	h.submit("b", 0, "w", step(3, 8))
	assert.Equal(t, len(startedTasks(h.advance(10*time.Millisecond))), 0)
	h.submit("c", 0, "w", step(2, 8))
	assert.DeepEqual(t, startedTasks(h.advance(10*time.Millisecond)), []string{"c.0.0.0", "c.0.0.1"})
}

func TestGuaranteedAcceleratorsAreReclaimed(t *testing.T) {
	h := newHarness(t, map[string]int{"w": 16})
	for _, n := range []string{"1", "2", "3"} {
		h.report("n"+n, "r"+n, nil)
	}
	for i := range 24 {
		h.submit(fmt.Sprintf("low%d", i), 2, "x", step(1, 1))
	}
	assert.Equal(t, len(startedTasks(h.advance(0))), 24)
	h.submit("urgent", 0, "w", step(2, 8))
	orders := h.advance(10 * time.Millisecond)
	assert.Equal(t, countKinds(orders)[OrderStop], 16)
	assert.Equal(t, countKinds(orders)[OrderStart], 0)
	h.now += 400 * time.Millisecond
	h.cell.SetTime(h.now, h.wall)
	stopped := map[string][]End{}
	for i, o := range orders {
		stopped[o.Runner] = append(stopped[o.Runner], End{Number: uint64(i + 1), Task: o.Task, Run: o.Run, Reason: EndStopped})
	}
	for _, n := range []string{"1", "2", "3"} {
		h.report("n"+n, "r"+n, func(p *Report) { p.Finished = stopped["r"+n] })
	}
	assert.DeepEqual(t, startedTasks(h.advance(0)), []string{"urgent.0.0.0", "urgent.0.0.1"})
}

// A failing runner was avoided forever, so that a gang as large as the pool never
// ran again.
func TestAvoidedRunnersAreUsedWhenAllAreNeeded(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.report("n2", "r2", nil)
	s := step(2, 8)
	s.Gang = true
	h.submit("a", 1, "w", s)
	assert.Equal(t, len(startedTasks(h.advance(0))), 2)
	h.now += time.Second
	h.cell.SetTime(h.now, h.wall)
	h.report("n1", "r1", func(p *Report) { p.Finished = []End{{Number: 1, Task: "a.0.0.0", Run: 1, Reason: EndFailed}} })
	h.report("n2", "r2", func(p *Report) { p.Finished = []End{{Number: 1, Task: "a.0.0.1", Run: 1, Reason: EndGangBroken}} })
	assert.Equal(t, len(startedTasks(h.advance(0))), 2)
}

// The failure of a run that was given up as lost counts when it is reported late,
// once.
func TestLateFailureCountsOnce(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.submit("a", 1, "w", step(1, 1))
	h.advance(0)
	h.advance(7 * time.Second)
	end := func(p *Report) { p.Finished = []End{{Number: 1, Task: "a.0.0.0", Run: 1, Reason: EndFailed}} }
	h.report("n1", "r1", end)
	assert.DeepEqual(t, h.cell.jobs["a"].units["a.0.0.0"].failedRuns, []int{1})
	h.now += time.Second
	h.cell.SetTime(h.now, h.wall)
	h.report("n1", "r1", end)
	assert.DeepEqual(t, h.cell.jobs["a"].units["a.0.0.0"].failedRuns, []int{1})
}

// A gang member that has done its work stays at 100% until the slowest member is
// done. It was treated as stalled.
func TestFinishedGangMemberIsNotStalled(t *testing.T) {
	for _, c := range []struct {
		name    string
		percent int
		want    int
	}{{"half done", 50, 1}, {"done, waiting for the gang", 100, 0}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, nil)
			s := step(2, 8)
			s.Gang = true
			h.report("n1", "r1", nil)
			h.report("n2", "r2", nil)
			h.submit("a", 1, "w", s)
			assert.Equal(t, len(startedTasks(h.advance(0))), 2)
			stops := 0
			for range 20 {
				h.now += 500 * time.Millisecond
				h.cell.SetTime(h.now, h.wall)
				h.report("n1", "r1", func(p *Report) { p.Running = []Run{{Task: "a.0.0.0", Run: 1, Percent: c.percent}} })
				h.report("n2", "r2", func(p *Report) {
					p.Running = []Run{{Task: "a.0.0.1", Run: 1, Percent: int(h.now/time.Second) % 100}}
				})
				stops += min(countKinds(h.advance(0))[OrderStop], 1)
			}
			assert.Equal(t, min(stops, 1), c.want)
		})
	}
}

// A report of a newer version may contain an end reason that this version does not
// know.
func TestUnknownEndReasonIsNotSuccess(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.submit("a", 1, "w", step(1, 1))
	assert.Equal(t, len(startedTasks(h.advance(0))), 1)
	h.now += time.Second
	h.cell.SetTime(h.now, h.wall)
	h.report("n1", "r1", func(p *Report) { p.Finished = []End{{Number: 1, Task: "a.0.0.0", Run: 1, Reason: EndReason(200)}} })
	assert.Equal(t, len(startedTasks(h.advance(0))), 1)
	assert.Equal(t, EndReason(200).String(), "unknown")
}

// A gang that is larger than every rack takes longer than its objective, so it is
// scheduled after jobs that can be on time.
func TestGangSpanningRacksIsLate(t *testing.T) {
	for _, c := range []struct {
		name     string
		sameRack bool
		first    string
	}{{"needs one rack", true, "b-narrow"}, {"may span racks", false, "a-wide"}} {
		t.Run(c.name, func(t *testing.T) {
			runners := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"}
			e := newEnvironment(t, nil, runners...)
			e.cell.settings.RemoteSlowdown = 4
			e.racks = map[string]string{}
			for _, r := range runners {
				e.racks[r] = "rack-" + r
			}
			wide := step(2, 8)
			wide.Gang, wide.SameRack = true, c.sameRack
			e.submit("a-wide", 0, "w", wide)
			e.submit("b-narrow", 0, "w", step(1, 8))
			orders := e.tick(0)
			assert.Equal(t, strings.Split(startedTasks(orders)[0], ".")[0], c.first)
		})
	}
}

// A step that needs more than a quarter of the pool counts as several waves in the
// objective.
func TestWideStepsCountInWaves(t *testing.T) {
	for _, c := range []struct{ count, accelerators, waves int }{{1, 8, 1}, {2, 8, 1}, {3, 8, 2}, {8, 8, 4}, {16, 1, 1}, {17, 1, 2}, {9, 2, 2}} {
		e := newEnvironment(t, nil, "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")
		e.tick(0)
		e.submit("job", 1, "w", step(c.count, c.accelerators))
		want := time.Second + 3*2*time.Second*time.Duration(c.waves)
		assert.Equal(t, e.cell.objective(e.cell.jobs["job"]), want, "%d of %d", c.count, c.accelerators)
	}
}

// The run time measured from a job's progress replaces the caller's estimate before
// any task has ended.
func TestRunTimeIsMeasuredFromProgress(t *testing.T) {
	e := newEnvironment(t, nil, "r1")
	e.submit("job", 1, "w", step(4, 8))
	e.tick(0)
	assert.Equal(t, e.cell.estimate(e.cell.jobs["job"], 0), 2*time.Second)
	e.progress = map[string]int{"job.0.0.0": 0}
	e.tick(100 * time.Millisecond)
	e.progress["job.0.0.0"] = 20
	e.tick(2 * time.Second)
	assert.Equal(t, e.cell.estimate(e.cell.jobs["job"], 0), 10*time.Second)
}

// A guaranteed gang that wants one rack preempts there instead of running slowly across
// racks, and starts across racks if its victims do not stop in time.
func TestGuaranteedGangPreemptsWithinItsRack(t *testing.T) {
	for _, c := range []struct {
		name    string
		stopped bool
		racks   int
		reason  string
	}{{"victims stop", true, 1, "resources available"}, {"victims do not stop", false, 2, "resources available across racks"}} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, map[string]int{"w": 16})
			reasons := map[string]string{}
			h.cell.settings.OnDecision = func(d Decision) { reasons[d.Event+" "+d.Job] = d.Reason }
			h.racks = map[string]string{"r1": "r1-1", "r2": "r1-1", "r3": "r1-2", "r4": "r1-2"}
			runners := []string{"r1", "r2", "r3", "r4"}
			for _, r := range runners {
				h.report("n"+r, r, nil)
			}
			for _, id := range []string{"a", "b", "c", "d"} {
				h.submit(id, 1, "other", step(1, 8))
			}
			placed := map[string]string{}
			for _, o := range h.advance(0) {
				placed[o.Runner] = o.Task
			}
			// One runner of each rack becomes free.
			h.now += 100 * time.Millisecond
			h.cell.SetTime(h.now, h.wall)
			for _, r := range runners {
				h.report("n"+r, r, func(p *Report) {
					if r == "r1" || r == "r3" {
						p.Finished = []End{{Number: 1, Task: placed[r], Run: 1, Reason: EndDone}}
						return
					}
					p.Running = []Run{{Task: placed[r], Run: 1, Percent: 5}}
				})
			}
			gang := step(2, 8)
			gang.Gang, gang.SameRack = true, true
			h.submit("gang", 0, "w", gang)
			orders := h.advance(10 * time.Millisecond)
			assert.Equal(t, len(startedTasks(orders)), 0)
			assert.Equal(t, countKinds(orders)[OrderStop], 1)
			var victim Order
			for _, o := range orders {
				if o.Kind == OrderStop {
					victim = o
				}
			}
			h.now += 500 * time.Millisecond
			h.cell.SetTime(h.now, h.wall)
			for _, r := range runners {
				h.report("n"+r, r, func(p *Report) {
					switch {
					case r == "r1" || r == "r3":
					case c.stopped && r == victim.Runner:
						p.Finished = []End{{Number: 1, Task: victim.Task, Run: 1, Reason: EndStopped}}
					default:
						p.Running = []Run{{Task: placed[r], Run: 1, Percent: 10}}
					}
				})
			}
			used := map[string]bool{}
			for _, o := range h.advance(10 * time.Millisecond) {
				if o.Kind == OrderStart && strings.HasPrefix(o.Task, "gang") {
					used[h.racks[o.Runner]] = true
				}
			}
			assert.Equal(t, len(used), c.racks)
			assert.Equal(t, reasons["place gang"], c.reason)
		})
	}
}

// Runners differ in speed, which shows in the progress of tasks of one step. An urgent
// job starts on a fast runner, and no job on one that is several times slower.
func TestUrgentJobPrefersFastRunner(t *testing.T) {
	h := newHarness(t, map[string]int{"w": 32})
	speeds := map[string]float64{"r1": 0.8, "r2": 0.2, "r3": 1.25, "r4": 1}
	runners := []string{"r1", "r2", "r3", "r4"}
	for _, r := range runners {
		h.report("n"+r, r, nil)
	}
	wide := step(4, 8)
	wide.Estimate = 20 * time.Second
	h.submit("wide", 0, "w", wide)
	placed := map[string]string{}
	for _, o := range h.advance(0) {
		placed[o.Runner] = o.Task
	}
	assert.Equal(t, len(placed), 4)
	progress := func(r string, seconds float64) func(p *Report) {
		return func(p *Report) {
			p.Running = []Run{{Task: placed[r], Run: 1, Percent: int(10 * speeds[r] * seconds)}}
		}
	}
	for i := range 16 {
		h.advance(500 * time.Millisecond)
		for _, r := range runners {
			h.report("n"+r, r, progress(r, float64(i)/2))
		}
	}
	h.now += 100 * time.Millisecond
	h.cell.SetTime(h.now, h.wall)
	for _, r := range runners {
		h.report("n"+r, r, func(p *Report) {
			p.Finished = []End{{Number: 1, Task: placed[r], Run: 1, Reason: EndDone}}
		})
	}
	h.submit("a", 0, "w", step(1, 8))
	first := h.advance(0)
	assert.Equal(t, first[len(first)-1].Runner, "r3")
	h.submit("b", 0, "w", step(2, 8))
	for _, o := range h.advance(0) {
		assert.Assert(t, o.Kind != OrderStart || o.Runner != "r2", "started on the slow runner")
	}
}
