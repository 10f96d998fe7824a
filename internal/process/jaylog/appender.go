package jaylog

import (
	"context"
	"fmt"
	"time"
)

const (
	// appendEvery is the least time between two appends of one process: a lone
	// record is appended at once, those of a burst share appends.
	appendEvery = 5 * time.Millisecond
	// postDelay is how long a record that nobody waits for waits for others.
	postDelay     = 50 * time.Millisecond
	appenderQueue = 8192
)

// QueueFullError reports that more records wait than the log takes.
type QueueFullError struct{}

// Error implements error.
func (*QueueFullError) Error() string { return "log append queue is full" }

// pending is a queued record; done is nil when nobody waits for it.
type pending struct {
	data []byte
	done chan error
}

// Appender puts the records of many callers into few appends, in the order in
// which they came. All fields are set before Run.
type Appender struct {
	Stream string
	// Append appends a batch, such as Client.Append.
	Append func(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// OnAppend is told of each append, its number of records and its result.
	OnAppend func(records int, took time.Duration, err error)

	queue chan pending
	last  time.Time
}

// NewAppender returns an appender for the stream.
func NewAppender(stream string) *Appender {
	return &Appender{Stream: stream, queue: make(chan pending, appenderQueue)}
}

// Add queues one record and waits until it is appended. After an
// UnavailableError the record may have been appended all the same.
func (a *Appender) Add(ctx context.Context, data []byte) error {
	p := pending{data: data, done: make(chan error, 1)}
	select {
	case a.queue <- p:
	default:
		return &QueueFullError{}
	}
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return &UnavailableError{Operation: "append", Cause: ctx.Err().Error()}
	}
}

// Post queues one record without waiting.
func (a *Appender) Post(data []byte) error {
	select {
	case a.queue <- pending{data: data}:
		return nil
	default:
		return &QueueFullError{}
	}
}

// Run appends until ctx ends, then once more what is queued.
func (a *Appender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			a.flush()
			return
		case p := <-a.queue:
			a.write(ctx, a.collect(p))
		}
	}
}

func (a *Appender) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for {
		select {
		case p := <-a.queue:
			a.write(ctx, a.collect(p))
		default:
			return
		}
	}
}

func (a *Appender) collect(first pending) []pending {
	batch := []pending{first}
	delay := time.Until(a.last.Add(appendEvery))
	if first.done == nil {
		delay = postDelay
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	size := len(first.data)
	for len(batch) < MaxBatchRecords && size < MaxRecordBytes {
		select {
		case p := <-a.queue:
			batch = append(batch, p)
			size += len(p.data)
			if p.done != nil {
				timer.Reset(time.Until(a.last.Add(appendEvery)))
			}
		case <-timer.C:
			return batch
		}
	}
	return batch
}

func (a *Appender) write(ctx context.Context, batch []pending) {
	records := make([][]byte, len(batch))
	for i, p := range batch {
		records[i] = p.data
	}
	begin := time.Now()
	a.last = begin
	_, err := a.Append(ctx, a.Stream, records)
	a.OnAppend(len(batch), time.Since(begin), err)
	if err != nil {
		err = fmt.Errorf("append to %s: %w", a.Stream, err)
	}
	for _, p := range batch {
		if p.done != nil {
			p.done <- err
		}
	}
}
