package jaycontroller

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// The electors are the entries of which more than half must follow a leader while the store
// does not serve it. Their record is in the cell's topic. An entry follows one leader at a
// time and never one of a lower term again, so that a leader that is followed by half of the
// electors knows that no earlier one is by more than half. A process does not remember after a
// restart whom it has followed, so that an elector is one life of an entry: the restarted entry
// is another one. Only a leader whose predecessors have ceased to grant leases changes the
// electors, under the condition that its term is the newest.

const (
	// electorsKey names the record of the electors, claimKey that of the newest claim of a term by
	// an entry of this version.
	electorsKey = "electors"
	claimKey    = "claim"
	// electorsInterval is the time between two comparisons of the electors with the entries
	// that follow the leader.
	electorsInterval = time.Second
	// electorTimeout is how long an elector may not follow the leader before it is removed:
	// longer than a restart takes.
	electorTimeout = 10 * time.Second
	// unreadableElector stands for electors that cannot be decoded. It never answers.
	unreadableElector = "unreadable"
	// lifeSeparator separates an entry's address from its incarnation.
	lifeSeparator = "/"
)

// electorsRecord is the stored form of the electors. Earlier versions keep names of entries in
// it, which are no electors for this one and the reverse: each waits for the other's leaders as
// long as for those that it knows nothing of.
type electorsRecord struct {
	_        struct{} `cbor:",toarray"`
	Electors []string
}

func encodeElectors(electors []string) []byte {
	b, err := cbor.Marshal(electorsRecord{Electors: electors})
	if err != nil {
		panic(err)
	}
	return b
}

func decodeElectors(b []byte) ([]string, error) {
	var r electorsRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		return nil, &jaytask.RecordError{What: "electors", Cause: err}
	}
	return r.Electors, nil
}

// claim is the newest claim of a term by an entry of this version. unknownLeaders is set if a
// leader of another version may have led since the electors were stored: they do not count.
type claim struct {
	term           uint64
	unknownLeaders bool
}

// claimRecord is the stored form of a claim.
type claimRecord struct {
	_              struct{} `cbor:",toarray"`
	Term           uint64
	UnknownLeaders bool
}

func (c claim) encode() []byte {
	b, err := cbor.Marshal(claimRecord{Term: c.term, UnknownLeaders: c.unknownLeaders})
	if err != nil {
		panic(err)
	}
	return b
}

func decodeClaim(b []byte) (claim, error) {
	var r claimRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		return claim{}, &jaytask.RecordError{What: "claim", Cause: err}
	}
	return claim{term: r.Term, unknownLeaders: r.UnknownLeaders}, nil
}

// next returns the claim of the term after the given one, which a leader of another version has
// claimed unless this claim is of it.
func (c claim) next(term uint64) claim {
	return claim{term: term + 1, unknownLeaders: term > 0 && (c.unknownLeaders || c.term != term)}
}

// electorID identifies a life of the entry that accepts links at an address.
func electorID(address string, incarnation uint64) string {
	return address + lifeSeparator + strconv.FormatUint(incarnation, 16)
}

// electorAddress returns the address of an elector.
func electorAddress(elector string) string {
	address, _, _ := strings.Cut(elector, lifeSeparator)
	return address
}

// elector returns the present life of this entry.
func (c *Controller) elector() string { return electorID(c.Address, c.Incarnation) }

// followedSince returns the latest time at or after which more than half of the electors have been
// asked and have answered that they follow a leader, by the times of the questions that they have
// answered last.
func followedSince(electors []string, answeredAt map[string]time.Duration) (time.Duration, bool) {
	var all []time.Duration
	for _, e := range electors {
		if at, ok := answeredAt[e]; ok {
			all = append(all, at)
		}
	}
	needed := len(electors)/2 + 1
	if len(all) < needed {
		return 0, false
	}
	slices.Sort(all)
	return all[len(all)-needed], true
}

