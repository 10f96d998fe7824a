package jaycell

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

const (
	// maxQueryRunners bounds the runners of one query: as many as the completion time
	// objective allows time for.
	maxQueryRunners = 30
	// minTicketValidity is the remaining validity that a start requires: the time to
	// store the record, send the order to the agent and call the runner.
	minTicketValidity = 500 * time.Millisecond
)

// AdviceQuery asks which of the listed runners may run a step.
type AdviceQuery struct {
	// Step identifies the job, the occurrence and the step.
	Step    string
	Route   string
	Runners []string
}

// ticket admits starts of one step on one incarnation of a runner.
type ticket struct {
	value     string
	expiresAt time.Duration
}

// stepAdvice holds the answers for one step. Whether a runner may run the step does
// not change, but tickets expire.
type stepAdvice struct {
	tickets map[string]ticket
	denied  map[string]bool
}

// adviceFor returns the advice for a unit's step, nil if the route needs none.
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

// allows reports whether a runner is known to be allowed to run the step, even if
// its ticket has expired.
func (a *stepAdvice) allows(runner string) bool {
	if a == nil {
		return true
	}
	_, ok := a.tickets[runner]
	return ok
}

// enqueueQuery queues a query unless one for the same step is queued. Since units
// are tried by urgency, the most urgent step comes first.
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

// queryUnknownRunners queues a query about the runners for which there is no answer
// yet: those on the data's rack first, then those with the most free accelerators.
func (r *round) queryUnknownRunners(u *unit) {
	a := r.cell.adviceFor(u)
	if a == nil {
		return
	}
	var unknown []*candidate
	for _, cand := range r.candidates {
		runner := cand.runner
		if !runner.eligibleFor(u) || a.allows(runner.id) || a.denied[runner.id] || !u.spec().Allocation().FitsIn(runner.info.Capacity) {
			continue
		}
		unknown = append(unknown, cand)
	}
	rack := u.spec().DataRack
	sort.SliceStable(unknown, func(i, j int) bool {
		if x, y := unknown[i].rack == rack, unknown[j].rack == rack; x != y {
			return x
		}
		return unknown[i].free.Accelerators > unknown[j].free.Accelerators
	})
	var names []string
	for _, cand := range unknown[:min(len(unknown), maxQueryRunners)] {
		names = append(names, cand.runner.id)
	}
	r.enqueueQuery(u, names)
}

// haveValidTickets reports whether the tickets for all runners are valid for long
// enough, and queues a query for the others.
func (r *round) haveValidTickets(u *unit, runners []*candidate) bool {
	a := r.cell.adviceFor(u)
	if a == nil {
		return true
	}
	var expired []string
	for _, cand := range runners {
		id := cand.runner.id
		if a.tickets[id].expiresAt < r.cell.now+minTicketValidity && !slices.Contains(expired, id) {
			expired = append(expired, id)
		}
	}
	r.enqueueQuery(u, expired)
	return len(expired) == 0
}

// ticketFor returns the ticket for a start, empty if none is needed.
func (c *Cell) ticketFor(pl *placement) string {
	if a := c.adviceFor(pl.unit); a != nil {
		return a.tickets[pl.runner.id].value
	}
	return ""
}

// NextQuery removes and returns the most urgent query of the last round.
func (c *Cell) NextQuery() (AdviceQuery, bool) {
	if len(c.queries) == 0 {
		return AdviceQuery{}, false
	}
	q := c.queries[0]
	c.queries = c.queries[1:]
	return q, true
}

// ApplyAdvice applies the answer to a query sent at askedAt: the tickets, by runner,
// of the runners that may run the step. They expire validity after askedAt.
func (c *Cell) ApplyAdvice(q AdviceQuery, tickets map[string]string, validity, askedAt time.Duration) {
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
			a.tickets[id] = ticket{value: value, expiresAt: askedAt + validity}
		} else if _, hadTicket := a.tickets[id]; !hadTicket {
			a.denied[id] = true
		}
	}
	c.reportDecision(Decision{Job: job, Event: "advice", Outcome: fmt.Sprintf("%d of %d runners", len(tickets), len(q.Runners)), Reason: q.Step, AgeMS: c.jobAgeMS(j)})
}
