package jaysupervisor

import (
	"context"
	"fmt"
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

// Guards against acknowledgements, deadlines and clocks of a runner's former life that reach the
// next one, of a runner that was silent meanwhile and does not tell its lives.
func TestClockThatStartsAnewTellsAnotherLife(t *testing.T) {
	for _, c := range []struct {
		name string
		// clocks are those of the listings, zero for a call without an answer.
		clocks []time.Duration
		// restarted is the listing that begins another life, -1 if none does.
		restarted int
	}{
		{"silent, then a lower clock", []time.Duration{50 * time.Second, 51 * time.Second, 0, 0, time.Second, 2 * time.Second}, 4},
		{"a lower clock at once", []time.Duration{50 * time.Second, time.Second, 2 * time.Second}, 1},
		{"silent, then the clock has gone on", []time.Duration{50 * time.Second, 0, 0, 53 * time.Second, 54 * time.Second}, -1},
		{"the same clock", []time.Duration{50 * time.Second, 50 * time.Second}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, now := New(), time.Hour
			s.Elapsed, s.Lease = func() time.Duration { return now }, time.Minute
			s.runner.ID, s.term, s.grantedUntil, s.acknowledged, s.confirmedAt = "r1", 1, 2*time.Hour, 9, now
			lives := 0
			for i, clock := range c.clocks {
				var sent Renewal
				s.Client.Renew = func(_ context.Context, r Renewal) (Listing, error) {
					sent = r
					if clock == 0 {
						return Listing{}, &NoAnswerError{Call: "hold", Cause: "silent"}
					}
					return Listing{Clock: clock}, nil
				}
				id := s.runner.ID
				s.poll(t.Context(), 0)
				if s.runner.ID != id {
					assert.Equal(t, i, c.restarted)
					lives++
				}
				if lives > 0 {
					assert.Equal(t, s.acknowledged, uint64(0))
					// The next call names no end and no deadline before the new clock is known.
					assert.Assert(t, i == c.restarted || sent.Acknowledged == 0 && sent.Deadline < time.Hour)
				}
				now += time.Second
			}
			assert.Equal(t, lives > 0, c.restarted >= 0)
			assert.Assert(t, lives <= 1)
		})
	}
}

// Guards against acknowledgements, deadlines and starts that reach a runner's next life because
// this process stood still between the decision to make the call and the call.
func TestCallDecidedBeforeAStallIsNotSent(t *testing.T) {
	const stall, readings = 3 * time.Second, 12
	for _, c := range []struct {
		name    string
		timeout time.Duration
		call    func(s *Supervisor)
	}{
		{"poll", callTimeout, func(s *Supervisor) { s.poll(s.ctx, 0) }},
		{"waiting poll", renewalWait + callTimeout, func(s *Supervisor) { s.poll(s.ctx, renewalWait) }},
		{"start", callTimeout, func(s *Supervisor) {
			s.ApplyOrders(1, []jaycell.Order{{Kind: jaycell.OrderStart, Runner: "r1", Task: "t", Run: 1}})
			time.Sleep(2 * stall)
		}},
	} {
		// The process stands still after one of the readings of its clock; in the last play after none.
		for stalledAt := range readings + 1 {
			t.Run(fmt.Sprintf("%s, reading %d", c.name, stalledAt), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					begin, read, sent := time.Now(), 0, 0
					s := New()
					s.Lease, s.ctx, s.SendReport = time.Minute, ctx, func(jaycell.Report) {}
					s.Elapsed = func() time.Duration {
						at := time.Hour + time.Since(begin)
						if read == stalledAt && stalledAt < readings {
							time.Sleep(stall)
						}
						read++
						return at
					}
					s.runner.ID, s.term, s.grantedUntil, s.acknowledged, s.confirmedAt = "r1", 1, 2*time.Hour, 9, time.Hour
					s.runnerClock, s.runnerClockReadAt, s.runnerClockKnown = time.Hour, time.Hour, true
					carry := func(ctx context.Context) error {
						if ctx.Err() != nil {
							return &NoAnswerError{Call: "call", Cause: "timeout"}
						}
						sent++
						age := time.Since(begin)
						assert.Assert(t, age <= responsiveTimeout+c.timeout, "sent %v after the runner's life was confirmed", age)
						return nil
					}
					s.Client = RunnerClient{
						Start: func(ctx context.Context, _ Start) error { return carry(ctx) },
						Stop:  func(context.Context, Stop) error { return nil },
						Renew: func(ctx context.Context, r Renewal) (Listing, error) {
							if r.Acknowledged == 0 && r.Deadline == 0 {
								return Listing{Clock: time.Hour}, nil
							}
							return Listing{Clock: time.Hour}, carry(ctx)
						},
					}
					c.call(s)
					cancel()
					s.tasks.Wait()
					assert.Assert(t, stalledAt < readings || sent == 1, "sent %d without a stall", sent)
				})
			})
		}
	}
}

