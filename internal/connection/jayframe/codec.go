package jayframe

import (
	"fmt"
	"reflect"

	"github.com/fxamacker/cbor/v2"
)

// MaxFrameBytes bounds one frame: a payload or the results of a job, and the envelope.
const MaxFrameBytes = 8 << 20

// Bounds on decoded messages, against corrupt or hostile frames.
const (
	maxArrayElements = 1 << 17
	maxNesting       = 8
)

// Frame is a message with the number that matches a reply to its call; it is zero for
// one-way messages.
type Frame struct {
	call    uint64
	reply   bool
	message Message
}

// NewFrame returns the frame of a one-way message.
func NewFrame(m Message) Frame { return Frame{message: m} }

// NewCall returns the frame of a message that expects a reply.
func NewCall(call uint64, m Message) Frame { return Frame{call: call, message: m} }

// NewReply returns the frame of the reply to a call.
func NewReply(call uint64, m Message) Frame { return Frame{call: call, reply: true, message: m} }

// Call returns the number of the call, or zero for a one-way message.
func (f Frame) Call() uint64 { return f.call }

// IsReply reports whether the frame answers a call.
func (f Frame) IsReply() bool { return f.reply }

// Message returns the message.
func (f Frame) Message() Message { return f.message }

type envelope struct {
	_     struct{} `cbor:",toarray"`
	Kind  Kind
	Call  uint64
	Reply bool
	Body  cbor.RawMessage
}

// CorruptError reports a frame or message that cannot be encoded or decoded.
type CorruptError struct {
	Kind  Kind
	Cause error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("corrupt frame of kind %d: %v", e.Kind, e.Cause)
}

// Unwrap returns the codec's error.
func (e *CorruptError) Unwrap() error { return e.Cause }

// TooLargeError reports a message that the receiver would refuse for its size, so that it is not sent.
type TooLargeError struct {
	Kind Kind
	// Size is that of the frame in bytes, or of a list in the message in elements.
	Size int
	Max  int
	Unit string
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("frame of kind %d is too large: %d %s, at most %d", e.Kind, e.Size, e.Unit, e.Max)
}

// UnknownKindError reports a message of a kind that this version does not support.
type UnknownKindError struct{ Kind Kind }

// Error implements error.
func (e *UnknownKindError) Error() string { return fmt.Sprintf("unknown frame kind %d", e.Kind) }

var (
	encoder = mustEncoder()
	decoder = mustDecoder()
)

func mustEncoder() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(fmt.Errorf("frame encoder: %w", err))
	}
	return m
}

func mustDecoder() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: maxArrayElements,
		MaxMapPairs:      maxArrayElements,
		MaxNestedLevels:  maxNesting,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(fmt.Errorf("frame decoder: %w", err))
	}
	return m
}

// Encode returns the encoded frame, or a TooLargeError if no receiver would accept it.
func Encode(f Frame) ([]byte, error) {
	body, err := encoder.Marshal(f.message)
	if err != nil {
		return nil, &CorruptError{Kind: f.message.Kind(), Cause: err}
	}
	b, err := encoder.Marshal(envelope{Kind: f.message.Kind(), Call: f.call, Reply: f.reply, Body: body})
	if err != nil {
		return nil, &CorruptError{Kind: f.message.Kind(), Cause: err}
	}
	if len(b) > MaxFrameBytes {
		return nil, &TooLargeError{Kind: f.message.Kind(), Size: len(b), Max: MaxFrameBytes, Unit: "bytes"}
	}
	// A longer list has more bytes than elements.
	if len(b) > maxArrayElements {
		if n := longestList(reflect.ValueOf(f.message)); n > maxArrayElements {
			return nil, &TooLargeError{Kind: f.message.Kind(), Size: n, Max: maxArrayElements, Unit: "elements"}
		}
	}
	return b, nil
}

