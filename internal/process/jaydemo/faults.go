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

// Fault is one kind of failure that a demonstration injects.
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

// AllFaults lists every kind.
var AllFaults = []Fault{FaultKillEntry, FaultKillAgent, FaultPauseEntry, FaultPauseAgent, FaultSilentLink, FaultOneWayLink, FaultSlowLink, FaultLogUnavailable, FaultLogSlow, FaultLogLostResponses, FaultLogStaleReads, FaultDrainAgent, FaultStopEntry, FaultCrossAnswers, FaultBadWorker, FaultRunnerDown, FaultLoseDataCentre, FaultRacePublish}

// publishTimeout bounds one racing publication.
const publishTimeout = 3 * time.Second

// Faults says which faults are injected and how often.
type Faults struct {
	kinds []Fault
	every time.Duration
}

// UnknownFaultError reports a name that is no kind of fault.
type UnknownFaultError struct{ Name string }

// Error implements error.
func (e *UnknownFaultError) Error() string {
	names := make([]string, len(AllFaults))
	for i, f := range AllFaults {
		names[i] = string(f)
	}
	return fmt.Sprintf("fault: given %q, allowed: all or a list of %s", e.Name, strings.Join(names, ","))
}

// ParseFaults reads a list of kinds separated by commas, or "all". Two of them
// are injected at once, about every interval.
func ParseFaults(s string, every time.Duration) (Faults, error) {
	f := Faults{every: every}
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
	fleet  *Fleet
	faults Faults
	random *rand.Rand
	judge  *Checker

	mutex  sync.Mutex
	counts map[string]int
	log    jaystandin.LogFaults
}

func newInjector(f *Fleet, faults Faults, seed uint64, j *Checker) *injector {
	return &injector{fleet: f, faults: faults, random: rand.New(rand.NewPCG(seed, 99)), judge: j, counts: map[string]int{}}
}

