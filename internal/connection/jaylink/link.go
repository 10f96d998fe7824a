// Package jaylink implements the WebSocket connection between two processes of
// jaystile, with typed messages, calls with replies, and heartbeats that detect a
// silent direction. An Endpoint dials and accepts the links of its process; a Link
// exchanges messages with one peer.
package jaylink

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/websocket"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jayclock"
)

// outboxFrames bounds the frames that wait to be written to one link.
const outboxFrames = 4096

// framesNotSent counts the messages that could not be encoded, such as those that the peer would refuse
// for their size.
var framesNotSent = metrics.NewCounter("jaystile_frames_not_sent_total")

// settleInterval is how often Settle checks the acknowledgements.
const settleInterval = 10 * time.Millisecond

// ClosedError reports that a link was closed and why.
type ClosedError struct {
	Peer  string
	Cause string
}

// Error implements error.
func (e *ClosedError) Error() string { return fmt.Sprintf("link to %s closed: %s", e.Peer, e.Cause) }

// OutboxFullError reports that the peer reads frames more slowly than they are sent.
type OutboxFullError struct{ Peer string }

// Error implements error.
func (e *OutboxFullError) Error() string { return "link to " + e.Peer + ": outbox is full" }

// Timing configures the detection of silent links.
type Timing struct {
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// SilenceTimeout is how long a direction may be silent before the link is closed.
	SilenceTimeout time.Duration
}

// Handler handles the messages of a link in order. It must not block. The call number
// is zero when no reply is expected.
type Handler func(l *Link, call uint64, m jayframe.Message)

// Link is one open connection to a peer.
type Link struct {
	peer          string
	conn          *websocket.Conn
	timing        Timing
	handler       Handler
	makeHeartbeat func() jayframe.Heartbeat

	outbox chan []byte
	done   chan struct{}
	once   sync.Once
	cause  atomic.Pointer[ClosedError]

	nextCall atomic.Uint64
	mutex    sync.Mutex
	calls    map[uint64]chan jayframe.Message

	// Sequence numbers of the last heartbeat sent, received and acknowledged by the peer.
	sentSequence     atomic.Uint64
	receivedSequence atomic.Uint64
	ackedSequence    atomic.Uint64
	silence          *silence
}

func newLink(peer string, conn *websocket.Conn, e *Endpoint) *Link {
	l := &Link{
		peer:          peer,
		conn:          conn,
		timing:        e.Timing,
		handler:       e.Handler,
		makeHeartbeat: e.MakeHeartbeat,
		outbox:        make(chan []byte, outboxFrames),
		done:          make(chan struct{}),
		calls:         map[uint64]chan jayframe.Message{},
		silence:       newSilence(e.Timing.HeartbeatInterval, jayclock.Elapsed()),
	}
	conn.SetReadLimit(jayframe.MaxFrameBytes)
	return l
}

// Peer returns the name of the other process.
func (l *Link) Peer() string { return l.peer }

// Done returns a channel that is closed when the link is closed.
func (l *Link) Done() <-chan struct{} { return l.done }

// Err returns why the link was closed, or nil while it is open.
func (l *Link) Err() error {
	if e := l.cause.Load(); e != nil {
		return e
	}
	return nil
}

// Close closes the link. Only the cause of the first call is kept.
func (l *Link) Close(cause string) {
	l.once.Do(func() {
		l.cause.Store(&ClosedError{Peer: l.peer, Cause: cause})
		close(l.done)
		// The server closes an accepted connection only when its handler returns, so the
		// reader is woken first.
		_ = l.conn.SetReadDeadline(time.Now())
		_ = l.conn.Close()
	})
}

// Send queues a one-way message.
func (l *Link) Send(m jayframe.Message) error { return l.enqueue(jayframe.NewFrame(m)) }

// Reply queues the reply to a call; it does nothing when the call number is zero.
func (l *Link) Reply(call uint64, m jayframe.Message) error {
	if call == 0 {
		return nil
	}
	return l.enqueue(jayframe.NewReply(call, m))
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
	if err := l.enqueue(jayframe.NewCall(number, m)); err != nil {
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

// Settle waits until the peer has handled all that was sent before, and this process all that
// the peer had sent by then. It returns an error if the link closes or ctx ends first.
func (l *Link) Settle(ctx context.Context) error {
	next := l.sentSequence.Load() + 1
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for l.ackedSequence.Load() < next {
		select {
		case <-ticker.C:
		case <-l.done:
			return l.Err()
		case <-ctx.Done():
			return fmt.Errorf("settle link to %s: %w", l.peer, ctx.Err())
		}
	}
	return nil
}

func (l *Link) enqueue(f jayframe.Frame) error {
	b, err := jayframe.Encode(f)
	if err != nil {
		framesNotSent.Inc()
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

// run exchanges frames until the link closes or ctx ends.
func (l *Link) run(ctx context.Context) {
	var wg conc.WaitGroup
	wg.Go(l.writeFrames)
	wg.Go(l.sendHeartbeats)
	wg.Go(func() {
		select {
		case <-ctx.Done():
			l.Close("process is shutting down")
		case <-l.done:
		}
	})
	l.readFrames()
	wg.Wait()
}

func (l *Link) writeFrames() {
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

func (l *Link) sendHeartbeats() {
	ticker := time.NewTicker(l.timing.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-ticker.C:
		}
		if silent := l.silence.check(jayclock.Elapsed()); silent > l.timing.SilenceTimeout {
			l.Close("silent for " + silent.Round(time.Millisecond).String())
			return
		}
		b := l.makeHeartbeat()
		b.Sequence = l.sentSequence.Add(1)
		b.Ack = l.receivedSequence.Load()
		if err := l.Send(&b); err != nil {
			var full *OutboxFullError
			if errors.As(err, &full) {
				l.Close("outbox is full")
			}
		}
	}
}

func (l *Link) readFrames() {
	for {
		_, b, err := l.conn.ReadMessage()
		if err != nil {
			l.Close("read: " + err.Error())
			return
		}
		l.silence.received(jayclock.Elapsed())
		f, err := jayframe.Decode(b)
		var unknown *jayframe.UnknownKindError
		if err == nil {
			// A message on which its handler fails costs the link, not the process.
			err = jayassert.Try(func() { l.dispatch(f) })
		}
		if err != nil && !errors.As(err, &unknown) {
			l.Close(err.Error())
			return
		}
		l.silence.handled(jayclock.Elapsed())
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
		l.receivedSequence.Store(b.Sequence)
		l.ackedSequence.Store(b.Ack)
		// Only the ack of a heartbeat sent within SilenceTimeout proves that messages
		// still arrive.
		if b.Ack+uint64(l.timing.SilenceTimeout/l.timing.HeartbeatInterval) >= l.sentSequence.Load() {
			l.silence.acknowledged(jayclock.Elapsed())
		}
	}
	l.handler(l, f.Call(), f.Message())
}
