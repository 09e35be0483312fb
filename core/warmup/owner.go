package warmup

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// Times after which engines are taken over.
const (
	// TakeoverDelay is how long an engine is left to the router that the settings alone choose for it. Routers of one
	// fleet start within 0.3 s of each other, and one that lives has been met soon after.
	TakeoverDelay = 500 * time.Millisecond
	// AloneTime is after how long the routers that the settings do not name ask, where they have met none that is named.
	AloneTime = 1500 * time.Millisecond
)

// State is what the decision depends on.
type State struct {
	// Self is this router, Named are the routers that the settings of all routers name, Met those that were reached, all
	// by address.
	Self      string
	Seeds     []string
	Reachable []string
	// Elapsed is the time since this router knew the engines.
	Elapsed time.Duration
}

// Assigned reports whether it falls to this router to ask an engine. It answers fleets whose routers all start at once: they
// do not know each other yet, so only what their settings name can divide the engines among them. Were each to ask on its
// own, every engine would be asked once for each router, just when the clients come back.
func Assigned(s State, engine settings.UpstreamID) bool {
	if s.Elapsed < TakeoverDelay {
		return owner(s.Seeds, engine) == s.Self
	}
	living := slices.DeleteFunc(slices.Clone(s.Seeds), func(address string) bool {
		return address != s.Self && !slices.Contains(s.Reachable, address)
	})
	if len(living) > 0 {
		return owner(living, engine) == s.Self
	}
	return s.Elapsed >= AloneTime && owner(append([]string{s.Self}, s.Reachable...), engine) == s.Self
}

// owner is the first router for an engine by rendezvous hashing.
func owner(routers []string, engine settings.UpstreamID) string {
	ids := make([]settings.UpstreamID, len(routers))
	for i, address := range routers {
		ids[i] = settings.UpstreamID(address)
	}
	first, _ := rendezvous.New(ids).Home(xxhash.Sum64String(string(engine)))
	return string(first)
}
