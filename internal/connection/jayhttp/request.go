package jayhttp

import (
	"bytes"
	"errors"
	"io"
	"os"
	"time"

	"github.com/valyala/fasthttp"
)

// requestReader reads one request of a connection.
type requestReader struct {
	conn   *limitedConn
	head   head
	chunks chunks
	limits Limits

	// begun is when the first byte came.
	begun time.Time
	idle  time.Time
	// before counts the empty bytes before the request, headBytes those of its header.
	before    int
	headBytes int
	// searched is the part of the window without the end of a line.
	searched int
	inBody   bool
	// bodyAt is where the body begins in the request.
	bodyAt int
}

// read reads a request, so that the server can read it.
func (r *requestReader) read() error {
	c := r.conn
	r.limits = c.listener.limits()
	r.idle = time.Now().Add(r.limits.Idle)
	if len(c.window) > 0 {
		r.begin()
	}
	for {
		if done, err := r.readLines(); err != nil {
			return err
		} else if done {
			break
		}
		if err := r.fill(); err != nil {
			return err
		}
	}
	if err := r.readBody(); err != nil {
		return err
	}
	// The request is charged for what the server makes of it before the server gets it.
	request := r.head.kept
	r.head.kept = nil
	if !c.budget.handle(c, cap(c.window)+cap(request)+requestBytes+handledFactor*len(request)) {
		return refusal(fasthttp.StatusServiceUnavailable)
	}
	c.request, c.handed, c.upgrades = request, 0, r.head.upgrade
	return nil
}

func (r *requestReader) begin() {
	r.begun = time.Now()
	r.conn.budget.enter(r.conn, phaseReading)
}

// readLines reads the lines of the header that are in the window. It reports true after the last one.
func (r *requestReader) readLines() (bool, error) {
	c := r.conn
	used := 0
	defer func() { c.window = c.window[:copy(c.window, c.window[used:])] }()
	for {
		end := bytes.IndexByte(c.window[used+r.searched:], '\n')
		if end < 0 {
			r.searched = len(c.window) - used
			if r.overLimit(r.searched) {
				return false, refusal(fasthttp.StatusRequestHeaderFieldsTooLarge)
			}
			return false, nil
		}
		size := r.searched + end + 1
		line := bytes.TrimSuffix(c.window[used:used+size-1], []byte("\r"))
		used, r.searched = used+size, 0
		if len(line) == 0 && r.head.lines == 0 {
			if r.before += size; r.before > r.limits.HeaderBytes {
				return false, refusal(fasthttp.StatusRequestHeaderFieldsTooLarge)
			}
			continue
		}
		if r.overLimit(size) {
			return false, refusal(fasthttp.StatusRequestHeaderFieldsTooLarge)
		}
		r.headBytes += size
		if r.head.lines > 0 {
			r.head.fieldBytes += size
		}
		if len(line) == 0 {
			if status := r.head.end(); status != 0 {
				return false, refusal(status)
			}
			return true, nil
		}
		kept := cap(r.head.kept)
		if status := r.head.add(line); status != 0 {
			return false, refusal(status)
		}
		if cap(r.head.kept) == kept {
			continue
		}
		if err := r.chargeKept(); err != nil {
			return false, err
		}
	}
}

// overLimit reports whether the header is too large with so many more bytes.
func (r *requestReader) overLimit(more int) bool {
	if r.headBytes+more > MaxHeadBytes {
		return true
	}
	return r.head.lines > 0 && r.head.fieldBytes+more > r.limits.HeaderBytes
}

// chargeKept charges the connection for the window and the request.
func (r *requestReader) chargeKept() error {
	if !r.conn.budget.charge(r.conn, cap(r.conn.window)+cap(r.head.kept)) {
		return refusal(fasthttp.StatusServiceUnavailable)
	}
	return nil
}

