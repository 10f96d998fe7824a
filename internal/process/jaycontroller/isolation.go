package jaycontroller

import (
	"context"
	"time"

	"github.com/jaystile/jaystile/internal/process/jayclock"
)

const (
	// isolationTimeout is how long after a read of the newest term a leader may grant leases by
	// that read, followTimeout how long after a question that a majority of the electors has
	// answered.
	isolationTimeout = time.Second
	followTimeout    = time.Second
	// maxOutage is how long a leader may grant leases without knowing that its term is the
	// newest. A successor that cannot exclude half of the electors waits outageWait: a leader of
	// the version before may notice the end up to maxPause late.
	maxOutage  = 20 * time.Second
	outageWait = maxOutage + maxPause
	// handoverDelay is how long a leader may grant leases after its successor has begun and half
	// of the electors have ceased to follow it. The margin is for clocks of different speed.
	handoverDelay = max(isolationTimeout, followTimeout) + clockMargin
	clockMargin   = followTimeout / 20
	// questionInterval is the time between two questions to the entries, urgentQuestionInterval
	// while a permission or a handover depends on their answers: until the handover has ended, and
	// from termAgeToAsk after the last read of the newest term, which may wait leaderTermPollWait.
	questionInterval       = electorsInterval
	urgentQuestionInterval = heartbeatInterval
	termAgeToAsk           = isolationTimeout / 2
)

// standing is what a leader knows about its own term. Its times are those at which it has asked,
// on its own clock.
type standing struct {
	// termKnownAt is when the read was requested that told last that the term is the newest one.
	termKnownAt time.Duration
	// followedSince is when more than half of the electors were asked that have answered that
	// they follow this leader; followed is not set if there are none.
	followedSince time.Duration
	followed      bool
}

// grantsUntil returns until when the leader may grant leases: its successor counts on the end of
// those that it granted before. While the store is away for all there is no successor: a leader
// with a majority goes on, so that an outage of up to maxOutage ends no work.
func (s standing) grantsUntil() time.Duration {
	until := s.termKnownAt + isolationTimeout
	if s.followed {
		until = max(until, min(s.followedSince+followTimeout, s.termKnownAt+maxOutage))
	}
	return until
}

// mayGrant reports whether the leader may extend leases now. The mutex is held.
func (l *leadership) mayGrant() bool {
	// Reports reach the leadership until its loop has returned, and the read that shows a higher
	// term is a read of the newest one: whether the leadership has ended is looked at after the reads.
	s := l.standing
	s.termKnownAt = max(s.termKnownAt, time.Duration(l.termReadAt.Load()))
	if l.hasEnded() || !l.termVerified() {
		return false
	}
	return jayclock.Elapsed() < s.grantsUntil()
}

// noteTermReads keeps when the newest term was read last until ctx is done. A round of decisions may take
// longer than a read permits to grant leases, and checkStanding waits for it.
func (l *leadership) noteTermReads(ctx context.Context) {
	for jayclock.Sleep(ctx, tickInterval) {
		if readAt, complete := l.controller.cellTail.CompleteAt(); complete {
			l.termReadAt.Store(int64(readAt))
		}
	}
}

// majorityFollowsSince is followedSince for the electors in force, also those that may be by now.
// The mutex is held.
func (l *leadership) majorityFollowsSince(electors []string) (time.Duration, bool) {
	since, ok := followedSince(electors, l.followedAt)
	if l.nextElectors == nil {
		return since, ok
	}
	next, nextOK := followedSince(l.nextElectors, l.followedAt)
	return min(since, next), ok && nextOK
}

// checkStanding notes until when this leader may grant leases, and whether earlier leaders may
// still do. It returns the time for which that holds. It is called by load before tick is, and by
// tick.
func (l *leadership) checkStanding() time.Duration {
	c := l.controller
	readAt, complete := c.cellTail.CompleteAt()
	electors := c.electorsOf(l.term)
	l.noteAnswers(jayclock.Elapsed())
	// A successor's wait begins after the answers that it counts on.
	now := jayclock.Elapsed()
	l.standingCheckedAt = now
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if complete {
		l.standing.termKnownAt = max(l.standing.termKnownAt, readAt)
	}
	l.standing.followedSince, l.standing.followed = l.majorityFollowsSince(electors)
	l.logIsolation(now, len(electors))
	if !l.handoverEnded && l.predecessorsHaveCeased(electors, now) {
		l.handoverEnded = true
		l.cell.EndHandover(now + handoverDelay)
		c.Logger.Info().Str("event", "handover").Uint64("term", l.term).Int("followers", l.countFollowers(now)).Int("electors", len(electors)).Int64("took_ms", (now - l.beganAt).Milliseconds()).Msg("earlier leaders grant no more leases")
	}
	return now
}

// predecessorsHaveCeased reports whether no earlier leader grants leases, but for handoverDelay. The
// electors are nil if a leader of another version may grant them.
func (l *leadership) predecessorsHaveCeased(electors []string, now time.Duration) bool {
	if now-l.beganAt > outageWait || l.term == firstTerm {
		return true
	}
	return electors != nil && excludesMajority(electors, l.followsNoOther)
}

// logIsolation logs when the permission to grant leases has ended or is back. The mutex is held.
func (l *leadership) logIsolation(now time.Duration, electors int) {
	until := l.standing.grantsUntil()
	isolated := now >= until
	if isolated == l.isolated {
		return
	}
	l.isolated = isolated
	l.controller.Logger.Warn().Str("event", "isolation").Uint64("term", l.term).Bool("isolated", isolated).Int("followers", l.countFollowers(now)).Int("electors", electors).
		Int64("term_age_ms", (now-l.standing.termKnownAt).Milliseconds()).Int64("grants_left_ms", (until - now).Milliseconds()).Msg("leases are granted only while the store or a majority of the electors is in reach")
}

// askFollowers asks the entries whom they follow: more often while something depends on it, and
// once an entry has opened a link. It is called by tick only.
func (l *leadership) askFollowers(now time.Duration) {
	interval := questionInterval
	l.mutex.Lock()
	if !l.handoverEnded || now-l.standing.termKnownAt > termAgeToAsk {
		interval = urgentQuestionInterval
	}
	l.mutex.Unlock()
	if l.entryLinked.Swap(false) || now-l.askedAt >= interval {
		l.askedAt = now
		l.controller.askFollowers()
	}
}
