package jayjob

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func validFields(t *testing.T) Fields {
	t.Helper()
	s, err := NewShape(2, 8, SameRack)
	assert.NilError(t, err)
	return Fields{Workspace: "dispatch", Kind: "replan", Class: Standard, Shape: s, Idempotent: true}
}

func TestNewReportsInvalidField(t *testing.T) {
	cases := []struct {
		field  string
		change func(*Fields)
	}{
		{"workspace bytes", func(f *Fields) { f.Workspace = "" }},
		{"workspace", func(f *Fields) { f.Workspace = "a b" }},
		{"kind", func(f *Fields) { f.Kind = "x/y" }},
		{"class", func(f *Fields) { f.Class = 9 }},
		{"members", func(f *Fields) { f.Shape = Shape{} }},
		{"payload bytes", func(f *Fields) { f.Payload = make([]byte, MaxPayloadBytes+1) }},
		{"runtime", func(f *Fields) { f.Runtime = -time.Second }},
		{"deadline", func(f *Fields) { f.Deadline = MaxDuration + 1 }},
		{"idempotency key", func(f *Fields) { f.Idempotent = false }},
	}
	for _, c := range cases {
		f := validFields(t)
		c.change(&f)
		_, err := New(f)
		var fieldErr *FieldError
		assert.Assert(t, errors.As(err, &fieldErr), c.field)
		assert.Equal(t, fieldErr.Field, c.field)
	}
}

func TestDigestDependsOnPayload(t *testing.T) {
	f := validFields(t)
	a, err := New(f)
	assert.NilError(t, err)
	f.Payload = []byte("x")
	b, err := New(f)
	assert.NilError(t, err)
	assert.Assert(t, a.Digest() != b.Digest())
}
