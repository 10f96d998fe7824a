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
	collectTimeout  = time.Second
	publishTimeout  = 5 * time.Second
	publishPoll     = 5 * time.Millisecond
	maxEventsListed = 20_000
)

// authenticateOperator admits operators by the key of the settings.
func (e *Entry) authenticateOperator(c *fiber.Ctx) error {
	want := sha256.Sum256([]byte(e.Settings.OperatorKey))
	given := sha256.Sum256([]byte(bearer(c)))
	if e.Settings.OperatorKey == "" || subtle.ConstantTimeCompare(want[:], given[:]) != 1 {
		return unauthorized()
	}
	return c.Next()
}

func (e *Entry) handlePoolStatus(c *fiber.Ctx) error { return c.JSON(e.poolStatus()) }

// poolStatus describes the pool as this entry knows it.
func (e *Entry) poolStatus() jayapi.Status {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	pool := e.scheduler.Pool()
	s := jayapi.Status{
		Entry:         e.Settings.Name,
		Incarnation:   e.incarnation.String(),
		Manifest:      e.manifests.Version(),
		Log:           e.follower[jaystate.JobsStream].Health().String(),
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
		if side := e.sides[w.ID()]; side != nil {
			ws := jayapi.WorkerStatus{Name: w.ID(), DataCentre: w.Location().DataCentre(), Rack: w.Location().Rack(), Accelerators: w.Accelerators(), Free: w.Free(), Quarantined: side.quarantined, Linked: side.link != nil}
			if side.report != nil {
				ws.Draining = side.report.Draining
				ws.Manifest = side.report.Manifest
			}
			for space, n := range e.scheduler.Plan().Homes(w.ID()) {
				ws.Homes = append(ws.Homes, jayapi.HomeStatus{Workspace: space, Accelerators: n, Used: min(n, w.Usage(space))})
			}
			sort.Slice(ws.Homes, func(a, b int) bool { return ws.Homes[a].Workspace < ws.Homes[b].Workspace })
			for _, h := range w.Allocations() {
				ws.Holds = append(ws.Holds, jayapi.HoldStatus{Job: h.Job(), Workspace: h.Workspace(), Class: h.Class().String(), Accelerators: h.Accelerators(), Stoppable: h.Preemptible()})
			}
			s.Workers = append(s.Workers, ws)
		}
	}
	return s
}

// allLinks returns the links to every process that this entry knows.
func (e *Entry) allLinks() []*jaylink.Link {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var links []*jaylink.Link
	for _, s := range e.linkedSides() {
		links = append(links, s.link)
	}
	for _, p := range e.livePeers() {
		links = append(links, p.link)
	}
	return links
}

func (e *Entry) handleTimeline(c *fiber.Ctx) error {
	f := jaytimeline.Filter{Job: c.Query("job"), Workspace: c.Query("workspace"), Worker: c.Query("worker"), Name: jaytimeline.Name(c.Query("name"))}
	most := min(max(c.QueryInt("most", maxEventsListed), 1), maxEventsListed)
	events := e.collectEvents(f, most)
	t := jayapi.Timeline{Events: make([]jayapi.Event, 0, len(events))}
	for _, ev := range events {
		d := ev.Fields()
		t.Events = append(t.Events, jayapi.Event{Time: ev.At().Wall(), Order: uint64(ev.At()), Process: ev.Process(), Name: string(ev.Name()), Job: d.Job, Attempt: d.Attempt, Workspace: d.Workspace, Worker: d.Worker, Detail: d.Detail})
	}
	return c.JSON(t)
}

