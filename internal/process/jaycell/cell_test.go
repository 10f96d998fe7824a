package jaycell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// bench drives a cell on a virtual clock; records are stored at once.
type bench struct {
	t     *testing.T
	cell  *Cell
	now   time.Duration
	wall  time.Time
	rack  map[string]string
	runs  map[string][]byte
	state map[string]jaytask.State
	sent  []Order
}

func newBench(t *testing.T, guaranteed map[string]int) *bench {
	b := &bench{t: t, now: time.Hour, wall: time.UnixMilli(1_700_000_000_000), runs: map[string][]byte{}, state: map[string]jaytask.State{}}
	settings := benchSettings(1, guaranteed)
	settings.OnInvariantViolation = func(what string, d Decision) { t.Errorf("broken: %s (%s)", what, d.Task) }
	b.cell = New(settings, b.now, b.wall)
	return b
}

func benchSettings(term uint64, guaranteed map[string]int) Settings {
	return Settings{Term: term, Lease: 6 * time.Second, Retention: time.Minute, StopTimeout: 400 * time.Millisecond, GangTimeout: 3 * time.Second, Guaranteed: func(w string) int { return guaranteed[w] }}
}

// pass moves time on and returns the orders that result.
func (b *bench) pass(d time.Duration) []Order {
	b.now += d
	b.wall = b.wall.Add(d)
	b.cell.SetTime(b.now, b.wall)
	b.cell.Tick()
	b.sent = nil
	for {
		b.sent = append(b.sent, b.cell.TakeImmediateOrders()...)
		batch := b.cell.TakeBatch()
		if batch.Empty() {
			return b.sent
		}
		for _, r := range append(append([]Record(nil), batch.Runs...), batch.Deletions...) {
			b.runs[r.Key] = r.Value
			if r.Value == nil {
				delete(b.runs, r.Key)
			}
		}
		for _, r := range batch.JobStates {
			if r.Value != nil && r.Key[:2] == "s/" {
				s, _, err := DecodeState(r.Value)
				assert.NilError(b.t, err)
				b.state[r.Key[2:]] = s
			}
		}
		b.sent = append(b.sent, b.cell.ConfirmStored(batch)...)
	}
}

// hear reports a runner of the usual size.
func (b *bench) hear(node, runner string, more func(p *Report)) {
	p := Report{Node: node, Sequence: int64(b.now), Term: b.cell.settings.Term, Responsive: true, Runner: RunnerInfo{ID: runner, Service: "s", Labels: []string{"a", "r1-1"}, Capacity: jaytask.Resources{CPU: 64000, Memory: 131072, Accelerators: 8}}}
	if rack := b.rack[runner]; rack != "" {
		p.Runner.Labels[1] = rack
	}
	if more != nil {
		more(&p)
	}
	b.cell.ApplyReport(p)
}

func (b *bench) submit(id string, priority int, workspace string, steps ...jaytask.Step) {
	j := &jaytask.Job{ID: id, Steps: steps, Accepted: b.wall, Policy: jaytask.Policy{Service: "s", Workspace: workspace, Priority: priority, MaxAttempts: 2, Stretch: 3, Objective: time.Second}}
	assert.NilError(b.t, j.Validate())
	b.cell.Submit(j)
}

func step(count, accelerators int) jaytask.Step {
	return jaytask.Step{Count: count, Resources: jaytask.Resources{CPU: 1000, Memory: 100, Accelerators: accelerators}, Estimate: 2 * time.Second}
}

func starts(orders []Order) []string {
	var tasks []string
	for _, o := range orders {
		if o.Kind == OrderStart {
			tasks = append(tasks, o.Task)
		}
	}
	return tasks
}

func kinds(orders []Order) map[OrderKind]int {
	n := map[OrderKind]int{}
	for _, o := range orders {
		n[o.Kind]++
	}
	return n
}

