package jaycell

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// maxCrashesAtStart is how many runners may crash under a task before it has
	// progressed; then its job fails.
	maxCrashesAtStart = 3
	// maxCrashes is how many runners may crash under a task at all, however far it has come
	// or has saved; then its job fails.
	maxCrashes = 4
	// maxCrashesBesideOthers is how many more may if other tasks were on the last of them: a
	// neighbor may have crashed it.
	maxCrashesBesideOthers = 1
	// An end that no agent has seen counts as a crash as well after minSeenCrashes that agents have
	// seen, and towards the failure of the job after minSeenToFail: runners also end with their
	// machines, and a run may have ended before its runner.
	minSeenCrashes = 2
	minSeenToFail  = 3
	// maxUnseenEnds bounds the ends that are kept: with as many, minSeenToFail are enough to
	// fail the job. Earlier versions count each as a crash, and would start a task with more no more.
	maxUnseenEnds = maxCrashes + maxCrashesBesideOthers - minSeenToFail
	// maxCrashesBeside is after how many crashes a task is tried apart whatever its progress:
	// what crashes runners late is found out, and what ran beside it is spared.
	maxCrashesBeside = 3
	// trialShare bounds the runners on which suspects are tried at the same time, as a
	// fraction of the runners of their service.
	trialShare = 4
	// trialWait is how long a suspect waits for an empty runner before it shares one with
	// tasks that have progressed, which are not suspect if that runner crashes.
	trialWait = 1500 * time.Millisecond
)

// Crash is the crash of a runner that its agent has seen: the runner answered, had not
// announced its shutdown, and then nothing listened at its address or another incarnation
// answered there.
type Crash struct {
	// Runner is the incarnation that crashed.
	Runner string
	Runs   []CrashedRun
}

// CrashedRun is a run that was on a runner when it crashed, or may have begun there.
type CrashedRun struct {
	Task string
	Run  int
	// Percent is the last listed progress. It last rose WorkedFor after the run was first
	// listed, which was ListedFor before the last listing.
	Percent   int
	WorkedFor time.Duration
	ListedFor time.Duration
}

// progressed reports whether the run worked beyond its start.
func (r CrashedRun) progressed() bool { return r.WorkedFor >= instantFailureWindow }

// taskCrash is a crash under a task of a unit. It is stored with the unit.
type taskCrash struct {
	_     struct{} `cbor:",toarray"`
	Index int
	Run   int
	// Runner is the incarnation that crashed, on Node.
	Runner string
	Node   string
	// Percent is the last listed progress, or unseenEnd.
	Percent int
	// Progressed is set if the task had worked beyond its start, or has come further since.
	Progressed bool
}

// unseenEnd stands for the progress in a crash that no agent has seen: another runner took the
// place of the one under the task, which had not announced its shutdown.
const unseenEnd = -1

// applyCrashes counts the crashes in a report. They are acknowledged once the resulting
// records are stored, and count once however often and late they are reported.
func (c *Cell) applyCrashes(p Report) {
	for _, x := range p.Crashes {
		if r := c.runners[x.Runner]; r != nil && !r.crashed {
			r.crashed = true
			c.reportDecision(Decision{Runner: x.Runner, Event: "crash", Outcome: "runner", Reason: fmt.Sprintf("%d runs were on it", len(x.Runs))})
		}
		for _, run := range x.Runs {
			c.countCrash(x, p.Node, run)
		}
		c.orders = append(c.orders, Order{Kind: OrderAcknowledgeCrash, Node: p.Node, Runner: x.Runner})
	}
}

