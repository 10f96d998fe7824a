package jaycontroller

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// The model plays entries without a network: a store with the cell's topic, processes with
// clocks of their own, and links whose frames may be late. It draws stalls, cuts of one
// direction, restarts, appends that are executed late, and entries of earlier versions. A
// leader that grants leases after a successor counts on their end is an overlap.

const (
	modelStep     = 50 * time.Millisecond
	modelDuration = 2 * time.Minute
	// maxModelEntries bounds the addresses of a model.
	maxModelEntries = 8
	// modelClockDrift is the fraction by which a clock may be slow.
	modelClockDrift = 0.02
)

// The rule of 4dcefe6, which entries of that version keep while others are upgraded.
const (
	formerSilenceTimeout    = 800 * time.Millisecond
	formerHeartbeatInterval = 250 * time.Millisecond
	formerMaxTickGap        = 700 * time.Millisecond
	formerIsolationTimeout  = time.Second
	formerMaxOutage         = 20 * time.Second
	formerHandoverDelay     = formerSilenceTimeout + formerHeartbeatInterval + formerMaxTickGap
)

// modelVersion is the version of a process.
type modelVersion int

const (
	// versionContact grants while half of the entries are linked that were linked when the
	// store last served; it knows no electors (aba48ce).
	versionContact modelVersion = iota
	// versionNames counts the links of electors that are known by their names (4dcefe6).
	versionNames
	// versionLives is the version of the code.
	versionLives
)

// modelRule changes the rule of the entries of versionLives, which is that of the code.
type modelRule struct {
	name string
	// grantsUntil and haveCeased replace the methods of standing and leadership.
	grantsUntil func(s standing) time.Duration
	haveCeased  func(l *modelLeadership, now time.Duration) bool
	// lessDelay is subtracted from handoverDelay.
	lessDelay            time.Duration
	datedByArrival       bool
	restartsKeepElector  bool
	countsOtherAddresses bool
	countsEarlierAnswers bool
	changesEarly         bool
	forgetsAppends       bool
	// endsWithLoop lets a leadership grant leases after its end until its loop notices.
	endsWithLoop bool
	// marksNoTerms stores no claims, which tell whether an earlier version may lead.
	marksNoTerms bool
}

// modelFaults says what a model draws.
type modelFaults struct {
	stalls, restarts, storeCuts, linkCuts, lateFrames, slowClocks bool
	// versions are those of the first entries; a restarted one has one of laterVersions.
	versions, laterVersions []modelVersion
	// judged is the version of which one of two leaders that overlap must be.
	judged modelVersion
	// term is that of the topic at the beginning, which has no electors' record.
	term uint64
}

type modelKind uint8

const (
	modelView modelKind = iota
	modelHeartbeat
	modelFollowing
	modelAsk
	modelFollow
	modelClose
)

type modelFrame struct {
	at            time.Duration
	kind          modelKind
	from          *modelEntry
	link          *modelLink
	term          uint64
	leader        *modelEntry
	stamp         time.Duration
	sequence, ack int
}

// modelSilence is the silence that jaylink measures at one end of a link.
type modelSilence struct{ lastRead, lastAck, lastCheck time.Duration }

func (s *modelSilence) check(now time.Duration) time.Duration {
	if gap := now - s.lastCheck; gap > 2*formerHeartbeatInterval {
		d := gap - formerHeartbeatInterval
		s.lastRead, s.lastAck = min(s.lastRead+d, now), min(s.lastAck+d, now)
	}
	s.lastCheck = now
	return max(now-s.lastRead, now-s.lastAck)
}

// modelEnd is one end of a link.
type modelEnd struct {
	entry          *modelEntry
	open           bool
	silence        modelSilence
	beatAt         time.Duration
	sent, received int
}

type modelLink struct {
	follower, leader modelEnd
	// followedTerm is the term in which the follower has told that it follows the leader.
	followedTerm uint64
	askedAt      time.Duration
}

func (l *modelLink) ends(e *modelEntry) (own, other *modelEnd) {
	if l.follower.entry == e {
		return &l.follower, &l.leader
	}
	return &l.leader, &l.follower
}

