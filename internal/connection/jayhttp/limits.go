package jayhttp

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Limits that apply unless a listener has others.
const (
	// MaxHeadBytes bounds a request line and the header together in any case.
	MaxHeadBytes = 32 << 10
	// MaxBodyBytes bounds a body.
	MaxBodyBytes = 4 << 20
	// RequestTimeout bounds reading one request. Callers usually wait 3 s in total, and
	// even the largest body over the slowest link takes less.
	RequestTimeout = 5 * time.Second
)

const (
	// idleTimeout closes idle connections unless the listener has another limit; it is
	// twice the usual limit of 15 s.
	idleTimeout = 30 * time.Second
	// responseTimeout bounds writing one response.
	responseTimeout = 10 * time.Second
	// upgradedBytes is what a connection with another protocol costs.
	upgradedBytes = 40 << 10
	// windowBytes is the buffer of an open connection, which grows for long lines.
	windowBytes = 2 << 10
	// lingerTimeout and lingerBytes bound what is read after a refusal, so that a client that is still
	// sending gets it: closing a connection with unread bytes discards what has been written.
	lingerTimeout = time.Second
	lingerBytes   = 256 << 10
	// retryAfterSeconds is when a client may come back that was refused for lack of memory.
	retryAfterSeconds = 1
)

// Limits bound one request and an idle connection. Zero means the limit of the listener or, if that is
// zero as well, the default.
type Limits struct {
	// HeaderBytes bounds the header without its request line.
	HeaderBytes int
	// BodyBytes bounds the body.
	BodyBytes int
	// Header is the time from the first byte of a request to the end of its header, Idle that from a
	// response to the first byte of the next request.
	Header time.Duration
	Idle   time.Duration
	// Request is the time from the first byte of a request to its end.
	Request time.Duration
}

// LimitedListener hands whole requests to an HTTP server and refuses those that exceed the limits, which
// may change while connections are open. What its connections cost is charged to a budget. Its exported
// fields are set before Accept.
type LimitedListener struct {
	net.Listener
	// Limits returns the limits in force; it is called at each read. It may be nil.
	Limits func() Limits
	// Default holds limits for those that Limits leaves out.
	Default Limits
	// Budget bounds the connections; nil means a budget of their own.
	Budget *Budget
	// Fields names the header fields that the server uses, beside Host, Connection and those that frame
	// the request. It gets no others.
	Fields []string
	// Refusal returns the content type and body of a response with which a request is refused; nil means
	// the status as text.
	Refusal func(status int) (contentType string, body []byte)

	once   sync.Once
	fields []string
}

func (l *LimitedListener) prepare() {
	l.fields = slices.Concat(baseFields, l.Fields)
	if l.Budget == nil {
		l.Budget = NewBudget("other", metrics.NewSet(), unknownBytes, unknownConnections)
	}
}

// Accept implements net.Listener.
func (l *LimitedListener) Accept() (net.Conn, error) {
	l.once.Do(l.prepare)
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &limitedConn{Conn: conn, listener: l, budget: l.Budget, base: connectionBytes, since: time.Now()}
		if _, ok := conn.(interface{ NetConn() net.Conn }); ok {
			c.base += tlsBytes
		}
		c.charged = c.base
		if l.Budget.admit(c) {
			return c, nil
		}
		l.Budget.count("connections")
		_ = c.closeTransport()
	}
}

// Drain closes idle connections at once, and those that have sent a part of a request after a timeout.
func (l *LimitedListener) Drain(timeout time.Duration) {
	l.once.Do(l.prepare)
	l.Budget.drain(timeout)
}

// limits returns the limits in force.
func (l *LimitedListener) limits() Limits {
	var v Limits
	if l.Limits != nil {
		v = l.Limits()
	}
	d := l.Default
	v.HeaderBytes = firstPositive(v.HeaderBytes, d.HeaderBytes, MaxHeadBytes)
	v.BodyBytes = firstPositive(v.BodyBytes, d.BodyBytes, MaxBodyBytes)
	v.Request = firstPositive(v.Request, d.Request, RequestTimeout)
	v.Header = min(firstPositive(v.Header, d.Header, v.Request), v.Request)
	v.Idle = firstPositive(v.Idle, d.Idle, idleTimeout)
	return v
}

func firstPositive[T int | time.Duration](values ...T) T {
	for _, v := range values {
		if v > 0 {
			return v
		}
	}
	return 0
}
