package jaysched

import (
	"math/bits"
	"time"

	"github.com/google/btree"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Job is the scheduler's state of a job.
type Job struct {
	id            string
	spec          jayjob.Spec
	arrived       time.Duration
	deadline      time.Duration
	estimate      time.Duration
	upperEstimate time.Duration
	progress      time.Duration
	started       time.Duration
	preemptions   int
	reason        Reason
	queue         *jobQueue
}

// NewJob returns a job that arrived at the given time.
func NewJob(id string, spec jayjob.Spec, arrived time.Duration) *Job {
	j := &Job{id: id, spec: spec, arrived: arrived, deadline: never}
	if spec.Deadline() > 0 {
		j.deadline = arrived + spec.Deadline()
	}
	return j
}

// never is the deadline of a job without one.
const never = time.Duration(1<<63 - 1)

// ID returns the job's identity.
func (j *Job) ID() string { return j.id }

// Spec returns what the caller asked for.
func (j *Job) Spec() jayjob.Spec { return j.spec }

// Arrived returns when the job was accepted.
func (j *Job) Arrived() time.Duration { return j.arrived }

// Progress returns the run time that the job's last checkpoint holds.
func (j *Job) Progress() time.Duration { return j.progress }

// Started returns when the job's latest start was decided.
func (j *Job) Started() time.Duration { return j.started }

// Preemptions returns how often the job has been stopped for another.
func (j *Job) Preemptions() int { return j.preemptions }

// Reason returns why the job waits or was placed.
func (j *Job) Reason() Reason { return j.reason }

// remaining returns the estimated run time that is left.
func (j *Job) remaining() time.Duration { return max(j.estimate-j.progress, time.Millisecond) }

// queueKey identifies jobs that are interchangeable for placement: when the first
// of them cannot be placed, none can.
type queueKey struct {
	workspace     string
	kind          string
	class         jayjob.Class
	shape         jayjob.Shape
	preemptible   bool
	checkpointing bool
	// runtimeBits is the binary order of magnitude of the remaining run time.
	runtimeBits int
}

// jobQueue holds the waiting jobs of one key: the earliest deadline first, then
// the earliest arrival.
type jobQueue struct {
	key  queueKey
	jobs *btree.BTreeG[*Job]
}

func newJobQueue(k queueKey) *jobQueue {
	return &jobQueue{key: k, jobs: btree.NewG(16, func(a, b *Job) bool {
		if a.deadline != b.deadline {
			return a.deadline < b.deadline
		}
		if a.arrived != b.arrived {
			return a.arrived < b.arrived
		}
		return a.id < b.id
	})}
}

func queueKeyOf(j *Job) queueKey {
	return queueKey{
		workspace:     j.spec.Workspace(),
		kind:          j.spec.Kind(),
		class:         j.spec.Class(),
		shape:         j.spec.Shape(),
		preemptible:   j.spec.Preemptible(),
		checkpointing: j.spec.Checkpointing(),
		runtimeBits:   bits.Len64(uint64(j.remaining())),
	}
}

// allocation describes the allocation of one member of the job.
func (j *Job) allocation(id string, accelerators int, now time.Duration) jaypool.AllocationSpec {
	return jaypool.AllocationSpec{
		ID:             id,
		Job:            j.id,
		Workspace:      j.spec.Workspace(),
		Kind:           j.spec.Kind(),
		Class:          j.spec.Class(),
		Accelerators:   accelerators,
		Preemptible:    j.spec.Preemptible(),
		Checkpointing:  j.spec.Checkpointing(),
		Started:        now,
		LastCheckpoint: now,
		ExpectedEnd:    now + j.remaining(),
	}
}
