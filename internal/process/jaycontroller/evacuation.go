package jaycontroller

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jayevacuation"
	"github.com/jaystile/jaystile/internal/process/jaystore"
)

// evacuatedDataCentres is how many data centres are evacuated as far as this entry knows.
var evacuatedDataCentres = metrics.NewGauge("jaystile_evacuated_data_centres", nil)

// evacuations are the data centres that operators have taken out of service, as of the
// operator's topic.
type evacuations struct {
	mutex    sync.Mutex
	requests *jayevacuation.Requests
	// current is a copy that is read without the mutex.
	current atomic.Pointer[map[string]bool]
	// refreshing is set while the topic is being read again.
	refreshing atomic.Bool
}

// applyEvacuation applies a record of the operator's topic that requests an evacuation, or
// removes one. Other records are ignored.
func (c *Controller) applyEvacuation(key string, removed bool) {
	e := &c.evacuations
	e.mutex.Lock()
	defer e.mutex.Unlock()
	dataCentre, changed := e.requests.Apply(key, removed)
	if !changed {
		return
	}
	current := e.requests.DataCentres()
	e.current.Store(&current)
	evacuatedDataCentres.Set(float64(len(current)))
	line := c.Logger.Warn().Str("event", "evacuation").Str("data_centre", dataCentre).Bool("evacuated", !removed).Int("evacuated_data_centres", len(current))
	if c.Timing.Evacuation == 0 {
		line.Msg("an evacuation was requested or ended, but this deployment has no bound for it: ignored")
		return
	}
	line.Msg("an evacuation was requested or ended")
	if l := c.currentLeadership(); l != nil {
		l.evacuationRequested.Store(l.evacuationRequested.Load() || !removed)
		Signal(l.wake)
	}
}

// logRemainingPool logs what an evacuation leaves of the pool, for operators to see whether the
// guarantees still fit. The leadership's mutex is held, and the cell has applied the evacuation.
func (l *leadership) logRemainingPool() {
	if !l.evacuationRequested.CompareAndSwap(true, false) {
		return
	}
	config := l.controller.config.Load()
	if config == nil {
		return
	}
	left, guaranteed := l.cell.PoolAccelerators(), config.GuaranteedAccelerators()
	line := l.controller.Logger.Info()
	if guaranteed > left {
		line = l.controller.Logger.Warn()
	}
	line.Str("event", "evacuation").Int("accelerators_left", left).Int("accelerators_guaranteed", guaranteed).Bool("guarantees_fit", guaranteed <= left).Msg("what is left of the pool")
}

// replaceOperatorRecords applies the newest records of all keys of the operator's topic. The
// requests that are not among them have been removed.
func (c *Controller) replaceOperatorRecords(all []jaystore.StoredRecord) {
	keys := make([]string, 0, len(all))
	for _, s := range all {
		keys = append(keys, s.Key)
		c.applyOperatorRecord(s)
	}
	c.evacuations.mutex.Lock()
	missing := c.evacuations.requests.Missing(keys)
	c.evacuations.mutex.Unlock()
	for _, key := range missing {
		c.applyEvacuation(key, true)
	}
}

// evacuated returns the check that the cell makes of a runner's data centre, or nil where
// operators take none out of service.
func (c *Controller) evacuated() func(dataCentre string) bool {
	if c.Timing.Evacuation == 0 {
		return nil
	}
	return c.isEvacuated
}

func (c *Controller) isEvacuated(dataCentre string) bool {
	current := c.evacuations.current.Load()
	return current != nil && (*current)[dataCentre]
}

// knowsEvacuations reports whether the view of the evacuations is recent enough to place tasks.
func (c *Controller) knowsEvacuations() bool {
	if c.Timing.Evacuation == 0 {
		return true
	}
	age, complete := c.operatorTail.CompleteAge()
	return complete && age <= jayevacuation.MaxDecisionAge(c.Timing.Evacuation)
}

// knowsEvacuations is Controller.knowsEvacuations, logged when it changes.
func (l *leadership) knowsEvacuations() bool {
	known := l.controller.knowsEvacuations()
	if known == l.evacuationsUnknown {
		l.evacuationsUnknown = !known
		age, _ := l.controller.operatorTail.CompleteAge()
		l.controller.Logger.Warn().Str("event", "evacuation").Uint64("term", l.term).Bool("known", known).Int64("view_age_ms", age.Milliseconds()).Msg("tasks are placed only while the evacuations are known")
	}
	return known
}

// refreshEvacuations reads the operator's topic again if the view of the evacuations is about to
// become too old.
func (c *Controller) refreshEvacuations(ctx context.Context) {
	if c.Timing.Evacuation == 0 {
		return
	}
	if age, complete := c.operatorTail.CompleteAge(); complete && age < jayevacuation.RefreshAge(c.Timing.Evacuation) {
		return
	}
	if !c.evacuations.refreshing.CompareAndSwap(false, true) {
		return
	}
	c.tasks.Go(func() {
		defer c.evacuations.refreshing.Store(false)
		call, cancel := context.WithTimeout(ctx, refreshTimeout)
		defer cancel()
		if err := c.operatorTail.Refresh(call); err != nil {
			c.Logger.Debug().Str("event", "evacuation").Err(err).Msg("cannot read the evacuations again")
		}
	})
}

// tellEvacuation adds to a lease grant what the agent of a data centre may start.
func (c *Controller) tellEvacuation(grant *jayframe.CellLeaseGrant, dataCentre string) {
	if c.Timing.Evacuation == 0 {
		return
	}
	age, complete := c.operatorTail.CompleteAge()
	if !complete {
		return
	}
	grant.EvacuationKnown, grant.Evacuated, grant.ViewAgeMillis = true, c.isEvacuated(dataCentre), age.Milliseconds()+1
}
