package router

import (
	"strings"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// ticketSeparator distinguishes tickets from callers' own keys: it separates the parts of a ticket and occurs in no key.
const ticketSeparator = "."

// Bounds of the handovers kept for successors.
const (
	// maxHandovers bounds the number of stopped sides whose records are kept here.
	maxHandovers = 16
	// predecessorClaimTime is how long a new process claims its predecessor's records.
	predecessorClaimTime = 30 * time.Second
)

// keptHandover is the handover of a stopped side and the instant at which it was received.
type keptHandover struct {
	handover   *peer.Handover
	receivedAt clock.Instant
}

// PendingClaim is a claim and the address of the side to send it to.
type PendingClaim struct {
	Claim   *peer.Claim
	Address string
}

// PendingClaims returns the claims that have not been answered.
func (s *Server) PendingClaims() []PendingClaim {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.declarations == nil || s.service.Kind != settings.KindPlain {
		return nil
	}
	now := s.Clock.Now()
	restarted := now.Sub(s.Started) < predecessorClaimTime
	var list []PendingClaim
	for _, ack := range s.primaries.MissingAcks(now) {
		address, ok := s.lastAddress(ack.From)
		if !ok {
			continue
		}
		claim := &peer.Claim{From: s.Self, Service: s.serviceName, MovedBy: ack.MovedBy, Restarted: restarted}
		list = append(list, PendingClaim{Claim: claim, Address: address})
	}
	return list
}

// lastAddress returns the latest declared address of a side; the caller holds the lock. A side that was removed from the
// declarations must still receive claims.
func (s *Server) lastAddress(id settings.UpstreamID) (string, bool) {
	if u, ok := s.declarations.Upstreams[id]; ok {
		return u.Side, !u.Destroyed
	}
	address, ok := s.previousSides[id]
	return address, ok
}

// ApplyHandover imports the records of another side's answer to a claim.
func (s *Server) ApplyHandover(h *peer.Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	for _, r := range h.Records {
		s.keys.Import(now, r)
	}
	if !h.Complete {
		s.primaries.AddReleaseAck(now, h.From, h.MovedBy, h.Revision, h.Covered)
		return
	}
	// A process between the predecessor and this one could run a key only if it had received this handover, of which there is
	// one copy, or had been up for a key's lifetime. Neither is possible here, so no run is missing from the records.
	if h.Covered && h.Age < s.service.KeyLifetime {
		s.primaries.MarkRecovered()
	}
}

// AnswerClaim returns the handovers for a claiming side, or nil while they are not available yet.
func (s *Server) AnswerClaim(c *peer.Claim) []*peer.Handover {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Service != s.serviceName || s.revision < c.MovedBy {
		return nil
	}
	now := s.Clock.Now()
	records := s.keys.Export(now, func(key string) bool { return s.belongsTo(key, c.From) })
	for _, r := range records {
		if outcome.State(r.State) == outcome.StateRunning {
			// The side repeats its claim, which is answered once the result is known.
			return nil
		}
	}
	answers := []*peer.Handover{{
		From:     s.Self,
		Service:  s.serviceName,
		MovedBy:  c.MovedBy,
		Revision: s.revision,
		Covered:  s.primaries.CoveredBefore(now, c.MovedBy),
		Records:  records,
	}}
	if kept, ok := s.handovers[c.From]; ok && c.Restarted {
		delete(s.handovers, c.From)
		kept.handover.Age = now.Sub(kept.receivedAt)
		answers = append(answers, kept.handover)
	}
	return answers
}

// belongsTo reports whether a caller's key has the given primary; the caller holds the lock.
func (s *Server) belongsTo(key string, side settings.UpstreamID) bool {
	if strings.Contains(key, ticketSeparator) {
		return false
	}
	primary, ok := s.primaries.Primary(key)
	return ok && primary == side
}

// Handover returns the records to send to another side once this one has stopped all work.
func (s *Server) Handover() *peer.Handover {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.service.Kind != settings.KindPlain {
		return nil
	}
	now := s.Clock.Now()
	return &peer.Handover{
		From:     s.Self,
		Service:  s.serviceName,
		Revision: s.revision,
		Covered:  s.primaries.Covered(now),
		Complete: true,
		Records:  s.keys.Export(now, func(key string) bool { return !strings.Contains(key, ticketSeparator) }),
	}
}

// KeepHandover keeps another side's handover until that side's successor claims it.
func (s *Server) KeepHandover(h *peer.Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !h.Complete || h.Service != s.serviceName || len(s.handovers) >= maxHandovers {
		return
	}
	if s.handovers == nil {
		s.handovers = make(map[settings.UpstreamID]keptHandover)
	}
	s.handovers[h.From] = keptHandover{handover: h, receivedAt: s.Clock.Now()}
}
