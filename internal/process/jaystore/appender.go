package jaystore

import (
	"context"
	"errors"
	"sync"
	"time"
)

// maxGroupBytes bounds one grouped append, well under what the store takes in
// one call.
const maxGroupBytes = 1 << 20

// refusalsWaited is how many refusals in a row a record is kept for: some
// hundreds of milliseconds, in which a short overload passes.
const refusalsWaited = 3

// item is one record that waits to be stored.
type item struct {
	record   Record
	deadline time.Time
	// open tells that a try with this record was not answered.
	open bool
	done chan error
}

// Appender stores records that may be repeated without harm, one append at a
// time; whatever waits meanwhile goes with the next.
type Appender struct {
	client *Client
	topic  string
	pace   pace
	mutex  sync.Mutex
	queue  []*item
	wake   chan struct{}
}

// NewAppender returns an appender; Run carries its records.
func NewAppender(client *Client, topic string) *Appender {
	return &Appender{client: client, topic: topic, wake: make(chan struct{}, 1)}
}

// Put stores a record. It returns a NotStoredError or an UnknownError when it is
// not known to be stored by the deadline.
func (a *Appender) Put(r Record, deadline time.Time) error {
	i := &item{record: r, deadline: deadline, done: make(chan error, 1)}
	a.mutex.Lock()
	a.queue = append(a.queue, i)
	a.mutex.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return <-i.done
}

// Run stores records until ctx ends.
func (a *Appender) Run(ctx context.Context) {
	tries := 0
	var last error = &RefusedError{Operation: "append", Reason: "not tried"}
	for {
		group := a.take(last)
		if len(group) == 0 {
			select {
			case <-ctx.Done():
				return
			case <-a.wake:
			}
			continue
		}
		err := a.store(ctx, group)
		if err == nil {
			tries = 0
			for _, i := range group {
				i.done <- nil
			}
			continue
		}
		last = err
		a.putBack(group)
		if tries >= refusalsWaited || isSilence(err) {
			a.refuse(err)
		}
		if !pause(ctx, tries) {
			a.fail(err)
			return
		}
		tries++
	}
}

// take removes the next group and answers what has waited too long.
func (a *Appender) take(last error) []*item {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := time.Now()
	var group []*item
	bytes, n := 0, 0
	for _, i := range a.queue {
		if now.After(i.deadline) {
			i.done <- i.failure(last)
			n++
			continue
		}
		bytes += len(i.record.Key) + len(i.record.Value)
		if bytes > maxGroupBytes && len(group) > 0 {
			break
		}
		group = append(group, i)
		n++
	}
	a.queue = append([]*item(nil), a.queue[n:]...)
	return group
}

func isSilence(err error) bool {
	var silent *NoAnswerError
	return errors.As(err, &silent)
}

func (i *item) failure(last error) error {
	if i.open {
		return &UnknownOutcomeError{Cause: last}
	}
	return &NotStoredError{Cause: last}
}

// refuse answers what was never sent, or was refused each time: such a record
// will not be stored, and its caller may try again later.
func (a *Appender) refuse(err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	var open []*item
	for _, i := range a.queue {
		if i.open {
			open = append(open, i)
			continue
		}
		i.done <- &NotStoredError{Cause: err}
	}
	a.queue = open
}

func (a *Appender) putBack(group []*item) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.queue = append(append([]*item(nil), group...), a.queue...)
}

func (a *Appender) fail(err error) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, i := range a.queue {
		i.done <- i.failure(err)
	}
	a.queue = nil
}

func (a *Appender) store(ctx context.Context, group []*item) error {
	deadline := group[0].deadline
	records := make([]Record, len(group))
	for n, i := range group {
		records[n] = i.record
		if i.deadline.Before(deadline) {
			deadline = i.deadline
		}
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	_, err := a.pace.hedged(ctx, func(ctx context.Context, try int) (uint64, error) {
		return a.client.Append(ctx, Append{Topic: a.topic, Records: records, Try: try})
	})
	if isSilence(err) {
		for _, i := range group {
			i.open = true
		}
	}
	return err
}
