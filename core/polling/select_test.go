package polling

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func fleet(n int) []Candidate {
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{Address: fmt.Sprintf("10.0.0.%d:7400", i)})
	}
	return list
}

// pollers returns the routers that poll if all see the same fleet.
func pollers(all []Candidate, age time.Duration) []Candidate {
	var list []Candidate
	for i, self := range all {
		others := slices.Delete(slices.Clone(all), i, i+1)
		if Selected(State{Self: self, Others: others, UpdateAge: age}) {
			list = append(list, self)
		}
	}
	return list
}

// TestPollerCountIsIndependentOfFleetSize covers fleets of one to four hundred routers.
func TestPollerCountIsIndependentOfFleetSize(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1, 2, 5, 28, 400} {
		c.Assert(len(pollers(fleet(n), time.Second)), qt.Equals, min(n, pollerCount))
	}
}

func TestStoppedPollerIsReplaced(t *testing.T) {
	c := qt.New(t)
	all := fleet(5)
	first := pollers(all, 0)
	left := slices.DeleteFunc(slices.Clone(all), func(r Candidate) bool { return r == first[0] })
	second := pollers(left, 0)
	c.Assert(second, qt.HasLen, pollerCount)
	c.Assert(slices.Contains(second, first[1]), qt.IsTrue)
}

func TestAllRoutersPollWithoutRecentUpdates(t *testing.T) {
	qt.New(t).Assert(pollers(fleet(5), maxUpdateAge+1), qt.HasLen, 5)
}

// TestCapableRoutersPoll covers a fleet of VMs of two sizes: the small ones poll only if no large one can.
func TestCapableRoutersPoll(t *testing.T) {
	c := qt.New(t)
	all := fleet(28)
	for i := range all {
		all[i].Cores = 0.144
		if i%7 == 0 {
			all[i].Cores = 0.8
		}
	}
	chosen := pollers(all, time.Second)
	c.Assert(chosen, qt.HasLen, pollerCount)
	for _, r := range chosen {
		c.Assert(r.Cores, qt.Equals, 0.8)
	}
	small := slices.DeleteFunc(slices.Clone(all), func(r Candidate) bool { return r.Cores > 0.5 })
	c.Assert(pollers(small, time.Second), qt.HasLen, pollerCount)
	c.Assert(pollers(all, maxUpdateAge+1), qt.HasLen, 28)
}
