package jaysupervisor

import (
	"slices"
	"time"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/process/jaycontroller"
)

// presentLife returns the incarnation that a runner means by an ID that does not tell its
// life: the present one, if it has that name.
func (s *Supervisor) presentLife(id string) string {
	if !jaycell.TellsLife(s.runner.ID) && jaycell.RunnerName(s.runner.ID) == id {
		return s.runner.ID
	}
	return id
}

// hasRestarted reports whether a listing comes from another life than the one that is known,
// of a runner that does not tell its lives: its clock has gone back, or nothing listened at its
// address meanwhile and it lists none of the runs that it had.
func (s *Supervisor) hasRestarted(l Listing, requestedAt time.Duration) bool {
	if jaycell.TellsLife(s.runner.ID) || s.deregistered {
		return false
	}
	if s.runnerClockKnown && requestedAt >= s.runnerClockReadAt && l.Clock > 0 && l.Clock < s.runnerClock {
		return true
	}
	return s.endSeenAt > 0 && requestedAt >= s.endSeenAt && !s.listsKnownRun(l)
}

func (s *Supervisor) listsKnownRun(l Listing) bool {
	return slices.ContainsFunc(l.Running, func(r jaycell.Run) bool { return s.observed[r.Task].run == r.Run })
}

// isEarlier reports whether a heartbeat with a listing is from before the newest one, by its clock:
// a late one, or one of another life of a runner that does not tell its lives.
func (s *Supervisor) isEarlier(h Heartbeat) bool {
	return s.runner.ID == h.Runner.ID && !jaycell.TellsLife(s.runner.ID) && s.runnerClockKnown && h.Listing.Clock > 0 && h.Listing.Clock < s.runnerClock
}

// restart begins a life of the runner under its name.
func (s *Supervisor) restart(now time.Duration, h Heartbeat) {
	s.recordCrash(now)
	h.Runner.ID = jaycell.InferredIncarnationID(jaycell.RunnerName(s.runner.ID), time.Now().UnixMilli())
	s.replaceRunner(h)
	jaycontroller.Signal(s.pollSignal)
}
