package main

import (
	"fmt"
	"net"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/internal/connection/jaytls"
	"github.com/jaystile/jaystile/internal/process/jayagent"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

const usageSide = `Runs a side, the agent beside a runner. It owns the runner's slots and the
accelerators of its worker. At SIGTERM and SIGINT it stops accepting work and
exits when the work in flight has ended.`

type sideCommand struct{ settingsOption }

func addSide(p *flags.Parser) { addCommand(p, "side", "run a side", usageSide, &sideCommand{}) }

// Execute implements flags.Commander.
func (c *sideCommand) Execute([]string) error {
	source, err := jaysettings.ReadSource(c.Settings)
	if err != nil {
		return err
	}
	s, err := jaysettings.ParseAgent(source)
	if err != nil {
		return &exitError{status: exitInvalid, cause: err}
	}
	link, err := net.Listen("tcp", s.Link)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	agent, closeAgent := jayagent.New(s, link, newLogger())
	defer closeAgent()
	agent.TLS, err = jaytls.Peers(jaytls.Files{Certificate: s.Certificate, PrivateKey: s.PrivateKey, Authority: s.Authority})
	if err != nil {
		return &exitError{status: exitInvalid, cause: err}
	}
	ctx, cancel := signalContext()
	defer cancel()
	return agent.Run(ctx)
}
