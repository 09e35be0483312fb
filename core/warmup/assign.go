package warmup

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// Delays after which other routers take over the query of an engine.
const (
	// TakeoverDelay is how long an engine is left to the seed that the settings alone assign to it. Routers of one
	// fleet start within 0.3 s of each other, and a running seed has been reached soon after.
	TakeoverDelay = 500 * time.Millisecond
	// fallbackDelay is after how long routers that are not seeds query engines if they have reached no seed.
	fallbackDelay = 1500 * time.Millisecond
)

// State is the input of the decision.
type State struct {
	// Self is this router, Seeds are the routers named in the settings of all routers, and Reachable are the routers
	// that have been reached, all by address.
	Self      string
	Seeds     []string
	Reachable []string
	// Elapsed is the time since this router got the list of engines.
	Elapsed time.Duration
}

// Assigned reports whether this router has to query an engine. When all routers start at once, they have not reached
// each other yet, and only the seeds in their settings can divide the engines among them. If each router decided on its own,
// every engine would be queried once by every router, just when the clients come back.
func Assigned(s State, engine settings.UpstreamID) bool {
	if s.Elapsed < TakeoverDelay {
		return assignee(s.Seeds, engine) == s.Self
	}
	liveSeeds := slices.DeleteFunc(slices.Clone(s.Seeds), func(address string) bool {
		return address != s.Self && !slices.Contains(s.Reachable, address)
	})
	if len(liveSeeds) > 0 {
		return assignee(liveSeeds, engine) == s.Self
	}
	return s.Elapsed >= fallbackDelay && assignee(append([]string{s.Self}, s.Reachable...), engine) == s.Self
}

// AssignedOnDemand returns whether this router has to query an engine that has not been queried since streams came that nobody can
// place. Elapsed is the time since then. A router that got no such stream queries none, so its engines are taken over.
func AssignedOnDemand(s State) func(engine settings.UpstreamID) bool {
	if s.Elapsed >= TakeoverDelay {
		return func(settings.UpstreamID) bool { return true }
	}
	set := setOf(append([]string{s.Self}, s.Reachable...))
	return func(engine settings.UpstreamID) bool { return primaryOf(set, engine) == s.Self }
}

// assignee returns the first router for an engine by rendezvous hashing.
func assignee(routers []string, engine settings.UpstreamID) string {
	return primaryOf(setOf(routers), engine)
}

func setOf(routers []string) *rendezvous.Set {
	ids := make([]settings.UpstreamID, len(routers))
	for i, address := range routers {
		ids[i] = settings.UpstreamID(address)
	}
	return rendezvous.New(ids)
}

func primaryOf(routers *rendezvous.Set, engine settings.UpstreamID) string {
	first, _ := routers.Primary(xxhash.Sum64String(string(engine)))
	return string(first)
}
