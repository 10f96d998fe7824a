package jayhttp

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

const (
	// maxLinesPerSecond bounds the log lines about single requests, of which clients choose the number.
	maxLinesPerSecond = 200
	// maxQuotedBytes bounds what a log line quotes of a client.
	maxQuotedBytes = 400
)

var suppressedLines = metrics.NewCounter("jaystile_log_lines_suppressed_total")

// countSuppressed drops and counts lines.
type countSuppressed struct{}

// Sample implements zerolog.Sampler.
func (countSuppressed) Sample(zerolog.Level) bool {
	suppressedLines.Inc()
	return false
}

// RequestLogger returns a logger for lines about single requests. Lines beyond maxLinesPerSecond are
// dropped and counted.
func RequestLogger(l zerolog.Logger) zerolog.Logger {
	return l.Sample(&zerolog.BurstSampler{Burst: maxLinesPerSecond, Period: time.Second, NextSampler: countSuppressed{}})
}

// Quote shortens what a log line quotes of a client.
func Quote(s string) string { return s[:min(len(s), maxQuotedBytes)] }

// DiscardLogger drops the lines of an HTTP server, which quote what clients send. Refusals are counted.
type DiscardLogger struct{}

// Printf implements fasthttp.Logger.
func (DiscardLogger) Printf(string, ...any) {}
