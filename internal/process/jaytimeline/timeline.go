// Package jaytimeline keeps each process's recent events, stamped so that the
// events of all processes merge in causal order.
package jaytimeline

import (
	"sort"
	"sync"
	"time"
)

const (
	logicalBits = 16
	ringEvents  = 16384
)

// Time is a hybrid logical clock's reading: milliseconds of wall time above
// sixteen logical bits. Source: S. Kulkarni et al., Logical Physical Clocks,
// 2014.
type Time uint64

// Wall returns the wall time of the reading.
func (t Time) Wall() time.Time { return time.UnixMilli(int64(t >> logicalBits)) }

// Clock is a hybrid logical clock.
type Clock struct {
	mutex sync.Mutex
	last  Time
}

// Now returns a reading that is later than every one before it.
func (c *Clock) Now() Time {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wall := Time(time.Now().UnixMilli()) << logicalBits
	c.last = max(wall, c.last+1)
	return c.last
}

// Observe makes all later readings follow one of another process.
func (c *Clock) Observe(t Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.last = max(c.last, t)
}

// Name says what happened.
type Name string

// The names of events.
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

// Fields say what an event is about.
type Fields struct {
	Job       string
	Attempt   string
	Workspace string
	Worker    string
	Detail    string
}

// Event is one thing that happened in one process.
type Event struct {
	at      Time
	process string
	name    Name
	fields  Fields
}

// NewEvent returns an event as another process recorded it.
func NewEvent(at Time, process string, name Name, f Fields) Event {
	return Event{at: at, process: process, name: name, fields: f}
}

// At returns when the event happened.
func (e Event) At() Time { return e.at }

// Process returns the process in which the event happened.
func (e Event) Process() string { return e.process }

// Name returns what happened.
func (e Event) Name() Name { return e.name }

// Fields returns what the event is about.
func (e Event) Fields() Fields { return e.fields }

// Recorder keeps the latest events of one process in a ring.
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

// Record adds an event that happens now.
func (r *Recorder) Record(name Name, f Fields) {
	e := Event{at: r.clock.Now(), process: r.process, name: name, fields: f}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts[name]++
	if len(r.ring) < ringEvents {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % ringEvents
}

// Count returns how often the event has happened.
func (r *Recorder) Count(name Name) uint64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.counts[name]
}

// Events returns at most the given number of the latest events after a time,
// in order.
func (r *Recorder) Events(after Time, most int) []Event {
	r.mutex.Lock()
	var events []Event
	for _, e := range r.ring {
		if e.at > after {
			events = append(events, e)
		}
	}
	r.mutex.Unlock()
	Sort(events)
	if len(events) > most {
		events = events[len(events)-most:]
	}
	return events
}

// Sort orders events of several processes causally.
func Sort(events []Event) {
	sort.SliceStable(events, func(i, j int) bool {
		if events[i].at != events[j].at {
			return events[i].at < events[j].at
		}
		return events[i].process < events[j].process
	})
}

// Merge joins the events of several processes, each event once.
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

// Filter selects events; empty fields select all.
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
