package jaycontroller

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

const (
	// modelSeeds is how many plays a test run makes; JAYSTILE_STATES=FIRST-LAST selects others.
	modelSeeds = 120
	// modelDay is how long faults happen, modelCalm how long the play goes on without.
	modelDay  = 45 * time.Second
	modelCalm = 25 * time.Second
	// modelRetention lets jobs expire within a play. Half of it is longer than any copy or call
	// is late.
	modelRetention = 30 * time.Second
	modelEntries   = 4
	// leaderStep is the time between two rounds of a leader.
	leaderStep = 100 * time.Millisecond
)

// statesModel plays entries over a modelStore: real job tables, tails, takeovers and writers,
// without links. One runner carries out the orders of whoever leads.
type statesModel struct {
	t     *testing.T
	store *modelStore
	// limits are what new entries know of the store's.
	limits jaystore.Limits
	log    zerolog.Logger

	randomMutex sync.Mutex
	random      *rand.Rand

	mutex   sync.Mutex
	began   time.Time
	clock   time.Duration
	entries []*statesEntry
	jobs    []string
	// accepted holds the jobs that a caller was told to be accepted; shown the first final state
	// that a caller was told, and when.
	accepted map[string]bool
	shown    map[string]shownState
	canceled map[string]bool
	// tasks holds the number of tasks by job.
	tasks   map[string]int
	runner  modelRunner
	starts  int
	leaders int
	// overtaken holds the terms whose leaders were overtaken while they read the records.
	overtaken map[uint64]bool
	// standbys counts the takeovers that read a standby topic.
	standbys int
	late     sync.WaitGroup
}

// traceBuffer holds the trace of one play.
type traceBuffer struct {
	mutex sync.Mutex
	b     bytes.Buffer
}

func (f *traceBuffer) Write(b []byte) (int, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.b.Write(b)
}

type shownState struct {
	state jaytask.State
	at    time.Time
}

// modelRunner is a runner with its agent. Orders of lower terms have no effect.
type modelRunner struct {
	fence    uint64
	sequence int64
	running  map[string]modelRun
	finished []jaycell.End
	ends     uint64
	// highest holds the highest run that has ended, by task, and done the tasks that ended done.
	highest map[string]int
	done    map[string]bool
}

type modelRun struct {
	run int
	end time.Time
}

type statesEntry struct {
	*Controller
	cancel context.CancelFunc
	// claims is held while the entry claims a term or leads.
	claims sync.Mutex
}

// Guards against later leaders that forget a state which a caller was told: tails that lag or
// reload, appends that are late or get no answer, topics that are silent, deletions of expired
// jobs, repeated requests and takeovers come in any order.
func TestStatesOutliveLeaders(t *testing.T) {
	first, last := uint64(0), uint64(modelSeeds-1)
	if text := os.Getenv("JAYSTILE_STATES"); text != "" {
		_, err := fmt.Sscanf(text, "%d-%d", &first, &last)
		assert.NilError(t, err)
	}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				m := newStatesModel(t, seed)
				m.play()
				if testing.Verbose() {
					t.Logf("%d jobs, %d starts, %d states shown, %d takeovers, %d with a standby topic", len(m.jobs), m.starts, len(m.shown), m.leaders, m.standbys)
				}
			})
		})
	}
}

func newStatesModel(t *testing.T, seed uint64) *statesModel {
	m := &statesModel{
		t: t, random: rand.New(rand.NewPCG(seed, 2)), store: newModelStore(seed, fenceReadings[seed%uint64(len(fenceReadings))]), log: zerolog.Nop(), began: time.Now(), clock: jayclock.Elapsed(),
		accepted: map[string]bool{}, shown: map[string]shownState{}, canceled: map[string]bool{}, tasks: map[string]int{}, overtaken: map[uint64]bool{},
		runner: modelRunner{running: map[string]modelRun{}, highest: map[string]int{}, done: map[string]bool{}},
	}
	if folder := os.Getenv("JAYSTILE_STATES_LOG"); folder != "" {
		f := &traceBuffer{}
		t.Cleanup(func() {
			if t.Failed() {
				_ = os.WriteFile(filepath.Join(folder, fmt.Sprintf("states-%d-%d", seed, os.Getpid())), f.b.Bytes(), 0o644)
			}
		})
		m.store.trace = func(format string, args ...any) {
			fmt.Fprintf(f, "%d %s\n", time.Since(m.began).Milliseconds(), fmt.Sprintf(format, args...))
		}
		m.log = zerolog.New(f).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
			e.Int64("ms", time.Since(m.began).Milliseconds())
		}))
	}
	for i := range modelEntries {
		m.entries = append(m.entries, m.newEntry(i))
	}
	return m
}