// modelTopic is what a read of the cell's topic shows.
type modelTopic struct {
	version int
	term    uint64
	leader  *modelEntry
	// electors are lives or names, nil if there is no record of them.
	electors []string
	// marked is the newest term claimed by an entry of versionLives, unknown is set if an earlier
	// version may have led at that claim.
	marked  uint64
	unknown bool
}

// modelRead is a read of the topic.
type modelRead struct {
	requestedAt       time.Duration
	servedAt, readyAt time.Duration
	served            bool
	topic             modelTopic
}

// modelAppend is an append that is executed if the topic has not changed.
type modelAppend struct {
	entry       *modelEntry
	requestedAt time.Duration
	executeAt   time.Duration
	version     int
	claim       bool
	topic       modelTopic
	answered    bool
}

// modelEntry is a process. What it knows is lost when it ends.
type modelEntry struct {
	id, name  string
	address   int
	version   modelVersion
	ended     bool
	replaceAt time.Duration
	store     bool
	rate      float64
	offset    time.Duration
	// The process stands still until stalledUntil, its readers and its loop until the times
	// after it. Until stallsUntil it stalls once in each stallPeriod.
	stalledUntil, readersUntil, loopUntil, stallsUntil time.Duration
	stallAt, stall, stallPeriod                        time.Duration
	// awakeAt is when the process last ran, on its own clock.
	awakeAt time.Duration

	inbox      []modelFrame
	topic      modelTopic
	topicRead  bool
	readAt     time.Duration
	term       uint64
	leader     *modelEntry
	read       *modelRead
	append     *modelAppend
	link       *modelLink
	links      []*modelLink
	missingAt  time.Duration
	leadership *modelLeadership
	// former leads on after the end of its term, by endsWithLoop.
	former *modelLeadership
}

// modelLeadership is a leadership of the code, of which the rule uses only times and electors.
// seen and what follows is of the earlier versions.
type modelLeadership struct {
	leadership
	electors   []string
	informedAt time.Duration
	lastTick   time.Duration

	seen          map[string]time.Duration
	frozen        bool
	entriesBefore int
}

// modelHandover is the end of a handover: from end on the leader counts on the end of the grants
// of earlier leaders.
type modelHandover struct {
	term    uint64
	version modelVersion
	end     time.Duration
}

type electorsModel struct {
	random  *rand.Rand
	rule    *modelRule
	faults  modelFaults
	now     time.Duration
	rate    float64
	entries []*modelEntry
	lives   uint64
	names   map[string]string
	// cut and heldUntil are of the direction from the first to the second address.
	cut       [maxModelEntries][maxModelEntries]bool
	heldUntil [maxModelEntries][maxModelEntries]time.Duration
	// askInterval is the time between two questions, zero for that of the code.
	askInterval time.Duration
	storeEnd    time.Duration
	topic       modelTopic
	appends     []*modelAppend
	ended       []modelHandover
	overlap     string
	// handovers counts those that ended before maxOutage, outageGrants the steps in which a
	// leader granted leases since a majority followed it.
	handovers, outageGrants int
}

func newElectorsModel(seed uint64, rule *modelRule, faults modelFaults) *electorsModel {
	m := &electorsModel{random: rand.New(rand.NewPCG(seed, 1)), rule: rule, faults: faults, rate: []float64{1, 0.3}[seed%2], names: map[string]string{}}
	m.topic = modelTopic{term: faults.term}
	m.askInterval = []time.Duration{0, modelStep}[seed/8%2]
	for i := range 3 + int(seed/2%4) {
		m.entries = append(m.entries, m.newEntry(i, fmt.Sprint("entry-", i+1), faults.versions[i%len(faults.versions)]))
	}
	return m
}

func (m *electorsModel) newEntry(address int, name string, version modelVersion) *modelEntry {
	m.lives++
	life := m.lives
	if m.rule.restartsKeepElector {
		life = 1
	}
	e := &modelEntry{id: electorID(fmt.Sprint("10.0.0.", address), life), name: name, address: address, version: version, store: true, rate: 1}
	if m.faults.slowClocks {
		e.rate = 1 - modelClockDrift*[]float64{0, 1, m.random.Float64()}[m.random.IntN(3)]
	}
	e.offset = time.Minute + m.upTo(time.Hour)
	m.names[e.id] = name
	return e
}

