package jaysched

import (
	"fmt"
	"time"

	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Cause is the code of why a job was placed or still waits.
type Cause string

// The causes, of a start where the name begins with Placed and otherwise of waiting.
// RefusedByAgent means that the agent of a worker refused the reservation.
const (
	PlacedOnFree              Cause = "free_accelerators"
	PlacedOnHome              Cause = "guaranteed_home"
	PlacedByReclaim           Cause = "reclaimed_home"
	PlacedByUrgentPreemption  Cause = "urgent_displaces_borrowed"
	PlacedByShorterPreemption Cause = "shorter_displaces_longer"
	PlacedByBackfill          Cause = "backfill"
	NotYetConsidered          Cause = "not_yet_considered"
	WaitsForAccelerators      Cause = "waits_for_accelerators"
	WaitsWithReservation      Cause = "reserved_next"
	WaitsForQuota             Cause = "waits_for_quota"
	WaitsBehindReservation    Cause = "waits_behind_reservation"
	RefusedByAgent            Cause = "refused_by_owner"
	WaitsForWorkers           Cause = "waits_for_workers_to_return"
)

// Reason is a recorded cause with what blocks the job and when it is expected to
// start.
type Reason struct {
	cause         Cause
	blocker       string
	expectedStart time.Duration
	recordedAt    time.Duration
}

// NewReason returns a reason that was recorded at the given time.
func NewReason(cause Cause, blocker string, expected, at time.Duration) Reason {
	return Reason{cause: cause, blocker: blocker, expectedStart: expected, recordedAt: at}
}

// Cause returns the code of the reason.
func (r Reason) Cause() Cause { return r.cause }

// Blocker describes what blocks the job, or is empty.
func (r Reason) Blocker() string { return r.blocker }

// ExpectedStart returns when the job is expected to start, or zero when unknown.
func (r Reason) ExpectedStart() time.Duration { return r.expectedStart }

// RecordedAt returns when the reason was recorded.
func (r Reason) RecordedAt() time.Duration { return r.recordedAt }

// String returns the reason in readable form.
func (r Reason) String() string {
	s := string(r.cause)
	if r.blocker != "" {
		s += ": " + r.blocker
	}
	return s
}

// Placement assigns members of a job to one worker.
type Placement struct {
	worker  string
	members int
}

// Worker returns the worker's name.
func (p Placement) Worker() string { return p.worker }

// Members returns how many members are assigned to the worker.
func (p Placement) Members() int { return p.members }

// Victim is a job that must stop for another one.
type Victim struct {
	job       string
	lostWork  time.Duration
	workspace string
}

// Job returns the job that must stop.
func (v Victim) Job() string { return v.job }

// Workspace returns the workspace of the job that must stop.
func (v Victim) Workspace() string { return v.workspace }

// LostWork returns the accelerator time that is lost by stopping the job.
func (v Victim) LostWork() time.Duration { return v.lostWork }

// Decision starts one job on its placements, after its victims have stopped.
type Decision struct {
	job        *Job
	placements []Placement
	victims    []Victim
	reason     Reason
}

// Job returns the job to start.
func (d Decision) Job() *Job { return d.job }

// Placements returns where the members of the job run.
func (d Decision) Placements() []Placement { return d.placements }

// Victims returns the jobs that must stop first.
func (d Decision) Victims() []Victim { return d.victims }

// Reason returns why the job starts.
func (d Decision) Reason() Reason { return d.reason }

// NeverFitsError reports a job that can never run: its shape does not fit the idle
// pool or exceeds the workspace's quota. Nearest is a similar shape that could run,
// or nil.
type NeverFitsError struct {
	Shape   jayjob.Shape
	Cause   string
	Nearest *jayjob.Shape
}

// Error implements error.
func (e *NeverFitsError) Error() string {
	s := fmt.Sprintf("shape %s can never run: %s", e.Shape, e.Cause)
	if e.Nearest != nil {
		s += fmt.Sprintf("; the nearest shape that could is %s", *e.Nearest)
	}
	return s
}
