package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is HeartbeatMs, maxLease HoldMaxMs of the deployment.
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = 10 * time.Second
	// workStep is how often the work of a runner goes on.
	workStep = 10 * time.Millisecond
	// maxListedEnds is how many ends a listing has at most.
	maxListedEnds = 500
	// saveInterval is SaveS of the deployment.
	saveInterval = 500 * time.Millisecond
	// deadlySpec marks the subtasks that crash their runners deadlyAfter after their start; the
	// runner is back after crashPause.
	deadlySpec  = "deadly"
	deadlyAfter = 1200 * time.Millisecond
	crashPause  = 2 * time.Second
)

// run is a subtask that a runner has started.
type run struct {
	task      string
	number    int
	startedAt time.Time
	// resumed is the work that the run has from Saved.
	resumed time.Duration
	deadly  bool
}

// worked returns the work of the run so far, with what it has resumed.
func (x *run) worked() time.Duration { return x.resumed + time.Since(x.startedAt) }

// saved returns the run's saved work as a string, empty if there is none.
func (x *run) saved() string {
	steps := x.resumed/saveInterval + time.Since(x.startedAt)/saveInterval
	if steps == 0 {
		return ""
	}
	return strconv.FormatInt(int64(steps), 10)
}

// end is a row of a runner's list of ends.
type end struct {
	number int
	task   string
	run    int
	how    string
}

// runner is a stand-in for a runner: a sound one, whose subtasks all end as done.
type runner struct {
	id      string
	address string
	// workTime returns how long a subtask works.
	workTime time.Duration
	record   *journal
	// kind is the first of its labels.
	kind string
	// saves is set if all subtasks save their progress.
	saves bool
	// close stops listening and closes all connections; listen listens again.
	close  func()
	listen func() error
	// hidesBorn leaves born out of all that the runner says.
	hidesBorn bool

	mutex     sync.Mutex
	changed   *sync.Cond
	born      time.Time
	silent    bool
	fence     uint64
	deadline  int64
	running   map[string]*run
	highest   map[string]int
	ends      []end
	lastEnd   int
	heartbeat uint64
}

func newRunner(id string, workTime time.Duration, record *journal) *runner {
	r := &runner{id: id, workTime: workTime, record: record, kind: "a", born: time.Now(), running: map[string]*run{}, highest: map[string]int{}}
	r.changed = sync.NewCond(&r.mutex)
	return r
}

// clock returns the runner's clock in milliseconds.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// restartSilently ends the runner's life without a word. It answers nothing for a while, and is
// back under its id, where it knows nothing of before.
func (r *runner) restartSilently(pause time.Duration) {
	r.mutex.Lock()
	for _, x := range r.running {
		r.record.ended(r.id, x.task, x.number, "gone")
	}
	r.silent, r.running = true, map[string]*run{}
	r.changed.Broadcast()
	r.mutex.Unlock()
	time.Sleep(pause)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.born, r.silent, r.fence, r.deadline, r.highest, r.ends, r.lastEnd, r.heartbeat = time.Now(), false, 0, 0, map[string]int{}, nil, 0, 0
}

// crash ends the runner's life: nothing listens at its address until it is back.
func (r *runner) crash() {
	r.close()
	r.restartSilently(crashPause)
	if err := r.listen(); err != nil {
		r.record.add("%s cannot listen again: %v", r.id, err)
	}
}

// isSilent reports whether the runner answers nothing.
func (r *runner) isSilent() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.silent
}

// withBorn adds born to what the runner says.
func (r *runner) withBorn(body map[string]any) map[string]any {
	if !r.hidesBorn {
		body["born"] = r.born.UnixMilli()
	}
	return body
}

// work ends the subtasks that are done or whose lease has expired, until done is closed.
func (r *runner) work(done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(workStep):
		}
		r.mutex.Lock()
		lapsed := r.clock() > r.deadline
		for _, x := range r.running {
			if x.deadly && !lapsed && time.Since(x.startedAt) >= deadlyAfter {
				r.record.crashed(r.id, x.task, x.number)
				r.mutex.Unlock()
				r.crash()
				r.mutex.Lock()
				break
			}
			switch {
			case lapsed:
				r.finish(x, "lapsed")
			case x.worked() >= r.workTime:
				r.finish(x, "done")
			}
		}
		r.mutex.Unlock()
	}
}

// finish ends a run. The mutex is held.
func (r *runner) finish(x *run, how string) {
	delete(r.running, x.task)
	r.lastEnd++
	r.ends = append(r.ends, end{r.lastEnd, x.task, x.number, how})
	r.record.ended(r.id, x.task, x.number, how)
	r.changed.Broadcast()
}