func (m *electorsModel) laterVersion() modelVersion {
	return m.faults.laterVersions[m.random.IntN(len(m.faults.laterVersions))]
}

func (m *electorsModel) chance(perSecond float64) bool {
	return m.random.Float64() < perSecond*modelStep.Seconds()
}

func (m *electorsModel) upTo(d time.Duration) time.Duration {
	return time.Duration(m.random.Int64N(int64(d)))
}

func (m *electorsModel) between(from, to time.Duration) time.Duration {
	return from + m.upTo(to-from)
}

// any returns an entry, the leader of the newest term as often as all others.
func (m *electorsModel) any() *modelEntry {
	if l := m.topic.leader; l != nil && !l.ended && m.random.IntN(2) == 0 {
		return l
	}
	return m.entries[m.random.IntN(len(m.entries))]
}

// clock returns the time on the entry's own clock.
func (m *electorsModel) clock(e *modelEntry) time.Duration {
	return time.Duration(float64(m.now)*e.rate) + e.offset
}

func (m *electorsModel) reach(a, b *modelEntry) bool {
	return !a.ended && !b.ended && !m.cut[a.address][b.address] && !m.cut[b.address][a.address]
}

func (m *electorsModel) reachesStore(e *modelEntry) bool { return e.store && m.now >= m.storeEnd }

// delay returns how long a frame, or a call to the store, takes.
func (m *electorsModel) delay() time.Duration {
	if m.faults.lateFrames && m.random.IntN(30) == 0 {
		return m.between(200*time.Millisecond, 4*time.Second)
	}
	return time.Duration(m.random.IntN(2)) * m.upTo(2*modelStep)
}

func (m *electorsModel) send(to *modelEntry, f modelFrame) {
	if !to.ended {
		f.at = max(m.now, m.heldUntil[f.from.address][to.address]) + m.delay()
		to.inbox = append(to.inbox, f)
	}
}

func (m *electorsModel) sendView(from, to *modelEntry) {
	m.send(to, modelFrame{kind: modelView, from: from, term: from.term, leader: from.leader})
}

// hold delays all frames in one direction for some time.
func (m *electorsModel) hold(from, to int) {
	m.heldUntil[from][to] = m.now + m.between(200*time.Millisecond, 2*time.Second)
}

// cutLinks cuts the links of two entries in one direction or both, or ends the cut. The follower
// may notice at once.
func (m *electorsModel) cutLinks(a, b *modelEntry) {
	cut := !m.cut[a.address][b.address] && m.random.IntN(2) == 0
	m.cut[a.address][b.address] = cut
	if m.random.IntN(2) == 0 {
		m.cut[b.address][a.address] = cut
	}
	for _, e := range []*modelEntry{a, b} {
		if l := e.link; cut && l != nil && (l.leader.entry == a || l.leader.entry == b) && m.random.IntN(2) == 0 {
			m.closeLink(l, e)
		}
	}
}

// beginStalls makes the process stall again and again, each time too shortly for a leader of
// versionNames to take itself for frozen.
func (m *electorsModel) beginStalls(e *modelEntry) {
	e.stall, e.stallsUntil, e.stallAt = m.between(300*time.Millisecond, 700*time.Millisecond), m.now+m.between(5*time.Second, 30*time.Second), m.now
	e.stallPeriod = min(e.stall+m.between(modelStep, 400*time.Millisecond), formerMaxTickGap)
}

// disruptFormerLeader draws faults of an entry while another one claims the next term.
func (m *electorsModel) disruptFormerLeader(e *modelEntry) {
	if m.faults.storeCuts && m.random.IntN(2) == 0 {
		e.store = false
	}
	if m.faults.linkCuts && m.random.IntN(2) == 0 {
		direction := m.random.IntN(3)
		for a := range maxModelEntries {
			m.cut[a][e.address] = m.cut[a][e.address] || direction != 0
			m.cut[e.address][a] = m.cut[e.address][a] || direction != 1
		}
	}
	if m.faults.lateFrames && m.random.IntN(2) == 0 {
		for a := range maxModelEntries {
			m.hold(a, e.address)
		}
	}
	if m.faults.stalls {
		switch m.random.IntN(4) {
		case 0:
			m.beginStalls(e)
		case 1:
			e.readersUntil = m.now + m.between(300*time.Millisecond, 3*time.Second)
		case 2:
			e.loopUntil = m.now + m.between(300*time.Millisecond, 3*time.Second)
		}
	}
}

