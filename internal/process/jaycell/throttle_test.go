package jaycell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// paceTarget, paceHarm and paceDelay are those of a deployment: how large the
	// tail latency may be, for how long it may be larger, and when a pace works.
	paceTarget = 100.0
	paceHarm   = 4 * time.Second
	paceDelay  = 100 * time.Millisecond
)

// paceWorld plays one runner with a task that serves and one that fills. Its
// latency is its own load and the other's disturbance times its share; both change
// within seconds.
type paceWorld struct {
	*bench
	random  *rand.Rand
	own     float64
	harm    float64
	share   int
	next    int
	applies time.Duration
	changes time.Duration
	window  []float64
	over    time.Duration
	worst   time.Duration
	work    float64
}

func (w *paceWorld) step() {
	if w.now >= w.changes {
		w.changes = w.now + time.Duration(1000+w.random.IntN(4000))*time.Millisecond
		w.own, w.harm = 20+50*w.random.Float64(), 200*w.random.Float64()
	}
	if w.now >= w.applies {
		w.share = w.next
	}
	latency := w.own + w.harm*float64(w.share)/100
	w.window = append(w.window[max(0, len(w.window)-9):], latency)
	w.over += modelStep
	if latency <= paceTarget {
		w.over = 0
	}
	w.worst = max(w.worst, w.over)
	w.work += float64(w.share) / 100
}

func (w *paceWorld) report() {
	sum := 0.0
	for _, l := range w.window {
		sum += l
	}
	rough := sum / float64(len(w.window)) * (0.95 + 0.1*w.random.Float64())
	w.hear("n", "r1", func(p *Report) {
		p.Running = []Run{{Task: "serves.0.0.0", Run: 1, Percent: 100, Load: int(rough)}, {Task: "fills.0.0.0", Run: 1, Percent: 100}}
	})
}

func newPaceWorld(t *testing.T, seed uint64) *paceWorld {
	w := &paceWorld{bench: newBench(t, nil), random: rand.New(rand.NewPCG(seed, 1)), share: 100, next: 100}
	serving, filling := daemon(1, 0, 0), daemon(1, 0, 0)
	serving.Image, serving.LatencyTarget = "front", time.Duration(paceTarget)*time.Millisecond
	filling.Image, filling.BestEffort = "batch", true
	w.submit("serves", 0, "w", serving)
	w.submit("fills", 2, "w", filling)
	w.hear("n", "r1", nil)
	assert.Equal(t, len(starts(w.pass(0))), 2)
	return w
}

// What fills never keeps a task that serves over its target for longer than the
// deployment bears, and still gets work done.
func TestPaceProtectsWhatServes(t *testing.T) {
	total := 0.0
	const seeds, seconds = 100, 120
	for seed := range uint64(seeds) {
		w := newPaceWorld(t, seed)
		for n := 0; n < seconds*int(time.Second/modelStep); n++ {
			w.step()
			for _, o := range w.pass(modelStep) {
				if o.Kind == OrderThrottle && o.Task == "fills.0.0.0" {
					w.next, w.applies = o.Percent, w.now+paceDelay
				}
				assert.Assert(t, o.Kind != OrderThrottle || o.Task == "fills.0.0.0")
			}
			if n%10 == 9 {
				w.report()
			}
		}
		assert.Assert(t, w.worst < paceHarm, "seed %d: over its target for %s", seed, w.worst)
		total += w.work / (seconds * float64(time.Second/modelStep))
	}
	t.Logf("mean share of what fills: %.2f", total/seeds)
	assert.Assert(t, total/seeds > 0.1, "mean share %.2f", total/seeds)
}

// Without a task that serves beside it, what fills works at full speed.
func TestPaceLeavesOthersAlone(t *testing.T) {
	w := newBench(t, nil)
	s := daemon(1, 0, 0)
	s.BestEffort, s.Image = true, "batch"
	w.submit("fills", 2, "w", s)
	w.hear("n", "r1", nil)
	w.pass(0)
	for range 10 {
		w.now += time.Second
		w.hear("n", "r1", func(p *Report) { p.Running = []Run{{Task: "fills.0.0.0", Run: 1, Percent: 100}} })
		for _, o := range w.pass(0) {
			assert.Assert(t, o.Kind != OrderThrottle, fmt.Sprint(o))
		}
	}
}

// A pace is repeated, since an unanswered call may act later, and a new term
// begins with a small share.
func TestPaceIsRepeated(t *testing.T) {
	w := newPaceWorld(t, 1)
	w.own, w.harm, w.changes = 10, 0, 1<<62
	paces := 0
	for n := range 200 {
		w.step()
		if n%10 == 9 {
			w.report()
		}
		for _, o := range w.pass(modelStep) {
			if o.Kind == OrderThrottle {
				if paces++; paces == 1 {
					assert.Equal(t, o.Percent, initialShare)
				}
			}
		}
	}
	assert.Assert(t, paces >= 7, "%d orders in 10 s", paces)
}
