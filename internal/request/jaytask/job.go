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

// Room is what a task takes of a worker, or what a worker has: processor in
// thousandths of a core, memory in megabytes, accelerators.
type Room struct {
	CPU          int
	Memory       int
	Accelerators int
}

// Fits reports whether r can be taken out of free.
func (r Room) Fits(free Room) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// Plus returns the sum of both.
func (r Room) Plus(o Room) Room {
	return Room{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, Accelerators: r.Accelerators + o.Accelerators}
}

// Minus returns r without o.
func (r Room) Minus(o Room) Room {
	return Room{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, Accelerators: r.Accelerators - o.Accelerators}
}

// Times returns how often r fits into free, at most so many times.
func (r Room) Times(free Room, most int) int {
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

// Cores returns what the room weighs in cores.
func (r Room) Cores() float64 {
	return float64(r.CPU)/1000 + float64(r.Accelerators*acceleratorCores)
}

// Step is a set of like tasks.
type Step struct {
	// Count is the number of tasks, Room what each of them takes.
	Count int
	Room  Room
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
	// Fills tells that the step's CPU is what others leave unused.
	Fills bool
	// Image names what the tasks run; Target is the tail latency that a serving
	// task must keep.
	Image  string
	Target time.Duration
	// MayMiss bounds the tasks of a daemon step that the system itself may have
	// away at once.
	MayMiss int
}

// Charge returns what a task of the step takes of a worker's room.
func (s Step) Charge() Room {
	r := s.Room
	if s.Fills {
		r.CPU = 0
	}
	return r
}

// Terms are what the route of a job promised when the job was accepted.
type Terms struct {
	Route     string
	Service   string
	Workspace string
	// Priority 0 comes first.
	Priority int
	// Attempts is how often a task may fail.
	Attempts int
	// Stretch and Objective bound the wanted completion time: Stretch times the
	// longest chain of work, and Objective more.
	Stretch   float64
	Objective time.Duration
}

// Job is what a caller handed in.
type Job struct {
	ID    string
	Spec  string
	Steps []Step
	Terms Terms
	// Accepted is the wall clock time of acceptance.
	Accepted time.Time
	// Times is how many timed occurrences the job has, zero for one untimed.
	// Occurrence k is due at Start + k × Period.
	Times  int
	Start  time.Time
	Period time.Duration
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(j.Times, 1) }

// Due returns when an occurrence may start; the zero time is at once.
func (j *Job) Due(k int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(k) * j.Period)
}

// Lasts reports whether the job runs until it is canceled.
func (j *Job) Lasts() bool {
	for _, s := range j.Steps {
		if s.Daemon {
			return true
		}
	}
	return false
}

// Accelerators returns how many accelerators the first step needs.
func (j *Job) Accelerators() int {
	if len(j.Steps) == 0 {
		return 0
	}
	return j.Steps[0].Count * j.Steps[0].Room.Accelerators
}

// Check returns an InvalidError when the job contradicts itself.
func (j *Job) Check() error {
	if len(j.Spec) > MaxSpecBytes {
		return &InvalidError{Field: "spec", Cause: fmt.Sprintf("%d bytes, at most %d", len(j.Spec), MaxSpecBytes)}
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{Field: "steps", Cause: fmt.Sprintf("%d steps, 1 to %d", len(j.Steps), MaxSteps)}
	}
	if j.Times < 0 {
		return &InvalidError{Field: "occurrences", Cause: "negative"}
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return err
		}
		tasks += s.Count
	}
	if tasks > MaxTasks || j.Times > MaxTasks/tasks {
		return &InvalidError{Field: "steps", Cause: fmt.Sprintf("more than %d tasks", MaxTasks)}
	}
	return nil
}

func (s Step) check(index int) error {
	field := fmt.Sprintf("step %d", index)
	if s.Count < 1 || s.Count > MaxTasks {
		return &InvalidError{Field: field, Cause: fmt.Sprintf("%d tasks, 1 to %d", s.Count, MaxTasks)}
	}
	if s.Room.CPU < 0 || s.Room.Memory < 0 || s.Room.Accelerators < 0 || s.MaxPerRunner < 0 || s.MayMiss < 0 {
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
