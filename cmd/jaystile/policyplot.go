package main

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/jaystile/jaystile/internal/process/jaypolicy"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// plotLoads are the loads on the x axis of a plot.
var plotLoads = []float64{0.5, 0.7, 0.9, 1.1}

// plotMeasure is a measure plotted over the load.
type plotMeasure struct {
	title string
	file  string
	value func(jaypolicy.Result) float64
}

var plotMeasures = []plotMeasure{
	{title: "mean bounded slowdown", file: "slowdown", value: func(r jaypolicy.Result) float64 { return r.Slowdown }},
	{title: "time-weighted fragmentation", file: "fragmentation", value: func(r jaypolicy.Result) float64 { return r.Fragmentation }},
}

// writePlots writes an SVG file for each measure, with one line per planner. The
// file names begin with the prefix.
func writePlots(study jaypolicy.Study, prefix string) error {
	byLoad := make([][]jaypolicy.Outcome, len(plotLoads))
	for i, load := range plotLoads {
		study.Load = load
		outcomes, _, err := study.Run()
		if err != nil {
			return fmt.Errorf("policy: %w", err)
		}
		// First-come first-fit is left out: it is off the scale of the other two.
		byLoad[i] = outcomes[:2]
	}
	for _, m := range plotMeasures {
		if err := writePlot(study.Mix.Name(), m, byLoad, fmt.Sprintf("%s-%s.svg", prefix, m.file)); err != nil {
			return err
		}
	}
	return nil
}

func writePlot(name string, m plotMeasure, byLoad [][]jaypolicy.Outcome, file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s: %s", name, m.title)
	p.X.Label.Text = "load"
	p.Y.Label.Text = m.title
	p.Y.Min = 0
	p.Legend.Top = true
	p.Legend.Left = true
	var lines []any
	for planner, o := range byLoad[0] {
		points := make(plotter.XYs, len(plotLoads))
		for i, load := range plotLoads {
			mean, _ := meanAndDeviation(byLoad[i][planner], m.value)
			points[i] = plotter.XY{X: load, Y: mean}
		}
		lines = append(lines, o.Planner, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}
