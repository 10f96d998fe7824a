package jaylog

import (
	"context"
	"fmt"
	"time"
)

const (
	// minAppendInterval is the minimum time between two appends. A single record is
	// appended at once; those of a burst are batched.
	minAppendInterval = 5 * time.Millisecond
	// maxPostDelay is how long a posted record may wait to be batched with others.
	maxPostDelay      = 50 * time.Millisecond
	appenderQueueSize = 8192
)

// QueueFullError reports that the append queue is full.
type QueueFullError struct{}

// Error implements error.
func (*QueueFullError) Error() string { return "log append queue is full" }

// queuedRecord is a record in the queue; done is nil for posted records.
type queuedRecord struct {
	data []byte
	done chan error
}

// Appender batches the records of many callers into few appends, in order of
// arrival. All exported fields are set before Run.
type Appender struct {
	Stream string
	// Append appends a batch, such as Client.Append.
	Append func(ctx context.Context, stream string, records [][]byte) (uint64, error)
	// OnAppend is called after each append, also a failed one.
	OnAppend func(records int, took time.Duration, err error)

	queue      chan queuedRecord
	lastAppend time.Time
}

// NewAppender returns an appender for the stream.
func NewAppender(stream string) *Appender {
	return &Appender{Stream: stream, queue: make(chan queuedRecord, appenderQueueSize)}
}

// Add queues a record and waits until it is appended. After an UnavailableError it
// may have been appended all the same.
func (a *Appender) Add(ctx context.Context, data []byte) error {
	r := queuedRecord{data: data, done: make(chan error, 1)}
	select {
	case a.queue <- r:
	default:
		return &QueueFullError{}
	}
	select {
	case err := <-r.done:
		return err
	case <-ctx.Done():
		return &UnavailableError{Operation: "append", Cause: ctx.Err().Error()}
	}
}

// Post queues a record without waiting for the append.
func (a *Appender) Post(data []byte) error {
	select {
	case a.queue <- queuedRecord{data: data}:
		return nil
	default:
		return &QueueFullError{}
	}
}

// Run appends queued records until ctx ends, then flushes the queue.
func (a *Appender) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			a.flush()
			return
		case r := <-a.queue:
			a.appendBatch(ctx, a.collectBatch(r))
		}
	}
}

func (a *Appender) flush() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for {
		select {
		case r := <-a.queue:
			a.appendBatch(ctx, a.collectBatch(r))
		default:
			return
		}
	}
}

// collectBatch waits for more records until the batch is full or it is time to
// append.
func (a *Appender) collectBatch(first queuedRecord) []queuedRecord {
	batch := []queuedRecord{first}
	delay := time.Until(a.lastAppend.Add(minAppendInterval))
	if first.done == nil {
		delay = maxPostDelay
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	size := len(first.data)
	for len(batch) < MaxBatchRecords && size < MaxRecordBytes {
		select {
		case r := <-a.queue:
			batch = append(batch, r)
			size += len(r.data)
			if r.done != nil {
				timer.Reset(time.Until(a.lastAppend.Add(minAppendInterval)))
			}
		case <-timer.C:
			return batch
		}
	}
	return batch
}

func (a *Appender) appendBatch(ctx context.Context, batch []queuedRecord) {
	records := make([][]byte, len(batch))
	for i, r := range batch {
		records[i] = r.data
	}
	begin := time.Now()
	a.lastAppend = begin
	_, err := a.Append(ctx, a.Stream, records)
	a.OnAppend(len(batch), time.Since(begin), err)
	if err != nil {
		err = fmt.Errorf("append to %s: %w", a.Stream, err)
	}
	for _, r := range batch {
		if r.done != nil {
			r.done <- err
		}
	}
}
