package jayhttp

import (
	"bytes"
	"net"
	"time"
)

// Limits bound how long a connection may carry nothing and how long the header of
// a request may take. A zero is no bound.
type Limits struct {
	Header time.Duration
	Idle   time.Duration
}

// LimitedListener closes connections that exceed the limits, which may change
// while connections are open. Its exported fields are set before Accept.
type LimitedListener struct {
	net.Listener
	// Limits returns those in force; they are asked for at each read.
	Limits func() Limits
}

// Accept implements net.Listener.
func (l *LimitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: c, limits: l.Limits}, nil
}

// headerEnd ends the header of a request.
var headerEnd = []byte("\r\n\r\n")

// limitedConn knows whether it is between two requests, in a header or beyond it:
// the first bytes after an answer begin a request. The server's own deadlines,
// which bound the body, hold besides.
type limitedConn struct {
	net.Conn
	limits func() Limits

	// begun is when the header began, zero between two requests.
	begun time.Time
	// beyond tells that the header has ended.
	beyond bool
	// tail holds the last bytes read of the header.
	tail []byte
	// outer is the deadline that the server has set.
	outer time.Time
}

// SetReadDeadline implements net.Conn.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.outer = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *limitedConn) SetDeadline(t time.Time) error {
	c.outer = t
	return c.Conn.SetDeadline(t)
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(c.deadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !c.beyond {
		if c.begun.IsZero() {
			c.begun = time.Now()
		}
		c.tail = append(c.tail, b[:n]...)
		c.beyond = bytes.Contains(c.tail, headerEnd)
		c.tail = append([]byte(nil), c.tail[max(0, len(c.tail)-len(headerEnd)+1):]...)
	}
	return n, err
}

// deadline returns when the next read must have ended.
func (c *limitedConn) deadline() time.Time {
	limits, at := c.limits(), c.outer
	switch {
	case c.beyond:
	case !c.begun.IsZero() && limits.Header > 0:
		at = earlier(at, c.begun.Add(limits.Header))
	case c.begun.IsZero() && limits.Idle > 0:
		// The server's own bound of an idle connection gives way to this one.
		at = time.Now().Add(limits.Idle)
	}
	return at
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Write implements net.Conn. An answer ends a request.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.begun, c.beyond, c.tail = time.Time{}, false, nil
	return c.Conn.Write(b)
}
