package jaycell

import (
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// headroomShare bounds the headroom, as a fraction of the pool: patient work always gets the
	// rest of it.
	headroomShare = 0.5
	// firstPatientPriority is the first priority that leaves headroom. Priority 1 leaves the
	// reserve for urgent work only (reserve.go).
	firstPatientPriority = 2
	// urgentLevel is the level of the urgent work, for the reserve.
	urgentLevel = 1
)

// Patient work has the longest objectives, so that a delay costs its callers least. Started into
// every gap, it is stopped again by each wave of more urgent jobs: these wait for the stops, and
// its work is lost. So it leaves free what all more urgent work of its service wanted recently,
// unless it has no slack left to wait.

// level is all work of a service that is more urgent than a priority.
type level struct {
	service string
	below   int
}

// use holds the resources that work has, and those that it wants including them.
type use struct{ allocated, wanted jaytask.Resources }

func (x use) add(o use) use {
	return use{allocated: x.allocated.Add(o.allocated), wanted: x.wanted.Add(o.wanted)}
}

// peakUse is the recent peak of the resources that the work of a level wanted.
type peakUse struct{ accelerators, memory demand }

// record updates the peak.
func (p *peakUse) record(now time.Duration, wanted jaytask.Resources) {
	p.accelerators.record(now, wanted.Accelerators)
	p.memory.record(now, wanted.Memory)
}

// headroom returns the accelerators and memory to keep free, given those that the work has and
// the size of the pool.
func (p *peakUse) headroom(allocated, pool jaytask.Resources) jaytask.Resources {
	return jaytask.Resources{
		Accelerators: p.accelerators.reserveWithin(allocated.Accelerators, int(headroomShare*float64(pool.Accelerators))),
		Memory:       p.memory.reserveWithin(allocated.Memory, int(headroomShare*float64(pool.Memory))),
	}
}

// useOf returns the use of a job that has not ended. What does not fit the present pool wants
// nothing.
func (c *Cell) useOf(j *job) use {
	var x use
	j.eachStep(func(id stepID, units []*unit) {
		s := j.spec.Steps[id.step]
		members := unitSize(s)
		active, waiting := countActive(units), 0
		if c.poolSlots(j, id.step) >= members {
			waiting = countPhase(units, phaseWaiting)
		}
		n := s.Allocation().Times(members)
		x = x.add(use{allocated: n.Times(active), wanted: n.Times(active + waiting)})
	})
	return x
}

// usesByLevel returns the use of resources by the urgent work and by the levels that patient
// work leaves headroom for.
func (c *Cell) usesByLevel() map[level]use {
	uses, least := map[level]use{}, map[string]int{}
	for _, j := range c.jobs {
		if j.state.Ended() {
			continue
		}
		p := j.spec.Policy
		least[p.Service] = max(least[p.Service], p.Priority)
		k := level{service: p.Service, below: max(p.Priority+1, firstPatientPriority)}
		x := c.useOf(j)
		uses[k] = uses[k].add(x)
		if p.Priority == 0 {
			k.below = urgentLevel
			uses[k] = uses[k].add(x)
		}
	}
	for service, last := range least {
		for below := firstPatientPriority + 1; below <= last; below++ {
			k := level{service: service, below: below}
			uses[k] = uses[k].add(uses[level{service: service, below: below - 1}])
		}
	}
	return uses
}

// keepHeadroom sets the resources that patient work may use, by level. total and free are those
// of the candidates, by service.
func (r *round) keepHeadroom(uses map[level]use, total, free map[string]jaytask.Resources) {
	c := r.cell
	for k, x := range uses {
		if k.below < firstPatientPriority {
			continue
		}
		p := c.peaks[k]
		if p == nil {
			p = &peakUse{}
			c.peaks[k] = p
		}
		p.record(c.now, x.wanted)
		r.patientRoom[k] = free[k.service].Sub(p.headroom(x.allocated, total[k.service]))
	}
}

// mayUseHeadroom reports whether a unit may start as far as the headroom is concerned: if it is
// not patient work, fits beside the headroom, or has no slack left to wait and has not expired.
func (r *round) mayUseHeadroom(u *unit) bool {
	p := u.job.spec.Policy
	need := u.spec().Allocation().Times(u.count)
	if need.Accelerators == 0 || u.spec().Daemon {
		return true
	}
	for below := firstPatientPriority; below <= p.Priority; below++ {
		room, known := r.patientRoom[level{service: p.Service, below: below}]
		if known && (need.Accelerators > room.Accelerators || need.Memory > room.Memory) {
			return r.cell.slack(u) < reserveSlack && !r.cell.expired(u.job)
		}
	}
	return true
}

// takePatientRoom counts what a new placement takes of the room for patient work.
func (r *round) takePatientRoom(service string, taken jaytask.Resources) {
	for k, room := range r.patientRoom {
		if k.service == service {
			r.patientRoom[k] = room.Sub(taken)
		}
	}
}

// WaitingForHeadroom returns how many units the headroom kept waiting in the last round.
func (c *Cell) WaitingForHeadroom() int { return c.waitingForHeadroom }
