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
	// holdTTL is how long an owner keeps a hold that is not committed; it covers
	// the time in which victims write their checkpoints.
	holdTTL = 6 * time.Second
	// sheddingMargin is the least time left to a request that is still sent.
	sheddingMargin = 2 * time.Millisecond
	replaceFirst   = 2 * time.Millisecond
	replaceMost    = 500 * time.Millisecond
	rerouteMost    = 10 * time.Millisecond
	// compactEvery is the least time between two moves of work.
	compactEvery = 10 * time.Second
)

// dispatch sends waiting requests to runners with room.
func (e *Entry) dispatch() {
	now := e.now()
	// What cannot be answered within its deadline any more is not sent.
	for _, i := range e.queue.RemoveExpired(now, max(e.router.MeanLatency(), sheddingMargin)) {
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

// route sends a request to a runner and reports whether one had room.
func (e *Entry) route(j *job, now time.Duration) bool {
	name := e.router.Pick(now, j.avoid)
	if name == "" && len(j.avoid) > 0 {
		name = e.router.Pick(now, nil)
	}
	if name == "" {
		return false
	}
	s := e.sides[name]
	a := e.newAttempt(j, []string{name}, s, now)
	a.router = true
	hold := e.holdFor(a, 0, jayframe.PreemptionNone, nil)
	if s.link == nil || s.link.Send(hold) != nil {
		e.router.Done(name, jayroute.Failed, 0, now)
		e.dropAttempt(a, "link is down")
		return false
	}
	e.move(a, jayattempt.Sent)
	return true
}

// newAttempt makes an attempt whose anchor is the first seat.
func (e *Entry) newAttempt(j *job, seats []string, anchor *side, now time.Duration) *attempt {
	id := e.source.Next()
	digest := j.spec.Digest()
	a := &attempt{id: id, state: jayattempt.New(id), job: j, digest: digest[:], seats: seats, anchor: seats[0], owner: anchor.incarnation, sent: now, heard: now}
	j.attempt = a
	j.tries++
	if j.started == 0 {
		j.started = now
	}
	e.attempts[id] = a
	e.recorder.Record(jaytimeline.AttemptSent, e.attemptFields(a, strings.Join(seats, " ")))
	return a
}

func (e *Entry) attemptFields(a *attempt, detail string) jaytimeline.Fields {
	return jaytimeline.Fields{Job: a.job.id, Attempt: a.id.String(), Workspace: a.job.spec.Workspace(), Worker: a.anchor, Detail: detail}
}

// dropAttempt forgets an attempt that is certain never to run.
func (e *Entry) dropAttempt(a *attempt, detail string) {
	e.endAttempt(a, detail)
	if !a.state.NeverRan() {
		e.move(a, jayattempt.Refused)
	}
}

// endAttempt takes an attempt out of the tables and remembers it for the job's
// explanation.
func (e *Entry) endAttempt(a *attempt, detail string) {
	delete(e.attempts, a.id)
	j := a.job
	if j.attempt == a {
		j.attempt = nil
	}
	if len(j.tried) == maxTried {
		j.tried = j.tried[1:]
	}
	j.tried = append(j.tried, jayapi.Attempt{ID: a.id.String(), State: a.state.State().String(), Seats: strings.Join(a.seats, " "), Detail: detail})
}

func (e *Entry) holdFor(a *attempt, member int, way jayframe.PreemptionMode, victims []string) *jayframe.Reserve {
	j := a.job
	h := &jayframe.Reserve{
		Attempt:    jayframe.FromID(a.id),
		Member:     member,
		Members:    len(a.seats),
		Job:        j.id,
		Spec:       jayframe.FromSpec(j.spec),
		Digest:     a.digest,
		TTLMillis:  holdTTL.Milliseconds(),
		Preemption: way,
		Victims:    victims,
		Checkpoint: j.saved,
		Run:        len(a.seats) == 1,
	}
	if s := e.sides[a.anchor]; s != nil {
		h.Coordinator = s.hello.Address
	}
	if j.due > 0 {
		h.RemainingMillis = max((j.due - e.now()).Milliseconds(), 1)
	}
	return h
}

var ways = map[jaysched.Cause]jayframe.PreemptionMode{
	jaysched.PlacedOnHome:              jayframe.PreemptionReclaimHome,
	jaysched.PlacedByReclaim:           jayframe.PreemptionReclaimHome,
	jaysched.PlacedByUrgentPreemption:  jayframe.PreemptionUrgent,
	jaysched.PlacedByShorterPreemption: jayframe.PreemptionShorter,
}

// place carries out what the scheduler decides.
func (e *Entry) place() {
	begin := time.Now()
	decisions := e.scheduler.Decide(e.now())
	e.metrics.GetOrCreateHistogram(`jaystile_entry_decide_seconds`).UpdateDuration(begin)
	for _, d := range decisions {
		if j := e.jobs[d.Job().ID()]; j != nil {
			e.start(j, d)
			continue
		}
		e.scheduler.Cancel(d.Job().ID())
	}
}

// compact stops work that can move to fuller workers; its checkpoint is placed
// anew when its anchor has answered.
func (e *Entry) compact(now time.Duration) {
	if now < e.nextCompact {
		return
	}
	for _, id := range e.scheduler.Compact(now) {
		j := e.jobs[id]
		if j == nil || j.attempt == nil || len(j.attempt.seats) > 1 || j.canceling {
			continue
		}
		s := e.sides[j.attempt.anchor]
		if s == nil || s.link == nil {
			continue
		}
		e.nextCompact = now + compactEvery
		e.counter(`jaystile_entry_moves_total`).Inc()
		e.recorder.Record(jaytimeline.JobMoved, e.attemptFields(j.attempt, "to make a whole worker free"))
		_ = s.link.Send(&jayframe.Cancel{Attempt: jayframe.FromID(j.attempt.id), Incarnation: uint64(j.attempt.owner), Resume: true})
	}
}

// start sends the holds of a decision to the owners.
func (e *Entry) start(j *job, d jaysched.Decision) {
	var seats []string
	for _, s := range d.Placements() {
		for range s.Members() {
			seats = append(seats, s.Worker())
		}
	}
	anchor := e.sides[seats[0]]
	a := e.newAttempt(j, seats, anchor, e.now())
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
	way := ways[d.Reason().Cause()]
	links := make([]*jaylink.Link, len(seats))
	holds := make([]*jayframe.Reserve, len(seats))
	for i, name := range seats {
		if s := e.sides[name]; s != nil {
			links[i] = s.link
		}
		holds[i] = e.holdFor(a, i, way, victims)
		if links[i] == nil {
			e.dropAttempt(a, "no link to "+name)
			e.retryPlacement(j, "no link to "+name)
			return
		}
	}
	e.move(a, jayattempt.Sent)
	if len(seats) == 1 {
		if err := links[0].Send(holds[0]); err != nil {
			e.dropAttempt(a, err.Error())
			e.retryPlacement(j, err.Error())
		}
		return
	}
	e.work.Spawn(func() { e.gather(a, links, holds) })
}

// gather holds on every worker, then asks the anchor to decide.
func (e *Entry) gather(a *attempt, links []*jaylink.Link, holds []*jayframe.Reserve) {
	ctx, cancel := context.WithTimeout(context.Background(), holdTTL)
	defer cancel()
	tokens := make([]jayframe.MemberToken, len(holds))
	refusals := make([]error, len(holds))
	members := make([]int, len(holds))
	for i := range members {
		members[i] = i
	}
	iter.ForEach(members, func(i *int) {
		token, err := e.holdMember(ctx, links[*i], holds[*i])
		tokens[*i] = jayframe.MemberToken{Agent: a.seats[*i], Token: token}
		refusals[*i] = err
	})
	if err := errors.Join(refusals...); err != nil {
		e.giveBack(a, links, err)
		return
	}
	if !e.beginCommit(a) {
		e.giveBack(a, links, &ReservationRefusedError{Worker: a.anchor, Code: "given up before the commit"})
		return
	}
	reply, err := links[0].Call(ctx, &jayframe.Commit{Attempt: jayframe.FromID(a.id), Members: tokens})
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if err != nil {
		// The anchor may have decided: only it can tell.
		e.move(a, jayattempt.Unknown)
		a.job.mayHave = true
		return
	}
	if o, ok := reply.(*jayframe.Outcome); ok {
		e.takeOutcome(a, o)
	}
}

// beginCommit marks an attempt whose anchor is about to be asked to decide. It
// returns false when the job has been given up meanwhile.
func (e *Entry) beginCommit(a *attempt) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if a.job.attempt != a || a.job.ended() {
		return false
	}
	a.committed = true
	return true
}

// ReservationRefusedError reports an owner that refused to hold for a member.
type ReservationRefusedError struct {
	Worker string
	Code   string
}

// Error implements error.
func (e *ReservationRefusedError) Error() string { return fmt.Sprintf("%s: %s", e.Worker, e.Code) }

func (e *Entry) holdMember(ctx context.Context, l *jaylink.Link, h *jayframe.Reserve) (uint64, error) {
	reply, err := l.Call(ctx, h)
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

// giveBack releases every hold of an attempt that was never committed: without
// a commit its anchor starts nothing.
func (e *Entry) giveBack(a *attempt, links []*jaylink.Link, cause error) {
	for _, l := range links {
		_ = l.Send(&jayframe.Release{Attempt: jayframe.FromID(a.id)})
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if a.job.attempt != a {
		return
	}
	e.counter(`jaystile_entry_gathers_failed_total`).Inc()
	e.dropAttempt(a, cause.Error())
	e.retryPlacement(a.job, cause.Error())
}

// replaceDelay returns how long a job waits before it is placed again: an owner
// that refused knows more than this entry's table, which must catch up first.
func (j *job) replaceDelay() time.Duration {
	most := replaceMost
	if j.request {
		// The router has lowered its limit for the runner already.
		most = rerouteMost
	}
	d := min(replaceFirst<<min(j.refused, 8), most)
	return d/2 + rand.N(d)
}

// retryPlacement queues a job again, after a while, whose attempt never ran.
func (e *Entry) retryPlacement(j *job, blocker string) {
	if j.ended() {
		return
	}
	e.recorder.Record(jaytimeline.JobRequeued, jaytimeline.Fields{Job: j.id, Workspace: j.spec.Workspace(), Detail: blocker})
	j.refused++
	if !j.request {
		e.scheduler.RevokeStart(j.id, jaysched.NewReason(jaysched.RefusedByAgent, blocker, 0, e.now()))
	}
	time.AfterFunc(j.replaceDelay(), func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.placeAgain(j)
	})
}

// placeAgain queues a job whose delay is over, unless it has ended meanwhile.
func (e *Entry) placeAgain(j *job) {
	if j.ended() {
		return
	}
	if j.request {
		e.queue.Requeue(e.itemOf(j))
	} else {
		e.scheduler.Enqueue(j.queued)
	}
	e.kick()
}
