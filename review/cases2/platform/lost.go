package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

const (
	// finish is finish_s of the site: how long after the end of the traffic jobs are asked for.
	finish = 14 * time.Second
	// idleTime is for how long a job with nothing running counts as lost.
	idleTime = 3 * time.Second
	// crashTime is for_s of srv_crash at the site.
	crashTime = 4500 * time.Millisecond
)

// checkLost waits until finish after the last request, then watches a job for idleTime: it is lost if
// all the while nothing of it runs, there is room for it twice over, and under half of the service is
// in use. Then it watches the job until it starts, for the record.
func checkLost(w *world, prefix, id string, s step, lastRequest time.Time) {
	if !w.sleep(time.Until(lastRequest.Add(finish))) {
		return
	}
	before := len(w.startsOf(id))
	state := w.call(0, "GET", prefix+id, nil, callerTimeout)
	lost := state.state != "completed" && state.state != "failed"
	for until := time.Now().Add(idleTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		u, fits := w.room(s)
		if len(w.startsOf(id)) > before || w.isRunning(id) || !u.underHalf() || fits < 2*s.Count {
			lost = false
		}
	}
	u, fits := w.room(s)
	w.note("in use: %.0f%% of the cores, %.0f%% of the memory, %.0f%% of the accelerators; tasks like those of %s that fit at once: %d", 100*u.cpu, 100*u.memory, 100*u.accelerators, id, fits)
	if !lost {
		w.note("%s runs or has ended, or the service has no room for it", id)
		return
	}
	w.violate("LOST: %s could run and has not for %s, %s after the last request; its state is %q", id, idleTime, finish, state.state)
	for n := 0; n < 40 && len(w.startsOf(id)) == before; n++ {
		w.sleep(500 * time.Millisecond)
	}
	w.call(1, "GET", prefix+id, nil, callerTimeout)
	if len(w.startsOf(id)) == before {
		w.note("%s still has not started, %.0f s after the last request", id, time.Since(lastRequest).Seconds())
	}
}

// isRunning reports whether a task of a job runs.
func (w *world) isRunning(id string) bool {
	w.runnersMutex.Lock()
	defer w.runnersMutex.Unlock()
	for _, r := range w.runners {
		for task := range r.running {
			if jobOf(task) == id {
				return true
			}
		}
	}
	return false
}

// awaitRunning waits until so many tasks of a job run.
func (w *world) awaitRunning(id string, tasks int, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		n := 0
		w.runnersMutex.Lock()
		for _, r := range w.runners {
			for task := range r.running {
				if jobOf(task) == id {
					n++
				}
			}
		}
		w.runnersMutex.Unlock()
		if n == tasks {
			return true
		}
	}
	return false
}

// rackCase: a serving job has a task in some racks. A runner crashes, and its task starts in the last
// rack that was free. A gang that would rather be in one rack then never starts, although most of the
// runners are empty.
func rackCase(w *world, trouble bool) {
	const serving, gang = "a000000000000001", "a000000000000002"
	if !w.submit(0, "/recalc/", serving, job{Spec: "serve", Steps: []step{{Count: 4, Cpu: 2000, MemMb: 4000, Gpu: 1, EstMs: 1000, Daemon: true, MaxPerServer: 1}}}) || !w.awaitRunning(serving, 4, 10*time.Second) {
		w.fail("the serving job does not run")
		return
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.runnerOf(serving, "r1-1").crash(crashTime)
	}
	time.Sleep(crashTime + 6*time.Second)
	if !w.awaitRunning(serving, 4, 10*time.Second) {
		w.fail("the serving job does not run again")
		return
	}
	s := step{Count: 3, Cpu: 26000, MemMb: 38000, Gpu: 8, EstMs: 3000, Gang: true, SameRack: true, work: 3 * time.Second}
	if !w.submit(1, "/recalc/", gang, job{Spec: "gang", Steps: []step{s}}) {
		w.fail("the gang is not accepted")
		return
	}
	checkLost(w, "/recalc/", gang, s, time.Now())
}

// runnerOf returns a runner of a rack on which a task of a job runs.
func (w *world) runnerOf(id, rack string) *runner {
	w.runnersMutex.Lock()
	defer w.runnersMutex.Unlock()
	for _, r := range w.runners {
		for task := range r.running {
			if jobOf(task) == id && (rack == "" || r.rack == rack) {
				return r
			}
		}
	}
	w.fail("no runner of rack %q runs %s", rack, id)
	return w.runners[0]
}

// suspectCase: all runners but one have a serving task. The only runner on which a job fits crashes
// once as the job starts. It is back after some seconds, but the job never starts again.
func suspectCase(w *world, trouble bool) {
	const serving, victim = "b000000000000001", "b000000000000002"
	if !w.submit(0, "/recalc/", serving, job{Spec: "serve", Steps: []step{{Count: 10, Cpu: 2000, MemMb: 69000, Gpu: 1, EstMs: 1000, Daemon: true, MaxPerServer: 1}}}) || !w.awaitRunning(serving, 10, 10*time.Second) {
		w.fail("the serving job does not run")
		return
	}
	time.Sleep(4 * time.Second)
	var once sync.Once
	w.runnersMutex.Lock()
	w.onStart = func(r *runner, x *run) {
		if trouble && jobOf(x.task) == victim {
			once.Do(func() { time.AfterFunc(100*time.Millisecond, func() { r.crash(crashTime) }) })
		}
	}
	w.runnersMutex.Unlock()
	s := step{Count: 1, Cpu: 13000, MemMb: 65000, Gpu: 2, EstMs: 5000, work: 5 * time.Second}
	if !w.submit(1, "/recalc/", victim, job{Spec: "job", Steps: []step{s}}) {
		w.fail("the job is not accepted")
		return
	}
	checkLost(w, "/recalc/", victim, s, time.Now())
}

