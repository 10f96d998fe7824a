package jaysimulation

import (
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// step is the virtual clock's.
	timeStep = 20 * time.Millisecond
	// orderWay is an order's way to a runner and the start there.
	orderLatency = 20 * time.Millisecond
	// restore is how long a task takes to load its saved progress.
	restoreTime = 100 * time.Millisecond
	// gangWait is how long members of a gang wait for each other.
	gangTimeout = 3 * time.Second
)

// running is a run on a worker.
type taskRun struct {
	request *request
	task    string
	index   int
	run     int
	started time.Duration
	// done and total are seconds of work, fresh what is not saved.
	workDone, workTotal, unsaved float64
	stopAt                       time.Duration
}

// worker is one runner of the played pool.
type worker struct {
	id         string
	rack       string
	speed      float64
	lost       bool
	runs       map[string]*taskRun
	highestRun map[string]int
	finished   []jaycell.End
	lastEnd    uint64
	acked      uint64
}

// world plays the workers and keeps the record by which the day is judged.
type environment struct {
	load    *Load
	now     time.Duration
	workers []*worker
	byID    map[string]*worker
	byJob   map[string]*request
	// doneAt is when the last task of a job ended, left how many are not done.
	completedAt map[string]time.Duration
	firstStart  map[string]time.Duration
	tasksLeft   map[string]int
	taskDone    map[string]bool
	// tokens is the share done at each saved progress.
	checkpoints map[string]float64
	// wasted is work in core-seconds that was thrown away.
	wastedCoreSeconds float64
	interruptions     int
	// busy sums accelerator-seconds at work.
	busyAcceleratorSeconds float64
}

func newEnvironment(l *Load, requests []*request) *environment {
	w := &environment{load: l, byID: map[string]*worker{}, byJob: map[string]*request{}, completedAt: map[string]time.Duration{}, firstStart: map[string]time.Duration{}, tasksLeft: map[string]int{}, taskDone: map[string]bool{}, checkpoints: map[string]float64{}}
	for i := range l.Runners {
		x := &worker{id: fmt.Sprintf("runner-%02d", i), rack: rackName(i / workersPerRack), speed: 1, runs: map[string]*taskRun{}, highestRun: map[string]int{}}
		w.workers = append(w.workers, x)
		w.byID[x.id] = x
	}
	for _, q := range requests {
		w.byJob[q.spec.ID] = q
		w.tasksLeft[q.spec.ID] = len(q.taskSeconds)
	}
	return w
}

// suffer changes the workers' speeds and takes some away.
func (w *environment) applyFaults() {
	third := w.load.ArrivalPeriod / 3
	slow, lost := int(w.load.SlowShare*float64(len(w.workers))+0.5), int(w.load.LostShare*float64(len(w.workers))+0.5)
	for i, x := range w.workers {
		x.speed = 1
		if i < slow && w.now >= third && w.now < 2*third {
			x.speed = 1 / w.load.SlowFactor
		}
		if i >= len(w.workers)-lost && w.now >= third && !x.lost {
			x.lost = true
			for _, r := range x.sortedRuns() {
				w.loseRun(x, r)
			}
		}
	}
}

func (x *worker) sortedRuns() []*taskRun {
	all := make([]*taskRun, 0, len(x.runs))
	for _, r := range x.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task < all[j].task })
	return all
}

// advance lets the workers work for one step.
func (w *environment) advance() {
	w.now += timeStep
	w.applyFaults()
	present := map[string]int{}
	racks := map[string]map[string]bool{}
	for _, x := range w.workers {
		for _, r := range x.runs {
			k := r.gangKey()
			present[k]++
			if racks[k] == nil {
				racks[k] = map[string]bool{}
			}
			racks[k][x.rack] = true
		}
	}
	for _, x := range w.workers {
		for _, r := range x.sortedRuns() {
			if x.runs[r.task] == r {
				w.advanceRun(x, r, present[r.gangKey()], len(racks[r.gangKey()]))
			}
		}
	}
	w.endCompletedGangs()
}

func (r *taskRun) spec() *jaytask.Step { return &r.request.spec.Steps[0] }

func (r *taskRun) gangKey() string { return fmt.Sprintf("%s/%d", r.request.spec.ID, r.run) }

