package jaycell

import (
	"cmp"
	"sort"
)

const (
	// worthlessTier puts a job behind all others.
	expiredPenalty = 1000
	// lateTier is how many priorities a job falls behind when it is late.
	latePenalty = 0.5
	// lateFactor is how many objectives late a job is still worth something.
	expiryFactor = 3
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
	sort.Slice(urgent, func(a, b int) bool { return acceptedBefore(urgent[a], urgent[b]) })
	allocated := map[string]int{}
	guaranteed := map[*job]bool{}
	for _, j := range urgent {
		workspace := j.spec.Policy.Workspace
		if n := allocated[workspace] + j.spec.FirstStepAccelerators(); n <= c.settings.Guaranteed(workspace) {
			allocated[workspace] = n
			guaranteed[j] = true
		}
	}
	return guaranteed
}

func acceptedBefore(a, b *job) bool {
	if !a.spec.Accepted.Equal(b.spec.Accepted) {
		return a.spec.Accepted.Before(b.spec.Accepted)
	}
	return a.spec.ID < b.spec.ID
}

func (r *round) isGuaranteed(j *job) bool { return r.guaranteed[j] }

// ranked is a unit with what its place in the order depends on.
type rankedUnit struct {
	unit       *unit
	guaranteed bool
	tier       float64
}

// compare orders units: guarantees first, then by tier, then jobs that have begun,
// since a job counts only when all of it is done, then by acceptance.
func (a rankedUnit) compare(b rankedUnit) int {
	if a.guaranteed != b.guaranteed {
		return compareFirst(a.guaranteed)
	}
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	x, y := a.unit.job, b.unit.job
	if x.started != y.started {
		return compareFirst(x.started)
	}
	if x != y {
		return compareFirst(acceptedBefore(x, y))
	}
	return cmp.Compare(a.unit.key(), b.unit.key())
}

// first is the comparison of two items of which the condition puts one first.
func compareFirst(condition bool) int {
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
	case c.expired(u.job):
		return t + expiredPenalty
	case c.slack(u) < 0:
		return t + latePenalty
	}
	return t
}

// worthless reports whether a job's completion comes too late to count.
func (c *Cell) expired(j *job) bool {
	if j.spec.TimedOccurrences > 0 || j.spec.HasDaemon() {
		return false
	}
	return c.wall.Sub(j.spec.Accepted) > expiryFactor*c.objective(j)
}
