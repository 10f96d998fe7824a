// Package jaysched decides which job starts next and where. It has no sockets,
// no clock and no goroutines: the same calls give the same decisions.
package jaysched

import (
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
	"github.com/jaystile/jaystile/internal/version/jayplan"
)

// Policy holds the constants of the decisions.
type Policy struct {
	// CheckpointCost is the run time lost when checkpointing work is stopped.
	CheckpointCost time.Duration
	// ShorterBy is how many times longer work must still take than a waiting
	// job before the job may displace it; zero turns this off.
	MinRuntimeRatio float64
	// MaxStops bounds how often a job is stopped for shorter jobs.
	MaxPreemptions int
	// LostShare bounds the work thrown away for a shorter job, as a share of
	// that job's own work.
	MaxLostShare float64
	// Reservations is how many waiting jobs backfill must not delay.
	Reservations int
	// BackfillQuantile is the quantile of the run time that a backfilled job
	// must end within.
	BackfillQuantile float64
	// CompactAbove is the fragmentation above which checkpointing work is moved
	// to fuller workers; one or more turns this off.
	CompactionThreshold float64
	// CompactAfter is how long work must have run before it is moved.
	CompactionMinRuntime time.Duration
	// SizeExponent raises the rank of large shapes, scaled by the weight of
	// fragmentation.
	SizeWeight float64
}

// DefaultPolicy returns the constants that docs/design/policy.md reports on.
func DefaultPolicy() Policy {
	return Policy{
		CheckpointCost:       2 * time.Second,
		MinRuntimeRatio:      2,
		MaxPreemptions:       6,
		MaxLostShare:         0.5,
		Reservations:         1,
		BackfillQuantile:     0.75,
		CompactionThreshold:  0.2,
		CompactionMinRuntime: time.Minute,
		SizeWeight:           0.5,
	}
}

// Scheduler holds the jobs that wait and decides what starts. It is not safe
// for concurrent use.
type Scheduler struct {
	// Policy is set before the first call.
	Policy Policy

	pool          *jaypool.Pool
	plan          *jayplan.Plan
	weights       jaymanifest.Weights
	manifest      *jaymanifest.Manifest
	predictor     *Predictor
	queues        map[queueKey]*jobQueue
	waiting       map[string]*Job
	waitingCounts map[countKey]int
	running       map[string]*Job

	totalShares       int
	guaranteed        map[string]int
	sortedGroupNames  map[jayjob.Locality][]string
	groupNamesVersion uint64
	scratch           []candidate
	allocationCount   uint64
}

// New returns a scheduler over the pool, which it shares with the caller.
func New(pool *jaypool.Pool) *Scheduler {
	return &Scheduler{
		Policy:           DefaultPolicy(),
		pool:             pool,
		weights:          jaymanifest.NewWeights(1, 1),
		predictor:        NewPredictor(),
		queues:           map[queueKey]*jobQueue{},
		waiting:          map[string]*Job{},
		waitingCounts:    map[countKey]int{},
		running:          map[string]*Job{},
		guaranteed:       map[string]int{},
		sortedGroupNames: map[jayjob.Locality][]string{},
	}
}

// Pool returns the table that the scheduler decides over.
func (s *Scheduler) Pool() *jaypool.Pool { return s.pool }

// Plan returns the homes of guarantees now in force, or nil.
func (s *Scheduler) Plan() *jayplan.Plan { return s.plan }

// Learner returns what has been learnt of run times.
func (s *Scheduler) Predictor() *Predictor { return s.predictor }

// Waiting returns how many jobs wait.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Find returns a job that waits or runs, or nil.
func (s *Scheduler) Find(id string) *Job {
	if j := s.waiting[id]; j != nil {
		return j
	}
	return s.running[id]
}

