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
	maxQueryRunners = 30
	// ticketSlack is what must be left of a ticket for a start: the record's way
	// into the store, the order's to the side and the call's to the runner.
	minTicketValidity = 500 * time.Millisecond
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
	value     string
	expiresAt time.Duration
}

// advised is what is known of a step's runners. Which of them may run it does not
// change; a ticket ends.
type stepAdvice struct {
	tickets map[string]ticket
	denied  map[string]bool
}

// advice returns what is known of a unit's runners, nil where none is needed.
func (c *Cell) adviceFor(u *unit) *stepAdvice {
	if c.settings.NeedsTicket == nil || !c.settings.NeedsTicket(u.job.spec.Policy.Route) {
		return nil
	}
	k := [2]int{u.occurrence, u.step}
	if u.job.advice[k] == nil {
		if u.job.advice == nil {
			u.job.advice = map[[2]int]*stepAdvice{}
		}
		u.job.advice[k] = &stepAdvice{tickets: map[string]ticket{}, denied: map[string]bool{}}
	}
	return u.job.advice[k]
}

// allows reports whether a runner is known to be one that may run the step, with
// a ticket or without one that still holds.
func (a *stepAdvice) allows(runner string) bool {
	if a == nil {
		return true
	}
	_, ok := a.tickets[runner]
	return ok
}

// want puts a question for later, in the order of the round, so that the most
// urgent step is asked for first. A step is in the queue once.
func (r *round) enqueueQuery(u *unit, runners []string) {
	if len(runners) == 0 {
		return
	}
	q := AdviceQuery{Step: stepName(u.job.spec.ID, u.occurrence, u.step), Route: u.job.spec.Policy.Route, Runners: runners}
	for _, old := range r.cell.queries {
		if old.Step == q.Step {
			return
		}
	}
	r.cell.queries = append(r.cell.queries, q)
}

// inquire asks for runners of which it is not known whether they may run the
// unit, those with the most room first.
func (r *round) queryUnknownRunners(u *unit) {
	a := r.cell.adviceFor(u)
	if a == nil {
		return
	}
	var unknown []*candidate
	for _, v := range r.candidates {
		runner := v.runner
		if !runner.eligibleFor(u) || a.allows(runner.id) || a.denied[runner.id] || !u.spec().Allocation().FitsIn(runner.info.Capacity) {
			continue
		}
		unknown = append(unknown, v)
	}
	rack := u.spec().DataRack
	sort.SliceStable(unknown, func(i, j int) bool {
		if x, y := unknown[i].rack == rack, unknown[j].rack == rack; x != y {
			return x
		}
		return unknown[i].free.Accelerators > unknown[j].free.Accelerators
	})
	var names []string
	for _, v := range unknown[:min(len(unknown), maxQueryRunners)] {
		names = append(names, v.runner.id)
	}
	r.enqueueQuery(u, names)
}

// ticketed reports whether all runners have tickets that hold long enough; it
// asks anew for those that have not.
func (r *round) haveValidTickets(u *unit, runners []*candidate) bool {
	a := r.cell.adviceFor(u)
	if a == nil {
		return true
	}
	var expired []string
	for _, v := range runners {
		id := v.runner.id
		if a.tickets[id].expiresAt < r.cell.now+minTicketValidity && !slices.Contains(expired, id) {
			expired = append(expired, id)
		}
	}
	r.enqueueQuery(u, expired)
	return len(expired) == 0
}

// ticketOf returns the ticket for a member's start, empty where none is needed.
func (c *Cell) ticketFor(pl *placement) string {
	if a := c.adviceFor(pl.unit); a != nil {
		return a.tickets[pl.runner.id].value
	}
	return ""
}

// NextQuery returns the most urgent question of the last round.
func (c *Cell) NextQuery() (AdviceQuery, bool) {
	if len(c.queries) == 0 {
		return AdviceQuery{}, false
	}
	q := c.queries[0]
	c.queries = c.queries[1:]
	return q, true
}

// ApplyAdvice takes the answer to a question that was asked at the time given: the
// tickets of the runners that may run the step.
func (c *Cell) ApplyAdvice(q AdviceQuery, tickets map[string]string, valid, askedAt time.Duration) {
	job, occurrence, step, _, ok := parseTaskName(q.Step + ".0")
	j := c.jobs[job]
	if !ok || j == nil {
		return
	}
	a := j.advice[[2]int{occurrence, step}]
	if a == nil {
		return
	}
	c.queries = slices.DeleteFunc(c.queries, func(o AdviceQuery) bool { return o.Step == q.Step })
	for _, id := range q.Runners {
		if value, allowed := tickets[id]; allowed {
			a.tickets[id] = ticket{value: value, expiresAt: askedAt + valid}
		} else if _, hadTicket := a.tickets[id]; !hadTicket {
			a.denied[id] = true
		}
	}
	c.reportDecision(Decision{Job: job, Event: "advice", Outcome: fmt.Sprintf("%d of %d runners", len(tickets), len(q.Runners)), Reason: q.Step, AgeMS: c.jobAgeMS(j)})
}
