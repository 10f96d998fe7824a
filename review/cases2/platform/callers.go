package main

import (
	"bytes"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// freezeTime is for_s of node_freeze at the site.
	freezeTime = 4 * time.Second
	// cancelTime is cancel_ms, visibleTime visible_ms and 2 s, after which a job that has not begun
	// must be counted.
	cancelTime  = 3 * time.Second
	visibleTime = 5 * time.Second
)

// leader returns the number of the entry that leads, as of the store.
func (w *world) leader() int {
	w.store.mutex.Lock()
	defer w.store.mutex.Unlock()
	leader := 0
	for _, x := range w.store.topic("keyed.cell").records {
		if x.key != "term" {
			continue
		}
		for n, p := range w.entries {
			if bytes.Contains(x.value, []byte(p.name)) {
				leader = n
			}
		}
	}
	return leader
}

// canceledCase: an entry freezes with a job's request in its socket. The caller's time limit passes, and it
// cancels the job at another entry, which answers that no such job exists. The first entry wakes and accepts the
// job, which runs.
func canceledCase(w *world, trouble bool) {
	const id = "d000000000000001"
	leader := w.leader()
	frozen, other := (leader+1)%entryCount, (leader+2)%entryCount
	w.note("%s leads", w.entries[leader].name)
	j := job{Spec: "order", Steps: []step{{Count: 1, Cpu: 7500, MemMb: 15000, Gpu: 1, EstMs: 4000, work: 4 * time.Second}, {Count: 1, Cpu: 7500, MemMb: 15000, Gpu: 1, EstMs: 4000, After: []int{0}, work: 4 * time.Second}}}
	w.remember(id, j)
	// Two other callers stay.
	for n, other := range []string{"d000000000000002", "d000000000000003"} {
		if !w.submit((leader+2*n)%entryCount, "/quote/", other, j) {
			w.fail("a job is not accepted")
			return
		}
	}
	if trouble {
		w.note("%s freezes for %s", w.entries[frozen].name, freezeTime)
		w.entries[frozen].signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() {
			w.entries[frozen].signal(syscall.SIGCONT)
			w.note("%s goes on", w.entries[frozen].name)
		})
	}
	w.call(frozen, http.MethodPost, "/quote/"+id, encodeJob(j), callerTimeout)
	canceled := w.call(other, http.MethodDelete, "/quote/"+id, nil, callerTimeout)
	if canceled.status != http.StatusOK && canceled.status != http.StatusGone {
		w.fail("the cancellation is answered with %d", canceled.status)
		return
	}
	at := time.Now()
	w.sleep(16 * time.Second)
	w.call(other, http.MethodGet, "/quote/"+id, nil, callerTimeout)
	for _, s := range w.startsOf(id) {
		if late := s.at.Sub(at); late > cancelTime {
			w.violate("UNASKED: %s starts %.2f s after the answer %d to its cancellation", s.task, late.Seconds(), canceled.status)
		}
	}
}

// pendingCase: a runner is lost as a job is placed on it, and the others have no room. The job waits
// for seconds, but is not counted among those that have not begun.
func pendingCase(w *world, trouble bool) {
	const waiting = "e0000000000000ff"
	long := job{Spec: "long", Steps: []step{{Count: 1, Cpu: 26000, MemMb: 38000, Gpu: 8, EstMs: 30000, work: 30 * time.Second}}}
	for n := range runnerCount - 1 {
		id := fmt.Sprintf("e0000000000000%02d", n)
		if !w.submit(n%entryCount, "/recalc/", id, long) || !w.awaitRunning(id, 1, 10*time.Second) {
			w.fail("a long job does not run")
			return
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		for _, r := range w.runners {
			if len(r.runningTasks()) == 0 {
				r.crash(time.Hour)
				break
			}
		}
	}
	if !w.submit(1, "/sweep/", waiting, job{Spec: "waits", Steps: []step{{Count: 1, Cpu: 5600, MemMb: 15000, Gpu: 8, EstMs: 5000, work: 5 * time.Second}}}) {
		w.fail("the job is not accepted")
		return
	}
	at := time.Now()
	for n := 0; time.Since(at) < 18*time.Second; n++ {
		begun := len(w.startsOf(waiting)) > 0
		age := time.Since(at)
		count := w.call(n%entryCount, http.MethodGet, "/sweep/", nil, callerTimeout)
		if age > visibleTime && !begun && len(w.startsOf(waiting)) == 0 && count.status == http.StatusOK && count.pending == 0 {
			w.violate("MIXED: %s counts no job %.1f s after %s was accepted, which has not begun", w.entries[n%entryCount].name, age.Seconds(), waiting)
		}
		w.sleep(2 * time.Second)
	}
	w.call(2, http.MethodGet, "/sweep/"+waiting, nil, callerTimeout)
}
