package jaycontroller

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jayhttp"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

// Outcome is the result of a caller's request.
type Outcome uint8

// Outcomes of requests.
const (
	// Accepted means that the job or its cancellation is stored.
	Accepted Outcome = iota + 1
	// Found means that the response has the job's state.
	Found
	// Counted means that the response has a number of jobs.
	Counted
	// NoJob and NoRoute mean that there is no such job or route.
	NoJob
	NoRoute
	// BadKey means that the key is unknown.
	BadKey
	// NotYours means that the job belongs to another workspace.
	NotYours
	// Malformed means that the request is invalid and can never succeed.
	Malformed
	// NotNow means that nothing was done and the caller may retry after RetryAfter.
	NotNow
	// Unsettled means that it is unknown whether the request took effect.
	Unsettled
)

var outcomeNames = [...]string{Accepted: "accepted", Found: "found", Counted: "counted", NoJob: "no_job", NoRoute: "no_route", BadKey: "bad_key", NotYours: "not_yours", Malformed: "malformed", NotNow: "not_now", Unsettled: "unsettled"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Response is the answer to a caller's request.
type Response struct {
	Outcome    Outcome
	State      jaytask.State
	Count      int
	Reason     string
	RetryAfter time.Duration
}

// Request is a caller's request. Key is the caller's API key, and Timeout, if positive,
// is how long the caller waits for the response.
type Request struct {
	Host    string
	Path    string
	Key     string
	Timeout time.Duration
}

const (
	// maxConfigAge is how long ago the configuration may have been read for a refusal
	// that a newer one might not make.
	maxConfigAge = 500 * time.Millisecond
	// configRefreshTimeout bounds the wait of one request for a newer configuration.
	// Requests that come while it waits are answered under the older one, so that a longer
	// wait would answer the earlier request under a newer version than a later one.
	configRefreshTimeout = 200 * time.Millisecond
	// refreshTimeout bounds a read of the store on behalf of one request.
	refreshTimeout = 800 * time.Millisecond
	// responseMargin is the part of a caller's timeout that is kept for the response.
	responseMargin = 300 * time.Millisecond
	// maxPutWait bounds the attempts to store a record, also for callers that would wait
	// longer.
	maxPutWait = 2200 * time.Millisecond
	// storeDownThreshold is how long the store must have served nothing before callers
	// are refused at once: longer than a slow store's responses take.
	storeDownThreshold = 900 * time.Millisecond
	// storeProbeTimeout bounds the read that finds out, before a caller is refused, whether
	// the store is back: ten answers of a store that is not slow.
	storeProbeTimeout = 50 * time.Millisecond
	// endPropagationDelay is how long a task's end takes to reach every entry: the
	// agent's report, one append to the store and the broadcast to the peers. Callers
	// ask as soon as their work has ended, so a request about a running job waits this
	// long for its end.
	endPropagationDelay = 100 * time.Millisecond
	// minRetryAfter and maxRetryAfter bound RetryAfter. Callers have only a few attempts,
	// and an outage of the store lasts seconds.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// recordSeconds is how long it takes to store a caller's record or to give up.
var recordSeconds = metrics.NewHistogram("jaystile_record_seconds")

// jobIDPattern matches the job IDs that callers choose.
var jobIDPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// routedRequest is a request whose route and key have been checked. id is empty if the
// path names no job.
type routedRequest struct {
	route     jayconfig.Route
	workspace string
	id        string
}

// resolve finds the route of a request and checks its key. The response is nil unless
// the request is refused. Before it refuses under an old configuration, it reads the
// newest one and tries again.
func (c *Controller) resolve(ctx context.Context, req Request) (routedRequest, *Response) {
	arrived := jayclock.Elapsed()
	for refreshed := false; ; refreshed = true {
		config := c.config.Load()
		if config == nil {
			return routedRequest{}, &Response{Outcome: NotNow, Reason: "no configuration yet", RetryAfter: c.retryAfter()}
		}
		r, refusal := resolveIn(config, req)
		if refusal == nil || refreshed {
			return r, refusal
		}
		age, _ := c.operatorTail.Age()
		if age <= maxConfigAge {
			return r, refusal
		}
		call, cancel := context.WithTimeout(ctx, configRefreshTimeout)
		err := c.operatorTail.Refresh(call)
		cancel()
		// A process that stood still may receive the configuration after the timeout.
		if err != nil || jayclock.Elapsed()-arrived > configRefreshTimeout {
			return r, &Response{Outcome: NotNow, Reason: "configuration may be out of date", RetryAfter: c.retryAfter()}
		}
	}
}

func resolveIn(config *jayconfig.Config, req Request) (routedRequest, *Response) {
	route, ok := config.Match(jayconfig.NormalizeHost(req.Host), req.Path)
	if !ok {
		return routedRequest{}, &Response{Outcome: NoRoute, Reason: "no route"}
	}
	r := routedRequest{route: route, id: req.Path[len(route.Prefix):]}
	if r.id != "" && !jobIDPattern.MatchString(r.id) {
		return routedRequest{}, &Response{Outcome: NoRoute, Reason: "no job's path"}
	}
	if route.Public {
		return r, nil
	}
	r.workspace, ok = config.WorkspaceByKey(req.Key)
	if !ok {
		return routedRequest{}, &Response{Outcome: BadKey, Reason: "unknown key"}
	}
	return r, nil
}

// Submit accepts a job and responds once it is stored. decode is called only if the
// route and the key are valid and the job is new.
func (c *Controller) Submit(ctx context.Context, req Request, decode func() (*jaytask.Job, error)) Response {
	r, refusal := c.resolve(ctx, req)
	if refusal != nil {
		return c.recordResponse("submit", r.id, *refusal)
	}
	if r.id == "" {
		return c.recordResponse("submit", "", Response{Outcome: Malformed, Reason: "no identity"})
	}
	if row, ok := c.jobs.get(r.id); ok {
		if row.spec.Policy.Workspace != r.workspace {
			return c.recordResponse("submit", r.id, Response{Outcome: NotYours, Reason: "identity is in use"})
		}
		return c.recordResponse("submit", r.id, Response{Outcome: Accepted, Reason: "known already"})
	}
	spec, err := decode()
	if err != nil {
		return c.recordResponse("submit", r.id, Response{Outcome: Malformed, Reason: err.Error()})
	}
	spec.ID, spec.Accepted = r.id, time.Now()
	spec.Policy = jaytask.Policy{
		Route: r.route.Name, Service: r.route.Service, Workspace: r.workspace, Priority: r.route.Priority,
		MaxAttempts: r.route.MaxAttempts, Stretch: r.route.Stretch, Objective: r.route.Objective,
	}
	if err := jaycell.CheckStorable(spec, c.maxUnitRecordBytes()); err != nil {
		return c.recordResponse("submit", r.id, Response{Outcome: Malformed, Reason: err.Error()})
	}
	if refusal := c.refuseForCapacity(ctx, spec); refusal != nil {
		return c.recordResponse("submit", r.id, *refusal)
	}
	value, err := jaytask.EncodeJob(spec)
	if err != nil {
		return c.recordResponse("submit", r.id, Response{Outcome: Malformed, Reason: err.Error()})
	}
	c.Logger.Info().Str("event", "job").Str("job", r.id).Str("data_centre", c.DataCentre).Str("route", r.route.Name).Str("workspace", r.workspace).Int("priority", r.route.Priority).
		Int("steps", len(spec.Steps)).Int("tasks", spec.Steps[0].Count).Int("accelerators", spec.Steps[0].Resources.Accelerators).Int("cpu", spec.Steps[0].Resources.CPU).
		Bool("gang", spec.Steps[0].Gang).Bool("same_rack", spec.Steps[0].SameRack).Bool("checkpoint", spec.Steps[0].Checkpoint).Str("data_rack", spec.Steps[0].DataRack).
		Int64("estimate_ms", spec.Steps[0].Estimate.Milliseconds()).Int64("objective_ms", r.route.Objective.Milliseconds()).Float64("stretch", r.route.Stretch).Int("times", spec.TimedOccurrences).Msg("storing")
	return c.recordResponse("submit", r.id, c.storeRecord(ctx, jaystore.Record{Key: jaycell.JobKey(r.id), Value: value}, req))
}

// storeRecord stores and applies a record on behalf of a caller. It broadcasts the
// record unless this entry leads.
func (c *Controller) storeRecord(ctx context.Context, r jaystore.Record, req Request) Response {
	if down, ok := c.storeTransport.Outage(); ok && down > storeDownThreshold && !c.storeAnswers(ctx) {
		return Response{Outcome: NotNow, Reason: "store has not answered for " + down.Round(time.Millisecond).String(), RetryAfter: c.retryAfter()}
	}
	wait := maxPutWait
	if req.Timeout > 0 {
		wait = min(wait, max(req.Timeout-responseMargin, req.Timeout/2))
	}
	start := time.Now()
	err := c.jobsAppender.Put(r, start.Add(wait))
	recordSeconds.UpdateDuration(start)
	var refused *jaystore.NotStoredError
	switch {
	case errors.As(err, &refused) && jaystore.IsRejection(err):
		return Response{Outcome: Malformed, Reason: err.Error()}
	case errors.As(err, &refused):
		return Response{Outcome: NotNow, Reason: err.Error(), RetryAfter: c.retryAfter()}
	case err != nil:
		return Response{Outcome: Unsettled, Reason: err.Error()}
	}
	c.jobs.applyCopy(r.Key, r.Value)
	if c.currentLeadership() == nil {
		c.broadcast(&jayframe.StoredRecords{Records: []jayframe.StoredRecord{{Key: r.Key, Value: r.Value}}})
	}
	return Response{Outcome: Accepted}
}

// storeAnswers reports whether the store, which has not served this entry for a while,
// answers a read now. The reads of the tails notice its return only after their timeouts,
// and a caller has few attempts.
func (c *Controller) storeAnswers(ctx context.Context) bool {
	call, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	return c.cellTail.Refresh(call) == nil
}

// retryAfter returns the RetryAfter of a refusal made now.
func (c *Controller) retryAfter() time.Duration {
	down, _ := c.storeTransport.Outage()
	return retryAfterOutage(down)
}

// retryAfterOutage returns the delay after which a refused caller should retry, given
// how long the store has not responded. Callers must not use up their attempts within
// an outage. An outage is expected to last as long again as it has lasted so far
// (J. R. Gott's 1993 estimate for a duration of which only the past is known).
func retryAfterOutage(down time.Duration) time.Duration {
	return min(max(down, minRetryAfter), maxRetryAfter)
}

// State returns a job's state, or the number of queued jobs for a path without ID.
func (c *Controller) State(ctx context.Context, req Request) Response {
	r, refusal := c.resolve(ctx, req)
	if refusal != nil {
		return c.recordResponse("state", r.id, *refusal)
	}
	if r.id == "" {
		return c.recordResponse("pending", "", Response{Outcome: Counted, Count: c.jobs.countQueued(r.route.Name)})
	}
	row, refusal := c.findJob(ctx, r)
	if refusal != nil {
		return c.recordResponse("state", r.id, *refusal)
	}
	if row.callerState() == jaytask.Running {
		wait := endPropagationDelay
		if req.Timeout > 0 {
			wait = min(wait, req.Timeout/4)
		}
		call, cancel := context.WithTimeout(ctx, wait)
		if newer, ok := c.jobs.awaitEnd(call, r.id); ok {
			row = newer
		}
		cancel()
	}
	return c.recordResponse("state", r.id, Response{Outcome: Found, State: row.callerState(), Reason: row.callerState().String()})
}

// findJob returns the caller's own job, or the response that refuses the request. It
// reads the store before it responds that there is no such job.
func (c *Controller) findJob(ctx context.Context, r routedRequest) (jobRow, *Response) {
	if _, loaded := c.runsTail.Age(); !loaded {
		return jobRow{}, &Response{Outcome: NotNow, Reason: "states of jobs are not read yet", RetryAfter: c.retryAfter()}
	}
	row, ok := c.jobs.get(r.id)
	if !ok {
		call, cancel := context.WithTimeout(ctx, refreshTimeout)
		err := c.jobsTail.Refresh(call)
		cancel()
		if err != nil {
			return row, &Response{Outcome: NotNow, Reason: "store out of reach: " + err.Error(), RetryAfter: c.retryAfter()}
		}
		if row, ok = c.jobs.get(r.id); !ok {
			return row, &Response{Outcome: NoJob, Reason: "no such job"}
		}
	}
	if row.spec.Policy.Workspace != r.workspace {
		return row, &Response{Outcome: NotYours, Reason: "another workspace's job"}
	}
	return row, nil
}

// Cancel cancels a job and responds once the cancellation is stored, also if there is no such job.
func (c *Controller) Cancel(ctx context.Context, req Request) Response {
	r, refusal := c.resolve(ctx, req)
	if refusal != nil {
		return c.recordResponse("cancel", r.id, *refusal)
	}
	if r.id == "" {
		return c.recordResponse("cancel", "", Response{Outcome: Malformed, Reason: "no identity"})
	}
	row, refusal := c.findJob(ctx, r)
	if refusal != nil && refusal.Outcome == NoJob {
		return c.recordResponse("cancel", r.id, c.cancelEarly(ctx, r, req))
	}
	if refusal != nil {
		return c.recordResponse("cancel", r.id, *refusal)
	}
	if row.canceled || row.state.Ended() {
		return c.recordResponse("cancel", r.id, Response{Outcome: Accepted, Reason: "over already"})
	}
	return c.recordResponse("cancel", r.id, c.storeRecord(ctx, cancelRecord(r.id, time.Now()), req))
}

// recordResponse counts and logs a response, and returns it. kind is the kind of
// request.
func (c *Controller) recordResponse(kind, id string, resp Response) Response {
	metrics.GetOrCreateCounter(fmt.Sprintf(`jaystile_requests_total{kind=%q,outcome=%q}`, kind, resp.Outcome)).Inc()
	version := uint64(0)
	if config := c.config.Load(); config != nil {
		version = config.Version()
	}
	age, _ := c.operatorTail.Age()
	c.requestLogger.Info().Str("event", kind).Str("job", id).Str("outcome", resp.Outcome.String()).Str("reason", jayhttp.Quote(resp.Reason)).Uint64("config", version).Int64("config_age_ms", age.Milliseconds()).Int64("at_ms", jayclock.Elapsed().Milliseconds()).Msg("answered")
	return resp
}
