package jaysettings

import (
	"errors"
	"fmt"
	"time"
)

// Role is the kind of process that a settings file configures.
type Role string

// The roles that have settings.
const (
	RoleEntry   Role = "entry"
	RoleAgent   Role = "side"
	RoleStandin Role = "standin"
)

// UnknownRoleError reports a role that has no settings.
type UnknownRoleError struct{ Role string }

// Error implements error.
func (e *UnknownRoleError) Error() string {
	return fmt.Sprintf("role: given %q, allowed: entry, side or standin, and on the users' platform cell-entry or cell-side", e.Role)
}

// Example returns valid settings of the role.
func Example(role Role) (string, error) {
	switch role {
	case RoleEntry:
		e := defaultEntry()
		return example(e.fields()), nil
	case RoleAgent:
		s := defaultAgent()
		return example(s.fields()), nil
	case RoleStandin:
		s := defaultStandin()
		return example(s.fields()), nil
	case RoleCellEntry:
		c := defaultCell()
		return example(c.entryFields()), nil
	case RoleCellAgent:
		c := defaultCell()
		return example(c.agentFields()), nil
	}
	return "", &UnknownRoleError{Role: string(role)}
}

// Check validates the settings of the role. It returns an InvalidError if they are
// invalid.
func Check(role Role, s Source) error {
	var err error
	switch role {
	case RoleEntry:
		_, err = ParseEntry(s)
	case RoleAgent:
		_, err = ParseAgent(s)
	case RoleStandin:
		_, err = ParseStandin(s)
	case RoleCellEntry:
		_, err = ParseCellEntry(s)
	case RoleCellAgent:
		_, err = ParseCellAgent(s)
	default:
		return &UnknownRoleError{Role: string(role)}
	}
	return err
}

// Roles returns all roles that have settings.
func Roles() []Role {
	return []Role{RoleEntry, RoleAgent, RoleStandin, RoleCellEntry, RoleCellAgent}
}

// DetectRole returns the role for which the settings have the fewest problems.
func DetectRole(s Source) Role {
	best, fewest := RoleEntry, -1
	for _, role := range Roles() {
		var invalid *InvalidError
		problems := 0
		if err := Check(role, s); errors.As(err, &invalid) {
			problems = len(invalid.Problems)
		}
		if fewest < 0 || problems < fewest {
			best, fewest = role, problems
		}
	}
	return best
}

// Entry holds the settings of an entry.
type Entry struct {
	Name              string
	DataCentre        string
	HTTP              string
	Link              string
	Log               string
	Entries           []string
	SharedKey         string
	OperatorKey       string
	Certificate       string
	PrivateKey        string
	Authority         string
	QueueLimit        int
	MaxBodyBytes      int
	MaxLinks          int
	MaxCallers        int
	MemoryMB          int
	Descriptors       int
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration
	Lease             time.Duration
	DrainTimeout      time.Duration
	KeyRetention      time.Duration
	JobRetention      time.Duration
	SnapshotEvery     int
}

func defaultEntry() Entry {
	return Entry{
		QueueLimit:        2000,
		MaxBodyBytes:      2 << 20,
		MaxLinks:          4096,
		MaxCallers:        16384,
		MemoryMB:          2048,
		Descriptors:       32768,
		HeartbeatInterval: 500 * time.Millisecond,
		SilenceTimeout:    2 * time.Second,
		Lease:             4 * time.Second,
		DrainTimeout:      30 * time.Second,
		KeyRetention:      24 * time.Hour,
		JobRetention:      time.Hour,
		SnapshotEvery:     5000,
	}
}

// DefaultEntry returns defaults for everything but names and addresses.
func DefaultEntry() Entry { return defaultEntry() }

