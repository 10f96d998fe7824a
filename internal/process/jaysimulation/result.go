package jaysimulation

import (
	"sort"
	"time"
)

const (
	// lateFactor is how many objectives late a job is still worth something.
	lateFactor = 3
	// window is the span of which the two worst are judged.
	windowLength = 2 * time.Second
	// largest is how much a large job may be worth against one of mean size.
	maxJobWeight = 4
	// baseShare of a job's worth does not depend on its size.
	baseJobWeight = 0.3
)

// ClassResult tells what the callers of a kind of job got.
type ClassResult struct {
	Jobs   int
	OnTime int
	Late   int
	// Share is the worth earned of the worth owed.
	ValueShare float64
	// WaitMean is until the first start, of jobs that began.
	MeanWait time.Duration
}

// Result is what a day gave. Shares are of the worth owed.
type Result struct {
	ValueShare     float64
	WorstWindows   float64
	WorstWorkspace float64
	// Large is the share of the largest tenth of the jobs.
	LargeJobs float64
	Classes   map[string]ClassResult
	// WastedShare is work thrown away, as a share of the work asked for.
	WastedShare   float64
	Interruptions int
	// Utilisation is of the accelerators while jobs came.
	Utilisation float64
	// Worth weighs the parts as the deployment's users do, less the price of work
	// that is thrown away.
	Score float64
	// Bound is the share that no order of work could exceed.
	Bound float64
}

// earned is a sum of worth.
type valueSum struct{ earned, attainable float64 }

func (e valueSum) share() float64 {
	if e.attainable == 0 {
		return 1
	}
	return e.earned / e.attainable
}

// judge weighs the day.
func (w *environment) score(requests []*request) Result {
	values := jobWeights(requests)
	var whole valueSum
	windows, workspaces, classes := map[int]*valueSum{}, map[string]*valueSum{}, map[string]*valueSum{}
	result := Result{Classes: map[string]ClassResult{}}
	asked := 0.0
	waits := map[string]time.Duration{}
	var sized []*request
	got := map[string]float64{}
	for i, q := range requests {
		asked += q.coreSeconds()
		if q.cancelAt > 0 || q.failing {
			continue
		}
		c := result.Classes[q.class.Name]
		c.Jobs++
		v := 0.0
		if at, done := w.completedAt[q.spec.ID]; done {
			took := at - q.arrival
			switch {
			case took <= q.objective():
				v = values[i] * q.class.OnTimeValue
				c.OnTime++
			case took <= lateFactor*q.objective():
				v = values[i] * q.class.LateValue
				c.Late++
			}
		}
		if at, ok := w.firstStart[q.spec.ID]; ok {
			waits[q.class.Name] += at - q.arrival
		}
		result.Classes[q.class.Name] = c
		owed := values[i] * q.class.OnTimeValue
		got[q.spec.ID] = v
		sized = append(sized, q)
		for _, e := range []*valueSum{&whole, sumOf(windows, int(q.arrival/windowLength)), sumOf(workspaces, q.spec.Policy.Workspace), sumOf(classes, q.class.Name)} {
			e.earned, e.attainable = e.earned+v, e.attainable+owed
		}
	}
	for name, e := range classes {
		c := result.Classes[name]
		c.ValueShare, c.MeanWait = e.share(), waits[name]/time.Duration(max(c.Jobs, 1))
		result.Classes[name] = c
	}
	result.ValueShare, result.WorstWindows, result.WorstWorkspace = whole.share(), meanOfLowest(windows, 2), meanOfLowest(workspaces, 1)
	result.LargeJobs = largeJobShare(sized, got, requests, values)
	result.WastedShare, result.Interruptions = w.wastedCoreSeconds/max(asked, 1), w.interruptions
	result.Utilisation = w.busyAcceleratorSeconds / (w.load.ArrivalPeriod.Seconds() * float64(len(w.workers)*acceleratorsPerWorker))
	g := w.load.ScoreWeights
	result.Score = (g.Overall*result.ValueShare+g.WorstWindows*result.WorstWindows+g.WorstClass*meanOfLowest(classes, 1)+g.WorstWorkspace*result.WorstWorkspace)/(g.Overall+g.WorstWindows+g.WorstClass+g.WorstWorkspace) - g.WasteCost*w.wastedCoreSeconds/max(whole.attainable, 1)
	result.Bound = w.load.upperBound(requests, values) / max(whole.attainable, 1e-9)
	return result
}

// worths returns what each job weighs against one of mean size of its class.
func jobWeights(requests []*request) []float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, q := range requests {
		sums[q.class.Name] += q.coreSeconds()
		counts[q.class.Name]++
	}
	all := make([]float64, len(requests))
	for i, q := range requests {
		mean := sums[q.class.Name] / counts[q.class.Name]
		all[i] = min(baseJobWeight+(1-baseJobWeight)*q.coreSeconds()/mean, maxJobWeight)
	}
	return all
}

func sumOf[K comparable](all map[K]*valueSum, k K) *valueSum {
	if all[k] == nil {
		all[k] = &valueSum{}
	}
	return all[k]
}

// lowest returns the mean of the n lowest shares.
func meanOfLowest[K comparable](all map[K]*valueSum, n int) float64 {
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

func largeJobShare(sized []*request, got map[string]float64, requests []*request, values []float64) float64 {
	value := map[string]float64{}
	for i, q := range requests {
		value[q.spec.ID] = values[i] * q.class.OnTimeValue
	}
	sort.SliceStable(sized, func(i, j int) bool { return sized[i].coreSeconds() > sized[j].coreSeconds() })
	var e valueSum
	for _, q := range sized[:(len(sized)+9)/10] {
		e.earned, e.attainable = e.earned+got[q.spec.ID], e.attainable+value[q.spec.ID]
	}
	return e.share()
}
