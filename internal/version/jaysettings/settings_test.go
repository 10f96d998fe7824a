package jaysettings

import (
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExamplesAreValid(t *testing.T) {
	for _, r := range []Role{RoleEntry, RoleAgent, RoleStandin} {
		s, err := Example(r)
		assert.NilError(t, err)
		assert.NilError(t, Check(r, NewSource("example.ini", []byte(s))))
	}
	_, err := Example("king")
	assert.ErrorContains(t, err, "allowed: entry, side or standin")
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	good, err := Example(RoleAgent)
	assert.NilError(t, err)
	cases := []struct{ from, to, want string }{
		{"slots = 8", "slots = 0", "side.ini:%d: runner.slots: given \"0\", allowed: whole number from 1 to 4096"},
		{"slots = 8", "slots = many", "side.ini:%d: runner.slots: given \"many\""},
		{"address = 127.0.0.1:9101", "address = host:1", "side.ini:%d: worker.address: given \"host:1\", allowed: IP:port"},
		{"beat = 500ms", "beat = 500", "side.ini:%d: timing.beat: given \"500\""},
		{"beat = 500ms", "beat = 500ms\nbeet = 1", "side.ini:%d: timing.beet: given \"1\", allowed: no such key"},
		{"slots = 8", "slots = 8\nslots = 9", "side.ini:%d: runner.slots: given \"8, 9\", allowed: the key once"},
		{"silence = 2s", "silence = 600ms", "side.ini:%d: timing.silence: given \"600ms\", allowed: at least twice timing.beat"},
	}
	for _, c := range cases {
		text := strings.Replace(good, c.from, c.to, 1)
		last := c.to[strings.LastIndex(c.to, "\n")+1:]
		if strings.HasPrefix(c.to, "slots = 8\n") {
			last = "slots = 8"
		}
		line := 1 + strings.Count(text[:strings.Index(text, "\n"+last)+1], "\n")
		err := Check(RoleAgent, NewSource("side.ini", []byte(text)))
		want := strings.Replace(c.want, "%d", strconv.Itoa(line), 1)
		assert.ErrorContains(t, err, want)
	}
}

func TestAllMissingKeysAreReported(t *testing.T) {
	err := Check(RoleEntry, NewSource("entry.ini", []byte("[process]\nname = e\n")))
	var invalid *InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Assert(t, len(invalid.Problems) >= 5)
}

func TestDeployedSettingsAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../deploy/*/*.ini")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, f := range files {
		b, err := os.ReadFile(f)
		assert.NilError(t, err)
		role := RoleAgent
		for _, r := range []Role{RoleEntry, RoleStandin} {
			if strings.HasPrefix(filepath.Base(f), string(r)) {
				role = r
			}
		}
		assert.NilError(t, Check(role, NewSource(f, b)))
	}
}

func FuzzCheck(f *testing.F) {
	for _, r := range []Role{RoleEntry, RoleAgent, RoleStandin} {
		s, err := Example(r)
		assert.NilError(f, err)
		f.Add(string(r), []byte(s))
	}
	f.Fuzz(func(t *testing.T, role string, b []byte) {
		err := Check(Role(role), NewSource("fuzz.ini", b))
		var invalid *InvalidError
		var unknown *UnknownRoleError
		assert.Assert(t, err == nil || errors.As(err, &invalid) || errors.As(err, &unknown))
	})
}
