// Package jaycell schedules the tasks of jobs on runners. It has no sockets, no clock
// and no goroutines: the same calls give the same decisions. The leader passes it jobs
// and the agents' reports, calls Tick, stores the records of each Batch, and sends the
// orders that depend on them after ConfirmStored.
//
// A unit is a gang or a single task outside a gang. Each attempt to run it is a
// numbered run, which places every member on a runner. The pool of a job is all runners
// of its service.
package jaycell

import (
	"sort"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jaystile/jaystile/internal/process/jayadmission"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// maxReportAge is the age of the last report of a runner at which it stops
	// receiving new work: three report intervals.
	maxReportAge = 1600 * time.Millisecond
	// A lease may outlast its duration by clockSlack plus the fraction clockDrift of it,
	// which cover a runner clock that is 2% slow and the transmission of a lease grant.
	clockSlack = 300 * time.Millisecond
	clockDrift = 0.03
	// dueSlack keeps timed starts from running early when clocks differ.
	dueSlack = 60 * time.Millisecond
)

// Settings configure a Cell.
type Settings struct {
	Term uint64
	// Lease is how long a runner keeps its runs after the last lease grant to its
	// agent.
	Lease time.Duration
	// HandoverDelay is how long earlier leaders may grant leases after this term has
	// begun, unless EndHandover tells otherwise.
	HandoverDelay time.Duration
	// Retention is how long an ended job can be queried.
	Retention time.Duration
	// StopTimeout is the longest time a runner takes to stop a run.
	StopTimeout time.Duration
	// ReclaimDeadline is the time within which a guaranteed job must start; zero
	// disables the check.
	ReclaimDeadline time.Duration
	// GangTimeout is how long the members of a gang wait for each other.
	GangTimeout time.Duration
	// RemoteSlowdown is the factor by which the run time grows away from the rack of
	// the data, or for a same-rack gang that spans racks.
	RemoteSlowdown float64
	// Guaranteed returns a workspace's guaranteed accelerators.
	Guaranteed func(workspace string) int
	// NeedsTicket reports whether starts of a route need an admission ticket; nil
	// means never.
	NeedsTicket func(route string) bool
	// MaxRecordBytes bounds the value of a unit's record, zero means no limit.
	MaxRecordBytes int
	// Evacuated reports whether operators have taken a data centre out of service; nil means
	// that they take none.
	Evacuated func(dataCentre string) bool
	// OnDecision is called with each decision.
	OnDecision func(Decision)
	// OnInvariantViolation is called with each violated invariant; the cell skips the
	// start that would violate it.
	OnInvariantViolation func(what string, d Decision)
}

// Decision describes a decision and its reason, for logs and metrics.
type Decision struct {
	Job     string
	Task    string
	Run     int
	Runner  string
	Event   string
	Outcome string
	Reason  string
	// AgeMS is the age of the job, or how long a runner is avoided.
	AgeMS int64
}

// Record is a record to be stored. A nil value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// OrderKind is the action that an order asks for.
type OrderKind uint8

// The kinds of orders.
const (
	OrderStart OrderKind = iota + 1
	OrderStop
	OrderAcknowledge
	OrderThrottle
	// OrderAcknowledgeCrash acknowledges the crash of Order.Runner.
	OrderAcknowledgeCrash
)

// Order is an instruction to an agent.
type Order struct {
	Kind       OrderKind
	Node       string
	Runner     string
	Task       string
	Run        int
	Spec       string
	Checkpoint string
	// Ticket is the admission ticket of a start, empty if the route needs none.
	Ticket string
	// Number acknowledges all ends up to this End.Number.
	Number uint64
	// Percent is the CPU share to which a run is throttled.
	Percent int
	// Capacity is that of the runner for which a start was decided.
	Capacity jaytask.Resources
	// Repeated reports that the order was sent before, perhaps to an agent process that has
	// ended.
	Repeated bool
}

