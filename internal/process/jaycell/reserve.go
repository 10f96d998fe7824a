package jaycell

import "time"

const (
	// demandFade is how long an urgent demand is remembered.
	demandRetention = 10 * time.Second
	// reserveShare bounds the accelerators kept free for urgent work, as a share of
	// the pool.
	reserveShare = 0.25
	// reserveSlack is how much slack other work must have left to wait for the
	// reserve.
	reserveSlack = 2 * time.Second
)

// demand is the most that urgent work has wanted lately. It answers bursts of
// urgent jobs: what stands free for them starts at once, and nothing that cannot
// save its progress is started just to be stopped.
type demand struct {
	peak   int
	peakAt time.Duration
}

// note takes what urgent work wants now.
func (d *demand) record(now time.Duration, wanted int) {
	if wanted >= d.peak || now-d.peakAt > demandRetention {
		d.peak, d.peakAt = wanted, now
	}
}

// reserve returns how many accelerators to keep free beside what urgent work has.
func (d *demand) reserve(allocated, pool int) int {
	return min(max(d.peak-allocated, 0), int(reserveShare*float64(pool)))
}

// urgentLoad returns the accelerators that urgent work holds and those it wants,
// held ones included.
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

// mayUse reports whether a unit may take accelerators that are kept for urgent
// work: urgent units may, those that save their progress, and those that have no
// time left to wait.
func (r *round) mayUseReserve(u *unit) bool {
	s := u.spec()
	need := u.count * s.Resources.Accelerators
	if u.job.spec.Policy.Priority == 0 || s.Checkpoint || need == 0 || r.unreserved >= need {
		return true
	}
	return r.cell.slack(u) < reserveSlack && !r.cell.expired(u.job)
}
