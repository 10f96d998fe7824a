package jaycontroller

import (
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayclock"
)

// receivedReport is an agent's report that waits to be applied. connection is the number
// of its link.
type receivedReport struct {
	link       *jaylink.Link
	message    *jayframe.CellReport
	connection uint64
}

// reportQueue holds the newest report about each runner, in the order of their first
// arrival. Reports are complete, so that older ones need not be applied. The readers of
// the links never wait for a decision: a leader that is busy would otherwise take its own
// delay for silence of its agents.
type reportQueue struct {
	mutex   sync.Mutex
	waiting map[string]*receivedReport
	order   []*receivedReport
	// applying is set while a goroutine takes reports.
	applying bool
}

func newReportQueue() *reportQueue { return &reportQueue{waiting: map[string]*receivedReport{}} }

// put adds a report.
func (q *reportQueue) put(r receivedReport) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	switch old := q.waiting[r.message.Runner]; {
	case old == nil:
		q.waiting[r.message.Runner] = &r
		q.order = append(q.order, &r)
	case r.connection >= old.connection:
		*old = r
	}
}

// begin returns whether the caller must take the reports.
func (q *reportQueue) begin() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.applying || len(q.order) == 0 {
		return false
	}
	q.applying = true
	return true
}

// stop ends what begin has begun and leaves the reports in the queue.
func (q *reportQueue) stop() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.applying = false
}

// take removes the first report. When there is none it returns false and stops.
func (q *reportQueue) take() (receivedReport, bool) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.order) == 0 {
		q.order, q.applying = nil, false
		return receivedReport{}, false
	}
	first := q.order[0]
	q.order = q.order[1:]
	delete(q.waiting, first.message.Runner)
	return *first, true
}

// receiveReport queues an agent's report.
func (l *leadership) receiveReport(r receivedReport) {
	l.reports.put(r)
	l.applyWaitingReports()
}

// applyWaitingReports applies the queued reports, unless that is being done.
func (l *leadership) applyWaitingReports() {
	if !l.reports.begin() {
		return
	}
	l.spawn(func() {
		for l.applyNextReport() {
		}
		Signal(l.wake)
	})
}

// applyNextReport applies a report and answers it with a lease grant, whose sequence number
// is zero if the lease may not be extended. It returns false when no report can be applied
// now; those that arrive before the records of earlier terms are read, or while the term is to be
// verified, wait for that.
func (l *leadership) applyNextReport() bool {
	r, granted, ok := l.takeReport()
	if !ok {
		return false
	}
	grant := &jayframe.CellLeaseGrant{Term: l.term}
	if granted {
		grant.Sequence = r.message.Sequence
		l.controller.tellEvacuation(grant, r.message.DataCentre)
	}
	if err := r.link.Send(grant); err != nil {
		l.controller.Logger.Debug().Str("event", "link").Str("peer", r.link.Peer()).Err(err).Msg("cannot send a lease grant")
	}
	return true
}

// takeReport applies a report and returns it and whether a lease is granted.
func (l *leadership) takeReport() (r receivedReport, granted, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.loaded || l.termUnverified {
		l.reports.stop()
		return receivedReport{}, false, false
	}
	if r, ok = l.reports.take(); !ok {
		return receivedReport{}, false, false
	}
	l.setCellTime()
	report := decodeReport(r.message)
	report.Connection = r.connection
	return r, l.cell.ApplyReport(report) && l.grant(), true
}

// Counters of reports that asked for a lease.
var (
	leasesGranted = metrics.NewCounter(`jaystile_leases_total{outcome="granted"}`)
	leasesRefused = metrics.NewCounter(`jaystile_leases_total{outcome="not_permitted"}`)
)

// grant reports whether a lease is extended now. The mutex is held.
func (l *leadership) grant() bool {
	if !l.mayGrant() {
		leasesRefused.Inc()
		return false
	}
	leasesGranted.Inc()
	l.lastGrantAt.Store(int64(jayclock.Elapsed()))
	return true
}