// fill reads more into the window.
func (r *requestReader) fill() error {
	c := r.conn
	if len(c.window) == cap(c.window) {
		size := min(max(2*cap(c.window), windowBytes), MaxHeadBytes+windowBytes)
		if !c.budget.charge(c, size+cap(r.head.kept)) {
			return refusal(fasthttp.StatusServiceUnavailable)
		}
		c.window = append(make([]byte, 0, size), c.window...)
	}
	n, err := r.readConn(c.window[len(c.window):cap(c.window)])
	c.window = c.window[:len(c.window)+n]
	return err
}

// readConn reads from the connection until the deadline of what is being read.
func (r *requestReader) readConn(b []byte) (int, error) {
	c := r.conn
	r.limits = c.listener.limits()
	deadline := r.idle
	if !r.begun.IsZero() {
		limit := r.limits.Header
		if r.inBody {
			limit = r.limits.Request
		}
		deadline = r.begun.Add(limit)
	}
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return 0, errEnded
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		if r.begun.IsZero() {
			r.begin()
		}
		return n, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if !r.begun.IsZero() {
			return 0, refusal(fasthttp.StatusRequestTimeout)
		}
		c.budget.count("idle")
	}
	return 0, errEnded
}

// readBody reads the body that follows the header.
func (r *requestReader) readBody() error {
	c, h := r.conn, &r.head
	if h.length > r.limits.BodyBytes {
		return refusal(fasthttp.StatusRequestEntityTooLarge)
	}
	if h.expect && !h.oldHTTP && len(c.window) == 0 && (h.chunked || h.length > 0) {
		if err := c.Conn.SetWriteDeadline(r.begun.Add(r.limits.Request)); err != nil {
			return errEnded
		}
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return errEnded
		}
	}
	r.inBody = true
	lengthAt := h.finish()
	r.bodyAt = len(h.kept)
	read := r.readLength
	if h.chunked {
		read = r.readChunks
	}
	if err := read(); err != nil {
		return err
	}
	if lengthAt < 0 {
		h.kept = h.kept[:r.bodyAt]
		return nil
	}
	setLength(h.kept, lengthAt, len(h.kept)-r.bodyAt)
	return nil
}

// readLength reads a body of known length.
func (r *requestReader) readLength() error {
	c, h := r.conn, &r.head
	end := r.bodyAt + h.length
	n := min(h.length, len(c.window))
	if err := r.grow(n, end); err != nil {
		return err
	}
	h.kept = append(h.kept, c.window[:n]...)
	c.window = c.window[:copy(c.window, c.window[n:])]
	for len(h.kept) < end {
		if err := r.grow(1, end); err != nil {
			return err
		}
		n, err := r.readConn(h.kept[len(h.kept):min(cap(h.kept), end)])
		if err != nil {
			return err
		}
		h.kept = h.kept[:len(h.kept)+n]
	}
	return nil
}

// readChunks reads a chunked body.
func (r *requestReader) readChunks() error {
	c, h := r.conn, &r.head
	for {
		limit := r.bodyAt + r.limits.BodyBytes
		if err := r.grow(len(c.window), limit); err != nil {
			return err
		}
		used, kept, status := r.chunks.decode(c.window, h.kept, limit, r.limits.HeaderBytes)
		h.kept = kept
		c.window = c.window[:copy(c.window, c.window[used:])]
		if status != 0 {
			return refusal(status)
		}
		if r.chunks.state == chunkDone {
			return nil
		}
		if err := r.fill(); err != nil {
			return err
		}
	}
}

// grow makes room for so many more bytes of a request that has at most so many in all.
func (r *requestReader) grow(more, most int) error {
	c, h := r.conn, &r.head
	need := min(len(h.kept)+more, most)
	if need <= cap(h.kept) {
		return nil
	}
	size := max(min(need+need/2+windowBytes, most), need)
	// The old bytes stay until they are copied.
	if !c.budget.charge(c, cap(c.window)+cap(h.kept)+size) {
		return refusal(fasthttp.StatusServiceUnavailable)
	}
	h.kept = append(make([]byte, 0, size), h.kept...)
	return r.chargeKept()
}
