package jayconfig

import (
	"fmt"
	"slices"
	"strings"
)

// Severity says whether a finding makes a configuration invalid.
type Severity uint8

// The severities of a finding.
const (
	SeverityWarning Severity = iota + 1
	SeverityError
)

// String returns the severity's name.
func (s Severity) String() string {
	if s == SeverityError {
		return "error"
	}
	return "warning"
}

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity
	// Code identifies the kind of fault for programs.
	Code string
	// Subject is the part of the configuration that has the fault, such as a route.
	Subject string
	Message string
}

// String formats the finding as a line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s (%s)", f.Severity, f.Subject, f.Message, f.Code)
}

// InvalidError reports a configuration with errors.
type InvalidError struct{ Errors int }

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("configuration is invalid: errors: %d", e.Errors)
}

// Report is the result of checking a configuration.
type Report struct {
	Findings []Finding
	// Changes are the differences from the version in force.
	Changes []Change
}

// Count returns the number of findings of a severity.
func (r Report) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Err returns an InvalidError if a finding is an error.
func (r Report) Err() error {
	if n := r.Count(SeverityError); n > 0 {
		return &InvalidError{Errors: n}
	}
	return nil
}

// Bounds are the facts outside the configuration that Check compares it with. A zero
// value is not compared.
type Bounds struct {
	// Accelerators is the number of accelerators of all runners.
	Accelerators int
	// Server holds the limits that the callers' server applies in any case.
	Server Limits
	// LargestSpecBody is the smallest body, in bytes, of a job whose spec has the
	// largest valid size.
	LargestSpecBody int
}

// jobIDLength is the number of hexadecimal digits of a job's ID, which follows the
// prefix of its route in a path.
const jobIDLength = 16

// Check lists the faults of a configuration, which is to replace inForce unless that is
// nil.
func Check(config, inForce *Config, b Bounds) []Finding {
	c := &checker{config: config, bounds: b}
	c.checkVersion(inForce)
	c.checkRoutes()
	c.checkServices()
	c.checkWorkspaces()
	c.checkKeys()
	c.checkGuarantees()
	c.checkLimits()
	return c.findings
}

type checker struct {
	config   *Config
	bounds   Bounds
	findings []Finding
}

func (c *checker) addError(code, subject, format string, values ...any) {
	c.findings = append(c.findings, Finding{Severity: SeverityError, Code: code, Subject: subject, Message: fmt.Sprintf(format, values...)})
}

func (c *checker) addWarning(code, subject, format string, values ...any) {
	c.findings = append(c.findings, Finding{Severity: SeverityWarning, Code: code, Subject: subject, Message: fmt.Sprintf(format, values...)})
}

func (c *checker) checkNotNegative(subject, field string, negative bool) {
	if negative {
		c.addError("negative_value", subject, "%s is negative", field)
	}
}

func (c *checker) checkVersion(inForce *Config) {
	v := c.config.version
	switch {
	case inForce != nil && v <= inForce.version:
		c.addError("version_not_higher", "version", "%d is not higher than %d, the version in force, so it is ignored", v, inForce.version)
	case v == 0:
		c.addWarning("version_zero", "version", "0 replaces no other version")
	}
}

func routeSubject(r Route) string { return fmt.Sprintf("route %q at %q", r.Name, r.Host+r.Prefix) }

func serviceSubject(s Service) string { return fmt.Sprintf("service %q", s.Name) }

func workspaceSubject(w Workspace) string { return fmt.Sprintf("workspace %q", w.Name) }

func (c *checker) checkRoutes() {
	routes := c.config.routeList
	if len(routes) == 0 {
		c.addError("no_routes", "routes", "there is no route, so every request is refused")
	}
	type address struct{ host, prefix string }
	last := map[address]int{}
	for i, r := range routes {
		last[address{r.Host, r.Prefix}] = i
	}
	names := map[string]Route{}
	for i, r := range routes {
		subject := routeSubject(r)
		if n := last[address{r.Host, r.Prefix}]; n != i {
			c.addError("route_never_matches", subject, "route %q, which is listed later, has the same host and prefix and wins", routes[n].Name)
			continue
		}
		if other, ok := names[r.Name]; ok {
			c.addWarning("route_name_repeated", subject, "%s has the same name, so that their queued jobs are counted together", routeSubject(other))
		}
		names[r.Name] = r
		c.checkAddress(r, subject)
		c.checkPolicy(r, subject)
	}
}

