package peer

import (
	"time"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/unresponsive"
)

// RouterState is what one router tells another, and the answer to it.
type RouterState struct {
	Router inflight.RouterID
	// Address is where the router is reached, Incarnation its life.
	Address     string
	Incarnation Incarnation
	// Cores is the processor that the VM gives the router, in cores; 0 where it is not known.
	Cores float64
	// Open is the number of requests that it has open at each upstream.
	Open inflight.Counts
	// Responsiveness is what the router hears of upstreams, but for those that answer the requests in Open.
	Responsiveness unresponsive.Observations
	// HasCacheEntries says that it knows which prompts are cached where, from its own time or from the engines.
	HasCacheEntries bool
	// WantsCacheEntries asks a router that knows them for all cached prompts.
	WantsCacheEntries bool
	// CacheQueried are the upstreams whose cached prompts the router has just asked for.
	CacheQueried []settings.UpstreamID
	// CacheEntries are the prompts that upstreams have read through it since it told the other router last.
	CacheEntries []affinity.Batch
	// Members are the changes of instances that it has heard of since then.
	Members []members.Change
	// MembersComplete says that Members holds every instance that it knows.
	MembersComplete bool
	// DirectoryAge is how long ago the router itself has read the platform's directory.
	DirectoryAge time.Duration
	// DirectoryFailing says that the router cannot read the directory itself.
	DirectoryFailing bool
	// Routers are the addresses of the routers that it exchanges with.
	Routers []string
}

// Kind returns KindRouterState.
func (*RouterState) Kind() Kind { return KindRouterState }
