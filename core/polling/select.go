package polling

import (
	"slices"
	"time"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// Limits of the selection.
const (
	// pollerCount is the number of routers that poll, so that one may fail without effect.
	pollerCount = 2
	// maxUpdateAge is the age of the newest update above which a router polls the directory itself. It is longer than
	// the time between two responses to a poller and shorter than the time within which a change must be in force.
	maxUpdateAge = 1600 * time.Millisecond
	// minCoreShare is the share of the most capable router's CPU that a poller needs. A version with thousands of
	// routes keeps a small VM busy for longer than its clients can wait.
	minCoreShare = 0.5
)

// rendezvousKey is the key for which the routers are ranked by rendezvous hashing.
const rendezvousKey = 0x646972

// Candidate is a router that can poll the directory.
type Candidate struct {
	Address string
	// Cores is the CPU capacity that the VM gives the router, in cores; 0 if unknown.
	Cores float64
}

// State is the input of the selection.
type State struct {
	// Self is this router, Others are the reachable routers that can poll.
	Self   Candidate
	Others []Candidate
	// UpdateAge is the time since the newest read of the directory that another router has reported.
	UpdateAge time.Duration
}

// Selected reports whether this router polls the directory. The number of pollers is fixed because a fleet in which
// every router polls would call the directory more often than it serves. Routers with more CPU are preferred because a
// large version of the declarations takes long to apply on the smallest VMs. A router whose updates are older than
// maxUpdateAge always polls.
func Selected(s State) bool {
	if s.UpdateAge > maxUpdateAge {
		return true
	}
	maxCores := s.Self.Cores
	for _, r := range s.Others {
		maxCores = max(maxCores, r.Cores)
	}
	if s.Self.Cores < minCoreShare*maxCores {
		return false
	}
	ids := []settings.UpstreamID{settings.UpstreamID(s.Self.Address)}
	for _, r := range s.Others {
		if r.Cores >= minCoreShare*maxCores {
			ids = append(ids, settings.UpstreamID(r.Address))
		}
	}
	var top [pollerCount]settings.UpstreamID
	n := rendezvous.New(ids).Top(rendezvousKey, top[:])
	return slices.Contains(top[:n], settings.UpstreamID(s.Self.Address))
}
