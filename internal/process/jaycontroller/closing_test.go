package jaycontroller

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
)

// Guards against an entry that counts for an earlier leader after its listener has closed, while the
// next process at its address excludes it for a later one.
func TestClosingEntryIsNoFollower(t *testing.T) {
	for _, closing := range []bool{false, true} {
		ctx, cancel := context.WithCancel(t.Context())
		c := New(nil)
		c.ctx, c.Address, c.Incarnation = ctx, "a:1", 1
		if closing {
			cancel()
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		timing := jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout}
		heartbeat := func() jayframe.Heartbeat { return jayframe.Heartbeat{} }
		server := &jaylink.Endpoint{Name: "entry-1", MaxLinks: 4, Timing: timing, MakeHeartbeat: heartbeat, Handler: c.handleMessage, Opened: func(*jaylink.Link, *jayframe.Hello) {}, Closed: func(*jaylink.Link) {}}
		server.Admit = func(*jayframe.Hello) (*jayframe.HelloReply, error) { return &jayframe.HelloReply{}, nil }
		serving, stop := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- server.Serve(serving, listener) }()
		answered := make(chan int64, 4)
		client := &jaylink.Endpoint{Name: "entry-2", Timing: timing, MakeHeartbeat: heartbeat, Handler: func(_ *jaylink.Link, _ uint64, m jayframe.Message) {
			if follow, ok := m.(*jayframe.CellFollow); ok {
				answered <- follow.AskedNanos
			}
		}}
		link, _, err := client.Dial(t.Context(), listener.Addr().String(), &jayframe.Hello{Role: jayframe.RoleEntry})
		assert.NilError(t, err)
		go link.Run(t.Context())
		assert.NilError(t, link.Send(&jayframe.CellAsk{AskedNanos: 7}))
		select {
		case <-answered:
			assert.Assert(t, !closing, "answered while closing")
		case <-time.After(2 * heartbeatInterval):
			assert.Assert(t, closing, "not answered")
		}
		link.Close("end of the test")
		stop()
		assert.NilError(t, <-served)

		// A leader counts itself.
		l := newLeadership(c, 2)
		l.noteAnswers(l.beganAt + 1)
		assert.Equal(t, l.followedAt[c.elector()] > 0, !closing)
		cancel()
	}
}
