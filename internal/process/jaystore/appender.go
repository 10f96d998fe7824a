package jaystore

import (
	"context"
	"errors"
	"sync"
	"time"
)

// maxGroupBytes bounds one grouped append, well under the store's limit for one call.
const maxGroupBytes = 1 << 20

// maxRetriedRefusals is how many refusals in a row are retried before waiting
// records fail: some hundreds of milliseconds, enough for a short overload to pass.
const maxRetriedRefusals = 3

// pendingRecord is a record that waits to be stored.
type pendingRecord struct {
	record   Record
	deadline time.Time
	// unanswered is set once a try with this record got no answer, so that the
	// record may have been stored.
	unanswered bool
	done       chan error
}

// Appender stores records whose appends are idempotent. One append is in flight
// at a time; records that arrive meanwhile are grouped into the next.
type Appender struct {
	client  *Client
	topic   string
	latency latencyTracker
	mutex   sync.Mutex
	queue   []*pendingRecord
	// maxGroup bounds the records of the next group, zero if only their size does. It is used by
	// Run only.
	maxGroup int
	wake     chan struct{}
	// ended is set once Run has returned: nothing is stored any more.
	ended bool
}

// SetMinHedgeDelay makes the appender wait at least as long as f returns before it sends a
// second try. It is called before Run.
func (a *Appender) SetMinHedgeDelay(f func() time.Duration) { a.latency.minDelay = f }

// NewAppender returns an appender, which stores records while Run is running.
func NewAppender(client *Client, topic string) *Appender {
	return &Appender{client: client, topic: topic, wake: make(chan struct{}, 1)}
}

// Put stores a record. It returns a NotStoredError or an UnknownOutcomeError when
// the record is not known to be stored by the deadline. IsRejection tells whether a record
// that is not stored never will be as it is.
func (a *Appender) Put(r Record, deadline time.Time) error {
	return <-a.add(r, deadline)
}

// add hands a record to Run and returns where its outcome arrives.
func (a *Appender) add(r Record, deadline time.Time) <-chan error {
	p := &pendingRecord{record: r, deadline: deadline, done: make(chan error, 1)}
	if err := a.client.Limits.check(r, 0); err != nil {
		recordsRejected.Inc()
		p.done <- &NotStoredError{Cause: err}
		return p.done
	}
	if !a.enqueue(p) {
		p.done <- &NotStoredError{Cause: context.Canceled}
		return p.done
	}
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return p.done
}

// enqueue adds a record to the queue and reports whether it will be handled.
func (a *Appender) enqueue(p *pendingRecord) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.ended {
		return false
	}
	a.queue = append(a.queue, p)
	return true
}

// Run stores records until ctx ends.
func (a *Appender) Run(ctx context.Context) {
	defer a.end()
	tries := 0
	var last error = &RefusedError{Operation: "append", Reason: "not tried"}
	for {
		group := a.nextGroup(last)
		if len(group) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-a.wake:
			}
			continue
		}
		err := a.appendGroup(ctx, group)
		if err == nil {
			tries = 0
			a.maxGroup = nextMaxGroup(a.maxGroup)
			for _, p := range group {
				p.done <- nil
			}
			continue
		}
		if IsRejection(err) {
			a.handleRejection(group, err)
			continue
		}
		last = err
		a.requeue(group)
		// Records that may have been stored are retried until their deadline.
		if tries >= maxRetriedRefusals || isNoAnswer(err) {
			a.failNotStored(err)
		}
		if !sleepBackoff(ctx, tries) {
			a.failAll(err)
			return
		}
		tries++
	}
}

// handleRejection narrows a rejected group down to the record for which the store rejects it, which
// fails: it holds back no others.
func (a *Appender) handleRejection(group []*pendingRecord, err error) {
	if len(group) > 1 {
		a.requeue(group)
		a.maxGroup = len(group) / 2
		return
	}
	// Earlier tries with this record were rejected as well, whenever they were executed.
	recordsRejected.Inc()
	group[0].done <- &NotStoredError{Cause: err}
}

// nextMaxGroup returns the bound of the group after one that was stored.
func nextMaxGroup(bound int) int {
	if bound >= maxNarrowedGroup {
		return 0
	}
	return 2 * bound
}

// maxNarrowedGroup is the number of records from which a group is bounded by its size only.
const maxNarrowedGroup = 1 << 12

// nextGroup removes the next group from the queue and fails records whose deadline
// has passed, with last as the cause.
func (a *Appender) nextGroup(last error) []*pendingRecord {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	var group []*pendingRecord
	bytes, n := 0, 0
	for _, p := range a.queue {
		if now.After(p.deadline) {
			p.done <- p.outcomeError(last)
			n++
			continue
		}
		bytes += recordLengthBytes + recordBytes(p.record)
		if len(group) > 0 && (bytes > a.client.Limits.groupBytes() || a.maxGroup > 0 && len(group) >= a.maxGroup) {
			break
		}
		group = append(group, p)
		n++
	}
	a.queue = append([]*pendingRecord(nil), a.queue[n:]...)
	return group
}

func isNoAnswer(err error) bool {
	var noAnswer *NoAnswerError
	return errors.As(err, &noAnswer)
}

// outcomeError returns the error for a record that is not known to be stored.
func (p *pendingRecord) outcomeError(last error) error {
	if p.unanswered {
		return &UnknownOutcomeError{Cause: last}
	}
	return &NotStoredError{Cause: last}
}

// failNotStored fails the records that were never sent or were refused on every try.
// They will not be stored, so their callers may try again later.
func (a *Appender) failNotStored(err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var unanswered []*pendingRecord
	for _, p := range a.queue {
		if p.unanswered {
			unanswered = append(unanswered, p)
			continue
		}
		p.done <- &NotStoredError{Cause: err}
	}
	a.queue = unanswered
}

func (a *Appender) requeue(group []*pendingRecord) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.queue = append(append([]*pendingRecord(nil), group...), a.queue...)
}

// end fails the records that are left, and all that come later.
func (a *Appender) end() {
	a.mutex.Lock()
	a.ended = true
	a.mutex.Unlock()
	a.failAll(context.Canceled)
}

func (a *Appender) failAll(err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, p := range a.queue {
		p.done <- p.outcomeError(err)
	}
	a.queue = nil
}

func (a *Appender) appendGroup(ctx context.Context, group []*pendingRecord) error {
	deadline := group[0].deadline
	records := make([]Record, len(group))
	for n, p := range group {
		records[n] = p.record
		if p.deadline.Before(deadline) {
			deadline = p.deadline
		}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	_, err := a.latency.hedgedAppend(ctx, func(ctx context.Context, try int) (uint64, error) {
		return a.client.Append(ctx, Append{Topic: a.topic, Records: records, Try: try})
	})
	if isNoAnswer(err) {
		for _, p := range group {
			p.unanswered = true
		}
	}
	return err
}
