package jaycell

import (
	"strconv"
	"time"
)

const (
	// learnAfter is how many runs of a route's step must have ended before their
	// mean goes before the callers' own estimates, which are off by up to nine
	// tenths.
	minMeanRuns = 3
	// learnShare is the weight of the newest run in the mean.
	minMeanWeight = 0.15
)

// learned is the mean run time of one step of a route.
type runTimeMean struct {
	runs int
	mean time.Duration
}

func runTimeKey(route string, step int) string { return route + "/" + strconv.Itoa(step) }

// learn notes how long a run took that ended as done.
func (c *Cell) recordRunTime(pl *placement) {
	if !pl.confirmed {
		return
	}
	took := c.now - pl.confirmedAt
	k := runTimeKey(pl.unit.job.spec.Policy.Route, pl.unit.step)
	mean := c.meanRunTimes[k]
	if mean == nil {
		c.meanRunTimes[k] = &runTimeMean{runs: 1, mean: took}
		return
	}
	mean.runs++
	weight := max(minMeanWeight, 1/float64(mean.runs))
	mean.mean += time.Duration(weight * float64(took-mean.mean))
}

// measureAfter is the progress, in percent, from which a run tells how long its
// step's tasks take: a report is up to half a second old.
const minMeasuredProgress = 10

// measure notes how long the tasks of a job's step take, as one of them shows. Runs
// that are far from their rack tell nothing.
func (c *Cell) recordMeasuredRunTime(pl *placement, took time.Duration) {
	u := pl.unit
	if rack := u.spec().DataRack; rack != "" && rack != pl.runner.rack() || c.spansRacks(u) || took <= 0 {
		return
	}
	if u.job.measuredRunTimes == nil {
		u.job.measuredRunTimes = map[int]time.Duration{}
	}
	u.job.measuredRunTimes[u.step] = took
}

// estimate returns how long a task of a step is expected to run.
func (c *Cell) estimate(j *job, step int) time.Duration {
	if m := j.measuredRunTimes[step]; m > 0 {
		return m
	}
	if l := c.meanRunTimes[runTimeKey(j.spec.Policy.Route, step)]; l != nil && l.runs >= minMeanRuns {
		return l.mean
	}
	return j.spec.Steps[step].Estimate
}

// chain returns the expected run time of a job's longest chain of steps.
func (c *Cell) criticalPath(j *job) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	var longest time.Duration
	for i, s := range j.spec.Steps {
		var start time.Duration
		for _, a := range s.After {
			start = max(start, ends[a])
		}
		ends[i] = start + c.estimate(j, i)*time.Duration(c.waves(j, i))
		longest = max(longest, ends[i])
	}
	return longest
}

// waveShare is the share of the pool that a step may take at once: a wider step
// counts as several waves, one after the other, in what callers expect.
const wavesPerPool = 4

// waves returns in how many waves a step counts.
func (c *Cell) waves(j *job, step int) int {
	slots := c.poolSlots(j, step)
	if slots == 0 {
		return 1
	}
	return max(1, (wavesPerPool*j.spec.Steps[step].Count+slots-1)/slots)
}

// objective returns how long a job may take to be on time.
func (c *Cell) objective(j *job) time.Duration {
	if j.objectiveComputedAt != c.now || j.objective == 0 {
		j.objective, j.objectiveComputedAt = time.Duration(j.spec.Policy.Stretch*float64(c.criticalPath(j)))+j.spec.Policy.Objective, c.now
	}
	return j.objective
}

// slack returns how long a unit may still wait for its job to be on time, if all
// that is left of the job takes as long as expected.
func (c *Cell) slack(u *unit) time.Duration {
	elapsed := c.wall.Sub(u.job.spec.Accepted)
	if due := u.job.spec.Due(u.occurrence); !due.IsZero() {
		elapsed = c.wall.Sub(due)
	}
	return c.objective(u.job) - elapsed - c.remainingPath(u)
}

// farCheckEvery is how often it is looked at whether a gang fits into a rack:
// runners come and go.
const rackCheckInterval = time.Second

// spreads reports whether a gang that wants one rack is wider than every rack, so
// that its work takes longer by the far factor.
func (c *Cell) spansRacks(u *unit) bool {
	s := u.spec()
	if !s.Gang || !s.SameRack || c.settings.FarFactor <= 1 {
		return false
	}
	if u.spansRacksAt > 0 && c.now-u.spansRacksAt < rackCheckInterval {
		return u.spansRacks
	}
	fits := map[string]int{}
	u.spansRacks, u.spansRacksAt = true, c.now
	for _, r := range c.runners {
		if r.lost || !r.reported || !r.eligibleFor(u) {
			continue
		}
		rack := r.rack()
		if fits[rack] += capacityFor(r.info.Capacity, u, u.count); fits[rack] >= u.count {
			u.spansRacks = false
		}
	}
	return u.spansRacks
}

// left returns the expected run time of the steps from a unit's on.
func (c *Cell) remainingPath(u *unit) time.Duration {
	longest := make([]time.Duration, len(u.job.spec.Steps))
	for i := len(longest) - 1; i >= u.step; i-- {
		longest[i] += c.estimate(u.job, i)
		for _, a := range u.job.spec.Steps[i].After {
			longest[a] = max(longest[a], longest[i])
		}
	}
	if c.spansRacks(u) {
		return longest[u.step] + time.Duration((c.settings.FarFactor-1)*float64(c.estimate(u.job, u.step)))
	}
	return longest[u.step]
}
