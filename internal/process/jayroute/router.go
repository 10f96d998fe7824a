// Package jayroute chooses the runner of a request. It estimates each runner's
// load from the latest report of its agent and the requests sent since. It has no
// clock and does no I/O.
package jayroute

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Parameters of runner limits, selection and ejection.
const (
	// limitDecrease is the factor applied to a runner's limit after a refusal or
	// failure. A full window of successes raises the limit by one (AIMD).
	limitDecrease = 0.7
	minLimit      = 1.0
	// maxConsecutiveFailures is the number of consecutive failures that ejects a
	// runner.
	maxConsecutiveFailures = 3
	// slowLatencyFactor is the multiple of the median latency that ejects a runner.
	slowLatencyFactor = 5.0
	// minSlowSamples is the number of answers after which a runner's latency counts.
	minSlowSamples = 20
	// maxEjectedShare bounds the share of runners that are ejected at once.
	maxEjectedShare = 0.34
	minEjection     = 500 * time.Millisecond
	maxEjection     = 30 * time.Second
	// latencySmoothing is the weight of the newest latency in the moving average.
	latencySmoothing = 0.1
	// remotePenalty is added to the load of runners in another data centre, as a
	// share of their slots.
	remotePenalty = 0.25
)

// Runner is the router's state of one runner.
type Runner struct {
	name                string
	dataCentre          string
	slots               int
	limit               float64
	outstanding         int
	reportedLoad        int
	sentSinceReport     int
	latency             time.Duration
	samples             int
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Duration
	draining            bool
}

// Name returns the runner's name.
func (r *Runner) Name() string { return r.name }

// Limit returns how many requests this process may have at the runner at once.
func (r *Runner) Limit() float64 { return r.limit }

// Outstanding returns how many requests this process has at the runner.
func (r *Runner) Outstanding() int { return r.outstanding }

// Latency returns the smoothed latency of this process's requests.
func (r *Runner) Latency() time.Duration { return r.latency }

// load estimates the share of the runner's slots in use.
func (r *Runner) load() float64 {
	return float64(max(r.reportedLoad+r.sentSinceReport, r.outstanding)) / float64(max(r.slots, 1))
}

// hasCapacity reports whether one more request fits the runner's slots and this
// process's limit.
func (r *Runner) hasCapacity() bool {
	return float64(r.outstanding) < r.limit && r.reportedLoad+r.sentSinceReport < r.slots
}

// requestEnded subtracts one request from the estimated load. It was either sent
// after the agent's report or is counted in it.
func (r *Runner) requestEnded() {
	if r.sentSinceReport > 0 {
		r.sentSinceReport--
		return
	}
	r.reportedLoad = max(r.reportedLoad-1, 0)
}

// Change reports that a runner was ejected or has returned.
type Change struct {
	Runner  string
	Ejected bool
	Cause   string
}

// Router chooses among runners. It is not safe for concurrent use.
type Router struct {
	// DataCentre is where this process runs.
	DataCentre string
	// OnChange is called for ejections and returns; it may be nil.
	OnChange func(Change)

	runners map[string]*Runner
	sorted  []*Runner
	random  *rand.Rand
}

// New returns a router without runners. The seed drives its random choices.
func New(dataCentre string, seed uint64) *Router {
	return &Router{DataCentre: dataCentre, runners: map[string]*Runner{}, random: rand.New(rand.NewPCG(seed, 7))}
}

// Runner returns the state of a runner, or nil.
func (r *Router) Runner(name string) *Runner { return r.runners[name] }

// Add adds a runner, or resets one that has restarted. Its limit starts at half of
// its slots, so that many entries do not overload a cold runner.
func (r *Router) Add(name, dataCentre string, slots int) {
	n := &Runner{name: name, dataCentre: dataCentre, slots: slots, limit: max(float64(slots)/2, minLimit)}
	r.runners[name] = n
	r.sortRunners()
}

// Remove removes a runner.
func (r *Router) Remove(name string) {
	delete(r.runners, name)
	r.sortRunners()
}

func (r *Router) sortRunners() {
	r.sorted = r.sorted[:0]
	for _, n := range r.runners {
		r.sorted = append(r.sorted, n)
	}
	sort.Slice(r.sorted, func(a, b int) bool { return r.sorted[a].name < r.sorted[b].name })
}

// Report applies an agent's report of its runner's load.
func (r *Router) Report(name string, inFlight int, draining bool) {
	n := r.runners[name]
	if n == nil {
		return
	}
	n.reportedLoad = inFlight
	n.sentSinceReport = 0
	n.draining = draining
}

