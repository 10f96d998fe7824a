package jayhttp

import (
	"cmp"
	"fmt"
	"math"
	"net"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// connectionBytes is what an open connection costs: its goroutine, its buffer and the
	// bookkeeping of the server. tlsBytes is added for a connection with TLS.
	connectionBytes = 12 << 10
	tlsBytes        = 48 << 10
	// requestBytes is what a request costs while it is handled, and handledFactor how many times the
	// bytes of its header and body: the server's copy and what they are decoded to.
	requestBytes  = 24 << 10
	handledFactor = 4
	// evictedShare is the part of a budget that an eviction frees at least, so that a crowd
	// does not cause a search for each of its connections.
	evictedShare = 32
	// blockedWrite is how long a response may wait for a client that does not read it before the
	// connection may be evicted.
	blockedWrite = time.Second
	// unknownBytes and unknownConnections are the budget of listeners without one.
	unknownBytes       = 64 << 20
	unknownConnections = 8192
)

// Machine is what the machine of a process has for it.
type Machine struct {
	MemoryBytes int
	Descriptors int
}

const (
	// clientPercent is the part of a machine's memory that connections may use.
	clientPercent = 25
	// programBytes is the memory that the garbage collector does not manage: the program itself.
	programBytes = 20 << 20
	// heapPercent is the part of the rest at which the garbage collector works harder.
	heapPercent = 75
	// minConnections lets an address serve beside clients that hold connections open.
	minConnections = 4
)

// SetMemoryLimit makes the garbage collector keep the process inside the machine's memory.
func (m Machine) SetMemoryLimit() {
	debug.SetMemoryLimit(int64(max(m.MemoryBytes-programBytes, programBytes/2)) * heapPercent / 100)
}

// Share is the part of a machine that the connections to one address may use, in percent of the
// memory for connections and of the descriptors. Shares are apart, so that no address waits for another.
type Share struct {
	// Listener names the address in metrics.
	Listener    string
	Memory      int
	Descriptors int
}

// Budget returns the budget of a share, whose metrics are in the set.
func (m Machine) Budget(s Share, set *metrics.Set) *Budget {
	return NewBudget(s.Listener, set, m.MemoryBytes/100*clientPercent/100*s.Memory, max(m.Descriptors*s.Descriptors/100, minConnections))
}

// phase is what a connection is doing.
type phase uint8

const (
	// phaseIdle waits for the first byte of a request.
	phaseIdle phase = iota
	// phaseReading has a part of a request.
	phaseReading
	// phaseHandling has a whole request, which is not answered yet. It is never evicted.
	phaseHandling
	// phaseWriting writes a response.
	phaseWriting
	// phaseLingering has refused a request and lets the refusal arrive.
	phaseLingering
)

// Budget bounds the memory and the number of the connections to one address. A connection is charged
// for what its state costs. When a budget is used up, connections are closed in this order: idle ones,
// those idle longest first; then those that have sent a part of a request, linger or don't read their
// response, the costliest and then the oldest first; then the one that asks for more. For a part of a
// request only costlier connections are closed, for a whole request or a new connection also cheaper ones.
type Budget struct {
	listener    string
	set         *metrics.Set
	bytes       int
	connections int

	mutex sync.Mutex
	used  int
	open  map[*limitedConn]struct{}
}

// NewBudget returns a budget; listener names its address in the metrics of the set.
func NewBudget(listener string, set *metrics.Set, bytes, connections int) *Budget {
	b := &Budget{listener: listener, set: set, bytes: bytes, connections: connections, open: map[*limitedConn]struct{}{}}
	set.GetOrCreateGauge(fmt.Sprintf("jaystile_client_connections{listener=%q}", listener), func() float64 { n, _ := b.inUse(); return float64(n) })
	set.GetOrCreateGauge(fmt.Sprintf("jaystile_client_bytes{listener=%q}", listener), func() float64 { _, n := b.inUse(); return float64(n) })
	return b
}

func (b *Budget) inUse() (connections, bytes int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return len(b.open), b.used
}

// count counts a connection that the server has closed or refused a request on.
func (b *Budget) count(reason string) {
	b.set.GetOrCreateCounter(fmt.Sprintf("jaystile_client_refusals_total{listener=%q,reason=%q}", b.listener, reason)).Inc()
}

// admit adds a connection. It reports false if there is no room for it.
func (b *Budget) admit(c *limitedConn) bool {
	b.mutex.Lock()
	evicted := b.makeRoom(c, c.charged, 1, c.charged)
	ok := len(b.open) < b.connections && b.used+c.charged <= b.bytes
	if ok {
		b.open[c] = struct{}{}
		b.used += c.charged
	}
	b.mutex.Unlock()
	b.closeAll(evicted)
	return ok
}

