package jaystate

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

var startTime = time.UnixMilli(1_000_000)

func specWithKey(t rapid.TB, key, payload string) jayjob.Spec {
	shape, err := jayjob.NewShape(1, 0, jayjob.Anywhere)
	assert.NilError(t, err)
	s, err := jayjob.New(jayjob.Fields{Workspace: "w", Kind: "order", Shape: shape, Key: key, Payload: []byte(payload)})
	assert.NilError(t, err)
	return s
}

func newTestJobs() *Jobs { return NewJobs(time.Minute, time.Second, 3) }

// replay applies the records from offset kept on, as a reader does after the log's
// retention has removed the others.
func replay(records []jaylog.Record, kept int) (*Jobs, *Restorer) {
	j := newTestJobs()
	r := &Restorer{Snapshot: j.AddSnapshotPart, Load: j.LoadSnapshot, Apply: func(r jaylog.Record) { j.Apply(r) }}
	if kept > 0 {
		r.Gap(uint64(kept))
	}
	for _, record := range records[kept:] {
		r.Process(record)
	}
	return j, r
}

// Appends random records and snapshots and compares a reader that starts at a
// random offset with one that read everything, and the keys with an oracle.
func TestReadersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []jaylog.Record
		put := func(b []byte, err error) {
			assert.NilError(t, err)
			records = append(records, jaylog.NewRecord(uint64(len(records)), b))
		}
		now := startTime
		keyOwner := map[string]string{}
		ran := map[string]bool{}
		accepted := 0
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pass")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				accepted++
				key := rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key")
				id := fmt.Sprintf("j%d", accepted)
				put(EncodeAccepted(id, 1, now, specWithKey(t, key, id)))
				if keyOwner[key] == "" {
					keyOwner[key] = id
				}
			case 2:
				id := fmt.Sprintf("j%d", rapid.IntRange(1, 20).Draw(t, "ended"))
				full, _ := replay(records, 0)
				row := full.Row(id)
				if row == nil || row.End() != nil {
					continue
				}
				var refusal *jayrefusal.Refusal
				if rapid.Bool().Draw(t, "not run") {
					refusal = jayrefusal.New(jayrefusal.Canceled, jayrefusal.NotRun, "x")
				}
				put(EncodeEnded(id, now, refusal, [][]byte{[]byte("a")}))
				key := row.Spec().Key()
				if keyOwner[key] == id && refusal != nil {
					keyOwner[key] = ""
				}
				ran[id] = refusal == nil
			case 3:
				writer, _ := replay(records, 0)
				parts, err := writer.Snapshot(rapid.Uint64().Draw(t, "snapshot"), now)
				for _, p := range parts {
					put(p, err)
				}
			}
		}
		full, _ := replay(records, 0)
		for key, id := range keyOwner {
			if id != "" {
				assert.Equal(t, full.ByKey("w", key).ID(), id)
			}
		}
		late, restorer := replay(records, rapid.IntRange(0, len(records)).Draw(t, "kept"))
		if restorer.NeedsSnapshot() {
			return
		}
		assert.Equal(t, describeJobs(late), describeJobs(full))
	})
}

func describeJobs(j *Jobs) string {
	s := ""
	for _, row := range j.wireRows() {
		s += fmt.Sprintf("%s %v %v %v;", row.Accepted.Job, row.Accepted.Owner, row.OwnsKey, row.Ended != nil)
	}
	return s
}

func TestFirstClaimWinsAndKeysAreLimited(t *testing.T) {
	j := newTestJobs()
	apply := func(offset uint64, b []byte, err error) *Row {
		assert.NilError(t, err)
		return j.Apply(jaylog.NewRecord(offset, b))
	}
	accept := func(offset uint64, id, key string) *Row {
		b, err := EncodeAccepted(id, 1, startTime, specWithKey(t, key, "body"))
		return apply(offset, b, err)
	}
	assert.Assert(t, accept(0, "first", "k1").OwnsKey())
	second := accept(1, "second", "k1")
	assert.Assert(t, !second.OwnsKey() && !second.KeysExhausted())
	assert.Assert(t, accept(2, "first", "k1").OwnsKey(), "a repeated append must be idempotent")
	accept(3, "a", "k2")
	accept(4, "b", "k3")
	assert.Assert(t, accept(5, "c", "k4").KeysExhausted())
	b, err := EncodeEnded("first", startTime, nil, nil)
	apply(6, b, err)
	later, err := EncodeAccepted("later", 1, startTime.Add(2*time.Minute), specWithKey(t, "k1", "body"))
	assert.Assert(t, !apply(7, later, err).OwnsKey(), "the record advances the log time, but expired keys are removed after its claim is decided")
	assert.Assert(t, j.Row("first") == nil)
	again, err := EncodeAccepted("again", 1, startTime.Add(2*time.Minute), specWithKey(t, "k1", "body"))
	assert.Assert(t, apply(8, again, err).OwnsKey())
}

