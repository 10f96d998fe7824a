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

// onReport applies an agent's report of its reservations and load.
func (e *Entry) onReport(l *jaylink.Link, r *jayframe.Report) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	agent := e.agentByLink(l)
	if agent == nil || (agent.report != nil && agent.report.Sequence >= r.Sequence) {
		return
	}
	wasDraining := agent.report != nil && agent.report.Draining
	agent.report = r
	if wasDraining != r.Draining {
		e.recorder.Record(jaytimeline.WorkerDraining, jaytimeline.Fields{Worker: agent.name, Detail: fmt.Sprintf("draining %v", r.Draining)})
	}
	e.updateClosed(agent)
	e.router.Report(agent.name, r.InFlight, r.Draining || r.Unhealthy)
	e.reconcile(agent, r)
	if current := e.manifests.Current(); current != nil && r.Manifest < current.Version() {
		e.sendManifest(agent)
	}
	e.replanIfChanged()
	e.signalDecide()
}

// reconcile updates the worker's allocations in the pool from its agent's report.
// Allocations of this entry's own jobs that the report does not show yet stay until
// their attempt is resolved.
func (e *Entry) reconcile(agent *agentState, r *jayframe.Report) {
	pool := e.scheduler.Pool()
	w := pool.Worker(agent.name)
	now := e.now()
	reported := map[string]bool{}
	for _, reservation := range r.Reservations {
		reported[reservation.Job] = true
		if a := e.attempts[reservation.Attempt.ID()]; a != nil {
			a.lastHeard = now
		}
	}
	allocated := map[string]bool{}
	for _, allocation := range w.Allocations() {
		ownJob := e.jobs[allocation.Job()]
		if !reported[allocation.Job()] && (ownJob == nil || ownJob.attempt == nil) {
			_ = pool.Release(agent.name, allocation.ID())
			continue
		}
		allocated[allocation.Job()] = true
	}
	for _, reservation := range r.Reservations {
		if e.isAbandoned(reservation) {
			e.cancelAbandoned(agent, reservation)
			continue
		}
		if reservation.Stopping || reservation.Accelerators == 0 {
			continue
		}
		e.importReservation(agent.name, reservation, allocated[reservation.Job], now)
	}
}

// isAbandoned reports whether a reservation belongs to an attempt that this entry
// has abandoned: its job has ended or has another attempt.
func (e *Entry) isAbandoned(reservation jayframe.Reservation) bool {
	j := e.jobs[reservation.Job]
	return j != nil && !j.handedOver && (j.attempt == nil || j.attempt.id != reservation.Attempt.ID())
}

// cancelAbandoned tells the agent to release an abandoned reservation. It is
// repeated for each report that still shows it.
func (e *Entry) cancelAbandoned(agent *agentState, reservation jayframe.Reservation) {
	if reservation.Stopping || agent.link == nil {
		return
	}
	e.counter(`jaystile_entry_given_up_holds_total`).Inc()
	_ = agent.link.Send(&jayframe.Cancel{Attempt: reservation.Attempt, Incarnation: uint64(agent.incarnation)})
}

// importReservation adds a reported reservation to the pool, or updates it if it is
// already allocated.
func (e *Entry) importReservation(worker string, reservation jayframe.Reservation, allocated bool, now time.Duration) {
	pool := e.scheduler.Pool()
	id := fmt.Sprintf("%s/%d", reservation.Attempt.ID(), reservation.Member)
	started := now - time.Duration(reservation.AgeMillis)*time.Millisecond
	lastCheckpoint := now - time.Duration(reservation.CheckpointAgeMillis)*time.Millisecond
	expectedEnd := started + e.scheduler.Predictor().Predict(reservation.Workspace, reservation.JobKind, 0, 0.5)
	if allocated {
		pool.Update(worker, id, lastCheckpoint, expectedEnd, false)
		return
	}
	pool.Adopt(worker, jaypool.AllocationSpec{
		ID:             id,
		Job:            reservation.Job,
		Workspace:      reservation.Workspace,
		Kind:           reservation.JobKind,
		Class:          jayjob.Class(reservation.Class),
		Accelerators:   reservation.Accelerators,
		Preemptible:    reservation.Preemptible,
		Checkpointing:  reservation.Checkpointing,
		Started:        started,
		LastCheckpoint: lastCheckpoint,
		ExpectedEnd:    expectedEnd,
	})
}

// replanIfChanged replans the guarantees if the pool's workers have changed.
func (e *Entry) replanIfChanged() {
	if e.scheduler.Pool().Version() != e.plannedPoolVersion {
		e.replan()
	}
}

// replan plans the guarantees on the workers that accept work and sends each agent
// its homes.
func (e *Entry) replan() {
	e.plannedPoolVersion = e.scheduler.Pool().Version()
	e.scheduler.Replan()
	unmet := len(e.scheduler.Plan().Unmet())
	if unmet != e.unmetGuarantees {
		name := jaytimeline.GuaranteesMet
		detail := ""
		if unmet > 0 {
			name = jaytimeline.GuaranteeUnmet
			detail = e.scheduler.Plan().Unmet()[0].ID()
		}
		e.recorder.Record(name, jaytimeline.Fields{Detail: detail})
		e.Logger.Warn().Int("unmet", unmet).Str("first", detail).Msg("unmet guarantees changed")
		e.unmetGuarantees = unmet
	}
	for _, agent := range e.linkedAgents() {
		e.sendHomes(agent)
	}
}

// sendHomes sends an agent the homes on its worker if they have changed.
func (e *Entry) sendHomes(agent *agentState) {
	if e.scheduler.Plan() == nil {
		return
	}
	m := &jayframe.WorkerHomes{Manifest: e.manifests.Version()}
	for workspace, n := range e.scheduler.Plan().Homes(agent.name) {
		m.Homes = append(m.Homes, jayframe.Home{Workspace: workspace, Accelerators: n})
	}
	sort.Slice(m.Homes, func(a, b int) bool { return m.Homes[a].Workspace < m.Homes[b].Workspace })
	digest := sha256.Sum256(fmt.Append(nil, m.Manifest, m.Homes))
	if agent.homesSent && agent.homesDigest == digest {
		return
	}
	if agent.link.Send(m) == nil {
		agent.homesDigest = digest
		agent.homesSent = true
	}
}

// releaseQuarantined ends quarantines whose time is over. The workers return on
// probation.
func (e *Entry) releaseQuarantined(now time.Duration) {
	for _, name := range e.health.ReleaseQuarantined(now) {
		if agent := e.agents[name]; agent != nil {
			agent.quarantined = false
			e.updateClosed(agent)
			e.replanIfChanged()
			e.recorder.Record(jaytimeline.WorkerReleased, jaytimeline.Fields{Worker: name, Detail: "on probation"})
		}
	}
}

// recordWorkerFailure counts a failure of a worker and quarantines it when it fails
// jobs of several kinds.
func (e *Entry) recordWorkerFailure(worker string, spec jayjob.Spec) {
	agent := e.agents[worker]
	if agent == nil || !e.health.RecordFailure(worker, spec.Workspace(), spec.Kind(), len(e.agents), e.now()) {
		return
	}
	agent.quarantined = true
	e.updateClosed(agent)
	e.replanIfChanged()
	e.recorder.Record(jaytimeline.WorkerQuarantined, jaytimeline.Fields{Worker: worker})
	e.Logger.Warn().Str("worker", worker).Msg("worker quarantined: it fails jobs of several kinds")
}
