package jaysimulation

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Figures of the loads with scarce capacity would say nothing about their callers if jobs
// arrived evenly from workspaces of one size, or if memory did not bind before accelerators.
func TestScarceLoadsAreUneven(t *testing.T) {
	for _, name := range []string{"tampere", "swansea"} {
		t.Run(name, func(t *testing.T) {
			l := findLoad(t, name)
			workspaces := map[string]int{}
			jobs, crest, trough, tasks, long := 0, 0, 0, 0, 0
			for seed := range uint64(20) {
				for _, q := range l.generate(seed, epoch) {
					jobs++
					workspaces[q.spec.Policy.Workspace]++
					for _, s := range q.taskSeconds {
						tasks++
						if s > 1.5*q.class.taskSeconds.max {
							long++
						}
					}
					if q.class.Priority != 2 || q.arrival == 0 {
						continue
					}
					// The middle of the data centres' waves has its crest at 3/8 of the period.
					if phase := q.arrival % l.WavePeriod; phase < l.WavePeriod*5/8 && phase >= l.WavePeriod/8 {
						crest++
					} else {
						trough++
					}
				}
			}
			assert.Equal(t, len(workspaces), 10)
			assert.Assert(t, workspaces["w0"] > jobs/4 && workspaces["w9"] < jobs/20, "%v", workspaces)
			assert.Assert(t, float64(crest) > 1.4*float64(trough), "%d at the crest, %d in the trough", crest, trough)
			assert.Assert(t, long > tasks/100 && long < tasks/25, "%d of %d tasks are long", long, tasks)
		})
	}
	l := findLoad(t, "swansea")
	request := l.Classes[1].resources
	assert.Equal(t, request.CountIn(l.Worker, l.Worker.Accelerators), 1)
	assert.Equal(t, l.StopTimeout, 900*time.Millisecond)
}
