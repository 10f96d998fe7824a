package jaycontroller

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// jobRow is what the store holds about one job.
type jobRow struct {
	// spec is nil until the job's record arrives, and if it is invalid.
	spec     *jaytask.Job
	invalid  bool
	canceled bool
	state    jaytask.State
	// stateAt is when the state was reached.
	stateAt time.Time
}

// callerState returns the state reported to callers, in which a cancellation takes
// effect at once.
func (r *jobRow) callerState() jaytask.State {
	switch {
	case r.state.Ended():
		return r.state
	case r.canceled:
		return jaytask.Canceled
	case r.state == 0:
		return jaytask.Queued
	}
	return r.state
}

// jobTable holds the jobs, cancellations and states that were read from the store or
// received from peers.
type jobTable struct {
	logger zerolog.Logger
	// onChanged is called without the table's mutex held when an unfinished job becomes
	// known or canceled. It reads the row: a job and its cancellation arrive in any order,
	// and so may the calls.
	onChanged func(id string)
	// recent is the age up to which a fact may be missing from a read of the store that
	// began before it was stored, and up to which a peer's copy of it is of use. It must
	// be well below the retention: older facts that are missing have been deleted.
	recent time.Duration

	// jobEnded is notified of each final state.
	jobEnded changeNotifier
	// early holds the cancellations that came before their jobs. Its mutex is locked last.
	early *earlyCancels

	// mutex is locked after those of the controller and of a leadership.
	mutex sync.Mutex
	jobs  map[string]*jobRow
}

func newJobTable(logger zerolog.Logger) *jobTable {
	return &jobTable{logger: logger, jobs: map[string]*jobRow{}, early: newEarlyCancels()}
}

// isRecent reports whether a row's newest dated fact is recent.
func (t *jobTable) isRecent(r *jobRow) bool {
	newest := r.stateAt
	if r.spec != nil && r.spec.Accepted.After(newest) {
		newest = r.spec.Accepted
	}
	return time.Since(newest) < t.recent
}

// isReused reports whether a job was accepted under the ID of another one that has been deleted,
// long after its end. A request that is repeated while the job is being stored stores it again,
// with another time: that is the same job.
func (t *jobTable) isReused(old *jobRow, spec *jaytask.Job) bool {
	return old.state.Ended() && spec.Accepted.Sub(old.stateAt) > t.recent
}

// replace replaces the jobs and cancellations with the store's newest records of all of
// them. States are kept, since they are stored in another topic, and so are rows and
// cancellations that may be newer than the read. Jobs that have ended are not reported
// as new.
func (t *jobTable) replace(all []jaystore.StoredRecord) {
	newest := newJobTable(t.logger)
	newest.recent = t.recent
	for _, s := range all {
		newest.apply(s.Key, s.Value)
	}
	var changed []string
	t.mutex.Lock()
	t.early.replaceBy(newest.early, t.recent)
	for id, row := range newest.jobs {
		row.canceled = row.canceled || row.spec != nil && t.cancelsEarly(row.spec)
		old := t.jobs[id]
		if old != nil && row.spec != nil && t.isReused(old, row.spec) {
			old = nil
		}
		if old != nil {
			row.state, row.stateAt = old.state, old.stateAt
			row.canceled = row.canceled || old.canceled
		}
		if row.spec == nil || row.state.Ended() {
			continue
		}
		if old == nil || old.spec == nil || row.canceled && !old.canceled {
			changed = append(changed, id)
		}
	}
	for id, old := range t.jobs {
		if newest.jobs[id] != nil || !t.isRecent(old) {
			continue
		}
		newest.jobs[id] = old
		if old.spec != nil && !old.canceled && t.cancelsEarly(old.spec) {
			old.canceled = true
			if !old.state.Ended() {
				changed = append(changed, id)
			}
		}
	}
	t.jobs = newest.jobs
	t.mutex.Unlock()
	for _, id := range changed {
		t.reportChange(id)
	}
}

func (t *jobTable) reportChange(id string) {
	if t.onChanged != nil {
		t.onChanged(id)
	}
}

