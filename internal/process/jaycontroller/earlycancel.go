package jaycontroller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// A caller who is told that there is no job to cancel may have submitted it all the same: the request
// waits at an entry that stands still, or its record is on the way to the store. So the
// cancellation is stored before the caller is told, as an early cancellation, and cancels the job whenever
// its record comes: before or after it, at every entry and under every leader. It belongs to the
// workspace of its caller, since others may choose the same ID. The leader deletes it once no
// submission can be that late.

const (
	// earlyCancelKind begins the keys of early cancellations.
	earlyCancelKind = "e"
	// maxEarlyCancels bounds the early cancellations of all workspaces, to about 20 MB. Each workspace
	// has an equal share of it.
	maxEarlyCancels = 200_000
	// maxExpiredEarlyCancels bounds the early cancellations that are deleted in one round, every
	// expiryInterval.
	maxExpiredEarlyCancels = 5000
	// earlyCancelTries is how often a round tries to delete them while other records are stored.
	earlyCancelTries = 3
	// jobIDBytes is the length of a job ID, workspaceDigestBytes that of a workspace's digest.
	jobIDBytes           = 16
	workspaceDigestBytes = 16
)

// earlyCancelsKept is how many early cancellations this process holds.
var earlyCancelsKept = metrics.NewGauge("jaystile_early_cancellations", nil)

// workspaceDigest stands for a workspace in keys of bounded length.
type workspaceDigest [workspaceDigestBytes]byte

func digestOf(workspace string) workspaceDigest {
	sum := sha256.Sum256([]byte(workspace))
	return workspaceDigest(sum[:workspaceDigestBytes])
}

// earlyCancel identifies an early cancellation.
type earlyCancel struct {
	id        [jobIDBytes]byte
	workspace workspaceDigest
}

// newEarlyCancel returns the early cancellation of a job ID, which has been matched with
// jobIDPattern, by a workspace.
func newEarlyCancel(id, workspace string) earlyCancel {
	e := earlyCancel{workspace: digestOf(workspace)}
	copy(e.id[:], id)
	return e
}

// key returns the record key.
func (e earlyCancel) key() string {
	return earlyCancelKind + "/" + string(e.id[:]) + "/" + hex.EncodeToString(e.workspace[:])
}

// record returns the record of an early cancellation at the time given.
func (e earlyCancel) record(at time.Time) jaystore.Record {
	return jaystore.Record{Key: e.key(), Value: jaycell.EncodeState(jaytask.Canceled, at)}
}

// parseEarlyCancel parses what follows the kind in the key.
func parseEarlyCancel(rest string) (earlyCancel, bool) {
	id, digest, ok := strings.Cut(rest, "/")
	var e earlyCancel
	if !ok || len(id) != jobIDBytes || len(digest) != hex.EncodedLen(workspaceDigestBytes) {
		return e, false
	}
	copy(e.id[:], id)
	_, err := hex.Decode(e.workspace[:], []byte(digest))
	return e, err == nil
}

// earlyCancels holds the early cancellations by when this process has learned of them: clocks of
// entries may differ. Times are since began.
type earlyCancels struct {
	began time.Time
	mutex sync.Mutex
	since map[earlyCancel]time.Duration
	// count counts them by workspace.
	count   map[workspaceDigest]int
	sweptAt time.Duration
}

func newEarlyCancels() *earlyCancels {
	return &earlyCancels{began: time.Now(), since: map[earlyCancel]time.Duration{}, count: map[workspaceDigest]int{}}
}

func (t *earlyCancels) now() time.Duration { return time.Since(t.began) }

// add adds an early cancellation, or renews it. Those that have been known for stale are dropped at
// times: their deletion was missed.
func (t *earlyCancels) add(e earlyCancel, stale time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	if now-t.sweptAt > stale {
		t.sweptAt = now
		for old, since := range t.since {
			if now-since > stale {
				t.remove(old)
			}
		}
	}
	if _, known := t.since[e]; !known {
		t.count[e.workspace]++
	}
	t.since[e] = now
	earlyCancelsKept.Set(float64(len(t.since)))
}

// delete removes an early cancellation.
func (t *earlyCancels) delete(e earlyCancel) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.remove(e)
	earlyCancelsKept.Set(float64(len(t.since)))
}

// remove removes an early cancellation. The mutex is held.
func (t *earlyCancels) remove(e earlyCancel) {
	if _, known := t.since[e]; !known {
		return
	}
	delete(t.since, e)
	if t.count[e.workspace]--; t.count[e.workspace] == 0 {
		delete(t.count, e.workspace)
	}
}

// knownFor returns how long an early cancellation has been known.
func (t *earlyCancels) knownFor(e earlyCancel) (time.Duration, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	since, known := t.since[e]
	return t.now() - since, known
}

// countOf returns how many early cancellations of a workspace are known.
func (t *earlyCancels) countOf(workspace string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.count[digestOf(workspace)]
}

// replaceBy replaces the early cancellations by those of a read of the store. Those that are not
// among them and have been known for less than recent stay, since they may be newer than the read.
func (t *earlyCancels) replaceBy(newest *earlyCancels, recent time.Duration) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	for e, since := range t.since {
		if _, read := newest.since[e]; !read && now-since >= recent {
			t.remove(e)
		}
	}
	for e := range newest.since {
		if _, known := t.since[e]; !known {
			t.since[e] = now
			t.count[e.workspace]++
		}
	}
	earlyCancelsKept.Set(float64(len(t.since)))
}

