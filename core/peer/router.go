package peer

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/unresponsive"
	"rattantrack.dev/core/wire"
)

// RouterState is the state that one router sends to another, and the reply to it.
type RouterState struct {
	Router inflight.RouterID
	// Address is where other processes reach the router. Incarnation identifies the run of its process.
	Address     string
	Incarnation Incarnation
	// Cores is the number of processor cores that the VM gives the router, or 0 if it is not known.
	Cores float64
	// Open is the number of requests that the router has open at each upstream.
	Open inflight.Counts
	// Observations holds the router's observations of upstreams. It leaves out the upstreams that respond to the requests in
	// Open, which are most of them.
	Observations unresponsive.Observations
	// HasCacheEntries reports that the router's cache warm-up is complete, so that it can pass on its cache entries.
	HasCacheEntries bool
	// WantsCacheEntries requests all cache entries from a router that has them.
	WantsCacheEntries bool
	// CacheQueried lists the upstreams that the router has just queried for their cached prompts.
	CacheQueried []settings.UpstreamID
	// CacheEntries are the prompts that upstreams have processed through this router since its last state to the receiver.
	CacheEntries []affinity.Batch
	// Members are the changes of instances that the router has received since then.
	Members []members.Change
	// MembersComplete reports that the router had a complete list of instances when it filled Members.
	MembersComplete bool
	// DirectoryAge is the time since the router itself last read the platform's directory.
	DirectoryAge time.Duration
	// DirectoryFailing reports that the router cannot read the directory itself.
	DirectoryFailing bool
	// Routers are the addresses of the routers that this one exchanges states with.
	Routers []string
	// Evacuations are the latest orders to evacuate data centres that the router knows. There are few, so each state has them all. A
	// router that starts gets them with the instances. Programs before EvacuationsVersion do not know the field.
	Evacuations []evacuation.Change
}

// routerStateFields is the number of fields of a RouterState that all programs exchange.
const routerStateFields = 15

// EncodeMsgpack encodes the state without the evacuations if there are none.
func (s *RouterState) EncodeMsgpack(enc *msgpack.Encoder) error {
	fields := []any{
		s.Router, s.Address, s.Incarnation, s.Cores, s.Open, s.Observations, s.HasCacheEntries, s.WantsCacheEntries, s.CacheQueried,
		s.CacheEntries, s.Members, s.MembersComplete, s.DirectoryAge, s.DirectoryFailing, s.Routers, s.Evacuations,
	}
	if len(s.Evacuations) == 0 {
		fields = fields[:routerStateFields]
	}
	return wire.Encode(enc, fields...)
}

// DecodeMsgpack decodes a state with or without evacuations.
func (s *RouterState) DecodeMsgpack(dec *msgpack.Decoder) error {
	*s = RouterState{}
	return wire.Decode(dec, routerStateFields,
		&s.Router, &s.Address, &s.Incarnation, &s.Cores, &s.Open, &s.Observations, &s.HasCacheEntries, &s.WantsCacheEntries,
		&s.CacheQueried, &s.CacheEntries, &s.Members, &s.MembersComplete, &s.DirectoryAge, &s.DirectoryFailing, &s.Routers, &s.Evacuations)
}

// Kind returns KindRouterState.
func (*RouterState) Kind() Kind { return KindRouterState }
