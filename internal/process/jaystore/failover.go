package jaystore

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const (
	// servedMargin is how long after an append began another call must have been served to
	// show that the store is not away as a whole.
	servedMargin = 100 * time.Millisecond
	// standbyTimeout bounds the attempt to open one standby topic, which may be silent as
	// well: four answers of a store that is not slow, by a wide margin.
	standbyTimeout = 500 * time.Millisecond
)

// Standby is one use of a standby topic; Number rises with each. While it is open, its
// records count in place of those of the main topic.
type Standby struct {
	Number uint64
	Topic  string
	Open   bool
}

// FailoverWriter stores the records of one term in a main topic. While that topic does not
// answer although the store serves other calls, it stores them in a standby topic, and moves
// them to the main topic once that answers again. Its exported fields are set before Write.
type FailoverWriter struct {
	Main *TermWriter
	// Standbys are the names of the standby topics. Without any, records wait for the main
	// topic.
	Standbys []string
	// NewWriter returns a writer of the same term for one use of a standby topic. Each use has
	// a producer of its own, since a writer that has given up an append cannot go on.
	NewWriter func(s Standby) *TermWriter
	// Announce stores the newest Standby where the next leader reads it before all records. It
	// returns an error if this term may be over.
	Announce func(ctx context.Context, s Standby) error
	// ServedAt returns when the store last served a call, as of jayclock.Elapsed.
	ServedAt func() time.Duration
	// Delay returns how long the main topic may leave an append without an answer, longer
	// while the store is slow as a whole.
	Delay func() time.Duration

	// turn has an element while records are written or moved. It guards the fields below, and is
	// made once. It is no mutex, since tests in simulated time wait for it.
	turn     chan struct{}
	makeTurn sync.Once
	// announced is the newest announcement.
	announced Standby
	// standby is the writer of the open standby topic, nil while there is none.
	standby *TermWriter
	// moved holds the records of the standby topic by key.
	moved map[string][]byte
	// mainErr is why the records could not be moved to the main topic.
	mainErr error
}

// Restore continues a failover of an earlier term, whose standby topic has been read. The
// records are those that Overlay has returned. They are moved until ctx ends.
func (w *FailoverWriter) Restore(ctx context.Context, open Standby, writer *TermWriter, moved map[string][]byte) {
	w.acquire()
	defer w.release()
	w.announced, w.standby, w.moved = open, writer, moved
	answered := make(chan error, 1)
	answered <- nil
	go w.moveOnceAnswered(ctx, answered)
}

// Announced sets the newest announcement of earlier terms.
func (w *FailoverWriter) Announced(newest Standby) {
	w.acquire()
	defer w.release()
	w.announced = newest
}

func (w *FailoverWriter) acquire() {
	w.makeTurn.Do(func() { w.turn = make(chan struct{}, 1) })
	w.turn <- struct{}{}
}

func (w *FailoverWriter) release() { <-w.turn }

// moveOnceAnswered moves the records of the standby topic to the main topic once the unanswered
// append of that has a result. It does not wait for a Write: readers that follow the main topic
// only would miss the records until there is something else to store.
func (w *FailoverWriter) moveOnceAnswered(ctx context.Context, answered <-chan error) {
	err := <-answered
	w.acquire()
	defer w.release()
	// What the main topic has rejected was to be stored in the standby topic as well.
	if err == nil || isRejected(err) {
		err = w.returnToMain(ctx)
	}
	w.mainErr = err
}

// Write stores the records. It retries until they are stored, ctx ends, or a higher term has
// written, which it reports as a FencedError. Records that the store does not accept as they are
// hold back no others; they are reported as a RejectedError.
func (w *FailoverWriter) Write(ctx context.Context, records []Record) error {
	w.acquire()
	defer w.release()
	var rejected RejectedError
	storable := make([]Record, 0, len(records))
	for _, r := range records {
		// What is stored in a standby topic must fit the main topic and the reverse.
		if err := w.Main.client.Limits.check(r, maxStandbyBytes); err != nil {
			rejected.add(r, err)
			continue
		}
		storable = append(storable, r)
	}
	return rejected.merge(w.write(ctx, storable))
}

// write stores records that are not too large.
func (w *FailoverWriter) write(ctx context.Context, records []Record) error {
	if w.mainErr != nil {
		return w.mainErr
	}
	if w.standby != nil {
		return w.writeStandby(ctx, records)
	}
	if w.announced.Open {
		// An attempt to open the standby topic has failed, or the main topic answered first.
		if err := w.announceClosed(ctx); err != nil {
			return err
		}
	}
	began, beganAt := jayclock.Elapsed(), time.Now()
	done := make(chan error, 1)
	go func() { done <- w.Main.Write(ctx, records) }()
	for {
		timer := time.NewTimer(w.Delay())
		select {
		case err := <-done:
			timer.Stop()
			return err
		case <-timer.C:
		}
		// The delay may have grown: the store has become slow.
		if len(w.Standbys) == 0 || w.ServedAt() < began+servedMargin || time.Since(beganAt) < w.Delay() {
			continue
		}
		for range w.Standbys {
			if opened, err := w.open(ctx, records); opened {
				go w.moveOnceAnswered(ctx, done)
				return err
			}
		}
	}
}

