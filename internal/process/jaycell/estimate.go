package jaycell

import (
	"time"

	"github.com/jaystile/jaystile/internal/process/jayadmission"
)

const (
	// minMeanRuns is the number of completed runs of a route's step from which their
	// mean replaces the caller's estimate, which is off by up to 90%.
	minMeanRuns = 3
	// minMeanWeight is the minimum weight of the latest run in the mean.
	minMeanWeight = 0.15
)

// runTimeMean is the moving average of the run time of one step of a route, with the
// bounds of all its run times in this term.
type runTimeMean struct {
	runs     int
	mean     time.Duration
	shortest time.Duration
	longest  time.Duration
}

// runTimeKey identifies a step of a route.
type runTimeKey struct {
	route string
	step  int
}

// recordRunTime adds the run time of a completed run to the mean of its step.
func (c *Cell) recordRunTime(pl *placement) {
	if !pl.confirmed {
		return
	}
	c.estimatesVersion++
	runTime := c.now - pl.confirmedAt
	k := runTimeKey{pl.unit.job.spec.Policy.Route, pl.unit.step}
	m := c.meanRunTimes[k]
	if m == nil {
		c.meanRunTimes[k] = &runTimeMean{runs: 1, mean: runTime, shortest: runTime, longest: runTime}
		return
	}
	m.runs++
	m.shortest, m.longest = min(m.shortest, runTime), max(m.longest, runTime)
	weight := max(minMeanWeight, 1/float64(m.runs))
	m.mean += time.Duration(weight * float64(runTime-m.mean))
}

const (
	// minMeasuredProgress is the progress, in percent, from which the run time of a task
	// is extrapolated. With less, the age of a report, up to 500 ms, would matter too
	// much.
	minMeasuredProgress = 10
	// minSpeedShare is the share of its expected run time after which the progress of a
	// task, however small, tells the speed of its runner.
	minSpeedShare = 0.2
	// measuredWeight is the weight of the latest report in the measured run time of a
	// step, speedWeight that in the speed of a runner.
	measuredWeight = 0.2
	speedWeight    = 0.2
)

// measureRun updates the speed of a runner and the run time of a step's tasks on a runner
// of speed 1 by the progress of one of them. Runs that are slowed down by RemoteSlowdown
// are ignored.
func (c *Cell) measureRun(pl *placement) {
	u, elapsed, gained := pl.unit, c.now-pl.confirmedAt, pl.percent-pl.firstPercent
	if rack := u.spec().DataRack; rack != "" && rack != pl.runner.rack() || c.spansRacks(u) || elapsed <= 0 {
		return
	}
	mean, known := u.job.measuredRunTimes[u.step]
	if known && float64(elapsed) >= minSpeedShare*float64(mean) {
		c.recordSpeed(pl.runner, float64(gained)/100*float64(mean)/float64(elapsed))
	}
	if gained < minMeasuredProgress {
		return
	}
	runTime := time.Duration(pl.runner.speed * float64(elapsed) * 100 / float64(gained))
	if !known {
		if u.job.measuredRunTimes == nil {
			u.job.measuredRunTimes = map[int]time.Duration{}
		}
		mean = runTime
	}
	c.estimatesVersion++
	u.job.measuredRunTimes[u.step] = mean + time.Duration(measuredWeight*float64(runTime-mean))
}

// estimate returns the expected run time of a task: measured in this job, else the
// mean of its route, else the caller's estimate.
func (c *Cell) estimate(j *job, step int) time.Duration {
	if m := j.measuredRunTimes[step]; m > 0 {
		return m
	}
	if m := c.meanRunTimes[runTimeKey{j.spec.Policy.Route, step}]; m != nil && m.runs >= minMeanRuns {
		return m.mean
	}
	return j.spec.Steps[step].Estimate
}

// criticalPath returns the expected run time of a job's longest chain of steps.
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

// wavesPerPool is the number of waves that the pool holds at once.
const wavesPerPool = jayadmission.WavesPerPool

// waves returns the number of waves assumed for a step.
func (c *Cell) waves(j *job, step int) int {
	slots := c.poolSlots(j, step)
	if slots == 0 {
		return 1
	}
	return max(1, (wavesPerPool*j.spec.Steps[step].Count+slots-1)/slots)
}

// objective returns the completion time objective of a job: Stretch times the
// critical path, plus Objective.
func (c *Cell) objective(j *job) time.Duration {
	if j.objectiveComputedAt != c.now || j.objective == 0 {
		j.objective, j.objectiveComputedAt = time.Duration(j.spec.Policy.Stretch*float64(c.criticalPath(j)))+j.spec.Policy.Objective, c.now
	}
	return j.objective
}

// slack returns how long a unit may still wait if its job is to be on time and the
// remaining steps take as long as expected. It is negative for a late job.
func (c *Cell) slack(u *unit) time.Duration {
	elapsed := c.wall.Sub(u.job.spec.Accepted)
	if due := u.job.spec.Due(u.occurrence); !due.IsZero() {
		elapsed = c.wall.Sub(due)
	}
	return c.objective(u.job) - elapsed - c.remainingPath(u)
}

// rackCheckInterval is how long the result of spansRacks is cached: runners come and
// go.
const rackCheckInterval = time.Second

// spansRacks reports whether a gang that should run on one rack is larger than every
// rack, so that it is slowed down by RemoteSlowdown.
func (c *Cell) spansRacks(u *unit) bool {
	s := u.spec()
	if !s.Gang || !s.SameRack || c.settings.RemoteSlowdown <= 1 {
		return false
	}
	if u.spansRacksAt > 0 && c.now-u.spansRacksAt < rackCheckInterval {
		return u.spansRacks
	}
	fits := map[string]int{}
	u.spansRacks, u.spansRacksAt = true, c.now
	for _, r := range c.runners {
		if !r.inPool() || !r.eligibleFor(u) {
			continue
		}
		rack := r.rack()
		if fits[rack] += capacityFor(r.info.Capacity, u, u.count); fits[rack] >= u.count {
			u.spansRacks = false
		}
	}
	return u.spansRacks
}

// remainingPath returns the expected run time of the longest chain of steps that
// starts with the unit's.
func (c *Cell) remainingPath(u *unit) time.Duration {
	left := c.remainingPaths(u.job)[u.step]
	if c.spansRacks(u) {
		return left + time.Duration((c.settings.RemoteSlowdown-1)*float64(c.estimate(u.job, u.step)))
	}
	return left
}

// remainingPaths returns by step the expected run time of the longest chain of steps that starts with
// it. It is computed once for all tasks of a job, until an estimate changes.
func (c *Cell) remainingPaths(j *job) []time.Duration {
	if j.paths != nil && j.pathsVersion == c.estimatesVersion {
		return j.paths
	}
	if j.paths == nil {
		j.paths = make([]time.Duration, len(j.spec.Steps))
	}
	clear(j.paths)
	for i := len(j.paths) - 1; i >= 0; i-- {
		j.paths[i] += c.estimate(j, i)
		for _, a := range j.spec.Steps[i].After {
			j.paths[a] = max(j.paths[a], j.paths[i])
		}
	}
	j.pathsVersion = c.estimatesVersion
	return j.paths
}
