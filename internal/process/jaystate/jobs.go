package jaystate

import (
	"bytes"
	"sort"
	"time"

	"github.com/google/btree"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

// MaxStoredAnswerBytes bounds the answers in the record of an ended job. Larger
// answers are kept only by the entry that received them.
const MaxStoredAnswerBytes = 64 << 10

// maxClockStep bounds by how much one record advances the log time.
const maxClockStep = time.Hour

// rowsPerSnapshotPart is the number of jobs in one part of a snapshot.
const rowsPerSnapshotPart = 512

type wireAccepted struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Owner  uint64
	Millis int64
	Digest []byte
	Spec   jayframe.Spec
}

type wireEnded struct {
	_       struct{} `cbor:",toarray"`
	Job     string
	Millis  int64
	Code    string
	Outcome string
	Message string
	Answers [][]byte
	TooLong bool
}

type wireAdopted struct {
	_        struct{} `cbor:",toarray"`
	Job      string
	Previous uint64
	Owner    uint64
	Millis   int64
}

type wireRow struct {
	_             struct{} `cbor:",toarray"`
	Accepted      wireAccepted
	Ended         *wireEnded
	OwnsKey       bool
	KeysExhausted bool
}

type wireSnapshot struct {
	_             struct{} `cbor:",toarray"`
	ID            uint64
	Part          int
	Parts         int
	CoveredOffset uint64
	Millis        int64
	Rows          []wireRow
}

// End is the recorded end of a job.
type End struct {
	refusal *jayrefusal.Refusal
	answers [][]byte
	tooLong bool
	at      time.Time
}

// Refusal returns the refusal, or nil if the job was answered.
func (e *End) Refusal() *jayrefusal.Refusal { return e.refusal }

// Answers returns the answers of all members.
func (e *End) Answers() [][]byte { return e.answers }

// TooLong reports whether the answers exceeded MaxStoredAnswerBytes and were not
// recorded.
func (e *End) TooLong() bool { return e.tooLong }

// Row is one job in the table.
type Row struct {
	id         string
	spec       jayjob.Spec
	digest     []byte
	owner      jayattempt.Incarnation
	acceptedAt time.Time
	end        *End
	ownsKey    bool
	// keysExhausted is set if the claim of the key failed because the workspace had
	// the maximum number of keys.
	keysExhausted bool
	sequence      uint64
}

// ID returns the job's ID.
func (r *Row) ID() string { return r.id }

// Spec returns the job's specification. The payload of ended jobs is removed.
func (r *Row) Spec() jayjob.Spec { return r.spec }

// Digest returns the digest of the specification, which detects reuse of an
// idempotency key with another body.
func (r *Row) Digest() []byte { return r.digest }

// Owner returns the entry that owns the job.
func (r *Row) Owner() jayattempt.Incarnation { return r.owner }

// AcceptedAt returns when the job was accepted.
func (r *Row) AcceptedAt() time.Time { return r.acceptedAt }

// End returns the job's end, or nil if it has not ended.
func (r *Row) End() *End { return r.end }

// OwnsKey reports whether the job owns its idempotency key because its claim is
// the first in the log. It is true for jobs without a key.
func (r *Row) OwnsKey() bool { return r.ownsKey }

// KeysExhausted reports whether the claim failed because the workspace had the
// maximum number of keys.
func (r *Row) KeysExhausted() bool { return r.keysExhausted }

type workspaceKey struct{ workspace, key string }

// Jobs is the table of the jobs stream. It is not safe for concurrent use.
type Jobs struct {
	// KeyRetention is how long a job with a key is kept after its end.
	KeyRetention time.Duration
	// JobRetention is how long a job without a key is kept after its end.
	JobRetention time.Duration
	// MaxKeys bounds the keys of one workspace; claims beyond it fail.
	MaxKeys int

	rows             map[string]*Row
	keys             map[workspaceKey]string
	keysPerWorkspace map[string]int
	expiries         *btree.BTreeG[expiry]
	sequence         uint64
	nextOffset       uint64
	logTime          int64
	snapshotParts    map[uint64][]wireSnapshot
	completeSnapshot []wireSnapshot
	corrupt          uint64
}

// expiry is the time at which a row is removed.
type expiry struct {
	millis   int64
	sequence uint64
	job      string
}

func expiresBefore(a, b expiry) bool {
	if a.millis != b.millis {
		return a.millis < b.millis
	}
	return a.sequence < b.sequence
}

// NewJobs returns an empty table.
func NewJobs(keyRetention, jobRetention time.Duration, maxKeys int) *Jobs {
	j := &Jobs{KeyRetention: keyRetention, JobRetention: jobRetention, MaxKeys: maxKeys}
	j.clear()
	return j
}

