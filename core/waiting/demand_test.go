package waiting

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
)

// TestPatientRequestsDoNotFillTheQueueOfUrgentOnes guards against a service whose less urgent requests have the longer objective: they
// would wait at its upstreams in such numbers that the urgent ones come too late.
func TestPatientRequestsDoNotFillTheQueueOfUrgentOnes(t *testing.T) {
	c := qt.New(t)
	var d Demand
	now := clock.Instant(time.Minute)
	d.Record(now, "letters", 2, 1500*time.Millisecond)
	alone := d.QueueTime(now, "letters", 2)
	c.Assert(alone, qt.Equals, 750*time.Millisecond)
	d.Record(now, "letters", 0, 400*time.Millisecond)
	d.Record(now, "letters", 1, 500*time.Millisecond)
	urgent, middle, patient := d.QueueTime(now, "letters", 0), d.QueueTime(now, "letters", 1), d.QueueTime(now, "letters", 2)
	c.Assert(urgent, qt.Equals, 200*time.Millisecond)
	c.Assert(middle < urgent && patient < middle && patient > 0, qt.IsTrue, qt.Commentf("%v %v %v", urgent, middle, patient))
	// Once no urgent requests come any more, the others use the room.
	later := now.Add(demandTime + time.Millisecond)
	d.Record(later, "letters", 2, 1500*time.Millisecond)
	c.Assert(d.QueueTime(later, "letters", 2), qt.Equals, alone)
	c.Assert(d.QueueTime(later, "desk", 0), qt.Equals, time.Duration(0))
}
