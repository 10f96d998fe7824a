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

// MaxStoredAnswerBytes bounds the answers that an ended job's record keeps; a
// larger answer is kept only by the entry that got it.
const MaxStoredAnswerBytes = 64 << 10

// maxTimeStep bounds how far one record moves the fold's time.
const maxTimeStep = time.Hour

// snapshotRows is how many jobs one part of a snapshot holds.
const snapshotRows = 512

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
	_         struct{} `cbor:",toarray"`
	Accepted  wireAccepted
	Ended     *wireEnded
	Won       bool
	Exhausted bool
}

type wireSnapshot struct {
	_      struct{} `cbor:",toarray"`
	ID     uint64
	Part   int
	Parts  int
	Covers uint64
	Millis int64
	Rows   []wireRow
}

// End is how a job ended, as the log keeps it.
type End struct {
	refusal *jayrefusal.Refusal
	answers [][]byte
	tooLong bool
	at      time.Time
}

// Refusal returns the refusal, or nil when the job was answered.
func (e *End) Refusal() *jayrefusal.Refusal { return e.refusal }

// Answers returns the answers of all members.
func (e *End) Answers() [][]byte { return e.answers }

// TooLong reports whether the answers were too long for the log.
func (e *End) TooLong() bool { return e.tooLong }

// Row is one job as the log keeps it.
type Row struct {
	id      string
	spec    jayjob.Spec
	digest  []byte
	owner   jayattempt.Incarnation
	at      time.Time
	end     *End
	ownsKey bool
	// keysExhausted says that the claim lost because the workspace had too many keys.
	keysExhausted bool
	sequence      uint64
}

// ID returns the job's identity.
func (r *Row) ID() string { return r.id }

// Spec returns what the caller asked for. Ended jobs have no payload.
func (r *Row) Spec() jayjob.Spec { return r.spec }

// Digest identifies the body under the idempotency key.
func (r *Row) Digest() []byte { return r.digest }

// Owner returns the entry that is responsible for the job.
func (r *Row) Owner() jayattempt.Incarnation { return r.owner }

// AcceptedAt returns when the job was accepted.
func (r *Row) AcceptedAt() time.Time { return r.at }

// End returns how the job ended, or nil.
func (r *Row) End() *End { return r.end }

// OwnsKey reports whether the job has its idempotency key to itself: it is the
// first in the log's order to claim it.
func (r *Row) OwnsKey() bool { return r.ownsKey }

// KeysExhausted reports whether the claim lost because the workspace held as many
// keys as it may.
func (r *Row) KeysExhausted() bool { return r.keysExhausted }

type keyOf struct{ workspace, key string }

// Jobs is the fold of the jobs stream. It is not safe for concurrent use.
type Jobs struct {
	// KeyRetention is how long a key is remembered after its claim.
	KeyRetention time.Duration
	// JobRetention is how long a job without a key is remembered after its end.
	JobRetention time.Duration
	// MaxKeys bounds the keys of one workspace; a claim beyond it loses.
	MaxKeys int

	rows     map[string]*Row
	keys     map[keyOf]string
	perSpace map[string]int
	expiries *btree.BTreeG[expiry]
	sequence uint64
	next     uint64
	lastTime int64
	parts    map[uint64][]wireSnapshot
	ready    []wireSnapshot
	corrupt  uint64
}

// expiry is when an ended row is forgotten.
type expiry struct {
	millis   int64
	sequence uint64
	job      string
}

func earlier(a, b expiry) bool {
	if a.millis != b.millis {
		return a.millis < b.millis
	}
	return a.sequence < b.sequence
}

// NewJobs returns an empty fold.
func NewJobs(keyRetention, jobRetention time.Duration, maxKeys int) *Jobs {
	j := &Jobs{KeyRetention: keyRetention, JobRetention: jobRetention, MaxKeys: maxKeys}
	j.clear()
	return j
}

