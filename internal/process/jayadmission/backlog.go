// Package jayadmission decides which submitted jobs are refused for lack of capacity:
// those that certainly cannot be completed within ExpiryFactor times their objective. It
// has no clock, socket or goroutine.
//
// The leader describes the work that it holds as a Backlog, whose Account tells for each
// route without room how long its next job waits at least. Entries judge jobs by it. It
// responds to a pool that is filled by long runs, and to a backlog of higher priority that
// outlives the objective of a job. It does not respond to a queue of the same priority, in
// which a new job precedes those that are late.
//
// All bounds favor the job: work that may go first counts with its least amount and only
// if it is sure to go first, and capacity counts in full.
package jayadmission

import (
	"cmp"
	"slices"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// ExpiryFactor is the age, in multiples of the objective, after which completing a job
	// no longer counts.
	ExpiryFactor = 3
	// WavesPerPool is the number of waves that the pool holds at once, where a wave is the
	// tasks of one step that run at the same time: the objective assumes that a step uses
	// 1/WavesPerPool of the pool and that a wider step runs in several waves, one after the
	// other.
	WavesPerPool = 4
	// runTimeMargin is the factor by which a run may be shorter or longer than all measured
	// ones of its step. Run times are measured through reports, 500 ms apart, and a few runs
	// do not show the whole spread of a route.
	runTimeMargin = 2
)

// RunTimes are the bounds of the measured run times of the tasks of one step, zero if they
// are unknown.
type RunTimes struct {
	Shortest time.Duration
	Longest  time.Duration
}

// Least returns the time that a task takes at least.
func (r RunTimes) Least() time.Duration { return r.Shortest / runTimeMargin }

// Run is a run that nothing in the backlog stops.
type Run struct {
	Priority  int
	Resources jaytask.Resources
	// Remaining is how long the run continues at least.
	Remaining time.Duration
}

// Runner is a runner that has capacity or may have some again.
type Runner struct {
	Service  string
	Capacity jaytask.Resources
	Runs     []Run
}

// Task is a waiting task that is sure to go before any job of a lower priority.
type Task struct {
	Service   string
	Priority  int
	Resources jaytask.Resources
	// RunTime is how long the task runs at least.
	RunTime time.Duration
	// Until is for how long its job certainly does not expire.
	Until time.Duration
}

// Route describes the jobs of a route.
type Route struct {
	Name     string
	Service  string
	Priority int
	// Smallest is the least that a first task of a job has requested of each resource,
	// Largest the most that any task has.
	Smallest jaytask.Resources
	Largest  jaytask.Resources
	// RunTimes are those of the steps, by index.
	RunTimes []RunTimes
}

// Backlog is the work that the leader holds.
type Backlog struct {
	Runners []Runner
	Tasks   []Task
	Routes  []Route
	// LowestPriority is the lowest priority, which is the highest number, of the unfinished
	// jobs of each service.
	LowestPriority map[string]int
}

// RouteAccount is the account for a route that has no room.
type RouteAccount struct {
	Route
	// Wait is how long the first task of the next job waits at least.
	Wait time.Duration
	// Slots is the number of the route's largest tasks that the empty pool holds.
	Slots int
}

// Account lists the routes that have no room. An empty one shows room for every job.
type Account struct {
	Routes []RouteAccount
}

// Account returns the account of the backlog.
func (b *Backlog) Account() Account {
	var a Account
	for _, r := range b.Routes {
		if wait := b.wait(r); wait > 0 {
			a.Routes = append(a.Routes, RouteAccount{Route: r, Wait: wait, Slots: b.slots(r)})
		}
	}
	return a
}

// wait returns how long the first task of a route's next job waits at least. All jobs of a
// route are judged by its smallest task, so that a large job is not refused for its size.
func (b *Backlog) wait(r Route) time.Duration {
	wait := b.waitForRuns(r)
	if wait == 0 {
		return 0
	}
	return max(wait, b.waitForTasks(r))
}

// blocks reports whether a run keeps its resources from the jobs of a route: those of
// lower priority may be stopped for them.
func (x Run) blocks(r Route) bool { return x.Priority <= r.Priority }

