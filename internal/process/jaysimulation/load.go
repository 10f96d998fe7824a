// Package jaysimulation plays a load of jobs against the decisions of a cell on a virtual
// clock, beside baselines and a bound, and tells what the callers get. It has no
// sockets and no goroutines: the same seed gives the same figures.
package jaysimulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// spread is a log-normal amount.
type logNormal struct {
	mean  float64
	sigma float64
	max   float64
}

func (s logNormal) sample(r *rand.Rand) float64 {
	v := s.mean * math.Exp(s.sigma*r.NormFloat64()-s.sigma*s.sigma/2)
	if s.max > 0 {
		v = min(v, s.max)
	}
	return v
}

// Class is a kind of job.
type Class struct {
	Name     string
	Priority int
	// PerSecond is how many come a second.
	ArrivalsPerSecond float64
	// Value is what a job of mean size is worth on time, Late what it is worth until
	// three times its objective.
	OnTimeValue float64
	LateValue   float64
	// Stretch and Objective bound the wanted completion time.
	Stretch     float64
	Objective   time.Duration
	MaxAttempts int

	resources    jaytask.Resources
	accelerators []int
	taskCount    logNormal
	taskSeconds  logNormal
	// uneven is how much the tasks of a step differ, wrong how much the callers'
	// estimates are off.
	taskVariation float64
	estimateError float64
	// The shares of jobs whose tasks run as a gang, of gangs that want one rack, of
	// jobs that save their progress, whose data lies on a rack, that are canceled,
	// and that can never be done.
	gang, sameRack, checkpointing, dataBound, canceled, failing float64
}

