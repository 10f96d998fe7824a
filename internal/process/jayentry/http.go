package jayentry

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"

	"github.com/jaystile/jaystile/internal/request/jayjob"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayrefusal"
)

const (
	maxHeaderBytes = 16 << 10
	readTimeout    = 10 * time.Second
	idleTimeout    = 2 * time.Minute
	maxWait        = 10 * time.Minute
	defaultPage    = 100
	maxPage        = 1000
	workspaceLocal = "workspace"
)

// statusOf maps the code of a refusal to its HTTP status.
var statusOf = map[jayrefusal.Code]int{
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
	jayrefusal.Canceled:        fiber.StatusConflict,
	jayrefusal.Conflict:        fiber.StatusConflict,
	jayrefusal.Failed:          fiber.StatusBadGateway,
	jayrefusal.OwnerLost:       fiber.StatusBadGateway,
	jayrefusal.Internal:        fiber.StatusInternalServerError,
}

// buildApp connects the public interface's routes.
func (e *Entry) buildApp() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true,
		BodyLimit:             e.Settings.MaxBodyBytes,
		Concurrency:           e.Settings.MaxCallers,
		ReadBufferSize:        maxHeaderBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		ErrorHandler:          e.handleError,
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

// refuseWhenClosed cuts callers whose connection has outlived this process's
// tables.
func (e *Entry) refuseWhenClosed(c *fiber.Ctx) error {
	if e.isClosed() {
		return c.Context().Conn().Close()
	}
	return c.Next()
}

// handleError writes every error in the one shape of refusals.
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
	return c.Status(statusOf[r.Code()]).JSON(jayapi.FromRefusal(r))
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

func bearer(c *fiber.Ctx) string {
	return strings.TrimPrefix(c.Get(jayapi.AuthorizationHeader), jayapi.BearerPrefix)
}

func unauthorized() error {
	return jayrefusal.New(jayrefusal.Unauthorized, jayrefusal.NotRun, "the workspace or its key is wrong")
}

// authenticate admits a workspace by its key. A workspace that does not exist
// and a wrong key look the same.
func (e *Entry) authenticate(c *fiber.Ctx) error {
	e.mutex.Lock()
	m := e.manifests.Current()
	e.mutex.Unlock()
	if m == nil {
		return jayrefusal.New(jayrefusal.NoManifest, jayrefusal.NotRun, "no manifest is in force yet").WithRetryAfter(spread(time.Second))
	}
	name := c.Get(jayapi.WorkspaceHeader)
	w := m.Workspace(name)
	if w == nil || !w.Authenticates(bearer(c)) {
		return unauthorized()
	}
	c.Locals(workspaceLocal, name)
	return c.Next()
}

func workspaceOf(c *fiber.Ctx) string {
	name, _ := c.Locals(workspaceLocal).(string)
	return name
}

