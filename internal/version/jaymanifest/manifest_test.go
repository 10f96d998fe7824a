package jaymanifest

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jayjob"
)

func testDraft(t testing.TB) Draft {
	t.Helper()
	s, err := jayjob.NewShape(2, 8, jayjob.SameRack)
	assert.NilError(t, err)
	return Draft{Base: 3, Deployment: "test", Weights: NewWeights(7, 3), Workspaces: []DraftWorkspace{
		{Name: "b", Key: NewCredential("secret"), Quota: 40, Share: 2, Guarantees: []Guarantee{NewGuarantee("b", "big", s)}},
		{Name: "a", Key: NewCredential("other"), Share: 1},
	}}
}

func mustEncode(t testing.TB, d Draft) []byte {
	t.Helper()
	b, err := d.Encode()
	assert.NilError(t, err)
	return b
}

func TestEncodeParseRoundTrip(t *testing.T) {
	m, err := Parse(mustEncode(t, testDraft(t)))
	assert.NilError(t, err)
	assert.Equal(t, m.Base(), uint64(3))
	assert.DeepEqual(t, m.Names(), []string{"a", "b"})
	assert.Assert(t, m.Workspace("b").Authenticates("secret"))
	assert.Assert(t, !m.Workspace("b").Authenticates("other"))
	assert.Equal(t, len(m.Guarantees()), 1)
	assert.Equal(t, m.Weights().Completion(), 0.7)
}

func TestParseReportsAllProblemsWithLocation(t *testing.T) {
	good := string(mustEncode(t, testDraft(t)))
	cases := []struct{ from, to, location string }{
		{`"format": 1`, `"format": 2`, "format"},
		{`"share": 2`, `"share": 0`, "workspaces[0].share"},
		{`"quota_accelerators": 40`, `"quota_accelerators": 8`, "workspaces[0].quota_accelerators"},
		{`"near": "rack"`, `"near": "row"`, "workspaces[0].guarantees[0].near"},
		{`"members": 2`, `"members": 1000`, "workspaces[0].guarantees[0]"},
		{`"name": "a"`, `"name": "b"`, "workspaces[1].name"},
		{`"base": 3`, `"base": 3, "nonsense": 1`, "line"},
		{`"base": 3`, `"base": "three"`, "line 3"},
	}
	for _, c := range cases {
		_, err := Parse([]byte(strings.Replace(good, c.from, c.to, 1)))
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid), c.to)
		assert.Assert(t, strings.HasPrefix(invalid.Problems[0].Location, c.location), "%s: %v", c.to, err)
	}
	both := strings.Replace(strings.Replace(good, `"share": 2`, `"share": 0`, 1), `"format": 1`, `"format": 2`, 1)
	_, err := Parse([]byte(both))
	var invalid *InvalidError
	assert.Assert(t, errors.As(err, &invalid))
	assert.Equal(t, len(invalid.Problems), 2)
}

func TestDiffListsChangedSubjects(t *testing.T) {
	before, err := Parse(mustEncode(t, testDraft(t)))
	assert.NilError(t, err)
	d := testDraft(t)
	d.Workspaces = d.Workspaces[:1]
	d.Workspaces[0].Quota = 48
	d.Workspaces[0].Key = NewCredential("secret")
	after, err := Parse(mustEncode(t, d))
	assert.NilError(t, err)
	var subjects []string
	for _, c := range Diff(before, after) {
		subjects = append(subjects, c.Subject())
	}
	assert.DeepEqual(t, subjects, []string{"workspace a", "workspace a key", "workspace b", "workspace b key"})
	assert.Equal(t, len(Diff(after, after)), 0)
}

func FuzzParse(f *testing.F) {
	f.Add(mustEncode(f, testDraft(f)))
	f.Add([]byte(`{"format":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := Parse(b)
		var invalid *InvalidError
		assert.Assert(t, err == nil || errors.As(err, &invalid))
	})
}
