package jayhttp

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// budgetServer answers each request with its path, /wait only once release is closed.
func budgetServer(t *testing.T, budget *Budget) (listener *LimitedListener, release chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener, release = &LimitedListener{Listener: l, Budget: budget, Default: Limits{Header: slow, Request: slow, Idle: slow}}, make(chan struct{})
	server := &fasthttp.Server{ReduceMemoryUsage: true, ReadBufferSize: MaxHeadBytes, Handler: func(c *fasthttp.RequestCtx) {
		if string(c.Path()) == "/wait" {
			<-release
		}
		c.SetBody(c.Path())
	}}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return listener, release
}

func smallBudget(bytes, connections int) *Budget {
	return NewBudget("test", metrics.NewSet(), bytes, connections)
}

// budgetClient is a client of budgetServer.
type budgetClient struct {
	net.Conn
	t *testing.T
	r *bufio.Reader
}

func newBudgetClient(t *testing.T, l net.Listener, text string) *budgetClient {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &budgetClient{Conn: conn, t: t, r: bufio.NewReader(conn)}
	c.send(text)
	return c
}

func (c *budgetClient) send(text string) {
	c.t.Helper()
	_, err := c.Write([]byte(text))
	assert.NilError(c.t, err)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }

// answer reads a response and returns its status.
func (c *budgetClient) answer() int {
	c.t.Helper()
	response := fasthttp.AcquireResponse()
	assert.NilError(c.t, c.SetReadDeadline(time.Now().Add(slow)))
	assert.NilError(c.t, response.Read(c.r))
	return response.StatusCode()
}

// waitForPhases waits until the connections of a budget are in phases, in any order.
func waitForPhases(t *testing.T, b *Budget, want map[phase]int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b.mutex.Lock()
		defer b.mutex.Unlock()
		got := map[phase]int{}
		for c := range b.open {
			got[c.phase]++
		}
		if fmt.Sprint(got) == fmt.Sprint(want) {
			return poll.Success()
		}
		return poll.Continue("phases: %v", got)
	}, poll.WithTimeout(slow), poll.WithDelay(time.Millisecond))
}

// Guards against new clients that are turned away because of idle ones, and against closing a connection
// that is in use before them.
func TestLongestIdleConnectionGivesWayFirst(t *testing.T) {
	budget := smallBudget(1<<20, 3)
	l, _ := budgetServer(t, budget)
	reading := newBudgetClient(t, l, "GET /read")
	waitForPhases(t, budget, map[phase]int{phaseReading: 1})
	first := newBudgetClient(t, l, get("/first"))
	assert.Equal(t, first.answer(), fasthttp.StatusOK)
	waitForPhases(t, budget, map[phase]int{phaseReading: 1, phaseIdle: 1})
	second := newBudgetClient(t, l, get("/second"))
	assert.Equal(t, second.answer(), fasthttp.StatusOK)
	waitForPhases(t, budget, map[phase]int{phaseReading: 1, phaseIdle: 2})
	third := newBudgetClient(t, l, get("/third"))
	assert.Equal(t, third.answer(), fasthttp.StatusOK)
	assert.Assert(t, closed(t, first))
	second.send(get("/second"))
	assert.Equal(t, second.answer(), fasthttp.StatusOK)
	reading.send(" HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, reading.answer(), fasthttp.StatusOK)
}

// Guards against letting go of the connections that came last, or of cheap ones, for those that hold the
// most.
func TestCostliestReaderGivesWay(t *testing.T) {
	// There is room for the cheap client and either of the two others.
	const costly = 24 << 10
	budget := smallBudget(84<<10, 100)
	l, _ := budgetServer(t, budget)
	cheap := newBudgetClient(t, l, "GET /cheap")
	waitForPhases(t, budget, map[phase]int{phaseReading: 1})
	hoarder := newBudgetClient(t, l, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 24577\r\n\r\n"+strings.Repeat("a", costly))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, bytes := budget.inUse(); bytes < 2*connectionBytes+costly {
			return poll.Continue("%d bytes", bytes)
		}
		return poll.Success()
	}, poll.WithTimeout(slow), poll.WithDelay(time.Millisecond))
	last := newBudgetClient(t, l, get("/last"))
	assert.Equal(t, last.answer(), fasthttp.StatusOK)
	assert.Assert(t, closed(t, hoarder))
	cheap.send(" HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.Equal(t, cheap.answer(), fasthttp.StatusOK)
}

// Guards against requests that are cut while they are handled, and against a refusal without Retry-After.
func TestHandledRequestIsNeverCutForAnother(t *testing.T) {
	budget := smallBudget(2*connectionBytes+requestBytes+8<<10, 100)
	l, release := budgetServer(t, budget)
	handled := newBudgetClient(t, l, get("/wait"))
	waitForPhases(t, budget, map[phase]int{phaseHandling: 1})
	other := newBudgetClient(t, l, get("/other"))
	response := fasthttp.AcquireResponse()
	assert.NilError(t, response.Read(other.r))
	assert.Equal(t, response.StatusCode(), fasthttp.StatusServiceUnavailable)
	assert.Equal(t, string(response.Header.Peek("Retry-After")), "1")
	close(release)
	assert.Equal(t, handled.answer(), fasthttp.StatusOK)
}

// Guards against a shutdown that waits for clients that send nothing, or cuts a request that is handled.
func TestDrainClosesIdleConnections(t *testing.T) {
	budget := smallBudget(1<<20, 100)
	l, release := budgetServer(t, budget)
	idle, half, handled := newBudgetClient(t, l, ""), newBudgetClient(t, l, "GET /half"), newBudgetClient(t, l, get("/wait"))
	waitForPhases(t, budget, map[phase]int{phaseIdle: 1, phaseReading: 1, phaseHandling: 1})
	l.Drain(time.Millisecond)
	assert.Assert(t, closed(t, idle))
	assert.Assert(t, closed(t, half))
	close(release)
	assert.Equal(t, handled.answer(), fasthttp.StatusOK)
}

// Guards against charges that outlive their connections.
func TestBudgetIsGivenBack(t *testing.T) {
	budget := smallBudget(1<<20, 100)
	l, release := budgetServer(t, budget)
	close(release)
	for _, text := range []string{"", "GET /", get("/a"), get("/a") + "GET ", "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n1", "\x00\r\n", strings.Repeat("\r\n", MaxHeadBytes)} {
		c := newBudgetClient(t, l, text)
		_ = c.Close()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if connections, bytes := budget.inUse(); connections+bytes != 0 {
			return poll.Continue("%d connections, %d bytes", connections, bytes)
		}
		return poll.Success()
	}, poll.WithTimeout(slow), poll.WithDelay(time.Millisecond))
}
