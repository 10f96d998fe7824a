package jaydemo

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/process/jayagent"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jayentry"
	"github.com/jaystile/jaystile/internal/process/jaystandin"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

// loopback is an address whose port the operating system chooses.
const loopback = "127.0.0.1:0"

// privateLoopback returns a loopback address that depends on the process id. Neither
// outgoing connections nor other processes use it, so its port is still free when
// an entry or agent restarts.
func privateLoopback() string {
	pid := os.Getpid()
	port := firstPort + portCounter.Add(1)%portCount
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f, port)
}

// Ports are assigned in turn, so that no two entries or agents share one.
const (
	firstPort = 20_000
	portCount = 40_000
)

var portCounter atomic.Int64

// sharedKey authenticates the links between processes in the demonstration.
const sharedKey = "demo-shared-key"

// Timing sets the timeouts of a fleet.
type Timing struct {
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration
	Lease             time.Duration
}

// DefaultTiming returns the defaults of the settings.
func DefaultTiming() Timing {
	e := jaysettings.DefaultEntry()
	return Timing{HeartbeatInterval: e.HeartbeatInterval, SilenceTimeout: e.SilenceTimeout, Lease: e.Lease}
}

// process is a running entry or agent that can be killed or stopped.
type process struct {
	cancel context.CancelCauseFunc
	done   chan struct{}
}

func (p *process) kill() {
	p.cancel(&jayclock.KilledError{})
	<-p.done
}

func (p *process) stop() {
	p.cancel(context.Canceled)
	<-p.done
}

// Fleet runs the processes of a deployment and the simulated platform. The mutex
// guards the tables of processes.
type Fleet struct {
	Deployment Deployment
	Timing     Timing
	Entries    int
	Agents     int
	Logger     zerolog.Logger

	log        *jaystandin.Log
	workers    []*jaystandin.Worker
	runners    []*jaystandin.Runner
	relays     []*jaystandin.Relay
	logAddress string

	mutex            sync.Mutex
	entries          []*jayentry.Entry
	entryProcesses   []*process
	httpAddresses    []string
	linkAddresses    []string
	agents           []*jayagent.Agent
	agentProcesses   []*process
	agentSettings    []jaysettings.Agent
	cleanups         []func()
	group            conc.WaitGroup
	endedAgentChecks uint64
}

// NewFleet returns a fleet that has not started, with one agent per worker.
func NewFleet(d Deployment, entries int, timing Timing, logger zerolog.Logger) *Fleet {
	return &Fleet{Deployment: d, Timing: timing, Entries: entries, Agents: workers, Logger: logger}
}

// Log returns the simulated log service.
func (f *Fleet) Log() *jaystandin.Log { return f.log }

// Workers returns the simulated workers.
func (f *Fleet) Workers() []*jaystandin.Worker { return f.workers }

// Runners returns the simulated runners.
func (f *Fleet) Runners() []*jaystandin.Runner { return f.runners }

// Relays returns the relays in front of the entries' link addresses.
func (f *Fleet) Relays() []*jaystandin.Relay { return f.relays }

// Addresses returns the entries' HTTP addresses.
func (f *Fleet) Addresses() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.httpAddresses...)
}

// serve serves a part of the simulated platform and returns its address.
func (f *Fleet) serve(app *fiber.App) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("listen for the simulated platform: %w", err)
	}
	f.group.Go(func() { _ = app.Listener(l) })
	f.cleanups = append(f.cleanups, func() {
		_ = app.ShutdownWithTimeout(time.Second)
		_ = l.Close()
	})
	return l.Addr().String(), nil
}

// Start starts the simulated platform, then entries and agents. The returned
// function stops everything.
func (f *Fleet) Start(seed uint64) (func(), error) {
	f.log = jaystandin.NewLog(seed)
	var err error
	if f.logAddress, err = f.serve(f.log.App()); err != nil {
		return nil, err
	}
	if err := f.assignEntryAddresses(); err != nil {
		return nil, err
	}
	for i := range f.Agents {
		if err := f.prepareAgent(i); err != nil {
			return nil, err
		}
	}
	for i := range f.Entries {
		if err := f.StartEntry(i); err != nil {
			return nil, err
		}
	}
	for i := range f.Agents {
		if err := f.StartAgent(i); err != nil {
			return nil, err
		}
	}
	return f.stop, nil
}

// assignEntryAddresses assigns the addresses that entries keep across restarts and
// starts a relay for each.
func (f *Fleet) assignEntryAddresses() error {
	f.entries = make([]*jayentry.Entry, f.Entries)
	f.entryProcesses = make([]*process, f.Entries)
	for range f.Entries {
		h, l := privateLoopback(), privateLoopback()
		relay, closeRelay, err := jaystandin.NewRelay(l)
		if err != nil {
			return fmt.Errorf("start relay: %w", err)
		}
		f.cleanups = append(f.cleanups, closeRelay)
		f.relays = append(f.relays, relay)
		f.httpAddresses = append(f.httpAddresses, h)
		f.linkAddresses = append(f.linkAddresses, l)
	}
	return nil
}

// linkSeeds returns the addresses at which agents and entries reach the entries'
// links, through the relays.
func (f *Fleet) linkSeeds() []string {
	seeds := make([]string, len(f.relays))
	for i, r := range f.relays {
		seeds[i] = r.Address()
	}
	return seeds
}