// disrupt draws the faults.
func (m *electorsModel) disrupt() {
	n := float64(len(m.entries))
	if m.faults.storeCuts && m.chance(0.12*n*m.rate) {
		e := m.any()
		e.store = !e.store
	}
	if m.faults.storeCuts && m.chance(0.015) {
		m.storeEnd = m.now + m.between(time.Second, 25*time.Second)
	}
	if m.faults.linkCuts && m.chance(0.15*n*m.rate) {
		m.cutLinks(m.any(), m.entries[m.random.IntN(len(m.entries))])
	}
	if m.faults.lateFrames && m.chance(0.1*n*m.rate) {
		m.hold(m.any().address, m.any().address)
	}
	if m.faults.stalls && m.chance(0.04*n*m.rate) {
		e := m.any()
		switch m.random.IntN(6) {
		case 0:
			e.stalledUntil = m.now + m.between(time.Second, 15*time.Second)
		case 1:
			e.readersUntil = m.now + m.between(300*time.Millisecond, 5*time.Second)
		case 2:
			e.loopUntil = m.now + m.between(300*time.Millisecond, 5*time.Second)
		default:
			m.beginStalls(e)
		}
	}
	for i, e := range m.entries {
		if e.stallsUntil > m.now && m.now >= e.stallAt {
			e.stalledUntil, e.stallAt = m.now+e.stall, m.now+e.stallPeriod
		}
		if e.ended && m.now >= e.replaceAt {
			m.entries[i] = m.newEntry(e.address, e.name, m.laterVersion())
			m.entries[i].store = e.store && m.random.IntN(2) == 0
		}
	}
	if m.faults.restarts && m.chance(0.02*n*m.rate) {
		m.endEntry(m.entries[m.random.IntN(len(m.entries))])
	}
	if m.faults.restarts && m.chance(0.015) && len(m.entries) < maxModelEntries {
		name, address := fmt.Sprint("entry-", len(m.entries)+1), len(m.entries)
		if m.random.IntN(2) == 0 {
			// It takes the place of another one, which is still there.
			name = m.entries[m.random.IntN(len(m.entries))].name
		}
		m.entries = append(m.entries, m.newEntry(address, name, m.laterVersion()))
	}
}

// endEntry ends a process. Its machine closes its links, unless it has failed as a whole.
func (m *electorsModel) endEntry(e *modelEntry) {
	if e.ended {
		return
	}
	if m.random.IntN(2) == 0 {
		if e.link != nil {
			m.closeLink(e.link, e)
		}
		for _, l := range e.links {
			m.closeLink(l, e)
		}
	}
	e.ended, e.leadership, e.former, e.inbox, e.replaceAt = true, nil, nil, nil, m.now+m.between(modelStep, 3*time.Second)
}

func (m *electorsModel) closeLink(l *modelLink, e *modelEntry) {
	if own, other := l.ends(e); own.open {
		own.open = false
		m.send(other.entry, modelFrame{kind: modelClose, from: e, link: l})
	}
}

// adopt adopts a higher term. The entry leads it if the topic names it, by a read or an append
// that was requested at knownAt.
func (m *electorsModel) adopt(e *modelEntry, term uint64, leader *modelEntry, topic modelTopic, knownAt time.Duration) {
	if term <= e.term {
		return
	}
	if m.rule.endsWithLoop && e.version == versionLives {
		e.former = e.leadership
	}
	e.term, e.leader, e.leadership, e.missingAt = term, leader, nil, 0
	if e.link != nil {
		m.closeLink(e.link, e)
		e.link = nil
	}
	if leader != e || topic.term != term {
		return
	}
	now := m.clock(e)
	l := &modelLeadership{electors: topic.electors, seen: map[string]time.Duration{}}
	l.term, l.beganAt, l.lastTick, l.standing.termKnownAt = term, now, now, knownAt
	l.followedAt, l.alive = map[string]time.Duration{}, map[string]answer{}
	if !m.rule.marksNoTerms && e.version == versionLives && topic.unknown {
		l.electors = nil
	}
	e.leadership = l
}

