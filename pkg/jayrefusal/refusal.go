// Package jayrefusal defines the one error type by which callers learn that a job
// or command was not answered.
package jayrefusal

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is what is known about the execution of a refused job.
type Outcome string

// The outcomes of a refused job.
const (
	// NotRun means that no member of the job has started or will start.
	NotRun Outcome = "not_run"
	// Unknown means that the job may or may not have run.
	Unknown Outcome = "unknown"
	// Ran means that the job started and ended without an answer.
	Ran Outcome = "ran"
)

// Code is the machine-readable cause of a refusal.
type Code string

// The codes of refusals. docs/API.md describes each for callers.
const (
	Malformed       Code = "malformed"
	Unauthorized    Code = "unauthorized"
	NotFound        Code = "not_found"
	KeyReused       Code = "key_reused"
	KeyExpired      Code = "key_expired"
	KeysExhausted   Code = "keys_exhausted"
	QueueFull       Code = "queue_full"
	DeadlineTooNear Code = "deadline_too_near"
	DeadlinePassed  Code = "deadline_passed"
	NeverFits       Code = "never_fits"
	OverQuota       Code = "over_quota"
	NoManifest      Code = "no_manifest"
	LogUnavailable  Code = "log_unavailable"
	Draining        Code = "draining"
	Overloaded      Code = "overloaded"
	Canceled        Code = "canceled"
	Failed          Code = "failed"
	OwnerLost       Code = "owner_lost"
	Conflict        Code = "conflict"
	Internal        Code = "internal"
)

// Refusal is the typed error of every job or command that got no answer.
type Refusal struct {
	code       Code
	outcome    Outcome
	message    string
	retryAfter time.Duration
}

// New returns a refusal without a retry delay.
func New(code Code, outcome Outcome, format string, args ...any) *Refusal {
	return &Refusal{code: code, outcome: outcome, message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy that asks the caller to retry after d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.retryAfter = d
	return &c
}

// Code returns the machine-readable cause.
func (r *Refusal) Code() Code { return r.code }

// Outcome returns what is known about the job.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// Message returns the human-readable message.
func (r *Refusal) Message() string { return r.message }

// RetryAfter returns the delay before a retry, or zero if none is suggested.
func (r *Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.code, r.outcome, r.message)
}

// From returns the refusal that err wraps, or else an Internal refusal with an
// unknown outcome.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(Internal, Unknown, "%v", err)
}
