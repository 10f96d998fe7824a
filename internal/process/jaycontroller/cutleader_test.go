package jaycontroller

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// cutLeader is a leader whose store serves it while served is set and that has no link to
// the other entry that it knows. One agent is linked to it.
type cutLeader struct {
	t          *testing.T
	controller *Controller
	leadership *leadership
	served     atomic.Bool
	// records is set while the store answers calls for records.
	records atomic.Bool
	// append takes the place of the store's appends if it is set.
	append atomic.Pointer[func() (uint64, error)]
	link   *jaylink.Link
	// sent is the number of the agent's latest report, granted that of the latest one that
	// was granted a lease.
	sent    int64
	granted atomic.Int64
	// onMessage, if set, is a func(jayframe.Message) that gets what the agent receives.
	onMessage atomic.Value
}

func newCutLeader(t *testing.T) *cutLeader { return newLoggedCutLeader(t, zerolog.Logger{}) }

// newLoggedCutLeader is newCutLeader with a log.
func newLoggedCutLeader(t *testing.T, logger zerolog.Logger) *cutLeader {
	f := &cutLeader{t: t}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := New(listener)
	f.controller = c
	c.Name, c.Timing.Lease, c.Logger = "entry-1", 300*time.Millisecond, logger
	c.CallStore = func(context.Context, jaystore.Request) (jaystore.Response, error) {
		if f.served.Load() {
			return jaystore.Response{Status: 200}, nil
		}
		return jaystore.Response{}, errors.New("cut off")
	}
	c.NewStoreClient = func(func(context.Context, jaystore.Request) (jaystore.Response, error)) *jaystore.Client {
		return &jaystore.Client{
			Append: func(context.Context, jaystore.Append) (uint64, error) {
				if serve := f.append.Load(); serve != nil {
					return (*serve)()
				}
				return 0, f.recordsError()
			},
			Newest: func(context.Context, string, string) (jaystore.Page, error) {
				return jaystore.Page{}, f.recordsError()
			},
			Read: func(_ context.Context, _ string, _ uint64, wait time.Duration) (jaystore.ReadResult, error) {
				time.Sleep(min(wait, 50*time.Millisecond))
				return jaystore.ReadResult{}, f.recordsError()
			},
		}
	}
	c.Prepare()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	c.applyCellRecord(jaystore.StoredRecord{Record: jaystore.Record{Key: entryPrefix + "entry-2", Value: encodeEntry("127.0.0.1:1", 1)}})
	f.leadership = newLeadership(c, 1)
	f.leadership.loaded = true
	c.mutex.Lock()
	c.term, c.leadership = Term{number: 1, leader: c.Name}, f.leadership
	c.mutex.Unlock()

	agent := &jaylink.Endpoint{Name: "agent-1", Timing: jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout}, MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} }}
	agent.Handler = func(_ *jaylink.Link, _ uint64, m jayframe.Message) {
		if g, ok := m.(*jayframe.CellLeaseGrant); ok {
			f.granted.Store(max(f.granted.Load(), g.Sequence))
		}
		if handle, ok := f.onMessage.Load().(func(jayframe.Message)); ok {
			handle(m)
		}
	}
	link, _, err := agent.Dial(ctx, listener.Addr().String(), &jayframe.Hello{Role: jayframe.RoleAgent})
	assert.NilError(t, err)
	f.link = link
	go link.Run(ctx)
	return f
}

func (f *cutLeader) recordsError() error {
	if f.records.Load() {
		return nil
	}
	return errors.New("cut off")
}

// report sends a number of reports, ten a second, and lets the leader decide after each.
func (f *cutLeader) report(n int) {
	runs := f.leadership.newRunsWriter()
	for range n {
		f.sent++
		assert.NilError(f.t, f.link.Send(&jayframe.CellReport{Node: "n1", Sequence: f.sent, Term: 1, Runner: "r1", Responsive: true}))
		if f.served.Load() {
			_, err := f.controller.storeTransport.Do(f.t.Context(), jaystore.Request{})
			assert.NilError(f.t, err)
		}
		f.leadership.tick(f.t.Context(), runs)
		time.Sleep(100 * time.Millisecond)
	}
}

