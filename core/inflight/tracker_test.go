package inflight

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

func TestCountsOfAllRoutersAreSummed(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	now := clock.Instant(time.Second)
	ids := []settings.UpstreamID{"a", "b"}
	tracker.Begin("a")
	tracker.Begin("a")
	tracker.End("a")
	tracker.Report(now, "r2", "", Counts{"a": 3, "b": 1})
	tracker.Report(now, "r2", "", Counts{"a": 2, "b": 1})
	tracker.Report(now.Add(time.Second), "r3", "", Counts{"b": 4})
	c.Assert(tracker.Loads(now.Add(time.Second), ids), qt.DeepEquals, []int{3, 5})
	c.Assert(tracker.RouterCount(now.Add(time.Second)), qt.Equals, 3)
	// The counts of a router that no longer reports are dropped.
	c.Assert(tracker.Loads(now.Add(2*time.Second), ids), qt.DeepEquals, []int{1, 4})
	c.Assert(tracker.RouterCount(now.Add(2*time.Second)), qt.Equals, 2)
}
