// Package jayevacuation decides where tasks may start while operators take data centres out of
// service. It has no clock and no socket.
//
// An operator's request must be in force everywhere within a bound. The leader knows the
// requests from the store and tells each agent, with every lease grant, whether its data centre
// is evacuated and how old that knowledge is. The agent starts nothing on a statement that may
// be older than the bound allows, whoever has decided the start and however long it has waited.
package jayevacuation

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// startMargin is the part of the bound that is kept for the start itself: a call to the
	// runner beside the agent, which may take 400 ms, and a busy process.
	startMargin = time.Second
	// decisionShare is the share of the bound up to which the leader decides on its own view.
	// The rest covers the way to the agent.
	decisionShare = 0.6
	// refreshShare is the share of the bound after which the leader reads the requests again: a
	// long poll over a dead connection would hide them for seconds.
	refreshShare = 0.45
)

// MaxStatementAge returns how old a statement may be for a start, given the bound.
func MaxStatementAge(bound time.Duration) time.Duration { return max(bound-startMargin, bound/2) }

// MaxDecisionAge returns how old the leader's view may be for a decision.
func MaxDecisionAge(bound time.Duration) time.Duration {
	return time.Duration(decisionShare * float64(bound))
}

// RefreshAge returns the age of the leader's view from which it reads the requests again.
func RefreshAge(bound time.Duration) time.Duration {
	return time.Duration(refreshShare * float64(bound))
}

// Requests holds the evacuated data centres, as of the records that were applied. It is not
// safe for concurrent use.
type Requests struct {
	prefix      string
	dataCentres map[string]bool
}

// NewRequests returns an empty set. The keys of its records begin with the prefix.
func NewRequests(prefix string) *Requests {
	return &Requests{prefix: prefix, dataCentres: map[string]bool{}}
}

// dataCentre returns the data centre that a key names, and false if it names none.
func (r *Requests) dataCentre(key string) (string, bool) {
	name, ok := strings.CutPrefix(key, r.prefix)
	return name, ok && r.prefix != "" && name != ""
}

// Apply applies a record, which requests an evacuation unless it removes the request. It
// returns the data centre if that changes anything.
func (r *Requests) Apply(key string, removed bool) (dataCentre string, changed bool) {
	dataCentre, ok := r.dataCentre(key)
	if !ok || r.dataCentres[dataCentre] == !removed {
		return dataCentre, false
	}
	if removed {
		delete(r.dataCentres, dataCentre)
	} else {
		r.dataCentres[dataCentre] = true
	}
	return dataCentre, true
}

// Missing returns the keys of the requests that are not among the given ones, sorted.
func (r *Requests) Missing(keys []string) []string {
	var all []string
	for _, name := range slices.Sorted(maps.Keys(r.dataCentres)) {
		if !slices.Contains(keys, r.prefix+name) {
			all = append(all, r.prefix+name)
		}
	}
	return all
}

// DataCentres returns a copy of the set.
func (r *Requests) DataCentres() map[string]bool { return maps.Clone(r.dataCentres) }

// Statement is what the leader tells an agent.
type Statement struct {
	// Evacuated reports whether the runner's data centre is evacuated.
	Evacuated bool
	// ViewAge is how long ago the leader's view was known to be complete.
	ViewAge time.Duration
}

// Verdict is what an agent may do with a start.
type Verdict uint8

// The verdicts on a start.
const (
	// Start allows the start.
	Start Verdict = iota + 1
	// Wait holds it back until there is a newer statement.
	Wait
	// Refuse refuses it, so that the leader places the task elsewhere.
	Refuse
)

// Gate decides which starts an agent executes. Times are on the agent's clock. The zero gate of
// a positive bound holds all starts back; that of bound zero allows all. It is not safe for
// concurrent use.
type Gate struct {
	// Bound is the time within which an evacuation must be in force, zero if there are none.
	Bound time.Duration

	known     bool
	evacuated bool
	viewAt    time.Duration
}

// Record applies a statement that answers a report which was sent at the given time. A statement
// on an older view than the last one is dropped: links may deliver them late.
func (g *Gate) Record(s Statement, reportSentAt time.Duration) {
	viewAt := reportSentAt - s.ViewAge
	if g.known && viewAt < g.viewAt {
		return
	}
	g.known, g.evacuated, g.viewAt = true, s.Evacuated, viewAt
}

// Check returns the verdict on a start that begins now.
func (g *Gate) Check(now time.Duration) Verdict {
	switch {
	case g.Bound == 0:
		return Start
	case !g.known || now-g.viewAt > MaxStatementAge(g.Bound):
		return Wait
	case g.evacuated:
		return Refuse
	}
	return Start
}
