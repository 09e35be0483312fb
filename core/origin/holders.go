package origin

import (
	"slices"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// Numbers of routers that hold the origin of a stream beside the one that began it. Fleets above largeFleet have few routers lost at
// once in proportion, and many streams.
const (
	holders      = 3
	holdersLarge = 2
	largeFleet   = 128
	// asked is the number of routers that are asked for an origin. It is larger, since the router that began the stream may have known
	// other routers than the one that asks.
	asked = 5
)

// Holders assigns streams to the routers of a fleet, in an order that each router computes alike; the zero value has no routers.
type Holders struct {
	set *rendezvous.Set
}

// NewHolders returns the assignment for the routers with the given addresses.
func NewHolders(addresses []string) *Holders {
	ids := make([]settings.UpstreamID, len(addresses))
	for i, a := range addresses {
		ids[i] = settings.UpstreamID(a)
	}
	return &Holders{set: rendezvous.New(ids)}
}

// Of returns the routers that hold the origin of a stream which the router at the address self has begun.
func (h *Holders) Of(id StreamID, self string) []string {
	n := holders
	if h.set != nil && h.set.Len() > largeFleet {
		n = holdersLarge
	}
	return h.top(id, self, n)
}

// Asked returns the routers that the router at the address self asks for the origin of a stream.
func (h *Holders) Asked(id StreamID, self string) []string { return h.top(id, self, asked) }

// top returns the first n routers of a stream without self.
func (h *Holders) top(id StreamID, self string, n int) []string {
	if h.set == nil {
		return nil
	}
	var first [rendezvous.MaxTop]settings.UpstreamID
	found := h.set.Top(uint64(id), first[:n+1])
	list := make([]string, 0, n)
	for _, a := range first[:found] {
		if string(a) != self && len(list) < n {
			list = append(list, string(a))
		}
	}
	return slices.Clip(list)
}
