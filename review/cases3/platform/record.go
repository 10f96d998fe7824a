package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes down what was sent, answered and run, and checks rules on it.
type record struct {
	mutex      sync.Mutex
	file       *os.File
	began      time.Time
	violations []string
	// runs counts the runs by task, done those that ended so, lapsed all that lapsed.
	runs    map[string]int
	active  map[string]int
	done    map[string]bool
	isNoted map[string]bool
	lapsed  int
	// begunSpecs counts the starts of a job's subtasks by the job and the Spec.
	begunSpecs map[[2]string]int
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &record{file: f, began: time.Now(), runs: map[string]int{}, active: map[string]int{}, done: map[string]bool{}, isNoted: map[string]bool{}, begunSpecs: map[[2]string]int{}}, nil
}

func (r *record) elapsed() float64 { return time.Since(r.began).Seconds() }

// add adds a line.
func (r *record) add(format string, a ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.line(format, a...)
}

// line is add with the mutex held.
func (r *record) line(format string, a ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", r.elapsed(), fmt.Sprintf(format, a...))
}

// violate records that a rule was broken.
func (r *record) violate(rule, what string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, rule+": "+what)
	r.line("BROKEN %s: %s", rule, what)
}

func (r *record) started(task string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.runs[task]++
	r.active[task]++
	if r.active[task] > 1 || r.done[task] && r.isNoted[task] {
		r.violations = append(r.violations, "TWICE: "+task)
		r.line("BROKEN TWICE: %s", task)
	}
}

func (r *record) ended(task, how string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.active[task]--
	switch how {
	case "done":
		r.done[task] = true
	case "lapsed":
		r.lapsed++
	}
}

func (r *record) noted(task, how string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if how == "done" {
		r.isNoted[task] = true
	}
}

// doneTasks returns how many of a job's tasks are done, and how many run.
func (r *record) doneTasks(tasks []string) (done, running int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, t := range tasks {
		if r.done[t] {
			done++
		}
		if r.active[t] > 0 {
			running++
		}
	}
	return done, running
}

// begun returns how many of a job's tasks have begun.
func (r *record) begun(tasks []string) (n int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, t := range tasks {
		if r.runs[t] > 0 {
			n++
		}
	}
	return n
}

// beganWith notes with which Spec a subtask of a job was started.
func (r *record) beganWith(job, spec string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.begunSpecs[[2]string{job, spec}]++
}

// specs returns how many subtasks of a job were started with a Spec.
func (r *record) specs(job, spec string) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.begunSpecs[[2]string{job, spec}]
}
