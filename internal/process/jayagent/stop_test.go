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
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

// A member was stopped while the call that starts its task was under way: the worker had no
// such task yet, the reservation was released, and the task ran all the same.
func TestStopOutlastsAStartUnderWay(t *testing.T) {
	var running atomic.Bool
	received, proceed := make(chan struct{}), make(chan struct{})
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPost:
			close(received)
			<-proceed
			running.Store(true)
			w.WriteHeader(http.StatusCreated)
		case http.MethodDelete:
			if !running.Swap(false) {
				w.WriteHeader(http.StatusNotFound)
			}
		}
	}))
	defer worker.Close()
	a, closeClients := New(jaysettings.Agent{Accelerators: 1, WorkerLease: 500 * time.Millisecond, Lease: time.Second, Worker: strings.TrimPrefix(worker.URL, "http://"), Connections: 1}, nil, zerolog.Nop())
	defer closeClients()
	key := jayreservation.Key{Attempt: jayattempt.NewID(1, 1)}
	reservation, _, err := a.ledger.Request(jayreservation.Request{Key: key, Accelerators: 1, Preemptible: true, TTL: time.Minute}, a.now())
	assert.NilError(t, err)
	assert.NilError(t, a.ledger.Start(key, reservation.Token(), a.now()))
	m := &member{key: key, request: &jayframe.Reserve{Members: 1}, token: reservation.Token(), task: "t", running: true, stopping: true}
	a.members[key] = m
	started, stopped := make(chan struct{}), make(chan struct{})
	go func() { a.startTask(m); close(started) }()
	<-received
	go func() { a.stopTask(m, jayframe.StatusStopped, "stopped for other work", false); close(stopped) }()
	time.Sleep(100 * time.Millisecond)
	close(proceed)
	<-started
	<-stopped
	assert.Assert(t, !running.Load(), "the task runs; reservations: %d", a.ReservationCount())
}

// The start of a stopped member that is still queued would run its task after the
// reservation was released.
func TestStoppedTaskIsNotStartedLater(t *testing.T) {
	var running atomic.Bool
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.Method {
		case http.MethodPost:
			running.Store(true)
			w.WriteHeader(http.StatusCreated)
		case http.MethodDelete:
			w.WriteHeader(http.StatusNotFound)
		}
	}))
	defer worker.Close()
	a, closeClients := New(jaysettings.Agent{Accelerators: 1, WorkerLease: 500 * time.Millisecond, Lease: time.Second, Worker: strings.TrimPrefix(worker.URL, "http://"), Connections: 1}, nil, zerolog.Nop())
	defer closeClients()
	m := &member{key: jayreservation.Key{Attempt: jayattempt.NewID(1, 1)}, request: &jayframe.Reserve{Members: 1}, task: "t", running: true, stopping: true}
	a.members[m.key] = m
	a.stopTask(m, jayframe.StatusStopped, "stopped for other work", false)
	a.startTask(m)
	assert.Assert(t, !running.Load(), "the task runs")
}

// A worker that has not yet carried out a start without an answer has no such task, and may
// start it after the deletion.
func TestUnansweredStartOutlastsItsDeletion(t *testing.T) {
	const lease = 300 * time.Millisecond
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(http.StatusNotFound)
	}))
	defer worker.Close()
	a, closeClients := New(jaysettings.Agent{Accelerators: 1, WorkerLease: lease, Lease: lease, Worker: strings.TrimPrefix(worker.URL, "http://"), Connections: 1}, nil, zerolog.Nop())
	defer closeClients()
	m := &member{key: jayreservation.Key{Attempt: jayattempt.NewID(1, 1)}, request: &jayframe.Reserve{Members: 2}, task: "t", running: true}
	a.members[m.key] = m
	start := time.Now()
	a.startTask(m)
	assert.Assert(t, time.Since(start) >= lease, "ended after %s", time.Since(start))
}
