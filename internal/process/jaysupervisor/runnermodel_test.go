package jaysupervisor

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	modelStopTime = 200 * time.Millisecond
	modelGangTime = 800 * time.Millisecond
	modelSlots    = 3
	modelAttempts = 3
)

// modelRunner is one incarnation of a runner. Only runs that were stopped or ended there
// leave a mark.
type modelRunner struct {
	node  *node
	id    string
	alive bool
	// bornAt is when the life began, diedAt when it ended.
	bornAt, diedAt time.Duration
	// rate is the speed of its clock; lenient runners check only their own lease, not the
	// deadline of the start.
	rate     float64
	lenient  bool
	fence    uint64
	deadline time.Duration
	lapsedAt time.Duration
	marks    map[string]int
	finished []jaycell.End
	endedAt  map[uint64]time.Duration
	draining bool
	// slots is the capacity, which has shrunk at shrunkAt; unguarded runners start what does
	// not fit.
	slots     int
	shrunkAt  time.Duration
	unguarded bool
	// leaving runners have deregistered and send no heartbeats.
	leaving bool
	// refusal is the reason for which all starts are refused.
	refusal string
	// silent runners get no calls; unreliable is the chance that a call goes astray.
	silent     bool
	unreliable float64
	// deaf runners get no responses to their heartbeats.
	deaf bool
	// fates are those of the next start calls.
	fates []fate
}

// fate is when a call is executed, if at all, and whether it is answered.
type fate struct {
	delay              time.Duration
	executed, answered bool
}

// modelRun is a run that has begun. Units are gangs or single tasks.
type modelRun struct {
	task, unit, checkpoint   string
	run                      int
	runner                   *modelRunner
	work                     time.Duration
	beganAt, endsAt, stopsAt time.Duration
	ended                    bool
}

// endRunner ends the runner. Until there is a new one, nothing listens at its address.
func (n *node) endRunner() {
	r := n.runner
	r.alive, r.diedAt = false, n.fleet.now()
	n.fleet.noteCrash(r)
	for _, x := range slices.Clone(n.fleet.runs) {
		if x.runner == r {
			r.end(x, jaycell.EndLost)
		}
	}
	n.fleet.logf("", "runner %s has ended", r.id)
}

func (n *node) newRunner() {
	if n.runner != nil && n.runner.alive {
		n.endRunner()
		if n.fleet.sameName {
			// Runners are back after some seconds.
			time.AfterFunc(n.fleet.luckOf(n.name).between(int(minDowntime.Milliseconds()), 3000), n.fleet.lockedFunc(n.replaceRunner(n.runner)))
			return
		}
	}
	n.sequence++
	n.runner = &modelRunner{node: n, id: n.nextID(), alive: true, bornAt: n.fleet.now(), rate: 1 - 0.02*float64(n.sequence%2), lenient: n.fleet.script.chance(0.5), slots: modelSlots, marks: map[string]int{}, endedAt: map[uint64]time.Duration{}}
	n.fleet.logf("", "runner %s begins", n.runner.id)
}

// nextID returns the ID of the next life of the node's runner.
func (n *node) nextID() string {
	if n.fleet.sameName {
		return jaycell.IncarnationID(n.name+"-r", int64(n.sequence))
	}
	return fmt.Sprintf("%s-r%d", n.name, n.sequence)
}

// isMeant reports whether the runner takes a call for an incarnation as its own. It cannot tell
// its lives apart.
func (r *modelRunner) isMeant(incarnation string) bool {
	return jaycell.RunnerName(incarnation) == jaycell.RunnerName(r.id)
}

func (r *modelRunner) clock() time.Duration {
	f := r.node.fleet
	if f.sameName {
		// The clock starts anew.
		return time.Second + time.Duration(float64(f.now()-r.bornAt)*r.rate)
	}
	return time.Duration(float64(f.now()) * r.rate)
}

// fateOf draws what happens to a call that is made now.
func (r *modelRunner) fateOf(what string) fate {
	l := r.node.fleet.luckOf(r.id + what)
	x := fate{delay: l.between(1, 4), executed: true, answered: true}
	switch {
	case r.silent:
		return fate{delay: l.between(400, 2500), executed: l.chance(r.unreliable)}
	case strings.HasPrefix(what, "start") && len(r.fates) > 0:
		x, r.fates = r.fates[0], r.fates[1:]
	case l.chance(r.unreliable):
		switch l.IntN(4) {
		case 0:
			x.executed, x.answered = false, false
		case 1:
			x.answered = false
		case 2:
			x = fate{delay: l.between(5, 350), executed: true, answered: true}
		case 3:
			x = fate{delay: l.between(300, 4000), executed: true}
		}
	}
	return x
}