// specOf maps a submission to a checked specification.
func specOf(workspace string, b jayapi.Submission) (jayjob.Spec, error) {
	class, err := jayjob.ParseClass(b.Class)
	if err != nil {
		return jayjob.Spec{}, err
	}
	near, err := jayjob.ParseLocality(b.Near)
	if err != nil {
		return jayjob.Spec{}, err
	}
	shape, err := jayjob.NewShape(b.Members, b.Accelerators, near)
	if err != nil {
		return jayjob.Spec{}, err
	}
	runtime, err := millis("runtime_ms", b.RuntimeMillis)
	if err != nil {
		return jayjob.Spec{}, err
	}
	deadline, err := millis("deadline_ms", b.DeadlineMillis)
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

// millis converts a field in milliseconds without overflow.
func millis(field string, n int64) (time.Duration, error) {
	if n < 0 || n > jayjob.MaxDuration.Milliseconds() {
		return 0, &jayjob.FieldError{Field: field, Given: strconv.FormatInt(n, 10), Allowed: fmt.Sprintf("0 to %d", jayjob.MaxDuration.Milliseconds())}
	}
	return time.Duration(n) * time.Millisecond, nil
}

func malformed(err error) error {
	return jayrefusal.New(jayrefusal.Malformed, jayrefusal.NotRun, "%v", err)
}

func (e *Entry) handleSubmit(c *fiber.Ctx) error {
	var b jayapi.Submission
	if err := c.BodyParser(&b); err != nil {
		return malformed(err)
	}
	spec, err := specOf(workspaceOf(c), b)
	if err != nil {
		return malformed(err)
	}
	logWait, err := millis("log_wait_ms", b.LogWaitMillis)
	if err != nil {
		return malformed(err)
	}
	s := submission{spec: spec, wait: b.Wait, durable: b.Durable || !b.Wait || !spec.Idempotent(), logWait: logWait}
	j, known, err := e.submit(c.Context(), s)
	if err != nil {
		e.counter(`jaystile_entry_submissions_refused_total`).Inc()
		return err
	}
	if known != nil {
		return sendJob(c, *known)
	}
	if s.wait {
		e.wait(j, s.openFor())
		if !j.ended() && e.isClosed() {
			return c.Context().Conn().Close()
		}
		e.mutex.Lock()
		j.waiters--
		e.mutex.Unlock()
	}
	return sendJob(c, e.status(j))
}

// openFor is how long a waiting caller's request is held open.
func (s submission) openFor() time.Duration {
	if d := s.spec.Deadline(); d > 0 {
		// The job's own deadline ends it; the rest is for its last words.
		return d + time.Second
	}
	return maxWait
}

// sendJob writes a job's status; a refused job gets the status of its refusal.
func sendJob(c *fiber.Ctx, s jayapi.Job) error {
	switch {
	case s.State == jayapi.JobRefused:
		r := s.Refusal.Refusal()
		if d := r.RetryAfter(); d > 0 {
			c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(d.Seconds()))))
		}
		c.Status(statusOf[r.Code()])
	case s.State != jayapi.JobAnswered:
		c.Status(fiber.StatusAccepted)
	}
	return c.JSON(s)
}

func notFound() error {
	return jayrefusal.New(jayrefusal.NotFound, jayrefusal.Unknown, "the workspace has no such job")
}

// find describes a job of the workspace wherever it is looked after.
func (e *Entry) find(workspace, id string, cancel bool, hold time.Duration) (*jayapi.Job, error) {
	if j := e.localJob(workspace, id); j != nil {
		if cancel {
			e.cancelJob(j, jayrefusal.Canceled, "canceled by its caller")
		}
		e.wait(j, hold)
		s := e.status(j)
		return &s, nil
	}
	s, err := e.askOwner(id, workspace, cancel, hold)
	if err != nil || s != nil {
		return s, err
	}
	if s, ok := e.knownStatus(workspace, id); ok {
		return &s, nil
	}
	return nil, notFound()
}

func waitOf(c *fiber.Ctx) time.Duration {
	return min(max(time.Duration(c.QueryInt("wait_ms"))*time.Millisecond, 0), maxWait)
}

func (e *Entry) handleStatus(c *fiber.Ctx) error {
	s, err := e.find(workspaceOf(c), c.Params("job"), false, waitOf(c))
	if err != nil {
		return err
	}
	return c.JSON(s)
}

func (e *Entry) handleCancel(c *fiber.Ctx) error {
	s, err := e.find(workspaceOf(c), c.Params("job"), true, waitOf(c))
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

// why explains a job from recorded reasons.
func (e *Entry) why(j *job) jayapi.Why {
	state := e.status(j).State
	e.mutex.Lock()
	defer e.mutex.Unlock()
	w := jayapi.Why{Job: j.id, State: state, Attempts: append([]jayapi.Attempt{}, j.tried...)}
	if j.request {
		w.Cause = "waits_for_slot"
		w.Blocker = fmt.Sprintf("%d requests ahead", e.queue.Ahead(j.spec.Workspace(), j.spec.Class()))
	}
	if j.queued != nil {
		r := j.queued.Reason()
		w.Cause = string(r.Cause())
		w.Blocker = r.Blocker()
		if r.ExpectedStart() > 0 {
			w.ExpectedMs = max((r.ExpectedStart() - e.now()).Milliseconds(), 0)
		}
	}
	if a := j.attempt; a != nil {
		w.Attempts = append(w.Attempts, jayapi.Attempt{ID: a.id.String(), State: a.state.State().String(), Seats: strings.Join(a.seats, " ")})
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
