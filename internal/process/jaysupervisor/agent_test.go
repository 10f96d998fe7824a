package jaysupervisor

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// acceptedLink is a link that an entry has accepted.
type acceptedLink struct {
	entry string
	link  *jaylink.Link
}

// startEntry accepts links, which it sends to accepted. It grants every report a lease, or
// tells who leads if the address of a leader is given. It returns its address.
func startEntry(t *testing.T, name, leader string, accepted chan<- acceptedLink) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	endpoint := &jaylink.Endpoint{
		Name: name, MaxLinks: 16, Timing: jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout},
		MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} },
		Admit:         func(*jayframe.Hello) (*jayframe.HelloReply, error) { return &jayframe.HelloReply{}, nil },
		Opened:        func(l *jaylink.Link, _ *jayframe.Hello) { accepted <- acceptedLink{entry: name, link: l} },
		Closed:        func(*jaylink.Link) {},
		Handler: func(l *jaylink.Link, _ uint64, m jayframe.Message) {
			r, ok := m.(*jayframe.CellReport)
			switch {
			case ok && leader != "":
				_ = l.Send(&jayframe.CellView{Term: 1, Leader: "leader", Address: leader})
			case ok:
				_ = l.Send(&jayframe.CellLeaseGrant{Term: 1, Sequence: r.Sequence})
			}
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = endpoint.Serve(ctx, listener); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return listener.Addr().String()
}

// startAgent runs an agent whose store knows nothing.
func startAgent(t *testing.T, seeds ...string) *Agent {
	return startAgentWith(t, New(), func() (jaystore.Page, error) { return jaystore.Page{}, nil }, seeds...)
}

// startAgentWith runs an agent whose store returns the newest records.
func startAgentWith(t *testing.T, s *Supervisor, newest func() (jaystore.Page, error), seeds ...string) *Agent {
	s.Node, s.Client, s.Lease, s.Logger = "n1", newFakeRunner().client(), time.Minute, zerolog.Nop()
	a := NewAgent(s)
	a.Name, a.Seeds, a.Logger = "n1", seeds, zerolog.Nop()
	a.Store = &jaystore.Client{
		Newest: func(context.Context, string, string) (jaystore.Page, error) { return newest() },
		Read: func(ctx context.Context, _ string, _ uint64, _ time.Duration) (jaystore.ReadResult, error) {
			<-ctx.Done()
			return jaystore.ReadResult{}, ctx.Err()
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { a.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return a
}

// The end of a link over which the leader has granted a lease is no failed dial: the agent
// used to ask another entry first.
func TestAgentRedialsLeaderAfterWorkingLink(t *testing.T) {
	accepted := make(chan acceptedLink, 16)
	leader := startEntry(t, "leader", "", accepted)
	a := startAgent(t, startEntry(t, "seed", leader, accepted))
	// The agent dials the seed until it knows the leader.
	assert.Equal(t, (<-accepted).entry, "seed")
	for range 3 {
		current := <-accepted
		assert.Equal(t, current.entry, "leader")
		a.Supervisor.mutex.Lock()
		a.Supervisor.grantedUntil = 0
		a.Supervisor.mutex.Unlock()
		waitUntil(t, "a lease", func() bool {
			a.Supervisor.ReportNow()
			a.Supervisor.mutex.Lock()
			defer a.Supervisor.mutex.Unlock()
			return a.Supervisor.grantedUntil > 0
		})
		current.link.Close("reset")
	}
}

// Guards against a lease of an earlier leader for a runner with orders by heartbeat, whose agent has
// restarted and has not read the newest term from the store.
func TestAgentFollowsNobodyBeforeItHasReadTheTerm(t *testing.T) {
	encode := func(number uint64) []byte {
		b, err := cbor.Marshal([]any{number, "leader", "", uint64(0)})
		assert.NilError(t, err)
		return b
	}
	term := func(value []byte) jaystore.Page {
		return jaystore.Page{Records: []jaystore.StoredRecord{{Record: jaystore.Record{Key: jaycontroller.TermKey, Value: value}}}}
	}
	for _, c := range []struct {
		name       string
		heartbeats bool
		page       jaystore.Page
		err        error
		granted    bool
	}{
		{"the term that the entry tells", true, term(encode(1)), nil, true},
		{"a higher term", true, term(encode(2)), nil, false},
		{"no term yet", true, jaystore.Page{}, nil, true},
		{"an invalid term", true, term([]byte{0xff}), nil, false},
		{"an unreadable record", true, jaystore.Page{Unreadable: 1}, nil, false},
		{"no store", true, jaystore.Page{}, &jaystore.NoAnswerError{}, false},
		{"no store, by call", false, jaystore.Page{}, &jaystore.NoAnswerError{}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			accepted := make(chan acceptedLink, 64)
			s := New()
			s.SetTerm(1)
			s.OrdersByHeartbeat, s.HeartbeatInterval = c.heartbeats, time.Minute
			a := startAgentWith(t, s, func() (jaystore.Page, error) { return c.page, c.err }, startEntry(t, "leader", "", accepted))
			<-accepted
			granted := func() bool {
				a.Supervisor.ReportNow()
				s.mutex.Lock()
				defer s.mutex.Unlock()
				return s.grantedUntil > 0
			}
			if c.granted {
				waitUntil(t, "a lease", granted)
				return
			}
			for range 20 {
				assert.Assert(t, !granted())
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
}
