package waiting

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

// TestClientsComeBackLaterTheMoreIsRefused replays a service that refuses a share of 100 attempts a second for 3 s.
func TestClientsComeBackLaterTheMoreIsRefused(t *testing.T) {
	tests := []struct {
		name     string
		accepted int
		min, max time.Duration
	}{
		{"nothing refused", 1, 200 * time.Millisecond, 210 * time.Millisecond},
		{"half refused", 2, 380 * time.Millisecond, 420 * time.Millisecond},
		{"nine tenths refused", 10, 1500 * time.Millisecond, 2000 * time.Millisecond},
		{"all refused", 1000, 3 * time.Second, 3 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			var r Refusals
			now := clock.Instant(time.Second)
			for i := range 300 {
				now = now.Add(10 * time.Millisecond)
				r.Record(now, "letters", i%tt.accepted != 0)
			}
			d := r.RetryAfter(now, "letters", 0)
			c.Assert(d >= tt.min && d <= tt.max, qt.IsTrue, qt.Commentf("%v", d))
			// Once the upstreams accept again, clients need not wait.
			for range 300 {
				now = now.Add(10 * time.Millisecond)
				r.Record(now, "letters", false)
			}
			c.Assert(r.RetryAfter(now, "letters", 0) < 300*time.Millisecond, qt.IsTrue)
		})
	}
}

func TestRetryAfterRefusalIsSpread(t *testing.T) {
	c := qt.New(t)
	var r Refusals
	now := clock.Instant(time.Second)
	c.Assert(r.RetryAfter(now, "letters", 0.9), qt.Equals, minRetryAfter)
	for range 8 {
		r.Record(now, "letters", true)
	}
	first, last := r.RetryAfter(now, "letters", 0), r.RetryAfter(now, "letters", 0.99)
	c.Assert(last-first > first/3, qt.IsTrue)
}
