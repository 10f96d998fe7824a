package jaycell

import (
	"cmp"
	"sort"
)

const (
	// worthlessTier puts a job behind all others.
	worthlessTier = 1000
	// lateTier is how many priorities a job falls behind when it is late.
	lateTier = 0.5
	// lateFactor is how many objectives late a job is still worth something.
	lateFactor = 3
)

// guaranteedJobs returns the jobs that a workspace's guaranteed accelerators hold:
// its unfinished jobs of priority 0, the earliest first.
func (c *Cell) guaranteedJobs() map[*job]bool {
	var urgent []*job
	for _, j := range c.jobs {
		if !j.state.Ended() && j.spec.Policy.Priority == 0 {
			urgent = append(urgent, j)
		}
	}
	sort.Slice(urgent, func(a, b int) bool { return earlier(urgent[a], urgent[b]) })
	need := map[string]int{}
	held := map[*job]bool{}
	for _, j := range urgent {
		w := j.spec.Policy.Workspace
		if n := need[w] + j.spec.FirstStepAccelerators(); n <= c.settings.Guaranteed(w) {
			need[w] = n
			held[j] = true
		}
	}
	return held
}

func earlier(a, b *job) bool {
	if !a.spec.Accepted.Equal(b.spec.Accepted) {
		return a.spec.Accepted.Before(b.spec.Accepted)
	}
	return a.spec.ID < b.spec.ID
}

func (r *round) isGuaranteed(j *job) bool { return r.guaranteed[j] }

// ranked is a unit with what its place in the order depends on.
type ranked struct {
	unit       *unit
	guaranteed bool
	tier       float64
}

// compare orders units: guarantees first, then by tier, then jobs that have begun,
// since a job counts only when all of it is done, then by acceptance.
func (a ranked) compare(b ranked) int {
	if a.guaranteed != b.guaranteed {
		return first(a.guaranteed)
	}
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	x, y := a.unit.job, b.unit.job
	if x.begun != y.begun {
		return first(x.begun)
	}
	if x != y {
		return first(earlier(x, y))
	}
	return cmp.Compare(a.unit.key(), b.unit.key())
}

// first is the comparison of two items of which the condition puts one first.
func first(condition bool) int {
	if condition {
		return -1
	}
	return 1
}

// tier returns how urgent a unit is, the least first: its priority, more when it
// is late, and last when it is too late to count. When more comes than can be
// served, what can still be on time goes before what cannot; otherwise a queue
// makes all of a burst late.
func (c *Cell) tier(u *unit) float64 {
	t := float64(u.job.spec.Policy.Priority)
	switch {
	case u.spec().Daemon:
		return t
	case c.worthless(u.job):
		return t + worthlessTier
	case c.slack(u) < 0:
		return t + lateTier
	}
	return t
}

// worthless reports whether a job's completion comes too late to count.
func (c *Cell) worthless(j *job) bool {
	if j.spec.TimedOccurrences > 0 || j.spec.HasDaemon() {
		return false
	}
	return c.wall.Sub(j.spec.Accepted) > lateFactor*c.objective(j)
}