// waitForRuns returns when enough runs have ended on some runner. It is zero if the task
// fits now, in free resources or in those of runs of lower priority.
func (b *Backlog) waitForRuns(r Route) time.Duration {
	wait, found := time.Duration(0), false
	for _, x := range b.Runners {
		if x.Service != r.Service || !r.Smallest.FitsIn(x.Capacity) {
			continue
		}
		if w := x.waitForRuns(r); !found || w < wait {
			wait, found = w, true
		}
	}
	return wait
}

// waitForRuns returns when enough runs on the runner have ended.
func (x *Runner) waitForRuns(r Route) time.Duration {
	free := x.Capacity
	var runs []Run
	for _, run := range x.Runs {
		if run.blocks(r) {
			free = free.Sub(run.Resources)
			runs = append(runs, run)
		}
	}
	slices.SortStableFunc(runs, func(a, b Run) int { return cmp.Compare(a.Remaining, b.Remaining) })
	for _, run := range runs {
		if r.Smallest.FitsIn(free) {
			return 0
		}
		free = free.Add(run.Resources)
		if r.Smallest.FitsIn(free) {
			return run.Remaining
		}
	}
	return 0
}

// work is a sum of resources times run time, in units of the resource times seconds.
type work [3]float64

// add adds the work of a task.
func (w *work) add(r jaytask.Resources, runTime time.Duration) {
	for i, n := range [...]int{r.CPU, r.Memory, r.Accelerators} {
		w[i] += float64(n) * runTime.Seconds()
	}
}

// waitForTasks returns when the tasks that go first can all have started. Wherever the
// route's smallest task fits, each of these tasks fits too, so none of them waits when the
// job starts, and all have ended after the longest run time among them: until then the
// pool holds all their work. It is zero if there is work of lower priority, which the job
// may stop where the tasks that go first do not.
func (b *Backlog) waitForTasks(r Route) time.Duration {
	if b.LowestPriority[r.Service] > r.Priority {
		return 0
	}
	var running, capacity work
	var longest time.Duration
	for _, x := range b.Runners {
		if x.Service != r.Service {
			continue
		}
		capacity.add(x.Capacity, time.Second)
		for _, run := range x.Runs {
			if run.blocks(r) {
				running.add(run.Resources, run.Remaining)
				longest = max(longest, run.Remaining)
			}
		}
	}
	var first []Task
	for _, t := range b.Tasks {
		if t.Service == r.Service && t.Priority < r.Priority && t.Resources.FitsIn(r.Smallest) {
			first = append(first, t)
			longest = max(longest, t.RunTime)
		}
	}
	// The tasks expire one after the other; what is left then may be done by the job's start.
	slices.SortStableFunc(first, func(a, b Task) int { return cmp.Compare(a.Until, b.Until) })
	// ahead holds by task the work that is left once all before it have expired.
	ahead := make([]work, len(first)+1)
	ahead[len(first)] = running
	for i := len(first) - 1; i >= 0; i-- {
		ahead[i] = ahead[i+1]
		ahead[i].add(first[i].Resources, first[i].RunTime)
	}
	expired := time.Duration(0)
	for i := range first {
		wait := max(ahead[i].timeOn(capacity)-longest, expired)
		if wait < first[i].Until {
			return wait
		}
		expired = first[i].Until
	}
	return expired
}

// timeOn returns how long a pool that does capacity in a second takes for the work.
func (w work) timeOn(capacity work) time.Duration {
	var seconds float64
	for i := range w {
		if capacity[i] > 0 {
			seconds = max(seconds, w[i]/capacity[i])
		}
	}
	return time.Duration(seconds * float64(time.Second))
}

// slots returns how many of a route's largest tasks the empty pool holds.
func (b *Backlog) slots(r Route) int {
	n := 0
	for _, x := range b.Runners {
		if x.Service == r.Service {
			n += r.Largest.CountIn(x.Capacity, jaytask.MaxTasks)
		}
	}
	return n
}