func (m *electorsModel) handle(e *modelEntry, f modelFrame) {
	now := m.clock(e)
	if f.kind == modelView {
		if f.leader != e {
			m.adopt(e, f.term, f.leader, modelTopic{}, 0)
		}
		if e.term > f.term {
			m.sendView(e, f.from)
		}
		return
	}
	own, _ := f.link.ends(e)
	if f.kind == modelClose {
		own.open = false
	}
	if !own.open {
		return
	}
	own.silence.lastRead = now
	switch f.kind {
	case modelHeartbeat:
		own.received = f.sequence
		if f.ack+int(formerSilenceTimeout/formerHeartbeatInterval) >= own.sent {
			own.silence.lastAck = now
		}
	case modelFollowing:
		f.link.followedTerm = f.term
	case modelAsk:
		m.adopt(e, f.term, f.leader, modelTopic{}, 0)
		if e.version == versionLives && own.open {
			m.send(f.from, modelFrame{kind: modelFollow, from: e, link: f.link, term: e.term, leader: e.leader, stamp: f.stamp})
		}
	case modelFollow:
		if e.leadership != nil {
			m.noteAnswer(e.leadership, f, now)
		}
		if f.leader != e {
			m.adopt(e, f.term, f.leader, modelTopic{}, 0)
		}
	}
}

// noteAnswer does what recordAnswer and noteAnswers do for one answer.
func (m *electorsModel) noteAnswer(l *modelLeadership, f modelFrame, now time.Duration) {
	elector, askedAt := f.from.id, f.stamp
	if askedAt < l.beganAt && !m.rule.countsEarlierAnswers {
		return
	}
	if address := electorAddress(elector); askedAt > l.alive[address].askedAt || m.rule.countsEarlierAnswers {
		l.alive[address] = answer{elector: elector, askedAt: askedAt}
	}
	if m.rule.datedByArrival {
		askedAt = now
	}
	if f.term == l.term {
		l.followedAt[elector] = max(l.followedAt[elector], askedAt)
	}
}

// checkStanding does what that of the code does, but for termKnownAt.
func (m *electorsModel) checkStanding(e *modelEntry, l *modelLeadership) {
	l.followedAt[e.id] = m.clock(e)
	next := l.nextElectors
	if m.rule.forgetsAppends {
		l.nextElectors = nil
	}
	l.standing.followedSince, l.standing.followed = l.majorityFollowsSince(l.electors)
	l.nextElectors = next
}

// grantsUntil returns when a leadership ceases to extend leases if it learns nothing more.
func (m *electorsModel) grantsUntil(e *modelEntry, l *modelLeadership) time.Duration {
	if e.version != versionLives {
		if l.isolated || l.frozen || m.clock(e)-l.lastTick > formerMaxTickGap {
			return 0
		}
		return m.now + 1
	}
	grantsUntil := standing.grantsUntil
	if m.rule.grantsUntil != nil {
		grantsUntil = m.rule.grantsUntil
	}
	if l == e.former && l.frozen {
		return 0
	}
	return time.Duration(float64(grantsUntil(l.standing)-e.offset) / e.rate)
}

// checkGrants notes an overlap if a leadership may extend leases before the next step although a
// successor counts on their end.
func (m *electorsModel) checkGrants(e *modelEntry, l *modelLeadership) {
	if l == nil {
		return
	}
	for _, h := range m.ended {
		if h.term <= l.term || m.now+modelStep <= h.end || h.version != m.faults.judged && e.version != m.faults.judged {
			continue
		}
		if until := min(m.now+modelStep, m.grantsUntil(e, l)); until > max(m.now, h.end) {
			m.overlap = fmt.Sprintf("%s (version %d) grants leases of term %d at %s, term %d (version %d) counts on their end at %s", e.id, e.version, l.term, until, h.term, h.version, h.end)
			return
		}
	}
}