// longestList returns the number of elements of the longest list in a message. Strings and bytes are
// no lists.
func longestList(v reflect.Value) int {
	switch v.Kind() {
	case reflect.Pointer:
		return longestList(v.Elem())
	case reflect.Struct:
		n := 0
		for _, field := range v.Fields() {
			n = max(n, longestList(field))
		}
		return n
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			return 0
		}
		n := v.Len()
		for i := range v.Len() {
			n = max(n, longestList(v.Index(i)))
		}
		return n
	case reflect.Map:
		return v.Len()
	}
	return 0
}

// Decode decodes one frame or returns a CorruptError or an UnknownKindError.
func Decode(b []byte) (Frame, error) {
	var e envelope
	if err := decoder.Unmarshal(b, &e); err != nil {
		return Frame{}, &CorruptError{Cause: err}
	}
	m := newMessage(e.Kind)
	if m == nil {
		return Frame{}, &UnknownKindError{Kind: e.Kind}
	}
	if err := decoder.Unmarshal(e.Body, m); err != nil {
		return Frame{}, &CorruptError{Kind: e.Kind, Cause: err}
	}
	return Frame{call: e.Call, reply: e.Reply, message: m}, nil
}

// constructors holds, by kind, the function that returns an empty message.
var constructors = [...]func() Message{
	KindHello:          func() Message { return &Hello{} },
	KindHelloReply:     func() Message { return &HelloReply{} },
	KindHeartbeat:      func() Message { return &Heartbeat{} },
	KindReport:         func() Message { return &Report{} },
	KindManifest:       func() Message { return &Manifest{} },
	KindWorkerHomes:    func() Message { return &WorkerHomes{} },
	KindReserve:        func() Message { return &Reserve{} },
	KindReserveReply:   func() Message { return &ReserveReply{} },
	KindCommit:         func() Message { return &Commit{} },
	KindOutcome:        func() Message { return &Outcome{} },
	KindRelease:        func() Message { return &Release{} },
	KindResolve:        func() Message { return &Resolve{} },
	KindCancel:         func() Message { return &Cancel{} },
	KindJoin:           func() Message { return &Join{} },
	KindPrepare:        func() Message { return &Prepare{} },
	KindPrepared:       func() Message { return &Prepared{} },
	KindStart:          func() Message { return &Start{} },
	KindMemberDone:     func() Message { return &MemberDone{} },
	KindStop:           func() Message { return &Stop{} },
	KindAck:            func() Message { return &Ack{} },
	KindJobQuery:       func() Message { return &JobQuery{} },
	KindJobReply:       func() Message { return &JobReply{} },
	KindDrain:          func() Message { return &Drain{} },
	KindTimelineQuery:  func() Message { return &TimelineQuery{} },
	KindTimelineReply:  func() Message { return &TimelineReply{} },
	KindVersionQuery:   func() Message { return &VersionQuery{} },
	KindVersionReply:   func() Message { return &VersionReply{} },
	KindCellReport:     func() Message { return &CellReport{} },
	KindCellLeaseGrant: func() Message { return &CellLeaseGrant{} },
	KindCellOrders:     func() Message { return &CellOrders{} },
	KindCellView:       func() Message { return &CellView{} },
	KindCellResign:     func() Message { return &CellResign{} },
	KindStoredRecords:  func() Message { return &StoredRecords{} },
	KindStoreRelay:     func() Message { return &StoreRelay{} },
	KindStoreReply:     func() Message { return &StoreReply{} },
	KindPutRecords:     func() Message { return &PutRecords{} },
	KindPutReply:       func() Message { return &PutReply{} },
	KindCellAccount:    func() Message { return &CellAccount{} },
	KindCellAsk:        func() Message { return &CellAsk{} },
	KindCellFollow:     func() Message { return &CellFollow{} },
}

func newMessage(k Kind) Message {
	if int(k) >= len(constructors) || constructors[k] == nil {
		return nil
	}
	return constructors[k]()
}
