package jaystandin

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// Program is a payload that simulated workers and runners interpret: how long to run
// and what to answer. Any other payload ends at once and is echoed.
type Program struct {
	Millis int64  `json:"standin_ms"`
	Answer string `json:"answer"`
	Fail   bool   `json:"fail"`
	// UsedAccelerators is how many accelerators the task really uses; zero means
	// as many as it reserved, to which throttling reduces it unless
	// IgnoresThrottle is set.
	UsedAccelerators int  `json:"uses"`
	IgnoresThrottle  bool `json:"stubborn"`
}

func parseProgram(payload []byte) Program {
	p := Program{}
	if json.Unmarshal(payload, &p) != nil || p.Answer == "" {
		p.Answer = string(payload)
	}
	return p
}

// WorkerFaults are the faults of a worker.
type WorkerFaults struct {
	// FailAll rejects every new task.
	FailAll bool
	// Delay is added to every request.
	Delay time.Duration
}

// taskState is the state of a worker's task.
type taskState string

// The states of a task, as in the worker's HTTP interface.
const (
	taskPrepared     taskState = "prepared"
	taskRunning      taskState = "running"
	taskDone         taskState = "done"
	taskFailed       taskState = "failed"
	taskStopped      taskState = "stopped"
	taskLeaseExpired taskState = "lapsed"
)

type task struct {
	id           string
	token        uint64
	job          string
	accelerators int
	program      Program
	state        taskState
	// started is when the task started or its share last changed.
	started  time.Time
	leaseEnd time.Time
	// progress is the run time at full speed that was done before started.
	progress time.Duration
	// share is the speed of a throttled task, 1 without throttling.
	share    float64
	revision uint64
	result   string
	timer    *time.Timer
}

// reportedAccelerators is the number of accelerators that the worker reports as used
// by the task.
func (t *task) reportedAccelerators() int {
	if t.state != taskRunning || t.program.UsedAccelerators == 0 || (t.share < 1 && !t.program.IgnoresThrottle) {
		return t.accelerators
	}
	return t.program.UsedAccelerators
}

// Run records one task or request that a worker or runner ran.
type Run struct {
	Job     string
	Attempt string
	// Answer is the answer of the program, which identifies the caller's request.
	Answer string
	Begin  time.Time
	End    time.Time
	State  string
}

// Worker is a simulated worker that runs tasks under leases and ends those whose
// lease expires.
type Worker struct {
	Accelerators int

	mutex    sync.Mutex
	tasks    map[string]*task
	revision uint64
	changed  chan struct{}
	faults   WorkerFaults
	runs     []Run
}

// NewWorker returns a worker without tasks.
func NewWorker(accelerators int) *Worker {
	return &Worker{Accelerators: accelerators, tasks: map[string]*task{}, changed: make(chan struct{})}
}

// SetFaults replaces the worker's faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.faults = f
}

// Runs returns a copy of the records of the tasks that ended after they ran.
func (w *Worker) Runs() []Run {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return append([]Run(nil), w.runs...)
}

// TaskStates lists the states of the worker's tasks, separated by spaces.
func (w *Worker) TaskStates() string {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	var states []string
	for _, t := range w.tasks {
		states = append(states, string(t.state))
	}
	return strings.Join(states, " ")
}

func (w *Worker) currentFaults() WorkerFaults {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.faults
}

func (w *Worker) markChanged(t *task) {
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
	f := w.currentFaults()
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
	t := &task{id: b.Task, token: b.Token, job: b.Job, accelerators: b.Accelerators, program: parseProgram(b.Payload), state: taskPrepared, share: 1}
	var checkpoint struct {
		DoneMillis int64 `json:"done_ms"`
	}
	if json.Unmarshal(b.Checkpoint, &checkpoint) == nil {
		t.progress = time.Duration(checkpoint.DoneMillis) * time.Millisecond
	}
	w.tasks[b.Task] = t
	w.renewLease(t, time.Duration(b.TTLMillis)*time.Millisecond)
	w.markChanged(t)
	if b.Start {
		w.startTask(t)
	}
	return c.SendStatus(fiber.StatusCreated)
}

// renewLease extends the task's lease. The caller holds the mutex.
func (w *Worker) renewLease(t *task, ttl time.Duration) {
	t.leaseEnd = time.Now().Add(ttl)
	w.resetTimer(t)
}

