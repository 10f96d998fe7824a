package jaycontroller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	modelStep = 100 * time.Millisecond
	// modelLag bounds how late an entry notices that a link is dead, or reads the store.
	modelLag = silenceTimeout + heartbeatInterval
	// modelLookInterval is how late a leader looks at its standing.
	modelLookInterval = maxTickGap
)

// modelEntry is an entry of the model. What it knows is lost when it restarts.
type modelEntry struct {
	name     string
	life     uint64
	store    bool
	term     uint64
	leader   *modelEntry
	electors []string
	// contactAt is when it last heard of its leader, readAt when it last read the store.
	contactAt, readAt time.Duration
	// The rest is of its leadership of term, if any: followedAt holds by elector when it answered
	// last that it follows this leader, alive by name the elector that answered last. checkedAt is
	// when the leader last looked at its standing.
	leads      bool
	beganAt    time.Duration
	checkedAt  time.Duration
	standing   standing
	followedAt map[string]time.Duration
	alive      map[string]string
	ended      bool
	next       []string
}

func (e *modelEntry) elector() string { return electorID(e.name, e.life) }

// excludes reports whether an elector follows no earlier leader than this one.
func (e *modelEntry) excludes(elector string) bool {
	_, follows := e.followedAt[elector]
	newest, ok := e.alive[electorAddress(elector)]
	return follows || ok && newest != elector
}

// electorsModel is a store, entries, and links between those that are not cut.
type electorsModel struct {
	random *rand.Rand
	// rate is how often disruptions come and go, relative to the usual.
	rate     float64
	now      time.Duration
	entries  []*modelEntry
	cut      map[[2]*modelEntry]bool
	term     uint64
	leader   *modelEntry
	electors []string
	// version counts the changes of the topic, late is an append under the condition of lateAt.
	version, lateAt int
	late            []string
	// grantsEnd holds by term when the grants of all earlier terms must have ended.
	grantsEnd map[uint64]time.Duration
	overlaps  []string
	handovers int
}

func (m *electorsModel) chance(perSecond float64) bool {
	return m.random.Float64() < perSecond*modelStep.Seconds()
}

func (m *electorsModel) reach(a, b *modelEntry) bool {
	return !m.cut[[2]*modelEntry{a, b}] && !m.cut[[2]*modelEntry{b, a}]
}

func (e *modelEntry) adopt(term uint64, leader *modelEntry, at time.Duration) {
	if term > e.term {
		e.term, e.leader, e.leads, e.contactAt = term, leader, false, at
	}
}

func (m *electorsModel) disrupt() {
	for _, e := range m.entries {
		if m.chance(0.08 * m.rate) {
			e.store = !e.store
		}
		if m.chance(0.02 * m.rate) {
			*e = modelEntry{name: e.name, life: e.life + 1, store: e.store}
		}
		for _, other := range m.entries {
			if other != e && m.chance(0.05*m.rate) {
				pair := [2]*modelEntry{e, other}
				m.cut[pair] = !m.cut[pair]
			}
		}
	}
	if m.chance(0.01) && len(m.entries) < 7 {
		m.entries = append(m.entries, &modelEntry{name: fmt.Sprint("entry-", len(m.entries)+1), store: true})
	}
}

// follow reads the store, keeps the link to the leader and claims the next term without it.
func (m *electorsModel) follow(e *modelEntry) {
	if e.store && m.chance(7) {
		e.adopt(m.term, m.leader, m.now)
		e.electors, e.readAt = m.electors, m.now
	}
	if e.leads {
		return
	}
	if l := e.leader; l != nil && l.leads && l.term == e.term && m.reach(e, l) {
		e.contactAt, l.followedAt[e.elector()], l.alive[e.name] = m.now, m.now, e.elector()
		return
	}
	if e.store && e.readAt > 0 && m.now-e.contactAt > modelLag+minMisses*electionInterval && m.chance(3) && e.term == m.term {
		m.term, m.leader, m.version = m.term+1, e, m.version+1
		if m.term == firstTerm {
			m.electors = []string{}
		}
		*e = modelEntry{name: e.name, life: e.life, store: true, term: m.term, leader: e, electors: m.electors, readAt: m.now, leads: true, beganAt: m.now, followedAt: map[string]time.Duration{}, alive: map[string]string{}}
	}
}

