package jaysupervisor

import (
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
	if s.endSeenAt == 0 || requestedAt < s.endSeenAt {
		return false
	}
	for _, r := range l.Running {
		if s.observed[r.Task].run == r.Run {
			return false
		}
	}
	return true
}

// restart begins a life of the runner under its name.
func (s *Supervisor) restart(now time.Duration) {
	s.recordCrash(now)
	h := Heartbeat{Runner: s.runner}
	h.Runner.ID = jaycell.InferredIncarnationID(jaycell.RunnerName(s.runner.ID), time.Now().UnixMilli())
	h.Runner.Draining = false
	s.replaceRunner(h)
	jaycontroller.Signal(s.pollSignal)
}
