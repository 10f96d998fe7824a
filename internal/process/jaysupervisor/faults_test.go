package jaysupervisor

import (
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

// jointSeeds is how many seeds every test run plays.
const jointSeeds = 40

// TestSupervisorsAndCellUnderFaults injects faults in series and overlapping, and checks
// what the runners see. JAYSTILE_JOINT selects other seeds, as FIRST-LAST.
func TestSupervisorsAndCellUnderFaults(t *testing.T) {
	playSeeds(t, func(*fleet) {})
}

// playSeeds plays the random faults of each seed on a fleet that prepare has changed.
func playSeeds(t *testing.T, prepare func(f *fleet)) {
	first, last := uint64(1), uint64(jointSeeds)
	if seeds := os.Getenv("JAYSTILE_JOINT"); seeds != "" {
		from, to, _ := strings.Cut(seeds, "-")
		var err error
		first, err = strconv.ParseUint(from, 10, 64)
		assert.NilError(t, err)
		last, err = strconv.ParseUint(to, 10, 64)
		assert.NilError(t, err)
	}
	for seed := first; seed <= last; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playFaults(t, seed, prepare) })
		})
	}
}

func playFaults(t *testing.T, seed uint64, prepare func(f *fleet)) {
	lease, heartbeats := time.Second, seed%4 == 0
	if heartbeats {
		lease = 3 * time.Second
	}
	f := newFleet(t, lease, seed)
	defer f.close()
	if seed%3 == 0 {
		f.rough = 6
	}
	prepare(f)
	for i := range 3 + int(seed%2) {
		f.addNode(heartbeats && i == 0)
	}
	time.Sleep(2 * time.Second)
	for until := f.now() + 20*time.Second; f.now() < until && !f.failed(); {
		var wait time.Duration
		f.locked(func() {
			f.injectFault()
			wait = f.script.between(10, 250) * time.Duration(max(f.faultGap, 1))
		})
		time.Sleep(wait)
	}
	for _, n := range f.nodes {
		f.locked(func() { n.setCapacity(modelSlots) })
	}
	// The last faults end.
	time.Sleep(2 * maxFault)
	f.until("end of all jobs", 60*time.Second, func() bool {
		for _, j := range f.jobs {
			if !f.states[j.ID].Ended() {
				f.stuck = j.ID
				return false
			}
		}
		return true
	})
	time.Sleep(6 * time.Second)
	f.checkIdle()
}

// maxFault is longer than any fault.
const maxFault = 4 * time.Second

func (f *fleet) failed() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.failure != ""
}

// later calls a function without the mutex after a delay that is often longer than a lease.
func (f *fleet) later(do func()) {
	delay := f.script.between(20, 600)
	if f.script.chance(0.5) {
		delay = f.script.between(600, 3500)
	}
	time.AfterFunc(delay, do)
}

// minDowntime is the least time after which a runner is back under its name: some seconds.
const minDowntime = 1300 * time.Millisecond

// restartLater begins a new runner in place of r after a while, or after some seconds if it
// keeps its name.
func (f *fleet) restartLater(n *node, r *modelRunner) {
	if f.sameName {
		time.AfterFunc(f.luckOf(n.name).between(int(minDowntime.Milliseconds()), 3000), f.lockedFunc(n.replaceRunner(r)))
		return
	}
	f.later(func() { f.locked(n.replaceRunner(r)) })
}