// failf fails the play, which goes on.
func (m *statesModel) failf(format string, args ...any) {
	m.store.tracef("FAIL "+format, args...)
	m.t.Errorf(format, args...)
}

func (m *statesModel) newEntry(i int) *statesEntry {
	c := New(nil)
	c.Name, c.Logger = fmt.Sprint("entry-", i), m.log.With().Int("entry", i).Logger()
	c.Topics = Topics{Operator: "op", Cell: "cell", Jobs: "jobs", Runs: "runs", RunsStandby: []string{"standby-0", "standby-1", "standby-2"}}
	c.Timing = Timing{Retention: modelRetention, Lease: time.Second, StopTimeout: time.Second, GangTimeout: time.Second}
	c.NewStoreClient = func(func(context.Context, jaystore.Request) (jaystore.Response, error)) *jaystore.Client {
		return m.store.client(c.Name)
	}
	c.config.Store(jayconfig.NewConfig(1, nil, nil, nil, jayconfig.Limits{}))
	c.StoreLimits = m.limits
	c.Prepare()
	ctx, cancel := context.WithCancel(context.Background())
	c.ctx = ctx
	for _, tail := range []*jaystore.Tail{c.cellTail, c.jobsTail, c.runsTail} {
		c.tasks.Go(func() { tail.Run(ctx) })
	}
	c.tasks.Go(func() { c.jobsAppender.Run(ctx) })
	return &statesEntry{Controller: c, cancel: cancel}
}

// stop ends an entry without a graceful shutdown.
func (e *statesEntry) stop() {
	if l := e.currentLeadership(); l != nil {
		l.end("stopped")
	}
	e.cancel()
}

// intN returns a random number below n.
func (m *statesModel) intN(n int) int {
	m.randomMutex.Lock()
	defer m.randomMutex.Unlock()
	return m.random.IntN(n)
}

func (m *statesModel) random64() uint64 {
	m.randomMutex.Lock()
	defer m.randomMutex.Unlock()
	return m.random.Uint64()
}

func (m *statesModel) entry() *statesEntry {
	i := m.intN(modelEntries)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.entries[i]
}

// leader returns an entry that leads, or nil.
func (m *statesModel) leader() *statesEntry {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, e := range m.entries {
		if e.currentLeadership() != nil {
			return e
		}
	}
	return nil
}

// background runs f, which the play waits for at its end.
func (m *statesModel) background(f func()) {
	m.late.Add(1)
	go func() {
		defer m.late.Done()
		f()
	}()
}

func (m *statesModel) play() {
	m.store.setFaults(0.1)
	m.background(func() { m.takeOver(m.entries[0]) })
	time.Sleep(time.Second)
	for time.Since(m.began) < modelDay {
		m.disturb()
		time.Sleep(time.Duration(20+m.intN(300)) * time.Millisecond)
	}
	m.store.calm()
	time.Sleep(2 * modelMaxLate)
	last := m.entries[m.intN(len(m.entries))]
	m.background(func() { m.takeOver(last) })
	time.Sleep(modelCalm)
	m.checkAllEnded()
	m.end()
}

// end ends all entries.
func (m *statesModel) end() {
	for _, e := range m.entries {
		e.stop()
	}
	m.late.Wait()
	for _, e := range m.entries {
		e.tasks.Wait()
	}
	// Calls without an answer may still be executed.
	time.Sleep(time.Minute)
}

