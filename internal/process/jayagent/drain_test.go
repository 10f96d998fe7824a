package jayagent

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

// A request that its entry sent before it had read the agent's notice got no answer, and its
// caller was told that nobody knew whether it had run.
func TestDrainAnswersRequestsFromBeforeItsNoticeWasRead(t *testing.T) {
	shape, err := jayjob.NewShape(1, 0, jayjob.Anywhere)
	assert.NilError(t, err)
	spec, err := jayjob.New(jayjob.Fields{Workspace: "w", Kind: "order", Shape: shape, Idempotent: true, Payload: []byte("pallet")})
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	linked, outcomes := make(chan struct{}), make(chan *jayframe.Outcome, 1)
	known, sent := false, false
	entry := &jaylink.Endpoint{
		Name: "entry-1", MaxLinks: 1, Timing: jaylink.Timing{HeartbeatInterval: 50 * time.Millisecond, SilenceTimeout: time.Minute},
		MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} },
		Admit:         func(*jayframe.Hello) (*jayframe.HelloReply, error) { return &jayframe.HelloReply{}, nil },
		Opened:        func(*jaylink.Link, *jayframe.Hello) {}, Closed: func(*jaylink.Link) {},
		Handler: func(l *jaylink.Link, _ uint64, m jayframe.Message) {
			switch m := m.(type) {
			case *jayframe.Report:
				switch {
				case !m.Draining && !known:
					known = true
					close(linked)
				case m.Draining && !sent:
					sent = true
					// A busy entry reads the notice late.
					time.Sleep(5 * tickInterval)
					_ = l.Send(&jayframe.Reserve{Attempt: jayframe.FromID(jayattempt.NewID(1, 1)), Members: 1, Job: "j", Spec: jayframe.FromSpec(spec), TTLMillis: 1000, Run: true})
				}
			case *jayframe.Outcome:
				outcomes <- m
			}
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = entry.Serve(ctx, listener) }()

	agentListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	settings := jaysettings.DefaultAgent()
	settings.Name, settings.Link, settings.Entries = "side-1", agentListener.Addr().String(), []string{listener.Addr().String()}
	settings.Worker, settings.Runner = "127.0.0.1:1", "127.0.0.1:1"
	settings.HeartbeatInterval, settings.SilenceTimeout = 50*time.Millisecond, time.Minute
	a, closeClients := New(settings, agentListener, zerolog.Nop())
	defer closeClients()
	stopped := make(chan error, 1)
	running, stop := context.WithCancel(ctx)
	defer stop()
	go func() { stopped <- a.Run(running) }()
	<-linked
	stop()
	assert.NilError(t, <-stopped)
	select {
	case o := <-outcomes:
		assert.Equal(t, o.Status, jayframe.StatusNeverStarted)
		assert.Equal(t, o.Code, "draining")
	case <-time.After(time.Second):
		t.Fatal("the agent has ended without an answer to the request")
	}
}
