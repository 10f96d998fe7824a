// Package jaysimulation simulates a day of jobs on a virtual clock, with the decisions
// of jaycell or of a baseline scheduler, and computes an upper bound for any schedule.
// It has no sockets and no goroutines: the same seed gives the same figures.
package jaysimulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// logNormal is a log-normal distribution; a positive max cuts it off.
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

// Class is a class of jobs.
type Class struct {
	Name     string
	Priority int
	// ArrivalsPerSecond is the mean arrival rate.
	ArrivalsPerSecond float64
	// OnTimeValue is the value of a job of mean size that is on time, LateValue that
	// of one done within three times its objective.
	OnTimeValue float64
	LateValue   float64
	// A job is on time within Stretch times the run time of its longest task, plus
	// Objective; a large one has more time (see request.waves).
	Stretch     float64
	Objective   time.Duration
	MaxAttempts int

	resources    jaytask.Resources
	accelerators []int
	// initial jobs arrive together at the start of the day.
	initial     int
	taskCount   logNormal
	taskSeconds logNormal
	// taskVariation is the greatest relative deviation of a task's run time from
	// the mean, estimateError that of the callers' estimates.
	taskVariation float64
	estimateError float64
	// Shares of the class's jobs: whose tasks run as a gang, that save checkpoints,
	// whose data is on one rack, that are canceled, that always fail. sameRack is the
	// share of gangs that want one rack.
	gang, sameRack, checkpointing, dataBound, canceled, failing float64
	// longShare is the share of tasks that run longFactor times as long, up to
	// longTaskLimit.
	longShare, longFactor float64
}

// longTaskLimit bounds the run time of long tasks, in seconds, so that their jobs can be
// done before the day ends.
const longTaskLimit = 25

// Burst multiplies the arrival rate of a class for a time.
type Burst struct {
	Class    string
	Start    time.Duration
	Duration time.Duration
	Factor   float64
}

// Load is a deployment and the jobs that its callers submit.
type Load struct {
	Name    string
	Classes []Class
	Bursts  []Burst
	// ArrivalPeriod is how long jobs arrive.
	ArrivalPeriod time.Duration
	// Runners is the number of workers. Each has the resources of Worker, and RackSize
	// of them share a rack.
	Runners  int
	Worker   jaytask.Resources
	RackSize int
	// Speeds are the speeds of the workers, in turn, relative to the one that task run
	// times refer to; empty means all equal.
	Speeds []float64
	// WholeWorkerGangs reports that tasks which use all accelerators of a worker may
	// form gangs.
	WholeWorkerGangs bool
	// StopTimeout is how long stopping a task may take; the simulated workers take
	// from minStopShare of it to all of it. RemoteSlowdown is how many times longer a task takes on another rack
	// than its data, and a gang that wants one rack on several.
	StopTimeout    time.Duration
	RemoteSlowdown float64
	// Workspaces is the number of workspaces, which share the guaranteed
	// accelerators equally. GuaranteedShare is their share of all accelerators.
	Workspaces      int
	GuaranteedShare float64
	// WorkspaceSkew makes workspaces differ in size: the n-th one submits jobs in
	// proportion to 1/n^WorkspaceSkew. Zero means equally many.
	WorkspaceSkew float64
	// WaveAmplitude is the relative amplitude by which arrival rates oscillate with
	// WavePeriod in each of the DataCentres, which arrivals are divided among. Data
	// centres follow each other by waveShift of the period; data that a job is bound to is
	// on a rack of its own one.
	WaveAmplitude float64
	WavePeriod    time.Duration
	DataCentres   int
	// SlowShare is the share of workers that run SlowFactor times slower in the
	// middle third of the arrival period, LostShare that of workers that are lost
	// after its first third.
	SlowShare  float64
	SlowFactor float64
	LostShare  float64
	// ScoreWeights is what counts for the deployment's users.
	ScoreWeights ScoreWeights
}

// ScoreWeights weighs the value shares of a day: of all jobs, of the two worst
// windows, of the worst class and of the worst workspace. WasteCost is the value
// that one core-second of lost work costs.
type ScoreWeights struct {
	Overall, WorstWindows, WorstClass, WorstWorkspace float64
	WasteCost                                         float64
}

