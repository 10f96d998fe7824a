package jayentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sourcegraph/conc/iter"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayroute"
	"github.com/jaystile/jaystile/internal/process/jaysched"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	// reservationTTL is how long an agent keeps an uncommitted reservation. It covers
	// the time in which preempted jobs write their checkpoints.
	reservationTTL = 6 * time.Second
	// minSendMargin is the minimum remaining time of a request that is still sent.
	minSendMargin          = 2 * time.Millisecond
	minPlacementRetryDelay = 2 * time.Millisecond
	maxPlacementRetryDelay = 500 * time.Millisecond
	maxRerouteDelay        = 10 * time.Millisecond
	// compactionInterval is the minimum time between two moves of work.
	compactionInterval = 10 * time.Second
)

// dispatch sends waiting requests to runners with free slots.
func (e *Entry) dispatch() {
	now := e.now()
	// Requests that can no longer be answered within their deadline are not sent.
	for _, i := range e.queue.RemoveExpired(now, max(e.router.MeanLatency(), minSendMargin)) {
		if j := e.jobs[i.ID]; j != nil {
			e.giveUp(j, jayrefusal.DeadlinePassed, "too little time was left")
		}
	}
	for {
		i, ok := e.queue.Pop()
		if !ok {
			return
		}
		j := e.jobs[i.ID]
		if j == nil || j.ended() {
			continue
		}
		if !e.route(j, now) {
			e.queue.Requeue(i)
			return
		}
	}
}

// route sends a request to a runner and reports whether it was sent.
func (e *Entry) route(j *job, now time.Duration) bool {
	name := e.router.Pick(now, j.avoidRunners)
	if name == "" && len(j.avoidRunners) > 0 {
		name = e.router.Pick(now, nil)
	}
	if name == "" {
		return false
	}
	agent := e.agents[name]
	a := e.newAttempt(j, []string{name}, agent, now)
	a.routed = true
	reserve := e.newReserve(a, 0, jayframe.NoPreemption, nil)
	if agent.link == nil || agent.link.Send(reserve) != nil {
		e.router.Finish(name, jayroute.Failed, 0, now)
		e.discardAttempt(a, "link is down")
		return false
	}
	e.transition(a, jayattempt.Sent)
	return true
}

// newAttempt creates the job's next attempt. The agent of the first worker
// coordinates it.
func (e *Entry) newAttempt(j *job, workers []string, coordinator *agentState, now time.Duration) *attempt {
	id := e.ids.Next()
	digest := j.spec.Digest()
	a := &attempt{id: id, state: jayattempt.New(id), job: j, digest: digest[:], workers: workers, coordinator: workers[0], incarnation: coordinator.incarnation, sentAt: now, lastHeard: now}
	j.attempt = a
	j.attemptCount++
	if j.startedAt == 0 {
		j.startedAt = now
	}
	e.attempts[id] = a
	e.recorder.Record(jaytimeline.AttemptSent, e.attemptFields(a, strings.Join(workers, " ")))
	return a
}

func (e *Entry) attemptFields(a *attempt, detail string) jaytimeline.Fields {
	return jaytimeline.Fields{Job: a.job.id, Attempt: a.id.String(), Workspace: a.job.spec.Workspace(), Worker: a.coordinator, Detail: detail}
}

// discardAttempt removes an attempt that certainly never runs.
func (e *Entry) discardAttempt(a *attempt, detail string) {
	e.removeAttempt(a, detail)
	if !a.state.NeverRan() {
		e.transition(a, jayattempt.Refused)
	}
}

// removeAttempt removes an attempt and adds it to the job's past attempts.
func (e *Entry) removeAttempt(a *attempt, detail string) {
	delete(e.attempts, a.id)
	j := a.job
	if j.attempt == a {
		j.attempt = nil
	}
	if len(j.pastAttempts) == maxPastAttempts {
		j.pastAttempts = j.pastAttempts[1:]
	}
	j.pastAttempts = append(j.pastAttempts, jayapi.Attempt{ID: a.id.String(), State: a.state.State().String(), Seats: strings.Join(a.workers, " "), Detail: detail})
}