func (j *Jobs) clear() {
	j.rows = map[string]*Row{}
	j.keys = map[keyOf]string{}
	j.perSpace = map[string]int{}
	j.expiries = btree.NewG(32, earlier)
	j.parts = map[uint64][]wireSnapshot{}
}

// Row returns a job, or nil.
func (j *Jobs) Row(id string) *Row { return j.rows[id] }

// ByKey returns the job that holds a workspace's key, or nil.
func (j *Jobs) ByKey(workspace, key string) *Row { return j.rows[j.keys[keyOf{workspace, key}]] }

// Open returns the jobs that have not ended and may run, ordered by identity.
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

// Corrupt returns how many records could not be read.
func (j *Jobs) Corrupt() uint64 { return j.corrupt }

// Apply folds one record and returns the job that it is about, or nil.
func (j *Jobs) Apply(record jaylog.Record) *Row {
	j.next = record.Offset() + 1
	e, err := decode(JobsStream, record.Data())
	if err != nil {
		j.corrupt++
		return nil
	}
	var row *Row
	switch e.Kind {
	case kindAccepted:
		row, err = j.accepted(e)
	case kindEnded:
		row, err = j.ended(e)
	case kindAdopted:
		row, err = j.adopted(e)
	}
	if err != nil {
		j.corrupt++
		return nil
	}
	j.forget()
	return row
}

// accepted adds a job once. Its key goes to the first job in the log's order;
// a key whose job ended without having run is free again.
func (j *Jobs) accepted(e envelope) (*Row, error) {
	var w wireAccepted
	if err := decodeBody(JobsStream, e, &w); err != nil {
		return nil, err
	}
	j.tick(w.Millis)
	if r := j.rows[w.Job]; r != nil {
		return r, nil
	}
	spec, err := w.Spec.Spec()
	if err != nil {
		return nil, &CorruptError{Stream: JobsStream, Cause: err}
	}
	j.sequence++
	r := &Row{id: w.Job, spec: spec, digest: w.Digest, owner: jayattempt.Incarnation(w.Owner), at: time.UnixMilli(w.Millis), ownsKey: true, sequence: j.sequence}
	if spec.Key() != "" {
		j.claim(r)
	}
	j.rows[w.Job] = r
	if !r.ownsKey {
		r.spec = withoutPayload(spec)
		j.expire(r, w.Millis)
	}
	return r, nil
}

// tick moves the fold's time, which only records move. A record from a clock
// that is far ahead moves it by a bounded step.
func (j *Jobs) tick(millis int64) {
	if j.lastTime == 0 {
		j.lastTime = millis
	}
	j.lastTime = max(j.lastTime, min(millis, j.lastTime+maxTimeStep.Milliseconds()))
}

// claim gives the row its key, unless another job has it that ran or may run.
func (j *Jobs) claim(r *Row) {
	k := keyOf{r.spec.Workspace(), r.spec.Key()}
	holder := j.rows[j.keys[k]]
	if holder != nil && !holder.neverRan() {
		r.ownsKey = false
		return
	}
	if holder == nil && j.perSpace[k.workspace] >= j.MaxKeys {
		r.ownsKey = false
		r.keysExhausted = true
		return
	}
	j.hold(k, r.id)
}

func (r *Row) neverRan() bool {
	return r.end != nil && r.end.refusal != nil && r.end.refusal.Outcome() == jayrefusal.NotRun
}

func (j *Jobs) hold(k keyOf, job string) {
	if j.keys[k] == "" {
		j.perSpace[k.workspace]++
	}
	j.keys[k] = job
}

// expire notes when a row that is final is forgotten.
func (j *Jobs) expire(r *Row, millis int64) {
	kept := j.KeyRetention
	if r.spec.Key() == "" {
		kept = j.JobRetention
	}
	j.expiries.ReplaceOrInsert(expiry{millis: millis + kept.Milliseconds(), sequence: r.sequence, job: r.id})
}

