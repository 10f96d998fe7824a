package jayreservation

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

func key(n uint64) Key { return Key{Attempt: jayattempt.NewID(1, n)} }

func request(n uint64, space string, accelerators int, stoppable bool, right PreemptionMode) Request {
	return Request{Key: key(n), Job: fmt.Sprint(n), Workspace: space, Class: jayjob.Standard, Accelerators: accelerators, Stoppable: stoppable, Preemption: right, TTL: time.Second}
}

// TestLedgerAgainstOracle grants, starts, buries and frees at random. The
// oracle is the list of what was granted: it never exceeds the accelerators, a
// buried attempt never comes back, and a home is always given.
func TestLedgerAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(8, 2, 0, time.Hour)
		l.SetHomes(map[string]int{"a": 4})
		buried := map[jayattempt.ID]bool{}
		now := time.Duration(0)
		token := uint64(0)
		for n := range uint64(rapid.IntRange(1, 40).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond
			for _, h := range l.Expire(now) {
				buried[h.Request().Key.Attempt] = true
			}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				space := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "space")
				id := uint64(rapid.IntRange(0, int(n)).Draw(t, "attempt"))
				r := request(id, space, rapid.IntRange(0, 4).Draw(t, "n"), rapid.Bool().Draw(t, "stoppable"), PreemptionMode(rapid.IntRange(0, 3).Draw(t, "right")))
				known := l.Reservation(r.Key) != nil
				h, victims, err := l.Request(r, now)
				if err == nil && !known {
					assert.Assert(t, !buried[r.Key.Attempt], "a buried attempt was granted")
					assert.Assert(t, h.Token() > token, "tokens must grow")
					token = h.Token()
				}
				for _, v := range victims {
					assert.Assert(t, v.Request().Stoppable, "work that may not be stopped was stopped")
					buried[v.Request().Key.Attempt] = buried[v.Request().Key.Attempt] || l.HasTombstone(v.Request().Key.Attempt)
				}
			case 2:
				for _, h := range l.Reservations() {
					if h.State() == Granted {
						assert.NilError(t, l.Start(h.Request().Key, h.Token(), now))
					}
				}
			case 3:
				id := jayattempt.NewID(1, uint64(rapid.IntRange(0, int(n)).Draw(t, "bury")))
				if l.Tombstone(id, now) {
					buried[id] = true
				}
			case 4:
				for _, h := range l.Reservations() {
					if h.State() == Stopping || (h.State() == Running && rapid.Bool().Draw(t, "end")) {
						l.Release(h.Request().Key)
					}
				}
				l.GrantPending()
			}
			checkHome(t, l)
		}
	})
}

// checkHome checks that workspace a could hold its whole home now: its own
// holds, free accelerators and what may be stopped cover it.
func checkHome(t *rapid.T, l *Ledger) {
	fixed := 0
	for _, h := range l.Reservations() {
		if h.Request().Workspace != "a" && !h.Request().Stoppable && h.State() != Stopping {
			fixed += h.Request().Accelerators
		}
	}
	assert.Assert(t, fixed <= 4, "work that may not be stopped fills %d accelerators of 8 with a home of 4", fixed)
}

func TestHomeIsFencedForItsClaimant(t *testing.T) {
	l := New(8, 0, 0, time.Hour)
	l.SetHomes(map[string]int{"a": 8})
	for n := range uint64(8) {
		h, _, err := l.Request(request(n, "b", 1, true, NoPreemption), 0)
		assert.NilError(t, err)
		assert.NilError(t, l.Start(h.Request().Key, h.Token(), 0))
	}
	claim, victims, err := l.Request(request(100, "a", 8, true, ReclaimHome), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(victims), 8)
	assert.Equal(t, claim.State(), Pending)
	l.Release(victims[0].Request().Key)
	_, _, err = l.Request(request(101, "b", 1, true, NoPreemption), 0)
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "a small job slipped into the gap")
	for _, v := range victims[1:] {
		l.Release(v.Request().Key)
	}
	assert.Equal(t, len(l.GrantPending()), 1)
	assert.Equal(t, claim.State(), Granted)
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name  string
		setup func(*Ledger)
		ask   Request
		cause RefusalCause
	}{
		{"no room", func(*Ledger) {}, request(1, "b", 9, true, NoPreemption), InsufficientAccelerators},
		{"no slot", func(l *Ledger) { _, _, _ = l.Request(request(2, "b", 0, false, NoPreemption), 0) }, request(1, "b", 0, false, NoPreemption), NoSlot},
		{"homes unknown", func(*Ledger) {}, request(1, "b", 1, false, NoPreemption), HomesUnknown},
		{"guarantee", func(l *Ledger) { l.SetHomes(map[string]int{"a": 8}) }, request(1, "b", 1, false, NoPreemption), GuaranteeBlocked},
		{"draining", func(l *Ledger) { l.SetDraining(true) }, request(1, "b", 1, true, NoPreemption), WorkerDraining},
		{"buried", func(l *Ledger) { l.Tombstone(key(1).Attempt, 0) }, request(1, "b", 1, true, NoPreemption), AttemptTombstoned},
	}
	for _, c := range cases {
		l := New(8, 1, 0, time.Hour)
		c.setup(l)
		_, _, err := l.Request(c.ask, 0)
		var refused *RefusedError
		assert.Assert(t, errors.As(err, &refused), c.name)
		assert.Equal(t, refused.Cause, c.cause)
	}
}

func TestLapsedHoldNeverStarts(t *testing.T) {
	l := New(8, 0, 0, time.Hour)
	h, _, err := l.Request(request(1, "b", 1, true, NoPreemption), 0)
	assert.NilError(t, err)
	var stale *StaleTokenError
	assert.Assert(t, errors.As(l.Start(key(1), h.Token(), time.Second), &stale))
	assert.Equal(t, len(l.Expire(time.Second)), 1)
	_, _, err = l.Request(request(1, "b", 1, true, NoPreemption), time.Second)
	assert.ErrorContains(t, err, string(AttemptTombstoned))
}

// TestAssertionNoticesDoubleGrant shows that the ledger's own check can fail.
func TestAssertionNoticesDoubleGrant(t *testing.T) {
	var broken error
	before := jayassert.OnBroken
	jayassert.OnBroken = func(err error) { broken = err }
	defer func() { jayassert.OnBroken = before }()
	l := New(8, 0, 0, time.Hour)
	_, _, err := l.Request(request(1, "b", 8, true, NoPreemption), 0)
	assert.NilError(t, err)
	l.reservations[key(2)] = &Reservation{request: request(2, "b", 1, true, NoPreemption), state: Granted}
	l.assert()
	assert.ErrorContains(t, broken, "9 of 8 accelerators")
}
