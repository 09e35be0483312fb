package peer

import (
	"time"

	"rattantrack.dev/core/settings"
)

// KeyRecord is what a side remembers of one idempotency key.
type KeyRecord struct {
	Key        string
	BodyDigest uint64
	State      uint8
	Status     int
	Headers    []Header
	Answer     []byte
	Remaining  time.Duration
}

// Claim asks another side for the records of the keys that are now the asking side's own.
type Claim struct {
	From    settings.UpstreamID
	Service settings.ServiceName
	// Ended is the revision that may have taken keys from the asked side.
	Ended settings.Revision
	// Restarted says that the asking process has just begun and wants what its predecessor left.
	Restarted bool
}

// Kind returns KindClaim.
func (*Claim) Kind() Kind { return KindClaim }

// Handover answers a Claim, or leaves a stopping side's records with another side.
type Handover struct {
	From    settings.UpstreamID
	Service settings.ServiceName
	// Ended is the revision that was asked about, and Revision the one in force at the sender, which runs no key
	// that either of them gives to others.
	Ended    settings.Revision
	Revision settings.Revision
	// Covered says that the sender could itself vouch for the keys it had before.
	Covered bool
	// Complete says that the records are those of the asking side's predecessor, whole.
	Complete bool
	// Age is how long the handover has been kept.
	Age     time.Duration
	Records []KeyRecord
}

// Kind returns KindHandover.
func (*Handover) Kind() Kind { return KindHandover }

// HandoverAck confirms that a handover is kept.
type HandoverAck struct {
}

// Kind returns KindKept.
func (*HandoverAck) Kind() Kind { return KindKept }

// LeavingLease is how long a router's word that a side is listed as leaving holds without renewal.
const LeavingLease = 10 * time.Second

// FetchPrefix asks a side for the prefix of a chat in its engine's cache; chunks and an End answer it.
type FetchPrefix struct {
	Chat uint64
}

// Kind returns KindFetch.
func (*FetchPrefix) Kind() Kind { return KindFetch }

// Leaving says that the sending side takes no more work; from a router, that the receiving side is listed as leaving.
type Leaving struct {
}

// Kind returns KindLeaving.
func (*Leaving) Kind() Kind { return KindLeaving }
