package jaysupervisor

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// fleet joins a leader's cell with supervisors over model runners, in simulated time. Its
// mutex guards all state of the model.
type fleet struct {
	t     *testing.T
	ctx   context.Context
	stop  context.CancelFunc
	group sync.WaitGroup
	lease time.Duration
	begin time.Time
	mutex sync.Mutex
	seed  uint64
	// script is the luck of the faults.
	script luck
	// cell is the leader of the term; units and states are what it has stored.
	cell       *jaycell.Cell
	term       uint64
	wake       chan struct{}
	batch      *jaycell.Batch
	storeDelay time.Duration
	units      map[string][]byte
	states     map[string]jaytask.State
	endedAt    map[string]time.Duration
	jobs       []*jaytask.Job
	canceled   map[string]bool
	nodes      []*node
	// former is the leader of an earlier term that still grants leases, nil without one, and
	// handover how long the next leader counts on that.
	former   *formerLeader
	handover time.Duration
	// links are the leader's links by node; opened counts the links that were opened.
	links  map[string]*link
	opened uint64
	runs   []*modelRun
	// begun is the newest start of a unit, done when an end as done was acknowledged.
	begun map[string]*modelRun
	done  map[string]time.Duration
	// failedRuns holds the times of a unit's acknowledged ends as failed, by run.
	failedRuns map[string]map[int]time.Duration
	// All runs of doomed jobs fail.
	doomed map[string]bool
	// The first task of a deadly job crashes each runner that starts it; crashed counts the
	// crashes under a task, and startsAfter its starts after crashesBeforeLimit of them.
	deadly      map[string]bool
	crashed     map[string]int
	startsAfter map[string]int
	// exposed counts the crashes under each task, whatever their cause.
	// crashesFromTasksOnly leaves out the random ones.
	exposed              map[string]int
	crashesFromTasksOnly bool
	// failedEnds holds the runs of a unit that have ended as failed.
	failedEnds map[string]map[int]bool
	// deadlyShare is the share of deadly jobs among the random ones. Those of lateCrashes plans
	// work before they crash their runners.
	deadlyShare float64
	lateCrashes bool
	// sameName makes runners begin each life under the name that they had.
	sameName bool
	// lateOverLives makes runners carry out calls for their former lives.
	lateOverLives bool
	// shrinking makes runners shrink and grow, and start what does not fit.
	shrinking bool
	// evacuations is set if operators take data centres out of service.
	evacuations *modelEvacuations
	// faultGap stretches the time between random faults, if it is not zero.
	faultGap int
	events   []event
	failure  string
	// failedUnit is the unit that failure is about, stuck a job that has not ended.
	failedUnit, stuck string
	// callAge is how long ago the call was made that is being executed. The rule on ended
	// jobs does not hold for calls that a runner executes late.
	callAge time.Duration
	// rough adds kills of agents, crashes of runners and changes of the leader to the
	// random faults.
	rough int
}

// event is a line of the log; those without a task concern all.
type event struct{ task, text string }

func newFleet(t *testing.T, lease time.Duration, seed uint64) *fleet {
	f := &fleet{t: t, lease: lease, begin: time.Now().Add(-time.Hour), seed: seed, script: luck{rand.New(rand.NewPCG(seed, 0))}, wake: make(chan struct{}, 1), storeDelay: 10 * time.Millisecond, units: map[string][]byte{}, states: map[string]jaytask.State{}, endedAt: map[string]time.Duration{}, canceled: map[string]bool{}, links: map[string]*link{}, begun: map[string]*modelRun{}, failedRuns: map[string]map[int]time.Duration{}, doomed: map[string]bool{}, deadly: map[string]bool{}, crashed: map[string]int{}, startsAfter: map[string]int{}, exposed: map[string]int{}, failedEnds: map[string]map[int]bool{}, done: map[string]time.Duration{}}
	f.ctx, f.stop = context.WithCancel(t.Context())
	f.newTerm()
	f.group.Go(func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for f.ctx.Err() == nil {
			f.tick()
			select {
			case <-f.ctx.Done():
			case <-f.wake:
			case <-ticker.C:
			}
		}
	})
	f.group.Go(func() {
		for f.ctx.Err() == nil {
			f.locked(f.advance)
			time.Sleep(10 * time.Millisecond)
		}
	})
	return f
}

