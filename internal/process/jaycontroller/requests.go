package jaycontroller

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

// Verdict is what a caller is answered.
type Outcome uint8

// The verdicts.
const (
	// Accepted tells that the job or its cancellation is stored.
	Accepted Outcome = iota + 1
	// Found comes with the job's state, Counted with a number.
	Found
	Counted
	// NoJob and NoRoute tell that there is none of that name.
	NoJob
	NoRoute
	// BadKey tells that the key is nobody's, NotYours that it is another's.
	BadKey
	NotYours
	// Malformed tells that the request can never be served as it is.
	Malformed
	// NotNow tells that nothing was done and when to come back.
	NotNow
	// Unsettled tells that it is not known whether the request took effect.
	Unsettled
)

var verdictNames = [...]string{Accepted: "accepted", Found: "found", Counted: "counted", NoJob: "no_job", NoRoute: "no_route", BadKey: "bad_key", NotYours: "not_yours", Malformed: "malformed", NotNow: "not_now", Unsettled: "unsettled"}

// String returns the verdict's name.
func (v Outcome) String() string { return verdictNames[v] }

// Answer is a verdict with what belongs to it.
type Response struct {
	Outcome    Outcome
	State      jaytask.State
	Count      int
	Reason     string
	RetryAfter time.Duration
}

// Caller is who asks, for what, and how long it waits.
type Request struct {
	Host    string
	Path    string
	Key     string
	Timeout time.Duration
}

const (
	// freshConfig is how old the configuration may be for a refusal that a newer
	// one might not make.
	freshConfig = 500 * time.Millisecond
	// refreshTimeout bounds a look into the store on behalf of one request.
	refreshTimeout = 800 * time.Millisecond
	// putMargin is left of a caller's time for the answer's way back.
	putMargin = 300 * time.Millisecond
	// putMost bounds how long a record is tried for a caller that waits longer.
	putMost = 2200 * time.Millisecond
	// downAfter is how long the store must have served nothing for callers to be
	// turned away at once: more than the answers of a slow store take.
	downAfter = 900 * time.Millisecond
	// endsUnderWay is how long a task's end takes from its runner to every entry: the
	// side's report, one append to the store, the way to the peers. Who asks for a
	// running job meanwhile is told of that end, not of the past; callers ask as
	// soon as their work has ended.
	endsUnderWay = 100 * time.Millisecond
	// retryLeast and retryMost bound when a caller that was turned away comes back.
	// Callers have a few tries, and an outage of the store lasts seconds.
	retryLeast = time.Second
	retryMost  = 4 * time.Second
)

// storeSeconds is how long records of callers take to be stored or given up.
var storeSeconds = metrics.NewHistogram("jaystile_record_seconds")

// jobID is what callers name jobs by.
var jobID = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// place is a caller's request after routing.
type place struct {
	route     jayconfig.Route
	workspace string
	id        string
}

// locate finds the route of a request and checks its key.
func (h *Controller) locate(ctx context.Context, c Request) (place, *Response) {
	for fresh := false; ; fresh = true {
		config := h.config.Load()
		if config == nil {
			return place{}, &Response{Outcome: NotNow, Reason: "no configuration yet", RetryAfter: h.comeBack()}
		}
		p, refusal := locateIn(config, c)
		if refusal == nil || fresh {
			return p, refusal
		}
		age, _ := h.operTail.Age()
		if age <= freshConfig {
			return p, refusal
		}
		call, cancel := context.WithTimeout(ctx, refreshTimeout)
		err := h.operTail.Refresh(call)
		cancel()
		if err != nil {
			return p, &Response{Outcome: NotNow, Reason: "configuration may be out of date", RetryAfter: h.comeBack()}
		}
	}
}

