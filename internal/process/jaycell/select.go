package jaycell

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// localityWaitFactor is how long a unit waits for the rack of its data before it
	// may run elsewhere, as a factor of its estimated run time.
	localityWaitFactor = 1.0
)

// selection holds the runners for the members of a unit and the units that must be
// preempted first.
type selection struct {
	runners []*candidate
	victims []*unit
	cost    float64
}

// selectRunners selects runners for n members like those of u within one of its scopes.
// The units in costs may be preempted; with nil costs, none.
func (r *round) selectRunners(u *unit, n int, costs map[*unit]float64) (selection, bool) {
	var best selection
	found := false
	for _, candidates := range r.scopes(u) {
		sel, ok := r.assign(u, n, candidates, costs)
		if ok && (!found || sel.cost < best.cost) {
			best, found = sel, true
		}
		// No scope can cost less than nothing.
		if found && best.cost == 0 {
			break
		}
	}
	return best, found
}

// scopes returns the sets of candidates within which a unit runs at full speed. Racks
// are sorted by free accelerators, the fewest first (best fit).
func (r *round) scopes(u *unit) [][]*candidate {
	s := u.spec()
	if s.DataRack != "" {
		return [][]*candidate{r.eligible(u, s.DataRack)}
	}
	if !s.SameRack || u.count == 1 {
		return [][]*candidate{r.eligible(u, "")}
	}
	var all [][]*candidate
	for _, rack := range r.racks {
		all = append(all, r.eligible(u, rack))
	}
	sort.SliceStable(all, func(i, j int) bool { return freeAccelerators(all[i]) < freeAccelerators(all[j]) })
	return all
}

func freeAccelerators(candidates []*candidate) int {
	n := 0
	for _, cand := range candidates {
		n += cand.free.Accelerators
	}
	return n
}

// mayRunRemote reports whether a unit may run at reduced speed, away from its data or
// across racks: when no rack could ever hold it, when it is guaranteed, or when it
// has waited for its data's rack for localityWaitFactor times its run time.
func (r *round) mayRunRemote(u *unit) bool {
	s := u.spec()
	if s.DataRack == "" && (!s.SameRack || u.count == 1) {
		return false
	}
	if r.isGuaranteed(u.job) || !r.fitsOneRack(u) {
		return true
	}
	waited := r.cell.wall.Sub(u.job.spec.Accepted)
	return s.DataRack != "" && waited > time.Duration(localityWaitFactor*float64(r.cell.estimate(u.job, u.step)))
}

// fitsOneRack reports whether one of the scopes could hold the unit when empty.
func (r *round) fitsOneRack(u *unit) bool {
	for _, candidates := range r.scopes(u) {
		n := 0
		for _, cand := range candidates {
			n += capacityFor(cand.runner.info.Capacity, u, u.count)
		}
		if n >= u.count {
			return true
		}
	}
	return false
}

// capacityFor returns how many of n members of a unit an empty runner holds.
func capacityFor(capacity jaytask.Resources, u *unit, n int) int {
	s := u.spec()
	n = min(n, u.runLimit())
	if s.MaxPerRunner > 0 {
		n = min(n, s.MaxPerRunner)
	}
	return s.Allocation().CountIn(capacity, n)
}

// eligible returns the candidates of a rack, or of all racks, that may run the unit. A
// suspect gets none of a node where a runner has crashed under it unless it needs it.
// Runners on which the unit failed recently, slow ones and those on probation or on trial
// are left out as long as the others could hold the unit.
func (r *round) eligible(u *unit, rack string) []*candidate {
	var preferred, avoided []*candidate
	// slots counts the members that the preferred runners could hold when empty.
	slots := 0
	advice := r.cell.adviceFor(u)
	shunsCrashes := u.isSuspect() && r.holdsElsewhere(u)
	candidates := r.candidates
	if rack != "" {
		candidates = r.byRack[rack]
	}
	r.work += len(candidates)
	for _, cand := range candidates {
		runner := cand.runner
		if !runner.eligibleFor(u) || !advice.allows(runner.id) || !r.keepsApart(u, cand) || shunsCrashes && u.hasCrashedOn(runner.node) {
			continue
		}
		if r.cell.now < u.avoidUntil[runner.id] || r.cell.now < runner.avoidUntil || runner.isSlow(r.cell.now) || !runner.mayTry(u) {
			avoided = append(avoided, cand)
			continue
		}
		preferred = append(preferred, cand)
		slots += capacityFor(runner.info.Capacity, u, u.count)
	}
	if slots < u.count {
		return append(preferred, avoided...)
	}
	return preferred
}