func (j *Jobs) clear() {
	j.rows = map[string]*Row{}
	j.keys = map[workspaceKey]string{}
	j.keysPerWorkspace = map[string]int{}
	j.expiries = btree.NewG(32, expiresBefore)
	j.snapshotParts = map[uint64][]wireSnapshot{}
}

// Row returns a job, or nil.
func (j *Jobs) Row(id string) *Row { return j.rows[id] }

// ByKey returns the job that holds a workspace's key, or nil.
func (j *Jobs) ByKey(workspace, key string) *Row { return j.rows[j.keys[workspaceKey{workspace, key}]] }

// Open returns the jobs that have not ended and may run, ordered by ID.
func (j *Jobs) Open() []*Row {
	var open []*Row
	for _, r := range j.rows {
		if r.end == nil && r.ownsKey {
			open = append(open, r)
		}
	}
	sort.Slice(open, func(a, b int) bool { return open[a].id < open[b].id })
	return open
}

// Len returns how many jobs are kept.
func (j *Jobs) Len() int { return len(j.rows) }

// Corrupt returns the number of records that could not be decoded.
func (j *Jobs) Corrupt() uint64 { return j.corrupt }

// Apply applies one record and returns the job that it concerns, or nil.
func (j *Jobs) Apply(record jaylog.Record) *Row {
	j.nextOffset = record.Offset() + 1
	e, err := decode(JobsStream, record.Data())
	if err != nil {
		j.corrupt++
		return nil
	}
	var row *Row
	switch e.Kind {
	case kindAccepted:
		row, err = j.applyAccepted(e)
	case kindEnded:
		row, err = j.applyEnded(e)
	case kindAdopted:
		row, err = j.applyAdopted(e)
	}
	if err != nil {
		j.corrupt++
		return nil
	}
	j.removeExpired()
	return row
}

// applyAccepted adds a job unless it is present. The key belongs to the first job
// in the log that claims it, until that job ends without having run.
func (j *Jobs) applyAccepted(e envelope) (*Row, error) {
	var w wireAccepted
	if err := decodeBody(JobsStream, e, &w); err != nil {
		return nil, err
	}
	j.advanceTime(w.Millis)
	if r := j.rows[w.Job]; r != nil {
		return r, nil
	}
	spec, err := w.Spec.Spec()
	if err != nil {
		return nil, &CorruptError{Stream: JobsStream, Cause: err}
	}
	j.sequence++
	r := &Row{id: w.Job, spec: spec, digest: w.Digest, owner: jayattempt.Incarnation(w.Owner), acceptedAt: time.UnixMilli(w.Millis), ownsKey: true, sequence: j.sequence}
	if spec.Key() != "" {
		j.claim(r)
	}
	j.rows[w.Job] = r
	if !r.ownsKey {
		r.spec = withoutPayload(spec)
		j.scheduleExpiry(r, w.Millis)
	}
	return r, nil
}

// advanceTime advances the log time, which is taken from records only. A record
// with a clock far ahead advances it by at most maxClockStep.
func (j *Jobs) advanceTime(millis int64) {
	if j.logTime == 0 {
		j.logTime = millis
	}
	j.logTime = max(j.logTime, min(millis, j.logTime+maxClockStep.Milliseconds()))
}

// claim assigns the row its key, unless another job owns it that ran or may still
// run.
func (j *Jobs) claim(r *Row) {
	k := workspaceKey{r.spec.Workspace(), r.spec.Key()}
	keyOwner := j.rows[j.keys[k]]
	if keyOwner != nil && !keyOwner.neverRan() {
		r.ownsKey = false
		return
	}
	if keyOwner == nil && j.keysPerWorkspace[k.workspace] >= j.MaxKeys {
		r.ownsKey = false
		r.keysExhausted = true
		return
	}
	j.assignKey(k, r.id)
}

func (r *Row) neverRan() bool {
	return r.end != nil && r.end.refusal != nil && r.end.refusal.Outcome() == jayrefusal.NotRun
}

func (j *Jobs) assignKey(k workspaceKey, job string) {
	if j.keys[k] == "" {
		j.keysPerWorkspace[k.workspace]++
	}
	j.keys[k] = job
}

// scheduleExpiry schedules the removal of a row that can no longer change.
func (j *Jobs) scheduleExpiry(r *Row, millis int64) {
	retention := j.KeyRetention
	if r.spec.Key() == "" {
		retention = j.JobRetention
	}
	j.expiries.ReplaceOrInsert(expiry{millis: millis + retention.Milliseconds(), sequence: r.sequence, job: r.id})
}

