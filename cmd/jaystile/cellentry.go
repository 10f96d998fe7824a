package main

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
	jayadapter "github.com/jaystile/jaystile/platform"
)

const usageCellEntry = `Runs an entry on the users' platform: it takes jobs from callers, and one
entry at a time holds the term and decides what runs where. At SIGTERM it hands
the term over, answers what is in flight and ends.`

// bootOption is the settings file of a role on the users' platform.
type bootOption struct {
	Settings string `long:"settings" env:"JAYSTILE_BOOT" required:"yes" description:"settings file"`
}

type cellEntryCommand struct{ bootOption }

func addCellEntry(p *flags.Parser) {
	add(p, "cell-entry", "run an entry on the users' platform", usageCellEntry, &cellEntryCommand{})
}

const (
	// balancerNotice is how long the platform's balancer takes to send no new
	// connections here: two checks a second apart, and their way.
	balancerNotice = 2300 * time.Millisecond
	// handOver bounds how long the term's hand-over is waited for.
	handOver = 1200 * time.Millisecond
	// graceMargin is left of the time before SIGKILL.
	graceMargin = time.Second
)

// Execute implements flags.Commander.
func (c *cellEntryCommand) Execute([]string) error {
	logger, flush := cellLogger()
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
	listeners, err := listen(s.Link, s.Callers, s.Readiness, s.Control, s.Metrics)
	if err != nil {
		return err
	}
	h := jaycontroller.New(listeners[0])
	h.Name, h.DataCentre, h.Address, h.Incarnation = s.Name, s.DataCentre, cmp.Or(s.LinkAnnounced, s.Link), uint64(time.Now().UnixNano())
	h.Cores = s.Cores
	h.Timing = jaycontroller.Timing{Lease: s.Lease(), Retention: s.Retention, StopTimeout: s.StopTimeout, GangTimeout: s.GangTimeout, ReclaimDeadline: s.ReclaimDeadline, RemoteSlowdown: s.RemoteSlowdown}
	h.Topics = jaycontroller.Topics{Operator: jayadapter.TopicOperator, Cell: jayadapter.TopicCell, Jobs: jayadapter.TopicJobs, Runs: jayadapter.TopicRuns, ConfigKey: jayadapter.ConfigKey}
	h.Logger = logger
	h.CallStore, h.NewStoreClient, h.DecodeConfig = jayadapter.DirectTransport(s.Store), jayadapter.StoreClient, jayadapter.DecodeConfig
	if s.Advice != "" {
		h.Advise = jayadapter.AdviceClient(s.Advice)
	}
	h.Prepare()
	logger.Info().Str("event", "start").Str("callers", s.Callers).Str("store", s.Store).Dur("lease", s.Lease()).Msg("entry starts")
	return serveEntry(s, h, listeners[1:], logger, c.Settings)
}

// serveEntry runs the hub and its servers until SIGTERM, then drains them.
func serveEntry(s jaysettings.Cell, h *jaycontroller.Controller, listeners []net.Listener, logger zerolog.Logger, file string) error {
	term, stopSignals := interruptible()
	defer stopSignals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	front := jayadapter.CallerServer(h, h.Config, func() bool { return term.Err() != nil })
	servers := []*jayadapter.Server{front, jayadapter.ReadinessServer(h.Ready), jayadapter.SeedServer()}
	var wg conc.WaitGroup
	for i, server := range servers {
		wg.Go(func() { serveUntilClosed(server, listeners[i], logger) })
	}
	wg.Go(func() { serveMetrics(ctx, listeners[len(servers)], logger) })
	wg.Go(func() { watchSettings(ctx, jaysettings.RoleCellEntry, file, logger) })
	failed := make(chan error, 1)
	wg.Go(func() { failed <- h.Run(ctx) })
	var err error
	select {
	case err = <-failed:
	case <-term.Done():
		begun := jayclock.Elapsed()
		h.Drain(handOver)
		time.Sleep(max(0, balancerNotice-(jayclock.Elapsed()-begun)))
		if e := front.Shutdown(s.GracePeriod - balancerNotice - graceMargin); e != nil {
			logger.Warn().Str("event", "stop").Err(e).Msg("requests were still in flight")
		}
	}
	cancel()
	for _, server := range servers[1:] {
		if e := server.Shutdown(graceMargin / 4); e != nil {
			logger.Warn().Str("event", "stop").Err(e).Msg("a server did not end in time")
		}
	}
	logger.Info().Str("event", "stop").Err(err).Msg("entry stops")
	return err
}

func serveUntilClosed(server *jayadapter.Server, l net.Listener, logger zerolog.Logger) {
	if err := server.Serve(l); err != nil {
		logger.Error().Str("event", "serve").Str("address", l.Addr().String()).Err(err).Msg("server ended")
	}
}

// listen opens listeners on all addresses.
func listen(addresses ...string) ([]net.Listener, error) {
	var all []net.Listener
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		all = append(all, l)
	}
	return all, nil
}

// linkSeeds turns the control addresses of seeds into those of their links: the
// ports are the same on all machines.
func linkSeeds(seeds, link string) []string {
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
