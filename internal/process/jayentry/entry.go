// Package jayentry implements the process that callers and operators connect to.
// It admits, queues and places jobs, routes requests (jobs that need no accelerators)
// to runners and returns answers. Any entry serves any caller, and every entry can be
// replaced at any time. This is the role entry; jaycontroller implements cell-entry.
//
// One mutex guards all tables of an entry. No I/O is done while holding it.
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
	tickInterval        = 100 * time.Millisecond
	maxBackgroundTasks  = 256
	maxKeysPerWorkspace = 200_000
	// adoptionTimeouts is the adoption delay as a multiple of the silence timeout.
	adoptionTimeouts = 3
	// shutdownGrace is the time for sending the last responses before the server
	// shuts down.
	shutdownGrace = 200 * time.Millisecond
)

// Entry is one entry process. Exported fields are set before Run.
type Entry struct {
	Settings jaysettings.Entry
	Logger   zerolog.Logger
	// HTTPListener accepts callers and operators, LinkListener agents and other
	// entries. Run closes both.
	HTTPListener net.Listener
	LinkListener net.Listener

	incarnation jayattempt.Incarnation
	ids         *jayattempt.IDGenerator
	recorder    *jaytimeline.Recorder
	metrics     *metrics.Set
	endpoint    *jaylink.Endpoint
	log         *jaylog.Client
	followers   map[string]*jaylog.Follower
	appender    *jaylog.Appender
	app         *fiber.App
	background  *jaywork.Pool
	wake        chan struct{}
	closed      chan struct{}
	now         func() time.Duration
	started     time.Duration

	mutex           sync.Mutex
	agents          map[string]*agentState
	peers           map[jayattempt.Incarnation]*peer
	dialing         map[string]bool
	jobs            map[string]*job
	endedJobs       []*job
	attempts        map[jayattempt.ID]*attempt
	localKeys       map[workspaceKey]string
	pendingClaims   map[string]chan *jaystate.Row
	abandonedClaims map[string]*jayrefusal.Refusal
	scheduler       *jaysched.Scheduler
	queue           *jayqueue.Queue
	router          *jayroute.Router
	retryBudget     *retryBudget
	health          *jaysched.Health
	manifests       *jaystate.Manifests
	jobTable        *jaystate.Jobs
	members         *jaystate.Members
	restorer        *jaystate.Restorer
	snapshots       snapshotState
	unmetGuarantees int
	draining        bool
	// feasibilityChecked is set once the jobs that were queued before the pool was
	// known have been checked.
	feasibilityChecked bool
	plannedPoolVersion uint64
	// nextAdoption is the earliest time of the next search for orphaned jobs.
	nextAdoption time.Duration
	// nextCompaction is the earliest time at which work may be moved again.
	nextCompaction time.Duration

	// TLS is the configuration for callers and links, which also verifies peers; nil
	// disables TLS. It is set before Run.
	TLS *tls.Config

	// ctx lasts until the entry is closed. Calls for a request use it, since the server
	// reuses the request's own context once its handler returns. Run sets it.
	ctx context.Context
	// followEntry keeps a link to the entry at an address. Run sets it.
	followEntry func(address string)
}

// New returns an entry and a function that closes its log client.
func New(settings jaysettings.Entry, httpListener, linkListener net.Listener, logger zerolog.Logger) (*Entry, func()) {
	incarnation := jayattempt.NewIncarnation(time.Now())
	e := &Entry{
		Settings:        settings,
		Logger:          logger.With().Str("process", settings.Name).Logger(),
		HTTPListener:    httpListener,
		LinkListener:    linkListener,
		incarnation:     incarnation,
		ids:             jayattempt.NewIDGenerator(incarnation),
		recorder:        jaytimeline.NewRecorder(settings.Name),
		metrics:         metrics.NewSet(),
		background:      jaywork.NewPool(maxBackgroundTasks),
		wake:            make(chan struct{}, 1),
		closed:          make(chan struct{}),
		now:             jayclock.Elapsed,
		started:         jayclock.Elapsed(),
		agents:          map[string]*agentState{},
		peers:           map[jayattempt.Incarnation]*peer{},
		dialing:         map[string]bool{},
		jobs:            map[string]*job{},
		attempts:        map[jayattempt.ID]*attempt{},
		localKeys:       map[workspaceKey]string{},
		pendingClaims:   map[string]chan *jaystate.Row{},
		abandonedClaims: map[string]*jayrefusal.Refusal{},
		scheduler:       jaysched.New(jaypool.New()),
		queue:           jayqueue.New(),
		router:          jayroute.New(settings.DataCentre, uint64(incarnation)),
		retryBudget:     newRetryBudget(),
		health:          jaysched.NewHealth(),
		manifests:       jaystate.NewManifests(),
		jobTable:        jaystate.NewJobs(settings.KeyRetention, settings.JobRetention, maxKeysPerWorkspace),
		members:         jaystate.NewMembers(),
	}
	e.router.OnChange = e.onRouteChange
	var closeLog func()
	e.log, closeLog = jaylog.NewClient(settings.Log)
	e.buildStreams()
	e.buildEndpoint()
	e.app = e.buildApp()
	e.registerGauges()
	return e, closeLog
}

