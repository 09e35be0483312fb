package members

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Revision orders the changes of an instance's entry.
type Revision uint64

// Incarnation tells the lives of an upstream under one id apart: the Unix time of its start in milliseconds.
type Incarnation int64

// Instance is one upstream process as the platform lists it.
type Instance struct {
	ID         settings.UpstreamID
	Service    settings.ServiceName
	Address    string
	DataCentre settings.DataCentre
	// Slots is the number of requests that the instance runs at a time.
	Slots    int
	Draining bool
	// ColdRemaining is how much longer the instance is slow after its start, counted from when its entry was read.
	ColdRemaining time.Duration
	Incarnation   Incarnation
}

// Change is a new state of one instance's entry.
type Change struct {
	ID       settings.UpstreamID
	Revision Revision
	// Removed says that the entry is gone; Instance is then empty.
	Removed  bool
	Instance Instance
}

// Event is a change of what the book believes of an instance.
type Event struct {
	ID   settings.UpstreamID
	Kind EventKind
	// Instance is the present state, or the last one of an instance that is gone.
	Instance Instance
	Revision Revision
}

// EventKind tells the events of the book apart.
type EventKind string

// The kinds of event.
const (
	EventAdded     EventKind = "added"
	EventRestarted EventKind = "restarted"
	EventDraining  EventKind = "draining"
	EventChanged   EventKind = "changed"
	EventRemoved   EventKind = "removed"
	// EventMissing is an entry that vanished around an outage of the directory and may come back.
	EventMissing EventKind = "missing"
)

// returnTime is how long after an outage of the directory a missing entry may still come back: the platform's "about
// two seconds" with a margin.
const returnTime = 2300 * time.Millisecond

// lapseTime is how long an instance stays in use whose entry is removed while others are still coming back. It lies below
// the time within which a leaving instance must get no more requests.
const lapseTime = 1200 * time.Millisecond

// entry is an instance with the state of its listing.
type entry struct {
	instance Instance
	revision Revision
	coldEnd  clock.Instant
	// missingUntil is when an entry that vanished around an outage is taken as gone, 0 while it is listed.
	missingUntil clock.Instant
}

// Registry holds the instances that may be used; its zero value is empty.
type Registry struct {
	mu       sync.Mutex
	entries  map[settings.UpstreamID]*entry
	removed  map[settings.UpstreamID]Revision
	services map[settings.ServiceName][]Instance
	// outage is set while the directory cannot be read, and returned is when it last came back.
	outage   bool
	returned clock.Instant
	known    bool
}

// maxRemoved bounds the removed ids that are remembered so that older news of them is not taken.
const maxRemoved = 8192

// maxListing bounds a listing for another router, of which the instances come first.
const maxListing = 10_000

// SetOutage notes whether the directory can be read.
func (b *Registry) SetOutage(now clock.Instant, down bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.outage && !down {
		b.returned = now
	}
	b.outage = down
}

// unsettled reports whether an entry that vanishes now may have lapsed in an outage.
func (b *Registry) unsettled(now clock.Instant) bool {
	return b.outage || (b.returned != 0 && now.Sub(b.returned) < returnTime)
}

// Replace takes in a whole listing that is complete up to the given revision.
func (b *Registry) Replace(now clock.Instant, at Revision, listed []Change) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var events []Event
	present := make(map[settings.UpstreamID]bool, len(listed))
	until := max(now, b.returned).Add(returnTime)
	for _, c := range listed {
		present[c.ID] = true
		events = append(events, b.apply(now, c, until)...)
	}
	for id, e := range b.entries {
		if present[id] || e.revision > at {
			continue
		}
		events = append(events, b.remove(now, id, max(e.revision, at), until)...)
	}
	b.known = true
	b.services = nil
	return events
}

// Apply takes in single changes from the directory, in any order; older news than what is known is ignored.
func (b *Registry) Apply(now clock.Instant, changes []Change) []Event {
	return b.applyAll(now, changes, now.Add(lapseTime))
}

// ApplyRelayed takes in changes from another router, which has already waited for entries that may come back.
func (b *Registry) ApplyRelayed(now clock.Instant, changes []Change) []Event {
	return b.applyAll(now, changes, now)
}

func (b *Registry) applyAll(now clock.Instant, changes []Change, until clock.Instant) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var events []Event
	for _, c := range changes {
		events = append(events, b.apply(now, c, until)...)
	}
	if len(events) > 0 {
		b.services = nil
	}
	return events
}

