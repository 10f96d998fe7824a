package jaylink

import (
	"bytes"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/valyala/fasthttp"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jayhttp"
)

const (
	linkPath           = "/link"
	metricsPath        = "/metrics"
	metricsContentType = "text/plain; version=0.0.4"
	nonceHeader        = "Jaystile-Nonce"
	nonceBytes         = 16
	// bufferBytes is the size of a connection's buffers and the greatest body of an
	// HTTP request.
	bufferBytes = 16 << 10
	// helloBytes bounds the first message of a peer, which is not authenticated yet.
	helloBytes = 16 << 10
	// requestTimeout bounds reading an HTTP request and each step of a handshake.
	requestTimeout = 5 * time.Second
)

// HandshakeError reports a peer that failed authentication or violated the handshake
// protocol.
type HandshakeError struct {
	Peer  string
	Cause string
}

// Error implements error.
func (e *HandshakeError) Error() string { return "handshake with " + e.Peer + ": " + e.Cause }

// Endpoint opens and accepts the links of one process. All fields are set
// before the first call.
type Endpoint struct {
	// Name and Incarnation identify this process.
	Name        string
	Incarnation uint64
	// SharedKey is the secret of all processes of one deployment. When it is
	// empty, links are not authenticated.
	SharedKey []byte
	Timing    Timing
	// Handler handles the messages of all links.
	Handler Handler
	// MakeHeartbeat returns a heartbeat, whose Sequence and Ack the link sets.
	MakeHeartbeat func() jayframe.Heartbeat
	// Admit accepts or rejects an authenticated peer and returns the reply to its hello.
	Admit func(h *jayframe.Hello) (*jayframe.HelloReply, error)
	// Opened is called once for each accepted link, before its first message is
	// handled.
	Opened func(l *Link, h *jayframe.Hello)
	// Closed is called once for each accepted link after it has closed.
	Closed func(l *Link)
	// TLS is used for listening and dialing when it is not nil.
	TLS *tls.Config
	// MaxLinks bounds the number of concurrent accepted links.
	MaxLinks int
	// Budget bounds the accepted connections until their peers are admitted, and those for metrics; nil
	// means a default.
	Budget *jayhttp.Budget
	// Metrics writes the process's metrics for GET /metrics; it may be nil.
	Metrics func(w io.Writer)
}

// Serve accepts links on the listener until ctx ends.
func (e *Endpoint) Serve(ctx context.Context, listener net.Listener) error {
	if e.TLS != nil {
		listener = tls.NewListener(listener, e.TLS)
	}
	listener = &jayhttp.LimitedListener{Listener: listener, Budget: e.Budget, Default: jayhttp.Limits{HeaderBytes: bufferBytes, BodyBytes: bufferBytes, Request: requestTimeout}, Fields: upgradeFields}
	upgrader := websocket.FastHTTPUpgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, CheckOrigin: isNotBrowser}
	server := &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			if string(c.Path()) != linkPath {
				e.serveMetrics(c)
				return
			}
			nonce := newNonce()
			c.Response.Header.Set(nonceHeader, hex.EncodeToString(nonce))
			accepted := c.Conn()
			if upgrader.Upgrade(c, func(conn *websocket.Conn) { e.accept(ctx, conn, accepted, nonce) }) != nil {
				c.SetConnectionClose()
			}
		},
		ReadBufferSize:               jayhttp.MaxHeadBytes,
		MaxRequestBodySize:           bufferBytes,
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
		Concurrency:                  e.MaxLinks,
		NoDefaultServerHeader:        true,
		Logger:                       jayhttp.DiscardLogger{},
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("serve links: %w", err)
}

// serveMetrics answers requests outside the link path: the metrics, or status 404.
func (e *Endpoint) serveMetrics(c *fasthttp.RequestCtx) {
	if e.Metrics == nil || string(c.Path()) != metricsPath {
		c.Error("not found", fasthttp.StatusNotFound)
		return
	}
	c.SetContentType(metricsContentType)
	e.Metrics(c.Response.BodyWriter())
}

// upgradeFields are the header fields of a request for a link, beside those of every request.
var upgradeFields = []string{"Upgrade", "Origin", "Sec-WebSocket-Key", "Sec-WebSocket-Version", "Sec-WebSocket-Protocol", "Sec-WebSocket-Extensions"}

// isNotBrowser rejects upgrades requested by web pages.
func isNotBrowser(c *fasthttp.RequestCtx) bool { return len(c.Request.Header.Peek("Origin")) == 0 }

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n)
	return n
}

