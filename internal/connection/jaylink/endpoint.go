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
)

const (
	linkPath       = "/link"
	metricsPath    = "/metrics"
	metricsType    = "text/plain; version=0.0.4"
	nonceHeader    = "Jaystile-Nonce"
	nonceBytes     = 16
	bufferBytes    = 16 << 10
	requestTimeout = 5 * time.Second
)

// HandshakeError reports a peer that did not prove who it is or that broke the
// opening protocol.
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
	// Handler takes the messages of all links.
	Handler Handler
	// MakeBeat fills the fields of a heartbeat that are not the link's own.
	MakeHeartbeat func() jayframe.Heartbeat
	// Admit judges a peer that dialed and returns the answer to its hello.
	Admit func(h *jayframe.Hello) (*jayframe.HelloReply, error)
	// Opened is called once for each accepted link, before any of its messages
	// is handled.
	Opened func(l *Link, h *jayframe.Hello)
	// Ended is called once for each accepted link that has ended.
	Closed func(l *Link)
	// TLS is used for listening and dialing when it is not nil.
	TLS *tls.Config
	// MaxLinks bounds the links accepted at once.
	MaxLinks int
	// Metrics writes the process's metrics for GET /metrics; it may be nil.
	Metrics func(w io.Writer)
}

// Serve accepts links on the listener until ctx ends.
func (e *Endpoint) Serve(ctx context.Context, listener net.Listener) error {
	if e.TLS != nil {
		listener = tls.NewListener(listener, e.TLS)
	}
	upgrader := websocket.FastHTTPUpgrader{ReadBufferSize: bufferBytes, WriteBufferSize: bufferBytes, CheckOrigin: noBrowser}
	server := &fasthttp.Server{
		Handler: func(c *fasthttp.RequestCtx) {
			if string(c.Path()) != linkPath {
				e.serveOther(c)
				return
			}
			nonce := newNonce()
			c.Response.Header.Set(nonceHeader, hex.EncodeToString(nonce))
			_ = upgrader.Upgrade(c, func(conn *websocket.Conn) { e.accept(ctx, conn, nonce) })
		},
		ReadTimeout:           requestTimeout,
		MaxRequestBodySize:    bufferBytes,
		Concurrency:           e.MaxLinks,
		NoDefaultServerHeader: true,
		Logger:                discard{},
	}
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	err := server.Serve(listener)
	if ctx.Err() != nil {
		return nil
	}
	return fmt.Errorf("serve links: %w", err)
}

// serveOther answers requests that open no link.
func (e *Endpoint) serveOther(c *fasthttp.RequestCtx) {
	if e.Metrics == nil || string(c.Path()) != metricsPath {
		c.Error("not found", fasthttp.StatusNotFound)
		return
	}
	c.SetContentType(metricsType)
	e.Metrics(c.Response.BodyWriter())
}

// discard drops the server's lines: failures are counted and links log their
// own ends.
type discard struct{}

// Printf implements fasthttp.Logger.
func (discard) Printf(string, ...any) {}

// noBrowser refuses upgrades that a web page asked for.
func noBrowser(c *fasthttp.RequestCtx) bool { return len(c.Request.Header.Peek("Origin")) == 0 }

func newNonce() []byte {
	n := make([]byte, nonceBytes)
	_, _ = rand.Read(n)
	return n
}

// proof binds a nonce to the name and incarnation of the process that proves.
func (e *Endpoint) proof(nonce []byte, role, name string, incarnation uint64) []byte {
	h := hmac.New(sha256.New, e.SharedKey)
	h.Write(nonce)
	h.Write([]byte(role + "\x00" + name + "\x00" + strconv.FormatUint(incarnation, 16)))
	return h.Sum(nil)
}

func (e *Endpoint) accept(ctx context.Context, conn *websocket.Conn, nonce []byte) {
	l := newLink("unknown peer", conn, e)
	defer l.Close("handshake failed")
	hello, err := e.readHello(conn, nonce)
	if err != nil {
		return
	}
	l.peer = hello.Name
	welcome, err := e.Admit(hello)
	if err != nil {
		return
	}
	welcome.Name = e.Name
	welcome.Incarnation = e.Incarnation
	welcome.Proof = e.proof(hello.Nonce, "listener", e.Name, e.Incarnation)
	if l.Send(welcome) != nil {
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
		return nil, &HandshakeError{Peer: "unknown peer", Cause: "first frame is no hello"}
	}
	if !hmac.Equal(hello.Proof, e.proof(nonce, "dialer", hello.Name, hello.Incarnation)) {
		return nil, &HandshakeError{Peer: hello.Name, Cause: "wrong shared key"}
	}
	return hello, nil
}

// Dial opens a link to the address and introduces this process. The caller then
// calls Carry.
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
	welcome, err := e.introduce(conn, address, &h)
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return newLink(welcome.Name, conn, e), welcome, nil
}

func (e *Endpoint) introduce(conn *websocket.Conn, address string, hello *jayframe.Hello) (*jayframe.HelloReply, error) {
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
		return nil, fmt.Errorf("welcome from %s: %w", address, err)
	}
	f, err := jayframe.Decode(b)
	if err != nil {
		return nil, fmt.Errorf("welcome from %s: %w", address, err)
	}
	welcome, ok := f.Message().(*jayframe.HelloReply)
	if !ok {
		return nil, &HandshakeError{Peer: address, Cause: "first frame is no welcome"}
	}
	if !bytes.Equal(welcome.Proof, e.proof(hello.Nonce, "listener", welcome.Name, welcome.Incarnation)) {
		return nil, &HandshakeError{Peer: address, Cause: "wrong shared key"}
	}
	return welcome, nil
}

// Carry moves the frames of a dialed link until it ends.
func (l *Link) Run(ctx context.Context) { l.run(ctx) }
