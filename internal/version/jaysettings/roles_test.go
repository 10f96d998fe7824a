package jaysettings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Every role's example is detected as that role, also with one misspelled key.
func TestDetectRole(t *testing.T) {
	for _, role := range Roles() {
		text, err := Example(role)
		assert.NilError(t, err)
		for _, c := range []string{text, strings.Replace(text, "name = ", "names = ", 1)} {
			assert.Equal(t, DetectRole(NewSource("f.ini", []byte(c))), role)
		}
	}
}
