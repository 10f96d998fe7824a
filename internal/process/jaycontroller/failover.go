package jaycontroller

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// standbyKey names the record, in the cell's topic, of the newest use of a standby topic.
	standbyKey = "standby"
	// failoverDelay is how long the topic of runs may leave an append without an answer
	// before a standby topic is used.
	failoverDelay = 500 * time.Millisecond
	// slowStoreFactor makes that delay longer while the store is slow: a hedge delay is several
	// of its answers, and an append may wait for others.
	slowStoreFactor = 2
)

// standbyRecord is the stored form of a jaystore.Standby.
type standbyRecord struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Topic  string
	Open   bool
}

func encodeStandby(s jaystore.Standby) []byte {
	b, err := cbor.Marshal(standbyRecord{Number: s.Number, Topic: s.Topic, Open: s.Open})
	if err != nil {
		panic(err)
	}
	return b
}

func decodeStandby(b []byte) (jaystore.Standby, error) {
	var r standbyRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		return jaystore.Standby{}, &jaytask.RecordError{What: "standby", Cause: err}
	}
	return jaystore.Standby{Number: r.Number, Topic: r.Topic, Open: r.Open}, nil
}

// newRunsWriter returns the writer of the records of this term.
func (l *leadership) newRunsWriter() *jaystore.FailoverWriter {
	client := l.controller.storeClient
	return &jaystore.FailoverWriter{
		Main: jaystore.NewTermWriter(client, l.controller.Topics.Runs, producer, l.term), Standbys: l.controller.Topics.RunsStandby,
		NewWriter: func(s jaystore.Standby) *jaystore.TermWriter {
			return jaystore.NewTermWriter(client, s.Topic, fmt.Sprintf("%s-%d", producer, s.Number), l.term)
		},
		Announce: l.announceStandby, ServedAt: l.controller.storeTransport.ServedAt,
		Delay: func() time.Duration {
			return max(failoverDelay, slowStoreFactor*l.controller.storeTransport.HedgeDelay())
		},
	}
}

// announceStandby stores s in the cell's topic unless a higher term has begun: its leader
// reads s before it claims the term, or finds that the topic has moved on.
func (l *leadership) announceStandby(ctx context.Context, s jaystore.Standby) error {
	records := []jaystore.Record{{Key: standbyKey, Value: encodeStandby(s)}}
	sent, err := l.controller.appendToCell(ctx, l.term, records, func() bool { return l.controller.newestStandby() == s })
	if sent {
		l.controller.Logger.Warn().Str("event", "failover").Uint64("term", l.term).Uint64("number", s.Number).Str("topic", s.Topic).Bool("open", s.Open).Err(err).Msg("announced where the records of runs are")
	}
	return err
}

// appendToCell stores records in the cell's topic unless a higher term has begun, or stored tells
// that an earlier try without an answer has stored them. It reports whether an append was sent whose
// outcome is err.
func (c *Controller) appendToCell(ctx context.Context, term uint64, records []jaystore.Record, stored func() bool) (sent bool, err error) {
	for {
		if err := c.cellTail.Refresh(ctx); err != nil {
			return false, err
		}
		// Whatever is read after this offset makes the append fail.
		at := c.cellTail.NextOffset()
		if c.Term().number != term {
			return false, &jaystore.FencedError{Term: term}
		}
		if stored() {
			return false, nil
		}
		_, err := c.storeClient.Append(ctx, jaystore.Append{Topic: c.Topics.Cell, Records: records, ExpectedEnd: &at})
		var mismatch *jaystore.EndMismatchError
		if !errors.As(err, &mismatch) {
			return true, err
		}
	}
}

// newestStandby returns the newest use of a standby topic that this entry knows.
func (c *Controller) newestStandby() jaystore.Standby {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.standby
}

func (c *Controller) applyStandby(value []byte) {
	s, err := decodeStandby(value)
	if err != nil {
		c.Logger.Error().Str("event", "record").Err(err).Msg("skipping an invalid standby record")
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if s.Number < c.standby.Number || s.Number == c.standby.Number && s.Open && !c.standby.Open {
		// A reload of the topic may apply records again. A use that has been closed is not opened again.
		return
	}
	c.standby = s
}

// fenceStandby makes the store reject writes of earlier terms to the standby topic that is open. It
// returns the topic's writer, which is nil if none is open.
func (l *leadership) fenceStandby(ctx context.Context, runs *jaystore.FailoverWriter) (open jaystore.Standby, writer *jaystore.TermWriter, err error) {
	open = l.controller.newestStandby()
	runs.Announced(open)
	if !open.Open {
		return open, nil, nil
	}
	writer = runs.NewWriter(open)
	return open, writer, writer.FenceLowerTerms(ctx)
}

// loadRuns returns the records of runs and states. Those of an open standby topic replace those of
// the main topic, and the writer moves them there with its next records.
func (l *leadership) loadRuns(ctx context.Context, runs *jaystore.FailoverWriter, open jaystore.Standby, writer *jaystore.TermWriter) ([]jaystore.Record, error) {
	c := l.controller
	main, err := jaystore.LoadAll(ctx, c.storeClient, c.Topics.Runs, c.tailFailureLogger(c.Topics.Runs))
	if err != nil || writer == nil {
		return main, err
	}
	moving, err := jaystore.LoadAll(ctx, c.storeClient, open.Topic, c.tailFailureLogger(open.Topic))
	if err != nil {
		return nil, err
	}
	moved, all := open.Overlay(main, moving)
	runs.Restore(ctx, open, writer, moved)
	c.Logger.Warn().Str("event", "failover").Uint64("term", l.term).Uint64("number", open.Number).Str("topic", open.Topic).Int("records", len(moved)).Msg("read the standby topic of an earlier term")
	return all, nil
}
