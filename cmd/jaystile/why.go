package main

import (
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"
)

const usageWhy = `Explains a job's state: what it waits for, what blocks it, when it is expected to
start, where it was placed and its past attempts.`

type whyCommand struct{ jobArgument }

func addWhy(p *flags.Parser) { addCommand(p, "why", "explain a job", usageWhy, &whyCommand{}) }

// Execute implements flags.Commander.
func (c *whyCommand) Execute([]string) error {
	client, ctx, done := c.open()
	defer done()
	w, err := client.Why(ctx, c.Args.Job)
	if err != nil {
		return refusalError(err)
	}
	return c.print(w, func() {
		fmt.Printf("%s is %s: %s", w.Job, w.State, w.Cause)
		if w.Blocker != "" {
			fmt.Printf(" (%s)", w.Blocker)
		}
		fmt.Println()
		if w.ExpectedMs > 0 {
			fmt.Printf("  expected to start in %s\n", time.Duration(w.ExpectedMs)*time.Millisecond)
		}
		for _, a := range w.Attempts {
			fmt.Printf("  attempt %s  %-9s on %s  %s\n", a.ID, a.State, a.Seats, a.Detail)
		}
	})
}