func locateIn(config *jayconfig.Config, c Request) (place, *Response) {
	route, ok := config.Match(jayconfig.NormalizeHost(c.Host), c.Path)
	if !ok {
		return place{}, &Response{Outcome: NoRoute, Reason: "no route"}
	}
	p := place{route: route, id: c.Path[len(route.Prefix):]}
	if p.id != "" && !jobID.MatchString(p.id) {
		return place{}, &Response{Outcome: NoRoute, Reason: "no job's path"}
	}
	if route.Public {
		return p, nil
	}
	p.workspace, ok = config.WorkspaceByKey(c.Key)
	if !ok {
		return place{}, &Response{Outcome: BadKey, Reason: "unknown key"}
	}
	return p, nil
}

// Submit accepts a job: it is stored before the caller is told so. The job is
// decoded by the caller of Submit only when a route takes it.
func (h *Controller) Submit(ctx context.Context, c Request, decode func() (*jaytask.Job, error)) Response {
	p, refusal := h.locate(ctx, c)
	if refusal != nil {
		return h.answer("submit", p.id, *refusal)
	}
	if p.id == "" {
		return h.answer("submit", "", Response{Outcome: Malformed, Reason: "no identity"})
	}
	if e, ok := h.jobs.get(p.id); ok {
		if e.spec.Policy.Workspace != p.workspace {
			return h.answer("submit", p.id, Response{Outcome: NotYours, Reason: "identity is in use"})
		}
		return h.answer("submit", p.id, Response{Outcome: Accepted, Reason: "known already"})
	}
	spec, err := decode()
	if err != nil {
		return h.answer("submit", p.id, Response{Outcome: Malformed, Reason: err.Error()})
	}
	spec.ID, spec.Accepted = p.id, time.Now()
	spec.Policy = jaytask.Policy{
		Route: p.route.Name, Service: p.route.Service, Workspace: p.workspace, Priority: p.route.Priority,
		MaxAttempts: p.route.Attempts, Stretch: p.route.Stretch, Objective: p.route.Objective,
	}
	value, err := jaytask.EncodeJob(spec)
	if err != nil {
		return h.answer("submit", p.id, Response{Outcome: Malformed, Reason: err.Error()})
	}
	h.Logger.Info().Str("event", "job").Str("job", p.id).Str("route", p.route.Name).Str("workspace", p.workspace).Int("priority", p.route.Priority).
		Int("steps", len(spec.Steps)).Int("tasks", spec.Steps[0].Count).Int("accelerators", spec.Steps[0].Resources.Accelerators).Int("cpu", spec.Steps[0].Resources.CPU).
		Bool("gang", spec.Steps[0].Gang).Bool("same_rack", spec.Steps[0].SameRack).Bool("checkpoint", spec.Steps[0].Checkpoint).Str("data_rack", spec.Steps[0].DataRack).
		Int64("estimate_ms", spec.Steps[0].Estimate.Milliseconds()).Int64("objective_ms", p.route.Objective.Milliseconds()).Float64("stretch", p.route.Stretch).Int("times", spec.TimedOccurrences).Msg("storing")
	return h.answer("submit", p.id, h.put(jaystore.Record{Key: jaycell.JobKey(p.id), Value: value}, c))
}

// put stores a record on behalf of a caller and spreads it.
func (h *Controller) put(r jaystore.Record, c Request) Response {
	if down, ok := h.path.Outage(); ok && down > downAfter {
		return Response{Outcome: NotNow, Reason: "store has not answered for " + down.Round(time.Millisecond).String(), RetryAfter: h.comeBack()}
	}
	wait := putMost
	if c.Timeout > 0 {
		wait = min(wait, max(c.Timeout-putMargin, c.Timeout/2))
	}
	begun := time.Now()
	err := h.jobsPut.Put(r, begun.Add(wait))
	storeSeconds.UpdateDuration(begun)
	var refused *jaystore.NotStoredError
	switch {
	case errors.As(err, &refused):
		return Response{Outcome: NotNow, Reason: err.Error(), RetryAfter: h.comeBack()}
	case err != nil:
		return Response{Outcome: Unsettled, Reason: err.Error()}
	}
	h.jobs.apply(r.Key, r.Value)
	if h.leading() == nil {
		h.spread(&jayframe.StoredRecords{Records: []jayframe.StoredRecord{{Key: r.Key, Value: r.Value}}})
	}
	return Response{Outcome: Accepted}
}

