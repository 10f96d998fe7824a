package jaycell

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// A burst of urgent jobs after quiet seconds: what was freed by the first burst is
// not given to work that the next one would stop again.
func TestUrgentBurstFindsRoom(t *testing.T) {
	for _, c := range []struct {
		name string
		step jaytask.Step
		want int
	}{
		{"work that is lost when stopped waits", step(1, 8), 0},
		{"work that saves its progress runs", jaytask.Step{Count: 1, Checkpoint: true, Resources: jaytask.Resources{Accelerators: 8}, Estimate: time.Minute}, 1},
		{"work without time to wait runs", jaytask.Step{Count: 1, Resources: jaytask.Resources{Accelerators: 8}, Estimate: 100 * time.Millisecond}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, nil)
			for _, n := range []string{"1", "2", "3", "4"} {
				b.hear("n"+n, "r"+n, nil)
			}
			for _, n := range []string{"1", "2", "3"} {
				b.submit("held"+n, 1, "w", step(1, 8))
			}
			assert.Equal(t, len(starts(b.pass(0))), 3)
			b.submit("urgent", 0, "w", step(1, 8))
			assert.Equal(t, len(starts(b.pass(0))), 1)
			b.now += time.Second
			b.cell.SetTime(b.now, b.wall)
			b.hear("n4", "r4", func(p *Report) { p.Finished = []End{{Number: 1, Task: "urgent.0.0.0", Run: 1, Reason: EndDone}} })
			b.submit("other", 1, "w", c.step)
			assert.Equal(t, len(starts(b.pass(0))), c.want)
			b.submit("burst", 0, "w", step(1, 8))
			assert.Equal(t, len(starts(b.pass(10*time.Millisecond))), 1-c.want)
		})
	}
}

func TestDemandFades(t *testing.T) {
	var d demand
	d.record(0, 24)
	d.record(5*time.Second, 3)
	assert.Equal(t, d.reserve(8, 88), 16)
	assert.Equal(t, d.reserve(0, 40), 10)
	d.record(11*time.Second, 3)
	assert.Equal(t, d.reserve(0, 88), 3)
	assert.Equal(t, d.reserve(8, 88), 0)
}
