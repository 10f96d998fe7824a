package jayconfig

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// valid returns the lists of a configuration without a finding.
func valid() ([]Route, []Service, []Workspace, Limits) {
	return []Route{
			{Name: "a", Host: "h", Prefix: "/a/", Service: "s", Priority: 2, MaxAttempts: 3, Stretch: 1.5, Timeout: time.Hour},
			{Name: "b", Host: "h", Prefix: "/a/b/", Service: "s", MaxAttempts: 1, Objective: time.Second},
		}, []Service{{Name: "s"}},
		[]Workspace{{Name: "v", Keys: []string{"key-v"}, Guaranteed: 8}, {Name: "w", Keys: []string{"key-w"}, Guaranteed: 8}},
		Limits{HeaderBytes: 1000, BodyBytes: 10_000, HeaderTimeout: time.Second, IdleTimeout: 30 * time.Second}
}

// A check that misses a fault lets it reach the entries, and one that reports a valid
// configuration stops a correct change. Each row adds one fault.
func TestCheckFindsOneFault(t *testing.T) {
	type parts struct {
		version    uint64
		routes     []Route
		services   []Service
		workspaces []Workspace
		limits     Limits
	}
	for _, x := range []struct {
		guards string
		spoil  func(p *parts)
		want   string
	}{
		{"a valid configuration", func(*parts) {}, ""},
		{"priorities out of order", func(p *parts) { p.routes[0].Priority, p.routes[1].Priority = 7, 3 }, ""},
		{"a version that is ignored", func(p *parts) { p.version = 1 }, "error version_not_higher"},
		{"a document without routes, such as a misspelt list", func(p *parts) { p.routes, p.services = nil, nil }, "error no_routes"},
		{"a route that a later one replaces", func(p *parts) { p.routes[0].Prefix = "/a/b/" }, "error route_never_matches"},
		{"one queue count for two routes", func(p *parts) { p.routes[0].Name = "b" }, "warning route_name_repeated"},
		{"advice of another route with the same name", func(p *parts) { p.routes[0].Name, p.routes[0].Advice = "b", &Advice{} }, "warning route_name_repeated, warning advice_of_another_route"},
		{"a host that no caller names", func(p *parts) { p.routes[0].Host = "" }, "error empty_host"},
		{"a path that never begins so", func(p *parts) { p.routes[0].Prefix = "a/" }, "error prefix_without_slash"},
		{"an empty prefix, which names no job", func(p *parts) { p.routes[0].Prefix = "" }, "error prefix_without_slash"},
		{"a path that the server changes", func(p *parts) { p.routes[0].Prefix = "/x/../a/" }, "error prefix_not_normalized"},
		{"IDs that are joined to the prefix", func(p *parts) { p.routes[0].Prefix = "/x" }, "warning prefix_without_final_slash"},
		{"IDs that another route takes", func(p *parts) { p.routes[1].Prefix = "/a/0bC" }, "warning prefix_without_final_slash, warning route_hides_ids"},
		{"a longer prefix that takes no ID", func(p *parts) { p.routes[1].Prefix = "/a/0g/" }, ""},
		{"jobs that no runner runs", func(p *parts) { p.routes[0].Service = "x" }, "error unknown_service"},
		{"runners without work", func(p *parts) { p.services = append(p.services, Service{Name: "x"}) }, "warning service_without_route"},
		{"a service listed twice", func(p *parts) { p.services = append(p.services, Service{Name: "s"}) }, "warning service_repeated"},
		{"jobs that are late in any case", func(p *parts) { p.routes[0].Stretch = 0 }, "error always_late"},
		{"an objective below the critical path", func(p *parts) { p.routes[0].Stretch = 0.5 }, "warning stretch_below_one"},
		{"tasks without a second attempt", func(p *parts) { p.routes[0].MaxAttempts = 0 }, "warning no_attempts"},
		{"negative attempts", func(p *parts) { p.routes[0].MaxAttempts = -1 }, "error negative_value"},
		{"a priority before the urgent one", func(p *parts) { p.routes[0].Priority = -1 }, "error negative_value"},
		{"a negative stretch beside an objective", func(p *parts) { p.routes[1].Stretch = -1 }, "error negative_value"},
		{"a negative timeout", func(p *parts) { p.routes[0].Timeout = -1 }, "error negative_value"},
		{"a negative time of the advice service", func(p *parts) { p.routes[0].Advice = &Advice{PerRunner: -1} }, "error negative_value"},
		{"a key whose owner depends on the order", func(p *parts) { p.workspaces[0].Keys = []string{"key-w"} }, "error key_of_two_workspaces"},
		{"a key listed twice", func(p *parts) { p.workspaces[0].Keys = []string{"k", "k"} }, "warning key_repeated"},
		{"a workspace that nobody can use", func(p *parts) { p.workspaces[0].Keys = nil }, "warning workspace_without_keys"},
		{"access without a key", func(p *parts) { p.workspaces[0].Keys = []string{""} }, "error empty_key"},
		{"a guarantee that is replaced", func(p *parts) { p.workspaces[0].Name = "w" }, "error workspace_repeated"},
		{"public jobs in reach of a workspace", func(p *parts) { p.workspaces[0].Name = "" }, "error no_name"},
		{"a negative guarantee", func(p *parts) { p.workspaces[0].Guaranteed = -8 }, "error negative_value"},
		{"guarantees that cannot all be kept", func(p *parts) { p.workspaces[0].Guaranteed = 9 }, "error guarantees_above_pool"},
		{"a negative limit, which is no limit", func(p *parts) { p.limits.IdleTimeout = -1 }, "error negative_value"},
		{"valid jobs that are refused", func(p *parts) { p.limits.BodyBytes = 4023 }, "error body_limit_below_spec"},
		{"the smallest sufficient body limit", func(p *parts) { p.limits.BodyBytes = 4024 }, ""},
		{"a key that no header can carry", func(p *parts) { p.limits.HeaderBytes = 5 }, "error header_limit_below_key, error header_limit_below_key"},
		{"a body limit above the server's", func(p *parts) { p.limits.BodyBytes = 20_001 }, "warning limit_without_effect"},
		{"a header limit above the server's", func(p *parts) { p.limits.HeaderBytes = 2001 }, "warning limit_without_effect"},
		{"a header timeout above the server's", func(p *parts) { p.limits.HeaderTimeout = 6 * time.Second }, "warning limit_without_effect"},
		{"an idle timeout below the header timeout, which is no fault", func(p *parts) { p.limits.IdleTimeout = time.Millisecond }, ""},
		{"no limits", func(p *parts) { p.limits = Limits{} }, ""},
	} {
		p := parts{version: 2}
		p.routes, p.services, p.workspaces, p.limits = valid()
		x.spoil(&p)
		c := NewConfig(p.version, p.routes, p.services, p.workspaces, p.limits)
		bounds := Bounds{Accelerators: 16, Server: Limits{HeaderBytes: 2000, BodyBytes: 20_000, HeaderTimeout: 5 * time.Second}, LargestSpecBody: 4024}
		var got []string
		for _, f := range Check(c, NewConfig(1, nil, nil, nil, Limits{}), bounds) {
			got = append(got, fmt.Sprintf("%s %s", f.Severity, f.Code))
			assert.Assert(t, !strings.Contains(f.String(), "key-"), "%s: a key is printed in full: %s", x.guards, f)
		}
		assert.Equal(t, strings.Join(got, ", "), x.want, x.guards)
	}
}