// Batch holds records to be stored, in the order of its fields, and the orders that
// may be sent once they are.
type Batch struct {
	// Runs are unit records.
	Units []Record
	// JobStates are job state records.
	JobStates []Record
	// Deletions delete unit records of unknown jobs and of jobs whose final state is in
	// JobStates or was stored before.
	Deletions []Record
	Orders    []Order
	// placements are the new placements whose start orders ConfirmStored returns.
	placements []*placement
}

// Empty reports whether there is nothing to store or send.
func (b *Batch) Empty() bool {
	return len(b.Units)+len(b.JobStates)+len(b.Deletions)+len(b.Orders) == 0
}

// Cell is the leader's scheduler for one term. It holds the jobs and the runners and is
// not safe for concurrent use.
type Cell struct {
	settings Settings
	now      time.Duration
	wall     time.Time
	jobs     map[string]*job
	runners  map[string]*Runner
	// handoverEnd is until when earlier leaders may grant leases.
	handoverEnd time.Duration

	meanRunTimes map[runTimeKey]*runTimeMean
	// estimatesVersion counts the changes of the estimates of run times.
	estimatesVersion uint64
	// routes holds what has been seen of the jobs of each route.
	routes      map[string]*jayadmission.Route
	shareLimits map[imagePair]int
	// slots caches poolSlots, as of slotsComputedAt.
	slots           map[poolShape]int
	slotsComputedAt time.Duration
	// holdingStarts is set while nothing may be placed or preempted.
	holdingStarts bool
	// demand is the demand of urgent work, by service.
	demand map[string]*demand
	// peaks is the recent demand of the work that patient work leaves headroom for.
	peaks map[level]*peakUse
	// waitingForHeadroom counts the units that the headroom kept waiting in the last round.
	waitingForHeadroom int
	// triedSteps holds the steps that have been tried since a round last had work left for all, undecided
	// is how many the last round has left. nextIdleStep is where the next one looks for idle room first.
	triedSteps   map[stepID]bool
	undecided    int
	nextIdleStep int
	// lastWork is the work of the last round.
	lastWork int
	// claimants holds the units that have claims, and some that have had.
	claimants map[*unit]bool
	// dirtyUnits, orphanedKeys (of units without a job), jobRecords and pendingStarts
	// are what the next batch stores.
	dirtyUnits    map[*unit]bool
	orphanedKeys  []string
	jobRecords    []Record
	pendingStarts []*placement
	// queries holds the advice queries to send, the most urgent first.
	queries []AdviceQuery
	// orders wait for the next batch to be stored; immediateOrders do not.
	orders          []Order
	immediateOrders []Order
}

// New returns an empty cell for one term.
func New(s Settings, now time.Duration, wall time.Time) *Cell {
	return &Cell{settings: s, handoverEnd: now + s.HandoverDelay, now: now, wall: wall, jobs: map[string]*job{}, runners: map[string]*Runner{}, meanRunTimes: map[runTimeKey]*runTimeMean{}, routes: map[string]*jayadmission.Route{}, shareLimits: map[imagePair]int{}, slots: map[poolShape]int{}, demand: map[string]*demand{}, peaks: map[level]*peakUse{}, triedSteps: map[stepID]bool{}, claimants: map[*unit]bool{}, dirtyUnits: map[*unit]bool{}}
}

// SetTime sets the time for the calls that follow: now is monotonic, wall is the
// wall clock.
func (c *Cell) SetTime(now time.Duration, wall time.Time) { c.now, c.wall = now, wall }

// EndHandover sets until when earlier leaders may grant leases.
func (c *Cell) EndHandover(at time.Duration) { c.handoverEnd = at }

// SetStarting allows or forbids placements and preemptions, which are of no use while no
// start can be stored.
func (c *Cell) SetStarting(allowed bool) { c.holdingStarts = !allowed }

func (c *Cell) reportDecision(d Decision) {
	if c.settings.OnDecision != nil {
		c.settings.OnDecision(d)
	}
}

