package jaystandin

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// Program is the input that the stand-ins understand: how long to run and what
// to answer. Any other payload runs for no time and is echoed.
type Program struct {
	Millis int64  `json:"standin_ms"`
	Answer string `json:"answer"`
	Fail   bool   `json:"fail"`
	// Uses is how many accelerators the task really uses; zero means as many as
	// it holds. Throttling brings it down unless the task is stubborn.
	UsedAccelerators int  `json:"uses"`
	IgnoresThrottle  bool `json:"stubborn"`
}

func programOf(payload []byte) Program {
	p := Program{}
	if json.Unmarshal(payload, &p) != nil || p.Answer == "" {
		p.Answer = string(payload)
	}
	return p
}

// WorkerFaults scripts how a worker misbehaves.
type WorkerFaults struct {
	// FailAll fails every task at its start.
	FailAll bool
	// Delay is added to every request.
	Delay time.Duration
}

// taskState is where a worker's task stands.
type taskState string

// The states of a task as the worker's interface names them.
const (
	taskPrepared taskState = "prepared"
	taskRunning  taskState = "running"
	taskDone     taskState = "done"
	taskFailed   taskState = "failed"
	taskStopped  taskState = "stopped"
	taskLapsed   taskState = "lapsed"
)

type task struct {
	id           string
	token        uint64
	job          string
	accelerators int
	program      Program
	state        taskState
	started      time.Time
	leaseEnd     time.Time
	done         time.Duration
	share        float64
	revision     uint64
	result       string
	timer        *time.Timer
}

// uses is what the worker reports of the task's use.
func (t *task) uses() int {
	if t.state != taskRunning || t.program.UsedAccelerators == 0 || (t.share < 1 && !t.program.IgnoresThrottle) {
		return t.accelerators
	}
	return t.program.UsedAccelerators
}

// Run is one entry of a worker's or runner's own record of what it ran.
type Run struct {
	Job     string
	Attempt string
	// Answer is what the run's program answers; it names the caller's request.
	Answer string
	Begin  time.Time
	End    time.Time
	State  string
}

// Worker is a worker's stand-in: it runs tasks under leases and stops those
// whose lease lapses.
type Worker struct {
	Accelerators int

	mutex    sync.Mutex
	tasks    map[string]*task
	revision uint64
	changed  chan struct{}
	faults   WorkerFaults
	runs     []Run
}

// NewWorker returns a worker that runs nothing.
func NewWorker(accelerators int) *Worker {
	return &Worker{Accelerators: accelerators, tasks: map[string]*task{}, changed: make(chan struct{})}
}

// SetFaults changes how the worker misbehaves from now on.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = f
}

// Runs returns the worker's own record of what it ran.
func (w *Worker) Runs() []Run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]Run(nil), w.runs...)
}

// States lists the states of the worker's tasks, separated by blanks.
func (w *Worker) TaskStates() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var states []string
	for _, t := range w.tasks {
		states = append(states, string(t.state))
	}
	return strings.Join(states, " ")
}

func (w *Worker) faultsNow() WorkerFaults {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.faults
}

func (w *Worker) touch(t *task) {
	w.revision++
	t.revision = w.revision
	close(w.changed)
	w.changed = make(chan struct{})
}

type taskBody struct {
	Task         string `json:"task"`
	Job          string `json:"job"`
	Token        uint64 `json:"token"`
	TTLMillis    int64  `json:"ttl_ms"`
	Accelerators int    `json:"accelerators"`
	Payload      []byte `json:"payload"`
	Checkpoint   []byte `json:"checkpoint"`
	Start        bool   `json:"start"`
}