// After all machines lost power, a successor knew the old runners from records
// only and waited for their leases, although new ones answered at their nodes.
func TestNewRunnerEndsWhatEarlierTermsKnew(t *testing.T) {
	b := newBench(t, nil)
	b.hear("n1", "old", nil)
	b.submit("a", 1, "w", step(1, 8))
	assert.Equal(t, len(starts(b.pass(0))), 1)

	next := New(benchSettings(2, nil), b.now, b.wall)
	next.Submit(&jaytask.Job{ID: "a", Steps: []jaytask.Step{step(1, 8)}, Accepted: b.wall, Policy: jaytask.Policy{Service: "s", MaxAttempts: 2}})
	for k, v := range b.runs {
		assert.NilError(t, next.RestoreUnit(Record{Key: k, Value: v}))
	}
	b.cell = next
	b.pass(time.Second)
	b.hear("n1", "new", nil)
	assert.DeepEqual(t, starts(b.pass(0)), []string{"a.0.0.0"})
}

// Unheard runners may still run what an earlier term placed.
func TestUnheardRunnerIsWaitedFor(t *testing.T) {
	b := newBench(t, nil)
	b.hear("n1", "r1", nil)
	b.submit("a", 1, "w", step(1, 8))
	b.pass(0)
	for range 5 {
		b.pass(time.Second)
		b.hear("n2", "r2", nil)
		assert.Equal(t, len(starts(b.pass(0))), 0)
	}
	b.pass(2 * time.Second)
	b.hear("n2", "r2", nil)
	assert.Equal(t, len(starts(b.pass(0))), 1)
}

func TestAcknowledgementWaitsForTheRecord(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		b := newBench(t, nil)
		b.hear("n1", "r1", nil)
		b.submit("a", 1, "w", step(1, 1))
		b.pass(0)
		b.now += time.Second
		b.cell.SetTime(b.now, b.wall)
		b.hear("n1", "r1", func(p *Report) {
			p.NewConnection = fresh
			p.Finished = []End{{Number: 1, Task: "a.0.0.0", Run: 1, Reason: EndDone}}
		})
		assert.Equal(t, len(b.cell.TakeImmediateOrders()), 0, "sent before the record is stored")
		batch := b.cell.TakeBatch()
		assert.Assert(t, len(batch.JobStates) > 0)
		orders := b.cell.ConfirmStored(batch)
		assert.Equal(t, len(orders), 1)
		assert.Equal(t, orders[0].Kind, OrderAcknowledge)
	}
}

func TestLostOrderIsSentAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		more  func(p *Report)
		want  int
	}{
		{"on a new connection at once", 100 * time.Millisecond, func(p *Report) { p.NewConnection = true }, 1},
		{"not while it may be under way", 100 * time.Millisecond, nil, 0},
		{"not while the side carries it out", 2 * time.Second, func(p *Report) { p.PendingOrders = []Order{{Kind: OrderStart, Task: "a.0.0.0", Run: 1}} }, 0},
		{"when the side does not know of it", 2 * time.Second, nil, 1},
		{"not when it runs", 2 * time.Second, func(p *Report) { p.Running = []Run{{Task: "a.0.0.0", Run: 1, Percent: 1}} }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, nil)
			b.hear("n1", "r1", nil)
			b.submit("a", 1, "w", step(1, 1))
			assert.Equal(t, len(starts(b.pass(0))), 1)
			b.now += c.after
			b.cell.SetTime(b.now, b.wall)
			b.hear("n1", "r1", c.more)
			assert.Equal(t, len(starts(b.pass(0))), c.want)
		})
	}
}

// An urgent job of three large tasks must not run in part while others are late.
func TestUrgentTasksStartTogether(t *testing.T) {
	b := newBench(t, nil)
	for i := range 12 {
		b.hear(fmt.Sprintf("n%d", i), fmt.Sprintf("r%d", i), nil)
	}
	for i := range 10 {
		b.submit(fmt.Sprintf("a%d", i), 0, "w", step(1, 8))
	}
	assert.Equal(t, len(starts(b.pass(0))), 10)
	b.submit("b", 0, "w", step(3, 8))
	assert.Equal(t, len(starts(b.pass(10*time.Millisecond))), 0)
	b.submit("c", 0, "w", step(2, 8))
	assert.DeepEqual(t, starts(b.pass(10*time.Millisecond)), []string{"c.0.0.0", "c.0.0.1"})
}

