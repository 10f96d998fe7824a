package jaysched

import (
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
)

// Compact returns the jobs to stop so that one partly used worker becomes free
// as a whole. Each of them checkpoints, runs on that worker alone and fits the
// free accelerators of other workers that are partly used, where the next
// decision places it. It returns nothing while fragmentation is low.
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

// partlyUsed lists the workers with both work and free accelerators, the least
// used first.
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

// movable returns the jobs of the worker if every one of them can move.
func (s *Scheduler) movableJobs(w *jaypool.Worker, partly []*jaypool.Worker, now time.Duration) []string {
	room := map[string]int{}
	for _, o := range partly {
		if o != w {
			room[o.ID()] = o.Free()
		}
	}
	var jobs []string
	for _, h := range w.Allocations() {
		j := s.running[h.Job()]
		if j == nil || !h.Checkpointing() || j.preemptions >= s.Policy.MaxPreemptions || now-h.Started() < s.Policy.CompactionMinRuntime {
			return nil
		}
		if len(s.pool.JobAllocations(h.Job())) > 1 || remaining(h, now) < s.Policy.CompactionMinRuntime || !reserveBestFit(room, partly, h.Accelerators()) {
			return nil
		}
		jobs = append(jobs, h.Job())
	}
	return jobs
}

// takeRoom books accelerators on the worker whose room they fill best.
func reserveBestFit(room map[string]int, partly []*jaypool.Worker, n int) bool {
	best := ""
	for _, w := range partly {
		if r := room[w.ID()]; r >= n && (best == "" || r < room[best]) {
			best = w.ID()
		}
	}
	if best == "" {
		return false
	}
	room[best] -= n
	return true
}
