package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"rattantrack.dev/core/settings"
)

// MaxTop is the maximum number of upstreams that Top returns.
const MaxTop = 8

// Set is an immutable set of upstreams; the zero value is empty.
type Set struct {
	ids   []settings.UpstreamID
	seeds []uint64
}

// New returns the set of the given upstreams; their order does not matter.
func New(ids []settings.UpstreamID) *Set {
	s := &Set{ids: slices.Clone(ids)}
	slices.Sort(s.ids)
	s.ids = slices.Compact(s.ids)
	s.seeds = make([]uint64, len(s.ids))
	for i, id := range s.ids {
		s.seeds[i] = xxhash.Sum64String(string(id))
	}
	return s
}

// Len returns the number of upstreams.
func (s *Set) Len() int { return len(s.ids) }

// IDs returns the upstreams in sorted order; callers must not change it.
func (s *Set) IDs() []settings.UpstreamID { return s.ids }

// Primary returns the primary of a key, the upstream with the highest random weight (Thaler and Ravishankar, 1998).
func (s *Set) Primary(key uint64) (settings.UpstreamID, bool) {
	var out [1]settings.UpstreamID
	if s.Top(key, out[:]) == 0 {
		return "", false
	}
	return out[0], true
}

// Top fills out with the upstreams that rank first for a key, best first, and returns their number.
func (s *Set) Top(key uint64, out []settings.UpstreamID) int {
	k := min(len(out), MaxTop, len(s.ids))
	if k == 0 {
		return 0
	}
	var best [MaxTop]int
	var scores [MaxTop]uint64
	n := 0
	for i, seed := range s.seeds {
		score := mix(seed ^ key)
		if n == k && score <= scores[k-1] {
			continue
		}
		n = insert(&best, &scores, n, k, i, score)
	}
	for i := range n {
		out[i] = s.ids[best[i]]
	}
	return n
}

// Order returns, for each upstream in the order of IDs, a number in [0, 1) by which the upstreams rank for a key: the primary has
// the lowest one.
func (s *Set) Order(key uint64) []float64 {
	order := make([]float64, len(s.seeds))
	for i, seed := range s.seeds {
		order[i] = float64(^mix(seed^key)>>11) / (1 << 53)
	}
	return order
}

// insert adds index i to the descending list of best scores and returns the new length, at most k.
func insert(best *[MaxTop]int, scores *[MaxTop]uint64, n, k, i int, score uint64) int {
	if n < k {
		n++
	}
	at := n - 1
	for at > 0 && scores[at-1] < score {
		scores[at] = scores[at-1]
		best[at] = best[at-1]
		at--
	}
	scores[at] = score
	best[at] = i
	return n
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
func mix(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