func (f *fleet) locked(do func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	do()
}

// lockedFunc returns a function that calls do with the mutex held.
func (f *fleet) lockedFunc(do func()) func() { return func() { f.locked(do) } }

func (f *fleet) now() time.Duration { return time.Since(f.begin) }

// luck is a source of random numbers.
type luck struct{ *rand.Rand }

// between returns a duration in milliseconds, with a fraction that keeps events apart.
func (l luck) between(low, high int) time.Duration {
	return time.Duration(low)*time.Millisecond + time.Duration(l.Int64N(int64(high-low)*int64(time.Millisecond)))
}

func (l luck) chance(p float64) bool { return l.Float64() < p }

// luckOf depends on the time and a key, not on what was drawn before: goroutines that run
// at the same time have no order.
func (f *fleet) luckOf(key string) luck {
	h := fnv.New64a()
	fmt.Fprint(h, key, (f.now() + 37*time.Microsecond).Truncate(100*time.Microsecond))
	return luck{rand.New(rand.NewPCG(f.seed, h.Sum64()))}
}

func (f *fleet) logf(task, format string, args ...any) {
	f.events = append(f.events, event{task, fmt.Sprintf("%9.4f ", (f.now()-time.Hour).Seconds()) + fmt.Sprintf(format, args...)})
}

func (f *fleet) fail(task, format string, args ...any) {
	f.logf(task, "FAILURE "+format, args...)
	if f.failure == "" {
		f.failure, f.failedUnit = fmt.Sprintf(format, args...), task
		if f.jobOf(task) != nil && task != f.stuck {
			f.failedUnit = f.unitOf(task)
		}
	}
}

// report fails the test with the log of the task that broke a rule, if any.
func (f *fleet) report() {
	f.t.Helper()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.failure == "" {
		return
	}
	var lines []string
	for _, e := range f.events {
		if e.task == "" || strings.HasPrefix(e.task, f.failedUnit) {
			lines = append(lines, e.text)
		}
		if strings.Contains(e.text, f.failure) {
			break
		}
	}
	f.t.Errorf("%s: %s\n%s", f.failedUnit, f.failure, strings.Join(lines[max(0, len(lines)-400):], "\n"))
	f.failure = ""
}

// close ends all processes.
func (f *fleet) close() {
	f.stop()
	f.group.Wait()
	f.report()
}

// newTerm makes another leader take over from the stored records.
func (f *fleet) newTerm() {
	f.term++
	f.batch, f.links = nil, map[string]*link{}
	f.logf("", "leader of term %d", f.term)
	var evacuated func(string) bool
	if e := f.evacuations; e != nil {
		e.known, e.view = false, nil
		evacuated = e.isEvacuated
	}
	f.cell = jaycell.New(jaycell.Settings{
		Evacuated: evacuated, HandoverDelay: f.handover,
		Term: f.term, Lease: f.lease, Retention: time.Hour, StopTimeout: modelStopTime, GangTimeout: modelGangTime, RemoteSlowdown: 1, Guaranteed: func(string) int { return 0 },
		OnDecision: func(d jaycell.Decision) {
			f.logf(cmp.Or(d.Task, d.Job), "leader: %s run %d %s %s %s %s", d.Task, d.Run, d.Event, d.Outcome, d.Runner, d.Reason)
		},
		OnInvariantViolation: func(what string, d jaycell.Decision) { f.fail(d.Task, "invariant: %s", what) },
	}, f.now(), time.Now())
	for _, j := range f.jobs {
		if f.states[j.ID].Ended() {
			continue
		}
		f.cell.Submit(j)
		if f.states[j.ID] == jaytask.Running {
			f.cell.MarkStarted(j.ID)
		}
	}
	for key, value := range f.units {
		if err := f.cell.RestoreUnit(jaycell.Record{Key: key, Value: value}); err != nil {
			f.fail(key, "restore: %v", err)
		}
	}
	for id := range f.canceled {
		f.cell.Cancel(id)
	}
	for _, n := range f.nodes {
		time.AfterFunc(f.script.between(5, 600), func() { f.locked(n.connect) })
	}
}

func (f *fleet) submit(count int, gang bool, work time.Duration) *jaytask.Job {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.submitLocked(count, gang, work)
}

