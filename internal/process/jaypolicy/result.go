package jaypolicy

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaysched"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// ClassResult is the completion of one class of jobs.
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

// Result is what one planner made of one run.
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
	ReclaimP99    time.Duration
	ReclaimMost   time.Duration
	Reclaims      int
	Stops         int
	Lost          time.Duration
	Unfinished    int
	Classes       []ClassResult
}

func (d *driver) result(m Mix) Result {
	r := Result{Planner: d.planner.name, Lost: d.lost}
	var times []time.Duration
	byClass := map[jayjob.Class][]*progress{}
	slowdown := 0.0
	for _, p := range d.list {
		if p.ended == 0 {
			r.Unfinished++
			continue
		}
		times = append(times, p.ended-p.task.arrived)
		slowdown += p.slowdown()
		r.Stops += p.stops
		r.Makespan = max(r.Makespan, p.ended)
		byClass[p.task.spec.Class()] = append(byClass[p.task.spec.Class()], p)
	}
	r.Count = len(times)
	r.Mean, r.P50, r.P99 = spread(times)
	r.Slowdown = slowdown / float64(max(r.Count, 1))
	r.Fragmentation = d.fragmented / d.weighed
	r.Utilisation = d.busy / d.weighed
	r.Reclaims = len(d.reclaims)
	_, _, r.ReclaimP99 = spread(d.reclaims)
	for _, t := range d.reclaims {
		r.ReclaimMost = max(r.ReclaimMost, t)
	}
	for _, c := range jayjob.Classes {
		r.Classes = append(r.Classes, classResult(c, byClass[c]))
	}
	return r
}

func classResult(c jayjob.Class, jobs []*progress) ClassResult {
	r := ClassResult{Class: c, Count: len(jobs)}
	var times, waits []time.Duration
	for _, p := range jobs {
		times = append(times, p.ended-p.task.arrived)
		waits = append(waits, p.first-p.task.arrived)
		r.slowdownTotal += p.slowdown()
	}
	r.Mean, r.P50, r.P99 = spread(times)
	_, _, r.WaitP99 = spread(waits)
	r.SlowdownMean = r.slowdownTotal / float64(max(len(jobs), 1))
	return r
}

// slowdown is the job's bounded slowdown: completion time over run time.
func (p *progress) slowdown() float64 {
	return max((p.ended-p.task.arrived).Seconds()/max(p.task.work, minRuntime).Seconds(), 1)
}

func spread(times []time.Duration) (mean, p50, p99 time.Duration) {
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

// Bound is the clairvoyant lower bound of a run: no schedule ends before the
// work of all jobs fills the pool, nor before any job's arrival and run time,
// and no job's slowdown is below one.
type Bound struct {
	Makespan time.Duration
	Slowdown float64
	Mean     time.Duration
}

func boundOf(tasks []task) Bound {
	b := Bound{Slowdown: 1}
	area := time.Duration(0)
	sum := 0.0
	for _, t := range tasks {
		area += t.work * time.Duration(t.spec.Shape().TotalAccelerators())
		b.Makespan = max(b.Makespan, t.arrived+t.work)
		sum += t.work.Seconds()
	}
	b.Makespan = max(b.Makespan, area/(workers*accelerators))
	b.Mean = time.Duration(sum / float64(len(tasks)) * float64(time.Second))
	return b
}

// Study measures the core and its baselines over the same runs.
type Study struct {
	Mix    Mix
	Seeds  []uint64
	Load   float64
	Jobs   int
	Policy jaysched.Policy
}

// Outcome is one planner's results over all seeds, or the bound's.
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
		tasks, outages, err := s.Mix.draw(seed, s.Load, s.Jobs)
		if err != nil {
			return nil, nil, err
		}
		bounds = append(bounds, boundOf(tasks))
		for i, p := range []*planner{newCore(m, s.Policy), newBaseline(true), newBaseline(false)} {
			r := run(s.Mix, p, tasks, outages)
			r.Seed = seed
			outcomes[i].Planner = p.name
			outcomes[i].Results = append(outcomes[i].Results, r)
		}
	}
	return outcomes, bounds, nil
}
