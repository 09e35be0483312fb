package peer

import (
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// Incarnation identifies one run of a process. It changes with each restart.
type Incarnation string

// Role is the kind of process at the other end of a link.
type Role string

// The roles of processes.
const (
	RoleRouter Role = "router"
	RoleSide   Role = "side"
)

// ProtocolVersion is the latest version of the protocol, and minProtocolVersion the oldest that a process still speaks. Version 2
// added LoadReport and LoadTotals, version 3 CrashEvidence, version 4 UsageReport and UsageTotals, version 5 digests in
// CrashEvidence, versions of instances in RouterState, StreamOrigins, OriginQuery and OriginReply, version 6 evacuations in RouterState,
// listings of upstreams in CacheEntries, WorkReport, WorkTotals and StateExchange, version 7 Goodbye.
const (
	ProtocolVersion    = 7
	minProtocolVersion = 1
)

// LoadReportVersion is the first version with LoadReport and LoadTotals.
const LoadReportVersion = 2

// CrashEvidenceVersion is the first version with CrashEvidence.
const CrashEvidenceVersion = 3

// RequestDigestVersion is the first version with digests of requests in CrashEvidence.
const RequestDigestVersion = 5

// InstanceVersionVersion is the first version of the protocol with versions of instances in RouterState.
const InstanceVersionVersion = 5

// StreamOriginsVersion is the first version with StreamOrigins, OriginQuery and OriginReply.
const StreamOriginsVersion = 5

// EvacuationsVersion is the first version with evacuations in RouterState.
const EvacuationsVersion = 6

// CacheListingVersion is the first version with listings of upstreams in CacheEntries.
const CacheListingVersion = 6

// UsageReportVersion is the first version with UsageReport and UsageTotals.
const UsageReportVersion = 4

// WorkReportVersion is the first version with WorkReport and WorkTotals.
const WorkReportVersion = 6

// StateExchangeVersion is the first version with StateExchange.
const StateExchangeVersion = 6

// GoodbyeVersion is the first version with Goodbye.
const GoodbyeVersion = 7

// Hello is the first message in each direction of a link.
type Hello struct {
	Protocol    int
	Role        Role
	ID          string
	DataCentre  settings.DataCentre
	Incarnation Incarnation
	Revision    settings.Revision
	// Sent is the sender's clock. It is the first sample for Link.Lateness.
	Sent clock.Instant
}

// Kind returns KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Ping requests a Pong, which shows that the link still carries data.
type Ping struct {
}

// Kind returns KindPing.
func (*Ping) Kind() Kind { return KindPing }

// Pong is the reply to Ping.
type Pong struct {
}

// Kind returns KindPong.
func (*Pong) Kind() Kind { return KindPong }

// Reset ends one stream without a result.
type Reset struct {
	Reason string
}

// Kind returns KindReset.
func (*Reset) Kind() Kind { return KindReset }

// Window allows the sender of a stream's chunks to send N more.
type Window struct {
	N int
}

// Kind returns KindWindow.
func (*Window) Kind() Kind { return KindWindow }
