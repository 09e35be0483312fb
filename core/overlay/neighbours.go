package overlay

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// DefaultSize is the number of neighbours kept when Size is zero.
const DefaultSize = 4

// Neighbours is a random set of addresses that changes slowly; its zero value is empty and ready.
type Neighbours struct {
	Size int

	mu     sync.Mutex
	chosen []string
}

// Choose drops neighbours that are no longer candidates, fills up at random, and returns the set.
func (n *Neighbours) Choose(candidates []string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.chosen = slices.DeleteFunc(n.chosen, func(address string) bool { return !slices.Contains(candidates, address) })
	size := n.Size
	if size == 0 {
		size = DefaultSize
	}
	for range candidates {
		if len(n.chosen) >= min(size, len(candidates)) {
			break
		}
		address := candidates[rand.IntN(len(candidates))]
		if !slices.Contains(n.chosen, address) {
			n.chosen = append(n.chosen, address)
		}
	}
	return slices.Clone(n.chosen)
}

// Pick returns one neighbour at random.
func (n *Neighbours) Pick(candidates []string) (string, bool) {
	chosen := n.Choose(candidates)
	if len(chosen) == 0 {
		return "", false
	}
	return chosen[rand.IntN(len(chosen))], true
}

// Drop forgets a neighbour that cannot be reached, so that another takes its place.
func (n *Neighbours) Drop(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.chosen = slices.DeleteFunc(n.chosen, func(have string) bool { return have == address })
}

// Rotate forgets the neighbour that was chosen longest ago.
func (n *Neighbours) Rotate() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.chosen) > 0 {
		n.chosen = slices.Delete(n.chosen, 0, 1)
	}
}

// List returns the present set.
func (n *Neighbours) List() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.chosen)
}
