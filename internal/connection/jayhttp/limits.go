package jayhttp

import (
	"bytes"
	"net"
	"time"
)

// Limits bound how long a connection may be idle and how long the header of a request
// may take. Zero means no limit.
type Limits struct {
	Header time.Duration
	Idle   time.Duration
}

// LimitedListener closes connections that exceed the limits, which may change
// while connections are open. Its exported fields are set before Accept.
type LimitedListener struct {
	net.Listener
	// Limits returns the limits in force; it is called at each read.
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

// headerEnd is the end of a request's header.
var headerEnd = []byte("\r\n\r\n")

// limitedConn tracks whether the connection is idle, in a header or in a body. The
// first bytes after a response start a request. The server's own deadlines, which
// bound the body, still apply.
type limitedConn struct {
	net.Conn
	limits func() Limits

	// headerStart is when the header began, zero between two requests.
	headerStart time.Time
	// headerDone is set when the header has ended.
	headerDone bool
	// tail holds the last bytes of the header, in which headerEnd may have begun.
	tail []byte
	// serverDeadline is the deadline that the server has set.
	serverDeadline time.Time
}

// SetReadDeadline implements net.Conn.
func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.serverDeadline = t
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *limitedConn) SetDeadline(t time.Time) error {
	c.serverDeadline = t
	return c.Conn.SetDeadline(t)
}

// Read implements net.Conn.
func (c *limitedConn) Read(b []byte) (int, error) {
	if err := c.Conn.SetReadDeadline(c.deadline()); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 && !c.headerDone {
		if c.headerStart.IsZero() {
			c.headerStart = time.Now()
		}
		c.tail = append(c.tail, b[:n]...)
		c.headerDone = bytes.Contains(c.tail, headerEnd)
		c.tail = append([]byte(nil), c.tail[max(0, len(c.tail)-len(headerEnd)+1):]...)
	}
	return n, err
}

// deadline returns the deadline of the next read.
func (c *limitedConn) deadline() time.Time {
	limits, at := c.limits(), c.serverDeadline
	switch {
	case c.headerDone:
	case !c.headerStart.IsZero() && limits.Header > 0:
		at = earlier(at, c.headerStart.Add(limits.Header))
	case c.headerStart.IsZero() && limits.Idle > 0:
		// This limit replaces the server's own idle timeout.
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

// Write implements net.Conn. A response ends the request.
func (c *limitedConn) Write(b []byte) (int, error) {
	c.headerStart, c.headerDone, c.tail = time.Time{}, false, nil
	return c.Conn.Write(b)
}
