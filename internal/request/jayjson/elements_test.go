package jayjson

import (
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against elements that are counted otherwise than they are decoded.
func FuzzElements(f *testing.F) {
	for _, s := range []string{`[]`, ` [ 1 , "a,]\"\\" , [ {} , [] ] , {"a":[1,2]} ] `, `[null]`, `{}`, `"[1,2]"`, `[[],[]]`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var list []json.RawMessage
		if json.Unmarshal(b, &list) != nil {
			return
		}
		elements := slices.Collect(Elements(b))
		assert.Equal(t, len(elements), len(list))
		for i, e := range elements {
			assert.Equal(t, string(e), string(list[i]))
		}
	})
}

func TestDecodeAtMostRefusesOneMore(t *testing.T) {
	var list []int
	assert.NilError(t, DecodeAtMost([]byte(`[1,2,3]`), "numbers", 3, &list))
	assert.DeepEqual(t, list, []int{1, 2, 3})
	var tooMany *TooManyError
	assert.Assert(t, errors.As(DecodeAtMost([]byte(`[1,2,3,"`+strings.Repeat("x", 9)+`"]`), "numbers", 3, &list), &tooMany))
}
