package jaystandin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

const relayBufferSize = 32 << 10 // bytes

// RelayFault is the fault of a relayed connection. Forward is the direction to the
// target.
type RelayFault struct {
	// DropForward and DropBack discard the bytes of one direction.
	DropForward bool
	DropBack    bool
	// Delay is added to each chunk of bytes, in both directions.
	Delay time.Duration
}

// relayConn is one connection through a relay.
type relayConn struct {
	fault                atomic.Pointer[RelayFault]
	downstream, upstream net.Conn
}

func (c *relayConn) close() {
	_ = c.downstream.Close()
	_ = c.upstream.Close()
}

// Relay forwards TCP connections to a target and can make them silent, one-way or
// slow.
type Relay struct {
	target   string
	listener net.Listener

	mutex        sync.Mutex
	conns        map[*relayConn]bool
	newConnFault RelayFault
	closed       bool
}

// NewRelay listens on loopback and forwards connections to the target. The returned
// function closes the relay and its connections.
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

// Address returns the address on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetFaultOnOpen sets the fault of open connections only.
func (r *Relay) SetFaultOnOpen(f RelayFault) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for c := range r.conns {
		c.fault.Store(&f)
	}
}

// SetFault sets the fault of open and of new connections.
func (r *Relay) SetFault(f RelayFault) {
	r.SetFaultOnOpen(f)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.newConnFault = f
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
		downstream, err := r.listener.Accept()
		if err != nil {
			return
		}
		wg.Go(func() { r.forward(wg, downstream) })
	}
}

func (r *Relay) forward(wg *conc.WaitGroup, downstream net.Conn) {
	upstream, err := net.DialTimeout("tcp", r.target, time.Second)
	if err != nil {
		_ = downstream.Close()
		return
	}
	c := &relayConn{downstream: downstream, upstream: upstream}
	r.mutex.Lock()
	f := r.newConnFault
	c.fault.Store(&f)
	closed := r.closed
	r.conns[c] = true
	r.mutex.Unlock()
	if closed {
		c.close()
	}
	wg.Go(func() { c.copy(upstream, downstream, true) })
	c.copy(downstream, upstream, false)
	r.mutex.Lock()
	delete(r.conns, c)
	r.mutex.Unlock()
}

// copy copies bytes in one direction until either end closes. It keeps reading a
// dropped direction, so that the sender sees no error.
func (c *relayConn) copy(to, from net.Conn, forward bool) {
	defer c.close()
	b := make([]byte, relayBufferSize)
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
