package members

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// restoreTime is how long after the beginning of an era what was known before outweighs older states of the directory's copy.
// By then live upstreams have written their entries again, and those of others have lapsed, after three missed heartbeats.
const restoreTime = 5 * time.Second

// enterEra records a new era. Entries that are missing in its copy may come back, as after an outage.
func (r *Registry) enterEra(now clock.Instant, at Revision) {
	era := at.Era()
	if era <= r.era {
		return
	}
	if r.era != 0 {
		r.eraSince, r.recoveredAt = now, now
	}
	r.era = era
}

// restoring reports whether the directory's entries may still be those of an older copy.
func (r *Registry) restoring(now clock.Instant) bool {
	return r.eraSince != 0 && now.Sub(r.eraSince) < restoreTime
}

// hold keeps back a change that turns an instance back to a state from before its removal or its restart. A change that was
// written after one that is held comes from a live process and is not held.
func (r *Registry) hold(now clock.Instant, e *entry, c Change) bool {
	before, isHeld := r.held[c.ID]
	if isHeld && c.Revision <= before.Revision {
		return true
	}
	// A change that was held in an earlier era says nothing about when this one was written.
	isHeld = isHeld && before.Revision.Era() == c.Revision.Era()
	gone, wasRemoved := r.removed[c.ID]
	var older bool
	switch {
	case e != nil:
		older = e.revision.Era() < r.era && c.Instance.Incarnation < e.instance.Incarnation
	case wasRemoved:
		older = gone.revision.Era() < r.era && c.Instance.Incarnation <= gone.incarnation && !isHeld
	}
	if !older || !r.restoring(now) {
		delete(r.held, c.ID)
		return false
	}
	if r.held == nil {
		r.held = make(map[settings.UpstreamID]Change)
	}
	r.held[c.ID] = c
	return true
}

// dropHeld forgets the held change of an instance that is gone as of a revision. The event tells the routers that have applied it.
func (r *Registry) dropHeld(id settings.UpstreamID, at Revision) []Event {
	c, ok := r.held[id]
	if !ok || c.Revision > at {
		return nil
	}
	delete(r.held, id)
	if r.entries[id] != nil {
		return nil
	}
	r.recordRemoval(id, at, c.Instance.Incarnation)
	return []Event{{ID: id, Kind: EventRemoved, Instance: c.Instance, Revision: at}}
}
