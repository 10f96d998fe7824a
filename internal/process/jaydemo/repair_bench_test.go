package jaydemo

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/pkg/jayapi"
)

// repairTimeout bounds the wait for one recovery.
const repairTimeout = 60 * time.Second

// timeUntil returns the time until f returns true.
func timeUntil(b *testing.B, f func() bool) time.Duration {
	b.Helper()
	begin := time.Now()
	for !f() {
		if time.Since(begin) > repairTimeout {
			b.Fatal("not repaired in time")
		}
		time.Sleep(pollInterval / 5)
	}
	return time.Since(begin)
}

// startGang starts a long durable gang. It returns the job id and the indices of
// the agents that run its members.
func (r *run) startGang(b *testing.B) (string, []int) {
	b.Helper()
	c := r.clients["dispatch"]
	c.Addresses = r.fleet.Addresses()[:1]
	j, err := c.Submit(context.Background(), gangJob("long", 50_000))
	assert.NilError(b, err)
	timeUntil(b, func() bool { return r.acceleratorsInUse(16) })
	c.Addresses = r.fleet.Addresses()[1:]
	s, err := r.operator.Status(context.Background())
	assert.NilError(b, err)
	var agents []int
	for i, w := range s.Workers {
		if len(w.Holds) > 0 {
			agents = append(agents, i)
		}
	}
	return j.ID, agents
}

// BenchmarkRepair measures the time from a kill to recovery, with the default
// timeouts (silence 2 s, lease 4 s). Killed processes are not restarted, except in
// the case of all entries.
func BenchmarkRepair(b *testing.B) {
	b.Run("entry: its gang is adopted", func(b *testing.B) {
		r := startBenchFleet(b)
		id, _ := r.startGang(b)
		r.fleet.KillEntry(0)
		elapsed := timeUntil(b, func() bool {
			j, err := r.clients["dispatch"].Job(context.Background(), id, 0)
			return err == nil && j.Entry != "" && j.Entry != "entry-1"
		})
		b.ReportMetric(elapsed.Seconds(), "repair-s")
	})
	b.Run("side: its gang runs elsewhere", func(b *testing.B) {
		r := startBenchFleet(b)
		_, agents := r.startGang(b)
		r.fleet.KillAgent(agents[1])
		b.ReportMetric(timeUntil(b, func() bool { return r.gangMoved(agents[1:]) }).Seconds(), "repair-s")
	})
	b.Run("data centre: its gang runs elsewhere", func(b *testing.B) {
		r := startBenchFleet(b)
		_, agents := r.startGang(b)
		dataCentre := r.fleet.Deployment.WorkerLocation(agents[0]).DataCentre
		var killed []int
		for i := range workers {
			if r.fleet.Deployment.WorkerLocation(i).DataCentre == dataCentre {
				r.fleet.KillAgent(i)
				killed = append(killed, i)
			}
		}
		b.ReportMetric(timeUntil(b, func() bool { return r.gangMoved(killed) }).Seconds(), "repair-s")
	})
	b.Run("all entries: a quote is answered", func(b *testing.B) {
		r := startBenchFleet(b)
		for i := range 3 {
			r.fleet.KillEntry(i)
		}
		begin := time.Now()
		for i := range 3 {
			assert.NilError(b, r.fleet.StartEntry(i))
		}
		timeUntil(b, func() bool {
			_, err := r.clients["order-desk"].Submit(context.Background(), jayapi.Submission{Kind: "pricecheck", Class: "urgent", Members: 1, Accelerators: 1, Payload: program(1, "q"), Idempotent: true, Wait: true})
			return err == nil
		})
		b.ReportMetric(time.Since(begin).Seconds(), "repair-s")
	})
}

// gangMoved reports whether tasks run on at least two workers besides those of the
// killed agents.
func (r *run) gangMoved(killed []int) bool {
	running := 0
	for i, w := range r.fleet.workers {
		excluded := false
		for _, n := range killed {
			excluded = excluded || n == i
		}
		if !excluded && strings.Contains(w.TaskStates(), "running") {
			running++
		}
	}
	return running >= 2
}
