// Package jaystate materializes the streams of the log as tables. All readers of a
// stream arrive at the same table, regardless of restarts, snapshots and
// retention.
package jaystate

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Streams of the log.
const (
	ManifestStream = "manifest"
	JobsStream     = "jobs"
	MembersStream  = "members"
)

// recordKind is the type of a record in the jobs and members streams. Numbers are
// never reused.
type recordKind uint8

const (
	kindAccepted recordKind = 1
	kindEnded    recordKind = 2
	kindAdopted  recordKind = 3
	kindSnapshot recordKind = 4
	kindMember   recordKind = 5
)

type envelope struct {
	_    struct{} `cbor:",toarray"`
	Kind recordKind
	Body cbor.RawMessage
}

// CorruptError reports a record that cannot be decoded. Every reader skips it.
type CorruptError struct {
	Stream string
	Cause  error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt record in stream %s: %v", e.Stream, e.Cause)
}

// Unwrap returns the error of the codec.
func (e *CorruptError) Unwrap() error { return e.Cause }

var decoder = mustDecoder()

const maxDecodedElements = 1 << 20

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: maxDecodedElements, MaxMapPairs: maxDecodedElements, MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(fmt.Errorf("record decoder: %w", err))
	}
	return m
}

func encode(stream string, k recordKind, body any) ([]byte, error) {
	b, err := cbor.Marshal(body)
	if err != nil {
		return nil, &CorruptError{Stream: stream, Cause: err}
	}
	b, err = cbor.Marshal(envelope{Kind: k, Body: b})
	if err != nil {
		return nil, &CorruptError{Stream: stream, Cause: err}
	}
	return b, nil
}

func decode(stream string, data []byte) (envelope, error) {
	var e envelope
	if err := decoder.Unmarshal(data, &e); err != nil {
		return e, &CorruptError{Stream: stream, Cause: err}
	}
	return e, nil
}

func decodeBody(stream string, e envelope, into any) error {
	if err := decoder.Unmarshal(e.Body, into); err != nil {
		return &CorruptError{Stream: stream, Cause: err}
	}
	return nil
}
