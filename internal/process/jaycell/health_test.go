package jaycell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// failing drives a harness whose runners fail what they start as soon as it has begun.
type failing struct {
	*harness
	runners []string
	faulty  map[string]bool
	ends    map[string]uint64
	running map[string][]Run
	// started and failed count runs by runner.
	started, failed map[string]int
}

func newFailing(t *testing.T, runners int) *failing {
	f := &failing{harness: newHarness(t, nil), faulty: map[string]bool{}, ends: map[string]uint64{}, running: map[string][]Run{}, started: map[string]int{}, failed: map[string]int{}}
	for i := range runners {
		f.runners = append(f.runners, fmt.Sprint("r", i))
	}
	return f
}

// wide returns a step of single tasks that take ten seconds each.
func wide(tasks int) jaytask.Step {
	s := step(tasks, 1)
	s.Estimate = 10 * time.Second
	return s
}

// step lets 100 ms pass: sound runs progress, those on faulty runners fail.
func (f *failing) step() {
	for _, runner := range f.runners {
		f.report("n-"+runner, runner, func(p *Report) {
			for i := range f.running[runner] {
				f.running[runner][i].Percent++
			}
			if f.faulty[runner] {
				for _, x := range f.running[runner] {
					f.ends[runner]++
					f.failed[runner]++
					p.Finished = append(p.Finished, End{Number: f.ends[runner], Task: x.Task, Run: x.Run, Reason: EndFailed})
				}
				f.running[runner] = nil
			}
			p.Running = f.running[runner]
		})
	}
	for _, o := range f.advance(100 * time.Millisecond) {
		switch o.Kind {
		case OrderStart:
			f.started[o.Runner]++
			f.running[o.Runner] = append(f.running[o.Runner], Run{Task: o.Task, Run: o.Run})
		case OrderStop:
			f.running[o.Runner] = slices.DeleteFunc(f.running[o.Runner], func(x Run) bool { return x.Task == o.Task })
		}
	}
}

// A runner that fails whatever it starts stays free and draws more work. It used to be
// avoided only after failures of different jobs, and was filled again after its probation.
func TestRunnerThatFailsAtOnceGetsLittleWork(t *testing.T) {
	f := newFailing(t, 8)
	f.faulty["r3"] = true
	for i := range 8 {
		f.submit(fmt.Sprint("wide", i), 2, "", wide(16))
	}
	for range 60 {
		f.step()
	}
	assert.Assert(t, f.failed["r3"] > 0)
	// Eight tasks may begin together before the first failure is known, and one at the end
	// of each probation of 3 s or more.
	assert.Assert(t, f.started["r3"] <= 8+2, "%d starts on the faulty runner", f.started["r3"])
}

// A runner that has recovered is trusted again as soon as one task works there.
func TestRunnerIsTrustedAgainOnceATaskWorks(t *testing.T) {
	f := newFailing(t, 2)
	f.faulty["r1"] = true
	for i := range 6 {
		f.submit(fmt.Sprint("wide", i), 2, "", wide(16))
	}
	for range 10 {
		f.step()
	}
	f.faulty["r1"] = false
	before := f.started["r1"]
	for range 40 {
		f.step()
	}
	assert.Equal(t, f.started["r1"]-before, 8)
}

// A job whose tasks all fail at once is not the fault of the runners.
func TestHopelessJobPutsFewRunnersOnProbation(t *testing.T) {
	f := newFailing(t, 16)
	for _, r := range f.runners {
		f.faulty[r] = true
	}
	f.submit("hopeless", 2, "", wide(32))
	for range 4 {
		f.step()
	}
	suspects := 0
	for _, r := range f.cell.runners {
		if r.onTrial() {
			suspects++
		}
	}
	assert.Assert(t, suspects <= 16/suspectShare, "%d runners on probation", suspects)
}

// The agent of a leaving runner may restart and take a late heartbeat for a new one. What it
// says counts once it must have heard the runner again.
func TestLeavingRunnerGetsNoWorkAfterItsAgentRestarted(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", func(p *Report) { p.Runner.Draining = true })
	h.advance(100 * time.Millisecond)
	h.submit("j", 0, "", step(1, 1))
	for waited := time.Duration(0); waited < time.Minute; waited += 500 * time.Millisecond {
		h.report("n1", "r1", func(p *Report) { p.Connection = 2 })
		if len(startedTasks(h.advance(500*time.Millisecond))) > 0 {
			assert.Assert(t, waited >= drainDoubt-500*time.Millisecond, "started after %s", waited)
			return
		}
	}
	t.Fatal("a runner that stays gets no work")
}

// A runner whose agent is the same may stay after all.
func TestRunnerThatTakesItsNoticeBackGetsWork(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", func(p *Report) { p.Runner.Draining = true })
	h.advance(100 * time.Millisecond)
	h.submit("j", 0, "", step(1, 1))
	h.report("n1", "r1", nil)
	assert.Equal(t, len(startedTasks(h.advance(100*time.Millisecond))), 1)
}
