package jaycell

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

const (
	// askMost is how many runners one question names: as many as the callers'
	// objective allows time for.
	askMost = 30
	// ticketSlack is what must be left of a ticket for a start: the record's way
	// into the store, the order's to the side and the call's to the runner.
	ticketSlack = 500 * time.Millisecond
)

// AdviceQuery asks which of some runners may run a step.
type AdviceQuery struct {
	// Step names the job, the occurrence and the step.
	Step    string
	Route   string
	Runners []string
}

// ticket allows starts of one step on one life of a runner.
type ticket struct {
	text  string
	until time.Duration
}

// advised is what is known of a step's runners. Which of them may run it does not
// change; a ticket ends.
type advised struct {
	tickets map[string]ticket
	barred  map[string]bool
}

// advice returns what is known of a unit's runners, nil where none is needed.
func (c *Cell) advice(u *unit) *advised {
	if c.settings.NeedsTicket == nil || !c.settings.NeedsTicket(u.job.spec.Policy.Route) {
		return nil
	}
	k := [2]int{u.occurrence, u.step}
	if u.job.advised[k] == nil {
		if u.job.advised == nil {
			u.job.advised = map[[2]int]*advised{}
		}
		u.job.advised[k] = &advised{tickets: map[string]ticket{}, barred: map[string]bool{}}
	}
	return u.job.advised[k]
}

// allows reports whether a runner is known to be one that may run the step, with
// a ticket or without one that still holds.
func (a *advised) allows(runner string) bool {
	if a == nil {
		return true
	}
	_, ok := a.tickets[runner]
	return ok
}

// want puts a question for later, in the order of the round, so that the most
// urgent step is asked for first. A step is in the queue once.
func (r *round) want(u *unit, runners []string) {
	if len(runners) == 0 {
		return
	}
	q := AdviceQuery{Step: stepName(u.job.spec.ID, u.occurrence, u.step), Route: u.job.spec.Policy.Route, Runners: runners}
	for _, old := range r.cell.questions {
		if old.Step == q.Step {
			return
		}
	}
	r.cell.questions = append(r.cell.questions, q)
}

// inquire asks for runners of which it is not known whether they may run the
// unit, those with the most room first.
func (r *round) inquire(u *unit) {
	a := r.cell.advice(u)
	if a == nil {
		return
	}
	var unknown []*view
	for _, v := range r.views {
		n := v.runner
		if !n.serves(u) || a.allows(n.id) || a.barred[n.id] || !u.spec().Allocation().FitsIn(n.info.Capacity) {
			continue
		}
		unknown = append(unknown, v)
	}
	near := u.spec().DataRack
	sort.SliceStable(unknown, func(i, j int) bool {
		if x, y := unknown[i].rack == near, unknown[j].rack == near; x != y {
			return x
		}
		return unknown[i].free.Accelerators > unknown[j].free.Accelerators
	})
	var names []string
	for _, v := range unknown[:min(len(unknown), askMost)] {
		names = append(names, v.runner.id)
	}
	r.want(u, names)
}

// ticketed reports whether all runners have tickets that hold long enough; it
// asks anew for those that have not.
func (r *round) ticketed(u *unit, runners []*view) bool {
	a := r.cell.advice(u)
	if a == nil {
		return true
	}
	var ended []string
	for _, v := range runners {
		id := v.runner.id
		if a.tickets[id].until < r.cell.now+ticketSlack && !slices.Contains(ended, id) {
			ended = append(ended, id)
		}
	}
	r.want(u, ended)
	return len(ended) == 0
}

// ticketOf returns the ticket for a member's start, empty where none is needed.
func (c *Cell) ticketOf(h *hold) string {
	if a := c.advice(h.unit); a != nil {
		return a.tickets[h.runner.id].text
	}
	return ""
}

// NextQuery returns the most urgent question of the last round.
func (c *Cell) NextQuery() (AdviceQuery, bool) {
	if len(c.questions) == 0 {
		return AdviceQuery{}, false
	}
	q := c.questions[0]
	c.questions = c.questions[1:]
	return q, true
}

// ApplyAdvice takes the answer to a question that was asked at the time given: the
// tickets of the runners that may run the step.
func (c *Cell) ApplyAdvice(q AdviceQuery, tickets map[string]string, valid, askedAt time.Duration) {
	job, occurrence, step, _, ok := parseTask(q.Step + ".0")
	j := c.jobs[job]
	if !ok || j == nil {
		return
	}
	a := j.advised[[2]int{occurrence, step}]
	if a == nil {
		return
	}
	c.questions = slices.DeleteFunc(c.questions, func(o AdviceQuery) bool { return o.Step == q.Step })
	for _, id := range q.Runners {
		if text, good := tickets[id]; good {
			a.tickets[id] = ticket{text: text, until: askedAt + valid}
		} else if _, was := a.tickets[id]; !was {
			a.barred[id] = true
		}
	}
	c.explain(Decision{Job: job, Event: "advice", Outcome: fmt.Sprintf("%d of %d runners", len(tickets), len(q.Runners)), Reason: q.Step, AgeMS: c.ageOf(j)})
}
