package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"rattantrack.dev/core/settings"
)

func upstreams(n int) []settings.UpstreamID {
	ids := make([]settings.UpstreamID, n)
	for i := range ids {
		ids[i] = settings.UpstreamID(fmt.Sprintf("engine-%04d", i))
	}
	return ids
}

// naiveTop computes Top by sorting all upstreams by score.
func naiveTop(s *Set, key uint64, k int) []settings.UpstreamID {
	order := make([]int, len(s.ids))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if mix(s.seeds[a]^key) > mix(s.seeds[b]^key) {
			return -1
		}
		return 1
	})
	var out []settings.UpstreamID
	for _, i := range order[:min(k, len(order))] {
		out = append(out, s.ids[i])
	}
	return out
}

func TestTopAgreesWithSortingEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(upstreams(rapid.IntRange(1, 60).Draw(t, "engines")))
		key := rapid.Uint64().Draw(t, "key")
		k := rapid.IntRange(1, MaxTop).Draw(t, "k")
		out := make([]settings.UpstreamID, k)
		n := s.Top(key, out)
		if want := naiveTop(s, key, k); !slices.Equal(out[:n], want) {
			t.Fatalf("got %v, want %v", out[:n], want)
		}
	})
}

func TestRemovingAnUpstreamMovesOnlyItsKeys(t *testing.T) {
	c := qt.New(t)
	ids := upstreams(20)
	before := New(ids)
	after := New(ids[1:])
	for key := range uint64(2000) {
		was, _ := before.Primary(mix(key))
		now, _ := after.Primary(mix(key))
		if was != ids[0] {
			c.Assert(now, qt.Equals, was)
		}
	}
}

func BenchmarkTopOf1015(b *testing.B) {
	s := New(upstreams(1015))
	var out [3]settings.UpstreamID
	b.ReportAllocs()
	for i := range b.N {
		s.Top(uint64(i), out[:])
	}
}
