package members

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"rattantrack.dev/core/settings"
)

// maxLeaving bounds the remembered leaving processes, the longest unused of which go first.
const maxLeaving = 8192

// process identifies one process of an upstream.
type process struct {
	id          settings.UpstreamID
	incarnation Incarnation
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
