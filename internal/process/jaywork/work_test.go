package jaywork

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestKeepDialingRetriesSettingsAddresses(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	dials := 0
	KeepDialing(ctx, true, func() bool {
		dials++
		if dials == 5 {
			cancel()
		}
		return dials < 3
	})
	assert.Equal(t, dials, 5)
}

func TestSpawnNeverBlocks(t *testing.T) {
	p := NewPool(1)
	ran := make(chan struct{}, taskQueueLength+10)
	for range taskQueueLength + 10 {
		p.Spawn(func() { ran <- struct{}{} })
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	for range taskQueueLength + 10 {
		<-ran
	}
	cancel()
	<-done
}

func TestEveryStopsWithContext(t *testing.T) {
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
