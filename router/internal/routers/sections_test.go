package routers

import (
	"io"
	"testing"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/peer"
)

// TestLatestChangesAreNotTheCompleteList guards against a router that takes requests with the few instances that changed while it started.
func TestLatestChangesAreNotTheCompleteList(t *testing.T) {
	c := qt.New(t)
	s := &Service{Members: &members.Registry{}, Log: log.New(io.Discard), OnEvents: func(string, []members.Event) {}, Clock: clock.Boot{}}
	change := members.Change{ID: "e1", Revision: 3, Instance: members.Instance{ID: "e1", Service: "letters"}}
	data := encode(&memberData{Complete: true, Changes: []members.Change{change}})
	section := memberSection{s}
	c.Assert(section.Apply(1, "r2", peer.StateSection{Data: data}), qt.IsNil)
	c.Assert(s.Members.IDs(), qt.HasLen, 1)
	c.Assert(s.Members.Complete(), qt.IsFalse)
	c.Assert(section.Apply(1, "r2", peer.StateSection{Data: data, To: 4}), qt.IsNil)
	c.Assert(s.Members.Complete(), qt.IsTrue)
}
