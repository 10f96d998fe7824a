package jaycell

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// fullPool is a cell whose runners are full of work that nobody stops.
type fullPool struct {
	cell *Cell
	now  time.Duration
	wall time.Time
}

func newFullPool(workers, accelerators int) *fullPool {
	p := &fullPool{now: time.Hour, wall: time.UnixMilli(1_700_000_000_000)}
	p.cell = New(testSettings(1, nil), p.now, p.wall)
	for i := range workers {
		p.cell.ApplyReport(Report{Node: fmt.Sprint("n", i), Sequence: int64(p.now), Term: 1, Responsive: true, Runner: RunnerInfo{ID: fmt.Sprint("r", i), Service: "s", Capacity: jaytask.Resources{CPU: 32000, Memory: 131072, Accelerators: accelerators}}})
	}
	for i := range workers * accelerators {
		p.submit(fmt.Sprintf("small%05d", i), 1, step(1, 1))
	}
	p.round()
	return p
}

func (p *fullPool) submit(id string, priority int, steps ...jaytask.Step) {
	p.cell.Submit(&jaytask.Job{ID: id, Steps: steps, Accepted: p.wall, Policy: jaytask.Policy{Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 3, Objective: time.Second}})
}

// distinctSteps returns steps of one task each that nothing in the pool has room for. All differ.
func distinctSteps(first, n int) []jaytask.Step {
	var steps []jaytask.Step
	for i := range n {
		s := step(1, 0)
		s.Resources.CPU, s.Resources.Memory = 32000, first+i
		steps = append(steps, s)
	}
	return steps
}

// round makes a round of decisions and confirms what it stores.
func (p *fullPool) round() {
	p.now, p.wall = p.now+10*time.Millisecond, p.wall.Add(10*time.Millisecond)
	p.cell.SetTime(p.now, p.wall)
	p.cell.Tick()
	p.cell.ConfirmStored(p.cell.TakeBatch())
}

// Guards against rounds that take longer with each task that waits, times each step after it: the
// chain of steps was walked for every task, so that one job stalled the leader.
func TestWaitingTasksOfAStepAreRankedOnce(t *testing.T) {
	allocations := func(tasks int) float64 {
		p := newFullPool(4, 8)
		p.cell.Submit(wideJob("wide", p.wall, 64, tasks))
		return testing.AllocsPerRun(5, p.round)
	}
	few, many := allocations(500), allocations(4000)
	assert.Assert(t, many < 2*few, "a round with 8 times as many waiting tasks allocates %.0f times, before %.0f", many, few)
}

// Guards against rounds without a bound on what they cost: callers choose how many shapes of tasks
// wait. Each step is tried in the end, and an urgent one in the next round.
func TestRoundWorkIsBounded(t *testing.T) {
	const jobs, stepsPerJob = 8, jaytask.MaxSteps
	p := newFullPool(100, 8)
	for i := range jobs {
		p.submit(fmt.Sprintf("many%d", i), 2, distinctSteps(i*stepsPerJob, stepsPerJob)...)
	}
	tried, rounds := map[stepID]bool{}, 0
	for p.round(); p.cell.undecided > 0; p.round() {
		assert.Assert(t, p.cell.lastWork < 3*maxRoundWork, "a round did %d looks", p.cell.lastWork)
		for id := range p.cell.triedSteps {
			tried[id] = true
		}
		if rounds++; rounds == 1 {
			assert.Assert(t, len(tried) > 0 && len(tried) < jobs*stepsPerJob, "the bound did not apply: %d steps were tried", len(tried))
			s := step(1, 8)
			s.Gang = true
			p.submit("urgent", 0, s)
			p.round()
			assert.Assert(t, len(p.cell.TakeImmediateOrders()) > 0, "nothing is stopped for an urgent job")
		}
		assert.Assert(t, rounds < 20, "%d of %d steps have been tried", len(tried), jobs*stepsPerJob)
	}
	assert.Assert(t, rounds > 1)
}

// Guards against decisions that depend on the machine's speed: the same calls decide the same, also
// when rounds leave steps to later ones.
func TestBoundedRoundsDecideTheSameAgain(t *testing.T) {
	left := false
	play := func() (log []string) {
		p := newFullPool(100, 8)
		p.cell.settings.OnDecision = func(d Decision) { log = append(log, fmt.Sprint(p.now, d)) }
		for i := range 6 {
			p.submit(fmt.Sprintf("many%d", i), 2, distinctSteps(i*jaytask.MaxSteps, jaytask.MaxSteps)...)
			p.submit(fmt.Sprintf("small%d", i), 2, step(50, 0))
		}
		for range 6 {
			p.round()
			left = left || p.cell.undecided > 0
		}
		return log
	}
	assert.DeepEqual(t, play(), play())
	assert.Assert(t, left, "the bound did not apply")
}
