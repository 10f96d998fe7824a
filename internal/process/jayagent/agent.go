// Package jayagent is the process beside each runner. It grants the accelerators of
// one worker and the slots of one runner, runs members of gangs and, as coordinator,
// decides whether a gang runs.
package jayagent

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/connection/jayplatform"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jayreservation"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/process/jaywork"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

const (
	tickInterval   = 100 * time.Millisecond
	reportInterval = time.Second
	// reportDelay batches changes into one report.
	reportDelay        = 10 * time.Millisecond
	maxBackgroundTasks = 64
	// askTime is how long an agent stays after it has opened a link, on which the entry asks
	// about its open attempts within a tick of 0.1 s; redialTime is how long it stays for an entry
	// that may dial anew after a silence.
	askTime            = time.Second
	redialTime         = time.Second
	maxPeerLinks       = 4096
	maxEndedGangs      = 20_000
	endedGangRetention = 5 * time.Minute
)

// Agent is one agent process. Exported fields are set before Run.
//
// One mutex guards all tables; no goroutine waits for input or output while holding
// it. Only renewing is held during a call, and it is locked before mutex.
type Agent struct {
	Settings jaysettings.Agent
	Logger   zerolog.Logger
	// Listener accepts links from the agents of other gang members; Run closes it.
	Listener net.Listener
	// TLS is the configuration for links in both directions; nil disables TLS.
	TLS *tls.Config

	incarnation jayattempt.Incarnation
	recorder    *jaytimeline.Recorder
	metrics     *metrics.Set
	worker      *jayplatform.Worker
	runner      *jayplatform.Runner
	endpoint    *jaylink.Endpoint
	work        *jaywork.Pool
	wake        chan struct{}
	drained     chan struct{}

	// renewing is held while the leases of tasks are renewed.
	renewing sync.Mutex

	mutex       sync.Mutex
	ledger      *jayreservation.Ledger
	members     map[jayreservation.Key]*member
	gangs       map[jayattempt.ID]*gang
	activeGangs map[jayattempt.ID]*gang
	endedGangs  []*gang
	// highestRemoved is the highest counter of a removed attempt of each origin.
	highestRemoved map[jayattempt.Incarnation]uint64
	entries        map[string]*entryLink
	coordinators   map[string]*coordinatorLink
	manifest       *jaymanifest.Manifest
	reportSequence uint64
	latency        time.Duration
	unhealthy      bool

	now func() time.Duration
	// runLink starts to run a dialed link and calls ended when it has closed. Run sets
	// it.
	runLink func(l *jaylink.Link, ended func())
	// followAddress keeps a link to the entry at an address. Run sets it.
	followAddress func(address string)
}

// entryLink is the link to one entry.
type entryLink struct {
	address       string
	link          *jaylink.Link
	openedAt      time.Duration
	name          string
	incarnation   jayattempt.Incarnation
	homes         map[string]int
	homesManifest uint64
}

