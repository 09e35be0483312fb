package polling

import (
	"slices"
	"time"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// Bounds of the choice.
const (
	// count is the number of routers that read, so that one may fail unnoticed.
	count = 2
	// maxAge is the age of the news above which a router reads itself. It lies above the time between two answers to a
	// reader, and within the time in which a change must be in force.
	maxAge = 1600 * time.Millisecond
	// minCoreShare is the part of the most capable router's processor that a reader needs: a version with thousands of
	// routes keeps a small VM busy for longer than its clients can wait.
	minCoreShare = 0.5
)

// key places the readers among the routers by rendezvous hashing.
const key = 0x646972

// Candidate is a router that can read the directory.
type Candidate struct {
	Address string
	// Cores is the processor that its VM gives it, in cores; 0 where it is not known.
	Cores float64
}

// State is what the decision depends on.
type State struct {
	// Self is this router, Others are those that can be reached and can read.
	Self   Candidate
	Others []Candidate
	// UpdateAge is the age of the newest news that others have told.
	UpdateAge time.Duration
}

// Selected reports whether a router reads the directory itself. It answers fleets whose routers together would call the
// directory more often than it serves: the calls stay the same however many routers there are. And it answers versions of
// the declarations that are large for the smallest VMs of the fleet: capable ones take them in first.
func Selected(s State) bool {
	if s.UpdateAge > maxAge {
		return true
	}
	most := s.Self.Cores
	for _, r := range s.Others {
		most = max(most, r.Cores)
	}
	if s.Self.Cores < minCoreShare*most {
		return false
	}
	ids := []settings.UpstreamID{settings.UpstreamID(s.Self.Address)}
	for _, r := range s.Others {
		if r.Cores >= minCoreShare*most {
			ids = append(ids, settings.UpstreamID(r.Address))
		}
	}
	var top [count]settings.UpstreamID
	n := rendezvous.New(ids).Top(key, top[:])
	return slices.Contains(top[:n], settings.UpstreamID(s.Self.Address))
}
