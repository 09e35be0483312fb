package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

// TestFleetStaysWithinItsTerms replays five routers whose requests all fail for a minute, at loads that differ: in no
// window may their repeats together exceed the terms.
func TestFleetStaysWithinItsTerms(t *testing.T) {
	c := qt.New(t)
	terms := Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	const routers = 5
	windows := make([]*FleetBudget, routers)
	for i := range windows {
		windows[i] = &FleetBudget{Limits: terms}
	}
	type second struct{ requests, repeats int }
	var history []second
	for s := range 60 {
		var sum second
		for i, w := range windows {
			for n := range 10 + 7*i {
				now := clock.Instant(time.Duration(s)*time.Second + time.Duration(n)*10*time.Millisecond)
				w.RecordRequest(now, "desk")
				sum.requests++
				for range 3 {
					if w.Allow(now, "desk", routers) {
						sum.repeats++
					}
				}
			}
		}
		history = append(history, sum)
	}
	for end := range history {
		var sum second
		for s := max(0, end-9); s <= end; s++ {
			sum.requests += history[s].requests
			sum.repeats += history[s].repeats
		}
		allowed := terms.Ratio*float64(sum.requests) + terms.Slack
		c.Assert(float64(sum.repeats) <= allowed, qt.IsTrue, qt.Commentf("second %d: %d repeats, %.0f allowed", end, sum.repeats, allowed))
	}
}

func TestQuietServiceMayRepeatAFew(t *testing.T) {
	c := qt.New(t)
	w := FleetBudget{Limits: Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}}
	n := 0
	for w.Allow(clock.Instant(time.Second), "desk", 5) {
		n++
	}
	c.Assert(n, qt.Equals, 8)
	c.Assert(w.Allow(clock.Instant(30*time.Second), "desk", 5), qt.IsTrue)
}
