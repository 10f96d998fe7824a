package jayentry

import (
	"time"

	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/process/jaystate"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

// livePeers returns the other entries that are linked.
func (e *Entry) livePeers() []*peer {
	var live []*peer
	for _, p := range e.peers {
		if p.link != nil {
			live = append(live, p)
		}
	}
	return live
}

// adoptAfter is how long an entry must be out of contact before its jobs are
// adopted.
func (e *Entry) adoptAfter() time.Duration { return adoptAfterBeats * e.Settings.SilenceTimeout }

// alive reports whether the entry of the incarnation may still look after its
// jobs.
func (e *Entry) alive(i jayattempt.Incarnation, now time.Duration) bool {
	if i == e.incarnation || now-e.started < e.adoptAfter() {
		return true
	}
	p := e.peers[i]
	return p != nil && (p.link != nil || now-p.seen < e.adoptAfter())
}

// adoptOrphans asks the log for the jobs of entries that are gone. Of several
// entries that ask, the first in the log's order gets a job.
func (e *Entry) adoptOrphans(now time.Duration) {
	if e.draining || e.follower[jaystate.JobsStream].Health() != jaylog.Healthy || e.restorer.NeedsSnapshot() {
		return
	}
	if now < e.nextAdoption {
		return
	}
	e.nextAdoption = now + e.Settings.SilenceTimeout
	for _, row := range e.jobsFold.Open() {
		if e.alive(row.Owner(), now) || e.jobs[row.ID()] != nil {
			continue
		}
		record, err := jaystate.EncodeAdopted(row.ID(), row.Owner(), e.incarnation, time.Now())
		if err == nil {
			err = e.appender.Post(record)
		}
		if err != nil {
			e.counter(`jaystile_entry_adoptions_failed_total`).Inc()
		}
	}
}

// ownershipChanged takes up a job that the log's order has given to this entry,
// or lets go of one that it has given to another.
func (e *Entry) ownershipChanged(row *jaystate.Row) {
	j := e.jobs[row.ID()]
	if row.End() != nil || !row.OwnsKey() {
		return
	}
	if row.Owner() != e.incarnation {
		if j != nil && !j.ended() {
			e.letGo(j)
		}
		return
	}
	origin, err := jayattempt.ParseID(row.ID()[len(jobPrefix):])
	if j != nil || err != nil || origin.Origin() == e.incarnation {
		return
	}
	e.adopt(row)
}

// letGo ends this entry's part in a job that another has adopted. What runs is
// left to run: the adopter asks its anchor.
func (e *Entry) letGo(j *job) {
	j.durable = false
	j.handedOver = true
	e.finish(j, nil, jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Unknown, "another entry has taken the job over; ask again").WithRetryAfter(retryAfterLeast))
}

// adopt takes up a job of an entry that is gone: its attempt is settled if an
// owner shows one; else it is placed anew if it may run again.
func (e *Entry) adopt(row *jaystate.Row) {
	j := newJob(row.ID(), row.Spec(), e.now())
	j.durable = true
	if row.Spec().Deadline() > 0 {
		left := row.Spec().Deadline() - time.Since(row.AcceptedAt())
		j.due = e.now() + max(left, 0)
	}
	e.jobs[j.id] = j
	e.counter(`jaystile_entry_adoptions_total`).Inc()
	e.recorder.Record(jaytimeline.JobAdopted, jaytimeline.Fields{Job: j.id, Workspace: j.spec.Workspace(), Detail: "from entry " + row.Owner().String()})
	e.Logger.Info().Str("job", j.id).Str("from", row.Owner().String()).Msg("job adopted")
	if e.findRunning(j) {
		return
	}
	if !j.spec.Idempotent() {
		j.mayHave = true
		e.finish(j, nil, jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Unknown, "the entry that had the job is gone, and no owner knows of it"))
		return
	}
	if err := e.queueJob(j); err != nil {
		e.finish(j, nil, jayrefusal.New(jayrefusal.QueueFull, jayrefusal.NotRun, "%v", err))
	}
}

// findRunning looks through the owners' reports for an attempt of the job and
// takes it over.
func (e *Entry) findRunning(j *job) bool {
	var id jayattempt.ID
	seats := make([]string, j.spec.Shape().Members())
	for name, s := range e.sides {
		if s.report == nil || s.link == nil {
			continue
		}
		for _, h := range s.report.Reservations {
			if h.Job == j.id && h.Member < len(seats) {
				id = h.Attempt.ID()
				seats[h.Member] = name
			}
		}
	}
	if seats[0] == "" {
		return false
	}
	e.takeOver(j, id, seats)
	return true
}

// takeOver makes an attempt of another entry this entry's own and asks its
// anchor how it stands.
func (e *Entry) takeOver(j *job, id jayattempt.ID, seats []string) {
	anchor := e.sides[seats[0]]
	digest := j.spec.Digest()
	a := &attempt{id: id, state: jayattempt.New(id), job: j, digest: digest[:], seats: seats, anchor: seats[0], owner: anchor.incarnation, sent: e.now(), heard: e.now(), committed: true, router: false}
	e.move(a, jayattempt.Sent)
	e.move(a, jayattempt.Unknown)
	j.attempt = a
	j.tries++
	j.mayHave = true
	j.started = e.now()
	e.attempts[id] = a
	if !j.request {
		j.queued = e.scheduler.Adopt(j.id, j.spec, e.now())
	}
}
