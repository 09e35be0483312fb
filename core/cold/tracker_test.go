package cold

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/settings"
)

const start = clock.Instant(time.Hour)

// testRate and testLimits allow 24 requests in a second.
const testRate = 13.0

var testLimits = Limits{Overage: 1.5, Slack: 5}

// names returns the addresses of n routers.
func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("10.0.0.%d:7400", i))
	}
	return list
}

// newTracker returns the Tracker of a router that knows a list of routers.
func newTracker(self string, routers []string) *Tracker {
	return &Tracker{Limits: testLimits, Self: self, Routers: func() ([]string, bool) { return routers, false }}
}

// TestPartsAddUpToTheBound guards against a bound that routers break together, and against one of which they leave a part unused.
func TestPartsAddUpToTheBound(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{1, 2, 5, 23, 24, 25, 27, 300} {
		list := names(n)
		for _, id := range []settings.UpstreamID{"a", "b"} {
			sum := 0
			for _, r := range list {
				sum += part(24, r, list, id)
			}
			c.Assert(sum, qt.Equals, 24, qt.Commentf("%d routers", n))
		}
	}
	c.Assert(part(0, "a", []string{"a"}, "u"), qt.Equals, 0)
}

// TestPartsHoldWhileRoutersKnowMoreThanThoseThatSend guards the bound while routers are added, lost and forgotten at different times: each
// knows all that send and any number of others.
func TestPartsHoldWhileRoutersKnowMoreThanThoseThatSend(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(300) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		sending, others := names(60)[:1+rnd.IntN(59)], names(60)
		sum := 0
		for _, self := range sending {
			list := slices.Clone(sending)
			for _, other := range others {
				if !slices.Contains(list, other) && rnd.IntN(3) == 0 {
					list = append(list, other)
				}
			}
			sum += part(24, self, list, "u")
		}
		c.Assert(sum <= 24, qt.IsTrue, qt.Commentf("seed %d: %d", seed, sum))
	}
}

// TestRushOfAllRoutersKeepsTheBound replays a release on a virtual clock: 27 routers find an empty upstream at the same moment, and each
// would send all it has. On the untouched code 30 requests came within 0.2 s, and the upstream crashed.
func TestRushOfAllRoutersKeepsTheBound(t *testing.T) {
	c := qt.New(t)
	for _, n := range []int{3, 27, 120} {
		rnd := rand.New(rand.NewPCG(uint64(n), 2))
		var trackers []*Tracker
		for _, r := range names(n) {
			trackers = append(trackers, newTracker(r, names(n)))
		}
		for _, tr := range trackers {
			tr.Room(start, "u", testRate)
		}
		var arrivals []clock.Instant
		for ms := int(settleTime.Milliseconds()); ms < 12_000; ms += 5 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for _, tr := range trackers {
				if rnd.IntN(4) == 0 && tr.Room(now, "u", testRate) {
					tr.Begin(now, "u")
					arrivals = append(arrivals, now)
				}
			}
		}
		c.Assert(most(arrivals) <= 24, qt.IsTrue, qt.Commentf("%d routers: %d", n, most(arrivals)))
		c.Assert(len(arrivals) > 10*18, qt.IsTrue, qt.Commentf("%d routers use the bound: %d", n, len(arrivals)))
	}
}

// most returns the most arrivals within a second.
func most(arrivals []clock.Instant) int {
	n := 0
	for i, first := range arrivals {
		j := i
		for j < len(arrivals) && arrivals[j].Sub(first) <= time.Second {
			j++
		}
		n = max(n, j-i)
	}
	return n
}

// TestRouterThatHasStartedSendsNothingAtFirst guards against a router that sends before the others know that it does, or again what it has
// sent before its restart.
func TestRouterThatHasStartedSendsNothingAtFirst(t *testing.T) {
	c := qt.New(t)
	alone := true
	tr := &Tracker{Limits: testLimits, Self: "a", Routers: func() ([]string, bool) { return []string{"b"}, alone }}
	c.Assert(tr.Room(start, "u", testRate), qt.IsFalse)
	now := start.Add(20 * time.Second)
	c.Assert(tr.Room(now, "u", testRate), qt.IsFalse, qt.Commentf("no other router knows it"))
	alone = false
	now = now.Add(refreshInterval)
	c.Assert(tr.Room(now, "u", testRate), qt.IsFalse)
	c.Assert(tr.Room(now.Add(settleTime-1), "u", testRate), qt.IsFalse)
	c.Assert(tr.Room(now.Add(settleTime), "u", testRate), qt.IsTrue)
}

// TestCutOffRouterKeepsItsPart guards against a router that takes the parts of others that it no longer reaches.
func TestCutOffRouterKeepsItsPart(t *testing.T) {
	c := qt.New(t)
	others := names(40)[1:]
	tr := &Tracker{Limits: testLimits, Self: names(1)[0], Routers: func() ([]string, bool) { return others, false }}
	count := func(now clock.Instant, id settings.UpstreamID) int {
		n := 0
		for tr.Room(now, id, testRate) {
			tr.Begin(now, id)
			n++
		}
		return n
	}
	tr.Room(start, "u", testRate)
	now := start.Add(settleTime)
	c.Assert(count(now, "u") <= 1, qt.IsTrue)
	others = nil
	c.Assert(count(now.Add(rememberTime/2), "u") <= 1, qt.IsTrue)
	c.Assert(count(now.Add(2*rememberTime), "u"), qt.Equals, 24)
}

// TestRequestsOfBeforeCountWhenAnUpstreamTurnsCold guards against a full part on top of what a warm upstream has just got.
func TestRequestsOfBeforeCountWhenAnUpstreamTurnsCold(t *testing.T) {
	c := qt.New(t)
	tr := newTracker("a", []string{"a", "b"})
	tr.Room(start, "other", testRate)
	now := start.Add(settleTime)
	for range 12 {
		tr.Begin(now, "u")
	}
	c.Assert(tr.Room(now.Add(time.Second), "u", testRate), qt.IsFalse)
	c.Assert(tr.Limiting(now.Add(time.Second)), qt.IsTrue)
	c.Assert(tr.Room(now.Add(window), "u", testRate), qt.IsTrue)
	// A request counts from when it is sent, not from when its connection was asked for.
	tr.Begin(now.Add(window), "u")
	tr.Sent(now.Add(window+500*time.Millisecond), "u", now.Add(window))
	c.Assert(tr.Statuses(now.Add(2 * window))[1].Sent, qt.Equals, 1)
}

// TestColdUpstreamIsAnnouncedOnce guards against a log line for each request.
func TestColdUpstreamIsAnnouncedOnce(t *testing.T) {
	c := qt.New(t)
	n := 0
	tr := newTracker("a", []string{"a"})
	tr.OnCold = func(id settings.UpstreamID, bound, part, routers int) {
		n++
		c.Assert([]any{id, bound, part, routers}, qt.DeepEquals, []any{settings.UpstreamID("u"), 24, 24, 1})
	}
	for i := range 100 {
		tr.Room(start.Add(time.Duration(i)*50*time.Millisecond), "u", testRate)
	}
	c.Assert(n, qt.Equals, 1)
	tr.Forget("u")
	c.Assert(tr.Statuses(start), qt.HasLen, 0)
}
