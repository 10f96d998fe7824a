// Package jaymanifest holds the configuration that operators publish: the
// workspaces, their guaranteed shapes and the weights of the placement policy. Parse
// validates a manifest, Draft builds one, and Diff compares two.
package jaymanifest

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"sort"

	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// Limits on a manifest's contents.
const (
	MaxWorkspaces = 1000
	// MaxGuarantees bounds the guarantees of one workspace.
	MaxGuarantees = 64
	// MaxQuota bounds a workspace's quota and its queue limit.
	MaxQuota               = 1 << 20
	MaxShare               = 1000
	MaxManifestBytes       = 4 << 20
	saltBytes              = 16
	currentFormat    int64 = 1
)

// Weights sets how placement trades completion time against fragmentation. The
// two weights sum to one.
type Weights struct {
	completion    float64
	fragmentation float64
}

// NewWeights scales the two weights so that they sum to one.
func NewWeights(completion, fragmentation float64) Weights {
	sum := completion + fragmentation
	if sum <= 0 {
		return Weights{completion: 0.5, fragmentation: 0.5}
	}
	return Weights{completion: completion / sum, fragmentation: fragmentation / sum}
}

// Completion returns the weight of completion time, 0 to 1.
func (w Weights) Completion() float64 { return w.completion }

// Fragmentation returns the weight of fragmentation, 0 to 1.
func (w Weights) Fragmentation() float64 { return w.fragmentation }

// Guarantee is a shape that a workspace can reclaim at any time.
type Guarantee struct {
	workspace string
	name      string
	shape     jayjob.Shape
}

// NewGuarantee returns a guarantee of the workspace.
func NewGuarantee(workspace, name string, shape jayjob.Shape) Guarantee {
	return Guarantee{workspace: workspace, name: name, shape: shape}
}

// Workspace returns the workspace that holds the guarantee.
func (g Guarantee) Workspace() string { return g.workspace }

// Name returns the guarantee's name within its workspace.
func (g Guarantee) Name() string { return g.name }

// Shape returns the guaranteed shape.
func (g Guarantee) Shape() jayjob.Shape { return g.shape }

// ID returns the guarantee's name qualified by its workspace.
func (g Guarantee) ID() string { return g.workspace + "/" + g.name }

// Workspace is a tenant of the shared pool.
type Workspace struct {
	name       string
	salt       []byte
	hash       [sha256.Size]byte
	quota      int
	share      int
	queueLimit int
	guarantees []Guarantee
}

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.name }

// Quota returns the accelerators that the workspace may use at once, or zero
// for no limit.
func (w *Workspace) Quota() int { return w.quota }

// Share returns the workspace's fair-share weight for accelerators that are not
// guaranteed.
func (w *Workspace) Share() int { return w.share }

// QueueLimit returns how many jobs of one class may wait, or zero for the
// default.
func (w *Workspace) QueueLimit() int { return w.queueLimit }

// Guarantees returns the workspace's guaranteed shapes.
func (w *Workspace) Guarantees() []Guarantee { return w.guarantees }

// Authenticates reports whether key is the workspace's credential. It compares in
// constant time.
func (w *Workspace) Authenticates(key string) bool {
	h := HashKey(w.salt, key)
	return subtle.ConstantTimeCompare(h[:], w.hash[:]) == 1
}

// HashKey returns the salted hash under which a manifest stores a credential.
// One round of SHA-256 is enough because credentials are random strings.
func HashKey(salt []byte, key string) [sha256.Size]byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(key))
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// Manifest is one immutable version of the configuration.
type Manifest struct {
	version    uint64
	base       uint64
	deployment string
	weights    Weights
	workspaces map[string]*Workspace
	names      []string
	source     []byte
	digest     [sha256.Size]byte
}

// Version returns the version that the manifest got from its position in the
// log, or zero before it is in force.
func (m *Manifest) Version() uint64 { return m.version }

// Base returns the version that the publisher built on.
func (m *Manifest) Base() uint64 { return m.base }

// Deployment returns the deployment's name.
func (m *Manifest) Deployment() string { return m.deployment }

// Weights returns the weights of placement.
func (m *Manifest) Weights() Weights { return m.weights }

// Source returns the manifest as it was published.
func (m *Manifest) Source() []byte { return m.source }

// Digest returns the SHA-256 of the source.
func (m *Manifest) Digest() [sha256.Size]byte { return m.digest }

// DigestString returns the digest in hexadecimal.
func (m *Manifest) DigestString() string { return hex.EncodeToString(m.digest[:]) }

// Names returns the workspaces' names in ascending order.
func (m *Manifest) Names() []string { return m.names }

// Workspace returns the workspace of the name, or nil.
func (m *Manifest) Workspace(name string) *Workspace { return m.workspaces[name] }

// Guarantees returns all guarantees, the largest first and the narrowest
// placement constraint first among equals. The order is total, so every process
// plans them alike.
func (m *Manifest) Guarantees() []Guarantee {
	var all []Guarantee
	for _, n := range m.names {
		all = append(all, m.workspaces[n].guarantees...)
	}
	sort.SliceStable(all, func(i, j int) bool {
		a, b := all[i].shape, all[j].shape
		if a.TotalAccelerators() != b.TotalAccelerators() {
			return a.TotalAccelerators() > b.TotalAccelerators()
		}
		if a.Locality() != b.Locality() {
			return a.Locality() > b.Locality()
		}
		return all[i].ID() < all[j].ID()
	})
	return all
}

// WithVersion returns a copy with the version set.
func (m *Manifest) WithVersion(v uint64) *Manifest {
	c := *m
	c.version = v
	return &c
}

// Change is one difference between two manifests.
type Change struct {
	subject string
	from    string
	to      string
}

// Subject returns the setting that changed, such as "workspace a".
func (c Change) Subject() string { return c.subject }

// String formats the change as a line of a diff.
func (c Change) String() string {
	switch {
	case c.from == "":
		return fmt.Sprintf("+ %s: %s", c.subject, c.to)
	case c.to == "":
		return fmt.Sprintf("- %s: %s", c.subject, c.from)
	}
	return fmt.Sprintf("~ %s: %s -> %s", c.subject, c.from, c.to)
}

// Diff lists the differences between two manifests; from may be nil.
func Diff(from, to *Manifest) []Change {
	before, after := describe(from), describe(to)
	subjects := make([]string, 0, len(before)+len(after))
	for s := range before {
		subjects = append(subjects, s)
	}
	for s := range after {
		if _, ok := before[s]; !ok {
			subjects = append(subjects, s)
		}
	}
	sort.Strings(subjects)
	var changes []Change
	for _, s := range subjects {
		if before[s] != after[s] {
			changes = append(changes, Change{subject: s, from: before[s], to: after[s]})
		}
	}
	return changes
}

// describe returns the comparable settings of a manifest by subject.
func describe(m *Manifest) map[string]string {
	lines := map[string]string{}
	if m == nil {
		return lines
	}
	lines["weights"] = fmt.Sprintf("completion %.3g, fragmentation %.3g", m.weights.completion, m.weights.fragmentation)
	for _, n := range m.names {
		w := m.workspaces[n]
		lines["workspace "+n] = fmt.Sprintf("quota %d, share %d, queue limit %d", w.quota, w.share, w.queueLimit)
		lines["workspace "+n+" key"] = "hash " + hex.EncodeToString(w.hash[:4])
		for _, g := range w.guarantees {
			lines["guarantee "+g.ID()] = g.shape.String()
		}
	}
	return lines
}
