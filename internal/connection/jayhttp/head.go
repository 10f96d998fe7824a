package jayhttp

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

// baseFields are the header fields that a server always gets.
var baseFields = []string{"Host", "Connection"}

// Header fields that frame a request. They are evaluated here; the server gets the length only.
const (
	lengthField   = "Content-Length"
	encodingField = "Transfer-Encoding"
	expectField   = "Expect"
	upgradeField  = "Upgrade"
	// lengthDigits is the number of digits of the length that the server gets. It is fixed, because the
	// length of chunked bodies is known only at their end.
	lengthDigits = 10
)

// head reads the header of a request line by line. It keeps the request line and the header fields that
// the server uses; the others cost nothing once they are read.
type head struct {
	fields []string
	// kept is what the server gets.
	kept []byte
	// lines counts what has been read, fieldBytes the bytes of header fields.
	lines      int
	fieldBytes int

	// seen has a bit for each field that has come.
	seen uint64
	// strict is set if the line before must not be continued.
	strict  bool
	length  int
	chunked bool
	expect  bool
	upgrade bool
	oldHTTP bool
	// noBody is set for methods whose requests have no body that means anything.
	noBody bool
}

func newHead(fields []string) head { return head{fields: fields} }

// The bits of seen beyond those of the fields.
const (
	seenLength uint64 = 1 << (63 - iota)
	seenEncoding
)

// add reads a line without its end. It returns a status if the request is refused.
func (h *head) add(line []byte) int {
	h.lines++
	if h.lines == 1 {
		return h.addRequestLine(line)
	}
	if line[0] == ' ' || line[0] == '\t' {
		// A continued line, which only fields that nobody uses may have.
		if h.strict {
			return fasthttp.StatusBadRequest
		}
		return 0
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 {
		return fasthttp.StatusBadRequest
	}
	h.strict = true
	trimmed := bytes.TrimRight(name, " \t")
	value = bytes.TrimSpace(value)
	switch {
	case equalField(trimmed, lengthField):
		return h.addLength(name, value)
	case equalField(trimmed, encodingField):
		if h.seen&seenEncoding != 0 || h.oldHTTP || len(trimmed) != len(name) || !equalField(value, "chunked") {
			return fasthttp.StatusBadRequest
		}
		h.seen |= seenEncoding
		h.chunked = true
		return 0
	case equalField(trimmed, expectField):
		h.expect = equalField(value, "100-continue")
		return 0
	}
	for i, field := range h.fields {
		if !equalField(trimmed, field) {
			continue
		}
		if len(trimmed) != len(name) || field == "Host" && h.seen&(1<<i) != 0 {
			return fasthttp.StatusBadRequest
		}
		if field == upgradeField {
			h.upgrade = true
		}
		if h.seen&(1<<i) == 0 {
			h.kept = append(append(h.kept, line...), "\r\n"...)
		}
		h.seen |= 1 << i
		return 0
	}
	h.strict = false
	return 0
}

func (h *head) addRequestLine(line []byte) int {
	method, rest, ok := bytes.Cut(line, []byte(" "))
	space := bytes.LastIndexByte(rest, ' ')
	if !ok || len(method) == 0 || space < 0 {
		return fasthttp.StatusBadRequest
	}
	h.oldHTTP = !bytes.Equal(rest[space+1:], []byte("HTTP/1.1"))
	h.noBody = string(method) == fasthttp.MethodGet || string(method) == fasthttp.MethodHead
	h.strict = true
	h.kept = append(append(h.kept, line...), "\r\n"...)
	return 0
}

func (h *head) addLength(name, value []byte) int {
	if h.seen&seenLength != 0 || len(name) != len(lengthField) || len(value) == 0 {
		return fasthttp.StatusBadRequest
	}
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return fasthttp.StatusBadRequest
		}
	}
	h.seen |= seenLength
	n, err := strconv.ParseInt(string(value), 10, 64)
	if err != nil {
		// The number is out of range.
		n = math.MaxInt64
	}
	h.length = int(n)
	return 0
}

