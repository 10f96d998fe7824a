// Package jayagent is the process beside each runner. It owns the accelerators
// of one worker and the slots of one runner, runs members of gangs and decides,
// as anchor, whether a gang runs.
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
	tickEvery   = 100 * time.Millisecond
	reportEvery = time.Second
	// reportDelay lets changes share a report.
	reportDelay   = 10 * time.Millisecond
	taskWorkers   = 64
	maxPeerLinks  = 4096
	endedGangs    = 20_000
	endedGangLife = 5 * time.Minute
)

// Agent is one agent process. Exported fields are set before Run.
//
// One mutex guards all tables; nothing waits for input or output under it.
type Agent struct {
	Settings jaysettings.Agent
	Logger   zerolog.Logger
	// Listener accepts the links of gang members; Run closes it.
	Listener net.Listener
	// TLS serves links and verifies peers; nil for none.
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

	mutex     sync.Mutex
	ledger    *jayreservation.Ledger
	members   map[jayreservation.Key]*member
	gangs     map[jayattempt.ID]*gang
	active    map[jayattempt.ID]*gang
	ended     []*gang
	forgotten map[jayattempt.Incarnation]uint64
	entries   map[string]*entryLink
	anchors   map[string]*anchorLink
	manifest  *jaymanifest.Manifest
	reports   uint64
	latency   time.Duration
	sick      bool

	now func() time.Duration
	// carry moves the frames of a dialed link until it ends; Run sets it.
	carry func(l *jaylink.Link, ended func())
	// follow keeps a link to the entry at an address; Run sets it.
	follow func(address string)
}

// entryLink is the link to one entry.
type entryLink struct {
	address     string
	link        *jaylink.Link
	name        string
	incarnation jayattempt.Incarnation
	homes       map[string]int
	homesOf     uint64
}

// New returns a side process and a function that closes its clients.
func New(settings jaysettings.Agent, listener net.Listener, logger zerolog.Logger) (*Agent, func()) {
	s := &Agent{
		Settings:    settings,
		Logger:      logger.With().Str("process", settings.Name).Logger(),
		Listener:    listener,
		incarnation: jayattempt.NewIncarnation(time.Now()),
		recorder:    jaytimeline.NewRecorder(settings.Name),
		metrics:     metrics.NewSet(),
		work:        jaywork.NewPool(taskWorkers + settings.Slots),
		wake:        make(chan struct{}, 1),
		drained:     make(chan struct{}),
		members:     map[jayreservation.Key]*member{},
		gangs:       map[jayattempt.ID]*gang{},
		active:      map[jayattempt.ID]*gang{},
		forgotten:   map[jayattempt.Incarnation]uint64{},
		entries:     map[string]*entryLink{},
		anchors:     map[string]*anchorLink{},
		now:         jayclock.Elapsed,
	}
	s.ledger = jayreservation.New(settings.Accelerators, settings.Slots, uint64(s.incarnation), settings.TombstoneRetention)
	var closeWorker, closeRunner func()
	s.worker, closeWorker = jayplatform.NewWorker(settings.Worker)
	s.runner, closeRunner = jayplatform.NewRunner(settings.Runner, settings.Connections)
	s.endpoint = &jaylink.Endpoint{
		Name:          settings.Name,
		Incarnation:   uint64(s.incarnation),
		SharedKey:     []byte(settings.SharedKey),
		Timing:        jaylink.Timing{HeartbeatInterval: settings.HeartbeatInterval, SilenceTimeout: settings.SilenceTimeout},
		Handler:       s.handle,
		MakeHeartbeat: s.makeBeat,
		Admit:         func(*jayframe.Hello) (*jayframe.HelloReply, error) { return &jayframe.HelloReply{}, nil },
		Opened:        func(*jaylink.Link, *jayframe.Hello) {},
		Closed:        func(*jaylink.Link) {},
		MaxLinks:      maxPeerLinks,
		Metrics:       s.metrics.WritePrometheus,
	}
	s.registerGauges()
	return s, func() {
		closeWorker()
		closeRunner()
	}
}

// registerGauges makes the sizes of the tables visible.
func (s *Agent) registerGauges() {
	gauge := func(name string, f func() int) {
		s.metrics.NewGauge(name, func() float64 {
			s.mutex.Lock()
			defer s.mutex.Unlock()
			return float64(f())
		})
	}
	gauge("jaystile_side_holds", func() int { return len(s.ledger.Reservations()) })
	gauge("jaystile_side_slots_free", func() int { return s.ledger.FreeSlots() })
	gauge("jaystile_side_tombstones", func() int { return s.ledger.Tombstones() })
	gauge("jaystile_side_gangs_open", func() int { return len(s.active) })
	gauge("jaystile_side_gangs_kept", func() int { return len(s.gangs) })
}

