// Package jaytask defines the jobs of the users' platform, which consist of steps of
// identical tasks: their validation, their states and their stored form. Jobs that are
// one gang are in jayjob.
package jaytask

import (
	"fmt"
	"slices"
	"time"
)

// Limits of one job.
const (
	// MaxSpecBytes bounds Job.Spec, which is passed to every task.
	MaxSpecBytes = 4000
	// MaxSteps and MaxTasks bound the scheduler's memory for one job.
	MaxSteps = 256
	MaxTasks = 20_000
)

// InvalidError reports an invalid field of a job.
type InvalidError struct {
	Field string
	Cause string
}

// Error implements error.
func (e *InvalidError) Error() string { return "invalid job: " + e.Field + ": " + e.Cause }

// Resources are the resources of a task or a worker: CPU in thousandths of a core,
// Memory in megabytes, and accelerators.
type Resources struct {
	CPU          int
	Memory       int
	Accelerators int
}

// FitsIn reports whether free covers r.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Times returns r n times.
func (r Resources) Times(n int) Resources {
	return Resources{CPU: n * r.CPU, Memory: n * r.Memory, Accelerators: n * r.Accelerators}
}

// Max returns the larger amount of each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{CPU: max(r.CPU, o.CPU), Memory: max(r.Memory, o.Memory), Accelerators: max(r.Accelerators, o.Accelerators)}
}

// CountIn returns how many times r fits into free, at most limit.
func (r Resources) CountIn(free Resources, limit int) int {
	for _, p := range [][2]int{{r.CPU, free.CPU}, {r.Memory, free.Memory}, {r.Accelerators, free.Accelerators}} {
		if p[0] > 0 {
			limit = min(limit, p[1]/p[0])
		}
	}
	return limit
}

// acceleratorCores is the number of cores that one accelerator counts for when
// the work of tasks is compared.
const acceleratorCores = 8

// CoreEquivalents returns the CPU and the accelerators as a number of cores.
func (r Resources) CoreEquivalents() float64 {
	return float64(r.CPU)/1000 + float64(r.Accelerators*acceleratorCores)
}

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks, Resources the request of each.
	Count     int
	Resources Resources
	// Estimate is the caller's estimate of the run time of one task.
	Estimate time.Duration
	// After lists the indexes of earlier steps that must be done first.
	After []int
	// Checkpoint reports that tasks save their progress.
	Checkpoint bool
	// Gang reports that the tasks run all together or not at all.
	Gang bool
	// SameRack reports that a gang runs slower when it spans several racks.
	SameRack bool
	// Label is required of the runner, DataRack is the rack of the input data.
	Label    string
	DataRack string
	// MaxPerRunner bounds the step's tasks on one runner; zero means no bound.
	MaxPerRunner int
	// Speculative allows concurrent copies of a task.
	Speculative bool
	// Daemon tasks run until the job is canceled.
	Daemon bool
	// BestEffort reports that the tasks use only CPU that others leave idle.
	BestEffort bool
	// Image names the program of the tasks; LatencyTarget is the tail latency that a
	// serving task must keep.
	Image         string
	LatencyTarget time.Duration
	// MaxUnavailable bounds the tasks of a daemon step that the scheduler may keep
	// stopped at the same time; zero means no bound.
	MaxUnavailable int
}

// Allocation returns the resources that a task reserves on a worker: a best-effort
// task reserves no CPU.
func (s Step) Allocation() Resources {
	r := s.Resources
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Policy holds what the configuration of the job's route specified when the job was
// accepted.
type Policy struct {
	Route     string
	Service   string
	Workspace string
	// Priority is the rank of the job; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs after which a task is given up.
	MaxAttempts int
	// Stretch and Objective define the completion time objective: Stretch times the
	// critical path of the job, plus Objective.
	Stretch   float64
	Objective time.Duration
}

// Job is a job as submitted by a caller.
type Job struct {
	ID     string
	Spec   string
	Steps  []Step
	Policy Policy
	// Accepted is the wall clock time of acceptance.
	Accepted time.Time
	// TimedOccurrences is the number of scheduled occurrences; zero means a single
	// occurrence that is due at once. Occurrence k is due at Start + k × Period.
	TimedOccurrences int
	Start            time.Time
	Period           time.Duration
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.TimedOccurrences, 1) }

// Due returns when occurrence k may start; the zero time means at once.
func (j *Job) Due(k int) time.Time {
	if j.TimedOccurrences == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(k) * j.Period)
}

// HasDaemon reports whether the job has a daemon step and runs until it is canceled.
func (j *Job) HasDaemon() bool {
	for _, s := range j.Steps {
		if s.Daemon {
			return true
		}
	}
	return false
}

// FirstStepAccelerators returns the accelerators of all tasks of the first step.
func (j *Job) FirstStepAccelerators() int {
	if len(j.Steps) == 0 {
		return 0
	}
	return j.Steps[0].Count * j.Steps[0].Resources.Accelerators
}

// Validate returns an InvalidError for the first invalid field.
func (j *Job) Validate() error {
	if len(j.Spec) > MaxSpecBytes {
		return &InvalidError{Field: "spec", Cause: fmt.Sprintf("%d bytes, at most %d", len(j.Spec), MaxSpecBytes)}
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{Field: "steps", Cause: fmt.Sprintf("%d steps, 1 to %d", len(j.Steps), MaxSteps)}
	}
	if j.TimedOccurrences < 0 {
		return &InvalidError{Field: "occurrences", Cause: "negative"}
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return err
		}
		tasks += s.Count
	}
	if tasks > MaxTasks || j.TimedOccurrences > MaxTasks/tasks {
		return &InvalidError{Field: "steps", Cause: fmt.Sprintf("more than %d tasks", MaxTasks)}
	}
	return nil
}

// DistinctSteps returns the step indexes of a list without repeats, in order: callers may name a step
// any number of times.
func DistinctSteps(steps []int) []int {
	return slices.Compact(slices.Sorted(slices.Values(steps)))
}

func (s Step) validate(index int) error {
	field := fmt.Sprintf("step %d", index)
	if s.Count < 1 || s.Count > MaxTasks {
		return &InvalidError{Field: field, Cause: fmt.Sprintf("%d tasks, 1 to %d", s.Count, MaxTasks)}
	}
	if s.Resources.CPU < 0 || s.Resources.Memory < 0 || s.Resources.Accelerators < 0 || s.MaxPerRunner < 0 || s.MaxUnavailable < 0 {
		return &InvalidError{Field: field, Cause: "negative amount"}
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return &InvalidError{Field: field, Cause: fmt.Sprintf("waits for step %d, which is not an earlier one", a)}
		}
	}
	return nil
}

// State is the state of a job as reported to callers.
type State uint8

// The states of a job.
const (
	Queued State = iota + 1
	Running
	Completed
	Failed
	Canceled
)

var stateNames = [...]string{Queued: "queued", Running: "running", Completed: "completed", Failed: "failed", Canceled: "canceled"}

// String returns the state's name.
func (s State) String() string {
	if int(s) >= len(stateNames) || stateNames[s] == "" {
		return "unknown"
	}
	return stateNames[s]
}

// Ended reports whether the state is final.
func (s State) Ended() bool { return s >= Completed }
