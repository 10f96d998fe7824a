package main

import (
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/internal/process/jayload"
	"github.com/jaystile/jaystile/pkg/jayapi"
	"github.com/jaystile/jaystile/pkg/jayclient"
)

const usageLoad = `Sends requests to the public API at a fixed rate and measures the latency of
each from its scheduled time. The load is bounded in count and time.`

type loadCommand struct {
	callerConnection
	Rate          float64       `long:"rate" default:"100" description:"requests a second"`
	Seconds       int           `long:"seconds" default:"10" description:"how long to send, in seconds"`
	Kind          string        `long:"kind" default:"order" description:"kind of job"`
	Class         string        `long:"class" default:"urgent" description:"urgent, standard or deferrable"`
	Accelerators  int           `long:"accelerators" default:"0" description:"accelerators of each job; 0 takes a runner's slot"`
	Payload       string        `long:"payload" default:"{\"standin_ms\":5,\"answer\":\"ok-{n}\"}" description:"input of each job; {n} becomes the request's number"`
	Expect        string        `long:"expect" default:"ok-{n}" description:"answer that each request must get; empty checks nothing"`
	Deadline      time.Duration `long:"deadline" default:"2s" description:"deadline of each request"`
	NonIdempotent bool          `long:"non-idempotent" description:"give each request a key and run it at most once"`
}

func addLoad(p *flags.Parser) {
	addCommand(p, "load", "measure a deployment under load", usageLoad, &loadCommand{})
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	client, _, done := c.open()
	defer done()
	ctx, cancel := signalContext()
	defer cancel()
	l := &jayload.Load{Client: client, Rate: c.Rate, Duration: time.Duration(c.Seconds) * time.Second, Expect: c.Expect, Submission: jayapi.Submission{
		Kind:           c.Kind,
		Class:          c.Class,
		Members:        1,
		Accelerators:   c.Accelerators,
		Payload:        []byte(c.Payload),
		DeadlineMillis: c.Deadline.Milliseconds(),
		Idempotent:     !c.NonIdempotent,
	}}
	if c.NonIdempotent {
		l.NewKey = jayclient.NewKey
	}
	r, err := l.Run(ctx)
	if err != nil {
		return err
	}
	return c.print(r, func() {
		fmt.Printf("sent %d in %.1f s: answered %d (%.0f a second, %d wrong), not run %d, unknown %d, ran %d\n", r.Sent, r.Elapsed.Seconds(), r.Answered, r.Goodput, r.Wrong, r.NotRun, r.Unknown, r.Ran)
		fmt.Printf("answers p50 %s  p99 %s  p99.9 %s  most %s; refusals p99 %s %v\n", r.P50, r.P99, r.P999, r.Most, r.RefusedIn, r.Refusals)
	})
}
