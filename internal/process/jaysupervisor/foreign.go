package jaysupervisor

import (
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
)

// minEarlierAge is how long heartbeats with lower numbers must go on before they are taken for
// the newest ones. Late ones that a cut has held back come at the same time.
const minEarlierAge = 500 * time.Millisecond

// minLifeAge is the same for heartbeats that do not continue those of the life that is known. A
// runner that lives sends a newer one within maxReportDelay.
const minLifeAge = maxReportDelay + minEarlierAge

// earlierHeartbeats are heartbeats of the runner whose numbers are not above that of the newest
// one. A late one comes by itself. If they go on, with rising numbers, the runner sends them, and
// another process has sent the one that counts as the newest.
type earlierHeartbeats struct {
	highest uint64
	// firstAt is when the first of them came, zero if none has.
	firstAt time.Duration
}

// goOn records a heartbeat and reports whether they go on for a time.
func (e *earlierHeartbeats) goOn(sequence uint64, now, minAge time.Duration) bool {
	if e.firstAt == 0 || sequence <= e.highest {
		*e = earlierHeartbeats{highest: sequence, firstAt: now}
		return false
	}
	e.highest = sequence
	return now-e.firstAt >= minAge
}

// isOwn reports whether a heartbeat is about a runner of this service.
func (s *Supervisor) isOwn(h Heartbeat) bool {
	own := s.Service == "" || h.Runner.Service == s.Service
	if !own {
		s.Logger.Warn().Str("event", "runner").Str("runner", h.Runner.ID).Str("service", h.Runner.Service).Msg("ignoring a heartbeat of another service")
	}
	return own
}

// isNewest reports whether a heartbeat of the runner tells more than the newest one so far.
func (s *Supervisor) isNewest(h Heartbeat) bool {
	if h.Sequence > s.sequence {
		return true
	}
	if s.OrdersByHeartbeat && !jaycell.TellsLife(s.runner.ID) {
		// They may be of another life, for which the response must not acknowledge ends.
		return false
	}
	if !s.earlier.goOn(h.Sequence, s.Elapsed(), minEarlierAge) {
		return false
	}
	s.Logger.Warn().Str("event", "runner").Str("runner", h.Runner.ID).Uint64("sequence", h.Sequence).Uint64("was", s.sequence).Msg("the newest heartbeat was not the runner's")
	return true
}
