// Package jayreservation decides on behalf of one worker and its runner: it alone
// grants their accelerators and slots. It has no clock and does no input or
// output.
package jayreservation

import (
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Key names one member of one attempt.
type Key struct {
	Attempt jayattempt.ID
	Member  int
}

// State is where a hold stands.
type State uint8

// The states of a hold.
const (
	// Pending holds wait for victims to leave; the accelerators are fenced for
	// them.
	Pending State = iota
	Granted
	Running
	// Leaving holds are being stopped and still occupy their accelerators.
	Stopping
)

// String returns the state's name.
func (s State) String() string { return [...]string{"pending", "held", "running", "leaving"}[s] }

// Right is the ground on which a request may displace other work.
type PreemptionMode uint8

// The rights of a request.
const (
	// FreeOnly takes what nobody holds.
	NoPreemption PreemptionMode = iota
	// OwnHome takes back the workspace's home from those who borrow it.
	ReclaimHome
	// UrgentOverBorrowed displaces borrowed work of lower classes.
	UrgentPreemption
	// ShorterOverLonger displaces named, checkpointing, borrowed work.
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
	Stoppable     bool
	Checkpointing bool
	Preemption    PreemptionMode
	// Victims are jobs that the requester would stop.
	Victims []string
	// TTL is how long the hold lasts unless it starts running.
	TTL time.Duration
}

// Hold is a granted or pending request.
type Reservation struct {
	request        Request
	state          State
	token          uint64
	since          time.Duration
	lastCheckpoint time.Duration
	expires        time.Duration
	order          uint64
}

// Request returns what was asked for.
func (h *Reservation) Request() Request { return h.request }

// State returns where the hold stands.
func (h *Reservation) State() State { return h.state }

// Token returns the fencing token, which grows with every hold of this owner.
func (h *Reservation) Token() uint64 { return h.token }

// Since returns when the hold was asked for or started running.
func (h *Reservation) Since() time.Duration { return h.since }

// Saved returns when the last checkpoint was taken.
func (h *Reservation) LastCheckpoint() time.Duration { return h.lastCheckpoint }

// RefusedError reports why the owner refuses a request. The request's attempt
// will never run here.
type RefusedError struct {
	Key   Key
	Cause RefusalCause
}

// RefusalCause says why an owner refuses.
type RefusalCause string

// The causes of an owner's refusal.
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
	return fmt.Sprintf("attempt %s member %d refused by owner: %s", e.Key.Attempt, e.Key.Member, e.Cause)
}

// Ledger is the owner's book. It is not safe for concurrent use.
type Ledger struct {
	accelerators int
	slots        int
	reservations map[Key]*Reservation
	homes        map[string]int
	homesKnown   bool
	tombstones   map[jayattempt.ID]time.Duration
	burials      []burial
	tombstoneTTL time.Duration
	draining     bool
	tokens       uint64
	usedSlots    int
	checked      uint64
}

type burial struct {
	attempt jayattempt.ID
	expires time.Duration
}

// New returns an empty ledger whose tokens start above the given number, which
// must grow from one incarnation of the owner to the next.
func New(accelerators, slots int, tokens uint64, tombstones time.Duration) *Ledger {
	return &Ledger{accelerators: accelerators, slots: slots, reservations: map[Key]*Reservation{}, homes: map[string]int{}, tombstones: map[jayattempt.ID]time.Duration{}, tombstoneTTL: tombstones, tokens: tokens}
}

// Accelerators returns how many accelerators the owner grants.
func (l *Ledger) Accelerators() int { return l.accelerators }

// FreeSlots returns how many slots are not held.
func (l *Ledger) FreeSlots() int { return l.slots - l.usedSlots }

// Draining reports whether the owner refuses all new work.
func (l *Ledger) Draining() bool { return l.draining }

// SetDraining makes the owner refuse all new work, or take it again.
func (l *Ledger) SetDraining(on bool) { l.draining = on }

// SetHomes sets whose homes lie on the worker.
func (l *Ledger) SetHomes(homes map[string]int) {
	l.homes = homes
	l.homesKnown = true
}

// Hold returns the hold of the key, or nil.
func (l *Ledger) Reservation(k Key) *Reservation { return l.reservations[k] }

// Holds returns every hold, the oldest first.
func (l *Ledger) Reservations() []*Reservation {
	all := make([]*Reservation, 0, len(l.reservations))
	for _, h := range l.reservations {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].order < all[j].order })
	return all
}

// Evaluations returns how often the ledger's invariants were evaluated.
func (l *Ledger) InvariantChecks() uint64 { return l.checked }

// claimed sums the accelerators of holds that stay: all but the leaving ones.
func (l *Ledger) claimed() int {
	n := 0
	for _, h := range l.reservations {
		if h.state != Stopping {
			n += h.request.Accelerators
		}
	}
	return n
}