// newReserve builds the reservation request for one member of an attempt.
func (e *Entry) newReserve(a *attempt, member int, mode jayframe.PreemptionMode, victims []string) *jayframe.Reserve {
	j := a.job
	reserve := &jayframe.Reserve{
		Attempt:    jayframe.FromID(a.id),
		Member:     member,
		Members:    len(a.workers),
		Job:        j.id,
		Spec:       jayframe.FromSpec(j.spec),
		Digest:     a.digest,
		TTLMillis:  reservationTTL.Milliseconds(),
		Preemption: mode,
		Victims:    victims,
		Checkpoint: j.checkpoint,
		Run:        len(a.workers) == 1,
	}
	if agent := e.agents[a.coordinator]; agent != nil {
		reserve.Coordinator = agent.hello.Address
	}
	if j.deadline > 0 {
		reserve.RemainingMillis = max((j.deadline - e.now()).Milliseconds(), 1)
	}
	return reserve
}

// preemptionModes maps the reason of a placement to the preemption it permits.
var preemptionModes = map[jaysched.Cause]jayframe.PreemptionMode{
	jaysched.PlacedOnHome:              jayframe.ReclaimHome,
	jaysched.PlacedByReclaim:           jayframe.ReclaimHome,
	jaysched.PlacedByUrgentPreemption:  jayframe.UrgentPreemption,
	jaysched.PlacedByShorterPreemption: jayframe.ShorterPreemption,
}

// placeJobs starts the jobs that the scheduler places.
func (e *Entry) placeJobs() {
	begin := time.Now()
	decisions := e.scheduler.Decide(e.now())
	e.metrics.GetOrCreateHistogram(`jaystile_entry_decide_seconds`).UpdateDuration(begin)
	for _, d := range decisions {
		if j := e.jobs[d.Job().ID()]; j != nil {
			e.startAttempt(j, d)
			continue
		}
		e.scheduler.Cancel(d.Job().ID())
	}
}

// compactJobs stops jobs that can move to fuller workers. They are requeued from
// their checkpoint when the coordinator has answered.
func (e *Entry) compactJobs(now time.Duration) {
	if now < e.nextCompaction {
		return
	}
	for _, id := range e.scheduler.Compact(now) {
		j := e.jobs[id]
		if j == nil || j.attempt == nil || len(j.attempt.workers) > 1 || j.canceling {
			continue
		}
		agent := e.agents[j.attempt.coordinator]
		if agent == nil || agent.link == nil {
			continue
		}
		e.nextCompaction = now + compactionInterval
		e.counter(`jaystile_entry_moves_total`).Inc()
		e.recorder.Record(jaytimeline.JobMoved, e.attemptFields(j.attempt, "to make a whole worker free"))
		_ = agent.link.Send(&jayframe.Cancel{Attempt: jayframe.FromID(j.attempt.id), Incarnation: uint64(j.attempt.incarnation), Resume: true})
	}
}

// startAttempt sends the reservation requests of a decision to the agents.
func (e *Entry) startAttempt(j *job, d jaysched.Decision) {
	var workers []string
	for _, p := range d.Placements() {
		for range p.Members() {
			workers = append(workers, p.Worker())
		}
	}
	coordinator := e.agents[workers[0]]
	a := e.newAttempt(j, workers, coordinator, e.now())
	victims := make([]string, len(d.Victims()))
	for i, v := range d.Victims() {
		victims[i] = v.Job()
		e.counter(`jaystile_entry_victims_total{cause="` + string(d.Reason().Cause()) + `"}`).Inc()
	}
	detail := d.Reason().String()
	if len(victims) > 0 {
		detail += ", stops " + strings.Join(victims, " ")
	}
	e.recorder.Record(jaytimeline.JobPlaced, e.attemptFields(a, detail))
	mode := preemptionModes[d.Reason().Cause()]
	links := make([]*jaylink.Link, len(workers))
	reserves := make([]*jayframe.Reserve, len(workers))
	for i, name := range workers {
		if agent := e.agents[name]; agent != nil {
			links[i] = agent.link
		}
		reserves[i] = e.newReserve(a, i, mode, victims)
		if links[i] == nil {
			e.discardAttempt(a, "no link to "+name)
			e.retryPlacement(j, "no link to "+name)
			return
		}
	}
	e.transition(a, jayattempt.Sent)
	if len(workers) == 1 {
		if err := links[0].Send(reserves[0]); err != nil {
			e.discardAttempt(a, err.Error())
			e.retryPlacement(j, err.Error())
		}
		return
	}
	e.background.Spawn(func() { e.reserveGang(a, links, reserves) })
}

