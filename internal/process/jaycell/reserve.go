package jaycell

import "time"

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
// them free lets the next burst start at once, and avoids starting work without
// checkpoints just to preempt it.
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
	return min(max(d.peak-allocated, 0), int(reserveShare*float64(pool)))
}

// urgentAccelerators returns the accelerators allocated to urgent work, and those it
// wants including the allocated ones.
func (c *Cell) urgentAccelerators() (allocated, wanted int) {
	for _, j := range c.jobs {
		if j.state.Ended() || j.spec.Policy.Priority != 0 {
			continue
		}
		for _, u := range j.units {
			n := u.count * u.spec().Resources.Accelerators
			switch u.phase {
			case phaseActive:
				allocated += n
				wanted += n
			case phaseWaiting:
				wanted += n
			}
		}
	}
	return allocated, wanted
}

// mayUseReserve reports whether a unit may start as far as the reserve is concerned:
// if it is urgent, saves checkpoints, fits beside the reserve, or has no slack left
// to wait and has not expired.
func (r *round) mayUseReserve(u *unit) bool {
	s := u.spec()
	need := u.count * s.Resources.Accelerators
	if u.job.spec.Policy.Priority == 0 || s.Checkpoint || need == 0 || r.unreserved >= need {
		return true
	}
	return r.cell.slack(u) < reserveSlack && !r.cell.expired(u.job)
}
