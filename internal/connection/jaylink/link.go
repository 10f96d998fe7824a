// Package jaylink keeps one WebSocket connection between two processes of
// jaystile: typed frames, calls with replies, and heartbeats in both
// directions that notice when either direction has gone silent.
package jaylink

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const outboxFrames = 4096

// ClosedError reports that a link ended and why.
type ClosedError struct {
	Peer  string
	Cause string
}

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("link to %s closed: %s", e.Peer, e.Cause) }

// FullError reports that the peer takes frames more slowly than they are sent.
type OutboxFullError struct{ Peer string }

// Error implements error.
func (e *OutboxFullError) Error() string { return "link to " + e.Peer + ": outbox is full" }

// Timing bounds how long silence may last.
type Timing struct {
	// Beat is the time between heartbeats.
	HeartbeatInterval time.Duration
	// Silence is how long either direction may carry nothing before the link is
	// closed.
	SilenceTimeout time.Duration
}

// Handler takes the messages of a link in order. It must not block. The call is
// zero when no reply is wanted.
type Handler func(l *Link, call uint64, m jayframe.Message)

// Link is one open connection to a peer.
type Link struct {
	peer     string
	conn     *websocket.Conn
	timing   Timing
	handler  Handler
	makeBeat func() jayframe.Heartbeat

	outbox chan []byte
	done   chan struct{}
	once   sync.Once
	cause  atomic.Pointer[ClosedError]

	nextCall atomic.Uint64
	mutex    sync.Mutex
	calls    map[uint64]chan jayframe.Message

	sent     atomic.Uint64
	seen     atomic.Uint64
	lastRead atomic.Int64
	lastAck  atomic.Int64
}

func newLink(peer string, conn *websocket.Conn, e *Endpoint) *Link {
	l := &Link{
		peer:     peer,
		conn:     conn,
		timing:   e.Timing,
		handler:  e.Handler,
		makeBeat: e.MakeHeartbeat,
		outbox:   make(chan []byte, outboxFrames),
		done:     make(chan struct{}),
		calls:    map[uint64]chan jayframe.Message{},
	}
	now := int64(jayclock.Elapsed())
	l.lastRead.Store(now)
	l.lastAck.Store(now)
	conn.SetReadLimit(jayframe.MaxFrameBytes)
	return l
}

// Peer returns the name of the other process.
func (l *Link) Peer() string { return l.peer }

// Done is closed when the link has ended.
func (l *Link) Done() <-chan struct{} { return l.done }

// SilentFor returns how long nothing has arrived, or how long the peer has
// acknowledged nothing, whichever is longer.
func (l *Link) SilentFor() time.Duration {
	now := int64(jayclock.Elapsed())
	return time.Duration(max(now-l.lastRead.Load(), now-l.lastAck.Load()))
}

// Err returns why the link ended, or nil while it is open.
func (l *Link) Err() error {
	if e := l.cause.Load(); e != nil {
		return e
	}
	return nil
}

// Close ends the link.
func (l *Link) Close(cause string) {
	l.once.Do(func() {
		l.cause.Store(&ClosedError{Peer: l.peer, Cause: cause})
		close(l.done)
		_ = l.conn.Close()
	})
}

// Send queues a message that wants no reply.
func (l *Link) Send(m jayframe.Message) error { return l.queue(jayframe.NewFrame(m)) }

// Reply answers a call; a call of zero wanted no reply.
func (l *Link) Reply(call uint64, m jayframe.Message) error {
	if call == 0 {
		return nil
	}
	return l.queue(jayframe.NewReply(call, m))
}

// Call sends a message and waits for its reply.
func (l *Link) Call(ctx context.Context, m jayframe.Message) (jayframe.Message, error) {
	number := l.nextCall.Add(1)
	reply := make(chan jayframe.Message, 1)
	l.mutex.Lock()
	l.calls[number] = reply
	l.mutex.Unlock()
	defer func() {
		l.mutex.Lock()
		delete(l.calls, number)
		l.mutex.Unlock()
	}()
	if err := l.queue(jayframe.NewCall(number, m)); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-l.done:
		return nil, l.Err()
	case <-ctx.Done():
		return nil, fmt.Errorf("call to %s: %w", l.peer, ctx.Err())
	}
}

func (l *Link) queue(f jayframe.Frame) error {
	b, err := jayframe.Encode(f)
	if err != nil {
		return fmt.Errorf("send to %s: %w", l.peer, err)
	}
	select {
	case <-l.done:
		return l.Err()
	default:
	}
	select {
	case l.outbox <- b:
		return nil
	default:
		return &OutboxFullError{Peer: l.peer}
	}
}

// run carries frames until the link ends.
func (l *Link) run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(l.write)
	wg.Go(l.beat)
	wg.Go(func() {
		select {
		case <-ctx.Done():
			l.Close("process is shutting down")
		case <-l.done:
		}
	})
	l.read()
	wg.Wait()
}

func (l *Link) write() {
	for {
		select {
		case <-l.done:
			return
		case b := <-l.outbox:
			_ = l.conn.SetWriteDeadline(time.Now().Add(l.timing.SilenceTimeout))
			if err := l.conn.WriteMessage(websocket.BinaryMessage, b); err != nil {
				l.Close("write: " + err.Error())
				return
			}
		}
	}
}

func (l *Link) beat() {
	ticker := time.NewTicker(l.timing.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		if silent := l.SilentFor(); silent > l.timing.SilenceTimeout {
			l.Close("silent for " + silent.Round(time.Millisecond).String())
			return
		}
		b := l.makeBeat()
		b.Sequence = l.sent.Add(1)
		b.Ack = l.seen.Load()
		if err := l.Send(&b); err != nil {
			var full *OutboxFullError
			if errors.As(err, &full) {
				l.Close("outbox is full")
			}
		}
	}
}

func (l *Link) read() {
	for {
		_, b, err := l.conn.ReadMessage()
		if err != nil {
			l.Close("read: " + err.Error())
			return
		}
		l.lastRead.Store(int64(jayclock.Elapsed()))
		f, err := jayframe.Decode(b)
		var unknown *jayframe.UnknownKindError
		if errors.As(err, &unknown) {
			continue
		}
		if err != nil {
			l.Close(err.Error())
			return
		}
		l.dispatch(f)
	}
}

func (l *Link) dispatch(f jayframe.Frame) {
	if f.IsReply() {
		l.mutex.Lock()
		c := l.calls[f.Call()]
		delete(l.calls, f.Call())
		l.mutex.Unlock()
		if c != nil {
			c <- f.Message()
		}
		return
	}
	if b, ok := f.Message().(*jayframe.Heartbeat); ok {
		l.seen.Store(b.Sequence)
		if b.Ack+uint64(l.timing.SilenceTimeout/l.timing.HeartbeatInterval) >= l.sent.Load() {
			l.lastAck.Store(int64(jayclock.Elapsed()))
		}
	}
	l.handler(l, f.Call(), f.Message())
}
