package work

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

// TestSlowUpstreamShowsInItsPauses replays streams of ten upstreams, one of which takes twice as long for everything and states nothing.
func TestSlowUpstreamShowsInItsPauses(t *testing.T) {
	c := qt.New(t)
	var p Pace
	now := clock.Instant(time.Second)
	ids := []settings.UpstreamID{"e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8", "slow"}
	for range 40 {
		for _, id := range ids {
			factor := time.Duration(1)
			if id == "slow" {
				factor = 2
			}
			now = now.Add(5 * time.Millisecond)
			p.RecordPause(now, "letters", id, factor*30*time.Millisecond)
			p.RecordPrefill("letters", 10000, 120*time.Millisecond)
			p.RecordPrefill("letters", 100, 20*time.Millisecond)
		}
	}
	got := p.Relative(now, append(ids, "unknown"))
	c.Assert(got[9] > 1.6 && got[9] < 2.2, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(got[0] > 0.8 && got[0] < 1.2, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(got[10], qt.Equals, 1.0)
	c.Assert(p.PrefillTime("letters", 5000).Round(time.Millisecond), qt.Equals, 60*time.Millisecond)
	c.Assert(p.PrefillTime("other", 5000), qt.Equals, time.Duration(0))
	// What was seen of an upstream loses weight, or it would never get requests that show its recovery.
	c.Assert(p.Relative(now.Add(10*paceHalfLife), ids)[9] < 1.2, qt.IsTrue)
	p.RecordPause(now.Add(30*paceHalfLife), "letters", "new", 30*time.Millisecond)
	c.Assert(p.upstreams, qt.HasLen, 1)
}
