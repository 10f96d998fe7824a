package jaycell

import (
	"maps"
	"slices"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayadmission"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// certainShare is the part of an estimate that a run certainly takes: estimates of running
// tasks extrapolate their progress.
const certainShare = 0.5

// guaranteedPriority ranks guaranteed jobs, which may stop any other, before priority 0.
const guaranteedPriority = -1

// recordRoute adds a job to what has been seen of its route. A change of the route's
// priority or service starts afresh.
func (c *Cell) recordRoute(j *jaytask.Job) {
	if j.TimedOccurrences > 0 || j.HasDaemon() {
		return
	}
	p := j.Policy
	r := c.routes[p.Route]
	if r == nil || r.Service != p.Service || r.Priority != p.Priority {
		r = &jayadmission.Route{Name: p.Route, Service: p.Service, Priority: p.Priority, Smallest: j.Steps[0].Allocation()}
		c.routes[p.Route] = r
	}
	for _, s := range j.Steps {
		x := s.Allocation()
		r.Largest = jaytask.Resources{CPU: max(r.Largest.CPU, x.CPU), Memory: max(r.Largest.Memory, x.Memory), Accelerators: max(r.Largest.Accelerators, x.Accelerators)}
		if len(s.After) == 0 {
			r.Smallest = jaytask.Resources{CPU: min(r.Smallest.CPU, x.CPU), Memory: min(r.Smallest.Memory, x.Memory), Accelerators: min(r.Smallest.Accelerators, x.Accelerators)}
		}
	}
}

// Backlog returns the work that the cell holds while some of it waits, and whether any does.
// A runner of an earlier term that has not reported has an unknown capacity, so there is no
// backlog until it has or is forgotten.
func (c *Cell) Backlog() (jayadmission.Backlog, bool) {
	b := jayadmission.Backlog{LowestPriority: map[string]int{}}
	waiting := c.waitingSteps()
	if len(waiting) == 0 {
		return b, false
	}
	preemptors := c.preemptors(b.LowestPriority)
	for _, r := range c.sortedRunners() {
		switch {
		case r.replaced || r.info.Draining:
			continue
		case !r.reported:
			return b, false
		}
		// A lost runner may come back, so it counts as room.
		x := jayadmission.Runner{Service: r.info.Service, Capacity: r.info.Capacity}
		for _, pl := range sortedPlacements(r) {
			run := jayadmission.Run{Priority: pl.unit.job.spec.Policy.Priority, Resources: pl.resources, Remaining: c.minRemaining(pl)}
			if preemptor, ok := preemptors[r.info.Service]; run.Remaining > 0 && (!ok || run.Priority <= preemptor) {
				x.Runs = append(x.Runs, run)
			}
		}
		b.Runners = append(b.Runners, x)
	}
	for _, s := range waiting {
		t, ok := c.certainTask(s.units[0])
		for _, u := range s.units {
			if ok && u.startsAfresh() {
				b.Tasks = append(b.Tasks, t)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(c.routes)) {
		r := *c.routes[name]
		r.RunTimes = nil
		for step := 0; c.meanRunTimes[runTimeKey{name, step}] != nil; step++ {
			r.RunTimes = append(r.RunTimes, c.runTimes(name, step))
		}
		b.Routes = append(b.Routes, r)
	}
	return b, true
}

// preemptors returns by service the highest priority of the jobs that have work that is not
// running, now or later, and for which runs of lower priority may be stopped. It sets the
// lowest priority of all unfinished jobs.
func (c *Cell) preemptors(lowest map[string]int) map[string]int {
	highest := map[string]int{}
	guaranteed := c.guaranteedJobs()
	for _, j := range c.jobs {
		if j.state.Ended() {
			continue
		}
		service, priority := j.spec.Policy.Service, j.spec.Policy.Priority
		lowest[service] = max(lowest[service], priority)
		active := 0
		j.eachStep(func(_ stepID, units []*unit) { active += countActive(units) })
		if active == j.remainingUnits {
			continue
		}
		if guaranteed[j] {
			priority = guaranteedPriority
		}
		if p, ok := highest[service]; !ok || priority < p {
			highest[service] = priority
		}
	}
	return highest
}

// runTimes returns the bounds of the run times of a route's step, zero before minMeanRuns.
func (c *Cell) runTimes(route string, step int) jayadmission.RunTimes {
	m := c.meanRunTimes[runTimeKey{route, step}]
	if m == nil || m.runs < minMeanRuns {
		return jayadmission.RunTimes{}
	}
	return jayadmission.RunTimes{Shortest: m.shortest, Longest: m.longest}
}

// minRemaining returns how long a run continues at least, by the run times of its step or by
// its progress, less the age that the report may have. It is zero for a run that is being
// stopped, may not have begun or serves until it is canceled, and for one of a job that has
// expired.
func (c *Cell) minRemaining(pl *placement) time.Duration {
	u := pl.unit
	if pl.stopOrdered || !pl.confirmed || u.spec().Daemon || u.job.state.Ended() || c.expired(u.job) {
		return 0
	}
	var left time.Duration
	if u.checkpoint == "" && !pl.restored {
		left = c.runTimes(u.job.spec.Policy.Route, u.step).Least() - (c.now - pl.confirmedAt)
	}
	if pl.percent-pl.firstPercent >= minMeasuredProgress {
		left = max(left, time.Duration(certainShare*pl.restAtReport())-(c.now-pl.progressAt))
	}
	return max(left-maxReportAge, 0)
}

// startsAfresh reports whether nothing that has happened to the unit decides where and for how long it
// runs.
func (u *unit) startsAfresh() bool {
	return len(u.avoidUntil) == 0 && !u.isSuspect() && u.checkpoint == ""
}

// certainTask returns a task like those of a waiting unit's step that start afresh as one that is
// sure to go before any job of a lower priority, and whether it is. It is not if it waits for more than
// free resources. A job with slack leaves resources to others for the reserve and for startLimit.
func (c *Cell) certainTask(u *unit) (jayadmission.Task, bool) {
	s, j := u.spec(), u.job
	runTime := c.runTimes(j.spec.Policy.Route, u.step).Least()
	switch {
	case s.Gang, s.Daemon, j.spec.TimedOccurrences > 0, s.DataRack != "", s.Label != "", s.MaxPerRunner > 0:
		return jayadmission.Task{}, false
	case c.settings.NeedsTicket != nil && c.settings.NeedsTicket(j.spec.Policy.Route):
		return jayadmission.Task{}, false
	case j.spec.Policy.Priority == 0 && s.Count > 1, c.slack(u) >= waveMargin, runTime == 0:
		return jayadmission.Task{}, false
	}
	objective := time.Duration(certainShare*j.spec.Policy.Stretch*float64(c.criticalPath(j))) + j.spec.Policy.Objective
	until := expiryFactor*objective - c.wall.Sub(j.spec.Accepted)
	return jayadmission.Task{Service: j.spec.Policy.Service, Priority: j.spec.Policy.Priority, Resources: s.Allocation(), RunTime: runTime, Until: until}, until > 0
}
