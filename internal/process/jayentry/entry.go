// Package jayentry is the process that callers and operators reach. It admits,
// queues and places jobs, routes requests to runners and returns answers. Any
// entry serves any caller, and every entry can be replaced at any time.
//
// One mutex guards all tables of an entry; nothing waits for input or output
// under it.
package jayentry

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gofiber/fiber/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/process/jayqueue"
	"github.com/jaystile/jaystile/internal/process/jayroute"
	"github.com/jaystile/jaystile/internal/process/jaysched"
	"github.com/jaystile/jaystile/internal/process/jaystate"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/process/jaywork"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	tickEvery       = 100 * time.Millisecond
	taskWorkers     = 256
	maxKeys         = 200_000
	adoptAfterBeats = 3
	shutdownGrace   = 200 * time.Millisecond
)

// Entry is one entry process. Exported fields are set before Run.
type Entry struct {
	Settings jaysettings.Entry
	Logger   zerolog.Logger
	// HTTPListener takes callers and operators, LinkListener sides and entries;
	// Run closes both.
	HTTPListener net.Listener
	LinkListener net.Listener

	incarnation jayattempt.Incarnation
	source      *jayattempt.IDGenerator
	recorder    *jaytimeline.Recorder
	metrics     *metrics.Set
	endpoint    *jaylink.Endpoint
	log         *jaylog.Client
	follower    map[string]*jaylog.Follower
	appender    *jaylog.Appender
	app         *fiber.App
	work        *jaywork.Pool
	wake        chan struct{}
	closed      chan struct{}
	now         func() time.Duration
	started     time.Duration

	mutex     sync.Mutex
	sides     map[string]*side
	peers     map[jayattempt.Incarnation]*peer
	dialed    map[string]bool
	jobs      map[string]*job
	endedJobs []*job
	attempts  map[jayattempt.ID]*attempt
	localKeys map[workspaceKey]string
	claims    map[string]chan *jaystate.Row
	abandoned map[string]*jayrefusal.Refusal
	scheduler *jaysched.Scheduler
	queue     *jayqueue.Queue
	router    *jayroute.Router
	budget    *retryBudget
	health    *jaysched.Health
	manifests *jaystate.Manifests
	jobsFold  *jaystate.Jobs
	members   *jaystate.Members
	restorer  *jaystate.Restorer
	snapshots snapshotState
	unmet     int
	draining  bool
	// judged says that the jobs queued before the pool was known were judged.
	judged    bool
	replanned uint64
	// nextAdoption is when orphaned jobs are looked for again.
	nextAdoption time.Duration
	// nextCompact is when work may be moved again.
	nextCompact time.Duration

	// TLS serves callers and links and verifies peers; nil for none. It is set
	// before Run.
	TLS *tls.Config

	// follow keeps a link to the entry at an address; Run sets it.
	follow func(address string)
}

// New returns an entry and a function that closes its clients.
func New(settings jaysettings.Entry, httpListener, linkListener net.Listener, logger zerolog.Logger) (*Entry, func()) {
	incarnation := jayattempt.NewIncarnation(time.Now())
	e := &Entry{
		Settings:     settings,
		Logger:       logger.With().Str("process", settings.Name).Logger(),
		HTTPListener: httpListener,
		LinkListener: linkListener,
		incarnation:  incarnation,
		source:       jayattempt.NewIDGenerator(incarnation),
		recorder:     jaytimeline.NewRecorder(settings.Name),
		metrics:      metrics.NewSet(),
		work:         jaywork.NewPool(taskWorkers),
		wake:         make(chan struct{}, 1),
		closed:       make(chan struct{}),
		now:          jayclock.Elapsed,
		started:      jayclock.Elapsed(),
		sides:        map[string]*side{},
		peers:        map[jayattempt.Incarnation]*peer{},
		dialed:       map[string]bool{},
		jobs:         map[string]*job{},
		attempts:     map[jayattempt.ID]*attempt{},
		localKeys:    map[workspaceKey]string{},
		claims:       map[string]chan *jaystate.Row{},
		abandoned:    map[string]*jayrefusal.Refusal{},
		scheduler:    jaysched.New(jaypool.New()),
		queue:        jayqueue.New(),
		router:       jayroute.New(settings.DataCentre, uint64(incarnation)),
		budget:       newRetryBudget(),
		health:       jaysched.NewHealth(),
		manifests:    jaystate.NewManifests(),
		jobsFold:     jaystate.NewJobs(settings.KeyRetention, settings.JobRetention, maxKeys),
		members:      jaystate.NewMembers(),
	}
	e.router.OnChange = e.routeChanged
	var closeLog func()
	e.log, closeLog = jaylog.NewClient(settings.Log)
	e.buildStreams()
	e.buildEndpoint()
	e.app = e.buildApp()
	e.registerGauges()
	return e, closeLog
}

// Recorder returns the process's time line.
func (e *Entry) Recorder() *jaytimeline.Recorder { return e.recorder }

// Metrics returns the process's metrics.
func (e *Entry) Metrics() *metrics.Set { return e.metrics }

// Incarnation returns this life of the process.
func (e *Entry) Incarnation() jayattempt.Incarnation { return e.incarnation }

// ManifestVersion returns the version that this entry has in force.
func (e *Entry) ManifestVersion() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.manifests.Version()
}

