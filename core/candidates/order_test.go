package candidates

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

func TestLeastLoadedSideIsTriedLastWhenAllRefuse(t *testing.T) {
	c := qt.New(t)
	o := New(rendezvous.New([]settings.UpstreamID{"a", "b", "c"}), 7, "")
	loads := map[settings.UpstreamID]settings.Tokens{"a": 30, "b": 10, "c": 20}
	for range 3 {
		step, ok := o.Next()
		c.Assert(ok, qt.IsTrue)
		c.Assert(step.LastCandidate, qt.IsFalse)
		o.RecordOverloaded(step.Side, loads[step.Side])
	}
	step, ok := o.Next()
	c.Assert(ok, qt.IsTrue)
	c.Assert(step, qt.Equals, Step{Side: "b", Redirected: true, LastCandidate: true})
	_, ok = o.Next()
	c.Assert(ok, qt.IsFalse)
}

func TestNamedSidesAreTriedFirstAndNoneTwice(t *testing.T) {
	c := qt.New(t)
	o := New(rendezvous.New([]settings.UpstreamID{"a", "b", "c", "d", "e", "f"}), 7, "e")
	first, _ := o.Next()
	c.Assert(first.Side, qt.Equals, settings.UpstreamID("e"))
	o.Prepend([]settings.UpstreamID{"e", "f"})
	second, _ := o.Next()
	c.Assert(second, qt.Equals, Step{Side: "f", Redirected: true})
	seen := map[settings.UpstreamID]bool{"e": true, "f": true}
	for {
		step, ok := o.Next()
		if !ok {
			break
		}
		c.Assert(seen[step.Side], qt.IsFalse)
		seen[step.Side] = true
	}
	c.Assert(o.Requests() <= MaxRequests, qt.IsTrue)
}

func TestExcludedSideIsNotTriedEvenIfNamed(t *testing.T) {
	c := qt.New(t)
	o := New(rendezvous.New([]settings.UpstreamID{"a", "b"}), 7, "")
	o.Exclude([]settings.UpstreamID{"a"})
	o.Prepend([]settings.UpstreamID{"a"})
	step, ok := o.Next()
	c.Assert(ok, qt.IsTrue)
	c.Assert(step.Side, qt.Equals, settings.UpstreamID("b"))
	_, ok = o.Next()
	c.Assert(ok, qt.IsFalse)
}
