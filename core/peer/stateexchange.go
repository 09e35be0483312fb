package peer

import "rattantrack.dev/core/inflight"

// SectionID is the number of a kind of state that routers exchange. It is part of the wire format.
type SectionID uint8

// The sections.
const (
	// SectionRouters holds the routers of the fleet, SectionMembers the instances, SectionCaches the cache entries, SectionCacheQueries the
	// upstreams whose caches a router has queried after its start, and SectionEvacuations the evacuated data centres.
	SectionRouters SectionID = iota + 1
	SectionMembers
	SectionCaches
	SectionCacheQueries
	SectionEvacuations
)

// StateVersion counts the changes of a section at one router, from 1 on. 0 stands for nothing.
type StateVersion uint64

// StateExchange carries what has changed in the state of a router since the receiver last acknowledged it, and is the reply to itself.
type StateExchange struct {
	Router inflight.RouterID
	// Address is where other processes reach the sender. Incarnation identifies the run of its process, and Receiver the run of the
	// receiver's process that Ack and Seen refer to, empty if the sender does not know it yet.
	Address     string
	Incarnation Incarnation
	Receiver    Incarnation
	Sections    []StateSection
}

// Kind returns KindStateExchange.
func (*StateExchange) Kind() Kind { return KindStateExchange }

// StateSection is the part of a StateExchange that belongs to one section. The reply has the same sections as the request.
type StateSection struct {
	ID SectionID
	// Ack is the version of the receiver's section up to which the sender has applied the changes.
	Ack StateVersion
	// Digest identifies the sender's complete state. One with the same digest is not sent.
	Digest uint64
	// To is the version that the receiver has after Data, 0 if nothing is stated about it. Full reports that Data is the complete state
	// and not the changes after the acknowledged version.
	To   StateVersion
	Full bool
	Data []byte
}
