package router

import (
	"rattantrack.dev/core/admission"
	"rattantrack.dev/core/settings"
)

// MoveWanted tells when the load has just grown, so that the side may have to move work away.
func (d *Server) MoveWanted() <-chan struct{} {
	d.shedOnce.Do(func() { d.shedWake = make(chan struct{}, 1) })
	return d.shedWake
}

// wakeShed asks for a look at the load; the caller holds the lock.
func (d *Server) wakeShed() {
	if d.admission.ExcessLoad(d.Clock.Now()) <= 0 {
		return
	}
	select {
	case d.shedWake <- struct{}{}:
	default:
	}
}

// MoveTarget returns the side to which work should move and its address, if there is too much here.
func (d *Server) MoveTarget() (settings.UpstreamID, string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.move()
	if !ok {
		return "", "", false
	}
	u, ok := d.fleet.Upstreams[m.To]
	return m.To, u.Side, ok
}

// move returns what the admission controller wants moved; the caller holds the lock.
func (d *Server) move() (admission.Move, bool) {
	if d.service.Kind != settings.KindModel || d.isLeaving(d.Clock.Now()) {
		return admission.Move{}, false
	}
	return d.admission.NextMove(d.Clock.Now())
}

// MoveRequest moves one request to a side whose load was just asked for; it reports whether it did.
func (d *Server) MoveRequest(to settings.UpstreamID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.move()
	if !ok || m.To != to {
		return false
	}
	j := d.movable(m)
	if j == nil {
		d.admission.RecordMove(m.To, m.Charge)
		return false
	}
	d.admission.RecordMove(m.To, j.verdict.Charge)
	j.moveTo = m.To
	j.cut()
	d.Scope.Counter("moved").Inc(1)
	return true
}

// maxMoves bounds how often one request is moved.
const maxMoves = 4

// movable returns the request whose charge is nearest to the wanted one, one that waits before one whose answer has begun;
// the caller holds the lock.
func (d *Server) movable(m admission.Move) *job {
	var best *job
	for j := range d.jobs {
		if j.stopped || !j.profile.Idempotent || j.submit.Moves >= maxMoves || j.verdict.Charge > m.MaxCharge {
			continue
		}
		if j.item.Started() && j.chunks.Load() == 0 {
			// Between its hand-over and its first token a request cannot be taken back without doubt.
			continue
		}
		if best == nil || better(j, best, m) {
			best = j
		}
	}
	return best
}

// better reports whether a is a better request to move than b.
func better(a, b *job, m admission.Move) bool {
	if a.item.Started() != b.item.Started() {
		return !a.item.Started()
	}
	return distance(a.verdict.Charge, m.Charge) < distance(b.verdict.Charge, m.Charge)
}

func distance(a, b settings.Tokens) settings.Tokens { return max(a-b, b-a) }
