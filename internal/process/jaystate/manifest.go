package jaystate

import (
	"encoding/json"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// maxHistory is the number of versions that are kept.
const maxHistory = 64

// wireManifestSnapshot is the record by which an entry repeats the manifest in
// force before the log's retention removes it. All other records of the stream are
// manifests as published.
type wireManifestSnapshot struct {
	Version  uint64 `json:"snapshot_version"`
	Source   []byte `json:"source"`
	Recorded int64  `json:"recorded_unix_ms"`
}

// Verdict is the result of applying a record of the manifest stream.
type Verdict uint8

// The verdicts on records.
const (
	// NotAManifest records are invalid; every reader skips them.
	NotAManifest Verdict = iota
	// Accepted manifests are in force from their offset on.
	Accepted
	// Superseded manifests have a base that is not the version in force.
	Superseded
	// Repeated manifests are equal to the one in force.
	Repeated
	// Restored manifests were read from a snapshot.
	Restored
)

// Manifests is the state of the manifest stream: the manifest in force and the
// latest versions. It is not safe for concurrent use.
type Manifests struct {
	// fromLog is the manifest in force according to the records read so far. current
	// may be newer, from a peer, while this reader catches up.
	fromLog        *jaymanifest.Manifest
	current        *jaymanifest.Manifest
	history        []*jaymanifest.Manifest
	verdicts       map[[32]byte]Verdict
	recordedOffset uint64
}

// NewManifests returns a state without a manifest in force.
func NewManifests() *Manifests { return &Manifests{verdicts: map[[32]byte]Verdict{}} }

// Current returns the manifest in force, or nil.
func (ms *Manifests) Current() *jaymanifest.Manifest { return ms.current }

// Version returns the version in force, or zero.
func (ms *Manifests) Version() uint64 {
	if ms.current == nil {
		return 0
	}
	return ms.current.Version()
}

// History returns the latest versions, the oldest first.
func (ms *Manifests) History() []*jaymanifest.Manifest { return ms.history }

// RecordedOffset returns the offset of the latest record of the manifest in force.
func (ms *Manifests) RecordedOffset() uint64 { return ms.recordedOffset }

// VerdictOf returns the verdict on the published source with the digest.
func (ms *Manifests) VerdictOf(digest [32]byte) Verdict { return ms.verdicts[digest] }

// Apply applies one record. A manifest is accepted if and only if it is valid and
// its base is the version in force.
func (ms *Manifests) Apply(r jaylog.Record) Verdict {
	var snapshot wireManifestSnapshot
	if json.Unmarshal(r.Data(), &snapshot) == nil && snapshot.Version > 0 {
		return ms.applySnapshot(r, snapshot)
	}
	m, err := jaymanifest.Parse(r.Data())
	if err != nil {
		return NotAManifest
	}
	v := ms.verdict(m)
	if ms.verdicts[m.Digest()] != Accepted {
		ms.verdicts[m.Digest()] = v
	}
	if v == Accepted {
		ms.recordedOffset = r.Offset()
		ms.fromLog = m.WithVersion(m.Base() + 1)
		ms.setIfNewer(ms.fromLog)
	}
	return v
}

// verdict depends only on the log, not on manifests from peers.
func (ms *Manifests) verdict(m *jaymanifest.Manifest) Verdict {
	if ms.fromLog != nil && ms.fromLog.Digest() == m.Digest() {
		return Repeated
	}
	if m.Base() != ms.versionFromLog() {
		return Superseded
	}
	return Accepted
}

func (ms *Manifests) versionFromLog() uint64 {
	if ms.fromLog == nil {
		return 0
	}
	return ms.fromLog.Version()
}

// setIfNewer puts a manifest in force unless a newer one is.
func (ms *Manifests) setIfNewer(m *jaymanifest.Manifest) {
	if m.Version() > ms.Version() {
		ms.setCurrent(m)
	}
}

func (ms *Manifests) applySnapshot(r jaylog.Record, s wireManifestSnapshot) Verdict {
	if s.Version == ms.versionFromLog() {
		ms.recordedOffset = r.Offset()
		return Repeated
	}
	if s.Version < ms.versionFromLog() {
		return Superseded
	}
	m, err := jaymanifest.Parse(s.Source)
	if err != nil {
		return NotAManifest
	}
	ms.recordedOffset = r.Offset()
	ms.fromLog = m.WithVersion(s.Version)
	ms.verdicts[m.Digest()] = Accepted
	ms.setIfNewer(ms.fromLog)
	return Restored
}

// OfferFromPeer puts a peer's manifest in force if it is newer, and reports whether
// it was.
func (ms *Manifests) OfferFromPeer(version uint64, source []byte) bool {
	if version <= ms.Version() {
		return false
	}
	m, err := jaymanifest.Parse(source)
	if err != nil {
		return false
	}
	ms.setCurrent(m.WithVersion(version))
	ms.verdicts[m.Digest()] = Accepted
	return true
}

func (ms *Manifests) setCurrent(m *jaymanifest.Manifest) {
	jayassert.That(m.Version() > ms.Version(), "manifest would go back from version %d to %d", ms.Version(), m.Version())
	ms.current = m
	ms.history = append(ms.history, m)
	if len(ms.history) > maxHistory {
		delete(ms.verdicts, ms.history[0].Digest())
		ms.history = ms.history[1:]
	}
}

// Snapshot encodes the record that repeats the manifest in force. It returns nil if
// there is none.
func (ms *Manifests) Snapshot(now time.Time) ([]byte, error) {
	if ms.current == nil {
		return nil, nil
	}
	b, err := json.Marshal(wireManifestSnapshot{Version: ms.current.Version(), Source: ms.current.Source(), Recorded: now.UnixMilli()})
	if err != nil {
		return nil, &CorruptError{Stream: ManifestStream, Cause: err}
	}
	return b, nil
}