// Burst multiplies a class's arrivals for a while.
type Burst struct {
	Class    string
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

// Load is a deployment with what its callers ask.
type Load struct {
	Name    string
	Classes []Class
	Bursts  []Burst
	// Span is how long jobs come.
	ArrivalPeriod time.Duration
	// Runners is the number of workers, of eight accelerators each; three share a
	// rack.
	Runners int
	// Stop is how long a stop takes, Far how many times longer work takes that is
	// far from its rack or its data.
	StopTime  time.Duration
	FarFactor float64
	// Workspaces share the guaranteed part of the accelerators evenly.
	Workspaces      int
	GuaranteedShare float64
	// Slow is the share of workers that run Slower times slower for the middle
	// third, and Lost that of workers that are gone from then on.
	SlowShare  float64
	SlowFactor float64
	LostShare  float64
	// Goal is what counts for the deployment's users.
	ScoreWeights ScoreWeights
}

// Goal weighs the parts of a day: the whole, the two worst windows, the worst
// class and the worst workspace. Waste is the price of a core-second of work that
// is thrown away, in worth.
type ScoreWeights struct {
	Overall, WorstWindows, WorstClass, WorstWorkspace float64
	WasteCost                                         float64
}

// UnknownLoadError reports a load that is not known.
type UnknownLoadError struct{ Given string }

// Error implements error.
func (e *UnknownLoadError) Error() string {
	return fmt.Sprintf("unknown load %q: want kjaergaard or salish", e.Given)
}

// heavy is the load that both deployments are short of room under.
func newLoad(name string, large, urgent, small Class, stop time.Duration, goal ScoreWeights) Load {
	large.resources, urgent.resources, small.resources = jaytask.Resources{CPU: 26000, Memory: 38000}, jaytask.Resources{CPU: 7500, Memory: 15000}, jaytask.Resources{CPU: 5600, Memory: 15000}
	mixed := []int{1, 2, 4, 8, 8}
	large.accelerators, urgent.accelerators, small.accelerators = mixed, mixed, []int{1}
	large.taskCount, urgent.taskCount, small.taskCount = logNormal{1.5, 0.8, 9}, logNormal{3, 0.8, 18}, logNormal{9.2, 0.8, 55}
	urgent.gang, urgent.sameRack, large.gang, large.sameRack = 1, 0.8, 1, 0.6
	large.dataBound, small.dataBound, large.canceled, small.canceled = 0.3, 0.12, 0.05, 0.15
	large.checkpointing, small.checkpointing = 0.45, 0.45
	return Load{
		Name: name, ScoreWeights: goal, Classes: []Class{urgent, large, small}, ArrivalPeriod: 34 * time.Second, Runners: 11, StopTime: stop, FarFactor: 3, Workspaces: 4, GuaranteedShare: 0.62,
		Bursts: []Burst{{Class: urgent.Name, Start: 4 * time.Second, Duration: 6 * time.Second, Factor: 2.2}, {Class: small.Name, Start: 18 * time.Second, Duration: 4 * time.Second, Factor: 2}},
	}
}

// FindLoad returns a load by its name.
func FindLoad(name string) (Load, error) {
	switch name {
	case "kjaergaard":
		return newLoad(name,
			Class{Name: "replan", Priority: 1, ArrivalsPerSecond: 0.36, OnTimeValue: 3, LateValue: 1.5, Stretch: 3, Objective: time.Second, MaxAttempts: 4, taskSeconds: logNormal{11, 0.3, 11}, taskVariation: 0.3, estimateError: 0.9, failing: 0.03},
			Class{Name: "pricecheck", Priority: 0, ArrivalsPerSecond: 0.33, OnTimeValue: 4, LateValue: 0.8, Stretch: 1.5, Objective: 250 * time.Millisecond, MaxAttempts: 4, taskSeconds: logNormal{2.5, 0.5, 8}, taskVariation: 0.3, estimateError: 0.9},
			Class{Name: "shelflife", Priority: 2, ArrivalsPerSecond: 0.21, OnTimeValue: 1, LateValue: 0.5, Stretch: 3, Objective: 3 * time.Second, MaxAttempts: 4, taskSeconds: logNormal{7.6, 0.3, 11}, taskVariation: 0.15, estimateError: 0.2},
			900*time.Millisecond, ScoreWeights{Overall: 0.75, WorstWindows: 0.15, WorstClass: 0.1, WorstWorkspace: 0.2, WasteCost: 0.0021}), nil
	case "salish":
		return newLoad(name,
			Class{Name: "tariff-recalc", Priority: 1, ArrivalsPerSecond: 0.4, OnTimeValue: 3, LateValue: 0.3, Stretch: 3, Objective: time.Second, MaxAttempts: 3, taskSeconds: logNormal{11, 0.3, 11}, taskVariation: 0.15, estimateError: 0.5, failing: 0.01},
			Class{Name: "slip-quote", Priority: 0, ArrivalsPerSecond: 0.65, OnTimeValue: 4, LateValue: 0.8, Stretch: 1.5, Objective: 250 * time.Millisecond, MaxAttempts: 4, taskSeconds: logNormal{2.5, 0.5, 8}, taskVariation: 0.15, estimateError: 0.5},
			Class{Name: "arrears-sweep", Priority: 2, ArrivalsPerSecond: 0.19, OnTimeValue: 1, LateValue: 0.1, Stretch: 3, Objective: 3 * time.Second, MaxAttempts: 3, taskSeconds: logNormal{9.5, 0.3, 11}, taskVariation: 0.15, estimateError: 0.5, failing: 0.01},
			400*time.Millisecond, ScoreWeights{Overall: 0.35, WorstWindows: 0.5, WorstClass: 0.15, WorstWorkspace: 0.2, WasteCost: 0.0028}), nil
	}
	return Load{}, &UnknownLoadError{Given: name}
}

// request is a job as it comes, with what only the player knows of it.
type request struct {
	spec    *jaytask.Job
	class   *Class
	arrival time.Duration
	// seconds is the work of each task on a worker near its data.
	taskSeconds []float64
	failing     bool
	// waves is in how many waves the step counts: one that is wider than a quarter
	// of the pool counts more than once.
	waves int
	// cancelAt is when the caller cancels it, zero for never.
	cancelAt time.Duration
}

// work returns the job's work in core-seconds, an accelerator as eight cores.
func (q *request) coreSeconds() float64 {
	sum := 0.0
	for _, s := range q.taskSeconds {
		sum += s
	}
	return sum * q.spec.Steps[0].Resources.CoreEquivalents()
}

// chain returns the run time of the longest task.
func (q *request) longestTask() time.Duration {
	longest := 0.0
	for _, s := range q.taskSeconds {
		longest = max(longest, s)
	}
	return time.Duration(longest * float64(time.Second))
}

// objective returns how long the job may take to be on time.
func (q *request) objective() time.Duration {
	return time.Duration(q.class.Stretch*float64(q.waves)*float64(q.longestTask())) + q.class.Objective
}

// draw returns the jobs of a day in the order of their arrival.
func (l *Load) generate(seed uint64, wall time.Time) []*request {
	r := rand.New(rand.NewPCG(seed, 0x6a6179))
	var all []*request
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at < l.ArrivalPeriod; at += tick {
		for i := range l.Classes {
			c := &l.Classes[i]
			rate := c.ArrivalsPerSecond
			for _, b := range l.Bursts {
				if b.Class == c.Name && at >= b.Start && at < b.Start+b.Duration {
					rate *= b.Factor
				}
			}
			if r.Float64() < rate*tick.Seconds() {
				all = append(all, l.generateOne(r, c, at, wall, len(all)))
			}
		}
	}
	return all
}

func (l *Load) generateOne(r *rand.Rand, c *Class, at time.Duration, wall time.Time, n int) *request {
	room := c.resources
	room.Accelerators = c.accelerators[r.IntN(len(c.accelerators))]
	count := max(1, int(c.taskCount.sample(r)+0.5))
	// Tasks that take whole workers need not run together; gangs fit into a rack.
	gang := room.Accelerators < acceleratorsPerWorker && r.Float64() < c.gang
	if gang {
		count = min(count, workersPerRack*tasksPerWorker(room))
	}
	mean := c.taskSeconds.sample(r)
	q := &request{class: c, arrival: at, failing: r.Float64() < c.failing}
	fit := l.Runners * tasksPerWorker(room)
	q.waves = max(1, (wavesPerPool*count+fit-1)/fit)
	for range count {
		q.taskSeconds = append(q.taskSeconds, mean*(1+c.taskVariation*(2*r.Float64()-1)))
	}
	s := jaytask.Step{Count: count, Resources: room, Estimate: time.Duration(mean * (1 + c.estimateError*(2*r.Float64()-1)) * float64(time.Second))}
	s.Gang = gang && count > 1
	s.SameRack = s.Gang && r.Float64() < c.sameRack
	s.Checkpoint = r.Float64() < c.checkpointing
	if r.Float64() < c.dataBound {
		s.DataRack = rackName(r.IntN((l.Runners + workersPerRack - 1) / workersPerRack))
	}
	if r.Float64() < c.canceled {
		q.cancelAt = at + time.Duration(r.Float64()*8*float64(time.Second))
	}
	q.spec = &jaytask.Job{
		ID: fmt.Sprintf("%016x", n+1), Steps: []jaytask.Step{s}, Accepted: wall.Add(at),
		Policy: jaytask.Policy{Route: c.Name, Service: service, Workspace: fmt.Sprintf("w%d", r.IntN(l.Workspaces)), Priority: c.Priority, MaxAttempts: c.MaxAttempts, Stretch: c.Stretch, Objective: c.Objective},
	}
	return q
}

const (
	service               = "pool"
	workersPerRack        = 3
	acceleratorsPerWorker = 8
)

// workerRoom is what each worker has.
var workerResources = jaytask.Resources{CPU: 64000, Memory: 131072, Accelerators: acceleratorsPerWorker}

// waveShare is the share of the pool that a step may take in one wave.
const wavesPerPool = 4

// perWorker returns how many tasks of a kind a worker holds.
func tasksPerWorker(room jaytask.Resources) int {
	return room.CountIn(workerResources, jaytask.MaxTasks)
}

func rackName(n int) string { return fmt.Sprintf("rack-%d", n) }
