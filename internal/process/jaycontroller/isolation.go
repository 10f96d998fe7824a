package jaycontroller

import (
	"time"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const (
	// isolationTimeout is how long ago a leader may have known that its term is the newest
	// before it needs a majority of the electors to grant leases.
	isolationTimeout = time.Second
	// handoverDelay is how long a leader may grant leases after its successor has begun and
	// half of the electors have ceased to follow it: until their links count as silent, which
	// takes longer than isolationTimeout, and the leader has looked, or counts as frozen.
	handoverDelay = silenceTimeout + heartbeatInterval + maxTickGap
	// maxOutage is how long a leader may grant leases without knowing that its term is the
	// newest. A successor that half of the electors do not follow waits as long.
	maxOutage = 20 * time.Second
)

// standing is what a leader knows about its own term.
type standing struct {
	// termAge is the time since this term was known to be the newest one.
	termAge time.Duration
	// majority is set while more than half of the electors follow this leader.
	majority bool
}

// isolated reports whether a successor may count on the end of this leader's grants. While the
// store is away for all there is none: a leader with a majority goes on, so that an outage of
// up to maxOutage ends no work.
func (s standing) isolated() bool {
	return s.termAge >= isolationTimeout && (!s.majority || s.termAge >= maxOutage)
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

// hasMajority reports whether more than half of the electors follow this leader, also of those
// that may be in force by now. The mutex is held.
func (l *leadership) hasMajority(electors []string, followers map[string]bool) bool {
	return majority(electors, followers) && (l.nextElectors == nil || majority(l.nextElectors, followers))
}

// checkStanding notes whether this leader may have a successor, and whether earlier leaders may
// still grant leases. It returns the entries that follow this one.
func (l *leadership) checkStanding() (followers map[string]bool, at time.Duration) {
	c := l.controller
	followers, electors := c.followers(l.term), c.knownElectors()
	age, complete := c.cellTail.CompleteAge()
	at = jayclock.Elapsed()
	l.standingCheckedAt = at
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if complete {
		l.termKnownAt = max(l.termKnownAt, at-age)
	}
	now := standing{termAge: at - l.termKnownAt, majority: l.hasMajority(electors, followers)}
	if isolated := now.isolated(); isolated != l.isolated {
		l.isolated = isolated
		c.Logger.Warn().Str("event", "isolation").Uint64("term", l.term).Bool("isolated", isolated).Int("followers", len(followers)).Int("electors", len(electors)).
			Int64("term_age_ms", now.termAge.Milliseconds()).Msg("leases are granted only while the store or a majority of the electors is in reach")
	}
	if !l.handoverEnded && (excludesMajority(electors, followers) || at-l.beganAt > maxOutage) {
		l.handoverEnded = true
		l.cell.EndHandover(at + handoverDelay)
		c.Logger.Info().Str("event", "handover").Uint64("term", l.term).Int("followers", len(followers)).Int("electors", len(electors)).Int64("took_ms", (at - l.beganAt).Milliseconds()).Msg("earlier leaders grant no more leases")
	}
	return followers, at
}
