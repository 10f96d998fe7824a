package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	holdMax           = 10 * time.Second
	stopDelay         = 50 * time.Millisecond
	listedEnds        = 500
)

// amount is what a subtask needs or a runner has.
type amount struct{ Cpu, MemMb, Gpu int }

// work is what the stand-in knows of a subtask: what it needs, for how long it runs, zero for one that
// lasts.
type work struct {
	need amount
	runs time.Duration
}

// run is a run on a runner.
type run struct {
	task  string
	run   int
	since time.Time
	work  work
	// stopAt is set once the run is told to stop.
	stopAt time.Time
}

type end struct {
	number int
	task   string
	run    int
	how    string
}

// runner is a stand-in of a runner that serves orders by call.
type runner struct {
	id, address, control, zone, service, rack string
	record                                    *record
	// workOf returns what is known of a subtask.
	workOf func(task string) (work, bool)

	mutex    sync.Mutex
	began    time.Time
	fence    uint64
	deadline time.Duration
	running  map[string]*run
	finished []end
	highest  map[string]int
	ends     int
	sequence int
	changed  chan struct{}
	// down is set while the runner has crashed.
	down bool
}

func newRunner(id, address, control, zone, service, rack string, rec *record, workOf func(string) (work, bool)) *runner {
	return &runner{id: id, address: address, control: control, zone: zone, service: service, rack: rack, record: rec, workOf: workOf, began: time.Now(), running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{})}
}

var capacity = amount{Cpu: 64000, MemMb: 131072, Gpu: 8}

func (r *runner) clock() time.Duration { return time.Since(r.began) + time.Minute }

// used returns what the runs need. The mutex is held.
func (r *runner) used() amount {
	var a amount
	for _, x := range r.running {
		a.Cpu, a.MemMb, a.Gpu = a.Cpu+x.work.need.Cpu, a.MemMb+x.work.need.MemMb, a.Gpu+x.work.need.Gpu
	}
	return a
}

// finish ends a run. The mutex is held.
func (r *runner) finish(x *run, how string) {
	delete(r.running, x.task)
	r.ends++
	r.finished = append(r.finished, end{number: r.ends, task: x.task, run: x.run, how: how})
	r.highest[x.task] = max(r.highest[x.task], x.run)
	r.record.add("runner %s: run %s %d ends %s after %s", r.id, x.task, x.run, how, time.Since(x.since).Round(time.Millisecond))
	r.record.ended(x.task, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

// update ends the runs whose time has come. The mutex is held.
func (r *runner) update() {
	now := time.Now()
	var all []*run
	for _, x := range r.running {
		all = append(all, x)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].task < all[j].task })
	for _, x := range all {
		switch {
		case !x.stopAt.IsZero() && now.After(x.stopAt):
			r.finish(x, "stopped")
		case x.work.runs > 0 && now.Sub(x.since) >= x.work.runs:
			r.finish(x, "done")
		case r.clock() > r.deadline:
			r.finish(x, "lapsed")
		}
	}
}

// supervise ends runs in time and reports the runner until done is closed.
func (r *runner) supervise(done <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	next := time.Now()
	for {
		select {
		case <-done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		r.mutex.Lock()
		r.update()
		down, began := r.down, r.began
		r.mutex.Unlock()
		if down || time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(heartbeatInterval)
		r.sequence++
		b, err := json.Marshal(map[string]any{"Service": r.service, "Addr": r.address, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0, "Capacity": capacity, "Labels": []string{"a", r.rack}, "ClockMs": r.clock().Milliseconds(), "Seq": r.sequence, "born": began.UnixMilli()})
		if err != nil {
			panic(err)
		}
		go func() {
			a, err := client.Post("http://"+r.control+"/Instances.Heartbeat/"+r.id, "application/json", bytes.NewReader(b))
			if err == nil {
				_ = a.Body.Close()
			}
		}()
	}
}

// crash ends the runner's life and returns how many runs that has ended. Nothing listens meanwhile.
func (r *runner) crash() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	n := len(r.running)
	for task := range r.running {
		r.record.ended(task, "crashed")
	}
	r.down, r.running, r.finished, r.highest, r.ends, r.fence, r.deadline = true, map[string]*run{}, nil, map[string]int{}, 0, 0, 0
	close(r.changed)
	r.changed = make(chan struct{})
	return n
}

// restart begins a new life under the same name.
func (r *runner) restart() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.down, r.began, r.sequence = false, time.Now(), 0
}

