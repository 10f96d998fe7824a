package jaycontroller

import (
	"context"
	"sync"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const (
	// maxPause is the time without a sign of life of this process after which it may have been
	// frozen, so that another entry may lead by now.
	maxPause = 700 * time.Millisecond
	// pauseCheckInterval is the time between two signs of life while nothing else gives one.
	pauseCheckInterval = 100 * time.Millisecond
)

// pauseDetector tells whether this process may have been frozen. Its signs of life come from a
// goroutine of its own and from whoever asks, so that decisions that take long are not taken for a
// pause, and a pause is known to the first that asks after it.
type pauseDetector struct {
	mutex   sync.Mutex
	awakeAt time.Duration
	paused  bool
}

func newPauseDetector() *pauseDetector { return &pauseDetector{awakeAt: jayclock.Elapsed()} }

// check gives a sign of life and reports whether there has been a pause since the last reset.
func (d *pauseDetector) check() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	now := jayclock.Elapsed()
	d.paused = d.paused || now-d.awakeAt > maxPause
	d.awakeAt = now
	return d.paused
}

// reset forgets earlier pauses. It comes before the read that tells what they may have hidden.
func (d *pauseDetector) reset() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.awakeAt, d.paused = jayclock.Elapsed(), false
}

// run gives signs of life until ctx is done.
func (d *pauseDetector) run(ctx context.Context) {
	for jayclock.Sleep(ctx, pauseCheckInterval) {
		d.check()
	}
}
