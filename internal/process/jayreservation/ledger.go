// Package jayreservation implements the ledger of one worker and its runner: the
// only authority that grants their accelerators and slots. The worker's agent owns
// it. It has no clock and does no I/O.
package jayreservation

import (
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Key identifies one member of one attempt.
type Key struct {
	Attempt jayattempt.ID
	Member  int
}

// State is the state of a reservation.
type State uint8

// The states of a reservation.
const (
	// Pending reservations wait until their victims have stopped; no other
	// request can get the accelerators in the meantime.
	Pending State = iota
	Granted
	Running
	// Stopping reservations still occupy their accelerators.
	Stopping
)

// String returns the state's name, which is "held" for Granted and "leaving" for
// Stopping.
func (s State) String() string { return [...]string{"pending", "held", "running", "leaving"}[s] }

// PreemptionMode says which work a request may preempt.
type PreemptionMode uint8

// The preemption modes of a request.
const (
	// NoPreemption uses free accelerators only.
	NoPreemption PreemptionMode = iota
	// ReclaimHome preempts work of other workspaces beyond their homes, until the
	// request's workspace has its own home.
	ReclaimHome
	// UrgentPreemption preempts work of lower classes: of the request's workspace,
	// or of others beyond their homes.
	UrgentPreemption
	// ShorterPreemption preempts the work that the request names, which the
	// scheduler chooses among checkpointing work: of the request's workspace, or of
	// others beyond their homes.
	ShorterPreemption
)

// Request asks for accelerators, or for one slot when it asks for none.
type Request struct {
	Key           Key
	Job           string
	Workspace     string
	Kind          string
	Class         jayjob.Class
	Accelerators  int
	Preemptible   bool
	Checkpointing bool
	Preemption    PreemptionMode
	// Victims are the jobs that the requester proposes to stop.
	Victims []string
	// TTL is how long the reservation lasts unless its work starts.
	TTL time.Duration
}

// Reservation is a granted or pending request.
type Reservation struct {
	request        Request
	state          State
	token          uint64
	since          time.Duration
	lastCheckpoint time.Duration
	expires        time.Duration
	sequence       uint64
}

// Request returns what was asked for.
func (r *Reservation) Request() Request { return r.request }

// State returns the state of the reservation.
func (r *Reservation) State() State { return r.state }

// Token returns the fencing token, which increases with every reservation of
// the ledger.
func (r *Reservation) Token() uint64 { return r.token }

// Since returns when the reservation was requested or, once running, started.
func (r *Reservation) Since() time.Duration { return r.since }

// LastCheckpoint returns when the last checkpoint was taken, or Since.
func (r *Reservation) LastCheckpoint() time.Duration { return r.lastCheckpoint }

// RefusedError reports why the ledger refuses a request. The request's attempt
// never runs on this worker.
type RefusedError struct {
	Key   Key
	Cause RefusalCause
}

// RefusalCause says why the ledger refuses a request.
type RefusalCause string

// The causes of a refusal.
const (
	InsufficientAccelerators RefusalCause = "no_room"
	NoSlot                   RefusalCause = "no_slot"
	GuaranteeBlocked         RefusalCause = "guarantee_blocked"
	WorkerDraining           RefusalCause = "draining"
	AttemptTombstoned        RefusalCause = "buried"
	HomesUnknown             RefusalCause = "homes_unknown"
)

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("attempt %s member %d refused: %s", e.Key.Attempt, e.Key.Member, e.Cause)
}

// Ledger holds the reservations of one worker and its runner. It is not safe for
// concurrent use.
type Ledger struct {
	accelerators    int
	slots           int
	reservations    map[Key]*Reservation
	homes           map[string]int
	homesKnown      bool
	tombstones      map[jayattempt.ID]time.Duration
	tombstoneQueue  []tombstone
	tombstoneTTL    time.Duration
	draining        bool
	lastToken       uint64
	usedSlots       int
	invariantChecks uint64
}

type tombstone struct {
	attempt jayattempt.ID
	expires time.Duration
}