// collectEvents merges the events of all processes that answer in time.
func (e *Entry) collectEvents(f jaytimeline.Filter, most int) []jaytimeline.Event {
	links := e.allLinks()
	lists := make([][]jaytimeline.Event, len(links)+1)
	lists[len(links)] = e.recorder.Events(0, most)
	positions := make([]int, len(links))
	for i := range positions {
		positions[i] = i
	}
	iter.ForEach(positions, func(i *int) {
		ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
		defer cancel()
		reply, err := links[*i].Call(ctx, &jayframe.TimelineQuery{Limit: most})
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
	if len(selected) > most {
		selected = selected[len(selected)-most:]
	}
	return selected
}

// versionMap lists the manifest that every known process has in force.
func (e *Entry) versionMap() *jayframe.VersionReply {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	m := &jayframe.VersionReply{Processes: []jayframe.ProcessVersion{{Process: e.Settings.Name, Manifest: e.manifests.Version()}}}
	for _, s := range e.sides {
		if s.link != nil && s.report != nil {
			m.Processes = append(m.Processes, jayframe.ProcessVersion{Process: s.name, Manifest: s.report.Manifest})
		}
	}
	for _, p := range e.livePeers() {
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
	p, err := e.publish(c.Context(), c.Body(), c.QueryBool("dry_run"))
	if err != nil {
		return err
	}
	return c.JSON(p)
}

// publish checks a manifest, appends it and waits for the log's verdict. An
// append whose answer was lost is settled by what the log shows.
func (e *Entry) publish(ctx context.Context, source []byte, dryRun bool) (*jayapi.Published, error) {
	m, err := jaymanifest.Parse(append([]byte(nil), source...))
	if err != nil {
		return nil, malformed(err)
	}
	changes, err := e.checkPublish(m)
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
		for range 20 {
			if done, err := e.verdict(m); done {
				return p, err
			}
			jaywork.Pause(ctx, publishPoll)
		}
	}
	return nil, jayrefusal.New(jayrefusal.LogUnavailable, jayrefusal.Unknown, "the log did not show the manifest in time; publishing it again is harmless").WithRetryAfter(spread(time.Second))
}

// checkPublish judges a manifest against the one in force and the pool.
func (e *Entry) checkPublish(m *jaymanifest.Manifest) ([]string, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	changes := []string{}
	for _, c := range jaymanifest.Diff(e.manifests.Current(), m) {
		changes = append(changes, c.String())
	}
	if e.scheduler.Pool().Total() == 0 {
		return changes, nil
	}
	whole := e.wholePool()
	if err := jayplan.Build(m.Base()+1, m.Guarantees(), whole, nil).Err(whole); err != nil {
		return nil, jayrefusal.New(jayrefusal.NeverFits, jayrefusal.NotRun, "%v", err)
	}
	return changes, nil
}

// wholePool returns the pool as it would be if every worker that was seen of
// late were up and idle: a pool that has shrunk for a while must not keep
// operators from publishing.
func (e *Entry) wholePool() *jaypool.Pool {
	whole := jaypool.New()
	for _, s := range e.sides {
		whole.Add(s.name, jaypool.NewLocation(s.hello.DataCentre, s.hello.Rack, s.hello.Cell), s.hello.Accelerators)
	}
	return whole
}

// verdict reports what the log's order has made of a manifest.
func (e *Entry) verdict(m *jaymanifest.Manifest) (bool, error) {
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
	e.mutex.Lock()
	s := e.sides[c.Params("side")]
	e.mutex.Unlock()
	if s == nil || s.link == nil {
		return jayrefusal.New(jayrefusal.NotFound, jayrefusal.NotRun, "no link to such a side")
	}
	ctx, cancel := context.WithTimeout(c.Context(), collectTimeout)
	defer cancel()
	if _, err := s.link.Call(ctx, &jayframe.Drain{On: c.QueryBool("on", true)}); err != nil {
		return jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Unknown, "%v", err)
	}
	return c.SendStatus(fiber.StatusNoContent)
}

// askOwner asks the entry that looks after a job about it. It returns nil when
// no live entry is known to.
func (e *Entry) askOwner(id, workspace string, cancel bool, hold time.Duration) (*jayapi.Job, error) {
	p := e.ownerOf(id)
	if p == nil {
		return nil, nil
	}
	ctx, stop := context.WithTimeout(context.Background(), hold+collectTimeout)
	defer stop()
	reply, err := p.Call(ctx, &jayframe.JobQuery{Workspace: workspace, Job: id, Cancel: cancel, WaitMillis: hold.Milliseconds()})
	if err != nil {
		return nil, jayrefusal.New(jayrefusal.OwnerLost, jayrefusal.Unknown, "the entry that has the job does not answer").WithRetryAfter(spread(time.Second))
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

func (e *Entry) ownerOf(id string) *jaylink.Link {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var owner jayattempt.Incarnation
	if len(id) > len(jobPrefix) {
		if origin, err := jayattempt.ParseID(id[len(jobPrefix):]); err == nil {
			owner = origin.Origin()
		}
	}
	if row := e.jobsFold.Row(id); row != nil {
		owner = row.Owner()
	}
	if p := e.peers[owner]; p != nil {
		return p.link
	}
	return nil
}
