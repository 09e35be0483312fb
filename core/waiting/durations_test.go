package waiting

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestDurationsFollowTheirRequests(t *testing.T) {
	c := qt.New(t)
	var d Durations
	c.Assert(d.Mean("letters", time.Second), qt.Equals, time.Second)
	for range 10 {
		d.Record("letters", 200*time.Millisecond)
	}
	c.Assert(d.Mean("letters", time.Second), qt.Equals, 200*time.Millisecond)
	for range 500 {
		d.Record("letters", 2*time.Second)
	}
	got := d.Mean("letters", time.Second)
	c.Assert(got > 1900*time.Millisecond && got <= 2*time.Second, qt.IsTrue, qt.Commentf("%v", got))
	c.Assert(d.Mean("desk", 50*time.Millisecond), qt.Equals, 50*time.Millisecond)
}

// TestQueueOfAnUpstreamEmptiesWithinItsTime replays an upstream in overload: 64 slots whose requests run for 1.3 s. The last of the
// admitted requests gets a slot within the time that it may wait.
func TestQueueOfAnUpstreamEmptiesWithinItsTime(t *testing.T) {
	c := qt.New(t)
	const (
		slots     = 64
		run       = 1300 * time.Millisecond
		queueTime = 200 * time.Millisecond
	)
	admitted := int(Overcommit(run, queueTime) * slots)
	c.Assert(admitted > slots, qt.IsTrue)
	// One slot falls free each run/slots.
	c.Assert(time.Duration(admitted-slots)*run/slots <= queueTime, qt.IsTrue)
	c.Assert(Wait(run, admitted-1, slots) <= queueTime, qt.IsTrue)
	c.Assert(Wait(run, slots-1, slots), qt.Equals, time.Duration(0))
	c.Assert(Overcommit(run, 0), qt.Equals, 1.0)
}
