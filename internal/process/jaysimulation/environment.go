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
	step = 20 * time.Millisecond
	// orderWay is an order's way to a runner and the start there.
	orderWay = 20 * time.Millisecond
	// restore is how long a task takes to load its saved progress.
	restore = 100 * time.Millisecond
	// gangWait is how long members of a gang wait for each other.
	gangWait = 3 * time.Second
)

// running is a run on a worker.
type running struct {
	request *request
	task    string
	index   int
	run     int
	begun   time.Duration
	// done and total are seconds of work, fresh what is not saved.
	done, total, fresh float64
	stops              time.Duration
}

// worker is one runner of the played pool.
type worker struct {
	id       string
	rack     string
	speed    float64
	gone     bool
	runs     map[string]*running
	highest  map[string]int
	finished []jaycell.End
	number   uint64
	acked    uint64
}

// world plays the workers and keeps the record by which the day is judged.
type world struct {
	load    *Load
	now     time.Duration
	workers []*worker
	byID    map[string]*worker
	byJob   map[string]*request
	// doneAt is when the last task of a job ended, left how many are not done.
	doneAt map[string]time.Duration
	begun  map[string]time.Duration
	left   map[string]int
	done   map[string]bool
	// tokens is the share done at each saved progress.
	tokens map[string]float64
	// wasted is work in core-seconds that was thrown away.
	wasted float64
	stops  int
	// busy sums accelerator-seconds at work.
	busy float64
}

func newWorld(l *Load, requests []*request) *world {
	w := &world{load: l, byID: map[string]*worker{}, byJob: map[string]*request{}, doneAt: map[string]time.Duration{}, begun: map[string]time.Duration{}, left: map[string]int{}, done: map[string]bool{}, tokens: map[string]float64{}}
	for i := range l.Runners {
		x := &worker{id: fmt.Sprintf("runner-%02d", i), rack: rackName(i / perRack), speed: 1, runs: map[string]*running{}, highest: map[string]int{}}
		w.workers = append(w.workers, x)
		w.byID[x.id] = x
	}
	for _, q := range requests {
		w.byJob[q.spec.ID] = q
		w.left[q.spec.ID] = len(q.seconds)
	}
	return w
}

// suffer changes the workers' speeds and takes some away.
func (w *world) suffer() {
	third := w.load.Span / 3
	slow, lost := int(w.load.Slow*float64(len(w.workers))+0.5), int(w.load.Lost*float64(len(w.workers))+0.5)
	for i, x := range w.workers {
		x.speed = 1
		if i < slow && w.now >= third && w.now < 2*third {
			x.speed = 1 / w.load.Slower
		}
		if i >= len(w.workers)-lost && w.now >= third && !x.gone {
			x.gone = true
			for _, r := range x.sorted() {
				w.drop(x, r)
			}
		}
	}
}

func (x *worker) sorted() []*running {
	all := make([]*running, 0, len(x.runs))
	for _, r := range x.runs {
		all = append(all, r)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task < all[j].task })
	return all
}

// advance lets the workers work for one step.
func (w *world) advance() {
	w.now += step
	w.suffer()
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
		for _, r := range x.sorted() {
			if x.runs[r.task] == r {
				w.work(x, r, present[r.gangKey()], len(racks[r.gangKey()]))
			}
		}
	}
	w.endGangs()
}

func (r *running) step() *jaytask.Step { return &r.request.spec.Steps[0] }

func (r *running) gangKey() string { return fmt.Sprintf("%s/%d", r.request.spec.ID, r.run) }

func (w *world) work(x *worker, r *running, present, racks int) {
	if r.stops > 0 && w.now >= r.stops {
		w.end(x, r, jaycell.EndStopped)
		return
	}
	s := r.step()
	if s.Gang && present < s.Count {
		if w.now-r.begun > gangWait {
			w.end(x, r, jaycell.EndGangIncomplete)
		}
		return
	}
	speed := x.speed
	if s.DataRack != "" && s.DataRack != x.rack || s.Gang && s.SameRack && racks > 1 {
		speed /= w.load.Far
	}
	made := step.Seconds() * speed
	if w.now < w.load.Span {
		w.busy += step.Seconds() * float64(s.Resources.Accelerators)
	}
	r.done, r.fresh = r.done+made, r.fresh+made
	switch {
	case r.request.hopeless && r.done > r.total/2:
		w.end(x, r, jaycell.EndFailed)
	case s.Gang:
	case r.done >= r.total:
		w.end(x, r, jaycell.EndDone)
	}
}

