package jaycontroller

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaystore"
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

// Guards against a successor that excludes electors which live: two entries announce one address, and
// the answers of each count as the end of the other.
func TestSharedAddressExcludesNoElector(t *testing.T) {
	entry := func(name, address string) jaystore.StoredRecord {
		return jaystore.StoredRecord{Record: jaystore.Record{Key: entryPrefix + name, Value: encodeEntry(address, 1)}}
	}
	for _, x := range []struct {
		name     string
		known    []jaystore.StoredRecord
		peers    []*follower
		excluded bool
	}{
		{"one entry, restarted", []jaystore.StoredRecord{entry("b", "b:1")}, []*follower{{name: "b", elector: "b:1/2"}}, true},
		{"announced twice", []jaystore.StoredRecord{entry("b", "b:1"), entry("c", "b:1")}, []*follower{{name: "c", elector: "b:1/2"}}, false},
		{"announced by one, told on a link by the other", []jaystore.StoredRecord{entry("b", "b:1")}, []*follower{{name: "c", elector: "b:1/2"}}, false},
		{"told on two links", nil, []*follower{{name: "b", elector: "b:1/3"}, {name: "c", elector: "b:1/2"}}, false},
		{"one has moved", []jaystore.StoredRecord{entry("c", "b:1"), entry("c", "c:1"), entry("b", "b:1")}, []*follower{{name: "b", elector: "b:1/2"}}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := New(nil)
			c.Name, c.Address, c.Incarnation = "a", "a:1", 1
			for _, r := range x.known {
				c.applyCellRecord(r)
			}
			l := newLeadership(c, 2)
			for _, f := range x.peers {
				f.term, f.askedAt = 1, l.beganAt+1
				c.peers[&jaylink.Link{}] = f
			}
			l.noteAnswers(l.beganAt + 2)
			assert.Equal(t, l.followsNoOther("b:1/1"), x.excluded)
			assert.Equal(t, l.predecessorsHaveCeased([]string{"a:1/1", "b:1/1", "c:1/1"}, l.beganAt+2), x.excluded)
			assert.Assert(t, !l.followsNoOther("c:1/1"))
		})
	}
}
