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

	"github.com/jaystile/jaystile/internal/process/jaystore"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

const (
	// TermKey names the record of the newest term.
	TermKey = "term"
	// entryPrefix begins the keys of entries' addresses.
	entryPrefix = "entry/"

	// electEvery is how often an entry looks whether the term has a holder.
	electEvery = 100 * time.Millisecond
	// missesBeforeTake is how many looks in a row the holder must be missing: the
	// link to it has been silent for its bound, and dialing failed for a third of a
	// second more. Looks that a frozen process missed do not count.
	missesBeforeTake = 3
	// missesSpread keeps entries from taking the term at once.
	missesSpread = 2
	// weakerMisses is how many looks more an entry leaves the term to a stronger one,
	// which misses the holder at the same time, and strongerBy how many times as
	// much processor that one has.
	weakerMisses = 3
	strongerBy   = 1.5
	// takeTimeout bounds one try to take the term: four answers of a store that
	// takes a hundred times as long as usual.
	takeTimeout = 2500 * time.Millisecond
)

// Term is a term of office: its number and who holds it.
type Term struct {
	number  uint64
	name    string
	address string
	boot    uint64
}

// termNumber is the newest term that this process knows, for its metrics.
var termNumber atomic.Int64

var _ = metrics.NewGauge("jaystile_term", func() float64 { return float64(termNumber.Load()) })

type termRecord struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Name    string
	Address string
	Boot    uint64
}

func (t Term) encode() []byte {
	b, err := cbor.Marshal(termRecord{Number: t.number, Name: t.name, Address: t.address, Boot: t.boot})
	if err != nil {
		panic(err)
	}
	return b
}

// DecodeTerm reads the record of a term.
func DecodeTerm(b []byte) (Term, error) {
	var r termRecord
	if err := cbor.Unmarshal(b, &r); err != nil {
		return Term{}, &jaytask.RecordError{What: "term", Cause: err}
	}
	return Term{number: r.Number, name: r.Name, address: r.Address, boot: r.Boot}, nil
}

// NewTerm returns a term as an entry has told of it.
func NewTerm(number uint64, name, address string) Term {
	return Term{number: number, name: name, address: address}
}

// Number returns the term's number.
func (t Term) Number() uint64 { return t.number }

// Address returns where the holder takes links.
func (t Term) Address() string { return t.address }

// elect takes the term when nobody holds it.
func (h *Controller) elect(ctx context.Context) {
	ticker := time.NewTicker(electEvery)
	defer ticker.Stop()
	v := newVigil(missesBeforeTake + rand.IntN(missesSpread+1))
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.vacant:
		case <-ticker.C:
		}
		t := h.Term()
		v.yield = h.yield()
		resigned := t.number > 0 && t.number == h.resignedTerm.Load()
		if v.look(t, h.mayTake(), resigned, t.name == h.Name || t.number == 0) {
			h.take(ctx)
		}
	}
}

// vigil counts how long the holder of the term has been missing.
type vigil struct {
	patience int
	// yield is how many looks more this entry waits, also for a holder that has
	// resigned, so that a stronger one is first.
	yield  int
	misses int
	term   uint64
}

func newVigil(patience int) *vigil { return &vigil{patience: patience} }

// look notes one look and tells whether to take the term now. A new term's
// holder gets the same patience as any other, however the last one ended. A
// holder that was this entry's earlier life is not waited for as long.
func (v *vigil) look(t Term, missing, resigned, own bool) bool {
	if !missing || t.number != v.term {
		v.misses, v.term = 0, t.number
		if !resigned || !missing {
			return false
		}
	}
	v.misses++
	if own {
		v.misses += missesBeforeTake / 2
	}
	if resigned && v.misses <= v.yield || !resigned && v.misses < v.patience+v.yield {
		return false
	}
	v.misses = 0
	return true
}

// yield returns how many looks this entry leaves the term to others: some, while
// one that is linked has clearly more processor, which a round of decisions over a
// large pool needs.
func (h *Controller) yield() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, name := range h.peers {
		if h.strengths[name] > strongerBy*h.Cores {
			return weakerMisses
		}
	}
	return 0
}

