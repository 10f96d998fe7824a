package jaystore

import (
	"errors"
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// maxKeyBytes is the longest key that the store's record format can hold.
	maxKeyBytes = 255
	// keyLengthBytes is the size of a key's length, which is part of a record, and
	// recordLengthBytes that of a record's length, which is not.
	keyLengthBytes    = 1
	recordLengthBytes = 4
)

// Statuses of calls that fail whenever they are repeated, since the store rejects what they contain.
const (
	statusBadRequest    = 400
	statusTooLarge      = 413
	statusUnprocessable = 422
)

// recordsRejected counts the records that the store does not accept as they are.
var recordsRejected = metrics.NewCounter("jaystile_store_records_rejected_total")

// Limits are the sizes that the store accepts. Zero means no limit.
type Limits struct {
	// RecordBytes bounds one record: its key, the key's length and its value.
	RecordBytes int
	// CallBytes bounds the records of one append with their lengths.
	CallBytes int
}

// MaxValueBytes returns the size of the largest value that fits under a key of the given length, in
// a standby topic as well, or zero if there is no limit.
func (l Limits) MaxValueBytes(keyBytes int) int {
	if l.RecordBytes == 0 {
		return 0
	}
	return max(1, l.RecordBytes-keyLengthBytes-keyBytes-maxStandbyBytes)
}

// groupBytes returns the bound of one append of several records.
func (l Limits) groupBytes() int {
	if l.CallBytes > 0 {
		return min(maxGroupBytes, l.CallBytes)
	}
	return maxGroupBytes
}

// check returns a TooLargeError if the store does not accept a record with extra bytes more.
func (l Limits) check(r Record, extra int) error {
	if keyBytes := len(r.Key) + extra; keyBytes > maxKeyBytes {
		return &TooLargeError{Key: r.Key, Bytes: keyBytes, Max: maxKeyBytes}
	}
	if bytes := recordBytes(r) + extra; l.RecordBytes > 0 && bytes > l.RecordBytes {
		return &TooLargeError{Key: r.Key, Bytes: bytes, Max: l.RecordBytes}
	}
	return nil
}

// recordBytes returns the size of a record as the store counts it.
func recordBytes(r Record) int { return keyLengthBytes + len(r.Key) + len(r.Value) }

// TooLargeError reports a record, or its key, that is larger than the store accepts.
type TooLargeError struct {
	Key   string
	Bytes int
	Max   int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("record %s is too large to be stored: %d bytes, at most %d", e.Key, e.Bytes, e.Max)
}

// RejectedError reports the records of a Write that are not stored since the store does not accept
// them as they are. All others are stored.
type RejectedError struct {
	Keys []string
	// Cause is why the first of them was rejected.
	Cause error
}

// Error implements error.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("store rejects %d records, first %s: %s", len(e.Keys), e.Keys[0], e.Cause)
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Cause }

// add appends a rejected record.
func (e *RejectedError) add(r Record, cause error) {
	recordsRejected.Inc()
	e.Keys = append(e.Keys, r.Key)
	if e.Cause == nil {
		e.Cause = cause
	}
}

// err returns the error, or nil if no record was rejected.
func (e *RejectedError) err() error {
	if len(e.Keys) == 0 {
		return nil
	}
	return e
}

// merge adds the result of another write. It returns other if that is not a RejectedError.
func (e *RejectedError) merge(other error) error {
	if other == nil {
		return e.err()
	}
	var rejected *RejectedError
	if !errors.As(other, &rejected) {
		return other
	}
	if e.Cause == nil {
		e.Cause = rejected.Cause
	}
	e.Keys = append(e.Keys, rejected.Keys...)
	return e
}

// without returns the records whose keys are not among those rejected.
func (e *RejectedError) without(records []Record) []Record {
	return slices.DeleteFunc(slices.Clone(records), func(r Record) bool { return slices.Contains(e.Keys, r.Key) })
}

// IsRejection reports whether an append fails whenever it is repeated with the same records. All
// other failures may pass.
func IsRejection(err error) bool {
	var tooLarge *TooLargeError
	if errors.As(err, &tooLarge) {
		return true
	}
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	switch refused.Status {
	case statusBadRequest, statusTooLarge, statusUnprocessable:
		return true
	}
	return false
}
