package jaycell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// userWait is how long users let a job wait beside idle room.
const userWait = 3 * time.Second

// newRacks returns a pool of three racks of three runners.
func newRacks(t *testing.T) *failing {
	f := newFailing(t, 9)
	f.racks = map[string]string{}
	for i, r := range f.runners {
		f.racks[r] = fmt.Sprint("r1-", i/3+1)
	}
	f.step()
	return f
}

// serve lets a daemon task run in a rack, or in any if that is empty.
func (f *failing) serve(id, rack string, s jaytask.Step) {
	s.Daemon, s.Label = true, rack
	f.submit(id, 1, "w", s)
	f.step()
}

// waits returns how long a job waits for its first start, at most limit.
func (f *failing) waits(id string, limit time.Duration) time.Duration {
	const tick = 100 * time.Millisecond
	for waited := time.Duration(0); waited < limit; waited += tick {
		if f.cell.jobs[id].started {
			return waited
		}
		f.step()
	}
	return limit
}

// Guards against a preference that has no end: a job never starts although most of the pool is empty,
// since what it waits for is held by work that does not end soon, or ever.
func TestJobStartsInIdleRoom(t *testing.T) {
	wholeRunners := jaytask.Step{Count: 3, Gang: true, SameRack: true, Resources: jaytask.Resources{CPU: 26000, Memory: 38000, Accelerators: 8}, Estimate: 3 * time.Second}
	racks := []string{"r1-1", "r1-2", "r1-3"}
	for _, c := range []struct {
		name  string
		begin func(f *failing)
		step  jaytask.Step
		// priority is the job's.
		priority int
	}{
		{name: "a gang for one rack beside serving tasks", step: wholeRunners, priority: 1, begin: func(f *failing) {
			for i, rack := range racks {
				f.serve(fmt.Sprint("serve", i), rack, step(1, 1))
			}
		}},
		{name: "a gang for one rack beside long tasks of a higher priority", step: wholeRunners, priority: 1, begin: func(f *failing) {
			for i, rack := range racks {
				s := step(1, 1)
				s.Label, s.Estimate = rack, time.Minute
				f.submit(fmt.Sprint("long", i), 0, "w", s)
				f.step()
			}
		}},
		{name: "a task whose data is in a full rack", step: jaytask.Step{Count: 1, DataRack: "r1-1", Resources: jaytask.Resources{Accelerators: 8}, Estimate: time.Minute}, priority: 1, begin: func(f *failing) {
			f.serve("serve", "r1-1", step(3, 8))
		}},
		{name: "a gang of serving tasks for one rack", step: func() jaytask.Step { s := wholeRunners; s.Daemon = true; return s }(), priority: 1, begin: func(f *failing) {
			for i, rack := range racks {
				f.serve(fmt.Sprint("serve", i), rack, step(1, 1))
			}
		}},
		{name: "a patient task beside headroom that is not used", step: jaytask.Step{Count: 1, Resources: jaytask.Resources{Accelerators: 8, Memory: 15000}, Estimate: 11 * time.Second}, priority: 2, begin: func(f *failing) {
			f.submit("large", 0, "w", jaytask.Step{Count: 18, Resources: jaytask.Resources{CPU: 7500, Memory: 15000, Accelerators: 8}, Estimate: 8 * time.Second})
			f.step()
			f.submit("first", 2, "w", jaytask.Step{Count: 6, Resources: jaytask.Resources{Accelerators: 8, Memory: 15000}, Estimate: 11 * time.Second})
			f.step()
		}},
		{name: "a task that avoids the only runners with room", step: jaytask.Step{Count: 1, Resources: jaytask.Resources{Accelerators: 4}, Estimate: 2 * time.Second}, priority: 1, begin: func(f *failing) {
			for i, runner := range f.runners[:7] {
				f.serve(fmt.Sprint("serve", i), f.racks[runner], step(1, 5))
			}
			f.step()
			for _, r := range f.cell.runners {
				if len(r.placements) == 0 {
					r.speed, r.speedAt = slowSpeed/2, f.now+time.Hour
				}
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRacks(t)
			f.cell.settings.RemoteSlowdown = 3
			c.begin(f)
			f.submit("job", c.priority, "w", c.step)
			waited := f.waits("job", 30*time.Second)
			assert.Assert(t, waited >= maxIdleWait && waited < userWait, "waited %s", waited)
		})
	}
}

// A suspect starts where it has crashed a runner if it fits nowhere else.
func TestSuspectStartsWhereItHasCrashed(t *testing.T) {
	f := newFailing(t, 4)
	f.step()
	large := jaytask.Step{Count: 1, Resources: jaytask.Resources{Memory: 65000}}
	for i := range 3 {
		s := large
		s.Resources.Memory = 69000
		f.serve(fmt.Sprint("serve", i), "", s)
	}
	large.Estimate = 5 * time.Second
	f.submit("job", 1, "w", large)
	f.step()
	crashed := ""
	for _, r := range f.runners {
		if slices.ContainsFunc(f.running[r], func(x Run) bool { return x.Task == "job.0.0.0" }) {
			crashed = r
		}
	}
	assert.Assert(t, crashed != "")
	f.runners = slices.DeleteFunc(f.runners, func(r string) bool { return r == crashed })
	next := crashed + "-next"
	f.report("n-"+crashed, next, func(p *Report) {
		p.Crashes = []Crash{{Runner: crashed, Runs: []CrashedRun{{Task: "job.0.0.0", Run: 1}}}}
	})
	f.advance(0)
	assert.Assert(t, f.cell.jobs["job"].unitFor(0, 0, 0).isSuspect())
	waited := time.Duration(0)
	for ; f.cell.jobs["job"].unitFor(0, 0, 0).run == 1 && waited < 20*time.Second; waited += 100 * time.Millisecond {
		f.report("n-"+crashed, next, nil)
		f.step()
	}
	assert.Assert(t, waited < userWait, "waited %s", waited)
}

// What has no idle room keeps waiting for what it prefers.
func TestPreferencesHoldWithoutIdleRoom(t *testing.T) {
	gang := jaytask.Step{Count: 3, Gang: true, SameRack: true, Resources: jaytask.Resources{Accelerators: 8}, Estimate: 3 * time.Second}
	for _, c := range []struct {
		name  string
		begin func(f *failing)
	}{
		{"room for one gang only", func(f *failing) {
			for i, rack := range []string{"r1-1", "r1-2", "r1-3"} {
				f.serve(fmt.Sprint("serve", i), rack, step(1, 1))
			}
			s := step(1, 8)
			f.serve("more", "r1-1", s)
		}},
		{"half of the service in use", func(f *failing) {
			for i, rack := range []string{"r1-1", "r1-2", "r1-3"} {
				s := step(1, 1)
				s.Resources.CPU = 64000
				f.serve(fmt.Sprint("cpu", i), rack, s)
				s.Resources = jaytask.Resources{CPU: 60000, Accelerators: 0}
				f.serve(fmt.Sprint("more", i), rack, jaytask.Step{Count: 2, Resources: s.Resources, MaxPerRunner: 1})
				f.serve(fmt.Sprint("accelerators", i), rack, step(1, 7))
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRacks(t)
			c.begin(f)
			f.submit("job", 1, "w", gang)
			assert.Equal(t, f.waits("job", 5*time.Second), 5*time.Second)
		})
	}
}

// Jobs of all kinds come and end beside serving work in racks, on slow and failing runners. None waits
// for longer than users allow while they find idle room for it.
func TestNoJobWaitsBesideIdleRoom(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playIdleRoom(t, rand.New(rand.NewPCG(seed, 8))) })
	}
}