// Guards against acknowledgements of a runner's former life in the answers to the heartbeats of the
// next one, which go on beyond the former numbers. The runner does not tell its lives.
func TestHeartbeatsOfTheNextLifeGetNoOrdersOfTheFormer(t *testing.T) {
	h := newHeartbeatHarness(t)
	clock := 50 * time.Second
	beat := func(l Listing) HeartbeatResponse {
		h.supervisor.GrantLease(1, int64(h.elapsed))
		clock += nextHeartbeatDelay
		l.Clock = clock
		return h.heartbeat("r1", l)
	}
	for range 10 {
		beat(Listing{})
	}
	h.supervisor.ApplyOrders(1, []jaycell.Order{{Kind: jaycell.OrderAcknowledge, Runner: "r1", Number: 11}, {Kind: jaycell.OrderStart, Runner: "r1", Task: "t", Run: 1}})
	assert.Equal(t, beat(Listing{}).Acknowledged, uint64(11))
	assert.Equal(t, beat(running(1)).Acknowledged, uint64(11))
	// Late ones of the same life have earlier numbers and clocks.
	s := h.supervisor
	for range 3 {
		response := s.ExchangeHeartbeat(Heartbeat{Sequence: h.sequence - 2, Runner: jaycell.RunnerInfo{ID: "r1"}, Listing: Listing{Clock: clock - 2*nextHeartbeatDelay}})
		assert.Equal(t, response.Acknowledged, uint64(0))
		assert.Equal(t, beat(running(1)).Acknowledged, uint64(11))
	}
	h.order(jaycell.OrderStop, 1)
	h.elapsed += 2 * time.Second
	h.sequence, clock = 0, 0
	taken := 0
	for i := range 60 {
		response := beat(Listing{})
		assert.Equal(t, response.Acknowledged, uint64(0), "heartbeat %d", i+1)
		assert.Equal(t, len(response.Stops), 0)
		if response.Lease > 0 {
			taken++
		}
	}
	assert.Assert(t, taken > 50, "%d heartbeats of the next life were taken", taken)
	assert.Assert(t, s.runner.ID != "r1" && jaycell.RunnerName(s.runner.ID) == "r1")
	assert.Equal(t, len(s.crashes), 1)
	assert.Equal(t, s.crashes[0].Runner, "r1")
	assert.Equal(t, len(s.crashes[0].Runs), 1)
	// What the leader orders for the next life reaches it.
	s.ApplyOrders(1, []jaycell.Order{{Kind: jaycell.OrderStart, Runner: s.runner.ID, Task: "t", Run: 2}})
	assert.Equal(t, len(beat(Listing{}).Starts), 1)
}

// Guards against runs that are taken for lost because late heartbeats of their life go on.
func TestHeartbeatWithAKnownRunIsOfTheSameLife(t *testing.T) {
	h := newHeartbeatHarness(t)
	l := running(1)
	l.Clock = 50 * time.Second
	h.heartbeat("r1", l)
	for range 10 {
		l.Clock = 10*time.Second + h.elapsed - time.Hour
		h.heartbeat("r1", l)
	}
	assert.Equal(t, h.supervisor.runner.ID, "r1")
	assert.Equal(t, len(h.supervisor.crashes), 0)
}
