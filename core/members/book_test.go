package members

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

const second = clock.Instant(time.Second)

func listed(id settings.UpstreamID, r Revision) Change {
	return Change{ID: id, Revision: r, Instance: Instance{ID: id, Service: "letters", Address: "10.0.0.1:80", Slots: 4}}
}

func removed(id settings.UpstreamID, r Revision) Change {
	return Change{ID: id, Revision: r, Removed: true}
}

func ids(b *Registry) []settings.UpstreamID {
	var list []settings.UpstreamID
	for _, i := range b.Serving("letters") {
		list = append(list, i.ID)
	}
	return list
}

func TestOlderNewsIsIgnored(t *testing.T) {
	c := qt.New(t)
	var b Registry
	b.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	c.Assert(b.Apply(second, []Change{removed("a", 11)}), qt.HasLen, 1)
	c.Assert(b.Apply(second, []Change{listed("a", 5), removed("b", 4)}), qt.HasLen, 0)
	c.Assert(ids(&b), qt.DeepEquals, []settings.UpstreamID{"b"})
	c.Assert(b.Apply(second, []Change{listed("a", 12)}), qt.HasLen, 1)
	c.Assert(ids(&b), qt.DeepEquals, []settings.UpstreamID{"a", "b"})
}

func TestWholeListingDropsWhatItLacks(t *testing.T) {
	c := qt.New(t)
	var b Registry
	b.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	b.Apply(second, []Change{listed("c", 12)})
	b.Replace(second, 11, []Change{listed("a", 5)})
	// c was written after the listing was made.
	c.Assert(ids(&b), qt.DeepEquals, []settings.UpstreamID{"a", "c"})
}

func TestDrainingInstancesGetNothing(t *testing.T) {
	c := qt.New(t)
	var b Registry
	b.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	leaving := listed("a", 11)
	leaving.Instance.Draining = true
	events := b.Apply(second, []Change{leaving})
	c.Assert(events, qt.HasLen, 1)
	c.Assert(events[0].Kind, qt.Equals, EventDraining)
	c.Assert(ids(&b), qt.DeepEquals, []settings.UpstreamID{"b"})
}

func TestEntriesThatLapsedInAnOutageMayComeBack(t *testing.T) {
	c := qt.New(t)
	var b Registry
	b.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	b.SetOutage(2*second, true)
	b.SetOutage(6*second, false)
	b.Replace(6*second, 20, nil)
	c.Assert(ids(&b), qt.DeepEquals, []settings.UpstreamID{"a", "b"})
	b.Apply(7*second, []Change{listed("a", 21)})
	b.Expire(8 * second)
	c.Assert(ids(&b), qt.DeepEquals, []settings.UpstreamID{"a", "b"})
	b.Expire(6*second + clock.Instant(returnTime))
	c.Assert(ids(&b), qt.DeepEquals, []settings.UpstreamID{"a"})
}

// TestMissingInstanceIsReportedOnce replays two routers that tell each other of an entry that lapsed in an outage: the
// older listing must not bring it back, or they would go on for ever.
func TestMissingInstanceIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	var b Registry
	b.Replace(second, 10, []Change{listed("a", 5)})
	b.SetOutage(2*second, true)
	c.Assert(b.Apply(3*second, []Change{removed("a", 15)}), qt.HasLen, 1)
	for range 3 {
		c.Assert(b.Apply(3*second, []Change{listed("a", 5)}), qt.HasLen, 0)
		c.Assert(b.Apply(3*second, []Change{removed("a", 15)}), qt.HasLen, 0)
	}
}

func TestRestartUnderOneID(t *testing.T) {
	c := qt.New(t)
	var b Registry
	b.Replace(second, 10, []Change{listed("a", 5)})
	again := listed("a", 11)
	again.Instance.Incarnation = 7
	events := b.Apply(second, []Change{again})
	c.Assert(events, qt.HasLen, 1)
	c.Assert(events[0].Kind, qt.Equals, EventRestarted)
}

// TestRemovalAfterAnOutageIsHeeded replays a router that was cut off and is back: an instance that leaves two seconds
// later must get no more requests within the bound for leaving instances.
func TestRemovalAfterAnOutageIsHeeded(t *testing.T) {
	c := qt.New(t)
	var b Registry
	b.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	b.SetOutage(2*second, true)
	b.SetOutage(6*second, false)
	b.Replace(6*second, 20, []Change{listed("a", 5), listed("b", 6)})
	b.Apply(8*second, []Change{removed("a", 21)})
	b.Expire(8*second + clock.Instant(1500*time.Millisecond))
	c.Assert(ids(&b), qt.DeepEquals, []settings.UpstreamID{"b"})
}

// TestAnotherRoutersRemovalHoldsInAnOutage replays a router that is cut off from the directory and hears of a leaving
// instance from a router that is not.
func TestAnotherRoutersRemovalHoldsInAnOutage(t *testing.T) {
	c := qt.New(t)
	var b Registry
	b.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	b.SetOutage(2*second, true)
	b.ApplyRelayed(3*second, []Change{removed("a", 21)})
	c.Assert(ids(&b), qt.DeepEquals, []settings.UpstreamID{"b"})
}

// TestReturnOfALapsedEntryIsNews replays two routers after an outage of the directory: one reads that the entry is back,
// the other does not read and hears of it from the first. Without the news it would drop the instance for good.
func TestReturnOfALapsedEntryIsNews(t *testing.T) {
	c := qt.New(t)
	var reader, other Registry
	for _, b := range []*Registry{&reader, &other} {
		b.Replace(second, 10, []Change{listed("a", 5)})
		b.SetOutage(2*second, true)
		b.SetOutage(6*second, false)
		b.Replace(6*second, 20, nil)
	}
	back := listed("a", 21)
	c.Assert(reader.Apply(7*second, []Change{back}), qt.HasLen, 1)
	c.Assert(other.ApplyRelayed(7*second, []Change{back}), qt.HasLen, 1)
	other.Expire(20 * second)
	c.Assert(ids(&other), qt.DeepEquals, []settings.UpstreamID{"a"})
}
