package jaysettings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The example of every role is told to be that role's, also with a fault in it.
func TestRoleIsToldFromTheFile(t *testing.T) {
	for _, role := range Roles() {
		text, err := Example(role)
		assert.NilError(t, err)
		for _, c := range []string{text, strings.Replace(text, "name = ", "names = ", 1)} {
			assert.Equal(t, DetectRole(NewSource("f.ini", []byte(c))), role)
		}
	}
}
