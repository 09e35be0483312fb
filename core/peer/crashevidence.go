package peer

import (
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/quarantine"
)

// CrashEvidence sends what a router has seen of crashes of upstreams since its last one. The reply is a CrashEvidence too, which is
// empty unless all evidence was requested.
type CrashEvidence struct {
	Router   inflight.RouterID
	Evidence quarantine.Evidence
	// WantsAll requests the evidence of all routers that the other one has.
	WantsAll bool
}

// Kind returns KindCrashEvidence.
func (*CrashEvidence) Kind() Kind { return KindCrashEvidence }
