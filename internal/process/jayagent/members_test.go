package jayagent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jayreservation"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

// A worker that answered neither the start of a task nor its deletion may run the task until
// its lease expires. Its accelerators were given away at once, and the entry could start the
// job on another worker beside it.
func TestUnansweredStartKeepsItsReservationForALease(t *testing.T) {
	const lease = 300 * time.Millisecond
	worker := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer worker.Close()
	a, closeClients := New(jaysettings.Agent{Accelerators: 1, WorkerLease: lease, Lease: lease, Worker: strings.TrimPrefix(worker.URL, "http://"), Connections: 1}, nil, zerolog.Nop())
	defer closeClients()
	key := jayreservation.Key{Attempt: jayattempt.NewID(1, 1)}
	reservation, _, err := a.ledger.Request(jayreservation.Request{Key: key, Accelerators: 1, Preemptible: true, TTL: time.Minute}, a.now())
	assert.NilError(t, err)
	assert.NilError(t, a.ledger.Start(key, reservation.Token(), a.now()))
	m := &member{key: key, request: &jayframe.Reserve{Members: 2}, token: reservation.Token(), task: "t", running: true}
	a.members[key] = m
	start := time.Now()
	a.startTask(m)
	assert.Assert(t, time.Since(start) >= lease || a.ReservationCount() == 1, "released after %s", time.Since(start))
}

// A task whose deletion has no answer stops at the end of its lease only if the lease is not
// renewed in the meantime.
func TestDeletedTaskIsNotRenewed(t *testing.T) {
	var deleted, renewed atomic.Bool
	worker := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			deleted.Store(true)
			panic(http.ErrAbortHandler)
		}
		if deleted.Load() && r.URL.Path == "/v1/leases" {
			renewed.Store(true)
		}
	}))
	defer worker.Close()
	a, closeClients := New(jaysettings.Agent{Accelerators: 1, WorkerLease: 200 * time.Millisecond, Lease: time.Second, Worker: strings.TrimPrefix(worker.URL, "http://"), Connections: 1}, nil, zerolog.Nop())
	defer closeClients()
	shape, err := jayjob.NewShape(1, 1, jayjob.Anywhere)
	assert.NilError(t, err)
	spec, err := jayjob.New(jayjob.Fields{Workspace: "w", Kind: "batch", Shape: shape, Idempotent: true})
	assert.NilError(t, err)
	m := &member{key: jayreservation.Key{Attempt: jayattempt.NewID(1, 1)}, request: &jayframe.Reserve{Members: 1}, spec: spec, task: "t", running: true, stopping: true}
	a.members[m.key] = m
	assert.DeepEqual(t, a.leasedTasks(), []string{"t"})
	stopped := make(chan struct{})
	go func() { a.stopTask(m, jayframe.StatusStopped, "stopped for other work", false); close(stopped) }()
	for ended := false; !ended; {
		select {
		case <-stopped:
			ended = true
		case <-time.After(10 * time.Millisecond):
			a.renewLeases()
		}
	}
	assert.Assert(t, deleted.Load())
	assert.Assert(t, !renewed.Load(), "the lease was renewed after the deletion")
}
