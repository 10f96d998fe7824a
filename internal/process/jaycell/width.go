package jaycell

import (
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// widthMargin is kept of a step's time when the rounds are counted that it still
// has: two reports.
const waveMargin = time.Second

// slots returns how many tasks like those of a job's step the empty pool holds.
func (c *Cell) poolSlots(j *job, step int) int {
	request := j.spec.Steps[step].Allocation()
	n := 0
	for _, r := range c.runners {
		if !r.lost && r.reported && r.info.Service == j.spec.Policy.Service {
			n += request.CountIn(r.info.Capacity, jaytask.MaxTasks)
		}
	}
	return n
}

// atOnce returns how many of the n waiting tasks of a unit's step may start now. It
// answers wide jobs of long tasks, which would hold the whole pool while short
// urgent jobs wait: a step with time to spare takes a quarter of the pool, as its
// objective counts it, or as much more as it needs to be on time. A guarantee covers
// all tasks at once.
func (r *round) startLimit(u *unit, n int) int {
	c, s := r.cell, u.spec()
	if s.Gang || s.Daemon || s.Count == 1 || r.isGuaranteed(u.job) {
		return n
	}
	running := 0
	for _, w := range u.job.unitTable[u.occurrence][u.step] {
		if w != nil && w.phase == phaseActive {
			running++
		}
	}
	limit := (c.poolSlots(u.job, u.step) + wavesPerPool - 1) / wavesPerPool
	if runTime := c.estimate(u.job, u.step); runTime > 0 {
		waves := int((c.slack(u) + runTime - waveMargin) / runTime)
		if waves < 1 {
			return n
		}
		limit = max(limit, (running+n+waves-1)/waves)
	}
	return min(n, max(0, limit-running))
}
