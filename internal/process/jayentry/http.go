package jayentry

import (
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/utils"

	"github.com/jaystile/jaystile/internal/connection/jayhttp"
	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	// maxWait bounds how long a request is held open for a job to end.
	maxWait = 10 * time.Minute
	// defaultPage and maxPage are numbers of jobs on a page of a list.
	defaultPage       = 100
	maxPage           = 1000
	workspaceLocalKey = "workspace"
)

// httpStatuses maps refusal codes to HTTP status codes.
var httpStatuses = map[jayrefusal.Code]int{
	jayrefusal.Malformed:       fiber.StatusBadRequest,
	jayrefusal.Unauthorized:    fiber.StatusUnauthorized,
	jayrefusal.NotFound:        fiber.StatusNotFound,
	jayrefusal.KeyReused:       fiber.StatusUnprocessableEntity,
	jayrefusal.KeyExpired:      fiber.StatusGone,
	jayrefusal.KeysExhausted:   fiber.StatusTooManyRequests,
	jayrefusal.QueueFull:       fiber.StatusTooManyRequests,
	jayrefusal.DeadlineTooNear: fiber.StatusTooManyRequests,
	jayrefusal.DeadlinePassed:  fiber.StatusGatewayTimeout,
	jayrefusal.NeverFits:       fiber.StatusUnprocessableEntity,
	jayrefusal.OverQuota:       fiber.StatusUnprocessableEntity,
	jayrefusal.NoManifest:      fiber.StatusServiceUnavailable,
	jayrefusal.LogUnavailable:  fiber.StatusServiceUnavailable,
	jayrefusal.Draining:        fiber.StatusServiceUnavailable,
	jayrefusal.Overloaded:      fiber.StatusServiceUnavailable,
	jayrefusal.Canceled:        fiber.StatusConflict,
	jayrefusal.Conflict:        fiber.StatusConflict,
	jayrefusal.Failed:          fiber.StatusBadGateway,
	jayrefusal.OwnerLost:       fiber.StatusBadGateway,
	jayrefusal.Internal:        fiber.StatusInternalServerError,
}

// buildApp registers the handlers of the public API.
func (e *Entry) buildApp() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true,
		BodyLimit:             e.Settings.MaxBodyBytes,
		Concurrency:           e.Settings.MaxCallers,
		ReadBufferSize:        jayhttp.MaxHeadBytes,
		ErrorHandler:          e.handleError,
		// Idle connections hold no buffers.
		ReduceMemoryUsage:            true,
		DisablePreParseMultipartForm: true,
	})
	app.Use(e.refuseWhenClosed)
	app.Get("/healthz", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", e.handleReady)
	app.Get("/metrics", e.handleMetrics)
	jobs := app.Group("/v1/jobs", e.authenticate)
	jobs.Post("/", e.handleSubmit)
	jobs.Get("/", e.handleList)
	jobs.Get("/:job", e.handleStatus)
	jobs.Delete("/:job", e.handleCancel)
	jobs.Get("/:job/why", e.handleWhy)
	operator := app.Group("/v1/operator", e.authenticateOperator)
	operator.Get("/status", e.handlePoolStatus)
	operator.Get("/timeline", e.handleTimeline)
	operator.Get("/versions", e.handleVersions)
	operator.Get("/manifest", e.handleManifest)
	operator.Get("/manifests", e.handleManifests)
	operator.Post("/manifest", e.handlePublish)
	operator.Post("/sides/:side/drain", e.handleDrain)
	return app
}

// The parts of the machine that the connections to each address may use.
var (
	callerShare = jayhttp.Share{Listener: "callers", Memory: 75, Descriptors: 60}
	linkShare   = jayhttp.Share{Listener: "links", Memory: 25, Descriptors: 10}
)

// budget returns the budget of the connections to one address.
func (e *Entry) budget(s jayhttp.Share) *jayhttp.Budget {
	return jayhttp.Machine{MemoryBytes: e.Settings.MemoryMB << 20, Descriptors: e.Settings.Descriptors}.Budget(s, e.metrics)
}

