package jaysched

import "time"

const (
	// A worker is quarantined after this many failures, of jobs of this many kinds,
	// without a success between them.
	minQuarantineFailures = 4
	minQuarantineKinds    = 2
	// maxQuarantineShare bounds the share of all workers in quarantine.
	maxQuarantineShare = 0.2
	minQuarantine      = 10 * time.Second
	maxQuarantine      = 10 * time.Minute
	// poisonedWorkers is how many workers a kind of job must have failed on,
	// without a success, before its failures no longer count against workers.
	poisonedWorkers = 3
)

type workerHealth struct {
	failures         int
	kinds            map[kindKey]bool
	quarantines      int
	quarantinedUntil time.Duration
	quarantined      bool
	probation        bool
}

type kindHealth struct{ workers map[string]bool }

// Health distinguishes workers on which all jobs fail from jobs that fail on all
// workers. It counts failures by worker and by kind of job.
type Health struct {
	workers map[string]*workerHealth
	kinds   map[kindKey]*kindHealth
}

// NewHealth returns a Health without failures.
func NewHealth() *Health {
	return &Health{workers: map[string]*workerHealth{}, kinds: map[kindKey]*kindHealth{}}
}

func (h *Health) worker(name string) *workerHealth {
	w := h.workers[name]
	if w == nil {
		w = &workerHealth{kinds: map[kindKey]bool{}}
		h.workers[name] = w
	}
	return w
}

// RecordSuccess records that a job of the kind succeeded on the worker.
func (h *Health) RecordSuccess(worker, workspace, kind string) {
	delete(h.kinds, kindKey{workspace, kind})
	w := h.worker(worker)
	w.failures = 0
	w.probation = false
	w.quarantines = 0
	clear(w.kinds)
}

// RecordFailure records that a job of the kind failed on the worker. It returns
// true when the worker is now quarantined; total is the number of workers.
func (h *Health) RecordFailure(worker, workspace, kind string, total int, now time.Duration) bool {
	k := kindKey{workspace, kind}
	kh := h.kinds[k]
	if kh == nil {
		kh = &kindHealth{workers: map[string]bool{}}
		h.kinds[k] = kh
	}
	kh.workers[worker] = true
	w := h.worker(worker)
	if len(kh.workers) >= poisonedWorkers || w.quarantined {
		return false
	}
	w.failures++
	w.kinds[k] = true
	suspect := w.failures >= minQuarantineFailures && len(w.kinds) >= minQuarantineKinds
	if (!suspect && !w.probation) || float64(h.quarantinedCount()+1) > maxQuarantineShare*float64(total) {
		return false
	}
	w.quarantined = true
	w.probation = false
	w.quarantinedUntil = now + min(minQuarantine<<min(w.quarantines, 6), maxQuarantine)
	w.quarantines++
	return true
}

func (h *Health) quarantinedCount() int {
	n := 0
	for _, w := range h.workers {
		if w.quarantined {
			n++
		}
	}
	return n
}

// Poisoned reports whether jobs of the kind have failed on several workers
// without a success.
func (h *Health) Poisoned(workspace, kind string) bool {
	kh := h.kinds[kindKey{workspace, kind}]
	return kh != nil && len(kh.workers) >= poisonedWorkers
}

// ReleaseQuarantined ends expired quarantines and returns their workers. They are
// on probation: one more failure quarantines them again, for twice as long up to
// maxQuarantine.
func (h *Health) ReleaseQuarantined(now time.Duration) []string {
	var released []string
	for name, w := range h.workers {
		if w.quarantined && now >= w.quarantinedUntil {
			w.quarantined = false
			w.probation = true
			w.failures = 0
			clear(w.kinds)
			released = append(released, name)
		}
	}
	return released
}
