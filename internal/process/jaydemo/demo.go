package jaydemo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sort"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayclient"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	readyTimeout       = 15 * time.Second
	pollInterval       = 50 * time.Millisecond
	progressInterval   = 2 * time.Second
	submitTimeout      = 60 * time.Second
	maxHistogramMillis = 3_600_000
	histogramDigits    = 3
	// maxTries bounds how often a caller submits a job, retries included.
	maxTries = 4
)

// Demo runs a deployment under load. All fields are set before Run.
type Demo struct {
	Deployment Deployment
	Entries    int
	// Duration is how long jobs arrive.
	Duration time.Duration
	Seed     uint64
	// Load is the offered work as a share of the pool's accelerators.
	Load   float64
	Faults Faults
	Timing Timing
	Logger zerolog.Logger
	// Progress receives lines of text while the demonstration runs.
	Progress io.Writer
}

// ClassSummary holds the completion times of one class of jobs, as callers see
// them.
type ClassSummary struct {
	Class string
	Count int64
	Mean  time.Duration
	P50   time.Duration
	P99   time.Duration
}

// Summary is the result of a demonstration.
type Summary struct {
	Deployment    string
	Seed          uint64
	Submitted     int
	Completed     int
	Refused       int
	Unknown       int
	Classes       []ClassSummary
	Fragmentation float64
	Reclaims      uint64
	Refusals      map[string]int
	Faults        map[string]int
	Violations    []Violation
	Checks        []InvariantCount
	Elapsed       time.Duration
	LogAppends    int
}

// NotReadyError reports a fleet that was not ready before the timeout.
type NotReadyError struct{ Waited time.Duration }

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("fleet was not ready after %s", e.Waited)
}

// run is a demonstration in progress.
type run struct {
	demo                 *Demo
	fleet                *Fleet
	checker              *Checker
	clients              map[string]*jayclient.Client
	operator             *jayclient.Client
	ended                atomic.Int64
	fragmentationSum     float64
	fragmentationSamples int
	reclaims             uint64
}

// Run runs the demonstration and returns its summary.
func (d *Demo) Run(ctx context.Context) (*Summary, error) {
	fleet := NewFleet(d.Deployment, d.Entries, d.Timing, d.Logger)
	stop, err := fleet.Start(d.Seed)
	if err != nil {
		return nil, err
	}
	r := &run{demo: d, fleet: fleet, checker: NewChecker(), clients: map[string]*jayclient.Client{}}
	closeClients := r.createClients()
	defer closeClients()
	if err := r.publishManifest(ctx); err != nil {
		stop()
		return nil, err
	}
	begin := time.Now()
	arrivals := generateArrivals(d.Deployment, d.Seed, d.Duration, d.Load)
	injected := r.submitAll(ctx, arrivals)
	r.countReclaims()
	elapsed := time.Since(begin)
	stop()
	r.checker.checkRecords(fleet)
	s := r.summary(arrivals, injected)
	s.Elapsed = elapsed
	return s, nil
}

func (r *run) createClients() func() {
	var closers []func()
	for _, k := range r.demo.Deployment.kinds {
		if r.clients[k.Workspace] == nil {
			c, closeClient := jayclient.New(r.fleet.Addresses()...)
			c.Workspace = k.Workspace
			c.Key = WorkspaceKey(k.Workspace)
			r.clients[k.Workspace] = c
			closers = append(closers, closeClient)
		}
	}
	operator, closeOperator := jayclient.New(r.fleet.Addresses()...)
	operator.OperatorKey = OperatorKey
	r.operator = operator
	closers = append(closers, closeOperator)
	return func() {
		for _, c := range closers {
			c()
		}
	}
}

// publishManifest publishes the manifest and waits until every process has it in
// force.
func (r *run) publishManifest(ctx context.Context) error {
	if err := r.awaitManifest(ctx, 0); err != nil {
		return err
	}
	source, err := r.demo.Deployment.Manifest(0)
	if err != nil {
		return err
	}
	if _, err := r.operator.Publish(ctx, source, false); err != nil {
		return fmt.Errorf("publish manifest: %w", err)
	}
	return r.awaitManifest(ctx, 1)
}

