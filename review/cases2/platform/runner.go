package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	runnerCPU          = 64_000
	runnerMemory       = 131_072
	runnerAccelerators = 8
	heartbeatInterval  = 1500 * time.Millisecond
	// maxLease, stopTime and gangTimeout are HoldMaxMs, at most StopMs, and GangMs of the site.
	maxLease    = 6 * time.Second
	stopTime    = 150 * time.Millisecond
	gangTimeout = 3 * time.Second
	// runnerClockBase is what a runner's clock shows when its life begins.
	runnerClockBase = 1_000_000
)

// runnerNames make the order of the runners' names differ from that of their racks, as with names
// drawn at random.
var runnerNames = []int{0x11, 0x33, 0x77, 0x22, 0x44, 0x88, 0x55, 0x99, 0xaa, 0xbb, 0xcc}

// runner is a stand-in of a runner: it keeps leases, fences and the rules of starts and stops,
// and refuses what does not fit.
type runner struct {
	world   *world
	machine int
	address string
	rack    string
	// control is where its heartbeats go.
	control string

	// mutex is that of all runners: the members of a gang start and end together.
	mutex    *sync.Mutex
	changed  chan struct{}
	life     int
	id       string
	born     time.Time
	down     bool
	sequence int
	fence    uint64
	// deadline is the end of the lease on the runner's clock.
	deadline int64
	running  map[string]*run
	highest  map[string]int
	finished [][]any
	lastEnd  int
}

// run is a run of a task.
type run struct {
	task      string
	number    int
	step      step
	spec      string
	startedAt time.Time
	// workingSince is when all members of a gang were there.
	workingSince time.Time
	stopAt       time.Time
}

func newRunner(w *world, machine int, address, control, rack string) *runner {
	r := &runner{world: w, machine: machine, address: address, control: control, rack: rack, mutex: &w.runnersMutex, changed: make(chan struct{})}
	r.begin()
	return r
}

// begin begins a life. The mutex is held, or nothing uses the runner yet.
func (r *runner) begin() {
	r.life++
	r.id = fmt.Sprintf("i-%d%x%02d", r.life, runnerNames[(r.machine-1)%len(runnerNames)], r.machine)
	r.born, r.down, r.fence, r.deadline, r.sequence, r.lastEnd = time.Now(), false, 0, 0, 0, 0
	r.running, r.highest, r.finished = map[string]*run{}, map[string]int{}, nil
}

func (r *runner) clock() int64 { return runnerClockBase + time.Since(r.born).Milliseconds() }

func (r *runner) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// crash ends the runner's life with all that runs there; the next one begins after a time.
func (r *runner) crash(dark time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.world.note("runner %s crashes for %s", r.id, dark)
	for _, x := range r.running {
		r.world.note("runner %s: %s run %d is gone with its runner", r.id, x.task, x.number)
	}
	r.down, r.running = true, map[string]*run{}
	r.notify()
	r.world.stopListening(r.address)
	time.AfterFunc(dark, func() {
		r.mutex.Lock()
		r.begin()
		r.world.note("runner %s begins in place of the former one, rack %s", r.id, r.rack)
		r.mutex.Unlock()
		if err := r.world.listen(r.address, r); err != nil {
			r.world.fail("runner does not listen again: %v", err)
		}
	})
}

type runnerCall struct {
	Task       string
	Run        int
	Spec       string
	DeadlineMs int64
	Fence      uint64
	AckCursor  int
	WaitMs     int64
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var in runnerCall
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.down {
		panic(http.ErrAbortHandler)
	}
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.update()
	if in.Fence < r.fence {
		r.refuse(w, "fence")
		return
	}
	r.fence = in.Fence
	switch q.URL.Path {
	case "/run-start":
		r.start(w, in)
	case "/run-stop":
		r.stop(w, in)
	case "/hold":
		r.hold(w, q, in)
	case "/pace":
		writeJSON(w, http.StatusOK, map[string]any{"ClockMs": r.clock()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"ClockMs": r.clock(), "Reason": reason})
}

// extend extends the lease, which is never shortened.
func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+maxLease.Milliseconds()))
}

