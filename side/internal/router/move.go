package router

import (
	"rattantrack.dev/core/admission"
	"rattantrack.dev/core/settings"
)

// MoveWanted returns a channel that receives when new work has raised the load so far that work should move away.
func (s *Server) MoveWanted() <-chan struct{} {
	s.moveOnce.Do(func() { s.moveSignal = make(chan struct{}, 1) })
	return s.moveSignal
}

// signalMove signals MoveWanted if there is excess load; the caller holds the lock.
func (s *Server) signalMove() {
	if s.admission.ExcessLoad(s.Clock.Now()) <= 0 {
		return
	}
	select {
	case s.moveSignal <- struct{}{}:
	default:
	}
}

// MoveTarget returns the side to which work should move and its address, if there is excess load here.
func (s *Server) MoveTarget() (settings.UpstreamID, string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.nextMove()
	if !ok {
		return "", "", false
	}
	u, ok := s.declarations.Upstreams[m.To]
	return m.To, u.Side, ok
}

// nextMove returns the move that the admission controller requests; the caller holds the lock.
func (s *Server) nextMove() (admission.Move, bool) {
	if s.service.Kind != settings.KindModel || s.isLeaving(s.Clock.Now()) {
		return admission.Move{}, false
	}
	return s.admission.NextMove(s.Clock.Now())
}

// MoveRequest moves one request to a side whose load sample was just exchanged; it reports whether it did.
func (s *Server) MoveRequest(to settings.UpstreamID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.nextMove()
	if !ok || m.To != to {
		return false
	}
	j := s.selectJob(m)
	if j == nil {
		s.admission.RecordMove(m.To, m.Charge)
		return false
	}
	s.admission.RecordMove(m.To, j.decision.Charge)
	j.moveTo = m.To
	j.stop()
	s.Scope.Counter("moved").Inc(1)
	return true
}

// maxMoves is the largest number of times that one request is moved.
const maxMoves = 4

// selectJob returns the movable request whose charge is nearest to the wanted one, or nil; waiting requests come before
// those whose answer has begun. The caller holds the lock.
func (s *Server) selectJob(m admission.Move) *job {
	var best *job
	for j := range s.jobs {
		if j.stopped || !j.profile.Idempotent || j.submit.Moves >= maxMoves || j.decision.Charge > m.MaxCharge {
			continue
		}
		if j.item.Started() && j.chunks.Load() == 0 {
			// A started request without a first chunk cannot be withdrawn with certainty.
			continue
		}
		if best == nil || betterMove(j, best, m) {
			best = j
		}
	}
	return best
}

// betterMove reports whether a is a better request to move than b.
func betterMove(a, b *job, m admission.Move) bool {
	if a.item.Started() != b.item.Started() {
		return !a.item.Started()
	}
	return distance(a.decision.Charge, m.Charge) < distance(b.decision.Charge, m.Charge)
}

func distance(a, b settings.Tokens) settings.Tokens { return max(a-b, b-a) }
