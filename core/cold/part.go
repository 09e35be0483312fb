package cold

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/settings"
)

// Limits bounds the requests that all routers together send to a cold upstream in one second: Overage times the rate that its service
// names, plus Slack.
type Limits struct {
	Overage, Slack float64
}

// bound returns the number of requests that a cold upstream may get in one second. perSecond is the rate that its service names.
func (l Limits) bound(perSecond float64) int {
	return int(min(math.Floor(perSecond*l.Overage+l.Slack), math.MaxInt32))
}

// part returns how many of the requests that an upstream may get in one second are this router's. It is the same for all routers, and one
// more for those that come first in the upstream's rendezvous order of the routers. Two properties make the sum over all routers hold
// without any message between them, as long as each knows at least the routers that send. The parts of routers with the same list add
// up to the bound. And a router that leaves the list shrinks no other part, so a router with a longer list than others only takes less.
func part(bound int, self string, routers []string, id settings.UpstreamID) int {
	n := len(routers)
	if n == 0 || bound <= 0 {
		return 0
	}
	own := score(self, id)
	before := 0
	for _, r := range routers {
		if s := score(r, id); s > own || s == own && r < self {
			before++
		}
	}
	p := bound / n
	if before < bound%n {
		p++
	}
	return p
}

// score orders the routers for an upstream.
func score(router string, id settings.UpstreamID) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(router)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(id))
	return h.Sum64()
}
