package jaydemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/process/jaystandin"
	"github.com/jaystile/jaystile/pkg/jayclient"
)

// Fault is a kind of failure that a demonstration injects. In its name, a side
// is an agent.
type Fault string

// The kinds of faults.
const (
	FaultKillEntry        Fault = "kill_entry"
	FaultKillAgent        Fault = "kill_side"
	FaultPauseEntry       Fault = "pause_entry"
	FaultPauseAgent       Fault = "pause_side"
	FaultSilentLink       Fault = "silent_link"
	FaultOneWayLink       Fault = "one_way_link"
	FaultSlowLink         Fault = "slow_link"
	FaultLogUnavailable   Fault = "log_out"
	FaultLogSlow          Fault = "log_slow"
	FaultLogLostResponses Fault = "log_loses_answers"
	FaultLogStaleReads    Fault = "log_stale_reads"
	FaultDrainAgent       Fault = "drain_side"
	FaultStopEntry        Fault = "stop_entry"
	FaultCrossAnswers     Fault = "cross_answers"
	FaultBadWorker        Fault = "bad_worker"
	FaultRunnerDown       Fault = "runner_down"
	FaultLoseDataCentre   Fault = "lose_data_centre"
	FaultRacePublish      Fault = "race_publish"
)

// AllFaults lists every kind of fault.
var AllFaults = []Fault{FaultKillEntry, FaultKillAgent, FaultPauseEntry, FaultPauseAgent, FaultSilentLink, FaultOneWayLink, FaultSlowLink, FaultLogUnavailable, FaultLogSlow, FaultLogLostResponses, FaultLogStaleReads, FaultDrainAgent, FaultStopEntry, FaultCrossAnswers, FaultBadWorker, FaultRunnerDown, FaultLoseDataCentre, FaultRacePublish}

// publishTimeout bounds one of several concurrent publications.
const publishTimeout = 3 * time.Second

// Faults says which faults are injected and how often.
type Faults struct {
	kinds    []Fault
	interval time.Duration
}

// UnknownFaultError reports an unknown kind of fault.
type UnknownFaultError struct{ Name string }

// Error implements error.
func (e *UnknownFaultError) Error() string {
	names := make([]string, len(AllFaults))
	for i, f := range AllFaults {
		names[i] = string(f)
	}
	return fmt.Sprintf("fault: given %q, allowed: all or a list of %s", e.Name, strings.Join(names, ","))
}

// ParseFaults parses a comma-separated list of kinds, or "all". Two faults are
// injected at a time. A pair lasts one interval on average, and so does the pause
// before the next.
func ParseFaults(s string, interval time.Duration) (Faults, error) {
	f := Faults{interval: interval}
	if s == "" {
		return f, nil
	}
	if s == "all" {
		f.kinds = AllFaults
		return f, nil
	}
	known := map[Fault]bool{}
	for _, k := range AllFaults {
		known[k] = true
	}
	for _, name := range strings.Split(s, ",") {
		k := Fault(strings.TrimSpace(name))
		if !known[k] {
			return Faults{}, &UnknownFaultError{Name: name}
		}
		f.kinds = append(f.kinds, k)
	}
	sort.Slice(f.kinds, func(a, b int) bool { return f.kinds[a] < f.kinds[b] })
	return f, nil
}

// injector injects faults into a fleet, two at a time.
type injector struct {
	fleet   *Fleet
	faults  Faults
	random  *rand.Rand
	checker *Checker

	mutex     sync.Mutex
	counts    map[string]int
	logFaults jaystandin.LogFaults
}

func newInjector(f *Fleet, faults Faults, seed uint64, c *Checker) *injector {
	return &injector{fleet: f, faults: faults, random: rand.New(rand.NewPCG(seed, 99)), checker: c, counts: map[string]int{}}
}

