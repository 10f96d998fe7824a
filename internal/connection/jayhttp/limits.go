package jayhttp

import (
	"bytes"
	"net"
	"strconv"
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
// first bytes after a response, or after the end of the request before it, start a request. The
// server's own deadlines, which bound the body, still apply.
type limitedConn struct {
	net.Conn
	limits func() Limits

	// headerStart is when the header began, zero between two requests.
	headerStart time.Time
	// headerDone is set when the header has ended.
	headerDone bool
	// header holds what has been read of the header, and what came after it together with
	// its end.
	header []byte
	// next holds what has come of the next request.
	next []byte
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
		c.readHeader(b[:n])
	}
	return n, err
}

// readHeader adds to the header of the request. It reports whether the whole request has come.
func (c *limitedConn) readHeader(b []byte) bool {
	if c.headerStart.IsZero() {
		c.headerStart = time.Now()
	}
	c.header = append(c.header, b...)
	end := bytes.Index(c.header, headerEnd)
	if c.headerDone = end >= 0; !c.headerDone {
		return false
	}
	end += len(headerEnd)
	length, known := bodyLength(c.header[:end])
	whole := known && len(c.header)-end >= length
	if whole {
		c.next = c.header[end+length:]
	}
	c.header = nil
	return whole
}

// bodyLength returns the length of the body that follows a header, and false if the header
// does not tell it.
func bodyLength(header []byte) (int, bool) {
	length := 0
	for line := range bytes.Lines(header) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return 0, false
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			if err != nil || n < 0 {
				return 0, false
			}
			length = n
		}
	}
	return length, true
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

// Write implements net.Conn. A response ends the request; the next one may have begun. The server
// reads on only when it has answered all whole requests that have come.
func (c *limitedConn) Write(b []byte) (int, error) {
	for whole := true; whole; {
		next := c.next
		c.headerStart, c.headerDone, c.header, c.next = time.Time{}, false, nil, nil
		whole = len(next) > 0 && c.readHeader(next)
	}
	return c.Conn.Write(b)
}
