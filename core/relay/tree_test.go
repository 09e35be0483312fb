package relay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// edges returns the routers with which each router begins exchanges, if all see the same fleet.
func edges(routers []Router) map[string][]string {
	list := make(map[string][]string)
	for _, r := range routers {
		list[r.Address], _ = Parents(r, without(routers, r.Address))
	}
	return list
}

// reached returns how many routers a change of one router reaches, and over how many exchanges.
func reached(routers []Router, from string) (count, depth int) {
	graph := make(map[string][]string)
	for a, list := range edges(routers) {
		for _, b := range list {
			graph[a], graph[b] = append(graph[a], b), append(graph[b], a)
		}
	}
	seen := map[string]bool{from: true}
	level := []string{from}
	for len(level) > 0 {
		var next []string
		for _, a := range level {
			for _, b := range graph[a] {
				if !seen[b] {
					seen[b] = true
					next = append(next, b)
				}
			}
		}
		if len(next) > 0 {
			depth++
		}
		level = next
	}
	return len(seen), depth
}

// TestTreeReachesEveryRouterOfLargeFleet guards against work that grows with the fleet: the exchange from all to all filled the processors
// of 300 routers.
func TestTreeReachesEveryRouterOfLargeFleet(t *testing.T) {
	for _, size := range []struct{ routers, dataCentres, depth int }{{41, 4, 7}, {103, 6, 7}, {300, 4, 9}, {400, 19, 9}} {
		t.Run(fmt.Sprint(size.routers), func(t *testing.T) {
			c := qt.New(t)
			routers := fleet(size.routers, size.dataCentres)
			count, depth := reached(routers, routers[len(routers)-1].Address)
			c.Assert(count, qt.Equals, size.routers)
			c.Assert(depth <= size.depth, qt.IsTrue, qt.Commentf("depth %d", depth))
			degree := make(map[string]int)
			for a, list := range edges(routers) {
				for _, b := range list {
					degree[a]++
					degree[b]++
				}
			}
			for address, n := range degree {
				c.Assert(n <= fanout+2*(size.dataCentres-1), qt.IsTrue, qt.Commentf("%s has %d", address, n))
			}
		})
	}
}

func TestTreeWithoutLostRouterReachesTheOthers(t *testing.T) {
	c := qt.New(t)
	routers := fleet(100, 4)
	for _, lost := range routers {
		left := without(routers, lost.Address)
		count, _ := reached(left, left[0].Address)
		c.Assert(count, qt.Equals, 99)
	}
}

func TestRoutersWithLittleCPUAreLeaves(t *testing.T) {
	c := qt.New(t)
	routers := fleet(90, 3)
	cores := make(map[string]float64)
	for _, r := range routers {
		cores[r.Address] = r.Cores
	}
	for _, list := range edges(routers) {
		for _, parent := range list {
			c.Assert(cores[parent], qt.Equals, 0.8)
		}
	}
}
