package jaycontroller

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fxamacker/cbor/v2"

	"github.com/jaystile/jaystile/internal/process/jayclock"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// TermKey names the record of the newest term.
	TermKey = "term"
	// entryPrefix begins the keys of entries' addresses.
	entryPrefix = "entry/"

	// electionInterval is how often an entry checks whether the leader is reachable.
	electionInterval = 100 * time.Millisecond
	// minMisses is how many consecutive checks must find the leader unreachable: the link
	// to it has timed out, and dialing has failed for a third of a second more. Checks
	// that a frozen process skipped do not count.
	minMisses = 3
	// maxMissJitter bounds the random number of further checks, which keeps entries from
	// claiming the term simultaneously.
	maxMissJitter = 2
	// newLeaderMisses is how many more checks an entry waits for a leader to which it has
	// never been linked. One that has just begun reads its records while all entries and
	// agents dial it; claims from it would only repeat that.
	newLeaderMisses = 12
	// weakerEntryMisses is how many more checks an entry waits for one with more than
	// strongerCoreRatio times its cores, which misses the leader at the same time.
	weakerEntryMisses = 5
	strongerCoreRatio = 1.5
	// failedLeaderDelay is how long an entry whose leadership has failed leaves the next
	// terms to others.
	failedLeaderDelay = 5 * time.Second
	// firstTerm is the number of a deployment's first term.
	firstTerm = 1
	// claimTimeout bounds one attempt to claim the term: four responses of a store that
	// takes a hundred times as long as usual.
	claimTimeout = 2500 * time.Millisecond
)

// Term is an election term: its number and its leader.
type Term struct {
	number      uint64
	leader      string
	address     string
	incarnation uint64
}

// termNumber is the newest term that this process knows, for its metrics.
var termNumber atomic.Int64

var _ = metrics.NewGauge("jaystile_term", func() float64 { return float64(termNumber.Load()) })

// termRecord is the stored form of a Term.
type termRecord struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	Leader      string
	Address     string
	Incarnation uint64
}

func (t Term) encode() []byte {
	b, err := cbor.Marshal(termRecord{Number: t.number, Leader: t.leader, Address: t.address, Incarnation: t.incarnation})
	if err != nil {
		panic(err)
	}
	return b
}

// DecodeTerm decodes a term's record.
func DecodeTerm(b []byte) (Term, error) {
	var r termRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Term{}, &jaytask.RecordError{What: "term", Cause: err}
	}
	return Term{number: r.Number, leader: r.Leader, address: r.Address, incarnation: r.Incarnation}, nil
}

// NewTerm returns a term that another process has announced.
func NewTerm(number uint64, leader, address string) Term {
	return Term{number: number, leader: leader, address: address}
}

// Number returns the term's number.
func (t Term) Number() uint64 { return t.number }

// Address returns the address at which the leader accepts links.
func (t Term) Address() string { return t.address }

// runElections claims the next term when the current one has no reachable leader.
func (c *Controller) runElections(ctx context.Context) {
	ticker := time.NewTicker(electionInterval)
	defer ticker.Stop()
	detector := newFailureDetector(minMisses + rand.IntN(maxMissJitter+1))
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.leaderResigned:
		case <-ticker.C:
		}
		t := c.Term()
		detector.deferral, detector.grace = c.electionDeferral(), c.newLeaderGrace()
		if detector.observe(t, c.mayClaimTerm(), c.hasResigned(t.number), t.leader == c.Name || t.number == 0) {
			c.claimTerm(ctx, t)
		}
	}
}

// failureDetector counts consecutive checks that found the leader unreachable.
type failureDetector struct {
	threshold int
	// deferral is the number of further misses to wait for, also when the leader has
	// resigned, so that an entry with more cores can claim the term first.
	deferral int
	// grace is the number of further misses to wait for unless the leader has resigned.
	grace  int
	misses int
	term   uint64
}

func newFailureDetector(threshold int) *failureDetector {
	return &failureDetector{threshold: threshold}
}

// observe records one check and reports whether to claim the term now. The leader of
// a new term gets the full threshold, however the previous term ended. missing reports
// that this entry could lead and has no link to the leader, resigned that the leader
// has resigned. own reports that the leader is an earlier incarnation of this entry, or
// that there was none yet: each miss then counts more.
func (d *failureDetector) observe(t Term, missing, resigned, own bool) bool {
	if !missing || t.number != d.term {
		// Count anew. In a new term, the first miss counts only if its leader has resigned.
		d.misses, d.term = 0, t.number
		if !resigned || !missing {
			return false
		}
	}
	d.misses++
	if own {
		d.misses += minMisses / 2
	}
	if resigned && d.misses <= d.deferral || !resigned && d.misses < d.threshold+d.deferral+d.grace {
		return false
	}
	d.misses = 0
	return true
}

// electionDeferral returns the number of further misses that this entry waits for:
// some while it knows of an entry, other than the leader, with clearly more cores, which
// decisions over a large pool need.
func (c *Controller) electionDeferral() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name, cores := range c.entryCores {
		if name != c.term.leader && cores > strongerCoreRatio*c.Cores {
			return weakerEntryMisses
		}
	}
	return 0
}