// mayTake reports whether this entry misses the holder of the term.
func (h *Controller) mayTake() bool {
	// The tail's mutex comes before the hub's.
	_, loaded := h.cellTail.Age()
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return loaded && !h.draining && h.lead == nil && h.holder == nil
}

// take tries to write the next term where this entry has read to. Of several
// tries one succeeds, and a late one only if nobody else has written.
func (h *Controller) take(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	if err := h.cellTail.Refresh(ctx); err != nil {
		h.Logger.Warn().Str("event", "term").Err(err).Msg("cannot read the term")
		return
	}
	if !h.mayTake() {
		return
	}
	old := h.Term()
	next := Term{number: old.number + 1, name: h.Name, address: h.Address, boot: h.Incarnation}
	at := h.cellTail.NextOffset()
	_, err := h.client.Append(ctx, jaystore.Append{Topic: h.Topics.Cell, Records: []jaystore.Record{{Key: TermKey, Value: next.encode()}}, ExpectedEnd: &at})
	var moved *jaystore.EndMismatchError
	switch {
	case err == nil:
		h.setTerm(next)
	case errors.As(err, &moved):
		h.Logger.Info().Str("event", "term").Uint64("term", next.number).Msg("another entry has written first")
	default:
		h.Logger.Warn().Str("event", "term").Uint64("term", next.number).Err(err).Msg("unknown whether the term was taken; reading it back")
	}
	if err := h.cellTail.Refresh(ctx); err != nil {
		h.Logger.Warn().Str("event", "term").Err(err).Msg("cannot read the term back")
	}
}

// Term returns the newest term that this entry knows.
func (h *Controller) Term() Term {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.term
}

// setTerm notes a term. A higher one ends this entry's own; one that names this
// life of this entry begins it.
func (h *Controller) setTerm(t Term) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if t.number <= h.term.number {
		return
	}
	h.Logger.Info().Str("event", "term").Uint64("term", t.number).Uint64("was", h.term.number).Str("holder", t.name).Msg("a term has begun")
	h.term = t
	termNumber.Store(int64(t.number))
	if h.lead != nil && h.lead.term < t.number {
		h.lead.end("a higher term has begun")
	}
	if h.holder != nil {
		h.holder.Close("the term is over")
		h.holder = nil
	}
	if t.name == h.Name && t.boot == h.Incarnation && !h.draining {
		h.lead = newLead(h, t.number)
		h.tasks.Go(h.lead.run)
	}
	h.termChanged.broadcast()
}

// applyCell takes a record of the cell's topic.
func (h *Controller) applyCell(s jaystore.StoredRecord) {
	switch {
	case s.Key == TermKey && s.Value != nil:
		t, err := DecodeTerm(s.Value)
		if err != nil {
			h.Logger.Error().Str("event", "record").Err(err).Msg("skipping a term that cannot be read")
			return
		}
		h.setTerm(t)
	default:
		name, address, cores, ok := DecodeEntry(s)
		if !ok {
			return
		}
		h.mutex.Lock()
		defer h.mutex.Unlock()
		if address == "" {
			delete(h.entries, name)
			delete(h.strengths, name)
			return
		}
		h.entries[name], h.strengths[name] = address, cores
	}
}

// entryValue is the record of an entry: its address and its processor, in cores.
func entryValue(address string, cores float64) []byte {
	return []byte(address + " " + strconv.FormatFloat(cores, 'g', -1, 64))
}

// EntryRecord reads a record that tells an entry's address and its processor in
// cores, zero when that is not told. The address is empty when the entry is gone.
func DecodeEntry(s jaystore.StoredRecord) (name, address string, cores float64, ok bool) {
	name, ok = strings.CutPrefix(s.Key, entryPrefix)
	address, told, _ := strings.Cut(string(s.Value), " ")
	if n, err := strconv.ParseFloat(told, 64); err == nil {
		cores = n
	}
	return name, address, cores, ok && name != ""
}
