package outlier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

var ids = []settings.UpstreamID{"a", "b", "c", "d"}

const start = clock.Instant(time.Minute)

func TestFailingUpstreamIsEjectedTemporarily(t *testing.T) {
	c := qt.New(t)
	var d Detector
	for i := range 12 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		for _, id := range ids {
			d.RecordResult(now, id, "letters", id == "b" && i%2 == 0)
		}
	}
	now := start.Add(time.Second)
	c.Assert(d.Ejected(now, ids), qt.DeepEquals, []bool{false, true, false, false})
	c.Assert(d.Ejected(now.Add(ejectionTime), ids), qt.DeepEquals, []bool{false, false, false, false})
}

// TestServiceWideFailuresEjectAtMostHalf covers a service at which every second request to each upstream fails.
func TestServiceWideFailuresEjectAtMostHalf(t *testing.T) {
	c := qt.New(t)
	var d Detector
	for i := range 40 {
		now := start.Add(time.Duration(i) * 50 * time.Millisecond)
		for _, id := range ids {
			d.RecordResult(now, id, "letters", i%2 == 0)
		}
	}
	ejected := d.Ejected(start.Add(2*time.Second), ids)
	n := 0
	for _, e := range ejected {
		if e {
			n++
		}
	}
	c.Assert(n <= len(ids)/2, qt.IsTrue)
}

func TestNoneIsEjectedAboveMaxShare(t *testing.T) {
	c := qt.New(t)
	var d Detector
	for _, id := range ids[:3] {
		d.RecordUnreachable(start, id, "letters")
	}
	c.Assert(d.Ejected(start, ids), qt.DeepEquals, []bool{false, false, false, false})
}

func TestUnreachableBackoffDoublesUntilSuccess(t *testing.T) {
	c := qt.New(t)
	var d Detector
	first := d.RecordUnreachable(start, "a", "letters")
	second := d.RecordUnreachable(start, "a", "letters")
	c.Assert(second, qt.Equals, 2*first)
	d.RecordResult(start, "a", "letters", false)
	c.Assert(d.RecordUnreachable(start, "a", "letters"), qt.Equals, first)
}
