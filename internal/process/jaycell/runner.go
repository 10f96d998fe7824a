package jaycell

import (
	"strings"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// RunnerInfo is what a runner says of itself.
type RunnerInfo struct {
	// ID is one life of a runner.
	ID       string
	Service  string
	Zone     string
	Labels   []string
	Capacity jaytask.Resources
	Draining bool
	// DrainRemaining is the least time that a draining runner still runs.
	DrainRemaining time.Duration
}

// Run is a run that a runner lists.
type Run struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int
	// Load is the CPU in use, or the tail latency in milliseconds of a task that
	// serves.
	Load int
}

// EndReason tells how a run ended.
type EndReason uint8

// The reasons for which a run ends.
const (
	EndDone EndReason = iota + 1
	EndFailed
	EndStopped
	EndLapsed
	EndGangBroken
	EndGangIncomplete
	// EndLost is the end of a run whose runner is gone.
	EndLost
	// EndRefused is the end of a run that never began.
	EndRefused
	// EndUnknown is an end that cannot be read.
	EndUnknown
)

var endReasonNames = [...]string{EndDone: "done", EndFailed: "failed", EndStopped: "stopped", EndLapsed: "lapsed", EndGangBroken: "broken", EndGangIncomplete: "alone", EndLost: "lost", EndRefused: "refused", EndUnknown: "unknown"}

// String returns the name of the reason.
func (h EndReason) String() string {
	if int(h) >= len(endReasonNames) || endReasonNames[h] == "" {
		return endReasonNames[EndUnknown]
	}
	return endReasonNames[h]
}

// End is an end that a runner lists until it is acknowledged.
type End struct {
	Number     uint64
	Task       string
	Run        int
	Reason     EndReason
	Checkpoint string
}

// OrderResult is what became of an order that left no run behind.
type OrderResult struct {
	Task string
	Run  int
	// Refused tells that the runner refused the start, for the reason given;
	// otherwise a stop found nothing.
	Refused bool
	Reason  string
}

// Report is a side's whole knowledge of its runner.
type Report struct {
	// Node names the side's machine and the address of its runner.
	Node string
	// NewConnection tells that the report is the first on a new connection, so that orders
	// sent before may be lost.
	NewConnection bool
	// Sequence grows with each report of a node, also over its restarts.
	Sequence int64
	// Term is the term whose fence the runner had seen when it listed its runs.
	Term   uint64
	Runner RunnerInfo
	// Responsive tells that the runner answered lately under this ID.
	Responsive bool
	// Departed tells that the runner has said that it is gone.
	Departed     bool
	Running      []Run
	Finished     []End
	OrderResults []OrderResult
	// PendingOrders lists the orders that the side is carrying out.
	PendingOrders []Order
}

// Runner is a runner as the cell sees it.
type Runner struct {
	id       string
	node     string
	sequence int64
	info     RunnerInfo
	reported bool
	lost     bool
	// replaced tells that this life of the runner is over for good.
	replaced   bool
	reportedAt time.Duration
	leaseEnd   time.Duration
	drainEnd   time.Duration
	placements map[string]*placement
	used       jaytask.Resources
	// acked is the highest end whose acknowledgement has been ordered.
	acked   uint64
	ackedAt time.Duration
	// failures counts ends of different jobs as failed since the last success.
	failures   int
	failedJob  string
	avoidUntil time.Duration
}

// rack returns the label that names the rack.
func (r *Runner) rack() string {
	for _, l := range r.info.Labels {
		if isRack(l) {
			return l
		}
	}
	return ""
}

// isRack tells a rack's label from that of a runner's kind: racks are named
// with a dash.
func isRack(label string) bool { return strings.Contains(label, "-") }

func (r *Runner) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range r.info.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// serves reports whether the runner is of a unit's service and kind.
func (r *Runner) eligibleFor(u *unit) bool {
	return r.info.Service == u.job.spec.Policy.Service && r.hasLabel(u.spec().Label)
}

func (r *Runner) available() jaytask.Resources { return r.info.Capacity.Sub(r.used) }

// open reports whether new work may start there.
func (r *Runner) acceptsWork(now time.Duration) bool {
	return r.reported && !r.lost && !r.info.Draining && now-r.reportedAt < maxReportAge
}

func (r *Runner) addPlacement(pl *placement) {
	r.placements[pl.task()] = pl
	r.used = r.used.Add(pl.resources)
}

func (r *Runner) removePlacement(pl *placement) {
	if r.placements[pl.task()] != pl {
		return
	}
	delete(r.placements, pl.task())
	r.used = r.used.Sub(pl.resources)
}