// apply takes in one change; an entry that may have lapsed is kept until the given time.
func (b *Registry) apply(now clock.Instant, c Change, until clock.Instant) []Event {
	if b.entries == nil {
		b.entries = make(map[settings.UpstreamID]*entry)
		b.removed = make(map[settings.UpstreamID]Revision)
	}
	e := b.entries[c.ID]
	if c.Revision <= b.removed[c.ID] || (e != nil && c.Revision <= e.revision) {
		return nil
	}
	if c.Removed {
		return b.remove(now, c.ID, c.Revision, until)
	}
	next := &entry{instance: c.Instance, revision: c.Revision, coldEnd: now.Add(c.Instance.ColdRemaining)}
	b.entries[c.ID] = next
	delete(b.removed, c.ID)
	kind := EventChanged
	switch {
	case e == nil:
		kind = EventAdded
	case e.instance.Incarnation != c.Instance.Incarnation:
		kind = EventRestarted
	case !e.instance.Draining && c.Instance.Draining:
		kind = EventDraining
	}
	// An entry that was only written anew is news as well: other routers may have lost it in an outage.
	return []Event{{ID: c.ID, Kind: kind, Instance: c.Instance, Revision: c.Revision}}
}

// remove drops an instance, or marks it missing while entries may have lapsed in an outage.
func (b *Registry) remove(now clock.Instant, id settings.UpstreamID, at Revision, until clock.Instant) []Event {
	e := b.entries[id]
	if e == nil {
		b.forget(id, at)
		return nil
	}
	if b.unsettled(now) && !e.instance.Draining && until > now {
		// From now on only an entry that was written later brings the instance back.
		e.revision = max(e.revision, at)
		if e.missingUntil != 0 {
			return nil
		}
		e.missingUntil = until
		return []Event{{ID: id, Kind: EventMissing, Instance: e.instance, Revision: at}}
	}
	delete(b.entries, id)
	b.forget(id, at)
	return []Event{{ID: id, Kind: EventRemoved, Instance: e.instance, Revision: at}}
}

func (b *Registry) forget(id settings.UpstreamID, at Revision) {
	if len(b.removed) >= maxRemoved {
		clear(b.removed)
	}
	b.removed[id] = max(b.removed[id], at)
}

// Expire drops the missing instances whose time to come back has passed.
func (b *Registry) Expire(now clock.Instant) []Event {
	b.mu.Lock()
	defer b.mu.Unlock()
	var events []Event
	for id, e := range b.entries {
		if e.missingUntil == 0 || now.Before(e.missingUntil) {
			continue
		}
		delete(b.entries, id)
		b.forget(id, e.revision)
		events = append(events, Event{ID: id, Kind: EventRemoved, Instance: e.instance, Revision: e.revision})
	}
	if len(events) > 0 {
		b.services = nil
	}
	return events
}

// Complete reports whether a whole listing has been taken in.
func (b *Registry) Complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.known
}

// MarkComplete notes that another router's whole listing has been taken in.
func (b *Registry) MarkComplete() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.known = true
}

// Serving returns the instances of a service that may get new requests, sorted by id; callers must not change it.
func (b *Registry) Serving(name settings.ServiceName) []Instance {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.index()
	}
	return b.services[name]
}

func (b *Registry) index() {
	b.services = make(map[settings.ServiceName][]Instance)
	for _, e := range b.entries {
		if !e.instance.Draining {
			b.services[e.instance.Service] = append(b.services[e.instance.Service], e.instance)
		}
	}
	for _, list := range b.services {
		slices.SortFunc(list, func(x, y Instance) int { return cmp.Compare(x.ID, y.ID) })
	}
}

// ColdRemaining returns how much longer an instance is slow after its start.
func (b *Registry) ColdRemaining(now clock.Instant, id settings.UpstreamID) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entries[id]
	if e == nil {
		return 0
	}
	return max(0, e.coldEnd.Sub(now))
}

// Snapshot returns every entry and every removal that is remembered, for a router that has just started.
func (b *Registry) Snapshot() []Change {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Change, 0, len(b.entries))
	for id, e := range b.entries {
		if e.missingUntil == 0 {
			list = append(list, Change{ID: id, Revision: e.revision, Instance: e.instance})
		}
	}
	for id, at := range b.removed {
		if len(list) >= maxListing {
			break
		}
		list = append(list, Change{ID: id, Revision: at, Removed: true})
	}
	return list
}

// Status is what the book shows of one instance.
type Status struct {
	ID         settings.UpstreamID  `json:"id"`
	Service    settings.ServiceName `json:"service"`
	Address    string               `json:"address"`
	DataCentre settings.DataCentre  `json:"data_centre"`
	Draining   bool                 `json:"draining,omitempty"`
	Missing    bool                 `json:"missing,omitempty"`
	Revision   Revision             `json:"revision"`
}

// String returns the name under which the book is dumped.
func (b *Registry) String() string { return "members" }

// Dump returns the instances, sorted by id.
func (b *Registry) Dump() any {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Status, 0, len(b.entries))
	for id, e := range b.entries {
		i := e.instance
		list = append(list, Status{
			ID: id, Service: i.Service, Address: i.Address, DataCentre: i.DataCentre,
			Draining: i.Draining, Missing: e.missingUntil != 0, Revision: e.revision,
		})
	}
	slices.SortFunc(list, func(x, y Status) int { return cmp.Compare(x.ID, y.ID) })
	return list
}
