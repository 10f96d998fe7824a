package jayframe

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestEveryKindRoundTrips(t *testing.T) {
	for k := range constructors {
		m := newMessage(Kind(k))
		if m == nil {
			continue
		}
		assert.Equal(t, m.Kind(), Kind(k))
		b, err := Encode(NewCall(7, m))
		assert.NilError(t, err)
		f, err := Decode(b)
		assert.NilError(t, err)
		assert.Equal(t, f.Call(), uint64(7))
		assert.Equal(t, f.Message().Kind(), Kind(k))
	}
}

func TestOutcomeKeepsItsParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &Outcome{Attempt: Attempt{Origin: rapid.Uint64().Draw(t, "origin"), Counter: 2}, Status: StatusAnswered, Results: rapid.SliceOf(rapid.SliceOfN(rapid.Byte(), 1, 9)).Draw(t, "results")}
		b, err := Encode(NewFrame(o))
		assert.NilError(t, err)
		f, err := Decode(b)
		assert.NilError(t, err)
		back, ok := f.Message().(*Outcome)
		assert.Assert(t, ok)
		assert.Equal(t, back.Attempt.ID(), o.Attempt.ID())
		assert.Equal(t, len(back.Results), len(o.Results))
	})
}

func TestDecodeNamesItsErrors(t *testing.T) {
	whole, err := Encode(NewFrame(&Outcome{Results: [][]byte{[]byte("answer")}}))
	assert.NilError(t, err)
	for n := range len(whole) {
		_, err := Decode(whole[:n])
		var corrupt *CorruptError
		assert.Assert(t, errors.As(err, &corrupt), "truncated to %d bytes", n)
	}
	_, err = Decode([]byte{0x84, 0x18, 0xfa, 0x00, 0xf4, 0x80})
	var unknown *UnknownKindError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
}

func FuzzDecode(f *testing.F) {
	for _, m := range []Message{&Hello{Name: "a"}, &Reserve{Job: "j"}, &Report{Reservations: []Reservation{{Job: "j"}}},
		&CellReport{Node: "n", Running: []CellRun{{Task: "t"}}, Finished: []CellEnd{{Number: 1}}}, &CellLeaseGrant{Term: 1}, &CellOrders{Orders: []CellOrder{{Task: "t", Ticket: "x"}}},
		&CellView{Entries: []string{"e"}}, &CellResign{Term: 1}, &StoredRecords{Records: []StoredRecord{{Key: "k"}}}, &StoreRelay{Method: "GET"}, &StoreReply{Status: 200}, &PutRecords{Records: []StoredRecord{{Key: "k"}}}, &PutReply{Stored: true}, &CellAccount{Term: 1, Routes: []CellRouteAccount{{Route: "r"}}}} {
		b, err := Encode(NewFrame(m))
		assert.NilError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := Decode(b)
		var corrupt *CorruptError
		var unknown *UnknownKindError
		assert.Assert(t, err == nil || errors.As(err, &corrupt) || errors.As(err, &unknown))
	})
}

// fillLargest sets each string, byte slice and list of a message, also those in the first element of a
// list, to what no receiver accepts. It returns how many it has set.
func fillLargest(v reflect.Value) int {
	n := 0
	switch v.Kind() {
	case reflect.String:
		v.SetString(strings.Repeat("x", MaxFrameBytes))
		return 1
	case reflect.Struct:
		for f, field := range v.Fields() {
			if f.IsExported() {
				n += fillLargest(field)
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes(make([]byte, MaxFrameBytes))
			return 1
		}
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		if n = fillLargest(v.Index(0)); n == 0 {
			v.Set(reflect.MakeSlice(v.Type(), maxArrayElements+1, maxArrayElements+1))
			n = 1
		}
	}
	return n
}

// Guards against senders that build what their receivers refuse, by whatever part of a message grows.
func TestNoKindIsEncodedBeyondWhatReceiversAccept(t *testing.T) {
	for k := range constructors {
		m := newMessage(Kind(k))
		if m == nil || fillLargest(reflect.ValueOf(m).Elem()) == 0 {
			continue
		}
		_, err := Encode(NewFrame(m))
		var large *TooLargeError
		assert.Assert(t, errors.As(err, &large), "%T: %v", m, err)
		assert.Equal(t, large.Kind, Kind(k))
	}
}

// Guards against lists that receivers refuse although the frame is small enough.
func TestLongListsAreNotEncoded(t *testing.T) {
	for _, c := range []struct {
		name     string
		message  Message
		accepted bool
	}{
		{"as many records as accepted", &StoredRecords{Records: make([]StoredRecord, maxArrayElements)}, true},
		{"one more", &StoredRecords{Records: make([]StoredRecord, maxArrayElements+1)}, false},
		{"a list in a list", &CellReport{Crashes: []CellCrash{{}, {Runs: make([]CellCrashedRun, maxArrayElements+1)}}}, false},
		{"bytes are no list", &StoreReply{Body: make([]byte, maxArrayElements+1)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, err := Encode(NewFrame(c.message))
			if c.accepted {
				assert.NilError(t, err)
				_, err = Decode(b)
				assert.NilError(t, err)
				return
			}
			var large *TooLargeError
			assert.Assert(t, errors.As(err, &large), "%v", err)
		})
	}
}
