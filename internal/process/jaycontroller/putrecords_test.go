package jaycontroller

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// dialAsEntry links another entry to the harness's leader.
func (f *cutLeader) dialAsEntry(name string, handler jaylink.Handler) *jaylink.Link {
	peer := &jaylink.Endpoint{Name: name, Timing: jaylink.Timing{HeartbeatInterval: heartbeatInterval, SilenceTimeout: silenceTimeout}, MakeHeartbeat: func() jayframe.Heartbeat { return jayframe.Heartbeat{} }, Handler: handler}
	link, _, err := peer.Dial(f.t.Context(), f.controller.listener.Addr().String(), &jayframe.Hello{Role: jayframe.RoleEntry})
	assert.NilError(f.t, err)
	go link.Run(f.t.Context())
	return link
}

// In a slow store an append takes a quarter of a second, one after the other. Entries that
// each append their own records would wait for all others.
func TestLeaderStoresRecordsOfManyEntriesTogether(t *testing.T) {
	const entries, each = 20, 250 * time.Millisecond
	f := newCutLeader(t)
	var mutex sync.Mutex
	appends := 0
	serve := func() (uint64, error) {
		mutex.Lock()
		defer mutex.Unlock()
		appends++
		time.Sleep(each)
		return 1, nil
	}
	f.append.Store(&serve)
	var wg conc.WaitGroup
	for i := range entries {
		link := f.dialAsEntry(fmt.Sprint("entry-", i+2), func(*jaylink.Link, uint64, jayframe.Message) {})
		wg.Go(func() {
			m, err := link.Call(t.Context(), &jayframe.PutRecords{WaitMillis: 10_000, Records: []jayframe.StoredRecord{{Key: fmt.Sprint("c/", i), Value: []byte("x")}}})
			assert.NilError(t, err)
			assert.Equal(t, m.(*jayframe.PutReply).Stored, true)
		})
	}
	wg.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	assert.Assert(t, appends < entries/2, "%d appends for %d entries", appends, entries)
}

// What the leader says, and whether the store then serves the entry itself, decide what a
// caller may be told.
func TestRecordsThatTheLeaderDoesNotStore(t *testing.T) {
	for _, c := range []struct {
		name string
		// reply is the leader's, nil if its link ends instead.
		reply    *jayframe.PutReply
		served   bool
		stored   bool
		noAnswer bool
	}{
		{"stored by the leader", &jayframe.PutReply{Stored: true}, false, true, false},
		{"refused by the leader, stored here", &jayframe.PutReply{}, true, true, false},
		{"refused by both", &jayframe.PutReply{}, false, false, false},
		{"open at the leader, refused here", &jayframe.PutReply{Unknown: true}, false, false, true},
		{"link lost, refused here", nil, false, false, true},
		{"link lost, stored here", nil, true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCutLeader(t)
			serve := func() (uint64, error) {
				if c.served {
					return 1, nil
				}
				return 0, &jaystore.RefusedError{Operation: "append", Status: 503}
			}
			f.append.Store(&serve)
			// The harness's entry is made a follower of a leader that answers as the case says.
			f.dialAsEntry("leader", func(l *jaylink.Link, call uint64, m jayframe.Message) {
				if _, ok := m.(*jayframe.PutRecords); !ok {
					return
				}
				if c.reply == nil {
					l.Close("test")
					return
				}
				_ = l.Reply(call, c.reply)
			})
			for len(f.controller.linkedEntries()) == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			link := f.controller.linkedEntries()[0]
			f.controller.mutex.Lock()
			f.controller.leaderLink = link
			f.controller.mutex.Unlock()
			_, err := f.controller.appendJobs(t.Context(), jaystore.Append{Try: 1, Records: []jaystore.Record{{Key: "k"}}})
			var noAnswer *jaystore.NoAnswerError
			assert.Equal(t, err == nil, c.stored, "%v", err)
			assert.Equal(t, errors.As(err, &noAnswer), c.noAnswer, "%v", err)
		})
	}
}
