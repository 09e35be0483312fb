package inflight

import (
	"slices"
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

// TestOldCountsOfShortRequestsDrawNoHerd replays routers that place requests of 30 ms by counts that are 120 ms old: the upstream that
// was the least loaded then is so no longer, and all routers would choose it. Requests of seconds are still there.
func TestOldCountsOfShortRequestsDrawNoHerd(t *testing.T) {
	c := qt.New(t)
	var tracker Tracker
	at := clock.Instant(time.Minute)
	tracker.ReportTotals(at, Counts{"a": 0, "b": 24, "c": 24, "d": 24})
	now := at.Add(120 * time.Millisecond)
	ids := []settings.UpstreamID{"a", "b", "c", "d"}
	short := tracker.Expected(now, ids, 30*time.Millisecond)
	c.Assert(slices.Max(short)-slices.Min(short) <= 1, qt.IsTrue, qt.Commentf("%v", short))
	long := tracker.Expected(now, ids, 5*time.Second)
	c.Assert(long[0] <= 1 && long[1] >= 23, qt.IsTrue, qt.Commentf("%v", long))
	// Requests of this router are known exactly.
	tracker.Begin("c")
	tracker.Begin("c")
	c.Assert(tracker.Expected(now, ids, 30*time.Millisecond)[2]-short[2], qt.Equals, 2)
}
