package jaystore

import (
	"context"
	"errors"
)

// TermWriter writes the records of one term to one topic. Each append carries the
// term and a sequence number, so that retries take effect once and a higher term
// fences out this one.
type TermWriter struct {
	client   *Client
	topic    string
	latency  latencyTracker
	producer string
	term     uint64
	sequence uint64
	// settled is set once the store has acknowledged records of this term. repeats is how often the
	// first records are still to be appended again.
	settled bool
	repeats uint64
}

// termSequenceBits is how many bits of a sequence number count the appends of a term. The bits
// above are the term's, so that no append is taken for a repeat of one of an earlier term, whose
// numbers the store may still know.
const termSequenceBits = 32

// maxRepeats bounds how often the first records of a term are appended again: a try that is further
// ahead than the numbers that the store expects is never executed.
const maxRepeats = 8

// NewTermWriter returns a writer for a term that this process has acquired.
func NewTermWriter(client *Client, topic, producer string, term uint64) *TermWriter {
	return &TermWriter{client: client, topic: topic, producer: producer, term: term, sequence: term << termSequenceBits}
}

// FenceLowerTerms makes the store refuse appends of all lower terms from now on.
func (w *TermWriter) FenceLowerTerms(ctx context.Context) error { return w.append(ctx, nil) }

// Write stores the records. It retries until they are stored, ctx ends, or a higher
// term has written, which it reports as a FencedError. Records that the store does not accept
// as they are hold back no others; they are reported as a RejectedError.
func (w *TermWriter) Write(ctx context.Context, records []Record) error {
	var rejected RejectedError
	for len(records) > 0 {
		n, bytes := 0, 0
		for n < len(records) {
			bytes += recordLengthBytes + recordBytes(records[n])
			if n > 0 && bytes > w.client.Limits.groupBytes() {
				break
			}
			n++
		}
		if err := w.store(ctx, records[:n], &rejected); err != nil {
			return err
		}
		records = records[n:]
	}
	return rejected.err()
}

// store stores the records in one append. If the store rejects that for what it contains, it
// stores each half by itself, in order, down to the records that are rejected.
func (w *TermWriter) store(ctx context.Context, records []Record, rejected *RejectedError) error {
	err := w.append(ctx, records)
	if !IsRejection(err) {
		return err
	}
	if len(records) == 1 {
		rejected.add(records[0], err)
		return nil
	}
	half := len(records) / 2
	if err := w.store(ctx, records[:half], rejected); err != nil {
		return err
	}
	return w.store(ctx, records[half:], rejected)
}

func (w *TermWriter) append(ctx context.Context, records []Record) error {
	for tries := 0; ; tries++ {
		if w.sequence >= (w.term+1)<<termSequenceBits {
			// The next number belongs to the next term.
			return &FencedError{Term: w.term}
		}
		fence := Fence{Producer: w.producer, Term: w.term, Sequence: w.sequence}
		_, err := w.latency.hedgedAppend(ctx, func(ctx context.Context, try int) (uint64, error) {
			return w.client.Append(ctx, Append{Topic: w.topic, Records: records, Fence: &fence, Try: try})
		})
		var outOfOrder *SequenceError
		var fenced *FencedError
		switch {
		case err == nil:
			w.settled = w.settled || len(records) > 0
			w.sequence++
			if w.repeats == 0 {
				return nil
			}
			w.repeats--
			continue
		case errors.As(err, &fenced), len(records) > 0 && IsRejection(err):
			return err
		case errors.As(err, &outOfOrder) && !w.settled:
			// The fence and the first append after it adopt the sequence number that the
			// store expects. A try under the former number may be executed late, so that the same
			// records are appended up to that number.
			if ahead := w.sequence - outOfOrder.Expected; len(records) > 0 && ahead <= maxRepeats {
				w.repeats = ahead
			}
			w.sequence = outOfOrder.Expected
		case errors.As(err, &outOfOrder):
			// The sequence has moved without this writer, which must stop as if fenced.
			return &FencedError{Term: w.term}
		}
		if ctx.Err() != nil || !sleepBackoff(ctx, tries) {
			return err
		}
	}
}