// StateKey returns the record key of a job's state.
func StateKey(id string) string { return "s/" + id }

// IsStateKey reports whether a key was made by StateKey.
func IsStateKey(key string) bool { return strings.HasPrefix(key, "s/") }

// JobKey returns the record key of an accepted job.
func JobKey(id string) string { return "j/" + id }

// CancelKey returns the record key of a job's cancellation.
func CancelKey(id string) string { return "c/" + id }

type stateRecord struct {
	_     struct{} `cbor:",toarray"`
	State uint8
	At    int64
}

// EncodeState encodes a job state and the time at which it was reached.
func EncodeState(s jaytask.State, at time.Time) []byte {
	b, err := cbor.Marshal(stateRecord{State: uint8(s), At: at.UnixMilli()})
	if err != nil {
		panic(err)
	}
	return b
}

// DecodeState decodes the output of EncodeState.
func DecodeState(b []byte) (jaytask.State, time.Time, error) {
	var r stateRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		return 0, time.Time{}, &jaytask.RecordError{What: "state", Cause: err}
	}
	if r.State < uint8(jaytask.Queued) || r.State > uint8(jaytask.Canceled) {
		return 0, time.Time{}, &jaytask.RecordError{What: "state", Cause: &jaytask.InvalidError{Field: "state", Cause: "out of range"}}
	}
	return jaytask.State(r.State), time.UnixMilli(r.At), nil
}

// Submit adds an accepted job and reports whether it was unknown. It does nothing if the job is
// known already.
func (c *Cell) Submit(spec *jaytask.Job) bool {
	if c.jobs[spec.ID] != nil {
		return false
	}
	c.jobs[spec.ID] = newJob(spec)
	c.recordRoute(spec)
	return true
}

// MarkStarted records at the start of a term that a job has started in an earlier
// one.
func (c *Cell) MarkStarted(id string) {
	if j := c.jobs[id]; j != nil {
		j.started, j.state = true, jaytask.Running
	}
}

// RestoreUnit restores a unit from a record of an earlier term. It is called after
// all jobs have been submitted.
func (c *Cell) RestoreUnit(r Record) error {
	name := r.Key
	id, occurrence, step, index, ok := parseUnitKey(name)
	if !ok {
		return &jaytask.RecordError{What: "unit " + name, Cause: &jaytask.InvalidError{Field: "key", Cause: "not a unit"}}
	}
	j := c.jobs[id]
	if j == nil {
		c.orphanedKeys = append(c.orphanedKeys, name)
		return nil
	}
	record, err := decodeUnitRecord(r.Value)
	if err != nil {
		return &jaytask.RecordError{What: "unit " + name, Cause: err}
	}
	u := j.unitFor(occurrence, step, index)
	if u == nil {
		return &jaytask.RecordError{What: "unit " + name, Cause: &jaytask.InvalidError{Field: "key", Cause: "no such task"}}
	}
	u.run, u.failedRuns, u.checkpoint, u.crashes = record.Run, record.FailedRuns, record.Checkpoint, record.Crashes
	switch phase(record.Phase) {
	case phaseDone:
		c.completeUnit(u)
	case phaseFailed:
		u.phase = phaseFailed
		c.endJob(j, jaytask.Failed)
	case phaseActive:
		u.phase = phaseActive
		for _, m := range record.Members {
			c.restorePlacement(u, m)
		}
		c.concludeRun(u)
	}
	return nil
}

// restorePlacement restores a placement of an earlier term. Its runner has not
// reported yet: the run may continue until a lease granted now would end.
func (c *Cell) restorePlacement(u *unit, m memberRecord) {
	r := c.runners[m.Runner]
	if r == nil {
		r = newRunner(m.Runner, m.Node)
		r.leaseEnd = c.latestLeaseEnd(c.now)
		c.runners[m.Runner] = r
	}
	pl := newPlacement(u, m.Index, r, c.now)
	pl.committed, pl.restored = true, true
	u.placements = append(u.placements, pl)
	r.addPlacement(pl)
}