// checkAddress checks which requests reach a route.
func (c *checker) checkAddress(r Route, subject string) {
	if r.Name == "" {
		c.addWarning("no_name", subject, "the name is empty")
	}
	if r.Host == "" {
		c.addError("empty_host", subject, "the host is empty, which matches only requests without a host")
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		c.addError("prefix_without_slash", subject, "no job can be reached, since every path begins with a slash and the prefix does not")
		return
	case !normalized(r.Prefix):
		c.addError("prefix_not_normalized", subject, "the prefix never matches, since //, /./ and /../ are removed from paths")
		return
	case !strings.HasSuffix(r.Prefix, "/"):
		c.addWarning("prefix_without_final_slash", subject, "IDs of jobs follow the prefix directly, so a path that continues with a slash is refused")
	}
	// A longer prefix that continues with the digits of an ID wins for those IDs.
	h := c.config.hosts[r.Host]
	for n := len(r.Prefix) - 1; n >= 0 && len(r.Prefix)-n <= jobIDLength && isHex(r.Prefix[n]); n-- {
		if other, ok := h.byPrefix[r.Prefix[:n]]; ok {
			c.addWarning("route_hides_ids", subject, "requests of %s for jobs whose ID begins with %q match this route", routeSubject(other), r.Prefix[n:])
		}
	}
}

// normalized reports whether a path with this prefix can remain after the callers'
// server has removed empty segments and dot segments.
func normalized(prefix string) bool {
	return !slices.ContainsFunc([]string{"//", "/./", "/../"}, func(s string) bool { return strings.Contains(prefix, s) })
}

func isHex(b byte) bool {
	return '0' <= b && b <= '9' || 'a' <= b && b <= 'f' || 'A' <= b && b <= 'F'
}

// checkPolicy checks what a route specifies for its jobs. Priorities need no order. The
// timeout contradicts no limit, since entries wait as long as the caller's request says.
func (c *checker) checkPolicy(r Route, subject string) {
	if _, ok := c.config.services[r.Service]; !ok {
		c.addError("unknown_service", subject, "service %q is not listed", r.Service)
	}
	switch {
	case r.Stretch <= 0 && r.Objective <= 0:
		c.addError("always_late", subject, "stretch and objective are not positive, so that every job is late")
	case r.Stretch < 1 && r.Objective <= 0:
		c.addWarning("stretch_below_one", subject, "without an objective a stretch of %g is less than the critical path of a job", r.Stretch)
	}
	if r.MaxAttempts == 0 {
		c.addWarning("no_attempts", subject, "there are no attempts; a task is given up after its first failure, as with one attempt")
	}
	c.checkNotNegative(subject, "attempts", r.MaxAttempts < 0)
	c.checkNotNegative(subject, "priority", r.Priority < 0)
	c.checkNotNegative(subject, "stretch", r.Stretch < 0)
	c.checkNotNegative(subject, "objective", r.Objective < 0)
	c.checkNotNegative(subject, "timeout", r.Timeout < 0)
	if r.Advice != nil {
		c.checkNotNegative(subject, "time of the advice service", r.Advice.Base < 0 || r.Advice.PerRunner < 0)
	}
	if a, ok := c.config.advice[r.Name]; ok && (r.Advice == nil || *r.Advice != a) {
		c.addWarning("advice_of_another_route", subject, "the advice settings of another route with this name apply")
	}
}

func (c *checker) checkServices() {
	seen := map[string]bool{}
	for _, s := range c.config.serviceList {
		subject := serviceSubject(s)
		if seen[s.Name] {
			c.addWarning("service_repeated", subject, "the service is listed more than once")
			continue
		}
		seen[s.Name] = true
		if s.Name == "" {
			c.addWarning("no_name", subject, "the name is empty")
		}
		if !slices.ContainsFunc(c.config.routeList, func(r Route) bool { return r.Service == s.Name }) {
			c.addWarning("service_without_route", subject, "no route leads to the service")
		}
	}
}

