package members

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

// TestProcessThatTurnsColdIsKnownFromItsAnswer guards against full load on an upstream that has turned cold again and whose entry does not
// say so yet.
func TestProcessThatTurnsColdIsKnownFromItsAnswer(t *testing.T) {
	c := qt.New(t)
	now := clock.Instant(time.Hour)
	inst := Instance{ID: "u", Service: "letters", Incarnation: 5}
	r := &Registry{}
	r.Replace(now, 1, []Change{{ID: "u", Revision: 1, Instance: inst}})
	c.Assert(r.ColdRemaining(now, "u"), qt.Equals, time.Duration(0))
	c.Assert(r.Serving("letters")[0].ColdRemaining, qt.Equals, time.Duration(0))
	c.Assert(r.MarkCold(now, inst, 3*time.Second), qt.IsTrue)
	c.Assert(r.MarkCold(now.Add(time.Second), inst, 2050*time.Millisecond), qt.IsFalse)
	c.Assert(r.ColdRemaining(now.Add(time.Second), "u"), qt.Equals, 2*time.Second)
	c.Assert(r.Serving("letters")[0].ColdRemaining > 0, qt.IsTrue)
	// An answer of an earlier process says nothing about this one.
	old := inst
	old.Incarnation = 4
	c.Assert(r.MarkCold(now.Add(time.Second), old, time.Minute), qt.IsFalse)
	c.Assert(r.ColdRemaining(now.Add(4*time.Second), "u"), qt.Equals, time.Duration(0))
	c.Assert(r.MarkCold(now, Instance{ID: "gone"}, time.Second), qt.IsFalse)
}