// disturb makes one request or one fault.
func (m *statesModel) disturb() {
	e := m.entry()
	some := func(most time.Duration) time.Time { return time.Now().Add(time.Duration(m.intN(int(most)))) }
	topics := []string{"runs", "runs", "runs", "jobs", "standby-0", "standby-1", "standby-2", "cell"}
	topic := topics[m.intN(len(topics))]
	switch n := m.intN(100); {
	case n < 25:
		m.submitNew(e)
	case n < 65:
		m.ask(e)
	case n < 69:
		m.cancelJob(e)
	case n < 77:
		m.store.silence(topic, some(4*time.Second))
	case n < 82:
		m.store.forget(topic)
	case n < 86:
		m.store.cut(e.Name, some(3*time.Second))
	case n < 89:
		m.background(func() { m.takeOver(e) })
	case n < 93:
		// The topic of runs is back while its records are in a standby topic, and another entry
		// takes over at about the same time. At times the former leader does not learn of it.
		silent := time.Second + time.Duration(m.intN(2000))*time.Millisecond
		m.store.silence("runs", time.Now().Add(silent))
		if former := m.leader(); former != nil && m.intN(2) == 0 {
			m.store.mute(former.Name, "cell", time.Now().Add(silent+2*time.Second))
		}
		wait := silent + time.Duration(m.intN(400)-200)*time.Millisecond
		successors := []*statesEntry{e}
		if m.intN(2) == 0 {
			successors = append(successors, m.entry())
		}
		for i, e := range successors {
			after := wait + time.Duration(i*m.intN(2000))*time.Millisecond
			m.background(func() {
				time.Sleep(after)
				// A successor may read slowly, lead later than the next one has claimed the term, and
				// learn of new jobs late.
				m.store.mute(e.Name, "runs", some(3*time.Second))
				m.background(func() {
					time.Sleep(time.Until(some(500 * time.Millisecond)))
					m.store.mute(e.Name, "jobs", some(4*time.Second))
				})
				m.takeOver(e)
			})
		}
	case n < 96:
		i := slices.Index(m.entries, e)
		e.stop()
		m.background(e.tasks.Wait)
		m.mutex.Lock()
		m.entries[i] = m.newEntry(i)
		m.mutex.Unlock()
	default:
		if l := e.currentLeadership(); l != nil {
			m.background(l.deleteExpiredJobs)
		}
	}
}

// submitNew hands in a job, at times again at other entries, as after a broken channel.
func (m *statesModel) submitNew(e *statesEntry) {
	// A new key may sort before those that a reader of pages has read.
	id := fmt.Sprintf("%016x", m.random64())
	m.jobs = append(m.jobs, id)
	copies, tasks := m.intN(3), 1+m.intN(2)
	m.mutex.Lock()
	m.tasks[id] = tasks
	m.mutex.Unlock()
	m.background(func() { m.submit(e, id, tasks) })
	for range copies {
		other, after := m.entry(), time.Duration(m.intN(4000))*time.Millisecond
		m.background(func() {
			time.Sleep(after)
			m.submit(other, id, tasks)
		})
	}
}

func (m *statesModel) submit(e *statesEntry, id string, tasks int) {
	if _, ok := e.jobs.get(id); ok {
		m.accept(id)
		return
	}
	record := m.jobRecord(id, tasks)
	if through := m.entry(); through.currentLeadership() != nil {
		// As for another entry's records.
		missing, _ := through.putAll([]jayframe.StoredRecord{{Key: record.Key, Value: record.Value}}, time.Now().Add(maxPutWait))
		if !missing {
			e.jobs.applyCopy(record.Key, record.Value)
			m.accept(id)
			return
		}
	}
	if e.storeRecord(e.ctx, record, Request{}).Outcome == Accepted {
		m.accept(id)
		m.tellOthers(e, record)
	}
}

// jobRecord returns the record of a job that is accepted now.
func (m *statesModel) jobRecord(id string, tasks int) jaystore.Record {
	spec := &jaytask.Job{ID: id, Spec: "x", Accepted: time.Now(), Policy: jaytask.Policy{Route: "r", Service: "s", MaxAttempts: 3, Stretch: 3, Objective: time.Minute}, Steps: []jaytask.Step{{Count: tasks, Estimate: time.Second, Resources: jaytask.Resources{CPU: 1, Memory: 1}}}}
	value, err := jaytask.EncodeJob(spec)
	assert.Check(m.t, err)
	return jaystore.Record{Key: jaycell.JobKey(id), Value: value}
}

