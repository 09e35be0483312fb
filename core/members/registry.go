package members

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Revision is the position in the directory's history at which an instance's entry was written. It is unrelated to the
// revision of the declarations.
type Revision uint64

// Incarnation distinguishes the successive processes of an upstream under one id. It is the Unix time of the process's
// start in milliseconds.
type Incarnation int64

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

// ChangesOf returns the changes that tell another router of events in which the entry stayed as it was.
func ChangesOf(events []Event) []Change {
	changes := make([]Change, len(events))
	for i, e := range events {
		changes[i] = Change{ID: e.ID, Revision: e.Revision, Instance: e.Instance}
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

// reappearTime is how long after an outage of the directory a missing entry may still come back. The platform specifies
// about two seconds; the rest is a margin.
const reappearTime = 2300 * time.Millisecond

// removalDelay is how long an instance stays in use after its entry is removed while other entries may still come back.
// It is shorter than the time within which a leaving instance must stop getting requests.
const removalDelay = 1200 * time.Millisecond

// entry is an instance with the state of its directory entry.
type entry struct {
	instance  Instance
	revision  Revision
	coldUntil clock.Instant
	// missingUntil is when a missing entry counts as removed, 0 while the entry is listed.
	missingUntil clock.Instant
}

// process identifies one process of an upstream.
type process struct {
	id          settings.UpstreamID
	incarnation Incarnation
}

// Registry holds the instances that may be used; its zero value is empty and ready to use.
type Registry struct {
	mu       sync.Mutex
	entries  map[settings.UpstreamID]*entry
	removed  map[settings.UpstreamID]Revision
	services map[settings.ServiceName][]Instance
	// outage is set while the directory cannot be read, recoveredAt is when it last became readable again.
	outage      bool
	recoveredAt clock.Instant
	complete    bool
	// leaving holds the processes that are known to be leaving. A process that leaves does not come back, whatever an entry
	// says that was written later or by somebody else.
	leaving *simplelru.LRU[process, struct{}]
}

// maxRemoved bounds the remembered removals, which keep older changes from restoring an instance.
const maxRemoved = 8192

// maxLeaving bounds the remembered leaving processes, the longest unused of which go first.
const maxLeaving = 8192

// maxSnapshot is the number of changes from which on a snapshot contains no more removals.
const maxSnapshot = 10_000

// SetOutage records whether the directory is unreadable.
func (r *Registry) SetOutage(now clock.Instant, down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outage && !down {
		r.recoveredAt = now
	}
	r.outage = down
}

// unsettled reports whether an entry that disappears now may have expired because of an outage.
func (r *Registry) unsettled(now clock.Instant) bool {
	return r.outage || (r.recoveredAt != 0 && now.Sub(r.recoveredAt) < reappearTime)
}

// Replace applies a complete listing as of the given revision.
func (r *Registry) Replace(now clock.Instant, at Revision, listed []Change) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	present := make(map[settings.UpstreamID]bool, len(listed))
	until := max(now, r.recoveredAt).Add(reappearTime)
	for _, c := range listed {
		present[c.ID] = true
		events = append(events, r.apply(now, c, until)...)
	}
	for id, e := range r.entries {
		if present[id] || e.revision > at {
			continue
		}
		events = append(events, r.remove(now, id, max(e.revision, at), until)...)
	}
	r.complete = true
	r.services = nil
	return events
}

// Apply applies single changes from the directory, in any order, and ignores those older than the known state.
func (r *Registry) Apply(now clock.Instant, changes []Change) []Event {
	return r.applyAll(now, changes, now.Add(removalDelay))
}

// ApplyRelayed applies changes from another router, which has already waited for entries that may come back.
func (r *Registry) ApplyRelayed(now clock.Instant, changes []Change) []Event {
	return r.applyAll(now, changes, now)
}

func (r *Registry) applyAll(now clock.Instant, changes []Change, until clock.Instant) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for _, c := range changes {
		events = append(events, r.apply(now, c, until)...)
	}
	if len(events) > 0 {
		r.services = nil
	}
	return events
}

// apply applies one change and keeps an entry that may have expired in an outage until the given time.
func (r *Registry) apply(now clock.Instant, c Change, until clock.Instant) []Event {
	if r.entries == nil {
		r.entries = make(map[settings.UpstreamID]*entry)
		r.removed = make(map[settings.UpstreamID]Revision)
	}
	e := r.entries[c.ID]
	if e != nil && c.Revision == e.revision && c.Instance.Draining && !e.instance.Draining {
		// Another router has learnt from an answer that the process is leaving.
		return r.markLeaving(e, c.Instance.Incarnation)
	}
	if c.Revision <= r.removed[c.ID] || (e != nil && c.Revision <= e.revision) {
		return nil
	}
	if c.Removed {
		return r.remove(now, c.ID, c.Revision, until)
	}
	c.Instance.Draining = r.recordLeaving(c.Instance)
	next := &entry{instance: c.Instance, revision: c.Revision, coldUntil: now.Add(c.Instance.ColdRemaining)}
	r.entries[c.ID] = next
	delete(r.removed, c.ID)
	kind := EventChanged
	switch {
	case e == nil:
		kind = EventAdded
	case e.instance.Incarnation != c.Instance.Incarnation:
		kind = EventRestarted
	case !e.instance.Draining && c.Instance.Draining:
		kind = EventDraining
	}
	// An entry that was only rewritten is reported too, since other routers may have lost it in an outage.
	return []Event{{ID: c.ID, Kind: kind, Instance: c.Instance, Revision: c.Revision}}
}

