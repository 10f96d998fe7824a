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

// loopback is an address whose port the system chooses.
const loopback = "127.0.0.1:0"

// ownLoopback is a loopback address of this process alone: its ports are free
// for a second life, since no outgoing connection and no other process takes
// them.
func ownLoopback() string {
	pid := os.Getpid()
	port := firstPort + lastPort.Add(1)%ports
	return fmt.Sprintf("127.%d.%d.%d:%d", 1+pid>>14&0x7f, pid>>7&0x7f, 1+pid&0x7f, port)
}

// Ports are given out one after the other, so that no two processes get one.
const (
	firstPort = 20_000
	ports     = 40_000
)

var lastPort atomic.Int64

// sharedKey is the demonstration's secret of links between processes.
const sharedKey = "demo-shared-key"

// Timing scales the timeouts of a fleet.
type Timing struct {
	HeartbeatInterval time.Duration
	SilenceTimeout    time.Duration
	Lease             time.Duration
}

// DefaultTiming returns the timeouts of the settings' defaults.
func DefaultTiming() Timing {
	e := jaysettings.DefaultEntry()
	return Timing{HeartbeatInterval: e.HeartbeatInterval, SilenceTimeout: e.SilenceTimeout, Lease: e.Lease}
}

// process is one entry or side that can be killed and started again.
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

// Fleet is a deployment that runs in this process. The tables of processes are
// guarded by one mutex.
type Fleet struct {
	Deployment Deployment
	Timing     Timing
	Entries    int
	Agents     int
	Logger     zerolog.Logger

	log     *jaystandin.Log
	workers []*jaystandin.Worker
	runners []*jaystandin.Runner
	relays  []*jaystandin.Relay
	logAddr string

	mutex     sync.Mutex
	entries   []*jayentry.Entry
	entryRun  []*process
	httpAddr  []string
	linkAddr  []string
	agents    []*jayagent.Agent
	sideRun   []*process
	sideSet   []jaysettings.Agent
	cleanups  []func()
	group     conc.WaitGroup
	evaluated uint64
}

// NewFleet returns a fleet of the deployment's size that has not started.
func NewFleet(d Deployment, entries int, timing Timing, logger zerolog.Logger) *Fleet {
	return &Fleet{Deployment: d, Timing: timing, Entries: entries, Agents: workers, Logger: logger}
}

// Log returns the log's stand-in.
func (f *Fleet) Log() *jaystandin.Log { return f.log }

// Workers returns the workers' stand-ins.
func (f *Fleet) Workers() []*jaystandin.Worker { return f.workers }

// Runners returns the runners' stand-ins.
func (f *Fleet) Runners() []*jaystandin.Runner { return f.runners }

// Relays returns the relays in front of the entries' links.
func (f *Fleet) Relays() []*jaystandin.Relay { return f.relays }

// Addresses returns the entries' public addresses.
func (f *Fleet) Addresses() []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]string(nil), f.httpAddr...)
}

// serve runs a stand-in on a port that the system chooses.
func (f *Fleet) serve(app *fiber.App) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", fmt.Errorf("stand-in: %w", err)
	}
	f.group.Go(func() { _ = app.Listener(l) })
	f.cleanups = append(f.cleanups, func() {
		_ = app.ShutdownWithTimeout(time.Second)
		_ = l.Close()
	})
	return l.Addr().String(), nil
}