// countCrash counts a crash under a task. The runs of a runner crash together, so that a
// crash makes a suspect of each that has not progressed; the others are seen as victims.
func (c *Cell) countCrash(x Crash, node string, run CrashedRun) {
	id, occurrence, step, index, ok := parseTaskName(run.Task)
	j := c.jobs[id]
	if !ok || j == nil || j.state.Ended() {
		return
	}
	u := j.unitFor(occurrence, step, index)
	if u == nil || u.phase == phaseDone || u.phase == phaseFailed || run.Run <= u.clearedRuns[index] {
		return
	}
	u.removeUnseenEnd(index, run.Run)
	if u.hasCrash(index, run.Run) {
		return
	}
	if u.spec().Daemon && run.ListedFor >= earlyFailureWindow {
		return
	}
	if run.progressed() && run.Percent > u.crashPercent(index) {
		u.clearCrashes(index, run.Run)
	}
	u.crashes = append(u.crashes, taskCrash{Index: index, Run: run.Run, Runner: x.Runner, Node: node, Percent: run.Percent, Progressed: run.progressed()})
	c.dirtyUnits[u] = true
	atStart, _, all := u.countCrashes(index)
	outcome := "victim"
	if !run.progressed() {
		outcome = "suspect"
	}
	c.reportDecision(Decision{Job: id, Task: run.Task, Run: run.Run, Runner: x.Runner, Event: "crash", Outcome: outcome, Reason: fmt.Sprintf("at %d%%; crashes under the task: %d at its start, %d in all", run.Percent, atStart, all), AgeMS: c.jobAgeMS(j)})
	if u.isDeadly() || x.isApart(u) && u.hasCrashed(index, 0) {
		c.giveUp(u, run.Task, index)
	}
}

// isApart reports whether nothing but a unit was on the runner.
func (x Crash) isApart(u *unit) bool {
	return !slices.ContainsFunc(x.Runs, func(r CrashedRun) bool {
		id, occurrence, step, index, ok := parseTaskName(r.Task)
		return !ok || id != u.job.spec.ID || u.job.unitFor(occurrence, step, index) != u
	})
}

// noteUnseenEnd counts the end of a runner in whose place another one reports and whose crash no
// agent has reported, under the tasks that were there: its agent was away, or got no answers for
// too long to tell. Nothing else tells such an end from that of a machine.
func (c *Cell) noteUnseenEnd(r *Runner) {
	if r.crashed || r.info.Draining || r.evacuated {
		return
	}
	for _, pl := range append(sortedPlacements(r), r.lapsed...) {
		u := pl.unit
		if !pl.committed || u.spec().Daemon || u.phase == phaseDone || u.phase == phaseFailed || u.job.state.Ended() || u.hasCrash(pl.index, pl.run) || u.countUnseenEnds(pl.index) >= maxUnseenEnds {
			continue
		}
		u.crashes = append(u.crashes, taskCrash{Index: pl.index, Run: pl.run, Runner: r.id, Node: r.node, Percent: unseenEnd, Progressed: true})
		c.dirtyUnits[u] = true
		_, _, all := u.countCrashes(pl.index)
		c.reportDecision(Decision{Job: u.job.spec.ID, Task: pl.task(), Run: pl.run, Runner: r.id, Event: "crash", Outcome: "unseen", Reason: fmt.Sprintf("crashes under the task: %d in all", all), AgeMS: c.jobAgeMS(u.job)})
		if u.isDeadly() {
			c.giveUp(u, pl.task(), pl.index)
		}
	}
}

// giveUp fails the job of a unit that crashes its runners.
func (c *Cell) giveUp(u *unit, task string, index int) {
	var runners []string
	for _, x := range u.crashes {
		if x.Index == index {
			runners = append(runners, x.Runner)
		}
	}
	u.reason = fmt.Sprintf("%s has crashed %d runners: %s", task, len(runners), strings.Join(runners, ", "))
	c.reportDecision(Decision{Job: u.job.spec.ID, Task: task, Run: u.run, Event: "crash", Outcome: "given up", Reason: u.reason, AgeMS: c.jobAgeMS(u.job)})
	if u.phase == phaseWaiting {
		u.phase = phaseFailed
	}
	c.endJob(u.job, jaytask.Failed)
}

// recordSurvival clears a task of suspicion that has come further than at any crash, or, if
// it is a daemon task, has outlived its start.
func (c *Cell) recordSurvival(pl *placement) {
	u := pl.unit
	if len(u.crashes) == 0 || pl.runner.crashed {
		// The agent repeats its last listing of a runner that has crashed.
		return
	}
	survived := pl.hasWorked() && pl.percent > u.crashPercent(pl.index)
	if u.spec().Daemon {
		survived = c.now-pl.confirmedAt >= earlyFailureWindow
	}
	if survived && u.clearCrashes(pl.index, pl.run) {
		c.dirtyUnits[u] = true
		c.reportDecision(Decision{Job: u.job.spec.ID, Task: pl.task(), Run: pl.run, Runner: pl.runner.id, Event: "crash", Outcome: "cleared", Reason: fmt.Sprintf("at %d%%", pl.percent), AgeMS: c.jobAgeMS(u.job)})
	}
}