// applyEnded records a job's end. Only the first end in the log counts.
func (j *Jobs) applyEnded(e envelope) (*Row, error) {
	var w wireEnded
	if err := decodeBody(JobsStream, e, &w); err != nil {
		return nil, err
	}
	j.advanceTime(w.Millis)
	r := j.rows[w.Job]
	if r == nil || r.end != nil {
		return r, nil
	}
	r.end = decodeEnd(w)
	r.spec = withoutPayload(r.spec)
	if r.ownsKey {
		j.scheduleExpiry(r, w.Millis)
	}
	return r, nil
}

func decodeEnd(w wireEnded) *End {
	end := &End{answers: w.Answers, tooLong: w.TooLong, at: time.UnixMilli(w.Millis)}
	if w.Code != "" {
		end.refusal = jayrefusal.New(jayrefusal.Code(w.Code), jayrefusal.Outcome(w.Outcome), "%s", w.Message)
	}
	return end
}

func withoutPayload(s jayjob.Spec) jayjob.Spec {
	w := jayframe.FromSpec(s)
	w.Payload = nil
	stripped, err := w.Spec()
	if err != nil {
		return s
	}
	return stripped
}

// applyAdopted changes a job's owner if the record names the current one
// (compare-and-swap), so that the first of several adopters wins.
func (j *Jobs) applyAdopted(e envelope) (*Row, error) {
	var w wireAdopted
	if err := decodeBody(JobsStream, e, &w); err != nil {
		return nil, err
	}
	j.advanceTime(w.Millis)
	r := j.rows[w.Job]
	if r != nil && r.end == nil && uint64(r.owner) == w.Previous {
		r.owner = jayattempt.Incarnation(w.Owner)
	}
	return r, nil
}

// removeExpired removes rows whose retention is over according to the log time, so
// that every reader removes them at the same record.
func (j *Jobs) removeExpired() {
	for {
		e, ok := j.expiries.Min()
		if !ok || e.millis > j.logTime {
			return
		}
		j.expiries.DeleteMin()
		if r := j.rows[e.job]; r != nil {
			j.remove(r)
		}
	}
}

func (j *Jobs) remove(r *Row) {
	delete(j.rows, r.id)
	k := workspaceKey{r.spec.Workspace(), r.spec.Key()}
	if k.key == "" || j.keys[k] != r.id {
		return
	}
	delete(j.keys, k)
	j.keysPerWorkspace[k.workspace]--
	if j.keysPerWorkspace[k.workspace] == 0 {
		delete(j.keysPerWorkspace, k.workspace)
	}
}

// KeyCount returns the number of keys of a workspace.
func (j *Jobs) KeyCount(workspace string) int { return j.keysPerWorkspace[workspace] }

// NextOffset returns the offset after the last applied record.
func (j *Jobs) NextOffset() uint64 { return j.nextOffset }

// EncodeAccepted encodes the record of an accepted job.
func EncodeAccepted(job string, owner jayattempt.Incarnation, now time.Time, spec jayjob.Spec) ([]byte, error) {
	digest := spec.Digest()
	return encode(JobsStream, kindAccepted, wireAccepted{Job: job, Owner: uint64(owner), Millis: now.UnixMilli(), Digest: digest[:], Spec: jayframe.FromSpec(spec)})
}

// EncodeEnded encodes the record of a job's end; refusal is nil if it was answered.
func EncodeEnded(job string, now time.Time, refusal *jayrefusal.Refusal, answers [][]byte) ([]byte, error) {
	w := wireEnded{Job: job, Millis: now.UnixMilli()}
	if refusal != nil {
		w.Code = string(refusal.Code())
		w.Outcome = string(refusal.Outcome())
		w.Message = refusal.Message()
	}
	size := 0
	for _, a := range answers {
		size += len(a)
	}
	w.TooLong = size > MaxStoredAnswerBytes
	if !w.TooLong {
		w.Answers = answers
	}
	return encode(JobsStream, kindEnded, w)
}

// EncodeAdopted encodes the record by which an entry takes over a job from its
// previous owner.
func EncodeAdopted(job string, previous, owner jayattempt.Incarnation, now time.Time) ([]byte, error) {
	return encode(JobsStream, kindAdopted, wireAdopted{Job: job, Previous: uint64(previous), Owner: uint64(owner), Millis: now.UnixMilli()})
}

// SameDigest reports whether the job has the same specification.
func (r *Row) SameDigest(spec jayjob.Spec) bool {
	d := spec.Digest()
	return bytes.Equal(r.digest, d[:])
}

// Each calls f for every job, in no particular order.
func (j *Jobs) Each(f func(*Row)) {
	for _, r := range j.rows {
		f(r)
	}
}
