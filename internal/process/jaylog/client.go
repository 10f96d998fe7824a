// Package jaylog is the client of the platform's append-only log service, with
// batched appends and followers of streams. docs/PLATFORM.md describes the
// service.
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
	// readWait is the longest time that the service holds a read open for new
	// records.
	readWait       = 2 * time.Second
	requestTimeout = 5 * time.Second
	maxBodyBytes   = 64 << 20
)

// UnavailableError reports that the service failed or did not answer. An append
// may have been applied all the same.
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

// NewRecord returns a record with the offset.
func NewRecord(offset uint64, data []byte) Record { return Record{offset: offset, data: data} }

// Offset returns the record's position in its stream.
func (r Record) Offset() uint64 { return r.offset }

// Data returns the record's content.
func (r Record) Data() []byte { return r.data }

// Batch is the answer to one read.
type Batch struct {
	records []Record
	first   uint64
	next    uint64
}

// Records returns the records in order.
func (b Batch) Records() []Record { return b.records }

// First returns the oldest offset that is retained.
func (b Batch) First() uint64 { return b.first }

// Next returns the offset after the end of the stream.
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

// Append appends the records in order and returns the offset of the first. After
// an UnavailableError they may have been appended all the same.
func (c *Client) Append(ctx context.Context, stream string, records [][]byte) (uint64, error) {
	var answer wireAppended
	err := c.do(ctx, "append", fasthttp.MethodPost, c.url(stream), wireAppend{Records: records}, &answer)
	return answer.FirstOffset, err
}

// Read returns records from the offset on. With wait it blocks until there is at
// least one or the service's long-poll timeout has passed.
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