// latestLeaseEnd returns the latest time at which a lease granted at a given time may end.
func (c *Cell) latestLeaseEnd(granted time.Duration) time.Duration {
	return granted + c.settings.Lease + time.Duration(float64(c.settings.Lease)*clockDrift) + clockSlack
}

// Cancel cancels a job that has not ended and stops its runs.
func (c *Cell) Cancel(id string) {
	j := c.jobs[id]
	if j == nil || j.state.Ended() {
		return
	}
	j.canceled = true
	c.reportDecision(Decision{Job: id, Event: "cancel", Outcome: "stopping", Reason: "canceled by the caller", AgeMS: c.jobAgeMS(j)})
	c.endJob(j, jaytask.Canceled)
}

// jobAgeMS returns the time since the job was accepted, in milliseconds.
func (c *Cell) jobAgeMS(j *job) int64 { return c.wall.Sub(j.spec.Accepted).Milliseconds() }

// endJob records a final state and stops the runs that are left.
func (c *Cell) endJob(j *job, s jaytask.State) {
	if j.state.Ended() {
		return
	}
	j.state, j.endedAt = s, c.now
	c.jobRecords = append(c.jobRecords, Record{Key: StateKey(j.spec.ID), Value: EncodeState(s, c.wall)})
	c.reportDecision(Decision{Job: j.spec.ID, Event: "state", Outcome: s.String(), AgeMS: c.jobAgeMS(j)})
	for _, u := range j.units {
		u.claims = nil
		c.dirtyUnits[u] = true
		if u.phase == phaseActive {
			c.stopUnit(u, "job "+s.String())
		}
	}
}

// stopUnit stops the current run of a unit.
func (c *Cell) stopUnit(u *unit, reason string) {
	if u.stopping {
		return
	}
	u.stopping = true
	u.reason = reason
	for _, pl := range u.placements {
		c.stopPlacement(pl)
	}
}

func (c *Cell) stopPlacement(pl *placement) {
	if pl.stopOrdered {
		return
	}
	pl.stopOrdered = true
	if !pl.committed {
		// ConfirmStored ends it without a start.
		return
	}
	pl.orderSentAt = c.now
	c.immediateOrders = append(c.immediateOrders, stopOrder(pl))
	c.reportDecision(Decision{Job: pl.unit.job.spec.ID, Task: pl.task(), Run: pl.run, Runner: pl.runner.id, Event: "stop", Outcome: "ordered", Reason: pl.unit.reason, AgeMS: c.jobAgeMS(pl.unit.job)})
}

// completeUnit marks a unit as done.
func (c *Cell) completeUnit(u *unit) {
	if u.phase == phaseDone {
		return
	}
	u.phase = phaseDone
	u.claims = nil
	j := u.job
	j.remaining[u.occurrence][u.step]--
	j.remainingUnits--
	c.dirtyUnits[u] = true
	if j.remainingUnits == 0 {
		c.endJob(j, jaytask.Completed)
	}
}

