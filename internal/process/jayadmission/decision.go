package jayadmission

import (
	"fmt"
	"hash/fnv"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// MaxAge is the age from which an account is not used: three intervals at which a
	// leader with a backlog sends one.
	MaxAge = 1500 * time.Millisecond
	// maxDelivery is how long an account may have been on its way: a link on which nothing
	// arrives for 800 ms ends.
	maxDelivery = time.Second
	// minRetryAfter and maxRetryAfter bound RetryAfter without its spread. A caller has a few
	// attempts, and the backlog is known for about as long as its runs take.
	minRetryAfter = time.Second
	maxRetryAfter = 12 * time.Second
	// retrySpread is the part of RetryAfter over which jobs that are refused together are
	// spread.
	retrySpread = 0.5
	// retrySteps is the number of different delays within retrySpread.
	retrySteps = 1000
)

// Candidate is a submitted job.
type Candidate struct {
	Job *jaytask.Job
	// Guaranteed is the number of accelerators that its workspace is guaranteed.
	Guaranteed int
	// Waited is the time since its first try, if that was refused.
	Waited time.Duration
}

// Refusal is the refusal of a job for lack of capacity.
type Refusal struct {
	Priority int
	// Wait is how long the job would wait at least, RunTime how long it would take at least
	// from then on, and Left the time after which completing it no longer counts.
	Wait       time.Duration
	RunTime    time.Duration
	Left       time.Duration
	RetryAfter time.Duration
}

// Reason describes the refusal for the caller and the log.
func (r *Refusal) Reason() string {
	round := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	return fmt.Sprintf("no capacity for priority %d: waits at least %s, takes at least %s, counts for %s", r.Priority, round(r.Wait), round(r.RunTime), round(r.Left))
}

// Decide returns the refusal of a job, or nil if it may be completed in time. Age is that
// of the account. A job whose bounds are unknown is not refused.
func (a Account) Decide(x Candidate, age time.Duration) *Refusal {
	j := x.Job
	if age > MaxAge || j.TimedOccurrences > 0 || j.HasDaemon() || mayBeGuaranteed(x) {
		return nil
	}
	for i := range a.Routes {
		r := &a.Routes[i]
		if r.Name != j.Policy.Route || r.Service != j.Policy.Service || r.Priority != j.Policy.Priority {
			continue
		}
		wait := r.Wait - age - maxDelivery
		least, most, ok := r.path(j)
		if !ok || wait <= 0 {
			return nil
		}
		objective := time.Duration(j.Policy.Stretch*float64(most)) + j.Policy.Objective
		left := ExpiryFactor*objective - x.Waited
		if wait+least <= left {
			return nil
		}
		return &Refusal{Priority: j.Policy.Priority, Wait: wait, RunTime: least, Left: left, RetryAfter: retryAfter(wait, j.ID)}
	}
	return nil
}

// mayBeGuaranteed reports whether a job is within the guarantee of its workspace if that
// has no other jobs.
func mayBeGuaranteed(x Candidate) bool {
	return x.Job.Policy.Priority == 0 && x.Job.FirstStepAccelerators() <= x.Guaranteed
}

// path returns the least time of a job's longest chain of steps, and the most that its
// objective may assume for it, which grows with the number and the run time of its tasks.
// They are unknown if the job has steps or sizes that the route has not had yet.
func (r *RouteAccount) path(j *jaytask.Job) (least, most time.Duration, ok bool) {
	type chain struct{ least, most time.Duration }
	chains := make([]chain, len(j.Steps))
	for i, s := range j.Steps {
		known := i < len(r.RunTimes) && r.RunTimes[i].Longest > 0 && r.Slots > 0 && s.Allocation().FitsIn(r.Largest)
		if !known || len(s.After) == 0 && !r.Smallest.FitsIn(s.Allocation()) {
			return 0, 0, false
		}
		var start chain
		for _, k := range s.After {
			start.least, start.most = max(start.least, chains[k].least), max(start.most, chains[k].most)
		}
		// The caller's estimate is wrong by up to 90%, so it only adds to the bound.
		longest := max(runTimeMargin*r.RunTimes[i].Longest, s.Estimate)
		waves := max(1, (WavesPerPool*s.Count+r.Slots-1)/r.Slots)
		chains[i] = chain{least: start.least + r.RunTimes[i].Least(), most: start.most + longest*time.Duration(waves)}
		least, most = max(least, chains[i].least), max(most, chains[i].most)
	}
	return least, most, true
}

// retryAfter returns when a refused job should be submitted again: when there may be room,
// later by up to retrySpread, which depends on the ID.
func retryAfter(wait time.Duration, id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	// The lowest bits of this hash differ most between similar IDs.
	share := float64(h.Sum32()%retrySteps) / retrySteps
	base := min(max(wait, minRetryAfter), maxRetryAfter)
	return base + time.Duration(retrySpread*share*float64(base))
}
