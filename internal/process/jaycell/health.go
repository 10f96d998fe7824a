package jaycell

import (
	"fmt"
	"time"
)

const (
	// failuresBeforeProbation is the number of consecutive failures of different jobs
	// after which a runner is put on probation.
	failuresBeforeProbation = 2
	// minProbation is how long a runner on probation is avoided; it doubles with each
	// further failure up to maxProbation.
	minProbation = 3 * time.Second
	maxProbation = 12 * time.Second
	// instantFailureWindow is how soon after its start a run must fail for the runner to be
	// the likelier cause: a task fails of its own at any point of its work, but a faulty
	// runner fails whatever it starts, and so stays free for more.
	instantFailureWindow = 300 * time.Millisecond
	// A job of which no run has outlived instantFailureWindow may put at most maxSuspects
	// runners, or 1/suspectShare of those that it has been placed on, on probation by
	// instant failures: it may be hopeless itself.
	maxSuspects  = 2
	suspectShare = 4
	// avoidDuration is how long a unit avoids a runner on which it failed or stalled:
	// as long as a faulty worker typically keeps failing. refusalAvoidDuration is the
	// same after a refusal, whose cause passes sooner.
	avoidDuration        = 8 * time.Second
	refusalAvoidDuration = 2 * time.Second
	// stallTimeout is how long a run may show no progress: several times the duration
	// of one percent of the longest work, and more than a short freeze.
	stallTimeout = 3500 * time.Millisecond
	// slowSpeed is the speed below which a runner is avoided for avoidDuration: less than
	// that of sound workers of different kinds.
	slowSpeed = 0.5
	// maxSpeedRatio bounds one measurement: tasks of one step differ in work.
	maxSpeedRatio = 8.0
)

func (r *Runner) resetFailures() {
	r.failures, r.failedJob, r.avoidUntil = 0, "", 0
}

// recordFailure counts a failed run against its runner, unless the job is the likelier
// cause: its unit already avoids other runners but not this one, or the runner's last
// counted failure was of the same job.
func (c *Cell) recordFailure(pl *placement) {
	u := pl.unit
	_, failedHere := u.avoidUntil[pl.runner.id]
	failedElsewhere := len(u.avoidUntil) > 0 && !failedHere
	u.avoidRunner(pl.runner.id, c.now+avoidDuration)
	if c.isInstantFailure(pl) {
		// Other runs that began before the probation say nothing new.
		if c.now >= pl.runner.avoidUntil {
			pl.runner.failures = max(pl.runner.failures+1, failuresBeforeProbation)
			pl.runner.failedJob = u.job.spec.ID
			c.startProbation(pl.runner)
		}
		return
	}
	if failedElsewhere || pl.runner.failedJob == u.job.spec.ID {
		return
	}
	pl.runner.failures++
	pl.runner.failedJob = u.job.spec.ID
	c.startProbation(pl.runner)
}

// isInstantFailure reports whether a run failed so soon that its runner is the likelier
// cause.
func (c *Cell) isInstantFailure(pl *placement) bool {
	if pl.confirmed && c.now-pl.confirmedAt >= instantFailureWindow {
		return false
	}
	j := pl.unit.job
	if j.healthy {
		return true
	}
	if j.suspects == nil {
		j.suspects = map[*Runner]bool{}
	}
	j.suspects[pl.runner] = true
	placedOn := map[*Runner]bool{pl.runner: true}
	for _, u := range j.units {
		for _, other := range u.placements {
			placedOn[other.runner] = true
		}
	}
	return len(j.suspects) <= max(maxSuspects, len(placedOn)/suspectShare)
}

// recordHealth notes that a run works, which acquits its job and its runner.
func (c *Cell) recordHealth(pl *placement) {
	if pl.percent <= pl.firstPercent || c.now-pl.confirmedAt < instantFailureWindow {
		return
	}
	pl.unit.job.healthy = true
	if pl.runner.onTrial() && c.now >= pl.runner.avoidUntil {
		pl.runner.resetFailures()
	}
}

// onTrial reports whether the runner has been on probation and has not worked since. It
// then gets one single task at a time.
func (r *Runner) onTrial() bool { return r.failures >= failuresBeforeProbation }

// mayTry reports whether a unit may be placed on the runner as far as its trial is
// concerned.
func (r *Runner) mayTry(u *unit) bool {
	return !r.onTrial() || u.count == 1 && len(r.placements) == 0
}

// startProbation keeps new work off a runner that has failed repeatedly.
func (c *Cell) startProbation(r *Runner) {
	excess := r.failures - failuresBeforeProbation
	if excess < 0 {
		return
	}
	r.avoidUntil = c.now + min(minProbation<<min(excess, 4), maxProbation)
	c.reportDecision(Decision{Runner: r.id, Event: "probation", Outcome: "avoided", Reason: "runs failed at once, or of different jobs in a row, or stalled", AgeMS: int64((r.avoidUntil - c.now) / time.Millisecond)})
}

// handleRefusal handles a start that the runner refused.
func (c *Cell) handleRefusal(pl *placement, reason string) {
	pl.unit.reason = "start refused: " + reason
	if a := c.adviceFor(pl.unit); a != nil && reason == ReasonTicket {
		// The runner may still run the step; only the ticket has expired.
		a.tickets[pl.runner.id] = ticket{}
		return
	}
	pl.unit.avoidRunner(pl.runner.id, c.now+refusalAvoidDuration)
	if reason == ReasonUnhealthy {
		pl.runner.failures++
		c.startProbation(pl.runner)
	}
}

// ReasonTicket is the refusal reason for a missing or expired ticket.
const ReasonTicket = "ticket"

// ReasonUnhealthy is the refusal reason of an unhealthy runner.
const ReasonUnhealthy = "unhealthy"

func (c *Cell) handleStall(pl *placement) {
	u := pl.unit
	for _, member := range u.placements {
		u.avoidRunner(member.runner.id, c.now+avoidDuration)
	}
	pl.runner.failures++
	c.startProbation(pl.runner)
	c.stopUnit(u, fmt.Sprintf("no progress beyond %d%% for %s on %s", pl.percent, (c.now-pl.progressAt).Round(time.Millisecond), pl.runner.id))
}

// recordSpeed adds a measurement to the speed of a runner. An old measurement of a slow
// runner is forgotten first: the cause of its slowness may have passed.
func (c *Cell) recordSpeed(r *Runner, speed float64) {
	wasSlow := r.isSlow(c.now)
	if r.speed < slowSpeed && !wasSlow {
		r.speed = 1
	}
	r.speed += speedWeight * (min(max(speed, 1/maxSpeedRatio), maxSpeedRatio) - r.speed)
	r.speedAt = c.now
	if r.isSlow(c.now) && !wasSlow {
		c.reportDecision(Decision{Runner: r.id, Event: "runner", Outcome: "slow", Reason: fmt.Sprintf("its tasks progress at %.2f of the mean speed", r.speed), AgeMS: int64(avoidDuration / time.Millisecond)})
	}
}
