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
	// Apply takes a record; a nil value is a dropped key. It must not block.
	Apply func(s StoredRecord)
	// Replace takes the newest records of all keys at once; keys that are not
	// among them are gone. Without it, Apply takes them one by one.
	Replace func(all []StoredRecord)
	// Wait is how long one read waits for records, Pause how long the tail rests
	// after records came.
	Wait       time.Duration
	BatchDelay time.Duration
	// Failed is called with each failure, and with each UnreadableError.
	OnError func(err error)

	mutex  sync.Mutex
	next   uint64
	end    uint64
	loaded bool
	fresh  time.Duration
}

// Age returns how old the tail's knowledge may be, and false before it has any.
func (t *Tail) Age() (time.Duration, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return jayclock.Elapsed() - t.fresh, t.loaded
}

// Run follows the topic until ctx ends.
func (t *Tail) Run(ctx context.Context) {
	for tries := 0; ctx.Err() == nil; {
		// After a failure the tail asks without waiting, to see at once when the
		// store is back.
		wait := t.Wait
		if tries > 0 {
			wait = 0
		}
		n, err := t.step(ctx, wait)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			t.OnError(err)
			tries++
			pause(ctx, tries)
			continue
		}
		tries = 0
		if n > 0 && t.BatchDelay > 0 {
			jayclock.Sleep(ctx, t.BatchDelay)
		}
	}
}

// Refresh reads what the topic holds now.
func (t *Tail) Refresh(ctx context.Context) error {
	for {
		t.mutex.Lock()
		loaded := t.loaded
		t.mutex.Unlock()
		n, err := t.step(ctx, 0)
		if err != nil {
			return err
		}
		if n == 0 || loaded && t.caughtUp() {
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

// step loads the newest records once, then reads on. It returns how many
// records came.
func (t *Tail) step(ctx context.Context, wait time.Duration) (int, error) {
	t.mutex.Lock()
	loaded, from := t.loaded, t.next
	t.mutex.Unlock()
	if !loaded {
		return t.load(ctx)
	}
	asked := jayclock.Elapsed()
	call, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	chunk, err := t.Client.Read(call, t.Topic, from, wait)
	var expired *ExpiredError
	if errors.As(err, &expired) {
		t.mutex.Lock()
		t.loaded = false
		t.mutex.Unlock()
		return 1, nil
	}
	if err != nil {
		return 0, err
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	// A read that waited and found nothing speaks for the time of its answer less
	// the way back; the time of asking is the safe bound.
	t.fresh = max(t.fresh, asked)
	t.end = max(t.end, chunk.End)
	if chunk.Next <= t.next {
		return 0, nil
	}
	for _, s := range chunk.Records {
		if s.Offset >= t.next {
			t.Apply(s)
		}
	}
	t.next = chunk.Next
	t.skip(chunk.Unreadable)
	return len(chunk.Records), nil
}

// skip reports records that were left out.
func (t *Tail) skip(unreadable int) {
	if unreadable > 0 {
		t.OnError(&UnreadableError{Topic: t.Topic, Count: unreadable})
	}
}

// load pages the newest records. Pages are no snapshot: the tail then reads on
// from where the topic ended before the first page.
func (t *Tail) load(ctx context.Context) (int, error) {
	asked := jayclock.Elapsed()
	var all []StoredRecord
	var end uint64
	after := ""
	for first := true; ; first = false {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := t.Client.Newest(call, t.Topic, after)
		cancel()
		if err != nil {
			return 0, err
		}
		if first {
			end = page.End
		}
		all = append(all, page.Records...)
		t.skip(page.Unreadable)
		if !page.More || len(page.Records) == 0 {
			break
		}
		after = page.Records[len(page.Records)-1].Key
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.loaded {
		return 0, nil
	}
	if t.Replace != nil {
		t.Replace(all)
	} else {
		for _, s := range all {
			t.Apply(s)
		}
	}
	t.next, t.loaded, t.fresh = end, true, asked
	return len(all), nil
}

// NextOffset returns the offset that the tail reads next.
func (t *Tail) NextOffset() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.next
}

// LoadAll returns the newest record of each key of a topic that nobody else may
// write to meanwhile, so that its pages belong together. failed is called with each
// UnreadableError.
func LoadAll(ctx context.Context, c *Client, topic string, failed func(err error)) ([]Record, error) {
	var all []Record
	t := &Tail{Client: c, Topic: topic, OnError: failed, Apply: func(s StoredRecord) {
		if s.Value != nil {
			all = append(all, s.Record)
		}
	}}
	if _, err := t.load(ctx); err != nil {
		return nil, err
	}
	return all, nil
}
