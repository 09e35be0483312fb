package members

import (
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// coldTolerance is by how much the end of the cold time may differ between two statements of it that mean the same.
const coldTolerance = 100 * time.Millisecond

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

// MarkCold records that a process has stated in an answer that it is cold for some more time, and reports whether it was not known to be.
// Its entry may say so later.
func (r *Registry) MarkCold(now clock.Instant, inst Instance, remaining time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.entries[inst.ID]
	if e == nil || e.instance.Incarnation != inst.Incarnation || now.Add(remaining).Sub(e.coldUntil) <= coldTolerance {
		return false
	}
	wasWarm := !now.Before(e.coldUntil)
	e.coldUntil, e.instance.ColdRemaining = now.Add(remaining), remaining
	r.services = nil
	return wasWarm
}