// call makes a call, which may be executed after the caller has given it up.
func (n *node) call(ctx, process context.Context, what, task string, execute func(r *modelRunner) error) error {
	f := n.fleet
	f.mutex.Lock()
	called := n.runner
	if n.paused != nil {
		// A process that stands still makes no calls: this one is from before.
		called = n.runnerAtPause
	}
	f.mutex.Unlock()
	n.awaitResume(process)
	if process.Err() != nil {
		return &NoAnswerError{Call: what, Cause: "process ended"}
	}
	f.mutex.Lock()
	restarted := called != n.runner
	f.mutex.Unlock()
	if restarted {
		return &NoAnswerError{Call: what, Cause: "connection closed"}
	}
	answer := make(chan error, 1)
	f.mutex.Lock()
	x := n.runner.fateOf(what)
	f.mutex.Unlock()
	if x.executed {
		time.AfterFunc(x.delay, func() {
			f.mutex.Lock()
			defer f.mutex.Unlock()
			f.advance()
			if n.runner != called && !f.lateOverLives {
				// It was lost with its connection.
				return
			}
			err := error(&EndedError{Call: what})
			if n.runner.alive {
				f.callAge = x.delay
				err = execute(n.runner)
				f.callAge = 0
			}
			if task != "" {
				f.logf(task, "%s %s: %v (sent %s ago, answered %v)", n.runner.id, what, err, x.delay, x.answered)
			}
			if x.answered {
				answer <- err
			}
		})
	}
	select {
	case err := <-answer:
		n.awaitResume(process)
		return err
	case <-ctx.Done():
		n.awaitResume(process)
		return &NoAnswerError{Call: what, Cause: "timeout"}
	}
}

func (n *node) client(process context.Context) RunnerClient {
	return RunnerClient{
		Start: func(ctx context.Context, s Start) error {
			return n.call(ctx, process, fmt.Sprintf("start %s run %d", s.Task, s.Run), s.Task, func(r *modelRunner) error { return r.start(s) })
		},
		Stop: func(ctx context.Context, s Stop) error {
			return n.call(ctx, process, fmt.Sprintf("stop %s run %d", s.Task, s.Run), s.Task, func(r *modelRunner) error { return r.stop(s) })
		},
		Renew: func(ctx context.Context, q Renewal) (Listing, error) {
			if err := n.call(ctx, process, "renew", "", func(r *modelRunner) error { return r.renew(q) }); err != nil {
				return Listing{}, err
			}
			n.fleet.mutex.Lock()
			r := n.runner
			n.fleet.mutex.Unlock()
			if r.id != q.Incarnation {
				// The listing tells its life.
				return Listing{}, &ReplacedError{Incarnation: r.id}
			}
			return n.list(ctx, process, q, r)
		},
		Throttle: func(context.Context, Throttle) error { return nil },
	}
}

// list answers a renewal once a run has ended or its time is over. The answer may be late.
func (n *node) list(ctx, process context.Context, q Renewal, r *modelRunner) (Listing, error) {
	until := n.fleet.now() + q.Wait
	for {
		n.fleet.mutex.Lock()
		l, ready := r.listing(), len(r.finished) > 0 || n.fleet.now() >= until
		silent, closed := r.silent, !r.alive && !r.silent
		late, chances := time.Duration(0), n.fleet.luckOf(r.id)
		if chances.chance(r.unreliable) {
			late = chances.between(1, 300)
		}
		n.fleet.mutex.Unlock()
		if closed {
			return Listing{}, &NoAnswerError{Call: "renew", Cause: "connection closed"}
		}
		if ready && !silent {
			if !jayclock.Sleep(ctx, late) {
				return Listing{}, &NoAnswerError{Call: "renew", Cause: "timeout"}
			}
			n.awaitResume(process)
			return l, nil
		}
		if !jayclock.Sleep(ctx, 20*time.Millisecond) {
			return Listing{}, &NoAnswerError{Call: "renew", Cause: "timeout"}
		}
	}
}

func (r *modelRunner) extend(deadline time.Duration) { r.deadline = max(r.deadline, deadline) }

// checkDeadline checks that a deadline is not meant for a former life of the runner, whose clock
// was ahead.
func (r *modelRunner) checkDeadline(deadline time.Duration) {
	const drift = 200 * time.Millisecond
	if f := r.node.fleet; !f.lateOverLives && deadline > r.clock()+f.lease+drift {
		f.fail("", "a deadline is %s ahead on %s, %s after it began", deadline-r.clock(), r.id, f.now()-r.bornAt)
	}
}

