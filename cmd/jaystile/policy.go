package main

import (
	"fmt"
	"io"
	"math"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/jaystile/jaystile/internal/process/jaypolicy"
	"github.com/jaystile/jaystile/internal/process/jaysched"
)

const usagePolicy = `Simulates the scheduler on a virtual clock and compares it with first-come
first-fit, best-fit with EASY backfill on declared run times, and a clairvoyant
lower bound. Each figure is the mean over the seeds with its standard deviation.`

type policyCommand struct {
	outputOption
	Deployment string  `long:"deployment" default:"kjaergaard" description:"kjaergaard or salish"`
	Seeds      int     `long:"seeds" default:"10" description:"number of seeds"`
	First      uint64  `long:"first" default:"1" description:"the first seed"`
	Load       float64 `long:"load" default:"0.9" description:"work that arrives, as a share of the accelerators"`
	Jobs       int     `long:"jobs" default:"3000" description:"jobs of each run"`
	Plot       string  `long:"plot" description:"draw the measures over several loads instead, as SVG files whose names begin with this"`
}

// outputOption holds the options of commands that connect to no entry.
type outputOption struct {
	JSON bool `long:"json" description:"print JSON"`
}

func addPolicy(p *flags.Parser) {
	addCommand(p, "policy", "compare the scheduler with baselines", usagePolicy, &policyCommand{})
}

type policyRowJSON struct {
	Planner                string             `json:"planner"`
	Slowdown               float64            `json:"slowdown"`
	SlowdownDeviation      float64            `json:"slowdown_deviation"`
	MeanSeconds            float64            `json:"completion_mean_seconds"`
	P50Seconds             float64            `json:"completion_p50_seconds"`
	P99Seconds             float64            `json:"completion_p99_seconds"`
	Fragmentation          float64            `json:"fragmentation"`
	FragmentationDeviation float64            `json:"fragmentation_deviation"`
	Utilisation            float64            `json:"utilisation"`
	Makespan               float64            `json:"makespan_seconds"`
	ReclaimP99             float64            `json:"reclaim_p99_seconds"`
	MaxReclaimWait         float64            `json:"reclaim_most_seconds"`
	Preemptions            float64            `json:"stops"`
	LostHours              float64            `json:"lost_accelerator_hours"`
	Unfinished             float64            `json:"unfinished"`
	ClassSlowdown          map[string]float64 `json:"slowdown_by_class"`
	ClassWaitP99           map[string]float64 `json:"wait_p99_seconds_by_class"`
}

type policyJSON struct {
	Deployment            string          `json:"deployment"`
	Load                  float64         `json:"load"`
	Seeds                 []uint64        `json:"seeds"`
	Rows                  []policyRowJSON `json:"rows"`
	BoundSlowdown         float64         `json:"bound_slowdown"`
	BoundMakespan         float64         `json:"bound_makespan_seconds"`
	ExcessOverEASY        float64         `json:"excess_slowdown_over_easy"`
	FragmentationOverEASY float64         `json:"fragmentation_over_easy"`
}

// Execute implements flags.Commander.
func (c *policyCommand) Execute([]string) error {
	mix, err := jaypolicy.FindMix(c.Deployment)
	if err != nil {
		return &exitError{status: exitUsage, cause: err}
	}
	study := jaypolicy.Study{Mix: mix, Load: c.Load, Jobs: c.Jobs, Policy: jaysched.DefaultPolicy()}
	for i := range c.Seeds {
		study.Seeds = append(study.Seeds, c.First+uint64(i))
	}
	if c.Plot != "" {
		return writePlots(study, c.Plot)
	}
	outcomes, bounds, err := study.Run()
	if err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	t := policyJSON{Deployment: c.Deployment, Load: c.Load, Seeds: study.Seeds}
	for _, o := range outcomes {
		t.Rows = append(t.Rows, policyRow(o))
	}
	for _, b := range bounds {
		t.BoundSlowdown += b.Slowdown / float64(len(bounds))
		t.BoundMakespan += b.Makespan.Seconds() / float64(len(bounds))
	}
	t.ExcessOverEASY = (t.Rows[0].Slowdown - t.BoundSlowdown) / (t.Rows[1].Slowdown - t.BoundSlowdown)
	t.FragmentationOverEASY = t.Rows[0].Fragmentation / t.Rows[1].Fragmentation
	return connection{JSON: c.JSON}.print(t, func() { writePolicy(os.Stdout, t) })
}

