package overlay

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

func candidates(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprint("10.0.0.", i))
	}
	return list
}

func TestPeerSetIsSmallAndFollowsCandidates(t *testing.T) {
	c := qt.New(t)
	s := &PeerSet{Size: 5}
	all := candidates(100)
	c.Assert(len(s.Choose(all)) <= 5, qt.IsTrue)
	for range 200 {
		address, ok := s.Pick(all)
		c.Assert(ok, qt.IsTrue)
		c.Assert(all, qt.Contains, address)
		s.Rotate()
	}
	few := all[:2]
	for range 20 {
		address, ok := s.Pick(few)
		if ok {
			c.Assert(few, qt.Contains, address)
		}
	}
	_, ok := s.Pick(nil)
	c.Assert(ok, qt.IsFalse)
}