// newLeaderGrace returns the number of further misses that this entry waits for because the
// leader may not have accepted its link yet.
func (c *Controller) newLeaderGrace() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.term.number == 0 || c.term.leader == c.Name || c.linkedTerm == c.term.number || c.refusedTerm == c.term.number {
		return 0
	}
	return newLeaderMisses
}

// hasResigned reports whether the leader of a term has resigned.
func (c *Controller) hasResigned(term uint64) bool {
	return term > 0 && term == c.resignedTerm.Load()
}

// mayClaimTerm reports whether this entry is eligible to lead and has no link to the
// leader, or one that was opened again after the leader had resigned.
func (c *Controller) mayClaimTerm() bool {
	// The tail's mutex is locked before the controller's.
	_, loaded := c.cellTail.Age()
	if failedAt := c.leadershipFailedAt.Load(); failedAt > 0 && jayclock.Elapsed()-time.Duration(failedAt) < failedLeaderDelay {
		return false
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return loaded && !c.draining && c.leadership == nil && (c.leaderLink == nil || c.hasResigned(c.term.number))
}

// claimTerm appends the term after the given one, whose leader is missing, at the offset up
// to which this entry has read. Of concurrent attempts one succeeds; a late one fails if
// anybody has written since, and one that finds a newer term leaves it to its leader.
func (c *Controller) claimTerm(ctx context.Context, missing Term) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := c.cellTail.Refresh(ctx); err != nil {
		c.Logger.Warn().Str("event", "term").Err(err).Msg("cannot read the term")
		return
	}
	// Whatever is read after this offset makes the append fail.
	at := c.cellTail.NextOffset()
	if !c.mayClaimTerm() || c.Term().number != missing.number {
		return
	}
	next := Term{number: missing.number + 1, leader: c.Name, address: c.Address, incarnation: c.Incarnation}
	records := []jaystore.Record{{Key: TermKey, Value: next.encode()}, {Key: claimKey, Value: c.newestClaim().next(missing.number).encode()}}
	_, err := c.storeClient.Append(ctx, jaystore.Append{Topic: c.Topics.Cell, Records: records, ExpectedEnd: &at})
	var mismatch *jaystore.EndMismatchError
	switch {
	case err == nil:
		c.setTerm(next)
	case errors.As(err, &mismatch):
		c.Logger.Info().Str("event", "term").Uint64("term", next.number).Msg("another entry has written to the topic first")
	default:
		c.Logger.Warn().Str("event", "term").Uint64("term", next.number).Err(err).Msg("unknown whether the term was claimed; reading it back")
	}
	if err := c.cellTail.Refresh(ctx); err != nil {
		c.Logger.Warn().Str("event", "term").Err(err).Msg("cannot read the term back")
	}
}

// Term returns the newest term that this entry knows.
func (c *Controller) Term() Term {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.term
}

// setTerm adopts a higher term. It ends this entry's leadership of a lower one, and
// begins one if the term names this incarnation as its leader.
func (c *Controller) setTerm(t Term) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if t.number <= c.term.number {
		return
	}
	c.Logger.Info().Str("event", "term").Uint64("term", t.number).Uint64("was", c.term.number).Str("holder", t.leader).Msg("a term has begun")
	c.term = t
	termNumber.Store(int64(t.number))
	if c.leadership != nil && c.leadership.term < t.number {
		c.leadership.end("a higher term has begun")
	}
	if c.leaderLink != nil {
		c.leaderLink.Close("a newer term has begun")
		c.leaderLink = nil
	}
	if t.leader == c.Name && t.incarnation == c.Incarnation && !c.draining {
		c.leadership = newLeadership(c, t.number)
		c.leadership.spawn(c.leadership.run)
	}
	c.termChanged.broadcast()
}

// applyCellRecord applies a record of the cell's topic.
func (c *Controller) applyCellRecord(s jaystore.StoredRecord) {
	switch {
	case s.Key == TermKey && s.Value != nil:
		t, err := DecodeTerm(s.Value)
		if err != nil {
			c.Logger.Error().Str("event", "record").Err(err).Msg("skipping an invalid term record")
			return
		}
		c.setTerm(t)
	case s.Key == standbyKey && s.Value != nil:
		c.applyStandby(s.Value)
	case s.Key == electorsKey && s.Value != nil:
		c.applyElectors(s.Value)
	case s.Key == claimKey && s.Value != nil:
		c.applyClaim(s.Value)
	default:
		name, address, cores, ok := DecodeEntry(s)
		if !ok {
			return
		}
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if address == "" {
			delete(c.entryAddresses, name)
			delete(c.entryCores, name)
			return
		}
		c.entryAddresses[name], c.entryCores[name] = address, cores
	}
}

// encodeEntry returns the record of an entry's address and CPU cores.
func encodeEntry(address string, cores float64) []byte {
	return []byte(address + " " + strconv.FormatFloat(cores, 'g', -1, 64))
}

// DecodeEntry decodes the record of an entry's address and CPU cores; cores is zero
// if unknown. The address is empty when the entry has been removed. ok is false for
// records of other kinds.
func DecodeEntry(s jaystore.StoredRecord) (name, address string, cores float64, ok bool) {
	name, ok = strings.CutPrefix(s.Key, entryPrefix)
	address, coresText, _ := strings.Cut(string(s.Value), " ")
	if n, err := strconv.ParseFloat(coresText, 64); err == nil {
		cores = n
	}
	return name, address, cores, ok && name != ""
}