// run injects pairs of faults until ctx or the span ends. It leaves the last
// tenth of the span free, so that jobs end.
func (i *injector) run(ctx context.Context, span time.Duration) {
	if len(i.faults.kinds) == 0 {
		return
	}
	end := time.Now().Add(span * 9 / 10)
	for ctx.Err() == nil && time.Now().Before(end) {
		pause := i.faults.every/2 + time.Duration(i.random.Int64N(int64(i.faults.every)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		first := i.faults.kinds[i.random.IntN(len(i.faults.kinds))]
		second := i.faults.kinds[i.random.IntN(len(i.faults.kinds))]
		undoFirst := i.inject(first)
		undoSecond := i.inject(second)
		hold := i.faults.every/2 + time.Duration(i.random.Int64N(int64(i.faults.every)))
		select {
		case <-ctx.Done():
		case <-time.After(hold):
		}
		undoFirst()
		undoSecond()
	}
}

// heal ends every scripted fault.
func (i *injector) heal() {
	i.fleet.log.SetFaults(jaystandin.LogFaults{})
	for n := range i.fleet.workers {
		i.fleet.workers[n].SetFaults(jaystandin.WorkerFaults{})
		i.fleet.runners[n].SetFaults(jaystandin.RunnerFaults{})
	}
	for _, r := range i.fleet.relays {
		r.SetFault(jaystandin.RelayFault{})
	}
}

func nothing() {}

// inject causes one fault and returns what ends it.
func (i *injector) inject(f Fault) func() {
	i.mutex.Lock()
	i.counts[string(f)]++
	i.mutex.Unlock()
	entry := i.random.IntN(i.fleet.Entries)
	side := i.random.IntN(i.fleet.Agents)
	lease := i.fleet.Timing.Lease
	switch f {
	case FaultKillEntry:
		i.fleet.KillEntry(entry)
		_ = i.fleet.StartEntry(entry)
	case FaultStopEntry:
		i.fleet.StopEntry(entry)
		_ = i.fleet.StartEntry(entry)
	case FaultKillAgent:
		i.fleet.KillAgent(side)
		_ = i.fleet.StartAgent(side)
	case FaultPauseEntry:
		i.fleet.Entry(entry).Freeze(lease + lease/2)
	case FaultPauseAgent:
		i.fleet.Agent(side).Freeze(lease + lease/2)
	case FaultSilentLink:
		i.fleet.relays[entry].SetFaultOnOpen(jaystandin.RelayFault{DropForward: true, DropBack: true})
	case FaultOneWayLink:
		i.fleet.relays[entry].SetFaultOnOpen(jaystandin.RelayFault{DropBack: true})
	case FaultSlowLink:
		i.fleet.relays[entry].SetFault(jaystandin.RelayFault{Delay: 20 * time.Millisecond})
		return func() { i.fleet.relays[entry].SetFault(jaystandin.RelayFault{}) }
	case FaultLogUnavailable, FaultLogSlow, FaultLogLostResponses, FaultLogStaleReads:
		return i.injectLog(f)
	case FaultDrainAgent:
		return i.drainSide(side)
	case FaultLoseDataCentre:
		return i.loseCentre(i.fleet.Deployment.EntryDataCentre(entry))
	case FaultRacePublish:
		i.racePublishers()
	case FaultCrossAnswers:
		i.fleet.runners[side].SetFaults(jaystandin.RunnerFaults{CrossAnswers: true})
		return func() { i.fleet.runners[side].SetFaults(jaystandin.RunnerFaults{}) }
	case FaultRunnerDown:
		i.fleet.runners[side].SetFaults(jaystandin.RunnerFaults{Down: true})
		return func() { i.fleet.runners[side].SetFaults(jaystandin.RunnerFaults{}) }
	case FaultBadWorker:
		i.fleet.workers[side].SetFaults(jaystandin.WorkerFaults{FailAll: true})
		return func() { i.fleet.workers[side].SetFaults(jaystandin.WorkerFaults{}) }
	}
	return nothing
}

func (i *injector) injectLog(f Fault) func() {
	switch f {
	case FaultLogUnavailable:
		i.log.Unavailable = true
	case FaultLogSlow:
		i.log.Delay = 200 * time.Millisecond
	case FaultLogLostResponses:
		i.log.LostResponses = 0.5
	default:
		i.log.StaleReads = 0.5
	}
	i.fleet.log.SetFaults(i.log)
	return func() {
		i.log = jaystandin.LogFaults{}
		i.fleet.log.SetFaults(i.log)
	}
}

// leavingBound is how long after it began to leave a runner may still get new
// work.
const leavingBound = 3 * time.Second

// drainSide makes a side leave, checks that its runner gets no work after the
// bound, and lets it come back.
func (i *injector) drainSide(side int) func() {
	s := i.fleet.Agent(side)
	s.SetDraining(true)
	begin := time.Now()
	return func() {
		late := 0
		for _, r := range i.fleet.runners[side].Runs() {
			if r.Begin.After(begin.Add(leavingBound)) {
				late++
			}
		}
		i.judge.check(promiseLeaving, late == 0, "runner %d began %d requests after it had left", side+1, late)
		s.SetDraining(false)
	}
}

// loseCentre kills every side and entry of a data centre and returns what
// brings them back.
func (i *injector) loseCentre(centre string) func() {
	var sides, entries []int
	for n := range i.fleet.Agents {
		if i.fleet.Deployment.WorkerLocation(n).DataCentre == centre {
			sides = append(sides, n)
		}
	}
	for n := range i.fleet.Entries {
		if i.fleet.Deployment.EntryDataCentre(n) == centre {
			entries = append(entries, n)
		}
	}
	for _, n := range sides {
		i.fleet.KillAgent(n)
	}
	for _, n := range entries {
		i.fleet.KillEntry(n)
	}
	return func() {
		for _, n := range entries {
			_ = i.fleet.StartEntry(n)
		}
		for _, n := range sides {
			_ = i.fleet.StartAgent(n)
		}
	}
}

// racePublishers has every entry publish another manifest on the same base and
// checks that at most one of them is told that it won.
func (i *injector) racePublishers() {
	base := i.fleet.NewestManifest()
	var won atomic.Int32
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
				won.Add(1)
			}
		})
	}
	wg.Wait()
	i.judge.check(promiseManifest, won.Load() <= 1, "%d publishers on base %d were told that they won", won.Load(), base)
}