// tick is a round of the leader's loop.
func (m *electorsModel) tick(e *modelEntry) {
	l, now := e.leadership, m.clock(e)
	if now-l.lastTick > formerMaxTickGap {
		l.frozen = true
	}
	l.lastTick = now
	if now-l.informedAt >= informInterval && now-l.standing.termKnownAt < isolationTimeout {
		l.informedAt = now
		if other := m.entries[m.random.IntN(len(m.entries))]; other != e && other.term < e.term && m.reach(e, other) {
			m.sendView(e, other)
		}
	}
	if e.version != versionLives {
		m.checkFormerStanding(e)
	} else {
		m.checkStanding(e, l)
		if now-l.standing.termKnownAt >= isolationTimeout && m.grantsUntil(e, l) > m.now {
			m.outageGrants++
		}
		m.askFollowers(e)
		if !l.handoverEnded && m.predecessorsHaveCeased(l, now) {
			m.endHandover(e, now-l.beganAt <= maxOutage, handoverDelay-m.rule.lessDelay)
		}
	}
	if l.handoverEnded || e.version == versionLives && m.rule.changesEarly {
		m.changeElectors(e)
	}
}

func (m *electorsModel) predecessorsHaveCeased(l *modelLeadership, now time.Duration) bool {
	if m.rule.haveCeased != nil && m.rule.haveCeased(l, now) {
		return true
	}
	if m.rule.countsOtherAddresses && l.electors != nil {
		lives := map[string]bool{}
		for _, a := range l.alive {
			lives[m.names[a.elector]] = true
		}
		if excludesMajority(l.electors, func(elector string) bool { return lives[m.names[elector]] || l.followsNoOther(elector) }) {
			return true
		}
	}
	return l.predecessorsHaveCeased(l.electors, now)
}

func (m *electorsModel) askFollowers(e *modelEntry) {
	l, now := e.leadership, m.clock(e)
	interval := questionInterval
	if !l.handoverEnded || now-l.standing.termKnownAt > termAgeToAsk {
		interval = urgentQuestionInterval
	}
	if m.askInterval > 0 {
		interval = m.askInterval
	}
	for _, link := range e.links {
		if link.leader.open && now-link.askedAt >= interval {
			link.askedAt = now
			m.send(link.follower.entry, modelFrame{kind: modelAsk, from: e, link: link, term: e.term, leader: e, stamp: now})
		}
	}
}

func (m *electorsModel) endHandover(e *modelEntry, excluded bool, delay time.Duration) {
	e.leadership.handoverEnded = true
	m.ended = append(m.ended, modelHandover{term: e.leadership.term, version: e.version, end: m.now + time.Duration(float64(delay)/e.rate)})
	if !excluded {
		return
	}
	m.handovers++
	if other := m.any(); m.faults.restarts && other != e && m.random.IntN(4) == 0 {
		m.endEntry(other)
	}
}

// checkFormerStanding is the rule of the earlier versions.
func (m *electorsModel) checkFormerStanding(e *modelEntry) {
	l, now := e.leadership, m.clock(e)
	followers, entries := map[string]bool{e.name: true}, 0
	for _, link := range e.links {
		if link.leader.open {
			entries++
			if link.followedTerm == l.term {
				followers[link.follower.entry.name] = true
			}
		}
	}
	termAge := now - l.standing.termKnownAt
	if e.version == versionContact {
		l.isolated = termAge >= formerIsolationTimeout && (entries == 0 || 2*entries < l.entriesBefore)
		if termAge < formerIsolationTimeout {
			l.entriesBefore = entries
		}
		return
	}
	twice := func(electors []string) (following int) {
		for _, name := range electors {
			if followers[name] {
				following += 2
			}
		}
		return following
	}
	majority := twice(l.electors) > len(l.electors) && (l.nextElectors == nil || twice(l.nextElectors) > len(l.nextElectors))
	l.isolated = termAge >= formerIsolationTimeout && (!majority || termAge >= formerMaxOutage)
	if excluded := twice(l.electors) >= len(l.electors); !l.handoverEnded && (excluded || now-l.beganAt > formerMaxOutage) {
		m.endHandover(e, excluded, formerHandoverDelay)
	}
	for name := range followers {
		l.seen[name] = now
	}
}

// changeElectors stores the entries that follow the leader as the electors.
func (m *electorsModel) changeElectors(e *modelEntry) {
	l, now := e.leadership, m.clock(e)
	if now-l.electorsCheckedAt < electorsInterval || e.append != nil || e.version == versionContact || e.topic.term != l.term || !m.reachesStore(e) {
		return
	}
	l.electorsCheckedAt = now
	if l.nextElectors == nil {
		next := m.wantedElectors(e)
		if slices.Equal(next, l.electors) {
			return
		}
		l.nextElectors = next
	}
	topic := e.topic
	topic.electors = l.nextElectors
	if e.version == versionLives {
		topic.marked, topic.unknown = l.term, false
	}
	m.store(e, topic, false)
}

