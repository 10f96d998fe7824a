package jayentry

import (
	"time"

	"github.com/jaystile/jaystile/internal/process/jaylog"
	"github.com/jaystile/jaystile/internal/process/jaystate"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

// linkedPeers returns the other entries that have an open link to this one.
func (e *Entry) linkedPeers() []*peer {
	var linked []*peer
	for _, p := range e.peers {
		if p.link != nil {
			linked = append(linked, p)
		}
	}
	return linked
}

// adoptionDelay is how long an entry must be unreachable before its jobs are
// adopted.
func (e *Entry) adoptionDelay() time.Duration { return adoptionTimeouts * e.Settings.SilenceTimeout }

// mayBeAlive reports whether the entry of the incarnation may still be running
// its jobs.
func (e *Entry) mayBeAlive(i jayattempt.Incarnation, now time.Duration) bool {
	if i == e.incarnation || now-e.started < e.adoptionDelay() {
		return true
	}
	p := e.peers[i]
	return p != nil && (p.link != nil || now-p.lastSeen < e.adoptionDelay())
}

// adoptOrphans appends adoption records for the jobs of entries that are down. If
// several entries try to adopt a job, the first record in the log wins.
func (e *Entry) adoptOrphans(now time.Duration) {
	if e.draining || e.followers[jaystate.JobsStream].Health() != jaylog.Healthy || e.restorer.NeedsSnapshot() {
		return
	}
	if now < e.nextAdoption {
		return
	}
	e.nextAdoption = now + e.Settings.SilenceTimeout
	for _, row := range e.jobTable.Open() {
		if e.mayBeAlive(row.Owner(), now) || e.jobs[row.ID()] != nil {
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

// onOwnershipChange adopts a job that the log assigns to this entry, or hands over
// one that it assigns to another.
func (e *Entry) onOwnershipChange(row *jaystate.Row) {
	j := e.jobs[row.ID()]
	if row.End() != nil || !row.OwnsKey() {
		return
	}
	if row.Owner() != e.incarnation {
		if j != nil && !j.ended() {
			e.handOver(j)
		}
		return
	}
	origin, err := jayattempt.ParseID(row.ID()[len(jobPrefix):])
	if j != nil || err != nil || origin.Origin() == e.incarnation {
		return
	}
	e.adopt(row)
}

// handOver ends a job in this entry after another entry has adopted it. A running
// attempt continues: the new owner resolves it with its coordinator.
func (e *Entry) handOver(j *job) {
	j.durable = false
	j.handedOver = true
	e.finish(j, nil, jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Unknown, "another entry has taken the job over; ask again").WithRetryAfter(minRetryAfter))
}

// adopt takes over a job of an entry that is down. If an agent reports an attempt
// of it, that attempt is resolved; otherwise an idempotent job is queued again.
func (e *Entry) adopt(row *jaystate.Row) {
	j := newJob(row.ID(), row.Spec(), e.now())
	j.durable = true
	if row.Spec().Deadline() > 0 {
		remaining := row.Spec().Deadline() - time.Since(row.AcceptedAt())
		j.deadline = e.now() + max(remaining, 0)
	}
	e.jobs[j.id] = j
	e.counter(`jaystile_entry_adoptions_total`).Inc()
	e.recorder.Record(jaytimeline.JobAdopted, jaytimeline.Fields{Job: j.id, Workspace: j.spec.Workspace(), Detail: "from entry " + row.Owner().String()})
	e.Logger.Info().Str("job", j.id).Str("from", row.Owner().String()).Msg("job adopted")
	if e.adoptRunningAttempt(j) {
		return
	}
	if !j.spec.Idempotent() {
		j.mayHaveRun = true
		e.finish(j, nil, jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Unknown, "the entry that had the job is gone, and no owner knows of it"))
		return
	}
	if err := e.queueJob(j); err != nil {
		e.finish(j, nil, jayrefusal.New(jayrefusal.QueueFull, jayrefusal.NotRun, "%v", err))
	}
}

// adoptRunningAttempt takes over the job's attempt if the agents' reports show
// one.
func (e *Entry) adoptRunningAttempt(j *job) bool {
	var id jayattempt.ID
	workers := make([]string, j.spec.Shape().Members())
	for name, agent := range e.agents {
		if agent.report == nil || agent.link == nil {
			continue
		}
		for _, reservation := range agent.report.Reservations {
			if reservation.Job == j.id && reservation.Member < len(workers) {
				id = reservation.Attempt.ID()
				workers[reservation.Member] = name
			}
		}
	}
	if workers[0] == "" {
		return false
	}
	e.adoptAttempt(j, id, workers)
	return true
}

// adoptAttempt registers another entry's attempt as this entry's own, in a state
// that makes resolveStale ask its coordinator for the outcome.
func (e *Entry) adoptAttempt(j *job, id jayattempt.ID, workers []string) {
	coordinator := e.agents[workers[0]]
	digest := j.spec.Digest()
	a := &attempt{id: id, state: jayattempt.New(id), job: j, digest: digest[:], workers: workers, coordinator: workers[0], incarnation: coordinator.incarnation, sentAt: e.now(), lastHeard: e.now(), committed: true, routed: false}
	e.transition(a, jayattempt.Sent)
	e.transition(a, jayattempt.Unknown)
	j.attempt = a
	j.attemptCount++
	j.mayHaveRun = true
	j.startedAt = e.now()
	e.attempts[id] = a
	if !j.isRequest {
		j.scheduled = e.scheduler.Adopt(j.id, j.spec, e.now())
	}
}
