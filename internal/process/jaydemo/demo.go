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
	readyTimeout    = 15 * time.Second
	pollEvery       = 50 * time.Millisecond
	progressEvery   = 2 * time.Second
	submitGrace     = 60 * time.Second
	histogramMost   = 3_600_000
	histogramDigits = 3
	// maxAsked bounds how often a caller asks again when it is told to come back.
	maxAsked = 4
)

// Demo runs a deployment for a while. All fields are set before Run.
type Demo struct {
	Deployment Deployment
	Entries    int
	Duration   time.Duration
	Seed       uint64
	Load       float64
	Faults     Faults
	Timing     Timing
	Logger     zerolog.Logger
	// Progress takes lines for people while the demonstration runs.
	Progress io.Writer
}

// ClassSummary is the completion time of one class.
type ClassSummary struct {
	Class string
	Count int64
	Mean  time.Duration
	P50   time.Duration
	P99   time.Duration
}

// Summary is the outcome of a demonstration.
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

// NotReadyError reports a fleet that did not become ready in time.
type NotReadyError struct{ Waited time.Duration }

// Error implements error.
func (e *NotReadyError) Error() string {
	return fmt.Sprintf("fleet was not ready after %s", e.Waited)
}

// run is one demonstration under way.
type run struct {
	demo     *Demo
	fleet    *Fleet
	judge    *Checker
	clients  map[string]*jayclient.Client
	operator *jayclient.Client
	done     atomic.Int64
	fragSum  float64
	fragN    int
	reclaims uint64
}

// Run runs the demonstration and returns its summary.
func (d *Demo) Run(ctx context.Context) (*Summary, error) {
	fleet := NewFleet(d.Deployment, d.Entries, d.Timing, d.Logger)
	stop, err := fleet.Start(d.Seed)
	if err != nil {
		return nil, err
	}
	r := &run{demo: d, fleet: fleet, judge: NewChecker(), clients: map[string]*jayclient.Client{}}
	closeClients := r.connect()
	defer closeClients()
	if err := r.prepare(ctx); err != nil {
		stop()
		return nil, err
	}
	begin := time.Now()
	all := arrivals(d.Deployment, d.Seed, d.Duration, d.Load)
	injected := r.drive(ctx, all)
	r.countReclaims()
	elapsed := time.Since(begin)
	stop()
	r.judge.conclude(fleet)
	s := r.summary(all, injected)
	s.Elapsed = elapsed
	return s, nil
}

func (r *run) connect() func() {
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

// prepare publishes the manifest and waits until every process has it.
func (r *run) prepare(ctx context.Context) error {
	if err := r.await(ctx, 0); err != nil {
		return err
	}
	source, err := r.demo.Deployment.Manifest(0)
	if err != nil {
		return err
	}
	if _, err := r.operator.Publish(ctx, source, false); err != nil {
		return fmt.Errorf("publish manifest: %w", err)
	}
	return r.await(ctx, 1)
}

// await waits until every process is linked and has the manifest in force.
func (r *run) await(ctx context.Context, manifest uint64) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if r.everywhere(ctx, manifest) {
			return nil
		}
		time.Sleep(pollEvery)
	}
	return &NotReadyError{Waited: readyTimeout}
}

func (r *run) everywhere(ctx context.Context, manifest uint64) bool {
	for range r.demo.Entries {
		v, err := r.operator.Versions(ctx)
		if err != nil || len(v.Processes) < r.fleet.Agents+r.demo.Entries {
			return false
		}
		for _, p := range v.Processes {
			if p.Manifest < manifest {
				return false
			}
		}
	}
	return true
}

// drive submits every arrival at its moment and waits for all of them.
func (r *run) drive(ctx context.Context, all []arrival) map[string]int {
	var wg conc.WaitGroup
	begin := time.Now()
	watch, stopWatch := context.WithCancel(ctx)
	var watchers conc.WaitGroup
	injector := newInjector(r.fleet, r.demo.Faults, r.demo.Seed, r.judge)
	watchers.Go(func() { r.watch(watch, len(all)) })
	watchers.Go(func() { injector.run(watch, r.demo.Duration) })
	for _, a := range all {
		time.Sleep(time.Until(begin.Add(a.at)))
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { r.submit(ctx, a) })
	}
	wg.Wait()
	stopWatch()
	watchers.Wait()
	injector.heal()
	r.checkManifest(ctx)
	return injector.counts
}

// checkManifest checks that every process ends with the newest manifest that any
// entry has had in force.
func (r *run) checkManifest(ctx context.Context) {
	newest := r.fleet.NewestManifest()
	err := r.await(ctx, newest)
	r.judge.check(promiseManifest, err == nil, "version %d is not in force everywhere: %v", newest, err)
}

