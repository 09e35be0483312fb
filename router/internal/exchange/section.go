package exchange

import (
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/peer"
)

// Changes is a part of a section's state to send.
type Changes struct {
	// To is the version that the receiver has after Data.
	To   peer.StateVersion
	Data []byte
}

// Section is one kind of state. What it applies it passes on with its own changes, unless it knew it already, so that state spreads
// over any connected graph of exchanges and a change that comes back ends there. Its methods are called by many goroutines.
type Section interface {
	// ID is the number of the section on the wire.
	ID() peer.SectionID
	// Name is the section's name in metrics.
	Name() string
	// Version is that of the latest change, at least 1. Urgent is that of the latest one that should not wait for the next exchange.
	Version() peer.StateVersion
	Urgent() peer.StateVersion
	// Digest identifies the complete state.
	Digest() uint64
	// Resume returns the version from which a router with the same digest goes on that has had another partner until now.
	Resume(now clock.Instant) peer.StateVersion
	// Since returns the changes after a version without those that came from the receiver, bounded by the section. It returns false if
	// they are no longer known, so that the receiver needs the complete state.
	Since(now clock.Instant, after peer.StateVersion, receiver string) (Changes, bool)
	// Full returns the complete state for a router with another digest.
	Full(now clock.Instant, digest uint64) Changes
	// Bulky reports that the complete state is so large that two routers whose digests differ wait whether these become the same.
	Bulky() bool
	// Apply applies what another router has sent. Without To in the part, the sender may know more.
	Apply(now clock.Instant, sender string, part peer.StateSection) error
}

// neighbour is the state of the exchange with one router.
type neighbour struct {
	incarnation peer.Incarnation
	sections    map[peer.SectionID]*place
	exchanging  bool
	// lastExchange is when the latest exchange ended, lastStart when the latest one that this router began started.
	lastExchange, lastStart clock.Instant
	// timeouts is the number of exchanges in a row that got no reply in time.
	timeouts int
	// began reports that the neighbour began the latest exchange, over link.
	began bool
	link  *peer.Link
	// urgent is the sum of the urgent versions that the latest exchange covered.
	urgent peer.StateVersion
}

// due reports whether an exchange should begin. urgent is the sum of the current urgent versions.
func (n *neighbour) due(now clock.Instant, urgent peer.StateVersion, joining bool) bool {
	return now.Sub(n.lastStart) >= interval || (!joining && n.urgent != urgent && now.Sub(n.lastStart) >= urgentInterval)
}

// place is how far the exchange of one section with a neighbour has come.
type place struct {
	// applied is the neighbour's version that is applied here, acked this router's version that is applied there.
	applied, acked peer.StateVersion
	// digest is that of the neighbour's state; known is set once the neighbour has stated it.
	digest uint64
	known  bool
	// differsSince is when the digests were first found to differ, 0 if they do not.
	differsSince clock.Instant
}

// settled reports whether the digests of a section have differed for so long that it is not for changes on their way, which is the rule
// while a tree forms. A router without state does not wait.
func (p *place) settled(now clock.Instant, own uint64) bool {
	if p.digest == 0 || p.digest == own {
		p.differsSince = 0
		return true
	}
	if p.differsSince == 0 {
		p.differsSince = now
	}
	return now.Sub(p.differsSince) >= settleTime
}

// place returns the place of a section. The caller holds the lock.
func (n *neighbour) place(id peer.SectionID) *place {
	if n.sections == nil {
		n.sections = make(map[peer.SectionID]*place)
	}
	p := n.sections[id]
	if p == nil {
		p = &place{}
		n.sections[id] = p
	}
	return p
}

// meet starts from nothing if the neighbour has restarted. The caller holds the lock.
func (n *neighbour) meet(incarnation peer.Incarnation) {
	if n.incarnation != incarnation {
		n.incarnation, n.sections = incarnation, nil
	}
}
