// Package jaysimulation plays a load of jobs against the decisions of a cell on a virtual
// clock, beside baselines and a bound, and tells what the callers get. It has no
// sockets and no goroutines: the same seed gives the same figures.
package jaysimulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// spread is a log-normal amount.
type spread struct {
	mean  float64
	sigma float64
	most  float64
}

func (s spread) draw(r *rand.Rand) float64 {
	v := s.mean * math.Exp(s.sigma*r.NormFloat64()-s.sigma*s.sigma/2)
	if s.most > 0 {
		v = min(v, s.most)
	}
	return v
}

// Class is a kind of job.
type Class struct {
	Name     string
	Priority int
	// PerSecond is how many come a second.
	PerSecond float64
	// Value is what a job of mean size is worth on time, Late what it is worth until
	// three times its objective.
	Value float64
	Late  float64
	// Stretch and Objective bound the wanted completion time.
	Stretch   float64
	Objective time.Duration
	Attempts  int

	room         jaytask.Resources
	accelerators []int
	width        spread
	seconds      spread
	// uneven is how much the tasks of a step differ, wrong how much the callers'
	// estimates are off.
	uneven float64
	wrong  float64
	// The shares of jobs whose tasks run as a gang, of gangs that want one rack, of
	// jobs that save their progress, whose data lies on a rack, that are canceled,
	// and that can never be done.
	gang, tight, saves, near, canceled, hopeless float64
}

// Burst multiplies a class's arrivals for a while.
type Burst struct {
	Class string
	At    time.Duration
	For   time.Duration
	Times float64
}

// Load is a deployment with what its callers ask.
type Load struct {
	Name    string
	Classes []Class
	Bursts  []Burst
	// Span is how long jobs come.
	Span time.Duration
	// Runners is the number of workers, of eight accelerators each; three share a
	// rack.
	Runners int
	// Stop is how long a stop takes, Far how many times longer work takes that is
	// far from its rack or its data.
	Stop time.Duration
	Far  float64
	// Workspaces share the guaranteed part of the accelerators evenly.
	Workspaces int
	Guaranteed float64
	// Slow is the share of workers that run Slower times slower for the middle
	// third, and Lost that of workers that are gone from then on.
	Slow   float64
	Slower float64
	Lost   float64
	// Goal is what counts for the deployment's users.
	Goal Goal
}

// Goal weighs the parts of a day: the whole, the two worst windows, the worst
// class and the worst workspace. Waste is the price of a core-second of work that
// is thrown away, in worth.
type Goal struct {
	Whole, Windows, Class, Workspace float64
	Waste                            float64
}

// UnknownLoadError reports a load that is not known.
type UnknownLoadError struct{ Given string }

// Error implements error.
func (e *UnknownLoadError) Error() string {
	return fmt.Sprintf("unknown load %q: want kjaergaard or salish", e.Given)
}

// heavy is the load that both deployments are short of room under.
func heavy(name string, large, urgent, small Class, stop time.Duration, goal Goal) Load {
	large.room, urgent.room, small.room = jaytask.Resources{CPU: 26000, Memory: 38000}, jaytask.Resources{CPU: 7500, Memory: 15000}, jaytask.Resources{CPU: 5600, Memory: 15000}
	mixed := []int{1, 2, 4, 8, 8}
	large.accelerators, urgent.accelerators, small.accelerators = mixed, mixed, []int{1}
	large.width, urgent.width, small.width = spread{1.5, 0.8, 9}, spread{3, 0.8, 18}, spread{9.2, 0.8, 55}
	urgent.gang, urgent.tight, large.gang, large.tight = 1, 0.8, 1, 0.6
	large.near, small.near, large.canceled, small.canceled = 0.3, 0.12, 0.05, 0.15
	large.saves, small.saves = 0.45, 0.45
	return Load{
		Name: name, Goal: goal, Classes: []Class{urgent, large, small}, Span: 34 * time.Second, Runners: 11, Stop: stop, Far: 3, Workspaces: 4, Guaranteed: 0.62,
		Bursts: []Burst{{Class: urgent.Name, At: 4 * time.Second, For: 6 * time.Second, Times: 2.2}, {Class: small.Name, At: 18 * time.Second, For: 4 * time.Second, Times: 2}},
	}
}

// FindLoad returns a load by its name.
func FindLoad(name string) (Load, error) {
	switch name {
	case "kjaergaard":
		return heavy(name,
			Class{Name: "replan", Priority: 1, PerSecond: 0.36, Value: 3, Late: 1.5, Stretch: 3, Objective: time.Second, Attempts: 4, seconds: spread{11, 0.3, 11}, uneven: 0.3, wrong: 0.9, hopeless: 0.03},
			Class{Name: "pricecheck", Priority: 0, PerSecond: 0.33, Value: 4, Late: 0.8, Stretch: 1.5, Objective: 250 * time.Millisecond, Attempts: 4, seconds: spread{2.5, 0.5, 8}, uneven: 0.3, wrong: 0.9},
			Class{Name: "shelflife", Priority: 2, PerSecond: 0.21, Value: 1, Late: 0.5, Stretch: 3, Objective: 3 * time.Second, Attempts: 4, seconds: spread{7.6, 0.3, 11}, uneven: 0.15, wrong: 0.2},
			900*time.Millisecond, Goal{Whole: 0.75, Windows: 0.15, Class: 0.1, Workspace: 0.2, Waste: 0.0021}), nil
	case "salish":
		return heavy(name,
			Class{Name: "tariff-recalc", Priority: 1, PerSecond: 0.4, Value: 3, Late: 0.3, Stretch: 3, Objective: time.Second, Attempts: 3, seconds: spread{11, 0.3, 11}, uneven: 0.15, wrong: 0.5, hopeless: 0.01},
			Class{Name: "slip-quote", Priority: 0, PerSecond: 0.65, Value: 4, Late: 0.8, Stretch: 1.5, Objective: 250 * time.Millisecond, Attempts: 4, seconds: spread{2.5, 0.5, 8}, uneven: 0.15, wrong: 0.5},
			Class{Name: "arrears-sweep", Priority: 2, PerSecond: 0.19, Value: 1, Late: 0.1, Stretch: 3, Objective: 3 * time.Second, Attempts: 3, seconds: spread{9.5, 0.3, 11}, uneven: 0.15, wrong: 0.5, hopeless: 0.01},
			400*time.Millisecond, Goal{Whole: 0.35, Windows: 0.5, Class: 0.15, Workspace: 0.2, Waste: 0.0028}), nil
	}
	return Load{}, &UnknownLoadError{Given: name}
}

