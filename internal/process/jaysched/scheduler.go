// Package jaysched decides which job starts next and where. Callers submit jobs, call
// Decide, and report how the jobs ended with Finish, Requeue, RevokeStart or Cancel.
// It has no clock and no goroutines and does no I/O: the same calls give the same
// decisions.
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

// Policy holds the parameters of the decisions.
type Policy struct {
	// CheckpointCost is the run time lost by stopping checkpointing work.
	CheckpointCost time.Duration
	// MinRuntimeRatio is the least ratio of the remaining run time of work to that
	// of a waiting job at which the job may preempt the work; zero turns this off.
	MinRuntimeRatio float64
	// MaxPreemptions bounds how often a job is stopped for shorter jobs.
	MaxPreemptions int
	// MaxLostShare bounds the work lost by preemption for a shorter job, as a
	// share of that job's own work.
	MaxLostShare float64
	// Reservations is how many waiting jobs backfilled jobs must not delay.
	Reservations int
	// BackfillQuantile is the quantile of the run time by which a backfilled job
	// must be expected to end before a reservation starts.
	BackfillQuantile float64
	// CompactionThreshold is the fragmentation above which checkpointing work is
	// moved to other partly used workers; one or more turns compaction off.
	CompactionThreshold float64
	// CompactionMinRuntime is how long work must have run, and must still have to
	// run, to be moved.
	CompactionMinRuntime time.Duration
	// SizeWeight is what each doubling of a shape's size adds to the size factor of
	// a job's rank, scaled by the weight of fragmentation.
	SizeWeight float64
}

// DefaultPolicy returns the parameters that docs/design/policy.md evaluates.
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

