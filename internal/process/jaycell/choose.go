package jaycell

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// farPatience is the share of the estimated run time for which work waits for
	// its data's rack before it runs far away.
	localityWaitFactor = 1.0
)

// choice is where the members of a unit go, and which units must stop first.
type selection struct {
	runners []*candidate
	victims []*unit
	cost    float64
}

// choose finds runners for n members like those of a unit. Units with a cost may
// be stopped for it.
func (r *round) selectRunners(u *unit, n int, costs map[*unit]float64) (selection, bool) {
	var best selection
	found := false
	for _, views := range r.scopes(u) {
		sel, ok := r.assign(u, n, views, costs)
		if ok && (!found || sel.cost < best.cost) {
			best, found = sel, true
		}
		if found && best.cost == 0 && costs != nil {
			break
		}
	}
	if found || !r.mayRunFar(u) {
		return best, found
	}
	return r.assign(u, n, r.eligible(u, ""), costs)
}

// scopes returns the sets of runners that a unit is best placed within.
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

func freeAccelerators(views []*candidate) int {
	n := 0
	for _, v := range views {
		n += v.free.Accelerators
	}
	return n
}

// mayGoFar reports whether a unit may run at the reduced speed of work that is
// far from its data or spread over racks: when no rack could ever hold it, or
// when a guarantee demands it, or when it has waited longer than its run time.
func (r *round) mayRunFar(u *unit) bool {
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

// everNear reports whether empty runners of one rack could hold the unit.
func (r *round) fitsOneRack(u *unit) bool {
	for _, views := range r.scopes(u) {
		n := 0
		for _, v := range views {
			n += capacityFor(v.runner.info.Capacity, u, u.count)
		}
		if n >= u.count {
			return true
		}
	}
	return false
}

// capacityFor returns how many of n members of a unit an empty worker holds.
func capacityFor(capacity jaytask.Resources, u *unit, n int) int {
	s := u.spec()
	if s.MaxPerRunner > 0 {
		n = min(n, s.MaxPerRunner)
	}
	return s.Allocation().CountIn(capacity, n)
}

// usable returns the runners of a rack, or of all, that may run the unit. Those
// on which it failed lately, or which fail everything, are left out while the
// others could hold it.
func (r *round) eligible(u *unit, rack string) []*candidate {
	var preferred, avoided []*candidate
	slots := 0
	advice := r.cell.adviceFor(u)
	for _, v := range r.candidates {
		runner := v.runner
		if !runner.eligibleFor(u) || rack != "" && v.rack != rack || !advice.allows(runner.id) {
			continue
		}
		if r.cell.now < u.avoidUntil[runner.id] || r.cell.now < runner.avoidUntil {
			avoided = append(avoided, v)
			continue
		}
		preferred = append(preferred, v)
		slots += capacityFor(runner.info.Capacity, u, u.count)
	}
	if slots < u.count {
		return append(preferred, avoided...)
	}
	return preferred
}

// fill assigns the members one by one, each to the runner where it costs least
// and leaves the smallest rest.
func (r *round) assign(u *unit, n int, views []*candidate, costs map[*unit]float64) (selection, bool) {
	free := make([]jaytask.Resources, len(views))
	counts := make([]int, len(views))
	for i, v := range views {
		free[i] = v.free
		counts[i] = r.countSameStep(u, v.runner)
	}
	request, limit := u.spec().Allocation(), u.spec().MaxPerRunner
	stopped := map[*unit]bool{}
	var sel selection
	for m := 0; m < n; m++ {
		best, victims, cost := -1, []*unit(nil), 0.0
		bestLeftover := 0
		for i, v := range views {
			if limit > 0 && counts[i] >= limit {
				continue
			}
			var newVictims []*unit
			var newCost float64
			if !request.FitsIn(free[i]) {
				if costs == nil {
					continue
				}
				var ok bool
				if newVictims, newCost, ok = cheapestVictims(request, free[i], v.runner, costs, stopped); !ok {
					continue
				}
			}
			left := leftover(request, free[i], v.runner)
			if best < 0 || newCost < cost || newCost == cost && left < bestLeftover {
				best, victims, cost, bestLeftover = i, newVictims, newCost, left
			}
		}
		if best < 0 {
			return selection{}, false
		}
		for _, w := range victims {
			stopped[w] = true
			sel.victims = append(sel.victims, w)
			for i, v := range views {
				for _, pl := range w.placements {
					if pl.runner == v.runner {
						free[i] = free[i].Add(pl.resources)
					}
				}
			}
		}
		sel.cost += cost
		free[best] = free[best].Sub(request)
		counts[best]++
		sel.runners = append(sel.runners, views[best])
	}
	return sel, true
}

// leftover ranks a runner for a member: first those whose accelerators the
// member leaves least of, so that whole workers stay whole.
func leftover(request, free jaytask.Resources, runner *Runner) int {
	left := (free.Accelerators - request.Accelerators) * 1000
	if runner.info.Capacity.CPU > 0 {
		left += (free.CPU - request.CPU) * 1000 / runner.info.Capacity.CPU
	}
	return left
}

// sameStep counts the unit's step on a runner.
func (r *round) countSameStep(u *unit, runner *Runner) int {
	count := 0
	for _, pl := range runner.placements {
		if pl.unit.job == u.job && pl.unit.step == u.step && pl.unit.occurrence == u.occurrence {
			count++
		}
	}
	return count
}
