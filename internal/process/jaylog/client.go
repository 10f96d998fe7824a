// Package jaylog reaches the platform's append-only log service and folds its
// streams. docs/PLATFORM.md describes the service.
package jaylog

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/jaystile/jaystile/internal/connection/jayhttp"
)

// Limits of one request to the log service.
const (
	MaxRecordBytes  = 2 << 20
	MaxBatchRecords = 1024
	maxReadRecords  = 4096
	// readWait is how long the service may hold a read open for new records.
	readWait       = 2 * time.Second
	requestTimeout = 5 * time.Second
	maxBodyBytes   = 64 << 20
)

// UnavailableError reports that the service gave no answer or a failure. An
// append behind it may or may not have acted.
type UnavailableError struct {
	Operation string
	Cause     string
}

// Error implements error.
func (e *UnavailableError) Error() string { return "log " + e.Operation + ": " + e.Cause }

// Record is one record of a stream.
type Record struct {
	offset uint64
	data   []byte
}

// NewRecord returns a record that stands at the offset.
func NewRecord(offset uint64, data []byte) Record { return Record{offset: offset, data: data} }

// Offset returns the record's place in its stream.
func (r Record) Offset() uint64 { return r.offset }

// Data returns what was appended.
func (r Record) Data() []byte { return r.data }

// Batch is the answer to one read.
type Batch struct {
	records []Record
	first   uint64
	next    uint64
}

// Records returns the records in order.
func (b Batch) Records() []Record { return b.records }

// First returns the oldest offset that the service still keeps.
func (b Batch) First() uint64 { return b.first }

// Next returns the offset that the next appended record gets.
func (b Batch) Next() uint64 { return b.next }

type wireAppend struct {
	Records [][]byte `json:"records"`
}

type wireAppended struct {
	FirstOffset uint64 `json:"first_offset"`
}

type wireRecord struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

type wireBatch struct {
	Records []wireRecord `json:"records"`
	First   uint64       `json:"first"`
	Next    uint64       `json:"next"`
}

// Client speaks HTTP with the log service.
type Client struct {
	// Address is the service's host and port.
	Address string
	http    *jayhttp.Client
}

// NewClient returns a client of the service at the address and a function that
// closes its connections.
func NewClient(address string) (*Client, func()) {
	client, closeClient := jayhttp.NewClient(maxBodyBytes)
	return &Client{Address: address, http: client}, closeClient
}

func (c *Client) url(stream string) string {
	return "http://" + c.Address + "/v1/streams/" + url.PathEscape(stream) + "/records"
}

// Append adds the records in order and returns the offset of the first. After
// an UnavailableError the records may have been added all the same.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	var answer wireAppended
	err := c.do(ctx, "append", fasthttp.MethodPost, c.url(stream), wireAppend{Records: records}, &answer)
	return answer.FirstOffset, err
}

// Read returns records from the offset on. With wait it holds the read open
// until there is at least one or a time of the service's choice is over.
func (c *Client) Read(ctx context.Context, stream string, from uint64, wait bool) (Batch, error) {
	q := url.Values{"from": {strconv.FormatUint(from, 10)}, "most": {strconv.Itoa(maxReadRecords)}}
	if wait {
		q.Set("wait_ms", strconv.FormatInt(readWait.Milliseconds(), 10))
	}
	var answer wireBatch
	if err := c.do(ctx, "read", fasthttp.MethodGet, c.url(stream)+"?"+q.Encode(), nil, &answer); err != nil {
		return Batch{}, err
	}
	b := Batch{first: answer.First, next: answer.Next}
	for _, r := range answer.Records {
		b.records = append(b.records, NewRecord(r.Offset, r.Data))
	}
	return b, nil
}

func (c *Client) do(ctx context.Context, operation, method, target string, body, answer any) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("log %s: %w", operation, err)
	}
	deadline := time.Now().Add(requestTimeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := c.http.Do(operation, method, target, body, answer, time.Until(deadline)); err != nil {
		return &UnavailableError{Operation: operation, Cause: err.Error()}
	}
	return nil
}
