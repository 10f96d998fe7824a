package jaycontroller

import (
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jayclock"
)

// A leader counts an entry as its follower by the entry's answers alone, each dated by the time
// at which the leader asked. A link that is open tells less: its silence does not count while the
// leader itself stands still, and frames wait in sockets.

const (
	// maxOpenQuestions bounds the questions on one link that wait for an answer.
	maxOpenQuestions = 16
	// silentQuestions is how many questions without any answer tell that an entry does not answer
	// such. At urgentQuestionInterval they take two seconds, in which the link of one that has
	// failed ends.
	silentQuestions = 8
)

var (
	// unaskedAnswers counts answers to questions that were not asked on their link.
	unaskedAnswers = metrics.NewCounter("jaystile_unasked_answers_total")
	// silentEntries counts links to entries that do not tell whom they follow.
	silentEntries = metrics.NewCounter("jaystile_silent_entries_total")
)

// follower is another entry that has opened a link to this one.
type follower struct {
	name    string
	elector string
	// asked holds when the questions were asked that wait for an answer, oldest first.
	asked []time.Duration
	// term is the one that the entry follows by the newest answer, askedAt when the question was
	// asked, zero before the first answer.
	term    uint64
	askedAt time.Duration
	// reported is set once an answer to no question has been logged, silent once it has been logged
	// that no question is answered.
	reported, silent bool
}

// ask notes a question. It reports once that the entry has answered none.
func (f *follower) ask(now time.Duration) bool {
	f.asked = append(f.asked[max(0, len(f.asked)-maxOpenQuestions+1):], now)
	if f.silent || f.askedAt > 0 || len(f.asked) <= silentQuestions {
		return false
	}
	f.silent = true
	return true
}

// askFollowers asks all linked entries whom they follow.
func (c *Controller) askFollowers() {
	now := jayclock.Elapsed()
	var links []*jaylink.Link
	c.mutex.Lock()
	for l, f := range c.peers {
		if f.ask(now) {
			silentEntries.Inc()
			c.Logger.Warn().Str("event", "link").Str("peer", f.name).Str("address", electorAddress(f.elector)).Msg("entry does not tell whom it follows, as earlier versions do not: it counts as no follower")
		}
		links = append(links, l)
	}
	c.mutex.Unlock()
	for _, l := range links {
		if err := l.Send(&jayframe.CellAsk{AskedNanos: int64(now)}); err != nil {
			c.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("cannot ask an entry whom it follows")
		}
	}
}

// isClosing reports whether this process ends. From then on another one may accept links at its
// address, whose answers exclude this life from the electors of earlier leaders.
func (c *Controller) isClosing() bool { return c.ctx != nil && c.ctx.Err() != nil }

// answerWhomItFollows tells a peer the term that this entry follows.
func (c *Controller) answerWhomItFollows(l *jaylink.Link, m *jayframe.CellAsk) {
	if c.isClosing() {
		return
	}
	if err := l.Send(&jayframe.CellFollow{Term: c.Term().number, AskedNanos: m.AskedNanos}); err != nil {
		c.Logger.Debug().Str("event", "link").Str("peer", l.Peer()).Err(err).Msg("cannot answer whom this entry follows")
	}
}

// recordAnswer notes whom a linked entry follows. An answer to a question that was not asked on
// this link is ignored.
func (c *Controller) recordAnswer(l *jaylink.Link, m *jayframe.CellFollow) {
	askedAt := time.Duration(m.AskedNanos)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	f := c.peers[l]
	if f == nil {
		return
	}
	n := slices.Index(f.asked, askedAt)
	if n < 0 {
		unaskedAnswers.Inc()
		if !f.reported && askedAt > f.askedAt {
			f.reported = true
			c.Logger.Warn().Str("event", "link").Str("peer", l.Peer()).Int64("asked_ms", askedAt.Milliseconds()).Msg("ignoring an answer to a question that was not asked")
		}
		return
	}
	f.asked = f.asked[n+1:]
	f.term, f.askedAt = m.Term, askedAt
}

// noteAnswers adds to followedAt and alive what the linked entries have answered. It is called
// by checkStanding only.
func (l *leadership) noteAnswers(now time.Duration) {
	c := l.controller
	if !c.isClosing() {
		l.followedAt[c.elector()], l.alive[c.Address] = now, answer{elector: c.elector(), askedAt: now}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	l.noteSharedAddresses()
	for _, f := range c.peers {
		if f.askedAt < l.beganAt {
			// Before the term began, the electors may have been others.
			continue
		}
		if address := electorAddress(f.elector); f.askedAt > l.alive[address].askedAt {
			l.alive[address] = answer{elector: f.elector, askedAt: f.askedAt}
		}
		if f.term == l.term {
			l.followedAt[f.elector] = max(l.followedAt[f.elector], f.askedAt)
		}
	}
}

// answer is the newest one from an address.
type answer struct {
	elector string
	askedAt time.Duration
}

// isReplaced reports whether another life has answered at the address of an elector, whose
// process has ended: no two accept links at one address, unless entries share it.
func (l *leadership) isReplaced(elector string) bool {
	address := electorAddress(elector)
	newest, ok := l.alive[address]
	return ok && newest.elector != elector && !l.shared[address]
}

// noteSharedAddresses adds the addresses that several entries announce. Lives at such an address do
// not follow each other. The controller's mutex is held.
func (l *leadership) noteSharedAddresses() {
	c := l.controller
	names := map[string]string{c.Address: c.Name}
	note := func(address, name string) {
		if known, ok := names[address]; ok && known != name && !l.shared[address] {
			l.shared[address] = true
			c.Logger.Error().Str("event", "entry").Uint64("term", l.term).Str("address", address).Str("peer", name).Str("other", known).Msg("two entries announce one address: a restart of either excludes no elector")
		}
		names[address] = name
	}
	for name, address := range c.entryAddresses {
		note(address, name)
	}
	for _, f := range c.peers {
		note(electorAddress(f.elector), f.name)
	}
}

// followsNoOther reports whether an elector follows no earlier leader any more.
func (l *leadership) followsNoOther(elector string) bool {
	return l.followedAt[elector] > 0 || l.isReplaced(elector)
}

// countFollowers returns the number of entries that follow this leader by an answer that is not
// older than followTimeout, its own included.
func (l *leadership) countFollowers(now time.Duration) int {
	n := 0
	for _, at := range l.followedAt {
		if now-at <= followTimeout {
			n++
		}
	}
	return n
}