// Run serves until ctx ends, then drains: readiness goes off, nothing new is
// accepted, and what is in flight gets the drain timeout to end.
func (e *Entry) Run(ctx context.Context) error {
	e.recorder.Record(jaytimeline.ProcessStarted, jaytimeline.Fields{Detail: "incarnation " + e.incarnation.String()})
	e.Logger.Info().Str("incarnation", e.incarnation.String()).Msg("entry started")
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	var wg conc.WaitGroup
	e.mutex.Lock()
	e.follow = func(address string) { e.followPeer(inner, &wg, address) }
	e.mutex.Unlock()
	var linkErr, httpErr error
	e.endpoint.TLS = e.TLS
	callers := e.HTTPListener
	if e.TLS != nil {
		callers = tls.NewListener(callers, e.TLS)
	}
	wg.Go(func() { linkErr = e.endpoint.Serve(inner, e.LinkListener) })
	wg.Go(func() { httpErr = e.app.Listener(callers) })
	wg.Go(func() { e.work.Run(inner) })
	wg.Go(func() { jaywork.Every(inner, tickEvery, e.tick) })
	wg.Go(func() { e.decideLoop(inner) })
	wg.Go(func() { e.appender.Run(inner) })
	wg.Go(func() { e.announceLoop(inner) })
	for _, f := range e.follower {
		wg.Go(func() { f.Run(inner) })
	}
	for _, a := range e.Settings.Entries {
		e.follow(a)
	}
	<-ctx.Done()
	if !jayclock.Killed(ctx) {
		e.drain()
	}
	close(e.closed)
	_ = e.app.ShutdownWithTimeout(time.Second)
	// A server that has not begun to serve ignores its shutdown.
	_ = e.HTTPListener.Close()
	cancel()
	wg.Wait()
	e.recorder.Record(jaytimeline.ProcessStopped, jaytimeline.Fields{})
	e.Logger.Info().Msg("entry stopped")
	for _, err := range []error{linkErr, httpErr} {
		if err != nil {
			return fmt.Errorf("entry %s: %w", e.Settings.Name, err)
		}
	}
	return nil
}

// drain waits until every job that a caller waits for has ended. Durable jobs
// that nobody waits for are left to the other entries, which adopt them.
func (e *Entry) drain() {
	e.mutex.Lock()
	e.draining = true
	e.mutex.Unlock()
	e.recorder.Record(jaytimeline.ProcessDraining, jaytimeline.Fields{})
	e.Logger.Info().Msg("entry is draining")
	deadline := time.Now().Add(e.Settings.DrainTimeout)
	for time.Now().Before(deadline) && e.inFlight() > 0 {
		time.Sleep(tickEvery / 2)
	}
	e.mutex.Lock()
	for _, j := range e.jobs {
		if !j.ended() && j.mustFinish() {
			e.Logger.Warn().Str("job", j.id).Msg("job in flight cut by the drain timeout")
			e.giveUp(j, jayrefusal.Draining, "the entry shut down")
		}
	}
	e.mutex.Unlock()
	time.Sleep(shutdownGrace)
}

func (e *Entry) inFlight() int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	n := 0
	for _, j := range e.jobs {
		if !j.ended() && j.mustFinish() {
			n++
		}
	}
	return n
}

// Freeze stops the whole process for d, as when its machine is paused. It is for
// tests and demonstrations of failure.
func (e *Entry) Freeze(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	time.Sleep(d)
}

// kick makes the decision loop run soon.
func (e *Entry) kick() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// tick does what time alone causes.
func (e *Entry) tick() {
	e.mutex.Lock()
	now := e.now()
	e.expireJobs(now)
	e.judgeWaiting(now)
	e.settleStale(now)
	e.dropLostSides(now)
	e.adoptOrphans(now)
	e.releaseProbation(now)
	e.forgetJobs(now)
	e.compact(now)
	waiting := e.scheduler.Waiting()+e.queue.Len() > 0
	snapshot := e.snapshotDue(now)
	e.mutex.Unlock()
	if snapshot {
		e.work.Spawn(e.writeSnapshots)
	}
	if waiting {
		e.kick()
	}
}

// decideLoop runs the decisions whenever something has changed.
func (e *Entry) decideLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		e.mutex.Lock()
		e.dispatch()
		e.place()
		e.mutex.Unlock()
	}
}

func (e *Entry) counter(name string) *metrics.Counter { return e.metrics.GetOrCreateCounter(name) }

// registerGauges makes the sizes of the tables visible.
func (e *Entry) registerGauges() {
	gauge := func(name string, f func() int) {
		e.metrics.NewGauge(name, func() float64 {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			return float64(f())
		})
	}
	gauge("jaystile_entry_jobs_waiting", func() int { return e.scheduler.Waiting() + e.queue.Len() })
	gauge("jaystile_entry_jobs_kept", func() int { return len(e.jobs) })
	gauge("jaystile_entry_attempts_open", func() int { return len(e.attempts) })
	gauge("jaystile_entry_sides_linked", func() int { return len(e.linkedSides()) })
	gauge("jaystile_entry_accelerators_free", func() int { return e.scheduler.Pool().Free() })
	gauge("jaystile_entry_accelerators", func() int { return e.scheduler.Pool().Total() })
	gauge("jaystile_entry_guarantees_unmet", func() int { return e.unmet })
	gauge("jaystile_entry_manifest_version", func() int { return int(e.manifests.Version()) })
	gauge("jaystile_entry_log_healthy", func() int {
		if e.follower[jaystate.JobsStream].Health() == jaylog.Healthy {
			return 1
		}
		return 0
	})
}