// Start starts the stand-ins, then entries and sides. The returned function
// stops everything.
func (f *Fleet) Start(seed uint64) (func(), error) {
	f.log = jaystandin.NewLog(seed)
	var err error
	if f.logAddr, err = f.serve(f.log.App()); err != nil {
		return nil, err
	}
	if err := f.prepareEntries(); err != nil {
		return nil, err
	}
	for i := range f.Agents {
		if err := f.prepareSide(i); err != nil {
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

// prepareEntries fixes the addresses that entries keep over their lives.
func (f *Fleet) prepareEntries() error {
	f.entries = make([]*jayentry.Entry, f.Entries)
	f.entryRun = make([]*process, f.Entries)
	for range f.Entries {
		h, l := ownLoopback(), ownLoopback()
		relay, closeRelay, err := jaystandin.NewRelay(l)
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		f.cleanups = append(f.cleanups, closeRelay)
		f.relays = append(f.relays, relay)
		f.httpAddr = append(f.httpAddr, h)
		f.linkAddr = append(f.linkAddr, l)
	}
	return nil
}

// linkSeeds returns where sides and entries reach the entries' links.
func (f *Fleet) linkSeeds() []string {
	seeds := make([]string, len(f.relays))
	for i, r := range f.relays {
		seeds[i] = r.Address()
	}
	return seeds
}

func (f *Fleet) prepareSide(i int) error {
	w := jaystandin.NewWorker(accelerators)
	r := jaystandin.NewRunner(runnerSlots)
	workerAddr, err := f.serve(w.App())
	if err != nil {
		return err
	}
	runnerAddr, err := f.serve(r.App())
	if err != nil {
		return err
	}
	link := ownLoopback()
	f.workers = append(f.workers, w)
	f.runners = append(f.runners, r)
	site := f.Deployment.WorkerLocation(i)
	s := jaysettings.DefaultAgent()
	s.Name = fmt.Sprintf("side-%02d", i+1)
	s.DataCentre, s.Rack, s.Cell = site.DataCentre, site.Rack, site.Cell
	s.Link = link
	s.Entries = f.linkSeeds()
	s.Worker, s.Runner, s.Service = workerAddr, runnerAddr, f.Deployment.Service()
	s.Accelerators, s.Slots, s.Connections = accelerators, runnerSlots, connections
	s.SharedKey = sharedKey
	s.HeartbeatInterval, s.SilenceTimeout, s.Lease, s.WorkerLease = f.Timing.HeartbeatInterval, f.Timing.SilenceTimeout, f.Timing.Lease, f.Timing.Lease
	f.sideSet = append(f.sideSet, s)
	f.agents = append(f.agents, nil)
	f.sideRun = append(f.sideRun, nil)
	return nil
}

// listen binds an address that an earlier life may just have left.
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

// StartEntry begins a new life of the entry of the index.
func (f *Fleet) StartEntry(i int) error {
	s := jaysettings.DefaultEntry()
	s.Name = fmt.Sprintf("entry-%d", i+1)
	s.DataCentre = f.Deployment.EntryDataCentre(i)
	s.HTTP = f.httpAddr[i]
	s.Link = f.relays[i].Address()
	s.Log = f.logAddr
	s.Entries = f.linkSeeds()
	s.SharedKey = sharedKey
	s.OperatorKey = OperatorKey
	s.HeartbeatInterval, s.SilenceTimeout, s.Lease = f.Timing.HeartbeatInterval, f.Timing.SilenceTimeout, f.Timing.Lease
	h, err := listen(f.httpAddr[i])
	if err != nil {
		return err
	}
	l, err := listen(f.linkAddr[i])
	if err != nil {
		return err
	}
	e, clean := jayentry.New(s, h, l, f.Logger)
	p := f.launch(e.Run, clean)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.entries[i] = e
	f.entryRun[i] = p
	return nil
}

// StartSide begins a new life of the side of the index.
func (f *Fleet) StartAgent(i int) error {
	l, err := listen(f.sideSet[i].Link)
	if err != nil {
		return err
	}
	s, clean := jayagent.New(f.sideSet[i], l, f.Logger)
	p := f.launch(s.Run, clean)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.agents[i] = s
	f.sideRun[i] = p
	return nil
}

func (f *Fleet) launch(run func(context.Context) error, clean func()) *process {
	ctx, cancel := context.WithCancelCause(context.Background())
	p := &process{cancel: cancel, done: make(chan struct{})}
	f.group.Go(func() {
		defer close(p.done)
		defer clean()
		if err := run(ctx); err != nil && ctx.Err() == nil {
			f.Logger.Error().Err(err).Msg("process ended")
		}
	})
	return p
}

// Entry returns the current life of an entry.
func (f *Fleet) Entry(i int) *jayentry.Entry {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.entries[i]
}

// NewestManifest returns the highest version that an entry has in force.
func (f *Fleet) NewestManifest() uint64 {
	newest := uint64(0)
	for n := range f.Entries {
		newest = max(newest, f.Entry(n).ManifestVersion())
	}
	return newest
}

// Side returns the current life of a side.
func (f *Fleet) Agent(i int) *jayagent.Agent {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.agents[i]
}

func (f *Fleet) entryProcess(i int) *process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.entryRun[i]
}

func (f *Fleet) sideProcess(i int) *process {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.sideRun[i]
}

// KillEntry ends an entry without any shutdown.
func (f *Fleet) KillEntry(i int) { f.entryProcess(i).kill() }

// StopEntry shuts an entry down gracefully.
func (f *Fleet) StopEntry(i int) { f.entryProcess(i).stop() }

// KillSide ends a side without any shutdown.
func (f *Fleet) KillAgent(i int) {
	f.count(i)
	f.sideProcess(i).kill()
}

// StopSide shuts a side down gracefully.
func (f *Fleet) StopAgent(i int) {
	f.count(i)
	f.sideProcess(i).stop()
}

func (f *Fleet) count(i int) {
	n := f.Agent(i).InvariantChecks()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.evaluated += n
}

// Evaluations returns how often owners evaluated their invariants.
func (f *Fleet) Evaluations() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n := f.evaluated
	for _, s := range f.agents {
		n += s.InvariantChecks()
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
		wg.Go(func() { f.sideProcess(i).stop() })
	}
	wg.Wait()
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
	f.group.Wait()
}
