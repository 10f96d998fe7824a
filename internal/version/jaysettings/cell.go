package jaysettings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Roles of processes on the users' platform (package platform), which generates their
// settings from a template.
const (
	RoleCellEntry Role = "cell-entry"
	RoleCellAgent Role = "cell-side"
)

// Cell holds the settings of the cell-entry and cell-side roles.
type Cell struct {
	Name       string
	DataCentre string
	Service    string
	// Callers, Readiness and Control are listen addresses; a role has only some of
	// them.
	Callers   string
	Readiness string
	Control   string
	Link      string
	// LinkAnnounced is the address at which other processes dial Link; empty means
	// Link itself.
	LinkAnnounced string
	Metrics       string
	Seeds         string
	Store         string
	// StoreRecordBytes and StoreCallBytes bound a record of the store and the records of one append.
	StoreRecordBytes int
	StoreCallBytes   int
	// Advice is the address of the advice service, or empty if there is none.
	Advice string
	Runner string
	// Orders is how the runner receives orders: OrdersByCall or OrdersByHeartbeat.
	Orders            string
	HeartbeatInterval time.Duration
	MaxLease          time.Duration
	StopTimeout       time.Duration
	GangTimeout       time.Duration
	ReclaimDeadline   time.Duration
	// EvacuationBound is zero where operators take no data centre out of service.
	EvacuationBound time.Duration
	Retention       time.Duration
	// Cores is the number of CPU cores that the process may use; zero means unknown.
	Cores float64
	// MemoryMB and Descriptors are the memory, in MiB, and the file descriptors that the process may use.
	MemoryMB    int
	Descriptors int
	// RemoteSlowdown is the factor by which work away from its rack or data runs
	// longer.
	RemoteSlowdown float64
	GracePeriod    time.Duration
	// Admission is whether an entry refuses jobs for lack of capacity: AdmissionOn or
	// AdmissionOff.
	Admission string
}

// How a runner receives orders.
const (
	OrdersByCall      = "call"
	OrdersByHeartbeat = "heartbeat"
)

// Whether an entry refuses jobs that certainly cannot be completed in time.
const (
	AdmissionOn  = "on"
	AdmissionOff = "off"
)

func defaultCell() Cell {
	return Cell{
		MemoryMB: 256, Descriptors: 4096,
		Orders: OrdersByCall, HeartbeatInterval: 1500 * time.Millisecond,
		MaxLease: 10 * time.Second, StopTimeout: 900 * time.Millisecond, GangTimeout: 3 * time.Second, ReclaimDeadline: 3400 * time.Millisecond,
		StoreRecordBytes: 256 << 10, StoreCallBytes: 2 << 20,
		Retention: 120 * time.Second, RemoteSlowdown: 3, GracePeriod: 6 * time.Second, Admission: AdmissionOff,
	}
}

func (c *Cell) commonFields() []field {
	return []field{
		text("process", "name", "name of this process, unique in the deployment", "edge-fryserum-a-1", true, &c.Name),
		text("process", "data_centre", "data centre that this process runs in", "fryserum-a", true, &c.DataCentre),
		address("listen", "metrics", "address of this process's metrics", "127.0.0.1:7001", true, &c.Metrics),
		text("peers", "seeds", "control addresses of entries, separated by commas; some may be unreachable", "127.0.0.1:8526", false, &c.Seeds),
		address("store", "address", "address of the platform's log", "127.0.0.1:8524", true, &c.Store),
		scaledDuration("bounds", "hold_most_ms", "longest lease of a run, in milliseconds", time.Millisecond, &c.MaxLease),
		scaledDuration("bounds", "stop_ms", "longest time that a runner takes to stop a run, in milliseconds", time.Millisecond, &c.StopTimeout),
		scaledDuration("bounds", "gang_ms", "time for which members of a gang wait for each other, in milliseconds", time.Millisecond, &c.GangTimeout),
		scaledDuration("bounds", "reclaim_ms", "time within which a guaranteed job starts, in milliseconds", time.Millisecond, &c.ReclaimDeadline),
		scaledDuration("bounds", "evacuation_ms", "time within which no more tasks start in a data centre that operators take out of service, in milliseconds; 0 means that they take none", time.Millisecond, &c.EvacuationBound),
		scaledDuration("bounds", "retention_s", "time for which an ended job can be queried, in seconds", time.Second, &c.Retention),
		floatNumber("process", "cores", "CPU cores of this process", 0, &c.Cores),
		amount("process", "memory_mb", "memory of this process, in MiB; connections of clients get a quarter of it", 32, 1<<20, &c.MemoryMB),
		amount("process", "descriptors", "file descriptors of this process, of which connections of clients get a part", 64, 1<<24, &c.Descriptors),
		floatNumber("bounds", "far_factor", "factor by which work away from its rack or data takes longer", 1, &c.RemoteSlowdown),
		scaledDuration("bounds", "grace_s", "time between SIGTERM and SIGKILL, in seconds", time.Second, &c.GracePeriod),
	}
}