func (m *electorsModel) lead(e *modelEntry) {
	if m.now < e.standing.grantsUntil() {
		for term, end := range m.grantsEnd {
			if term > e.term && m.now > end {
				m.overlaps = append(m.overlaps, fmt.Sprintf("%s grants leases of term %d at %s, term %d counts on their end at %s", e.name, e.term, m.now, term, end))
			}
		}
	}
	if m.now-e.checkedAt < modelLookInterval && !m.chance(3) {
		return
	}
	e.checkedAt, e.followedAt[e.elector()], e.alive[e.name] = m.now, m.now, e.elector()
	l := leadership{nextElectors: e.next, followedAt: e.followedAt}
	e.standing.termKnownAt = e.readAt
	e.standing.followedSince, e.standing.followed = l.majorityFollowsSince(e.electors)
	if !e.ended && (e.term == firstTerm || e.electors != nil && excludesMajority(e.electors, e.excludes) || m.now-e.beganAt > maxOutage) {
		e.ended = true
		m.handovers++
		m.grantsEnd[e.term] = m.now + handoverDelay
	}
	if e.store && m.now-e.readAt < isolationTimeout {
		for _, other := range m.entries {
			if other.term < e.term && m.reach(e, other) && m.chance(1) {
				other.adopt(e.term, e, m.now)
			}
		}
	}
	if e.ended && e.store && m.term == e.term && m.chance(1) {
		m.changeElectors(e)
	}
}

func (m *electorsModel) changeElectors(e *modelEntry) {
	if e.next == nil {
		e.next = []string{}
		for elector, at := range e.followedAt {
			if m.now-at < electorTimeout && e.alive[electorAddress(elector)] == elector {
				e.next = append(e.next, elector)
			}
		}
		slices.Sort(e.next)
	}
	if slices.Equal(m.electors, e.next) {
		e.electors, e.next = m.electors, nil
		return
	}
	if m.random.IntN(3) == 0 {
		// No answer; the append may be executed later.
		m.late, m.lateAt = e.next, m.version
		return
	}
	m.electors, m.version = e.next, m.version+1
	e.electors, e.next = m.electors, nil
}

func (m *electorsModel) step() {
	m.now += modelStep
	m.disrupt()
	if m.late != nil && m.chance(1) {
		if m.lateAt == m.version {
			m.electors, m.version = m.late, m.version+1
		}
		m.late = nil
	}
	for _, e := range m.entries {
		m.follow(e)
	}
	for _, e := range m.entries {
		if e.leads {
			m.lead(e)
		}
	}
}

// Guards against a leader that grants leases after a successor counts on their end: under cuts
// between entries and from the store, restarts, new entries and appends without an answer.
func TestGrantsOfTwoLeadersNeverOverlap(t *testing.T) {
	handovers := 0
	for seed := range uint64(1000) {
		m := &electorsModel{random: rand.New(rand.NewPCG(seed, 1)), rate: []float64{1, 0.2}[seed%2], cut: map[[2]*modelEntry]bool{}, grantsEnd: map[uint64]time.Duration{}}
		for i := range 3 + int(seed%3) {
			m.entries = append(m.entries, &modelEntry{name: fmt.Sprint("entry-", i+1), store: true})
		}
		for range int(2 * time.Minute / modelStep) {
			m.step()
		}
		assert.Equal(t, len(m.overlaps), 0, "seed %d: %s", seed, m.overlaps)
		handovers += m.handovers
	}
	assert.Assert(t, handovers > 400, "%d handovers: too few to show anything", handovers)
}