// open stores the records in the next standby topic and reports whether it has. The error is a
// RejectedError, or nil.
func (w *FailoverWriter) open(ctx context.Context, records []Record) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, standbyTimeout)
	defer cancel()
	number := w.announced.Number + 1
	next := Standby{Number: number, Topic: w.Standbys[number%uint64(len(w.Standbys))], Open: true}
	// A failed announcement may have been stored.
	w.announced = next
	if w.Announce(ctx, next) != nil {
		return false, nil
	}
	standby := w.NewWriter(next)
	if standby.FenceLowerTerms(ctx) != nil {
		return false, nil
	}
	w.moved = map[string][]byte{}
	w.standby = standby
	err := w.writeStandby(ctx, records)
	if err != nil && !isRejected(err) {
		w.standby = nil
		return false, nil
	}
	return true, err
}

// isRejected reports whether a write has stored all records but some that the store rejects.
func isRejected(err error) bool {
	var rejected *RejectedError
	return errors.As(err, &rejected)
}

// writeStandby stores the records in the standby topic.
func (w *FailoverWriter) writeStandby(ctx context.Context, records []Record) error {
	encoded := make([]Record, len(records))
	for i, r := range records {
		encoded[i] = Record{Key: w.announced.key(r.Key), Value: encodeStandby(r.Value)}
	}
	err := w.standby.Write(ctx, encoded)
	var rejected *RejectedError
	if err != nil && !errors.As(err, &rejected) {
		return err
	}
	if rejected != nil {
		for i, key := range rejected.Keys {
			rejected.Keys[i] = w.announced.mainKey(key)
		}
		records = rejected.without(records)
	}
	for _, r := range records {
		w.moved[r.Key] = r.Value
	}
	return err
}

// returnToMain moves the records of the standby topic to the main topic and closes the
// standby topic. Until the closing is announced, the records of the standby topic count, so
// nothing else is written to the main topic before.
func (w *FailoverWriter) returnToMain(ctx context.Context) error {
	var all []Record
	for key, value := range w.moved {
		all = append(all, Record{Key: key, Value: value})
	}
	if err := w.Main.Write(ctx, all); err != nil {
		return err
	}
	used, standby := w.announced, w.standby
	if err := w.announceClosed(ctx); err != nil {
		return err
	}
	w.standby, w.moved = nil, nil
	// A try that another one has overtaken may still read the records.
	deletions := make([]Record, len(all))
	for i, r := range all {
		deletions[i] = Record{Key: used.key(r.Key)}
	}
	// What stays if this fails is never read.
	go func() { _ = standby.Write(ctx, deletions) }()
	return nil
}

// announceClosed announces that the main topic has all records. It retries until ctx ends or the term
// is over.
func (w *FailoverWriter) announceClosed(ctx context.Context) error {
	closed := w.announced
	closed.Open = false
	for tries := 0; ; tries++ {
		err := w.Announce(ctx, closed)
		var fenced *FencedError
		if err == nil {
			w.announced = closed
			return nil
		}
		if errors.As(err, &fenced) || !sleepBackoff(ctx, tries) {
			return err
		}
	}
}

// key returns the key of a record in the standby topic.
func (s Standby) key(key string) string { return fmt.Sprintf("%d/%s", s.Number, key) }

// mainKey returns the key of a record whose key in the standby topic is given.
func (s Standby) mainKey(key string) string {
	_, main, _ := strings.Cut(key, "/")
	return main
}

// maxStandbyBytes bounds what a record in a standby topic has more than in the main topic: the
// number of up to 20 digits and the separator in its key, and the first byte of its value.
const maxStandbyBytes = 22

// standbyDeleted and standbyStored begin the values in a standby topic, where a deletion is a
// record as well.
const (
	standbyDeleted = 0
	standbyStored  = 1
)

func encodeStandby(value []byte) []byte {
	if value == nil {
		return []byte{standbyDeleted}
	}
	return append([]byte{standbyStored}, value...)
}

// Overlay returns the records of an open standby topic by key, with nil for deleted ones, and
// the main topic's records with these in their place.
func (s Standby) Overlay(main, standby []Record) (moved map[string][]byte, all []Record) {
	moved = map[string][]byte{}
	for _, r := range standby {
		number, key, ok := strings.Cut(r.Key, "/")
		if !ok || number != fmt.Sprint(s.Number) || len(r.Value) == 0 {
			continue
		}
		moved[key] = nil
		if r.Value[0] == standbyStored {
			moved[key] = r.Value[1:]
		}
	}
	for _, r := range main {
		if _, replaced := moved[r.Key]; !replaced {
			all = append(all, r)
		}
	}
	for key, value := range moved {
		if value != nil {
			all = append(all, Record{Key: key, Value: value})
		}
	}
	return moved, all
}