// The operator must learn which of two entries wins, and it must be the one that wins.
func TestCheckNamesTheWinner(t *testing.T) {
	c := NewConfig(1, []Route{{Name: "first", Host: "h", Prefix: "/a/"}, {Name: "second", Host: "h", Prefix: "/a/"}}, nil,
		[]Workspace{{Name: "v", Keys: []string{"k"}}, {Name: "w", Keys: []string{"k"}}}, Limits{})
	r, _ := c.Match("h", "/a/")
	w, _ := c.WorkspaceByKey("k")
	found := map[string]Finding{}
	for _, f := range Check(c, nil, Bounds{}) {
		found[f.Code] = f
	}
	for _, x := range []struct{ code, loser, winner string }{
		{"route_never_matches", `route "first"`, fmt.Sprintf("route %q", r.Name)},
		{"key_of_two_workspaces", `workspace "v"`, fmt.Sprintf("workspace %q", w)},
	} {
		f := found[x.code]
		assert.Assert(t, strings.HasPrefix(f.Subject, x.loser) && strings.Contains(f.Message, x.winner), "%s: %s", x.code, f)
	}
}

// A difference that is missed or made up misleads the operator who approves a change.
func TestDiff(t *testing.T) {
	from := func() *Config {
		routes, services, workspaces, limits := valid()
		return NewConfig(2, routes, services, workspaces, limits)
	}()
	for _, x := range []struct {
		guards string
		change func(r []Route, s []Service, w []Workspace, l Limits) *Config
		want   string
	}{
		{"no difference", func(r []Route, s []Service, w []Workspace, l Limits) *Config { return NewConfig(2, r, s, w, l) }, ""},
		{"a new order is no difference", func(r []Route, s []Service, w []Workspace, l Limits) *Config {
			return NewConfig(2, []Route{r[1], r[0]}, s, []Workspace{w[1], w[0]}, l)
		}, ""},
		{"fields of a route", func(r []Route, s []Service, w []Workspace, l Limits) *Config {
			r[0].Priority, r[0].Advice = 0, &Advice{Base: time.Second, PerRunner: time.Millisecond}
			return NewConfig(3, r, s, w, l)
		}, `~ configuration: version: 2 -> 3
~ route "a" at "h/a/": priority: 2 -> 0
~ route "a" at "h/a/": advice: none -> 1s and 1ms for each runner`},
		{"a route that moved is the same one", func(r []Route, s []Service, w []Workspace, l Limits) *Config {
			r[0].Prefix = "/c/"
			return NewConfig(2, r, s, w, l)
		}, `~ route "a" at "h/c/": prefix: "/a/" -> "/c/"`},
		{"a route that was renamed is the same one", func(r []Route, s []Service, w []Workspace, l Limits) *Config {
			r[0].Name = "c"
			return NewConfig(2, r, s, w, l)
		}, `~ route "c" at "h/a/": name: "a" -> "c"`},
		{"one of two routes with the same name", func(r []Route, s []Service, w []Workspace, l Limits) *Config {
			return NewConfig(2, append(r, Route{Name: "a", Host: "h", Prefix: "/z/"}), s, w, l)
		}, `+ route "a" at "h/z/": name "a", host "h", prefix "/z/", service "", public false, priority 0, attempts 0, stretch 0, objective 0s, timeout 0s, advice none`},
		{"removed and added entries", func(r []Route, s []Service, w []Workspace, l Limits) *Config {
			return NewConfig(2, r, []Service{{Name: "x"}}, []Workspace{w[0], {Name: "x"}}, l)
		}, `+ service "x": name "x"
- service "s": name "s"
+ workspace "x": guaranteed accelerators 0
- workspace "w": guaranteed accelerators 8
- workspace "w": keys: ` + KeyLabel("key-w")},
		{"keys and a guarantee", func(r []Route, s []Service, w []Workspace, l Limits) *Config {
			w[0].Keys, w[0].Guaranteed = []string{"key-new"}, 4
			return NewConfig(2, r, s, w, l)
		}, `~ workspace "v": guaranteed accelerators: 8 -> 4
+ workspace "v": keys: ` + KeyLabel("key-new") + `
- workspace "v": keys: ` + KeyLabel("key-v")},
		{"limits", func(r []Route, s []Service, w []Workspace, l Limits) *Config {
			l.BodyBytes, l.IdleTimeout = 0, time.Minute
			return NewConfig(2, r, s, w, l)
		}, `~ limits: body size: 10000 bytes -> none
~ limits: idle timeout: 30s -> 1m0s`},
	} {
		var lines []string
		for _, c := range Diff(from, x.change(valid())) {
			lines = append(lines, c.String())
			assert.Assert(t, !strings.Contains(c.String(), "key-"), "%s: a key is printed in full: %s", x.guards, c)
		}
		assert.Equal(t, strings.Join(lines, "\n"), x.want, x.guards)
	}
}
