package jaylog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaywork"
)

// catchUpJitter bounds the random delay after an outage, which spreads the load of
// the readers that catch up.
const catchUpJitter = 300 * time.Millisecond

// Health is the availability of the log as seen by one reader.
type Health uint8

// The health states of the log.
const (
	Unknown Health = iota
	Healthy
	Unavailable
)

// String returns the state's name, which is "out" for Unavailable and "unseen" for
// Unknown.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "healthy"
	case Unavailable:
		return "out"
	}
	return "unseen"
}

// Follower reads a stream and applies each record once, in order. All exported
// fields are set before Run.
type Follower struct {
	Stream string
	// Read reads a batch, such as Client.Read.
	Read func(ctx context.Context, stream string, from uint64, wait bool) (Batch, error)
	// Apply is called for each record.
	Apply func(r Record)
	// OnGap is called when records from one offset up to, but not including, the
	// other were removed by retention before they were read.
	OnGap func(from, to uint64)
	// OnHealthChange is called when the log's health changes.
	OnHealthChange func(h Health)

	nextOffset atomic.Uint64
	endOffset  atomic.Uint64
	health     atomic.Uint32
	caughtUp   atomic.Bool
}

// NextOffset returns the offset of the next record to read.
func (f *Follower) NextOffset() uint64 { return f.nextOffset.Load() }

// Health returns the health of the log as of the last read.
func (f *Follower) Health() Health { return Health(f.health.Load()) }

// CaughtUp reports whether the follower has reached the end of the stream at least
// once.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	b := jaywork.NewDialBackOff()
	for ctx.Err() == nil {
		batch, err := f.Read(ctx, f.Stream, f.nextOffset.Load(), f.caughtUp.Load())
		if err != nil {
			f.setHealth(Unavailable)
			jaywork.Pause(ctx, b.NextBackOff())
			continue
		}
		b.Reset()
		if f.Health() == Unavailable {
			jaywork.Pause(ctx, rand.N(catchUpJitter))
		}
		f.setHealth(Healthy)
		f.applyBatch(batch)
	}
}

// applyBatch applies the records of a batch that were not applied before. A stale
// read, which ends before the records already applied, changes nothing.
func (f *Follower) applyBatch(batch Batch) {
	if batch.First() > f.nextOffset.Load() {
		f.OnGap(f.nextOffset.Load(), batch.First())
		f.nextOffset.Store(batch.First())
	}
	for _, r := range batch.Records() {
		if r.Offset() < f.nextOffset.Load() {
			continue
		}
		f.Apply(r)
		f.nextOffset.Store(r.Offset() + 1)
	}
	if batch.Next() > f.endOffset.Load() {
		f.endOffset.Store(batch.Next())
	}
	if f.nextOffset.Load() >= f.endOffset.Load() {
		f.caughtUp.Store(true)
	}
}

func (f *Follower) setHealth(h Health) {
	if Health(f.health.Swap(uint32(h))) != h {
		f.OnHealthChange(h)
	}
}