func (r *runner) start(w http.ResponseWriter, in runnerCall) {
	if x := r.running[in.Task]; x != nil && x.number == in.Run {
		r.extend(in.DeadlineMs)
		writeJSON(w, http.StatusOK, map[string]any{"ClockMs": r.clock()})
		return
	}
	if in.Run <= r.highest[in.Task] {
		r.extend(in.DeadlineMs)
		r.refuse(w, "old")
		return
	}
	if r.clock() > in.DeadlineMs && r.clock() > r.deadline {
		r.refuse(w, "late")
		return
	}
	r.extend(in.DeadlineMs)
	s, known := r.world.stepOf(in.Task)
	if !known {
		r.world.violate("UNASKED: %s is started, which no caller sent", in.Task)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	cpu, memory, accelerators := s.Cpu, s.MemMb, s.Gpu
	for _, x := range r.running {
		cpu, memory, accelerators = cpu+x.step.Cpu, memory+x.step.MemMb, accelerators+x.step.Gpu
	}
	if cpu > runnerCPU || memory > runnerMemory || accelerators > runnerAccelerators {
		r.refuse(w, "room")
		return
	}
	x := &run{task: in.Task, number: in.Run, step: s, spec: in.Spec, startedAt: time.Now()}
	r.running[in.Task] = x
	r.world.started(r, x)
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": r.clock()})
}

func (r *runner) stop(w http.ResponseWriter, in runnerCall) {
	if x := r.running[in.Task]; x != nil && x.number == in.Run {
		if x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
		}
	} else {
		r.highest[in.Task] = max(r.highest[in.Task], in.Run)
	}
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": r.clock()})
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, in runnerCall) {
	if in.DeadlineMs > 0 {
		r.extend(in.DeadlineMs)
	}
	r.finished = slices.DeleteFunc(r.finished, func(e []any) bool { return e[0].(int) <= in.AckCursor })
	until := time.Now().Add(time.Duration(in.WaitMs) * time.Millisecond)
	for len(r.finished) == 0 && time.Now().Before(until) && !r.down {
		changed := r.changed
		r.mutex.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(until)):
		case <-q.Context().Done():
		}
		r.mutex.Lock()
	}
	if r.down {
		panic(http.ErrAbortHandler)
	}
	rows := [][]any{}
	for _, x := range r.running {
		rows = append(rows, []any{x.task, x.number, "", x.percent(), x.step.Cpu})
	}
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": r.clock(), "born": r.born.UnixMilli(), "Running": rows, "Finished": r.finished[:min(len(r.finished), 500)]})
}

// percent returns the progress of a run; a task that lasts is at work after a short startup.
func (x *run) percent() int {
	switch {
	case x.workingSince.IsZero():
		return 0
	case x.step.Daemon && time.Since(x.workingSince) > 300*time.Millisecond:
		return 100
	case x.step.Daemon:
		return 0
	}
	return min(99, int(100*time.Since(x.workingSince)/x.step.work))
}

// update ends the runs whose time has come. The mutex is held.
func (r *runner) update() {
	now := time.Now()
	for _, x := range r.running {
		switch {
		case r.clock() > r.deadline:
			r.end(x, "lapsed")
		case !x.stopAt.IsZero() && now.After(x.stopAt):
			r.end(x, "stopped")
		case x.workingSince.IsZero() && now.Sub(x.startedAt) > gangTimeout:
			r.end(x, "alone")
		case !x.workingSince.IsZero() && !x.step.Daemon && now.Sub(x.workingSince) >= x.step.work:
			r.end(x, "done")
		}
	}
}

// end lists the end of a run. The mutex is held.
func (r *runner) end(x *run, how string) {
	if r.running[x.task] != x {
		return
	}
	delete(r.running, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.number)
	r.lastEnd++
	r.finished = append(r.finished, []any{r.lastEnd, x.task, x.number, how, ""})
	r.world.note("runner %s: %s run %d ends %s", r.id, x.task, x.number, how)
	r.world.ended(x, how)
	r.notify()
}

// work updates the runner's runs until the world ends.
func (r *runner) work() {
	for r.world.sleep(20 * time.Millisecond) {
		r.mutex.Lock()
		if !r.down {
			r.update()
		}
		r.mutex.Unlock()
	}
}

// report sends heartbeats until the world ends.
func (r *runner) report() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		r.mutex.Lock()
		r.sequence++
		body := map[string]any{
			"Service": serviceName, "Addr": r.address, "Zone": zoneName, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
			"Capacity": map[string]int{"Cpu": runnerCPU, "MemMb": runnerMemory, "Gpu": runnerAccelerators}, "Labels": []string{"a", r.rack}, "ClockMs": r.clock(), "Seq": r.sequence, "born": r.born.UnixMilli(),
		}
		id, down := r.id, r.down
		r.mutex.Unlock()
		if !down {
			b, err := json.Marshal(body)
			if err != nil {
				panic(err)
			}
			if resp, err := client.Post("http://"+r.control+"/Instances.Heartbeat/"+id, "application/json", bytes.NewReader(b)); err == nil {
				_ = resp.Body.Close()
			}
		}
		if !r.world.sleep(heartbeatInterval) {
			return
		}
	}
}

// runningTasks returns the tasks on the runner.
func (r *runner) runningTasks() []*run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var all []*run
	for _, x := range r.running {
		all = append(all, x)
	}
	return all
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