func (m *statesModel) accept(id string) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.accepted[id] = true
}

// tellOthers sends copies of a record to the other entries, of which some are lost and some
// come late.
func (m *statesModel) tellOthers(from *statesEntry, r jaystore.Record) {
	m.mutex.Lock()
	others := slices.Clone(m.entries)
	m.mutex.Unlock()
	for _, e := range others {
		delay := time.Duration(m.intN(50)) * time.Millisecond
		switch m.intN(10) {
		case 0:
			delay = time.Duration(m.intN(int(2 * modelRetention)))
		case 1, 2, 3:
			continue
		}
		if e == from {
			continue
		}
		m.background(func() {
			time.Sleep(delay)
			m.store.tracef("COPY to %s %s", e.Name, r.Key)
			e.handleMessage(nil, 0, &jayframe.StoredRecords{Records: []jayframe.StoredRecord{{Key: r.Key, Value: r.Value}}})
		})
	}
}

func (m *statesModel) cancelJob(e *statesEntry) {
	id := m.someJob()
	if id == "" {
		return
	}
	m.background(func() {
		row, refusal := e.findJob(e.ctx, routedRequest{id: id})
		if refusal != nil || row.canceled || row.state.Ended() {
			return
		}
		m.mutex.Lock()
		m.canceled[id] = true
		m.mutex.Unlock()
		record := cancelRecord(id, time.Now())
		if e.storeRecord(e.ctx, record, Request{}).Outcome == Accepted {
			m.tellOthers(e, record)
		}
	})
}

func (m *statesModel) someJob() string {
	if len(m.jobs) == 0 {
		return ""
	}
	// Mostly recent ones, since the others have ended.
	newest := len(m.jobs) - 1
	return m.jobs[max(0, newest-m.intN(10))]
}

// ask asks for a job's state and remembers what the caller is told.
func (m *statesModel) ask(e *statesEntry) {
	if id := m.someJob(); id != "" {
		m.background(func() { m.askFor(e, id) })
	}
}

func (m *statesModel) askFor(e *statesEntry, id string) (jaytask.State, bool) {
	row, refusal := e.findJob(e.ctx, routedRequest{id: id})
	if refusal != nil {
		return 0, false
	}
	state := row.callerState()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if _, known := m.shown[id]; !known && state.Ended() {
		m.shown[id] = shownState{state, time.Now()}
		m.store.tracef("SHOWN %s %s by %s stateAt=%d acc=%d", id, state, e.Name, row.stateAt.Sub(m.began).Milliseconds(), row.spec.Accepted.Sub(m.began).Milliseconds())
		if state == jaytask.Completed && !m.allDone(id) {
			m.failf("job %s is shown as completed before it has run", id)
		}
	}
	return state, true
}

// allDone reports whether all tasks of a job have ended done. The mutex is held.
func (m *statesModel) allDone(id string) bool {
	for i := range m.tasks[id] {
		if !m.runner.done[fmt.Sprintf("%s.0.0.%d", id, i)] {
			return false
		}
	}
	return true
}

// takeOver claims the next term for an entry, and leads until the term ends.
func (m *statesModel) takeOver(e *statesEntry) {
	if !e.claims.TryLock() {
		return
	}
	defer e.claims.Unlock()
	ctx, cancel := context.WithTimeout(e.ctx, 10*time.Second)
	defer cancel()
	if e.cellTail.Refresh(ctx) != nil {
		return
	}
	at, number := e.cellTail.NextOffset(), e.Term().number+1
	// The incarnation differs from the entry's, so that the play leads and not the controller.
	claim := Term{number: number, leader: e.Name, address: "a", incarnation: uint64(time.Since(m.began)) + 1}
	for tries := 0; e.Term().number < number; tries++ {
		_, err := e.storeClient.Append(ctx, jaystore.Append{Topic: "cell", Records: []jaystore.Record{{Key: TermKey, Value: claim.encode()}}, ExpectedEnd: &at})
		if err == nil {
			e.setTerm(claim)
		}
		if ctx.Err() != nil || e.cellTail.Refresh(ctx) != nil || e.cellTail.NextOffset() != at {
			break
		}
	}
	if e.Term() != claim {
		return
	}
	m.lead(e, number)
}

