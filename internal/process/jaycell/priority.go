package jaycell

import (
	"cmp"
	"sort"

	"github.com/jaystile/jaystile/internal/process/jayadmission"
)

const (
	// expiredPenalty puts a job behind all others.
	expiredPenalty = 1000
	// latePenalty is the number of priorities by which a late job is demoted.
	latePenalty = 0.5
	// expiryFactor is the age, in multiples of the objective, after which completing a
	// job no longer counts.
	expiryFactor = jayadmission.ExpiryFactor
)

// guaranteedJobs returns the jobs covered by the guaranteed accelerators of their
// workspace: its unfinished jobs of priority 0, the earliest first.
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

// compare orders steps: guaranteed jobs first, then by tier, then jobs that have
// started, since only complete jobs count, then by acceptance.
func (a *waitingStep) compare(b *waitingStep) int {
	if a.guaranteed != b.guaranteed {
		return compareFirst(a.guaranteed)
	}
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	x, y := a.job, b.job
	if x.started != y.started {
		return compareFirst(x.started)
	}
	if x != y {
		return compareFirst(acceptedBefore(x, y))
	}
	return cmp.Compare(a.units[0].key(), b.units[0].key())
}

// compareFirst returns the comparison result that puts a before b if condition holds
// and after it otherwise.
func compareFirst(condition bool) int {
	if condition {
		return -1
	}
	return 1
}

// tier returns the effective priority of a unit, the lowest first: its priority, with
// a penalty if it is late or expired. Under overload, jobs that can still be on time
// thus go first; otherwise a queue would make all jobs of a burst late.
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

// expired reports whether completing a job would no longer count. Daemon and timed
// jobs never expire.
func (c *Cell) expired(j *job) bool {
	if j.spec.TimedOccurrences > 0 || j.spec.HasDaemon() {
		return false
	}
	return c.wall.Sub(j.spec.Accepted) > expiryFactor*c.objective(j)
}
