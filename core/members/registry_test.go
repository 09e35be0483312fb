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

func ids(r *Registry) []settings.UpstreamID {
	var list []settings.UpstreamID
	for _, i := range r.Serving("letters") {
		list = append(list, i.ID)
	}
	return list
}

func TestOlderChangeIsIgnored(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	c.Assert(r.Apply(second, []Change{removed("a", 11)}), qt.HasLen, 1)
	c.Assert(r.Apply(second, []Change{listed("a", 5), removed("b", 4)}), qt.HasLen, 0)
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"b"})
	c.Assert(r.Apply(second, []Change{listed("a", 12)}), qt.HasLen, 1)
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"a", "b"})
}

func TestReplaceRemovesUnlistedInstances(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	r.Apply(second, []Change{listed("c", 12)})
	r.Replace(second, 11, []Change{listed("a", 5)})
	// c was written after the listing was made, so it stays.
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"a", "c"})
}

func TestDrainingInstanceIsNotServing(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	leaving := listed("a", 11)
	leaving.Instance.Draining = true
	events := r.Apply(second, []Change{leaving})
	c.Assert(events, qt.HasLen, 1)
	c.Assert(events[0].Kind, qt.Equals, EventDraining)
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"b"})
}

func TestEntryMissingAfterOutageMayComeBack(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	r.SetOutage(2*second, true)
	r.SetOutage(6*second, false)
	r.Replace(6*second, 20, nil)
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"a", "b"})
	r.Apply(7*second, []Change{listed("a", 21)})
	r.Expire(8 * second)
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"a", "b"})
	r.Expire(6*second + clock.Instant(reappearTime))
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"a"})
}

// TestMissingInstanceIsReportedOnce covers two routers that relay changes to each other after an entry expired in an
// outage. If the older listing restored the entry, they would exchange these changes forever.
func TestMissingInstanceIsReportedOnce(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r.Replace(second, 10, []Change{listed("a", 5)})
	r.SetOutage(2*second, true)
	c.Assert(r.Apply(3*second, []Change{removed("a", 15)}), qt.HasLen, 1)
	for range 3 {
		c.Assert(r.Apply(3*second, []Change{listed("a", 5)}), qt.HasLen, 0)
		c.Assert(r.Apply(3*second, []Change{removed("a", 15)}), qt.HasLen, 0)
	}
}

func TestRestartUnderOneID(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r.Replace(second, 10, []Change{listed("a", 5)})
	restarted := listed("a", 11)
	restarted.Instance.Incarnation = 7
	events := r.Apply(second, []Change{restarted})
	c.Assert(events, qt.HasLen, 1)
	c.Assert(events[0].Kind, qt.Equals, EventRestarted)
}

// TestRemovalAfterOutageIsApplied covers a router that can read the directory again after an outage. An instance that
// leaves two seconds later must stop getting requests within the limit for leaving instances.
func TestRemovalAfterOutageIsApplied(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	r.SetOutage(2*second, true)
	r.SetOutage(6*second, false)
	r.Replace(6*second, 20, []Change{listed("a", 5), listed("b", 6)})
	r.Apply(8*second, []Change{removed("a", 21)})
	r.Expire(8*second + clock.Instant(1500*time.Millisecond))
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"b"})
}

// TestRelayedRemovalAppliesDuringOutage covers a router that cannot read the directory and receives the removal of a
// leaving instance from another router.
func TestRelayedRemovalAppliesDuringOutage(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	r.SetOutage(2*second, true)
	r.ApplyRelayed(3*second, []Change{removed("a", 21)})
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"b"})
}

// TestReturnedEntryIsReported covers two routers after an outage of the directory: one reads that the entry is back,
// and the other gets this change only from the first. Without an event for the change, the second router would drop the
// instance for good.
func TestReturnedEntryIsReported(t *testing.T) {
	c := qt.New(t)
	var poller, other Registry
	for _, r := range []*Registry{&poller, &other} {
		r.Replace(second, 10, []Change{listed("a", 5)})
		r.SetOutage(2*second, true)
		r.SetOutage(6*second, false)
		r.Replace(6*second, 20, nil)
	}
	back := listed("a", 21)
	c.Assert(poller.Apply(7*second, []Change{back}), qt.HasLen, 1)
	c.Assert(other.ApplyRelayed(7*second, []Change{back}), qt.HasLen, 1)
	other.Expire(20 * second)
	c.Assert(ids(&other), qt.DeepEquals, []settings.UpstreamID{"a"})
}

// TestLeavingProcessStaysLeaving covers a process that states in an answer that it is leaving. Its entry may say otherwise later,
// lapse and come back; only another process of the upstream is used again.
func TestLeavingProcessStaysLeaving(t *testing.T) {
	c := qt.New(t)
	var r, other Registry
	r.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	other.Replace(second, 10, []Change{listed("a", 5), listed("b", 6)})
	events := r.MarkLeaving(r.Serving("letters")[0])
	c.Assert(events, qt.HasLen, 1)
	c.Assert(events[0].Kind, qt.Equals, EventDraining)
	c.Assert(r.MarkLeaving(events[0].Instance), qt.HasLen, 0)
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"b"})
	// Another router takes over the state, once.
	c.Assert(other.ApplyRelayed(second, ChangesOf(events)), qt.HasLen, 1)
	c.Assert(other.ApplyRelayed(second, ChangesOf(events)), qt.HasLen, 0)
	c.Assert(ids(&other), qt.DeepEquals, []settings.UpstreamID{"b"})
	for _, registry := range []*Registry{&r, &other} {
		registry.Apply(2*second, []Change{listed("a", 11)})
		c.Assert(ids(registry), qt.DeepEquals, []settings.UpstreamID{"b"})
		registry.Apply(2*second, []Change{removed("a", 12)})
		registry.Apply(2*second, []Change{listed("a", 13)})
		c.Assert(ids(registry), qt.DeepEquals, []settings.UpstreamID{"b"})
		restarted := listed("a", 14)
		restarted.Instance.Incarnation = 9
		registry.Apply(2*second, []Change{restarted})
		c.Assert(ids(registry), qt.DeepEquals, []settings.UpstreamID{"a", "b"})
	}
}

// TestLeavingStatementOfAnEarlierProcessIsIgnored covers an answer that arrives after its process was replaced.
func TestLeavingStatementOfAnEarlierProcessIsIgnored(t *testing.T) {
	c := qt.New(t)
	var r Registry
	old := listed("a", 5)
	r.Replace(second, 10, []Change{old})
	restarted := listed("a", 11)
	restarted.Instance.Incarnation = 9
	r.Apply(second, []Change{restarted})
	c.Assert(r.MarkLeaving(old.Instance), qt.HasLen, 0)
	c.Assert(ids(&r), qt.DeepEquals, []settings.UpstreamID{"a"})
}