func (m *electorsModel) wantedElectors(e *modelEntry) []string {
	l, now := e.leadership, m.clock(e)
	own, at := e.name, l.seen
	if e.version == versionLives {
		own, at = e.id, l.followedAt
	}
	wanted := map[string]bool{own: true}
	for _, elector := range slices.Concat(l.electors, slices.Collect(maps.Keys(at))) {
		if now-max(at[elector], l.beganAt) < electorTimeout && (e.version != versionLives || !l.isReplaced(elector)) {
			wanted[elector] = true
		}
	}
	return slices.Sorted(maps.Keys(wanted))
}

// store begins an append under the condition that the topic ends where the entry has read to.
func (m *electorsModel) store(e *modelEntry, topic modelTopic, claim bool) {
	a := &modelAppend{entry: e, requestedAt: m.clock(e), executeAt: m.now + m.delay(), version: e.topic.version, claim: claim, topic: topic}
	a.topic.version++
	e.append = a
	m.appends = append(m.appends, a)
}

// claim claims the next term.
func (m *electorsModel) claim(e *modelEntry) {
	next := e.topic
	next.term, next.leader = e.topic.term+1, e
	if e.version == versionLives {
		if next.term == firstTerm {
			next.electors = []string{}
		} else {
			next.unknown = next.unknown || next.marked != e.topic.term
		}
		next.marked = next.term
	}
	m.store(e, next, true)
}

func (m *electorsModel) executeAppends() {
	m.appends = slices.DeleteFunc(m.appends, func(a *modelAppend) bool {
		if m.now < a.executeAt {
			return false
		}
		e := a.entry
		if a.version == m.topic.version {
			if a.claim && m.topic.leader != nil {
				m.disruptFormerLeader(m.topic.leader)
			}
			m.topic = a.topic
			a.answered = m.random.IntN(3) > 0 && m.reachesStore(e)
		} else if e.append == a {
			e.append = nil
		}
		return true
	})
}

// useStore takes the answers of appends and reads the topic.
func (m *electorsModel) useStore(e *modelEntry) {
	now := m.clock(e)
	if a := e.append; a != nil && a.answered {
		e.append = nil
		if a.topic.version > e.topic.version {
			e.topic = a.topic
		}
		if a.claim {
			m.adopt(e, a.topic.term, e, a.topic, a.requestedAt)
		} else if l := e.leadership; l != nil && l.term == a.topic.term {
			l.electors, l.nextElectors = a.topic.electors, nil
		}
	} else if a != nil && now-a.requestedAt > claimTimeout {
		e.append = nil
	}
	if r := e.read; r != nil {
		if m.now >= r.readyAt && r.served {
			e.read = nil
			m.applyRead(e, r)
		} else if now-r.requestedAt > 5*time.Second {
			e.read = nil
		}
	}
	rate := 1.0
	if e.leadership != nil || e.link == nil || !e.topicRead {
		rate = 4
	}
	if e.read == nil && m.reachesStore(e) && m.chance(rate) {
		e.read = &modelRead{requestedAt: now, servedAt: m.now + m.delay()}
		e.read.readyAt = e.read.servedAt + m.delay()
	}
}

func (m *electorsModel) applyRead(e *modelEntry, r *modelRead) {
	t := r.topic
	if t.version < e.topic.version {
		return
	}
	e.topic, e.topicRead, e.readAt = t, true, max(e.readAt, r.requestedAt)
	m.adopt(e, t.term, t.leader, t, r.requestedAt)
	l := e.leadership
	if l == nil || t.term != l.term {
		return
	}
	l.standing.termKnownAt, l.frozen = max(l.standing.termKnownAt, r.requestedAt), false
	if e.version != versionLives || m.rule.marksNoTerms || !t.unknown {
		l.electors = t.electors
	}
	if e.append == nil && slices.Equal(t.electors, l.nextElectors) {
		l.nextElectors = nil
	}
}

