// Package jaysupervisor supervises one runner on behalf of the leader: it executes
// orders, extends the runner's lease while it is allowed to, and reports which runs
// are running and which have ended.
//
// A Supervisor, made by New, sends orders to the runner through a RunnerClient or in
// the responses to its heartbeats. An Agent, made by NewAgent, links it to the leader.
package jaysupervisor

import (
	"context"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

// Start asks a runner to start a run.
type Start struct {
	Incarnation string
	Task        string
	Run         int
	Spec        string
	Checkpoint  string
	// Ticket is the admission ticket, on routes that need one.
	Ticket string
	// Deadline is when the lease ends, on the runner's clock.
	Deadline time.Duration
	Fence    uint64
}

// Stop asks a runner to stop a run.
type Stop struct {
	Incarnation string
	Task        string
	Run         int
	Fence       uint64
}

// Throttle limits a run to a CPU share of Percent; 100 removes the limit.
type Throttle struct {
	Incarnation string
	Task        string
	Run         int
	Percent     int
	Fence       uint64
}

// Renewal extends a runner's lease and asks for its runs.
type Renewal struct {
	Incarnation string
	// Deadline is on the runner's clock; zero does not extend the lease.
	Deadline time.Duration
	Fence    uint64
	// Acknowledged is the highest number of an ended run that the runner may forget.
	Acknowledged uint64
	// Wait is how long the runner may delay its answer until a run ends.
	Wait time.Duration
}

// Listing is a runner's list of its running and ended runs. Clock is the runner's own
// clock, and InvalidRows the number of rows that could not be decoded.
type Listing struct {
	Clock       time.Duration
	Running     []jaycell.Run
	Finished    []jaycell.End
	InvalidRows int
}

// showsAllEnds reports whether no end can be missing from the listing.
func (l Listing) showsAllEnds() bool { return len(l.Finished) < jaycell.MaxListedEnds }

// RunnerClient calls one runner, without retries. Its functions return RefusedError,
// NoAnswerError, ReplacedError or EndedError.
type RunnerClient struct {
	Start    func(ctx context.Context, s Start) error
	Stop     func(ctx context.Context, s Stop) error
	Renew    func(ctx context.Context, r Renewal) (Listing, error)
	Throttle func(ctx context.Context, t Throttle) error
}

// Reasons of refusals that the supervisor or the leader acts on.
const (
	// ReasonFence is a refusal of an order of an earlier term.
	ReasonFence = "fence"
	// ReasonLeaseExpired is a refusal because the order's lease deadline has passed.
	ReasonLeaseExpired = "late"
	// ReasonDraining is the supervisor's own refusal while its runner drains.
	ReasonDraining = "draining"
	// ReasonShrunk is the supervisor's own refusal of a start that was decided for a larger
	// capacity than its runner has.
	ReasonShrunk = "capacity has shrunk"
	// ReasonEvacuated is the agent's own refusal of a start in a data centre that operators have
	// taken out of service.
	ReasonEvacuated = jaycell.ReasonEvacuated
	// ReasonReplaced is the supervisor's own refusal of an order for an earlier
	// incarnation.
	ReasonReplaced = "replaced"
)

// RefusedError reports a call that the runner refused.
type RefusedError struct {
	Call   string
	Reason string
}

// Error implements error.
func (e *RefusedError) Error() string { return "runner refused " + e.Call + ": " + e.Reason }

// NoAnswerError reports a call without an answer, which may have taken effect or may
// still do so.
type NoAnswerError struct {
	Call  string
	Cause string
}

// Error implements error.
func (e *NoAnswerError) Error() string { return "runner did not answer " + e.Call + ": " + e.Cause }

// ReplacedError reports a call that was answered by another incarnation of the runner.
type ReplacedError struct{ Incarnation string }

// Error implements error.
func (e *ReplacedError) Error() string { return "runner is no longer " + e.Incarnation }

// EndedError reports that nothing listens at the runner's address any more.
type EndedError struct{ Call string }

// Error implements error.
func (e *EndedError) Error() string {
	return "runner has ended: nothing answers " + e.Call + " at its address"
}

// Heartbeat is a runner's report about itself.
type Heartbeat struct {
	Sequence uint64
	Address  string
	Runner   jaycell.RunnerInfo
	// Listing is set only for runners that get their orders by heartbeat.
	Listing Listing
}
