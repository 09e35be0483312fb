package overlay

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// defaultSize is the number of peers if Size is zero.
const defaultSize = 4

// PeerSet is a random set of peer addresses that changes slowly, a partial view of the candidates; its zero value is
// ready to use.
type PeerSet struct {
	Size int

	mu     sync.Mutex
	chosen []string
}

// Choose removes the peers that are no longer candidates, adds random candidates up to the size, and returns the set.
func (s *PeerSet) Choose(candidates []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chosen = slices.DeleteFunc(s.chosen, func(address string) bool { return !slices.Contains(candidates, address) })
	s.fill(candidates)
	return slices.Clone(s.chosen)
}

// fill adds random candidates up to the size; the caller holds the lock.
func (s *PeerSet) fill(candidates []string) {
	size := s.Size
	if size == 0 {
		size = defaultSize
	}
	for range candidates {
		if len(s.chosen) >= min(size, len(candidates)) {
			return
		}
		address := candidates[rand.IntN(len(candidates))]
		if !slices.Contains(s.chosen, address) {
			s.chosen = append(s.chosen, address)
		}
	}
}

// Pick returns a random peer, or false if there is none. It checks only the picked peer against the candidates, so that
// its cost grows with the fleet by no more than that search.
func (s *PeerSet) Pick(candidates []string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fill(candidates)
	for len(s.chosen) > 0 {
		i := rand.IntN(len(s.chosen))
		if address := s.chosen[i]; slices.Contains(candidates, address) {
			return address, true
		}
		s.chosen = slices.Delete(s.chosen, i, i+1)
	}
	return "", false
}

// Lost reports whether a peer is no longer a candidate.
func (s *PeerSet) Lost(candidates []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.chosen, func(address string) bool { return !slices.Contains(candidates, address) })
}

// Drop removes a peer that cannot be reached, so that another one takes its place.
func (s *PeerSet) Drop(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chosen = slices.DeleteFunc(s.chosen, func(have string) bool { return have == address })
}

// Rotate removes the peer that was chosen first.
func (s *PeerSet) Rotate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.chosen) > 0 {
		s.chosen = slices.Delete(s.chosen, 0, 1)
	}
}

// List returns the current set.
func (s *PeerSet) List() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.chosen)
}
