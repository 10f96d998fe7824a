package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/internal/process/jaylosses"
)

const usageLosses = `Reads the logs of entries on the users' platform and prints, by route and by data centre,
how long jobs waited and how they ended, and by cause how much work was lost. Without a
file it reads standard input; lines of other programs are skipped and counted.`

type lossesCommand struct {
	outputOption
	Args struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
}

func addLosses(p *flags.Parser) {
	addCommand(p, "losses", "summarize waiting times and lost work from logs", usageLosses, &lossesCommand{})
}

type lossesJSON struct {
	Routes       []routeLossJSON      `json:"routes"`
	DataCentres  []dataCentreLossJSON `json:"data_centres"`
	Losses       []lossJSON           `json:"losses"`
	SkippedLines int                  `json:"lines_unread"`
}

type routeLossJSON struct {
	Route    string `json:"route"`
	Priority int    `json:"priority"`
	jobGroupJSON
}

type dataCentreLossJSON struct {
	DataCentre string `json:"data_centre"`
	jobGroupJSON
}

type jobGroupJSON struct {
	Jobs            int            `json:"jobs"`
	Refused         int            `json:"tries_refused"`
	Started         int            `json:"begun"`
	MeanWaitSeconds float64        `json:"wait_mean_seconds"`
	MaxWaitSeconds  float64        `json:"wait_most_seconds"`
	FinalStates     map[string]int `json:"ended"`
}

type lossJSON struct {
	Priority      int     `json:"priority"`
	Checkpointing bool    `json:"saves_progress"`
	Outcome       string  `json:"outcome"`
	Reason        string  `json:"reason"`
	Runs          int     `json:"runs"`
	CoreSeconds   float64 `json:"core_seconds"`
}

// Execute implements flags.Commander.
func (c *lossesCommand) Execute([]string) error {
	var sources []io.Reader
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		defer func() { _ = f.Close() }()
		sources = append(sources, f)
	}
	if len(sources) == 0 {
		sources = []io.Reader{os.Stdin}
	}
	r, err := jaylosses.Read(io.MultiReader(sources...))
	if err != nil {
		return fmt.Errorf("read log: %w", err)
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(lossesToJSON(r))
	}
	printLosses(r)
	return nil
}

func lossesToJSON(r jaylosses.Report) lossesJSON {
	out := lossesJSON{SkippedLines: r.SkippedLines}
	for _, x := range r.Routes {
		out.Routes = append(out.Routes, routeLossJSON{Route: x.Name, Priority: x.Priority, jobGroupJSON: groupToJSON(x.Group)})
	}
	for _, x := range r.DataCentres {
		out.DataCentres = append(out.DataCentres, dataCentreLossJSON{DataCentre: x.Name, jobGroupJSON: groupToJSON(x)})
	}
	for _, x := range r.Losses {
		out.Losses = append(out.Losses, lossJSON{Priority: x.Priority, Checkpointing: x.Checkpointing, Outcome: x.Outcome, Reason: x.Reason, Runs: x.Runs, CoreSeconds: x.CoreSeconds})
	}
	return out
}

func groupToJSON(g jaylosses.Group) jobGroupJSON {
	return jobGroupJSON{Jobs: g.Jobs, Refused: g.Refused, Started: g.Started, MeanWaitSeconds: g.MeanWait().Seconds(), MaxWaitSeconds: g.MaxWait.Seconds(), FinalStates: g.FinalStates}
}

const groupHeader = "%5s %8s %6s %8s %8s  ended\n"

func printGroup(g jaylosses.Group) {
	var ended []string
	for name, n := range g.FinalStates {
		ended = append(ended, fmt.Sprintf("%s %d", name, n))
	}
	slices.Sort(ended)
	fmt.Printf("%5d %8d %6d %8.2f %8.2f  %s\n", g.Jobs, g.Refused, g.Started, g.MeanWait().Seconds(), g.MaxWait.Seconds(), strings.Join(ended, ", "))
}

func printLosses(r jaylosses.Report) {
	fmt.Printf("%-12s %8s "+groupHeader, "route", "priority", "jobs", "refused", "begun", "wait s", "most s")
	for _, x := range r.Routes {
		fmt.Printf("%-12s %8d ", x.Name, x.Priority)
		printGroup(x.Group)
	}
	fmt.Printf("\n%-21s "+groupHeader, "data centre", "jobs", "refused", "begun", "wait s", "most s")
	for _, x := range r.DataCentres {
		fmt.Printf("%-21s ", x.Name)
		printGroup(x)
	}
	fmt.Printf("\n%12s %5s %8s %6s %-9s reason\n", "core-seconds", "runs", "priority", "saved", "outcome")
	for _, x := range r.Losses {
		fmt.Printf("%12.0f %5d %8d %6v %-9s %s\n", x.CoreSeconds, x.Runs, x.Priority, x.Checkpointing, x.Outcome, x.Reason)
	}
	if r.SkippedLines > 0 {
		fmt.Printf("\n%d lines skipped: not log lines\n", r.SkippedLines)
	}
}
