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
	Capacity jaytask.Room
	Draining bool
	// DrainLeft is the least time that a draining runner still runs.
	DrainLeft time.Duration
}

// Run is a run that a runner lists.
type Run struct {
	Task    string
	Run     int
	Saved   string
	Percent int
	// Load is the CPU in use, or the tail latency in milliseconds of a task that
	// serves.
	Load int
}

// How tells how a run ended.
type How uint8

// The ways in which a run ends.
const (
	HowDone How = iota + 1
	HowFailed
	HowStopped
	HowLapsed
	HowBroken
	HowAlone
	// HowLost is the end of a run whose runner is gone.
	HowLost
	// HowRefused is the end of a run that never began.
	HowRefused
	// HowUnknown is an end that cannot be read.
	HowUnknown
)

var howNames = [...]string{HowDone: "done", HowFailed: "failed", HowStopped: "stopped", HowLapsed: "lapsed", HowBroken: "broken", HowAlone: "alone", HowLost: "lost", HowRefused: "refused", HowUnknown: "unknown"}

// String returns the name of the way.
func (h How) String() string {
	if int(h) >= len(howNames) || howNames[h] == "" {
		return howNames[HowUnknown]
	}
	return howNames[h]
}

// End is an end that a runner lists until it is acknowledged.
type End struct {
	Number uint64
	Task   string
	Run    int
	How    How
	Saved  string
}

// Result is what became of an order that left no run behind.
type Result struct {
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
	// Fresh tells that the report is the first on a new connection, so that orders
	// sent before may be lost.
	Fresh bool
	// Sequence grows with each report of a node, also over its restarts.
	Sequence int64
	// Term is the term whose fence the runner had seen when it listed its runs.
	Term   uint64
	Runner RunnerInfo
	// Current tells that the runner answered lately under this ID.
	Current bool
	// Left tells that the runner has said that it is gone.
	Left     bool
	Running  []Run
	Finished []End
	Results  []Result
	// Known lists the orders that the side is carrying out.
	Known []Order
}

// Runner is a runner as the cell sees it.
type Runner struct {
	id       string
	node     string
	sequence int64
	info     RunnerInfo
	known    bool
	gone     bool
	// replaced tells that this life of the runner is over for good.
	replaced bool
	heard    time.Duration
	leaseEnd time.Duration
	drainEnd time.Duration
	holds    map[string]*hold
	used     jaytask.Room
	// acked is the highest end whose acknowledgement has been ordered.
	acked   uint64
	ackedAt time.Duration
	// failures counts ends of different jobs as failed since the last success.
	failures  int
	failedJob string
	avoidTill time.Duration
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

func (r *Runner) labelled(label string) bool {
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
func (r *Runner) serves(u *unit) bool {
	return r.info.Service == u.job.spec.Terms.Service && r.labelled(u.spec().Label)
}

func (r *Runner) free() jaytask.Room { return r.info.Capacity.Minus(r.used) }

// open reports whether new work may start there.
func (r *Runner) open(now time.Duration) bool {
	return r.known && !r.gone && !r.info.Draining && now-r.heard < heardWithin
}

func (r *Runner) add(h *hold) {
	r.holds[h.task()] = h
	r.used = r.used.Plus(h.room)
}

func (r *Runner) drop(h *hold) {
	if r.holds[h.task()] != h {
		return
	}
	delete(r.holds, h.task())
	r.used = r.used.Minus(h.room)
}