// occupied sums the accelerators that work may be using: all but the pending
// ones.
func (l *Ledger) occupied() int {
	n := 0
	for _, h := range l.reservations {
		if h.state != Pending {
			n += h.request.Accelerators
		}
	}
	return n
}

func (l *Ledger) heldBy(workspace string) int {
	n := 0
	for _, h := range l.reservations {
		if h.request.Workspace == workspace && h.state != Stopping {
			n += h.request.Accelerators
		}
	}
	return n
}

// needed returns the sum over workspaces of the greater of home and work that
// may not be stopped, after adding n such accelerators for one workspace.
func (l *Ledger) needed(workspace string, n int) int {
	fixed := map[string]int{workspace: n}
	for _, h := range l.reservations {
		if !h.request.Stoppable && h.state != Stopping {
			fixed[h.request.Workspace] += h.request.Accelerators
		}
	}
	sum := 0
	for s, home := range l.homes {
		sum += max(home, fixed[s])
		delete(fixed, s)
	}
	for _, f := range fixed {
		sum += f
	}
	return sum
}

// Request books a hold. It returns the hold and the holds that must now be
// stopped for it; while there are any the hold is pending. Asking again with
// the same key returns the first hold.
func (l *Ledger) Request(r Request, now time.Duration) (*Reservation, []*Reservation, error) {
	if h := l.reservations[r.Key]; h != nil {
		return h, nil, nil
	}
	if _, buried := l.tombstones[r.Key.Attempt]; buried {
		return nil, nil, l.refuse(r, AttemptTombstoned)
	}
	if l.draining {
		return nil, nil, l.refuse(r, WorkerDraining)
	}
	victims, cause := l.admit(r, now)
	if cause != "" {
		return nil, nil, l.refuse(r, cause)
	}
	l.tokens++
	h := &Reservation{request: r, state: Granted, token: l.tokens, order: l.tokens, since: now, lastCheckpoint: now, expires: now + r.TTL}
	for _, v := range victims {
		l.evict(v, now)
	}
	if l.occupied()+r.Accelerators > l.accelerators {
		h.state = Pending
	}
	l.reservations[r.Key] = h
	if r.Accelerators == 0 {
		l.usedSlots++
	}
	l.assert()
	return h, victims, nil
}

// evict marks a victim as leaving. One that still waits for accelerators
// occupies none, so that it is buried at once.
func (l *Ledger) evict(v *Reservation, now time.Duration) {
	if v.state == Pending {
		l.Tombstone(v.request.Key.Attempt, now)
		return
	}
	v.state = Stopping
}

func (l *Ledger) refuse(r Request, c RefusalCause) error { return &RefusedError{Key: r.Key, Cause: c} }

// admit judges a request and chooses its victims.
func (l *Ledger) admit(r Request, now time.Duration) ([]*Reservation, RefusalCause) {
	if r.Accelerators == 0 {
		if l.usedSlots >= l.slots {
			return nil, NoSlot
		}
		return nil, ""
	}
	if !r.Stoppable {
		if !l.homesKnown {
			return nil, HomesUnknown
		}
		if l.needed(r.Workspace, r.Accelerators) > l.accelerators {
			return nil, GuaranteeBlocked
		}
	}
	need := l.claimed() + r.Accelerators - l.accelerators
	if need <= 0 {
		return nil, ""
	}
	if r.Preemption == ReclaimHome && l.heldBy(r.Workspace)+r.Accelerators > l.homes[r.Workspace] {
		return nil, InsufficientAccelerators
	}
	victims, ok := l.victims(r, need, now)
	if !ok {
		return nil, InsufficientAccelerators
	}
	return victims, ""
}