// hasWorked reports whether the run has progressed beyond its start. An agent may repeat an
// old listing, so that the time of the report does not count.
func (pl *placement) hasWorked() bool {
	return pl.percent > pl.firstPercent && pl.progressAt-pl.confirmedAt >= instantFailureWindow
}

func (u *unit) hasCrash(index, run int) bool {
	return slices.ContainsFunc(u.crashes, func(x taskCrash) bool { return x.Index == index && x.Run == run })
}

// removeUnseenEnd forgets that the end of a run's runner was not seen: its agent tells later.
func (u *unit) removeUnseenEnd(index, run int) {
	u.crashes = slices.DeleteFunc(u.crashes, func(x taskCrash) bool { return x.Index == index && x.Run == run && x.Percent == unseenEnd })
}

// clearCrashes clears a task of the suspicion that it crashes runners as it starts, up to a run
// of which late reports do not count either. A daemon task's crashes are forgotten: it outlives
// many runners. It reports whether anything has changed.
func (u *unit) clearCrashes(index, run int) bool {
	if u.clearedRuns == nil {
		u.clearedRuns = map[int]int{}
	}
	u.clearedRuns[index] = max(u.clearedRuns[index], run-1)
	if u.spec().Daemon {
		n := len(u.crashes)
		u.crashes = slices.DeleteFunc(u.crashes, func(x taskCrash) bool { return x.Index == index })
		return len(u.crashes) < n
	}
	changed := false
	for i, x := range u.crashes {
		if x.Index == index && !x.Progressed {
			u.crashes[i].Progressed, changed = true, true
		}
	}
	return changed
}

// crashPercent returns the furthest progress at which a runner crashed under a task.
func (u *unit) crashPercent(index int) int {
	percent := 0
	for _, x := range u.crashes {
		if x.Index == index {
			percent = max(percent, x.Percent)
		}
	}
	return percent
}

// countCrashes counts the crashes under a task beyond which it has not progressed, those that
// agents have seen, and all that count.
func (u *unit) countCrashes(index int) (atStart, seen, all int) {
	for _, x := range u.crashes {
		if x.Index == index && x.Percent != unseenEnd {
			seen++
			if !x.Progressed {
				atStart++
			}
		}
	}
	if all = seen; seen >= minSeenCrashes {
		all += u.countUnseenEnds(index)
	}
	return atStart, seen, all
}

func (u *unit) countUnseenEnds(index int) int {
	n := 0
	for _, x := range u.crashes {
		if x.Index == index && x.Percent == unseenEnd {
			n++
		}
	}
	return n
}

// hasCrashed reports whether as many runners as fail a job, and more, have crashed under a task.
func (u *unit) hasCrashed(index, more int) bool {
	atStart, seen, all := u.countCrashes(index)
	return atStart >= maxCrashesAtStart && all >= maxCrashesAtStart+more || seen >= minSeenToFail && all >= maxCrashes+more
}

// isDeadly reports whether too many runners have crashed under a task of the unit, whatever
// was beside it.
func (u *unit) isDeadly() bool {
	return slices.ContainsFunc(u.crashes, func(x taskCrash) bool {
		return u.hasCrashed(x.Index, maxCrashesBesideOthers)
	})
}

// isSuspect reports whether the unit may crash the runners that start it, at once or later.
func (u *unit) isSuspect() bool {
	return u.isSuspectAtStart() || u.maxCrashesOfTask() >= maxCrashesBeside
}

func (u *unit) isSuspectAtStart() bool {
	return slices.ContainsFunc(u.crashes, func(x taskCrash) bool { return !x.Progressed })
}

func (u *unit) hasCrashedOn(node string) bool {
	return slices.ContainsFunc(u.crashes, func(x taskCrash) bool { return x.Node == node })
}

// mayBeTriedWith reports whether two suspects may be tried on one runner: they have met one
// crash each, and not the same, so that each may well be the neighbor of the task that caused
// it. With many crashes at once, suspects would wait long for runners of their own.
func (u *unit) mayBeTriedWith(other *unit) bool {
	for _, x := range u.crashes {
		for _, y := range other.crashes {
			if x.Runner == y.Runner {
				return false
			}
		}
	}
	return u.maxCrashesOfTask() == 1 && other.maxCrashesOfTask() == 1
}

