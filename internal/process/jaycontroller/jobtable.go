// Package jaycontroller is an entry: it takes jobs from callers, stores them, answers
// what became of them, and one entry at a time holds the term and decides.
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

// jobEntry is what the store says of one job.
type jobEntry struct {
	spec     *jaytask.Job
	canceled bool
	state    jaytask.State
	// stateAt is when the state was reached.
	stateAt time.Time
}

// shown returns the state that callers are told.
func (e *jobEntry) shown() jaytask.State {
	switch {
	case e.state.Ended():
		return e.state
	case e.canceled:
		return jaytask.Canceled
	case e.state == 0:
		return jaytask.Queued
	}
	return e.state
}

// jobTable is the fold of the jobs' topic.
type jobTable struct {
	logger zerolog.Logger
	// accepted and canceled are called, without the table's mutex, for each job
	// and cancellation that is new.
	accepted func(j *jaytask.Job)
	canceled func(id string)

	// ended tells of each final state.
	ended notice

	mutex sync.Mutex
	jobs  map[string]*jobEntry
}

func newJobTable(logger zerolog.Logger) *jobTable {
	return &jobTable{logger: logger, jobs: map[string]*jobEntry{}}
}

// replace takes the newest records of all jobs and cancellations; their states,
// which are stored elsewhere, stay. A job that has ended is no news.
func (t *jobTable) replace(all []jaystore.StoredRecord) {
	fresh := newJobTable(t.logger)
	for _, s := range all {
		fresh.apply(s.Key, s.Value)
	}
	var accepted []*jaytask.Job
	var canceled []string
	t.mutex.Lock()
	for id, e := range fresh.jobs {
		old := t.jobs[id]
		if old != nil {
			e.state, e.stateAt = old.state, old.stateAt
		}
		if e.spec == nil || e.state.Ended() {
			continue
		}
		if old == nil || old.spec == nil {
			accepted = append(accepted, e.spec)
		}
		if e.canceled && (old == nil || !old.canceled) {
			canceled = append(canceled, id)
		}
	}
	t.jobs = fresh.jobs
	t.mutex.Unlock()
	for _, j := range accepted {
		if t.accepted != nil {
			t.accepted(j)
		}
	}
	for _, id := range canceled {
		if t.canceled != nil {
			t.canceled(id)
		}
	}
}

// apply takes a record of the store. Records may come twice and a little out of
// order, from a peer and from the store; a final state is never left again.
func (t *jobTable) apply(key string, value []byte) {
	kind, id, ok := strings.Cut(key, "/")
	if !ok {
		t.logger.Warn().Str("event", "record").Str("key", key).Msg("skipping a record with an unknown key")
		return
	}
	if value == nil {
		t.drop(kind, id)
		return
	}
	var fresh *jaytask.Job
	var canceled, ended bool
	t.mutex.Lock()
	e := t.jobs[id]
	if e == nil {
		e = &jobEntry{}
		t.jobs[id] = e
	}
	switch kind {
	case "j":
		if e.spec == nil {
			spec, err := jaytask.DecodeJob(id, value)
			if err != nil {
				t.logger.Error().Str("event", "record").Str("job", id).Err(err).Msg("skipping a job that cannot be read")
				break
			}
			e.spec = spec
			if !e.state.Ended() {
				fresh = spec
			}
		}
	case "c":
		canceled = !e.canceled
		e.canceled = true
	case "s":
		state, at, err := jaycell.DecodeState(value)
		if err != nil {
			t.logger.Error().Str("event", "record").Str("job", id).Err(err).Msg("skipping a state that cannot be read")
			break
		}
		if !e.state.Ended() {
			e.state, e.stateAt, ended = state, at, state.Ended()
		}
	}
	t.mutex.Unlock()
	if ended {
		t.ended.broadcast()
	}
	if fresh != nil && t.accepted != nil {
		t.accepted(fresh)
	}
	if canceled && t.canceled != nil {
		t.canceled(id)
	}
}

func (t *jobTable) drop(kind, id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if kind == "j" {
		delete(t.jobs, id)
	}
}

// get returns a copy of what is known of a job.
func (t *jobTable) get(id string) (jobEntry, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	e := t.jobs[id]
	if e == nil || e.spec == nil {
		return jobEntry{}, false
	}
	return *e, true
}

// await returns what is known of a job once it has ended or ctx is done.
func (t *jobTable) await(ctx context.Context, id string) (jobEntry, bool) {
	for {
		changed := t.ended.wait()
		e, ok := t.get(id)
		if !ok || e.shown().Ended() {
			return e, ok
		}
		select {
		case <-ctx.Done():
			return e, ok
		case <-changed:
		}
	}
}

// pending counts a route's jobs that have not begun and are not over.
func (t *jobTable) pending(route string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	n := 0
	for _, e := range t.jobs {
		if e.spec != nil && e.spec.Policy.Route == route && e.shown() == jaytask.Queued {
			n++
		}
	}
	return n
}

// expired returns at most so many jobs that ended before a time, the earliest first.
func (t *jobTable) expired(before time.Time, most int) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var ids []string
	for id, e := range t.jobs {
		if e.spec != nil && e.state.Ended() && e.stateAt.Before(before) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b string) int { return t.jobs[a].stateAt.Compare(t.jobs[b].stateAt) })
	return ids[:min(len(ids), most)]
}

// open returns the jobs that are not over, and those that were canceled and
// whose end is not recorded.
func (t *jobTable) open() []jobEntry {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var all []jobEntry
	for _, e := range t.jobs {
		if e.spec != nil && !e.state.Ended() {
			all = append(all, *e)
		}
	}
	return all
}

// cancelRecord is the record of a cancellation at the time given.
func cancelRecord(id string, at time.Time) jaystore.Record {
	return jaystore.Record{Key: jaycell.CancelKey(id), Value: jaycell.EncodeState(jaytask.Canceled, at)}
}
