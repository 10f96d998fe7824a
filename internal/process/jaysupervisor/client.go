// Package jaysupervisor keeps one runner on behalf of the holder of the term: it
// carries out orders, extends the runner's lease while it is allowed to, and
// reports what runs.
package jaysupervisor

import (
	"context"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

// Start asks a runner to begin a run.
type Start struct {
	Incarnation string
	Task        string
	Run         int
	Spec        string
	Checkpoint  string
	// Ticket allows the start where its route needs one.
	Ticket string
	// Deadline is on the runner's clock.
	Deadline time.Duration
	Fence    uint64
}

// Stop asks a runner to end a run.
type Stop struct {
	Incarnation string
	Task        string
	Run         int
	Fence       uint64
}

// Pace lets a run work at a share of its speed.
type Throttle struct {
	Incarnation string
	Task        string
	Run         int
	Percent     int
	Fence       uint64
}

// Hold extends a runner's lease and asks what runs.
type Renewal struct {
	Incarnation string
	// Deadline is on the runner's clock; zero extends nothing.
	Deadline time.Duration
	Fence    uint64
	// Acknowledged is the highest end that the runner may forget.
	Acknowledged uint64
	// Wait is how long the runner may wait for an end.
	Wait time.Duration
}

// Listing is what a runner says that it runs and has ended.
type Listing struct {
	Clock       time.Duration
	Running     []jaycell.Run
	Finished    []jaycell.End
	InvalidRows int
}

// Calls are the calls to one runner, one try each. They return the errors of
// this package.
type RunnerClient struct {
	Start    func(ctx context.Context, s Start) error
	Stop     func(ctx context.Context, s Stop) error
	Renew    func(ctx context.Context, h Renewal) (Listing, error)
	Throttle func(ctx context.Context, p Throttle) error
}

// Reasons of a runner's refusal that the keeper acts on.
const (
	// ReasonFence is a refusal of a term that is over.
	ReasonFence = "fence"
	// ReasonLate is a refusal of a lease that has ended.
	ReasonLeaseExpired = "late"
	// ReasonDraining is the keeper's own refusal while its runner leaves.
	ReasonDraining = "draining"
	// ReasonReplaced is the keeper's own refusal of an order for an earlier life.
	ReasonReplaced = "replaced"
)

// RefusedError reports a call that the runner answered without acting.
type RefusedError struct {
	Call   string
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "runner refused " + e.Call + ": " + e.Reason }

// NoAnswerError reports a call of which it is unknown whether it took effect or
// still will.
type NoAnswerError struct {
	Call  string
	Cause string
}

// Error implements error.
func (e *NoAnswerError) Error() string { return "runner did not answer " + e.Call + ": " + e.Cause }

// ReplacedError reports that another life of the runner answers.
type ReplacedError struct{ Incarnation string }

// Error implements error.
func (e *ReplacedError) Error() string { return "runner is no longer " + e.Incarnation }

// Heartbeat is a runner's report about itself.
type Heartbeat struct {
	Sequence uint64
	Address  string
	Runner   jaycell.RunnerInfo
	// Listing is what runs, of a runner that takes its orders with its heartbeats.
	Listing Listing
}