func (c *Cell) entryFields() []field {
	return append(c.commonFields(),
		address("listen", "callers", "address for callers", "127.0.0.1:8521", true, &c.Callers),
		address("listen", "readiness", "address of the readiness check", "127.0.0.1:8523", true, &c.Readiness),
		address("listen", "control", "control address, which other processes list among their seeds", "127.0.0.1:8526", true, &c.Control),
		address("listen", "link", "address for links of sides and entries", "127.0.0.1:7000", true, &c.Link),
		address("listen", "link_announced", "link address that is announced to other processes; empty means the listen address", "127.0.0.1:7000", false, &c.LinkAnnounced),
		byteCount("store", "record_bytes", "largest record that the store accepts, in bytes", &c.StoreRecordBytes),
		byteCount("store", "call_bytes", "largest sum of the records of one append, in bytes", &c.StoreCallBytes),
		address("advice", "address", "address of the service that decides which runners may run a step; empty for none", "127.0.0.1:8525", false, &c.Advice),
		choice("overload", "admission", "whether jobs that certainly cannot be completed in time are refused; empty means off", AdmissionOff, &c.Admission, AdmissionOn, AdmissionOff),
	)
}

func (c *Cell) agentFields() []field {
	return append(c.commonFields(),
		address("listen", "control", "address for the runner's reports", "127.0.0.1:8526", true, &c.Control),
		address("listen", "link", "address with the port on which entries accept links", "127.0.0.1:7000", true, &c.Link),
		address("runner", "address", "address of the runner beside this process", "127.0.0.1:8529", true, &c.Runner),
		choice("runner", "orders", "how the runner receives orders; empty means by call", OrdersByCall, &c.Orders, OrdersByCall, OrdersByHeartbeat),
		scaledDuration("runner", "heartbeat_ms", "interval of the runner's heartbeats, in milliseconds", time.Millisecond, &c.HeartbeatInterval),
		text("runner", "service", "service that the runner belongs to", "ordrevagt", true, &c.Service),
	)
}

// ParseCellEntry parses and validates the settings of the role cell-entry.
func ParseCellEntry(s Source) (Cell, error) {
	c := defaultCell()
	return c, s.decode(c.entryFields())
}

// ParseCellAgent parses and validates the settings of the role cell-side.
func ParseCellAgent(s Source) (Cell, error) {
	c := defaultCell()
	return c, s.decode(c.agentFields())
}

// Lease returns how long a run continues after its agent's last lease grant. It is
// at most 6 s, so that lost work restarts before users give up on it, and below the
// runner's own bound, measured by a clock that may be 2% slow.
func (c Cell) Lease() time.Duration {
	const maxLease = 6 * time.Second
	return min(maxLease, c.MaxLease*9/10)
}

// choice is one of the given words. An empty value keeps the default.
func choice(section, key, doc, example string, target *string, words ...string) field {
	return field{section: section, key: key, doc: doc, allowed: strings.Join(words, " or ") + ", or empty", example: example, set: func(s string) bool {
		if s == "" {
			return true
		}
		*target = s
		return slices.Contains(words, s)
	}}
}

// floatNumber is a number from low to 1000. An empty value keeps the default.
func floatNumber(section, key, doc string, low float64, target *float64) field {
	return field{section: section, key: key, doc: doc, allowed: fmt.Sprintf("number from %g to 1000, or empty", low), example: strconv.FormatFloat(*target, 'f', -1, 64), set: func(s string) bool {
		if s == "" {
			return true
		}
		n, err := strconv.ParseFloat(s, 64)
		*target = n
		return err == nil && n >= low && n <= 1000
	}}
}

// byteCount is a number of bytes that holds at least the smallest records. An empty value keeps the
// default.
func byteCount(section, key, doc string, target *int) field {
	const low, high = 16 << 10, 1 << 30
	f := integer(section, key, doc, low, high, target)
	set := f.set
	f.allowed += ", or empty"
	f.set = func(s string) bool { return s == "" || set(s) }
	return f
}

// amount is a whole number that may be written with a fraction, which is dropped. An empty value keeps
// the default.
func amount(section, key, doc string, low, high int, target *int) field {
	return field{section: section, key: key, doc: doc, allowed: fmt.Sprintf("number from %d to %d, or empty", low, high), example: strconv.Itoa(*target), set: func(s string) bool {
		if s == "" {
			return true
		}
		n, err := strconv.ParseFloat(s, 64)
		if err != nil || !(n >= float64(low) && n <= float64(high)) {
			return false
		}
		*target = int(n)
		return true
	}}
}

// scaledDuration is a duration given as a number of units, possibly fractional. An
// empty value keeps the default, because not every deployment has every bound.
func scaledDuration(section, key, doc string, unit time.Duration, target *time.Duration) field {
	return field{section: section, key: key, doc: doc, allowed: "number from 0 to 1000000, or empty", example: strconv.FormatFloat(float64(*target)/float64(unit), 'f', -1, 64), set: func(s string) bool {
		if s == "" {
			return true
		}
		n, err := strconv.ParseFloat(s, 64)
		*target = time.Duration(n * float64(unit))
		return err == nil && n >= 0 && n <= 1_000_000
	}}
}
