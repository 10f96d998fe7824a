package main

import (
	"context"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/process/jaysupervisor"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
	jayadapter "github.com/jaystile/jaystile/platform"
)

const usageCellSide = `Runs a side on the users' platform: it keeps the runner on its machine for
the holder of the term. At SIGTERM it ends at once; what runs goes on under its
lease until the side is back.`

type cellSideCommand struct{ bootOption }

func addCellSide(p *flags.Parser) {
	add(p, "cell-side", "run a side on the users' platform", usageCellSide, &cellSideCommand{})
}

// Execute implements flags.Commander.
func (c *cellSideCommand) Execute([]string) error {
	logger, flush := cellLogger()
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
	listeners, err := listen(s.Control, s.Metrics)
	if err != nil {
		return err
	}
	k := jaysupervisor.New()
	k.Node, k.Client, k.Lease, k.Logger = s.Name+"@"+s.Runner, jayadapter.RunnerClient(s.Runner), s.Lease(), logger
	if s.Orders == jaysettings.OrdersByHeartbeat {
		k.OrdersByHeartbeat, k.HeartbeatInterval = true, s.HeartbeatInterval
	}
	side := jaysupervisor.NewAgent(k)
	side.Name, side.DataCentre, side.Incarnation, side.Logger = s.Name, s.DataCentre, uint64(time.Now().UnixNano()), logger
	side.Seeds, side.CellTopic = linkSeeds(s.Seeds, s.Link), jayadapter.TopicCell
	side.Store = jayadapter.StoreClient(jayadapter.DirectTransport(s.Store))
	logger.Info().Str("event", "start").Str("runner", s.Runner).Str("orders", s.Orders).Dur("lease", s.Lease()).Msg("side starts")

	term, stopSignals := interruptible()
	defer stopSignals()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	control := jayadapter.ControlServer(ctx, k, func(err error) {
		logger.Warn().Str("event", "heartbeat").Err(err).Msg("skipping a heartbeat that cannot be read")
	})
	var wg conc.WaitGroup
	wg.Go(func() { serveUntilClosed(control, listeners[0], logger) })
	wg.Go(func() { serveMetrics(ctx, listeners[1], logger) })
	wg.Go(func() { watchSettings(ctx, jaysettings.RoleCellAgent, c.Settings, logger) })
	wg.Go(func() { side.Run(ctx) })
	<-term.Done()
	cancel()
	if err := control.Shutdown(graceMargin / 4); err != nil {
		logger.Warn().Str("event", "stop").Err(err).Msg("control server did not end in time")
	}
	logger.Info().Str("event", "stop").Msg("side stops")
	return nil
}
