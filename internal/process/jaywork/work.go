// Package jaywork runs what a process does beside its tables: a bounded pool of
// workers for input and output, loops, and pauses.
package jaywork

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/sourcegraph/conc/pool"
)

const (
	queuedTasks = 8192
	redialFirst = 50 * time.Millisecond
	redialMost  = time.Second
)

// Pool runs tasks on a bounded number of goroutines.
type Pool struct {
	workers int
	tasks   chan func()
}

// NewPool returns a pool of the given number of goroutines that is not running.
func NewPool(workers int) *Pool {
	return &Pool{workers: workers, tasks: make(chan func(), queuedTasks)}
}

// Spawn runs a task soon. It never blocks: what the queue cannot take gets a
// goroutine of its own, so that a caller may hold a mutex.
func (p *Pool) Spawn(f func()) {
	select {
	case p.tasks <- f:
	default:
		go f()
	}
}

// Run runs tasks until ctx ends and waits for those that have begun.
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

// Every calls f at each interval until ctx ends.
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

// Redial returns the growing, jittered delays between tries to reach a peer.
func Redial() *backoff.ExponentialBackOff {
	b := &backoff.ExponentialBackOff{InitialInterval: redialFirst, RandomizationFactor: 0.5, Multiplier: 2, MaxInterval: redialMost}
	b.Reset()
	return b
}

// maxDials is how often in a row an address that only peers have named may fail
// before it is given up: its process has been replaced.
const maxDials = 600

// KeepDialing carries one link after the other until ctx ends. The link function
// returns when its link has ended, and whether it had opened. An address from
// the settings is never given up.
func KeepDialing(ctx context.Context, fromSettings bool, link func() bool) {
	b := Redial()
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
