// Package jaylosses reads the logs of a deployment's processes and reports how long
// jobs waited, by route and by data centre, and which work was lost, by cause.
package jaylosses

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// maxLineBytes bounds the length of one line.
const maxLineBytes = 1 << 20

// logLine holds the fields of a log line that the report needs.
type logLine struct {
	Event        string    `json:"event"`
	Time         time.Time `json:"time"`
	Job          string    `json:"job"`
	Route        string    `json:"route"`
	DataCentre   string    `json:"data_centre"`
	Task         string    `json:"task"`
	Run          int       `json:"run"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"reason"`
	Priority     int       `json:"priority"`
	Accelerators int       `json:"accelerators"`
	CPU          int       `json:"cpu"`
	Checkpoint   bool      `json:"checkpoint"`
}

// Group summarizes the jobs of one route or of one data centre.
type Group struct {
	Name string
	Jobs int
	// Refused counts the refused submissions of jobs that were accepted in the end.
	Refused int
	Started int
	// TotalWait and MaxWait are the sum and the greatest of the times until the first start,
	// of started jobs.
	TotalWait time.Duration
	MaxWait   time.Duration
	// FinalStates counts jobs by final state.
	FinalStates map[string]int
}

func newGroup(name string) Group { return Group{Name: name, FinalStates: map[string]int{}} }

// add adds a job whose submission was refused so many times before.
func (g *Group) add(j *job, refused int) {
	g.Jobs++
	g.Refused += refused
	if j.finalState != "" {
		g.FinalStates[j.finalState]++
	}
	if j.started.IsZero() {
		return
	}
	wait := j.started.Sub(j.Time)
	g.Started++
	g.TotalWait += wait
	g.MaxWait = max(g.MaxWait, wait)
}

// MeanWait returns the mean time until the first start, of started jobs.
func (g *Group) MeanWait() time.Duration { return g.TotalWait / time.Duration(max(g.Started, 1)) }

// Route summarizes the jobs of one route.
type Route struct {
	Group
	Priority int
}

// Loss summarizes runs that ended without completing their task, by cause.
type Loss struct {
	Priority int
	// Checkpointing tasks save their progress, so that little of it is lost.
	Checkpointing bool
	Outcome       string
	Reason        string
	Runs          int
	// CoreSeconds is the run time of those runs, with an accelerator counted as
	// eight cores.
	CoreSeconds float64
}

// Report is the result of reading logs. SkippedLines counts lines that are not
// events.
type Report struct {
	Routes []Route
	// DataCentres are those of the entries that accepted the jobs.
	DataCentres  []Group
	Losses       []Loss
	SkippedLines int
}

type job struct {
	logLine
	started    time.Time
	finalState string
}

// reader accumulates a report from log lines in chronological order.
type reader struct {
	jobs         map[string]*job
	starts       map[runKey]time.Time
	losses       map[Loss]*Loss
	refused      map[string]int
	skippedLines int
}

type runKey struct {
	task string
	run  int
}

// Read reads the logs of all processes, in any order of lines. It ignores what
// precedes the first brace of a line.
func Read(r io.Reader) (Report, error) {
	rd := &reader{jobs: map[string]*job{}, starts: map[runKey]time.Time{}, losses: map[Loss]*Loss{}, refused: map[string]int{}}
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		var l logLine
		start := bytes.IndexByte(s.Bytes(), '{')
		if start < 0 || json.Unmarshal(s.Bytes()[start:], &l) != nil || l.Event == "" {
			rd.skippedLines++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return Report{}, err
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		rd.apply(l)
	}
	return rd.report(), nil
}

// apply adds one log line to the report.
func (rd *reader) apply(l logLine) {
	j := rd.jobs[l.Job]
	switch {
	case l.Event == "job" && j == nil:
		rd.jobs[l.Job] = &job{logLine: l}
	case l.Event == "submit" && (l.Outcome == "not_now" || l.Outcome == "unsettled"):
		rd.refused[l.Job]++
	case j == nil:
	case l.Event == "place":
		rd.starts[runKey{l.Task, l.Run}] = l.Time
		if j.started.IsZero() {
			j.started = l.Time
		}
	case l.Event == "state" && (l.Outcome == "completed" || l.Outcome == "failed" || l.Outcome == "canceled"):
		j.finalState = l.Outcome
	case l.Event == "end":
		rd.recordEnd(j, l)
	}
}

// recordEnd adds a run that ended without completing its task to the losses.
func (rd *reader) recordEnd(j *job, l logLine) {
	k := runKey{l.Task, l.Run}
	started, known := rd.starts[k]
	delete(rd.starts, k)
	if !known || l.Outcome == "done" {
		return
	}
	key := Loss{Priority: j.Priority, Checkpointing: j.Checkpoint, Outcome: l.Outcome, Reason: generalize(l.Reason)}
	if rd.losses[key] == nil {
		loss := key
		rd.losses[key] = &loss
	}
	rd.losses[key].Runs++
	rd.losses[key].CoreSeconds += l.Time.Sub(started).Seconds() * jaytask.Resources{CPU: j.CPU, Accelerators: j.Accelerators}.CoreEquivalents()
}

// generalize removes job names and figures from a reason, so that losses of one
// cause are summed.
func generalize(reason string) string {
	if before, _, ok := strings.Cut(reason, " beyond "); ok {
		return before
	}
	if before, _, ok := strings.Cut(reason, " for "); ok {
		return before + " for another job"
	}
	return reason
}

func (rd *reader) report() Report {
	routes, dataCentres := map[string]*Route{}, map[string]*Group{}
	for id, j := range rd.jobs {
		if routes[j.Route] == nil {
			routes[j.Route] = &Route{Group: newGroup(j.Route), Priority: j.Priority}
		}
		if dataCentres[j.DataCentre] == nil {
			g := newGroup(j.DataCentre)
			dataCentres[j.DataCentre] = &g
		}
		routes[j.Route].add(j, rd.refused[id])
		dataCentres[j.DataCentre].add(j, rd.refused[id])
	}
	report := Report{SkippedLines: rd.skippedLines}
	for _, r := range routes {
		report.Routes = append(report.Routes, *r)
	}
	for _, g := range dataCentres {
		report.DataCentres = append(report.DataCentres, *g)
	}
	for _, l := range rd.losses {
		report.Losses = append(report.Losses, *l)
	}
	slices.SortFunc(report.Routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(report.DataCentres, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(report.Losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.CoreSeconds, a.CoreSeconds), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
	})
	return report
}