func (w *Worker) handleCreate(c *fiber.Ctx) error {
	var b taskBody
	if err := c.BodyParser(&b); err != nil || b.Task == "" {
		return fiber.ErrBadRequest
	}
	f := w.faultsNow()
	time.Sleep(f.Delay)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.tasks[b.Task] != nil {
		return c.SendStatus(fiber.StatusOK)
	}
	used := 0
	for _, t := range w.tasks {
		if t.state == taskRunning || t.state == taskPrepared {
			used += t.accelerators
		}
	}
	if used+b.Accelerators > w.Accelerators {
		return fiber.NewError(fiber.StatusConflict, "accelerators are in use")
	}
	if f.FailAll {
		return fiber.NewError(fiber.StatusInternalServerError, "worker cannot load the task")
	}
	t := &task{id: b.Task, token: b.Token, job: b.Job, accelerators: b.Accelerators, program: programOf(b.Payload), state: taskPrepared, share: 1}
	var saved struct {
		DoneMillis int64 `json:"done_ms"`
	}
	if json.Unmarshal(b.Checkpoint, &saved) == nil {
		t.done = time.Duration(saved.DoneMillis) * time.Millisecond
	}
	w.tasks[b.Task] = t
	w.renew(t, time.Duration(b.TTLMillis)*time.Millisecond)
	w.touch(t)
	if b.Start {
		w.start(t)
	}
	return c.SendStatus(fiber.StatusCreated)
}

// renew extends the lease and sets the timer that ends the task with it.
func (w *Worker) renew(t *task, ttl time.Duration) {
	t.leaseEnd = time.Now().Add(ttl)
	w.schedule(t)
}

func (w *Worker) schedule(t *task) {
	if t.timer != nil {
		t.timer.Stop()
	}
	next := time.Until(t.leaseEnd)
	if t.state == taskRunning {
		next = min(next, w.remaining(t))
	}
	t.timer = time.AfterFunc(next, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.expire(t)
	})
}

func (w *Worker) remaining(t *task) time.Duration {
	whole := time.Duration(t.program.Millis) * time.Millisecond
	return time.Duration(float64(whole-t.done)/t.share) - time.Since(t.started)
}

func (w *Worker) expire(t *task) {
	switch {
	case t.state != taskRunning && t.state != taskPrepared:
	case !time.Now().Before(t.leaseEnd):
		w.end(t, taskLapsed)
	case t.state == taskRunning && w.remaining(t) <= 0 && t.program.Fail:
		w.end(t, taskFailed)
	case t.state == taskRunning && w.remaining(t) <= 0:
		t.result = t.program.Answer
		w.end(t, taskDone)
	default:
		w.schedule(t)
	}
}

func (w *Worker) start(t *task) {
	if t.state != taskPrepared {
		return
	}
	t.state = taskRunning
	t.started = time.Now()
	w.touch(t)
	w.schedule(t)
}

func (w *Worker) end(t *task, s taskState) {
	if t.state == taskRunning {
		w.runs = append(w.runs, Run{Job: t.job, Attempt: t.id, Answer: t.program.Answer, Begin: t.started, End: time.Now(), State: string(s)})
		t.done += time.Duration(float64(time.Since(t.started)) * t.share)
	}
	t.state = s
	t.timer.Stop()
	w.touch(t)
}

// withTask finds the task of the path under the mutex.
func (w *Worker) withTask(f func(c *fiber.Ctx, t *task) error) fiber.Handler {
	return func(c *fiber.Ctx) error {
		time.Sleep(w.faultsNow().Delay)
		w.mutex.Lock()
		defer w.mutex.Unlock()
		t := w.tasks[c.Params("task")]
		if t == nil {
			return fiber.ErrNotFound
		}
		return f(c, t)
	}
}

func (w *Worker) handleStart(c *fiber.Ctx, t *task) error {
	if t.state != taskPrepared && t.state != taskRunning && t.state != taskDone {
		return fiber.NewError(fiber.StatusConflict, "task has ended")
	}
	w.start(t)
	return c.SendStatus(fiber.StatusNoContent)
}

func (w *Worker) handleCheckpoint(c *fiber.Ctx, t *task) error {
	done := t.done
	if t.state == taskRunning {
		done += time.Duration(float64(time.Since(t.started)) * t.share)
	}
	saved, err := json.Marshal(fiber.Map{"done_ms": done.Milliseconds()})
	if err != nil {
		return fiber.ErrInternalServerError
	}
	return c.JSON(fiber.Map{"checkpoint": saved, "done_ms": done.Milliseconds()})
}

