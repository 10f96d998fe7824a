package jaycell

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// farPatience is the share of the estimated run time for which work waits for
	// its data's rack before it runs far away.
	farPatience = 1.0
)

// choice is where the members of a unit go, and which units must stop first.
type choice struct {
	runners []*view
	victims []*unit
	cost    float64
}

// choose finds runners for n members like those of a unit. Units with a cost may
// be stopped for it.
func (r *round) choose(u *unit, n int, costs map[*unit]float64) (choice, bool) {
	var best choice
	found := false
	for _, views := range r.scopes(u) {
		ch, ok := r.fill(u, n, views, costs)
		if ok && (!found || ch.cost < best.cost) {
			best, found = ch, true
		}
		if found && best.cost == 0 && costs != nil {
			break
		}
	}
	if found || !r.mayGoFar(u) {
		return best, found
	}
	return r.fill(u, n, r.usable(u, ""), costs)
}

// scopes returns the sets of runners that a unit is best placed within.
func (r *round) scopes(u *unit) [][]*view {
	s := u.spec()
	if s.DataRack != "" {
		return [][]*view{r.usable(u, s.DataRack)}
	}
	if !s.SameRack || u.count == 1 {
		return [][]*view{r.usable(u, "")}
	}
	var all [][]*view
	for _, rack := range r.racks {
		all = append(all, r.usable(u, rack))
	}
	sort.SliceStable(all, func(i, j int) bool { return freeAccelerators(all[i]) < freeAccelerators(all[j]) })
	return all
}

func freeAccelerators(views []*view) int {
	n := 0
	for _, v := range views {
		n += v.free.Accelerators
	}
	return n
}

// mayGoFar reports whether a unit may run at the reduced speed of work that is
// far from its data or spread over racks: when no rack could ever hold it, or
// when a guarantee demands it, or when it has waited longer than its run time.
func (r *round) mayGoFar(u *unit) bool {
	s := u.spec()
	if s.DataRack == "" && (!s.SameRack || u.count == 1) {
		return false
	}
	if r.isGuaranteed(u.job) || !r.everNear(u) {
		return true
	}
	waited := r.cell.wall.Sub(u.job.spec.Accepted)
	return s.DataRack != "" && waited > time.Duration(farPatience*float64(r.cell.estimate(u.job, u.step)))
}

// everNear reports whether empty runners of one rack could hold the unit.
func (r *round) everNear(u *unit) bool {
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
func (r *round) usable(u *unit, rack string) []*view {
	var good, avoided []*view
	room := 0
	advice := r.cell.advice(u)
	for _, v := range r.views {
		n := v.runner
		if !n.serves(u) || rack != "" && v.rack != rack || !advice.allows(n.id) {
			continue
		}
		if r.cell.now < u.avoid[n.id] || r.cell.now < n.avoidTill {
			avoided = append(avoided, v)
			continue
		}
		good = append(good, v)
		room += capacityFor(n.info.Capacity, u, u.count)
	}
	if room < u.count {
		return append(good, avoided...)
	}
	return good
}

// fill assigns the members one by one, each to the runner where it costs least
// and leaves the smallest rest.
func (r *round) fill(u *unit, n int, views []*view, costs map[*unit]float64) (choice, bool) {
	free := make([]jaytask.Resources, len(views))
	counts := make([]int, len(views))
	for i, v := range views {
		free[i] = v.free
		counts[i] = r.sameStep(u, v.runner)
	}
	room, most := u.spec().Allocation(), u.spec().MaxPerRunner
	stopped := map[*unit]bool{}
	var ch choice
	for m := 0; m < n; m++ {
		at, victims, cost := -1, []*unit(nil), 0.0
		rest := 0
		for i, v := range views {
			if most > 0 && counts[i] >= most {
				continue
			}
			var w []*unit
			var price float64
			if !room.FitsIn(free[i]) {
				if costs == nil {
					continue
				}
				var ok bool
				if w, price, ok = makeFit(room, free[i], v.runner, costs, stopped); !ok {
					continue
				}
			}
			left := leftover(room, free[i], v.runner)
			if at < 0 || price < cost || price == cost && left < rest {
				at, victims, cost, rest = i, w, price, left
			}
		}
		if at < 0 {
			return choice{}, false
		}
		for _, w := range victims {
			stopped[w] = true
			ch.victims = append(ch.victims, w)
			for i, v := range views {
				for _, h := range w.live {
					if h.runner == v.runner {
						free[i] = free[i].Add(h.room)
					}
				}
			}
		}
		ch.cost += cost
		free[at] = free[at].Sub(room)
		counts[at]++
		ch.runners = append(ch.runners, views[at])
	}
	return ch, true
}

// leftover ranks a runner for a member: first those whose accelerators the
// member leaves least of, so that whole workers stay whole.
func leftover(room, free jaytask.Resources, n *Runner) int {
	left := (free.Accelerators - room.Accelerators) * 1000
	if n.info.Capacity.CPU > 0 {
		left += (free.CPU - room.CPU) * 1000 / n.info.Capacity.CPU
	}
	return left
}

// sameStep counts the unit's step on a runner.
func (r *round) sameStep(u *unit, n *Runner) int {
	count := 0
	for _, h := range n.holds {
		if h.unit.job == u.job && h.unit.step == u.step && h.unit.occurrence == u.occurrence {
			count++
		}
	}
	return count
}
