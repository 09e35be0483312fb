package router

import (
	"context"

	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
)

// Serve answers a router's message; it reports false for messages of other services.
func (d *Server) Serve(ctx context.Context, st *peer.Stream, m peer.Message) bool {
	switch v := m.(type) {
	case *peer.Submit:
		d.submit(ctx, st, v)
	case *peer.AttemptQuery:
		_ = st.Send(ctx, d.query(v))
	case *peer.IssueTicket:
		d.issue(ctx, st)
	case *peer.ChatPlaced:
		d.placed(v)
	default:
		return false
	}
	return true
}

// query tells whether an attempt has started, and withdraws it if not.
func (d *Server) query(q *peer.AttemptQuery) *peer.AttemptState {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := outcome.AttemptKey{Request: q.Request, Attempt: q.Attempt}
	started, certain := d.attempts.Withdraw(d.Clock.Now(), key, q.Remaining)
	return &peer.AttemptState{Started: started, Certain: certain}
}

func (d *Server) issue(ctx context.Context, st *peer.Stream) {
	d.mu.Lock()
	lifetime := d.service.KeyLifetime
	leaving := d.isLeaving(d.Clock.Now())
	d.mu.Unlock()
	if leaving {
		_ = st.Send(ctx, &peer.Refuse{Code: peer.RefuseLeaving})
		return
	}
	text, err := d.Issuer.Issue(d.Clock.Now())
	if err != nil {
		d.Log.Error("issuing a ticket", "error", err)
		_ = st.Send(ctx, &peer.Refuse{Code: peer.RefuseTicket})
		return
	}
	_ = st.Send(ctx, &peer.TicketIssued{Ticket: text, Lifetime: lifetime})
}

func (d *Server) placed(p *peer.ChatPlaced) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.admission.CacheOwners.RecordServed(p.Chat, p.Side)
}
