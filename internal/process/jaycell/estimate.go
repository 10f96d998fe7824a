package jaycell

import (
	"strconv"
	"time"
)

const (
	// learnAfter is how many runs of a route's step must have ended before their
	// mean goes before the callers' own estimates, which are off by up to nine
	// tenths.
	learnAfter = 3
	// learnShare is the weight of the newest run in the mean.
	learnShare = 0.15
)

// learned is the mean run time of one step of a route.
type learned struct {
	runs int
	mean time.Duration
}

func learnKey(route string, step int) string { return route + "/" + strconv.Itoa(step) }

// learn notes how long a run took that ended as done.
func (c *Cell) learn(h *hold) {
	if !h.confirmed {
		return
	}
	took := c.now - h.confirmedAt
	k := learnKey(h.unit.job.spec.Policy.Route, h.unit.step)
	l := c.learned[k]
	if l == nil {
		c.learned[k] = &learned{runs: 1, mean: took}
		return
	}
	l.runs++
	share := max(learnShare, 1/float64(l.runs))
	l.mean += time.Duration(share * float64(took-l.mean))
}

// measureAfter is the progress, in percent, from which a run tells how long its
// step's tasks take: a report is up to half a second old.
const measureAfter = 10

// measure notes how long the tasks of a job's step take, as one of them shows. Runs
// that are far from their rack tell nothing.
func (c *Cell) measure(h *hold, took time.Duration) {
	u := h.unit
	if near := u.spec().DataRack; near != "" && near != h.runner.rack() || c.spreads(u) || took <= 0 {
		return
	}
	if u.job.measured == nil {
		u.job.measured = map[int]time.Duration{}
	}
	u.job.measured[u.step] = took
}

// estimate returns how long a task of a step is expected to run.
func (c *Cell) estimate(j *job, step int) time.Duration {
	if m := j.measured[step]; m > 0 {
		return m
	}
	if l := c.learned[learnKey(j.spec.Policy.Route, step)]; l != nil && l.runs >= learnAfter {
		return l.mean
	}
	return j.spec.Steps[step].Estimate
}

// chain returns the expected run time of a job's longest chain of steps.
func (c *Cell) chain(j *job) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	var longest time.Duration
	for i, s := range j.spec.Steps {
		var begin time.Duration
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + c.estimate(j, i)*time.Duration(c.waves(j, i))
		longest = max(longest, ends[i])
	}
	return longest
}

// waveShare is the share of the pool that a step may take at once: a wider step
// counts as several waves, one after the other, in what callers expect.
const waveShare = 4

// waves returns in how many waves a step counts.
func (c *Cell) waves(j *job, step int) int {
	fit := c.slots(j, step)
	if fit == 0 {
		return 1
	}
	return max(1, (waveShare*j.spec.Steps[step].Count+fit-1)/fit)
}

// objective returns how long a job may take to be on time.
func (c *Cell) objective(j *job) time.Duration {
	if j.objectiveAt != c.now || j.objective == 0 {
		j.objective, j.objectiveAt = time.Duration(j.spec.Policy.Stretch*float64(c.chain(j)))+j.spec.Policy.Objective, c.now
	}
	return j.objective
}

// slack returns how long a unit may still wait for its job to be on time, if all
// that is left of the job takes as long as expected.
func (c *Cell) slack(u *unit) time.Duration {
	since := c.wall.Sub(u.job.spec.Accepted)
	if due := u.job.spec.Due(u.occurrence); !due.IsZero() {
		since = c.wall.Sub(due)
	}
	return c.objective(u.job) - since - c.left(u)
}

// farCheckEvery is how often it is looked at whether a gang fits into a rack:
// runners come and go.
const farCheckEvery = time.Second

// spreads reports whether a gang that wants one rack is wider than every rack, so
// that its work takes longer by the far factor.
func (c *Cell) spreads(u *unit) bool {
	s := u.spec()
	if !s.Gang || !s.SameRack || c.settings.FarFactor <= 1 {
		return false
	}
	if u.spreadAt > 0 && c.now-u.spreadAt < farCheckEvery {
		return u.spread
	}
	held := map[string]int{}
	u.spread, u.spreadAt = true, c.now
	for _, r := range c.runners {
		if r.gone || !r.known || !r.serves(u) {
			continue
		}
		rack := r.rack()
		if held[rack] += capacityFor(r.info.Capacity, u, u.count); held[rack] >= u.count {
			u.spread = false
		}
	}
	return u.spread
}

// left returns the expected run time of the steps from a unit's on.
func (c *Cell) left(u *unit) time.Duration {
	longest := make([]time.Duration, len(u.job.spec.Steps))
	for i := len(longest) - 1; i >= u.step; i-- {
		longest[i] += c.estimate(u.job, i)
		for _, a := range u.job.spec.Steps[i].After {
			longest[a] = max(longest[a], longest[i])
		}
	}
	if c.spreads(u) {
		return longest[u.step] + time.Duration((c.settings.FarFactor-1)*float64(c.estimate(u.job, u.step)))
	}
	return longest[u.step]
}
