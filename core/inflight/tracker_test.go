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

// TestSumsReplaceTheCountsOfTheirRouters covers a relay: the sums of other data centres replace the older counts of their routers,
// and expire sooner.
func TestSumsReplaceTheCountsOfTheirRouters(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	now := clock.Instant(time.Second)
	ids := []settings.UpstreamID{"a"}
	tracker.Begin("a")
	tracker.Report(now, "r2", "kano", Counts{"a": 2})
	tracker.Report(now, "r3", "jos", Counts{"a": 4})
	c.Assert(tracker.Loads(now, ids), qt.DeepEquals, []int{7})
	tracker.ReportSum(now, "jos", Counts{"a": 10})
	c.Assert(tracker.Loads(now, ids), qt.DeepEquals, []int{13})
	c.Assert(tracker.SumOf(now, "kano"), qt.DeepEquals, Counts{"a": 3})
	c.Assert(tracker.TotalsFor(now, "r2", "kano"), qt.DeepEquals, Counts{"a": 11})
	c.Assert(tracker.Loads(now.Add(sumLifetime), ids), qt.DeepEquals, []int{7})
	c.Assert(tracker.RouterCount(now), qt.Equals, 3)
}

// TestTotalsReplaceAllOtherCounts covers a router that gets the totals from its relay, and the loss of that relay.
func TestTotalsReplaceAllOtherCounts(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	now := clock.Instant(time.Second)
	ids := []settings.UpstreamID{"a"}
	tracker.Begin("a")
	tracker.Report(now, "r2", "kano", Counts{"a": 2})
	tracker.ReportTotals(now, Counts{"a": 20})
	c.Assert(tracker.Loads(now, ids), qt.DeepEquals, []int{21})
	tracker.Report(now.Add(sumLifetime/2), "r2", "kano", Counts{"a": 3})
	c.Assert(tracker.Loads(now.Add(sumLifetime/2), ids), qt.DeepEquals, []int{21})
	c.Assert(tracker.Loads(now.Add(sumLifetime), ids), qt.DeepEquals, []int{4})
}
