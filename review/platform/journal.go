package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// crashLimit is how many runners may crash under a subtask, and how often it may be started then
// before BUDGET is broken.
const crashLimit = 3

// journal writes record.txt and keeps what the rules need of it.
type journal struct {
	began time.Time
	file  *os.File
	out   *bufio.Writer

	mutex sync.Mutex
	// done holds the done ends by subtask, noted those that were taken note of.
	done  map[string]string
	noted map[string]string
	// lapsed holds the runners whose leases have lapsed.
	lapsed map[string]bool
	starts map[string]int
	// crashes counts the runners that have crashed under a subtask (a runner is one life of a
	// machine), startsAfter how often it was started after three of them had.
	crashes     map[string]int
	startsAfter map[string]int
	broken      []string
}

func newJournal(path string) (*journal, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &journal{began: time.Now(), file: f, out: bufio.NewWriter(f), done: map[string]string{}, noted: map[string]string{}, lapsed: map[string]bool{}, starts: map[string]int{}, crashes: map[string]int{}, startsAfter: map[string]int{}}, nil
}

// write adds a line. The mutex is held.
func (j *journal) write(format string, args ...any) {
	_, _ = fmt.Fprintf(j.out, "%8.3f  %s\n", time.Since(j.began).Seconds(), fmt.Sprintf(format, args...))
}

func (j *journal) add(format string, args ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.write(format, args...)
}

// violate notes that a rule is broken.
func (j *journal) violate(format string, args ...any) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.violated(format, args...)
}

// violated is violate while the mutex is held.
func (j *journal) violated(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	j.broken = append(j.broken, text)
	j.write("BROKEN %s", text)
}

// started checks TWICE: no start after a run has ended done, if that end was taken note of.
func (j *journal) started(runner, task string, run int, fence uint64) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.starts[task]++
	j.write("start  %s run %d on %s, fence %d", task, run, runner, fence)
	if j.crashes[task] >= crashLimit {
		j.startsAfter[task]++
		if j.startsAfter[task] >= crashLimit {
			j.violated("BUDGET: %s starts as run %d on %s, the start number %d since %d runners had crashed under it", task, run, runner, j.startsAfter[task], crashLimit)
		}
	}
	if how, ok := j.noted[task]; ok {
		j.violated("TWICE: %s starts again as run %d on %s: %s", task, run, runner, how)
	}
}

// crashed notes that a runner crashes under a subtask.
func (j *journal) crashed(runner, task string, run int) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.crashes[task]++
	j.write("crash  %s under %s run %d", runner, task, run)
}

func (j *journal) ended(runner, task string, run int, how string) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.write("end    %s run %d on %s: %s", task, run, runner, how)
	switch how {
	case "done":
		j.done[task] = fmt.Sprintf("run %d had ended done on %s", run, runner)
	case "lapsed":
		j.lapsed[runner] = true
	}
}

func (j *journal) acknowledged(runner string, e end) {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.write("noted  %s run %d on %s: %s", e.task, e.run, runner, e.how)
	if e.how == "done" && !j.lapsed[runner] {
		j.noted[e.task] = j.done[e.task] + ", and AckCursor had reached that end"
	}
}

// startsOf returns how often a subtask was started.
func (j *journal) startsOf(task string) int {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	return j.starts[task]
}

// close writes the rest and returns the broken rules.
func (j *journal) close() []string {
	j.mutex.Lock()
	defer j.mutex.Unlock()
	j.write("%d breaks", len(j.broken))
	_ = j.out.Flush()
	_ = j.file.Close()
	return j.broken
}
