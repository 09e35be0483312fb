package members

import (
	"time"

	"rattantrack.dev/core/settings"
)

// Incarnation distinguishes the successive processes of an upstream under one id. It is the Unix time of the process's
// start in milliseconds.
type Incarnation int64

// Version is the version of an upstream's software. Versions have no order.
type Version string

// Instance is one upstream process as the platform's directory lists it.
type Instance struct {
	ID         settings.UpstreamID
	Service    settings.ServiceName
	Address    string
	DataCentre settings.DataCentre
	// Slots is the number of requests that the instance executes at a time.
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the instance is slow after its start, counted from when its entry was read.
	ColdRemaining time.Duration
	Incarnation   Incarnation
	// Version is empty if it is not known.
	Version Version
}

// Change is a new state of one instance's entry.
type Change struct {
	ID       settings.UpstreamID
	Revision Revision
	// Removed is set if the entry no longer exists; Instance is then empty.
	Removed  bool
	Instance Instance
}

// Event is a change of the registry's state of an instance.
type Event struct {
	ID   settings.UpstreamID
	Kind EventKind
	// Instance is the current state, or the last one if the instance is gone.
	Instance Instance
	Revision Revision
}

// ChangesOf returns the changes that tell other routers of events.
func ChangesOf(events []Event) []Change {
	var changes []Change
	for _, e := range events {
		switch e.Kind {
		case EventMissing:
			// The entry may come back. Other routers that read the directory decide for themselves.
		case EventRemoved:
			changes = append(changes, Change{ID: e.ID, Revision: e.Revision, Removed: true})
		default:
			changes = append(changes, Change{ID: e.ID, Revision: e.Revision, Instance: e.Instance})
		}
	}
	return changes
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of event.
const (
	EventAdded     EventKind = "added"
	EventRestarted EventKind = "restarted"
	EventDraining  EventKind = "draining"
	EventChanged   EventKind = "changed"
	EventRemoved   EventKind = "removed"
	// EventMissing is an entry that disappeared around an outage of the directory and may come back.
	EventMissing EventKind = "missing"
)
