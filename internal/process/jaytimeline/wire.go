package jaytimeline

import "github.com/jaystile/jaystile/internal/connection/jayframe"

// ToFrame maps events to their wire form.
func ToFrame(events []Event) *jayframe.TimelineReply {
	m := &jayframe.TimelineReply{Events: make([]jayframe.Event, len(events))}
	for i, e := range events {
		f := e.fields
		m.Events[i] = jayframe.Event{Time: uint64(e.at), Process: e.process, Name: string(e.name), Job: f.Job, Attempt: f.Attempt, Workspace: f.Workspace, Worker: f.Worker, Detail: f.Detail}
	}
	return m
}

// FromFrame maps the wire form to events.
func FromFrame(m *jayframe.TimelineReply) []Event {
	events := make([]Event, len(m.Events))
	for i, w := range m.Events {
		events[i] = NewEvent(Time(w.Time), w.Process, Name(w.Name), Fields{Job: w.Job, Attempt: w.Attempt, Workspace: w.Workspace, Worker: w.Worker, Detail: w.Detail})
	}
	return events
}