// endPlacement removes a placement whose run has certainly ended or never started, and
// completes, fails or requeues its unit.
func (c *Cell) endPlacement(pl *placement, reason EndReason, checkpoint string) {
	u := pl.unit
	pl.runner.removePlacement(pl)
	for i, other := range u.placements {
		if other == pl {
			u.placements = append(u.placements[:i], u.placements[i+1:]...)
			break
		}
	}
	c.reportDecision(Decision{Job: u.job.spec.ID, Task: pl.task(), Run: pl.run, Runner: pl.runner.id, Event: "end", Outcome: reason.String(), Reason: u.reason, AgeMS: c.jobAgeMS(u.job)})
	if u.phase != phaseActive {
		c.dirtyUnits[u] = true
		return
	}
	if checkpoint == "" {
		checkpoint = pl.checkpoint
	}
	c.setCheckpoint(u, checkpoint)
	switch reason {
	case EndDone:
		pl.runner.resetFailures()
		u.job.healthy = true
		if !u.spec().Daemon {
			// Gang members are done together, so the first one completes the gang.
			c.recordRunTime(pl)
			c.completeUnit(u)
			return
		}
	case EndFailed:
		if !u.spec().Daemon {
			c.countFailure(u, pl.run)
		}
		if !u.spec().Daemon || !pl.confirmed || c.now-pl.confirmedAt < earlyFailureWindow {
			c.recordFailure(pl)
		}
	case EndGangIncomplete, EndRefused:
		u.notBefore = c.now + retryDelay
	}
	if reason != EndDone && u.spec().Gang {
		c.stopUnit(u, "a member ended as "+reason.String())
	}
	c.concludeRun(u)
}

// concludeRun requeues or fails an active unit once it has no placements left.
func (c *Cell) concludeRun(u *unit) {
	if u.phase != phaseActive || len(u.placements) > 0 {
		return
	}
	u.phase, u.stopping = phaseWaiting, false
	c.dirtyUnits[u] = true
	if u.exhausted() {
		u.phase = phaseFailed
		c.endJob(u.job, jaytask.Failed)
	}
}

// TakeBatch returns the records and orders since the last call.
func (c *Cell) TakeBatch() *Batch {
	c.failOutgrown()
	b := &Batch{JobStates: c.jobRecords, Orders: c.orders, placements: c.pendingStarts}
	for u := range c.dirtyUnits {
		// The units of an ended job keep their records until their runs have ended.
		if !u.job.state.Ended() || len(u.placements) > 0 {
			b.Units = append(b.Units, u.record())
		} else if u.run > 0 {
			b.Deletions = append(b.Deletions, Record{Key: u.key()})
		}
	}
	for _, k := range c.orphanedKeys {
		b.Deletions = append(b.Deletions, Record{Key: k})
	}
	for _, records := range [][]Record{b.Units, b.Deletions} {
		sort.Slice(records, func(i, j int) bool { return records[i].Key < records[j].Key })
	}
	c.dirtyUnits, c.orphanedKeys, c.jobRecords, c.orders, c.pendingStarts = map[*unit]bool{}, nil, nil, nil, nil
	return b
}

// TakeImmediateOrders returns the orders that can be sent before a batch is stored.
func (c *Cell) TakeImmediateOrders() []Order {
	o := c.immediateOrders
	c.immediateOrders = nil
	return o
}

// ConfirmStored records that a batch is stored and returns the orders that may now
// be sent. A start that was stopped in the meantime was never sent and ends here.
func (c *Cell) ConfirmStored(b *Batch) []Order {
	orders := b.Orders
	for _, pl := range b.placements {
		if pl.isOutdated() {
			c.stopUnit(pl.unit, "the capacity of its runner has shrunk")
		}
	}
	for _, pl := range b.placements {
		pl.committed, pl.orderSentAt = true, c.now
		if pl.runner.placements[pl.task()] != pl {
			continue
		}
		if pl.stopOrdered {
			c.endPlacement(pl, EndRefused, "")
			continue
		}
		orders = append(orders, c.startOrder(pl))
	}
	return orders
}

func stopOrder(pl *placement) Order {
	return Order{Kind: OrderStop, Node: pl.runner.node, Runner: pl.runner.id, Task: pl.task(), Run: pl.run}
}

func (c *Cell) startOrder(pl *placement) Order {
	pl.runner.sentStarts[pl.task()] = sentStart{run: pl.run, sentAt: c.now}
	return Order{Kind: OrderStart, Node: pl.runner.node, Runner: pl.runner.id, Task: pl.task(), Run: pl.run, Spec: pl.unit.job.spec.Spec, Checkpoint: pl.unit.checkpoint, Ticket: c.ticketFor(pl), Capacity: pl.capacity}
}
