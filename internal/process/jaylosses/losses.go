// Package jaylosses reads the logs of a deployment's processes and tells what the
// callers' jobs waited for and which work was thrown away, by cause.
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

// maxLine bounds one line of a log, in bytes.
const maxLineBytes = 1 << 20

// line holds the fields of a log line that are read here.
type logLine struct {
	Event        string    `json:"event"`
	Time         time.Time `json:"time"`
	Job          string    `json:"job"`
	Route        string    `json:"route"`
	Task         string    `json:"task"`
	Run          int       `json:"run"`
	Outcome      string    `json:"outcome"`
	Reason       string    `json:"reason"`
	Priority     int       `json:"priority"`
	Accelerators int       `json:"accelerators"`
	CPU          int       `json:"cpu"`
	Checkpoint   bool      `json:"checkpoint"`
}

// Route is what the jobs of one route met.
type Route struct {
	Name     string
	Priority int
	Jobs     int
	// Refused counts answers that turned a job away, each try.
	Refused int
	Started int
	// WaitMean and WaitMost are until the first start.
	MeanWait time.Duration
	MaxWait  time.Duration
	// Ended counts final states by name.
	FinalStates map[string]int
}

// Loss is work that ended without being done, by cause.
type Loss struct {
	Priority int
	// Saved tells that the tasks save their progress, so that little is lost.
	Checkpointing bool
	Outcome       string
	Reason        string
	Runs          int
	// CoreSeconds is what those runs had run for, an accelerator as eight cores.
	CoreSeconds float64
}

// Report is what the logs tell. Unread counts lines that are no log lines.
type Report struct {
	Routes       []Route
	Losses       []Loss
	SkippedLines int
}

type job struct {
	logLine
	started    time.Time
	finalState string
}

type reader struct {
	jobs         map[string]*job
	starts       map[runKey]time.Time
	routes       map[string]*Route
	losses       map[Loss]*Loss
	refused      map[string]int
	skippedLines int
}

type runKey struct {
	task string
	run  int
}

// Read reads logs of all processes, in the order of time or process by process.
// What stands before the first brace of a line is passed over.
func Read(r io.Reader) (Report, error) {
	x := &reader{jobs: map[string]*job{}, starts: map[runKey]time.Time{}, routes: map[string]*Route{}, losses: map[Loss]*Loss{}, refused: map[string]int{}}
	var lines []logLine
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLineBytes)
	for s.Scan() {
		var l logLine
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 || json.Unmarshal(s.Bytes()[at:], &l) != nil || l.Event == "" {
			x.skippedLines++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return Report{}, err
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		x.apply(l)
	}
	return x.report(), nil
}

func (x *reader) apply(l logLine) {
	j := x.jobs[l.Job]
	switch {
	case l.Event == "job" && j == nil:
		x.jobs[l.Job] = &job{logLine: l}
	case l.Event == "submit" && (l.Outcome == "not_now" || l.Outcome == "unsettled"):
		x.refused[l.Job]++
	case j == nil:
	case l.Event == "place":
		x.starts[runKey{l.Task, l.Run}] = l.Time
		if j.started.IsZero() {
			j.started = l.Time
		}
	case l.Event == "state" && (l.Outcome == "completed" || l.Outcome == "failed" || l.Outcome == "canceled"):
		j.finalState = l.Outcome
	case l.Event == "end":
		x.recordEnd(j, l)
	}
}

func (x *reader) recordEnd(j *job, l logLine) {
	k := runKey{l.Task, l.Run}
	placed, known := x.starts[k]
	delete(x.starts, k)
	if !known || l.Outcome == "done" {
		return
	}
	key := Loss{Priority: j.Priority, Checkpointing: j.Checkpoint, Outcome: l.Outcome, Reason: generalize(l.Reason)}
	if x.losses[key] == nil {
		sum := key
		x.losses[key] = &sum
	}
	x.losses[key].Runs++
	x.losses[key].CoreSeconds += l.Time.Sub(placed).Seconds() * jaytask.Resources{CPU: j.CPU, Accelerators: j.Accelerators}.CoreEquivalents()
}

// general leaves out of a reason what names one job or figure.
func generalize(reason string) string {
	if before, _, ok := strings.Cut(reason, " beyond "); ok {
		return before
	}
	if before, _, ok := strings.Cut(reason, " for "); ok {
		return before + " for another job"
	}
	return reason
}

func (x *reader) report() Report {
	waits := map[string]time.Duration{}
	for id, j := range x.jobs {
		r := x.routes[j.Route]
		if r == nil {
			r = &Route{Name: j.Route, Priority: j.Priority, FinalStates: map[string]int{}}
			x.routes[j.Route] = r
		}
		r.Jobs++
		r.Refused += x.refused[id]
		if j.finalState != "" {
			r.FinalStates[j.finalState]++
		}
		if !j.started.IsZero() {
			wait := j.started.Sub(j.Time)
			r.Started++
			waits[r.Name] += wait
			r.MaxWait = max(r.MaxWait, wait)
		}
	}
	out := Report{SkippedLines: x.skippedLines}
	for name, r := range x.routes {
		r.MeanWait = waits[name] / time.Duration(max(r.Started, 1))
		out.Routes = append(out.Routes, *r)
	}
	for _, l := range x.losses {
		out.Losses = append(out.Losses, *l)
	}
	slices.SortFunc(out.Routes, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Name, b.Name))
	})
	slices.SortFunc(out.Losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.CoreSeconds, a.CoreSeconds), cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Outcome, b.Outcome))
	})
	return out
}
