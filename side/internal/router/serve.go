package router

import (
	"context"

	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
)

// Serve handles a message from a router; it returns false for messages of other services.
func (s *Server) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	switch v := m.(type) {
	case *peer.Submit:
		s.submit(ctx, st, v)
	case *peer.AttemptQuery:
		_ = st.Send(ctx, s.queryAttempt(v))
	case *peer.IssueTicket:
		s.issueTicket(ctx, st)
	case *peer.ChatServed:
		s.recordServed(v)
	default:
		return false
	}
	return true
}

// queryAttempt reports whether an attempt has started, and withdraws it if it has not.
func (s *Server) queryAttempt(q *peer.AttemptQuery) *peer.AttemptState {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := outcome.AttemptKey{Request: q.Request, Attempt: q.Attempt}
	started, certain := s.attempts.Withdraw(s.Clock.Now(), key, q.Remaining)
	return &peer.AttemptState{Started: started, Certain: certain}
}

func (s *Server) issueTicket(ctx context.Context, st *peer.Stream) {
	s.mu.Lock()
	lifetime := s.service.KeyLifetime
	leaving := s.isLeaving(s.Clock.Now())
	s.mu.Unlock()
	if leaving {
		_ = st.Send(ctx, &peer.Refuse{Code: peer.RefuseLeaving})
		return
	}
	text, err := s.Issuer.Issue(s.Clock.Now())
	if err != nil {
		s.Log.Error("cannot issue a ticket", "error", err)
		_ = st.Send(ctx, &peer.Refuse{Code: peer.RefuseTicketInvalid})
		return
	}
	_ = st.Send(ctx, &peer.TicketIssued{Ticket: text, Lifetime: lifetime})
}

func (s *Server) recordServed(p *peer.ChatServed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admission.CacheOwners.RecordServed(p.Chat, p.Side)
}