// ended records a job's end; the first end in the log's order stands.
func (j *Jobs) ended(e envelope) (*Row, error) {
	var w wireEnded
	if err := decodeBody(JobsStream, e, &w); err != nil {
		return nil, err
	}
	j.tick(w.Millis)
	r := j.rows[w.Job]
	if r == nil || r.end != nil {
		return r, nil
	}
	r.end = endOf(w)
	r.spec = withoutPayload(r.spec)
	if r.ownsKey {
		j.expire(r, w.Millis)
	}
	return r, nil
}

func endOf(w wireEnded) *End {
	end := &End{answers: w.Answers, tooLong: w.TooLong, at: time.UnixMilli(w.Millis)}
	if w.Code != "" {
		end.refusal = jayrefusal.New(jayrefusal.Code(w.Code), jayrefusal.Outcome(w.Outcome), "%s", w.Message)
	}
	return end
}

func withoutPayload(s jayjob.Spec) jayjob.Spec {
	w := jayframe.FromSpec(s)
	w.Payload = nil
	bare, err := w.Spec()
	if err != nil {
		return s
	}
	return bare
}

// adopted changes a job's owner if the record names the owner that it has: of
// several adopters the first in the log's order wins.
func (j *Jobs) adopted(e envelope) (*Row, error) {
	var w wireAdopted
	if err := decodeBody(JobsStream, e, &w); err != nil {
		return nil, err
	}
	j.tick(w.Millis)
	r := j.rows[w.Job]
	if r != nil && r.end == nil && uint64(r.owner) == w.Previous {
		r.owner = jayattempt.Incarnation(w.Owner)
	}
	return r, nil
}

// forget drops rows whose retention is over by the time in the records, so that
// every reader drops them at the same record.
func (j *Jobs) forget() {
	for {
		e, ok := j.expiries.Min()
		if !ok || e.millis > j.lastTime {
			return
		}
		j.expiries.DeleteMin()
		if r := j.rows[e.job]; r != nil {
			j.drop(r)
		}
	}
}

func (j *Jobs) drop(r *Row) {
	delete(j.rows, r.id)
	k := keyOf{r.spec.Workspace(), r.spec.Key()}
	if k.key == "" || j.keys[k] != r.id {
		return
	}
	delete(j.keys, k)
	j.perSpace[k.workspace]--
	if j.perSpace[k.workspace] == 0 {
		delete(j.perSpace, k.workspace)
	}
}

// KeyCount returns how many keys of a workspace are remembered.
func (j *Jobs) KeyCount(workspace string) int { return j.perSpace[workspace] }

// Next returns the offset after the last record folded.
func (j *Jobs) Next() uint64 { return j.next }

// EncodeAccepted returns the record that accepts a job.
func EncodeAccepted(job string, owner jayattempt.Incarnation, now time.Time, spec jayjob.Spec) ([]byte, error) {
	digest := spec.Digest()
	return encode(JobsStream, kindAccepted, wireAccepted{Job: job, Owner: uint64(owner), Millis: now.UnixMilli(), Digest: digest[:], Spec: jayframe.FromSpec(spec)})
}

// EncodeEnded returns the record that ends a job; refusal is nil when it was
// answered.
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

// EncodeAdopted returns the record by which an entry takes a job over from the
// entry that had it.
func EncodeAdopted(job string, previous, owner jayattempt.Incarnation, now time.Time) ([]byte, error) {
	return encode(JobsStream, kindAdopted, wireAdopted{Job: job, Previous: uint64(previous), Owner: uint64(owner), Millis: now.UnixMilli()})
}

// SameDigest reports whether the row was accepted with the same body.
func (r *Row) SameDigest(spec jayjob.Spec) bool {
	d := spec.Digest()
	return bytes.Equal(r.digest, d[:])
}

// Each calls f for every job that is kept, in no particular order.
func (j *Jobs) Each(f func(*Row)) {
	for _, r := range j.rows {
		f(r)
	}
}