// awaitManifest waits until every process is connected and has at least the given
// manifest version in force.
func (r *run) awaitManifest(ctx context.Context, version uint64) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if r.manifestInForce(ctx, version) {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return &NotReadyError{Waited: readyTimeout}
}

// manifestInForce reports whether every process has at least the given version in
// force. It asks once per entry, since the client alternates between entries.
func (r *run) manifestInForce(ctx context.Context, version uint64) bool {
	for range r.demo.Entries {
		v, err := r.operator.Versions(ctx)
		if err != nil || len(v.Processes) < r.fleet.Agents+r.demo.Entries {
			return false
		}
		for _, p := range v.Processes {
			if p.Manifest < version {
				return false
			}
		}
	}
	return true
}

// submitAll submits every arrival at its time and waits for all of them. It
// returns the number of injected faults by kind.
func (r *run) submitAll(ctx context.Context, arrivals []arrival) map[string]int {
	var wg conc.WaitGroup
	begin := time.Now()
	backgroundContext, stopBackground := context.WithCancel(ctx)
	var background conc.WaitGroup
	injector := newInjector(r.fleet, r.demo.Faults, r.demo.Seed, r.checker)
	background.Go(func() { r.monitor(backgroundContext, len(arrivals)) })
	background.Go(func() { injector.run(backgroundContext, r.demo.Duration) })
	for _, a := range arrivals {
		time.Sleep(time.Until(begin.Add(a.at)))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { r.submit(ctx, a) })
	}
	wg.Wait()
	stopBackground()
	background.Wait()
	injector.clearFaults()
	r.checkManifest(ctx)
	return injector.counts
}

// checkManifest checks that every process ends with the newest manifest that any
// entry has in force.
func (r *run) checkManifest(ctx context.Context) {
	newest := r.fleet.NewestManifest()
	err := r.awaitManifest(ctx, newest)
	r.checker.check(invariantManifest, err == nil, "version %d is not in force everywhere: %v", newest, err)
}

// submit acts as a caller that retries correctly: after a refusal that may be
// temporary, and with the same key after an unknown outcome.
func (r *run) submit(ctx context.Context, a arrival) {
	defer r.ended.Add(1)
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	begin := time.Now()
	mayHaveRun := false
	for try := 1; ; try++ {
		j, err := r.clients[a.kind.Workspace].Submit(ctx, a.body)
		if err == nil && !j.State.Ended() {
			// An earlier request with the same key still runs.
			j, err = r.clients[a.kind.Workspace].Job(ctx, j.ID, submitTimeout)
		}
		if err == nil {
			r.checker.recordResult(result{arrival: a, job: j, latency: time.Since(begin)})
			return
		}
		refusal := jayrefusal.From(err)
		repeatable := refusal.Outcome() == jayrefusal.NotRun || a.kind.Idempotent || refusal.Code() == jayrefusal.Internal || refusal.Code() == jayrefusal.OwnerLost
		mayHaveRun = mayHaveRun || refusal.Outcome() != jayrefusal.NotRun
		if try == maxTries || !repeatable || !retryable(refusal.Code()) {
			var noJob *jayapi.Job
			r.checker.recordResult(result{arrival: a, job: noJob, refusal: refusalOfAllTries(refusal, mayHaveRun), latency: time.Since(begin)})
			return
		}
		time.Sleep(min(refusal.RetryAfter()+pollInterval, time.Second))
	}
}

// refusalOfAllTries returns what the last refusal of a job says of all its tries. That
// the last try did not run says nothing of an earlier one with an unknown outcome.
func refusalOfAllTries(last *jayrefusal.Refusal, mayHaveRun bool) *jayrefusal.Refusal {
	if !mayHaveRun || last.Outcome() != jayrefusal.NotRun {
		return last
	}
	return jayrefusal.New(last.Code(), jayrefusal.Unknown, "%s; an earlier try may have run", last.Message())
}