// New returns an agent and a function that closes its HTTP clients.
func New(settings jaysettings.Agent, listener net.Listener, logger zerolog.Logger) (*Agent, func()) {
	a := &Agent{
		Settings:       settings,
		Logger:         logger.With().Str("process", settings.Name).Logger(),
		Listener:       listener,
		incarnation:    jayattempt.NewIncarnation(time.Now()),
		recorder:       jaytimeline.NewRecorder(settings.Name),
		metrics:        metrics.NewSet(),
		work:           jaywork.NewPool(maxBackgroundTasks + settings.Slots),
		wake:           make(chan struct{}, 1),
		drained:        make(chan struct{}),
		members:        map[jayreservation.Key]*member{},
		gangs:          map[jayattempt.ID]*gang{},
		activeGangs:    map[jayattempt.ID]*gang{},
		highestRemoved: map[jayattempt.Incarnation]uint64{},
		entries:        map[string]*entryLink{},
		coordinators:   map[string]*coordinatorLink{},
		now:            jayclock.Elapsed,
	}
	a.ledger = jayreservation.New(settings.Accelerators, settings.Slots, uint64(a.incarnation), settings.TombstoneRetention)
	var closeWorker, closeRunner func()
	a.worker, closeWorker = jayplatform.NewWorker(settings.Worker)
	a.runner, closeRunner = jayplatform.NewRunner(settings.Runner, settings.Connections)
	a.endpoint = &jaylink.Endpoint{
		Name:          settings.Name,
		Incarnation:   uint64(a.incarnation),
		SharedKey:     []byte(settings.SharedKey),
		Timing:        jaylink.Timing{HeartbeatInterval: settings.HeartbeatInterval, SilenceTimeout: settings.SilenceTimeout},
		Handler:       a.handle,
		MakeHeartbeat: a.makeHeartbeat,
		Admit:         func(*jayframe.Hello) (*jayframe.HelloReply, error) { return &jayframe.HelloReply{}, nil },
		Opened:        func(*jaylink.Link, *jayframe.Hello) {},
		Closed:        func(*jaylink.Link) {},
		MaxLinks:      maxPeerLinks,
		Metrics:       a.metrics.WritePrometheus,
	}
	a.registerGauges()
	return a, func() {
		closeWorker()
		closeRunner()
	}
}

// registerGauges exports the sizes of the tables as metrics.
func (a *Agent) registerGauges() {
	gauge := func(name string, f func() int) {
		a.metrics.NewGauge(name, func() float64 {
			a.mutex.Lock()
			defer a.mutex.Unlock()
			return float64(f())
		})
	}
	gauge("jaystile_side_holds", func() int { return len(a.ledger.Reservations()) })
	gauge("jaystile_side_slots_free", func() int { return a.ledger.FreeSlots() })
	gauge("jaystile_side_tombstones", func() int { return a.ledger.Tombstones() })
	gauge("jaystile_side_gangs_open", func() int { return len(a.activeGangs) })
	gauge("jaystile_side_gangs_kept", func() int { return len(a.gangs) })
}

// Recorder returns the recorder of the process's timeline.
func (a *Agent) Recorder() *jaytimeline.Recorder { return a.recorder }

// Metrics returns the process's metrics.
func (a *Agent) Metrics() *metrics.Set { return a.metrics }

// Incarnation identifies this run of the process.
func (a *Agent) Incarnation() jayattempt.Incarnation { return a.incarnation }

// InvariantChecks returns how often the ledger's invariants were checked.
func (a *Agent) InvariantChecks() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.ledger.InvariantChecks()
}

// ReservationCount returns how many reservations the ledger holds.
func (a *Agent) ReservationCount() int {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return len(a.ledger.Reservations())
}

// Run serves until ctx ends, then drains: new work is refused, and work in flight gets
// the drain timeout to finish.
func (a *Agent) Run(ctx context.Context) error {
	a.deleteOrphanedTasks()
	a.recorder.Record(jaytimeline.ProcessStarted, jaytimeline.Fields{Worker: a.Settings.Name, Detail: "incarnation " + a.incarnation.String()})
	a.Logger.Info().Str("incarnation", a.incarnation.String()).Msg("agent started")
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.endpoint.TLS = a.TLS
	var wg conc.WaitGroup
	a.mutex.Lock()
	a.runLink = func(l *jaylink.Link, ended func()) {
		wg.Go(func() {
			l.Run(inner)
			ended()
		})
	}
	a.followAddress = func(address string) { a.followEntry(inner, &wg, address) }
	a.mutex.Unlock()
	for _, address := range a.Settings.Entries {
		a.followEntry(inner, &wg, address)
	}
	var serveErr error
	wg.Go(func() { serveErr = a.endpoint.Serve(inner, a.Listener) })
	wg.Go(func() { a.work.Run(inner) })
	wg.Go(func() { jaywork.Every(inner, tickInterval, a.tick) })
	wg.Go(func() { a.reportLoop(inner) })
	wg.Go(func() { a.watchTasks(inner) })
	wg.Go(func() { jaywork.Every(inner, a.Settings.WorkerLease/4, a.renewLeases) })
	<-ctx.Done()
	if !jayclock.Killed(ctx) {
		a.drain()
	}
	cancel()
	wg.Wait()
	a.recorder.Record(jaytimeline.ProcessStopped, jaytimeline.Fields{Worker: a.Settings.Name})
	a.Logger.Info().Msg("agent stopped")
	if serveErr != nil {
		return fmt.Errorf("agent %s: %w", a.Settings.Name, serveErr)
	}
	return nil
}

