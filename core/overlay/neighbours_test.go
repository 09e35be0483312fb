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

func TestNeighboursAreFewAndChangeWithTheCandidates(t *testing.T) {
	c := qt.New(t)
	n := &PeerSet{Size: 5}
	all := candidates(100)
	c.Assert(len(n.Choose(all)) <= 5, qt.IsTrue)
	for range 200 {
		address, ok := n.Pick(all)
		c.Assert(ok, qt.IsTrue)
		c.Assert(all, qt.Contains, address)
		n.Rotate()
	}
	few := all[:2]
	for range 20 {
		address, ok := n.Pick(few)
		if ok {
			c.Assert(few, qt.Contains, address)
		}
	}
	_, ok := n.Pick(nil)
	c.Assert(ok, qt.IsFalse)
}