// Configure puts a manifest in force and plans its guarantees.
func (s *Scheduler) Configure(m *jaymanifest.Manifest) {
	s.manifest = m
	s.weights = m.Weights()
	s.totalShares = 0
	clear(s.guaranteed)
	for _, n := range m.Names() {
		w := m.Workspace(n)
		s.totalShares += w.Share()
		for _, g := range w.Guarantees() {
			s.guaranteed[n] += g.Shape().TotalAccelerators()
		}
	}
	s.Replan()
}

// Replan plans the guarantees anew after workers came or went.
func (s *Scheduler) Replan() {
	if s.manifest == nil {
		return
	}
	s.plan = jayplan.Build(s.manifest.Version(), s.manifest.Guarantees(), s.pool, s.plan)
}

// Submit queues a job or returns why it can never run.
func (s *Scheduler) Submit(j *Job) error {
	if err := s.CheckFeasible(j); err != nil {
		return err
	}
	s.Enqueue(j)
	return nil
}

// CanEverRun returns a NeverFitsError when no state of the pool could run the
// job.
func (s *Scheduler) CheckFeasible(j *Job) error {
	if err := s.checkShape(j); err != nil {
		return err
	}
	if q := s.quota(j.spec.Workspace()); q > 0 && j.spec.Shape().TotalAccelerators() > q {
		return &NeverFitsError{Shape: j.spec.Shape(), Cause: fmt.Sprintf("the workspace's quota is %d accelerators", q)}
	}
	return nil
}

// WaitingOf returns how many jobs of a workspace and class wait.
func (s *Scheduler) WaitingIn(workspace string, class jayjob.Class) int {
	return s.waitingCounts[countKey{workspace, class}]
}

type countKey struct {
	workspace string
	class     jayjob.Class
}

// Queue queues a job without asking whether it can run.
func (s *Scheduler) Enqueue(j *Job) {
	j.estimate = s.predictor.Predict(j.spec.Workspace(), j.spec.Kind(), j.spec.Runtime(), 0.5)
	j.upperEstimate = s.predictor.Predict(j.spec.Workspace(), j.spec.Kind(), j.spec.Runtime(), s.Policy.BackfillQuantile)
	if j.reason.cause == "" {
		j.reason = NewReason(NotYetConsidered, "", 0, j.arrived)
	}
	k := queueKeyOf(j)
	l := s.queues[k]
	if l == nil {
		l = newJobQueue(k)
		s.queues[k] = l
	}
	j.queue = l
	l.jobs.ReplaceOrInsert(j)
	s.waiting[j.id] = j
	s.waitingCounts[countKey{j.spec.Workspace(), j.spec.Class()}]++
}

func (s *Scheduler) quota(workspace string) int {
	if s.manifest == nil || s.manifest.Workspace(workspace) == nil {
		return 0
	}
	return s.manifest.Workspace(workspace).Quota()
}

// Cancel forgets a job, waiting or running, and frees what it holds in the
// table.
func (s *Scheduler) Cancel(id string) {
	if j := s.waiting[id]; j != nil {
		s.dequeue(j)
	}
	delete(s.running, id)
	s.pool.ReleaseJob(id)
}

func (s *Scheduler) dequeue(j *Job) {
	delete(s.waiting, j.id)
	k := countKey{j.spec.Workspace(), j.spec.Class()}
	s.waitingCounts[k]--
	if s.waitingCounts[k] == 0 {
		delete(s.waitingCounts, k)
	}
	j.queue.jobs.Delete(j)
	if j.queue.jobs.Len() == 0 {
		delete(s.queues, j.queue.key)
	}
	j.queue = nil
}

// Finish records that a running job ended after the given run time, of which
// earlier starts may have done a part.
func (s *Scheduler) Finish(id string, ran time.Duration) {
	j := s.running[id]
	if j == nil {
		return
	}
	s.predictor.Observe(j.spec.Workspace(), j.spec.Kind(), j.spec.Runtime(), ran)
	delete(s.running, id)
	s.pool.ReleaseJob(id)
}