// request is a job as it comes, with what only the player knows of it.
type request struct {
	spec  *jaytask.Job
	class *Class
	at    time.Duration
	// seconds is the work of each task on a worker near its data.
	seconds  []float64
	hopeless bool
	// waves is in how many waves the step counts: one that is wider than a quarter
	// of the pool counts more than once.
	waves int
	// cancelAt is when the caller cancels it, zero for never.
	cancelAt time.Duration
}

// work returns the job's work in core-seconds, an accelerator as eight cores.
func (q *request) work() float64 {
	sum := 0.0
	for _, s := range q.seconds {
		sum += s
	}
	return sum * q.spec.Steps[0].Resources.CoreEquivalents()
}

// chain returns the run time of the longest task.
func (q *request) chain() time.Duration {
	longest := 0.0
	for _, s := range q.seconds {
		longest = max(longest, s)
	}
	return time.Duration(longest * float64(time.Second))
}

// objective returns how long the job may take to be on time.
func (q *request) objective() time.Duration {
	return time.Duration(q.class.Stretch*float64(q.waves)*float64(q.chain())) + q.class.Objective
}

// draw returns the jobs of a day in the order of their arrival.
func (l *Load) draw(seed uint64, wall time.Time) []*request {
	r := rand.New(rand.NewPCG(seed, 0x6a6179))
	var all []*request
	const tick = 10 * time.Millisecond
	for at := time.Duration(0); at < l.Span; at += tick {
		for i := range l.Classes {
			c := &l.Classes[i]
			rate := c.PerSecond
			for _, b := range l.Bursts {
				if b.Class == c.Name && at >= b.At && at < b.At+b.For {
					rate *= b.Times
				}
			}
			if r.Float64() < rate*tick.Seconds() {
				all = append(all, l.drawOne(r, c, at, wall, len(all)))
			}
		}
	}
	return all
}

func (l *Load) drawOne(r *rand.Rand, c *Class, at time.Duration, wall time.Time, n int) *request {
	room := c.room
	room.Accelerators = c.accelerators[r.IntN(len(c.accelerators))]
	count := max(1, int(c.width.draw(r)+0.5))
	// Tasks that take whole workers need not run together; gangs fit into a rack.
	gang := room.Accelerators < accelerators && r.Float64() < c.gang
	if gang {
		count = min(count, perRack*perWorker(room))
	}
	mean := c.seconds.draw(r)
	q := &request{class: c, at: at, hopeless: r.Float64() < c.hopeless}
	fit := l.Runners * perWorker(room)
	q.waves = max(1, (waveShare*count+fit-1)/fit)
	for range count {
		q.seconds = append(q.seconds, mean*(1+c.uneven*(2*r.Float64()-1)))
	}
	s := jaytask.Step{Count: count, Resources: room, Estimate: time.Duration(mean * (1 + c.wrong*(2*r.Float64()-1)) * float64(time.Second))}
	s.Gang = gang && count > 1
	s.SameRack = s.Gang && r.Float64() < c.tight
	s.Checkpoint = r.Float64() < c.saves
	if r.Float64() < c.near {
		s.DataRack = rackName(r.IntN((l.Runners + perRack - 1) / perRack))
	}
	if r.Float64() < c.canceled {
		q.cancelAt = at + time.Duration(r.Float64()*8*float64(time.Second))
	}
	q.spec = &jaytask.Job{
		ID: fmt.Sprintf("%016x", n+1), Steps: []jaytask.Step{s}, Accepted: wall.Add(at),
		Policy: jaytask.Policy{Route: c.Name, Service: service, Workspace: fmt.Sprintf("w%d", r.IntN(l.Workspaces)), Priority: c.Priority, MaxAttempts: c.Attempts, Stretch: c.Stretch, Objective: c.Objective},
	}
	return q
}

const (
	service      = "pool"
	perRack      = 3
	accelerators = 8
)

// workerRoom is what each worker has.
var workerRoom = jaytask.Resources{CPU: 64000, Memory: 131072, Accelerators: accelerators}

// waveShare is the share of the pool that a step may take in one wave.
const waveShare = 4

// perWorker returns how many tasks of a kind a worker holds.
func perWorker(room jaytask.Resources) int {
	return room.CountIn(workerRoom, jaytask.MaxTasks)
}

func rackName(n int) string { return fmt.Sprintf("rack-%d", n) }