// excludesMajority reports whether the electors that are not excluded cannot be more than half
// of them.
func excludesMajority(electors []string, excluded func(elector string) bool) bool {
	n := 0
	for _, e := range electors {
		if excluded(e) {
			n++
		}
	}
	return 2*n >= len(electors)
}

func (c *Controller) applyElectors(value []byte) {
	electors, err := decodeElectors(value)
	if err != nil {
		c.Logger.Error().Str("event", "record").Err(err).Msg("invalid electors record: waiting as for electors that are not known")
		electors = []string{unreadableElector}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.electors = electors
}

func (c *Controller) applyClaim(value []byte) {
	newest, err := decodeClaim(value)
	if err != nil {
		c.Logger.Error().Str("event", "record").Err(err).Msg("skipping an invalid claim record")
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.claim = newest
}

// newestClaim returns the newest claim by an entry of this version that this entry knows.
func (c *Controller) newestClaim() claim {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.claim
}

// electorsOf returns the electors that count for the leader of a term, nil if a leader of another
// version may have led since they were stored.
func (c *Controller) electorsOf(term uint64) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.claim != (claim{term: term}) {
		return nil
	}
	return append([]string{}, c.electors...)
}

// unknownIncarnation stands for that of an entry that is known by its address only.
const unknownIncarnation = 0

// expectedElectors returns the known entries, of which none may have followed this one yet.
func (c *Controller) expectedElectors() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var all []string
	for _, address := range c.entryAddresses {
		if address != c.Address {
			all = append(all, electorID(address, unknownIncarnation))
		}
	}
	return all
}

// updateElectors begins to store the entries that follow this leader as the electors. Those that
// do not are kept for electorTimeout, unless another life has taken their address. It is called
// by tick only.
func (l *leadership) updateElectors(ctx context.Context, now time.Duration) {
	if !l.handoverEnded || now-l.electorsCheckedAt < electorsInterval {
		return
	}
	l.electorsCheckedAt = now
	electors := l.controller.electorsOf(l.term)
	wanted := map[string]bool{l.controller.elector(): true}
	kept := electors
	if len(kept) == 0 {
		kept = l.controller.expectedElectors()
	}
	for _, e := range slices.Concat(kept, slices.Collect(maps.Keys(l.followedAt))) {
		if now-max(l.followedAt[e], l.beganAt) < electorTimeout && !l.isReplaced(e) {
			wanted[e] = true
		}
	}
	next := slices.Sorted(maps.Keys(wanted))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.storingElectors || l.nextElectors == nil && slices.Equal(next, electors) {
		return
	}
	// An append without an answer may be executed later, so its electors are sent again until
	// it is known whether they are stored.
	if l.nextElectors == nil {
		l.nextElectors = next
	}
	l.storingElectors = true
	next = l.nextElectors
	l.spawn(func() { l.storeElectors(ctx, next) })
}

// storeElectors stores the electors unless a higher term has begun.
func (l *leadership) storeElectors(ctx context.Context, electors []string) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := l.controller.appendElectors(ctx, l.term, electors)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.storingElectors = false
	if err != nil {
		l.controller.Logger.Warn().Str("event", "electors").Uint64("term", l.term).Err(err).Msg("cannot store the electors; trying again")
		return
	}
	l.nextElectors = nil
	l.controller.Logger.Info().Str("event", "electors").Uint64("term", l.term).Int("entries", len(electors)).Msg("stored the electors")
}

// appendElectors stores the electors, which count from then on. An earlier try without an answer
// may have stored them.
func (c *Controller) appendElectors(ctx context.Context, term uint64, electors []string) error {
	records := []jaystore.Record{{Key: electorsKey, Value: encodeElectors(electors)}, {Key: claimKey, Value: claim{term: term}.encode()}}
	sent, err := c.appendToCell(ctx, term, records, func() bool { return slices.Equal(c.electorsOf(term), electors) })
	if sent && err == nil {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		// The answer may be late: a higher term's leader has stored others since.
		if c.term.number == term {
			c.electors, c.claim = electors, claim{term: term}
		}
	}
	return err
}