type call struct {
	Task       string
	Run        int
	Spec       string
	DeadlineMs int64
	Fence      uint64
	Saved      string
	AckCursor  int
	WaitMs     int
	Percent    int
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if id := q.Header.Get("Expect-Instance"); id != "" && id != r.id {
		answer(w, 421, struct{}{})
		return
	}
	var c call
	if json.NewDecoder(q.Body).Decode(&c) != nil {
		answer(w, 400, struct{}{})
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.update()
	reason := ""
	if c.Fence < r.fence {
		reason = "fence"
	}
	r.fence = max(r.fence, c.Fence)
	switch q.URL.Path {
	case "/run-start":
		if reason == "" {
			reason = r.start(&c)
		}
		r.record.add("runner %s: start %s %d fence %d: %s", r.id, c.Task, c.Run, c.Fence, or(reason, "begun"))
	case "/run-stop":
		if x := r.running[c.Task]; reason == "" && x != nil && x.run == c.Run && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopDelay)
		}
		if reason == "" {
			r.highest[c.Task] = max(r.highest[c.Task], c.Run)
		}
	case "/hold":
		r.hold(w, &c, reason == "")
		return
	case "/pace":
	default:
		answer(w, 404, struct{}{})
		return
	}
	body := map[string]any{"ClockMs": r.clock().Milliseconds(), "born": r.began.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
		answer(w, 409, body)
		return
	}
	answer(w, 200, body)
}

func or(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// extend extends the lease. The mutex is held.
func (r *runner) extend(ms int64) {
	d := min(time.Duration(ms)*time.Millisecond, r.clock()+holdMax)
	r.deadline = max(r.deadline, d)
}

// start begins a run and returns why not. The mutex is held.
func (r *runner) start(c *call) string {
	if x := r.running[c.Task]; x != nil && x.run == c.Run {
		return ""
	}
	if c.Run <= r.highest[c.Task] || r.running[c.Task] != nil {
		r.extend(c.DeadlineMs)
		return "old"
	}
	if time.Duration(c.DeadlineMs)*time.Millisecond <= r.clock() {
		return "late"
	}
	k, known := r.workOf(c.Task)
	if !known {
		r.record.violate("UNASKED", fmt.Sprintf("runner %s was told to start %s, which nobody sent", r.id, c.Task))
		return "room"
	}
	r.extend(c.DeadlineMs)
	u := r.used()
	if u.Cpu+k.need.Cpu > capacity.Cpu || u.MemMb+k.need.MemMb > capacity.MemMb || u.Gpu+k.need.Gpu > capacity.Gpu {
		return "room"
	}
	r.running[c.Task] = &run{task: c.Task, run: c.Run, since: time.Now(), work: k}
	r.record.started(c.Task)
	r.record.beganWith(c.Task[:strings.Index(c.Task, ".")], c.Spec)
	close(r.changed)
	r.changed = make(chan struct{})
	return ""
}

// hold answers a call for the lists. The mutex is held, but not while it waits.
func (r *runner) hold(w http.ResponseWriter, c *call, current bool) {
	if current {
		if c.DeadlineMs > 0 {
			r.extend(c.DeadlineMs)
		}
		kept := r.finished[:0]
		for _, e := range r.finished {
			if e.number > c.AckCursor {
				kept = append(kept, e)
			} else {
				r.record.noted(e.task, e.how)
			}
		}
		r.finished = kept
	}
	if c.WaitMs > 0 && len(r.finished) == 0 {
		deadline := time.Now().Add(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
		for len(r.finished) == 0 && time.Now().Before(deadline) {
			changed := r.changed
			r.mutex.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(deadline)):
			}
			r.mutex.Lock()
		}
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range r.running {
		percent := 100
		if x.work.runs > 0 {
			percent = int(math.Min(99, 100*time.Since(x.since).Seconds()/x.work.runs.Seconds()))
		}
		running = append(running, []any{x.task, x.run, "", percent, 0})
	}
	sort.Slice(running, func(i, j int) bool { return strings.Compare(running[i][0].(string), running[j][0].(string)) < 0 })
	for _, e := range r.finished[:min(len(r.finished), listedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(w, 200, map[string]any{"ClockMs": r.clock().Milliseconds(), "Running": running, "Finished": finished, "born": r.began.UnixMilli()})
}

// runs returns how many runs the runner has.
func (r *runner) runs() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.running)
}
