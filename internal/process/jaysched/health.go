package jaysched

import "time"

const (
	// failuresToSuspect is how many failures of different kinds of job, without
	// a success between them, put a worker into quarantine.
	minQuarantineFailures = 4
	minQuarantineKinds    = 2
	maxQuarantineShare    = 0.2
	minQuarantine         = 10 * time.Second
	maxQuarantine         = 10 * time.Minute
	// poisonedAfter is how many workers a kind of job must have failed on,
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

// Health tells workers that fail everything from jobs that fail everywhere. It
// counts failures by worker and by kind of job.
type Health struct {
	workers map[string]*workerHealth
	kinds   map[kindKey]*kindHealth
}

// NewHealth returns a table without failures.
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

// Succeeded records that a job of the kind ended well on the worker.
func (h *Health) RecordSuccess(worker, workspace, kind string) {
	delete(h.kinds, kindKey{workspace, kind})
	w := h.worker(worker)
	w.failures = 0
	w.probation = false
	w.quarantines = 0
	clear(w.kinds)
}

// Failed records that the worker failed a job of the kind. It returns true when
// the worker is now to be quarantined; total is the number of workers.
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
	k := h.kinds[kindKey{workspace, kind}]
	return k != nil && len(k.workers) >= poisonedWorkers
}

// Release returns the workers whose quarantine is over. They are on probation:
// one more failure puts them back for twice as long.
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
