// Package jayroute chooses the runner of a request. It knows each runner's load
// from the owner's late reports and from what this process has sent since. It
// has no clock and does no input or output.
package jayroute

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Constants of the choice.
const (
	// increase and decrease move a runner's limit: one more request after a
	// whole window of successes, a share of the limit after a refusal.
	decrease = 0.7
	minLimit = 1.0
	// failuresToEject is how many failures in a row eject a runner.
	failuresToEject = 3
	// slowToEject is how many times the median latency ejects a runner.
	slowToEject     = 5.0
	minSlowSamples  = 20
	maxEjectedShare = 0.34
	ejectFirst      = 500 * time.Millisecond
	ejectMost       = 30 * time.Second
	latencyWeight   = 0.1
	// remotePenalty is the load, as a share of a runner's slots, that a runner
	// in another data centre must be below a near one to be chosen.
	remotePenalty = 0.25
)

// Runner is what is known of one runner.
type Runner struct {
	name        string
	dataCentre  string
	slots       int
	limit       float64
	outstanding int
	reported    int
	sinceReport int
	latency     time.Duration
	samples     int
	failures    int
	ejections   int
	ejectedTill time.Duration
	draining    bool
}

// Name returns the runner's name.
func (r *Runner) Name() string { return r.name }

// Limit returns how many requests this process may have at the runner at once.
func (r *Runner) Limit() float64 { return r.limit }

// Outstanding returns how many requests this process has at the runner.
func (r *Runner) Outstanding() int { return r.outstanding }

// Latency returns the smoothed time of this process's answers.
func (r *Runner) Latency() time.Duration { return r.latency }

// load estimates the runner's work as a share of its slots.
func (r *Runner) load() float64 {
	return float64(max(r.reported+r.sinceReport, r.outstanding)) / float64(max(r.slots, 1))
}

// room reports whether one more request fits the runner's slots and this
// process's limit.
func (r *Runner) room() bool {
	return float64(r.outstanding) < r.limit && r.reported+r.sinceReport < r.slots
}

// ended takes one request off the estimated load: it is either newer than the
// owner's report or counted in it.
func (r *Runner) ended() {
	if r.sinceReport > 0 {
		r.sinceReport--
		return
	}
	r.reported = max(r.reported-1, 0)
}

// Change says that a runner was ejected or has returned.
type Change struct {
	Runner  string
	Ejected bool
	Cause   string
}

// Router chooses among runners. It is not safe for concurrent use.
type Router struct {
	// DataCentre is where this process runs.
	DataCentre string
	// OnChange is told of ejections and returns; it may be nil.
	OnChange func(Change)

	runners map[string]*Runner
	order   []*Runner
	random  *rand.Rand
}

// New returns a router without runners whose ties are broken from the seed.
func New(dataCentre string, seed uint64) *Router {
	return &Router{DataCentre: dataCentre, runners: map[string]*Runner{}, random: rand.New(rand.NewPCG(seed, 7))}
}

// Runner returns what is known of a runner, or nil.
func (r *Router) Runner(name string) *Runner { return r.runners[name] }

// Add makes a runner known, or resets one that has begun a new life. It starts
// with half of its slots so that a herd does not meet a cold runner.
func (r *Router) Add(name, dataCentre string, slots int) {
	n := &Runner{name: name, dataCentre: dataCentre, slots: slots, limit: max(float64(slots)/2, minLimit)}
	r.runners[name] = n
	r.rebuild()
}

// Remove forgets a runner.
func (r *Router) Remove(name string) {
	delete(r.runners, name)
	r.rebuild()
}

func (r *Router) rebuild() {
	r.order = r.order[:0]
	for _, n := range r.runners {
		r.order = append(r.order, n)
	}
	sort.Slice(r.order, func(a, b int) bool { return r.order[a].name < r.order[b].name })
}

// Report takes the owner's word on its load.
func (r *Router) Report(name string, inFlight int, draining bool) {
	n := r.runners[name]
	if n == nil {
		return
	}
	n.reported = inFlight
	n.sinceReport = 0
	n.draining = draining
}

// Pick chooses a runner with room and counts the request as sent to it. It
// returns an empty name when no runner has room. Of two random runners it takes
// the less loaded one, where a near runner counts as less loaded. Source:
// M. Mitzenmacher, The Power of Two Choices, 2001.
func (r *Router) Pick(now time.Duration, avoid map[string]bool) string {
	var open []*Runner
	for _, n := range r.order {
		if n.draining || avoid[n.name] || !n.room() || !r.available(n, now) {
			continue
		}
		open = append(open, n)
	}
	if len(open) == 0 {
		return ""
	}
	a := open[r.random.IntN(len(open))]
	b := open[r.random.IntN(len(open))]
	if r.score(b) < r.score(a) {
		a = b
	}
	a.outstanding++
	a.sinceReport++
	return a.name
}

