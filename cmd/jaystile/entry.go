package main

import (
	"fmt"
	"net"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/internal/connection/jayhttp"
	"github.com/jaystile/jaystile/internal/connection/jaytls"
	"github.com/jaystile/jaystile/internal/process/jayentry"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

const usageEntry = `Runs an entry, the process that callers and operators connect to. At SIGTERM
and SIGINT it shuts down gracefully: its readiness check fails and the requests
in flight complete.`

type settingsOption struct {
	Settings string `long:"settings" required:"yes" description:"settings file"`
}

type entryCommand struct{ settingsOption }

func addEntry(p *flags.Parser) { addCommand(p, "entry", "run an entry", usageEntry, &entryCommand{}) }

// Execute implements flags.Commander.
func (c *entryCommand) Execute([]string) error {
	source, err := jaysettings.ReadSource(c.Settings)
	if err != nil {
		return err
	}
	s, err := jaysettings.ParseEntry(source)
	if err != nil {
		return &exitError{status: exitInvalid, cause: err}
	}
	http, err := net.Listen("tcp", s.HTTP)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	link, err := net.Listen("tcp", s.Link)
	if err != nil {
		return fmt.Errorf("listen for links: %w", err)
	}
	jayhttp.Machine{MemoryBytes: s.MemoryMB << 20}.SetMemoryLimit()
	e, closeEntry := jayentry.New(s, http, link, newLogger())
	defer closeEntry()
	e.TLS, err = jaytls.Peers(jaytls.Files{Certificate: s.Certificate, PrivateKey: s.PrivateKey, Authority: s.Authority})
	if err != nil {
		return &exitError{status: exitInvalid, cause: err}
	}
	ctx, cancel := signalContext()
	defer cancel()
	return e.Run(ctx)
}
