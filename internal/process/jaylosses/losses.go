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
const maxLine = 1 << 20

// line holds the fields of a log line that are read here.
type line struct {
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
	Begun   int
	// WaitMean and WaitMost are until the first start.
	WaitMean time.Duration
	WaitMost time.Duration
	// Ended counts final states by name.
	Ended map[string]int
}

// Loss is work that ended without being done, by cause.
type Loss struct {
	Priority int
	// Saved tells that the tasks save their progress, so that little is lost.
	Saved   bool
	Outcome string
	Reason  string
	Runs    int
	// CoreSeconds is what those runs had run for, an accelerator as eight cores.
	CoreSeconds float64
}

// Report is what the logs tell. Unread counts lines that are no log lines.
type Report struct {
	Routes []Route
	Losses []Loss
	Unread int
}

type job struct {
	line
	begun time.Time
	ended string
}

type reader struct {
	jobs    map[string]*job
	places  map[placeKey]time.Time
	routes  map[string]*Route
	losses  map[Loss]*Loss
	refused map[string]int
	unread  int
}

type placeKey struct {
	task string
	run  int
}

// Read reads logs of all processes, in the order of time or process by process.
// What stands before the first brace of a line is passed over.
func Read(r io.Reader) (Report, error) {
	x := &reader{jobs: map[string]*job{}, places: map[placeKey]time.Time{}, routes: map[string]*Route{}, losses: map[Loss]*Loss{}, refused: map[string]int{}}
	var lines []line
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for s.Scan() {
		var l line
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 || json.Unmarshal(s.Bytes()[at:], &l) != nil || l.Event == "" {
			x.unread++
			continue
		}
		lines = append(lines, l)
	}
	if err := s.Err(); err != nil {
		return Report{}, err
	}
	slices.SortStableFunc(lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	for _, l := range lines {
		x.take(l)
	}
	return x.report(), nil
}

func (x *reader) take(l line) {
	j := x.jobs[l.Job]
	switch {
	case l.Event == "job" && j == nil:
		x.jobs[l.Job] = &job{line: l}
	case l.Event == "submit" && (l.Outcome == "not_now" || l.Outcome == "unsettled"):
		x.refused[l.Job]++
	case j == nil:
	case l.Event == "place":
		x.places[placeKey{l.Task, l.Run}] = l.Time
		if j.begun.IsZero() {
			j.begun = l.Time
		}
	case l.Event == "state" && (l.Outcome == "completed" || l.Outcome == "failed" || l.Outcome == "canceled"):
		j.ended = l.Outcome
	case l.Event == "end":
		x.end(j, l)
	}
}

func (x *reader) end(j *job, l line) {
	k := placeKey{l.Task, l.Run}
	placed, known := x.places[k]
	delete(x.places, k)
	if !known || l.Outcome == "done" {
		return
	}
	key := Loss{Priority: j.Priority, Saved: j.Checkpoint, Outcome: l.Outcome, Reason: general(l.Reason)}
	if x.losses[key] == nil {
		sum := key
		x.losses[key] = &sum
	}
	x.losses[key].Runs++
	x.losses[key].CoreSeconds += l.Time.Sub(placed).Seconds() * jaytask.Resources{CPU: j.CPU, Accelerators: j.Accelerators}.CoreEquivalents()
}

// general leaves out of a reason what names one job or figure.
func general(reason string) string {
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
			r = &Route{Name: j.Route, Priority: j.Priority, Ended: map[string]int{}}
			x.routes[j.Route] = r
		}
		r.Jobs++
		r.Refused += x.refused[id]
		if j.ended != "" {
			r.Ended[j.ended]++
		}
		if !j.begun.IsZero() {
			wait := j.begun.Sub(j.Time)
			r.Begun++
			waits[r.Name] += wait
			r.WaitMost = max(r.WaitMost, wait)
		}
	}
	out := Report{Unread: x.unread}
	for name, r := range x.routes {
		r.WaitMean = waits[name] / time.Duration(max(r.Begun, 1))
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
