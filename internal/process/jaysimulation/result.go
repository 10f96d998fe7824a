package jaysimulation

import (
	"sort"
	"time"
)

const (
	// lateFactor is how many objectives late a job is still worth something.
	lateFactor = 3
	// window is the span of which the two worst are judged.
	window = 2 * time.Second
	// largest is how much a large job may be worth against one of mean size.
	largest = 4
	// baseShare of a job's worth does not depend on its size.
	baseShare = 0.3
)

// ClassResult tells what the callers of a kind of job got.
type ClassResult struct {
	Jobs   int
	OnTime int
	Late   int
	// Share is the worth earned of the worth owed.
	Share float64
	// WaitMean is until the first start, of jobs that began.
	WaitMean time.Duration
}

// Result is what a day gave. Shares are of the worth owed.
type Result struct {
	Share          float64
	WorstWindows   float64
	WorstWorkspace float64
	// Large is the share of the largest tenth of the jobs.
	Large   float64
	Classes map[string]ClassResult
	// WastedShare is work thrown away, as a share of the work asked for.
	WastedShare float64
	Stops       int
	// Utilisation is of the accelerators while jobs came.
	Utilisation float64
	// Worth weighs the parts as the deployment's users do, less the price of work
	// that is thrown away.
	Worth float64
	// Bound is the share that no order of work could exceed.
	Bound float64
}

// earned is a sum of worth.
type earned struct{ got, owed float64 }

func (e earned) share() float64 {
	if e.owed == 0 {
		return 1
	}
	return e.got / e.owed
}

// judge weighs the day.
func (w *world) judge(requests []*request) Result {
	values := worths(requests)
	var whole earned
	windows, workspaces, classes := map[int]*earned{}, map[string]*earned{}, map[string]*earned{}
	result := Result{Classes: map[string]ClassResult{}}
	asked := 0.0
	waits := map[string]time.Duration{}
	var sized []*request
	got := map[string]float64{}
	for i, q := range requests {
		asked += q.work()
		if q.cancelAt > 0 || q.hopeless {
			continue
		}
		c := result.Classes[q.class.Name]
		c.Jobs++
		v := 0.0
		if at, done := w.doneAt[q.spec.ID]; done {
			took := at - q.at
			switch {
			case took <= q.objective():
				v = values[i] * q.class.Value
				c.OnTime++
			case took <= lateFactor*q.objective():
				v = values[i] * q.class.Late
				c.Late++
			}
		}
		if at, ok := w.begun[q.spec.ID]; ok {
			waits[q.class.Name] += at - q.at
		}
		result.Classes[q.class.Name] = c
		owed := values[i] * q.class.Value
		got[q.spec.ID] = v
		sized = append(sized, q)
		for _, e := range []*earned{&whole, at(windows, int(q.at/window)), at(workspaces, q.spec.Policy.Workspace), at(classes, q.class.Name)} {
			e.got, e.owed = e.got+v, e.owed+owed
		}
	}
	for name, e := range classes {
		c := result.Classes[name]
		c.Share, c.WaitMean = e.share(), waits[name]/time.Duration(max(c.Jobs, 1))
		result.Classes[name] = c
	}
	result.Share, result.WorstWindows, result.WorstWorkspace = whole.share(), lowest(windows, 2), lowest(workspaces, 1)
	result.Large = largeShare(sized, got, requests, values)
	result.WastedShare, result.Stops = w.wasted/max(asked, 1), w.stops
	result.Utilisation = w.busy / (w.load.Span.Seconds() * float64(len(w.workers)*accelerators))
	g := w.load.Goal
	result.Worth = (g.Whole*result.Share+g.Windows*result.WorstWindows+g.Class*lowest(classes, 1)+g.Workspace*result.WorstWorkspace)/(g.Whole+g.Windows+g.Class+g.Workspace) - g.Waste*w.wasted/max(whole.owed, 1)
	result.Bound = w.load.bound(requests, values) / max(whole.owed, 1e-9)
	return result
}

// worths returns what each job weighs against one of mean size of its class.
func worths(requests []*request) []float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, q := range requests {
		sums[q.class.Name] += q.work()
		counts[q.class.Name]++
	}
	all := make([]float64, len(requests))
	for i, q := range requests {
		mean := sums[q.class.Name] / counts[q.class.Name]
		all[i] = min(baseShare+(1-baseShare)*q.work()/mean, largest)
	}
	return all
}

func at[K comparable](all map[K]*earned, k K) *earned {
	if all[k] == nil {
		all[k] = &earned{}
	}
	return all[k]
}

// lowest returns the mean of the n lowest shares.
func lowest[K comparable](all map[K]*earned, n int) float64 {
	var shares []float64
	for _, e := range all {
		shares = append(shares, e.share())
	}
	sort.Float64s(shares)
	n = min(n, len(shares))
	sum := 0.0
	for _, s := range shares[:n] {
		sum += s
	}
	return sum / float64(max(n, 1))
}

func largeShare(sized []*request, got map[string]float64, requests []*request, values []float64) float64 {
	value := map[string]float64{}
	for i, q := range requests {
		value[q.spec.ID] = values[i] * q.class.Value
	}
	sort.SliceStable(sized, func(i, j int) bool { return sized[i].work() > sized[j].work() })
	var e earned
	for _, q := range sized[:(len(sized)+9)/10] {
		e.got, e.owed = e.got+got[q.spec.ID], e.owed+value[q.spec.ID]
	}
	return e.share()
}
