package jaycell

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for _, d := range [][3]string{{"rapid.seed", "0", "20261203"}, {"rapid.checks", "100", "1000"}} {
		if f := flag.Lookup(d[0]); f != nil && f.Value.String() == d[1] {
			if err := f.Value.Set(d[2]); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

const (
	modelLease    = 2 * time.Second
	modelStopTime = 300 * time.Millisecond
	modelStep     = 50 * time.Millisecond
)

// modelRun is a run on a modelRunner.
type modelRun struct {
	task      string
	run       int
	startedAt time.Duration
	endsAt    time.Duration
	fails     bool
	stopsAt   time.Duration
}

// modelRunner is a runner of the model; the checks rely on its state.
type modelRunner struct {
	id       string
	node     string
	fence    uint64
	leaseEnd time.Duration
	running  map[string]*modelRun
	// highest is the highest run number that was stopped, refused or ended, by task.
	highest  map[string]int
	finished []End
	endCount uint64
	acked    uint64
	alive    bool
	// lapsedAt is the last time at which the lease had expired; endedAt is the time of
	// each end by number.
	lapsedAt time.Duration
	endedAt  map[uint64]time.Duration
}

// modelOrder is an order in transit that is executed at dueAt.
type modelOrder struct {
	Order
	term  uint64
	dueAt time.Duration
	// lateCall reports a call without an answer that the runner executes late. The agent
	// does not know of it.
	lateCall bool
}

// model simulates the agents, the runners and the store around a cell, and checks
// the cell's decisions.
type model struct {
	t              *rapid.T
	now            time.Duration
	wall           time.Time
	term           uint64
	cell           *Cell
	runners        map[string]*modelRunner
	agents         map[string]*modelAgent
	unitRecords    map[string][]byte
	jobs           map[string]*jaytask.Job
	states         map[string]jaytask.State
	canceled       map[string]bool
	batch          *Batch
	storedAt       time.Duration
	storeDownUntil time.Duration
	// everDone holds tasks that were done once, ackedDone those whose end was
	// acknowledged without a lapse of the lease in between.
	everDone  map[string]bool
	ackedDone map[string]bool
	failures  map[string]int
	// failedRuns holds the failed runs of each task.
	failedRuns  map[string]map[int]bool
	alwaysFails map[string]bool
	runnerCount int
}

// modelAgent is an agent with its view of the term.
type modelAgent struct {
	node              string
	term              uint64
	leaseEnd          time.Duration
	disconnectedUntil time.Duration
	runner            *modelRunner
	orders            []modelOrder
	results           []OrderResult
	acked             uint64
	connection        uint64
}

func newModel(t *rapid.T, agents int) *model {
	m := &model{t: t, now: time.Hour, wall: time.UnixMilli(1_700_000_000_000), runners: map[string]*modelRunner{}, agents: map[string]*modelAgent{}, unitRecords: map[string][]byte{}, jobs: map[string]*jaytask.Job{}, states: map[string]jaytask.State{}, canceled: map[string]bool{}, everDone: map[string]bool{}, ackedDone: map[string]bool{}, failures: map[string]int{}, failedRuns: map[string]map[int]bool{}, alwaysFails: map[string]bool{}}
	for i := range agents {
		node := fmt.Sprintf("side-%d", i)
		m.agents[node] = &modelAgent{node: node}
		m.newRunner(node)
	}
	m.newTerm()
	return m
}

func (m *model) newRunner(node string) {
	m.runnerCount++
	a := m.agents[node]
	if a.runner != nil {
		a.runner.alive = false
	}
	a.runner = &modelRunner{id: fmt.Sprintf("runner-%d", m.runnerCount), node: node, running: map[string]*modelRun{}, highest: map[string]int{}, endedAt: map[uint64]time.Duration{}, alive: true}
	a.acked, a.orders, a.results = 0, nil, nil
	m.runners[a.runner.id] = a.runner
}

// newTerm makes another leader take over from the stored records. The batch of the
// old leader that is not stored is lost.
func (m *model) newTerm() {
	m.term++
	m.batch = nil
	m.cell = New(Settings{Term: m.term, Lease: modelLease, Retention: time.Hour, StopTimeout: modelStopTime, GangTimeout: time.Second, Guaranteed: func(w string) int {
		if w == "first" {
			return 8
		}
		return 0
	}, OnInvariantViolation: func(what string, d Decision) { m.t.Fatalf("invariant violated: %s (%s run %d)", what, d.Task, d.Run) }}, m.now, m.wall)
	for _, id := range sortedKeys(m.jobs) {
		if !m.states[id].Ended() {
			m.cell.Submit(m.jobs[id])
			if m.states[id] == jaytask.Running {
				m.cell.MarkStarted(id)
			}
		}
	}
	for _, k := range sortedKeys(m.unitRecords) {
		if err := m.cell.RestoreUnit(Record{Key: k, Value: m.unitRecords[k]}); err != nil {
			m.t.Fatalf("restore: %v", err)
		}
	}
	for _, id := range sortedKeys(m.canceled) {
		m.cell.Cancel(id)
	}
}

func sortedKeys[V any](all map[string]V) []string {
	keys := make([]string, 0, len(all))
	for k := range all {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// step advances the clock by modelStep.
func (m *model) step() {
	m.now += modelStep
	m.wall = m.wall.Add(modelStep)
	m.cell.SetTime(m.now, m.wall)
	for _, id := range sortedKeys(m.runners) {
		m.advance(m.runners[id])
	}
	for _, node := range sortedKeys(m.agents) {
		m.exchange(m.agents[node])
	}
	m.cell.Tick()
	m.deliver(m.cell.TakeImmediateOrders())
	if m.batch == nil {
		if b := m.cell.TakeBatch(); !b.Empty() {
			m.batch, m.storedAt = b, m.now+modelStep
		}
	}
	if m.batch != nil && m.now >= m.storedAt && m.now >= m.storeDownUntil {
		b := m.batch
		m.batch = nil
		m.applyBatch(b)
		m.deliver(m.cell.ConfirmStored(b))
	}
}

func (m *model) applyBatch(b *Batch) {
	for _, r := range append(append([]Record(nil), b.Units...), b.Deletions...) {
		if r.Value == nil {
			delete(m.unitRecords, r.Key)
			continue
		}
		m.unitRecords[r.Key] = r.Value
	}
	for _, r := range b.JobStates {
		if r.Value == nil || r.Key[:2] != "s/" {
			continue
		}
		state, _, err := DecodeState(r.Value)
		if err != nil {
			m.t.Fatalf("state: %v", err)
		}
		m.states[r.Key[2:]] = state
		switch state {
		case jaytask.Completed:
			m.checkCompleted(r.Key[2:])
		case jaytask.Failed:
			m.checkFailed(r.Key[2:])
		case jaytask.Canceled:
			if !m.canceled[r.Key[2:]] {
				m.t.Fatalf("job %s is canceled without a request", r.Key[2:])
			}
		}
	}
}

func (m *model) deliver(orders []Order) {
	for _, o := range orders {
		a := m.agents[o.Node]
		if a == nil || a.runner.id != o.Runner {
			continue
		}
		if m.now < a.disconnectedUntil {
			if rapid.Bool().Draw(m.t, "held back") {
				a.orders = append(a.orders, modelOrder{Order: o, term: m.term, dueAt: a.disconnectedUntil})
			}
			continue
		}
		if o.Kind == OrderAcknowledge || o.Kind == OrderAcknowledgeCrash {
			a.acked = max(a.acked, o.Number)
			continue
		}
		delay := time.Duration(rapid.IntRange(0, 2).Draw(m.t, "delay")) * modelStep
		a.orders = append(a.orders, modelOrder{Order: o, term: m.term, dueAt: m.now + delay})
		if o.Kind == OrderStart && rapid.IntRange(0, 9).Draw(m.t, "late") == 0 {
			// An unanswered call to the runner is executed again seconds later.
			a.orders = append(a.orders, modelOrder{Order: o, term: m.term, dueAt: m.now + time.Duration(rapid.IntRange(10, 60).Draw(m.t, "late by"))*modelStep, lateCall: true})
		}
	}
}

// exchange makes an agent execute its orders and report.
func (m *model) exchange(a *modelAgent) {
	r := a.runner
	var waiting []modelOrder
	for _, o := range a.orders {
		if m.now < o.dueAt {
			waiting = append(waiting, o)
			continue
		}
		if !m.executeOrder(a, r, o) {
			waiting = append(waiting, o)
		}
	}
	a.orders = waiting
	if m.now < a.disconnectedUntil {
		a.connection++
		return
	}
	if a.term < m.term {
		a.term, a.results = m.term, nil
		a.connection++
	}
	r.fence = max(r.fence, a.term)
	r.leaseEnd = max(r.leaseEnd, a.leaseEnd)
	for a.acked > r.acked {
		r.acked++
		m.acknowledge(r, r.acked)
	}
	p := Report{Node: a.node, Connection: a.connection, Sequence: int64(m.now), Term: a.term, Responsive: true, OrderResults: a.results, Runner: RunnerInfo{ID: r.id, Service: "service", Labels: []string{"a", "r1-" + a.node[5:]}, Capacity: jaytask.Resources{CPU: 64000, Memory: 1000, Accelerators: 8}}}
	for _, task := range sortedKeys(r.running) {
		x := r.running[task]
		p.Running = append(p.Running, Run{Task: task, Run: x.run, Percent: int(100 * (m.now - x.startedAt) / (x.endsAt - x.startedAt + 1))})
	}
	for _, e := range r.finished {
		if e.Number > r.acked {
			p.Finished = append(p.Finished, e)
		}
	}
	for _, o := range a.orders {
		// An agent drops the orders of earlier terms, but a call to the runner that is
		// in transit may still be executed.
		if o.term < a.term || o.lateCall || m.now < o.dueAt {
			continue
		}
		p.PendingOrders = append(p.PendingOrders, Order{Kind: o.Kind, Task: o.Task, Run: o.Run})
	}
	if m.cell.ApplyReport(p) {
		a.leaseEnd = m.now + modelLease
	}
	a.results = nil
}

// executeOrder executes an order on the runner. It returns false if the order stays
// pending: an agent repeats a start until it has a lease.
func (m *model) executeOrder(a *modelAgent, r *modelRunner, o modelOrder) bool {
	if o.Runner != r.id || o.term < r.fence {
		return true
	}
	r.fence = o.term
	if o.Kind == OrderStop {
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if x := r.running[o.Task]; x != nil && x.run == o.Run {
			if x.stopsAt == 0 {
				x.stopsAt = m.now + modelStopTime
			}
		} else if !isListed(r, o.Task, o.Run) {
			a.results = append(a.results, OrderResult{Task: o.Task, Run: o.Run})
		}
		return true
	}
	if x := r.running[o.Task]; x != nil && x.run == o.Run {
		return true
	}
	refused := o.Run <= r.highest[o.Task] || !m.fits(r, o)
	leased := m.now <= r.leaseEnd || !o.lateCall && m.now <= a.leaseEnd
	switch {
	case o.lateCall && (refused || !leased):
		return true
	case refused:
		// An agent stops the run before it reports the refusal.
		if !isListed(r, o.Task, o.Run) {
			a.results = append(a.results, OrderResult{Task: o.Task, Run: o.Run, Refused: true, Reason: "room"})
		}
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		return true
	case !leased:
		return false
	}
	r.leaseEnd = max(r.leaseEnd, a.leaseEnd)
	m.startRun(r, o)
	return true
}

func isListed(r *modelRunner, task string, run int) bool {
	for _, e := range r.finished {
		if e.Task == task && e.Run == run && e.Number > r.acked {
			return true
		}
	}
	return false
}

func (m *model) fits(r *modelRunner, o modelOrder) bool {
	used := m.resourcesOf(o.Task)
	for task := range r.running {
		used = used.Add(m.resourcesOf(task))
	}
	return used.FitsIn(jaytask.Resources{CPU: 64000, Memory: 1000, Accelerators: 8})
}

func (m *model) resourcesOf(task string) jaytask.Resources {
	id, _, step, _, _ := parseTaskName(task)
	return m.jobs[id].Steps[step].Resources
}

// startRun checks and starts a run.
func (m *model) startRun(r *modelRunner, o modelOrder) {
	for _, id := range sortedKeys(m.runners) {
		other := m.runners[id]
		if x := other.running[o.Task]; x != nil && other.alive {
			m.t.Fatalf("task %s run %d starts on %s while run %d is on %s", o.Task, o.Run, r.id, x.run, other.id)
		}
	}
	if m.ackedDone[o.Task] {
		m.t.Fatalf("task %s run %d starts after it was acknowledged as done", o.Task, o.Run)
	}
	id, _, step, _, _ := parseTaskName(o.Task)
	j := m.jobs[id]
	for _, a := range j.Steps[step].After {
		for n := range j.Steps[a].Count {
			if !m.done(j, a, n) {
				m.t.Fatalf("task %s starts before task %d of step %d is done", o.Task, n, a)
			}
		}
	}
	if m.failures[o.Task] >= j.Policy.MaxAttempts {
		m.t.Fatalf("task %s run %d starts after %d failures", o.Task, o.Run, m.failures[o.Task])
	}
	work := time.Duration(rapid.IntRange(4, 40).Draw(m.t, "work")) * modelStep
	r.running[o.Task] = &modelRun{task: o.Task, run: o.Run, startedAt: m.now, endsAt: m.now + work, fails: m.alwaysFails[id] || rapid.IntRange(0, 9).Draw(m.t, "fails") == 0}
}

// done reports whether a task was done on any runner. For a gang, one member is
// enough.
func (m *model) done(j *jaytask.Job, step, index int) bool {
	if !j.Steps[step].Gang {
		return m.everDone[TaskName(j.ID, 0, step, index)]
	}
	for n := range j.Steps[step].Count {
		if m.everDone[TaskName(j.ID, 0, step, n)] {
			return true
		}
	}
	return false
}

// advance ends the runs of a runner that are due to end.
func (m *model) advance(r *modelRunner) {
	if !r.alive {
		return
	}
	if m.now > r.leaseEnd {
		r.lapsedAt = m.now
	}
	for _, task := range sortedKeys(r.running) {
		x := r.running[task]
		switch {
		case m.now > r.leaseEnd:
			m.end(r, x, EndLapsed)
		case x.stopsAt > 0 && m.now >= x.stopsAt:
			m.end(r, x, EndStopped)
		case m.now >= x.endsAt && x.fails:
			m.end(r, x, EndFailed)
		case m.now >= x.endsAt:
			m.end(r, x, EndDone)
		}
	}
}

func (m *model) end(r *modelRunner, x *modelRun, reason EndReason) {
	delete(r.running, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.run)
	r.endCount++
	r.endedAt[r.endCount] = m.now
	switch reason {
	case EndDone:
		m.everDone[x.task] = true
	case EndFailed:
		if m.failedRuns[x.task] == nil {
			m.failedRuns[x.task] = map[int]bool{}
		}
		m.failedRuns[x.task][x.run] = true
	}
	r.finished = append(r.finished, End{Number: r.endCount, Task: x.task, Run: x.run, Reason: reason})
}

// acknowledge acknowledges an end to its runner; from now on the checks rely on it.
func (m *model) acknowledge(r *modelRunner, number uint64) {
	for _, e := range r.finished {
		if e.Number != number {
			continue
		}
		switch e.Reason {
		case EndDone:
			if r.lapsedAt <= r.endedAt[number] {
				m.ackedDone[e.Task] = true
			}
		case EndFailed:
			m.failures[e.Task]++
		}
	}
}

func (m *model) checkCompleted(id string) {
	j := m.jobs[id]
	for s := range j.Steps {
		for n := range j.Steps[s].Count {
			if !m.done(j, s, n) {
				m.t.Fatalf("job %s is completed but %s was never done", id, TaskName(id, 0, s, n))
			}
		}
	}
}

// checkFailed requires MaxAttempts failed runs of one task or gang.
func (m *model) checkFailed(id string) {
	j := m.jobs[id]
	for s, step := range j.Steps {
		failed := map[int]bool{}
		for n := range step.Count {
			runs := m.failedRuns[TaskName(id, 0, s, n)]
			if !step.Gang {
				failed = map[int]bool{}
			}
			for run := range runs {
				failed[run] = true
			}
			if len(failed) >= j.Policy.MaxAttempts {
				return
			}
		}
	}
	m.t.Fatalf("job %s is failed but no task has failed %d times", id, j.Policy.MaxAttempts)
}

func (m *model) submit() {
	id := fmt.Sprintf("%016x", len(m.jobs)+1)
	steps := rapid.IntRange(1, 2).Draw(m.t, "steps")
	j := &jaytask.Job{ID: id, Accepted: m.wall, Policy: jaytask.Policy{Service: "service", Workspace: rapid.SampledFrom([]string{"first", "second"}).Draw(m.t, "workspace"), Priority: rapid.IntRange(0, 2).Draw(m.t, "priority"), MaxAttempts: 3, Stretch: 3, Objective: time.Minute}}
	for s := range steps {
		step := jaytask.Step{Count: rapid.IntRange(1, 4).Draw(m.t, "count"), Gang: rapid.Bool().Draw(m.t, "gang"), Checkpoint: rapid.Bool().Draw(m.t, "checkpoint"), Estimate: time.Second, Resources: jaytask.Resources{CPU: 4000, Memory: 100, Accelerators: rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(m.t, "accelerators")}}
		if s > 0 {
			step.After = []int{0}
		}
		j.Steps = append(j.Steps, step)
	}
	m.alwaysFails[id] = rapid.IntRange(0, 9).Draw(m.t, "doomed") == 0
	m.jobs[id] = j
	m.cell.Submit(j)
}

func (m *model) randomAgent() *modelAgent {
	return m.agents[rapid.SampledFrom(sortedKeys(m.agents)).Draw(m.t, "node")]
}

// injectEvent submits or cancels a job or injects a failure at random.
func (m *model) injectEvent() {
	switch rapid.IntRange(0, 9).Draw(m.t, "event") {
	case 0, 1, 2:
		m.submit()
	case 3:
		if len(m.jobs) > 0 {
			id := rapid.SampledFrom(sortedKeys(m.jobs)).Draw(m.t, "job")
			m.canceled[id] = true
			m.cell.Cancel(id)
		}
	case 4:
		m.randomAgent().disconnectedUntil = m.now + time.Duration(rapid.IntRange(5, 80).Draw(m.t, "cut"))*modelStep
	case 5:
		m.newRunner(m.randomAgent().node)
	case 6:
		m.storeDownUntil = m.now + time.Duration(rapid.IntRange(5, 40).Draw(m.t, "dark"))*modelStep
	case 7:
		if m.now >= m.storeDownUntil {
			m.newTerm()
		}
	}
}

func TestCellAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 4).Draw(t, "sides"))
		for range rapid.IntRange(5, 25).Draw(t, "events") {
			m.injectEvent()
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				m.step()
			}
		}
		m.runToCompletion()
	})
}