// submit behaves as a careful caller: it asks again when it is told to come
// back, and repeats a keyed request whose outcome it does not know.
func (r *run) submit(ctx context.Context, a arrival) {
	defer r.done.Add(1)
	ctx, cancel := context.WithTimeout(ctx, submitGrace)
	defer cancel()
	begin := time.Now()
	for asked := 1; ; asked++ {
		j, err := r.clients[a.kind.Workspace].Submit(ctx, a.body)
		if err == nil && !j.State.Ended() {
			// An earlier request under the key still runs.
			j, err = r.clients[a.kind.Workspace].Job(ctx, j.ID, submitGrace)
		}
		if err == nil {
			r.judge.took(verdict{arrival: a, job: j, took: time.Since(begin)})
			return
		}
		refusal := jayrefusal.From(err)
		again := refusal.Outcome() == jayrefusal.NotRun || a.kind.Idempotent || refusal.Code() == jayrefusal.Internal || refusal.Code() == jayrefusal.OwnerLost
		if asked == maxAsked || !again || !worthAsking(refusal.Code()) {
			var none *jayapi.Job
			r.judge.took(verdict{arrival: a, job: none, refusal: refusal, took: time.Since(begin)})
			return
		}
		time.Sleep(min(refusal.RetryAfter()+pollEvery, time.Second))
	}
}

// worthAsking reports whether the same request may fare better later.
func worthAsking(c jayrefusal.Code) bool {
	switch c {
	case jayrefusal.Malformed, jayrefusal.Unauthorized, jayrefusal.NeverFits, jayrefusal.KeyReused, jayrefusal.DeadlinePassed:
		return false
	}
	return true
}

// watch samples fragmentation and writes progress.
func (r *run) watch(ctx context.Context, total int) {
	begin := time.Now()
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(pollEvery)
		s, err := r.operator.Status(ctx)
		if err != nil {
			continue
		}
		r.fragSum += s.Fragmentation
		r.fragN++
		if time.Since(last) >= progressEvery {
			last = time.Now()
			_, _ = fmt.Fprintf(r.demo.Progress, "%5.1fs  %d of %d jobs ended, %d running, %d waiting, %d of %d accelerators free\n", time.Since(begin).Seconds(), r.done.Load(), total, s.Running, s.Waiting, s.Free, s.Total)
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

func (r *run) summary(all []arrival, injected map[string]int) *Summary {
	s := &Summary{Deployment: r.demo.Deployment.name, Seed: r.demo.Seed, Submitted: len(all), Refusals: map[string]int{}, Faults: injected, Violations: r.judge.Violations(), Checks: r.judge.Checks(), Reclaims: r.reclaims, LogAppends: r.fleet.log.Appends()}
	s.Checks = append(s.Checks, InvariantCount{Invariant: "owners never grant a thing twice", Evaluations: r.fleet.Evaluations()})
	if r.fragN > 0 {
		s.Fragmentation = r.fragSum / float64(r.fragN)
	}
	times := map[string]*hdrhistogram.Histogram{}
	for _, v := range r.judge.verdicts {
		switch {
		case v.refusal != nil && v.refusal.Outcome() == jayrefusal.Unknown:
			s.Unknown++
			s.Refusals[string(v.refusal.Code())]++
		case v.refusal != nil:
			s.Refused++
			s.Refusals[string(v.refusal.Code())]++
		default:
			s.Completed++
			class := v.arrival.kind.Class.String()
			if times[class] == nil {
				times[class] = hdrhistogram.New(1, histogramMost, histogramDigits)
			}
			_ = times[class].RecordValue(v.took.Milliseconds())
		}
	}
	for class, h := range times {
		s.Classes = append(s.Classes, ClassSummary{Class: class, Count: h.TotalCount(), Mean: time.Duration(h.Mean() * float64(time.Millisecond)), P50: time.Duration(h.ValueAtQuantile(50)) * time.Millisecond, P99: time.Duration(h.ValueAtQuantile(99)) * time.Millisecond})
	}
	sort.Slice(s.Classes, func(a, b int) bool { return s.Classes[a].Class < s.Classes[b].Class })
	return s
}

// BrokenError reports a demonstration in which promises were broken.
type ViolationError struct{ Violations []Violation }

// Error implements error.
func (e *ViolationError) Error() string {
	return fmt.Sprintf("%d promises broken; first: %s: %s", len(e.Violations), e.Violations[0].Invariant, e.Violations[0].Detail)
}

// Err returns a BrokenError when a promise was broken or a job was left without
// a word.
func (s *Summary) Err() error {
	if len(s.Violations) > 0 {
		return &ViolationError{Violations: s.Violations}
	}
	if s.Completed+s.Refused+s.Unknown != s.Submitted {
		return errors.Join(&ViolationError{Violations: []Violation{{Invariant: promiseSettled, Detail: "a job got no word at all"}}})
	}
	return nil
}
