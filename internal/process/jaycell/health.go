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
	if failedElsewhere || pl.runner.failedJob == u.job.spec.ID {
		return
	}
	pl.runner.failures++
	pl.runner.failedJob = u.job.spec.ID
	c.startProbation(pl.runner)
}

// startProbation keeps new work off a runner that has failed repeatedly.
func (c *Cell) startProbation(r *Runner) {
	excess := r.failures - failuresBeforeProbation
	if excess < 0 {
		return
	}
	r.avoidUntil = c.now + min(minProbation<<min(excess, 4), maxProbation)
	c.reportDecision(Decision{Runner: r.id, Event: "probation", Outcome: "avoided", Reason: "runs of different jobs failed or stalled in a row", AgeMS: int64((r.avoidUntil - c.now) / time.Millisecond)})
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
