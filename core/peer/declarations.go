package peer

import (
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// Announce tells a neighbour which version is in force here.
type Announce struct {
	Version revision.Version
}

// Kind returns KindAnnounce.
func (*Announce) Kind() Kind { return KindAnnounce }

// Pull asks for what changed after a revision.
type Pull struct {
	Since settings.Revision
}

// Kind returns KindPull.
func (*Pull) Kind() Kind { return KindPull }

// DeltaReply answers Pull.
type DeltaReply struct {
	Delta revision.Delta
}

// Kind returns KindDelta.
func (*DeltaReply) Kind() Kind { return KindDelta }
