package candidates

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/rendezvous"
	"rattantrack.dev/core/settings"
)

func TestLightestIsAskedLastWhenAllHaveRefused(t *testing.T) {
	c := qt.New(t)
	w := New(rendezvous.New([]settings.UpstreamID{"a", "b", "c"}), 7, "")
	loads := map[settings.UpstreamID]settings.Tokens{"a": 30, "b": 10, "c": 20}
	for range 3 {
		step, ok := w.Next()
		c.Assert(ok, qt.IsTrue)
		c.Assert(step.LastCandidate, qt.IsFalse)
		w.RecordOverloaded(step.Side, loads[step.Side])
	}
	step, ok := w.Next()
	c.Assert(ok, qt.IsTrue)
	c.Assert(step, qt.Equals, Step{Side: "b", Redirected: true, LastCandidate: true})
	_, ok = w.Next()
	c.Assert(ok, qt.IsFalse)
}

func TestNamedSidesAreAskedFirstAndNobodyTwice(t *testing.T) {
	c := qt.New(t)
	w := New(rendezvous.New([]settings.UpstreamID{"a", "b", "c", "d", "e", "f"}), 7, "e")
	first, _ := w.Next()
	c.Assert(first.Side, qt.Equals, settings.UpstreamID("e"))
	w.Prepend([]settings.UpstreamID{"e", "f"})
	second, _ := w.Next()
	c.Assert(second, qt.Equals, Step{Side: "f", Redirected: true})
	seen := map[settings.UpstreamID]bool{"e": true, "f": true}
	for {
		step, ok := w.Next()
		if !ok {
			break
		}
		c.Assert(seen[step.Side], qt.IsFalse)
		seen[step.Side] = true
	}
	c.Assert(w.Requests() <= MaxRequests, qt.IsTrue)
}

func TestExcludedSideIsNotAskedThoughItIsNamed(t *testing.T) {
	c := qt.New(t)
	w := New(rendezvous.New([]settings.UpstreamID{"a", "b"}), 7, "")
	w.Exclude([]settings.UpstreamID{"a"})
	w.Prepend([]settings.UpstreamID{"a"})
	step, ok := w.Next()
	c.Assert(ok, qt.IsTrue)
	c.Assert(step.Side, qt.Equals, settings.UpstreamID("b"))
	_, ok = w.Next()
	c.Assert(ok, qt.IsFalse)
}