// injectFault submits or cancels a job or begins a fault. The mutex is held.
func (f *fleet) injectFault() {
	n := f.nodes[f.script.IntN(len(f.nodes))]
	r := n.runner
	if r.unguarded = f.shrinking; f.shrinking && f.script.chance(0.3) {
		n.setCapacity(f.script.IntN(modelSlots + 1))
	}
	switch f.script.IntN(20 + f.rough) {
	case 0, 1, 2, 3, 4, 5:
		unfinished := 0
		for _, j := range f.jobs {
			if !f.states[j.ID].Ended() {
				unfinished++
			}
		}
		if unfinished < 4 {
			j := f.submitLocked(1+f.script.IntN(4), f.script.chance(0.3), f.script.between(50, 2500))
			f.doomed[j.ID] = f.script.chance(0.1)
			if f.deadlyShare > 0 {
				if f.deadly[j.ID] = f.script.chance(f.deadlyShare); f.deadly[j.ID] && f.lateCrashes {
					// It does not end before its crash.
					j.Steps[0].Estimate = 2 * lateCrashDelay
				}
			}
		}
	case 6, 7, 8, 9:
		f.cutAtRandom(n.link)
	case 10, 11:
		n.pauseLocked()
		f.later(n.resume)
	case 12, 20, 21:
		n.launch()
	case 13:
		r.silent = true
		n.disturb()
		f.logf("", "%s is silent", r.id)
		f.later(func() { f.locked(func() { r.silent = false; n.disturb(); f.logf("", "%s is no longer silent", r.id) }) })
	case 14, 15:
		reasons := []string{"room", jaycell.ReasonUnhealthy, ReasonDraining}
		r.refuse(reasons[f.script.IntN(len(reasons))])
		f.later(func() { f.locked(func() { r.refuse("") }) })
	case 16, 17:
		r.unreliable = 0.1 + 0.6*f.script.Float64()
		n.disturb()
		f.logf("", "%s is unreliable", r.id)
		f.later(func() { f.locked(func() { r.unreliable = 0; n.disturb(); f.logf("", "%s is reliable", r.id) }) })
	case 22:
		if !f.crashesFromTasksOnly {
			n.newRunner()
		}
	case 25:
		if r.alive && !f.crashesFromTasksOnly {
			n.endRunner()
			f.restartLater(n, r)
		}
	case 23:
		// A planned end, soon if the agent's confirmation arrives.
		if n.paused == nil && !r.leaving {
			r.leaving = true
			f.logf("", "%s deregisters", r.id)
			n.supervisor.Deregister(r.id)
			f.restartLater(n, r)
		}
	case 24:
		f.newTerm()
	case 18:
		switch f.script.IntN(4) {
		case 0:
			if !f.crashesFromTasksOnly {
				n.newRunner()
			}
		case 1:
			f.newTerm()
		default:
			f.storeDelay = f.script.between(100, 900)
			f.later(func() { f.locked(func() { f.storeDelay = 10 * time.Millisecond }) })
		}
	case 19:
		if j := f.jobs; len(j) > 0 && f.script.chance(0.3) {
			id := j[len(j)-1].ID
			f.logf(id, "cancel %s", id)
			f.canceled[id] = true
			f.cell.Cancel(id)
		}
	}
}

// replaceRunner returns a function that begins a new runner in place of r, unless there is
// one.
func (n *node) replaceRunner(r *modelRunner) func() {
	return func() {
		down := n.fleet.now() - r.diedAt
		switch {
		case n.runner != r:
		case n.fleet.sameName && !r.alive && down < minDowntime:
			time.AfterFunc(minDowntime-down, n.fleet.lockedFunc(n.replaceRunner(r)))
		default:
			n.newRunner()
		}
	}
}

// cutAtRandom cuts a link. Afterwards it goes on, or is replaced before or after its data
// in transit has arrived, or loses them.
func (f *fleet) cutAtRandom(l *link) {
	directions := [][]int{{up}, {down}, {up, down}}[f.script.IntN(3)]
	outcome := f.script.IntN(4)
	l.cutLocked(directions)
	f.later(func() {
		switch outcome {
		case 0:
			f.locked(func() { l.lost = true })
			fallthrough
		case 1:
			f.locked(l.replace)
			time.Sleep(20 * time.Millisecond)
			l.heal(directions...)
		case 2:
			l.heal(directions...)
			f.locked(l.replace)
		case 3:
			l.heal(directions...)
		}
	})
}

// replace opens a new link in place of this one, unless there is one.
func (l *link) replace() {
	if l.node.link == l {
		l.node.connect()
	}
}