// The next leader waits for the end of leases from its own beginning.
func TestLeaderWithoutStoreAndPeersStopsGranting(t *testing.T) {
	f := newCutLeader(t)
	f.report(50)
	assert.Assert(t, f.granted.Load() < f.sent-10, "report %d of %d was granted a lease after %s without the store", f.granted.Load(), f.sent, 5*time.Second)
}

// A leader grants leases while the store serves it, and not after the time that its
// successor allows for.
func TestLeaderGrantsUntilItIsCutOff(t *testing.T) {
	f := newCutLeader(t)
	f.served.Store(true)
	f.records.Store(true)
	f.report(20)
	assert.Assert(t, f.granted.Load() > 0, "no lease was granted")
	f.served.Store(false)
	f.records.Store(false)
	cutAt := f.sent
	f.report(50)
	// One report is sent each 100 ms or later.
	assert.Assert(t, f.granted.Load() <= cutAt+int64(handoverDelay/(100*time.Millisecond)), "report %d was granted a lease; the leader was cut off at %d", f.granted.Load(), cutAt)
}

// An entry that stood still may have a successor before its own loop notices.
func TestReportThatWaitedInAPauseIsGrantedNoLease(t *testing.T) {
	f := newCutLeader(t)
	f.served.Store(true)
	f.records.Store(true)
	f.report(5)
	await(t, "leases are granted", func() bool { f.report(1); return f.granted.Load() > 0 })
	f.leadership.pauses.backdate()
	f.sent++
	assert.NilError(t, f.link.Send(&jayframe.CellReport{Node: "n1", Sequence: f.sent, Term: 1, Runner: "r1", Responsive: true}))
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, f.granted.Load() < f.sent, "granted by a leader that has given no sign of life for %s", maxPause)
}

func TestIsolatedLeader(t *testing.T) {
	const now = time.Hour
	five := []string{"a:1/1", "b:1/1", "c:1/1", "d:1/1", "e:1/1"}
	for _, c := range []struct {
		name      string
		electors  []string
		followers int
		// answerAge is how long ago the followers were asked, termAge the newest term read.
		answerAge     time.Duration
		termAge       time.Duration
		wantsIsolated bool
	}{
		{"store serves", five, 1, 0, 100 * time.Millisecond, false},
		{"store away, all entries follow", five, 5, 0, 10 * time.Second, false},
		{"store away, more than half follow", five, 3, 0, 10 * time.Second, false},
		{"store away, fewer follow", five, 2, 0, isolationTimeout, true},
		{"store away, half follow", five[:4], 2, 0, isolationTimeout, true},
		{"store away, no entry follows", five[:2], 1, 0, isolationTimeout, true},
		{"store away, the only entry", five[:1], 1, 0, 10 * time.Second, false},
		{"store away, no electors stored", nil, 5, 0, isolationTimeout, true},
		{"store away for longer than a successor waits", five, 5, 0, maxOutage, true},
		{"store away, answers just in time", five, 5, followTimeout - 1, 10 * time.Second, false},
		{"store away, answers too old", five, 5, followTimeout, 10 * time.Second, true},
		{"store serves, answers too old", five, 5, followTimeout, isolationTimeout - 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			answeredAt := map[string]time.Duration{}
			for _, e := range five[:c.followers] {
				answeredAt[e] = now - c.answerAge
			}
			s := standing{termKnownAt: now - c.termAge}
			s.followedSince, s.followed = followedSince(c.electors, answeredAt)
			assert.Equal(t, now >= s.grantsUntil(), c.wantsIsolated)
		})
	}
}
