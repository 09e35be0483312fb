package origin

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

// KeepTime is how long an origin is remembered after its stream has begun or gone on. It is longer than clients wait.
const KeepTime = time.Minute

// StreamID identifies a stream. Clients name the same stream by the same attempt, however often they take it up again.
type StreamID uint64

// NewStreamID returns the id of the stream whose first event an attempt of the client has brought.
func NewStreamID(firstAttempt call.ID) StreamID {
	return StreamID(xxhash.Sum64String(string(firstAttempt)))
}

// Origin is the service and the version of it that began a stream.
type Origin struct {
	Service settings.ServiceName
	Version members.Version
}
