// Package jaywork runs background work: a bounded goroutine pool for input and
// output, periodic loops, and redialing with backoff.
package jaywork

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc/pool"
)

const (
	taskQueueLength = 8192
	minDialDelay    = 50 * time.Millisecond
	maxDialDelay    = time.Second
)

// Pool runs tasks on a bounded number of goroutines.
type Pool struct {
	workers int
	tasks   chan func()
}

// NewPool returns a pool of the given number of goroutines that is not running.
func NewPool(workers int) *Pool {
	return &Pool{workers: workers, tasks: make(chan func(), taskQueueLength)}
}

// Spawn queues a task. It never blocks, so callers may hold a mutex: when the queue
// is full, the task gets its own goroutine.
func (p *Pool) Spawn(f func()) {
	select {
	case p.tasks <- f:
	default:
		go f()
	}
}

// Run runs tasks until ctx ends, then waits for those that have started.
func (p *Pool) Run(ctx context.Context) {
	workers := pool.New().WithMaxGoroutines(p.workers)
	for {
		select {
		case <-ctx.Done():
			workers.Wait()
			return
		case f := <-p.tasks:
			workers.Go(f)
		}
	}
}

// Every calls f once per interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// Pause waits for d or until ctx ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// NewDialBackOff returns exponential, jittered delays between attempts to dial a
// peer.
func NewDialBackOff() *backoff.ExponentialBackOff {
	b := &backoff.ExponentialBackOff{InitialInterval: minDialDelay, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: maxDialDelay}
	b.Reset()
	return b
}

// maxDials is how many consecutive dials may fail before an address that was learned
// from peers is given up. Its process has probably been replaced.
const maxDials = 600

// KeepDialing calls link, which dials and serves one link, again and again until ctx
// ends. The function returns when its link has closed and reports whether it had
// opened. An address from the settings is never given up.
func KeepDialing(ctx context.Context, fromSettings bool, link func() bool) {
	b := NewDialBackOff()
	failures := 0
	for ctx.Err() == nil && (fromSettings || failures < maxDials) {
		failures++
		if link() {
			failures = 0
			b.Reset()
		}
		Pause(ctx, b.NextBackOff())
	}
}