func TestGuaranteeIsReclaimed(t *testing.T) {
	b := newBench(t, map[string]int{"w": 16})
	for _, n := range []string{"1", "2", "3"} {
		b.hear("n"+n, "r"+n, nil)
	}
	for i := range 24 {
		b.submit(fmt.Sprintf("low%d", i), 2, "x", step(1, 1))
	}
	assert.Equal(t, len(starts(b.pass(0))), 24)
	b.submit("urgent", 0, "w", step(2, 8))
	orders := b.pass(10 * time.Millisecond)
	assert.Equal(t, kinds(orders)[OrderStop], 16)
	assert.Equal(t, kinds(orders)[OrderStart], 0)
	b.now += 400 * time.Millisecond
	b.cell.SetTime(b.now, b.wall)
	stopped := map[string][]End{}
	for i, o := range orders {
		stopped[o.Runner] = append(stopped[o.Runner], End{Number: uint64(i + 1), Task: o.Task, Run: o.Run, Reason: EndStopped})
	}
	for _, n := range []string{"1", "2", "3"} {
		b.hear("n"+n, "r"+n, func(p *Report) { p.Finished = stopped["r"+n] })
	}
	assert.DeepEqual(t, starts(b.pass(0)), []string{"urgent.0.0.0", "urgent.0.0.1"})
}

// A runner on which everything failed was avoided for good, so that a gang as
// wide as the pool never ran again.
func TestAvoidedRunnersAreUsedWhenAllAreNeeded(t *testing.T) {
	b := newBench(t, nil)
	b.hear("n1", "r1", nil)
	b.hear("n2", "r2", nil)
	s := step(2, 8)
	s.Gang = true
	b.submit("a", 1, "w", s)
	assert.Equal(t, len(starts(b.pass(0))), 2)
	b.now += time.Second
	b.cell.SetTime(b.now, b.wall)
	b.hear("n1", "r1", func(p *Report) { p.Finished = []End{{Number: 1, Task: "a.0.0.0", Run: 1, Reason: EndFailed}} })
	b.hear("n2", "r2", func(p *Report) { p.Finished = []End{{Number: 1, Task: "a.0.0.1", Run: 1, Reason: EndGangBroken}} })
	assert.Equal(t, len(starts(b.pass(0))), 2)
}

// The failure of a run that was given up as lost counts when it is listed late.
func TestLateFailureCountsOnce(t *testing.T) {
	b := newBench(t, nil)
	b.hear("n1", "r1", nil)
	b.submit("a", 1, "w", step(1, 1))
	b.pass(0)
	b.pass(7 * time.Second)
	end := func(p *Report) { p.Finished = []End{{Number: 1, Task: "a.0.0.0", Run: 1, Reason: EndFailed}} }
	b.hear("n1", "r1", end)
	assert.DeepEqual(t, b.cell.jobs["a"].units["a.0.0.0"].failedRuns, []int{1})
	b.now += time.Second
	b.cell.SetTime(b.now, b.wall)
	b.hear("n1", "r1", end)
	assert.DeepEqual(t, b.cell.jobs["a"].units["a.0.0.0"].failedRuns, []int{1})
}