func (r *modelRunner) start(s Start) error {
	f := r.node.fleet
	switch {
	case !r.isMeant(s.Incarnation):
		return &ReplacedError{Incarnation: r.id}
	case r.refusal == jaycell.ReasonUnhealthy:
		return &RefusedError{Call: "start", Reason: r.refusal}
	case s.Fence < r.fence:
		return &RefusedError{Call: "start", Reason: ReasonFence}
	}
	r.checkDeadline(s.Deadline)
	r.fence = s.Fence
	r.extend(s.Deadline)
	if r.clock() > r.deadline || r.clock() > s.Deadline && !r.lenient {
		return &RefusedError{Call: "start", Reason: ReasonLeaseExpired}
	}
	used := 0
	for _, x := range f.runs {
		if x.runner == r && x.task == s.Task && x.run == s.Run {
			return nil
		}
		if x.runner == r {
			used++
		}
	}
	if r.marks[s.Task] >= s.Run {
		return &RefusedError{Call: "start", Reason: "old"}
	}
	if r.refusal != "" || used >= r.slots && !r.unguarded {
		return &RefusedError{Call: "start", Reason: "room"}
	}
	f.beginRun(r, s)
	return nil
}

func (r *modelRunner) stop(s Stop) error {
	f := r.node.fleet
	switch {
	case !r.isMeant(s.Incarnation):
		return &ReplacedError{Incarnation: r.id}
	case s.Fence < r.fence:
		return &RefusedError{Call: "stop", Reason: ReasonFence}
	}
	r.fence = s.Fence
	r.marks[s.Task] = max(r.marks[s.Task], s.Run)
	for _, x := range f.runs {
		if x.runner == r && x.task == s.Task && x.run == s.Run && x.stopsAt == 0 {
			x.stopsAt = f.now() + f.luckOf(s.Task).between(2, int(modelStopTime.Milliseconds()))
		}
	}
	return nil
}

func (r *modelRunner) renew(q Renewal) error {
	switch {
	case !r.isMeant(q.Incarnation):
		return &ReplacedError{Incarnation: r.id}
	case q.Fence < r.fence:
		return &RefusedError{Call: "renew", Reason: ReasonFence}
	}
	r.checkDeadline(q.Deadline)
	r.fence = q.Fence
	r.extend(q.Deadline)
	r.acknowledge(q.Acknowledged)
	return nil
}

// acknowledge forgets ends. Those as done or failed count from now on, unless the lease has
// lapsed after them.
func (r *modelRunner) acknowledge(number uint64) {
	f := r.node.fleet
	if number > uint64(len(r.endedAt)) {
		f.fail("", "end %d of %s is acknowledged, which has ended %d runs", number, r.id, len(r.endedAt))
	}
	for len(r.finished) > 0 && r.finished[0].Number <= number {
		e := r.finished[0]
		r.finished = r.finished[1:]
		unit, at := f.unitOf(e.Task), r.endedAt[e.Number]
		f.logf(e.Task, "%s: end of %s run %d as %s acknowledged", r.id, e.Task, e.Run, e.Reason)
		if r.lapsedAt >= at {
			continue
		}
		if e.Reason == jaycell.EndFailed {
			if f.failedRuns[unit] == nil {
				f.failedRuns[unit] = map[int]time.Duration{}
			}
			f.failedRuns[unit][e.Run] = at
			latest := slices.Max(slices.Collect(maps.Values(f.failedRuns[unit])))
			if x := f.begun[unit]; len(f.failedRuns[unit]) >= modelAttempts && x.beganAt > latest {
				f.fail(x.task, "run %d began on %s after %d had failed", x.run, x.runner.id, modelAttempts)
			}
		}
		if e.Reason != jaycell.EndDone {
			continue
		}
		f.done[unit] = at
		if x := f.begun[unit]; x.beganAt > at {
			f.fail(x.task, "run %d began on %s after run %d was done", x.run, x.runner.id, e.Run)
		}
	}
}

func (r *modelRunner) listing() Listing {
	l := Listing{Clock: r.clock(), Finished: slices.Clone(r.finished)}
	now := r.node.fleet.now()
	for _, x := range r.node.fleet.runs {
		if x.runner != r {
			continue
		}
		percent := 0
		if x.endsAt > 0 {
			percent = int(100 * (x.work - max(0, x.endsAt-now)) / x.work)
		}
		l.Running = append(l.Running, jaycell.Run{Task: x.task, Run: x.run, Checkpoint: x.checkpoint, Percent: percent})
	}
	return l
}

func (f *fleet) jobOf(task string) *jaytask.Job {
	for _, j := range f.jobs {
		if strings.HasPrefix(task, j.ID) {
			return j
		}
	}
	return nil
}

