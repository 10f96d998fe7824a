package jaysupervisor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/jaystile/jaystile/internal/process/jaycell"
	"github.com/jaystile/jaystile/internal/request/jaytask"
)

// sentHeartbeat is a heartbeat that comes at a time, and whether it is believed.
type sentHeartbeat struct {
	at       time.Duration
	sequence uint64
	believed bool
}

// Guards against one report of another writer after which a runner's own ones are ignored, and
// against late reports that are believed.
func TestReportOfAnotherWriterIsBelievedBriefly(t *testing.T) {
	for _, c := range []struct {
		name string
		sent []sentHeartbeat
	}{
		{"number far ahead", []sentHeartbeat{{0, 5, true}, {time.Second, 1000, true}, {1500 * time.Millisecond, 6, false}, {3 * time.Second, 7, true}, {4500 * time.Millisecond, 8, true}}},
		{"number far ahead, twice", []sentHeartbeat{{0, 5, true}, {time.Second, 1000, true}, {1500 * time.Millisecond, 6, false}, {2 * time.Second, 2000, true}, {3 * time.Second, 7, false}, {4500 * time.Millisecond, 8, true}}},
		{"a late one", []sentHeartbeat{{0, 5, true}, {time.Second, 4, false}, {1500 * time.Millisecond, 6, true}, {3 * time.Second, 5, false}, {4500 * time.Millisecond, 7, true}}},
		{"late ones that were held back", []sentHeartbeat{{0, 9, true}, {time.Second, 6, false}, {time.Second, 7, false}, {time.Second, 8, false}, {1500 * time.Millisecond, 10, true}}},
		{"late ones in another order", []sentHeartbeat{{0, 9, true}, {time.Second, 8, false}, {2 * time.Second, 7, false}, {3 * time.Second, 6, false}}},
		{"the same one again", []sentHeartbeat{{0, 9, true}, {time.Second, 9, false}, {2 * time.Second, 9, false}, {3 * time.Second, 9, false}}},
	} {
		for _, byHeartbeat := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				s, now := New(), time.Minute
				s.Client, s.OrdersByHeartbeat = newFakeRunner().client(), byHeartbeat
				s.Elapsed = func() time.Duration { return now }
				s.runner.ID = jaycell.IncarnationID("r1", 7)
				for i, sent := range c.sent {
					now = time.Minute + sent.at
					h := Heartbeat{Sequence: sent.sequence, Runner: jaycell.RunnerInfo{ID: s.runner.ID, Capacity: jaytask.Resources{CPU: i + 1}}}
					if byHeartbeat {
						s.ExchangeHeartbeat(h)
					} else {
						s.HandleHeartbeat(t.Context(), h)
					}
					assert.Equal(t, s.runner.Capacity.CPU == i+1, sent.believed, "heartbeat %d at %s", sent.sequence, sent.at)
				}
			})
		}
	}
}

// Guards against an acknowledgement of a former life in the response to a heartbeat of the next
// one, of a runner that does not tell its lives: its numbers start anew.
func TestNextLifeIsNotTakenForTheRunnerAfterAnotherWriter(t *testing.T) {
	s, now := New(), time.Minute
	s.OrdersByHeartbeat, s.Elapsed = true, func() time.Duration { return now }
	s.runner.ID, s.sequence, s.acknowledged = "r1", 40, 9
	for sequence := range uint64(20) {
		now += 200 * time.Millisecond
		r := s.ExchangeHeartbeat(Heartbeat{Sequence: sequence + 1, Runner: jaycell.RunnerInfo{ID: "r1"}})
		assert.Equal(t, r.Acknowledged, uint64(0), "heartbeat %d", sequence+1)
	}
}
