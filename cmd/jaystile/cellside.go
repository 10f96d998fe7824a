package main

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/internal/connection/jayhttp"
	"github.com/jaystile/jaystile/internal/process/jayassert"
	"github.com/jaystile/jaystile/internal/process/jaysupervisor"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
	jayadapter "github.com/jaystile/jaystile/platform"
)

const usageCellSide = `Runs a side on the users' platform: the agent that supervises the runner on
its machine on behalf of the leader. At SIGTERM it exits at once; running work
continues under its lease until the side is back.`

type cellSideCommand struct{ cellSettingsOption }

func addCellSide(p *flags.Parser) {
	addCommand(p, "cell-side", "run a side on the users' platform", usageCellSide, &cellSideCommand{})
}

// Execute implements flags.Commander.
func (c *cellSideCommand) Execute([]string) error {
	logger, flush := newCellLogger()
	defer flush()
	source, err := jaysettings.ReadSource(c.Settings)
	if err != nil {
		return err
	}
	s, err := jaysettings.ParseCellAgent(source)
	if err != nil {
		return &exitError{status: exitInvalid, cause: err}
	}
	logger = logger.With().Str("process", s.Name).Logger()
	listeners, err := listenAll(s.Control, s.Metrics)
	if err != nil {
		return err
	}
	supervisor := jaysupervisor.New()
	supervisor.Node, supervisor.Client, supervisor.Lease, supervisor.Logger = s.Name+"@"+s.Runner, jayadapter.RunnerClient(s.Runner), s.Lease(), logger
	supervisor.Service, supervisor.EvacuationBound = s.Service, s.EvacuationBound
	if s.Orders == jaysettings.OrdersByHeartbeat {
		supervisor.OrdersByHeartbeat, supervisor.HeartbeatInterval = true, s.HeartbeatInterval
	}
	agent := jaysupervisor.NewAgent(supervisor)
	agent.Name, agent.DataCentre, agent.Incarnation, agent.Logger = s.Name, s.DataCentre, uint64(time.Now().UnixNano()), logger
	agent.Seeds, agent.CellTopic = seedLinkAddresses(s.Seeds, s.Link), jayadapter.TopicCell
	agent.Store = jayadapter.StoreClient(jayadapter.DirectTransport(s.Store))
	logger.Info().Str("event", "start").Str("runner", s.Runner).Str("orders", s.Orders).Dur("lease", s.Lease()).Msg("side starts")

	shutdown, stopSignals := signalContext()
	defer stopSignals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	requestLogger := jayhttp.RequestLogger(logger)
	control := jayadapter.ControlServer(ctx, supervisor, func(err error) {
		requestLogger.Warn().Str("event", "heartbeat").Str("error", jayhttp.Quote(err.Error())).Msg("skipping an invalid heartbeat")
	})
	machine := machineOf(s)
	machine.SetMemoryLimit()
	control.Budget = machine.Budget(controlShare, metrics.GetDefaultSet())
	var wg jayassert.Group
	wg.Go(func() { serveUntilClosed(control, listeners[0], logger) })
	wg.Go(func() { serveMetrics(ctx, listeners[1], machine, logger) })
	wg.Go(func() { watchSettings(ctx, jaysettings.RoleCellAgent, c.Settings, logger) })
	wg.Go(func() { agent.Run(ctx) })
	<-shutdown.Done()
	cancel()
	if err := control.Shutdown(shutdownMargin / 4); err != nil {
		logger.Warn().Str("event", "stop").Err(err).Msg("control server did not shut down in time")
	}
	logger.Info().Str("event", "stop").Msg("side stops")
	return nil
}
