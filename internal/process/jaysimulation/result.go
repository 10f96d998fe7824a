package jaysimulation

import (
	"sort"
	"time"
)

const (
	// lateFactor is the multiple of its objective up to which a late job has value.
	lateFactor = 3
	// windowLength is the length of the windows of which the two worst are scored.
	windowLength = 2 * time.Second
	// maxJobWeight bounds the weight of a job relative to one of mean size.
	maxJobWeight = 4
	// baseJobWeight is the part of a job's weight that is independent of its size.
	baseJobWeight = 0.3
)

// ClassResult is the result of one class of jobs.
type ClassResult struct {
	Jobs   int
	OnTime int
	Late   int
	// ValueShare is the value of finished jobs as a share of their value on time.
	ValueShare float64
	// MeanWait is the mean time until the first start; jobs that never started count
	// as zero.
	MeanWait time.Duration
}

// Result is the result of one simulated day. Shares are of the value that all jobs
// have on time.
type Result struct {
	ValueShare     float64
	WorstWindows   float64
	WorstWorkspace float64
	// LargeJobs is the value share of the largest tenth of the jobs.
	LargeJobs float64
	Classes   map[string]ClassResult
	// WastedShare is the lost work as a share of the requested work.
	WastedShare   float64
	Interruptions int
	// Utilisation is that of the accelerators during the arrival period.
	Utilisation float64
	// Score is the mean of the shares by the load's ScoreWeights, less the cost of
	// lost work.
	Score float64
	// Bound is the ValueShare that no schedule could exceed.
	Bound float64
}

// valueSum sums the earned and the attainable value of jobs.
type valueSum struct{ earned, attainable float64 }

func (s valueSum) share() float64 {
	if s.attainable == 0 {
		return 1
	}
	return s.earned / s.attainable
}

// score computes the result of the day.
func (e *environment) score(requests []*request) Result {
	values := jobWeights(requests)
	var whole valueSum
	windows, workspaces, classes := map[int]*valueSum{}, map[string]*valueSum{}, map[string]*valueSum{}
	result := Result{Classes: map[string]ClassResult{}}
	requested := 0.0
	waits := map[string]time.Duration{}
	var scored []*request
	earned := map[string]float64{}
	for i, q := range requests {
		requested += q.coreSeconds()
		if q.cancelAt > 0 || q.failing {
			continue
		}
		c := result.Classes[q.class.Name]
		c.Jobs++
		v := 0.0
		if at, done := e.completedAt[q.spec.ID]; done {
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
		if at, ok := e.firstStart[q.spec.ID]; ok {
			waits[q.class.Name] += at - q.arrival
		}
		result.Classes[q.class.Name] = c
		attainable := values[i] * q.class.OnTimeValue
		earned[q.spec.ID] = v
		scored = append(scored, q)
		for _, sum := range []*valueSum{&whole, sumOf(windows, int(q.arrival/windowLength)), sumOf(workspaces, q.spec.Policy.Workspace), sumOf(classes, q.class.Name)} {
			sum.earned, sum.attainable = sum.earned+v, sum.attainable+attainable
		}
	}
	for name, sum := range classes {
		c := result.Classes[name]
		c.ValueShare, c.MeanWait = sum.share(), waits[name]/time.Duration(max(c.Jobs, 1))
		result.Classes[name] = c
	}
	result.ValueShare, result.WorstWindows, result.WorstWorkspace = whole.share(), meanOfLowest(windows, 2), meanOfLowest(workspaces, 1)
	result.LargeJobs = largeJobShare(scored, earned, requests, values)
	result.WastedShare, result.Interruptions = e.wastedCoreSeconds/max(requested, 1), e.interruptions
	result.Utilisation = e.busyAcceleratorSeconds / (e.load.ArrivalPeriod.Seconds() * float64(len(e.workers)*e.load.Worker.Accelerators))
	weights := e.load.ScoreWeights
	result.Score = (weights.Overall*result.ValueShare+weights.WorstWindows*result.WorstWindows+weights.WorstClass*meanOfLowest(classes, 1)+weights.WorstWorkspace*result.WorstWorkspace)/(weights.Overall+weights.WorstWindows+weights.WorstClass+weights.WorstWorkspace) - weights.WasteCost*e.wastedCoreSeconds/max(whole.attainable, 1)
	result.Bound = e.load.upperBound(requests, values) / max(whole.attainable, 1e-9)
	return result
}

// jobWeights returns the weight of each job relative to one of the mean size of its
// class.
func jobWeights(requests []*request) []float64 {
	sums, counts := map[string]float64{}, map[string]float64{}
	for _, q := range requests {
		sums[q.class.Name] += q.coreSeconds()
		counts[q.class.Name]++
	}
	weights := make([]float64, len(requests))
	for i, q := range requests {
		mean := sums[q.class.Name] / counts[q.class.Name]
		weights[i] = min(baseJobWeight+(1-baseJobWeight)*q.coreSeconds()/mean, maxJobWeight)
	}
	return weights
}

// sumOf returns the sum of the key, which it adds if it is missing.
func sumOf[K comparable](sums map[K]*valueSum, k K) *valueSum {
	if sums[k] == nil {
		sums[k] = &valueSum{}
	}
	return sums[k]
}

// meanOfLowest returns the mean of the n lowest shares.
func meanOfLowest[K comparable](sums map[K]*valueSum, n int) float64 {
	var shares []float64
	for _, s := range sums {
		shares = append(shares, s.share())
	}
	sort.Float64s(shares)
	n = min(n, len(shares))
	sum := 0.0
	for _, s := range shares[:n] {
		sum += s
	}
	return sum / float64(max(n, 1))
}

// largeJobShare returns the value share of the largest tenth of the scored jobs.
func largeJobShare(scored []*request, earned map[string]float64, requests []*request, values []float64) float64 {
	attainable := map[string]float64{}
	for i, q := range requests {
		attainable[q.spec.ID] = values[i] * q.class.OnTimeValue
	}
	sort.SliceStable(scored, func(i, j int) bool { return scored[i].coreSeconds() > scored[j].coreSeconds() })
	var sum valueSum
	for _, q := range scored[:(len(scored)+9)/10] {
		sum.earned, sum.attainable = sum.earned+earned[q.spec.ID], sum.attainable+attainable[q.spec.ID]
	}
	return sum.share()
}
