package jayentry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/sourcegraph/conc/iter"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaypool"
	"github.com/jaystile/jaystile/internal/process/jaysched"
	"github.com/jaystile/jaystile/internal/process/jaystate"
	"github.com/jaystile/jaystile/internal/process/jaytimeline"
	"github.com/jaystile/jaystile/internal/process/jaywork"
	"github.com/jaystile/jaystile/internal/request/jayattempt"
	"github.com/jaystile/jaystile/internal/version/jaymanifest"
	"github.com/jaystile/jaystile/internal/version/jayplan"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	queryTimeout        = time.Second
	publishTimeout      = 5 * time.Second
	publishPollInterval = 5 * time.Millisecond
	maxListedEvents     = 20_000
)

// authenticateOperator checks the operator key from the settings. Without one, all
// operator requests are refused.
func (e *Entry) authenticateOperator(c *fiber.Ctx) error {
	want := sha256.Sum256([]byte(e.Settings.OperatorKey))
	given := sha256.Sum256([]byte(bearerToken(c)))
	if e.Settings.OperatorKey == "" || subtle.ConstantTimeCompare(want[:], given[:]) != 1 {
		return unauthorized()
	}
	return c.Next()
}

func (e *Entry) handlePoolStatus(c *fiber.Ctx) error { return c.JSON(e.poolStatus()) }

// poolStatus returns the state of the pool as this entry knows it.
func (e *Entry) poolStatus() jayapi.Status {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	pool := e.scheduler.Pool()
	s := jayapi.Status{
		Entry:         e.Settings.Name,
		Incarnation:   e.incarnation.String(),
		Manifest:      e.manifests.Version(),
		Log:           e.followers[jaystate.JobsStream].Health().String(),
		Draining:      e.draining,
		Waiting:       e.scheduler.Waiting() + e.queue.Len(),
		Running:       len(e.attempts),
		Free:          pool.Free(),
		Total:         pool.Total(),
		Fragmentation: jaysched.Fragmentation(pool, e.scheduler.Plan().Guarantees()),
		Entries:       e.entryAddresses(),
		Workers:       []jayapi.WorkerStatus{},
	}
	for _, g := range e.scheduler.Plan().Unmet() {
		s.UnmetGuarantees = append(s.UnmetGuarantees, g.ID())
	}
	for _, w := range pool.Workers() {
		if agent := e.agents[w.ID()]; agent != nil {
			ws := jayapi.WorkerStatus{Name: w.ID(), DataCentre: w.Location().DataCentre(), Rack: w.Location().Rack(), Accelerators: w.Accelerators(), Free: w.Free(), Quarantined: agent.quarantined, Linked: agent.link != nil}
			if agent.report != nil {
				ws.Draining = agent.report.Draining
				ws.Manifest = agent.report.Manifest
			}
			for workspace, n := range e.scheduler.Plan().Homes(w.ID()) {
				ws.Homes = append(ws.Homes, jayapi.HomeStatus{Workspace: workspace, Accelerators: n, Used: min(n, w.Usage(workspace))})
			}
			sort.Slice(ws.Homes, func(a, b int) bool { return ws.Homes[a].Workspace < ws.Homes[b].Workspace })
			for _, allocation := range w.Allocations() {
				ws.Holds = append(ws.Holds, jayapi.HoldStatus{Job: allocation.Job(), Workspace: allocation.Workspace(), Class: allocation.Class().String(), Accelerators: allocation.Accelerators(), Stoppable: allocation.Preemptible()})
			}
			s.Workers = append(s.Workers, ws)
		}
	}
	return s
}

// allLinks returns the open links to agents and other entries.
func (e *Entry) allLinks() []*jaylink.Link {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var links []*jaylink.Link
	for _, agent := range e.linkedAgents() {
		links = append(links, agent.link)
	}
	for _, p := range e.linkedPeers() {
		links = append(links, p.link)
	}
	return links
}

func (e *Entry) handleTimeline(c *fiber.Ctx) error {
	f := jaytimeline.Filter{Job: c.Query("job"), Workspace: c.Query("workspace"), Worker: c.Query("worker"), Name: jaytimeline.Name(c.Query("name"))}
	limit := min(max(c.QueryInt("most", maxListedEvents), 1), maxListedEvents)
	events := e.collectEvents(f, limit)
	t := jayapi.Timeline{Events: make([]jayapi.Event, 0, len(events))}
	for _, ev := range events {
		d := ev.Fields()
		t.Events = append(t.Events, jayapi.Event{Time: ev.At().Wall(), Order: uint64(ev.At()), Process: ev.Process(), Name: string(ev.Name()), Job: d.Job, Attempt: d.Attempt, Workspace: d.Workspace, Worker: d.Worker, Detail: d.Detail})
	}
	return c.JSON(t)
}

