package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"

	"github.com/jessevdk/go-flags"
	"github.com/sourcegraph/conc/pool"

	"github.com/jaystile/jaystile/internal/process/jaysimulation"
)

const usagePlay = `Simulates days of heavy load on a virtual clock with the scheduler of the users'
platform, and compares it with first-come first-fit, best-fit with EASY backfill,
and an upper bound for any schedule. Shares are of the total value of all jobs;
each figure is the mean over the seeds.`

type playCommand struct {
	outputOption
	Load  string  `long:"load" default:"salish" description:"kjaergaard, kjaergaard-large, salish, kastrinakis, kastrinakis-grown, tampere or swansea"`
	Seeds int     `long:"seeds" default:"20" description:"number of days"`
	First uint64  `long:"first" default:"1" description:"the first seed"`
	Slow  float64 `long:"slow" description:"share of workers that run four times slower for a third of the day"`
	Lost  float64 `long:"lost" description:"share of workers that are lost after a third of the day"`
}

func addPlay(p *flags.Parser) {
	addCommand(p, "play", "simulate the scheduler under a load", usagePlay, &playCommand{})
}

// slowWorkerFactor is the factor by which slow workers run slower.
const slowWorkerFactor = 4

type playJSON struct {
	Load  string        `json:"load"`
	First uint64        `json:"first_seed"`
	Seeds int           `json:"seeds"`
	Rows  []playRowJSON `json:"rows"`
}

type playRowJSON struct {
	Planner        string             `json:"planner"`
	Score          float64            `json:"worth"`
	ValueShare     float64            `json:"share"`
	Bound          float64            `json:"bound"`
	WorstWindows   float64            `json:"worst_windows"`
	WorstWorkspace float64            `json:"worst_workspace"`
	LargeJobs      float64            `json:"large_jobs"`
	WastedShare    float64            `json:"wasted_share"`
	Utilisation    float64            `json:"utilisation"`
	Classes        map[string]float64 `json:"share_by_class"`
}

// add adds a day's figures, multiplied by the weight.
func (r *playRowJSON) add(x jaysimulation.Result, weight float64) {
	r.Score += weight * x.Score
	r.ValueShare += weight * x.ValueShare
	r.Bound += weight * x.Bound
	r.WorstWindows += weight * x.WorstWindows
	r.WorstWorkspace += weight * x.WorstWorkspace
	r.LargeJobs += weight * x.LargeJobs
	r.WastedShare += weight * x.WastedShare
	r.Utilisation += weight * x.Utilisation
	for name, c := range x.Classes {
		r.Classes[name] += weight * c.ValueShare
	}
}

// Execute implements flags.Commander.
func (c *playCommand) Execute([]string) error {
	load, err := jaysimulation.FindLoad(c.Load)
	if err != nil {
		return &exitError{status: exitUsage, cause: err}
	}
	if c.Seeds < 1 || c.Slow < 0 || c.Slow > 1 || c.Lost < 0 || c.Lost > 1 {
		return &exitError{status: exitUsage, cause: fmt.Errorf("seeds must be 1 or more, slow and lost shares from 0 to 1")}
	}
	load.SlowShare, load.SlowFactor, load.LostShare = c.Slow, slowWorkerFactor, c.Lost
	out := playJSON{Load: c.Load, First: c.First, Seeds: c.Seeds}
	for _, p := range []struct {
		name     string
		simulate func(seed uint64) (jaysimulation.Result, error)
	}{
		{"cell", load.Simulate},
		{"easy", func(seed uint64) (jaysimulation.Result, error) { return load.SimulateBaseline(seed, true), nil }},
		{"first_fit", func(seed uint64) (jaysimulation.Result, error) { return load.SimulateBaseline(seed, false), nil }},
	} {
		row := playRowJSON{Planner: p.name, Classes: map[string]float64{}}
		results, errs := make([]jaysimulation.Result, c.Seeds), make([]error, c.Seeds)
		days := pool.New().WithMaxGoroutines(runtime.NumCPU())
		for i := range c.Seeds {
			days.Go(func() { results[i], errs[i] = p.simulate(c.First + uint64(i)) })
		}
		days.Wait()
		if err := errors.Join(errs...); err != nil {
			return err
		}
		for _, r := range results {
			row.add(r, 1/float64(c.Seeds))
		}
		out.Rows = append(out.Rows, row)
	}
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(out)
	}
	out.print()
	return nil
}

func (p *playJSON) print() {
	fmt.Printf("%s, seeds %d to %d\n", p.Load, p.First, p.First+uint64(p.Seeds)-1)
	fmt.Printf("%-10s %6s %6s %6s %8s %9s %6s %7s %5s  by class\n", "planner", "worth", "share", "bound", "windows", "workspace", "large", "wasted", "busy")
	for _, r := range p.Rows {
		fmt.Printf("%-10s %6.3f %6.3f %6.3f %8.3f %9.3f %6.3f %7.3f %5.2f ", r.Planner, r.Score, r.ValueShare, r.Bound, r.WorstWindows, r.WorstWorkspace, r.LargeJobs, r.WastedShare, r.Utilisation)
		var names []string
		for name := range r.Classes {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			fmt.Printf(" %s %.3f", name, r.Classes[name])
		}
		fmt.Println()
	}
}
