package jaycontroller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
)

// A leader that fails on a decision used to go on as an entry that all others took for the
// leader, since the panic was held back until the process ended.
func TestFailedLeadershipIsHandedOver(t *testing.T) {
	f := newCutLeader(t)
	resigned := make(chan uint64, 1)
	peer := &jaylink.Endpoint{Name: "entry-2", Timing: jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout}, MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} }}
	peer.Handler = func(_ *jaylink.Link, _ uint64, m jayframe.Message) {
		if r, ok := m.(*jayframe.CellResign); ok {
			resigned <- r.Term
		}
	}
	link, _, err := peer.Dial(t.Context(), f.controller.listener.Addr().String(), &jayframe.Hello{Role: jayframe.RoleEntry})
	assert.NilError(t, err)
	go link.Run(t.Context())
	for len(f.controller.linkedEntries()) == 0 {
		time.Sleep(10 * time.Millisecond)
	}
	f.leadership.spawn(f.leadership.run)
	f.leadership.spawn(func() { panic("unexpected") })
	select {
	case term := <-resigned:
		assert.Equal(t, term, uint64(1))
	case <-time.After(20 * time.Second):
		t.Fatal("the leader has not resigned")
	}
	for f.controller.currentLeadership() != nil {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Assert(t, !f.controller.mayClaimTerm())
	assert.NilError(t, link.Err())
}
