package main

import (
	"bytes"
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"github.com/valyala/fasthttp"

	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

const (
	// logLines bounds the lines that wait to be written; more are dropped and
	// counted.
	logLines = 2048
	// logPoll is how often waiting lines are written.
	logPoll = 20 * time.Millisecond
	// settingsEvery is how often the settings file is looked at: it may change
	// without a signal.
	settingsEvery = 3 * time.Second
)

var droppedLines = metrics.NewCounter("jaystile_log_lines_dropped_total")

// cellLogger returns a logger to standard output that never blocks, and a
// function that writes what still waits.
func cellLogger() (zerolog.Logger, func()) {
	w := diode.NewWriter(os.Stdout, logLines, logPoll, func(missed int) { droppedLines.Add(missed) })
	level := zerolog.InfoLevel
	if global.Verbose {
		level = zerolog.DebugLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), func() { _ = w.Close() }
}

// serveMetrics answers with the process's metrics until ctx ends.
func serveMetrics(ctx context.Context, l net.Listener, logger zerolog.Logger) {
	server := &fasthttp.Server{NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		c.SetContentType("text/plain; version=0.0.4")
		metrics.WritePrometheus(c.Response.BodyWriter(), true)
	}}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		logger.Error().Str("event", "serve").Err(err).Msg("metrics server ended")
	}
}

// watchSettings looks at the settings file at SIGHUP and regularly, and checks
// what it holds. Addresses and names take effect with the next start.
func watchSettings(ctx context.Context, role jaysettings.Role, file string, logger zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	old, err := os.ReadFile(file)
	if err != nil {
		logger.Warn().Str("event", "reload").Err(err).Msg("cannot read the settings")
	}
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			asked = true
		case <-ticker.C:
		}
		b, err := os.ReadFile(file)
		if err != nil {
			logger.Warn().Str("event", "reload").Err(err).Msg("cannot read the settings")
			continue
		}
		if !asked && bytes.Equal(b, old) {
			continue
		}
		err = jaysettings.Check(role, jaysettings.NewSource(file, b))
		logger.Info().Str("event", "reload").Bool("signal", asked).Bool("changed", !bytes.Equal(b, old)).Err(err).Msg("looked at the settings")
		old = b
	}
}
