package jaystandin

import (
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
)

// Headers of a runner's requests and responses, see docs/PLATFORM.md.
const (
	attemptHeader = "Jaystile-Attempt"
	jobHeader     = "Jaystile-Job"
	digestHeader  = "Jaystile-Digest"
	notRunHeader  = "Jaystile-Not-Run"
)

// RunnerFaults are the faults of a runner.
type RunnerFaults struct {
	// Down rejects every request before it runs.
	Down bool
	// Delay is added to every request.
	Delay time.Duration
	// CrossAnswers returns each response with the attempt and digest of the
	// previous request.
	CrossAnswers bool
}

// Runner is a simulated runner that records the requests that it ran.
type Runner struct {
	// slots limits the requests that run at once; nil means no limit.
	slots  chan struct{}
	mutex  sync.Mutex
	faults RunnerFaults
	runs   []Run
	// previous holds the attempt and digest of the last request.
	previous [2]string
	active   int
	peak     int
}

// NewRunner returns a runner that runs at most the given number of requests at
// once; zero means no limit.
func NewRunner(slots int) *Runner {
	r := &Runner{}
	if slots > 0 {
		r.slots = make(chan struct{}, slots)
	}
	return r
}

// SetFaults replaces the runner's faults.
func (r *Runner) SetFaults(f RunnerFaults) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.faults = f
}

// Runs returns a copy of the records of the requests that the runner started.
func (r *Runner) Runs() []Run {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]Run(nil), r.runs...)
}

// Peak returns the largest number of concurrent requests, those that wait for a
// slot included.
func (r *Runner) Peak() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.peak
}

// recordStart records a request unless the runner is down. It returns the current
// faults and the attempt and digest of the previous request.
func (r *Runner) recordStart(c *fiber.Ctx, p Program) (RunnerFaults, [2]string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	f, previous := r.faults, r.previous
	if f.Down {
		return f, previous
	}
	r.previous = [2]string{c.Get(attemptHeader), c.Get(digestHeader)}
	r.active++
	r.peak = max(r.peak, r.active)
	r.runs = append(r.runs, Run{Job: c.Get(jobHeader), Attempt: c.Get(attemptHeader), Answer: p.Answer, Begin: time.Now()})
	return f, previous
}

func (r *Runner) handleRun(c *fiber.Ctx) error {
	p := parseProgram(c.Body())
	f, previous := r.recordStart(c, p)
	if f.Down {
		c.Set(notRunHeader, "1")
		return fiber.ErrServiceUnavailable
	}
	defer func() {
		r.mutex.Lock()
		r.active--
		r.mutex.Unlock()
	}()
	if r.slots != nil {
		r.slots <- struct{}{}
		defer func() { <-r.slots }()
	}
	time.Sleep(f.Delay + time.Duration(p.Millis)*time.Millisecond)
	if p.Fail {
		return fiber.ErrInternalServerError
	}
	identity := [2]string{c.Get(attemptHeader), c.Get(digestHeader)}
	if f.CrossAnswers && previous[0] != "" {
		identity = previous
	}
	c.Set(attemptHeader, identity[0])
	c.Set(digestHeader, identity[1])
	return c.SendString(p.Answer)
}

// App returns the HTTP interface of the runner.
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