func (e *Entry) fields() []field {
	all := append([]field{
		text("process", "name", "name of this process, unique in the deployment", "entry-1", true, &e.Name),
		text("process", "data_centre", "data centre that this process runs in", "fryserum-a", true, &e.DataCentre),
		integer("process", "memory_mb", "memory of this process, in MiB; connections of clients get a quarter of it", 32, 1<<20, &e.MemoryMB),
		integer("process", "descriptors", "file descriptors of this process, of which connections of clients get a part", 64, 1<<24, &e.Descriptors),
		address("listen", "http", "address for callers and operators", "127.0.0.1:8080", true, &e.HTTP),
		address("listen", "link", "address for sides and other entries", "127.0.0.1:8081", true, &e.Link),
		address("log", "address", "address of the platform's log service", "127.0.0.1:8090", true, &e.Log),
		addresses("peers", "entries", "link addresses of entries to start from", "127.0.0.1:8081, 127.0.0.1:8181", &e.Entries),
		integer("limits", "queue_limit", "jobs of one workspace and class that may wait", 1, 1_000_000, &e.QueueLimit),
		integer("limits", "max_body_bytes", "bytes of one caller's request body", 1024, 64<<20, &e.MaxBodyBytes),
		integer("limits", "max_links", "links from sides and entries at once", 1, 65536, &e.MaxLinks),
		integer("limits", "max_callers", "connections of callers at once", 1, 1<<20, &e.MaxCallers),
		duration("limits", "drain_timeout", "time that work in flight gets at a graceful shutdown", 0, time.Hour, &e.DrainTimeout),
		duration("state", "key_retention", "time for which an idempotency key is remembered", time.Minute, 30*24*time.Hour, &e.KeyRetention),
		duration("state", "job_retention", "time for which an ended job can be queried", time.Second, 30*24*time.Hour, &e.JobRetention),
		integer("state", "snapshot_every", "records of the job stream between two snapshots", 10, 1<<20, &e.SnapshotEvery),
	}, linkFields(&e.HeartbeatInterval, &e.SilenceTimeout, &e.Lease, &e.SharedKey, &e.Certificate, &e.PrivateKey, &e.Authority)...)
	return append(all, text("security", "operator_key", "key of operators' commands; empty turns them off", "change-this-key", false, &e.OperatorKey))
}

func linkFields(heartbeatInterval, silenceTimeout, lease *time.Duration, key, certificate, privateKey, authority *string) []field {
	return []field{
		duration("timing", "beat", "interval of a link's heartbeats", 10*time.Millisecond, time.Minute, heartbeatInterval),
		duration("timing", "silence", "time after which a silent link is replaced", 50*time.Millisecond, 10*time.Minute, silenceTimeout),
		duration("timing", "lease", "time after which a member that cannot reach its coordinator stops", 100*time.Millisecond, 10*time.Minute, lease),
		text("security", "shared_key", "secret of the links between processes; empty for none", "change-this-secret", false, key),
		text("security", "certificate", "file of the TLS certificate; empty for none", "", false, certificate),
		text("security", "private_key", "file of the TLS private key; empty for none", "", false, privateKey),
		text("security", "authority", "file of the certificates that peers are verified against; empty for the system's", "", false, authority),
	}
}

// ParseEntry parses and validates an entry's settings.
func ParseEntry(s Source) (Entry, error) {
	e := defaultEntry()
	if err := s.decode(e.fields()); err != nil {
		return Entry{}, err
	}
	return e, s.checkMinimum("timing.silence", e.SilenceTimeout, "at least twice timing.beat", 2*e.HeartbeatInterval)
}

// checkMinimum returns an InvalidError if a duration is below the minimum that
// another key implies.
func (s Source) checkMinimum(key string, value time.Duration, allowed string, minimum time.Duration) error {
	if value >= minimum {
		return nil
	}
	return &InvalidError{Problems: []Problem{{File: s.file, Line: s.line("timing", "silence"), Key: key, Value: value.String(), Allowed: allowed}}}
}

// Agent holds the settings of an agent, whose role is named side in settings.
type Agent struct {
	Name               string
	DataCentre         string
	Rack               string
	Cell               string
	Link               string
	Entries            []string
	Worker             string
	Runner             string
	Service            string
	Accelerators       int
	Slots              int
	Connections        int
	SharedKey          string
	Certificate        string
	PrivateKey         string
	Authority          string
	HeartbeatInterval  time.Duration
	SilenceTimeout     time.Duration
	Lease              time.Duration
	WorkerLease        time.Duration
	CheckpointTimeout  time.Duration
	DrainTimeout       time.Duration
	TombstoneRetention time.Duration
}