// sendHeartbeats reports to the control address of the side until done is closed.
func (r *runner) sendHeartbeats(control string, done <-chan struct{}) {
	for {
		if !r.isSilent() {
			r.sendHeartbeat(control, r.report())
		}
		select {
		case <-done:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// report returns the next status report.
func (r *runner) report() map[string]any {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.heartbeat++
	return r.withBorn(map[string]any{
		"Service": "ordrevagt", "Addr": r.address, "Zone": "fryserum-a", "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": map[string]int{"Cpu": 64000, "MemMb": 131072, "Gpu": 8}, "Labels": []string{r.kind, "r1-1"}, "ClockMs": r.clock(), "Seq": r.heartbeat,
	})
}

// sendHeartbeat sends a status report and returns the status of the answer, zero without one.
func (r *runner) sendHeartbeat(control string, report any) int {
	b, err := json.Marshal(report)
	if err != nil {
		panic(err)
	}
	client := http.Client{Timeout: time.Second}
	response, err := client.Post("http://"+control+"/Instances.Heartbeat/"+r.id, "application/json", bytes.NewReader(b))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// order is the body of a call to a runner.
type order struct {
	Task       string
	Run        int
	Spec       string
	DeadlineMs int64
	Fence      uint64
	AckCursor  int
	WaitMs     int64
	Saved      string
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for r.isSilent() {
		time.Sleep(workStep)
		if r.isSilent() {
			continue
		}
		// The call has waited for a life that has ended.
		panic(http.ErrAbortHandler)
	}
	if q.Header.Get("Expect-Instance") != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if o.Fence < r.fence {
		r.answer(w, http.StatusConflict, "fence")
		return
	}
	r.fence = o.Fence
	switch q.URL.Path {
	case "/run-start":
		r.start(w, o)
	case "/run-stop":
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if x := r.running[o.Task]; x != nil && x.number <= o.Run {
			r.finish(x, "stopped")
		}
		r.answer(w, http.StatusOK, "")
	case "/pace":
		r.answer(w, http.StatusOK, "")
	case "/hold":
		r.hold(w, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) answer(w http.ResponseWriter, status int, reason string) {
	body := r.withBorn(map[string]any{"ClockMs": r.clock()})
	if reason != "" {
		body["Reason"] = reason
	}
	reply(w, status, body)
}

// extend extends the lease, which never shortens.
func (r *runner) extend(deadline int64) {
	r.deadline = max(r.deadline, min(deadline, r.clock()+maxLease.Milliseconds()))
}

func (r *runner) start(w http.ResponseWriter, o order) {
	x := r.running[o.Task]
	switch {
	case x != nil && x.number == o.Run:
		r.answer(w, http.StatusOK, "")
	case o.Run <= r.highest[o.Task] || x != nil:
		r.extend(o.DeadlineMs)
		r.answer(w, http.StatusConflict, "old")
	case r.clock() > o.DeadlineMs:
		r.answer(w, http.StatusConflict, "late")
	default:
		r.extend(o.DeadlineMs)
		steps, _ := strconv.ParseInt(o.Saved, 10, 64)
		r.running[o.Task] = &run{task: o.Task, number: o.Run, startedAt: time.Now(), resumed: time.Duration(steps) * saveInterval, deadly: o.Spec == deadlySpec}
		r.highest[o.Task] = o.Run
		r.record.started(r.id, o.Task, o.Run, o.Fence)
		r.changed.Broadcast()
		r.answer(w, http.StatusOK, "")
	}
}

func (r *runner) hold(w http.ResponseWriter, o order) {
	if o.DeadlineMs > 0 {
		r.extend(o.DeadlineMs)
	}
	kept := r.ends[:0:0]
	for _, e := range r.ends {
		if e.number <= o.AckCursor {
			r.record.acknowledged(r.id, e)
			continue
		}
		kept = append(kept, e)
	}
	r.ends = kept
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	stop := time.AfterFunc(time.Until(deadline), r.changed.Broadcast)
	defer stop.Stop()
	for len(r.ends) == 0 && time.Now().Before(deadline) && !r.silent {
		r.changed.Wait()
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range r.running {
		saved := ""
		if r.saves {
			saved = x.saved()
		}
		running = append(running, []any{x.task, x.number, saved, min(99, 100*x.worked()/r.workTime), 0})
	}
	sort.Slice(running, func(i, j int) bool { return strings.Compare(fmt.Sprint(running[i]...), fmt.Sprint(running[j]...)) < 0 })
	for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	if r.silent {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, r.withBorn(map[string]any{"ClockMs": r.clock(), "Running": running, "Finished": finished}))
}
