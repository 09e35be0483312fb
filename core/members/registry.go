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

// removal is the last known state of a removed instance.
type removal struct {
	revision    Revision
	incarnation Incarnation
}

// Registry holds the instances that may be used; its zero value is empty and ready to use.
type Registry struct {
	mu       sync.Mutex
	entries  map[settings.UpstreamID]*entry
	removed  map[settings.UpstreamID]removal
	services map[settings.ServiceName][]Instance
	// ids is the sorted list of all instances, computed with services.
	ids []settings.UpstreamID
	// outage is set while the directory cannot be read, recoveredAt is when it last became readable again.
	outage      bool
	recoveredAt clock.Instant
	complete    bool
	// listedAt is the revision of the latest complete listing.
	listedAt Revision
	// era is the latest era, eraSince is when this registry learnt of it.
	era      Era
	eraSince clock.Instant
	// held holds the changes of a new era that contradict what was known before, until restoreTime has passed.
	held map[settings.UpstreamID]Change
	// leaving holds the processes that are known to be leaving. A process that leaves does not come back, whatever an entry
	// says that was written later or by somebody else.
	leaving *simplelru.LRU[process, struct{}]
}

// maxRemoved bounds the remembered removals, which keep older changes from restoring an instance.
const maxRemoved = 8192

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

// makeMaps creates the maps of the zero value.
func (r *Registry) makeMaps() {
	if r.entries == nil {
		r.entries = make(map[settings.UpstreamID]*entry)
		r.removed = make(map[settings.UpstreamID]removal)
	}
}

// unsettled reports whether an entry that disappears now may have expired because of an outage.
func (r *Registry) unsettled(now clock.Instant) bool {
	return r.outage || (r.recoveredAt != 0 && now.Sub(r.recoveredAt) < reappearTime)
}

// Replace applies a complete listing as of the given revision.
func (r *Registry) Replace(now clock.Instant, at Revision, listed []Change) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.makeMaps()
	r.enterEra(now, at)
	r.listedAt = max(r.listedAt, at)
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
	for id := range r.held {
		if !present[id] {
			events = append(events, r.dropHeld(id, at)...)
		}
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
	r.makeMaps()
	var events []Event
	for _, c := range changes {
		r.enterEra(now, c.Revision)
		if r.isUnlisted(c) {
			events = append(events, r.handleUnlisted(now, c)...)
			continue
		}
		events = append(events, r.apply(now, c, until)...)
	}
	if len(events) > 0 {
		r.services = nil
	}
	return events
}

// isUnlisted reports whether a change adds an entry that the latest complete listing would have if it still existed.
func (r *Registry) isUnlisted(c Change) bool {
	if _, held := r.held[c.ID]; held || c.Removed || r.entries[c.ID] != nil {
		return false
	}
	return c.Revision <= r.listedAt && c.Revision > r.removed[c.ID].revision
}

// handleUnlisted keeps an entry that another router still has as missing, since it may have lapsed in an outage that this router
// has not seen, or be lacking in an older copy. The event of its expiry tells the other router of the removal.
func (r *Registry) handleUnlisted(now clock.Instant, c Change) []Event {
	keep := removalDelay
	if c.Revision.Era() < r.listedAt.Era() {
		keep = reappearTime
	}
	c.Instance.Draining = r.recordLeaving(c.Instance)
	r.entries[c.ID] = &entry{instance: c.Instance, revision: r.listedAt, missingUntil: now.Add(keep)}
	return []Event{{ID: c.ID, Kind: EventMissing, Instance: c.Instance, Revision: r.listedAt}}
}

// apply applies one change and keeps an entry that may have expired in an outage until the given time.
func (r *Registry) apply(now clock.Instant, c Change, until clock.Instant) []Event {
	e := r.entries[c.ID]
	if e != nil && c.Revision == e.revision && c.Instance.Draining && !e.instance.Draining {
		// Another router has learnt from an answer that the process is leaving.
		return r.markLeaving(e, c.Instance.Incarnation)
	}
	if c.Revision <= r.removed[c.ID].revision || (e != nil && c.Revision <= e.revision) {
		return nil
	}
	if c.Removed {
		if events := r.remove(now, c.ID, c.Revision, until); events != nil {
			return events
		}
		return r.dropHeld(c.ID, c.Revision)
	}
	if r.hold(now, e, c) {
		return nil
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

// remove drops an instance, or marks it missing while entries may have expired because of an outage.
func (r *Registry) remove(now clock.Instant, id settings.UpstreamID, at Revision, until clock.Instant) []Event {
	e := r.entries[id]
	if e == nil {
		r.recordRemoval(id, at, 0)
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
	r.recordRemoval(id, at, e.instance.Incarnation)
	return []Event{{ID: id, Kind: EventRemoved, Instance: e.instance, Revision: at}}
}

// recordRemoval remembers the removal of an instance; incarnation is 0 if its last process is not known.
func (r *Registry) recordRemoval(id settings.UpstreamID, at Revision, incarnation Incarnation) {
	if len(r.removed) >= maxRemoved {
		clear(r.removed)
	}
	was := r.removed[id]
	r.removed[id] = removal{revision: max(was.revision, at), incarnation: max(was.incarnation, incarnation)}
}

// Expire removes the missing instances whose time to come back has passed, and applies the changes that were held back while
// the directory was restored.
func (r *Registry) Expire(now clock.Instant) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var events []Event
	for id, e := range r.entries {
		if e.missingUntil == 0 || now.Before(e.missingUntil) {
			continue
		}
		delete(r.entries, id)
		r.recordRemoval(id, e.revision, e.instance.Incarnation)
		events = append(events, Event{ID: id, Kind: EventRemoved, Instance: e.instance, Revision: e.revision})
	}
	if !r.restoring(now) {
		for id, c := range r.held {
			delete(r.held, id)
			events = append(events, r.apply(now, c, now)...)
		}
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

// Draining returns the instances of a service that are leaving and may still complete requests, sorted by id.
func (r *Registry) Draining(name settings.ServiceName) []Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Instance
	for _, e := range r.entries {
		if e.instance.Draining && e.instance.Service == name {
			list = append(list, e.instance)
		}
	}
	slices.SortFunc(list, func(x, y Instance) int { return cmp.Compare(x.ID, y.ID) })
	return list
}

// IDs returns the sorted ids of all instances. It returns the same slice until they change; callers must not modify it.
func (r *Registry) IDs() []settings.UpstreamID {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.services == nil {
		r.indexServices()
	}
	return r.ids
}

func (r *Registry) indexServices() {
	r.services = make(map[settings.ServiceName][]Instance)
	r.ids = make([]settings.UpstreamID, 0, len(r.entries))
	for id := range r.entries {
		r.ids = append(r.ids, id)
	}
	slices.Sort(r.ids)
	for _, e := range r.entries {
		if !e.instance.Draining {
			r.services[e.instance.Service] = append(r.services[e.instance.Service], e.instance)
		}
	}
	for _, list := range r.services {
		slices.SortFunc(list, func(x, y Instance) int { return cmp.Compare(x.ID, y.ID) })
	}
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
	for id, gone := range r.removed {
		if len(list) >= maxSnapshot {
			break
		}
		list = append(list, Change{ID: id, Revision: gone.revision, Removed: true})
	}
	return list
}
