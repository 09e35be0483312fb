package peer

import (
	"time"

	"rattantrack.dev/core/settings"
)

// KeyRecord is what a side stores about one idempotency key.
type KeyRecord struct {
	Key string
	// BodyDigest is the digest of the request that the key was used for.
	BodyDigest uint64
	// State is an outcome.State, the state of the key's run.
	State uint8
	// Status, Headers and AnswerBody are the recorded response.
	Status     int
	Headers    []Header
	AnswerBody []byte
	// Remaining is the time until the record expires.
	Remaining time.Duration
}

// Claim requests from another side a release acknowledgement and the records of the keys whose primary is now the claiming
// side.
type Claim struct {
	From    settings.UpstreamID
	Service settings.ServiceName
	// MovedBy is the revision that may have moved keys away from the receiving side.
	MovedBy settings.Revision
	// Restarted reports that the claiming process has just started and also requests the handover of its predecessor, the
	// process that ran for the same upstream before.
	Restarted bool
}

// Kind returns KindClaim.
func (*Claim) Kind() Kind { return KindClaim }

// Handover is the reply to a Claim and the release acknowledgement, or transfers the records of a stopping side to another
// side, which stores them for the stopping side's successor.
type Handover struct {
	From    settings.UpstreamID
	Service settings.ServiceName
	// MovedBy is the revision that the claim named, and Revision the one in force at the sender. The sender runs no key
	// that either of them moves to another side.
	MovedBy  settings.Revision
	Revision settings.Revision
	// Covered reports whether the sender could confirm that the keys of which it was primary had no earlier run without a
	// record.
	Covered bool
	// Complete reports that the records are all those that a stopped process handed over for its successor.
	Complete bool
	// Age is how long the handover was stored at the sender.
	Age     time.Duration
	Records []KeyRecord
}

// Kind returns KindHandover.
func (*Handover) Kind() Kind { return KindHandover }

// HandoverAck confirms that a handover is stored.
type HandoverAck struct {
}

// Kind returns KindHandoverAck.
func (*HandoverAck) Kind() Kind { return KindHandoverAck }

// LeavingLease is how long a router's report that a side is listed as leaving is valid without renewal.
const LeavingLease = 10 * time.Second

// FetchPrefix requests a chat's prefix from the cache of a side's engine. The reply is a series of chunks and an End.
type FetchPrefix struct {
	Chat uint64
}

// Kind returns KindFetchPrefix.
func (*FetchPrefix) Kind() Kind { return KindFetchPrefix }

// Leaving from a side reports that it takes no more work. From a router it reports that the receiving side is listed as
// leaving.
type Leaving struct {
}

// Kind returns KindLeaving.
func (*Leaving) Kind() Kind { return KindLeaving }
