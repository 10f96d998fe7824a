package jaycontroller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/process/jayadmission"
	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/request/jaytask"
	"github.com/jaystile/jaystile/internal/version/jayconfig"
)

// admissionRoute is a route without an objective, so that any wait refuses its jobs.
var admissionRoute = jayconfig.Route{Name: "r", Host: "host", Prefix: "/r/", Public: true, Service: "s", Priority: 1}

func fullAccount(term, sequence uint64) *jayframe.CellAccount {
	return &jayframe.CellAccount{Term: term, Sequence: sequence, Routes: []jayframe.CellRouteAccount{{Route: "r", Service: "s", Priority: 1, RunTimes: []jayframe.CellRunTimes{{ShortestMillis: 1, LongestMillis: 1}}, WaitMillis: 60_000, Slots: 1}}}
}

func admissionCandidate(id string) jayadmission.Candidate {
	return jayadmission.Candidate{Job: &jaytask.Job{ID: id, Steps: []jaytask.Step{{Count: 1}}, Policy: jaytask.Policy{Route: "r", Service: "s", Priority: 1}}}
}

// Guards against refusals by an account of an earlier leader, an older one, or a stale one.
func TestNewestAccountDecides(t *testing.T) {
	empty := func(term, sequence uint64) *jayframe.CellAccount {
		return &jayframe.CellAccount{Term: term, Sequence: sequence}
	}
	for _, c := range []struct {
		name string
		kept []*jayframe.CellAccount
		term uint64
		age  time.Duration
		want bool
	}{
		{"no account", nil, 0, 0, false},
		{"a fresh account", []*jayframe.CellAccount{fullAccount(1, 1)}, 1, 0, true},
		{"a stale account", []*jayframe.CellAccount{fullAccount(1, 1)}, 1, jayadmission.MaxAge + 1, false},
		{"the leader is gone", []*jayframe.CellAccount{fullAccount(1, 9)}, 2, 0, false},
		{"the new leader has room", []*jayframe.CellAccount{fullAccount(1, 9), empty(2, 1), fullAccount(1, 10)}, 2, 0, false},
		{"the new leader has none", []*jayframe.CellAccount{empty(1, 9), fullAccount(2, 1)}, 2, 0, true},
		{"a late account of the earlier leader", []*jayframe.CellAccount{fullAccount(2, 1), empty(1, 9)}, 2, 0, true},
		{"accounts out of order", []*jayframe.CellAccount{empty(1, 2), fullAccount(1, 1)}, 1, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := newAdmission()
			for _, m := range c.kept {
				a.keep(decodeAccount(m), m.Term, m.Sequence, time.Hour)
			}
			assert.Equal(t, a.decide(admissionCandidate(id), c.term, time.Hour+c.age) != nil, c.want)
		})
	}
}

// Guards against first tries that are kept for ever, or that count against a later job.
func TestFirstTriesAreBounded(t *testing.T) {
	a := newAdmission()
	a.keep(decodeAccount(fullAccount(1, 1)), 1, 1, time.Hour)
	for i := range maxFirstTries + 10 {
		assert.Assert(t, a.decide(admissionCandidate(fmt.Sprint(i)), 1, time.Hour) != nil)
	}
	assert.Equal(t, len(a.firstTries), maxFirstTries)
	assert.Equal(t, a.decide(admissionCandidate("0"), 1, time.Hour+time.Second).Left, -time.Second)
	a.decide(admissionCandidate("0"), 1, time.Hour+firstTryRetention+1)
	assert.Equal(t, len(a.firstTries), 0)
}

// Guards against an entry that refuses although its setting is off, that stores what it
// refuses, or that refuses by an account without a backlog.
func TestSubmitByAccount(t *testing.T) {
	for _, c := range []struct {
		name      string
		admission bool
		accounts  []*jayframe.CellAccount
		want      Outcome
	}{
		{"off", false, []*jayframe.CellAccount{fullAccount(1, 1)}, Accepted},
		{"on", true, []*jayframe.CellAccount{fullAccount(1, 1)}, NotNow},
		{"the backlog has ended", true, []*jayframe.CellAccount{fullAccount(1, 1), {Term: 1, Sequence: 2}}, Accepted},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newCutLeader(t)
			f.records.Store(true)
			c0 := f.controller
			c0.Admission, c0.jobs.recent = c.admission, time.Minute
			c0.config.Store(jayconfig.NewConfig(1, []jayconfig.Route{admissionRoute}, nil, nil, jayconfig.Limits{}))
			for _, m := range c.accounts {
				c0.handleMessage(nil, 0, m)
			}
			response := c0.Submit(t.Context(), Request{Host: "host", Path: "/r/" + id}, func() (*jaytask.Job, error) {
				return &jaytask.Job{Steps: []jaytask.Step{{Count: 1}}}, nil
			})
			assert.Equal(t, response.Outcome, c.want, "%s", response.Reason)
			_, stored := c0.jobs.get(id)
			assert.Equal(t, stored, c.want == Accepted)
			assert.Equal(t, response.RetryAfter > 0, c.want == NotNow)
		})
	}
}

// Guards against a leader that sends accounts without a backlog, or never ends one.
func TestLeaderSendsOneEmptyAccount(t *testing.T) {
	c, l := newLeader(true)
	c.Admission, c.term = true, Term{number: 1}
	l.publishAccount()
	assert.Equal(t, l.accountSequence, uint64(0))
	l.accountEmpty = false
	for range 2 {
		l.accountMadeAt = jayclock.Elapsed() - accountInterval
		l.publishAccount()
		assert.Equal(t, l.accountSequence, uint64(1))
	}
}
