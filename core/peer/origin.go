package peer

import (
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/origin"
	"rattantrack.dev/core/settings"
)

// StreamOrigins gives a router the origins of streams to hold; it has no reply.
type StreamOrigins struct {
	Batches []OriginBatch
}

// Kind returns KindStreamOrigins.
func (*StreamOrigins) Kind() Kind { return KindStreamOrigins }

// OriginBatch lists streams with the same origin.
type OriginBatch struct {
	Origin  origin.Origin
	Streams []origin.StreamID
}

// OriginQuery asks for the origin of a stream, unless Stream is 0, and for the versions of a service that have served lately, or those
// of all services if Service is empty.
type OriginQuery struct {
	Stream  origin.StreamID
	Service settings.ServiceName
}

// Kind returns KindOriginQuery.
func (*OriginQuery) Kind() Kind { return KindOriginQuery }

// OriginReply is the reply to an OriginQuery.
type OriginReply struct {
	Router inflight.RouterID
	// Found reports that the router remembers Origin as that of the stream.
	Found  bool
	Origin origin.Origin
	// Seen are the versions that have served lately. Complete reports that there were no others.
	Seen     []origin.Seen
	Complete bool
}

// Kind returns KindOriginReply.
func (*OriginReply) Kind() Kind { return KindOriginReply }
