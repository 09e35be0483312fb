package router

import (
	"rattantrack.dev/core/settings"
)

// Shed moves one request to a lighter side when this one carries too much.
func (d *Door) Shed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.service.Kind != settings.KindModel || d.leaving {
		return
	}
	j := d.movable()
	if j == nil {
		return
	}
	target, ok := d.admission.Shed(d.Clock.Now(), j.verdict.Charge, d.random)
	if !ok {
		return
	}
	j.moveTo = target
	j.cut()
	d.Scope.Counter("moved").Inc(1)
}

// movable returns the request that is cheapest to move: one that still waits, or else the one with the shortest
// prompt among those whose answer has begun; the caller holds the lock.
func (d *Door) movable() *job {
	waiting := d.scheduler.Last()
	var best *job
	for j := range d.jobs {
		if j.stopped || !j.profile.Idempotent {
			continue
		}
		if waiting != nil && j.item == waiting {
			return j
		}
		if j.chunks == 0 {
			continue
		}
		if best == nil || j.submit.PromptTokens < best.submit.PromptTokens {
			best = j
		}
	}
	return best
}