// headroomCase: a large urgent job starts its tasks a few at a time, and half of the service is kept
// free for the others. A patient job waits, although neither uses the room.
func headroomCase(w *world, trouble bool) {
	const urgent, first, second = "c000000000000001", "c000000000000002", "c000000000000003"
	if trouble {
		if !w.submit(0, "/quote/", urgent, job{Spec: "large", Steps: []step{{Count: 18, Cpu: 7500, MemMb: 15000, Gpu: 8, EstMs: 8000, work: 8 * time.Second}}}) {
			w.fail("the large job is not accepted")
			return
		}
		time.Sleep(time.Second)
	}
	s := step{Count: 1, Cpu: 5600, MemMb: 15000, Gpu: 8, EstMs: 11000, work: 11 * time.Second}
	wide := s
	wide.Count = 6
	if !w.submit(1, "/sweep/", first, job{Spec: "patient", Steps: []step{wide}}) || !w.submit(2, "/sweep/", second, job{Spec: "patient", Steps: []step{s}}) {
		w.fail("a patient job is not accepted")
		return
	}
	checkLost(w, "/sweep/", second, s, time.Now())
}

// largeCase: the record of a wide gang is larger than the store's records may be. The leader tries to
// store it for good and stores nothing else, so that no other job starts.
func largeCase(w *world, trouble bool) {
	const large, other = "f000000000000001", "f000000000000002"
	s := step{Count: 1, Cpu: 7500, MemMb: 15000, Gpu: 1, EstMs: 2500, work: 2500 * time.Millisecond}
	if !w.submit(0, "/quote/", "f000000000000003", job{Spec: "before", Steps: []step{s}}) || !w.awaitRunning("f000000000000003", 1, 3*time.Second) {
		w.fail("a job does not run")
		return
	}
	if trouble && !w.submit(1, "/recalc/", large, job{Spec: "large", Steps: []step{{Count: 6000, Cpu: 10, MemMb: 20, EstMs: 2500, Gang: true, work: 2500 * time.Millisecond}}}) {
		w.note("the large job is refused")
	}
	time.Sleep(time.Second)
	if !w.submit(2, "/quote/", other, job{Spec: "after", Steps: []step{s}}) {
		w.fail("a job is not accepted")
		return
	}
	checkLost(w, "/quote/", other, s, time.Now())
	if trouble {
		w.call(0, "DELETE", "/recalc/"+large, nil, callerTimeout)
		w.sleep(8 * time.Second)
		w.note("8 s after the large job was canceled: %d starts of the other job, all ends of the job before it acknowledged: %t", len(w.startsOf(other)), !w.hasListedEnds())
	}
}

// hasListedEnds reports whether a runner lists ends that are not acknowledged.
func (w *world) hasListedEnds() bool {
	w.runnersMutex.Lock()
	defer w.runnersMutex.Unlock()
	return slices.ContainsFunc(w.runners, func(r *runner) bool { return len(r.finished) > 0 })
}

// longCase: a job whose task takes ten minutes is stopped every few seconds, since its progress in whole
// percent does not change for longer than a run may stand still. It begins anew each time, and waits
// between where only the runner that it has just left has room.
func longCase(w *world, trouble bool) {
	const serving, long = "b100000000000001", "b100000000000002"
	if !w.submit(0, "/recalc/", serving, job{Spec: "serve", Steps: []step{{Count: 10, Cpu: 2000, MemMb: 69000, Gpu: 1, EstMs: 1000, Daemon: true, MaxPerServer: 1}}}) || !w.awaitRunning(serving, 10, 10*time.Second) {
		w.fail("the serving job does not run")
		return
	}
	time.Sleep(4 * time.Second)
	// One of 21 jobs takes long.
	for n := range 20 {
		if !w.submit(n%entryCount, "/recalc/", fmt.Sprintf("b1000000000001%02d", n), job{Spec: "short", Steps: []step{{Count: 1, Cpu: 500, MemMb: 500, EstMs: 1000, work: time.Second}}}) {
			w.fail("a short job is not accepted")
			return
		}
	}
	time.Sleep(3 * time.Second)
	s := step{Count: 1, Cpu: 13000, MemMb: 65000, Gpu: 2, EstMs: 600_000, work: 5 * time.Second}
	if trouble {
		s.work = 10 * time.Minute
	}
	if !w.submit(1, "/recalc/", long, job{Spec: "job", Steps: []step{s}}) {
		w.fail("the job is not accepted")
		return
	}
	checkLost(w, "/recalc/", long, s, time.Now())
	w.sleep(30 * time.Second)
	w.note("%d starts of the long job so far", len(w.startsOf(long)))
}
