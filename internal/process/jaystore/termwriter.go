package jaystore

import (
	"context"
	"errors"
)

// TermLog writes the records of one term to one topic. Every append names term
// and sequence, so that repeats take effect once and a later term ends them all.
type TermWriter struct {
	client   *Client
	topic    string
	pace     pace
	producer string
	term     uint64
	sequence uint64
	// settled tells that the store has taken an append of this term.
	settled bool
}

// NewTermLog returns a log for a term that has been taken.
func NewTermWriter(client *Client, topic, producer string, term uint64) *TermWriter {
	return &TermWriter{client: client, topic: topic, producer: producer, term: term}
}

// Seal makes the store refuse all lower terms from now on.
func (l *TermWriter) FenceLowerTerms(ctx context.Context) error { return l.append(ctx, nil) }

// Write stores the records. It repeats until they are stored, ctx ends, or the
// term is over, which it reports as a FencedError.
func (l *TermWriter) Write(ctx context.Context, records []Record) error {
	for len(records) > 0 {
		n, bytes := 0, 0
		for n < len(records) && (n == 0 || bytes < maxGroupBytes) {
			bytes += len(records[n].Key) + len(records[n].Value)
			n++
		}
		if err := l.append(ctx, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

func (l *TermWriter) append(ctx context.Context, records []Record) error {
	for tries := 0; ; tries++ {
		fence := Fence{Producer: l.producer, Term: l.term, Sequence: l.sequence}
		_, err := l.pace.hedged(ctx, func(ctx context.Context, try int) (uint64, error) {
			return l.client.Append(ctx, Append{Topic: l.topic, Records: records, Fence: &fence, Try: try})
		})
		var order *SequenceError
		var fenced *FencedError
		switch {
		case err == nil:
			l.settled = true
			l.sequence++
			return nil
		case errors.As(err, &fenced):
			return err
		case errors.As(err, &order) && (!l.settled || l.sequence == 1):
			// The first append after the seal learns how the store counts.
			l.sequence = order.Expected
			l.settled = true
		case errors.As(err, &order):
			return &FencedError{Term: l.term}
		}
		if ctx.Err() != nil || !pause(ctx, tries) {
			return err
		}
	}
}