func (f *fleet) submitLocked(count int, gang bool, work time.Duration) *jaytask.Job {
	j := &jaytask.Job{ID: fmt.Sprintf("%016x", len(f.jobs)+1), Accepted: time.Now(), Policy: jaytask.Policy{Service: "s", MaxAttempts: modelAttempts, Stretch: 3, Objective: time.Minute}}
	j.Steps = []jaytask.Step{{Count: count, Gang: gang, Estimate: work, Checkpoint: true, Resources: jaytask.Resources{CPU: 1}}}
	f.jobs = append(f.jobs, j)
	f.cell.SetTime(f.now(), time.Now())
	f.cell.Submit(j)
	jaycontroller.Signal(f.wake)
	return j
}

// tick does what the leader does at a tick.
func (f *fleet) tick() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.cell.SetTime(f.now(), time.Now())
	f.cell.SetStarting(f.mayPlace())
	f.cell.Tick()
	f.sendOrders(f.term, f.links, f.cell.TakeImmediateOrders())
	f.former.tick(f)
	if f.batch != nil {
		return
	}
	b := f.cell.TakeBatch()
	if b.Empty() {
		return
	}
	f.batch = b
	time.AfterFunc(f.storeDelay+f.luckOf("store").between(1, 5), func() {
		f.mutex.Lock()
		defer f.mutex.Unlock()
		if f.batch != b {
			return
		}
		f.batch = nil
		f.store(b)
		f.cell.SetTime(f.now(), time.Now())
		f.sendOrders(f.term, f.links, f.cell.ConfirmStored(b))
		jaycontroller.Signal(f.wake)
	})
}

func (f *fleet) store(b *jaycell.Batch) {
	for _, r := range slices.Concat(b.Units, b.Deletions) {
		if f.units[r.Key] = r.Value; r.Value == nil {
			delete(f.units, r.Key)
		}
	}
	for _, r := range b.JobStates {
		id := strings.TrimPrefix(r.Key, jaycell.StateKey(""))
		f.states[id], _, _ = jaycell.DecodeState(r.Value)
		if f.states[id].Ended() {
			f.endedAt[id] = f.now()
		}
		if f.states[id] == jaytask.Failed {
			f.checkFailed(id)
		}
	}
}

func (f *fleet) sendOrders(term uint64, links map[string]*link, orders []jaycell.Order) {
	byNode := map[string][]jaycell.Order{}
	for _, o := range orders {
		byNode[o.Node] = append(byNode[o.Node], o)
		if o.Kind != jaycell.OrderAcknowledge && o.Kind != jaycell.OrderAcknowledgeCrash {
			f.logf(o.Task, "leader: order %s to %s", describe(o), o.Runner)
		}
	}
	for _, n := range f.nodes {
		if l, sent := links[n.name], byNode[n.name]; l != nil && len(sent) > 0 {
			l.send(down, func() {
				f.locked(func() {
					for _, o := range sent {
						if o.Kind == jaycell.OrderAcknowledge || o.Kind == jaycell.OrderAcknowledgeCrash {
							continue
						}
						f.logf(o.Task, "%s gets order %s", n.name, describe(o))
					}
				})
				l.supervisor.ApplyOrders(term, sent)
			})
		}
	}
}

func describe(o jaycell.Order) string {
	kind := [...]string{jaycell.OrderStart: "start", jaycell.OrderStop: "stop", jaycell.OrderThrottle: "throttle"}[o.Kind]
	return fmt.Sprintf("%s %s run %d", kind, o.Task, o.Run)
}

// handleReport does what the leader does with a report.
func (f *fleet) handleReport(l *link, r jaycell.Report) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if l.term != f.term {
		f.former.handleReport(f, l, r)
		return
	}
	r.Connection = l.number
	if old := f.links[r.Node]; old == nil || old.number <= l.number {
		f.links[r.Node] = l
	}
	f.cell.SetTime(f.now(), time.Now())
	for _, o := range r.OrderResults {
		f.logf(o.Task, "leader: result from %s: %s run %d refused %v %s", r.Node, o.Task, o.Run, o.Refused, o.Reason)
	}
	if f.cell.ApplyReport(r) {
		term := f.term
		told, known := f.statementFor(r)
		l.send(down, func() {
			if known {
				l.supervisor.RecordEvacuation(told, r.Sequence)
			}
			l.supervisor.GrantLease(term, r.Sequence)
		})
	}
	jaycontroller.Signal(f.wake)
}
