package jaylink

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jayhttp"
	"github.com/jaystile/jaystile/internal/process/jaystandin"
)

func endpoint(name, key string) *Endpoint {
	return &Endpoint{
		Name:        name,
		Incarnation: 1,
		SharedKey:   []byte(key),
		Timing:      Timing{HeartbeatInterval: 10 * time.Millisecond, SilenceTimeout: 150 * time.Millisecond},
		Handler: func(l *Link, call uint64, m jayframe.Message) {
			if _, ok := m.(*jayframe.Drain); ok {
				_ = l.Reply(call, &jayframe.Ack{OK: true})
			}
		},
		MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} },
		Admit:         func(*jayframe.Hello) (*jayframe.HelloReply, error) { return &jayframe.HelloReply{}, nil },
		Opened:        func(*Link, *jayframe.Hello) {},
		Closed:        func(*Link) {},
		MaxLinks:      16,
	}
}

// serve runs a listening endpoint behind a relay.
func serve(t *testing.T, e *Endpoint) *jaystandin.Relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Serve(ctx, l) }()
	relay, closeRelay, err := jaystandin.NewRelay(l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		closeRelay()
		cancel()
		assert.NilError(t, <-done)
	})
	return relay
}

func dial(t *testing.T, e *Endpoint, address string) *Link {
	t.Helper()
	l, _, err := e.Dial(context.Background(), address, &jayframe.Hello{Role: jayframe.RoleAgent})
	assert.NilError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(context.Background())
	}()
	t.Cleanup(func() {
		l.Close("test is over")
		<-done
	})
	return l
}

func TestCallGetsReply(t *testing.T) {
	relay := serve(t, endpoint("listener", "key"))
	l := dial(t, endpoint("dialer", "key"), relay.Address())
	reply, err := l.Call(context.Background(), &jayframe.Drain{On: true})
	assert.NilError(t, err)
	_, ok := reply.(*jayframe.Ack)
	assert.Assert(t, ok)
}

// Guards against links that give way to strangers.
func TestAdmittedLinkIsNotEvicted(t *testing.T) {
	const connections = 4
	listener := endpoint("listener", "key")
	listener.Timing.SilenceTimeout = time.Minute
	listener.Budget = jayhttp.NewBudget("links", metrics.NewSet(), 1<<20, connections)
	relay := serve(t, listener)
	dialer := endpoint("dialer", "key")
	dialer.Timing.SilenceTimeout = time.Minute
	first := dial(t, dialer, relay.Address())
	evicted := make(chan struct{}, 3*connections)
	for range 3 * connections {
		c, err := net.Dial("tcp", relay.Address())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, err = c.Write([]byte("GET "))
		assert.NilError(t, err)
		go func() {
			_, _ = c.Read(make([]byte, 1))
			evicted <- struct{}{}
		}()
	}
	for range 2 * connections {
		<-evicted
	}
	_, err := first.Call(context.Background(), &jayframe.Drain{})
	assert.NilError(t, err)
}

func TestWrongSharedKeyIsRejected(t *testing.T) {
	relay := serve(t, endpoint("listener", "key"))
	_, _, err := endpoint("dialer", "another").Dial(context.Background(), relay.Address(), &jayframe.Hello{})
	assert.Assert(t, err != nil)
}

// A link closes when a relay drops one or both directions of the open connection; a
// new link through the same relay works immediately.
func TestLinkClosesWhenADirectionIsSilent(t *testing.T) {
	cases := []struct {
		name  string
		fault jaystandin.RelayFault
	}{
		{"both", jaystandin.RelayFault{DropForward: true, DropBack: true}},
		{"forward", jaystandin.RelayFault{DropForward: true}},
		{"back", jaystandin.RelayFault{DropBack: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			relay := serve(t, endpoint("listener", "key"))
			old := dial(t, endpoint("dialer", "key"), relay.Address())
			_, err := old.Call(context.Background(), &jayframe.Drain{})
			assert.NilError(t, err)
			relay.SetFaultOnOpen(c.fault)
			<-old.Done()
			assert.ErrorContains(t, old.Err(), "closed")
			fresh := dial(t, endpoint("dialer", "key"), relay.Address())
			_, err = fresh.Call(context.Background(), &jayframe.Drain{})
			assert.NilError(t, err)
		})
	}
}

// An accepted link that its process closes ends on both sides at once, also while its
// peer sends nothing. It used to stay open until the peer closed it.
func TestCloseEndsAcceptedLink(t *testing.T) {
	listener, dialer := endpoint("listener", "key"), endpoint("dialer", "key")
	listener.Timing.SilenceTimeout, dialer.Timing.SilenceTimeout = time.Hour, time.Hour
	dialer.Timing.HeartbeatInterval = time.Hour
	accepted, closed := make(chan *Link, 1), make(chan struct{})
	listener.Opened = func(l *Link, _ *jayframe.Hello) { accepted <- l }
	listener.Closed = func(*Link) { close(closed) }
	relay := serve(t, listener)
	l := dial(t, dialer, relay.Address())
	(<-accepted).Close("test")
	for _, ended := range []<-chan struct{}{closed, l.Done()} {
		select {
		case <-ended:
		case <-time.After(20 * time.Second):
			t.Fatal("the link is still open")
		}
	}
}

// A message that its handler cannot bear costs the link. The process and its other links go
// on.
func TestHandlerThatPanicsClosesItsLinkOnly(t *testing.T) {
	listener := endpoint("listener", "key")
	handle := listener.Handler
	listener.Handler = func(l *Link, call uint64, m jayframe.Message) {
		if d, ok := m.(*jayframe.Drain); ok && d.On {
			panic("malformed")
		}
		handle(l, call, m)
	}
	relay := serve(t, listener)
	bad, good := dial(t, endpoint("dialer", "key"), relay.Address()), dial(t, endpoint("dialer", "key"), relay.Address())
	_, err := bad.Call(context.Background(), &jayframe.Drain{On: true})
	assert.Assert(t, err != nil)
	<-bad.Done()
	_, err = good.Call(context.Background(), &jayframe.Drain{})
	assert.NilError(t, err)
}

func TestSlowLinkStaysOpen(t *testing.T) {
	relay := serve(t, endpoint("listener", "key"))
	l := dial(t, endpoint("dialer", "key"), relay.Address())
	relay.SetFaultOnOpen(jaystandin.RelayFault{Delay: 20 * time.Millisecond})
	for range 10 {
		_, err := l.Call(context.Background(), &jayframe.Drain{})
		assert.NilError(t, err)
	}
}