// collectEvents merges the events of all processes that answer within
// queryTimeout and returns the latest that match the filter.
func (e *Entry) collectEvents(f jaytimeline.Filter, limit int) []jaytimeline.Event {
	links := e.allLinks()
	lists := make([][]jaytimeline.Event, len(links)+1)
	lists[len(links)] = e.recorder.Events(0, limit)
	positions := make([]int, len(links))
	for i := range positions {
		positions[i] = i
	}
	iter.ForEach(positions, func(i *int) {
		ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
		defer cancel()
		reply, err := links[*i].Call(ctx, &jayframe.TimelineQuery{Limit: limit})
		if m, ok := reply.(*jayframe.TimelineReply); err == nil && ok {
			lists[*i] = jaytimeline.FromFrame(m)
		}
	})
	var selected []jaytimeline.Event
	for _, ev := range jaytimeline.Merge(lists...) {
		if f.Matches(ev) {
			selected = append(selected, ev)
		}
	}
	if len(selected) > limit {
		selected = selected[len(selected)-limit:]
	}
	return selected
}

// versionMap lists the manifest version in force in every linked process.
func (e *Entry) versionMap() *jayframe.VersionReply {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	m := &jayframe.VersionReply{Processes: []jayframe.ProcessVersion{{Process: e.Settings.Name, Manifest: e.manifests.Version()}}}
	for _, agent := range e.agents {
		if agent.link != nil && agent.report != nil {
			m.Processes = append(m.Processes, jayframe.ProcessVersion{Process: agent.name, Manifest: agent.report.Manifest})
		}
	}
	for _, p := range e.linkedPeers() {
		m.Processes = append(m.Processes, jayframe.ProcessVersion{Process: p.name, Manifest: p.manifest})
	}
	sort.Slice(m.Processes, func(a, b int) bool { return m.Processes[a].Process < m.Processes[b].Process })
	return m
}

func (e *Entry) handleVersions(c *fiber.Ctx) error {
	v := jayapi.Versions{}
	for _, p := range e.versionMap().Processes {
		v.Processes = append(v.Processes, jayapi.ProcessVersion{Process: p.Process, Manifest: p.Manifest})
	}
	return c.JSON(v)
}

func manifestBody(m *jaymanifest.Manifest) jayapi.Manifest {
	return jayapi.Manifest{Version: m.Version(), Digest: m.DigestString(), Source: m.Source()}
}

func (e *Entry) handleManifest(c *fiber.Ctx) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	version := c.QueryInt("version")
	for _, m := range e.manifests.History() {
		if uint64(version) == m.Version() || (version == 0 && m == e.manifests.Current()) {
			return c.JSON(manifestBody(m))
		}
	}
	return jayrefusal.New(jayrefusal.NotFound, jayrefusal.NotRun, "this entry knows no such version")
}

func (e *Entry) handleManifests(c *fiber.Ctx) error {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	list := []jayapi.Manifest{}
	for _, m := range e.manifests.History() {
		list = append(list, manifestBody(m))
	}
	return c.JSON(list)
}

func (e *Entry) handlePublish(c *fiber.Ctx) error {
	p, err := e.publish(e.ctx, c.BodyRaw(), c.QueryBool("dry_run"))
	if err != nil {
		return err
	}
	return c.JSON(p)
}

// publish validates a manifest, appends it to the log and waits until reading the
// log shows whether it was accepted. A failed append is retried, which is
// idempotent.
func (e *Entry) publish(ctx context.Context, source []byte, dryRun bool) (*jayapi.Published, error) {
	m, err := jaymanifest.Parse(append([]byte(nil), source...))
	if err != nil {
		return nil, malformed(err)
	}
	changes, err := e.validatePublish(m)
	if err != nil {
		return nil, err
	}
	p := &jayapi.Published{Version: m.Base() + 1, Digest: m.DigestString(), Changes: changes, DryRun: dryRun}
	if dryRun {
		return p, nil
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := e.log.Append(ctx, jaystate.ManifestStream, [][]byte{m.Source()})
		if err != nil {
			e.counter(`jaystile_entry_publish_append_failures_total`).Inc()
		}
		// Wait for the record to be read back before appending it again.
		for range 20 {
			if done, err := e.publishResult(m); done {
				return p, err
			}
			jaywork.Pause(ctx, publishPollInterval)
		}
	}
	return nil, jayrefusal.New(jayrefusal.LogUnavailable, jayrefusal.Unknown, "the log did not show the manifest in time; publishing it again is harmless").WithRetryAfter(jitteredRetryAfter(time.Second))
}

