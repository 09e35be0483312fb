package work

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/settings"
)

// TestWorkOfRequestsIsSummed follows requests from their start to their end, one of which exceeds its estimate and one of which breaks off.
func TestWorkOfRequestsIsSummed(t *testing.T) {
	c := qt.New(t)
	var l Ledger
	now := clock.Instant(time.Second)
	ids := []settings.UpstreamID{"a", "b"}
	long := l.Begin("a", Amount{Prompt: 11800, Events: 42})
	short := l.Begin("a", Amount{Prompt: 300, Events: 2})
	l.Prompt.Report(now, "r2", "", inflight.Counts{"b": 2000})
	l.Events.Report(now, "r2", "", inflight.Counts{"b": 7})
	c.Assert(l.Left(now, ids), qt.DeepEquals, []Amount{{Prompt: 12100, Events: 44}, {Prompt: 2000, Events: 7}})
	for range 5 {
		short.Event()
	}
	c.Assert(l.Left(now, ids)[0], qt.Equals, Amount{Prompt: 11800, Events: 43})
	short.End()
	short.End()
	c.Assert(l.Left(now, ids)[0], qt.Equals, Amount{Prompt: 11800, Events: 42})
	long.End()
	c.Assert(l.Left(now, ids)[0], qt.Equals, Amount{})
	// The work of a router that no longer reports is dropped.
	c.Assert(l.Left(now.Add(2*time.Second), ids), qt.DeepEquals, []Amount{{}, {}})
	var none *Entry
	none.Event()
	none.End()
	l.Begin("a", Amount{Prompt: -5, Events: -1}).End()
	c.Assert(l.Left(now.Add(2*time.Second), ids), qt.DeepEquals, []Amount{{}, {}})
}