// drain refuses new work, reports that to the entries and waits for work in flight and until
// the entries have all outcomes.
func (a *Agent) drain() {
	a.SetDraining(true)
	deadline := time.Now().Add(a.Settings.DrainTimeout)
	for time.Now().Before(deadline) {
		a.mutex.Lock()
		idle := len(a.members) == 0 && len(a.activeGangs) == 0
		a.mutex.Unlock()
		if idle {
			a.settleLinks(deadline)
			return
		}
		time.Sleep(tickInterval)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for k, m := range a.members {
		a.Logger.Warn().Str("attempt", k.Attempt.String()).Str("job", m.request.Job).Msg("drain timeout exceeded, work aborted")
	}
}

// settleLinks waits until the entries have handled the notice of the drain, after which they send
// no more requests, and then the refusals of those that they sent before.
func (a *Agent) settleLinks(deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	a.sendReports()
	var wg conc.WaitGroup
	for _, address := range a.entryAddresses() {
		wg.Go(func() {
			if !a.settleEntry(ctx, address) {
				a.Logger.Warn().Str("entry", address).Msg("entry may lack outcomes")
			}
		})
	}
	wg.Wait()
	// The calls of other agents are answered as well.
	time.Sleep(2 * tickInterval)
}

// settleEntry settles the link to an entry, which may break off and open anew meanwhile. It
// reports false if there is none for too long.
func (a *Agent) settleEntry(ctx context.Context, address string) bool {
	unlinkedSince := a.now()
	for ctx.Err() == nil {
		link, openedAt := a.linkTo(address)
		switch now := a.now(); {
		case link == nil && now-unlinkedSince >= a.Settings.SilenceTimeout+redialTime:
			return false
		case link == nil:
		case now-openedAt < askTime:
			unlinkedSince = now
		case settleTwice(ctx, link) == nil:
			return true
		default:
			unlinkedSince = a.now()
		}
		jaywork.Pause(ctx, tickInterval/2)
	}
	return false
}

func settleTwice(ctx context.Context, l *jaylink.Link) error {
	if err := l.Settle(ctx); err != nil {
		return err
	}
	return l.Settle(ctx)
}

// Freeze blocks the whole process for d, as if its machine were paused. It is for
// tests and failure demonstrations.
func (a *Agent) Freeze(d time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	time.Sleep(d)
}

// SetDraining sets whether the agent refuses new work.
func (a *Agent) SetDraining(on bool) {
	a.mutex.Lock()
	changed := a.ledger.Draining() != on
	a.ledger.SetDraining(on)
	a.mutex.Unlock()
	if changed {
		a.recorder.Record(jaytimeline.ProcessDraining, jaytimeline.Fields{Worker: a.Settings.Name, Detail: fmt.Sprintf("draining %v", on)})
		a.Logger.Info().Bool("draining", on).Msg("draining changed")
		a.signalReport()
	}
}

// signalReport makes the report loop send a report soon.
func (a *Agent) signalReport() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// tick expires reservations, leases, idle links and ended gangs.
func (a *Agent) tick() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.now()
	for _, r := range a.ledger.Expire(now) {
		k := r.Request().Key
		a.recorder.Record(jaytimeline.LeaseLapsed, jaytimeline.Fields{Job: r.Request().Job, Attempt: k.Attempt.String(), Worker: a.Settings.Name, Detail: "reservation was not started in time"})
		a.dropMember(k)
	}
	for _, g := range a.activeGangs {
		a.executeActions(g, g.state.Tick(now))
	}
	a.closeIdleCoordinatorLinks(now)
	a.checkMemberLeases(now)
	a.grantPending()
	a.removeEndedGangs(now)
}
