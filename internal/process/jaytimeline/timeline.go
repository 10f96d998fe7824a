// Package jaytimeline keeps each process's recent events. Their hybrid logical
// timestamps allow the events of all processes to be merged in causal order.
package jaytimeline

import (
	"sort"
	"sync"
	"time"
)

const (
	logicalBits = 16
	// maxEvents is the number of events that a Recorder keeps.
	maxEvents = 16384
)

// Time is a timestamp of a hybrid logical clock: milliseconds of wall time above
// sixteen logical bits. Source: S. Kulkarni et al., Logical Physical Clocks,
// 2014.
type Time uint64

// Wall returns the wall time of the timestamp.
func (t Time) Wall() time.Time { return time.UnixMilli(int64(t >> logicalBits)) }

// Clock is a hybrid logical clock.
type Clock struct {
	mutex sync.Mutex
	last  Time
}

// Now returns a timestamp later than all previous and observed ones.
func (c *Clock) Now() Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wall := Time(time.Now().UnixMilli()) << logicalBits
	c.last = max(wall, c.last+1)
	return c.last
}

// Observe makes later timestamps follow one received from another process.
func (c *Clock) Observe(t Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last = max(c.last, t)
}

// Name identifies the kind of an event.
type Name string

// The kinds of events. In their names, held means that a reservation was granted,
// buried that an attempt got a tombstone, and settled that its outcome was resolved.
const (
	ProcessStarted    Name = "process_started"
	ProcessDraining   Name = "process_draining"
	ProcessStopped    Name = "process_stopped"
	LogHealthChanged  Name = "log_health_changed"
	LogGap            Name = "log_gap"
	ManifestInForce   Name = "manifest_in_force"
	ManifestRejected  Name = "manifest_rejected"
	GuaranteeUnmet    Name = "guarantee_unmet"
	GuaranteesMet     Name = "guarantees_met"
	LinkOpened        Name = "link_opened"
	LinkClosed        Name = "link_closed"
	WorkerJoined      Name = "worker_joined"
	WorkerLost        Name = "worker_lost"
	WorkerQuarantined Name = "worker_quarantined"
	WorkerReleased    Name = "worker_released"
	WorkerDraining    Name = "worker_draining"
	JobAccepted       Name = "job_accepted"
	JobPlaced         Name = "job_placed"
	JobRequeued       Name = "job_requeued"
	JobEnded          Name = "job_ended"
	JobAdopted        Name = "job_adopted"
	JobCanceled       Name = "job_canceled"
	JobMoved          Name = "job_moved"
	AttemptSent       Name = "attempt_sent"
	AttemptReserved   Name = "attempt_held"
	AttemptRefused    Name = "attempt_refused"
	AttemptCommitted  Name = "attempt_committed"
	AttemptStarted    Name = "attempt_started"
	AttemptStopped    Name = "attempt_stopped"
	AttemptEnded      Name = "attempt_ended"
	AttemptSettled    Name = "attempt_settled"
	AttemptTombstoned Name = "attempt_buried"
	LeaseLapsed       Name = "lease_lapsed"
	AnswerDropped     Name = "answer_dropped"
	RunnerEjected     Name = "runner_ejected"
	RunnerReturned    Name = "runner_returned"
	TaskThrottled     Name = "task_throttled"
	TaskOrphaned      Name = "task_orphaned"
)

// Fields identify the subject of an event.
type Fields struct {
	Job       string
	Attempt   string
	Workspace string
	Worker    string
	Detail    string
}

// Event is an event in one process.
type Event struct {
	at      Time
	process string
	name    Name
	fields  Fields
}

// NewEvent returns an event recorded by another process.
func NewEvent(at Time, process string, name Name, f Fields) Event {
	return Event{at: at, process: process, name: name, fields: f}
}

// At returns when the event happened.
func (e Event) At() Time { return e.at }

// Process returns the process in which the event happened.
func (e Event) Process() string { return e.process }

// Name returns the kind of the event.
func (e Event) Name() Name { return e.name }

// Fields returns the subject of the event.
func (e Event) Fields() Fields { return e.fields }

// Recorder keeps the latest events of one process in a ring buffer.
type Recorder struct {
	process string
	clock   *Clock

	mutex  sync.Mutex
	ring   []Event
	next   int
	counts map[Name]uint64
}

// NewRecorder returns a recorder for the process.
func NewRecorder(process string) *Recorder {
	return &Recorder{process: process, clock: &Clock{}, counts: map[Name]uint64{}}
}

// Clock returns the process's clock.
func (r *Recorder) Clock() *Clock { return r.clock }

// Record adds an event with the current time.
func (r *Recorder) Record(name Name, f Fields) {
	e := Event{at: r.clock.Now(), process: r.process, name: name, fields: f}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[name]++
	if len(r.ring) < maxEvents {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % maxEvents
}

// Count returns the number of events of the kind since the start, including those
// that the ring no longer holds.
func (r *Recorder) Count(name Name) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.counts[name]
}

// Events returns the events after the given time in order, at most the latest
// limit of them.
func (r *Recorder) Events(after Time, limit int) []Event {
	r.mutex.Lock()
	var events []Event
	for _, e := range r.ring {
		if e.at > after {
			events = append(events, e)
		}
	}
	r.mutex.Unlock()
	Sort(events)
	if len(events) > limit {
		events = events[len(events)-limit:]
	}
	return events
}

// Sort orders events by time, and by process where times are equal.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		if events[i].at != events[j].at {
			return events[i].at < events[j].at
		}
		return events[i].process < events[j].process
	})
}

// Merge returns the events of several processes in order, without duplicates.
func Merge(lists ...[]Event) []Event {
	seen := map[Event]bool{}
	var all []Event
	for _, l := range lists {
		for _, e := range l {
			if !seen[e] {
				seen[e] = true
				all = append(all, e)
			}
		}
	}
	Sort(all)
	return all
}

// Filter selects events. Empty fields match everything.
type Filter struct {
	Job       string
	Workspace string
	Worker    string
	Name      Name
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	return (f.Job == "" || f.Job == e.fields.Job) &&
		(f.Workspace == "" || f.Workspace == e.fields.Workspace) &&
		(f.Worker == "" || f.Worker == e.fields.Worker) &&
		(f.Name == "" || f.Name == e.name)
}
