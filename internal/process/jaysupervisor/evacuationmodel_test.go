package jaysupervisor

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
	"github.com/jaystile/jaystile/internal/process/jayevacuation"
)

const (
	// evacuationLease is longer than the bound and than faults, so that a lapsed lease does not
	// prevent a start on an old statement.
	evacuationLease      = 10 * time.Second
	modelEvacuationBound = 4 * time.Second
	// answerTime is after what time an agent has noticed that its runner answers again: its calls
	// take up to 0.9 s.
	answerTime = 2500 * time.Millisecond
	// modelContact is how long an agent must have run without a pause for the bound to hold.
	modelContact = 4 * time.Second
)

// modelEvacuations are the operator's requests, and what the leader has read of them.
type modelEvacuations struct {
	luck luck
	// confirmedAt is since when a data centre is evacuated.
	confirmedAt map[string]time.Duration
	// topicDown is set while the operator's topic does not answer.
	topicDown bool
	// over is set once there are no more requests.
	over bool
	// view is as of viewAt, and known once the leader of the term has read the topic.
	view   map[string]bool
	viewAt time.Duration
	known  bool
}

// evacuate plays random requests and removals and makes the leader follow them.
func (f *fleet) evacuate() {
	e := &modelEvacuations{luck: luck{rand.New(rand.NewPCG(f.seed, 1))}, confirmedAt: map[string]time.Duration{}}
	f.locked(func() {
		f.evacuations, f.lease = e, evacuationLease
		// The leader that was there before knows nothing of evacuations.
		f.newTerm()
	})
	f.group.Go(func() {
		for until := f.now() + 22*time.Second; f.now() < until && f.ctx.Err() == nil; {
			var wait time.Duration
			f.locked(func() {
				// A data centre without runners is among them.
				dataCentre := string(rune('a' + e.luck.IntN(3)))
				switch e.luck.IntN(4) {
				case 0:
					e.topicDown = true
					f.logf("", "operator's topic is down")
					time.AfterFunc(e.luck.between(300, 6000), f.lockedFunc(func() { e.topicDown = false }))
				case 1:
					f.requestEvacuation(dataCentre)
				default:
					f.evacuateWithStartsPending(dataCentre)
				}
				wait = e.luck.between(500, 4000)
			})
			time.Sleep(wait)
		}
		f.locked(func() {
			f.logf("", "all data centres are taken back")
			e.topicDown, e.over = false, true
			clear(e.confirmedAt)
		})
	})
	f.group.Go(func() {
		for f.ctx.Err() == nil {
			f.readEvacuations()
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// requestEvacuation is a confirmed request. The mutex is held.
func (f *fleet) requestEvacuation(dataCentre string) {
	if _, evacuated := f.evacuations.confirmedAt[dataCentre]; !evacuated && !f.evacuations.over {
		f.logf("", "%s is evacuated", dataCentre)
		f.evacuations.confirmedAt[dataCentre] = f.now()
		time.AfterFunc(f.evacuations.luck.between(1000, 9000), f.lockedFunc(func() {
			f.logf("", "%s is taken back", dataCentre)
			delete(f.evacuations.confirmedAt, dataCentre)
		}))
	}
}

// evacuateWithStartsPending makes the runners of a data centre silent until starts are pending in
// their agents, evacuates it while the agents hear nothing of the leader, and lets the runners
// answer again after the bound, before the leader can withdraw the starts.
func (f *fleet) evacuateWithStartsPending(dataCentre string) {
	var runners []*modelRunner
	for _, n := range f.nodes {
		if n.dataCentre() == dataCentre && !n.runner.silent {
			n.disturb()
			n.runner.silent = true
			runners = append(runners, n.runner)
		}
	}
	f.logf("", "runners of %s are silent", dataCentre)
	l := f.evacuations.luck
	pending, answers := l.between(200, 900), modelEvacuationBound+l.between(20, 600)
	time.AfterFunc(pending, func() {
		var links []*link
		f.locked(func() {
			for _, r := range runners {
				r.node.link.cutLocked([]int{down})
				links = append(links, r.node.link)
			}
			f.requestEvacuation(dataCentre)
		})
		time.AfterFunc(answers, f.lockedFunc(func() {
			f.logf("", "runners of %s are no longer silent", dataCentre)
			for _, r := range runners {
				r.node.disturb()
				r.silent = false
			}
		}))
		time.AfterFunc(answers+answerTime, func() {
			for _, l := range links {
				l.heal(down)
			}
		})
	})
}

// readEvacuations reads the operator's topic for the leader of the present term.
func (f *fleet) readEvacuations() {
	e, wait := f.evacuations, time.Duration(0)
	f.locked(func() {
		if e.known && f.now()-e.viewAt < jayevacuation.RefreshAge(modelEvacuationBound) {
			return
		}
		wait = f.luckOf("operator").between(1, 300)
	})
	if wait == 0 {
		return
	}
	requestedAt := f.now()
	time.Sleep(wait / 2)
	var view map[string]bool
	var term uint64
	f.locked(func() {
		if e.topicDown {
			return
		}
		term, view = f.term, map[string]bool{}
		for dataCentre := range maps.Keys(e.confirmedAt) {
			view[dataCentre] = true
		}
	})
	time.Sleep(wait / 2)
	f.locked(func() {
		if view == nil || term != f.term {
			return
		}
		e.view, e.viewAt, e.known = view, requestedAt, true
		jaycontroller.Signal(f.wake)
	})
}

// isEvacuated is the check of the cell. The mutex is held.
func (e *modelEvacuations) isEvacuated(dataCentre string) bool { return e.view[dataCentre] }

// mayPlace reports whether the leader's view is recent enough to place tasks.
func (f *fleet) mayPlace() bool {
	e := f.evacuations
	if e == nil {
		return true
	}
	return e.known && f.now()-e.viewAt <= jayevacuation.MaxDecisionAge(modelEvacuationBound)
}

// statementFor returns what the leader tells an agent with a grant, and false if it knows nothing.
func (f *fleet) statementFor(r jaycell.Report) (jayevacuation.Statement, bool) {
	e := f.evacuations
	if e == nil || !e.known {
		return jayevacuation.Statement{}, false
	}
	return jayevacuation.Statement{Evacuated: e.view[r.Runner.DataCentre], ViewAge: f.now() - e.viewAt}, true
}

// checkEvacuation checks a run that begins. Calls that a runner executes late, and agents that
// have stood still, do not count.
func (f *fleet) checkEvacuation(x *modelRun) {
	n, now := x.runner.node, f.now()
	if f.evacuations == nil {
		return
	}
	at, evacuated := f.evacuations.confirmedAt[n.dataCentre()]
	inContact := n.paused == nil && (n.resumedAt == 0 || now-n.resumedAt > modelContact)
	if late := now - f.callAge - at; evacuated && inContact && late > modelEvacuationBound {
		f.fail(x.task, "run %d begins on %s %s after the evacuation of its data centre", x.run, x.runner.id, late)
	}
}

// dataCentre returns the node's data centre, of which there are two.
func (n *node) dataCentre() string { return string(rune('a' + (n.name[len(n.name)-1]-'0')%2)) }

// TestEvacuationsUnderFaults plays the random faults while data centres are evacuated and taken
// back: no start may happen later than the bound, and all jobs must end once all are in service.
func TestEvacuationsUnderFaults(t *testing.T) {
	playSeeds(t, func(f *fleet) { f.evacuate() })
}