// Pick chooses a runner with capacity and counts the request as sent to it. It
// returns an empty name when there is none. Of two random candidates it takes the
// one with the lower load, to which runners in other data centres add
// remotePenalty. Source: M. Mitzenmacher, The Power of Two Choices, 2001.
func (r *Router) Pick(now time.Duration, avoid map[string]bool) string {
	var candidates []*Runner
	for _, n := range r.sorted {
		if n.draining || avoid[n.name] || !n.hasCapacity() || !r.available(n, now) {
			continue
		}
		candidates = append(candidates, n)
	}
	if len(candidates) == 0 {
		return ""
	}
	a := candidates[r.random.IntN(len(candidates))]
	b := candidates[r.random.IntN(len(candidates))]
	if r.score(b) < r.score(a) {
		a = b
	}
	a.outstanding++
	a.sentSinceReport++
	return a.name
}

func (r *Router) score(n *Runner) float64 {
	s := n.load()
	if n.dataCentre != r.DataCentre {
		s += remotePenalty
	}
	return s
}

// available reports whether a runner is not ejected. After the ejection time it
// gets one request at a time until it has answered one.
func (r *Router) available(n *Runner, now time.Duration) bool {
	if n.ejectedUntil == 0 {
		return true
	}
	if now < n.ejectedUntil {
		return false
	}
	return n.outstanding == 0
}

// Result is what a request's end says about its runner.
type Result uint8

// The results of requests.
const (
	// Answered is a success of the runner.
	Answered Result = iota
	// NoSlot means that the agent refused because no slot was free.
	NoSlot
	// Failed is a failure of the runner.
	Failed
	// Neutral says nothing about the runner.
	Neutral
)

// Finish records the result of a request and its latency.
func (r *Router) Finish(name string, result Result, latency, now time.Duration) {
	n := r.runners[name]
	if n == nil {
		return
	}
	n.outstanding = max(n.outstanding-1, 0)
	n.requestEnded()
	switch result {
	case Answered:
		r.onAnswered(n, latency, now)
	case NoSlot:
		n.limit = max(n.limit*limitDecrease, minLimit)
	case Failed:
		n.consecutiveFailures++
		n.limit = max(n.limit*limitDecrease, minLimit)
		if n.consecutiveFailures >= maxConsecutiveFailures {
			r.eject(n, now, "failures in a row")
		}
	case Neutral:
	}
}

func (r *Router) onAnswered(n *Runner, latency, now time.Duration) {
	n.consecutiveFailures = 0
	n.limit = min(n.limit+1/n.limit, float64(n.slots))
	if n.samples == 0 {
		n.latency = latency
	}
	n.samples++
	n.latency += time.Duration(latencySmoothing * float64(latency-n.latency))
	if n.ejectedUntil > now {
		// The request was sent before the ejection.
		return
	}
	if n.ejectedUntil > 0 {
		n.ejectedUntil = 0
		n.limit = minLimit
		n.samples = 0
		r.notify(Change{Runner: n.name, Cause: "answered again"})
		return
	}
	if n.samples == minSlowSamples {
		n.ejections = 0
	}
	if median := r.medianLatency(); n.samples >= minSlowSamples && median > 0 && float64(n.latency) > slowLatencyFactor*float64(median) {
		r.eject(n, now, "slow")
	}
}

func (r *Router) medianLatency() time.Duration {
	var all []time.Duration
	for _, n := range r.sorted {
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

// eject excludes a runner for a time that doubles with every ejection, unless too
// many runners are ejected.
func (r *Router) eject(n *Runner, now time.Duration, cause string) {
	ejected := 0
	for _, o := range r.sorted {
		if o.ejectedUntil > now {
			ejected++
		}
	}
	if float64(ejected+1) > maxEjectedShare*float64(len(r.sorted)) {
		return
	}
	duration := min(minEjection<<min(n.ejections, 6), maxEjection)
	// Jitter keeps the entries from retrying the runner at the same time.
	n.ejectedUntil = now + duration + time.Duration(r.random.Int64N(int64(duration)/4+1))
	n.ejections++
	n.consecutiveFailures = 0
	n.samples = 0
	r.notify(Change{Runner: n.name, Ejected: true, Cause: cause})
}

func (r *Router) notify(c Change) {
	if r.OnChange != nil {
		r.OnChange(c)
	}
}

// EjectedCount returns the number of ejected runners.
func (r *Router) EjectedCount(now time.Duration) int {
	count := 0
	for _, n := range r.sorted {
		if n.ejectedUntil > now {
			count++
		}
	}
	return count
}

// Capacity returns the total slots of the runners that accept requests.
func (r *Router) Capacity(now time.Duration) int {
	sum := 0
	for _, n := range r.sorted {
		if !n.draining && r.available(n, now) {
			sum += n.slots
		}
	}
	return sum
}

// MeanLatency returns the mean of the runners' latencies, or zero.
func (r *Router) MeanLatency() time.Duration {
	sum, count := time.Duration(0), 0
	for _, n := range r.sorted {
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
