package jayentry

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

// Guards against an entry that ends, or reads another link, because an agent's link has closed
// between the decision to ask it and the call.
func TestLinkThatClosesBeforeItsAgentIsAsked(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	settings := jaysettings.DefaultEntry()
	settings.Name = "entry-1"
	e, closeEntry := New(settings, listener, listener, zerolog.Nop())
	defer closeEntry()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	agent := &jaylink.Endpoint{
		Name: "side-1", MaxLinks: 1, Timing: jaylink.Timing{HeartbeatInterval: time.Second, SilenceTimeout: time.Minute},
		MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} },
		Admit:         func(*jayframe.Hello) (*jayframe.HelloReply, error) { return &jayframe.HelloReply{}, nil },
		Opened:        func(*jaylink.Link, *jayframe.Hello) {}, Closed: func(*jaylink.Link) {},
	}
	go func() { _ = agent.Serve(ctx, listener) }()
	link, _, err := agent.Dial(ctx, listener.Addr().String(), &jayframe.Hello{Role: jayframe.RoleEntry})
	assert.NilError(t, err)
	link.Close("closed")

	shape, err := jayjob.NewShape(1, 0, jayjob.Anywhere)
	assert.NilError(t, err)
	spec, err := jayjob.New(jayjob.Fields{Workspace: "w", Kind: "order", Shape: shape, Idempotent: true, Payload: []byte("pallet")})
	assert.NilError(t, err)
	e.mutex.Lock()
	e.agentOpened(link, &jayframe.Hello{Role: jayframe.RoleAgent, Name: "side-1", Incarnation: 1, Slots: 8})
	j := newJob(jobPrefix+e.ids.Next().String(), spec, e.now())
	e.jobs[j.id] = j
	a := e.newAttempt(j, []string{"side-1"}, e.agents["side-1"], e.now())
	e.transition(a, jayattempt.Sent)
	e.resolveStale(e.now() + 2*resolveDelay)
	assert.Assert(t, a.resolving)
	e.agents["side-1"].link = nil
	e.mutex.Unlock()
	working, stop := context.WithTimeout(ctx, 200*time.Millisecond)
	defer stop()
	e.background.Run(working)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	assert.Assert(t, !a.resolving)
}
