package jaystandin

import (
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// Headers of a runner's requests and answers, as docs/PLATFORM.md names them.
const (
	attemptHeader = "Jaystile-Attempt"
	jobHeader     = "Jaystile-Job"
	digestHeader  = "Jaystile-Digest"
	notRunHeader  = "Jaystile-Not-Run"
)

// RunnerFaults scripts how a runner misbehaves.
type RunnerFaults struct {
	// Down refuses every request before it runs.
	Down bool
	// Delay is added to every request.
	Delay time.Duration
	// CrossAnswers makes the runner answer a request with the identity of the
	// request before it.
	CrossAnswers bool
}

// Runner is a runner's stand-in: it answers requests and keeps a record of each
// that it ran.
type Runner struct {
	// turns bounds the requests that work at once; nil bounds nothing.
	turns  chan struct{}
	mutex  sync.Mutex
	faults RunnerFaults
	runs   []Run
	last   [2]string
	active int
	peak   int
}

// NewRunner returns a runner that has run nothing and works on at most the given
// number of requests at once, or on any number for zero.
func NewRunner(slots int) *Runner {
	r := &Runner{}
	if slots > 0 {
		r.turns = make(chan struct{}, slots)
	}
	return r
}

// SetFaults changes how the runner misbehaves from now on.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = f
}

// Runs returns the runner's own record of what it ran.
func (r *Runner) Runs() []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Run(nil), r.runs...)
}

// Peak returns the most requests that ran at once.
func (r *Runner) Peak() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peak
}

func (r *Runner) begin(c *fiber.Ctx, p Program) (RunnerFaults, [2]string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f, before := r.faults, r.last
	if f.Down {
		return f, before
	}
	r.last = [2]string{c.Get(attemptHeader), c.Get(digestHeader)}
	r.active++
	r.peak = max(r.peak, r.active)
	r.runs = append(r.runs, Run{Job: c.Get(jobHeader), Attempt: c.Get(attemptHeader), Answer: p.Answer, Begin: time.Now()})
	return f, before
}

func (r *Runner) handleRun(c *fiber.Ctx) error {
	p := programOf(c.Body())
	f, before := r.begin(c, p)
	if f.Down {
		c.Set(notRunHeader, "1")
		return fiber.ErrServiceUnavailable
	}
	defer func() {
		r.mutex.Lock()
		r.active--
		r.mutex.Unlock()
	}()
	if r.turns != nil {
		r.turns <- struct{}{}
		defer func() { <-r.turns }()
	}
	time.Sleep(f.Delay + time.Duration(p.Millis)*time.Millisecond)
	if p.Fail {
		return fiber.ErrInternalServerError
	}
	echo := [2]string{c.Get(attemptHeader), c.Get(digestHeader)}
	if f.CrossAnswers && before[0] != "" {
		echo = before
	}
	c.Set(attemptHeader, echo[0])
	c.Set(digestHeader, echo[1])
	return c.SendString(p.Answer)
}

// App returns the runner's HTTP interface.
func (r *Runner) App() *fiber.App {
	app := newApp()
	app.Post("/v1/run", r.handleRun)
	app.Get("/v1/runs", func(c *fiber.Ctx) error {
		answers := []string{}
		for _, run := range r.Runs() {
			answers = append(answers, run.Answer)
		}
		return c.JSON(answers)
	})
	app.Get("/v1/health", func(c *fiber.Ctx) error {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		if r.faults.Down {
			return fiber.ErrServiceUnavailable
		}
		return c.SendStatus(fiber.StatusNoContent)
	})
	return app
}
