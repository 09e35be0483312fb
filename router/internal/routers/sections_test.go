package routers

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
)

// TestLatestChangesAreNotTheCompleteList guards against a router that takes requests with the few instances that changed while it started.
func TestLatestChangesAreNotTheCompleteList(t *testing.T) {
	c := qt.New(t)
	s := &Service{Members: &members.Registry{}, Evacuations: &evacuation.Tracker{}, Log: log.New(io.Discard), OnEvents: func(string, []members.Event) {}, Clock: clock.Boot{}}
	change := members.Change{ID: "e1", Revision: 3, Instance: members.Instance{ID: "e1", Service: "letters"}}
	data := encode(&memberData{Complete: true, Changes: []members.Change{change}})
	section := memberSection{s}
	c.Assert(section.Apply(1, "r2", peer.StateSection{Data: data}), qt.IsNil)
	c.Assert(s.Members.IDs(), qt.HasLen, 1)
	c.Assert(s.Members.Complete(), qt.IsFalse)
	c.Assert(section.Apply(1, "r2", peer.StateSection{Data: data, To: 4}), qt.IsNil)
	c.Assert(s.Members.Complete(), qt.IsTrue)
}

// TestEvacuationSpreadsThroughALargeFleet guards against a router of a large fleet that sends requests into an evacuated data centre,
// since its neighbours in the tree have not told it.
func TestEvacuationSpreadsThroughALargeFleet(t *testing.T) {
	c := qt.New(t)
	newService := func() *Service {
		return &Service{
			Evacuations: &evacuation.Tracker{}, Clock: clock.Boot{}, Log: log.New(io.Discard),
			OnEvacuations: func(string, []evacuation.Change) {},
		}
	}
	now := clock.Boot{}.Now()
	from, to := evacuationSection{newService()}, evacuationSection{newService()}
	known := from.Version()
	from.s.Evacuations.Apply(now, []evacuation.Change{{DataCentre: "jos", Revision: 7, Evacuated: true}})
	c.Assert(from.Urgent(), qt.Not(qt.Equals), known)
	c.Assert(from.Digest(), qt.Not(qt.Equals), to.Digest())
	changes, ok := from.Since(now, known, "r2")
	c.Assert(ok, qt.IsTrue)
	c.Assert(to.Apply(now, "r1", peer.StateSection{Data: changes.Data, To: changes.To}), qt.IsNil)
	c.Assert(to.s.Evacuations.Evacuated("jos"), qt.IsTrue)
	c.Assert(from.Digest(), qt.Equals, to.Digest())
	again, _ := from.Since(now, changes.To, "r2")
	c.Assert(again.Data, qt.HasLen, 0)
}
