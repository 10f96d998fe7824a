// Package jayconfig holds one version of the operators' configuration on the users'
// platform: routes, services, workspaces with their API keys, and the limits of a
// request. The role cell-entry uses it; the role entry has a manifest (jaymanifest).
package jayconfig

import (
	"crypto/sha256"
	"slices"
	"strings"
	"time"
)

// Route maps a host and path prefix to a queue of jobs.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Service string
	Public  bool
	// Priority is the rank of the route's jobs; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs after which a task is given up.
	MaxAttempts int
	// Stretch and Objective define the completion time objective of a job: Stretch
	// times its critical path, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Timeout is the longest time for one request.
	Timeout time.Duration
	// Advice is set where an advice service decides which runners may run the
	// route's steps.
	Advice *Advice
}

// Advice describes the latency of the advice service: a query takes Base plus
// PerRunner for every runner in it. Its answers carry their own validity period.
type Advice struct {
	Base      time.Duration
	PerRunner time.Duration
}

// Service is a named pool of runners.
type Service struct {
	Name string
}

// Workspace is a tenant with API keys and guaranteed accelerators.
type Workspace struct {
	Name       string
	Keys       []string
	Guaranteed int
}

// Limits bound one HTTP request. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// hostRoutes are the routes of one host. A path is looked up once for each
// distinct prefix length, so the cost grows neither with the number of routes nor
// with the length of the path.
type hostRoutes struct {
	byPrefix map[string]Route
	// prefixLengths holds the distinct prefix lengths in descending order.
	prefixLengths []int
}

func (h *hostRoutes) indexPrefixLengths() {
	for p := range h.byPrefix {
		if !slices.Contains(h.prefixLengths, len(p)) {
			h.prefixLengths = append(h.prefixLengths, len(p))
		}
	}
	slices.Sort(h.prefixLengths)
	slices.Reverse(h.prefixLengths)
}

// Config is one immutable version of the configuration, indexed for lookups.
type Config struct {
	version uint64
	// The lists are as decoded. The indexes hold the last of several entries with the
	// same key.
	routeList     []Route
	serviceList   []Service
	workspaceList []Workspace

	hosts      map[string]*hostRoutes
	services   map[string]Service
	workspaces map[string]Workspace
	keys       map[[sha256.Size]byte]string
	advice     map[string]Advice
	limits     Limits
}

// NewConfig builds the indexes of one version.
func NewConfig(version uint64, routes []Route, services []Service, workspaces []Workspace, limits Limits) *Config {
	c := &Config{version: version, routeList: routes, serviceList: services, workspaceList: workspaces, hosts: map[string]*hostRoutes{}, services: map[string]Service{}, workspaces: map[string]Workspace{}, keys: map[[sha256.Size]byte]string{}, advice: map[string]Advice{}, limits: limits}
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
		h.indexPrefixLengths()
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

// Version returns the version number, which increases with every change.
func (c *Config) Version() uint64 { return c.version }

// Routes returns the routes as decoded, including those that a later one replaces.
func (c *Config) Routes() []Route { return c.routeList }

// Services returns the services as decoded.
func (c *Config) Services() []Service { return c.serviceList }

// Workspaces returns the workspaces as decoded, including those that a later one
// replaces.
func (c *Config) Workspaces() []Workspace { return c.workspaceList }

// Limits returns the limits of a request.
func (c *Config) Limits() Limits { return c.limits }

// Match returns the host's route with the longest matching path prefix.
func (c *Config) Match(host, path string) (Route, bool) {
	h := c.hosts[host]
	if h == nil {
		return Route{}, false
	}
	for _, n := range h.prefixLengths {
		if n > len(path) {
			continue
		}
		if r, ok := h.byPrefix[path[:n]]; ok {
			return r, true
		}
	}
	return Route{}, false
}

// WorkspaceByKey returns the name of the workspace that owns the API key. Keys
// are looked up by their hash, so response times leak nothing about a key.
func (c *Config) WorkspaceByKey(key string) (string, bool) {
	name, ok := c.keys[sha256.Sum256([]byte(key))]
	return name, ok
}

// Guaranteed returns the number of accelerators guaranteed to a workspace.
func (c *Config) Guaranteed(workspace string) int { return c.workspaces[workspace].Guaranteed }

// GuaranteedAccelerators returns the sum of the accelerators guaranteed to all workspaces.
func (c *Config) GuaranteedAccelerators() int {
	n := 0
	for _, w := range c.workspaces {
		n += w.Guaranteed
	}
	return n
}

// Advice returns the advice settings of a route. False means that its steps need
// no admission ticket.
func (c *Config) Advice(route string) (Advice, bool) {
	a, ok := c.advice[route]
	return a, ok
}

// Service returns a service by its name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// NormalizeHost returns a Host header in lower case and without its port.
func NormalizeHost(header string) string {
	host, _, _ := strings.Cut(header, ":")
	return strings.ToLower(host)
}