// New returns an empty ledger. Its tokens start above lastToken, which must
// increase from one incarnation of the worker's agent to the next. A tombstone
// is kept for tombstoneTTL.
func New(accelerators, slots int, lastToken uint64, tombstoneTTL time.Duration) *Ledger {
	return &Ledger{accelerators: accelerators, slots: slots, reservations: map[Key]*Reservation{}, homes: map[string]int{}, tombstones: map[jayattempt.ID]time.Duration{}, tombstoneTTL: tombstoneTTL, lastToken: lastToken}
}

// Accelerators returns how many accelerators the worker has.
func (l *Ledger) Accelerators() int { return l.accelerators }

// FreeSlots returns how many slots are not reserved.
func (l *Ledger) FreeSlots() int { return l.slots - l.usedSlots }

// Draining reports whether the ledger refuses all new requests.
func (l *Ledger) Draining() bool { return l.draining }

// SetDraining sets whether the ledger refuses all new requests.
func (l *Ledger) SetDraining(draining bool) { l.draining = draining }

// SetHomes sets how many of the worker's accelerators are home to each
// workspace.
func (l *Ledger) SetHomes(homes map[string]int) {
	l.homes = homes
	l.homesKnown = true
}

// Reservation returns the reservation of the key, or nil.
func (l *Ledger) Reservation(k Key) *Reservation { return l.reservations[k] }

// Reservations returns all reservations, the oldest first.
func (l *Ledger) Reservations() []*Reservation {
	all := make([]*Reservation, 0, len(l.reservations))
	for _, res := range l.reservations {
		all = append(all, res)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].sequence < all[j].sequence })
	return all
}

// InvariantChecks returns how often the ledger's invariants were checked.
func (l *Ledger) InvariantChecks() uint64 { return l.invariantChecks }

// committed sums the accelerators of all reservations but the stopping ones.
func (l *Ledger) committed() int {
	n := 0
	for _, res := range l.reservations {
		if res.state != Stopping {
			n += res.request.Accelerators
		}
	}
	return n
}

// occupied sums the accelerators of all reservations but the pending ones: those
// that work may be using.
func (l *Ledger) occupied() int {
	n := 0
	for _, res := range l.reservations {
		if res.state != Pending {
			n += res.request.Accelerators
		}
	}
	return n
}

// reservedBy sums the accelerators that the workspace has reserved, without
// stopping reservations.
func (l *Ledger) reservedBy(workspace string) int {
	n := 0
	for _, res := range l.reservations {
		if res.request.Workspace == workspace && res.state != Stopping {
			n += res.request.Accelerators
		}
	}
	return n
}

// guaranteedDemand sums, over all workspaces, the larger of the workspace's home
// and its non-preemptible work, after adding n accelerators of non-preemptible work
// for the given workspace. Every home stays reclaimable while the sum does not
// exceed the accelerators.
func (l *Ledger) guaranteedDemand(workspace string, n int) int {
	nonPreemptible := map[string]int{workspace: n}
	for _, res := range l.reservations {
		if !res.request.Preemptible && res.state != Stopping {
			nonPreemptible[res.request.Workspace] += res.request.Accelerators
		}
	}
	sum := 0
	for name, home := range l.homes {
		sum += max(home, nonPreemptible[name])
		delete(nonPreemptible, name)
	}
	for _, n := range nonPreemptible {
		sum += n
	}
	return sum
}

// Request makes a reservation. It returns it with the reservations that must now
// be stopped for it; the new reservation is pending while they occupy its
// accelerators. A second request with the same key returns the first reservation.
func (l *Ledger) Request(r Request, now time.Duration) (*Reservation, []*Reservation, error) {
	if res := l.reservations[r.Key]; res != nil {
		return res, nil, nil
	}
	if _, tombstoned := l.tombstones[r.Key.Attempt]; tombstoned {
		return nil, nil, l.refuse(r, AttemptTombstoned)
	}
	if l.draining {
		return nil, nil, l.refuse(r, WorkerDraining)
	}
	victims, cause := l.admit(r, now)
	if cause != "" {
		return nil, nil, l.refuse(r, cause)
	}
	l.lastToken++
	res := &Reservation{request: r, state: Granted, token: l.lastToken, sequence: l.lastToken, since: now, lastCheckpoint: now, expires: now + r.TTL}
	for _, v := range victims {
		l.preempt(v, now)
	}
	if l.occupied()+r.Accelerators > l.accelerators {
		res.state = Pending
	}
	l.reservations[r.Key] = res
	if r.Accelerators == 0 {
		l.usedSlots++
	}
	l.assertInvariants()
	return res, victims, nil
}

