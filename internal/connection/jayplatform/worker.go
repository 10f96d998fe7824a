// Package jayplatform contains the HTTP clients of workers, which run tasks on their
// accelerators, and of runners, which answer requests. Their interfaces are documented
// in docs/PLATFORM.md.
package jayplatform

import (
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaystile/jaystile/internal/connection/jayhttp"
)

const (
	requestTimeout = 2 * time.Second
	// listWait is how long a worker may wait for changes before it answers a list request.
	listWait     = time.Second
	maxBodyBytes = 8 << 20
)

// TaskState is the state of a task on a worker.
type TaskState string

// The states of a task.
const (
	TaskPrepared TaskState = "prepared"
	TaskRunning  TaskState = "running"
	TaskDone     TaskState = "done"
	TaskFailed   TaskState = "failed"
	TaskStopped  TaskState = "stopped"
	TaskLapsed   TaskState = "lapsed"
)

// Task is a task to be created on a worker.
type Task struct {
	ID           string
	Job          string
	Token        uint64
	TTL          time.Duration
	Accelerators int
	Payload      []byte
	Checkpoint   []byte
	// Start runs the task immediately instead of only loading it.
	Start bool
}

// Status is the status of a task as reported by its worker.
type Status struct {
	task         string
	job          string
	state        TaskState
	accelerators int
	progress     time.Duration
	result       []byte
}

// Task returns the task's ID.
func (s Status) Task() string { return s.task }

// Job returns the job that the task belongs to.
func (s Status) Job() string { return s.job }

// State returns the task's state.
func (s Status) State() TaskState { return s.state }

// Accelerators returns how many accelerators the task uses.
func (s Status) Accelerators() int { return s.accelerators }

// Progress returns the run time that the task has completed.
func (s Status) Progress() time.Duration { return s.progress }

// Result returns the task's result once it is done.
func (s Status) Result() []byte { return s.result }

type wireTask struct {
	Task         string `json:"task"`
	Job          string `json:"job"`
	Token        uint64 `json:"token"`
	TTLMillis    int64  `json:"ttl_ms"`
	Accelerators int    `json:"accelerators"`
	Payload      []byte `json:"payload"`
	Checkpoint   []byte `json:"checkpoint"`
	Start        bool   `json:"start"`
}

type wireStatus struct {
	Task         string    `json:"task"`
	Job          string    `json:"job"`
	State        TaskState `json:"state"`
	Accelerators int       `json:"accelerators"`
	Result       []byte    `json:"result"`
	DoneMillis   int64     `json:"done_ms"`
}

type wireList struct {
	Revision uint64       `json:"revision"`
	Tasks    []wireStatus `json:"tasks"`
}

type wireCheckpoint struct {
	Checkpoint []byte `json:"checkpoint"`
	DoneMillis int64  `json:"done_ms"`
}

type wireLeases struct {
	TTLMillis int64    `json:"ttl_ms"`
	Tasks     []string `json:"tasks"`
}

type wireThrottle struct {
	Share float64 `json:"share"`
}

// Worker is a client of one worker.
type Worker struct {
	address string
	http    *jayhttp.Client
}

// NewWorker returns a client of the worker at the address and a function that
// closes its connections.
func NewWorker(address string) (*Worker, func()) {
	client, closeClient := jayhttp.NewClient(maxBodyBytes)
	return &Worker{address: address, http: client}, closeClient
}

func (w *Worker) taskURL(id, action string) string {
	u := "http://" + w.address + "/v1/tasks/" + url.PathEscape(id)
	if action != "" {
		u += "/" + action
	}
	return u
}

// Create loads a task and, if its Start field is set, runs it.
func (w *Worker) Create(t Task) error {
	return w.http.Do("create task", fasthttp.MethodPost, "http://"+w.address+"/v1/tasks", wireTask{
		Task:         t.ID,
		Job:          t.Job,
		Token:        t.Token,
		TTLMillis:    t.TTL.Milliseconds(),
		Accelerators: t.Accelerators,
		Payload:      t.Payload,
		Checkpoint:   t.Checkpoint,
		Start:        t.Start,
	}, nil, requestTimeout)
}

// Start runs a loaded task.
func (w *Worker) Start(id string) error {
	return w.http.Do("start task", fasthttp.MethodPost, w.taskURL(id, "start"), nil, nil, requestTimeout)
}

// Renew extends the leases of tasks.
func (w *Worker) Renew(ids []string, ttl time.Duration) error {
	return w.http.Do("renew leases", fasthttp.MethodPost, "http://"+w.address+"/v1/leases", wireLeases{TTLMillis: ttl.Milliseconds(), Tasks: ids}, nil, requestTimeout)
}

// Checkpoint saves a running task within the timeout. It returns the checkpoint and
// the run time that it covers.
func (w *Worker) Checkpoint(id string, timeout time.Duration) ([]byte, time.Duration, error) {
	var answer wireCheckpoint
	err := w.http.Do("checkpoint task", fasthttp.MethodPost, w.taskURL(id, "checkpoint"), nil, &answer, timeout)
	return answer.Checkpoint, time.Duration(answer.DoneMillis) * time.Millisecond, err
}

// Throttle limits a task to a share of its speed, above 0 and at most 1.
func (w *Worker) Throttle(id string, share float64) error {
	return w.http.Do("throttle task", fasthttp.MethodPost, w.taskURL(id, "throttle"), wireThrottle{Share: share}, nil, requestTimeout)
}

// Delete stops a task if it runs and removes it from the worker.
func (w *Worker) Delete(id string) error {
	return w.http.Do("delete task", fasthttp.MethodDelete, w.taskURL(id, ""), nil, nil, requestTimeout)
}

// List returns the tasks that changed after the given revision, and the revision of
// the list. With wait set, the worker waits up to listWait for a change.
func (w *Worker) List(since uint64, wait bool) ([]Status, uint64, error) {
	q := url.Values{"since": {strconv.FormatUint(since, 10)}}
	if wait {
		q.Set("wait_ms", strconv.FormatInt(listWait.Milliseconds(), 10))
	}
	var answer wireList
	if err := w.http.Do("list tasks", fasthttp.MethodGet, "http://"+w.address+"/v1/tasks?"+q.Encode(), nil, &answer, requestTimeout+listWait); err != nil {
		return nil, since, err
	}
	statuses := make([]Status, len(answer.Tasks))
	for i, t := range answer.Tasks {
		statuses[i] = Status{task: t.Task, job: t.Job, state: t.State, accelerators: t.Accelerators, progress: time.Duration(t.DoneMillis) * time.Millisecond, result: t.Result}
	}
	return statuses, answer.Revision, nil
}