// endGangs ends the gangs whose members are all done.
func (w *world) endGangs() {
	type gang struct {
		members []*running
		at      []*worker
		done    int
	}
	gangs := map[string]*gang{}
	var keys []string
	for _, x := range w.workers {
		for _, r := range x.sorted() {
			if !r.step().Gang {
				continue
			}
			k := r.gangKey()
			if gangs[k] == nil {
				gangs[k] = &gang{}
				keys = append(keys, k)
			}
			g := gangs[k]
			g.members, g.at = append(g.members, r), append(g.at, x)
			if r.done >= r.total {
				g.done++
			}
		}
	}
	for _, k := range keys {
		g := gangs[k]
		if g.done < g.members[0].step().Count {
			continue
		}
		for i, r := range g.members {
			w.end(g.at[i], r, jaycell.EndDone)
		}
	}
}

// end lists the end of a run; the members of its gang end with it.
func (w *world) end(x *worker, r *running, how jaycell.EndReason) {
	if x.runs[r.task] != r {
		return
	}
	delete(x.runs, r.task)
	saved := ""
	s := r.step()
	if how == jaycell.EndDone {
		w.done[r.task] = true
		if w.left[r.request.spec.ID]--; w.left[r.request.spec.ID] == 0 {
			w.doneAt[r.request.spec.ID] = w.now
		}
	} else {
		w.stops++
		if s.Checkpoint {
			saved = w.save(r)
		} else {
			w.waste(r)
		}
	}
	x.number++
	x.finished = append(x.finished, jaycell.End{Number: x.number, Task: r.task, Run: r.run, Reason: how, Checkpoint: saved})
	if how == jaycell.EndDone || !s.Gang {
		return
	}
	for _, y := range w.workers {
		for _, other := range y.sorted() {
			if other.request == r.request && other.run == r.run {
				w.end(y, other, jaycell.EndGangBroken)
			}
		}
	}
}

// drop loses a run with its worker; the members of its gang break.
func (w *world) drop(x *worker, r *running) {
	delete(x.runs, r.task)
	w.stops++
	w.waste(r)
	if !r.step().Gang {
		return
	}
	for _, y := range w.workers {
		for _, other := range y.sorted() {
			if other.request == r.request && other.run == r.run {
				w.end(y, other, jaycell.EndGangBroken)
			}
		}
	}
}

func (w *world) waste(r *running) {
	w.wasted += r.fresh * r.step().Resources.CoreEquivalents()
}

// save returns the token of a task's progress; a gang's members share one.
func (w *world) save(r *running) string {
	k := r.task
	if r.step().Gang {
		k = r.gangKey()
	}
	token := fmt.Sprintf("%s@%d", k, r.run)
	w.tokens[token] = max(w.tokens[token], r.done/r.total)
	return token
}

// start begins a run; it reports whether the worker has room for it.
func (w *world) start(x *worker, task string, index, run int, q *request, token string) bool {
	if x.gone || run <= x.highest[task] {
		return false
	}
	free := workerRoom
	for _, r := range x.runs {
		free = free.Sub(r.step().Resources)
	}
	if !q.spec.Steps[0].Resources.FitsIn(free) {
		return false
	}
	r := &running{request: q, task: task, index: index, run: run, begun: w.now, total: q.seconds[index]}
	if token != "" {
		r.done = w.tokens[token]*r.total - restore.Seconds()
	}
	x.runs[task], x.highest[task] = r, run
	if _, known := w.begun[q.spec.ID]; !known {
		w.begun[q.spec.ID] = w.now
	}
	return true
}

func (w *world) stop(x *worker, task string, run int) {
	if r := x.runs[task]; r != nil && r.run == run && r.stops == 0 {
		r.stops = w.now + w.load.Stop/2
	}
	x.highest[task] = max(x.highest[task], run)
}
