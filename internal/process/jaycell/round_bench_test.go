package jaycell

import (
	"fmt"
	"testing"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// BenchmarkRound measures one round of decisions on a pool that is full of small tasks,
// while gangs of whole workers wait that may not preempt enough of them.
func BenchmarkRound(b *testing.B) {
	const accelerators, rackSize, gangs = 8, 8, 20
	for _, workers := range []int{75, 300, 1000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			now, wall := time.Hour, time.UnixMilli(1_700_000_000_000)
			c := New(testSettings(1, nil), now, wall)
			submit := func(id string, priority int, s jaytask.Step) {
				c.Submit(&jaytask.Job{ID: id, Steps: []jaytask.Step{s}, Accepted: wall, Policy: jaytask.Policy{Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 3, Objective: time.Second}})
			}
			report := func() {
				for i := range workers {
					p := Report{Node: fmt.Sprint("n", i), Sequence: int64(now), Term: 1, Responsive: true, Runner: RunnerInfo{ID: fmt.Sprint("r", i), Service: "s", Labels: []string{fmt.Sprint("r-", i/rackSize)}, Capacity: jaytask.Resources{CPU: 32000, Memory: 131072, Accelerators: accelerators}}}
					if r := c.runners[p.Runner.ID]; r != nil {
						for _, pl := range r.placements {
							p.Running = append(p.Running, Run{Task: pl.name, Run: pl.run, Percent: 1})
						}
					}
					c.ApplyReport(p)
				}
			}
			report()
			for i := range workers * accelerators {
				submit(fmt.Sprintf("small%05d", i), 2, step(1, 1))
			}
			c.Tick()
			c.ConfirmStored(c.TakeBatch())
			now, wall = now+time.Second, wall.Add(time.Second)
			c.SetTime(now, wall)
			report()
			for i := range gangs {
				// Their own work is too short to stop that of others.
				s := step(2+i%6, accelerators)
				s.Gang, s.SameRack, s.Estimate = true, i%2 == 0, 10*time.Millisecond
				submit(fmt.Sprintf("gang%02d", i), i%2, s)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.Tick()
			}
			if n := len(c.TakeImmediateOrders()); n > 0 {
				b.Fatalf("%d tasks were stopped", n)
			}
		})
	}
}

// BenchmarkRoundWithEvacuation measures one round of decisions on a pool of three data centres
// that is full of small tasks, while more of them and gangs wait: without evacuations, and with
// one of the data centres evacuated.
func BenchmarkRoundWithEvacuation(b *testing.B) {
	const accelerators, rackSize, dataCentres, gangs, waiting = 8, 8, 3, 20, 100
	for _, workers := range []int{80, 300, 1000} {
		for _, evacuated := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/evacuated=%v", workers, evacuated), func(b *testing.B) {
				now, wall := time.Hour, time.UnixMilli(1_700_000_000_000)
				settings, requested := testSettings(1, nil), false
				if evacuated {
					settings.Evacuated = func(dataCentre string) bool { return requested && dataCentre == "0" }
				}
				c := New(settings, now, wall)
				submit := func(id string, priority int, s jaytask.Step) {
					c.Submit(&jaytask.Job{ID: id, Steps: []jaytask.Step{s}, Accepted: wall, Policy: jaytask.Policy{Service: "s", Priority: priority, MaxAttempts: 2, Stretch: 3, Objective: time.Second}})
				}
				report := func() {
					for i := range workers {
						rack := i / rackSize
						p := Report{Node: fmt.Sprint("n", i), Sequence: int64(now), Term: 1, Responsive: true, Runner: RunnerInfo{ID: fmt.Sprint("r", i), Service: "s", DataCentre: fmt.Sprint(rack % dataCentres), Labels: []string{fmt.Sprint("r-", rack)}, Capacity: jaytask.Resources{CPU: 32000, Memory: 131072, Accelerators: accelerators}}}
						if r := c.runners[p.Runner.ID]; r != nil {
							for _, pl := range r.placements {
								p.Running = append(p.Running, Run{Task: pl.name, Run: pl.run, Percent: 1})
							}
						}
						c.ApplyReport(p)
					}
				}
				report()
				for i := range workers*accelerators + waiting {
					submit(fmt.Sprintf("small%05d", i), 2, step(1, 1))
				}
				c.Tick()
				c.ConfirmStored(c.TakeBatch())
				requested = true
				now, wall = now+2*withdrawalDelay, wall.Add(2*withdrawalDelay)
				c.SetTime(now, wall)
				report()
				for i := range gangs {
					// Their own work is too short to stop that of others.
					s := step(2+i%6, accelerators)
					s.Gang, s.SameRack, s.Estimate = true, i%2 == 0, 10*time.Millisecond
					submit(fmt.Sprintf("gang%02d", i), i%2, s)
				}
				b.ReportAllocs()
				for b.Loop() {
					c.Tick()
				}
				if n := len(c.TakeImmediateOrders()); n > 0 {
					b.Fatalf("%d tasks were stopped", n)
				}
			})
		}
	}
}

// wideJob returns a job of many steps, of which the first has all tasks but one a further step. Each
// step waits for all before it.
func wideJob(id string, accepted time.Time, steps, tasks int) *jaytask.Job {
	j := &jaytask.Job{ID: id, Accepted: accepted, Policy: jaytask.Policy{Route: "wide", Service: "s", Priority: 2, MaxAttempts: 2, Stretch: 3, Objective: time.Second}}
	for i := range steps {
		s := step(1, 1)
		if i == 0 {
			s.Count = tasks - steps + 1
		}
		for a := range i {
			s.After = append(s.After, a)
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

// BenchmarkRoundWithWideJob measures one round of decisions while a wide job waits for a pool that
// is full of its own tasks.
func BenchmarkRoundWithWideJob(b *testing.B) {
	const workers, accelerators = 11, 8
	for _, tasks := range []int{5000, 10_000, 20_000} {
		for _, steps := range []int{1, 64, 256} {
			b.Run(fmt.Sprintf("%d/%d", tasks, steps), func(b *testing.B) {
				now, wall := time.Hour, time.UnixMilli(1_700_000_000_000)
				c := New(testSettings(1, nil), now, wall)
				for i := range workers {
					c.ApplyReport(Report{Node: fmt.Sprint("n", i), Sequence: int64(now), Term: 1, Responsive: true, Runner: RunnerInfo{ID: fmt.Sprint("r", i), Service: "s", Capacity: jaytask.Resources{CPU: 32000, Memory: 131072, Accelerators: accelerators}}})
				}
				c.Submit(wideJob("wide", wall, steps, tasks))
				c.Tick()
				c.ConfirmStored(c.TakeBatch())
				b.ReportAllocs()
				for b.Loop() {
					now, wall = now+time.Microsecond, wall.Add(time.Microsecond)
					c.SetTime(now, wall)
					c.Tick()
				}
			})
		}
	}
}

// BenchmarkRoundWithManyJobs measures one round of decisions while small jobs wait for a pool that is full
// of others.
func BenchmarkRoundWithManyJobs(b *testing.B) {
	for _, jobs := range []int{10_000, 30_000, 100_000} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			p := newFullPool(11, 8)
			for i := range jobs {
				p.submit(fmt.Sprintf("%016x", i*7919%jobs), 2, step(1, 1))
			}
			b.ReportAllocs()
			for b.Loop() {
				p.round()
			}
		})
	}
}
