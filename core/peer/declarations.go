package peer

import (
	"rattantrack.dev/core/revision"
	"rattantrack.dev/core/settings"
)

// Announce carries the version of the declarations that is in force at the sender.
type Announce struct {
	Version revision.Version
}

// Kind returns KindAnnounce.
func (*Announce) Kind() Kind { return KindAnnounce }

// Pull requests the changes after a revision.
type Pull struct {
	Since settings.Revision
}

// Kind returns KindPull.
func (*Pull) Kind() Kind { return KindPull }

// DeltaReply is the reply to Pull.
type DeltaReply struct {
	Delta revision.Delta
}

// Kind returns KindDeltaReply.
func (*DeltaReply) Kind() Kind { return KindDeltaReply }