// limitCallers returns the listener for callers and operators with its limits, and TLS if it is set.
func (e *Entry) limitCallers() *jayhttp.LimitedListener {
	l := &jayhttp.LimitedListener{
		Listener: e.HTTPListener, Budget: e.budget(callerShare),
		Default: jayhttp.Limits{HeaderBytes: maxHeaderBytes, BodyBytes: e.Settings.MaxBodyBytes, Idle: idleTimeout, Request: readTimeout},
		Fields:  []string{jayapi.AuthorizationHeader, jayapi.WorkspaceHeader, fiber.HeaderContentType},
		Refusal: refusalBody,
	}
	if e.TLS != nil {
		l.Listener = tls.NewListener(e.HTTPListener, e.TLS)
	}
	return l
}

// refusalBody returns the body of a response to a request that exceeds the limits.
func refusalBody(status int) (string, []byte) {
	code, message := jayrefusal.Malformed, utils.StatusMessage(status)
	if status == fiber.StatusServiceUnavailable {
		code = jayrefusal.Overloaded
	}
	b, err := json.Marshal(jayapi.FromRefusal(jayrefusal.New(code, jayrefusal.NotRun, "%s", message)))
	if err != nil {
		return fiber.MIMETextPlain, []byte(message)
	}
	return fiber.MIMEApplicationJSON, b
}

// refuseWhenClosed closes connections that are still open after shutdown, when
// the tables are no longer maintained.
func (e *Entry) refuseWhenClosed(c *fiber.Ctx) error {
	if e.isClosed() {
		return c.Context().Conn().Close()
	}
	return c.Next()
}

// handleError writes every error as a refusal.
func (e *Entry) handleError(c *fiber.Ctx, err error) error {
	var f *fiber.Error
	if errors.As(err, &f) {
		code := jayrefusal.Malformed
		if f.Code == fiber.StatusNotFound || f.Code == fiber.StatusMethodNotAllowed {
			code = jayrefusal.NotFound
		}
		return c.Status(f.Code).JSON(jayapi.FromRefusal(jayrefusal.New(code, jayrefusal.NotRun, "%s", f.Message)))
	}
	r := jayrefusal.From(err)
	if d := r.RetryAfter(); d > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
	return c.Status(httpStatuses[r.Code()]).JSON(jayapi.FromRefusal(r))
}

