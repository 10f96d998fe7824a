package jaycontroller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/jaystile/jaystile/internal/connection/jayframe"
	"github.com/jaystile/jaystile/internal/connection/jaylink"
	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// The electors are the entries of which more than half must follow a leader while the store
// does not serve it. Their names are in the cell's topic. An entry follows one leader at a
// time and never one of a lower term again, so that a leader that is followed by half of the
// electors knows that no earlier one is by more than half. Only a leader that knows that
// changes the electors, under the condition that its term is the newest.

const (
	// electorsKey names the record of the electors.
	electorsKey = "electors"
	// electorsInterval is the time between two comparisons of the electors with the entries
	// that follow the leader.
	electorsInterval = time.Second
	// electorTimeout is how long an elector may not follow the leader before it is removed:
	// longer than a restart takes.
	electorTimeout = 10 * time.Second
)

// electorsRecord is the stored form of the electors.
type electorsRecord struct {
	_     struct{} `cbor:",toarray"`
	Names []string
}

func encodeElectors(names []string) []byte {
	b, err := cbor.Marshal(electorsRecord{Names: names})
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
	return r.Names, nil
}

// majority reports whether more than half of the electors are among the followers.
func majority(electors []string, followers map[string]bool) bool {
	return 2*countFollowing(electors, followers) > len(electors)
}

// excludesMajority reports whether the electors that are not among the followers cannot be
// more than half of them.
func excludesMajority(electors []string, followers map[string]bool) bool {
	return 2*countFollowing(electors, followers) >= len(electors)
}

func countFollowing(electors []string, followers map[string]bool) int {
	n := 0
	for _, name := range electors {
		if followers[name] {
			n++
		}
	}
	return n
}

func (c *Controller) applyElectors(value []byte) {
	names, err := decodeElectors(value)
	if err != nil {
		c.Logger.Error().Str("event", "record").Err(err).Msg("skipping an invalid electors record")
		return
	}
	c.setElectors(names)
}

func (c *Controller) setElectors(names []string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.electors = names
}

func (c *Controller) knownElectors() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.electors
}

// knownNames returns the names of the known entries.
func (c *Controller) knownNames() []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return slices.Collect(maps.Keys(c.entryAddresses))
}

// recordFollower notes the term in which a linked entry follows this one.
func (c *Controller) recordFollower(l *jaylink.Link, m *jayframe.CellView) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if _, ok := c.peers[l]; ok {
		c.followedTerms[l] = m.Term
	}
}

// followers returns the names of the entries that follow this one in a term, its own included.
func (c *Controller) followers(term uint64) map[string]bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	names := map[string]bool{c.Name: true}
	for l, followed := range c.followedTerms {
		if followed == term {
			names[c.peers[l]] = true
		}
	}
	return names
}

// updateElectors begins to store the entries that follow this leader as the electors. It is
// called by tick only.
func (l *leadership) updateElectors(ctx context.Context, followers map[string]bool, at time.Duration) {
	for name := range followers {
		l.followedAt[name] = at
	}
	if !l.handoverEnded || at-l.electorsCheckedAt < electorsInterval {
		return
	}
	l.electorsCheckedAt = at
	wanted := maps.Clone(followers)
	electors := l.controller.knownElectors()
	kept := electors
	if kept == nil {
		kept = l.controller.knownNames()
	}
	for _, name := range kept {
		if at-max(l.followedAt[name], l.beganAt) < electorTimeout {
			wanted[name] = true
		}
	}
	names := slices.Sorted(maps.Keys(wanted))
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.storingElectors || l.nextElectors == nil && slices.Equal(names, electors) {
		return
	}
	// An append without an answer may be executed later, so its names are sent again until
	// it is known whether they are stored.
	if l.nextElectors == nil {
		l.nextElectors = names
	}
	l.storingElectors = true
	names = l.nextElectors
	l.spawn(func() { l.storeElectors(ctx, names) })
}

// storeElectors stores the electors unless a higher term has begun.
func (l *leadership) storeElectors(ctx context.Context, names []string) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := l.controller.appendElectors(ctx, l.term, names)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.storingElectors = false
	if err != nil {
		l.controller.Logger.Warn().Str("event", "electors").Uint64("term", l.term).Err(err).Msg("cannot store the electors; trying again")
		return
	}
	l.nextElectors = nil
	l.controller.Logger.Info().Str("event", "electors").Uint64("term", l.term).Int("entries", len(names)).Msg("stored the electors")
}

// appendElectors stores the electors. An earlier try without an answer may have stored them.
func (c *Controller) appendElectors(ctx context.Context, term uint64, names []string) error {
	record := jaystore.Record{Key: electorsKey, Value: encodeElectors(names)}
	sent, err := c.appendToCell(ctx, term, record, func() bool { return slices.Equal(c.knownElectors(), names) })
	if sent && err == nil {
		c.setElectors(names)
	}
	return err
}
