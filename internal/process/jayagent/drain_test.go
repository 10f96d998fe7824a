package jayagent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
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

// startDraining runs an agent with an entry that handles its messages one at a time, until the
// agent has opened its first link, and drains it.
func startDraining(t *testing.T, handle func(l *jaylink.Link, incarnation uint64, m jayframe.Message)) (stopped chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	linked := make(chan struct{})
	var once sync.Once
	var mutex sync.Mutex
	var incarnation atomic.Uint64
	entry := &jaylink.Endpoint{
		Name: "entry-1", MaxLinks: 4, Timing: jaylink.Timing{HeartbeatInterval: 50 * time.Millisecond, SilenceTimeout: time.Minute},
		MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} },
		Admit:         func(*jayframe.Hello) (*jayframe.HelloReply, error) { return &jayframe.HelloReply{}, nil },
		Opened:        func(_ *jaylink.Link, h *jayframe.Hello) { incarnation.Store(h.Incarnation) }, Closed: func(*jaylink.Link) {},
		Handler: func(l *jaylink.Link, _ uint64, m jayframe.Message) {
			if _, ok := m.(*jayframe.Report); ok {
				once.Do(func() { close(linked) })
			}
			mutex.Lock()
			defer mutex.Unlock()
			handle(l, incarnation.Load(), m)
		},
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = entry.Serve(ctx, listener) }()
	agentListener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	settings := jaysettings.DefaultAgent()
	settings.Name, settings.Link, settings.Entries = "side-1", agentListener.Addr().String(), []string{listener.Addr().String()}
	settings.Worker, settings.Runner = "127.0.0.1:1", "127.0.0.1:1"
	settings.HeartbeatInterval, settings.SilenceTimeout = 50*time.Millisecond, time.Minute
	a, closeClients := New(settings, agentListener, zerolog.Nop())
	t.Cleanup(closeClients)
	stopped = make(chan error, 1)
	running, stop := context.WithCancel(ctx)
	t.Cleanup(stop)
	go func() { stopped <- a.Run(running) }()
	<-linked
	stop()
	return stopped
}

// A request that its entry sent before it had read the agent's notice got no answer, and its
// caller was told that nobody knew whether it had run.
func TestDrainAnswersRequestsFromBeforeItsNoticeWasRead(t *testing.T) {
	shape, err := jayjob.NewShape(1, 0, jayjob.Anywhere)
	assert.NilError(t, err)
	spec, err := jayjob.New(jayjob.Fields{Workspace: "w", Kind: "order", Shape: shape, Idempotent: true, Payload: []byte("pallet")})
	assert.NilError(t, err)
	outcomes := make(chan *jayframe.Outcome, 1)
	sent := false
	stopped := startDraining(t, func(l *jaylink.Link, _ uint64, m jayframe.Message) {
		switch m := m.(type) {
		case *jayframe.Report:
			if m.Draining && !sent {
				sent = true
				// A busy entry reads the notice late.
				time.Sleep(5 * tickInterval)
				_ = l.Send(&jayframe.Reserve{Attempt: jayframe.FromID(jayattempt.NewID(1, 1)), Members: 1, Job: "j", Spec: jayframe.FromSpec(spec), TTLMillis: 1000, Run: true})
			}
		case *jayframe.Outcome:
			outcomes <- m
		}
	})
	assert.NilError(t, <-stopped)
	select {
	case o := <-outcomes:
		assert.Equal(t, o.Status, jayframe.StatusNeverStarted)
		assert.Equal(t, o.Code, "draining")
	case <-time.After(time.Second):
		t.Fatal("the agent has ended without an answer to the request")
	}
}

// A request that was lost with a link just before its agent ended was never asked for, and its
// caller was told that nobody knew whether it had run.
func TestDrainOutlastsALinkThatBreaksOff(t *testing.T) {
	replies := make(chan jayframe.Message, 1)
	var closed *jaylink.Link
	asked := false
	stopped := startDraining(t, func(l *jaylink.Link, incarnation uint64, m jayframe.Message) {
		if report, ok := m.(*jayframe.Report); !ok || !report.Draining || l == closed || asked {
			return
		}
		if closed == nil {
			closed = l
			l.Close("silent")
			return
		}
		asked = true
		go func() {
			// A busy entry asks some ticks after it has a new link.
			time.Sleep(3 * tickInterval)
			reply, err := l.Call(t.Context(), &jayframe.Resolve{Attempt: jayframe.FromID(jayattempt.NewID(1, 1)), Incarnation: incarnation})
			if err == nil {
				replies <- reply
			}
		}()
	})
	assert.NilError(t, <-stopped)
	select {
	case m := <-replies:
		assert.Equal(t, m.(*jayframe.Outcome).Status, jayframe.StatusNeverStarted)
	case <-time.After(time.Second):
		t.Fatal("the agent has ended before its entry could ask")
	}
}
