package relay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/settings"
)

// fleet returns n routers in z data centres; every third one is large.
func fleet(n, z int) []Router {
	var list []Router
	for i := range n {
		list = append(list, Router{
			Address: fmt.Sprintf("10.%d.0.%d:8229", i%z, i), DataCentre: settings.DataCentre(fmt.Sprint(i % z)),
			Cores: []float64{0.8, 0.144, 0.3}[i/z%3],
		})
	}
	return list
}

// without returns a copy of the list without the routers of the given addresses.
func without(list []Router, addresses ...string) []Router {
	var kept []Router
	for _, r := range list {
		lost := false
		for _, a := range addresses {
			lost = lost || r.Address == a
		}
		if !lost {
			kept = append(kept, r)
		}
	}
	return kept
}

func TestEveryDataCentreHasOneRelay(t *testing.T) {
	for _, size := range []struct{ routers, dataCentres int }{{12, 4}, {30, 4}, {103, 6}, {300, 19}, {400, 19}} {
		t.Run(fmt.Sprint(size.routers), func(t *testing.T) {
			c := qt.New(t)
			routers := fleet(size.routers, size.dataCentres)
			relays := 0
			for _, r := range routers {
				partners, relay := Partners(r, without(routers, r.Address))
				if !relay {
					c.Assert(partners, qt.HasLen, 1)
					continue
				}
				relays++
				c.Assert(r.Cores, qt.Equals, 0.8)
				c.Assert(partners, qt.HasLen, size.dataCentres-1)
			}
			c.Assert(relays, qt.Equals, size.dataCentres)
		})
	}
}

func TestAnotherRouterTakesOverFromALostRelay(t *testing.T) {
	c := qt.New(t)
	routers := fleet(30, 4)
	lost := elect(without(routers, "none")[:1])
	for _, r := range routers {
		if _, relay := Partners(r, without(routers, r.Address)); relay && r.DataCentre == "0" {
			lost = r.Address
		}
	}
	left := without(routers, lost)
	next := ""
	for _, r := range left {
		partners, relay := Partners(r, without(left, r.Address))
		if r.DataCentre != "0" || relay {
			continue
		}
		if next == "" {
			next = partners[0]
		}
		c.Assert(partners[0], qt.Equals, next)
	}
	c.Assert(next, qt.Not(qt.Equals), lost)
}

func TestRouterAloneHasNoPartners(t *testing.T) {
	partners, relay := Partners(Router{Address: "a", DataCentre: "x"}, nil)
	qt.Assert(t, partners, qt.HasLen, 0)
	qt.Assert(t, relay, qt.IsTrue)
}
