package jaycontroller

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

func TestEntriesThatServedRelayFirst(t *testing.T) {
	outcomes := map[string]relayOutcome{
		"served late":  {served: true, at: 4 * time.Second},
		"served early": {served: true, at: time.Second},
		"failed early": {at: 2 * time.Second},
		"failed late":  {at: 3 * time.Second},
	}
	entries := []string{"failed late", "served early", "unknown", "failed early", "served late"}
	slices.SortStableFunc(entries, func(a, b string) int { return compareOutcomes(outcomes[a], outcomes[b]) })
	assert.DeepEqual(t, entries, []string{"served late", "served early", "unknown", "failed early", "failed late"})
}

// Entries that are linked to the leader only relay all their calls through it. While it
// does not reach the store either, it refuses them at once.
func TestRelayIsRefusedWithoutAWayToTheStore(t *testing.T) {
	f := newCutLeader(t)
	f.served.Store(true)
	f.report(1)
	f.served.Store(false)
	call := func() jaystore.Response {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		m, err := f.link.Call(ctx, &jayframe.StoreRelay{Method: "GET", Target: "/"})
		assert.NilError(t, err)
		reply := m.(*jayframe.StoreReply)
		return jaystore.Response{Status: reply.Status}
	}
	assert.Assert(t, !call().Unavailable(), "the store has just served this entry")
	_, err := f.controller.storeTransport.Do(t.Context(), jaystore.Request{})
	assert.Assert(t, err != nil)
	time.Sleep(storeDownThreshold)
	assert.Assert(t, call().Unavailable())
}
