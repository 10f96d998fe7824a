// Package jayconfig holds one version of the operators' configuration: routes,
// services, workspaces with their keys and the limits of a request.
package jayconfig

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Route is a queue of jobs.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Service   string
	Public    bool
	Priority  int
	Attempts  int
	Stretch   float64
	Objective time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Advice is set where only some runners may run the route's steps.
	Advice *Advice
}

// Advice tells how the service that knows those runners answers: a question takes
// Base and Each for every runner that it names. How long the answer holds comes
// with it.
type Advice struct {
	Base      time.Duration
	PerRunner time.Duration
}

// Service is a pool of runners.
type Service struct {
	Name string
	// AdmissionCheck tells that its runners refuse what does not fit into them.
	AdmissionCheck bool
}

// Workspace holds guaranteed accelerators.
type Workspace struct {
	Name       string
	Keys       []string
	Guaranteed int
}

// Limits bound one request. A zero is no bound.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// hostRoutes are the routes of one host. A path is looked up once for each length
// that a prefix has, so that neither many routes nor a long path cost more.
type hostRoutes struct {
	byPrefix map[string]Route
	// lengths are the lengths of the prefixes, the longest first.
	lengths []int
}

func (h *hostRoutes) measure() {
	for p := range h.byPrefix {
		if !slices.Contains(h.lengths, len(p)) {
			h.lengths = append(h.lengths, len(p))
		}
	}
	slices.Sort(h.lengths)
	slices.Reverse(h.lengths)
}

// Config is one version.
type Config struct {
	version    uint64
	hosts      map[string]*hostRoutes
	services   map[string]Service
	workspaces map[string]Workspace
	keys       map[[sha256.Size]byte]string
	advice     map[string]Advice
	limits     Limits
}

// NewConfig indexes one version.
func NewConfig(version uint64, routes []Route, services []Service, workspaces []Workspace, limits Limits) *Config {
	c := &Config{version: version, hosts: map[string]*hostRoutes{}, services: map[string]Service{}, workspaces: map[string]Workspace{}, keys: map[[sha256.Size]byte]string{}, advice: map[string]Advice{}, limits: limits}
	for _, r := range routes {
		if c.hosts[r.Host] == nil {
			c.hosts[r.Host] = &hostRoutes{byPrefix: map[string]Route{}}
		}
		c.hosts[r.Host].byPrefix[r.Prefix] = r
		if r.Advice != nil {
			c.advice[r.Name] = *r.Advice
		}
	}
	for _, h := range c.hosts {
		h.measure()
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, w := range workspaces {
		c.workspaces[w.Name] = w
		for _, k := range w.Keys {
			c.keys[sha256.Sum256([]byte(k))] = w.Name
		}
	}
	return c
}

// Version returns the number that grows with each configuration.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits of a request.
func (c *Config) Limits() Limits { return c.limits }

// Match returns the route with the longest prefix of the path.
func (c *Config) Match(host, path string) (Route, bool) {
	h := c.hosts[host]
	if h == nil {
		return Route{}, false
	}
	for _, n := range h.lengths {
		if n > len(path) {
			continue
		}
		if r, ok := h.byPrefix[path[:n]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// WorkspaceByKey returns the workspace that holds the key. Keys are looked up by
// their hash, so that the time taken tells nothing about a key.
func (c *Config) WorkspaceByKey(key string) (string, bool) {
	name, ok := c.keys[sha256.Sum256([]byte(key))]
	return name, ok
}

// Guaranteed returns how many accelerators a workspace can always get back.
func (c *Config) Guaranteed(workspace string) int { return c.workspaces[workspace].Guaranteed }

// Advice returns how questions about a route are answered, and whether its steps
// need tickets.
func (c *Config) Advice(route string) (Advice, bool) {
	a, ok := c.advice[route]
	return a, ok
}

// Service returns a service by its name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// NormalizeHost returns a Host header without its port.
func NormalizeHost(header string) string {
	host, _, _ := strings.Cut(header, ":")
	return strings.ToLower(host)
}