// UnknownLoadError reports an unknown load.
type UnknownLoadError struct{ Given string }

// Error implements error.
func (e *UnknownLoadError) Error() string {
	return fmt.Sprintf("unknown load %q: want kjaergaard, kjaergaard-large, salish, kastrinakis, kastrinakis-grown, tampere or swansea", e.Given)
}

// newLoad returns a load that exceeds the deployment's resources at times.
func newLoad(name string, large, urgent, small Class, stop time.Duration, weights ScoreWeights) Load {
	large.resources, urgent.resources, small.resources = jaytask.Resources{CPU: 26000, Memory: 38000}, jaytask.Resources{CPU: 7500, Memory: 15000}, jaytask.Resources{CPU: 5600, Memory: 15000}
	mixed := []int{1, 2, 4, 8, 8}
	large.accelerators, urgent.accelerators, small.accelerators = mixed, mixed, []int{1}
	large.taskCount, urgent.taskCount, small.taskCount = logNormal{1.5, 0.8, 9}, logNormal{3, 0.8, 18}, logNormal{9.2, 0.8, 55}
	urgent.gang, urgent.sameRack, large.gang, large.sameRack = 1, 0.8, 1, 0.6
	large.dataBound, small.dataBound, large.canceled, small.canceled = 0.3, 0.12, 0.05, 0.15
	large.checkpointing, small.checkpointing = 0.45, 0.45
	return Load{
		Name: name, ScoreWeights: weights, Classes: []Class{urgent, large, small}, ArrivalPeriod: 34 * time.Second, Runners: 11, Worker: jaytask.Resources{CPU: 64000, Memory: 131072, Accelerators: 8}, RackSize: 3, StopTimeout: stop, RemoteSlowdown: 3, Workspaces: 4, GuaranteedShare: 0.62,
		Bursts: []Burst{{Class: urgent.Name, Start: 4 * time.Second, Duration: 6 * time.Second, Factor: 2.2}, {Class: small.Name, Start: 18 * time.Second, Duration: 4 * time.Second, Factor: 2}},
	}
}

// FindLoad returns the load of the name or an UnknownLoadError.
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
	case "kjaergaard-large":
		return newLargeLoad(name), nil
	case "kastrinakis":
		return newDispatchLoad(name), nil
	case "kastrinakis-grown":
		return newDispatchLoad(name).grow(), nil
	case "tampere":
		return newScarceLoad(name), nil
	case "swansea":
		return newUnevenLoad(name), nil
	}
	return Load{}, &UnknownLoadError{Given: name}
}

// newLargeLoad returns the load of 240 workers whose processors and memory hold two large
// tasks each, whatever these leave of the accelerators.
func newLargeLoad(name string) Load {
	mixed := []int{1, 2, 4, 8, 8}
	return Load{
		Name: name, ArrivalPeriod: 34 * time.Second, Runners: 240, Worker: jaytask.Resources{CPU: 64000, Memory: 262144, Accelerators: 8}, RackSize: 20, WholeWorkerGangs: true,
		StopTimeout: 200 * time.Millisecond, RemoteSlowdown: 3, Workspaces: 24, GuaranteedShare: 0.62,
		ScoreWeights: ScoreWeights{Overall: 0.75, WorstWindows: 0.15, WorstClass: 0.1, WorstWorkspace: 0.2, WasteCost: 0.00065},
		Classes: []Class{
			{Name: "replan", Priority: 1, ArrivalsPerSecond: 1.07, OnTimeValue: 3, LateValue: 1.5, Stretch: 3, Objective: time.Second, MaxAttempts: 3, resources: jaytask.Resources{CPU: 26000, Memory: 110000}, accelerators: mixed, taskCount: logNormal{25, 0.8, 150}, taskSeconds: logNormal{6.8, 0.3, 11}, taskVariation: 0.15, estimateError: 0.2, gang: 1, sameRack: 0.6, dataBound: 0.3, canceled: 0.05, checkpointing: 0.45, failing: 0.01, initial: 5},
			{Name: "pricecheck", Priority: 0, ArrivalsPerSecond: 4.69, OnTimeValue: 4, LateValue: 0.8, Stretch: 1.5, Objective: 250 * time.Millisecond, MaxAttempts: 4, resources: jaytask.Resources{CPU: 7500, Memory: 39000}, accelerators: mixed, taskCount: logNormal{7.6, 0.8, 46}, taskSeconds: logNormal{2.5, 0.5, 8}, taskVariation: 0.3, estimateError: 0.5, gang: 1, sameRack: 0.8},
			{Name: "shelflife", Priority: 2, ArrivalsPerSecond: 1.01, OnTimeValue: 1, LateValue: 0.5, Stretch: 3, Objective: 3 * time.Second, MaxAttempts: 2, resources: jaytask.Resources{CPU: 5600, Memory: 16000}, accelerators: []int{1}, taskCount: logNormal{78, 0.8, 470}, taskSeconds: logNormal{6.1, 0.3, 11}, taskVariation: 0.3, estimateError: 0.9, dataBound: 0.12, canceled: 0.15, checkpointing: 0.45, failing: 0.03, initial: 7},
		},
		Bursts: []Burst{{Class: "pricecheck", Start: 500 * time.Millisecond, Duration: 6 * time.Second, Factor: 2.3}, {Class: "shelflife", Start: 18 * time.Second, Duration: 4 * time.Second, Factor: 2.6}},
	}
}

