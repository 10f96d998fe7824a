package jaysettings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Roles of the users' platform; its template fills in their settings.
const (
	RoleCellEntry Role = "cell-entry"
	RoleCellAgent Role = "cell-side"
)

// Cell holds the settings of both roles on the users' platform.
type Cell struct {
	Name       string
	DataCentre string
	Service    string
	// Callers, Readiness and Control are where the role is reached from outside;
	// a role has only some of them.
	Callers   string
	Readiness string
	Control   string
	Link      string
	// LinkAnnounced is where others reach the link; empty is where it listens.
	LinkAnnounced string
	Metrics       string
	Seeds         string
	Store         string
	// Advice is empty where there is no advice service.
	Advice string
	Runner string
	// Orders is how the runner takes its orders: OrdersByCall or
	// OrdersByHeartbeat.
	Orders            string
	HeartbeatInterval time.Duration
	MaxLease          time.Duration
	StopTimeout       time.Duration
	GangTimeout       time.Duration
	ReclaimDeadline   time.Duration
	Retention         time.Duration
	// Cores is the processor that the process has; zero is not known.
	Cores float64
	// RemoteSlowdown is how many times longer work takes that is far from its rack.
	RemoteSlowdown float64
	GracePeriod    time.Duration
}

// The ways in which a runner takes its orders.
const (
	OrdersByCall      = "call"
	OrdersByHeartbeat = "heartbeat"
)

func defaultCell() Cell {
	return Cell{
		Orders: OrdersByCall, HeartbeatInterval: 1500 * time.Millisecond,
		MaxLease: 10 * time.Second, StopTimeout: 900 * time.Millisecond, GangTimeout: 3 * time.Second, ReclaimDeadline: 3400 * time.Millisecond,
		Retention: 120 * time.Second, RemoteSlowdown: 3, GracePeriod: 6 * time.Second,
	}
}

func (c *Cell) common() []field {
	return []field{
		text("process", "name", "name of this process, unique in the deployment", "edge-fryserum-a-1", true, &c.Name),
		text("process", "data_centre", "data centre that this process runs in", "fryserum-a", true, &c.DataCentre),
		address("listen", "metrics", "address of this process's metrics", "127.0.0.1:7001", true, &c.Metrics),
		text("peers", "seeds", "control addresses of entries, which may be gone, separated by commas", "127.0.0.1:8526", false, &c.Seeds),
		address("store", "address", "address of the platform's log", "127.0.0.1:8524", true, &c.Store),
		amount("bounds", "hold_most_ms", "longest lease of a run, in milliseconds", time.Millisecond, &c.MaxLease),
		amount("bounds", "stop_ms", "longest time that a runner takes to stop a run, in milliseconds", time.Millisecond, &c.StopTimeout),
		amount("bounds", "gang_ms", "time for which members of a gang wait for each other, in milliseconds", time.Millisecond, &c.GangTimeout),
		amount("bounds", "reclaim_ms", "time within which a guaranteed job begins, in milliseconds", time.Millisecond, &c.ReclaimDeadline),
		amount("bounds", "retention_s", "time for which an ended job can be asked about, in seconds", time.Second, &c.Retention),
		ratio("process", "cores", "processor of this process, in cores", 0, &c.Cores),
		ratio("bounds", "far_factor", "how many times longer work takes that is far from its rack or data", 1, &c.RemoteSlowdown),
		amount("bounds", "grace_s", "time between SIGTERM and SIGKILL, in seconds", time.Second, &c.GracePeriod),
	}
}

func (c *Cell) entryFields() []field {
	return append(c.common(),
		address("listen", "callers", "address for callers", "127.0.0.1:8521", true, &c.Callers),
		address("listen", "readiness", "address of the readiness check", "127.0.0.1:8523", true, &c.Readiness),
		address("listen", "control", "address that other processes know as a seed", "127.0.0.1:8526", true, &c.Control),
		address("listen", "link", "address for links of sides and entries", "127.0.0.1:7000", true, &c.Link),
		address("listen", "link_announced", "address at which others reach the link; empty is the one that it listens on", "127.0.0.1:7000", false, &c.LinkAnnounced),
		address("advice", "address", "address of the service that knows which runners may run a step; empty is none", "127.0.0.1:8525", false, &c.Advice),
	)
}

func (c *Cell) sideFields() []field {
	return append(c.common(),
		address("listen", "control", "address for the runner's own reports", "127.0.0.1:8526", true, &c.Control),
		address("listen", "link", "address whose port entries take links on", "127.0.0.1:7000", true, &c.Link),
		address("runner", "address", "address of the runner beside this process", "127.0.0.1:8529", true, &c.Runner),
		choice("runner", "orders", "how the runner takes its orders; empty is by call", OrdersByCall, &c.Orders, OrdersByCall, OrdersByHeartbeat),
		amount("runner", "heartbeat_ms", "time between two heartbeats of the runner, in milliseconds", time.Millisecond, &c.HeartbeatInterval),
		text("runner", "service", "service that the runner belongs to", "ordrevagt", true, &c.Service),
	)
}

// ParseCellEntry reads and checks the settings of an entry on the users'
// platform.
func ParseCellEntry(s Source) (Cell, error) {
	c := defaultCell()
	return c, s.decode(c.entryFields())
}

// ParseCellAgent reads and checks the settings of a side on the users' platform.
func ParseCellAgent(s Source) (Cell, error) {
	c := defaultCell()
	return c, s.decode(c.sideFields())
}

// Lease returns how long a run outlives the last grant to its side: at most six
// seconds, so that lost work starts again within the users' patience, and less
// than the runner's own bound, for which the runner's clock may be 2% slow.
func (c Cell) Lease() time.Duration {
	const most = 6 * time.Second
	return min(most, c.MaxLease*9/10)
}

// choice is one of some words. An empty value keeps the default.
func choice(section, key, doc, example string, target *string, words ...string) field {
	return field{section: section, key: key, doc: doc, allowed: strings.Join(words, " or ") + ", or empty", example: example, set: func(s string) bool {
		if s == "" {
			return true
		}
		*target = s
		return slices.Contains(words, s)
	}}
}

// ratio is a number from low on. An empty value keeps the default.
func ratio(section, key, doc string, low float64, target *float64) field {
	return field{section: section, key: key, doc: doc, allowed: fmt.Sprintf("number from %g to 1000, or empty", low), example: strconv.FormatFloat(*target, 'f', -1, 64), set: func(s string) bool {
		if s == "" {
			return true
		}
		n, err := strconv.ParseFloat(s, 64)
		*target = n
		return err == nil && n >= low && n <= 1000
	}}
}

// amount is a time given as a number of units, which may have a fraction. An
// empty value keeps the default: not every deployment has every bound.
func amount(section, key, doc string, unit time.Duration, target *time.Duration) field {
	return field{section: section, key: key, doc: doc, allowed: "number from 0 to 1000000, or empty", example: strconv.FormatFloat(float64(*target)/float64(unit), 'f', -1, 64), set: func(s string) bool {
		if s == "" {
			return true
		}
		n, err := strconv.ParseFloat(s, 64)
		*target = time.Duration(n * float64(unit))
		return err == nil && n >= 0 && n <= 1_000_000
	}}
}