// resetTimer sets the timer to the end of the lease or of the task, whichever comes
// first.
func (w *Worker) resetTimer(t *task) {
	if t.timer != nil {
		t.timer.Stop()
	}
	next := time.Until(t.leaseEnd)
	if t.state == taskRunning {
		next = min(next, w.remainingTime(t))
	}
	t.timer = time.AfterFunc(next, func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		w.handleTimer(t)
	})
}

func (w *Worker) remainingTime(t *task) time.Duration {
	total := time.Duration(t.program.Millis) * time.Millisecond
	return time.Duration(float64(total-t.progress)/t.share) - time.Since(t.started)
}

func (w *Worker) handleTimer(t *task) {
	switch {
	case t.state != taskRunning && t.state != taskPrepared:
	case !time.Now().Before(t.leaseEnd):
		w.endTask(t, taskLeaseExpired)
	case t.state == taskRunning && w.remainingTime(t) <= 0 && t.program.Fail:
		w.endTask(t, taskFailed)
	case t.state == taskRunning && w.remainingTime(t) <= 0:
		t.result = t.program.Answer
		w.endTask(t, taskDone)
	default:
		w.resetTimer(t)
	}
}

func (w *Worker) startTask(t *task) {
	if t.state != taskPrepared {
		return
	}
	t.state = taskRunning
	t.started = time.Now()
	w.markChanged(t)
	w.resetTimer(t)
}

func (w *Worker) endTask(t *task, s taskState) {
	if t.state == taskRunning {
		w.runs = append(w.runs, Run{Job: t.job, Attempt: t.id, Answer: t.program.Answer, Begin: t.started, End: time.Now(), State: string(s)})
		t.progress += time.Duration(float64(time.Since(t.started)) * t.share)
	}
	t.state = s
	t.timer.Stop()
	w.markChanged(t)
}

// withTask calls f with the task in the path, under the mutex.
func (w *Worker) withTask(f func(c *fiber.Ctx, t *task) error) fiber.Handler {
	return func(c *fiber.Ctx) error {
		time.Sleep(w.currentFaults().Delay)
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
	w.startTask(t)
	return c.SendStatus(fiber.StatusNoContent)
}

func (w *Worker) handleCheckpoint(c *fiber.Ctx, t *task) error {
	progress := t.progress
	if t.state == taskRunning {
		progress += time.Duration(float64(time.Since(t.started)) * t.share)
	}
	checkpoint, err := json.Marshal(fiber.Map{"done_ms": progress.Milliseconds()})
	if err != nil {
		return fiber.ErrInternalServerError
	}
	return c.JSON(fiber.Map{"checkpoint": checkpoint, "done_ms": progress.Milliseconds()})
}

func (w *Worker) handleThrottle(c *fiber.Ctx, t *task) error {
	var b struct {
		Share float64 `json:"share"`
	}
	if err := c.BodyParser(&b); err != nil || b.Share <= 0 || b.Share > 1 {
		return fiber.ErrBadRequest
	}
	if t.state == taskRunning {
		t.progress += time.Duration(float64(time.Since(t.started)) * t.share)
		t.started = time.Now()
	}
	t.share = b.Share
	w.markChanged(t)
	if t.state == taskRunning {
		w.resetTimer(t)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (w *Worker) handleStop(c *fiber.Ctx, t *task) error {
	if t.state == taskRunning || t.state == taskPrepared {
		w.endTask(t, taskStopped)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

func (w *Worker) handleDelete(c *fiber.Ctx, t *task) error {
	if t.state == taskRunning || t.state == taskPrepared {
		w.endTask(t, taskStopped)
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
	time.Sleep(w.currentFaults().Delay)
	w.mutex.Lock()
	defer w.mutex.Unlock()
	for _, id := range b.Tasks {
		if t := w.tasks[id]; t != nil && (t.state == taskRunning || t.state == taskPrepared) {
			w.renewLease(t, time.Duration(b.TTLMillis)*time.Millisecond)
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
				statuses = append(statuses, taskStatus{Task: t.id, Job: t.job, Token: t.token, State: t.state, Accelerators: t.reportedAccelerators(), Result: []byte(t.result), DoneMillis: t.progress.Milliseconds(), Revision: t.revision})
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

// App returns the HTTP interface of the worker.
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
	app.Delete("/v1/tasks/:task", w.withTask(w.handleDelete))
	return app
}