// Stopped queues a running job again after it was stopped for another; done is
// the run time that its checkpoint has saved.
func (s *Scheduler) Requeue(id string, done time.Duration) {
	j := s.running[id]
	if j == nil {
		return
	}
	delete(s.running, id)
	s.pool.ReleaseJob(id)
	j.progress = done
	j.preemptions++
	s.Enqueue(j)
}

// Suspend takes back the start of a job that an owner refused. The caller
// queues it again.
func (s *Scheduler) RevokeStart(id string, reason Reason) {
	j := s.running[id]
	if j == nil {
		return
	}
	delete(s.running, id)
	s.pool.ReleaseJob(id)
	j.reason = reason
}

// Adopt makes a job known that runs already.
func (s *Scheduler) Adopt(id string, spec jayjob.Spec, now time.Duration) *Job {
	j := NewJob(id, spec, now)
	j.started = now
	j.reason = NewReason(PlacedOnFree, "", now, now)
	s.running[id] = j
	return j
}

// ranked is the head of a lane with its rank for this round.
type rankedQueue struct {
	queue *jobQueue
	head  *Job
	rank  float64
}

// Decide returns the jobs that start now and books them in the pool. The work
// of victims has been taken out of the pool; the caller stops it and calls
// Stopped for jobs of its own.
func (s *Scheduler) Decide(now time.Duration) []Decision {
	var decisions []Decision
	r := &round{scheduler: s, now: now, failed: map[*jobQueue]bool{}}
	for {
		d, ok := r.next()
		if !ok {
			return decisions
		}
		decisions = append(decisions, d)
	}
}

// rankLanes orders the heads of all lanes: urgent ones by deadline, then all
// others by rank.
func (s *Scheduler) rankQueues(now time.Duration, failed map[*jobQueue]bool) []rankedQueue {
	heads := make([]rankedQueue, 0, len(s.queues))
	for _, l := range s.queues {
		if failed[l] {
			continue
		}
		head, _ := l.jobs.Min()
		heads = append(heads, rankedQueue{queue: l, head: head, rank: s.rank(head, now)})
	}
	sort.Slice(heads, func(a, b int) bool {
		x, y := heads[a], heads[b]
		xUrgent, yUrgent := x.head.spec.Class() == jayjob.Urgent, y.head.spec.Class() == jayjob.Urgent
		if xUrgent != yUrgent {
			return xUrgent
		}
		if xUrgent && x.head.deadline != y.head.deadline {
			return x.head.deadline < y.head.deadline
		}
		if x.rank != y.rank {
			return x.rank > y.rank
		}
		return x.head.id < y.head.id
	})
	return heads
}

// rank is the response ratio (waiting and run time over run time), which
// prefers short jobs and ages all, times the workspace's claim to more of the
// pool. Source: P. Brinch Hansen, highest response ratio next, 1971.
func (s *Scheduler) rank(j *Job, now time.Duration) float64 {
	run := j.remaining().Seconds()
	ratio := (max(now-j.arrived, 0).Seconds() + run) / run
	if j.spec.Class() == jayjob.Deferrable {
		ratio /= 2
	}
	return ratio * s.shareFactor(j.spec.Workspace()) * s.sizeFactor(j)
}

// claim falls from one towards zero as a workspace holds more than its
// guarantees and its fair share of the rest.
func (s *Scheduler) shareFactor(workspace string) float64 {
	borrowed := s.pool.Usage(workspace) - s.guaranteed[workspace]
	if borrowed <= 0 || s.totalShares == 0 || s.manifest.Workspace(workspace) == nil {
		return 1
	}
	fair := float64(s.manifest.Workspace(workspace).Share()) / float64(s.totalShares) * float64(s.pool.Total())
	return fair / (fair + float64(borrowed))
}

func (s *Scheduler) sizeFactor(j *Job) float64 {
	total := max(j.spec.Shape().TotalAccelerators(), 1)
	factor := 1.0
	for n := total; n > 1; n /= 2 {
		factor += s.Policy.SizeWeight * s.weights.Fragmentation()
	}
	return factor
}