// validatePublish checks that the pool can meet the manifest's guarantees and
// returns the changes from the manifest in force.
func (e *Entry) validatePublish(m *jaymanifest.Manifest) ([]string, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	changes := []string{}
	for _, c := range jaymanifest.Diff(e.manifests.Current(), m) {
		changes = append(changes, c.String())
	}
	if e.scheduler.Pool().Total() == 0 {
		return changes, nil
	}
	pool := e.fullPool()
	if err := jayplan.Build(m.Base()+1, m.Guarantees(), pool, nil).Err(pool); err != nil {
		return nil, jayrefusal.New(jayrefusal.NeverFits, jayrefusal.NotRun, "%v", err)
	}
	return changes, nil
}

// fullPool returns the pool as if every recently known worker were up and idle, so
// that a temporary outage of workers does not block publishing.
func (e *Entry) fullPool() *jaypool.Pool {
	pool := jaypool.New()
	for _, agent := range e.agents {
		pool.Add(agent.name, jaypool.NewLocation(agent.hello.DataCentre, agent.hello.Rack, agent.hello.Cell), agent.hello.Accelerators)
	}
	return pool
}

// publishResult reports whether the manifest's record has been read back from the
// log, and an error if the manifest was superseded.
func (e *Entry) publishResult(m *jaymanifest.Manifest) (bool, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	current := e.manifests.Current()
	switch e.manifests.VerdictOf(m.Digest()) {
	case jaystate.Accepted, jaystate.Repeated, jaystate.Restored:
		return true, nil
	case jaystate.Superseded:
		return true, jayrefusal.New(jayrefusal.Conflict, jayrefusal.NotRun, "the manifest builds on version %d, but version %d with digest %s is in force", m.Base(), current.Version(), current.DigestString()[:12])
	case jaystate.NotAManifest:
	}
	return false, nil
}

func (e *Entry) handleDrain(c *fiber.Ctx) error {
	var link *jaylink.Link
	e.mutex.Lock()
	if agent := e.agents[c.Params("side")]; agent != nil {
		link = agent.link
	}
	e.mutex.Unlock()
	if link == nil {
		return jayrefusal.New(jayrefusal.NotFound, jayrefusal.NotRun, "no link to such a side")
	}
	ctx, cancel := context.WithTimeout(e.ctx, queryTimeout)
	defer cancel()
	if _, err := link.Call(ctx, &jayframe.Drain{On: c.QueryBool("on", true)}); err != nil {
		return jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Unknown, "%v", err)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// queryOwner asks the entry that owns a job for its status. It returns nil if that
// entry is not linked or does not know the job.
func (e *Entry) queryOwner(id, workspace string, cancel bool, wait time.Duration) (*jayapi.Job, error) {
	p := e.ownerLink(id)
	if p == nil {
		return nil, nil
	}
	ctx, stop := context.WithTimeout(context.Background(), wait+queryTimeout)
	defer stop()
	reply, err := p.Call(ctx, &jayframe.JobQuery{Workspace: workspace, Job: id, Cancel: cancel, WaitMillis: wait.Milliseconds()})
	if err != nil {
		return nil, jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Unknown, "the entry that has the job does not answer").WithRetryAfter(jitteredRetryAfter(time.Second))
	}
	r, ok := reply.(*jayframe.JobReply)
	if !ok || !r.Found {
		return nil, nil
	}
	var s jayapi.Job
	if err := json.Unmarshal(r.Status, &s); err != nil {
		return nil, fmt.Errorf("status of job %s: %w", id, err)
	}
	return &s, nil
}

// ownerLink returns the link to the entry that owns a job, or nil. The owner is
// taken from the log, or else from the job's ID.
func (e *Entry) ownerLink(id string) *jaylink.Link {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var owner jayattempt.Incarnation
	if len(id) > len(jobPrefix) {
		if origin, err := jayattempt.ParseID(id[len(jobPrefix):]); err == nil {
			owner = origin.Origin()
		}
	}
	if row := e.jobTable.Row(id); row != nil {
		owner = row.Owner()
	}
	if p := e.peers[owner]; p != nil {
		return p.link
	}
	return nil
}
