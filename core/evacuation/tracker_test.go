package evacuation

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

const start = clock.Instant(time.Hour)

// TestOrdersAreAppliedInTheirRevisionsOrder guards against a data centre that gets requests again because an old change arrives late, from a
// router that was cut off.
func TestOrdersAreAppliedInTheirRevisionsOrder(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	order := Change{DataCentre: "kano", Revision: 10, Evacuated: true}
	c.Assert(tr.Apply(start, []Change{order}), qt.DeepEquals, []Change{order})
	c.Assert(tr.Evacuated("kano"), qt.IsTrue)
	c.Assert(tr.Evacuated("jos"), qt.IsFalse)
	c.Assert(tr.Apply(start, []Change{order, {DataCentre: "kano", Revision: 9}}), qt.HasLen, 0)
	c.Assert(tr.Evacuated("kano"), qt.IsTrue)
	c.Assert(tr.Apply(start, []Change{{DataCentre: "kano", Revision: 12}}), qt.HasLen, 1)
	c.Assert(tr.Apply(start, []Change{order}), qt.HasLen, 0)
	c.Assert(tr.Evacuated("kano"), qt.IsFalse)
}

// TestListingTakesBackOrdersThatItLacks guards against an evacuation that lasts for ever because the router missed its end, and against
// one that is lost to a listing that was read before it.
func TestListingTakesBackOrdersThatItLacks(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.Apply(start, []Change{{DataCentre: "kano", Revision: 10, Evacuated: true}, {DataCentre: "jos", Revision: 30, Evacuated: true}})
	changed := tr.Replace(start, 20, []Change{{DataCentre: "kaduna", Revision: 15, Evacuated: true}})
	c.Assert(changed, qt.HasLen, 2)
	c.Assert(tr.Evacuated("kano"), qt.IsFalse)
	c.Assert(tr.Evacuated("jos"), qt.IsTrue, qt.Commentf("written after the listing"))
	c.Assert(tr.Evacuated("kaduna"), qt.IsTrue)
}

// TestRestoredDirectoryOutweighsEarlierEras guards against orders of before a restore that no later change would replace, since the
// directory gives out its revisions again.
func TestRestoredDirectoryOutweighsEarlierEras(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.Apply(start, []Change{{DataCentre: "kano", Revision: members.NewRevision(1, 900), Evacuated: true}})
	tr.Replace(start, members.NewRevision(2, 100), nil)
	c.Assert(tr.Evacuated("kano"), qt.IsFalse)
	tr.Apply(start, []Change{{DataCentre: "kano", Revision: members.NewRevision(1, 950), Evacuated: true}})
	c.Assert(tr.Evacuated("kano"), qt.IsFalse)
	tr.Apply(start, []Change{{DataCentre: "kano", Revision: members.NewRevision(2, 101), Evacuated: true}})
	c.Assert(tr.Evacuated("kano"), qt.IsTrue)
}

// TestStartedRouterLearnsOrdersFromAnother guards against a router that starts while the directory is down and sends to an evacuated data
// centre.
func TestStartedRouterLearnsOrdersFromAnother(t *testing.T) {
	c := qt.New(t)
	var old, started Tracker
	old.Apply(start, []Change{{DataCentre: "kano", Revision: 10, Evacuated: true}, {DataCentre: "jos", Revision: 11, Evacuated: true}})
	now := start.Add(2 * time.Second)
	old.Apply(now, []Change{{DataCentre: "jos", Revision: 12}})
	now = now.Add(time.Second)
	started.Apply(now, old.Changes(now))
	c.Assert(started.Evacuated("kano"), qt.IsTrue)
	c.Assert(started.Evacuated("jos"), qt.IsFalse)
	// The upstreams of a data centre that has been taken back are cold for some time, which began when the first router knew.
	c.Assert(started.TakenBackWithin(now, "jos", 1100*time.Millisecond), qt.IsTrue)
	c.Assert(started.TakenBackWithin(now, "jos", 900*time.Millisecond), qt.IsFalse)
	c.Assert(started.TakenBackWithin(now, "kano", time.Hour), qt.IsFalse)
	c.Assert(started.TakenBackWithin(now, "kaduna", time.Hour), qt.IsFalse)
}

// TestRememberedDataCentresAreBounded guards against growth with the names that are ever written.
func TestRememberedDataCentresAreBounded(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.Apply(start, []Change{{DataCentre: "kano", Revision: 1, Evacuated: true}})
	for i := range 2 * maxDataCentres {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		tr.Apply(start.Add(time.Duration(i)), []Change{{DataCentre: settings.DataCentre("x" + name), Revision: members.Revision(i + 2)}})
	}
	c.Assert(len(tr.states), qt.Equals, maxDataCentres)
	c.Assert(tr.Evacuated("kano"), qt.IsTrue)
}