func (w *Worker) handleThrottle(c *fiber.Ctx, t *task) error {
	var b struct {
		Share float64 `json:"share"`
	}
	if err := c.BodyParser(&b); err != nil || b.Share <= 0 || b.Share > 1 {
		return fiber.ErrBadRequest
	}
	if t.state == taskRunning {
		t.done += time.Duration(float64(time.Since(t.started)) * t.share)
		t.started = time.Now()
	}
	t.share = b.Share
	w.touch(t)
	if t.state == taskRunning {
		w.schedule(t)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (w *Worker) handleStop(c *fiber.Ctx, t *task) error {
	if t.state == taskRunning || t.state == taskPrepared {
		w.end(t, taskStopped)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (w *Worker) handleForget(c *fiber.Ctx, t *task) error {
	if t.state == taskRunning || t.state == taskPrepared {
		w.end(t, taskStopped)
	}
	delete(w.tasks, t.id)
	return c.SendStatus(fiber.StatusNoContent)
}

func (w *Worker) handleRenew(c *fiber.Ctx) error {
	var b struct {
		TTLMillis int64    `json:"ttl_ms"`
		Tasks     []string `json:"tasks"`
	}
	if err := c.BodyParser(&b); err != nil {
		return fiber.ErrBadRequest
	}
	time.Sleep(w.faultsNow().Delay)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, id := range b.Tasks {
		if t := w.tasks[id]; t != nil && (t.state == taskRunning || t.state == taskPrepared) {
			w.renew(t, time.Duration(b.TTLMillis)*time.Millisecond)
		}
	}
	return c.SendStatus(fiber.StatusNoContent)
}

type taskStatus struct {
	Task         string    `json:"task"`
	Job          string    `json:"job"`
	Token        uint64    `json:"token"`
	State        taskState `json:"state"`
	Accelerators int       `json:"accelerators"`
	Result       []byte    `json:"result,omitempty"`
	DoneMillis   int64     `json:"done_ms"`
	Revision     uint64    `json:"revision"`
}

func (w *Worker) handleList(c *fiber.Ctx) error {
	since := uint64(max(c.QueryInt("since"), 0))
	deadline := time.NewTimer(time.Duration(c.QueryInt("wait_ms")) * time.Millisecond)
	defer deadline.Stop()
	for {
		w.mutex.Lock()
		statuses := []taskStatus{}
		for _, t := range w.tasks {
			if t.revision > since {
				statuses = append(statuses, taskStatus{Task: t.id, Job: t.job, Token: t.token, State: t.state, Accelerators: t.uses(), Result: []byte(t.result), DoneMillis: t.done.Milliseconds(), Revision: t.revision})
			}
		}
		revision, changed := w.revision, w.changed
		w.mutex.Unlock()
		if len(statuses) > 0 {
			return c.JSON(fiber.Map{"revision": revision, "tasks": statuses})
		}
		select {
		case <-changed:
		case <-deadline.C:
			return c.JSON(fiber.Map{"revision": revision, "tasks": statuses})
		}
	}
}

func (w *Worker) handleInventory(c *fiber.Ctx) error {
	return c.JSON(fiber.Map{"accelerators": w.Accelerators})
}

// App returns the worker's HTTP interface.
func (w *Worker) App() *fiber.App {
	app := newApp()
	app.Get("/v1/worker", w.handleInventory)
	app.Get("/v1/tasks", w.handleList)
	app.Post("/v1/tasks", w.handleCreate)
	app.Post("/v1/leases", w.handleRenew)
	app.Post("/v1/tasks/:task/start", w.withTask(w.handleStart))
	app.Post("/v1/tasks/:task/checkpoint", w.withTask(w.handleCheckpoint))
	app.Post("/v1/tasks/:task/throttle", w.withTask(w.handleThrottle))
	app.Post("/v1/tasks/:task/stop", w.withTask(w.handleStop))
	app.Delete("/v1/tasks/:task", w.withTask(w.handleForget))
	return app
}