// olderThan returns up to limit early cancellations that have been known for longer than age and for
// which keep does not hold.
func (t *earlyCancels) olderThan(age time.Duration, limit int, keep func(e earlyCancel) bool) []earlyCancel {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.now()
	var all []earlyCancel
	for e, since := range t.since {
		if len(all) == limit {
			break
		}
		if now-since > age && !keep(e) {
			all = append(all, e)
		}
	}
	return all
}

// maxEarlyCancelsOf returns how many early cancellations each workspace may have.
func (c *Controller) maxEarlyCancelsOf() int {
	workspaces := 1
	if config := c.config.Load(); config != nil {
		workspaces += len(config.Workspaces())
	}
	return maxEarlyCancels / workspaces
}

// cancelEarly cancels a job that is not known, so that it does not run if its submission comes late.
func (c *Controller) cancelEarly(ctx context.Context, r routedRequest, req Request) Response {
	e := newEarlyCancel(r.id, r.workspace)
	if _, known := c.jobs.early.knownFor(e); !known && c.jobs.early.countOf(r.workspace) >= c.maxEarlyCancelsOf() {
		return Response{Outcome: NotNow, Reason: "too many cancellations of unknown jobs", RetryAfter: maxRetryAfter}
	}
	// One that is known may be about to expire.
	if response := c.storeRecord(ctx, e.record(time.Now()), req); response.Outcome != Accepted {
		return response
	}
	// The job may have been stored meanwhile, and is canceled.
	if row, ok := c.jobs.get(r.id); ok && row.spec.Policy.Workspace == r.workspace {
		return Response{Outcome: Accepted, Reason: "stored meanwhile"}
	}
	return Response{Outcome: NoJob, Reason: "no such job"}
}

// deleteExpiredEarlyCancels deletes the early cancellations that no submission can be late for. One
// whose job is known stays until the job's final state is stored. An early cancellation may be stored
// again at any time, so that the deletion is appended only if nothing has been since the last read.
func (l *leadership) deleteExpiredEarlyCancels() {
	c := l.controller
	for range earlyCancelTries {
		if len(c.jobs.expiredEarlyCancels(1)) == 0 {
			return
		}
		err := c.deleteEarlyCancelsOnce()
		var mismatch *jaystore.EndMismatchError
		if errors.As(err, &mismatch) {
			continue
		}
		if err != nil {
			c.Logger.Warn().Str("event", "forget").Err(err).Msg("cannot delete early cancellations; trying again later")
		}
		return
	}
}

// deleteEarlyCancelsOnce reads the jobs' topic and deletes the early cancellations that have expired,
// unless other records are stored meanwhile.
func (c *Controller) deleteEarlyCancelsOnce() error {
	ctx, cancel := context.WithTimeout(c.ctx, maxPutWait)
	defer cancel()
	if err := c.jobsTail.Refresh(ctx); err != nil {
		return err
	}
	// What is read after this offset makes the append fail.
	at := c.jobsTail.NextOffset()
	var records []jaystore.Record
	for _, e := range c.jobs.expiredEarlyCancels(c.maxExpiredEarlyCancelsOf()) {
		records = append(records, jaystore.Record{Key: e.key()})
	}
	if len(records) == 0 {
		return nil
	}
	_, err := c.storeClient.Append(ctx, jaystore.Append{Topic: c.Topics.Jobs, Records: records, ExpectedEnd: &at})
	return err
}

// maxExpiredEarlyCancelsOf bounds the deletions in one append.
func (c *Controller) maxExpiredEarlyCancelsOf() int {
	const recordBytes = 64
	if c.StoreLimits.CallBytes == 0 {
		return maxExpiredEarlyCancels
	}
	return min(maxExpiredEarlyCancels, c.StoreLimits.CallBytes/recordBytes)
}

// cancelsEarly reports whether an early cancellation of a job is known.
func (t *jobTable) cancelsEarly(spec *jaytask.Job) bool {
	_, known := t.early.knownFor(newEarlyCancel(spec.ID, spec.Policy.Workspace))
	return known
}

// applyEarlyCancel applies a record of an early cancellation, whose key begins with the kind and
// goes on with rest.
func (t *jobTable) applyEarlyCancel(rest string, deleted bool) {
	e, ok := parseEarlyCancel(rest)
	if !ok {
		t.logger.Warn().Str("event", "record").Str("key", rest).Msg("skipping an early cancellation with an invalid key")
		return
	}
	if deleted {
		t.early.delete(e)
		return
	}
	id, changed := string(e.id[:]), false
	t.mutex.Lock()
	t.early.add(e, 2*t.recent)
	if row := t.jobs[id]; row != nil && row.spec != nil && digestOf(row.spec.Policy.Workspace) == e.workspace {
		changed = !row.canceled && !row.state.Ended()
		row.canceled = true
	}
	t.mutex.Unlock()
	if changed {
		t.reportChange(id)
	}
}

// expiredEarlyCancels returns up to limit early cancellations that may be deleted.
func (t *jobTable) expiredEarlyCancels(limit int) []earlyCancel {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.early.olderThan(t.recent, limit, func(e earlyCancel) bool {
		row := t.jobs[string(e.id[:])]
		return row != nil && row.spec != nil && !row.state.Ended() && digestOf(row.spec.Policy.Workspace) == e.workspace
	})
}