// retryable reports whether the same request may succeed later.
func retryable(c jayrefusal.Code) bool {
	switch c {
	case jayrefusal.Malformed, jayrefusal.Unauthorized, jayrefusal.NeverFits, jayrefusal.KeyReused, jayrefusal.DeadlinePassed:
		return false
	}
	return true
}

// monitor samples fragmentation and prints progress until ctx ends.
func (r *run) monitor(ctx context.Context, total int) {
	begin := time.Now()
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(pollInterval)
		s, err := r.operator.Status(ctx)
		if err != nil {
			continue
		}
		r.fragmentationSum += s.Fragmentation
		r.fragmentationSamples++
		if time.Since(last) >= progressInterval {
			last = time.Now()
			_, _ = fmt.Fprintf(r.demo.Progress, "%5.1fs  %d of %d jobs ended, %d running, %d waiting, %d of %d accelerators free\n", time.Since(begin).Seconds(), r.ended.Load(), total, s.Running, s.Waiting, s.Free, s.Total)
		}
	}
}

func (r *run) countReclaims() {
	for i := range r.demo.Entries {
		if e := r.fleet.Entry(i); e != nil {
			r.reclaims += e.Metrics().GetOrCreateCounter(`jaystile_entry_victims_total{cause="reclaimed_home"}`).Get()
		}
	}
}

func (r *run) summary(arrivals []arrival, injected map[string]int) *Summary {
	s := &Summary{Deployment: r.demo.Deployment.name, Seed: r.demo.Seed, Submitted: len(arrivals), Refusals: map[string]int{}, Faults: injected, Violations: r.checker.Violations(), Checks: r.checker.Checks(), Reclaims: r.reclaims, LogAppends: r.fleet.log.Appends()}
	s.Checks = append(s.Checks, InvariantCount{Invariant: "owners never grant a thing twice", Checks: r.fleet.InvariantChecks()})
	if r.fragmentationSamples > 0 {
		s.Fragmentation = r.fragmentationSum / float64(r.fragmentationSamples)
	}
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, res := range r.checker.results {
		switch {
		case res.refusal != nil && res.refusal.Outcome() == jayrefusal.Unknown:
			s.Unknown++
			s.Refusals[string(res.refusal.Code())]++
		case res.refusal != nil:
			s.Refused++
			s.Refusals[string(res.refusal.Code())]++
		default:
			s.Completed++
			class := res.arrival.kind.Class.String()
			if histograms[class] == nil {
				histograms[class] = hdrhistogram.New(1, maxHistogramMillis, histogramDigits)
			}
			_ = histograms[class].RecordValue(res.latency.Milliseconds())
		}
	}
	for class, h := range histograms {
		s.Classes = append(s.Classes, ClassSummary{Class: class, Count: h.TotalCount(), Mean: time.Duration(h.Mean() * float64(time.Millisecond)), P50: time.Duration(h.ValueAtQuantile(50)) * time.Millisecond, P99: time.Duration(h.ValueAtQuantile(99)) * time.Millisecond})
	}
	sort.Slice(s.Classes, func(a, b int) bool { return s.Classes[a].Class < s.Classes[b].Class })
	return s
}

// ViolationError reports a demonstration in which invariants were violated.
type ViolationError struct{ Violations []Violation }

// Error implements error.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("%d invariant violations; first: %s: %s", len(e.Violations), e.Violations[0].Invariant, e.Violations[0].Detail)
}

// Err returns a ViolationError when an invariant was violated or a job has no
// recorded result.
func (s *Summary) Err() error {
	if len(s.Violations) > 0 {
		return &ViolationError{Violations: s.Violations}
	}
	if s.Completed+s.Refused+s.Unknown != s.Submitted {
		return errors.Join(&ViolationError{Violations: []Violation{{Invariant: invariantSettled, Detail: "a job has no recorded result"}}})
	}
	return nil
}
