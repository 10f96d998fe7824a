package jaygang

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
)

const (
	lease   = 4 * time.Second
	ttl     = 6 * time.Second
	members = 3
)

func id() jayattempt.ID { return jayattempt.NewID(1, 1) }

// messages lists, in order, every message of a gang of three from its
// reservations to its answers.
func messages() []func(g *Gang, now time.Duration) []Action {
	var all []func(g *Gang, now time.Duration) []Action
	for i := range members {
		all = append(all, func(g *Gang, now time.Duration) []Action {
			a, _ := g.Join(i, uint64(i+1), now)
			return a
		})
	}
	all = append(all, func(g *Gang, now time.Duration) []Action {
		a, _ := g.Commit([]uint64{1, 2, 3}, now)
		return a
	})
	for i := range members {
		all = append(all, func(g *Gang, now time.Duration) []Action { return g.MemberPrepared(i, true, "", now) })
	}
	for i := range members {
		all = append(all, func(g *Gang, now time.Duration) []Action {
			return g.MemberEnded(i, Answered, []byte(fmt.Sprint(i)), "", now)
		})
	}
	return all
}

// orderRecorder records the orders that the members receive.
type orderRecorder struct {
	started [members]bool
	stopped [members]bool
	orders  map[Order]int
}

func (r *orderRecorder) apply(actions []Action) {
	for _, a := range actions {
		r.orders[a.Order()]++
		switch a.Order() {
		case Start:
			r.started[a.Member()] = true
		case Stop:
			r.stopped[a.Member()] = true
		case Prepare:
		}
	}
}

func (r *orderRecorder) check(t *testing.T, g *Gang, at string) {
	t.Helper()
	started := 0
	for i := range members {
		if r.started[i] {
			started++
		}
	}
	assert.Assert(t, started == 0 || started == members, "%s: %d of %d members were started", at, started, members)
	if g.Result() == NeverStarted {
		assert.Equal(t, started, 0, at)
	}
	if g.Phase() == Ended && g.Result() != Answered {
		assert.Equal(t, r.stopped, [members]bool{true, true, true}, at)
	}
}

func TestGangAnswers(t *testing.T) {
	g := New(id(), members, lease, ttl, 0)
	rec := &orderRecorder{orders: map[Order]int{}}
	for _, send := range messages() {
		rec.apply(send(g, 0))
	}
	assert.Equal(t, g.Result(), Answered)
	assert.DeepEqual(t, g.Answers(), [][]byte{[]byte("0"), []byte("1"), []byte("2")})
	assert.Equal(t, rec.orders[Start], members)
	assert.Equal(t, rec.orders[Stop], 0)
	assert.Assert(t, g.Settled(0))
}

// TestFailureAfterEveryMessage injects each kind of failure after each message.
// Either all members or none may start, and all must be ordered to stop.
func TestFailureAfterEveryMessage(t *testing.T) {
	failures := []struct {
		name string
		fail func(g *Gang, i int, now time.Duration) []Action
	}{
		{"silence", func(g *Gang, _ int, now time.Duration) []Action { return g.Tick(now + lease + ttl) }},
		{"cancel", func(g *Gang, _ int, now time.Duration) []Action { return g.Stop(Canceled, "cancel", now) }},
		{"reclaim", func(g *Gang, i int, now time.Duration) []Action {
			return g.MemberEnded(i, Stopped, nil, "reclaim", now)
		}},
		{"crash", func(g *Gang, i int, now time.Duration) []Action { return g.MemberEnded(i, Failed, nil, "crash", now) }},
		{"refused", func(g *Gang, i int, now time.Duration) []Action {
			return g.MemberEnded(i, NeverStarted, nil, "refused", now)
		}},
		{"unprepared", func(g *Gang, i int, now time.Duration) []Action {
			return g.MemberPrepared(i, false, "cannot load", now)
		}},
	}
	all := messages()
	for _, f := range failures {
		for sent := range len(all) + 1 {
			for m := range members {
				at := fmt.Sprintf("%s of member %d after message %d", f.name, m, sent)
				g := New(id(), members, lease, ttl, 0)
				rec := &orderRecorder{orders: map[Order]int{}}
				for _, send := range all[:sent] {
					rec.apply(send(g, 0))
				}
				rec.apply(f.fail(g, m, 0))
				rec.check(t, g, at)
				for _, send := range all[sent:] {
					rec.apply(send(g, time.Second))
				}
				rec.check(t, g, at+", then the remaining messages")
				if g.Phase() != Ended {
					rec.apply(g.Tick(time.Hour))
				}
				assert.Equal(t, g.Phase(), Ended, at)
				assert.Assert(t, g.Settled(time.Hour), at)
			}
		}
	}
}

func TestJoinWithAnotherTokenFails(t *testing.T) {
	g := New(id(), members, lease, ttl, 0)
	_, err := g.Join(0, 1, 0)
	assert.NilError(t, err)
	_, err = g.Join(0, 2, 0)
	var phase *PhaseError
	assert.Assert(t, errors.As(err, &phase))
}

// TestAssertionDetectsFalseNeverStarted ends a started gang as never started: the
// assertion must fail.
func TestAssertionDetectsFalseNeverStarted(t *testing.T) {
	var failure error
	before := jayassert.OnViolation
	jayassert.OnViolation = func(err error) { failure = err }
	defer func() { jayassert.OnViolation = before }()
	g := New(id(), members, lease, ttl, 0)
	g.phase = Started
	g.end(NeverStarted, "", 0)
	assert.ErrorContains(t, failure, "ends as never started")
}
