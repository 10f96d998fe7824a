package jaypolicy

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaysched"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// ClassResult is the result of one class of jobs.
type ClassResult struct {
	Class         jayjob.Class
	Count         int
	Mean          time.Duration
	P50           time.Duration
	P99           time.Duration
	WaitP99       time.Duration
	SlowdownMean  float64
	slowdownTotal float64
}

// Result is the result of one run with one planner.
type Result struct {
	Planner       string
	Seed          uint64
	Count         int
	Mean          time.Duration
	P50           time.Duration
	P99           time.Duration
	Slowdown      float64
	Fragmentation float64
	Utilisation   float64
	Makespan      time.Duration
	// ReclaimWaitP99 and MaxReclaimWait are times until the first start of the jobs
	// that fitted the unused home of their workspace on arrival; Reclaims counts them.
	ReclaimWaitP99 time.Duration
	MaxReclaimWait time.Duration
	Reclaims       int
	Preemptions    int
	LostWork       time.Duration
	Unfinished     int
	Classes        []ClassResult
}

func (d *driver) result(m Mix) Result {
	r := Result{Planner: d.planner.name, LostWork: d.lostWork}
	var times []time.Duration
	byClass := map[jayjob.Class][]*jobState{}
	slowdown := 0.0
	for _, j := range d.inOrder {
		if j.ended == 0 {
			r.Unfinished++
			continue
		}
		times = append(times, j.ended-j.task.arrived)
		slowdown += j.slowdown()
		r.Preemptions += j.preemptions
		r.Makespan = max(r.Makespan, j.ended)
		byClass[j.task.spec.Class()] = append(byClass[j.task.spec.Class()], j)
	}
	r.Count = len(times)
	r.Mean, r.P50, r.P99 = summarize(times)
	r.Slowdown = slowdown / float64(max(r.Count, 1))
	r.Fragmentation = d.fragmentationSeconds / d.observedSeconds
	r.Utilisation = d.busySeconds / d.observedSeconds
	r.Reclaims = len(d.reclaimWaits)
	_, _, r.ReclaimWaitP99 = summarize(d.reclaimWaits)
	for _, t := range d.reclaimWaits {
		r.MaxReclaimWait = max(r.MaxReclaimWait, t)
	}
	for _, c := range jayjob.Classes {
		r.Classes = append(r.Classes, classResult(c, byClass[c]))
	}
	return r
}

func classResult(c jayjob.Class, jobs []*jobState) ClassResult {
	r := ClassResult{Class: c, Count: len(jobs)}
	var times, waits []time.Duration
	for _, j := range jobs {
		times = append(times, j.ended-j.task.arrived)
		waits = append(waits, j.firstStart-j.task.arrived)
		r.slowdownTotal += j.slowdown()
	}
	r.Mean, r.P50, r.P99 = summarize(times)
	_, _, r.WaitP99 = summarize(waits)
	r.SlowdownMean = r.slowdownTotal / float64(max(len(jobs), 1))
	return r
}

// slowdown is the job's bounded slowdown: completion time over run time.
func (j *jobState) slowdown() float64 {
	return max((j.ended-j.task.arrived).Seconds()/max(j.task.runtime, minSlowdownRuntime).Seconds(), 1)
}

// summarize returns the mean, the median and the 99th percentile of the times.
func summarize(times []time.Duration) (mean, p50, p99 time.Duration) {
	if len(times) == 0 {
		return 0, 0, 0
	}
	sorted := append([]time.Duration(nil), times...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	sum := 0.0
	for _, t := range sorted {
		sum += t.Seconds()
	}
	mean = time.Duration(sum / float64(len(sorted)) * float64(time.Second))
	return mean, sorted[len(sorted)/2], sorted[len(sorted)*99/100]
}

// Bound is the clairvoyant lower bound of a run: no schedule ends before the pool
// could have done the work of all jobs, nor before the arrival plus the run time of
// any job, and no job's slowdown is below one.
type Bound struct {
	Makespan time.Duration
	Slowdown float64
	Mean     time.Duration
}

func lowerBound(tasks []task) Bound {
	b := Bound{Slowdown: 1}
	work := time.Duration(0)
	sum := 0.0
	for _, t := range tasks {
		work += t.runtime * time.Duration(t.spec.Shape().TotalAccelerators())
		b.Makespan = max(b.Makespan, t.arrived+t.runtime)
		sum += t.runtime.Seconds()
	}
	b.Makespan = max(b.Makespan, work/(workerCount*acceleratorsPerWorker))
	b.Mean = time.Duration(sum / float64(len(tasks)) * float64(time.Second))
	return b
}

// Study measures the scheduler and its baselines on the same runs.
type Study struct {
	Mix    Mix
	Seeds  []uint64
	Load   float64
	Jobs   int
	Policy jaysched.Policy
}

// Outcome holds the results of one planner, by seed.
type Outcome struct {
	Planner string
	Results []Result
}

// Run returns the outcomes of all planners and the bounds by seed.
func (s Study) Run() ([]Outcome, []Bound, error) {
	m, err := s.Mix.manifest()
	if err != nil {
		return nil, nil, err
	}
	outcomes := make([]Outcome, 3)
	var bounds []Bound
	for _, seed := range s.Seeds {
		tasks, outages, err := s.Mix.generate(seed, s.Load, s.Jobs)
		if err != nil {
			return nil, nil, err
		}
		bounds = append(bounds, lowerBound(tasks))
		for i, p := range []*planner{newSchedulerPlanner(m, s.Policy), newBaseline(true), newBaseline(false)} {
			r := run(s.Mix, p, tasks, outages)
			r.Seed = seed
			outcomes[i].Planner = p.name
			outcomes[i].Results = append(outcomes[i].Results, r)
		}
	}
	return outcomes, bounds, nil
}
