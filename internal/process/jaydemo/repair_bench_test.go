package jaydemo

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/pkg/jayapi"
)

// repairPatience bounds one repair.
const repairPatience = 60 * time.Second

// until returns how long it takes until f holds.
func until(b *testing.B, f func() bool) time.Duration {
	b.Helper()
	begin := time.Now()
	for !f() {
		if time.Since(begin) > repairPatience {
			b.Fatal("not repaired in time")
		}
		time.Sleep(pollEvery / 5)
	}
	return time.Since(begin)
}

// runningGang starts a long durable gang and returns it with the indices of the
// sides that run it.
func (r *run) runningGang(b *testing.B) (string, []int) {
	b.Helper()
	c := r.clients["dispatch"]
	c.Addresses = r.fleet.Addresses()[:1]
	j, err := c.Submit(context.Background(), gang("long", 50_000))
	assert.NilError(b, err)
	until(b, func() bool { return r.held(16) })
	c.Addresses = r.fleet.Addresses()[1:]
	s, err := r.operator.Status(context.Background())
	assert.NilError(b, err)
	var sides []int
	for i, w := range s.Workers {
		if len(w.Holds) > 0 {
			sides = append(sides, i)
		}
	}
	return j.ID, sides
}

// BenchmarkRepair measures the time from a kill to the repair, with the default
// timeouts (silence 2 s, lease 4 s). What is killed does not come back.
func BenchmarkRepair(b *testing.B) {
	b.Run("entry: its gang is adopted", func(b *testing.B) {
		r := benchFleet(b)
		id, _ := r.runningGang(b)
		r.fleet.KillEntry(0)
		took := until(b, func() bool {
			j, err := r.clients["dispatch"].Job(context.Background(), id, 0)
			return err == nil && j.Entry != "" && j.Entry != "entry-1"
		})
		b.ReportMetric(took.Seconds(), "repair-s")
	})
	b.Run("side: its gang runs elsewhere", func(b *testing.B) {
		r := benchFleet(b)
		_, sides := r.runningGang(b)
		r.fleet.KillAgent(sides[1])
		b.ReportMetric(until(b, func() bool { return r.gangElsewhere(sides[1:]) }).Seconds(), "repair-s")
	})
	b.Run("data centre: its gang runs elsewhere", func(b *testing.B) {
		r := benchFleet(b)
		_, sides := r.runningGang(b)
		centre := r.fleet.Deployment.WorkerLocation(sides[0]).DataCentre
		var lost []int
		for i := range workers {
			if r.fleet.Deployment.WorkerLocation(i).DataCentre == centre {
				r.fleet.KillAgent(i)
				lost = append(lost, i)
			}
		}
		b.ReportMetric(until(b, func() bool { return r.gangElsewhere(lost) }).Seconds(), "repair-s")
	})
	b.Run("all entries: a quote is answered", func(b *testing.B) {
		r := benchFleet(b)
		for i := range 3 {
			r.fleet.KillEntry(i)
		}
		begin := time.Now()
		for i := range 3 {
			assert.NilError(b, r.fleet.StartEntry(i))
		}
		until(b, func() bool {
			_, err := r.clients["order-desk"].Submit(context.Background(), jayapi.Submission{Kind: "pricecheck", Class: "urgent", Members: 1, Accelerators: 1, Payload: program(1, "q"), Idempotent: true, Wait: true})
			return err == nil
		})
		b.ReportMetric(time.Since(begin).Seconds(), "repair-s")
	})
}

// gangElsewhere reports whether sixteen accelerators are held by running tasks
// away from the lost sides.
func (r *run) gangElsewhere(lost []int) bool {
	running := 0
	for i, w := range r.fleet.workers {
		gone := false
		for _, n := range lost {
			gone = gone || n == i
		}
		if !gone && strings.Contains(w.TaskStates(), "running") {
			running++
		}
	}
	return running >= 2
}
