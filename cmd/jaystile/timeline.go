package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/pkg/jayapi"
)

const usageTimeline = `Prints the recent events of all processes in causal order.`

type timelineCommand struct {
	operatorConnection
	Job       string `long:"job" description:"only events of this job"`
	Workspace string `long:"of-workspace" description:"only events of this workspace"`
	Worker    string `long:"worker" description:"only events of this worker"`
	Limit     int    `long:"most" default:"1000" description:"events at the most"`
	HTML      string `long:"html" description:"write one self-contained page to this file"`
}

func addTimeline(p *flags.Parser) {
	addCommand(p, "timeline", "print the events of all processes", usageTimeline, &timelineCommand{})
}

// Execute implements flags.Commander.
func (c *timelineCommand) Execute([]string) error {
	client, ctx, done := c.open()
	defer done()
	t, err := client.Timeline(ctx, c.Job, c.Workspace, c.Worker, c.Limit)
	if err != nil {
		return refusalError(err)
	}
	if c.HTML != "" {
		return writeTimelinePage(c.HTML, t)
	}
	return c.print(t, func() {
		for _, e := range t.Events {
			fmt.Fprintln(os.Stdout, eventLine(e))
		}
	})
}

func eventLine(e jayapi.Event) string {
	line := fmt.Sprintf("%s  %-10s %-20s", e.Time.Format("15:04:05.000"), e.Process, e.Name)
	for _, f := range []struct{ name, value string }{{"job", e.Job}, {"attempt", e.Attempt}, {"workspace", e.Workspace}, {"worker", e.Worker}, {"detail", e.Detail}} {
		if f.value != "" {
			line += " " + f.name + "=" + f.value
		}
	}
	return line
}