func defaultAgent() Agent {
	return Agent{
		Accelerators:       8,
		Slots:              8,
		Connections:        64,
		HeartbeatInterval:  500 * time.Millisecond,
		SilenceTimeout:     2 * time.Second,
		Lease:              4 * time.Second,
		WorkerLease:        4 * time.Second,
		CheckpointTimeout:  2 * time.Second,
		DrainTimeout:       30 * time.Second,
		TombstoneRetention: 10 * time.Minute,
	}
}

// DefaultAgent returns defaults for everything but names and addresses.
func DefaultAgent() Agent { return defaultAgent() }

func (a *Agent) fields() []field {
	return append([]field{
		text("process", "name", "name of this process and of its worker, unique in the deployment", "side-1", true, &a.Name),
		text("process", "data_centre", "data centre that this process runs in", "fryserum-a", true, &a.DataCentre),
		text("process", "rack", "rack that the worker is in", "rack-1", true, &a.Rack),
		text("process", "cell", "cell that the worker belongs to", "cell-1", true, &a.Cell),
		address("listen", "link", "address for links between members of a gang", "127.0.0.1:8201", true, &a.Link),
		addresses("peers", "entries", "link addresses of entries to start from", "127.0.0.1:8081, 127.0.0.1:8181", &a.Entries),
		address("worker", "address", "address of the worker's interface", "127.0.0.1:9101", true, &a.Worker),
		integer("worker", "accelerators", "accelerators of the worker", 0, 64, &a.Accelerators),
		duration("worker", "lease", "lease of each task at the worker", 100*time.Millisecond, 10*time.Minute, &a.WorkerLease),
		duration("worker", "checkpoint_timeout", "time that a task gets to write its checkpoint", 10*time.Millisecond, 10*time.Minute, &a.CheckpointTimeout),
		address("runner", "address", "address of the runner's interface", "127.0.0.1:9201", true, &a.Runner),
		text("runner", "service", "service that the runner belongs to", "ordrevagt", true, &a.Service),
		integer("runner", "slots", "requests that the runner processes at once", 1, 4096, &a.Slots),
		integer("runner", "connections", "connections that the runner accepts", 1, 65536, &a.Connections),
		duration("limits", "drain_timeout", "time that work in flight gets at a graceful shutdown", 0, time.Hour, &a.DrainTimeout),
		duration("limits", "tombstones", "time for which an attempt that never starts is remembered", time.Second, 24*time.Hour, &a.TombstoneRetention),
	}, linkFields(&a.HeartbeatInterval, &a.SilenceTimeout, &a.Lease, &a.SharedKey, &a.Certificate, &a.PrivateKey, &a.Authority)...)
}

// ParseAgent parses and validates an agent's settings.
func ParseAgent(s Source) (Agent, error) {
	a := defaultAgent()
	if err := s.decode(a.fields()); err != nil {
		return Agent{}, err
	}
	return a, s.checkMinimum("timing.silence", a.SilenceTimeout, "at least twice timing.beat", 2*a.HeartbeatInterval)
}

// Standin holds the settings of the simulated platform services.
type Standin struct {
	Log          string
	Retention    int
	Seed         int
	Workers      []string
	Runners      []string
	Slots        int
	Accelerators int
}

func defaultStandin() Standin { return Standin{Accelerators: 8, Slots: 8, Seed: 1} }

func (p *Standin) fields() []field {
	return []field{
		address("log", "listen", "address of the log service", "127.0.0.1:8090", true, &p.Log),
		integer("log", "retention", "records that a stream keeps; 0 keeps all", 0, 1<<30, &p.Retention),
		integer("log", "seed", "seed of the scripted faults", 0, 1<<30, &p.Seed),
		addresses("workers", "listen", "addresses of the workers", "127.0.0.1:9101, 127.0.0.1:9102", &p.Workers),
		integer("workers", "accelerators", "accelerators of each worker", 0, 64, &p.Accelerators),
		addresses("runners", "listen", "addresses of the runners", "127.0.0.1:9201, 127.0.0.1:9202", &p.Runners),
		integer("runners", "slots", "requests that a runner processes at once; 0 for no limit", 0, 4096, &p.Slots),
	}
}

// ParseStandin parses and validates the settings of the simulated platform.
func ParseStandin(s Source) (Standin, error) {
	p := defaultStandin()
	if err := s.decode(p.fields()); err != nil {
		return Standin{}, err
	}
	return p, nil
}
