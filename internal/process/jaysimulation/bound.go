package jaysimulation

import (
	"sort"
	"time"
)

// boundGrid is the grid of the spans that the bound looks at.
const boundGrid = 2 * time.Second

// holds reports whether the empty pool could run the job as it is asked for.
func (l *Load) fitsPool(q *request) bool {
	s := q.spec.Steps[0]
	return !s.Gang || tasksPerWorker(s.Resources)*l.Runners >= s.Count
}

// near reports whether a gang that wants one rack could have it.
func (l *Load) fitsRack(q *request) bool {
	s := q.spec.Steps[0]
	return !s.Gang || !s.SameRack || tasksPerWorker(s.Resources)*workersPerRack >= s.Count
}

// bound returns worth that no order of work could exceed: in every span of time
// the jobs that must be done within it to be on time share the accelerators, as if
// they could be cut into pieces and moved at no cost. What is not on time may still
// earn its late worth. The least over all spans holds. It is the fractional
// knapsack of Dantzig (1957) for each span.
func (l *Load) upperBound(requests []*request, values []float64) float64 {
	type item struct {
		from, to time.Duration
		need     float64
		// gain is what being on time adds to being late.
		late, gain float64
	}
	var items []item
	base, most := 0.0, 0.0
	for i, q := range requests {
		if q.cancelAt > 0 || q.failing || !l.fitsPool(q) {
			continue
		}
		need, slower := 0.0, 1.0
		if !l.fitsRack(q) {
			slower = l.FarFactor
		}
		for _, s := range q.taskSeconds {
			need += slower * s * float64(q.spec.Steps[0].Resources.Accelerators)
		}
		if time.Duration(slower*float64(q.longestTask())) > q.objective() {
			base += values[i] * q.class.LateValue
			continue
		}
		x := item{from: q.arrival, to: q.arrival + q.objective(), need: need, late: values[i] * q.class.LateValue, gain: values[i] * (q.class.OnTimeValue - q.class.LateValue)}
		items = append(items, x)
		base += x.late
		most += x.gain
	}
	sort.SliceStable(items, func(i, j int) bool { return items[i].gain*items[j].need > items[j].gain*items[i].need })
	least := most
	for from := time.Duration(0); from < l.ArrivalPeriod; from += boundGrid {
		for to := from + boundGrid; to < l.ArrivalPeriod+drainPeriod; to += boundGrid {
			room := (to - from).Seconds() * float64(l.Runners*acceleratorsPerWorker)
			sum := 0.0
			for _, x := range items {
				switch {
				case x.from < from || x.to > to || x.need <= 0:
					sum += x.gain
				case x.need <= room:
					sum, room = sum+x.gain, room-x.need
				default:
					sum, room = sum+x.gain*room/x.need, 0
				}
			}
			least = min(least, sum)
		}
	}
	return base + least
}
