// Package jaystore keeps what must last in the platform's log: it groups
// appends, settles lost answers by repeating, follows topics that keep the
// newest record of each key, and goes through a peer when the store does not
// answer this process.
package jaystore

import (
	"context"
	"fmt"
	"time"
)

// Record is a keyed record. A nil value drops the key.
type Record struct {
	Key   string
	Value []byte
}

// Stored is a record with its place in the topic.
type StoredRecord struct {
	Record
	Offset uint64
}

// Fence makes appends refusable: the store refuses a producer's term that is
// lower than one it has seen, and a sequence that does not follow the last.
type Fence struct {
	Producer string
	Term     uint64
	Sequence uint64
}

// Append is one all-or-nothing append to a topic.
type Append struct {
	Topic   string
	Records []Record
	// Fence is nil on appends that anybody may make.
	Fence *Fence
	// At, when set, is where the topic must end.
	ExpectedEnd *uint64
	// Try counts the tries of an append that is repeated while earlier ones are open,
	// from 1; they go different ways, one each. Zero may go both ways.
	Try int
}

// Chunk is what a read has found.
type ReadResult struct {
	Records []StoredRecord
	// Next is the offset to go on from, End the topic's end.
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
	// Unreadable counts records that were left out since they cannot be read.
	Unreadable int
}

// UnreadableError reports records of a topic that were skipped since they cannot be
// read; the others hold.
type UnreadableError struct {
	Topic string
	Count int
}

// Error implements error.
func (e *UnreadableError) Error() string {
	return fmt.Sprintf("skipped %d records of %s that cannot be read", e.Count, e.Topic)
}

// Client calls the store, one try a call. Its functions are set before use; they
// return the errors of this package.
type Client struct {
	// Append returns the topic's end after the append.
	Append func(ctx context.Context, a Append) (uint64, error)
	// Read waits up to the given time for records from an offset on.
	Read func(ctx context.Context, topic string, from uint64, wait time.Duration) (ReadResult, error)
	// Newest returns the newest record of each key after the key given.
	Newest func(ctx context.Context, topic, after string) (Page, error)
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

// NoAnswerError reports a call of which it is unknown whether it took effect.
type NoAnswerError struct {
	Operation string
	Cause     string
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	return "store did not answer " + e.Operation + ": " + e.Cause
}

// FencedError reports that a higher term has written.
type FencedError struct{ Term uint64 }

// Error implements error.
func (e *FencedError) Error() string { return fmt.Sprintf("term %d is over", e.Term) }

// SequenceError reports an append out of order; Expected is the next number.
type SequenceError struct{ Expected uint64 }

// Error implements error.
func (e *SequenceError) Error() string {
	return fmt.Sprintf("store expects sequence %d", e.Expected)
}

// MovedError reports that the topic does not end where the append demanded.
type EndMismatchError struct{ End uint64 }

// Error implements error.
func (e *EndMismatchError) Error() string { return fmt.Sprintf("topic ends at %d", e.End) }

// ExpiredError reports that the records asked for are gone.
type ExpiredError struct{ First uint64 }

// Error implements error.
func (e *ExpiredError) Error() string { return fmt.Sprintf("records before %d have expired", e.First) }

// NotStoredError reports a record that is certainly not stored and never will be.
type NotStoredError struct{ Cause error }

// Error implements error.
func (e *NotStoredError) Error() string { return "record is not stored: " + e.Cause.Error() }

// Unwrap returns the last refusal.
func (e *NotStoredError) Unwrap() error { return e.Cause }

// UnknownError reports a record that may or may not be stored.
type UnknownOutcomeError struct{ Cause error }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return "unknown whether the record is stored: " + e.Cause.Error()
}

// Unwrap returns the last failure.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }
