package jaycell

import (
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// waveMargin is subtracted from the slack of a step when its remaining waves are
// counted: two report intervals.
const waveMargin = time.Second

// poolShape is what decides how many tasks of a step the empty pool holds.
type poolShape struct {
	service string
	request jaytask.Resources
}

// poolSlots returns how many tasks of a job's step the empty pool holds.
func (c *Cell) poolSlots(j *job, step int) int {
	if c.slotsComputedAt != c.now {
		clear(c.slots)
		c.slotsComputedAt = c.now
	}
	k := poolShape{service: j.spec.Policy.Service, request: j.spec.Steps[step].Allocation()}
	n, known := c.slots[k]
	if known {
		return n
	}
	for _, r := range c.runners {
		if r.inPool() && r.info.Service == k.service {
			n += k.request.CountIn(r.info.Capacity, maxRunsPerRunner)
		}
	}
	c.slots[k] = n
	return n
}

// startLimit returns how many of the n waiting tasks of u's step may start now. It
// keeps wide jobs of long tasks from occupying the whole pool while short urgent
// jobs wait: a step with slack gets 1/wavesPerPool of the pool, which its objective
// assumes, or as much more as it needs to be on time. Guaranteed jobs, gangs and
// daemon steps are not limited.
func (r *round) startLimit(u *unit, n int) int {
	c, s := r.cell, u.spec()
	if s.Gang || s.Daemon || s.Count == 1 || r.isGuaranteed(u.job) {
		return n
	}
	running := countActive(u.job.unitTable[u.occurrence][u.step])
	limit := (c.poolSlots(u.job, u.step) + wavesPerPool - 1) / wavesPerPool
	if runTime := c.estimate(u.job, u.step); runTime > 0 {
		// waves is how many waves the step has time for; if not one, it is late anyway.
		waves := int((c.slack(u) + runTime - waveMargin) / runTime)
		if waves < 1 {
			return n
		}
		limit = max(limit, (running+n+waves-1)/waves)
	}
	return min(n, max(0, limit-running))
}