// proof returns the HMAC that proves knowledge of the shared key; it covers the nonce
// and the sender's role on the link (dialer or listener), name and incarnation.
func (e *Endpoint) proof(nonce []byte, role, name string, incarnation uint64) []byte {
	h := hmac.New(sha256.New, e.SharedKey)
	h.Write(nonce)
	h.Write([]byte(role + "\x00" + name + "\x00" + strconv.FormatUint(incarnation, 16)))
	return h.Sum(nil)
}

// accept runs the link of a connection whose peer is admitted. Until then the connection counts for the
// budget.
func (e *Endpoint) accept(ctx context.Context, conn *websocket.Conn, accepted net.Conn, nonce []byte) {
	defer func() { _ = conn.Close() }()
	conn.SetReadLimit(helloBytes)
	hello, err := e.readHello(conn, nonce)
	if err != nil {
		return
	}
	reply, err := e.Admit(hello)
	if err != nil {
		return
	}
	jayhttp.Release(accepted)
	l := newLink(hello.Name, conn, e)
	defer l.Close("handshake failed")
	reply.Name = e.Name
	reply.Incarnation = e.Incarnation
	reply.Proof = e.proof(hello.Nonce, "listener", e.Name, e.Incarnation)
	if l.Send(reply) != nil {
		return
	}
	e.Opened(l, hello)
	defer e.Closed(l)
	l.run(ctx)
}

func (e *Endpoint) readHello(conn *websocket.Conn, nonce []byte) (*jayframe.Hello, error) {
	_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	_, b, err := conn.ReadMessage()
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	f, err := jayframe.Decode(b)
	if err != nil {
		return nil, fmt.Errorf("read hello: %w", err)
	}
	hello, ok := f.Message().(*jayframe.Hello)
	if !ok {
		return nil, &HandshakeError{Peer: "unknown peer", Cause: "first message is not a hello"}
	}
	if !hmac.Equal(hello.Proof, e.proof(nonce, "dialer", hello.Name, hello.Incarnation)) {
		return nil, &HandshakeError{Peer: hello.Name, Cause: "wrong shared key"}
	}
	return hello, nil
}

// Dial opens a link to the address and performs the handshake. The caller must call
// Run on the link.
func (e *Endpoint) Dial(ctx context.Context, address string, hello *jayframe.Hello) (*Link, *jayframe.HelloReply, error) {
	dialer := websocket.Dialer{HandshakeTimeout: requestTimeout, ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes}
	url := "ws://" + address + linkPath
	if e.TLS != nil {
		dialer.TLSClientConfig = e.TLS
		url = "wss://" + address + linkPath
	}
	conn, response, err := dialer.DialContext(ctx, url, nil)
	if err != nil {
		return nil, nil, fmt.Errorf("dial %s: %w", address, err)
	}
	nonce, err := hex.DecodeString(response.Header.Get(nonceHeader))
	if err != nil || len(nonce) != nonceBytes {
		_ = conn.Close()
		return nil, nil, &HandshakeError{Peer: address, Cause: "no nonce"}
	}
	h := *hello
	h.Name = e.Name
	h.Incarnation = e.Incarnation
	h.Nonce = newNonce()
	h.Proof = e.proof(nonce, "dialer", e.Name, e.Incarnation)
	reply, err := e.handshake(conn, address, &h)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return newLink(reply.Name, conn, e), reply, nil
}

func (e *Endpoint) handshake(conn *websocket.Conn, address string, hello *jayframe.Hello) (*jayframe.HelloReply, error) {
	b, err := jayframe.Encode(jayframe.NewFrame(hello))
	if err != nil {
		return nil, fmt.Errorf("hello to %s: %w", address, err)
	}
	deadline := time.Now().Add(requestTimeout)
	_ = conn.SetWriteDeadline(deadline)
	_ = conn.SetReadDeadline(deadline)
	defer func() { _ = conn.SetReadDeadline(time.Time{}) }()
	if err := conn.WriteMessage(websocket.BinaryMessage, b); err != nil {
		return nil, fmt.Errorf("hello to %s: %w", address, err)
	}
	_, b, err = conn.ReadMessage()
	if err != nil {
		return nil, fmt.Errorf("hello reply from %s: %w", address, err)
	}
	f, err := jayframe.Decode(b)
	if err != nil {
		return nil, fmt.Errorf("hello reply from %s: %w", address, err)
	}
	reply, ok := f.Message().(*jayframe.HelloReply)
	if !ok {
		return nil, &HandshakeError{Peer: address, Cause: "first message is not a hello reply"}
	}
	if !bytes.Equal(reply.Proof, e.proof(hello.Nonce, "listener", reply.Name, reply.Incarnation)) {
		return nil, &HandshakeError{Peer: address, Cause: "wrong shared key"}
	}
	return reply, nil
}

// Run exchanges the frames of a dialed link until it closes or ctx ends.
func (l *Link) Run(ctx context.Context) { l.run(ctx) }
