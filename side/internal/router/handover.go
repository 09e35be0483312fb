package router

import (
	"strings"
	"time"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/outcome"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// ticketMark tells tickets from callers' own keys: it ends a ticket's first part and stands in no key.
const ticketMark = "."

// Bounds of what is kept for successors.
const (
	// maxHandovers bounds the stopped sides whose records are kept here.
	maxHandovers = 16
	// freshTime is how long a new process asks for what its predecessor left.
	freshTime = 30 * time.Second
)

// keptHandover is what a stopped side left, and when it came.
type keptHandover struct {
	handover *peer.Handover
	at       clock.Instant
}

// PendingClaim is a claim and the address of the side to ask.
type PendingClaim struct {
	Claim   *peer.Claim
	Address string
}

// PendingClaims returns the questions whose answers are missing.
func (d *Server) PendingClaims() []PendingClaim {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fleet == nil || d.service.Kind != settings.KindPlain {
		return nil
	}
	now := d.Clock.Now()
	fresh := now.Sub(d.Started) < freshTime
	var list []PendingClaim
	for _, w := range d.homes.MissingAcks(now) {
		address, ok := d.lastAddress(w.From)
		if !ok {
			continue
		}
		claim := &peer.Claim{From: d.Self, Service: d.name, Ended: w.Ended, Restarted: fresh}
		list = append(list, PendingClaim{Claim: claim, Address: address})
	}
	return list
}

// lastAddress returns where a side was last declared to be; the caller holds the lock. A side that was taken out of the
// declarations must still be asked.
func (d *Server) lastAddress(id settings.UpstreamID) (string, bool) {
	if u, ok := d.fleet.Upstreams[id]; ok {
		return u.Side, !u.Destroyed
	}
	address, ok := d.former[id]
	return address, ok
}

// ApplyHandover takes in another side's answer to a claim.
func (d *Server) ApplyHandover(h *peer.Handover) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	for _, r := range h.Records {
		d.keys.Import(now, r)
	}
	if !h.Complete {
		d.homes.AddReleaseAck(now, h.From, h.Ended, h.Revision, h.Covered)
		return
	}
	// Nobody between the predecessor and this process can have run a key: that takes a handover, and this is
	// the only copy, or a key's lifetime.
	if h.Covered && h.Age < d.service.KeyLifetime {
		d.homes.MarkRecovered()
	}
}

// AnswerClaim hands over the records that a claiming side is now home of; it is nil while that cannot be done yet.
func (d *Server) AnswerClaim(c *peer.Claim) []*peer.Handover {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c.Service != d.name || d.revision < c.Ended {
		return nil
	}
	now := d.Clock.Now()
	records := d.keys.Export(now, func(key string) bool { return d.belongsTo(key, c.From) })
	for _, r := range records {
		if outcome.State(r.State) == outcome.StateRunning {
			// The claim comes again, and then the result is known.
			return nil
		}
	}
	answers := []*peer.Handover{{
		From:     d.Self,
		Service:  d.name,
		Ended:    c.Ended,
		Revision: d.revision,
		Covered:  d.homes.CoveredBefore(now, c.Ended),
		Records:  records,
	}}
	if kept, ok := d.handovers[c.From]; ok && c.Restarted {
		delete(d.handovers, c.From)
		kept.handover.Age = now.Sub(kept.at)
		answers = append(answers, kept.handover)
	}
	return answers
}

// belongsTo reports whether a caller's key has the given home; the caller holds the lock.
func (d *Server) belongsTo(key string, side settings.UpstreamID) bool {
	if strings.Contains(key, ticketMark) {
		return false
	}
	home, ok := d.homes.Primary(key)
	return ok && home == side
}

// Handover returns what to leave with another side when this one has stopped all work.
func (d *Server) Handover() *peer.Handover {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.service.Kind != settings.KindPlain {
		return nil
	}
	now := d.Clock.Now()
	return &peer.Handover{
		From:     d.Self,
		Service:  d.name,
		Revision: d.revision,
		Covered:  d.homes.Covered(now),
		Complete: true,
		Records:  d.keys.Export(now, func(key string) bool { return !strings.Contains(key, ticketMark) }),
	}
}

// KeepHandover holds another side's handover until its successor claims it.
func (d *Server) KeepHandover(h *peer.Handover) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !h.Complete || h.Service != d.name || len(d.handovers) >= maxHandovers {
		return
	}
	if d.handovers == nil {
		d.handovers = make(map[settings.UpstreamID]keptHandover)
	}
	d.handovers[h.From] = keptHandover{handover: h, at: d.Clock.Now()}
}
