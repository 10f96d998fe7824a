package jaystore

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

// Tail follows a topic. All fields are set before Run.
type Tail struct {
	Client *Client
	Topic  string
	// Apply handles a record; a nil value deletes its key. It must not block.
	Apply func(s StoredRecord)
	// Replace handles the newest records of all keys at once; keys that are not
	// among them no longer exist. If it is nil, Apply gets the records one by one.
	Replace func(all []StoredRecord)
	// Wait is how long one read waits for records, BatchDelay the delay after a read
	// that returned records.
	Wait       time.Duration
	BatchDelay time.Duration
	// MaxWait returns an upper bound of Wait for the next read; nil means none.
	MaxWait func() time.Duration
	// OnError is called with each failed read and with each UnreadableError.
	OnError func(err error)

	mutex   sync.Mutex
	next    uint64
	end     uint64
	loaded  bool
	freshAt time.Duration
	// loads counts the loads of the newest records.
	loads uint64
}

// Age returns the time since the tail was last known to be up to date, and false
// before the topic was loaded.
func (t *Tail) Age() (time.Duration, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return jayclock.Elapsed() - t.freshAt, t.loaded
}

// CompleteAge returns the time since the tail is known to have had all records of the topic, and
// false if it does not have them all.
func (t *Tail) CompleteAge() (time.Duration, bool) {
	at, complete := t.CompleteAt()
	return jayclock.Elapsed() - at, complete
}

// CompleteAt returns when the tail is known to have had all records of the topic, as of
// jayclock.Elapsed, and false if it does not have them all.
func (t *Tail) CompleteAt() (time.Duration, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.freshAt, t.loaded && t.next >= t.end
}

// Run follows the topic until ctx ends.
func (t *Tail) Run(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; {
		// After a failure reads do not wait for records, so that a store that is back
		// is noticed at once.
		wait := t.Wait
		if t.MaxWait != nil {
			wait = min(wait, t.MaxWait())
		}
		if tries > 0 {
			wait = 0
		}
		n, err := t.readNext(ctx, wait)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			t.OnError(err)
			tries++
			sleepBackoff(ctx, tries)
			continue
		}
		tries = 0
		if n > 0 && t.BatchDelay > 0 {
			jayclock.Sleep(ctx, t.BatchDelay)
		}
	}
}

// Refresh reads up to the current end of the topic. It goes by the end that a read of its
// own has told: another reader may have applied, or loaded, less.
func (t *Tail) Refresh(ctx context.Context) error {
	for {
		n, err := t.readNext(ctx, 0)
		if err != nil {
			return err
		}
		if n != notRead && t.caughtUp() {
			return nil
		}
	}
}

// caughtUp reports whether the last read reached the end of the topic.
func (t *Tail) caughtUp() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.loaded && t.next >= t.end
}

// notRead is what readNext returns if it has not read up to the topic's end: it has loaded the newest
// records, or the next read will, since those at the offset had been deleted.
const notRead = -1

// readNext loads the newest records the first time and reads on from there
// afterwards. It returns the number of records, or notRead.
func (t *Tail) readNext(ctx context.Context, wait time.Duration) (int, error) {
	t.mutex.Lock()
	loaded, from := t.loaded, t.next
	t.mutex.Unlock()
	if !loaded {
		return notRead, t.loadNewest(ctx)
	}
	requestedAt := jayclock.Elapsed()
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	result, err := t.Client.Read(call, t.Topic, from, wait)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		t.expire(from)
		return notRead, nil
	}
	if err != nil {
		return 0, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// An empty answer is as fresh as the moment the store sent it, which is unknown;
	// the time of the request is the safe bound.
	t.freshAt = max(t.freshAt, requestedAt)
	t.end = max(t.end, result.End)
	// Another reader may have read further, or have loaded the topic up to an earlier offset: the
	// records in between are still to be read.
	if result.Next <= t.next || from > t.next {
		return 0, nil
	}
	for _, s := range result.Records {
		if s.Offset >= t.next {
			t.Apply(s)
		}
	}
	t.next = result.Next
	t.reportUnreadable(result.Unreadable)
	return len(result.Records), nil
}

// expire lets the newest records be loaded again, since those at an offset have been deleted. It
// does nothing if another reader has read further, or has expired the tail already.
func (t *Tail) expire(from uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if from >= t.next {
		t.loaded = false
	}
}

// reportUnreadable reports records that were skipped.
func (t *Tail) reportUnreadable(unreadable int) {
	if unreadable > 0 {
		t.OnError(&UnreadableError{Topic: t.Topic, Count: unreadable})
	}
}

// loadNewest loads the newest records page by page. The pages are not a consistent
// snapshot, so the tail reads on from the topic's end before the first page.
func (t *Tail) loadNewest(ctx context.Context) error {
	requestedAt := jayclock.Elapsed()
	t.mutex.Lock()
	loads := t.loads
	t.mutex.Unlock()
	var all []StoredRecord
	var end uint64
	after := ""
	for first := true; ; first = false {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := t.Client.Newest(call, t.Topic, after)
		cancel()
		if err != nil {
			return err
		}
		if first {
			end = page.End
		}
		all = append(all, page.Records...)
		t.reportUnreadable(page.Unreadable)
		if !page.More {
			break
		}
		next := page.LastKey
		if next == "" && len(page.Records) > 0 {
			next = page.Records[len(page.Records)-1].Key
		}
		if next == after || next == "" {
			// A part of the records must not be taken for all of them.
			return &IncompleteError{Topic: t.Topic, After: after}
		}
		after = next
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// A slow load must not replace what another reader has loaded and read since.
	if t.loaded || t.loads != loads {
		return nil
	}
	if t.Replace != nil {
		t.Replace(all)
	} else {
		for _, s := range all {
			t.Apply(s)
		}
	}
	t.next, t.loaded, t.freshAt = end, true, requestedAt
	t.loads++
	return nil
}

// NextOffset returns the offset that the tail reads next.
func (t *Tail) NextOffset() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.next
}

// LoadAll returns the newest record of each key of a topic. No other process may
// write to the topic meanwhile, or the pages would be inconsistent. onError is called
// with each UnreadableError.
func LoadAll(ctx context.Context, c *Client, topic string, onError func(err error)) ([]Record, error) {
	var all []Record
	t := &Tail{Client: c, Topic: topic, OnError: onError, Apply: func(s StoredRecord) {
		if s.Value != nil {
			all = append(all, s.Record)
		}
	}}
	if err := t.loadNewest(ctx); err != nil {
		return nil, err
	}
	return all, nil
}