// remove ends the charges of a connection.
func (b *Budget) remove(c *limitedConn) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.forget(c)
}

// forget is remove with the mutex held.
func (b *Budget) forget(c *limitedConn) {
	if _, ok := b.open[c]; ok {
		delete(b.open, c)
		b.used -= c.charged
	}
}

// charge changes what a connection costs, beside being open, to a number of bytes. It reports false if
// that is too much, or if the connection has been evicted.
func (b *Budget) charge(c *limitedConn, bytes int) bool {
	return b.change(c, bytes, c.base+bytes)
}

// handle charges a connection for a whole request, and is otherwise like charge.
func (b *Budget) handle(c *limitedConn, bytes int) bool {
	return b.change(c, bytes, c.base) && b.enter(c, phaseHandling)
}

// change changes what a connection costs, and closes others for it that cost at least so much.
func (b *Budget) change(c *limitedConn, bytes, atLeast int) bool {
	b.mutex.Lock()
	more := c.base + bytes - c.charged
	var evicted []*limitedConn
	if more > 0 {
		evicted = b.makeRoom(c, more, 0, atLeast)
	}
	_, open := b.open[c]
	// A request alone is served whatever it costs.
	ok := open && (more <= 0 || b.used+more <= b.bytes || len(b.open) == 1)
	if ok {
		b.used += more
		c.charged += more
	}
	b.mutex.Unlock()
	b.closeAll(evicted)
	return ok
}

// enter records that a connection has begun a phase. It reports false if the connection has been evicted.
func (b *Budget) enter(c *limitedConn, p phase) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c.phase, c.since = p, time.Now()
	_, open := b.open[c]
	return open
}

// makeRoom takes connections out of the budget, and returns them to be closed, until there is room
// for so many more bytes and connections on behalf of c. They are idle or cost at least so much. The mutex
// is held.
func (b *Budget) makeRoom(c *limitedConn, bytes, connections, atLeast int) []*limitedConn {
	short := func(sparedBytes, sparedConnections int) bool {
		return b.used+bytes > b.bytes-sparedBytes || len(b.open)+connections > b.connections-sparedConnections
	}
	if !short(0, 0) {
		return nil
	}
	now := time.Now()
	var candidates, evicted []*limitedConn
	for o := range b.open {
		if o != c && o.evictable(now) && (o.phase == phaseIdle || o.charged >= atLeast) {
			candidates = append(candidates, o)
		}
	}
	slices.SortFunc(candidates, func(x, y *limitedConn) int {
		if idle := cmp.Compare(x.rank(), y.rank()); idle != 0 {
			return idle
		}
		return x.since.Compare(y.since)
	})
	for _, o := range candidates {
		if !short(b.bytes/evictedShare, b.connections*connections/evictedShare) {
			break
		}
		b.forget(o)
		evicted = append(evicted, o)
	}
	return evicted
}

func (b *Budget) closeAll(evicted []*limitedConn) {
	for _, c := range evicted {
		b.count("evicted")
		_ = c.closeTransport()
	}
}

// drain closes idle connections, and those that have sent a part of a request after a timeout.
func (b *Budget) drain(timeout time.Duration) {
	b.mutex.Lock()
	var idle, reading []*limitedConn
	for c := range b.open {
		switch c.phase {
		case phaseIdle:
			b.forget(c)
			idle = append(idle, c)
		case phaseReading, phaseLingering:
			reading = append(reading, c)
		}
	}
	b.mutex.Unlock()
	for _, c := range idle {
		_ = c.closeTransport()
	}
	time.AfterFunc(timeout, func() {
		b.mutex.Lock()
		reading = slices.DeleteFunc(reading, func(c *limitedConn) bool {
			_, open := b.open[c]
			return !open || c.phase == phaseHandling || c.phase == phaseWriting
		})
		b.mutex.Unlock()
		for _, c := range reading {
			_ = c.closeTransport()
		}
	})
}

// rank orders connections for eviction: idle ones first, then by what they cost.
func (c *limitedConn) rank() int {
	if c.phase == phaseIdle {
		return math.MinInt
	}
	return -c.charged
}

// evictable reports whether closing the connection loses no answer that its client reads.
func (c *limitedConn) evictable(now time.Time) bool {
	switch c.phase {
	case phaseIdle, phaseReading, phaseLingering:
		return true
	case phaseWriting:
		return now.Sub(c.since) > blockedWrite
	}
	return false
}

// Release takes an accepted connection out of its budget, for as long as it is open.
func Release(c net.Conn) {
	if l, ok := c.(*limitedConn); ok {
		l.budget.remove(l)
	}
}
