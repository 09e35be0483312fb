package warmup

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/settings"
)

// queryCounts returns how many routers query each of 52 engines, in a fleet of 28 routers that start at once with three
// seeds.
func queryCounts(reachable func(self string) []string, stopped []string, elapsed time.Duration) map[settings.UpstreamID]int {
	seeds := []string{"r00", "r09", "r18"}
	down := make(map[string]bool)
	for _, address := range stopped {
		down[address] = true
	}
	counts := make(map[settings.UpstreamID]int)
	for r := range 28 {
		self := fmt.Sprintf("r%02d", r)
		if down[self] {
			continue
		}
		for e := range 52 {
			id := settings.UpstreamID(fmt.Sprintf("e%02d", e))
			if Assigned(State{Self: self, Seeds: seeds, Reachable: reachable(self), Elapsed: elapsed}, id) {
				counts[id]++
			}
		}
	}
	return counts
}

func TestEngineIsQueriedOnceWhenFleetStarts(t *testing.T) {
	none := func(string) []string { return nil }
	liveSeeds := func(string) []string { return []string{"r09", "r18", "r05"} }
	others := func(string) []string { return []string{"r05", "r06"} }
	tests := []struct {
		name       string
		reachable  func(string) []string
		stopped    []string
		elapsed    time.Duration
		allEngines bool
	}{
		{"no router has reached another", none, nil, 0, true},
		{"the engines of a seed that is down are taken over", liveSeeds, []string{"r00"}, TakeoverDelay, true},
		{"the engines of a seed that is down are left to it before the delay", liveSeeds, []string{"r00"}, TakeoverDelay - 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			counts := queryCounts(tt.reachable, tt.stopped, tt.elapsed)
			c.Assert(len(counts) == 52, qt.Equals, tt.allEngines, qt.Commentf("%d engines", len(counts)))
			for id, n := range counts {
				c.Assert(n, qt.Equals, 1, qt.Commentf("engine %s", id))
			}
		})
	}
	t.Run("every engine is queried if all seeds are down", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(queryCounts(others, []string{"r00", "r09", "r18"}, TakeoverDelay), qt.HasLen, 0)
		c.Assert(queryCounts(others, []string{"r00", "r09", "r18"}, fallbackDelay), qt.HasLen, 52)
	})
}
