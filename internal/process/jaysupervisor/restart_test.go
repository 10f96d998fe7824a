package jaysupervisor

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
)

// newRestartFleet returns a fleet whose runners begin each life under the name that they had.
func newRestartFleet(t *testing.T, lease time.Duration) *fleet {
	f := newFleet(t, lease, 1)
	f.sameName, f.lateOverLives = true, true
	return f
}

// TestRunnersBackUnderTheirNameUnderFaults plays the random faults on such runners.
func TestRunnersBackUnderTheirNameUnderFaults(t *testing.T) {
	playSeeds(t, func(f *fleet) { f.sameName, f.rough = true, 6 })
}

// A call for the earlier life of a runner is carried out by its next one.
func TestCallOfAnEarlierLifeBeginsNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		// fates are those of the first start calls.
		fates []fate
		// agentEnds replaces the agent process while the runner is down, newTerm the leader.
		agentEnds, newTerm bool
	}{
		{name: "without an answer", fates: []fate{{delay: 2500 * time.Millisecond, executed: true}}},
		{name: "a copy of one that was answered", fates: []fate{{delay: 4 * time.Second, executed: true}, {delay: time.Millisecond, executed: true, answered: true}}},
		{name: "of an agent that has ended", fates: []fate{{delay: 2500 * time.Millisecond, executed: true}}, agentEnds: true},
		{name: "of an earlier term", fates: []fate{{delay: 2500 * time.Millisecond, executed: true}}, newTerm: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestartFleet(t, 6*time.Second)
				defer f.close()
				n := f.addNode(false)
				time.Sleep(2 * time.Second)
				f.locked(func() { n.runner.fates = c.fates })
				j := f.submit(1, false, time.Second)
				time.Sleep(200 * time.Millisecond)
				if len(c.fates) > 1 {
					f.until("first run", time.Second, f.hasBegun(j, 1))
				}
				time.Sleep(200 * time.Millisecond)
				f.locked(n.endRunner)
				time.Sleep(time.Second)
				f.locked(func() {
					if c.agentEnds {
						n.launch()
					}
					if c.newTerm {
						f.newTerm()
					}
				})
				time.Sleep(300 * time.Millisecond)
				f.locked(n.newRunner)
				f.addNode(false)
				f.stuck = j.ID
				f.until("end of the job", 20*time.Second, f.ended(j))
				time.Sleep(8 * time.Second)
				f.checkIdle()
			})
		})
	}
}

// A failed poll used to ask for the next one at once.
func TestRunnerThatIsDownIsNotPolledInABusyLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		calls := 0
		s := New()
		s.SendReport = func(jaycell.Report) {}
		s.Client = RunnerClient{Renew: func(ctx context.Context, _ Renewal) (Listing, error) {
			calls++
			jayclock.Sleep(ctx, time.Millisecond)
			return Listing{}, &EndedError{Call: "renew"}
		}}
		s.replaceRunner(Heartbeat{Runner: jaycell.RunnerInfo{ID: "r"}})
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx) }()
		time.Sleep(2 * time.Second)
		cancel()
		<-done
		assert.Assert(t, calls <= 2+int(2*time.Second/retryDelay), "%d polls in two seconds", calls)
	})
}