// runToCompletion runs without further events. Every feasible job must reach its
// final state, and none of its records may be left.
func (m *model) runToCompletion() {
	const maxSteps = 4000
	for range maxSteps {
		m.step()
		unfinished := 0
		for id := range m.jobs {
			if !m.states[id].Ended() && m.cell.jobs[id] != nil && m.feasible(m.jobs[id]) {
				unfinished++
			}
		}
		if unfinished == 0 && m.idle() {
			return
		}
	}
	for _, id := range sortedKeys(m.jobs) {
		if !m.states[id].Ended() && m.feasible(m.jobs[id]) {
			m.logJob(id)
			m.t.Fatalf("job %s is still %v", id, m.states[id])
		}
	}
	m.t.Fatalf("unit records are left: %v", sortedKeys(m.unitRecords))
}

// feasible reports whether the pool can hold the gangs of the job.
func (m *model) feasible(j *jaytask.Job) bool {
	for _, s := range j.Steps {
		if s.Gang && s.Count*s.Resources.Accelerators > 8*len(m.agents) {
			return false
		}
	}
	return true
}

func (m *model) idle() bool {
	for _, r := range m.runners {
		if r.alive && len(r.running) > 0 {
			return false
		}
	}
	for k := range m.unitRecords {
		id, _, _, _, ok := parseTaskName(k)
		if !ok {
			id, _, _, _, _ = parseTaskName(k + ".0")
		}
		if m.feasible(m.jobs[id]) {
			return false
		}
	}
	return true
}

// logJob logs the cell's state of a job.
func (m *model) logJob(id string) {
	j := m.cell.jobs[id]
	if j == nil {
		m.t.Logf("the cell has no such job")
		return
	}
	for _, k := range sortedKeys(j.units) {
		u := j.units[k]
		m.t.Logf("unit %s phase %d run %d failed %v stopping %v claims %v avoid %v reason %q need %+v x%d", k, u.phase, u.run, u.failedRuns, u.stopping, u.claims, u.avoidUntil, u.reason, u.spec().Resources, u.count)
		for _, pl := range u.placements {
			m.t.Logf("  on %s: committed %v confirmed %v stop %v percent %d", pl.runner.id, pl.committed, pl.confirmed, pl.stopOrdered, pl.percent)
		}
	}
	for _, r := range m.cell.sortedRunners() {
		m.t.Logf("runner %s on %s: reported %v lost %v used %+v placements %v", r.id, r.node, r.reported, r.lost, r.used, sortedKeys(r.placements))
	}
}