// A member that has done its work stands at 100% until the slowest member of its
// gang is done; it was taken for one that stands still.
func TestOnlyUnfinishedWorkCanStall(t *testing.T) {
	for _, c := range []struct {
		name    string
		percent int
		want    int
	}{{"half done", 50, 1}, {"done, waiting for the gang", 100, 0}} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, nil)
			s := step(2, 8)
			s.Gang = true
			b.hear("n1", "r1", nil)
			b.hear("n2", "r2", nil)
			b.submit("a", 1, "w", s)
			assert.Equal(t, len(starts(b.pass(0))), 2)
			stops := 0
			for range 20 {
				b.now += 500 * time.Millisecond
				b.cell.SetTime(b.now, b.wall)
				b.hear("n1", "r1", func(p *Report) { p.Running = []Run{{Task: "a.0.0.0", Run: 1, Percent: c.percent}} })
				b.hear("n2", "r2", func(p *Report) {
					p.Running = []Run{{Task: "a.0.0.1", Run: 1, Percent: int(b.now/time.Second) % 100}}
				})
				stops += min(kinds(b.pass(0))[OrderStop], 1)
			}
			assert.Equal(t, min(stops, 1), c.want)
		})
	}
}

// A report of another version may name a way of ending that this one does not know.
func TestUnknownWayOfEndingIsNoSuccess(t *testing.T) {
	b := newBench(t, nil)
	b.hear("n1", "r1", nil)
	b.submit("a", 1, "w", step(1, 1))
	assert.Equal(t, len(starts(b.pass(0))), 1)
	b.now += time.Second
	b.cell.SetTime(b.now, b.wall)
	b.hear("n1", "r1", func(p *Report) { p.Finished = []End{{Number: 1, Task: "a.0.0.0", Run: 1, Reason: EndReason(200)}} })
	assert.Equal(t, len(starts(b.pass(0))), 1)
	assert.Equal(t, EndReason(200).String(), "unknown")
}

// A gang that is wider than every rack takes longer than its objective: it stops no
// other work and goes after what can be on time.
func TestGangWiderThanItsRackGivesWay(t *testing.T) {
	for _, c := range []struct {
		name     string
		sameRack bool
		first    string
	}{{"wants one rack", true, "b-narrow"}, {"runs over several", false, "a-wide"}} {
		t.Run(c.name, func(t *testing.T) {
			runners := []string{"r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"}
			w := newWorld(t, nil, runners...)
			w.cell.settings.RemoteSlowdown = 4
			w.rack = map[string]string{}
			for _, r := range runners {
				w.rack[r] = "rack-" + r
			}
			wide := step(2, 8)
			wide.Gang, wide.SameRack = true, c.sameRack
			w.submit("a-wide", 0, "w", wide)
			w.submit("b-narrow", 0, "w", step(1, 8))
			orders := w.turn(0)
			assert.Equal(t, strings.Split(starts(orders)[0], ".")[0], c.first)
		})
	}
}

// A step that is wider than a quarter of the pool counts as several waves in the
// objective.
func TestWideStepsCountInWaves(t *testing.T) {
	for _, c := range []struct{ count, accelerators, waves int }{{1, 8, 1}, {2, 8, 1}, {3, 8, 2}, {8, 8, 4}, {16, 1, 1}, {17, 1, 2}, {9, 2, 2}} {
		w := newWorld(t, nil, "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8")
		w.turn(0)
		w.submit("job", 1, "w", step(c.count, c.accelerators))
		want := time.Second + 3*2*time.Second*time.Duration(c.waves)
		assert.Equal(t, w.cell.objective(w.cell.jobs["job"]), want, "%d of %d", c.count, c.accelerators)
	}
}

// A job's own progress tells how long its tasks take, before any has ended and
// whatever the caller said.
func TestProgressTellsRunTimes(t *testing.T) {
	w := newWorld(t, nil, "r1")
	w.submit("job", 1, "w", step(4, 8))
	w.turn(0)
	assert.Equal(t, w.cell.estimate(w.cell.jobs["job"], 0), 2*time.Second)
	w.percents = map[string]int{"job.0.0.0": 0}
	w.turn(100 * time.Millisecond)
	w.percents["job.0.0.0"] = 20
	w.turn(2 * time.Second)
	assert.Equal(t, w.cell.estimate(w.cell.jobs["job"], 0), 10*time.Second)
}
