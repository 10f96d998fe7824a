package jayentry

import (
	"crypto/sha256"
	"fmt"
	"sort"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/request/jayjob"
)

// onReport takes an owner's word on what it holds.
func (e *Entry) onReport(l *jaylink.Link, r *jayframe.Report) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	s := e.sideOf(l)
	if s == nil || (s.report != nil && s.report.Sequence >= r.Sequence) {
		return
	}
	wasDraining := s.report != nil && s.report.Draining
	s.report = r
	if wasDraining != r.Draining {
		e.recorder.Record(jaytimeline.WorkerDraining, jaytimeline.Fields{Worker: s.name, Detail: fmt.Sprintf("draining %v", r.Draining)})
	}
	e.applyClosed(s)
	e.router.Report(s.name, r.InFlight, r.Draining || r.Unhealthy)
	e.reconcile(s, r)
	if current := e.manifests.Current(); current != nil && r.Manifest < current.Version() {
		e.sendManifest(s)
	}
	e.replanIfChanged()
	e.kick()
}

// reconcile makes the table's row of a worker agree with its owner. Holds of
// this entry's own jobs that the owner does not show yet stay booked until
// their attempt is settled.
func (e *Entry) reconcile(s *side, r *jayframe.Report) {
	pool := e.scheduler.Pool()
	w := pool.Worker(s.name)
	now := e.now()
	reported := map[string]bool{}
	for _, h := range r.Reservations {
		reported[h.Job] = true
		if a := e.attempts[h.Attempt.ID()]; a != nil {
			a.heard = now
		}
	}
	booked := map[string]bool{}
	for _, h := range w.Allocations() {
		own := e.jobs[h.Job()]
		if !reported[h.Job()] && (own == nil || own.attempt == nil) {
			_ = pool.Release(s.name, h.ID())
			continue
		}
		booked[h.Job()] = true
	}
	for _, h := range r.Reservations {
		if e.givenUp(h) {
			e.cancelGivenUp(s, h)
			continue
		}
		if h.Stopping || h.Accelerators == 0 {
			continue
		}
		e.adoptHold(s.name, h, booked[h.Job], now)
	}
}

// givenUp reports a hold of an attempt that this entry has given up: its job has
// ended, or another attempt has taken its place.
func (e *Entry) givenUp(h jayframe.Reservation) bool {
	j := e.jobs[h.Job]
	return j != nil && !j.handedOver && (j.attempt == nil || j.attempt.id != h.Attempt.ID())
}

// cancelGivenUp tells an owner to free such a hold, again with each report that
// still shows it.
func (e *Entry) cancelGivenUp(s *side, h jayframe.Reservation) {
	if h.Stopping || s.link == nil {
		return
	}
	e.counter(`jaystile_entry_given_up_holds_total`).Inc()
	_ = s.link.Send(&jayframe.Cancel{Attempt: h.Attempt, Incarnation: uint64(s.incarnation)})
}

func (e *Entry) adoptHold(worker string, h jayframe.Reservation, booked bool, now time.Duration) {
	pool := e.scheduler.Pool()
	id := fmt.Sprintf("%s/%d", h.Attempt.ID(), h.Member)
	since := now - time.Duration(h.AgeMillis)*time.Millisecond
	saved := now - time.Duration(h.CheckpointAgeMillis)*time.Millisecond
	until := since + e.scheduler.Predictor().Predict(h.Workspace, h.JobKind, 0, 0.5)
	if booked {
		pool.Update(worker, id, saved, until, false)
		return
	}
	pool.Adopt(worker, jaypool.AllocationSpec{
		ID:             id,
		Job:            h.Job,
		Workspace:      h.Workspace,
		Kind:           h.JobKind,
		Class:          jayjob.Class(h.Class),
		Accelerators:   h.Accelerators,
		Preemptible:    h.Stoppable,
		Checkpointing:  h.Checkpointing,
		Started:        since,
		LastCheckpoint: saved,
		ExpectedEnd:    until,
	})
}

// replanIfChanged plans guarantees anew after workers opened or closed.
func (e *Entry) replanIfChanged() {
	if e.scheduler.Pool().Version() != e.replanned {
		e.replan()
	}
}

// replan plans the guarantees on the workers that take work and tells each
// owner whose homes it has.
func (e *Entry) replan() {
	e.replanned = e.scheduler.Pool().Version()
	e.scheduler.Replan()
	unmet := len(e.scheduler.Plan().Unmet())
	if unmet != e.unmet {
		name := jaytimeline.GuaranteesMet
		detail := ""
		if unmet > 0 {
			name = jaytimeline.GuaranteeUnmet
			detail = e.scheduler.Plan().Unmet()[0].ID()
		}
		e.recorder.Record(name, jaytimeline.Fields{Detail: detail})
		e.Logger.Warn().Int("unmet", unmet).Str("first", detail).Msg("guarantees that have no home changed")
		e.unmet = unmet
	}
	for _, s := range e.linkedSides() {
		e.sendHomes(s)
	}
}

// sendHomes tells an owner whose homes lie on its worker, when that has changed.
func (e *Entry) sendHomes(s *side) {
	if e.scheduler.Plan() == nil {
		return
	}
	m := &jayframe.WorkerHomes{Manifest: e.manifests.Version()}
	for space, n := range e.scheduler.Plan().Homes(s.name) {
		m.Homes = append(m.Homes, jayframe.Home{Workspace: space, Accelerators: n})
	}
	sort.Slice(m.Homes, func(a, b int) bool { return m.Homes[a].Workspace < m.Homes[b].Workspace })
	digest := sha256.Sum256(fmt.Append(nil, m.Manifest, m.Homes))
	if s.homesSent && s.homes == digest {
		return
	}
	if s.link.Send(m) == nil {
		s.homes = digest
		s.homesSent = true
	}
}

// releaseProbation ends quarantines whose time is over.
func (e *Entry) releaseProbation(now time.Duration) {
	for _, name := range e.health.ReleaseQuarantined(now) {
		if s := e.sides[name]; s != nil {
			s.quarantined = false
			e.applyClosed(s)
			e.replanIfChanged()
			e.recorder.Record(jaytimeline.WorkerReleased, jaytimeline.Fields{Worker: name, Detail: "on probation"})
		}
	}
}

// workerFailed counts a failure against a worker and quarantines it when it
// fails everything.
func (e *Entry) workerFailed(worker string, spec jayjob.Spec) {
	s := e.sides[worker]
	if s == nil || !e.health.RecordFailure(worker, spec.Workspace(), spec.Kind(), len(e.sides), e.now()) {
		return
	}
	s.quarantined = true
	e.applyClosed(s)
	e.replanIfChanged()
	e.recorder.Record(jaytimeline.WorkerQuarantined, jaytimeline.Fields{Worker: worker})
	e.Logger.Warn().Str("worker", worker).Msg("worker quarantined: it fails jobs of several kinds")
}
