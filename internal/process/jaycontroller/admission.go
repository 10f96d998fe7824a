package jaycontroller

import (
	"context"
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jayadmission"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// accountInterval is the least time between two accounts of the backlog.
	accountInterval = 500 * time.Millisecond
	// firstTryRetention is how long the first try of a refused job is remembered: longer
	// than callers repeat a request. A job may reuse the ID of one that was deleted.
	firstTryRetention = time.Minute
	// maxFirstTries bounds the first tries that are remembered, to about 1 MB.
	maxFirstTries = 10_000
	// admissionReadTimeout bounds the read that precedes a refusal, which is to come at once.
	admissionReadTimeout = 200 * time.Millisecond
)

// accountKeptAt is when this process has kept its newest account, zero before the first.
var accountKeptAt atomic.Int64

var _ = metrics.NewGauge("jaystile_backlog_account_age_seconds", func() float64 {
	kept := time.Duration(accountKeptAt.Load())
	if kept == 0 {
		return math.NaN()
	}
	return (jayclock.Elapsed() - kept).Seconds()
})

// firstTry is the first try of a refused job.
type firstTry struct {
	id string
	at time.Duration
}

// admission holds what an entry knows about the backlog.
type admission struct {
	mutex sync.Mutex
	// account is the newest account, by term and sequence, kept at keptAt.
	account  jayadmission.Account
	term     uint64
	sequence uint64
	keptAt   time.Duration
	// firstTries holds the first tries of refused jobs by ID, tries the same in their order.
	firstTries map[string]time.Duration
	tries      []firstTry
}

func newAdmission() *admission { return &admission{firstTries: map[string]time.Duration{}} }

// keep replaces the account by a newer one and returns whether it is one.
func (a *admission) keep(account jayadmission.Account, term, sequence uint64, now time.Duration) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if term < a.term || term == a.term && sequence <= a.sequence {
		return false
	}
	a.account, a.term, a.sequence, a.keptAt = account, term, sequence, now
	return true
}

// decide returns the refusal of a job by the account of the term, or nil. It remembers the
// first try of a job that it refuses.
func (a *admission) decide(x jayadmission.Candidate, term uint64, now time.Duration) *jayadmission.Refusal {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.term != term || a.sequence == 0 {
		return nil
	}
	a.forgetTries(now)
	first, retried := a.firstTries[x.Job.ID]
	if retried {
		x.Waited = now - first
	}
	refusal := a.account.Decide(x, now-a.keptAt)
	if refusal != nil && !retried && len(a.tries) < maxFirstTries {
		a.firstTries[x.Job.ID] = now
		a.tries = append(a.tries, firstTry{id: x.Job.ID, at: now})
	}
	return refusal
}

// forgetTries removes first tries after firstTryRetention. The mutex is held.
func (a *admission) forgetTries(now time.Duration) {
	n := 0
	for n < len(a.tries) && now-a.tries[n].at > firstTryRetention {
		delete(a.firstTries, a.tries[n].id)
		n++
	}
	a.tries = a.tries[n:]
}

// keepAccount keeps an account of a leader unless a newer term has begun.
func (c *Controller) keepAccount(m *jayframe.CellAccount) {
	if m.Term < c.Term().number {
		return
	}
	now := jayclock.Elapsed()
	if c.admission.keep(decodeAccount(m), m.Term, m.Sequence, now) {
		accountKeptAt.Store(int64(now))
	}
}

// refuseForCapacity returns the response that refuses a job which certainly cannot be
// completed in time, or nil. An earlier try may have stored the job through another entry, so
// the store is read first: without its answer nothing is refused.
func (c *Controller) refuseForCapacity(ctx context.Context, spec *jaytask.Job) *Response {
	config := c.config.Load()
	if !c.Admission || config == nil {
		return nil
	}
	x := jayadmission.Candidate{Job: spec, Guaranteed: config.Guaranteed(spec.Policy.Workspace)}
	refusal := c.admission.decide(x, c.Term().number, jayclock.Elapsed())
	if refusal == nil {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, admissionReadTimeout)
	err := c.jobsTail.Refresh(call)
	cancel()
	if err != nil || c.jobs.isStored(spec.ID) {
		return nil
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`jaystile_admission_refusals_total{priority="%d"}`, refusal.Priority)).Inc()
	return &Response{Outcome: NotNow, Reason: refusal.Reason(), RetryAfter: refusal.RetryAfter}
}

// publishAccount makes the account of the backlog when it is due and sends it to this and
// the linked entries. An empty one is sent once, at the end of a backlog.
func (l *leadership) publishAccount() {
	now := jayclock.Elapsed()
	if !l.controller.Admission || now-l.accountMadeAt < accountInterval {
		return
	}
	backlog, ok := l.backlog()
	if !ok {
		return
	}
	l.accountMadeAt = now
	account := backlog.Account()
	empty := len(account.Routes) == 0
	if empty && l.accountEmpty {
		return
	}
	l.accountEmpty = empty
	l.accountSequence++
	m := encodeAccount(account, l.term, l.accountSequence)
	l.controller.keepAccount(m)
	l.controller.broadcast(m)
}

// backlog returns the backlog, which is empty while nothing waits, and whether this entry may
// speak for the term.
func (l *leadership) backlog() (jayadmission.Backlog, bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !l.loaded || l.resigned || l.termUnverified || l.isolated {
		return jayadmission.Backlog{}, false
	}
	backlog, waiting := l.cell.Backlog()
	if !waiting {
		return jayadmission.Backlog{}, true
	}
	return backlog, true
}

func encodeAccount(a jayadmission.Account, term, sequence uint64) *jayframe.CellAccount {
	m := &jayframe.CellAccount{Term: term, Sequence: sequence}
	for _, r := range a.Routes {
		x := jayframe.CellRouteAccount{Route: r.Name, Service: r.Service, Priority: r.Priority, Smallest: encodeResources(r.Smallest), Largest: encodeResources(r.Largest), WaitMillis: r.Wait.Milliseconds(), Slots: r.Slots}
		for _, t := range r.RunTimes {
			x.RunTimes = append(x.RunTimes, jayframe.CellRunTimes{ShortestMillis: t.Shortest.Milliseconds(), LongestMillis: t.Longest.Milliseconds()})
		}
		m.Routes = append(m.Routes, x)
	}
	return m
}

func decodeAccount(m *jayframe.CellAccount) jayadmission.Account {
	var a jayadmission.Account
	for _, x := range m.Routes {
		r := jayadmission.RouteAccount{Wait: time.Duration(x.WaitMillis) * time.Millisecond, Slots: x.Slots, Route: jayadmission.Route{
			Name: x.Route, Service: x.Service, Priority: x.Priority, Smallest: decodeResources(x.Smallest), Largest: decodeResources(x.Largest),
		}}
		for _, t := range x.RunTimes {
			r.RunTimes = append(r.RunTimes, jayadmission.RunTimes{Shortest: time.Duration(t.ShortestMillis) * time.Millisecond, Longest: time.Duration(t.LongestMillis) * time.Millisecond})
		}
		a.Routes = append(a.Routes, r)
	}
	return a
}

func encodeResources(r jaytask.Resources) jayframe.CellResources {
	return jayframe.CellResources{CPU: r.CPU, Memory: r.Memory, Accelerators: r.Accelerators}
}

func decodeResources(r jayframe.CellResources) jaytask.Resources {
	return jaytask.Resources{CPU: r.CPU, Memory: r.Memory, Accelerators: r.Accelerators}
}
