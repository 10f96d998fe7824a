package jaysched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// BenchmarkDecide measures one decision round that starts one job on a nearly
// full pool while a queue of others waits.
func BenchmarkDecide(b *testing.B) {
	for _, c := range []struct{ workers, queued int }{{11, 1_000}, {128, 10_000}, {256, 10_000}, {256, 100_000}, {2000, 10_000}, {2000, 100_000}} {
		b.Run(fmt.Sprintf("workers=%d/queued=%d", c.workers, c.queued), func(b *testing.B) {
			s := fullScheduler(b, c.workers, c.queued)
			quote := benchSpec(b, jayjob.Urgent, 1, 1)
			b.ReportAllocs()
			b.ResetTimer()
			for n := range b.N {
				id := fmt.Sprintf("quote%d", n)
				s.Enqueue(NewJob(id, quote, time.Second))
				if len(s.Decide(time.Second)) == 0 {
					b.Fatal("the quote did not start")
				}
				s.Cancel(id)
			}
		})
	}
}

func benchSpec(tb testing.TB, class jayjob.Class, members, accelerators int) jayjob.Spec {
	shape, err := jayjob.NewShape(members, accelerators, jayjob.SameRack)
	assert.NilError(tb, err)
	s, err := jayjob.New(jayjob.Fields{Workspace: "b", Kind: fmt.Sprintf("%d-%d", members, accelerators), Class: class, Shape: shape, Idempotent: true, Checkpointing: true, Runtime: time.Hour})
	assert.NilError(tb, err)
	return s
}

// fullScheduler returns a scheduler with one free accelerator and a queue of jobs.
func fullScheduler(tb testing.TB, workers, queued int) *Scheduler {
	p := jaypool.New()
	for i := range workers {
		p.Add(fmt.Sprintf("w%05d", i), jaypool.NewLocation("dc", fmt.Sprintf("r%d", i/3), "c"), 8)
	}
	s := New(p)
	b, err := jaymanifest.Draft{Deployment: "t", Weights: jaymanifest.NewWeights(1, 1), Workspaces: []jaymanifest.DraftWorkspace{{Name: "b", Key: jaymanifest.DeterministicCredential("b"), Share: 1}}}.Encode()
	assert.NilError(tb, err)
	m, err := jaymanifest.Parse(b)
	assert.NilError(tb, err)
	s.Configure(m.WithVersion(1))
	for i := range workers {
		n := 8
		if i == workers/2 {
			n = 7
		}
		j := s.Adopt(fmt.Sprintf("held%d", i), benchSpec(tb, jayjob.Standard, 1, n), 0)
		_, err := p.Allocate(fmt.Sprintf("w%05d", i), j.allocation(j.id, n, 0))
		assert.NilError(tb, err)
	}
	for i := range queued {
		s.Enqueue(NewJob(fmt.Sprintf("q%d", i), benchSpec(tb, jayjob.Standard, 2, 1+i%8), 0))
	}
	return s
}
