package jaycell

import (
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// demandRetention is how long the peak of urgent demand is remembered.
	demandRetention = 10 * time.Second
	// reserveShare bounds the accelerators reserved for urgent work, as a fraction of
	// the pool.
	reserveShare = 0.25
	// reserveSlack is the slack below which other work may use the reserve.
	reserveSlack = 2 * time.Second
)

// demand tracks the recent peak of accelerators requested by urgent work. Keeping
// them free lets the next burst start at once: a stop takes a large part of the time that
// a short urgent job has, also where the stopped work is saved.
type demand struct {
	peak   int
	peakAt time.Duration
}

// record updates the peak with the current urgent demand.
func (d *demand) record(now time.Duration, wanted int) {
	if wanted >= d.peak || now-d.peakAt > demandRetention {
		d.peak, d.peakAt = wanted, now
	}
}

// reserve returns the number of accelerators to keep free, given those that urgent
// work has and the size of the pool.
func (d *demand) reserve(allocated, pool int) int {
	return d.reserveWithin(allocated, int(reserveShare*float64(pool)))
}

// reserveWithin returns how much to keep free, at most limit, given what is allocated.
func (d *demand) reserveWithin(allocated, limit int) int {
	return min(max(d.peak-allocated, 0), limit)
}

// reserveForUrgent sets the accelerators of each service that are not reserved for its
// urgent work.
func (r *round) reserveForUrgent() {
	c := r.cell
	total, free := map[string]jaytask.Resources{}, map[string]jaytask.Resources{}
	for _, cand := range r.candidates {
		service := cand.runner.info.Service
		total[service] = total[service].Add(cand.runner.info.Capacity)
		free[service] = free[service].Add(cand.free.Max(jaytask.Resources{}))
	}
	uses := c.usesByLevel()
	r.keepHeadroom(uses, total, free)
	for service := range total {
		d := c.demand[service]
		if d == nil {
			d = &demand{}
			c.demand[service] = d
		}
		urgent := uses[level{service: service, below: urgentLevel}]
		d.record(c.now, urgent.wanted.Accelerators)
		r.unreserved[service] = free[service].Accelerators - d.reserve(urgent.allocated.Accelerators, total[service].Accelerators)
	}
}

// mayUseReserve reports whether a unit may start as far as the reserve is concerned:
// if it is urgent, fits beside the reserve, or has no slack left to wait and has not
// expired.
func (r *round) mayUseReserve(u *unit) bool {
	need := u.count * u.spec().Resources.Accelerators
	if u.job.spec.Policy.Priority == 0 || need == 0 || r.unreserved[u.job.spec.Policy.Service] >= need {
		return true
	}
	return r.cell.slack(u) < reserveSlack && !r.cell.expired(u.job)
}
