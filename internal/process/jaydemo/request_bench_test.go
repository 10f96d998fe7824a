package jaydemo

import (
	"context"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayplatform"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayclient"
)

// BenchmarkRequest compares a request through entry and agent with the same
// request sent directly to a runner.
func BenchmarkRequest(b *testing.B) {
	f := NewFleet(kjaergaard(), 1, DefaultTiming(), zerolog.Nop())
	stop, err := f.Start(1)
	assert.NilError(b, err)
	defer stop()
	r := &run{demo: &Demo{Deployment: f.Deployment, Entries: 1}, fleet: f, checker: NewChecker(), clients: map[string]*jayclient.Client{}}
	defer r.createClients()()
	assert.NilError(b, r.publishManifest(context.Background()))
	c, closeClient := jayclient.New(f.Addresses()...)
	defer closeClient()
	c.Workspace, c.Key = "order-desk", WorkspaceKey("order-desk")
	body := jayapi.Submission{Kind: "bench", Class: "urgent", Members: 1, Payload: []byte("x"), Idempotent: true, Wait: true}
	b.Run("through entry and side", func(b *testing.B) {
		measure(b, func() error {
			_, err := c.Submit(context.Background(), body)
			return err
		})
	})
	b.Run("at most once", func(b *testing.B) {
		measure(b, func() error {
			once := body
			once.Idempotent = false
			once.Key = jayclient.NewKey()
			_, err := c.Submit(context.Background(), once)
			return err
		})
	})
	runner, closeRunner := jayplatform.NewRunner(f.agentSettings[0].Runner, connections)
	defer closeRunner()
	b.Run("straight to a runner", func(b *testing.B) {
		measure(b, func() error {
			_, err := runner.Run("a", "j", []byte("d"), []byte("x"), time.Second)
			return err
		})
	})
}

func measure(b *testing.B, f func() error) {
	h := hdrhistogram.New(1, 60_000_000, 3)
	b.ReportAllocs()
	for b.Loop() {
		begin := time.Now()
		assert.NilError(b, f())
		assert.NilError(b, h.RecordValue(max(time.Since(begin).Microseconds(), 1)))
	}
	b.ReportMetric(float64(h.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
}
