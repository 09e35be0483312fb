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

// readers returns the routers that read when all see the same fleet.
func readers(all []Candidate, age time.Duration) []Candidate {
	var list []Candidate
	for i, self := range all {
		others := slices.Delete(slices.Clone(all), i, i+1)
		if Selected(State{Self: self, Others: others, UpdateAge: age}) {
			list = append(list, self)
		}
	}
	return list
}

// TestCallsDoNotGrowWithTheFleet replays fleets of one to four hundred routers.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1, 2, 5, 28, 400} {
		c.Assert(len(readers(fleet(n), time.Second)), qt.Equals, min(n, count))
	}
}

func TestAnotherRouterTakesTheReadersPlace(t *testing.T) {
	c := qt.New(t)
	all := fleet(5)
	first := readers(all, 0)
	left := slices.DeleteFunc(slices.Clone(all), func(r Candidate) bool { return r == first[0] })
	second := readers(left, 0)
	c.Assert(second, qt.HasLen, count)
	c.Assert(slices.Contains(second, first[1]), qt.IsTrue)
}

func TestEverybodyReadsWithoutNews(t *testing.T) {
	qt.New(t).Assert(readers(fleet(5), maxAge+1), qt.HasLen, 5)
}

// TestCapableRoutersRead replays a fleet of VMs of two sizes: the small ones read only where no large one can.
func TestCapableRoutersRead(t *testing.T) {
	c := qt.New(t)
	all := fleet(28)
	for i := range all {
		all[i].Cores = 0.144
		if i%7 == 0 {
			all[i].Cores = 0.8
		}
	}
	chosen := readers(all, time.Second)
	c.Assert(chosen, qt.HasLen, count)
	for _, r := range chosen {
		c.Assert(r.Cores, qt.Equals, 0.8)
	}
	small := slices.DeleteFunc(slices.Clone(all), func(r Candidate) bool { return r.Cores > 0.5 })
	c.Assert(readers(small, time.Second), qt.HasLen, count)
	c.Assert(readers(all, maxAge+1), qt.HasLen, 28)
}
