package routers

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/affinity"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
)

func TestChangesAfterAVersion(t *testing.T) {
	c := qt.New(t)
	var l changeLog[int]
	c.Assert(l.version(), qt.Equals, peer.StateVersion(1))
	_, ok := l.since(0)
	c.Assert(ok, qt.IsFalse)
	for i := range 20 {
		l.add(clock.Instant(i), "", i, 5)
	}
	c.Assert(l.version(), qt.Equals, peer.StateVersion(21))
	list, ok := l.since(18)
	c.Assert(ok, qt.IsTrue)
	c.Assert(list, qt.HasLen, 3)
	c.Assert(list[0].change, qt.Equals, 17)
	_, ok = l.since(2)
	c.Assert(ok, qt.IsFalse)
	c.Assert(l.resume(18), qt.Equals, peer.StateVersion(19))
}

// TestCacheEntriesOfAllRoutersAreBounded guards against cache entries that fill the links of a large fleet: they were the largest part of
// the exchange.
func TestCacheEntriesOfAllRoutersAreBounded(t *testing.T) {
	c := qt.New(t)
	var changes cacheChanges
	now := clock.Instant(time.Hour)
	for range 100 {
		changes.add(now, make([]affinity.CacheEntry, 50), 299)
		now = now.Add(100 * time.Millisecond)
	}
	perSecond := cacheEntriesPerSecond / 300.0
	limit := perSecond * (10 + cacheBurst.Seconds())
	c.Assert(float64(changes.log.version()) <= 1+limit, qt.IsTrue, qt.Commentf("%d entries", changes.log.version()))
	c.Assert(float64(changes.log.version()) >= 10*perSecond, qt.IsTrue, qt.Commentf("%d entries", changes.log.version()))
}

func TestDigestOfInstancesFollowsTheirState(t *testing.T) {
	c := qt.New(t)
	var x, y memberChanges
	one := members.Change{ID: "a", Revision: 1}
	two := members.Change{ID: "b", Revision: 2}
	x.add(0, "", []members.Change{one, two})
	y.add(0, "", []members.Change{two, one})
	c.Assert(x.digest, qt.Equals, y.digest)
	y.add(0, "", []members.Change{{ID: "b", Revision: 3, Removed: true}})
	c.Assert(x.digest, qt.Not(qt.Equals), y.digest)
	x.add(0, "", []members.Change{{ID: "b", Revision: 3, Removed: true}})
	c.Assert(x.digest, qt.Equals, y.digest)
}