func (f *Fleet) prepareAgent(i int) error {
	w := jaystandin.NewWorker(accelerators)
	r := jaystandin.NewRunner(runnerSlots)
	workerAddress, err := f.serve(w.App())
	if err != nil {
		return err
	}
	runnerAddress, err := f.serve(r.App())
	if err != nil {
		return err
	}
	link := privateLoopback()
	f.workers = append(f.workers, w)
	f.runners = append(f.runners, r)
	location := f.Deployment.WorkerLocation(i)
	s := jaysettings.DefaultAgent()
	s.Name = fmt.Sprintf("side-%02d", i+1)
	s.DataCentre, s.Rack, s.Cell = location.DataCentre, location.Rack, location.Cell
	s.Link = link
	s.Entries = f.linkSeeds()
	s.Worker, s.Runner, s.Service = workerAddress, runnerAddress, f.Deployment.Service()
	s.Accelerators, s.Slots, s.Connections = accelerators, runnerSlots, connections
	s.SharedKey = sharedKey
	s.HeartbeatInterval, s.SilenceTimeout, s.Lease, s.WorkerLease = f.Timing.HeartbeatInterval, f.Timing.SilenceTimeout, f.Timing.Lease, f.Timing.Lease
	f.agentSettings = append(f.agentSettings, s)
	f.agents = append(f.agents, nil)
	f.agentProcesses = append(f.agentProcesses, nil)
	return nil
}

// listen binds an address, with retries while a previous incarnation may still
// have it.
func listen(address string) (net.Listener, error) {
	var err error
	for range 100 {
		var l net.Listener
		if l, err = net.Listen("tcp", address); err == nil {
			return l, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, fmt.Errorf("listen on %s: %w", address, err)
}

// StartEntry starts a new incarnation of an entry by its index.
func (f *Fleet) StartEntry(i int) error {
	s := jaysettings.DefaultEntry()
	s.Name = fmt.Sprintf("entry-%d", i+1)
	s.DataCentre = f.Deployment.EntryDataCentre(i)
	s.HTTP = f.httpAddresses[i]
	s.Link = f.relays[i].Address()
	s.Log = f.logAddress
	s.Entries = f.linkSeeds()
	s.SharedKey = sharedKey
	s.OperatorKey = OperatorKey
	s.HeartbeatInterval, s.SilenceTimeout, s.Lease = f.Timing.HeartbeatInterval, f.Timing.SilenceTimeout, f.Timing.Lease
	h, err := listen(f.httpAddresses[i])
	if err != nil {
		return err
	}
	l, err := listen(f.linkAddresses[i])
	if err != nil {
		return err
	}
	e, cleanup := jayentry.New(s, h, l, f.Logger)
	p := f.launch(e.Run, cleanup)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.entries[i] = e
	f.entryProcesses[i] = p
	return nil
}

// StartAgent starts a new incarnation of an agent by its index.
func (f *Fleet) StartAgent(i int) error {
	l, err := listen(f.agentSettings[i].Link)
	if err != nil {
		return err
	}
	a, cleanup := jayagent.New(f.agentSettings[i], l, f.Logger)
	p := f.launch(a.Run, cleanup)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.agents[i] = a
	f.agentProcesses[i] = p
	return nil
}

func (f *Fleet) launch(run func(context.Context) error, cleanup func()) *process {
	ctx, cancel := context.WithCancelCause(context.Background())
	p := &process{cancel: cancel, done: make(chan struct{})}
	f.group.Go(func() {
		defer close(p.done)
		defer cleanup()
		if err := run(ctx); err != nil && ctx.Err() == nil {
			f.Logger.Error().Err(err).Msg("process ended with an error")
		}
	})
	return p
}

// Entry returns the current incarnation of an entry.
func (f *Fleet) Entry(i int) *jayentry.Entry {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.entries[i]
}

// NewestManifest returns the highest manifest version that an entry has in force.
func (f *Fleet) NewestManifest() uint64 {
	newest := uint64(0)
	for n := range f.Entries {
		newest = max(newest, f.Entry(n).ManifestVersion())
	}
	return newest
}

// Agent returns the current incarnation of an agent.
func (f *Fleet) Agent(i int) *jayagent.Agent {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.agents[i]
}

func (f *Fleet) entryProcess(i int) *process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.entryProcesses[i]
}

func (f *Fleet) agentProcess(i int) *process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.agentProcesses[i]
}

// KillEntry ends an entry without a graceful shutdown.
func (f *Fleet) KillEntry(i int) { f.entryProcess(i).kill() }

// StopEntry shuts an entry down gracefully.
func (f *Fleet) StopEntry(i int) { f.entryProcess(i).stop() }

// KillAgent ends an agent without a graceful shutdown.
func (f *Fleet) KillAgent(i int) {
	f.saveChecks(i)
	f.agentProcess(i).kill()
}

// StopAgent shuts an agent down gracefully.
func (f *Fleet) StopAgent(i int) {
	f.saveChecks(i)
	f.agentProcess(i).stop()
}

// saveChecks adds the count of an agent that is about to end to the total.
func (f *Fleet) saveChecks(i int) {
	n := f.Agent(i).InvariantChecks()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.endedAgentChecks += n
}

// InvariantChecks returns how often the agents checked their own invariants.
func (f *Fleet) InvariantChecks() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := f.endedAgentChecks
	for _, a := range f.agents {
		n += a.InvariantChecks()
	}
	return n
}

func (f *Fleet) stop() {
	var wg conc.WaitGroup
	for i := range f.Entries {
		wg.Go(func() { f.StopEntry(i) })
	}
	wg.Wait()
	for i := range f.Agents {
		wg.Go(func() { f.agentProcess(i).stop() })
	}
	wg.Wait()
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
	f.group.Wait()
}
