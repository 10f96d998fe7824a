package jaysched

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// Compact returns the jobs to stop so that one partly used worker becomes idle.
// Each of them checkpoints, runs on that worker only and fits the free accelerators
// of other partly used workers, where the next decision places it. It returns
// nothing while fragmentation is within the threshold.
func (s *Scheduler) Compact(now time.Duration) []string {
	if s.Policy.CompactionThreshold >= 1 || s.manifest == nil {
		return nil
	}
	if Fragmentation(s.pool, s.guarantees()) <= s.Policy.CompactionThreshold {
		return nil
	}
	partly := s.partlyUsed()
	for _, w := range partly {
		if jobs := s.movableJobs(w, partly, now); jobs != nil {
			return jobs
		}
	}
	return nil
}

func (s *Scheduler) guarantees() []jaymanifest.Guarantee { return s.plan.Guarantees() }

// partlyUsed returns the open workers that have both allocated and free
// accelerators, those with the most free ones first.
func (s *Scheduler) partlyUsed() []*jaypool.Worker {
	var partly []*jaypool.Worker
	for _, w := range s.pool.Workers() {
		if !w.Closed() && w.Free() > 0 && w.Free() < w.Accelerators() {
			partly = append(partly, w)
		}
	}
	sort.SliceStable(partly, func(a, b int) bool { return partly[a].Free() > partly[b].Free() })
	return partly
}

// movableJobs returns the jobs of the worker if all of them can move to the other
// partly used workers, else nil.
func (s *Scheduler) movableJobs(w *jaypool.Worker, partly []*jaypool.Worker, now time.Duration) []string {
	free := map[string]int{}
	for _, o := range partly {
		if o != w {
			free[o.ID()] = o.Free()
		}
	}
	var jobs []string
	for _, a := range w.Allocations() {
		j := s.running[a.Job()]
		if j == nil || !a.Checkpointing() || j.preemptions >= s.Policy.MaxPreemptions || now-a.Started() < s.Policy.CompactionMinRuntime {
			return nil
		}
		if len(s.pool.JobAllocations(a.Job())) > 1 || remaining(a, now) < s.Policy.CompactionMinRuntime || !reserveBestFit(free, partly, a.Accelerators()) {
			return nil
		}
		jobs = append(jobs, a.Job())
	}
	return jobs
}

// reserveBestFit subtracts n accelerators from the entry of the worker with the
// fewest free ones that suffice. It returns false when no worker has enough.
func reserveBestFit(free map[string]int, partly []*jaypool.Worker, n int) bool {
	best := ""
	for _, w := range partly {
		if f := free[w.ID()]; f >= n && (best == "" || f < free[best]) {
			best = w.ID()
		}
	}
	if best == "" {
		return false
	}
	free[best] -= n
	return true
}
