package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/jaystile/jaystile/internal/connection/jayhttp"
	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
	jayadapter "github.com/jaystile/jaystile/platform"
)

const usageCellEntry = `Runs an entry on the users' platform. Entries accept jobs from callers; one
of them is the leader and decides what runs where. At SIGTERM an entry hands
leadership over, answers the requests in flight and exits.`

// cellSettingsOption is the settings file of a role on the users' platform.
type cellSettingsOption struct {
	Settings string `long:"settings" env:"JAYSTILE_BOOT" required:"yes" description:"settings file"`
}

type cellEntryCommand struct{ cellSettingsOption }

func addCellEntry(p *flags.Parser) {
	addCommand(p, "cell-entry", "run an entry on the users' platform", usageCellEntry, &cellEntryCommand{})
}

const (
	// balancerDrainDelay is the time until the platform's balancer sends no new
	// connections here: two checks a second apart, and their latency.
	balancerDrainDelay = 2300 * time.Millisecond
	// handOverTimeout bounds the wait for the hand-over of leadership.
	handOverTimeout = 1200 * time.Millisecond
	// shutdownMargin is the part of the grace period kept in reserve before SIGKILL.
	shutdownMargin = time.Second
)

// Execute implements flags.Commander.
func (c *cellEntryCommand) Execute([]string) error {
	logger, flush := newCellLogger()
	defer flush()
	source, err := jaysettings.ReadSource(c.Settings)
	if err != nil {
		return err
	}
	s, err := jaysettings.ParseCellEntry(source)
	if err != nil {
		return &exitError{status: exitInvalid, cause: err}
	}
	logger = logger.With().Str("process", s.Name).Logger()
	link, err := net.Listen("tcp", s.Link)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	listeners, err := listenAll(s.Callers, s.Readiness, s.Control, s.Metrics)
	if err != nil {
		return err
	}
	controller := jaycontroller.New(link)
	controller.Name, controller.DataCentre, controller.Address, controller.Incarnation = s.Name, s.DataCentre, cmp.Or(s.LinkAnnounced, s.Link), uint64(time.Now().UnixNano())
	controller.Cores, controller.Admission = s.Cores, s.Admission == jaysettings.AdmissionOn
	controller.Timing = jaycontroller.Timing{Lease: s.Lease(), Retention: s.Retention, StopTimeout: s.StopTimeout, GangTimeout: s.GangTimeout, ReclaimDeadline: s.ReclaimDeadline, RemoteSlowdown: s.RemoteSlowdown, Evacuation: s.EvacuationBound}
	controller.Topics = jaycontroller.Topics{Operator: jayadapter.TopicOperator, Cell: jayadapter.TopicCell, Jobs: jayadapter.TopicJobs, Runs: jayadapter.TopicRuns, RunsStandby: jayadapter.RunsStandbys(), ConfigKey: jayadapter.ConfigKey, EvacuationPrefix: jayadapter.EvacuationPrefix}
	controller.StoreLimits = jaystore.Limits{RecordBytes: s.StoreRecordBytes, CallBytes: s.StoreCallBytes}
	controller.Logger = logger
	controller.CallStore, controller.NewStoreClient, controller.DecodeConfig = jayadapter.DirectTransport(s.Store), jayadapter.StoreClient, jayadapter.DecodeConfig
	if s.Advice != "" {
		controller.Advise = jayadapter.AdviceClient(s.Advice)
	}
	machine := machineOf(s)
	machine.SetMemoryLimit()
	controller.LinkBudget = machine.Budget(linkShare, metrics.GetDefaultSet())
	controller.Prepare()
	logger.Info().Str("event", "start").Str("callers", s.Callers).Str("store", s.Store).Dur("lease", s.Lease()).Msg("entry starts")
	return serveEntry(s, controller, listeners, logger, c.Settings)
}

// serveEntry runs the controller and its servers until SIGTERM, then drains them.
func serveEntry(s jaysettings.Cell, controller *jaycontroller.Controller, listeners []net.Listener, logger zerolog.Logger, file string) error {
	shutdown, stopSignals := signalContext()
	defer stopSignals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callerServer := jayadapter.CallerServer(ctx, controller, controller.Config, func() bool { return shutdown.Err() != nil })
	machine := machineOf(s)
	servers := []*jayadapter.Server{callerServer, jayadapter.ReadinessServer(controller.Ready), jayadapter.SeedServer()}
	var wg jayassert.Group
	for i, share := range []jayhttp.Share{callerShare, readinessShare, seedShare} {
		servers[i].Budget = machine.Budget(share, metrics.GetDefaultSet())
	}
	for i, server := range servers {
		wg.Go(func() { serveUntilClosed(server, listeners[i], logger) })
	}
	wg.Go(func() { serveMetrics(ctx, listeners[len(servers)], machine, logger) })
	wg.Go(func() { watchSettings(ctx, jaysettings.RoleCellEntry, file, logger) })
	failed := make(chan error, 1)
	wg.Go(func() { failed <- controller.Run(ctx) })
	var err error
	select {
	case err = <-failed:
	case <-shutdown.Done():
		drainStart := jayclock.Elapsed()
		controller.Drain(handOverTimeout)
		time.Sleep(max(0, balancerDrainDelay-(jayclock.Elapsed()-drainStart)))
		if e := callerServer.Shutdown(s.GracePeriod - balancerDrainDelay - shutdownMargin); e != nil {
			logger.Warn().Str("event", "stop").Err(e).Msg("requests were still in flight")
		}
	}
	cancel()
	for _, server := range servers[1:] {
		if e := server.Shutdown(shutdownMargin / 4); e != nil {
			logger.Warn().Str("event", "stop").Err(e).Msg("server did not shut down in time")
		}
	}
	logger.Info().Str("event", "stop").Err(err).Msg("entry stops")
	return err
}

func serveUntilClosed(server *jayadapter.Server, l net.Listener, logger zerolog.Logger) {
	server.Logger = jayhttp.RequestLogger(logger)
	if err := server.Serve(l); err != nil {
		logger.Error().Str("event", "serve").Str("address", l.Addr().String()).Err(err).Msg("server failed")
	}
}

// listenAll opens listeners on all addresses, whose connections have small buffers in the kernel.
func listenAll(addresses ...string) ([]net.Listener, error) {
	var all []net.Listener
	for _, a := range addresses {
		l, err := jayhttp.Listen(a)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		all = append(all, l)
	}
	return all, nil
}

// seedLinkAddresses returns the link addresses of the seeds, which are given by
// their control addresses. All machines use the same link port.
func seedLinkAddresses(seeds, link string) []string {
	_, port, err := net.SplitHostPort(link)
	if err != nil {
		return nil
	}
	var all []string
	for _, seed := range strings.Split(seeds, ",") {
		if host, _, err := net.SplitHostPort(strings.TrimSpace(seed)); err == nil {
			all = append(all, net.JoinHostPort(host, port))
		}
	}
	return all
}
