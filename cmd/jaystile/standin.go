package main

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/jessevdk/go-flags"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/process/jaystandin"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

const usageStandin = `Runs a simulated platform: the log service, workers and runners. It stores
nothing on disk and is for trying jaystile on one machine.`

const standinShutdownTimeout = time.Second

type standinCommand struct{ settingsOption }

func addStandin(p *flags.Parser) {
	addCommand(p, "standin", "run a simulated platform", usageStandin, &standinCommand{})
}

// Execute implements flags.Commander.
func (c *standinCommand) Execute([]string) error {
	source, err := jaysettings.ReadSource(c.Settings)
	if err != nil {
		return err
	}
	s, err := jaysettings.ParseStandin(source)
	if err != nil {
		return &exitError{status: exitInvalid, cause: err}
	}
	apps := map[string]*fiber.App{}
	log := jaystandin.NewLog(uint64(s.Seed))
	log.Retention = s.Retention
	apps[s.Log] = log.App()
	for _, a := range s.Workers {
		apps[a] = jaystandin.NewWorker(s.Accelerators).App()
	}
	for _, a := range s.Runners {
		apps[a] = jaystandin.NewRunner(s.Slots).App()
	}
	return serveAll(apps)
}

// serveAll serves every app at its address until SIGTERM or SIGINT.
func serveAll(apps map[string]*fiber.App) error {
	var wg conc.WaitGroup
	for address, app := range apps {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		wg.Go(func() { _ = app.Listener(l) })
	}
	ctx, cancel := signalContext()
	defer cancel()
	<-ctx.Done()
	for _, app := range apps {
		shutdown, stop := context.WithTimeout(context.Background(), standinShutdownTimeout)
		_ = app.ShutdownWithContext(shutdown)
		stop()
	}
	wg.Wait()
	return nil
}