func (r *Router) score(n *Runner) float64 {
	s := n.load()
	if n.dataCentre != r.DataCentre {
		s += remotePenalty
	}
	return s
}

// available ends an ejection whose time is over: the runner gets one request at
// a time until it has answered one.
func (r *Router) available(n *Runner, now time.Duration) bool {
	if n.ejectedTill == 0 {
		return true
	}
	if now < n.ejectedTill {
		return false
	}
	return n.outstanding == 0
}

// Result is how a request ended, for the router.
type Result uint8

// The results of requests.
const (
	// Answered requests count for the runner.
	Answered Result = iota
	// NoSlot means that the owner refused for want of a slot.
	NoSlot
	// Failed requests count against the runner.
	Failed
	// Neutral ends say nothing about the runner.
	Neutral
)

// Done counts the end of a request.
func (r *Router) Done(name string, result Result, took, now time.Duration) {
	n := r.runners[name]
	if n == nil {
		return
	}
	n.outstanding = max(n.outstanding-1, 0)
	n.ended()
	switch result {
	case Answered:
		r.answered(n, took, now)
	case NoSlot:
		n.limit = max(n.limit*decrease, minLimit)
	case Failed:
		n.failures++
		n.limit = max(n.limit*decrease, minLimit)
		if n.failures >= failuresToEject {
			r.eject(n, now, "failures in a row")
		}
	case Neutral:
	}
}

func (r *Router) answered(n *Runner, took, now time.Duration) {
	n.failures = 0
	n.limit = min(n.limit+1/n.limit, float64(n.slots))
	if n.samples == 0 {
		n.latency = took
	}
	n.samples++
	n.latency += time.Duration(latencyWeight * float64(took-n.latency))
	if n.ejectedTill > now {
		// An answer to what was sent before the ejection.
		return
	}
	if n.ejectedTill > 0 {
		n.ejectedTill = 0
		n.limit = minLimit
		n.samples = 0
		r.tell(Change{Runner: n.name, Cause: "answered again"})
		return
	}
	if n.samples == minSlowSamples {
		n.ejections = 0
	}
	if median := r.medianLatency(); n.samples >= minSlowSamples && median > 0 && float64(n.latency) > slowToEject*float64(median) {
		r.eject(n, now, "slow")
	}
}

func (r *Router) medianLatency() time.Duration {
	var all []time.Duration
	for _, n := range r.order {
		if n.samples >= minSlowSamples {
			all = append(all, n.latency)
		}
	}
	if len(all) < 3 {
		return 0
	}
	sort.Slice(all, func(a, b int) bool { return all[a] < all[b] })
	return all[len(all)/2]
}

// eject keeps a runner out for a time that doubles with every ejection, unless
// too many are out already.
func (r *Router) eject(n *Runner, now time.Duration, cause string) {
	out := 0
	for _, o := range r.order {
		if o.ejectedTill > now {
			out++
		}
	}
	if float64(out+1) > maxEjectedShare*float64(len(r.order)) {
		return
	}
	span := min(ejectFirst<<min(n.ejections, 6), ejectMost)
	// Jitter keeps a herd of entries from trying the runner at one moment.
	n.ejectedTill = now + span + time.Duration(r.random.Int64N(int64(span)/4+1))
	n.ejections++
	n.failures = 0
	n.samples = 0
	r.tell(Change{Runner: n.name, Ejected: true, Cause: cause})
}

func (r *Router) tell(c Change) {
	if r.OnChange != nil {
		r.OnChange(c)
	}
}

// Ejected returns how many runners are out.
func (r *Router) Ejected(now time.Duration) int {
	out := 0
	for _, n := range r.order {
		if n.ejectedTill > now {
			out++
		}
	}
	return out
}

// Capacity returns the slots of all runners that take requests.
func (r *Router) Capacity(now time.Duration) int {
	sum := 0
	for _, n := range r.order {
		if !n.draining && r.available(n, now) {
			sum += n.slots
		}
	}
	return sum
}

// MeanLatency returns the mean of the runners' latencies, or zero.
func (r *Router) MeanLatency() time.Duration {
	sum, count := time.Duration(0), 0
	for _, n := range r.order {
		if n.latency > 0 {
			sum += n.latency
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return sum / time.Duration(count)
}
