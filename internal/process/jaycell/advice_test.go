package jaycell

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTicketEnvironment returns an environment in which all starts need tickets.
func newTicketEnvironment(t *testing.T, runners ...string) *environment {
	e := newEnvironment(t, nil, runners...)
	e.cell.settings.NeedsTicket = func(string) bool { return true }
	return e
}

// answerQueries answers all queries with 3 s tickets for the allowed runners and
// returns the number of queries.
func (e *environment) answerQueries(allowed ...string) int {
	n := 0
	for {
		q, ok := e.cell.NextQuery()
		if !ok {
			return n
		}
		n++
		tickets := map[string]string{}
		for _, id := range q.Runners {
			if slices.Contains(allowed, id) {
				tickets[id] = "ticket-" + id
			}
		}
		e.cell.ApplyAdvice(q, tickets, 3*time.Second, e.now)
	}
}

func TestStartsNeedTickets(t *testing.T) {
	e := newTicketEnvironment(t, "r1", "r2", "r3")
	e.submit("job", 1, "w", step(2, 1))
	assert.Equal(t, len(startedTasks(e.tick(0))), 0)
	assert.Equal(t, e.answerQueries("r2"), 1)
	orders := e.tick(100 * time.Millisecond)
	assert.Equal(t, len(startedTasks(orders)), 2)
	for _, o := range orders {
		assert.Equal(t, o.Runner, "r2")
		assert.Equal(t, o.Ticket, "ticket-r2")
	}
	assert.Equal(t, e.answerQueries("r2"), 0)
}

// Whether a runner may run a step is queried once. An expired ticket is renewed only
// when there is a task to start.
func TestTicketsAreRenewedWhenNeeded(t *testing.T) {
	e := newTicketEnvironment(t, "r1", "r2")
	e.submit("job", 1, "w", step(2, 8))
	e.tick(0)
	assert.Equal(t, e.answerQueries("r1"), 1)
	assert.Equal(t, len(startedTasks(e.tick(100*time.Millisecond))), 1)
	for range 10 {
		e.tick(500 * time.Millisecond)
		assert.Equal(t, e.answerQueries("r1"), 0)
	}
	e.endRun("r1", sortedKeys(e.running["r1"])[0], EndDone)
	assert.Equal(t, len(startedTasks(e.tick(100*time.Millisecond))), 0)
	q, ok := e.cell.NextQuery()
	assert.Assert(t, ok)
	assert.DeepEqual(t, q.Runners, []string{"r1"})
	e.cell.ApplyAdvice(q, map[string]string{"r1": "new"}, 3*time.Second, e.now)
	orders := e.tick(100 * time.Millisecond)
	assert.Equal(t, len(startedTasks(orders)), 1)
	assert.Equal(t, orders[len(orders)-1].Ticket, "new")
}

// A ticket that the runner refuses is renewed, and the runner is not avoided.
func TestRefusedTicketIsRenewed(t *testing.T) {
	e := newTicketEnvironment(t, "r1")
	e.submit("job", 1, "w", step(1, 8))
	e.tick(0)
	e.answerQueries("r1")
	assert.Equal(t, len(startedTasks(e.tick(100*time.Millisecond))), 1)
	delete(e.running["r1"], "job.0.0.0")
	e.now += 300 * time.Millisecond
	e.cell.SetTime(e.now, e.wall)
	e.report("node-r1", "r1", func(p *Report) {
		p.OrderResults = []OrderResult{{Task: "job.0.0.0", Run: 1, Refused: true, Reason: ReasonTicket}}
	})
	e.tick(retryDelay)
	assert.Equal(t, e.answerQueries("r1"), 1)
	assert.Equal(t, len(startedTasks(e.tick(100*time.Millisecond))), 1)
}

// The most urgent step is queried first, and a new incarnation of a runner is
// queried again.
func TestQueriesFollowUrgency(t *testing.T) {
	e := newTicketEnvironment(t, "r1")
	e.submit("later", 2, "w", step(1, 8))
	e.submit("urgent", 0, "w", step(1, 8))
	e.tick(0)
	q, ok := e.cell.NextQuery()
	assert.Assert(t, ok)
	assert.Equal(t, q.Step, "urgent.0.0")
	e.cell.ApplyAdvice(q, nil, time.Second, e.now)
	e.tick(100 * time.Millisecond)
	e.answerQueries()
	e.tick(100 * time.Millisecond)
	assert.Equal(t, e.answerQueries(), 0)
	e.running = map[string]map[string]int{"r9": {}}
	e.tick(100 * time.Millisecond)
	assert.Equal(t, e.answerQueries("r9"), 2)
}