// maxCrashesOfTask returns the highest number of crashes under one task of the unit.
func (u *unit) maxCrashesOfTask() int {
	most := 0
	for _, x := range u.crashes {
		_, _, all := u.countCrashes(x.Index)
		most = max(most, all)
	}
	return most
}

// trySuspects places the suspects among the units of a step, apart from other units, and
// returns the other units.
func (r *round) trySuspects(units []*unit) []*unit {
	others := units[:0:0]
	for _, u := range units {
		if u.isSuspect() {
			r.trySuspect(u)
		} else {
			others = append(others, u)
		}
	}
	return others
}

// trySuspect places a suspect on empty runners, and once it has waited, on some that run
// only tasks that have progressed. It preempts nothing.
func (r *round) trySuspect(u *unit) {
	c := r.cell
	if !r.mayUseReserve(u) {
		return
	}
	sel, ok := r.selectRunners(u, u.count, nil)
	if !ok && r.mayRunRemote(u) {
		sel, ok = r.assign(u, u.count, r.eligible(u, ""), nil)
	}
	if !ok {
		if u.trialWantedAt == 0 {
			u.trialWantedAt = c.now
		}
		r.queryUnknownRunners(u)
		return
	}
	if !r.haveValidTickets(u, sel.runners) || !r.mayAddTrials(u, sel.runners) {
		return
	}
	r.startTrial(u, sel.runners)
}

// startTrial starts a suspect on runners, which it shares with no other unit in this round.
func (r *round) startTrial(u *unit, runners []*candidate) {
	u.trialWantedAt = 0
	r.startRun(u, runners)
	for _, cand := range runners {
		if !slices.Contains(cand.tried, u) {
			cand.tried = append(cand.tried, u)
		}
	}
}

// mayAddTrials reports whether suspects may be tried on more runners. A single unit always
// may, and so may one that would crash them later: such a trial lasts as long as its work.
func (r *round) mayAddTrials(u *unit, runners []*candidate) bool {
	if !u.isSuspectAtStart() {
		return true
	}
	trials, pool, added := 0, 0, map[*candidate]bool{}
	for _, cand := range runners {
		if len(cand.tried) == 0 {
			added[cand] = true
		}
	}
	for _, cand := range r.candidates {
		if cand.runner.info.Service != u.job.spec.Policy.Service {
			continue
		}
		pool++
		if slices.ContainsFunc(cand.tried, (*unit).isSuspectAtStart) {
			trials++
		}
	}
	return trials == 0 || len(added) == 0 || trials+len(added) <= pool/trialShare
}

// keepsApart reports whether a unit may share a candidate with what runs there, as far as
// suspects are concerned.
func (r *round) keepsApart(u *unit, cand *candidate) bool {
	if !u.isSuspect() {
		return len(cand.tried) == 0
	}
	if len(cand.tried) > 0 {
		return !slices.ContainsFunc(cand.tried, func(other *unit) bool { return !u.mayBeTriedWith(other) })
	}
	if len(cand.runner.placements) == 0 {
		return cand.free == cand.runner.info.Capacity
	}
	if u.trialWantedAt == 0 || r.cell.now-u.trialWantedAt < trialWait {
		return false
	}
	for _, pl := range cand.runner.placements {
		if !pl.hasWorked() && !pl.unit.spec().Daemon {
			return false
		}
	}
	return true
}

// holdsElsewhere reports whether the nodes where no runner has crashed under the unit could
// hold it when empty.
func (r *round) holdsElsewhere(u *unit) bool {
	slots := 0
	for _, cand := range r.candidates {
		if cand.runner.eligibleFor(u) && r.cell.adviceFor(u).allows(cand.runner.id) && !u.hasCrashedOn(cand.runner.node) {
			slots += capacityFor(cand.runner.info.Capacity, u, u.count)
		}
	}
	return slots >= u.count
}

// triedUnits returns the suspects that are being tried on a runner.
func (r *Runner) triedUnits() []*unit {
	var tried []*unit
	for _, pl := range r.placements {
		if pl.unit.isSuspect() && !slices.Contains(tried, pl.unit) {
			tried = append(tried, pl.unit)
		}
	}
	return tried
}