// serveReads is the store's part of the reads.
func (m *electorsModel) serveReads() {
	for _, e := range m.entries {
		if r := e.read; r != nil && !r.served && m.now >= r.servedAt {
			if r.served = m.reachesStore(e); r.served {
				r.topic = m.topic
			} else {
				e.read = nil
			}
		}
	}
}

// keepLinks sends heartbeats and closes silent links.
func (m *electorsModel) keepLinks(e *modelEntry) {
	if e.link != nil && !m.keepLink(e.link, e) {
		e.link = nil
	}
	e.links = slices.DeleteFunc(e.links, func(l *modelLink) bool { return !m.keepLink(l, e) })
}

func (m *electorsModel) keepLink(l *modelLink, e *modelEntry) bool {
	now := m.clock(e)
	own, other := l.ends(e)
	if !own.open || now < own.beatAt {
		return own.open
	}
	own.beatAt = now + formerHeartbeatInterval
	if own.silence.check(now) > formerSilenceTimeout {
		m.closeLink(l, e)
		return false
	}
	own.sent++
	m.send(other.entry, modelFrame{kind: modelHeartbeat, from: e, link: l, sequence: own.sent, ack: own.received})
	return true
}

// follow keeps the link to the leader and claims the next term without it.
func (m *electorsModel) follow(e *modelEntry) {
	now, leader := m.clock(e), e.leader
	if e.link != nil {
		e.missingAt = 0
		return
	}
	if leader != nil && leader != e && m.chance(10) && m.reach(e, leader) && m.now >= leader.stalledUntil {
		m.openLink(e, leader)
		return
	}
	if m.chance(2) {
		if other := m.entries[m.random.IntN(len(m.entries))]; other != e && m.reach(e, other) {
			m.sendView(e, other)
		}
	}
	if e.missingAt == 0 {
		e.missingAt = now
	}
	if e.topicRead && e.append == nil && m.reachesStore(e) && now-e.missingAt > minMisses*electionInterval && m.chance(2) && e.topic.term == e.term {
		m.claim(e)
	}
}

func (m *electorsModel) openLink(e, leader *modelEntry) {
	end := func(of *modelEntry) modelEnd {
		at := m.clock(of)
		return modelEnd{entry: of, open: true, beatAt: at, silence: modelSilence{lastRead: at, lastAck: at, lastCheck: at}}
	}
	l := &modelLink{follower: end(e), leader: end(leader)}
	e.link, leader.links = l, append(leader.links, l)
	if e.version != versionLives {
		m.send(leader, modelFrame{kind: modelFollowing, from: e, link: l, term: e.term})
	}
}

func (m *electorsModel) run(e *modelEntry) {
	now := m.clock(e)
	if e.former != nil && now-e.awakeAt > maxPause {
		e.former.frozen = true
	}
	e.awakeAt = now
	m.checkGrants(e, e.leadership)
	if m.now >= e.readersUntil {
		waiting := e.inbox[:0]
		for _, f := range e.inbox {
			if f.at > m.now || m.cut[f.from.address][e.address] {
				waiting = append(waiting, f)
				continue
			}
			m.handle(e, f)
		}
		e.inbox = waiting
		m.useStore(e)
	}
	m.keepLinks(e)
	if m.now >= e.loopUntil {
		m.runLoop(e)
	}
	m.checkGrants(e, e.leadership)
	m.checkGrants(e, e.former)
}

func (m *electorsModel) runLoop(e *modelEntry) {
	if l := e.former; l != nil {
		// Another round begins as often as not, by what the entry knows of the newest term,
		// unless the leader takes itself for frozen.
		l.standing.termKnownAt = max(l.standing.termKnownAt, e.readAt)
		m.checkStanding(e, l)
		if l.frozen || m.random.IntN(2) == 0 {
			e.former = nil
		}
	}
	if e.leadership != nil {
		m.tick(e)
	} else {
		m.follow(e)
	}
}

func (m *electorsModel) step() {
	m.now += modelStep
	m.disrupt()
	m.executeAppends()
	m.serveReads()
	for _, e := range m.entries {
		if !e.ended && m.now >= e.stalledUntil {
			m.run(e)
		}
	}
}

// play plays the model until its end or the first overlap.
func (m *electorsModel) play() {
	for m.now < modelDuration && m.overlap == "" {
		m.step()
	}
}
