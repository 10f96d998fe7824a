// Package jayapi defines the JSON bodies of the public HTTP API. docs/API.md
// documents them for callers.
package jayapi

import (
	"time"

	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

// Headers of requests.
const (
	// WorkspaceHeader holds the name of the caller's workspace.
	WorkspaceHeader = "Jaystile-Workspace"
	// AuthorizationHeader holds "Bearer" and the workspace's or operator's key.
	AuthorizationHeader = "Authorization"
	// BearerPrefix precedes the key.
	BearerPrefix = "Bearer "
)

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobQueued   JobState = "queued"
	JobStarting JobState = "starting"
	JobRunning  JobState = "running"
	JobAnswered JobState = "answered"
	JobRefused  JobState = "refused"
)

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s == JobAnswered || s == JobRefused }

// Submission is the request body that submits a job.
type Submission struct {
	Kind    string `json:"kind"`
	Class   string `json:"class"`
	Members int    `json:"members"`
	// Accelerators is the number for each member; a job without any takes a slot of a
	// runner.
	Accelerators int `json:"accelerators"`
	// Near is the locality of the members: worker, rack, data_centre or anywhere.
	Near          string `json:"near,omitempty"`
	Payload       []byte `json:"payload,omitempty"`
	RuntimeMillis int64  `json:"runtime_ms,omitempty"`
	// DeadlineMillis is the time from now within which the answer is needed.
	DeadlineMillis int64  `json:"deadline_ms,omitempty"`
	Key            string `json:"idempotency_key,omitempty"`
	Idempotent     bool   `json:"idempotent"`
	Checkpointing  bool   `json:"checkpointing"`
	// Wait holds the request open until the job has ended.
	Wait bool `json:"wait"`
	// Durable jobs are written to the platform's log before they are accepted. Jobs
	// that are not idempotent or submitted without Wait are always durable.
	Durable bool `json:"durable"`
	// LogWaitMillis is how long the submission of a durable job may wait for an
	// unavailable log.
	LogWaitMillis int64 `json:"log_wait_ms,omitempty"`
}

// Refusal is the body of every refused job or command.
type Refusal struct {
	Code       string `json:"code"`
	Outcome    string `json:"outcome"`
	Message    string `json:"message"`
	RetryAfter int64  `json:"retry_after_ms,omitempty"`
}

// FromRefusal converts a refusal to its JSON body.
func FromRefusal(r *jayrefusal.Refusal) *Refusal {
	return &Refusal{Code: string(r.Code()), Outcome: string(r.Outcome()), Message: r.Message(), RetryAfter: r.RetryAfter().Milliseconds()}
}

// Refusal converts the JSON body to a refusal.
func (r *Refusal) Refusal() *jayrefusal.Refusal {
	d := time.Duration(r.RetryAfter) * time.Millisecond
	return jayrefusal.New(jayrefusal.Code(r.Code), jayrefusal.Outcome(r.Outcome), "%s", r.Message).WithRetryAfter(d)
}

// Job is the status of a job. Stops counts how often it was preempted or moved.
type Job struct {
	ID        string   `json:"id"`
	Workspace string   `json:"workspace"`
	Kind      string   `json:"kind"`
	Class     string   `json:"class"`
	State     JobState `json:"state"`
	Shape     string   `json:"shape"`
	// Answers holds one answer per member, in order, once all have ended.
	Answers  [][]byte `json:"answers,omitempty"`
	Refusal  *Refusal `json:"refusal,omitempty"`
	Attempts int      `json:"attempts"`
	Stops    int      `json:"stops"`
	AgeMs    int64    `json:"age_ms"`
	WaitedMs int64    `json:"waited_ms"`
	RanMs    int64    `json:"ran_ms"`
	Entry    string   `json:"entry"`
}

// JobList is one page of jobs.
type JobList struct {
	Jobs []Job `json:"jobs"`
	// Next is the "after" parameter of the next page; empty on the last page.
	Next string `json:"next,omitempty"`
}

// Attempt is one attempt to run a job.
type Attempt struct {
	ID    string `json:"id"`
	State string `json:"state"`
	// Seats lists the workers of the members, separated by spaces.
	Seats  string `json:"seats"`
	Detail string `json:"detail,omitempty"`
}

// Why explains a job's state: what it waits for, and its attempts with their
// placements.
type Why struct {
	Job        string    `json:"job"`
	State      JobState  `json:"state"`
	Cause      string    `json:"cause"`
	Blocker    string    `json:"blocker,omitempty"`
	ExpectedMs int64     `json:"expected_start_in_ms,omitempty"`
	Attempts   []Attempt `json:"attempts"`
}

// Event is one event of the timeline.
type Event struct {
	Time      time.Time `json:"time"`
	Order     uint64    `json:"order"`
	Process   string    `json:"process"`
	Name      string    `json:"name"`
	Job       string    `json:"job,omitempty"`
	Attempt   string    `json:"attempt,omitempty"`
	Workspace string    `json:"workspace,omitempty"`
	Worker    string    `json:"worker,omitempty"`
	Detail    string    `json:"detail,omitempty"`
}

// Timeline is a list of events in causal order.
type Timeline struct {
	Events []Event `json:"events"`
}

// HomeStatus is one workspace's home on a worker.
type HomeStatus struct {
	Workspace    string `json:"workspace"`
	Accelerators int    `json:"accelerators"`
	Used         int    `json:"used"`
}

// HoldStatus is one reservation of accelerators on a worker.
type HoldStatus struct {
	Job          string `json:"job"`
	Workspace    string `json:"workspace"`
	Class        string `json:"class"`
	Accelerators int    `json:"accelerators"`
	Stoppable    bool   `json:"stoppable"`
}

// WorkerStatus is the state of one worker as the queried entry knows it.
type WorkerStatus struct {
	Name         string       `json:"name"`
	DataCentre   string       `json:"data_centre"`
	Rack         string       `json:"rack"`
	Accelerators int          `json:"accelerators"`
	Free         int          `json:"free"`
	Draining     bool         `json:"draining"`
	Quarantined  bool         `json:"quarantined"`
	Linked       bool         `json:"linked"`
	Manifest     uint64       `json:"manifest"`
	Homes        []HomeStatus `json:"homes,omitempty"`
	Holds        []HoldStatus `json:"holds,omitempty"`
}

// Status is the state of the pool as the queried entry knows it.
type Status struct {
	Entry           string         `json:"entry"`
	Incarnation     string         `json:"incarnation"`
	Manifest        uint64         `json:"manifest"`
	Log             string         `json:"log"`
	Draining        bool           `json:"draining"`
	Waiting         int            `json:"waiting"`
	Running         int            `json:"running"`
	Free            int            `json:"free"`
	Total           int            `json:"total"`
	Fragmentation   float64        `json:"fragmentation"`
	UnmetGuarantees []string       `json:"unmet_guarantees,omitempty"`
	Entries         []string       `json:"entries"`
	Workers         []WorkerStatus `json:"workers"`
}

// Published is the result of publishing a manifest.
type Published struct {
	Version uint64   `json:"version"`
	Digest  string   `json:"digest"`
	Changes []string `json:"changes"`
	DryRun  bool     `json:"dry_run"`
}

// Manifest is one version of the manifest.
type Manifest struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Source  []byte `json:"source"`
}

// ProcessVersion is the manifest version in force in one process.
type ProcessVersion struct {
	Process  string `json:"process"`
	Manifest uint64 `json:"manifest"`
}

// Versions lists the manifest version in force in every known process.
type Versions struct {
	Processes []ProcessVersion `json:"processes"`
}