// end is called with the empty line. It returns a status if the request is refused.
func (h *head) end() int {
	if h.lines == 0 || h.chunked && h.seen&seenLength != 0 {
		return fasthttp.StatusBadRequest
	}
	return 0
}

// finish completes what the server gets before the body. It returns the place of the length's digits, or
// -1 if there is none.
func (h *head) finish() int {
	if h.noBody {
		h.kept = append(h.kept, "\r\n"...)
		return -1
	}
	h.kept = append(append(h.kept, lengthField...), ": "...)
	at := len(h.kept)
	h.kept = append(append(h.kept, strings.Repeat("0", lengthDigits)...), "\r\n\r\n"...)
	return at
}

// setLength writes the length of the body.
func setLength(request []byte, at, length int) {
	for i := at + lengthDigits - 1; i >= at; i-- {
		request[i] = byte('0' + length%10)
		length /= 10
	}
}

func equalField(b []byte, name string) bool {
	return len(b) == len(name) && bytes.EqualFold(b, []byte(name))
}

// maxChunkLine bounds the line before a chunk: its size and extensions.
const maxChunkLine = 1 << 10

// chunks decodes a chunked body.
type chunks struct {
	// line is the number of bytes of the current line, in a chunk's first line or the trailer.
	line int
	// size is what the current chunk's first line says so far, digits how many digits that is.
	size   int
	digits int
	state  chunkState
	// trailer counts the bytes of the trailer.
	trailer int
}

type chunkState uint8

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkData
	chunkDataEnd
	chunkTrailer
	chunkDone
)

// decode appends the data of b to body, which may have maxBody bytes, and returns how much of b belongs to
// the body. It returns a status if the request is refused.
func (d *chunks) decode(b, body []byte, maxBody, maxTrailer int) (used int, grown []byte, status int) {
	for i := 0; i < len(b) && d.state != chunkDone; i++ {
		used = i + 1
		switch d.state {
		case chunkSize, chunkExtension:
			if status := d.addToLine(b[i]); status != 0 {
				return used, body, status
			}
			if d.size > maxBody-len(body) {
				return used, body, fasthttp.StatusRequestEntityTooLarge
			}
		case chunkData:
			n := min(d.size, len(b)-i)
			body = append(body, b[i:i+n]...)
			d.size -= n
			i += n - 1
			used = i + 1
			if d.size == 0 {
				d.state = chunkDataEnd
			}
		case chunkDataEnd:
			switch {
			case b[i] == '\n':
				d.line, d.digits, d.state = 0, 0, chunkSize
			case b[i] == '\r' && d.line == 0:
				d.line++
			default:
				return used, body, fasthttp.StatusBadRequest
			}
		case chunkTrailer:
			if d.trailer++; d.trailer > maxTrailer {
				return used, body, fasthttp.StatusRequestHeaderFieldsTooLarge
			}
			switch b[i] {
			case '\r':
			case '\n':
				if d.line == 0 {
					d.state = chunkDone
				}
				d.line = 0
			default:
				d.line++
			}
		}
	}
	return used, body, 0
}

// addToLine reads a byte of a chunk's first line.
func (d *chunks) addToLine(c byte) int {
	if d.line++; d.line > maxChunkLine {
		return fasthttp.StatusBadRequest
	}
	digit := -1
	switch {
	case c >= '0' && c <= '9':
		digit = int(c - '0')
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		digit = int(c|0x20-'a') + 10
	}
	const maxDigits = 8
	switch {
	case c == '\n' && d.digits > 0:
		d.line = 0
		d.state = chunkData
		if d.size == 0 {
			d.state = chunkTrailer
		}
	case d.state == chunkExtension:
	case digit >= 0 && d.digits < maxDigits:
		d.size = d.size<<4 | digit
		d.digits++
	case d.digits > 0 && (c == ';' || c == '\r' || c == ' ' || c == '\t'):
		d.state = chunkExtension
	default:
		return fasthttp.StatusBadRequest
	}
	return 0
}
