package jaystate

import (
	"github.com/jaystile/jaystile/internal/process/jaylog"
)

// Restorer puts the records of one stream into a fold. A reader whose stream
// begins after offset zero, or that retention has overtaken, holds records back
// until a snapshot covers what it has missed. All fields are set before use.
type Restorer struct {
	// Snapshot reports whether a record is a snapshot, the offset that it covers
	// all records below of, and whether its last part is now known.
	Snapshot func(r jaylog.Record) (covers uint64, complete, is bool)
	// Load replaces the fold by the snapshot that Snapshot has completed.
	Load func()
	// Apply folds one record.
	Apply func(r jaylog.Record)

	missing bool
	held    []jaylog.Record
	first   uint64
}

// NeedsSnapshot reports whether the reader waits for a snapshot.
func (r *Restorer) NeedsSnapshot() bool { return r.missing }

// Gap notes that the records below to are lost to this reader.
func (r *Restorer) Gap(to uint64) {
	r.missing = true
	r.held = nil
	r.first = to
}

// Process takes the next record.
func (r *Restorer) Process(record jaylog.Record) {
	covers, complete, is := r.Snapshot(record)
	if !r.missing {
		if !is {
			r.Apply(record)
		}
		return
	}
	if !is {
		r.held = append(r.held, record)
		return
	}
	if !complete || covers < r.first {
		return
	}
	r.Load()
	r.missing = false
	held := r.held
	r.held = nil
	for _, h := range held {
		if h.Offset() >= covers {
			r.Apply(h)
		}
	}
}