// victims chooses holds that free the need: those that the requester named
// first, then the least work since a checkpoint.
func (l *Ledger) victims(r Request, need int, now time.Duration) ([]*Reservation, bool) {
	if r.Preemption == NoPreemption {
		return nil, false
	}
	named := map[string]bool{}
	for _, v := range r.Victims {
		named[v] = true
	}
	var allowed []*Reservation
	for _, h := range l.Reservations() {
		if l.mayDisplace(r, h, named[h.request.Job]) {
			allowed = append(allowed, h)
		}
	}
	sort.SliceStable(allowed, func(i, j int) bool {
		a, b := allowed[i], allowed[j]
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
	for _, h := range allowed {
		if need <= 0 {
			break
		}
		space := h.request.Workspace
		if r.Preemption == ReclaimHome && l.heldBy(space)-freed[space] <= l.homes[space] {
			continue
		}
		freed[space] += h.request.Accelerators
		need -= h.request.Accelerators
		chosen = append(chosen, h)
	}
	return chosen, need <= 0
}

// mayDisplace reports whether the request's right reaches the hold. Work that
// may not be stopped is never displaced.
func (l *Ledger) mayDisplace(r Request, h *Reservation, named bool) bool {
	if !h.request.Stoppable || h.state == Stopping || h.request.Accelerators == 0 {
		return false
	}
	own := h.request.Workspace == r.Workspace
	borrowed := l.heldBy(h.request.Workspace) > l.homes[h.request.Workspace]
	switch r.Preemption {
	case ReclaimHome:
		return !own && borrowed
	case UrgentPreemption:
		return h.request.Class > r.Class && (own || borrowed)
	case ShorterPreemption:
		return named && h.request.Class >= r.Class && (own || borrowed)
	}
	return false
}

// Ready promotes pending holds for which enough accelerators are now free, the
// oldest first, and returns them.
func (l *Ledger) GrantPending() []*Reservation {
	var ready []*Reservation
	for _, h := range l.Reservations() {
		if h.state != Pending {
			continue
		}
		if l.occupied()+h.request.Accelerators > l.accelerators {
			break
		}
		h.state = Granted
		ready = append(ready, h)
	}
	l.assert()
	return ready
}

// StaleTokenError reports a step on a hold that is gone or was granted anew.
type StaleTokenError struct {
	Key   Key
	Token uint64
}

// Error implements error.
func (e *StaleTokenError) Error() string {
	return fmt.Sprintf("attempt %s member %d: token %d is not held", e.Key.Attempt, e.Key.Member, e.Token)
}

// Start marks a held member as running, if the token is still the hold's own
// and its time has not lapsed.
func (l *Ledger) Start(k Key, token uint64, now time.Duration) error {
	h := l.reservations[k]
	if h == nil || h.token != token || h.state != Granted || now >= h.expires {
		return &StaleTokenError{Key: k, Token: token}
	}
	h.state = Running
	h.since = now
	h.lastCheckpoint = now
	return nil
}

// Extend gives a held member more time to start.
func (l *Ledger) Extend(k Key, until time.Duration) {
	if h := l.reservations[k]; h != nil && h.state != Running {
		h.expires = max(h.expires, until)
	}
}

// Leave marks a hold as being stopped.
func (l *Ledger) MarkStopping(k Key) {
	if h := l.reservations[k]; h != nil && h.state != Pending {
		h.state = Stopping
	}
}

// Saved records a checkpoint of a running member.
func (l *Ledger) RecordCheckpoint(k Key, now time.Duration) {
	if h := l.reservations[k]; h != nil {
		h.lastCheckpoint = now
	}
}

// Free ends a hold and returns it, or nil.
func (l *Ledger) Release(k Key) *Reservation {
	h := l.reservations[k]
	if h == nil {
		return nil
	}
	delete(l.reservations, k)
	if h.request.Accelerators == 0 {
		l.usedSlots--
	}
	l.assert()
	return h
}

// Bury records that the attempt never starts here. It returns false when a
// member of it runs or has run.
func (l *Ledger) Tombstone(a jayattempt.ID, now time.Duration) bool {
	for k, h := range l.reservations {
		if k.Attempt == a && (h.state == Running || h.state == Stopping) {
			return false
		}
	}
	if _, ok := l.tombstones[a]; !ok {
		l.burials = append(l.burials, burial{attempt: a, expires: now + l.tombstoneTTL})
	}
	l.tombstones[a] = now + l.tombstoneTTL
	for k := range l.reservations {
		if k.Attempt == a {
			l.Release(k)
		}
	}
	return true
}

// Buried reports whether the attempt has a tombstone.
func (l *Ledger) HasTombstone(a jayattempt.ID) bool {
	_, ok := l.tombstones[a]
	return ok
}

// Tombstones returns how many tombstones are kept.
func (l *Ledger) Tombstones() int { return len(l.tombstones) }

// Expire frees held members whose time has lapsed, burying their attempts, and
// forgets old tombstones. It returns the lapsed holds.
func (l *Ledger) Expire(now time.Duration) []*Reservation {
	var lapsed []*Reservation
	for _, h := range l.Reservations() {
		if (h.state == Granted || h.state == Pending) && now >= h.expires {
			lapsed = append(lapsed, h)
			l.Tombstone(h.request.Key.Attempt, now)
			l.Release(h.request.Key)
		}
	}
	n := 0
	for n < len(l.burials) && l.burials[n].expires <= now {
		if l.tombstones[l.burials[n].attempt] <= now {
			delete(l.tombstones, l.burials[n].attempt)
		}
		n++
	}
	l.burials = l.burials[n:]
	return lapsed
}

// assert stops the process rather than grant a thing twice.
func (l *Ledger) assert() {
	l.checked++
	occupied, claimed := l.occupied(), l.claimed()
	jayassert.That(occupied <= l.accelerators, "%d of %d accelerators occupied", occupied, l.accelerators)
	jayassert.That(claimed <= l.accelerators, "%d of %d accelerators claimed", claimed, l.accelerators)
	jayassert.That(l.usedSlots >= 0 && l.usedSlots <= l.slots, "%d of %d slots held", l.usedSlots, l.slots)
}
