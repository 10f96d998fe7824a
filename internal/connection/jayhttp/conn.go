package jayhttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

// limitedConn reads whole requests and then lets the server read them. The server's own deadlines don't
// apply until a request upgrades the connection to another protocol.
type limitedConn struct {
	net.Conn
	listener *LimitedListener
	budget   *Budget
	// base is what the open connection costs by itself.
	base int

	// phase, since and charged are guarded by the mutex of the budget.
	phase   phase
	since   time.Time
	charged int

	// window holds what has been read and belongs to no request yet.
	window []byte
	// request is the request that the server reads, from handed on.
	request []byte
	handed  int
	// upgrades is set if the request asks for another protocol, upgraded once the server has it.
	upgrades bool
	upgraded bool
	// responseDeadline is zero until the response to the request begins.
	responseDeadline time.Time
}

// SetDeadline implements net.Conn.
func (c *limitedConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	if !c.upgraded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *limitedConn) SetWriteDeadline(t time.Time) error {
	if !c.upgraded {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.budget.remove(c)
	return c.Conn.Close()
}

// closeTransport closes the connection below TLS, which sends nothing and so never blocks.
func (c *limitedConn) closeTransport() error {
	if t, ok := c.Conn.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn().Close()
	}
	return c.Conn.Close()
}

// Read implements net.Conn. It returns io.EOF when no further request can be read; the client has been
// told why, if it has sent a part of one.
func (c *limitedConn) Read(b []byte) (int, error) {
	if c.handed == len(c.request) {
		if c.upgraded {
			return c.readUpgraded(b)
		}
		if !c.readRequest() {
			return 0, io.EOF
		}
	}
	n := copy(b, c.request[c.handed:])
	c.handed += n
	if c.handed == len(c.request) {
		c.request, c.handed = nil, 0
		if c.upgrades {
			c.upgrade()
		}
	}
	return n, nil
}

// upgrade begins another protocol. Until Release the connection may be evicted like one that has sent a
// part of a request.
func (c *limitedConn) upgrade() {
	c.upgraded = true
	_ = c.budget.charge(c, upgradedBytes)
	c.budget.enter(c, phaseReading)
}

func (c *limitedConn) readUpgraded(b []byte) (int, error) {
	if len(c.window) == 0 {
		return c.Conn.Read(b)
	}
	n := copy(b, c.window)
	c.window = c.window[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *limitedConn) Write(b []byte) (int, error) {
	if c.upgraded {
		return c.Conn.Write(b)
	}
	if c.responseDeadline.IsZero() {
		c.responseDeadline = time.Now().Add(responseTimeout)
		if err := c.Conn.SetWriteDeadline(c.responseDeadline); err != nil {
			return 0, err
		}
	}
	c.budget.enter(c, phaseWriting)
	n, err := c.Conn.Write(b)
	c.budget.enter(c, phaseHandling)
	return n, err
}

// refusal is the status with which a request is refused that is not handed to the server.
type refusal int

// Error implements error.
func (r refusal) Error() string { return fmt.Sprintf("request refused with status %d", int(r)) }

// reason names the refusal in metrics.
func (r refusal) reason() string {
	switch int(r) {
	case fasthttp.StatusRequestHeaderFieldsTooLarge:
		return "header"
	case fasthttp.StatusRequestEntityTooLarge:
		return "body"
	case fasthttp.StatusRequestTimeout:
		return "timeout"
	case fasthttp.StatusServiceUnavailable:
		return "memory"
	}
	return "malformed"
}

// errEnded is returned when the connection ends, or is to be closed without a response.
var errEnded = errors.New("connection ended")

// readRequest reads the next request. It reports false if the connection is to be closed.
func (c *limitedConn) readRequest() bool {
	c.responseDeadline, c.upgrades = time.Time{}, false
	if cap(c.window) > windowBytes && len(c.window) <= windowBytes {
		c.window = append(make([]byte, 0, windowBytes), c.window...)
	}
	if !c.budget.charge(c, cap(c.window)) || !c.budget.enter(c, phaseIdle) {
		return false
	}
	r := requestReader{conn: c, head: newHead(c.listener.fields)}
	err := r.read()
	if err == nil {
		return true
	}
	var refused refusal
	if errors.As(err, &refused) {
		c.budget.count(refused.reason())
		c.refuse(int(refused))
	}
	return false
}

// refuse answers a request that the server does not get, and reads on for a while, so that the client
// sees the answer.
func (c *limitedConn) refuse(status int) {
	c.window, c.request = nil, nil
	if !c.budget.enter(c, phaseLingering) {
		return
	}
	_ = c.budget.charge(c, windowBytes)
	contentType, body := "text/plain; charset=utf-8", []byte(fasthttp.StatusMessage(status))
	if c.listener.Refusal != nil {
		contentType, body = c.listener.Refusal(status)
	}
	retry := ""
	if status == fasthttp.StatusServiceUnavailable {
		retry = fmt.Sprintf("Retry-After: %d\r\n", retryAfterSeconds)
	}
	deadline := time.Now().Add(lingerTimeout)
	if c.Conn.SetDeadline(deadline) != nil {
		return
	}
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\n%sContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s", status, fasthttp.StatusMessage(status), retry, contentType, len(body), body); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	b := make([]byte, windowBytes)
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(b)
		if err != nil {
			return
		}
		read += n
	}
}
