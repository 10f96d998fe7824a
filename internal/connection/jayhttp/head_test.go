package jayhttp

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scriptedConn lets at most step bytes of its input be read at a time.
type scriptedConn struct {
	net.Conn
	input  []byte
	step   int
	output bytes.Buffer
}

// Read implements net.Conn.
func (c *scriptedConn) Read(b []byte) (int, error) {
	if len(c.input) == 0 {
		return 0, io.EOF
	}
	n := copy(b[:min(len(b), c.step)], c.input)
	c.input = c.input[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *scriptedConn) Write(b []byte) (int, error) { return c.output.Write(b) }

// SetDeadline implements net.Conn.
func (*scriptedConn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (*scriptedConn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (*scriptedConn) SetWriteDeadline(time.Time) error { return nil }

// Close implements net.Conn.
func (*scriptedConn) Close() error { return nil }

// oneConn is a listener with one connection.
type oneConn struct{ net.Conn }

// Accept implements net.Listener.
func (l oneConn) Accept() (net.Conn, error) { return l.Conn, nil }

// Addr implements net.Listener.
func (oneConn) Addr() net.Addr { return nil }

// readAll returns what a server reads of an input and what the client is told.
func readAll(t *testing.T, input []byte, step int) (read, told string, most int) {
	t.Helper()
	scripted := &scriptedConn{input: input, step: step}
	budget := smallBudget(1<<24, 10)
	l := &LimitedListener{Listener: oneConn{scripted}, Budget: budget, Default: Limits{HeaderBytes: 200, BodyBytes: 100}, Fields: []string{"Keep"}}
	conn, err := l.Accept()
	assert.NilError(t, err)
	var all bytes.Buffer
	for b := make([]byte, 50); ; {
		n, err := conn.Read(b)
		all.Write(b[:n])
		_, used := budget.inUse()
		most = max(most, used)
		if err != nil {
			break
		}
	}
	assert.NilError(t, conn.Close())
	_, used := budget.inUse()
	assert.Equal(t, used, 0)
	return all.String(), scripted.output.String(), most
}

// Guards against requests whose meaning depends on how they arrive, as seen by server or client.
func FuzzRequestsReadInPieces(f *testing.F) {
	for _, s := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\nKeep: a\r\nDrop: b\r\n\r\nGET /2 HTTP/1.0\r\n\r\n",
		"\r\n\nPOST / HTTP/1.1\nHost: h\ncontent-length: 3\n\nabcPUT / HTTP/1.1\r\nKeep: 1\r\nkeep: 2\r\n\r\n",
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n1\r\nd\r\n0\r\nA: b\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 101\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: 2\r\n\r\nab",
		"GET / HTTP/1.1\r\nKeep: a\r\n folded\r\n\r\n", "GET / HTTP/1.1\r\nDrop: a\r\n folded\r\n\r\n", "GET / HTTP/1.1\r\nDrop: " + strings.Repeat("a", 300),
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		read, told, most := readAll(t, input, len(input)+1)
		slowly, toldSlowly, mostSlowly := readAll(t, input, 1)
		// Whether the client is told to continue depends on whether its body has come.
		const goOn = "HTTP/1.1 100 Continue\r\n\r\n"
		assert.Equal(t, read, slowly)
		assert.Equal(t, strings.ReplaceAll(told, goOn, ""), strings.ReplaceAll(toldSlowly, goOn, ""))
		const bound = connectionBytes + requestBytes + 2*windowBytes + (handledFactor+2)*(MaxHeadBytes+windowBytes)
		assert.Assert(t, max(most, mostSlowly) <= bound, "%d and %d bytes", most, mostSlowly)
	})
}

// Guards against header fields that cost memory in the server, and against framing that it reads otherwise.
func TestServerGetsTheFieldsItUses(t *testing.T) {
	read, told, _ := readAll(t, []byte("POST /x HTTP/1.1\r\nHost: h\r\nUser-Agent: u\r\nKEEP: 1\r\nkeep: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), 7)
	assert.Equal(t, told, "")
	assert.Equal(t, read, "POST /x HTTP/1.1\r\nHost: h\r\nKEEP: 1\r\nContent-Length: 0000000002\r\n\r\nab")
}
