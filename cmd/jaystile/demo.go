package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/jaystile/jaystile/internal/process/jaydemo"
)

const usageDemo = `Runs a whole deployment in this process over loopback: a simulated platform,
entries and sides, with seeded random job arrivals. At the end it compares the
responses to callers with what the workers and runners ran.

It exits with 1 when an invariant was violated.`

type demoCommand struct {
	Deployment string        `long:"deployment" default:"kjaergaard" description:"kjaergaard or salish"`
	Entries    int           `long:"entries" default:"3" description:"entry processes"`
	Seconds    int           `long:"seconds" default:"20" description:"how long jobs arrive, in seconds"`
	Seed       uint64        `long:"seed" default:"1" description:"seed of arrivals and faults"`
	Load       float64       `long:"load" default:"0.7" description:"work that arrives, as a share of the accelerators"`
	Faults     string        `long:"faults" description:"kinds of faults separated by commas, or all"`
	Every      time.Duration `long:"every" default:"2s" description:"mean time between two pairs of faults"`
	JSON       bool          `long:"json" description:"print the summary as JSON"`
}

func addDemo(p *flags.Parser) {
	addCommand(p, "demo", "run a deployment on this machine and verify it", usageDemo, &demoCommand{})
}

// Execute implements flags.Commander.
func (c *demoCommand) Execute([]string) error {
	d, err := jaydemo.FindDeployment(c.Deployment)
	if err != nil {
		return &exitError{status: exitUsage, cause: err}
	}
	faults, err := jaydemo.ParseFaults(c.Faults, c.Every)
	if err != nil {
		return &exitError{status: exitUsage, cause: err}
	}
	ctx, cancel := signalContext()
	defer cancel()
	demo := &jaydemo.Demo{Deployment: d, Entries: c.Entries, Duration: time.Duration(c.Seconds) * time.Second, Seed: c.Seed, Load: c.Load, Faults: faults, Timing: jaydemo.DefaultTiming(), Logger: zerolog.Nop(), Progress: os.Stderr}
	if globalOptions.Verbose {
		demo.Logger = newLogger()
	}
	if c.JSON {
		demo.Progress = io.Discard
	}
	s, err := demo.Run(ctx)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	if c.JSON {
		err = writeDemoJSON(os.Stdout, s)
	} else {
		writeDemo(os.Stdout, s)
	}
	if err != nil {
		return err
	}
	return s.Err()
}

type demoClassJSON struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P99   float64 `json:"p99"`
}

type demoViolationJSON struct {
	Invariant string `json:"promise"`
	Detail    string `json:"detail"`
}

type demoJSON struct {
	Deployment        string                   `json:"deployment"`
	Seed              uint64                   `json:"seed"`
	JobsSubmitted     int                      `json:"jobs_submitted"`
	JobsCompleted     int                      `json:"jobs_completed"`
	JobsRefused       int                      `json:"jobs_refused"`
	JobsUnknown       int                      `json:"jobs_unknown"`
	ViolationCount    int                      `json:"invariants_broken"`
	CompletionSeconds map[string]demoClassJSON `json:"completion_seconds"`
	Fragmentation     float64                  `json:"fragmentation"`
	Reclaims          uint64                   `json:"reclaims"`
	Refusals          map[string]int           `json:"refusals"`
	Faults            map[string]int           `json:"faults"`
	InvariantChecks   map[string]uint64        `json:"invariant_evaluations"`
	Violations        []demoViolationJSON      `json:"breaches"`
	LogAppends        int                      `json:"log_appends"`
	ElapsedSeconds    float64                  `json:"elapsed_seconds"`
}

func writeDemoJSON(w io.Writer, s *jaydemo.Summary) error {
	j := demoJSON{Deployment: s.Deployment, Seed: s.Seed, JobsSubmitted: s.Submitted, JobsCompleted: s.Completed, JobsRefused: s.Refused, JobsUnknown: s.Unknown, ViolationCount: len(s.Violations), CompletionSeconds: map[string]demoClassJSON{}, Fragmentation: s.Fragmentation, Reclaims: s.Reclaims, Refusals: s.Refusals, Faults: s.Faults, InvariantChecks: map[string]uint64{}, Violations: []demoViolationJSON{}, LogAppends: s.LogAppends, ElapsedSeconds: s.Elapsed.Seconds()}
	for _, c := range s.Classes {
		j.CompletionSeconds[c.Class] = demoClassJSON{Count: c.Count, Mean: c.Mean.Seconds(), P50: c.P50.Seconds(), P99: c.P99.Seconds()}
	}
	for _, c := range s.Checks {
		j.InvariantChecks[c.Invariant] = c.Checks
	}
	for _, b := range s.Violations {
		j.Violations = append(j.Violations, demoViolationJSON{Invariant: b.Invariant, Detail: b.Detail})
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(j)
}

func writeDemo(w io.Writer, s *jaydemo.Summary) {
	out := func(format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
	out("%s, seed %d: %d jobs in %.1f s", s.Deployment, s.Seed, s.Submitted, s.Elapsed.Seconds())
	out("  answered %d, refused %d, outcome unknown %d", s.Completed, s.Refused, s.Unknown)
	for _, c := range s.Classes {
		out("  completion %-10s n %5d  mean %8s  p50 %8s  p99 %8s", c.Class, c.Count, c.Mean.Round(time.Millisecond), c.P50, c.P99)
	}
	out("  fragmentation %.3f, reclaims %d, log appends %d", s.Fragmentation, s.Reclaims, s.LogAppends)
	writeCounts(out, "refusals", s.Refusals)
	writeCounts(out, "faults", s.Faults)
	for _, c := range s.Checks {
		out("  checked %8d times: %s", c.Checks, c.Invariant)
	}
	for _, b := range s.Violations {
		out("  BROKEN %s: %s", b.Invariant, b.Detail)
	}
	out("  broken invariants: %d", len(s.Violations))
}

func writeCounts(out func(string, ...any), title string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	names := make([]string, 0, len(counts))
	for n := range counts {
		names = append(names, n)
	}
	sort.Strings(names)
	line := ""
	for _, n := range names {
		line += fmt.Sprintf(" %s %d", n, counts[n])
	}
	out("  %s:%s", title, line)
}
