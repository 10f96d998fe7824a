package jaycontroller

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// The next leader waits for the end of leases from its own beginning.
func TestLeaderWithoutStoreAndPeersStopsGranting(t *testing.T) {
	const lease = 300 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := New(listener)
	c.Name, c.Timing.Lease = "entry-1", lease
	c.CallStore = func(context.Context, jaystore.Request) (jaystore.Response, error) {
		return jaystore.Response{}, errors.New("cut off")
	}
	c.NewStoreClient = func(func(context.Context, jaystore.Request) (jaystore.Response, error)) *jaystore.Client {
		return &jaystore.Client{
			Append: func(context.Context, jaystore.Append) (uint64, error) { return 0, errors.New("cut off") },
			Newest: func(context.Context, string, string) (jaystore.Page, error) {
				return jaystore.Page{}, errors.New("cut off")
			},
			Read: func(context.Context, string, uint64, time.Duration) (jaystore.ReadResult, error) {
				return jaystore.ReadResult{}, errors.New("cut off")
			},
		}
	}
	c.Prepare()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { _ = c.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	c.applyCellRecord(jaystore.StoredRecord{Record: jaystore.Record{Key: entryPrefix + "entry-2", Value: encodeEntry("127.0.0.1:1", 1)}})
	l := newLeadership(c, 1)
	l.loaded = true
	c.mutex.Lock()
	c.term, c.leadership = Term{number: 1, leader: c.Name}, l
	c.mutex.Unlock()

	var granted atomic.Int64
	agent := &jaylink.Endpoint{Name: "agent-1", Timing: jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout}, MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} }}
	agent.Handler = func(_ *jaylink.Link, _ uint64, m jayframe.Message) {
		if g, ok := m.(*jayframe.CellLeaseGrant); ok {
			granted.Store(max(granted.Load(), g.Sequence))
		}
	}
	link, _, err := agent.Dial(ctx, listener.Addr().String(), &jayframe.Hello{Role: jayframe.RoleAgent})
	assert.NilError(t, err)
	go link.Run(ctx)
	runs := jaystore.NewTermWriter(c.storeClient, "runs", producer, 1)
	var sent int64
	for range 50 {
		sent++
		assert.NilError(t, link.Send(&jayframe.CellReport{Node: "n1", Sequence: sent, Term: 1, Runner: "r1", Responsive: true}))
		l.tick(ctx, runs)
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, granted.Load() < sent-10, "report %d of %d was granted a lease after %s without the store", granted.Load(), sent, 5*time.Second)
}
