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
		budgets[i].RecordFleet(0, routers)
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
					if b.Allow(now, "desk").Allowed {
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
	const window = 10 * time.Second
	start := clock.Instant(time.Hour)
	tests := []struct {
		name    string
		after   time.Duration
		routers int
		// want and wantNext are the retries that are allowed at first, and after another window.
		want, wantNext int
	}{
		{"an earlier process may have taken it", window - time.Second, 5, 0, 5},
		{"a window after the start", window, 5, 5, 5},
		{"the fleet is not known", 3 * window, 0, 0, 0},
		{"a single router", 3 * window, 1, 29, 29},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := FleetBudget{Limits: Limits{Ratio: 0.2, Slack: 58, Window: window}, Started: start}
			b.RecordFleet(start, tt.routers)
			allowed := func(after time.Duration) (n int) {
				for b.Allow(start.Add(after), "desk").Allowed {
					n++
				}
				return n
			}
			c.Assert(allowed(tt.after), qt.Equals, tt.want)
			c.Assert(allowed(tt.after+window+time.Second), qt.Equals, tt.wantNext)
		})
	}
}

func TestSlackGrowsWhileLostRoutersMayRetry(t *testing.T) {
	c := qt.New(t)
	b := FleetBudget{Limits: Limits{Ratio: 0.2, Slack: 58, Window: 10 * time.Second}}
	start := clock.Instant(time.Hour)
	for after := time.Duration(0); after < 3*fleetMemory; after += time.Second {
		now := start.Add(after)
		routers := 5
		if after >= time.Minute {
			routers = 1
		}
		b.RecordFleet(now, routers)
		slack := b.Allow(now, "desk").Slack
		if after < time.Minute+fleetMemory {
			c.Assert(slack, qt.Equals, 5.8)
		}
		if after > time.Minute+2*fleetMemory {
			c.Assert(slack, qt.Equals, 29.0)
		}
	}
}

// TestBudgetRefusesWhatTheFleetMayRetry plays one of 22 routers with 13 requests a second.
func TestBudgetRefusesWhatTheFleetMayRetry(t *testing.T) {
	const perSecond = 13
	tests := []struct {
		name string
		// age is how long the router has run. A part of its requests fails from then on, after burst requests at once.
		age     time.Duration
		failing float64
		burst   int
		// want is the number of retries that the fleet's limit leaves for this router in the next ten seconds.
		want int
	}{
		{"one in six for ten seconds", time.Minute, 1.0 / 6, 0, 21},
		{"the open requests of a crashed upstream", time.Minute, 0, 18, 18},
		{"all requests", time.Minute, 1, 0, 25},
		{"one in twenty at a router that has just started", 0, 1.0 / 20, 0, 6},
		{"all at a router that has just started", 0, 1, 0, 6},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			start := clock.Instant(time.Hour)
			b := FleetBudget{Limits: Limits{Ratio: 0.2, Slack: 84, Window: 10 * time.Second}, Started: start}
			b.RecordFleet(start, 22)
			allowed, due := 0, 0.0
			for n := range int((tt.age + 10*time.Second).Seconds() * perSecond) {
				at := time.Duration(float64(n) / perSecond * float64(time.Second))
				b.RecordRequest(start.Add(at), "desk")
				if at < tt.age {
					continue
				}
				for due += tt.failing; due > 0.999; due-- {
					if b.Allow(start.Add(at), "desk").Allowed {
						allowed++
					}
				}
				for ; tt.burst > 0; tt.burst-- {
					if b.Allow(start.Add(at), "desk").Allowed {
						allowed++
					}
				}
			}
			c.Assert(allowed >= tt.want, qt.IsTrue, qt.Commentf("%d retries allowed, %d wanted", allowed, tt.want))
		})
	}
}