func (e *Entry) handleReady(c *fiber.Ctx) error {
	e.mutex.Lock()
	ready := !e.draining && e.manifests.Current() != nil
	e.mutex.Unlock()
	if !ready {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (e *Entry) handleMetrics(c *fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	e.metrics.WritePrometheus(c.Response().BodyWriter())
	return nil
}

func bearerToken(c *fiber.Ctx) string {
	return strings.TrimPrefix(c.Get(jayapi.AuthorizationHeader), jayapi.BearerPrefix)
}

func unauthorized() error {
	return jayrefusal.New(jayrefusal.Unauthorized, jayrefusal.NotRun, "the workspace or its key is wrong")
}

// authenticate checks the workspace's key. The error is the same for an unknown
// workspace and a wrong key.
func (e *Entry) authenticate(c *fiber.Ctx) error {
	e.mutex.Lock()
	m := e.manifests.Current()
	e.mutex.Unlock()
	if m == nil {
		return jayrefusal.New(jayrefusal.NoManifest, jayrefusal.NotRun, "no manifest is in force yet").WithRetryAfter(jitteredRetryAfter(time.Second))
	}
	name := c.Get(jayapi.WorkspaceHeader)
	w := m.Workspace(name)
	if w == nil || !w.Authenticates(bearerToken(c)) {
		return unauthorized()
	}
	c.Locals(workspaceLocalKey, name)
	return c.Next()
}

func workspaceOf(c *fiber.Ctx) string {
	name, _ := c.Locals(workspaceLocalKey).(string)
	return name
}

// parseSpec converts a submission to a validated job specification.
func parseSpec(workspace string, b jayapi.Submission) (jayjob.Spec, error) {
	class, err := jayjob.ParseClass(b.Class)
	if err != nil {
		return jayjob.Spec{}, err
	}
	locality, err := jayjob.ParseLocality(b.Near)
	if err != nil {
		return jayjob.Spec{}, err
	}
	shape, err := jayjob.NewShape(b.Members, b.Accelerators, locality)
	if err != nil {
		return jayjob.Spec{}, err
	}
	runtime, err := parseMillis("runtime_ms", b.RuntimeMillis)
	if err != nil {
		return jayjob.Spec{}, err
	}
	deadline, err := parseMillis("deadline_ms", b.DeadlineMillis)
	if err != nil {
		return jayjob.Spec{}, err
	}
	return jayjob.New(jayjob.Fields{
		Workspace:     workspace,
		Kind:          b.Kind,
		Class:         class,
		Shape:         shape,
		Payload:       b.Payload,
		Runtime:       runtime,
		Deadline:      deadline,
		Key:           b.Key,
		Idempotent:    b.Idempotent,
		Checkpointing: b.Checkpointing,
	})
}

// parseMillis converts a field in milliseconds and rejects values out of range.
func parseMillis(field string, n int64) (time.Duration, error) {
	if n < 0 || n > jayjob.MaxDuration.Milliseconds() {
		return 0, &jayjob.FieldError{Field: field, Given: strconv.FormatInt(n, 10), Allowed: fmt.Sprintf("0 to %d", jayjob.MaxDuration.Milliseconds())}
	}
	return time.Duration(n) * time.Millisecond, nil
}

func malformed(err error) error {
	return jayrefusal.New(jayrefusal.Malformed, jayrefusal.NotRun, "%v", err)
}

// contentTypeError reports a body that is not JSON.
type contentTypeError struct{}

// Error implements error.
func (contentTypeError) Error() string { return "the content type is not JSON" }

// decodeBody decodes a body of JSON. Forms and compressed bodies are no part of the API.
func decodeBody(c *fiber.Ctx, v any) error {
	if !strings.HasPrefix(strings.ToLower(c.Get(fiber.HeaderContentType)), fiber.MIMEApplicationJSON) {
		return contentTypeError{}
	}
	return json.Unmarshal(c.BodyRaw(), v)
}

func (e *Entry) handleSubmit(c *fiber.Ctx) error {
	var b jayapi.Submission
	if err := decodeBody(c, &b); err != nil {
		return malformed(err)
	}
	spec, err := parseSpec(workspaceOf(c), b)
	if err != nil {
		return malformed(err)
	}
	logWait, err := parseMillis("log_wait_ms", b.LogWaitMillis)
	if err != nil {
		return malformed(err)
	}
	s := submission{spec: spec, wait: b.Wait, durable: b.Durable || !b.Wait || !spec.Idempotent(), logWait: logWait}
	j, known, err := e.submit(e.ctx, s)
	if err != nil {
		e.counter(`jaystile_entry_submissions_refused_total`).Inc()
		return err
	}
	if known != nil {
		return sendJob(c, *known)
	}
	if s.wait {
		e.wait(j, s.requestTimeout())
		if !j.ended() && e.isClosed() {
			return c.Context().Conn().Close()
		}
		e.mutex.Lock()
		j.waiters--
		e.mutex.Unlock()
	}
	return sendJob(c, e.status(j))
}

// requestTimeout is how long a waiting caller's request is held open.
func (s submission) requestTimeout() time.Duration {
	if d := s.spec.Deadline(); d > 0 {
		// The job ends at its deadline; the extra second is for sending the result.
		return d + time.Second
	}
	return maxWait
}

// sendJob writes a job's status as JSON. The HTTP status of a refused job is that
// of its refusal.
func sendJob(c *fiber.Ctx, s jayapi.Job) error {
	switch {
	case s.State == jayapi.JobRefused:
		r := s.Refusal.Refusal()
		if d := r.RetryAfter(); d > 0 {
			c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(d.Seconds()))))
		}
		c.Status(httpStatuses[r.Code()])
	case s.State != jayapi.JobAnswered:
		c.Status(fiber.StatusAccepted)
	}
	return c.JSON(s)
}

