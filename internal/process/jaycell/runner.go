package jaycell

import (
	"strconv"
	"strings"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// RunnerInfo is the state of a runner as it reports it.
type RunnerInfo struct {
	// ID identifies one incarnation of the runner.
	ID         string
	Service    string
	DataCentre string
	Labels     []string
	Capacity   jaytask.Resources
	Draining   bool
	// DrainRemaining is the minimum time until a draining runner shuts down.
	DrainRemaining time.Duration
	// ColdLeft is for how much longer the runner is slow after its start.
	ColdLeft time.Duration
}

// lifeSeparator separates the parts of an incarnation ID. Names cannot contain it.
const lifeSeparator = "/"

// IncarnationID returns the ID of a runner's life that began at the given Unix time in
// milliseconds. A runner may begin several lives under one name.
func IncarnationID(name string, bornMillis int64) string {
	return name + lifeSeparator + strconv.FormatInt(bornMillis, 10)
}

// RunnerName returns the name of the runner of an incarnation. It is the whole ID of a runner
// that does not tell when its life began: each of its lives has a name of its own.
func RunnerName(id string) string {
	name, _, _ := strings.Cut(id, lifeSeparator)
	return name
}

// inferredLife marks the incarnations whose beginning the runner has not told.
const inferredLife = lifeSeparator + "+"

// InferredIncarnationID returns the ID of a life that an agent has seen to begin under a name,
// at the given Unix time in milliseconds, and of which the runner does not tell.
func InferredIncarnationID(name string, seenMillis int64) string {
	return name + inferredLife + strconv.FormatInt(seenMillis, 10)
}

// TellsLife reports whether the runner has told when the life of an incarnation began.
func TellsLife(id string) bool {
	return strings.Contains(id, lifeSeparator) && !strings.Contains(id, inferredLife)
}

// Run is a run in progress as listed by its runner.
type Run struct {
	Task       string
	Run        int
	Checkpoint string
	// Percent is the progress; a serving daemon task reports 100.
	Percent int
	// Load is the CPU in use, or the tail latency of a serving task in milliseconds.
	Load int
}

// EndReason is why a run ended.
type EndReason uint8

// The reasons why a run ends.
const (
	EndDone EndReason = iota + 1
	EndFailed
	EndStopped
	// EndLapsed is the end of a run when the lease of its runner expires.
	EndLapsed
	// EndGangBroken is the end of a gang member because another member has ended.
	EndGangBroken
	// EndGangIncomplete is the end of a gang member whose gang did not start in full.
	EndGangIncomplete
	// EndLost is the end of a run whose runner is lost.
	EndLost
	// EndRefused is the end of a run that never started.
	EndRefused
	// EndUnknown is an end reason that is not known to this version.
	EndUnknown
)

var endReasonNames = [...]string{EndDone: "done", EndFailed: "failed", EndStopped: "stopped", EndLapsed: "lapsed", EndGangBroken: "broken", EndGangIncomplete: "alone", EndLost: "lost", EndRefused: "refused", EndUnknown: "unknown"}

// String returns the name of the reason.
func (e EndReason) String() string {
	if int(e) >= len(endReasonNames) || endReasonNames[e] == "" {
		return endReasonNames[EndUnknown]
	}
	return endReasonNames[e]
}

// MaxListedEnds is how many ends a runner lists at once. A listing with as many may lack
// later ones.
const MaxListedEnds = 500

// End is the end of a run; its runner lists it until it is acknowledged.
type End struct {
	// Number increases with each end of a runner.
	Number     uint64
	Task       string
	Run        int
	Reason     EndReason
	Checkpoint string
}

// OrderResult is the outcome of an order that leaves no run or end to list.
type OrderResult struct {
	Task string
	Run  int
	// Refused reports that the start was refused for Reason. Otherwise a stop found no
	// run, or a started run has vanished.
	Refused bool
	Reason  string
}

// Report is an agent's complete view of its runner.
type Report struct {
	// Node identifies the agent's machine and the address of its runner.
	Node string
	// Connection numbers the link over which the report came. The leader gives a higher
	// number to each link that it accepts.
	Connection uint64
	// Sequence increases with each report of a node, also over restarts of its agent.
	Sequence int64
	// Term is the term whose fence the runner had confirmed when it listed its runs,
	// zero if that is not the agent's newest term.
	Term   uint64
	Runner RunnerInfo
	// Responsive reports that the runner answered recently with this ID.
	Responsive bool
	// Ended reports that the runner has announced its shutdown and no longer listens.
	Ended        bool
	Running      []Run
	Finished     []End
	OrderResults []OrderResult
	// PendingOrders lists the orders that the agent is executing.
	PendingOrders []Order
	// Crashes lists the crashes of the node's runners that were not acknowledged yet.
	Crashes []Crash
}

// Runner is the cell's view of one incarnation of a runner.
type Runner struct {
	id       string
	node     string
	sequence int64
	// connection is the Connection of the newest report. newConnection is set if that was
	// the first one over its link, so that orders sent before may be lost.
	connection    uint64
	newConnection bool
	info          RunnerInfo
	// reported is set once the runner has reported in this term, last at reportedAt.
	reported bool
	// lost is set when all its runs have certainly ended, and while abandoned runs keep a
	// runner from being taken back.
	lost bool
	// abandoned holds the runs, by task, that were given up although their starts may
	// still reach the runner.
	abandoned map[string]int
	// sentStarts holds the latest start that was sent for each task, for lateCallWindow.
	sentStarts map[string]sentStart
	// unknownStops holds the latest orders to stop runs without a placement, by task.
	unknownStops map[string]unknownStop
	// crashed is set once an agent has reported its crash.
	crashed bool
	// lapsed holds the placements that the lapse of its lease has ended, until it is back.
	lapsed []*placement
	// replaced reports that this incarnation has ended for good.
	replaced   bool
	reportedAt time.Duration
	// leaseEnd is the latest end of a lease that this leader has granted. follows is set once
	// the runner has confirmed this term, so that its agent takes no other leader's grant.
	leaseEnd time.Duration
	follows  bool
	drainEnd time.Duration
	// evacuated is set while the runner's data centre is out of service, since evacuatedAt.
	evacuated   bool
	evacuatedAt time.Duration
	// coldUntil is until when the runner is slow after its start.
	coldUntil time.Duration
	// drainDoubtEnd is until when the runner counts as draining whatever its agent says.
	drainDoubtEnd time.Duration
	placements    map[string]*placement
	used          jaytask.Resources
	// unlisted counts the placements that the runner has not listed yet.
	unlisted int
	// stray is what the listed runs without a placement need, which are being stopped.
	// hasUnknownStray is set while that is not known of all of them.
	stray           jaytask.Resources
	hasUnknownStray bool
	// acked is the highest End.Number whose acknowledgement was ordered.
	acked   uint64
	ackedAt time.Duration
	// failures counts failed runs of different jobs, stalled runs and refusals as
	// unhealthy since the last success; failedJob is the job of the latest failed run.
	failures   int
	failedJob  string
	avoidUntil time.Duration
	// speed is how fast the runner works, relative to the mean of all runners, as of
	// speedAt.
	speed   float64
	speedAt time.Duration
}

// sentStart is an order to start a run.
type sentStart struct {
	run    int
	sentAt time.Duration
}

// unknownStop is an order to stop a run that has no placement.
type unknownStop struct {
	run    int
	sentAt time.Duration
}

func newRunner(id, node string) *Runner {
	return &Runner{id: id, node: node, placements: map[string]*placement{}, abandoned: map[string]int{}, sentStarts: map[string]sentStart{}, unknownStops: map[string]unknownStop{}, speed: 1}
}

// isSlow reports whether the runner was recently seen to be slow.
func (r *Runner) isSlow(now time.Duration) bool {
	return r.speed < slowSpeed && now-r.speedAt < avoidDuration
}

// rack returns the rack label, or an empty string.
func (r *Runner) rack() string {
	for _, l := range r.info.Labels {
		if isRack(l) {
			return l
		}
	}
	return ""
}

// isRack reports whether a label names a rack. Rack names contain a dash; labels for
// the kind of runner do not.
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

// eligibleFor reports whether the runner has the service and label that a unit
// requires.
func (r *Runner) eligibleFor(u *unit) bool {
	return r.info.Service == u.job.spec.Policy.Service && r.hasLabel(u.spec().Label)
}

func (r *Runner) available() jaytask.Resources { return r.info.Capacity.Sub(r.used).Sub(r.stray) }

// inPool reports whether the runner counts as a part of the pool.
func (r *Runner) inPool() bool { return r.reported && !r.lost && !r.evacuated }

// acceptsWork reports whether new work may be placed on the runner.
func (r *Runner) acceptsWork(now time.Duration) bool {
	return r.inPool() && !r.hasUnknownStray && !r.info.Draining && now-r.reportedAt < maxReportAge
}

func (r *Runner) addPlacement(pl *placement) {
	r.placements[pl.task()] = pl
	r.used = r.used.Add(pl.resources)
	if !pl.confirmed {
		r.unlisted++
	}
}

func (r *Runner) removePlacement(pl *placement) {
	if r.placements[pl.task()] != pl {
		return
	}
	delete(r.placements, pl.task())
	r.used = r.used.Sub(pl.resources)
	if !pl.confirmed {
		r.unlisted--
	}
}
