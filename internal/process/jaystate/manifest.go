package jaystate

import (
	"encoding/json"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// historyVersions is how many versions the fold remembers.
const historyVersions = 64

// wireManifestSnapshot is the record by which an entry records the manifest in
// force anew, well inside the log's retention. All other records of the stream
// are manifests as their publishers wrote them.
type wireManifestSnapshot struct {
	Version  uint64 `json:"snapshot_version"`
	Source   []byte `json:"source"`
	Recorded int64  `json:"recorded_unix_ms"`
}

// Verdict is what the fold made of one record of the manifest stream.
type Verdict uint8

// The verdicts.
const (
	// NotAManifest records are skipped by every reader.
	NotAManifest Verdict = iota
	// Accepted manifests are in force from their offset on.
	Accepted
	// Superseded manifests name a base that is no longer in force.
	Superseded
	// Repeated manifests are the one in force, published again.
	Repeated
	// Restored manifests came from a snapshot.
	Restored
)

// Manifests is the fold of the manifest stream. It is not safe for concurrent
// use.
type Manifests struct {
	// folded is what the log's order alone has put in force; current may be
	// newer, from a peer, while this reader catches up.
	folded   *jaymanifest.Manifest
	current  *jaymanifest.Manifest
	history  []*jaymanifest.Manifest
	verdicts map[[32]byte]Verdict
	recorded uint64
}

// NewManifests returns an empty fold.
func NewManifests() *Manifests { return &Manifests{verdicts: map[[32]byte]Verdict{}} }

// Current returns the manifest in force, or nil.
func (f *Manifests) Current() *jaymanifest.Manifest { return f.current }

// Version returns the version in force, or zero.
func (f *Manifests) Version() uint64 {
	if f.current == nil {
		return 0
	}
	return f.current.Version()
}

// History returns the versions still remembered, the oldest first.
func (f *Manifests) History() []*jaymanifest.Manifest { return f.history }

// RecordedOffset returns the offset of the last record of the manifest in force.
func (f *Manifests) RecordedOffset() uint64 { return f.recorded }

// VerdictOf returns what the fold made of a published source.
func (f *Manifests) VerdictOf(digest [32]byte) Verdict { return f.verdicts[digest] }

// Apply folds one record. A manifest is accepted if and only if it is valid and
// its base is the version in force.
func (f *Manifests) Apply(r jaylog.Record) Verdict {
	var snapshot wireManifestSnapshot
	if json.Unmarshal(r.Data(), &snapshot) == nil && snapshot.Version > 0 {
		return f.restore(r, snapshot)
	}
	m, err := jaymanifest.Parse(r.Data())
	if err != nil {
		return NotAManifest
	}
	v := f.judge(m)
	if f.verdicts[m.Digest()] != Accepted {
		f.verdicts[m.Digest()] = v
	}
	if v == Accepted {
		f.recorded = r.Offset()
		f.folded = m.WithVersion(m.Base() + 1)
		f.raise(f.folded)
	}
	return v
}

// judge depends on the log's order alone, not on what peers have told.
func (f *Manifests) judge(m *jaymanifest.Manifest) Verdict {
	if f.folded != nil && f.folded.Digest() == m.Digest() {
		return Repeated
	}
	if m.Base() != f.foldedVersion() {
		return Superseded
	}
	return Accepted
}

func (f *Manifests) foldedVersion() uint64 {
	if f.folded == nil {
		return 0
	}
	return f.folded.Version()
}

// raise puts a manifest in force unless a newer one is.
func (f *Manifests) raise(m *jaymanifest.Manifest) {
	if m.Version() > f.Version() {
		f.put(m)
	}
}

func (f *Manifests) restore(r jaylog.Record, s wireManifestSnapshot) Verdict {
	if s.Version == f.foldedVersion() {
		f.recorded = r.Offset()
		return Repeated
	}
	if s.Version < f.foldedVersion() {
		return Superseded
	}
	m, err := jaymanifest.Parse(s.Source)
	if err != nil {
		return NotAManifest
	}
	f.recorded = r.Offset()
	f.folded = m.WithVersion(s.Version)
	f.verdicts[m.Digest()] = Accepted
	f.raise(f.folded)
	return Restored
}

// Offer takes a manifest that a peer has in force and reports whether it is
// newer than what was in force here.
func (f *Manifests) Offer(version uint64, source []byte) bool {
	if version <= f.Version() {
		return false
	}
	m, err := jaymanifest.Parse(source)
	if err != nil {
		return false
	}
	f.put(m.WithVersion(version))
	f.verdicts[m.Digest()] = Accepted
	return true
}

func (f *Manifests) put(m *jaymanifest.Manifest) {
	jayassert.That(m.Version() > f.Version(), "manifest would go back from version %d to %d", f.Version(), m.Version())
	f.current = m
	f.history = append(f.history, m)
	if len(f.history) > historyVersions {
		delete(f.verdicts, f.history[0].Digest())
		f.history = f.history[1:]
	}
}

// Snapshot returns the record that keeps the manifest in force inside the log's
// retention, or nil when there is none.
func (f *Manifests) Snapshot(now time.Time) ([]byte, error) {
	if f.current == nil {
		return nil, nil
	}
	b, err := json.Marshal(wireManifestSnapshot{Version: f.current.Version(), Source: f.current.Source(), Recorded: now.UnixMilli()})
	if err != nil {
		return nil, &CorruptError{Stream: ManifestStream, Cause: err}
	}
	return b, nil
}
