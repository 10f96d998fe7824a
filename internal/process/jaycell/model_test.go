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
	modelLease = 2 * time.Second
	modelStop  = 300 * time.Millisecond
	modelStep  = 50 * time.Millisecond
)

// modelRun is a run on a modelled runner.
type modelRun struct {
	task  string
	run   int
	begun time.Duration
	ends  time.Duration
	fails bool
	stops time.Duration
}

// modelRunner keeps a runner's own record, by which the oracle judges.
type modelRunner struct {
	id       string
	node     string
	fence    uint64
	deadline time.Duration
	running  map[string]*modelRun
	highest  map[string]int
	finished []End
	number   uint64
	acked    uint64
	alive    bool
	// lapsed is when the lease was last seen to have ended, endedAt when each
	// listed end came about.
	lapsed  time.Duration
	endedAt map[uint64]time.Duration
}

// modelOrder is an order on its way, or carried out late.
type modelOrder struct {
	Order
	term uint64
	at   time.Duration
}

// model plays sides, runners and store around a cell, and judges.
type model struct {
	t        *rapid.T
	now      time.Duration
	wall     time.Time
	term     uint64
	cell     *Cell
	runners  map[string]*modelRunner
	sides    map[string]*modelSide
	runs     map[string][]byte
	jobs     map[string]*jaytask.Job
	states   map[string]jaytask.State
	canceled map[string]bool
	batch    *Batch
	stored   time.Duration
	dark     time.Duration
	// everDone holds tasks that ended as done, doneNote those whose end was
	// acknowledged under an unbroken lease.
	everDone map[string]bool
	doneNote map[string]bool
	failures map[string]int
	// failedRuns holds the runs of each task that ended as failed.
	failedRuns map[string]map[int]bool
	doomed     map[string]bool
	serial     int
}

// modelSide is a side with what it knows of the term.
type modelSide struct {
	node    string
	term    uint64
	permit  time.Duration
	cut     time.Duration
	runner  *modelRunner
	orders  []modelOrder
	results []OrderResult
	acked   uint64
	fresh   bool
}

func newModel(t *rapid.T, sides int) *model {
	m := &model{t: t, now: time.Hour, wall: time.UnixMilli(1_700_000_000_000), runners: map[string]*modelRunner{}, sides: map[string]*modelSide{}, runs: map[string][]byte{}, jobs: map[string]*jaytask.Job{}, states: map[string]jaytask.State{}, canceled: map[string]bool{}, everDone: map[string]bool{}, doneNote: map[string]bool{}, failures: map[string]int{}, failedRuns: map[string]map[int]bool{}, doomed: map[string]bool{}}
	for i := range sides {
		node := fmt.Sprintf("side-%d", i)
		m.sides[node] = &modelSide{node: node}
		m.newRunner(node)
	}
	m.newTerm()
	return m
}

func (m *model) newRunner(node string) {
	m.serial++
	s := m.sides[node]
	if s.runner != nil {
		s.runner.alive = false
	}
	s.runner = &modelRunner{id: fmt.Sprintf("runner-%d", m.serial), node: node, running: map[string]*modelRun{}, highest: map[string]int{}, endedAt: map[uint64]time.Duration{}, alive: true}
	s.acked, s.orders, s.results = 0, nil, nil
	m.runners[s.runner.id] = s.runner
}