// Recorder returns the recorder of the process's timeline.
func (e *Entry) Recorder() *jaytimeline.Recorder { return e.recorder }

// Metrics returns the process's metrics.
func (e *Entry) Metrics() *metrics.Set { return e.metrics }

// Incarnation identifies this run of the process.
func (e *Entry) Incarnation() jayattempt.Incarnation { return e.incarnation }

// ManifestVersion returns the version of the manifest in force, or zero.
func (e *Entry) ManifestVersion() uint64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.manifests.Version()
}

// Run serves until ctx ends, then drains: the readiness check fails, new jobs are
// refused, and jobs in flight get the drain timeout to finish.
func (e *Entry) Run(ctx context.Context) error {
	e.recorder.Record(jaytimeline.ProcessStarted, jaytimeline.Fields{Detail: "incarnation " + e.incarnation.String()})
	e.Logger.Info().Str("incarnation", e.incarnation.String()).Msg("entry started")
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	e.ctx = inner
	var wg conc.WaitGroup
	e.mutex.Lock()
	e.followEntry = func(address string) { e.followPeer(inner, &wg, address) }
	e.mutex.Unlock()
	var linkErr, httpErr error
	e.endpoint.TLS = e.TLS
	callers := e.limitCallers()
	wg.Go(func() { linkErr = e.endpoint.Serve(inner, e.LinkListener) })
	wg.Go(func() { httpErr = e.app.Listener(callers) })
	wg.Go(func() { e.background.Run(inner) })
	wg.Go(func() { jaywork.Every(inner, tickInterval, e.tick) })
	wg.Go(func() { e.decideLoop(inner) })
	wg.Go(func() { e.appender.Run(inner) })
	wg.Go(func() { e.announceLoop(inner) })
	for _, f := range e.followers {
		wg.Go(func() { f.Run(inner) })
	}
	for _, a := range e.Settings.Entries {
		e.followEntry(a)
	}
	<-ctx.Done()
	if !jayclock.Killed(ctx) {
		e.drain()
	}
	close(e.closed)
	callers.Drain(shutdownGrace)
	_ = e.app.ShutdownWithTimeout(time.Second)
	// Shutdown has no effect on a server that has not started to serve.
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

// drain waits, up to the drain timeout, for jobs that a caller waits for or that no
// other entry could take over. Other entries adopt the rest.
func (e *Entry) drain() {
	e.mutex.Lock()
	e.draining = true
	e.mutex.Unlock()
	e.recorder.Record(jaytimeline.ProcessDraining, jaytimeline.Fields{})
	e.Logger.Info().Msg("entry is draining")
	deadline := time.Now().Add(e.Settings.DrainTimeout)
	for time.Now().Before(deadline) && e.inFlight() > 0 {
		time.Sleep(tickInterval / 2)
	}
	e.mutex.Lock()
	for _, j := range e.jobs {
		if !j.ended() && j.mustFinish() {
			e.Logger.Warn().Str("job", j.id).Msg("drain timeout exceeded, job aborted")
			e.giveUp(j, jayrefusal.Draining, "the entry shut down")
		}
	}
	e.mutex.Unlock()
	time.Sleep(shutdownGrace)
}

// inFlight returns the number of jobs that drain waits for.
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

// Freeze blocks the whole process for d, as if its machine were paused. It is for
// tests and failure demonstrations.
func (e *Entry) Freeze(d time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	time.Sleep(d)
}

// signalDecide wakes the decision loop.
func (e *Entry) signalDecide() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// tick runs the periodic tasks.
func (e *Entry) tick() {
	e.mutex.Lock()
	now := e.now()
	e.expireJobs(now)
	e.recheckFeasibility(now)
	e.resolveStale(now)
	e.removeLostAgents(now)
	e.adoptOrphans(now)
	e.releaseQuarantined(now)
	e.removeEndedJobs(now)
	e.compactJobs(now)
	waiting := e.scheduler.Waiting()+e.queue.Len() > 0
	snapshot := e.snapshotDue(now)
	e.mutex.Unlock()
	if snapshot {
		e.background.Spawn(e.writeSnapshots)
	}
	if waiting {
		e.signalDecide()
	}
}

// decideLoop dispatches requests and places jobs whenever it is signaled.
func (e *Entry) decideLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		}
		e.mutex.Lock()
		e.dispatch()
		e.placeJobs()
		e.mutex.Unlock()
	}
}

func (e *Entry) counter(name string) *metrics.Counter { return e.metrics.GetOrCreateCounter(name) }

// registerGauges exports the sizes of the tables as metrics.
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
	gauge("jaystile_entry_sides_linked", func() int { return len(e.linkedAgents()) })
	gauge("jaystile_entry_accelerators_free", func() int { return e.scheduler.Pool().Free() })
	gauge("jaystile_entry_accelerators", func() int { return e.scheduler.Pool().Total() })
	gauge("jaystile_entry_guarantees_unmet", func() int { return e.unmetGuarantees })
	gauge("jaystile_entry_manifest_version", func() int { return int(e.manifests.Version()) })
	gauge("jaystile_entry_log_healthy", func() int {
		if e.followers[jaystate.JobsStream].Health() == jaylog.Healthy {
			return 1
		}
		return 0
	})
}