func TestFirstAdopterWins(t *testing.T) {
	j := newTestJobs()
	feed := func(offset uint64, b []byte, err error) {
		assert.NilError(t, err)
		j.Apply(jaylog.NewRecord(offset, b))
	}
	b, err := EncodeAccepted("j", 1, startTime, specWithKey(t, "k", "body"))
	feed(0, b, err)
	for offset, adopter := range []jayattempt.Incarnation{2, 3} {
		b, err := EncodeAdopted("j", 1, adopter, startTime)
		feed(uint64(offset+1), b, err)
	}
	assert.Equal(t, j.Row("j").Owner(), jayattempt.Incarnation(2))
}

func TestCorruptRecordsSkipped(t *testing.T) {
	j := newTestJobs()
	for i, b := range [][]byte{nil, {0xff}, []byte("text"), {0x82, 0x01, 0x80}} {
		assert.Assert(t, j.Apply(jaylog.NewRecord(uint64(i), b)) == nil)
	}
	assert.Equal(t, j.Corrupt(), uint64(4))
}

func encodeManifest(t rapid.TB, base uint64, name string) []byte {
	b, err := jaymanifest.Draft{Base: base, Deployment: name, Weights: jaymanifest.NewWeights(1, 1)}.Encode()
	assert.NilError(t, err)
	return b
}

// Appends manifests with random bases, snapshots and manifests from peers. The
// oracle is a list that grows by one whenever the base equals its length.
func TestConcurrentPublishers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var accepted []string
		var records []jaylog.Record
		put := func(b []byte) { records = append(records, jaylog.NewRecord(uint64(len(records)), b)) }
		writer := NewManifests()
		for n := range rapid.IntRange(1, 30).Draw(t, "steps") {
			if rapid.IntRange(0, 4).Draw(t, "snapshot") == 0 {
				b, err := writer.Snapshot(startTime)
				assert.NilError(t, err)
				if b != nil {
					put(b)
				}
				continue
			}
			base := uint64(max(len(accepted)-rapid.IntRange(0, 2).Draw(t, "stale"), 0))
			name := fmt.Sprintf("m%d", n)
			put(encodeManifest(t, base, name))
			if base == uint64(len(accepted)) {
				accepted = append(accepted, name)
			}
			writer.Apply(records[len(records)-1])
		}
		reader := NewManifests()
		highest := uint64(0)
		for _, r := range records {
			if writer.Current() != nil && rapid.IntRange(0, 5).Draw(t, "peer") == 0 {
				reader.OfferFromPeer(writer.Version(), writer.Current().Source())
			}
			reader.Apply(r)
			assert.Assert(t, reader.Version() >= highest)
			highest = reader.Version()
		}
		assert.Equal(t, reader.Version(), uint64(len(accepted)))
		if len(accepted) > 0 {
			assert.Equal(t, reader.Current().Deployment(), accepted[len(accepted)-1])
		}
	})
}

// The assertion fails when a manifest with a lower version is put in force.
func TestManifestRevertFailsAssertion(t *testing.T) {
	var violation error
	before := jayassert.OnViolation
	jayassert.OnViolation = func(err error) { violation = err }
	defer func() { jayassert.OnViolation = before }()
	f := NewManifests()
	assert.Assert(t, f.OfferFromPeer(7, encodeManifest(t, 6, "m")))
	old, err := jaymanifest.Parse(encodeManifest(t, 1, "old"))
	assert.NilError(t, err)
	f.setCurrent(old.WithVersion(2))
	assert.ErrorContains(t, violation, "go back from version 7 to 2")
}
