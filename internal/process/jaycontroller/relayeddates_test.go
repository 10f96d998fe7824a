package jaycontroller

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// relayedCall is a call to the store that a peer got at a time, and answers when the test wants.
type relayedCall struct {
	link   *jaylink.Link
	number uint64
	at     time.Duration
}

func (r relayedCall) answer(t *testing.T, reply *jayframe.StoreReply) {
	assert.NilError(t, r.link.Reply(r.number, reply))
}

// newLeaderBehindPeers returns a leader that reaches the store only through two peers, whose calls it
// passes on.
func newLeaderBehindPeers(t *testing.T) (*Controller, *leadership, <-chan relayedCall) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := New(listener)
	c.Name, c.Topics.Cell = "entry-1", "cell"
	c.CallStore = func(context.Context, jaystore.Request) (jaystore.Response, error) {
		return jaystore.Response{}, errors.New("cut off")
	}
	c.NewStoreClient = func(do func(context.Context, jaystore.Request) (jaystore.Response, error)) *jaystore.Client {
		return &jaystore.Client{
			Newest: func(context.Context, string, string) (jaystore.Page, error) { return jaystore.Page{}, nil },
			Read: func(ctx context.Context, topic string, _ uint64, wait time.Duration) (jaystore.ReadResult, error) {
				r, err := do(ctx, jaystore.Request{Method: "GET", Target: topic, Wait: wait})
				if err == nil && r.Unavailable() {
					err = &jaystore.RefusedError{Operation: "read", Status: r.Status}
				}
				return jaystore.ReadResult{}, err
			},
		}
	}
	c.Prepare()
	ctx, cancel := context.WithCancel(t.Context())
	c.ctx = ctx
	served := make(chan error, 1)
	go func() { served <- c.endpoint.Serve(ctx, listener) }()
	t.Cleanup(func() { cancel(); <-served; c.tasks.Wait() })
	calls := make(chan relayedCall, 16)
	for _, name := range []string{"entry-2", "entry-3"} {
		peer := &jaylink.Endpoint{Name: name, Timing: jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout}, MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} }}
		peer.Handler = func(l *jaylink.Link, call uint64, m jayframe.Message) {
			if _, ok := m.(*jayframe.StoreRelay); ok {
				calls <- relayedCall{link: l, number: call, at: jayclock.Elapsed()}
			}
		}
		link, _, err := peer.Dial(ctx, listener.Addr().String(), &jayframe.Hello{Role: jayframe.RoleEntry, Address: name + ":1"})
		assert.NilError(t, err)
		go link.Run(ctx)
	}
	await(t, "both peers are linked", func() bool { return len(c.linkedEntries()) == 2 })
	l := newLeadership(c, 1)
	c.mutex.Lock()
	c.term, c.leadership = Term{number: 1, leader: c.Name}, l
	c.mutex.Unlock()
	return c, l, calls
}

// A leader must not grant leases by an answer that came late through a peer, or to a call that it has repeated or given up.
func TestTermReadThroughPeersIsDatedByTheFirstQuestion(t *testing.T) {
	c, l, calls := newLeaderBehindPeers(t)
	refresh := func() <-chan error {
		done := make(chan error, 1)
		go func() { done <- c.cellTail.Refresh(t.Context()) }()
		return done
	}
	done := refresh()
	stalled := <-calls
	// The first peer has not answered: the call is repeated through the other one.
	repeated := <-calls
	assert.Assert(t, stalled.link != repeated.link)
	repeated.answer(t, &jayframe.StoreReply{Status: 200})
	assert.NilError(t, <-done)
	l.checkStanding()
	known := l.standing.termKnownAt
	assert.Assert(t, known > 0 && known <= stalled.at, "known at %v, first asked before %v, repeated at %v", known, stalled.at, repeated.at)

	done = refresh()
	next := <-calls
	// The answer to the call that was given up is none to the next one, which the peers refuse or lose.
	stalled.answer(t, &jayframe.StoreReply{Status: 200})
	next.answer(t, &jayframe.StoreReply{Status: jaystore.StatusUnavailable})
	last := <-calls
	last.answer(t, &jayframe.StoreReply{Error: "no answer"})
	assert.Assert(t, <-done != nil)
	l.checkStanding()
	assert.Equal(t, l.standing.termKnownAt, known)
}