// newDispatchLoad returns the load of a deployment whose workers differ in speed and
// whose urgent jobs are gangs that often need several whole workers.
func newDispatchLoad(name string) Load {
	mixed := []int{1, 2, 4, 8, 8}
	return Load{
		Name: name, ArrivalPeriod: 34 * time.Second, Runners: 11, Worker: jaytask.Resources{CPU: 32000, Memory: 131072, Accelerators: 8}, RackSize: 3, Speeds: []float64{0.8, 1, 1.25}, WholeWorkerGangs: true,
		StopTimeout: 900 * time.Millisecond, RemoteSlowdown: 3, Workspaces: 4, GuaranteedShare: 0.62,
		ScoreWeights: ScoreWeights{Overall: 0.6, WorstWindows: 0.25, WorstClass: 0.15, WorstWorkspace: 0.2, WasteCost: 0.0033},
		Classes: []Class{
			{Name: "assignment", Priority: 0, ArrivalsPerSecond: 0.373, OnTimeValue: 4, LateValue: 0.8, Stretch: 1.5, Objective: 250 * time.Millisecond, MaxAttempts: 2, resources: jaytask.Resources{CPU: 3700, Memory: 11000}, accelerators: mixed, taskCount: logNormal{3.4, 0.8, 21}, taskSeconds: logNormal{2.5, 0.5, 8}, taskVariation: 0.3, estimateError: 0.9, gang: 1, sameRack: 0.6},
			{Name: "plan", Priority: 1, ArrivalsPerSecond: 0.406, OnTimeValue: 3, LateValue: 0.9, Stretch: 3, Objective: time.Second, MaxAttempts: 2, resources: jaytask.Resources{CPU: 13000, Memory: 38000}, accelerators: mixed, taskCount: logNormal{1.5, 0.8, 9}, taskSeconds: logNormal{8.5, 0.3, 11}, taskVariation: 0.15, estimateError: 0.2, gang: 1, sameRack: 0.25, canceled: 0.05, checkpointing: 0.45, failing: 0.03, initial: 4},
			{Name: "billing", Priority: 2, ArrivalsPerSecond: 0.246, OnTimeValue: 1, LateValue: 0.3, Stretch: 3, Objective: 3 * time.Second, MaxAttempts: 4, resources: jaytask.Resources{CPU: 2800, Memory: 8200}, accelerators: []int{1}, taskCount: logNormal{9.2, 0.8, 55}, taskSeconds: logNormal{6.1, 0.3, 11}, taskVariation: 0.15, estimateError: 0.5, canceled: 0.15, checkpointing: 0.45, failing: 0.03, initial: 2},
		},
		Bursts: []Burst{{Class: "assignment", Start: 2 * time.Second, Duration: 6 * time.Second, Factor: 2.2}, {Class: "billing", Start: 13 * time.Second, Duration: 4 * time.Second, Factor: 2.1}},
	}
}

