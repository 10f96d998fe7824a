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

	"github.com/jaystile/jaystile/internal/connection/jayhttp"
	"github.com/jaystile/jaystile/internal/version/jaysettings"
)

const (
	// maxQueuedLogLines bounds the lines waiting to be written; excess lines are
	// dropped and counted.
	maxQueuedLogLines = 2048
	// logFlushInterval is how often queued lines are written.
	logFlushInterval = 20 * time.Millisecond
	// metricsBodyBytes bounds the bodies of requests for metrics, which are ignored.
	metricsBodyBytes = 16 << 10
	// settingsPollInterval is how often the settings file is read, because it may
	// change without a signal.
	settingsPollInterval = 3 * time.Second
)

var droppedLines = metrics.NewCounter("jaystile_log_lines_dropped_total")

// newCellLogger returns a non-blocking logger to standard output and a function
// that flushes it.
func newCellLogger() (zerolog.Logger, func()) {
	w := diode.NewWriter(os.Stdout, maxQueuedLogLines, logFlushInterval, func(missed int) { droppedLines.Add(missed) })
	level := zerolog.InfoLevel
	if globalOptions.Verbose {
		level = zerolog.DebugLevel
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(level).With().Timestamp().Logger(), func() { _ = w.Close() }
}

// The parts of a machine that the connections to each address of an entry or agent may use. Open links and
// connections to the store need the rest of the descriptors.
var (
	callerShare    = jayhttp.Share{Listener: "callers", Memory: 45, Descriptors: 60}
	linkShare      = jayhttp.Share{Listener: "links", Memory: 35, Descriptors: 10}
	readinessShare = jayhttp.Share{Listener: "readiness", Memory: 6, Descriptors: 2}
	seedShare      = jayhttp.Share{Listener: "control", Memory: 6, Descriptors: 2}
	metricsShare   = jayhttp.Share{Listener: "metrics", Memory: 8, Descriptors: 2}
	// controlShare is that of an agent, whose runner sends large reports.
	controlShare = jayhttp.Share{Listener: "control", Memory: 90, Descriptors: 50}
)

// machineOf returns what the machine of a process has for it.
func machineOf(s jaysettings.Cell) jayhttp.Machine {
	return jayhttp.Machine{MemoryBytes: s.MemoryMB << 20, Descriptors: s.Descriptors}
}

// serveMetrics serves the process's metrics until ctx ends.
func serveMetrics(ctx context.Context, l net.Listener, machine jayhttp.Machine, logger zerolog.Logger) {
	l = &jayhttp.LimitedListener{Listener: l, Budget: machine.Budget(metricsShare, metrics.GetDefaultSet()), Default: jayhttp.Limits{BodyBytes: metricsBodyBytes}}
	server := &fasthttp.Server{NoDefaultServerHeader: true, ReadBufferSize: jayhttp.MaxHeadBytes, ReduceMemoryUsage: true, DisablePreParseMultipartForm: true, Logger: jayhttp.DiscardLogger{}, Handler: func(c *fasthttp.RequestCtx) {
		c.SetContentType("text/plain; version=0.0.4")
		metrics.WritePrometheus(c.Response.BodyWriter(), true)
	}}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	if err := server.Serve(l); err != nil && ctx.Err() == nil {
		logger.Error().Str("event", "serve").Err(err).Msg("metrics server failed")
	}
}

// watchSettings validates the settings file at SIGHUP and whenever it has changed,
// and logs the result. Changes take effect at the next start.
func watchSettings(ctx context.Context, role jaysettings.Role, file string, logger zerolog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	old, err := os.ReadFile(file)
	if err != nil {
		logger.Warn().Str("event", "reload").Err(err).Msg("cannot read the settings")
	}
	for {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			signaled = true
		case <-ticker.C:
		}
		b, err := os.ReadFile(file)
		if err != nil {
			logger.Warn().Str("event", "reload").Err(err).Msg("cannot read the settings")
			continue
		}
		if !signaled && bytes.Equal(b, old) {
			continue
		}
		err = jaysettings.Check(role, jaysettings.NewSource(file, b))
		logger.Info().Str("event", "reload").Bool("signal", signaled).Bool("changed", !bytes.Equal(b, old)).Err(err).Msg("settings checked")
		old = b
	}
}
