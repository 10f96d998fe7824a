package jaysimulation

import (
	"sort"
	"time"
)

// boundGrid is the resolution of the time spans that the bound considers.
const boundGrid = 2 * time.Second

// fitsPool reports whether the idle pool could run the job.
func (l *Load) fitsPool(q *request) bool {
	s := q.spec.Steps[0]
	return !s.Gang || l.tasksPerWorker(s.Resources)*l.Runners >= s.Count
}

// fitsRack reports whether the job fits one rack, if it is a gang that wants one.
func (l *Load) fitsRack(q *request) bool {
	s := q.spec.Steps[0]
	return !s.Gang || !s.SameRack || l.tasksPerWorker(s.Resources)*l.RackSize >= s.Count
}

// upperBound returns a value that no schedule could exceed. Within each span of
// time, the jobs that must run in it to be on time compete for the accelerators, as
// if they could be split and moved at no cost: the fractional knapsack of Dantzig
// (1957). Jobs that are not on time may still get their late value. The bound is
// the minimum over all spans.
func (l *Load) upperBound(requests []*request, values []float64) float64 {
	type item struct {
		arrival, due       time.Duration
		acceleratorSeconds float64
		// gain is the value of being on time beyond that of being late.
		lateValue, gain float64
	}
	totalSpeed, topSpeed := 0.0, 0.0
	for i := range l.Runners {
		totalSpeed, topSpeed = totalSpeed+l.speed(i), max(topSpeed, l.speed(i))
	}
	var items []item
	base, totalGain := 0.0, 0.0
	for i, q := range requests {
		if q.cancelAt > 0 || q.failing || !l.fitsPool(q) {
			continue
		}
		acceleratorSeconds, slowdown := 0.0, 1.0
		if !l.fitsRack(q) {
			slowdown = l.RemoteSlowdown
		}
		for _, s := range q.taskSeconds {
			acceleratorSeconds += slowdown * s * float64(q.spec.Steps[0].Resources.Accelerators)
		}
		if time.Duration(slowdown/topSpeed*float64(q.longestTask())) > q.objective() {
			base += values[i] * q.class.LateValue
			continue
		}
		it := item{arrival: q.arrival, due: q.arrival + q.objective(), acceleratorSeconds: acceleratorSeconds, lateValue: values[i] * q.class.LateValue, gain: values[i] * (q.class.OnTimeValue - q.class.LateValue)}
		items = append(items, it)
		base += it.lateValue
		totalGain += it.gain
	}
	sort.SliceStable(items, func(i, j int) bool {
		return items[i].gain*items[j].acceleratorSeconds > items[j].gain*items[i].acceleratorSeconds
	})
	bound := totalGain
	for from := time.Duration(0); from < l.ArrivalPeriod; from += boundGrid {
		for to := from + boundGrid; to < l.ArrivalPeriod+drainPeriod; to += boundGrid {
			capacity := (to - from).Seconds() * totalSpeed * float64(l.Worker.Accelerators)
			sum := 0.0
			for _, it := range items {
				switch {
				case it.arrival < from || it.due > to || it.acceleratorSeconds <= 0:
					sum += it.gain
				case it.acceleratorSeconds <= capacity:
					sum, capacity = sum+it.gain, capacity-it.acceleratorSeconds
				default:
					sum, capacity = sum+it.gain*capacity/it.acceleratorSeconds, 0
				}
			}
			bound = min(bound, sum)
		}
	}
	return base + bound
}