// grow turns a dispatch load into that of the same users on 64 workers.
func (l Load) grow() Load {
	l.ArrivalPeriod, l.Runners, l.RackSize, l.Workspaces = 53*time.Second, 64, 8, 10
	urgent, large, small := &l.Classes[0], &l.Classes[1], &l.Classes[2]
	urgent.ArrivalsPerSecond, large.ArrivalsPerSecond, small.ArrivalsPerSecond = 1.61, 0.743, 0.465
	urgent.taskCount, large.taskCount, small.taskCount = logNormal{5.4, 0.8, 32}, logNormal{6.6, 0.8, 40}, logNormal{39, 0.8, 230}
	large.initial, small.initial = 5, 4
	return l
}

// unevenSpeeds are the speeds of workers that differ by a factor of almost three.
var unevenSpeeds = []float64{1, 0.8, 1.2, 0.55, 1, 1.5, 0.9, 1.1}

// newScarceLoad returns the load of callers that compete for too few workers at times. A
// job with a second step counts as a second job.
func newScarceLoad(name string) Load {
	mixed := []int{1, 2, 4, 8}
	return Load{
		Name: name, ArrivalPeriod: 45 * time.Second, Runners: 67, Worker: jaytask.Resources{CPU: 128000, Memory: 262144, Accelerators: 8}, RackSize: 8, Speeds: unevenSpeeds, WholeWorkerGangs: true,
		StopTimeout: 400 * time.Millisecond, RemoteSlowdown: 3, Workspaces: 10, GuaranteedShare: 0.3, WorkspaceSkew: 1,
		WaveAmplitude: 0.55, WavePeriod: 15 * time.Second, DataCentres: 3,
		ScoreWeights: ScoreWeights{Overall: 0.35, WorstWindows: 0.5, WorstClass: 0.15, WorstWorkspace: 0.2, WasteCost: 0.001},
		Classes: []Class{
			{Name: "courier", Priority: 0, ArrivalsPerSecond: 1.37, OnTimeValue: 4, LateValue: 0.8, Stretch: 1.5, Objective: 250 * time.Millisecond, MaxAttempts: 3, resources: jaytask.Resources{CPU: 15000, Memory: 39000}, accelerators: mixed, taskCount: logNormal{5, 0.8, 30}, taskSeconds: logNormal{2.5, 0.5, 8}, taskVariation: 0.15, estimateError: 0.9, gang: 1, sameRack: 0.6, longShare: 0.03, longFactor: 7},
			{Name: "route", Priority: 1, ArrivalsPerSecond: 0.6, OnTimeValue: 3, LateValue: 0.3, Stretch: 3, Objective: time.Second, MaxAttempts: 3, resources: jaytask.Resources{CPU: 52000, Memory: 75000}, accelerators: mixed, taskCount: logNormal{7, 0.8, 42}, taskSeconds: logNormal{8.5, 0.3, 11}, taskVariation: 0.15, estimateError: 0.9, dataBound: 0.3, canceled: 0.05, checkpointing: 0.45, failing: 0.01, longShare: 0.03, longFactor: 7, initial: 5},
			{Name: "invoice", Priority: 2, ArrivalsPerSecond: 0.42, OnTimeValue: 1, LateValue: 0.1, Stretch: 3, Objective: 3 * time.Second, MaxAttempts: 3, resources: jaytask.Resources{CPU: 11000, Memory: 16000}, accelerators: []int{1}, taskCount: logNormal{39, 0.8, 230}, taskSeconds: logNormal{7.6, 0.3, 11}, taskVariation: 0.15, estimateError: 0.9, dataBound: 0.12, canceled: 0.15, checkpointing: 0.45, failing: 0.01, longShare: 0.03, longFactor: 7, initial: 4},
		},
		Bursts: []Burst{{Class: "courier", Start: 5 * time.Second, Duration: 6 * time.Second, Factor: 2.2}, {Class: "route", Start: 14 * time.Second, Duration: 6 * time.Second, Factor: 2}, {Class: "courier", Start: 27 * time.Second, Duration: 6 * time.Second, Factor: 2.2}},
	}
}