func notFound() error {
	return jayrefusal.New(jayrefusal.NotFound, jayrefusal.Unknown, "the workspace has no such job")
}

// findJob returns the status of a job of the workspace, from this entry or from
// the one that owns the job. It waits up to wait for the job to end.
func (e *Entry) findJob(workspace, id string, cancel bool, wait time.Duration) (*jayapi.Job, error) {
	if j := e.localJob(workspace, id); j != nil {
		if cancel {
			e.cancelJob(j, jayrefusal.Canceled, "canceled by its caller")
		}
		e.wait(j, wait)
		s := e.status(j)
		return &s, nil
	}
	s, err := e.queryOwner(id, workspace, cancel, wait)
	if err != nil || s != nil {
		return s, err
	}
	if s, ok := e.knownStatus(workspace, id); ok {
		return &s, nil
	}
	return nil, notFound()
}

func waitParam(c *fiber.Ctx) time.Duration {
	return min(max(time.Duration(c.QueryInt("wait_ms"))*time.Millisecond, 0), maxWait)
}

func (e *Entry) handleStatus(c *fiber.Ctx) error {
	s, err := e.findJob(workspaceOf(c), c.Params("job"), false, waitParam(c))
	if err != nil {
		return err
	}
	return c.JSON(s)
}

func (e *Entry) handleCancel(c *fiber.Ctx) error {
	s, err := e.findJob(workspaceOf(c), c.Params("job"), true, waitParam(c))
	if err != nil {
		return err
	}
	return c.JSON(s)
}

func (e *Entry) handleList(c *fiber.Ctx) error {
	limit := c.QueryInt("limit", defaultPage)
	if limit < 1 || limit > maxPage {
		return malformed(&jayjob.FieldError{Field: "limit", Given: c.Query("limit"), Allowed: fmt.Sprintf("1 to %d", maxPage)})
	}
	return c.JSON(e.list(workspaceOf(c), c.Query("after"), limit))
}

func (e *Entry) handleWhy(c *fiber.Ctx) error {
	j := e.localJob(workspaceOf(c), c.Params("job"))
	if j == nil {
		return notFound()
	}
	return c.JSON(e.why(j))
}

// why reports what a job waits for and its attempts so far.
func (e *Entry) why(j *job) jayapi.Why {
	state := e.status(j).State
	e.mutex.Lock()
	defer e.mutex.Unlock()
	w := jayapi.Why{Job: j.id, State: state, Attempts: append([]jayapi.Attempt{}, j.pastAttempts...)}
	if j.isRequest {
		w.Cause = "waits_for_slot"
		w.Blocker = fmt.Sprintf("%d requests ahead", e.queue.Ahead(j.spec.Workspace(), j.spec.Class()))
	}
	if j.scheduled != nil {
		r := j.scheduled.Reason()
		w.Cause = string(r.Cause())
		w.Blocker = r.Blocker()
		if r.ExpectedStart() > 0 {
			w.ExpectedMs = max((r.ExpectedStart() - e.now()).Milliseconds(), 0)
		}
	}
	if a := j.attempt; a != nil {
		w.Attempts = append(w.Attempts, jayapi.Attempt{ID: a.id.String(), State: a.state.State().String(), Seats: strings.Join(a.workers, " ")})
	}
	if j.ended() {
		w.Cause, w.Blocker, w.ExpectedMs = "ended", "", 0
		if j.refusal != nil {
			w.Cause = string(j.refusal.Code())
			w.Blocker = j.refusal.Message()
		}
	}
	return w
}
