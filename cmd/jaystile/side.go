package main

import (
	"fmt"
	"net"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/internal/connection/jaytls"
	"github.com/jaystile/jaystile/internal/process/jayagent"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

const usageSide = `Runs a side: the process beside a runner, which owns its slots and the
accelerators of its worker. At SIGTERM and SIGINT it takes no new work at once
and ends when what is in flight has ended.`

type sideCommand struct{ settingsOption }

func addSide(p *flags.Parser) { add(p, "side", "run a side", usageSide, &sideCommand{}) }

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
	side, clean := jayagent.New(s, link, logger())
	defer clean()
	side.TLS, err = jaytls.Peers(jaytls.Files{Certificate: s.Certificate, PrivateKey: s.PrivateKey, Authority: s.Authority})
	if err != nil {
		return &exitError{status: exitInvalid, cause: err}
	}
	ctx, cancel := interruptible()
	defer cancel()
	return side.Run(ctx)
}
