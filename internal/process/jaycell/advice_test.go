package jaycell

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// adviseWorld is a world in which all starts need tickets, which hold for 3 s.
func adviseWorld(t *testing.T, runners ...string) *world {
	w := newWorld(t, nil, runners...)
	w.cell.settings.NeedsTicket = func(string) bool { return true }
	return w
}

// answer answers all questions and returns how many there were.
func (w *world) answer(good ...string) int {
	n := 0
	for {
		q, ok := w.cell.NextQuery()
		if !ok {
			return n
		}
		n++
		tickets := map[string]string{}
		for _, id := range q.Runners {
			if slices.Contains(good, id) {
				tickets[id] = "ticket-" + id
			}
		}
		w.cell.ApplyAdvice(q, tickets, 3*time.Second, w.now)
	}
}

func TestStartsNeedTickets(t *testing.T) {
	w := adviseWorld(t, "r1", "r2", "r3")
	w.submit("job", 1, "w", step(2, 1))
	assert.Equal(t, len(starts(w.turn(0))), 0)
	assert.Equal(t, w.answer("r2"), 1)
	orders := w.turn(100 * time.Millisecond)
	assert.Equal(t, len(starts(orders)), 2)
	for _, o := range orders {
		assert.Equal(t, o.Runner, "r2")
		assert.Equal(t, o.Ticket, "ticket-r2")
	}
	assert.Equal(t, w.answer("r2"), 0)
}

// Which runners may run a step is asked once; a ticket that ends is asked for
// anew only when there is something to start.
func TestTicketsAreRenewedWhenNeeded(t *testing.T) {
	w := adviseWorld(t, "r1", "r2")
	w.submit("job", 1, "w", step(2, 8))
	w.turn(0)
	assert.Equal(t, w.answer("r1"), 1)
	assert.Equal(t, len(starts(w.turn(100*time.Millisecond))), 1)
	for range 10 {
		w.turn(500 * time.Millisecond)
		assert.Equal(t, w.answer("r1"), 0)
	}
	w.end("r1", sortedKeys(w.running["r1"])[0], EndDone)
	assert.Equal(t, len(starts(w.turn(100*time.Millisecond))), 0)
	q, ok := w.cell.NextQuery()
	assert.Assert(t, ok)
	assert.DeepEqual(t, q.Runners, []string{"r1"})
	w.cell.ApplyAdvice(q, map[string]string{"r1": "new"}, 3*time.Second, w.now)
	orders := w.turn(100 * time.Millisecond)
	assert.Equal(t, len(starts(orders)), 1)
	assert.Equal(t, orders[len(orders)-1].Ticket, "new")
}

// A ticket that the runner refuses is asked for anew, and the runner is not
// avoided.
func TestRefusedTicketIsAskedForAnew(t *testing.T) {
	w := adviseWorld(t, "r1")
	w.submit("job", 1, "w", step(1, 8))
	w.turn(0)
	w.answer("r1")
	assert.Equal(t, len(starts(w.turn(100*time.Millisecond))), 1)
	delete(w.running["r1"], "job.0.0.0")
	w.now += 300 * time.Millisecond
	w.cell.SetTime(w.now, w.wall)
	w.hear("node-r1", "r1", func(p *Report) {
		p.OrderResults = []OrderResult{{Task: "job.0.0.0", Run: 1, Refused: true, Reason: ReasonTicket}}
	})
	w.turn(retryDelay)
	assert.Equal(t, w.answer("r1"), 1)
	assert.Equal(t, len(starts(w.turn(100*time.Millisecond))), 1)
}

// The most urgent step is asked for first, and a new life of a runner is unknown
// again.
func TestQuestionsFollowTheOrderOfWork(t *testing.T) {
	w := adviseWorld(t, "r1")
	w.submit("later", 2, "w", step(1, 8))
	w.submit("urgent", 0, "w", step(1, 8))
	w.turn(0)
	q, ok := w.cell.NextQuery()
	assert.Assert(t, ok)
	assert.Equal(t, q.Step, "urgent.0.0")
	w.cell.ApplyAdvice(q, nil, time.Second, w.now)
	w.turn(100 * time.Millisecond)
	w.answer()
	w.turn(100 * time.Millisecond)
	assert.Equal(t, w.answer(), 0)
	w.running = map[string]map[string]int{"r9": {}}
	w.turn(100 * time.Millisecond)
	assert.Equal(t, w.answer("r9"), 2)
}