// Scheduler holds the waiting and running jobs and decides which start. It is not
// safe for concurrent use.
type Scheduler struct {
	// Policy may be changed only before the first call.
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

// Pool returns the pool that the scheduler decides over.
func (s *Scheduler) Pool() *jaypool.Pool { return s.pool }

// Plan returns the plan in force, which maps guarantees to homes, or nil.
func (s *Scheduler) Plan() *jayplan.Plan { return s.plan }

// Predictor returns the predictor of run times.
func (s *Scheduler) Predictor() *Predictor { return s.predictor }

// Waiting returns how many jobs wait.
func (s *Scheduler) Waiting() int { return len(s.waiting) }

// Find returns a waiting or running job, or nil.
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

// Replan plans the guarantees again. It must be called after workers were added or
// removed.
func (s *Scheduler) Replan() {
	if s.manifest == nil {
		return
	}
	s.plan = jayplan.Build(s.manifest.Version(), s.manifest.Guarantees(), s.pool, s.plan)
}

// Submit queues a job or returns a NeverFitsError.
func (s *Scheduler) Submit(j *Job) error {
	if err := s.CheckFeasible(j); err != nil {
		return err
	}
	s.Enqueue(j)
	return nil
}

// CheckFeasible returns a NeverFitsError when the job does not fit the idle pool or
// exceeds its workspace's quota.
func (s *Scheduler) CheckFeasible(j *Job) error {
	if err := s.checkShape(j); err != nil {
		return err
	}
	if q := s.quota(j.spec.Workspace()); q > 0 && j.spec.Shape().TotalAccelerators() > q {
		return &NeverFitsError{Shape: j.spec.Shape(), Cause: fmt.Sprintf("the workspace's quota is %d accelerators", q)}
	}
	return nil
}

// WaitingIn returns how many jobs of a workspace and class wait.
func (s *Scheduler) WaitingIn(workspace string, class jayjob.Class) int {
	return s.waitingCounts[countKey{workspace, class}]
}

type countKey struct {
	workspace string
	class     jayjob.Class
}

// Enqueue queues a job without checking whether it can run.
func (s *Scheduler) Enqueue(j *Job) {
	j.estimate = s.predictor.Predict(j.spec.Workspace(), j.spec.Kind(), j.spec.Runtime(), 0.5)
	j.upperEstimate = s.predictor.Predict(j.spec.Workspace(), j.spec.Kind(), j.spec.Runtime(), s.Policy.BackfillQuantile)
	if j.reason.cause == "" {
		j.reason = NewReason(NotYetConsidered, "", 0, j.arrived)
	}
	k := queueKeyOf(j)
	q := s.queues[k]
	if q == nil {
		q = newJobQueue(k)
		s.queues[k] = q
	}
	j.queue = q
	q.jobs.ReplaceOrInsert(j)
	s.waiting[j.id] = j
	s.waitingCounts[countKey{j.spec.Workspace(), j.spec.Class()}]++
}

func (s *Scheduler) quota(workspace string) int {
	if s.manifest == nil || s.manifest.Workspace(workspace) == nil {
		return 0
	}
	return s.manifest.Workspace(workspace).Quota()
}

// Cancel removes a waiting or running job and its allocations.
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

// Finish records that a running job completed. The run time includes that of
// earlier starts which checkpoints saved.
func (s *Scheduler) Finish(id string, ran time.Duration) {
	j := s.running[id]
	if j == nil {
		return
	}
	s.predictor.Observe(j.spec.Workspace(), j.spec.Kind(), j.spec.Runtime(), ran)
	delete(s.running, id)
	s.pool.ReleaseJob(id)
}

// Requeue queues a running job again after it was preempted; progress is the run
// time that its checkpoint holds.
func (s *Scheduler) Requeue(id string, progress time.Duration) {
	j := s.running[id]
	if j == nil {
		return
	}
	delete(s.running, id)
	s.pool.ReleaseJob(id)
	j.progress = progress
	j.preemptions++
	s.Enqueue(j)
}

// RevokeStart undoes the start of a job that the agent of a worker refused. The
// caller queues it again.
func (s *Scheduler) RevokeStart(id string, reason Reason) {
	j := s.running[id]
	if j == nil {
		return
	}
	delete(s.running, id)
	s.pool.ReleaseJob(id)
	j.reason = reason
}

// Adopt adds a job that is already running.
func (s *Scheduler) Adopt(id string, spec jayjob.Spec, now time.Duration) *Job {
	j := NewJob(id, spec, now)
	j.started = now
	j.reason = NewReason(PlacedOnFree, "", now, now)
	s.running[id] = j
	return j
}

// rankedQueue is a queue and its head with the head's rank.
type rankedQueue struct {
	queue *jobQueue
	head  *Job
	rank  float64
}

// Decide returns the jobs that start now and allocates their accelerators in the
// pool. The allocations of victims are removed from the pool; the caller stops the
// victims and calls Requeue for its own jobs.
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

// rankQueues orders the queues by their heads: urgent jobs first, by deadline, then
// all by rank.
func (s *Scheduler) rankQueues(now time.Duration, failed map[*jobQueue]bool) []rankedQueue {
	heads := make([]rankedQueue, 0, len(s.queues))
	for _, q := range s.queues {
		if failed[q] {
			continue
		}
		head, _ := q.jobs.Min()
		heads = append(heads, rankedQueue{queue: q, head: head, rank: s.rank(head, now)})
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

// rank is the response ratio (waiting time plus run time, over run time), which
// favours short jobs and grows as a job waits, times the share factor of the workspace
// and the size factor. Deferrable jobs rank by half of their ratio. Source: P. Brinch
// Hansen, highest response ratio next, 1971.
func (s *Scheduler) rank(j *Job, now time.Duration) float64 {
	run := j.remaining().Seconds()
	ratio := (max(now-j.arrived, 0).Seconds() + run) / run
	if j.spec.Class() == jayjob.Deferrable {
		ratio /= 2
	}
	return ratio * s.shareFactor(j.spec.Workspace()) * s.sizeFactor(j)
}

// shareFactor falls from one towards zero as the usage of a workspace exceeds its
// guarantees. It is one half when the excess equals the workspace's fair share of
// the pool.
func (s *Scheduler) shareFactor(workspace string) float64 {
	borrowed := s.pool.Usage(workspace) - s.guaranteed[workspace]
	if borrowed <= 0 || s.totalShares == 0 || s.manifest.Workspace(workspace) == nil {
		return 1
	}
	fair := float64(s.manifest.Workspace(workspace).Share()) / float64(s.totalShares) * float64(s.pool.Total())
	return fair / (fair + float64(borrowed))
}

// sizeFactor raises the rank of large shapes for each doubling of their size.
func (s *Scheduler) sizeFactor(j *Job) float64 {
	total := max(j.spec.Shape().TotalAccelerators(), 1)
	factor := 1.0
	for n := total; n > 1; n /= 2 {
		factor += s.Policy.SizeWeight * s.weights.Fragmentation()
	}
	return factor
}
