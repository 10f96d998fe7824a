package jaylink

import (
	"sync"
	"time"
)

// maxCheckDelay is the time between two checks, in heartbeat intervals, above which this
// process stood still, or had too little processor time, in between.
const maxCheckDelay = 2

// silence measures how long a peer has been silent. Time in which this process did not
// read does not count: what the peer has sent meanwhile waits in the socket.
type silence struct {
	mutex    sync.Mutex
	interval time.Duration
	// lastRead is when a frame was last received, lastAck when the peer last acknowledged a
	// recent heartbeat; both are moved forward by the time that does not count.
	lastRead time.Duration
	lastAck  time.Duration
	// handling is set while a received frame is being handled, since handlingSince.
	handling      bool
	handlingSince time.Duration
	lastCheck     time.Duration
}

func newSilence(interval, now time.Duration) *silence {
	return &silence{interval: interval, lastRead: now, lastAck: now, lastCheck: now}
}

// received records a frame, which is handled until handled is called.
func (s *silence) received(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastRead = now
	s.handling, s.handlingSince = true, now
}

// acknowledged records that the peer has acknowledged a recent heartbeat.
func (s *silence) acknowledged(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.lastAck = now
}

// handled records that the received frame has been handled.
func (s *silence) handled(now time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.handling = false
	s.discount(now, now-s.handlingSince)
}

// check returns how long nothing was received, or no recent heartbeat was acknowledged,
// whichever is longer. It is called once a heartbeat interval.
func (s *silence) check(now time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if gap := now - s.lastCheck; gap > maxCheckDelay*s.interval {
		s.discount(now, gap-s.interval)
	}
	s.lastCheck = now
	if s.handling {
		now = s.handlingSince
	}
	return max(now-s.lastRead, now-s.lastAck)
}

// discount leaves out a duration that ends now. The mutex is held.
func (s *silence) discount(now, d time.Duration) {
	s.lastRead, s.lastAck = min(s.lastRead+d, now), min(s.lastAck+d, now)
}
