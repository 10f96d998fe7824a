package jaylink

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Of two processes, one that is busy or stopped cannot tell whether the other is silent.
func TestSilenceCountsOnlyWhileThisProcessReads(t *testing.T) {
	const interval, timeout = 250 * time.Millisecond, 800 * time.Millisecond
	cases := []struct {
		name string
		// play makes the calls of one link and returns the time of the last check.
		play   func(s *silence) time.Duration
		silent bool
	}{
		{"peer sends nothing", func(s *silence) time.Duration { return checkUntil(s, 0, 1250*time.Millisecond) }, true},
		{"peer sends but acknowledges nothing", func(s *silence) time.Duration {
			for now := interval; now <= 5*interval; now += interval {
				s.received(now)
				s.handled(now)
				s.check(now)
			}
			return 5 * interval
		}, true},
		{"a frame is being handled for two seconds", func(s *silence) time.Duration {
			s.received(0)
			return checkUntil(s, 0, 2*time.Second)
		}, false},
		{"a frame was handled for two seconds", func(s *silence) time.Duration {
			s.received(0)
			checkUntil(s, 0, 2*time.Second)
			s.handled(2100 * time.Millisecond)
			return 2250 * time.Millisecond
		}, false},
		{"peer sends nothing after a frame that took long", func(s *silence) time.Duration {
			s.received(0)
			checkUntil(s, 0, 2*time.Second)
			s.handled(2 * time.Second)
			return checkUntil(s, 2*time.Second, 3250*time.Millisecond)
		}, true},
		{"this process was suspended for eight seconds", func(s *silence) time.Duration { return checkUntil(s, 0, interval) + 8*time.Second }, false},
		{"peer sends nothing after a suspension", func(s *silence) time.Duration {
			start := checkUntil(s, 0, interval) + 8*time.Second
			s.check(start)
			return checkUntil(s, start, start+1250*time.Millisecond)
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSilence(interval, 0)
			assert.Equal(t, s.check(c.play(s)) > timeout, c.silent)
		})
	}
}

// checkUntil checks once an interval up to, but not at, the end, which it returns.
func checkUntil(s *silence, start, end time.Duration) time.Duration {
	for now := start + s.interval; now < end; now += s.interval {
		s.check(now)
	}
	return end
}