// run injects pairs of faults until ctx ends or nine tenths of the run's duration
// have passed. Jobs can end in the rest.
func (i *injector) run(ctx context.Context, runDuration time.Duration) {
	if len(i.faults.kinds) == 0 {
		return
	}
	end := time.Now().Add(runDuration * 9 / 10)
	for ctx.Err() == nil && time.Now().Before(end) {
		delay := i.faults.interval/2 + time.Duration(i.random.Int64N(int64(i.faults.interval)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		first := i.faults.kinds[i.random.IntN(len(i.faults.kinds))]
		second := i.faults.kinds[i.random.IntN(len(i.faults.kinds))]
		undoFirst := i.inject(first)
		undoSecond := i.inject(second)
		duration := i.faults.interval/2 + time.Duration(i.random.Int64N(int64(i.faults.interval)))
		select {
		case <-ctx.Done():
		case <-time.After(duration):
		}
		undoFirst()
		undoSecond()
	}
}

// clearFaults ends all faults of the log, workers, runners and relays.
func (i *injector) clearFaults() {
	i.fleet.log.SetFaults(jaystandin.LogFaults{})
	for n := range i.fleet.workers {
		i.fleet.workers[n].SetFaults(jaystandin.WorkerFaults{})
		i.fleet.runners[n].SetFaults(jaystandin.RunnerFaults{})
	}
	for _, r := range i.fleet.relays {
		r.SetFault(jaystandin.RelayFault{})
	}
}

func noop() {}

// inject starts one fault and returns a function that ends it.
func (i *injector) inject(f Fault) func() {
	i.mutex.Lock()
	i.counts[string(f)]++
	i.mutex.Unlock()
	entry := i.random.IntN(i.fleet.Entries)
	agent := i.random.IntN(i.fleet.Agents)
	lease := i.fleet.Timing.Lease
	switch f {
	case FaultKillEntry:
		i.fleet.KillEntry(entry)
		_ = i.fleet.StartEntry(entry)
	case FaultStopEntry:
		i.fleet.StopEntry(entry)
		_ = i.fleet.StartEntry(entry)
	case FaultKillAgent:
		i.fleet.KillAgent(agent)
		_ = i.fleet.StartAgent(agent)
	case FaultPauseEntry:
		i.fleet.Entry(entry).Freeze(lease + lease/2)
	case FaultPauseAgent:
		i.fleet.Agent(agent).Freeze(lease + lease/2)
	case FaultSilentLink:
		i.fleet.relays[entry].SetFaultOnOpen(jaystandin.RelayFault{DropForward: true, DropBack: true})
	case FaultOneWayLink:
		i.fleet.relays[entry].SetFaultOnOpen(jaystandin.RelayFault{DropBack: true})
	case FaultSlowLink:
		i.fleet.relays[entry].SetFault(jaystandin.RelayFault{Delay: 20 * time.Millisecond})
		return func() { i.fleet.relays[entry].SetFault(jaystandin.RelayFault{}) }
	case FaultLogUnavailable, FaultLogSlow, FaultLogLostResponses, FaultLogStaleReads:
		return i.injectLogFault(f)
	case FaultDrainAgent:
		return i.drainAgent(agent)
	case FaultLoseDataCentre:
		return i.loseDataCentre(i.fleet.Deployment.EntryDataCentre(entry))
	case FaultRacePublish:
		i.publishConcurrently()
	case FaultCrossAnswers:
		i.fleet.runners[agent].SetFaults(jaystandin.RunnerFaults{CrossAnswers: true})
		return func() { i.fleet.runners[agent].SetFaults(jaystandin.RunnerFaults{}) }
	case FaultRunnerDown:
		i.fleet.runners[agent].SetFaults(jaystandin.RunnerFaults{Down: true})
		return func() { i.fleet.runners[agent].SetFaults(jaystandin.RunnerFaults{}) }
	case FaultBadWorker:
		i.fleet.workers[agent].SetFaults(jaystandin.WorkerFaults{FailAll: true})
		return func() { i.fleet.workers[agent].SetFaults(jaystandin.WorkerFaults{}) }
	}
	return noop
}

func (i *injector) injectLogFault(f Fault) func() {
	switch f {
	case FaultLogUnavailable:
		i.logFaults.Unavailable = true
	case FaultLogSlow:
		i.logFaults.Delay = 200 * time.Millisecond
	case FaultLogLostResponses:
		i.logFaults.LostResponses = 0.5
	default:
		i.logFaults.StaleReads = 0.5
	}
	i.fleet.log.SetFaults(i.logFaults)
	return func() {
		i.logFaults = jaystandin.LogFaults{}
		i.fleet.log.SetFaults(i.logFaults)
	}
}

// drainGracePeriod is how long after the start of draining a runner may still get
// new work.
const drainGracePeriod = 3 * time.Second

// drainAgent drains an agent. The returned function checks that the runner got no
// new work after the grace period, and ends the draining.
func (i *injector) drainAgent(agent int) func() {
	a := i.fleet.Agent(agent)
	a.SetDraining(true)
	begin := time.Now()
	return func() {
		late := 0
		for _, r := range i.fleet.runners[agent].Runs() {
			if r.Begin.After(begin.Add(drainGracePeriod)) {
				late++
			}
		}
		i.checker.check(invariantDraining, late == 0, "runner %d started %d requests after the grace period of its draining", agent+1, late)
		a.SetDraining(false)
	}
}

// loseDataCentre kills every agent and entry of a data centre. The returned
// function starts them again.
func (i *injector) loseDataCentre(dataCentre string) func() {
	var agents, entries []int
	for n := range i.fleet.Agents {
		if i.fleet.Deployment.WorkerLocation(n).DataCentre == dataCentre {
			agents = append(agents, n)
		}
	}
	for n := range i.fleet.Entries {
		if i.fleet.Deployment.EntryDataCentre(n) == dataCentre {
			entries = append(entries, n)
		}
	}
	for _, n := range agents {
		i.fleet.KillAgent(n)
	}
	for _, n := range entries {
		i.fleet.KillEntry(n)
	}
	return func() {
		for _, n := range entries {
			_ = i.fleet.StartEntry(n)
		}
		for _, n := range agents {
			_ = i.fleet.StartAgent(n)
		}
	}
}

// publishConcurrently publishes a different manifest through each entry, all on
// the same base, and checks that at most one is accepted.
func (i *injector) publishConcurrently() {
	base := i.fleet.NewestManifest()
	var accepted atomic.Int32
	var wg conc.WaitGroup
	for n, address := range i.fleet.Addresses() {
		wg.Go(func() {
			d := i.fleet.Deployment
			d.name = fmt.Sprintf("%s-%d-%d", d.name, base, n)
			source, err := d.Manifest(base)
			if err != nil {
				return
			}
			c, closeClient := jayclient.New(address)
			defer closeClient()
			c.OperatorKey = OperatorKey
			ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
			defer cancel()
			if _, err := c.Publish(ctx, source, false); err == nil {
				accepted.Add(1)
			}
		})
	}
	wg.Wait()
	i.checker.check(invariantManifest, accepted.Load() <= 1, "%d publications on base %d were accepted", accepted.Load(), base)
}