// apply applies a record of the store; a nil value deletes. Records may arrive twice
// and slightly out of order, from a peer and from the store. A final state does not
// change again.
func (t *jobTable) apply(key string, value []byte) {
	// The kinds are earlyCancelKind and those of jaycell.JobKey, CancelKey and StateKey.
	kind, id, ok := strings.Cut(key, "/")
	if !ok {
		t.logger.Warn().Str("event", "record").Str("key", key).Msg("skipping a record with an unknown key")
		return
	}
	if kind == earlyCancelKind {
		t.applyEarlyCancel(id, value == nil)
		return
	}
	if value == nil {
		t.delete(kind, id)
		return
	}
	var changed, ended bool
	t.mutex.Lock()
	row := t.jobs[id]
	if row == nil {
		row = &jobRow{}
		t.jobs[id] = row
	}
	switch kind {
	case "j":
		if row.spec == nil {
			spec, err := jaytask.DecodeJob(id, value)
			if err != nil {
				row.invalid = true
				t.logger.Error().Str("event", "record").Str("job", id).Err(err).Msg("skipping an invalid job record")
				break
			}
			row.spec, changed = spec, true
			row.canceled = row.canceled || t.cancelsEarly(spec)
		}
	case "c":
		changed = !row.canceled
		row.canceled = true
	case "s":
		state, at, err := jaycell.DecodeState(value)
		if err != nil {
			t.logger.Error().Str("event", "record").Str("job", id).Err(err).Msg("skipping an invalid state record")
			break
		}
		if !row.state.Ended() {
			row.state, row.stateAt, ended = state, at, state.Ended()
		}
	}
	changed = changed && row.spec != nil && !row.state.Ended()
	t.mutex.Unlock()
	if ended {
		t.jobEnded.broadcast()
	}
	if changed {
		t.reportChange(id)
	}
}

// applyCopy applies a record that this entry did not get from the store. A copy that is
// not recent is left to the store, which holds it unless it has been deleted since.
func (t *jobTable) applyCopy(key string, value []byte) {
	at, err := recordTime(key, value)
	if err != nil {
		t.logger.Error().Str("event", "record").Str("key", key).Err(err).Msg("skipping an invalid copy of a record")
		return
	}
	if age := time.Since(at); age > t.recent {
		t.logger.Info().Str("event", "record").Str("key", key).Int64("age_ms", age.Milliseconds()).Msg("skipping a late copy of a record")
		return
	}
	t.apply(key, value)
}

// recordTime returns when a job was accepted or canceled, or reached its state.
func recordTime(key string, value []byte) (time.Time, error) {
	if id, ok := strings.CutPrefix(key, jaycell.JobKey("")); ok {
		spec, err := jaytask.DecodeJob(id, value)
		if err != nil {
			return time.Time{}, err
		}
		return spec.Accepted, nil
	}
	_, at, err := jaycell.DecodeState(value)
	return at, err
}

// delete applies the deletion of a record. That of the job itself removes its row. That
// of its state comes after it, but from another topic: only a state without a job goes.
func (t *jobTable) delete(kind, id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := t.jobs[id]
	switch {
	case kind == "j":
		delete(t.jobs, id)
	case kind == "s" && row != nil && row.spec == nil:
		row.state, row.stateAt = 0, time.Time{}
		if *row == (jobRow{}) {
			delete(t.jobs, id)
		}
	}
}

// isStored reports whether a record of the job has been read, valid or not.
func (t *jobTable) isStored(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := t.jobs[id]
	return row != nil && (row.spec != nil || row.invalid)
}

// get returns a copy of a job's row.
func (t *jobTable) get(id string) (jobRow, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := t.jobs[id]
	if row == nil || row.spec == nil {
		return jobRow{}, false
	}
	return *row, true
}

// awaitEnd returns a job's row once the job has ended or ctx is done.
func (t *jobTable) awaitEnd(ctx context.Context, id string) (jobRow, bool) {
	for {
		changed := t.jobEnded.changed()
		row, ok := t.get(id)
		if !ok || row.callerState().Ended() {
			return row, ok
		}
		select {
		case <-ctx.Done():
			return row, ok
		case <-changed:
		}
	}
}

// countQueued returns the number of a route's jobs that are queued.
func (t *jobTable) countQueued(route string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := 0
	for _, row := range t.jobs {
		if row.spec != nil && row.spec.Policy.Route == route && row.callerState() == jaytask.Queued {
			n++
		}
	}
	return n
}

// endedBefore returns up to limit jobs that ended before a time, the earliest first.
func (t *jobTable) endedBefore(before time.Time, limit int) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ids []string
	for id, row := range t.jobs {
		if row.spec != nil && row.state.Ended() && row.stateAt.Before(before) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return t.jobs[a].stateAt.Compare(t.jobs[b].stateAt) })
	return ids[:min(len(ids), limit)]
}

// hasStateSince reports whether a job is known whose state was reached at or after a time, or may
// still change.
func (t *jobTable) hasStateSince(id string, since time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row := t.jobs[id]
	return row != nil && row.spec != nil && row.state != 0 && (!row.state.Ended() || !row.stateAt.Before(since))
}

// unfinished returns the jobs without a final state, including canceled jobs whose
// end is not recorded yet.
func (t *jobTable) unfinished() []jobRow {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []jobRow
	for _, row := range t.jobs {
		if row.spec != nil && !row.state.Ended() {
			all = append(all, *row)
		}
	}
	return all
}

// cancelRecord returns the record of a cancellation at the time given.
func cancelRecord(id string, at time.Time) jaystore.Record {
	return jaystore.Record{Key: jaycell.CancelKey(id), Value: jaycell.EncodeState(jaytask.Canceled, at)}
}
