package relay

import (
	"slices"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

// minCoreShare is the share of its data centre's largest router that a relay needs, so that the work falls on the routers with
// room for it.
const minCoreShare = 0.5

// rendezvousKey is the key for which the routers of a data centre are ranked by rendezvous hashing.
const rendezvousKey = 0x72656c6179

// Router is a router that can relay.
type Router struct {
	Address    string
	DataCentre settings.DataCentre
	// Cores is the CPU capacity that the VM gives the router, in cores; 0 if unknown.
	Cores float64
}

// Partners returns the routers with which self exchanges counts. A router exchanges them with the relay of its data centre, and
// the relays with each other. With n routers in each of z data centres, a relay has n+z-2 partners and any other router one,
// where a full mesh would take n*z-1. Each router elects the relays from its own view; where views differ for a moment, a router
// that others do not regard as a relay answers too, with older sums. relays reports whether self is a relay.
func Partners(self Router, others []Router) (partners []string, relays bool) {
	byDataCentre := map[settings.DataCentre][]Router{self.DataCentre: {self}}
	for _, r := range others {
		byDataCentre[r.DataCentre] = append(byDataCentre[r.DataCentre], r)
	}
	if elected := elect(byDataCentre[self.DataCentre]); elected != self.Address {
		return []string{elected}, false
	}
	for name, routers := range byDataCentre {
		if name != self.DataCentre {
			partners = append(partners, elect(routers))
		}
	}
	slices.Sort(partners)
	return partners, true
}

// elect returns the relay among the routers of one data centre.
func elect(routers []Router) string {
	largest := 0.0
	for _, r := range routers {
		largest = max(largest, r.Cores)
	}
	var ids []settings.UpstreamID
	for _, r := range routers {
		if r.Cores >= minCoreShare*largest {
			ids = append(ids, settings.UpstreamID(r.Address))
		}
	}
	first, _ := rendezvous.New(ids).Primary(rendezvousKey)
	return string(first)
}