// newTerm lets another holder take over from what is stored. The old one's
// unwritten batch is lost.
func (m *model) newTerm() {
	m.term++
	m.batch = nil
	m.cell = New(Settings{Term: m.term, Lease: modelLease, Retention: time.Hour, StopTimeout: modelStop, GangTimeout: time.Second, Guaranteed: func(w string) int {
		if w == "first" {
			return 8
		}
		return 0
	}, OnInvariantViolation: func(what string, d Decision) { m.t.Fatalf("broken: %s (%s run %d)", what, d.Task, d.Run) }}, m.now, m.wall)
	for _, id := range sortedKeys(m.jobs) {
		if !m.states[id].Ended() {
			m.cell.Submit(m.jobs[id])
			if m.states[id] == jaytask.Running {
				m.cell.MarkStarted(id)
			}
		}
	}
	for _, k := range sortedKeys(m.runs) {
		if err := m.cell.RestoreUnit(Record{Key: k, Value: m.runs[k]}); err != nil {
			m.t.Fatalf("load: %v", err)
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

// step moves time on by one step.
func (m *model) step() {
	m.now += modelStep
	m.wall = m.wall.Add(modelStep)
	m.cell.SetTime(m.now, m.wall)
	for _, id := range sortedKeys(m.runners) {
		m.advance(m.runners[id])
	}
	for _, node := range sortedKeys(m.sides) {
		m.exchange(m.sides[node])
	}
	m.cell.Tick()
	m.send(m.cell.TakeImmediateOrders())
	if m.batch == nil {
		if b := m.cell.TakeBatch(); !b.Empty() {
			m.batch, m.stored = b, m.now+modelStep
		}
	}
	if m.batch != nil && m.now >= m.stored && m.now >= m.dark {
		b := m.batch
		m.batch = nil
		m.write(b)
		m.send(m.cell.ConfirmStored(b))
	}
}

func (m *model) write(b *Batch) {
	for _, r := range append(append([]Record(nil), b.Runs...), b.Deletions...) {
		if r.Value == nil {
			delete(m.runs, r.Key)
			continue
		}
		m.runs[r.Key] = r.Value
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
			m.judgeCompleted(r.Key[2:])
		case jaytask.Failed:
			m.judgeFailed(r.Key[2:])
		case jaytask.Canceled:
			if !m.canceled[r.Key[2:]] {
				m.t.Fatalf("job %s is canceled although nobody asked", r.Key[2:])
			}
		}
	}
}

func (m *model) send(orders []Order) {
	for _, o := range orders {
		s := m.sides[o.Node]
		if s == nil || m.now < s.cut || s.runner.id != o.Runner {
			continue
		}
		if o.Kind == OrderAcknowledge {
			s.acked = max(s.acked, o.Number)
			continue
		}
		delay := time.Duration(rapid.IntRange(0, 2).Draw(m.t, "delay")) * modelStep
		s.orders = append(s.orders, modelOrder{Order: o, term: m.term, at: m.now + delay})
		if o.Kind == OrderStart && rapid.IntRange(0, 9).Draw(m.t, "late") == 0 {
			// A try that is not answered is carried out again, seconds later.
			s.orders = append(s.orders, modelOrder{Order: o, term: m.term, at: m.now + time.Duration(rapid.IntRange(10, 60).Draw(m.t, "late by"))*modelStep})
		}
	}
}

// exchange lets a side carry out its orders and report.
func (m *model) exchange(s *modelSide) {
	r := s.runner
	var rest []modelOrder
	for _, o := range s.orders {
		if m.now < o.at {
			rest = append(rest, o)
			continue
		}
		m.carryOut(s, r, o)
	}
	s.orders = rest
	if m.now < s.cut {
		s.fresh = true
		return
	}
	if s.term < m.term {
		s.term, s.results, s.fresh = m.term, nil, true
	}
	r.fence = max(r.fence, s.term)
	r.deadline = max(r.deadline, s.permit)
	for s.acked > r.acked {
		r.acked++
		m.acknowledge(r, r.acked)
	}
	p := Report{Node: s.node, NewConnection: s.fresh, Sequence: int64(m.now), Term: s.term, Responsive: true, OrderResults: s.results, Runner: RunnerInfo{ID: r.id, Service: "service", Labels: []string{"a", "r1-" + s.node[5:]}, Capacity: jaytask.Resources{CPU: 64000, Memory: 1000, Accelerators: 8}}}
	for _, task := range sortedKeys(r.running) {
		x := r.running[task]
		p.Running = append(p.Running, Run{Task: task, Run: x.run, Percent: int(100 * (m.now - x.begun) / (x.ends - x.begun + 1))})
	}
	for _, e := range r.finished {
		if e.Number > r.acked {
			p.Finished = append(p.Finished, e)
		}
	}
	for _, o := range s.orders {
		// A side forgets the orders of earlier terms; what is on its way to the
		// runner may still be carried out.
		if o.term < s.term {
			continue
		}
		p.PendingOrders = append(p.PendingOrders, Order{Kind: o.Kind, Task: o.Task, Run: o.Run})
	}
	if m.cell.ApplyReport(p) {
		s.permit = m.now + modelLease
	}
	s.results, s.fresh = nil, false
}

// carryOut is the runner's part of an order.
func (m *model) carryOut(s *modelSide, r *modelRunner, o modelOrder) {
	if o.Runner != r.id || o.term < r.fence {
		return
	}
	r.fence = o.term
	if o.Kind == OrderStop {
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		if x := r.running[o.Task]; x != nil && x.run == o.Run {
			if x.stops == 0 {
				x.stops = m.now + modelStop
			}
		} else if !listed(r, o.Task, o.Run) {
			s.results = append(s.results, OrderResult{Task: o.Task, Run: o.Run})
		}
		return
	}
	if x := r.running[o.Task]; x != nil && x.run == o.Run {
		return
	}
	if o.Run <= r.highest[o.Task] || m.now > max(r.deadline, s.permit) || !m.fits(r, o) {
		if !listed(r, o.Task, o.Run) {
			s.results = append(s.results, OrderResult{Task: o.Task, Run: o.Run, Refused: true, Reason: "room"})
		}
		r.highest[o.Task] = max(r.highest[o.Task], o.Run)
		return
	}
	r.deadline = max(r.deadline, s.permit)
	m.begin(r, o)
}

func listed(r *modelRunner, task string, run int) bool {
	for _, e := range r.finished {
		if e.Task == task && e.Run == run && e.Number > r.acked {
			return true
		}
	}
	return false
}

func (m *model) fits(r *modelRunner, o modelOrder) bool {
	used := m.roomOf(o.Task)
	for task := range r.running {
		used = used.Add(m.roomOf(task))
	}
	return used.FitsIn(jaytask.Resources{CPU: 64000, Memory: 1000, Accelerators: 8})
}

func (m *model) roomOf(task string) jaytask.Resources {
	id, _, step, _, _ := parseTaskName(task)
	return m.jobs[id].Steps[step].Resources
}

// begin starts a run and judges it.
func (m *model) begin(r *modelRunner, o modelOrder) {
	for _, id := range sortedKeys(m.runners) {
		other := m.runners[id]
		if x := other.running[o.Task]; x != nil && other.alive {
			m.t.Fatalf("task %s run %d begins on %s while run %d is on %s", o.Task, o.Run, r.id, x.run, other.id)
		}
	}
	if m.doneNote[o.Task] {
		m.t.Fatalf("task %s run %d begins after its end as done was acknowledged", o.Task, o.Run)
	}
	id, _, step, _, _ := parseTaskName(o.Task)
	j := m.jobs[id]
	for _, a := range j.Steps[step].After {
		for n := range j.Steps[a].Count {
			if !m.done(j, a, n) {
				m.t.Fatalf("task %s begins before task %d of step %d is done", o.Task, n, a)
			}
		}
	}
	if m.failures[o.Task] >= j.Policy.MaxAttempts {
		m.t.Fatalf("task %s run %d begins after %d failures", o.Task, o.Run, m.failures[o.Task])
	}
	work := time.Duration(rapid.IntRange(4, 40).Draw(m.t, "work")) * modelStep
	r.running[o.Task] = &modelRun{task: o.Task, run: o.Run, begun: m.now, ends: m.now + work, fails: m.doomed[id] || rapid.IntRange(0, 9).Draw(m.t, "fails") == 0}
}

// done reports whether a task has ended as done on some runner; an end of any
// member stands for a gang.
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

// advance ends what is over on a runner.
func (m *model) advance(r *modelRunner) {
	if !r.alive {
		return
	}
	if m.now > r.deadline {
		r.lapsed = m.now
	}
	for _, task := range sortedKeys(r.running) {
		x := r.running[task]
		switch {
		case m.now > r.deadline:
			m.end(r, x, EndLapsed)
		case x.stops > 0 && m.now >= x.stops:
			m.end(r, x, EndStopped)
		case m.now >= x.ends && x.fails:
			m.end(r, x, EndFailed)
		case m.now >= x.ends:
			m.end(r, x, EndDone)
		}
	}
}

func (m *model) end(r *modelRunner, x *modelRun, how EndReason) {
	delete(r.running, x.task)
	r.highest[x.task] = max(r.highest[x.task], x.run)
	r.number++
	r.endedAt[r.number] = m.now
	switch how {
	case EndDone:
		m.everDone[x.task] = true
	case EndFailed:
		if m.failedRuns[x.task] == nil {
			m.failedRuns[x.task] = map[int]bool{}
		}
		m.failedRuns[x.task][x.run] = true
	}
	r.finished = append(r.finished, End{Number: r.number, Task: x.task, Run: x.run, Reason: how})
}

// acknowledge makes a runner forget an end; from now on it counts.
func (m *model) acknowledge(r *modelRunner, number uint64) {
	for _, e := range r.finished {
		if e.Number != number {
			continue
		}
		switch e.Reason {
		case EndDone:
			if r.lapsed <= r.endedAt[number] {
				m.doneNote[e.Task] = true
			}
		case EndFailed:
			m.failures[e.Task]++
		}
	}
}

func (m *model) judgeCompleted(id string) {
	j := m.jobs[id]
	for s := range j.Steps {
		for n := range j.Steps[s].Count {
			if !m.done(j, s, n) {
				m.t.Fatalf("job %s is completed although %s was never done", id, TaskName(id, 0, s, n))
			}
		}
	}
}

// judgeFailed demands as many failures of one task, or of one gang, as there are
// attempts.
func (m *model) judgeFailed(id string) {
	j := m.jobs[id]
	for s, step := range j.Steps {
		gang := map[int]bool{}
		for n := range step.Count {
			runs := m.failedRuns[TaskName(id, 0, s, n)]
			if !step.Gang {
				gang = map[int]bool{}
			}
			for run := range runs {
				gang[run] = true
			}
			if len(gang) >= j.Policy.MaxAttempts {
				return
			}
		}
	}
	m.t.Fatalf("job %s is failed although no task has failed %d times", id, j.Policy.MaxAttempts)
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
	m.doomed[id] = rapid.IntRange(0, 9).Draw(m.t, "doomed") == 0
	m.jobs[id] = j
	m.cell.Submit(j)
}

func (m *model) anyNode() *modelSide {
	return m.sides[rapid.SampledFrom(sortedKeys(m.sides)).Draw(m.t, "node")]
}

// disturb makes one random change.
func (m *model) disturb() {
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
		m.anyNode().cut = m.now + time.Duration(rapid.IntRange(5, 80).Draw(m.t, "cut"))*modelStep
	case 5:
		m.newRunner(m.anyNode().node)
	case 6:
		m.dark = m.now + time.Duration(rapid.IntRange(5, 40).Draw(m.t, "dark"))*modelStep
	case 7:
		if m.now >= m.dark {
			m.newTerm()
		}
	}
}

func TestCellAgainstRunners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.IntRange(1, 4).Draw(t, "sides"))
		for range rapid.IntRange(5, 25).Draw(t, "events") {
			m.disturb()
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				m.step()
			}
		}
		m.quiet()
	})
}

