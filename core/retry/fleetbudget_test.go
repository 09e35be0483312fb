package retry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

// TestFleetRetriesStayWithinLimits simulates five routers with different loads whose requests all fail for a minute. In
// no window may their retries together exceed the limits.
func TestFleetRetriesStayWithinLimits(t *testing.T) {
	c := qt.New(t)
	limits := Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}
	const routers = 5
	budgets := make([]*FleetBudget, routers)
	for i := range budgets {
		budgets[i] = &FleetBudget{Limits: limits}
	}
	type second struct{ requests, retries int }
	var history []second
	for s := range 60 {
		var sum second
		for i, b := range budgets {
			for n := range 10 + 7*i {
				now := clock.Instant(time.Duration(s)*time.Second + time.Duration(n)*10*time.Millisecond)
				b.RecordRequest(now, "desk")
				sum.requests++
				for range 3 {
					if b.Allow(now, "desk", routers).Allowed {
						sum.retries++
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
			sum.retries += history[s].retries
		}
		allowed := limits.Ratio*float64(sum.requests) + limits.Slack
		c.Assert(float64(sum.retries) <= allowed, qt.IsTrue,
			qt.Commentf("second %d: %d retries, %.0f allowed", end, sum.retries, allowed))
	}
}

func TestSlackAllowsRetriesWithoutRequests(t *testing.T) {
	c := qt.New(t)
	b := FleetBudget{Limits: Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}}
	n := 0
	for b.Allow(clock.Instant(time.Second), "desk", 5).Allowed {
		n++
	}
	c.Assert(n, qt.Equals, 8)
	c.Assert(b.Allow(clock.Instant(30*time.Second), "desk", 5).Allowed, qt.IsTrue)
}
