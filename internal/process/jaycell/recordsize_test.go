package jaycell

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// testRecordBytes is the bound of the records in these tests.
const testRecordBytes = 32 << 10

func smallGang(count int) jaytask.Step {
	return jaytask.Step{Count: count, Gang: true, Resources: jaytask.Resources{CPU: 1}, Estimate: 2 * time.Second}
}

// newRecordHarness returns a harness whose records are bounded, with a runner.
func newRecordHarness(t *testing.T, runner string) *harness {
	h := newHarness(t, nil)
	h.cell.settings.MaxRecordBytes = testRecordBytes
	h.report("n1", runner, nil)
	return h
}

// Guards against a gang whose record the store never accepts and that stops all starts: an earlier
// version has accepted it.
func TestUnstorableGangHoldsBackNoOtherJob(t *testing.T) {
	h := newRecordHarness(t, "r1")
	h.submit("large", 0, "w", smallGang(6000))
	h.submit("other", 1, "w", step(1, 1))
	assert.DeepEqual(t, startedTasks(h.advance(0)), []string{"other.0.0.0"})
	assert.Equal(t, h.jobStates["large"], jaytask.Failed)
	assert.Equal(t, len(h.unitRecords), 1)
}

// Guards against a record that fits at the start of a run and outgrows the store when its runner
// crashes.
func TestOutgrownRecordFailsItsJob(t *testing.T) {
	// The names are longer than what is allowed for when the job is accepted.
	runner := strings.Repeat("r", 200)
	h := newRecordHarness(t, runner)
	const count = 100
	assert.NilError(t, CheckStorable(&jaytask.Job{Steps: []jaytask.Step{smallGang(count)}}, testRecordBytes))
	h.submit("a", 1, "w", smallGang(count))
	assert.Equal(t, len(startedTasks(h.advance(0))), count)
	for crashes := range 2 {
		var runs []CrashedRun
		for i := range count {
			runs = append(runs, CrashedRun{Task: TaskName("a", 0, 0, i), Run: crashes + 1})
		}
		next := fmt.Sprint(runner, crashes)
		h.advance(100 * time.Millisecond)
		h.report("n1", next, func(p *Report) { p.Crashes = []Crash{{Runner: runner, Runs: runs}} })
		runner = next
		h.advance(100 * time.Millisecond)
	}
	h.submit("other", 1, "w", step(1, 1))
	assert.DeepEqual(t, startedTasks(h.advance(0)), []string{"other.0.0.0"})
	assert.Equal(t, h.jobStates["a"], jaytask.Failed)
}

// A checkpoint that cannot be stored is not resumed from; the one before is.
func TestLargeCheckpointIsIgnored(t *testing.T) {
	h := newRecordHarness(t, "r1")
	s := step(1, 1)
	s.Checkpoint = true
	h.submit("a", 1, "w", s)
	h.advance(0)
	for run, checkpoint := range []string{"first", strings.Repeat("x", testRecordBytes), "third"} {
		h.now += 100 * time.Millisecond
		h.cell.SetTime(h.now, h.wall)
		h.report("n1", "r1", func(p *Report) {
			p.Finished = []End{{Number: uint64(run + 1), Task: "a.0.0.0", Run: run + 1, Reason: EndStopped, Checkpoint: checkpoint}}
		})
		orders := h.advance(100 * time.Millisecond)
		want := checkpoint
		if len(want) == testRecordBytes {
			want = "first"
		}
		for _, o := range orders {
			if o.Kind == OrderStart {
				assert.Equal(t, o.Checkpoint, want)
			}
		}
		assert.Equal(t, len(startedTasks(orders)), 1)
	}
}

// A job is refused if its records may outgrow the store.
func TestCheckStorable(t *testing.T) {
	const max = 256 << 10
	attempts := func(n int) jaytask.Policy { return jaytask.Policy{MaxAttempts: n} }
	for _, c := range []struct {
		name string
		job  jaytask.Job
		max  int
		want bool
	}{
		{"gang of the sites", jaytask.Job{Steps: []jaytask.Step{smallGang(100)}, Policy: attempts(4)}, max, true},
		{"wide gang", jaytask.Job{Steps: []jaytask.Step{smallGang(1500)}, Policy: attempts(4)}, max, true},
		{"gang that cannot be stored", jaytask.Job{Steps: []jaytask.Step{smallGang(6000)}, Policy: attempts(4)}, max, false},
		{"in a later step", jaytask.Job{Steps: []jaytask.Step{step(1, 1), smallGang(20_000)}, Policy: attempts(4)}, max, false},
		{"many single tasks", jaytask.Job{Steps: []jaytask.Step{step(20_000, 1)}, Policy: attempts(4)}, max, true},
		{"many attempts", jaytask.Job{Steps: []jaytask.Step{step(1, 1)}, Policy: attempts(100_000)}, max, false},
		{"no limit", jaytask.Job{Steps: []jaytask.Step{smallGang(20_000)}, Policy: attempts(4)}, 0, true},
	} {
		err := CheckStorable(&c.job, c.max)
		assert.Equal(t, err == nil, c.want, "%s: %v", c.name, err)
	}
}

// What is allowed for when a job is accepted covers its record with all members placed and a crash
// under each, and with as many crashes as let it be given up.
func TestRecordStaysWithinItsBound(t *testing.T) {
	names := [2]string{strings.Repeat("r", namesBytes/2), strings.Repeat("n", namesBytes-namesBytes/2)}
	for _, count := range []int{1, 2, 300, 1700} {
		for crashes := range crashesPerTask + 1 {
			j := newJob(&jaytask.Job{ID: strings.Repeat("f", 16), Steps: []jaytask.Step{smallGang(count)}, Policy: jaytask.Policy{MaxAttempts: 4}})
			u := j.unitFor(0, 0, 0)
			u.run, u.failedRuns = 1<<31, []int{1<<31 - 3, 1<<31 - 2, 1<<31 - 1, 1 << 31}
			r := newRunner(names[0], names[1])
			for i := range count {
				if crashes < crashesPerTask {
					u.placements = append(u.placements, newPlacement(u, i, r, 0))
				}
				for n := range crashes {
					u.crashes = append(u.crashes, taskCrash{Index: i, Run: 1<<31 + n, Runner: r.id, Node: r.node, Percent: 100, Progressed: true})
				}
			}
			size, bound := len(u.record().Value), u.recordBytes(nil)
			assert.Assert(t, size <= bound, "%d bytes, counted as %d", size, bound)
			assert.Assert(t, bound <= unitBytes(*u.spec(), j.spec.Policy), "%d bytes with %d tasks and %d crashes each", bound, count, crashes)
			assert.Assert(t, len(u.key()) <= MaxUnitKeyBytes)
		}
	}
}

// The job of a record that the store rejects fails, and what was placed with it does not start.
func TestRejectedRecordsFailTheirJobs(t *testing.T) {
	h := newHarness(t, nil)
	h.report("n1", "r1", nil)
	h.submit("a", 1, "w", smallGang(2))
	h.submit("b", 1, "w", step(1, 1))
	h.cell.SetTime(h.now, h.wall)
	h.cell.Tick()
	batch := h.cell.TakeBatch()
	h.cell.RejectRecords([]string{"a.0.0", "s/a", "unknown"}, "status 413")
	assert.DeepEqual(t, startedTasks(h.cell.ConfirmStored(batch)), []string{"b.0.0.0"})
	h.advance(0)
	assert.Equal(t, h.jobStates["a"], jaytask.Failed)
	assert.Equal(t, len(h.cell.runners["r1"].placements), 1)
}
