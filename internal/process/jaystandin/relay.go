package jaystandin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const relayBuffer = 32 << 10

// RelayFault says what a relay does with bytes.
type RelayFault struct {
	// DropForward and DropBack swallow the bytes of one direction.
	DropForward bool
	DropBack    bool
	// Delay is added to each chunk of bytes, both ways.
	Delay time.Duration
}

// relayConn is one connection through a relay.
type relayConn struct {
	fault      atomic.Pointer[RelayFault]
	near, away net.Conn
}

func (c *relayConn) close() {
	_ = c.near.Close()
	_ = c.away.Close()
}

// Relay passes TCP connections on to a target and can make them silent, one-way
// or slow.
type Relay struct {
	target   string
	listener net.Listener

	mutex  sync.Mutex
	conns  map[*relayConn]bool
	future RelayFault
	closed bool
}

// NewRelay listens on loopback and passes connections on to the target. The
// returned function closes it with all its connections.
func NewRelay(target string) (*Relay, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	r := &Relay{target: target, listener: l, conns: map[*relayConn]bool{}}
	var wg conc.WaitGroup
	wg.Go(func() { r.accept(&wg) })
	return r, func() {
		r.close()
		wg.Wait()
	}, nil
}

// Address returns where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Spoil gives the open connections a fault; connections made later work.
func (r *Relay) SetFaultOnOpen(f RelayFault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for c := range r.conns {
		c.fault.Store(&f)
	}
}

// SpoilAll gives all connections a fault, those made later too.
func (r *Relay) SetFault(f RelayFault) {
	r.SetFaultOnOpen(f)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.future = f
}

func (r *Relay) close() {
	_ = r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.closed = true
	for c := range r.conns {
		c.close()
	}
}

func (r *Relay) accept(wg *conc.WaitGroup) {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { r.pass(wg, near) })
	}
}

func (r *Relay) pass(wg *conc.WaitGroup, near net.Conn) {
	away, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = near.Close()
		return
	}
	c := &relayConn{near: near, away: away}
	r.mutex.Lock()
	f := r.future
	c.fault.Store(&f)
	closed := r.closed
	r.conns[c] = true
	r.mutex.Unlock()
	if closed {
		c.close()
	}
	wg.Go(func() { c.copy(away, near, true) })
	c.copy(near, away, false)
	r.mutex.Lock()
	delete(r.conns, c)
	r.mutex.Unlock()
}

// copy moves bytes one way until either end closes. A dropped direction goes on
// reading, so that the sender notices nothing.
func (c *relayConn) copy(to, from net.Conn, forward bool) {
	defer c.close()
	b := make([]byte, relayBuffer)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		f := c.fault.Load()
		time.Sleep(f.Delay)
		if (forward && f.DropForward) || (!forward && f.DropBack) {
			continue
		}
		if _, err := to.Write(b[:n]); err != nil {
			return
		}
	}
}