// now returns the time of the cells, which goes on with the time of the play.
func (m *statesModel) now() time.Duration { return m.clock + time.Since(m.began) }

func (m *statesModel) lead(e *statesEntry, term uint64) {
	l := newLeadership(e.Controller, term)
	e.mutex.Lock()
	if e.term.number != term {
		e.mutex.Unlock()
		return
	}
	e.leadership = l
	e.mutex.Unlock()
	defer e.clearLeadership(l)
	ctx, cancel := context.WithCancel(e.ctx)
	defer cancel()
	go func() {
		select {
		case <-l.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	runs := m.writer(l)
	began := time.Now()
	if l.load(ctx, runs) != nil {
		return
	}
	for _, row := range e.jobs.unfinished() {
		m.store.tracef("LOADED term=%d unfinished %s state=%d canceled=%v", term, row.spec.ID, row.state, row.canceled)
	}
	m.store.tracef("LOADED term=%d began=%d", term, began.Sub(m.began).Milliseconds())
	m.checkLoaded(e, l, began)
	for ctx.Err() == nil {
		m.round(ctx, e, l, runs, began)
		jayclock.Sleep(ctx, leaderStep)
	}
}

// writer returns a leader's writer, for which the store serves some other topic all the time.
func (m *statesModel) writer(l *leadership) *jaystore.FailoverWriter {
	runs := l.newRunsWriter()
	runs.ServedAt = func() time.Duration { return 1 << 62 }
	runs.Delay = func() time.Duration { return failoverDelay }
	return runs
}

// checkLoaded checks that a leader knows every final state that was shown before its term began,
// unless the store rejects its writes by now.
func (m *statesModel) checkLoaded(e *statesEntry, l *leadership, began time.Time) {
	unfinished := map[string]bool{}
	for _, row := range e.jobs.unfinished() {
		unfinished[row.spec.ID] = !row.canceled
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.leaders++
	overtaken := m.store.fencedOut("runs", producer, l.term)
	if open := e.newestStandby(); open.Open {
		m.standbys++
		overtaken = overtaken && m.store.fencedOut(open.Topic, fmt.Sprintf("%s-%d", producer, open.Number), l.term)
	}
	if overtaken {
		// What it has read may be what a later leader has deleted. It must not store anything.
		m.overtaken[l.term] = true
		return
	}
	for id, s := range m.shown {
		if s.at.Before(began) && unfinished[id] {
			m.failf("job %s was shown as %s and is unfinished for the leader of term %d", id, s.state, l.term)
		}
	}
}

// round lets the runner report to the leader, which decides, stores and orders.
func (m *statesModel) round(ctx context.Context, e *statesEntry, l *leadership, runs *jaystore.FailoverWriter, began time.Time) {
	report, follows := m.report(l.term)
	l.mutex.Lock()
	l.cell.SetTime(m.now(), time.Now())
	if follows {
		l.cell.ApplyReport(report)
	}
	l.cell.Tick()
	batch := l.cell.TakeBatch()
	deletions := len(l.stateDeletions)
	immediate := l.cell.TakeImmediateOrders()
	l.mutex.Unlock()
	for _, o := range immediate {
		m.carryOut(l.term, o, began)
	}
	if batch.Empty() && deletions == 0 {
		return
	}
	keys := func(rs []jaycell.Record) (k []string) {
		for _, r := range rs {
			k = append(k, fmt.Sprintf("%s:%d", r.Key, len(r.Value)))
		}
		return k
	}
	m.store.tracef("BATCH term=%d units=%v states=%v del=%v", l.term, keys(batch.Units), keys(batch.JobStates), keys(batch.Deletions))
	orders, ok := l.storeAndPublish(ctx, runs, batch)
	m.store.tracef("STORED term=%d ok=%v orders=%d", l.term, ok, len(orders))
	m.mutex.Lock()
	if ok && m.overtaken[l.term] && len(batch.Units)+len(batch.JobStates)+len(batch.Deletions) > 0 {
		m.failf("the leader of term %d stores records although a later one has read them before", l.term)
	}
	m.mutex.Unlock()
	if !ok {
		return
	}
	for _, r := range batch.JobStates {
		m.tellOthers(e, jaystore.Record{Key: r.Key, Value: r.Value})
	}
	for _, o := range orders {
		m.carryOut(l.term, o, began)
	}
}

// report returns what the runner tells the leader of a term, and false if it follows a later one.
func (m *statesModel) report(term uint64) (jaycell.Report, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	w := &m.runner
	if term < w.fence {
		return jaycell.Report{}, false
	}
	w.fence = term
	w.sequence++
	for task, run := range w.running {
		if time.Now().After(run.end) {
			w.finish(task, jaycell.EndDone)
		}
	}
	p := jaycell.Report{Node: "n", Sequence: w.sequence, Term: term, Responsive: true, Runner: jaycell.RunnerInfo{ID: "i", Service: "s", Capacity: jaytask.Resources{CPU: 100, Memory: 100}}, Finished: slices.Clone(w.finished)}
	for task, run := range w.running {
		p.Running = append(p.Running, jaycell.Run{Task: task, Run: run.run, Percent: 50})
	}
	return p, true
}

// finish ends what runs of a task.
func (w *modelRunner) finish(task string, reason jaycell.EndReason) {
	run := w.running[task].run
	delete(w.running, task)
	w.ends++
	w.finished = append(w.finished, jaycell.End{Number: w.ends, Task: task, Run: run, Reason: reason})
	w.highest[task] = max(w.highest[task], run)
	w.done[task] = w.done[task] || reason == jaycell.EndDone
}

// carryOut carries out an order. A start of a job that was shown as completed, or of a task that
// has ended done, breaks what the model guards.
func (m *statesModel) carryOut(term uint64, o jaycell.Order, began time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	w := &m.runner
	m.store.tracef("ORDER term=%d kind=%v task=%s run=%d number=%d fence=%d highest=%d", term, o.Kind, o.Task, o.Run, o.Number, w.fence, w.highest[o.Task])
	if term < w.fence {
		return
	}
	switch o.Kind {
	case jaycell.OrderStart:
		job := o.Task[:16]
		s, shown := m.shown[job]
		if shown && (s.state != jaytask.Canceled || s.at.Before(began)) {
			m.failf("task %s starts under term %d, run %d, after its job was shown as %s", o.Task, term, o.Run, s.state)
		}
		if w.done[o.Task] && o.Run > w.highest[o.Task] {
			m.failf("task %s starts under term %d, run %d, after it has ended done", o.Task, term, o.Run)
		}
		if !o.Repeated && o.Run <= w.highest[o.Task] {
			m.failf("task %s starts under term %d, run %d, after run %d has ended", o.Task, term, o.Run, w.highest[o.Task])
		}
		if _, runs := w.running[o.Task]; runs || o.Run <= w.highest[o.Task] {
			return
		}
		m.starts++
		w.running[o.Task] = modelRun{run: o.Run, end: time.Now().Add(time.Duration(100+m.intN(2500)) * time.Millisecond)}
	case jaycell.OrderStop:
		if run, ok := w.running[o.Task]; ok && run.run == o.Run {
			w.finish(o.Task, jaycell.EndStopped)
		}
	case jaycell.OrderAcknowledge:
		w.finished = slices.DeleteFunc(w.finished, func(e jaycell.End) bool { return e.Number <= o.Number })
	}
}

// checkAllEnded checks that each accepted job has reached a final state that every entry shows, or
// has expired.
func (m *statesModel) checkAllEnded() {
	for _, id := range m.jobs {
		for _, e := range m.entries {
			state, found := m.askFor(e, id)
			m.mutex.Lock()
			_, shown := m.shown[id]
			accepted, ended := m.accepted[id], m.canceled[id] || m.allDone(id)
			m.mutex.Unlock()
			switch {
			case found && !state.Ended():
				m.failf("job %s is %s at %s at the end", id, state, e.Name)
			case !found && accepted && !shown && !ended:
				m.failf("job %s was accepted and is not known to %s at the end", id, e.Name)
			}
		}
	}
}
