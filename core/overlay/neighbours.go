package overlay

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// DefaultSize is the number of neighbours kept when Size is zero.
const DefaultSize = 4

// PeerSet is a random set of addresses that changes slowly; its zero value is empty and ready.
type PeerSet struct {
	Size int

	mu     sync.Mutex
	chosen []string
}

// Choose drops neighbours that are no longer candidates, fills up at random, and returns the set.
func (n *PeerSet) Choose(candidates []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.chosen = slices.DeleteFunc(n.chosen, func(address string) bool { return !slices.Contains(candidates, address) })
	n.fill(candidates)
	return slices.Clone(n.chosen)
}

// fill draws further neighbours until there are enough; the caller holds the lock.
func (n *PeerSet) fill(candidates []string) {
	size := n.Size
	if size == 0 {
		size = DefaultSize
	}
	for range candidates {
		if len(n.chosen) >= min(size, len(candidates)) {
			return
		}
		address := candidates[rand.IntN(len(candidates))]
		if !slices.Contains(n.chosen, address) {
			n.chosen = append(n.chosen, address)
		}
	}
}

// Pick returns one neighbour at random. It looks only at the one picked, so that the work does not grow with the fleet
// but for one search.
func (n *PeerSet) Pick(candidates []string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fill(candidates)
	for len(n.chosen) > 0 {
		i := rand.IntN(len(n.chosen))
		if address := n.chosen[i]; slices.Contains(candidates, address) {
			return address, true
		}
		n.chosen = slices.Delete(n.chosen, i, i+1)
	}
	return "", false
}

// Drop forgets a neighbour that cannot be reached, so that another takes its place.
func (n *PeerSet) Drop(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.chosen = slices.DeleteFunc(n.chosen, func(have string) bool { return have == address })
}

// Rotate forgets the neighbour that was chosen longest ago.
func (n *PeerSet) Rotate() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.chosen) > 0 {
		n.chosen = slices.Delete(n.chosen, 0, 1)
	}
}

// List returns the present set.
func (n *PeerSet) List() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.chosen)
}
