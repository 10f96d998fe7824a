// Package jaytask holds jobs of several steps: what callers ask for, how it is
// checked and how it is recorded.
package jaytask

import (
	"fmt"
	"time"
)

// Bounds of what one job may ask for.
const (
	// MaxSpecBytes bounds the text that every task of a job is started with.
	MaxSpecBytes = 4000
	// MaxSteps and MaxTasks bound the tables that one job may fill.
	MaxSteps = 256
	MaxTasks = 20_000
)

// InvalidError reports a job that no pool could run as it is written.
type InvalidError struct {
	Field string
	Cause string
}

// Error implements error.
func (e *InvalidError) Error() string { return "invalid job: " + e.Field + ": " + e.Cause }

// Resources is what a task takes of a worker, or what a worker has: processor in
// thousandths of a core, memory in megabytes, accelerators.
type Resources struct {
	CPU          int
	Memory       int
	Accelerators int
}

// FitsIn reports whether r can be taken out of free.
func (r Resources) FitsIn(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Add returns the sum of both.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Sub returns r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// CountIn returns how often r fits into free, at most so many times.
func (r Resources) CountIn(free Resources, most int) int {
	for _, p := range [][2]int{{r.CPU, free.CPU}, {r.Memory, free.Memory}, {r.Accelerators, free.Accelerators}} {
		if p[0] > 0 {
			most = min(most, p[1]/p[0])
		}
	}
	return most
}

// acceleratorCores is what an accelerator weighs against a core when work is
// compared.
const acceleratorCores = 8

// CoreEquivalents returns what the resources weigh in cores.
func (r Resources) CoreEquivalents() float64 {
	return float64(r.CPU)/1000 + float64(r.Accelerators*acceleratorCores)
}

// Step is a set of like tasks.
type Step struct {
	// Count is the number of tasks, Resources what each of them takes.
	Count     int
	Resources Resources
	// Estimate is the caller's rough guess of one task's run time.
	Estimate time.Duration
	// After lists earlier steps that must be done first.
	After []int
	// Checkpoint tells that tasks save their progress.
	Checkpoint bool
	// Gang tells that the tasks run all together or not at all.
	Gang bool
	// SameRack tells that a gang over several racks is slower.
	SameRack bool
	// Label must stand on the runner, DataRack names the rack of the data.
	Label    string
	DataRack string
	// MaxPerRunner bounds the step's tasks on one runner; zero is no bound.
	MaxPerRunner int
	// Speculative allows copies of a task side by side.
	Speculative bool
	// Daemon tasks run until the job is canceled.
	Daemon bool
	// BestEffort tells that the step's CPU is what others leave unused.
	BestEffort bool
	// Image names what the tasks run; LatencyTarget is the tail latency that a serving
	// task must keep.
	Image         string
	LatencyTarget time.Duration
	// MaxUnavailable bounds the tasks of a daemon step that the system itself may have
	// away at once.
	MaxUnavailable int
}

// Allocation returns what a task of the step takes of a worker's resources.
func (s Step) Allocation() Resources {
	r := s.Resources
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Policy is what the route of a job promised when the job was accepted.
type Policy struct {
	Route     string
	Service   string
	Workspace string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
	// Stretch and Objective bound the wanted completion time: Stretch times the
	// longest chain of work, and Objective more.
	Stretch   float64
	Objective time.Duration
}

// Job is what a caller handed in.
type Job struct {
	ID     string
	Spec   string
	Steps  []Step
	Policy Policy
	// Accepted is the wall clock time of acceptance.
	Accepted time.Time
	// TimedOccurrences is how many timed occurrences the job has, zero for one untimed.
	// Occurrence k is due at Start + k × Period.
	TimedOccurrences int
	Start            time.Time
	Period           time.Duration
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.TimedOccurrences, 1) }

// Due returns when an occurrence may start; the zero time is at once.
func (j *Job) Due(k int) time.Time {
	if j.TimedOccurrences == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(k) * j.Period)
}

// HasDaemon reports whether the job runs until it is canceled.
func (j *Job) HasDaemon() bool {
	for _, s := range j.Steps {
		if s.Daemon {
			return true
		}
	}
	return false
}

// FirstStepAccelerators returns how many accelerators the first step needs.
func (j *Job) FirstStepAccelerators() int {
	if len(j.Steps) == 0 {
		return 0
	}
	return j.Steps[0].Count * j.Steps[0].Resources.Accelerators
}

// Validate returns an InvalidError when the job contradicts itself.
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

// State is what a caller is told of a job.
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