// comeBack returns when a caller that is turned away should try again.
func (h *Controller) comeBack() time.Duration {
	down, _ := h.path.Outage()
	return retryIn(down)
}

// retryIn returns when a caller should try again that is turned away after the store
// has not answered for a while. It answers callers who use up their tries within an
// outage: one that has lasted for a time is expected to last as long again (the
// estimate of J. R. Gott, 1993, for a duration of which only the past is known).
func retryIn(down time.Duration) time.Duration { return min(max(down, retryLeast), retryMost) }

// State tells a job's state.
func (h *Controller) State(ctx context.Context, c Request) Response {
	p, refusal := h.locate(ctx, c)
	if refusal != nil {
		return h.answer("state", p.id, *refusal)
	}
	if p.id == "" {
		return h.answer("pending", "", Response{Outcome: Counted, Count: h.jobs.pending(p.route.Name)})
	}
	e, refusal := h.find(ctx, p)
	if refusal != nil {
		return h.answer("state", p.id, *refusal)
	}
	if e.shown() == jaytask.Running {
		wait := endsUnderWay
		if c.Timeout > 0 {
			wait = min(wait, c.Timeout/4)
		}
		call, cancel := context.WithTimeout(ctx, wait)
		if now, ok := h.jobs.await(call, p.id); ok {
			e = now
		}
		cancel()
	}
	return h.answer("state", p.id, Response{Outcome: Found, State: e.shown(), Reason: e.shown().String()})
}

// find returns the caller's own job. That there is none is said only after a
// look into the store.
func (h *Controller) find(ctx context.Context, p place) (jobEntry, *Response) {
	if _, read := h.runsTail.Age(); !read {
		return jobEntry{}, &Response{Outcome: NotNow, Reason: "states of jobs are not read yet", RetryAfter: h.comeBack()}
	}
	e, ok := h.jobs.get(p.id)
	if !ok {
		call, cancel := context.WithTimeout(ctx, refreshTimeout)
		err := h.jobsTail.Refresh(call)
		cancel()
		if err != nil {
			return e, &Response{Outcome: NotNow, Reason: "store out of reach: " + err.Error(), RetryAfter: h.comeBack()}
		}
		if e, ok = h.jobs.get(p.id); !ok {
			return e, &Response{Outcome: NoJob, Reason: "no such job"}
		}
	}
	if e.spec.Policy.Workspace != p.workspace {
		return e, &Response{Outcome: NotYours, Reason: "another workspace's job"}
	}
	return e, nil
}

// Cancel cancels a job: that is stored before the caller is told so.
func (h *Controller) Cancel(ctx context.Context, c Request) Response {
	p, refusal := h.locate(ctx, c)
	if refusal != nil {
		return h.answer("cancel", p.id, *refusal)
	}
	if p.id == "" {
		return h.answer("cancel", "", Response{Outcome: Malformed, Reason: "no identity"})
	}
	e, refusal := h.find(ctx, p)
	if refusal != nil {
		return h.answer("cancel", p.id, *refusal)
	}
	if e.canceled || e.state.Ended() {
		return h.answer("cancel", p.id, Response{Outcome: Accepted, Reason: "over already"})
	}
	return h.answer("cancel", p.id, h.put(cancelRecord(p.id, time.Now()), c))
}

// answer counts and logs what a request was answered and why.
func (h *Controller) answer(what, id string, a Response) Response {
	metrics.GetOrCreateCounter(fmt.Sprintf(`jaystile_requests_total{kind=%q,outcome=%q}`, what, a.Outcome)).Inc()
	version := uint64(0)
	if c := h.config.Load(); c != nil {
		version = c.Version()
	}
	age, _ := h.operTail.Age()
	h.Logger.Info().Str("event", what).Str("job", id).Str("outcome", a.Outcome.String()).Str("reason", a.Reason).Uint64("config", version).Int64("config_age_ms", age.Milliseconds()).Int64("at_ms", jayclock.Elapsed().Milliseconds()).Msg("answered")
	return a
}