// quiet lets everything end without disturbance; every job must get its final
// state, and nothing may be left of it.
func (m *model) quiet() {
	const most = 4000
	for range most {
		m.step()
		open := 0
		for id := range m.jobs {
			if !m.states[id].Ended() && m.cell.jobs[id] != nil && m.possible(m.jobs[id]) {
				open++
			}
		}
		if open == 0 && m.idle() {
			return
		}
	}
	for _, id := range sortedKeys(m.jobs) {
		if !m.states[id].Ended() && m.possible(m.jobs[id]) {
			m.describe(id)
			m.t.Fatalf("job %s is still %v", id, m.states[id])
		}
	}
	m.t.Fatalf("runs are left: %v", sortedKeys(m.runs))
}

// possible reports whether the pool can ever hold the job.
func (m *model) possible(j *jaytask.Job) bool {
	for _, s := range j.Steps {
		if s.Gang && s.Count*s.Resources.Accelerators > 8*len(m.sides) {
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
	for k := range m.runs {
		id, _, _, _, ok := parseTaskName(k)
		if !ok {
			id, _, _, _, _ = parseTaskName(k + ".0")
		}
		if m.possible(m.jobs[id]) {
			return false
		}
	}
	return true
}

// describe logs what the cell knows of a job.
func (m *model) describe(id string) {
	j := m.cell.jobs[id]
	if j == nil {
		m.t.Logf("the cell does not know the job")
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
		m.t.Logf("runner %s on %s: known %v gone %v used %+v holds %v", r.id, r.node, r.reported, r.lost, r.used, sortedKeys(r.placements))
	}
}
