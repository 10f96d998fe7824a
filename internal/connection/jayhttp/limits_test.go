package jayhttp

import (
	"bufio"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

const slow = 30 * time.Second

// limitedServer answers each request with its body and returns its address and
// the limits in force.
func limitedServer(t *testing.T, limits Limits) (string, *atomic.Value) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var v atomic.Value
	v.Store(limits)
	server := &fasthttp.Server{ReadTimeout: slow, IdleTimeout: slow, Handler: func(c *fasthttp.RequestCtx) { c.SetBody(c.Request.Body()) }}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(&LimitedListener{Listener: l, Limits: func() Limits { return v.Load().(Limits) }})
	}()
	t.Cleanup(func() { _ = l.Close(); <-done })
	return l.Addr().String(), &v
}

// closed reports whether the server closes the connection within 10 s.
func closed(t *testing.T, c net.Conn) bool {
	t.Helper()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
	for b := make([]byte, 4096); ; {
		if _, err := c.Read(b); err != nil {
			e, ok := err.(net.Error)
			return !ok || !e.Timeout()
		}
	}
}

func TestLimitsCloseConnections(t *testing.T) {
	short := 50 * time.Millisecond
	for _, c := range []struct {
		name   string
		limits Limits
		send   []string
		// early is set if the limit is exceeded before all is sent.
		early bool
	}{
		{"nothing sent", Limits{Idle: short, Header: slow}, nil, false},
		{"half a header", Limits{Idle: slow, Header: short}, []string{"POST /x HTTP/1.1\r\nHost: h\r\n"}, false},
		{"header byte by byte", Limits{Idle: slow, Header: short}, []string{"G", "E", "T", " ", "/"}, false},
		{"idle after an answer", Limits{Idle: short, Header: slow}, []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}, false},
		{"half a header after an answer", Limits{Idle: slow, Header: short}, []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HT"}, false},
		// Guards against a header that never times out because its beginning came with the request before.
		{"half a header with the request before", Limits{Idle: slow, Header: short}, []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HT"}, false},
		{"half a header with the body before", Limits{Idle: slow, Header: short}, []string{"POST / HTTP/1.1\r\nHost: h\r\ncontent-length: 2\r\n\r\nabGET / HT"}, false},
		{"half a header after two requests", Limits{Idle: slow, Header: short}, []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\nGET / HT"}, false},
		// Guards against empty lines that pass for the end of a header, so that its limit is lost.
		{"empty lines", Limits{Idle: slow, Header: short}, []string{"\r\n\r\n"}, false},
		{"empty lines before half a header", Limits{Idle: slow, Header: short}, []string{"\r\n\r\n", "GET / HTTP/1.1\r\nHost"}, false},
		// Guards against deadlines that start anew with each byte.
		{"empty lines one by one", Limits{Idle: slow, Header: short}, strings.Split(strings.Repeat("\r\n", 50), ""), true},
		{"a body byte by byte", Limits{Idle: slow, Header: slow, Request: short}, append([]string{"POST / HTTP/1.1\r\nContent-Length: 99\r\n\r\n"}, strings.Split(strings.Repeat("a", 50), "")...), true},
		{"chunks of a byte", Limits{Idle: slow, Header: slow, Request: short}, append([]string{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"}, strings.SplitAfter(strings.Repeat("1\r\na\r\n", 50), "\n")...), true},
		{"a trailer without end", Limits{Idle: slow, Header: slow, Request: short}, []string{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			address, _ := limitedServer(t, c.limits)
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			for _, s := range c.send {
				_, err := conn.Write([]byte(s))
				if c.early && err != nil {
					break
				}
				assert.NilError(t, err)
				time.Sleep(5 * time.Millisecond)
			}
			assert.Assert(t, closed(t, conn), "the connection stays open")
		})
	}
}

// The header limit does not apply to bodies, and new limits apply to open connections.
func TestLimitsExcludeBodiesAndApplyToOpenConnections(t *testing.T) {
	t.Parallel()
	address, limits := limitedServer(t, Limits{Idle: slow, Header: 100 * time.Millisecond})
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\na"))
	assert.NilError(t, err)
	time.Sleep(300 * time.Millisecond)
	_, err = conn.Write([]byte("b"))
	assert.NilError(t, err)
	response := fasthttp.AcquireResponse()
	assert.NilError(t, response.Read(bufio.NewReader(conn)))
	assert.Equal(t, string(response.Body()), "ab")
	limits.Store(Limits{Idle: 50 * time.Millisecond})
	_, err = conn.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n"))
	assert.NilError(t, err)
	assert.Assert(t, closed(t, conn), "the connection stays open")
}