// preempt marks a victim as stopping. A pending one occupies no accelerators, so its
// attempt gets a tombstone at once.
func (l *Ledger) preempt(v *Reservation, now time.Duration) {
	if v.state == Pending {
		l.Tombstone(v.request.Key.Attempt, now)
		return
	}
	v.state = Stopping
}

func (l *Ledger) refuse(r Request, c RefusalCause) error { return &RefusedError{Key: r.Key, Cause: c} }

// admit returns the victims of a request that can be granted, or why it cannot.
func (l *Ledger) admit(r Request, now time.Duration) ([]*Reservation, RefusalCause) {
	if r.Accelerators == 0 {
		if l.usedSlots >= l.slots {
			return nil, NoSlot
		}
		return nil, ""
	}
	if !r.Preemptible {
		if !l.homesKnown {
			return nil, HomesUnknown
		}
		if l.guaranteedDemand(r.Workspace, r.Accelerators) > l.accelerators {
			return nil, GuaranteeBlocked
		}
	}
	need := l.committed() + r.Accelerators - l.accelerators
	if need <= 0 {
		return nil, ""
	}
	if r.Preemption == ReclaimHome && l.reservedBy(r.Workspace)+r.Accelerators > l.homes[r.Workspace] {
		return nil, InsufficientAccelerators
	}
	victims, ok := l.chooseVictims(r, need, now)
	if !ok {
		return nil, InsufficientAccelerators
	}
	return victims, ""
}

// chooseVictims chooses reservations that free the needed accelerators: first
// those that the request names, then lower classes, then the least work since a
// checkpoint.
func (l *Ledger) chooseVictims(r Request, need int, now time.Duration) ([]*Reservation, bool) {
	if r.Preemption == NoPreemption {
		return nil, false
	}
	named := map[string]bool{}
	for _, v := range r.Victims {
		named[v] = true
	}
	var preemptible []*Reservation
	for _, res := range l.Reservations() {
		if l.mayPreempt(r, res, named[res.request.Job]) {
			preemptible = append(preemptible, res)
		}
	}
	sort.SliceStable(preemptible, func(i, j int) bool {
		a, b := preemptible[i], preemptible[j]
		if named[a.request.Job] != named[b.request.Job] {
			return named[a.request.Job]
		}
		if a.request.Class != b.request.Class {
			return a.request.Class > b.request.Class
		}
		return (now-a.lastCheckpoint)*time.Duration(a.request.Accelerators) < (now-b.lastCheckpoint)*time.Duration(b.request.Accelerators)
	})
	var chosen []*Reservation
	freed := map[string]int{}
	for _, res := range preemptible {
		if need <= 0 {
			break
		}
		workspace := res.request.Workspace
		if r.Preemption == ReclaimHome && l.reservedBy(workspace)-freed[workspace] <= l.homes[workspace] {
			continue
		}
		freed[workspace] += res.request.Accelerators
		need -= res.request.Accelerators
		chosen = append(chosen, res)
	}
	return chosen, need <= 0
}

// mayPreempt reports whether the request's preemption mode covers the
// reservation. Non-preemptible work is never preempted.
func (l *Ledger) mayPreempt(r Request, res *Reservation, named bool) bool {
	if !res.request.Preemptible || res.state == Stopping || res.request.Accelerators == 0 {
		return false
	}
	own := res.request.Workspace == r.Workspace
	borrowed := l.reservedBy(res.request.Workspace) > l.homes[res.request.Workspace]
	switch r.Preemption {
	case ReclaimHome:
		return !own && borrowed
	case UrgentPreemption:
		return res.request.Class > r.Class && (own || borrowed)
	case ShorterPreemption:
		return named && res.request.Class >= r.Class && (own || borrowed)
	}
	return false
}

// GrantPending grants pending reservations, the oldest first, as far as enough
// accelerators are free, and returns those that it granted.
func (l *Ledger) GrantPending() []*Reservation {
	var granted []*Reservation
	for _, res := range l.Reservations() {
		if res.state != Pending {
			continue
		}
		if l.occupied()+res.request.Accelerators > l.accelerators {
			break
		}
		res.state = Granted
		granted = append(granted, res)
	}
	l.assertInvariants()
	return granted
}

