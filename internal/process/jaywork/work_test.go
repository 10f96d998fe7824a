package jaywork

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestKeepDialingGoesOnForSettings(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	tries := 0
	KeepDialing(ctx, true, func() bool {
		tries++
		if tries == 5 {
			cancel()
		}
		return tries < 3
	})
	assert.Equal(t, tries, 5)
}

func TestPoolNeverBlocksItsCaller(t *testing.T) {
	p := NewPool(1)
	ran := make(chan struct{}, queuedTasks+10)
	for range queuedTasks + 10 {
		p.Spawn(func() { ran <- struct{}{} })
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	for range queuedTasks + 10 {
		<-ran
	}
	cancel()
	<-done
}

func TestEveryEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	calls := 0
	Every(ctx, time.Millisecond, func() {
		calls++
		if calls == 3 {
			cancel()
		}
	})
	assert.Assert(t, calls >= 3)
}
