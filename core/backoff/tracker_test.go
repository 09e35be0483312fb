package backoff

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/settings"
)

const second = clock.Instant(time.Second)

func instance(id settings.UpstreamID, inc members.Incarnation) members.Instance {
	return members.Instance{ID: id, Incarnation: inc}
}

func TestPausedUntilItsEnd(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	a, b := instance("a", 1), instance("b", 1)
	tr.Record(second, a, 2*time.Second)
	paused, soonest := tr.Paused(second, []members.Instance{a, b})
	c.Assert(paused, qt.DeepEquals, []bool{true, false})
	c.Assert(soonest, qt.Equals, time.Duration(0))
	paused, _ = tr.Paused(3*second, []members.Instance{a, b})
	c.Assert(paused, qt.DeepEquals, []bool{false, false})
}

func TestPauseIsNotShortened(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	a := instance("a", 1)
	tr.Record(second, a, 10*time.Second)
	c.Assert(tr.Record(2*second, a, time.Second), qt.Equals, 11*second)
	c.Assert(tr.Record(2*second, a, 0), qt.Equals, 2*second)
	paused, _ := tr.Paused(10*second, []members.Instance{a})
	c.Assert(paused, qt.DeepEquals, []bool{true})
}

func TestPauseEndsWithItsProcess(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	tr.Record(second, instance("a", 1), 10*time.Second)
	paused, _ := tr.Paused(2*second, []members.Instance{instance("a", 2)})
	c.Assert(paused, qt.DeepEquals, []bool{false})
	c.Assert(tr.Record(2*second, instance("a", 2), time.Second), qt.Equals, 3*second)
}

func TestPauseIsBounded(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	a := instance("a", 1)
	tr.Record(second, a, 1000*time.Hour)
	paused, _ := tr.Paused(second.Add(maxPause), []members.Instance{a})
	c.Assert(paused, qt.DeepEquals, []bool{false})
	for i := range 2 * maxPauses {
		tr.Record(second, instance(settings.UpstreamID(fmt.Sprint(i)), 1), time.Hour)
	}
	c.Assert(len(tr.pauses) <= maxPauses, qt.IsTrue)
}

// TestServiceThatTurnsEveryRouterAway replays 20 upstreams that ask for pauses of 2 s to 4 s while 500 clients a second arrive.
// Each refusal must name a time at which an upstream wants requests again, and the clients must not return together.
func TestServiceThatTurnsEveryRouterAway(t *testing.T) {
	c := qt.New(t)
	var tr Tracker
	var list []members.Instance
	for i := range 20 {
		inst := instance(settings.UpstreamID(fmt.Sprint(i)), 1)
		list = append(list, inst)
		tr.Record(second, inst, 2*time.Second+time.Duration(i)*100*time.Millisecond)
	}
	const clients = 500
	perTenth := make(map[int64]int)
	for i := range clients {
		now := second + clock.Instant(i)*clock.Instant(time.Second/clients)
		paused, soonest := tr.Paused(now, list)
		c.Assert(paused[0] && paused[19], qt.IsTrue)
		c.Assert(now.Add(soonest), qt.Equals, 3*second)
		back := now.Add(RetryAfter(soonest, float64(i*7%clients)/clients))
		later, _ := tr.Paused(back, list)
		c.Assert(later[0], qt.IsFalse)
		perTenth[int64(back)/int64(100*time.Millisecond)]++
	}
	for tenth, n := range perTenth {
		c.Assert(n <= clients/4, qt.IsTrue, qt.Commentf("%d clients return at %d ms", n, tenth*100))
	}
}
