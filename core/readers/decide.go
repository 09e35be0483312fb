package readers

import (
	"slices"
	"time"

	"rattantrack.dev/core/rank"
	"rattantrack.dev/core/settings"
)

// Bounds of the choice.
const (
	// count is the number of routers that read, so that one may fail unnoticed.
	count = 2
	// maxAge is the age of the news above which a router reads itself. It lies above the time between two answers to a
	// reader, and within the time in which a change must be in force.
	maxAge = 1600 * time.Millisecond
)

// key places the readers among the routers by rendezvous hashing.
const key = 0x646972

// State is what the decision depends on.
type State struct {
	// Self is this router, Others are those that can be reached and can read, by address.
	Self   string
	Others []string
	// Age is the age of the newest news that others have told.
	Age time.Duration
}

// Decide reports whether a router reads the directory itself. It answers fleets whose routers together would call the
// directory more often than it serves: the calls stay the same however many routers there are.
func Decide(s State) bool {
	if s.Age > maxAge {
		return true
	}
	ids := make([]settings.UpstreamID, 0, len(s.Others)+1)
	ids = append(ids, settings.UpstreamID(s.Self))
	for _, address := range s.Others {
		ids = append(ids, settings.UpstreamID(address))
	}
	var top [count]settings.UpstreamID
	n := rank.New(ids).Top(key, top[:])
	return slices.Contains(top[:n], settings.UpstreamID(s.Self))
}
