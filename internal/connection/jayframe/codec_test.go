package jayframe

import (
	"errors"
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
