package jaycontroller

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// load makes the store reject writes of earlier terms, then reads their records.
// Nothing is scheduled until it returns, so the latency of each of its calls to the
// store delays the takeover.
func (l *leadership) load(ctx context.Context, runs *jaystore.FailoverWriter) error {
	var fenceErr, cellErr error
	var before conc.WaitGroup
	before.Go(func() { fenceErr = runs.Main.FenceLowerTerms(ctx) })
	// Whether an earlier leader has used a standby topic is in the cell's topic.
	before.Go(func() { cellErr = retryRead(ctx, func() error { return l.controller.cellTail.Refresh(ctx) }) })
	before.Wait()
	if err := errors.Join(fenceErr, cellErr); err != nil {
		return err
	}
	open, standby, err := l.fenceStandby(ctx, runs)
	if err != nil {
		return err
	}
	// The job of every run is known: no run has been stored in either topic since the fences, and
	// each job is stored before its runs.
	var records []jaystore.Record
	var found earlierRecords
	var runsErr, jobsErr error
	var wg conc.WaitGroup
	wg.Go(func() {
		runsErr = retryRead(ctx, func() (err error) {
			records, err = l.loadRuns(ctx, runs, open, standby)
			return err
		})
	})
	wg.Go(func() {
		jobsErr = retryRead(ctx, func() error { return l.controller.jobsTail.Refresh(ctx) })
	})
	wg.Wait()
	if err := errors.Join(runsErr, jobsErr); err != nil {
		return err
	}
	for _, r := range records {
		id, isState := strings.CutPrefix(r.Key, jaycell.StateKey(""))
		switch {
		case !isState:
			found.units = append(found.units, r)
		case l.controller.jobs.isStored(id):
			l.controller.jobs.apply(r.Key, r.Value)
			found.states++
		default:
			// An earlier leader has deleted the job, and ended before it deleted the state.
			found.stateDeletions = append(found.stateDeletions, jaycell.Record{Key: r.Key})
		}
	}
	l.logStateDeletions(found.stateDeletions)
	if standby != nil {
		found.standby = open.Topic
	}
	// The reads may have taken long: another entry may lead by now.
	l.checkStanding()
	l.restore(found)
	l.applyWaitingReports()
	return nil
}

// earlierRecords holds what a new leader has read of the records of earlier terms.
type earlierRecords struct {
	units []jaystore.Record
	// states counts the states that were applied; stateDeletions deletes those of unknown jobs.
	states         int
	stateDeletions []jaycell.Record
	// standby is the standby topic that was read, empty if none was open.
	standby string
}

// maxLoggedJobs bounds the jobs that one log line names.
const maxLoggedJobs = 10

// logStateDeletions logs the states that are about to be deleted. A state that is deleted although
// its job is stored lets the job run again, so the line tells how far the jobs were read.
func (l *leadership) logStateDeletions(deletions []jaycell.Record) {
	if len(deletions) == 0 {
		return
	}
	var ids []string
	for _, r := range deletions[:min(len(deletions), maxLoggedJobs)] {
		ids = append(ids, strings.TrimPrefix(r.Key, jaycell.StateKey("")))
	}
	l.controller.Logger.Warn().Str("event", "record").Uint64("term", l.term).Int("states", len(deletions)).Strs("jobs", ids).Uint64("jobs_read_to", l.controller.jobsTail.NextOffset()).
		Str("reason", "the topic of jobs has no record of the job").Msg("deleting states of unknown jobs")
}

// restore passes the jobs and the records of earlier terms to the cell.
func (l *leadership) restore(found earlierRecords) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setCellTime()
	rows := l.controller.jobs.unfinished()
	for _, row := range rows {
		l.cell.Submit(row.spec)
		if row.state == jaytask.Running {
			l.cell.MarkStarted(row.spec.ID)
		}
	}
	for _, r := range found.units {
		if err := l.cell.RestoreUnit(jaycell.Record{Key: r.Key, Value: r.Value}); err != nil {
			l.controller.Logger.Error().Str("event", "record").Err(err).Msg("skipping an invalid unit record")
		}
	}
	// Cancel stops the restored runs, so it comes last.
	for _, row := range rows {
		if row.canceled {
			l.cell.Cancel(row.spec.ID)
		}
	}
	l.stateDeletions = append(l.stateDeletions, found.stateDeletions...)
	l.loaded = true
	l.controller.Logger.Info().Str("event", "term").Uint64("term", l.term).Int("runs", len(found.units)).Int("unfinished_jobs", len(rows)).Int("states", found.states).
		Int("unknown_states", len(found.stateDeletions)).Str("standby", found.standby).Msg("deciding")
}

// retryRead repeats a read until it succeeds or ctx is done.
func retryRead(ctx context.Context, read func() error) error {
	for {
		err := read()
		if err == nil || ctx.Err() != nil {
			return err
		}
		time.Sleep(tickInterval)
	}
}

// storeBatch stores a batch, then sends the orders that depend on it.
func (l *leadership) storeBatch(ctx context.Context, runs *jaystore.FailoverWriter, b *jaycell.Batch) {
	if orders, ok := l.storeAndPublish(ctx, runs, b); ok {
		l.sendOrders(orders)
		Signal(l.wake)
	}
}

