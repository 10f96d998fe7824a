package jaycell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// These are the values of a deployment: the latency target, the longest time that
	// it may be exceeded, and the delay until a throttle order takes effect.
	latencyTargetMS = 100.0
	maxOverTarget   = 4 * time.Second
	throttleDelay   = 100 * time.Millisecond
)

// throttleSimulation simulates a runner with a serving and a best-effort task. The
// latency is baseLatency plus interference times the best-effort task's share; both
// change within seconds.
type throttleSimulation struct {
	*harness
	random            *rand.Rand
	baseLatency       float64
	interference      float64
	share             int
	nextShare         int
	nextShareAt       time.Duration
	loadChangesAt     time.Duration
	latencies         []float64
	overTarget        time.Duration
	longestOverTarget time.Duration
	work              float64
}

func (s *throttleSimulation) simulate() {
	if s.now >= s.loadChangesAt {
		s.loadChangesAt = s.now + time.Duration(1000+s.random.IntN(4000))*time.Millisecond
		s.baseLatency, s.interference = 20+50*s.random.Float64(), 200*s.random.Float64()
	}
	if s.now >= s.nextShareAt {
		s.share = s.nextShare
	}
	latency := s.baseLatency + s.interference*float64(s.share)/100
	s.latencies = append(s.latencies[max(0, len(s.latencies)-9):], latency)
	s.overTarget += modelStep
	if latency <= latencyTargetMS {
		s.overTarget = 0
	}
	s.longestOverTarget = max(s.longestOverTarget, s.overTarget)
	s.work += float64(s.share) / 100
}

func (s *throttleSimulation) sendReport() {
	sum := 0.0
	for _, l := range s.latencies {
		sum += l
	}
	measured := sum / float64(len(s.latencies)) * (0.95 + 0.1*s.random.Float64())
	s.report("n", "r1", func(p *Report) {
		p.Running = []Run{{Task: "serves.0.0.0", Run: 1, Percent: 100, Load: int(measured)}, {Task: "fills.0.0.0", Run: 1, Percent: 100}}
	})
}

func newThrottleSimulation(t *testing.T, seed uint64) *throttleSimulation {
	s := &throttleSimulation{harness: newHarness(t, nil), random: rand.New(rand.NewPCG(seed, 1)), share: 100, nextShare: 100}
	serving, bestEffort := daemonStep(1, 0, 0), daemonStep(1, 0, 0)
	serving.Image, serving.LatencyTarget = "front", time.Duration(latencyTargetMS)*time.Millisecond
	bestEffort.Image, bestEffort.BestEffort = "batch", true
	s.submit("serves", 0, "w", serving)
	s.submit("fills", 2, "w", bestEffort)
	s.report("n", "r1", nil)
	assert.Equal(t, len(startedTasks(s.advance(0))), 2)
	return s
}

// A best-effort task never keeps a serving task above its latency target for longer
// than maxOverTarget, and still makes progress.
func TestThrottleKeepsLatencyTarget(t *testing.T) {
	totalShare := 0.0
	const seeds, seconds = 100, 120
	for seed := range uint64(seeds) {
		s := newThrottleSimulation(t, seed)
		for n := 0; n < seconds*int(time.Second/modelStep); n++ {
			s.simulate()
			for _, o := range s.advance(modelStep) {
				if o.Kind == OrderThrottle && o.Task == "fills.0.0.0" {
					s.nextShare, s.nextShareAt = o.Percent, s.now+throttleDelay
				}
				assert.Assert(t, o.Kind != OrderThrottle || o.Task == "fills.0.0.0")
			}
			if n%10 == 9 {
				s.sendReport()
			}
		}
		assert.Assert(t, s.longestOverTarget < maxOverTarget, "seed %d: above the target for %s", seed, s.longestOverTarget)
		totalShare += s.work / (seconds * float64(time.Second/modelStep))
	}
	t.Logf("mean share of the best-effort task: %.2f", totalShare/seeds)
	assert.Assert(t, totalShare/seeds > 0.1, "mean share %.2f", totalShare/seeds)
}

// Without a serving task beside it, a best-effort task is not throttled.
func TestNoThrottleWithoutServingTasks(t *testing.T) {
	h := newHarness(t, nil)
	s := daemonStep(1, 0, 0)
	s.BestEffort, s.Image = true, "batch"
	h.submit("fills", 2, "w", s)
	h.report("n", "r1", nil)
	h.advance(0)
	for range 10 {
		h.now += time.Second
		h.report("n", "r1", func(p *Report) { p.Running = []Run{{Task: "fills.0.0.0", Run: 1, Percent: 100}} })
		for _, o := range h.advance(0) {
			assert.Assert(t, o.Kind != OrderThrottle, fmt.Sprint(o))
		}
	}
}

// A throttle order is repeated, since an unanswered call may take effect late. A new
// leader, which knows no share limits, begins with initialShare.
func TestThrottleIsRepeated(t *testing.T) {
	s := newThrottleSimulation(t, 1)
	s.baseLatency, s.interference, s.loadChangesAt = 10, 0, 1<<62
	throttleOrders := 0
	for n := range 200 {
		s.simulate()
		if n%10 == 9 {
			s.sendReport()
		}
		for _, o := range s.advance(modelStep) {
			if o.Kind == OrderThrottle {
				if throttleOrders++; throttleOrders == 1 {
					assert.Equal(t, o.Percent, initialShare)
				}
			}
		}
	}
	assert.Assert(t, throttleOrders >= 7, "%d orders in 10 s", throttleOrders)
}
