package jaystate

import (
	"github.com/jaystile/jaystile/internal/process/jaylog"
)

// Restorer applies the records of one stream to a table. If a reader has missed
// records because of the log's retention, it buffers records until a snapshot
// covers the missing ones. All exported fields are set before use.
type Restorer struct {
	// Snapshot reports whether a record is part of a snapshot, whether that snapshot
	// is now complete, and the offset below which it covers all records.
	Snapshot func(r jaylog.Record) (covers uint64, complete, isSnapshot bool)
	// Load replaces the table by the snapshot that was completed last.
	Load func()
	// Apply applies one record.
	Apply func(r jaylog.Record)

	needsSnapshot bool
	buffered      []jaylog.Record
	firstOffset   uint64
}

// NeedsSnapshot reports whether records are buffered until a snapshot arrives.
func (r *Restorer) NeedsSnapshot() bool { return r.needsSnapshot }

// Gap reports that the records below offset to can no longer be read.
func (r *Restorer) Gap(to uint64) {
	r.needsSnapshot = true
	r.buffered = nil
	r.firstOffset = to
}

// Process applies or buffers the next record.
func (r *Restorer) Process(record jaylog.Record) {
	covers, complete, isSnapshot := r.Snapshot(record)
	if !r.needsSnapshot {
		if !isSnapshot {
			r.Apply(record)
		}
		return
	}
	if !isSnapshot {
		r.buffered = append(r.buffered, record)
		return
	}
	if !complete || covers < r.firstOffset {
		return
	}
	r.Load()
	r.needsSnapshot = false
	buffered := r.buffered
	r.buffered = nil
	for _, b := range buffered {
		if b.Offset() >= covers {
			r.Apply(b)
		}
	}
}