// storeAndPublish writes a batch, in one append where it fits, then publishes its states. It returns
// the orders that may be sent, and false if the leadership has ended.
func (l *leadership) storeAndPublish(ctx context.Context, runs *jaystore.FailoverWriter, b *jaycell.Batch) ([]jaycell.Order, bool) {
	l.mutex.Lock()
	stateDeletions := l.stateDeletions
	l.stateDeletions = nil
	l.mutex.Unlock()
	// The ID may have been used again since its job was deleted. That job's state must stay.
	expired := time.Now().Add(-l.controller.Timing.Retention)
	stateDeletions = slices.DeleteFunc(stateDeletions, func(d jaycell.Record) bool {
		isStored := slices.ContainsFunc(b.JobStates, func(s jaycell.Record) bool { return s.Key == d.Key })
		return isStored || l.controller.jobs.hasStateSince(strings.TrimPrefix(d.Key, jaycell.StateKey("")), expired)
	})
	var records []jaystore.Record
	for _, r := range slices.Concat(b.Units, b.JobStates, b.Deletions, stateDeletions) {
		records = append(records, jaystore.Record{Key: r.Key, Value: r.Value})
	}
	err := runs.Write(ctx, records)
	var fenced *jaystore.FencedError
	if errors.As(err, &fenced) {
		l.end("the store has accepted a higher term")
		return nil, false
	}
	var rejected *jaystore.RejectedError
	switch {
	case errors.As(err, &rejected):
		l.applyRejection(b, rejected)
	case err != nil && ctx.Err() == nil:
		l.fail(err)
		return nil, false
	case err != nil:
		// The leadership has ended.
		return nil, false
	}
	orders := l.confirmStored(b, len(records) > 0)
	l.publishStates(b.JobStates)
	return orders, true
}

// applyRejection removes from a batch what depends on records that the store does not accept: their
// states are not shown, and no end is acknowledged that they may have told of. The jobs fail.
func (l *leadership) applyRejection(b *jaycell.Batch, rejected *jaystore.RejectedError) {
	l.controller.Logger.Error().Str("event", "record").Uint64("term", l.term).Int("records", len(rejected.Keys)).Strs("keys", rejected.Keys[:min(len(rejected.Keys), maxLoggedJobs)]).
		Err(rejected.Cause).Msg("the store does not accept records; failing their jobs")
	b.JobStates = slices.DeleteFunc(b.JobStates, func(r jaycell.Record) bool { return slices.Contains(rejected.Keys, r.Key) })
	b.Orders = slices.DeleteFunc(b.Orders, func(o jaycell.Order) bool {
		return o.Kind == jaycell.OrderAcknowledge || o.Kind == jaycell.OrderAcknowledgeCrash
	})
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setCellTime()
	l.cell.RejectRecords(rejected.Keys, rejected.Cause.Error())
}

// confirmStored returns the orders that depend on a batch. They are held back until the term is
// verified if it is not. A batch without records was not written, so that nothing shows that no other
// entry leads: it acknowledges ends only while leases may be granted. Ends that are still listed are
// acknowledged again.
func (l *leadership) confirmStored(b *jaycell.Batch, written bool) []jaycell.Order {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.setCellTime()
	l.writing = false
	orders := l.cell.ConfirmStored(b)
	if !written && !l.mayGrant() {
		orders = slices.DeleteFunc(orders, func(o jaycell.Order) bool { return o.Kind == jaycell.OrderAcknowledge })
	}
	if !l.termVerified() {
		l.heldOrders = append(l.heldOrders, orders...)
		return nil
	}
	return orders
}

// deleteExpiredJobs deletes the records of jobs whose retention has passed, including
// jobs that ended under earlier terms, and of early cancellations.
func (l *leadership) deleteExpiredJobs() {
	var wg conc.WaitGroup
	for _, id := range l.controller.jobs.endedBefore(time.Now().Add(-l.controller.Timing.Retention), maxExpiredPerRound) {
		wg.Go(func() { l.deleteJob(id) })
	}
	wg.Go(l.deleteExpiredEarlyCancels)
	wg.Wait()
}

// deleteJob deletes a job's records, its state last: a job without a state counts as
// new. Deletions for several jobs share appends.
func (l *leadership) deleteJob(id string) {
	deadline := time.Now().Add(maxPutWait)
	for _, key := range []string{jaycell.CancelKey(id), jaycell.JobKey(id)} {
		if err := l.controller.jobsAppender.Put(jaystore.Record{Key: key}, deadline); err != nil {
			l.controller.Logger.Warn().Str("event", "forget").Str("job", id).Err(err).Msg("cannot delete a record of an expired job; trying again later")
			return
		}
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stateDeletions = append(l.stateDeletions, jaycell.Record{Key: jaycell.StateKey(id)})
}

// publishStates applies stored states of jobs and broadcasts them to the other
// entries.
func (l *leadership) publishStates(records []jaycell.Record) {
	for _, r := range records {
		l.controller.jobs.apply(r.Key, r.Value)
	}
	for _, part := range inParts(records, recordBytes) {
		l.controller.broadcast(encodeRecords(part))
	}
}
