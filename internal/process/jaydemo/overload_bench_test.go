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
	// benchWork at 88 slots makes a capacity of 440 requests a second.
	benchWork     = 200 * time.Millisecond
	benchCapacity = 440
	benchDeadline = 2 * time.Second
	benchSpan     = 6 * time.Second
	blindRetries  = 3
)

func benchFleet(b *testing.B) *run {
	b.Helper()
	f := NewFleet(kjaergaard(), 3, DefaultTiming(), zerolog.Nop())
	stop, err := f.Start(1)
	assert.NilError(b, err)
	b.Cleanup(stop)
	r := &run{demo: &Demo{Deployment: f.Deployment, Entries: 3}, fleet: f, judge: NewChecker(), clients: map[string]*jayclient.Client{}}
	b.Cleanup(r.connect())
	assert.NilError(b, r.prepare(context.Background()))
	return r
}

func (r *run) requests(workspace string, rate float64) *jayload.Load {
	return &jayload.Load{Client: r.clients[workspace], Rate: rate, Duration: benchSpan, Submission: jayapi.Submission{
		Kind: "bench", Class: "urgent", Members: 1, Payload: program(int(benchWork.Milliseconds()), "ok"), DeadlineMillis: benchDeadline.Milliseconds(), Idempotent: true,
	}}
}

// runs counts what the runners began.
func (r *run) begun() int {
	n := 0
	for _, w := range r.fleet.runners {
		n += len(w.Runs())
	}
	return n
}

func report(b *testing.B, res *jayload.Result, begun int) {
	b.ReportMetric(res.Goodput, "goodput/s")
	b.ReportMetric(float64(res.P50.Milliseconds()), "p50-ms")
	b.ReportMetric(float64(res.P99.Milliseconds()), "p99-ms")
	b.ReportMetric(100*float64(begun)/float64(res.Sent), "runs-per-100")
	b.ReportMetric(float64(res.NotRun+res.Unknown+res.Ran), "refused")
}

// direct is a baseline that sends straight to runners: at random, or to the one with the fewest
// requests outstanding; each try gets a share of the deadline, and three more
// tries follow blindly.
type direct struct {
	runners     []*jayplatform.Runner
	outstanding []atomic.Int64
	least       bool
}

func (d *direct) send(context.Context) error {
	var err error
	for range 1 + blindRetries {
		i := rand.IntN(len(d.runners))
		if d.least {
			for n := range d.runners {
				if d.outstanding[n].Load() < d.outstanding[i].Load() {
					i = n
				}
			}
		}
		d.outstanding[i].Add(1)
		_, err = d.runners[i].Run("a", "j", []byte("d"), program(int(benchWork.Milliseconds()), "ok"), benchDeadline/(1+blindRetries))
		d.outstanding[i].Add(-1)
		if err == nil {
			return nil
		}
	}
	return err
}

// BenchmarkOverload measures goodput from a quarter to one and a half times the
// capacity, healthy and with a third of the runners out, against two baselines.
func BenchmarkOverload(b *testing.B) {
	for _, out := range []int{0, 4} {
		for _, percent := range []int{50, 100, 150} {
			for _, way := range []string{"jaystile", "random_retries", "least_outstanding"} {
				b.Run(fmt.Sprintf("%s/load=%d%%/runners_out=%d", way, percent, out), func(b *testing.B) {
					r := benchFleet(b)
					for n := range out {
						r.fleet.runners[n].SetFaults(jaystandin.RunnerFaults{Down: true})
					}
					l := r.requests("order-desk", benchCapacity*float64(percent)/100)
					if way != "jaystile" {
						d := &direct{least: way == "least_outstanding", outstanding: make([]atomic.Int64, workers)}
						for i := range workers {
							c, closeRunner := jayplatform.NewRunner(r.fleet.sideSet[i].Runner, 4096)
							b.Cleanup(closeRunner)
							d.runners = append(d.runners, c)
						}
						l.Send = d.send
					}
					res, err := l.Run(context.Background())
					assert.NilError(b, err)
					report(b, res, r.begun())
				})
			}
		}
	}
}

// BenchmarkBurst measures one workspace's requests while another sends ten times
// as many as its quiet rate.
func BenchmarkBurst(b *testing.B) {
	for _, burst := range []float64{0, 10} {
		b.Run(fmt.Sprintf("burst=%.0fx", burst), func(b *testing.B) {
			r := benchFleet(b)
			var wg conc.WaitGroup
			if burst > 0 {
				wg.Go(func() {
					_, err := r.requests("warehouse", burst*benchCapacity/4).Run(context.Background())
					assert.Check(b, err)
				})
			}
			res, err := r.requests("order-desk", benchCapacity/4).Run(context.Background())
			wg.Wait()
			assert.NilError(b, err)
			report(b, res, 0)
		})
	}
}

// BenchmarkUrgentStart measures urgent jobs on a pool that is full of borrowable
// deferrable work.
func BenchmarkUrgentStart(b *testing.B) {
	r := benchFleet(b)
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	for n := range 40 {
		space := []string{"warehouse", "purchasing"}[n%2]
		wg.Go(func() {
			_, _ = r.clients[space].Submit(ctx, jayapi.Submission{Kind: "filler", Class: "deferrable", Members: 1, Accelerators: 4, Near: "worker", Payload: program(20_000, "x"), Idempotent: true, Checkpointing: true, DeadlineMillis: 25_000, Wait: true})
		})
	}
	for !r.held(workers * accelerators) {
		time.Sleep(pollEvery)
	}
	l := r.requests("order-desk", 20)
	l.Submission.Accelerators = 1
	l.Submission.Payload = program(1, "ok")
	res, err := l.Run(context.Background())
	cancel()
	assert.NilError(b, err)
	report(b, res, 0)
}