func (c *checker) checkWorkspaces() {
	last := map[string]int{}
	for i, w := range c.config.workspaceList {
		last[w.Name] = i
	}
	for i, w := range c.config.workspaceList {
		subject := workspaceSubject(w)
		if last[w.Name] != i {
			c.addError("workspace_repeated", subject, "the name is listed again later; the last guarantee applies (%d accelerators), and the keys of all are valid", c.config.Guaranteed(w.Name))
		}
		if w.Name == "" {
			c.addError("no_name", subject, "the name is empty, so that the workspace shares the jobs of public routes")
		}
		if len(w.Keys) == 0 {
			c.addWarning("workspace_without_keys", subject, "there is no key, so that nobody can submit jobs for it")
		}
		c.checkNotNegative(subject, "number of guaranteed accelerators", w.Guaranteed < 0)
	}
}

func (c *checker) checkKeys() {
	type use struct{ key, workspace string }
	seen := map[use]bool{}
	for _, w := range c.config.workspaceList {
		subject := workspaceSubject(w)
		for _, k := range w.Keys {
			winner, _ := c.config.WorkspaceByKey(k)
			switch u := (use{k, w.Name}); {
			case seen[u]:
				c.addWarning("key_repeated", subject, "%s is listed more than once", KeyLabel(k))
			case winner != w.Name:
				c.addError("key_of_two_workspaces", subject, "%s is also listed by workspace %q, which is listed later and wins", KeyLabel(k), winner)
			}
			seen[use{k, w.Name}] = true
			if k == "" {
				c.addError("empty_key", subject, "a key is empty, so that requests without a key are accepted for workspace %q", winner)
			}
			if limit := c.config.limits.HeaderBytes; limit > 0 && len(k) >= limit {
				c.addError("header_limit_below_key", subject, "requests with %s are refused: the key has %d bytes and the header of a request at most %d", KeyLabel(k), len(k), limit)
			}
		}
	}
}

func (c *checker) checkGuarantees() {
	sum := 0
	for _, w := range c.config.workspaces {
		sum += max(w.Guaranteed, 0)
	}
	if c.bounds.Accelerators > 0 && sum > c.bounds.Accelerators {
		c.addError("guarantees_above_pool", "guarantees", "%d accelerators are guaranteed and the runners have %d", sum, c.bounds.Accelerators)
	}
}

// checkLimits checks the limits of a request. The header timeout and the idle timeout
// don't contradict each other, since they bound different phases of a connection.
func (c *checker) checkLimits() {
	const subject = "limits"
	l, server := c.config.limits, c.bounds.Server
	c.checkNotNegative(subject, "header size", l.HeaderBytes < 0)
	c.checkNotNegative(subject, "body size", l.BodyBytes < 0)
	c.checkNotNegative(subject, "header timeout", l.HeaderTimeout < 0)
	c.checkNotNegative(subject, "idle timeout", l.IdleTimeout < 0)
	if l.BodyBytes > 0 && l.BodyBytes < c.bounds.LargestSpecBody {
		c.addError("body_limit_below_spec", subject, "the body size of %d bytes is too small for a job with the largest valid spec, which needs %d", l.BodyBytes, c.bounds.LargestSpecBody)
	}
	for _, x := range []struct {
		name         string
		noEffect     bool
		limit, bound string
	}{
		{"header size", server.HeaderBytes > 0 && l.HeaderBytes > server.HeaderBytes, formatBytes(l.HeaderBytes), formatBytes(server.HeaderBytes)},
		{"body size", server.BodyBytes > 0 && l.BodyBytes > server.BodyBytes, formatBytes(l.BodyBytes), formatBytes(server.BodyBytes)},
		{"header timeout", server.HeaderTimeout > 0 && l.HeaderTimeout > server.HeaderTimeout, formatTimeout(l.HeaderTimeout), formatTimeout(server.HeaderTimeout)},
	} {
		if x.noEffect {
			c.addWarning("limit_without_effect", subject, "the %s of %s has no effect, since entries apply %s in any case", x.name, x.limit, x.bound)
		}
	}
}
