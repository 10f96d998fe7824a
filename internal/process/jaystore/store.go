// Package jaystore stores durable records in the platform's log, the store. An
// Appender stores records of any process in groups, a TermWriter those of a term's
// leader; both retry appends whose answer was lost. A Tail follows a compacted topic
// (the newest record of each key). A Transport sends requests through a peer when the
// store does not answer this process.
package jaystore

import (
	"context"
	"fmt"
	"time"
)

// Record is a keyed record. A nil value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// StoredRecord is a record with its offset in the topic.
type StoredRecord struct {
	Record
	Offset uint64
}

// Fence orders the appends of a producer: the store refuses a term that is lower
// than one it has seen, and a sequence number that does not follow the last.
type Fence struct {
	Producer string
	Term     uint64
	Sequence uint64
}

// Append is one all-or-nothing append to a topic.
type Append struct {
	Topic   string
	Records []Record
	// Fence is nil on appends that any process may make.
	Fence *Fence
	// ExpectedEnd, when set, is the end offset that the topic must have.
	ExpectedEnd *uint64
	// Try counts the tries of an append, from 1; odd and even ones use different
	// routes. With zero, the transport may use both routes.
	Try int
}

// ReadResult is the answer to a read.
type ReadResult struct {
	Records []StoredRecord
	// Next is the offset of the next read, End the topic's end offset.
	Next uint64
	End  uint64
	// Unreadable counts records that were left out since they cannot be read.
	Unreadable int
}

// Page is one page of the newest records.
type Page struct {
	Records []StoredRecord
	More    bool
	End     uint64
	// LastKey is the key after which the next page begins if it is not that of the last of
	// Records, since the records behind that cannot be read.
	LastKey string
	// Unreadable counts records that were left out since they cannot be read.
	Unreadable int
}

// UnreadableError reports records of a topic that were skipped because they cannot
// be decoded; the others are valid.
type UnreadableError struct {
	Topic string
	Count int
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("skipped %d unreadable records of topic %s", e.Count, e.Topic)
}

// IncompleteError reports that the newest records of a topic cannot be read beyond a key: the store
// has more, and names no further key.
type IncompleteError struct {
	Topic string
	After string
}

// Error implements error.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("cannot read the records of topic %s after key %q", e.Topic, e.After)
}

// Client calls the store without retries. Its functions are set before use and
// return the errors of this package.
type Client struct {
	// Append returns the topic's end offset after the append.
	Append func(ctx context.Context, a Append) (uint64, error)
	// Read waits up to the given time for records from an offset on.
	Read func(ctx context.Context, topic string, from uint64, wait time.Duration) (ReadResult, error)
	// Newest returns a page of the newest records by key, after the given key.
	Newest func(ctx context.Context, topic, after string) (Page, error)
	// Limits are the sizes that the store accepts.
	Limits Limits
}

// RefusedError reports a call that the store answered without acting.
type RefusedError struct {
	Operation string
	Status    int
	Reason    string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused %s with status %d %s", e.Operation, e.Status, e.Reason)
}

// NoAnswerError reports a call without an answer, which may or may not have taken
// effect.
type NoAnswerError struct {
	Operation string
	Cause     string
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	return "store did not answer " + e.Operation + ": " + e.Cause
}

// FencedError reports that a higher term has written to the topic.
type FencedError struct{ Term uint64 }

// Error implements error.
func (e *FencedError) Error() string { return fmt.Sprintf("term %d is over", e.Term) }

// SequenceError reports an append out of order; Expected is the next sequence number.
type SequenceError struct{ Expected uint64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("store expects sequence %d", e.Expected)
}

// EndMismatchError reports that the topic does not end at the append's ExpectedEnd.
type EndMismatchError struct{ End uint64 }

// Error implements error.
func (e *EndMismatchError) Error() string {
	return fmt.Sprintf("topic ends at offset %d, not where the append expected", e.End)
}

// ExpiredError reports that the requested records have been deleted; First is the
// first offset that is left.
type ExpiredError struct{ First uint64 }

// Error implements error.
func (e *ExpiredError) Error() string { return fmt.Sprintf("records before %d have expired", e.First) }

// NotStoredError reports a record that is not stored and never will be.
type NotStoredError struct{ Cause error }

// Error implements error.
func (e *NotStoredError) Error() string { return "record is not stored: " + e.Cause.Error() }

// Unwrap returns the last refusal.
func (e *NotStoredError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a record that may or may not be stored.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "unknown whether the record is stored: " + e.Cause.Error()
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