// StaleTokenError reports a token whose reservation has ended or expired, was
// replaced, or is not in the granted state.
type StaleTokenError struct {
	Key   Key
	Token uint64
}

// Error implements error.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("attempt %s member %d: token %d is stale", e.Key.Attempt, e.Key.Member, e.Token)
}

// Start marks a granted reservation as running if the token is its own and it
// has not expired.
func (l *Ledger) Start(k Key, token uint64, now time.Duration) error {
	res := l.reservations[k]
	if res == nil || res.token != token || res.state != Granted || now >= res.expires {
		return &StaleTokenError{Key: k, Token: token}
	}
	res.state = Running
	res.since = now
	res.lastCheckpoint = now
	return nil
}

// Extend postpones the expiry of a reservation whose work has not started.
func (l *Ledger) Extend(k Key, until time.Duration) {
	if res := l.reservations[k]; res != nil && res.state != Running {
		res.expires = max(res.expires, until)
	}
}

// MarkStopping marks a reservation as being stopped, unless it is pending.
func (l *Ledger) MarkStopping(k Key) {
	if res := l.reservations[k]; res != nil && res.state != Pending {
		res.state = Stopping
	}
}

// RecordCheckpoint records that the member has saved a checkpoint.
func (l *Ledger) RecordCheckpoint(k Key, now time.Duration) {
	if res := l.reservations[k]; res != nil {
		res.lastCheckpoint = now
	}
}

// Release ends a reservation and returns it, or nil if there is none.
func (l *Ledger) Release(k Key) *Reservation {
	res := l.reservations[k]
	if res == nil {
		return nil
	}
	delete(l.reservations, k)
	if res.request.Accelerators == 0 {
		l.usedSlots--
	}
	l.assertInvariants()
	return res
}

// Tombstone ensures that the attempt never starts here. It returns false when a
// member of the attempt is running or being stopped.
func (l *Ledger) Tombstone(a jayattempt.ID, now time.Duration) bool {
	for k, res := range l.reservations {
		if k.Attempt == a && (res.state == Running || res.state == Stopping) {
			return false
		}
	}
	expires := now + l.tombstoneTTL
	if old, ok := l.tombstones[a]; !ok || old != expires {
		l.tombstoneQueue = append(l.tombstoneQueue, tombstone{attempt: a, expires: expires})
	}
	l.tombstones[a] = expires
	for k := range l.reservations {
		if k.Attempt == a {
			l.Release(k)
		}
	}
	return true
}

// HasTombstone reports whether the attempt has a tombstone.
func (l *Ledger) HasTombstone(a jayattempt.ID) bool {
	_, ok := l.tombstones[a]
	return ok
}

// Tombstones returns how many tombstones are kept.
func (l *Ledger) Tombstones() int { return len(l.tombstones) }

// Expire releases and returns reservations that did not start in time, with a
// tombstone for their attempts, and removes old tombstones.
func (l *Ledger) Expire(now time.Duration) []*Reservation {
	var expired []*Reservation
	for _, res := range l.Reservations() {
		if (res.state == Granted || res.state == Pending) && now >= res.expires {
			expired = append(expired, res)
			l.Tombstone(res.request.Key.Attempt, now)
			l.Release(res.request.Key)
		}
	}
	n := 0
	for n < len(l.tombstoneQueue) && l.tombstoneQueue[n].expires <= now {
		if l.tombstones[l.tombstoneQueue[n].attempt] <= now {
			delete(l.tombstones, l.tombstoneQueue[n].attempt)
		}
		n++
	}
	l.tombstoneQueue = l.tombstoneQueue[n:]
	return expired
}

// assertInvariants stops the process when accelerators or slots are granted
// twice.
func (l *Ledger) assertInvariants() {
	l.invariantChecks++
	occupied, committed := l.occupied(), l.committed()
	jayassert.That(occupied <= l.accelerators, "%d of %d accelerators occupied", occupied, l.accelerators)
	jayassert.That(committed <= l.accelerators, "%d of %d accelerators committed", committed, l.accelerators)
	jayassert.That(l.usedSlots >= 0 && l.usedSlots <= l.slots, "%d of %d slots reserved", l.usedSlots, l.slots)
}