// recordLeaving remembers a draining process, and reports whether the instance's process is known to be leaving.
func (r *Registry) recordLeaving(inst Instance) bool {
	if r.leaving == nil {
		// NewLRU fails only for a size below one.
		r.leaving, _ = simplelru.NewLRU[process, struct{}](maxLeaving, nil)
	}
	p := process{id: inst.ID, incarnation: inst.Incarnation}
	if inst.Draining {
		r.leaving.Add(p, struct{}{})
		return true
	}
	_, ok := r.leaving.Get(p)
	return ok
}

// MarkLeaving records that a process has stated in an answer that it is leaving. Its entry may say so later or not at all.
func (r *Registry) MarkLeaving(inst Instance) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	inst.Draining = true
	r.recordLeaving(inst)
	e := r.entries[inst.ID]
	if e == nil || e.instance.Draining {
		return nil
	}
	return r.markLeaving(e, inst.Incarnation)
}

// markLeaving marks an entry as draining if it is of the given process.
func (r *Registry) markLeaving(e *entry, incarnation Incarnation) []Event {
	if e.instance.Incarnation != incarnation {
		return nil
	}
	e.instance.Draining = true
	r.recordLeaving(e.instance)
	r.services = nil
	return []Event{{ID: e.instance.ID, Kind: EventDraining, Instance: e.instance, Revision: e.revision}}
}

// remove drops an instance, or marks it missing while entries may have expired because of an outage.
func (r *Registry) remove(now clock.Instant, id settings.UpstreamID, at Revision, until clock.Instant) []Event {
	e := r.entries[id]
	if e == nil {
		r.recordRemoval(id, at)
		return nil
	}
	if r.unsettled(now) && !e.instance.Draining && until > now {
		// From now on only an entry that was written later restores the instance.
		e.revision = max(e.revision, at)
		if e.missingUntil != 0 {
			return nil
		}
		e.missingUntil = until
		return []Event{{ID: id, Kind: EventMissing, Instance: e.instance, Revision: at}}
	}
	delete(r.entries, id)
	r.recordRemoval(id, at)
	return []Event{{ID: id, Kind: EventRemoved, Instance: e.instance, Revision: at}}
}

// recordRemoval remembers the revision at which an instance was removed.
func (r *Registry) recordRemoval(id settings.UpstreamID, at Revision) {
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
	}
	r.removed[id] = max(r.removed[id], at)
}

// Expire removes the missing instances whose time to come back has passed.
func (r *Registry) Expire(now clock.Instant) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for id, e := range r.entries {
		if e.missingUntil == 0 || now.Before(e.missingUntil) {
			continue
		}
		delete(r.entries, id)
		r.recordRemoval(id, e.revision)
		events = append(events, Event{ID: id, Kind: EventRemoved, Instance: e.instance, Revision: e.revision})
	}
	if len(events) > 0 {
		r.services = nil
	}
	return events
}

// Complete reports whether a complete listing has been applied.
func (r *Registry) Complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.complete
}

// MarkComplete records that another router's complete listing has been applied.
func (r *Registry) MarkComplete() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.complete = true
}

// Serving returns the instances of a service that may get new requests, sorted by id; callers must not modify the
// slice.
func (r *Registry) Serving(name settings.ServiceName) []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.indexServices()
	}
	return r.services[name]
}

func (r *Registry) indexServices() {
	r.services = make(map[settings.ServiceName][]Instance)
	for _, e := range r.entries {
		if !e.instance.Draining {
			r.services[e.instance.Service] = append(r.services[e.instance.Service], e.instance)
		}
	}
	for _, list := range r.services {
		slices.SortFunc(list, func(x, y Instance) int { return cmp.Compare(x.ID, y.ID) })
	}
}

// ColdRemaining returns how much longer an instance is slow after its start.
func (r *Registry) ColdRemaining(now clock.Instant, id settings.UpstreamID) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[id]
	if e == nil {
		return 0
	}
	return max(0, e.coldUntil.Sub(now))
}

// Snapshot returns the listed entries and the remembered removals, for a router that has just started.
func (r *Registry) Snapshot() []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Change, 0, len(r.entries))
	for id, e := range r.entries {
		if e.missingUntil == 0 {
			list = append(list, Change{ID: id, Revision: e.revision, Instance: e.instance})
		}
	}
	for id, at := range r.removed {
		if len(list) >= maxSnapshot {
			break
		}
		list = append(list, Change{ID: id, Revision: at, Removed: true})
	}
	return list
}

// Status is the state of one instance in a dump.
type Status struct {
	ID         settings.UpstreamID  `json:"id"`
	Service    settings.ServiceName `json:"service"`
	Address    string               `json:"address"`
	DataCentre settings.DataCentre  `json:"data_centre"`
	Draining   bool                 `json:"draining,omitempty"`
	Missing    bool                 `json:"missing,omitempty"`
	Revision   Revision             `json:"revision"`
}

// String returns the registry's name in dumps.
func (r *Registry) String() string { return "members" }

// Dump returns the instances, sorted by id.
func (r *Registry) Dump() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Status, 0, len(r.entries))
	for id, e := range r.entries {
		instance := e.instance
		list = append(list, Status{
			ID: id, Service: instance.Service, Address: instance.Address, DataCentre: instance.DataCentre,
			Draining: instance.Draining, Missing: e.missingUntil != 0, Revision: e.revision,
		})
	}
	slices.SortFunc(list, func(x, y Status) int { return cmp.Compare(x.ID, y.ID) })
	return list
}