func (w *environment) advanceRun(x *worker, r *taskRun, present, racks int) {
	if r.stopAt > 0 && w.now >= r.stopAt {
		w.endRun(x, r, jaycell.EndStopped)
		return
	}
	s := r.spec()
	if s.Gang && present < s.Count {
		if w.now-r.started > gangTimeout {
			w.endRun(x, r, jaycell.EndGangIncomplete)
		}
		return
	}
	speed := x.speed
	if s.DataRack != "" && s.DataRack != x.rack || s.Gang && s.SameRack && racks > 1 {
		speed /= w.load.FarFactor
	}
	made := timeStep.Seconds() * speed
	if w.now < w.load.ArrivalPeriod {
		w.busyAcceleratorSeconds += timeStep.Seconds() * float64(s.Resources.Accelerators)
	}
	r.workDone, r.unsaved = r.workDone+made, r.unsaved+made
	switch {
	case r.request.failing && r.workDone > r.workTotal/2:
		w.endRun(x, r, jaycell.EndFailed)
	case s.Gang:
	case r.workDone >= r.workTotal:
		w.endRun(x, r, jaycell.EndDone)
	}
}

// endGangs ends the gangs whose members are all done.
func (w *environment) endCompletedGangs() {
	type gang struct {
		members []*taskRun
		at      []*worker
		done    int
	}
	gangs := map[string]*gang{}
	var keys []string
	for _, x := range w.workers {
		for _, r := range x.sortedRuns() {
			if !r.spec().Gang {
				continue
			}
			k := r.gangKey()
			if gangs[k] == nil {
				gangs[k] = &gang{}
				keys = append(keys, k)
			}
			g := gangs[k]
			g.members, g.at = append(g.members, r), append(g.at, x)
			if r.workDone >= r.workTotal {
				g.done++
			}
		}
	}
	for _, k := range keys {
		g := gangs[k]
		if g.done < g.members[0].spec().Count {
			continue
		}
		for i, r := range g.members {
			w.endRun(g.at[i], r, jaycell.EndDone)
		}
	}
}

// end lists the end of a run; the members of its gang end with it.
func (w *environment) endRun(x *worker, r *taskRun, how jaycell.EndReason) {
	if x.runs[r.task] != r {
		return
	}
	delete(x.runs, r.task)
	saved := ""
	s := r.spec()
	if how == jaycell.EndDone {
		w.taskDone[r.task] = true
		if w.tasksLeft[r.request.spec.ID]--; w.tasksLeft[r.request.spec.ID] == 0 {
			w.completedAt[r.request.spec.ID] = w.now
		}
	} else {
		w.interruptions++
		if s.Checkpoint {
			saved = w.saveCheckpoint(r)
		} else {
			w.addWaste(r)
		}
	}
	x.lastEnd++
	x.finished = append(x.finished, jaycell.End{Number: x.lastEnd, Task: r.task, Run: r.run, Reason: how, Checkpoint: saved})
	if how == jaycell.EndDone || !s.Gang {
		return
	}
	for _, y := range w.workers {
		for _, other := range y.sortedRuns() {
			if other.request == r.request && other.run == r.run {
				w.endRun(y, other, jaycell.EndGangBroken)
			}
		}
	}
}

// drop loses a run with its worker; the members of its gang break.
func (w *environment) loseRun(x *worker, r *taskRun) {
	delete(x.runs, r.task)
	w.interruptions++
	w.addWaste(r)
	if !r.spec().Gang {
		return
	}
	for _, y := range w.workers {
		for _, other := range y.sortedRuns() {
			if other.request == r.request && other.run == r.run {
				w.endRun(y, other, jaycell.EndGangBroken)
			}
		}
	}
}

func (w *environment) addWaste(r *taskRun) {
	w.wastedCoreSeconds += r.unsaved * r.spec().Resources.CoreEquivalents()
}

// save returns the token of a task's progress; a gang's members share one.
func (w *environment) saveCheckpoint(r *taskRun) string {
	k := r.task
	if r.spec().Gang {
		k = r.gangKey()
	}
	token := fmt.Sprintf("%s@%d", k, r.run)
	w.checkpoints[token] = max(w.checkpoints[token], r.workDone/r.workTotal)
	return token
}

// start begins a run; it reports whether the worker has room for it.
func (w *environment) startRun(x *worker, task string, index, run int, q *request, token string) bool {
	if x.lost || run <= x.highestRun[task] {
		return false
	}
	free := workerResources
	for _, r := range x.runs {
		free = free.Sub(r.spec().Resources)
	}
	if !q.spec.Steps[0].Resources.FitsIn(free) {
		return false
	}
	r := &taskRun{request: q, task: task, index: index, run: run, started: w.now, workTotal: q.taskSeconds[index]}
	if token != "" {
		r.workDone = w.checkpoints[token]*r.workTotal - restoreTime.Seconds()
	}
	x.runs[task], x.highestRun[task] = r, run
	if _, known := w.firstStart[q.spec.ID]; !known {
		w.firstStart[q.spec.ID] = w.now
	}
	return true
}

func (w *environment) stopRun(x *worker, task string, run int) {
	if r := x.runs[task]; r != nil && r.run == run && r.stopAt == 0 {
		r.stopAt = w.now + w.load.StopTime/2
	}
	x.highestRun[task] = max(x.highestRun[task], run)
}
