package jaycontroller

import (
	"time"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const (
	// isolationTimeout is how long the store may have served nothing before a leader that
	// has lost entries counts as cut off from the deployment.
	isolationTimeout = time.Second
	// handoverDelay is how long a leader may grant leases after its successor has begun:
	// until it has noticed that it is cut off, or that it stood still.
	handoverDelay = isolationTimeout + heartbeatInterval
)

// contact is what an entry can reach: the entries that are linked to it while it leads, and
// the store, which last served it at servedAt.
type contact struct {
	entries  int
	servedAt time.Duration
}

// contact returns what this entry can reach now.
func (c *Controller) contact() contact {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	names := map[string]bool{}
	for _, name := range c.peers {
		names[name] = true
	}
	return contact{entries: len(names), servedAt: c.storeTransport.ServedAt()}
}

// isolated reports whether a leader that could reach before, when the store served it, may
// be cut off from the deployment at the given time, so that another entry may lead. While
// the store is away for all there is no other leader: one that has kept half of its entries
// goes on, so that an outage ends no work.
func (now contact) isolated(before contact, others int, at time.Duration) bool {
	if others == 0 || at-now.servedAt < isolationTimeout {
		return false
	}
	return now.entries == 0 || 2*now.entries < before.entries
}

// mayGrant reports whether the leader may extend leases: its successor counts on the end of
// those that it granted before. The mutex is held.
func (l *leadership) mayGrant() bool {
	now := jayclock.Elapsed()
	// The loop has not noticed yet that this process stood still.
	if now-l.lastTick > maxTickGap {
		return false
	}
	return !l.isolated
}

// checkContact notes whether this entry may be cut off.
func (l *leadership) checkContact() {
	now, others, at := l.controller.contact(), len(l.controller.otherEntries()), jayclock.Elapsed()
	l.contactCheckedAt = at
	l.mutex.Lock()
	defer l.mutex.Unlock()
	isolated := now.isolated(l.contact, others, at)
	if at-now.servedAt < isolationTimeout {
		l.contact = now
	}
	if isolated != l.isolated {
		l.isolated = isolated
		l.controller.Logger.Warn().Str("event", "isolation").Uint64("term", l.term).Bool("isolated", isolated).Int("entries", now.entries).Int("entries_before", l.contact.entries).
			Int64("store_age_ms", (at - now.servedAt).Milliseconds()).Msg("leases are granted only while the store or other entries are in reach")
	}
}