// newUnevenLoad returns the load of callers whose demand rises and falls in waves and for
// whose tasks memory is scarcer than accelerators.
func newUnevenLoad(name string) Load {
	l := newScarceLoad(name)
	l.Runners, l.Worker.Memory, l.StopTimeout = 51, 524288, 900*time.Millisecond
	l.ScoreWeights = ScoreWeights{Overall: 0.6, WorstWindows: 0.25, WorstClass: 0.15, WorstWorkspace: 0.2, WasteCost: 0.001}
	urgent, large, small := &l.Classes[0], &l.Classes[1], &l.Classes[2]
	urgent.ArrivalsPerSecond, large.ArrivalsPerSecond, small.ArrivalsPerSecond = 1.13, 0.82, 0.43
	urgent.taskSeconds.mean, large.taskSeconds.mean, small.taskSeconds.mean = 2.1, 5.8, 5.2
	large.taskCount, large.resources.Memory = logNormal{5, 0.8, 30}, 270000
	large.LateValue, small.LateValue = 0.9, 0.3
	return l
}

// request is a submitted job with what only the simulation knows of it.
type request struct {
	spec    *jaytask.Job
	class   *Class
	arrival time.Duration
	// taskSeconds is the run time of each task on a worker near its data.
	taskSeconds []float64
	failing     bool
	// waves multiplies the objective of a step that is larger than a quarter of the
	// pool: it is the number of quarters that the step needs.
	waves int
	// cancelAt is when the caller cancels the job, zero for never.
	cancelAt time.Duration
}

// coreSeconds returns the job's work, with an accelerator counted as eight cores.
func (q *request) coreSeconds() float64 {
	sum := 0.0
	for _, s := range q.taskSeconds {
		sum += s
	}
	return sum * q.spec.Steps[0].Resources.CoreEquivalents()
}

// longestTask returns the run time of the longest task.
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

// generate returns the random jobs of a day in the order of their arrival; start is
// the wall-clock time at which the day begins.
func (l *Load) generate(seed uint64, start time.Time) []*request {
	r := rand.New(rand.NewPCG(seed, 0x6a6179))
	var all []*request
	const tick = 10 * time.Millisecond
	for i := range l.Classes {
		for range l.Classes[i].initial {
			all = append(all, l.generateOne(r, &l.Classes[i], 0, start, len(all)))
		}
	}
	for at := time.Duration(0); at < l.ArrivalPeriod; at += tick {
		for i := range l.Classes {
			c := &l.Classes[i]
			rate := c.ArrivalsPerSecond * l.wave(at)
			for _, b := range l.Bursts {
				if b.Class == c.Name && at >= b.Start && at < b.Start+b.Duration {
					rate *= b.Factor
				}
			}
			if r.Float64() < rate*tick.Seconds() {
				all = append(all, l.generateOne(r, c, at, start, len(all)))
			}
		}
	}
	return all
}

// waveShift is the delay of a data centre's wave after that of the one before it, as a
// share of the period. Three data centres shifted by a third would cancel each other out
// in a pool that they share.
const waveShift = 0.125

// wave returns the factor of the arrival rates at a time, the mean of the data centres.
func (l *Load) wave(at time.Duration) float64 {
	if l.DataCentres == 0 {
		return 1
	}
	sum := 0.0
	for i := range l.DataCentres {
		sum += l.waveIn(i, at)
	}
	return sum / float64(l.DataCentres)
}

// waveIn returns the factor of the arrival rates of a data centre at a time.
func (l *Load) waveIn(dataCentre int, at time.Duration) float64 {
	phase := at.Seconds()/l.WavePeriod.Seconds() - waveShift*float64(dataCentre)
	return 1 + l.WaveAmplitude*math.Sin(2*math.Pi*phase)
}