// meanAndDeviation returns the mean and standard deviation of a measure over a
// planner's results.
func meanAndDeviation(o jaypolicy.Outcome, f func(jaypolicy.Result) float64) (mean, deviation float64) {
	n := float64(len(o.Results))
	for _, r := range o.Results {
		mean += f(r) / n
	}
	for _, r := range o.Results {
		deviation += (f(r) - mean) * (f(r) - mean) / n
	}
	return mean, math.Sqrt(deviation)
}

func policyRow(o jaypolicy.Outcome) policyRowJSON {
	seconds := func(f func(jaypolicy.Result) time.Duration) float64 {
		mean, _ := meanAndDeviation(o, func(r jaypolicy.Result) float64 { return f(r).Seconds() })
		return mean
	}
	row := policyRowJSON{Planner: o.Planner, ClassSlowdown: map[string]float64{}, ClassWaitP99: map[string]float64{}}
	row.Slowdown, row.SlowdownDeviation = meanAndDeviation(o, func(r jaypolicy.Result) float64 { return r.Slowdown })
	row.Fragmentation, row.FragmentationDeviation = meanAndDeviation(o, func(r jaypolicy.Result) float64 { return r.Fragmentation })
	row.Utilisation, _ = meanAndDeviation(o, func(r jaypolicy.Result) float64 { return r.Utilisation })
	row.Preemptions, _ = meanAndDeviation(o, func(r jaypolicy.Result) float64 { return float64(r.Preemptions) })
	row.Unfinished, _ = meanAndDeviation(o, func(r jaypolicy.Result) float64 { return float64(r.Unfinished) })
	row.MeanSeconds = seconds(func(r jaypolicy.Result) time.Duration { return r.Mean })
	row.P50Seconds = seconds(func(r jaypolicy.Result) time.Duration { return r.P50 })
	row.P99Seconds = seconds(func(r jaypolicy.Result) time.Duration { return r.P99 })
	row.Makespan = seconds(func(r jaypolicy.Result) time.Duration { return r.Makespan })
	row.ReclaimP99 = seconds(func(r jaypolicy.Result) time.Duration { return r.ReclaimWaitP99 })
	row.MaxReclaimWait = seconds(func(r jaypolicy.Result) time.Duration { return r.MaxReclaimWait })
	row.LostHours = seconds(func(r jaypolicy.Result) time.Duration { return r.LostWork }) / 3600
	for i, class := range o.Results[0].Classes {
		row.ClassSlowdown[class.Class.String()], _ = meanAndDeviation(o, func(r jaypolicy.Result) float64 { return r.Classes[i].SlowdownMean })
		row.ClassWaitP99[class.Class.String()], _ = meanAndDeviation(o, func(r jaypolicy.Result) float64 { return r.Classes[i].WaitP99.Seconds() })
	}
	return row
}

func writePolicy(w io.Writer, t policyJSON) {
	_, _ = fmt.Fprintf(w, "%s, load %.2f, seeds %d to %d\n", t.Deployment, t.Load, t.Seeds[0], t.Seeds[len(t.Seeds)-1])
	_, _ = fmt.Fprintf(w, "%-15s %16s %9s %8s %8s %14s %5s %8s %7s %7s\n", "planner", "slowdown", "mean s", "p50 s", "p99 s", "fragmentation", "util", "reclaim", "stops", "lost h")
	for _, r := range t.Rows {
		_, _ = fmt.Fprintf(w, "%-15s %8.2f +-%6.2f %9.0f %8.0f %8.0f %7.3f +-%.3f %5.2f %8.1f %7.0f %7.1f\n", r.Planner, r.Slowdown, r.SlowdownDeviation, r.MeanSeconds, r.P50Seconds, r.P99Seconds, r.Fragmentation, r.FragmentationDeviation, r.Utilisation, r.MaxReclaimWait, r.Preemptions, r.LostHours)
	}
	for _, r := range t.Rows {
		_, _ = fmt.Fprintf(w, "%-15s slowdown by class: urgent %.2f standard %.2f deferrable %.2f; wait p99 s: urgent %.1f standard %.0f deferrable %.0f; unfinished %.1f; makespan %.0f s\n", r.Planner, r.ClassSlowdown["urgent"], r.ClassSlowdown["standard"], r.ClassSlowdown["deferrable"], r.ClassWaitP99["urgent"], r.ClassWaitP99["standard"], r.ClassWaitP99["deferrable"], r.Unfinished, r.Makespan)
	}
	_, _ = fmt.Fprintf(w, "clairvoyant bound: slowdown %.2f, makespan %.0f s\n", t.BoundSlowdown, t.BoundMakespan)
	_, _ = fmt.Fprintf(w, "excess slowdown over EASY's %.3f (target at most 0.5), fragmentation over EASY's %.3f (target at most 0.5)\n", t.ExcessOverEASY, t.FragmentationOverEASY)
}
