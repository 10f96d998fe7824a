package jaylog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaywork"
)

// catchUpJitter spreads the readers of a log that is back from an outage.
const catchUpJitter = 300 * time.Millisecond

// Health is the state of the log as one process sees it.
type Health uint8

// The states of the log.
const (
	Unknown Health = iota
	Healthy
	Unavailable
)

// String returns the state's name.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "healthy"
	case Unavailable:
		return "out"
	}
	return "unseen"
}

// Follower reads one stream from an offset on and hands over each record once,
// in order. All fields are set before Run.
type Follower struct {
	Stream string
	// Read reads a batch, such as Client.Read.
	Read func(ctx context.Context, stream string, from uint64, wait bool) (Batch, error)
	// Apply takes each record.
	Apply func(r Record)
	// OnGap is called when retention has overtaken the reader: the records from
	// one offset up to the other are gone.
	OnGap func(from, to uint64)
	// OnHealthChange is called when the state of the log changes.
	OnHealthChange func(h Health)

	next     atomic.Uint64
	tail     atomic.Uint64
	health   atomic.Uint32
	caughtUp atomic.Bool
}

// Next returns the offset that the follower reads next.
func (f *Follower) Next() uint64 { return f.next.Load() }

// Health returns the state of the log as this reader sees it.
func (f *Follower) Health() Health { return Health(f.health.Load()) }

// CaughtUp reports whether the follower has once reached the stream's end.
func (f *Follower) CaughtUp() bool { return f.caughtUp.Load() }

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	b := jaywork.Redial()
	for ctx.Err() == nil {
		batch, err := f.Read(ctx, f.Stream, f.next.Load(), f.caughtUp.Load())
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
		f.take(batch)
	}
}

// take applies a batch. A stale answer that ends before what was already read
// changes nothing: the fold never goes back.
func (f *Follower) take(batch Batch) {
	if batch.First() > f.next.Load() {
		f.OnGap(f.next.Load(), batch.First())
		f.next.Store(batch.First())
	}
	for _, r := range batch.Records() {
		if r.Offset() < f.next.Load() {
			continue
		}
		f.Apply(r)
		f.next.Store(r.Offset() + 1)
	}
	if batch.Next() > f.tail.Load() {
		f.tail.Store(batch.Next())
	}
	if f.next.Load() >= f.tail.Load() {
		f.caughtUp.Store(true)
	}
}

func (f *Follower) setHealth(h Health) {
	if Health(f.health.Swap(uint32(h))) != h {
		f.OnHealthChange(h)
	}
}
