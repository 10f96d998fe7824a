package jaycontroller

import (
	"errors"
	"time"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// sendOrders sends orders to the agents that are linked; the others receive them
// after they reconnect.
func (l *leadership) sendOrders(orders []jaycell.Order) {
	for _, n := range groupByNode(orders) {
		link := l.controller.agentLink(n.node)
		if link == nil {
			continue
		}
		for _, part := range inParts(n.orders, orderBytes) {
			err := link.Send(encodeOrders(l.term, part))
			if err == nil {
				continue
			}
			var tooLarge *jayframe.TooLargeError
			if errors.As(err, &tooLarge) {
				// Another link would not carry it either.
				l.controller.Logger.Error().Str("event", "order").Str("peer", n.node).Str("task", part[0].Task).Err(err).Msg("cannot send an order for its size")
				continue
			}
			l.controller.Logger.Warn().Str("event", "link").Str("peer", n.node).Err(err).Msg("cannot send orders; sending them again on the next link")
			link.Close("cannot send orders")
			break
		}
	}
}

func encodeOrder(o jaycell.Order) jayframe.CellOrder {
	return jayframe.CellOrder{Kind: uint8(o.Kind), Runner: o.Runner, Task: o.Task, Run: o.Run, Spec: o.Spec, Checkpoint: o.Checkpoint, Ticket: o.Ticket, Number: o.Number, Percent: o.Percent, Repeated: o.Repeated, CPU: o.Capacity.CPU, Memory: o.Capacity.Memory, Accelerators: o.Capacity.Accelerators}
}

func decodeReport(m *jayframe.CellReport) jaycell.Report {
	r := jaycell.Report{
		Node: m.Node, Sequence: m.Sequence, Term: m.Term, Responsive: m.Responsive, Ended: m.Ended,
		Runner: jaycell.RunnerInfo{
			ID: m.Runner, Service: m.Service, DataCentre: m.DataCentre, Labels: m.Labels, Draining: m.Draining, DrainRemaining: time.Duration(m.DrainRemainingMillis) * time.Millisecond, ColdLeft: time.Duration(m.ColdLeftMillis) * time.Millisecond,
			Capacity: jaytask.Resources{CPU: m.CPU, Memory: m.Memory, Accelerators: m.Accelerators},
		},
	}
	for _, x := range m.Running {
		r.Running = append(r.Running, jaycell.Run{Task: x.Task, Run: x.Run, Checkpoint: x.Checkpoint, Percent: x.Percent, Load: x.Load})
	}
	for _, x := range m.Finished {
		r.Finished = append(r.Finished, jaycell.End{Number: x.Number, Task: x.Task, Run: x.Run, Reason: jaycell.EndReason(x.Reason), Checkpoint: x.Checkpoint})
	}
	for _, x := range m.OrderResults {
		r.OrderResults = append(r.OrderResults, jaycell.OrderResult{Task: x.Task, Run: x.Run, Refused: x.Refused, Reason: x.Reason})
	}
	for _, x := range m.PendingOrders {
		r.PendingOrders = append(r.PendingOrders, jaycell.Order{Kind: jaycell.OrderKind(x.Kind), Task: x.Task, Run: x.Run})
	}
	for _, x := range m.Crashes {
		c := jaycell.Crash{Runner: x.Runner}
		for _, y := range x.Runs {
			c.Runs = append(c.Runs, jaycell.CrashedRun{Task: y.Task, Run: y.Run, Percent: y.Percent, WorkedFor: time.Duration(y.WorkedForMillis) * time.Millisecond, ListedFor: time.Duration(y.ListedForMillis) * time.Millisecond})
		}
		r.Crashes = append(r.Crashes, c)
	}
	return r
}

// updateJob passes what is known about a job to the cell.
func (l *leadership) updateJob(id string) {
	l.submit(id)
	Signal(l.wake)
}

func (l *leadership) submit(id string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	// Until loaded is set, load takes all jobs from the job table.
	if l.loaded {
		l.setCellTime()
		if row, ok := l.controller.jobs.get(id); ok && !row.state.Ended() {
			if l.cell.Submit(row.spec) {
				l.controller.Logger.Info().Str("event", "job").Str("job", id).Uint64("term", l.term).Str("outcome", "new in this term").Int64("age_ms", time.Since(row.spec.Accepted).Milliseconds()).Msg("scheduling a job")
			}
			if row.canceled {
				l.cell.Cancel(id)
			}
		}
	}
}

// updateInCell passes what is known about a job to the cell while this entry leads.
func (c *Controller) updateInCell(id string) {
	if l := c.currentLeadership(); l != nil {
		l.updateJob(id)
	}
}