// preemptionOption is the cheapest way to make room for one member on a candidate. It is
// known until resources or placements of the candidate change.
type preemptionOption struct {
	victims         []*unit
	cost            float64
	known, possible bool
}

// fastRunnerRank is the leftover for which an urgent unit takes a runner of twice the
// speed, as in leftover.
const fastRunnerRank = 4000

// assign places the members one by one, each on the runner with the lowest
// preemption cost and then the smallest leftover (best fit). Urgent units prefer fast
// runners.
func (r *round) assign(u *unit, n int, candidates []*candidate, costs map[*unit]float64) (selection, bool) {
	free := make([]jaytask.Resources, len(candidates))
	slots := make([]int, len(candidates))
	counts := make([]int, len(candidates))
	request, limit, urgent := u.spec().Allocation(), u.spec().MaxPerRunner, u.job.spec.Policy.Priority == 0
	for i, cand := range candidates {
		free[i], slots[i] = cand.free, r.startSlots(u, cand)
		if limit > 0 {
			counts[i] = r.countSameStep(u, cand.runner)
		}
	}
	stopped := map[*unit]bool{}
	options := make([]preemptionOption, len(candidates))
	var sel selection
	for m := 0; m < n; m++ {
		r.work += len(candidates)
		best, victims, cost := -1, []*unit(nil), 0.0
		bestLeftover := 0
		for i, cand := range candidates {
			if slots[i] <= 0 {
				r.slotsShort = true
				continue
			}
			if limit > 0 && counts[i] >= limit {
				continue
			}
			// Without free resources, the member needs victims on this runner.
			var newVictims []*unit
			var newCost float64
			if !request.FitsIn(free[i]) {
				if costs == nil {
					continue
				}
				o := &options[i]
				if !o.known {
					r.work += len(cand.runner.placements)
					o.victims, o.cost, o.possible = cheapestVictims(request, free[i], cand, costs, stopped)
					o.known = true
				}
				if !o.possible {
					continue
				}
				newVictims, newCost = o.victims, o.cost
			}
			left := leftover(request, free[i], cand.runner)
			if urgent {
				left -= int(fastRunnerRank * cand.runner.speed)
			}
			if r.cell.isCold(cand.runner) {
				left += coldRunnerRank
			}
			if best < 0 || newCost < cost || newCost == cost && left < bestLeftover {
				best, victims, cost, bestLeftover = i, newVictims, newCost, left
			}
		}
		if best < 0 {
			return selection{}, false
		}
		// A victim is stopped as a whole, which frees resources on all its runners.
		for _, victim := range victims {
			stopped[victim] = true
			sel.victims = append(sel.victims, victim)
			for i, cand := range candidates {
				for _, pl := range victim.placements {
					if pl.runner == cand.runner {
						free[i] = free[i].Add(pl.resources)
						options[i].known = false
					}
				}
			}
		}
		sel.cost += cost
		free[best] = free[best].Sub(request)
		options[best].known = false
		counts[best]++
		slots[best]--
		sel.runners = append(sel.runners, candidates[best])
	}
	return sel, true
}

// leftover ranks a runner for a member by the free accelerators and then the free
// CPU that remain, to keep empty workers empty.
func leftover(request, free jaytask.Resources, runner *Runner) int {
	left := (free.Accelerators - request.Accelerators) * 1000
	if runner.info.Capacity.CPU > 0 {
		left += (free.CPU - request.CPU) * 1000 / runner.info.Capacity.CPU
	}
	return left
}

// countSameStep counts the placements of u's step on a runner.
func (r *round) countSameStep(u *unit, runner *Runner) int {
	count := 0
	for _, pl := range runner.placements {
		if pl.unit.job == u.job && pl.unit.step == u.step && pl.unit.occurrence == u.occurrence {
			count++
		}
	}
	return count
}
