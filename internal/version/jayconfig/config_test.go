package jayconfig

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestMatchLongestPrefix(t *testing.T) {
	c := NewConfig(1, []Route{
		{Name: "all", Host: "h"}, {Name: "a", Host: "h", Prefix: "/a/"}, {Name: "ab", Host: "h", Prefix: "/a/b/"},
		{Name: "other", Host: "g", Prefix: "/a/"},
	}, nil, nil, Limits{})
	for _, m := range []struct{ host, path, want string }{
		{"h", "/a/b/c", "ab"}, {"h", "/a/x", "a"}, {"h", "/a", "all"}, {"h", "", "all"}, {"h", "/a/b", "a"},
		{"g", "/a/1", "other"}, {"g", "/b", ""}, {"f", "/a/", ""}, {"h", "/a/" + strings.Repeat("x", 30_000), "a"},
	} {
		r, _ := c.Match(m.host, m.path)
		assert.Equal(t, r.Name, m.want, "%s%.40s", m.host, m.path)
	}
}

// The number of lookups is the number of distinct prefix lengths, whatever the
// length of the path and the number of routes.
func TestMatchCostDependsOnPrefixLengths(t *testing.T) {
	var routes []Route
	for i := range 2000 {
		routes = append(routes, Route{Host: "h", Prefix: fmt.Sprintf("/%04d/", i)})
	}
	c := NewConfig(1, routes, nil, nil, Limits{})
	assert.DeepEqual(t, c.hosts["h"].prefixLengths, []int{6})
}

func TestWorkspaceByKey(t *testing.T) {
	c := NewConfig(1, nil, nil, []Workspace{{Name: "w", Keys: []string{"k", "l"}, Guaranteed: 8}}, Limits{})
	for _, k := range []struct {
		key  string
		want string
	}{{"k", "w"}, {"l", "w"}, {"", ""}, {"kk", ""}} {
		w, ok := c.WorkspaceByKey(k.key)
		assert.Equal(t, w, k.want)
		assert.Equal(t, ok, k.want != "")
	}
	assert.Equal(t, c.Guaranteed("w"), 8)
	assert.Equal(t, c.Guaranteed("x"), 0)
	assert.Equal(t, c.GuaranteedAccelerators(), 8)
	assert.Equal(t, NormalizeHost("A.example:80"), "a.example")
}
