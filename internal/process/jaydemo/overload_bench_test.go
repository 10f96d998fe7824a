package jaydemo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayplatform"
	"github.com/jaystile/jaystile/internal/process/jayload"
	"github.com/jaystile/jaystile/internal/process/jaystandin"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayclient"
)

const (
	// benchRuntime at 88 slots makes a capacity of 440 requests a second.
	benchRuntime    = 200 * time.Millisecond
	benchCapacity   = 440
	benchDeadline   = 2 * time.Second
	benchDuration   = 6 * time.Second
	baselineRetries = 3
)

func startBenchFleet(b *testing.B) *run {
	b.Helper()
	f := NewFleet(kjaergaard(), 3, DefaultTiming(), zerolog.Nop())
	stop, err := f.Start(1)
	assert.NilError(b, err)
	b.Cleanup(stop)
	r := &run{demo: &Demo{Deployment: f.Deployment, Entries: 3}, fleet: f, checker: NewChecker(), clients: map[string]*jayclient.Client{}}
	b.Cleanup(r.createClients())
	assert.NilError(b, r.publishManifest(context.Background()))
	return r
}

func (r *run) newLoad(workspace string, rate float64) *jayload.Load {
	return &jayload.Load{Client: r.clients[workspace], Rate: rate, Duration: benchDuration, Submission: jayapi.Submission{
		Kind: "bench", Class: "urgent", Members: 1, Payload: program(int(benchRuntime.Milliseconds()), "ok"), DeadlineMillis: benchDeadline.Milliseconds(), Idempotent: true,
	}}
}

// startedRuns counts the requests that the runners started.
func (r *run) startedRuns() int {
	n := 0
	for _, w := range r.fleet.runners {
		n += len(w.Runs())
	}
	return n
}

func report(b *testing.B, res *jayload.Result, started int) {
	b.ReportMetric(res.Goodput, "goodput/s")
	b.ReportMetric(float64(res.P50.Milliseconds()), "p50-ms")
	b.ReportMetric(float64(res.P99.Milliseconds()), "p99-ms")
	b.ReportMetric(100*float64(started)/float64(res.Sent), "runs-per-100")
	b.ReportMetric(float64(res.NotRun+res.Unknown+res.Ran), "refused")
}

// directSender is a baseline without jaystile: it sends to a random runner, or to
// the one with the fewest outstanding requests. Each try gets an equal share of
// the deadline, and a failed one is retried up to three times, even if it may
// still run.
type directSender struct {
	runners          []*jayplatform.Runner
	outstanding      []atomic.Int64
	leastOutstanding bool
}

func (d *directSender) send(context.Context) error {
	var err error
	for range 1 + baselineRetries {
		i := rand.IntN(len(d.runners))
		if d.leastOutstanding {
			for n := range d.runners {
				if d.outstanding[n].Load() < d.outstanding[i].Load() {
					i = n
				}
			}
		}
		d.outstanding[i].Add(1)
		_, err = d.runners[i].Run("a", "j", []byte("d"), program(int(benchRuntime.Milliseconds()), "ok"), benchDeadline/(1+baselineRetries))
		d.outstanding[i].Add(-1)
		if err == nil {
			return nil
		}
	}
	return err
}

// BenchmarkOverload measures goodput at 50, 100 and 150 % of the capacity, with all
// runners and with 4 of 11 down, against two baselines.
func BenchmarkOverload(b *testing.B) {
	for _, down := range []int{0, 4} {
		for _, percent := range []int{50, 100, 150} {
			for _, method := range []string{"jaystile", "random_retries", "least_outstanding"} {
				b.Run(fmt.Sprintf("%s/load=%d%%/runners_out=%d", method, percent, down), func(b *testing.B) {
					r := startBenchFleet(b)
					for n := range down {
						r.fleet.runners[n].SetFaults(jaystandin.RunnerFaults{Down: true})
					}
					l := r.newLoad("order-desk", benchCapacity*float64(percent)/100)
					if method != "jaystile" {
						d := &directSender{leastOutstanding: method == "least_outstanding", outstanding: make([]atomic.Int64, workers)}
						for i := range workers {
							c, closeRunner := jayplatform.NewRunner(r.fleet.agentSettings[i].Runner, 4096)
							b.Cleanup(closeRunner)
							d.runners = append(d.runners, c)
						}
						l.Send = d.send
					}
					res, err := l.Run(context.Background())
					assert.NilError(b, err)
					report(b, res, r.startedRuns())
				})
			}
		}
	}
}

// BenchmarkBurst measures the requests of one workspace, without and with another
// workspace that sends ten times as many.
func BenchmarkBurst(b *testing.B) {
	for _, burst := range []float64{0, 10} {
		b.Run(fmt.Sprintf("burst=%.0fx", burst), func(b *testing.B) {
			r := startBenchFleet(b)
			var wg conc.WaitGroup
			if burst > 0 {
				wg.Go(func() {
					_, err := r.newLoad("warehouse", burst*benchCapacity/4).Run(context.Background())
					assert.Check(b, err)
				})
			}
			res, err := r.newLoad("order-desk", benchCapacity/4).Run(context.Background())
			wg.Wait()
			assert.NilError(b, err)
			report(b, res, 0)
		})
	}
}

// BenchmarkUrgentStart measures urgent jobs on a pool that is full of preemptible
// deferrable jobs.
func BenchmarkUrgentStart(b *testing.B) {
	r := startBenchFleet(b)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for n := range 40 {
		workspace := []string{"warehouse", "purchasing"}[n%2]
		wg.Go(func() {
			_, _ = r.clients[workspace].Submit(ctx, jayapi.Submission{Kind: "filler", Class: "deferrable", Members: 1, Accelerators: 4, Near: "worker", Payload: program(20_000, "x"), Idempotent: true, Checkpointing: true, DeadlineMillis: 25_000, Wait: true})
		})
	}
	for !r.acceleratorsInUse(workers * accelerators) {
		time.Sleep(pollInterval)
	}
	l := r.newLoad("order-desk", 20)
	l.Submission.Accelerators = 1
	l.Submission.Payload = program(1, "ok")
	res, err := l.Run(context.Background())
	cancel()
	assert.NilError(b, err)
	report(b, res, 0)
}