// reserveGang reserves accelerators for every member, then asks the coordinator to
// commit.
func (e *Entry) reserveGang(a *attempt, links []*jaylink.Link, reserves []*jayframe.Reserve) {
	ctx, cancel := context.WithTimeout(context.Background(), reservationTTL)
	defer cancel()
	tokens := make([]jayframe.MemberToken, len(reserves))
	refusals := make([]error, len(reserves))
	members := make([]int, len(reserves))
	for i := range members {
		members[i] = i
	}
	iter.ForEach(members, func(i *int) {
		token, err := e.reserveMember(ctx, links[*i], reserves[*i])
		tokens[*i] = jayframe.MemberToken{Agent: a.workers[*i], Token: token}
		refusals[*i] = err
	})
	if err := errors.Join(refusals...); err != nil {
		e.releaseReservations(a, links, err)
		return
	}
	if !e.beginCommit(a) {
		e.releaseReservations(a, links, &ReservationRefusedError{Worker: a.coordinator, Code: "given up before the commit"})
		return
	}
	reply, err := links[0].Call(ctx, &jayframe.Commit{Attempt: jayframe.FromID(a.id), Members: tokens})
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err != nil {
		// The coordinator may have committed; only it knows.
		e.transition(a, jayattempt.Unknown)
		a.job.mayHaveRun = true
		return
	}
	if o, ok := reply.(*jayframe.Outcome); ok {
		e.applyOutcome(a, o)
	}
}

// beginCommit marks an attempt before its coordinator is asked to commit. It
// returns false if the job has ended or has another attempt by now.
func (e *Entry) beginCommit(a *attempt) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if a.job.attempt != a || a.job.ended() {
		return false
	}
	a.committed = true
	return true
}

// ReservationRefusedError reports an agent that refused a member's reservation.
type ReservationRefusedError struct {
	Worker string
	Code   string
}

// Error implements error.
func (e *ReservationRefusedError) Error() string { return fmt.Sprintf("%s: %s", e.Worker, e.Code) }

func (e *Entry) reserveMember(ctx context.Context, l *jaylink.Link, reserve *jayframe.Reserve) (uint64, error) {
	reply, err := l.Call(ctx, reserve)
	if err != nil {
		return 0, err
	}
	r, ok := reply.(*jayframe.ReserveReply)
	if !ok || !r.Granted {
		code := "malformed reply"
		if ok {
			code = r.Code
		}
		return 0, &ReservationRefusedError{Worker: l.Peer(), Code: code}
	}
	return r.Token, nil
}

// releaseReservations releases all reservations of an attempt that was not
// committed. Without a commit its coordinator starts nothing.
func (e *Entry) releaseReservations(a *attempt, links []*jaylink.Link, cause error) {
	for _, l := range links {
		_ = l.Send(&jayframe.Release{Attempt: jayframe.FromID(a.id)})
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if a.job.attempt != a {
		return
	}
	e.counter(`jaystile_entry_gathers_failed_total`).Inc()
	e.discardAttempt(a, cause.Error())
	e.retryPlacement(a.job, cause.Error())
}

// placementRetryDelay returns the jittered delay before a refused job is placed
// again. It gives this entry's table time to catch up with the agent's state.
func (j *job) placementRetryDelay() time.Duration {
	maxDelay := maxPlacementRetryDelay
	if j.isRequest {
		// The router has already lowered the runner's limit.
		maxDelay = maxRerouteDelay
	}
	d := min(minPlacementRetryDelay<<min(j.refusals, 8), maxDelay)
	return d/2 + rand.N(d)
}

// retryPlacement queues a job again after placementRetryDelay.
func (e *Entry) retryPlacement(j *job, blocker string) {
	if j.ended() {
		return
	}
	e.recorder.Record(jaytimeline.JobRequeued, jaytimeline.Fields{Job: j.id, Workspace: j.spec.Workspace(), Detail: blocker})
	j.refusals++
	if !j.isRequest {
		e.scheduler.RevokeStart(j.id, jaysched.NewReason(jaysched.RefusedByAgent, blocker, 0, e.now()))
	}
	time.AfterFunc(j.placementRetryDelay(), func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.requeue(j)
	})
}

// requeue puts a job back in its queue unless it has ended.
func (e *Entry) requeue(j *job) {
	if j.ended() {
		return
	}
	if j.isRequest {
		e.queue.Requeue(e.queueItem(j))
	} else {
		e.scheduler.Enqueue(j.scheduled)
	}
	e.signalDecide()
}
