package jaycontroller

import (
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/request/jaytask"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

// backdate makes the last sign of life older than a pause.
func (d *pauseDetector) backdate() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.awakeAt -= maxPause + time.Millisecond
}

// decisionLog is a log that calls atPlacement with each line about a placement, which is
// written in the middle of a round.
type decisionLog struct {
	atPlacement func()
	mutex       sync.Mutex
	lines       strings.Builder
}

func (d *decisionLog) Write(b []byte) (int, error) {
	if strings.Contains(string(b), `"event":"place"`) {
		d.atPlacement()
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.lines.Write(b)
}

func (d *decisionLog) contains(s string) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return strings.Contains(d.lines.String(), s)
}

// startedTasks are the tasks whose starts have reached an agent.
type startedTasks struct {
	mutex sync.Mutex
	runs  map[string]int
}

// handle notes the starts in a message.
func (s *startedTasks) handle(m jayframe.Message) {
	orders, ok := m.(*jayframe.CellOrders)
	if !ok {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, o := range orders.Orders {
		if o.Kind == uint8(jaycell.OrderStart) {
			s.runs[o.Task] = o.Run
		}
	}
}

func (s *startedTasks) count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.runs)
}

// newDecidingLeader returns a leader that runs, with one agent whose runner has room, and the tasks
// that were started there.
func newDecidingLeader(t *testing.T, log *decisionLog) (*cutLeader, *startedTasks) {
	f := newLoggedCutLeader(t, zerolog.New(log))
	f.served.Store(true)
	f.records.Store(true)
	started := &startedTasks{runs: map[string]int{}}
	f.onMessage.Store(started.handle)
	f.controller.config.Store(jayconfig.NewConfig(1, nil, nil, nil, jayconfig.Limits{}))
	f.leadership.loaded = false
	f.controller.tasks.Go(f.leadership.run)
	await(t, "the records of earlier terms are read", func() bool {
		f.leadership.mutex.Lock()
		defer f.leadership.mutex.Unlock()
		return f.leadership.loaded
	})
	return f, started
}

// reportRoom sends a report of a runner with room.
func (f *cutLeader) reportRoom() {
	f.sent++
	assert.NilError(f.t, f.link.Send(&jayframe.CellReport{Node: "n1", Sequence: f.sent, Term: 1, Runner: "r1", Service: "s", CPU: 64_000, Memory: 64_000, Responsive: true}))
}

// submit adds a job of one task.
func (f *cutLeader) submit(id string) {
	f.leadership.mutex.Lock()
	defer f.leadership.mutex.Unlock()
	f.leadership.setCellTime()
	f.leadership.cell.Submit(&jaytask.Job{ID: id, Steps: []jaytask.Step{{Count: 1, Estimate: time.Second, Resources: jaytask.Resources{CPU: 100}}}, Accepted: time.Now(), Policy: jaytask.Policy{Service: "s", MaxAttempts: 1, Stretch: 3, Objective: time.Second}})
}

// Guards against a leader that takes its own long decisions for a pause of its process: it granted
// no leases and sent no starts while it doubted its term, after each of them.
func TestLongDecisionsAreNoPause(t *testing.T) {
	const jobs = 4
	log := &decisionLog{atPlacement: func() { time.Sleep(maxPause + 100*time.Millisecond) }}
	f, started := newDecidingLeader(t, log)
	for i := range jobs {
		f.submit(string(rune('a' + i)))
		await(t, "the task of each job is started", func() bool {
			f.reportRoom()
			return started.count() == i+1
		})
	}
	assert.Assert(t, !log.contains(`"event":"pause"`), "the leader doubts its term after its own decisions")
}

// Guards against a leader that refuses leases after a round that has taken longer than one read of the
// term permits to grant them: with each round as long, all leases lapse.
func TestReportsOfALongRoundAreGranted(t *testing.T) {
	var f *cutLeader
	var once sync.Once
	var during atomic.Int64
	log := &decisionLog{}
	log.atPlacement = func() {
		once.Do(func() {
			time.Sleep(isolationTimeout + 200*time.Millisecond)
			f.reportRoom()
			during.Store(f.sent)
			time.Sleep(200 * time.Millisecond)
		})
	}
	f, _ = newDecidingLeader(t, log)
	f.reportRoom()
	await(t, "the runner is known", func() bool { return f.granted.Load() > 0 })
	f.submit("a")
	Signal(f.leadership.wake)
	await(t, "a report came in a long round", func() bool { return during.Load() > 0 })
	await(t, "the report is granted a lease", func() bool { return f.granted.Load() == during.Load() })
}

// Guards against starts that are lost, and reports that are dropped, while a leader that stood still
// in the middle of a round reads its term: none is sent or answered before, all are after.
func TestPauseInARoundHoldsOrdersBack(t *testing.T) {
	var f *cutLeader
	var once sync.Once
	var paused atomic.Bool
	log := &decisionLog{}
	log.atPlacement = func() {
		once.Do(func() {
			f.records.Store(false)
			paused.Store(true)
			f.leadership.pauses.backdate()
		})
	}
	// Batches are stored while reads fail.
	stored := func() (uint64, error) { return 0, nil }
	f, started := newDecidingLeader(t, log)
	f.append.Store(&stored)
	f.submit("a")
	await(t, "the process has paused in a round", func() bool { f.reportRoom(); return paused.Load() })
	f.reportRoom()
	waiting := f.sent
	time.Sleep(5 * pauseCheckInterval)
	assert.Equal(t, started.count(), 0, "a start was sent before the term was verified")
	assert.Assert(t, f.granted.Load() < waiting, "a lease was granted before the term was verified")
	f.records.Store(true)
	await(t, "the start that was held back is sent", func() bool { return started.count() == 1 })
	await(t, "the report that has waited is answered", func() bool { return f.granted.Load() == waiting })
}