func playIdleRoom(t *testing.T, r *rand.Rand) {
	f := newRacks(t)
	f.cell.settings.RemoteSlowdown = 3
	racks := []string{"r1-1", "r1-2", "r1-3"}
	for i := range r.IntN(9) {
		f.serve(fmt.Sprint("serve", i), racks[r.IntN(3)], step(1, 1+r.IntN(8)))
	}
	idleSince := map[string]time.Duration{}
	for n := range 300 {
		if n%20 == 0 && n < 200 {
			f.submit(fmt.Sprint("job", n), r.IntN(4), "w", randomStep(r, racks))
		}
		if r.IntN(40) == 0 {
			slow := f.cell.runners[f.runners[r.IntN(len(f.runners))]]
			slow.speed, slow.speedAt = slowSpeed/2, f.now
		}
		// Some runs end.
		for _, runner := range f.runners {
			f.running[runner] = slices.DeleteFunc(f.running[runner], func(x Run) bool {
				if x.Task[:3] != "job" || r.IntN(60) > 0 {
					return false
				}
				f.ends[runner]++
				f.report("n-"+runner, runner, func(p *Report) {
					p.Finished = []End{{Number: f.ends[runner], Task: x.Task, Run: x.Run, Reason: EndDone}}
				})
				return true
			})
		}
		f.step()
		for id, j := range f.cell.jobs {
			if !f.waitsBesideIdleRoom(j) {
				delete(idleSince, id)
				continue
			}
			if idleSince[id] == 0 {
				idleSince[id] = f.now
			}
			assert.Assert(t, f.now-idleSince[id] < userWait, "%s waits beside idle room for %s: %+v", id, f.now-idleSince[id], j.spec.Steps[0])
		}
	}
}

// randomStep returns a step of single tasks or a gang, with preferences.
func randomStep(r *rand.Rand, racks []string) jaytask.Step {
	s := jaytask.Step{Count: 1 + r.IntN(6), Resources: jaytask.Resources{CPU: 1000 * r.IntN(30), Memory: 1000 * r.IntN(60), Accelerators: r.IntN(9)}, Estimate: time.Duration(1+r.IntN(60)) * time.Second, Checkpoint: r.IntN(2) == 0}
	switch r.IntN(4) {
	case 0:
		s.Gang = true
	case 1:
		s.Gang, s.SameRack = true, true
	case 2:
		s.DataRack = racks[r.IntN(3)]
	}
	return s
}

// waitsBesideIdleRoom reports, as users see it, whether nothing of a job runs although there is room
// for its first step's next start twice over and under half of each resource is in use.
func (f *failing) waitsBesideIdleRoom(j *job) bool {
	if j.state.Ended() {
		return false
	}
	for _, u := range j.units {
		if u.phase == phaseActive {
			return false
		}
	}
	s := j.spec.Steps[0]
	need := idleRoomFactor
	if s.Gang {
		need *= s.Count
	}
	var used, capacity jaytask.Resources
	slots := 0
	for _, r := range f.cell.runners {
		used, capacity = used.Add(r.info.Capacity.Sub(r.available())), capacity.Add(r.info.Capacity)
		if r.hasLabel(s.Label) {
			slots += s.Resources.CountIn(r.available(), need)
		}
	}
	return slots >= need && 2*used.CPU < capacity.CPU && 2*used.Memory < capacity.Memory && 2*used.Accelerators < capacity.Accelerators
}