// unitOf returns the name of the gang of a task, or of the task itself.
func (f *fleet) unitOf(task string) string {
	if f.jobOf(task).Steps[0].Gang {
		return task[:strings.LastIndexByte(task, '.')+1]
	}
	return task
}

// beginRun checks and begins a run.
func (f *fleet) beginRun(r *modelRunner, s Start) {
	unit, now, job := f.unitOf(s.Task), f.now(), f.jobOf(s.Task)
	x := &modelRun{task: s.Task, unit: unit, run: s.Run, runner: r, beganAt: now, checkpoint: s.Checkpoint, work: job.Steps[0].Estimate}
	for _, other := range f.runs {
		switch {
		case other.unit != unit:
		case other.task == s.Task || other.run != s.Run:
			f.fail(s.Task, "run %d begins on %s while run %d of %s is on %s", s.Run, r.id, other.run, other.task, other.runner.id)
		case other.checkpoint != s.Checkpoint:
			f.fail(s.Task, "run %d has checkpoint %q, another member %q", s.Run, s.Checkpoint, other.checkpoint)
		}
	}
	if at, ok := f.done[unit]; ok {
		f.fail(s.Task, "run %d begins on %s %s after it was done", s.Run, r.id, now-at)
	}
	if n := len(f.failedRuns[unit]); n >= modelAttempts {
		f.fail(s.Task, "run %d begins on %s after %d failed", s.Run, r.id, n)
	}
	// An agent out of touch may use up its lease.
	if at, ok := f.endedAt[job.ID]; ok && now-f.callAge-at > f.lease+time.Second {
		f.fail(s.Task, "run %d begins on %s %s after the end of its job", s.Run, r.id, now-at)
	}
	f.checkBudget(x)
	f.checkEvacuation(x)
	f.checkCapacity(x)
	f.runs, f.begun[unit] = append(f.runs, x), x
	f.logf(s.Task, "%s: run %d of %s begins", r.id, s.Run, s.Task)
}

// advance lets time pass for all runners.
func (f *fleet) advance() {
	now := f.now()
	for _, n := range f.nodes {
		if n.runner.clock() > n.runner.deadline {
			n.runner.lapsedAt = now
		}
	}
	f.crashRunners()
	members := map[string]int{}
	for _, x := range f.runs {
		members[x.unit]++
	}
	for _, x := range slices.Clone(f.runs) {
		step := f.jobOf(x.task).Steps[0]
		switch {
		case x.ended:
		case x.runner.lapsedAt == now:
			x.runner.end(x, jaycell.EndLapsed)
		case x.stopsAt > 0 && now >= x.stopsAt:
			x.runner.end(x, jaycell.EndStopped)
		case x.endsAt > 0 && now >= x.endsAt && (f.doomed[f.jobOf(x.task).ID] || f.luckOf(x.task).chance(0.05*x.runner.unreliable)):
			x.runner.end(x, jaycell.EndFailed)
		case x.endsAt > 0 && now >= x.endsAt:
			x.runner.end(x, jaycell.EndDone)
		case x.endsAt == 0 && (!step.Gang || members[x.unit] == step.Count):
			x.endsAt = now + x.work
		case x.endsAt == 0 && now > x.beganAt+modelGangTime:
			x.runner.end(x, jaycell.EndGangIncomplete)
		}
	}
}

// end ends a run. The other members of its gang are done or broken with it.
func (r *modelRunner) end(x *modelRun, reason jaycell.EndReason) {
	f := r.node.fleet
	if x.ended {
		return
	}
	x.ended = true
	f.runs = slices.DeleteFunc(f.runs, func(y *modelRun) bool { return x == y })
	r.marks[x.task] = max(r.marks[x.task], x.run)
	number := uint64(len(r.endedAt) + 1)
	r.endedAt[number] = f.now()
	checkpoint := fmt.Sprintf("%s/%d", x.unit, x.run)
	if reason == jaycell.EndFailed {
		if f.failedEnds[x.unit] == nil {
			f.failedEnds[x.unit] = map[int]bool{}
		}
		f.failedEnds[x.unit][x.run] = true
	}
	r.finished = append(r.finished, jaycell.End{Number: number, Task: x.task, Run: x.run, Reason: reason, Checkpoint: checkpoint})
	f.logf(x.task, "%s: run %d of %s ends as %s", r.id, x.run, x.task, reason)
	others := reason
	if reason != jaycell.EndDone {
		others = jaycell.EndGangBroken
	}
	for _, y := range slices.Clone(f.runs) {
		if y.unit == x.unit && y.run == x.run {
			y.runner.end(y, others)
		}
	}
}
