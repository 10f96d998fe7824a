package jaysched

import (
	"fmt"
	"time"

	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Cause says in one word why a job was placed or still waits.
type Cause string

// The causes of a decision.
const (
	OnFree          Cause = "free_accelerators"
	OnHome          Cause = "guaranteed_home"
	ByReclaim       Cause = "reclaimed_home"
	ByUrgency       Cause = "urgent_displaces_borrowed"
	ByShorter       Cause = "shorter_displaces_longer"
	AsBackfill      Cause = "backfill"
	NotYetLooked    Cause = "not_yet_considered"
	WaitsForRoom    Cause = "waits_for_accelerators"
	WaitsReserved   Cause = "reserved_next"
	WaitsForQuota   Cause = "waits_for_quota"
	WaitsBehind     Cause = "waits_behind_reservation"
	WaitsForOwner   Cause = "refused_by_owner"
	WaitsForWorkers Cause = "waits_for_workers_to_return"
)

// Reason is a recorded cause with what stands in the way and when the job is
// expected to start.
type Reason struct {
	cause    Cause
	blocker  string
	expected time.Duration
	at       time.Duration
}

// NewReason returns a reason that was recorded at the given time.
func NewReason(cause Cause, blocker string, expected, at time.Duration) Reason {
	return Reason{cause: cause, blocker: blocker, expected: expected, at: at}
}

// Cause returns the reason in one word.
func (r Reason) Cause() Cause { return r.cause }

// Blocker names what stands in the way, or is empty.
func (r Reason) Blocker() string { return r.blocker }

// Expected returns when the job is expected to start, or zero when unknown.
func (r Reason) Expected() time.Duration { return r.expected }

// At returns when the reason was recorded.
func (r Reason) At() time.Duration { return r.at }

// String describes the reason for people.
func (r Reason) String() string {
	s := string(r.cause)
	if r.blocker != "" {
		s += ": " + r.blocker
	}
	return s
}

// Seat places members of a job on one worker.
type Seat struct {
	worker  string
	members int
}

// Worker returns the worker's name.
func (s Seat) Worker() string { return s.worker }

// Members returns how many members sit there.
func (s Seat) Members() int { return s.members }

// Victim is work that must stop to make room.
type Victim struct {
	job       string
	lost      time.Duration
	workspace string
}

// Job returns the job that must stop.
func (v Victim) Job() string { return v.job }

// Workspace returns the workspace of the job that must stop.
func (v Victim) Workspace() string { return v.workspace }

// Lost returns the accelerator time that stopping throws away.
func (v Victim) Lost() time.Duration { return v.lost }

// Decision starts one job on seats, after its victims have stopped.
type Decision struct {
	job     *Job
	seats   []Seat
	victims []Victim
	reason  Reason
}

// Job returns the job to start.
func (d Decision) Job() *Job { return d.job }

// Seats returns where its members go.
func (d Decision) Seats() []Seat { return d.seats }

// Victims returns what must stop first.
func (d Decision) Victims() []Victim { return d.victims }

// Reason returns why the job was placed there.
func (d Decision) Reason() Reason { return d.reason }

// NeverFitsError reports a job that no state of the pool could run.
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
