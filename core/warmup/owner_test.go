package warmup

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/settings"
)

// asked counts the routers that ask each of 52 engines, of 28 that start at once of which the settings name three.
func asked(met func(self string) []string, lost []string, elapsed time.Duration) map[settings.UpstreamID]int {
	named := []string{"r00", "r09", "r18"}
	down := make(map[string]bool)
	for _, address := range lost {
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
			if Assigned(State{Self: self, Seeds: named, Reachable: met(self), Elapsed: elapsed}, id) {
				counts[id]++
			}
		}
	}
	return counts
}

func TestEachEngineIsAskedOnceByAFleetThatStarts(t *testing.T) {
	nobody := func(string) []string { return nil }
	living := func(string) []string { return []string{"r09", "r18", "r05"} }
	all := func(string) []string { return []string{"r05", "r06"} }
	tests := []struct {
		name    string
		met     func(string) []string
		lost    []string
		elapsed time.Duration
		all     bool
	}{
		{"no router has met another", nobody, nil, 0, true},
		{"the share of a named router that is down is taken over", living, []string{"r00"}, TakeoverDelay, true},
		{"it is left to that router before", living, []string{"r00"}, TakeoverDelay - 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			counts := asked(tt.met, tt.lost, tt.elapsed)
			c.Assert(len(counts) == 52, qt.Equals, tt.all, qt.Commentf("%d engines", len(counts)))
			for id, n := range counts {
				c.Assert(n, qt.Equals, 1, qt.Commentf("engine %s", id))
			}
		})
	}
	t.Run("every engine is asked where all named routers are down", func(t *testing.T) {
		c := qt.New(t)
		c.Assert(asked(all, []string{"r00", "r09", "r18"}, TakeoverDelay), qt.HasLen, 0)
		c.Assert(asked(all, []string{"r00", "r09", "r18"}, AloneTime), qt.HasLen, 52)
	})
}