// Recorder returns the process's time line.
func (s *Agent) Recorder() *jaytimeline.Recorder { return s.recorder }

// Metrics returns the process's metrics.
func (s *Agent) Metrics() *metrics.Set { return s.metrics }

// Incarnation returns this life of the process.
func (s *Agent) Incarnation() jayattempt.Incarnation { return s.incarnation }

// InvariantChecks returns how often the ledger's invariants were checked.
func (s *Agent) InvariantChecks() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.ledger.InvariantChecks()
}

// ReservationCount returns how many reservations the ledger holds.
func (s *Agent) ReservationCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.ledger.Reservations())
}

// Run works until ctx ends, then drains: it takes no new work, finishes what is
// in flight within the drain timeout, and returns.
func (s *Agent) Run(ctx context.Context) error {
	s.settleOrphans()
	s.recorder.Record(jaytimeline.ProcessStarted, jaytimeline.Fields{Worker: s.Settings.Name, Detail: "incarnation " + s.incarnation.String()})
	s.Logger.Info().Str("incarnation", s.incarnation.String()).Msg("side started")
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s.endpoint.TLS = s.TLS
	var wg conc.WaitGroup
	s.mutex.Lock()
	s.carry = func(l *jaylink.Link, ended func()) {
		wg.Go(func() {
			l.Run(inner)
			ended()
		})
	}
	s.follow = func(address string) { s.followEntry(inner, &wg, address) }
	s.mutex.Unlock()
	for _, a := range s.Settings.Entries {
		s.followEntry(inner, &wg, a)
	}
	var serveErr error
	wg.Go(func() { serveErr = s.endpoint.Serve(inner, s.Listener) })
	wg.Go(func() { s.work.Run(inner) })
	wg.Go(func() { jaywork.Every(inner, tickEvery, s.tick) })
	wg.Go(func() { s.reportLoop(inner) })
	wg.Go(func() { s.watchTasks(inner) })
	wg.Go(func() { jaywork.Every(inner, s.Settings.WorkerLease/4, s.renew) })
	<-ctx.Done()
	if !jayclock.Killed(ctx) {
		s.drain()
	}
	cancel()
	wg.Wait()
	s.recorder.Record(jaytimeline.ProcessStopped, jaytimeline.Fields{Worker: s.Settings.Name})
	s.Logger.Info().Msg("side stopped")
	if serveErr != nil {
		return fmt.Errorf("side %s: %w", s.Settings.Name, serveErr)
	}
	return nil
}

// drain refuses new work, tells every entry so and waits for work in flight.
func (s *Agent) drain() {
	s.SetDraining(true)
	deadline := time.Now().Add(s.Settings.DrainTimeout)
	for time.Now().Before(deadline) {
		s.mutex.Lock()
		idle := len(s.members) == 0 && len(s.active) == 0
		s.mutex.Unlock()
		if idle {
			// The last outcomes are still in the links' outboxes.
			time.Sleep(2 * tickEvery)
			return
		}
		time.Sleep(tickEvery)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for k, m := range s.members {
		s.Logger.Warn().Str("attempt", k.Attempt.String()).Str("job", m.hold.Job).Msg("work in flight cut by the drain timeout")
	}
}

// Freeze stops the whole process for d, as when its machine is paused. It is for
// tests and demonstrations of failure.
func (s *Agent) Freeze(d time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	time.Sleep(d)
}

// SetDraining makes the side refuse new work, or take it again.
func (s *Agent) SetDraining(on bool) {
	s.mutex.Lock()
	changed := s.ledger.Draining() != on
	s.ledger.SetDraining(on)
	s.mutex.Unlock()
	if changed {
		s.recorder.Record(jaytimeline.ProcessDraining, jaytimeline.Fields{Worker: s.Settings.Name, Detail: fmt.Sprintf("draining %v", on)})
		s.Logger.Info().Bool("draining", on).Msg("draining changed")
		s.poke()
	}
}

// poke makes the report loop send a report soon.
func (s *Agent) poke() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// tick frees what has lapsed.
func (s *Agent) tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.now()
	for _, h := range s.ledger.Expire(now) {
		k := h.Request().Key
		s.recorder.Record(jaytimeline.LeaseLapsed, jaytimeline.Fields{Job: h.Request().Job, Attempt: k.Attempt.String(), Worker: s.Settings.Name, Detail: "hold was not started in time"})
		s.dropMember(k)
	}
	for _, g := range s.active {
		s.carryOut(g, g.book.Tick(now))
	}
	s.closeIdleAnchors(now)
	s.checkMemberLeases(now)
	s.promote()
	s.forgetGangs(now)
}