// pick returns an index below n, with a probability in proportion to its weight.
func pick(r *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	v := r.Float64() * sum
	for i := range n - 1 {
		if v -= weight(i); v < 0 {
			return i
		}
	}
	return n - 1
}

// pickRack returns the rack that a job's data is on, in the data centre that it arrives in.
func (l *Load) pickRack(r *rand.Rand, at time.Duration) int {
	racks := (l.Runners + l.RackSize - 1) / l.RackSize
	if l.DataCentres == 0 {
		return r.IntN(racks)
	}
	dataCentre := pick(r, l.DataCentres, func(i int) float64 { return l.waveIn(i, at) })
	first, end := dataCentre*racks/l.DataCentres, (dataCentre+1)*racks/l.DataCentres
	return first + r.IntN(end-first)
}

// pickWorkspace returns the workspace of a job.
func (l *Load) pickWorkspace(r *rand.Rand) int {
	if l.WorkspaceSkew == 0 {
		return r.IntN(l.Workspaces)
	}
	return pick(r, l.Workspaces, func(i int) float64 { return math.Pow(float64(i+1), -l.WorkspaceSkew) })
}

func (l *Load) generateOne(r *rand.Rand, c *Class, at time.Duration, start time.Time, n int) *request {
	resources := c.resources
	resources.Accelerators = c.accelerators[r.IntN(len(c.accelerators))]
	count := max(1, int(c.taskCount.sample(r)+0.5))
	gang := (l.WholeWorkerGangs || resources.Accelerators < l.Worker.Accelerators) && r.Float64() < c.gang
	sameRack := gang && l.WholeWorkerGangs && r.Float64() < c.sameRack
	if gang && (sameRack || !l.WholeWorkerGangs) {
		count = min(count, l.RackSize*l.tasksPerWorker(resources))
	}
	mean := c.taskSeconds.sample(r)
	q := &request{class: c, arrival: at, failing: r.Float64() < c.failing}
	poolTasks := l.Runners * l.tasksPerWorker(resources)
	q.waves = max(1, (wavesPerPool*count+poolTasks-1)/poolTasks)
	for range count {
		seconds := mean * (1 + c.taskVariation*(2*r.Float64()-1))
		if c.longShare > 0 && r.Float64() < c.longShare {
			seconds = max(seconds, min(c.longFactor*seconds, longTaskLimit))
		}
		q.taskSeconds = append(q.taskSeconds, seconds)
	}
	s := jaytask.Step{Count: count, Resources: resources, Estimate: time.Duration(mean * (1 + c.estimateError*(2*r.Float64()-1)) * float64(time.Second))}
	s.Gang = gang && count > 1
	s.SameRack = s.Gang && (sameRack || !l.WholeWorkerGangs && r.Float64() < c.sameRack)
	s.Checkpoint = r.Float64() < c.checkpointing
	if r.Float64() < c.dataBound {
		s.DataRack = rackName(l.pickRack(r, at))
	}
	if r.Float64() < c.canceled {
		q.cancelAt = at + time.Duration(r.Float64()*8*float64(time.Second))
	}
	q.spec = &jaytask.Job{
		ID: fmt.Sprintf("%016x", n+1), Steps: []jaytask.Step{s}, Accepted: start.Add(at),
		Policy: jaytask.Policy{Route: c.Name, Service: service, Workspace: fmt.Sprintf("w%d", l.pickWorkspace(r)), Priority: c.Priority, MaxAttempts: c.MaxAttempts, Stretch: c.Stretch, Objective: c.Objective},
	}
	return q
}

const service = "pool"

// wavesPerPool is the number of waves that would fill the idle pool: a step may use
// a quarter of it in one wave.
const wavesPerPool = 4

// tasksPerWorker returns how many tasks fit an idle worker.
func (l *Load) tasksPerWorker(resources jaytask.Resources) int {
	return resources.CountIn(l.Worker, jaytask.MaxTasks)
}

// speed returns the speed of the i-th worker.
func (l *Load) speed(i int) float64 {
	if len(l.Speeds) == 0 {
		return 1
	}
	return l.Speeds[i%len(l.Speeds)]
}

func rackName(n int) string { return fmt.Sprintf("rack-%d", n) }
