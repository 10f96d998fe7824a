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

func request(n uint64, workspace string, accelerators int, preemptible bool, mode PreemptionMode) Request {
	return Request{Key: key(n), Job: fmt.Sprint(n), Workspace: workspace, Class: jayjob.Standard, Accelerators: accelerators, Preemptible: preemptible, Preemption: mode, TTL: time.Second}
}

// TestLedgerInvariants requests, starts, rejects and releases at random. Tokens
// must increase, an attempt with a tombstone must never be granted, non-preemptible
// work must not be stopped and the home of workspace a must stay reclaimable. The
// ledger's own assertions check that nothing is granted twice.
func TestLedgerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(8, 2, 0, time.Hour)
		l.SetHomes(map[string]int{"a": 4})
		tombstones := map[jayattempt.ID]bool{}
		now := time.Duration(0)
		token := uint64(0)
		for n := range uint64(rapid.IntRange(1, 40).Draw(t, "steps")) {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "pass")) * time.Millisecond
			for _, res := range l.Expire(now) {
				tombstones[res.Request().Key.Attempt] = true
			}
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0, 1:
				workspace := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "space")
				id := uint64(rapid.IntRange(0, int(n)).Draw(t, "attempt"))
				r := request(id, workspace, rapid.IntRange(0, 4).Draw(t, "n"), rapid.Bool().Draw(t, "stoppable"), PreemptionMode(rapid.IntRange(0, 3).Draw(t, "right")))
				known := l.Reservation(r.Key) != nil
				res, victims, err := l.Request(r, now)
				if err == nil && !known {
					assert.Assert(t, !tombstones[r.Key.Attempt], "an attempt with a tombstone was granted")
					assert.Assert(t, res.Token() > token, "tokens must increase")
					token = res.Token()
				}
				for _, v := range victims {
					assert.Assert(t, v.Request().Preemptible, "non-preemptible work was stopped")
					tombstones[v.Request().Key.Attempt] = tombstones[v.Request().Key.Attempt] || l.HasTombstone(v.Request().Key.Attempt)
				}
			case 2:
				for _, res := range l.Reservations() {
					if res.State() == Granted {
						assert.NilError(t, l.Start(res.Request().Key, res.Token(), now))
					}
				}
			case 3:
				id := jayattempt.NewID(1, uint64(rapid.IntRange(0, int(n)).Draw(t, "bury")))
				if l.Tombstone(id, now) {
					tombstones[id] = true
				}
			case 4:
				for _, res := range l.Reservations() {
					if res.State() == Stopping || (res.State() == Running && rapid.Bool().Draw(t, "end")) {
						l.Release(res.Request().Key)
					}
				}
				l.GrantPending()
			}
			checkHome(t, l)
		}
	})
}

// checkHome checks that workspace a could reclaim its whole home now: the
// non-preemptible work of others leaves enough accelerators.
func checkHome(t *rapid.T, l *Ledger) {
	nonPreemptible := 0
	for _, res := range l.Reservations() {
		if res.Request().Workspace != "a" && !res.Request().Preemptible && res.State() != Stopping {
			nonPreemptible += res.Request().Accelerators
		}
	}
	assert.Assert(t, nonPreemptible <= 4, "non-preemptible work uses %d accelerators of 8 with a home of 4", nonPreemptible)
}

// While a request that reclaims a home is pending, the accelerators that its
// victims free must not go to other requests.
func TestFreedAcceleratorsStayWithPendingRequest(t *testing.T) {
	l := New(8, 0, 0, time.Hour)
	l.SetHomes(map[string]int{"a": 8})
	for n := range uint64(8) {
		res, _, err := l.Request(request(n, "b", 1, true, NoPreemption), 0)
		assert.NilError(t, err)
		assert.NilError(t, l.Start(res.Request().Key, res.Token(), 0))
	}
	claim, victims, err := l.Request(request(100, "a", 8, true, ReclaimHome), 0)
	assert.NilError(t, err)
	assert.Equal(t, len(victims), 8)
	assert.Equal(t, claim.State(), Pending)
	l.Release(victims[0].Request().Key)
	_, _, err = l.Request(request(101, "b", 1, true, NoPreemption), 0)
	var refused *RefusedError
	assert.Assert(t, errors.As(err, &refused), "another request got accelerators of the pending one")
	for _, v := range victims[1:] {
		l.Release(v.Request().Key)
	}
	assert.Equal(t, len(l.GrantPending()), 1)
	assert.Equal(t, claim.State(), Granted)
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name    string
		setup   func(*Ledger)
		request Request
		cause   RefusalCause
	}{
		{"insufficient accelerators", func(*Ledger) {}, request(1, "b", 9, true, NoPreemption), InsufficientAccelerators},
		{"no slot", func(l *Ledger) { _, _, _ = l.Request(request(2, "b", 0, false, NoPreemption), 0) }, request(1, "b", 0, false, NoPreemption), NoSlot},
		{"homes unknown", func(*Ledger) {}, request(1, "b", 1, false, NoPreemption), HomesUnknown},
		{"guarantee", func(l *Ledger) { l.SetHomes(map[string]int{"a": 8}) }, request(1, "b", 1, false, NoPreemption), GuaranteeBlocked},
		{"draining", func(l *Ledger) { l.SetDraining(true) }, request(1, "b", 1, true, NoPreemption), WorkerDraining},
		{"buried", func(l *Ledger) { l.Tombstone(key(1).Attempt, 0) }, request(1, "b", 1, true, NoPreemption), AttemptTombstoned},
	}
	for _, c := range cases {
		l := New(8, 1, 0, time.Hour)
		c.setup(l)
		_, _, err := l.Request(c.request, 0)
		var refused *RefusedError
		assert.Assert(t, errors.As(err, &refused), c.name)
		assert.Equal(t, refused.Cause, c.cause)
	}
}

func TestExpiredReservationNeverStarts(t *testing.T) {
	l := New(8, 0, 0, time.Hour)
	res, _, err := l.Request(request(1, "b", 1, true, NoPreemption), 0)
	assert.NilError(t, err)
	var stale *StaleTokenError
	assert.Assert(t, errors.As(l.Start(key(1), res.Token(), time.Second), &stale))
	assert.Equal(t, len(l.Expire(time.Second)), 1)
	_, _, err = l.Request(request(1, "b", 1, true, NoPreemption), time.Second)
	assert.ErrorContains(t, err, string(AttemptTombstoned))
}

// TestAssertionDetectsDoubleGrant grants accelerators twice: the ledger's own
// assertion must fail.
func TestAssertionDetectsDoubleGrant(t *testing.T) {
	var failure error
	before := jayassert.OnViolation
	jayassert.OnViolation = func(err error) { failure = err }
	defer func() { jayassert.OnViolation = before }()
	l := New(8, 0, 0, time.Hour)
	_, _, err := l.Request(request(1, "b", 8, true, NoPreemption), 0)
	assert.NilError(t, err)
	l.reservations[key(2)] = &Reservation{request: request(2, "b", 1, true, NoPreemption), state: Granted}
	l.assertInvariants()
	assert.ErrorContains(t, failure, "9 of 8 accelerators")
}
