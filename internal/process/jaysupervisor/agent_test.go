package jaysupervisor

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
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
	s := New()
	s.Node, s.Client, s.Lease, s.Logger = "n1", newFakeRunner().client(), time.Minute, zerolog.Nop()
	a := NewAgent(s)
	a.Name, a.Seeds, a.Logger = "n1", seeds, zerolog.Nop()
	a.Store = &jaystore.Client{
		Newest: func(context.Context, string, string) (jaystore.Page, error) { return jaystore.Page{}, nil },
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
