package loads

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/inflight"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/work"
)

// knows reports whether a router knows the work left at e1, and that the upstream is slow.
func (n *node) knows(left work.Amount) bool {
	now := clock.Boot{}.Now()
	for _, r := range n.service.Work.Recent(now) {
		if r.Upstream == "e1" && r.Slowdown == 250 {
			return n.service.Work.Left(now, []settings.UpstreamID{"e1"})[0] == left
		}
	}
	return false
}

// state makes a router's upstream say how fast it works, as answers do several times a second.
func (n *node) state(slowdown float64) { n.service.Work.Record(clock.Boot{}.Now(), "e1", slowdown) }

// TestAllRoutersSeeTheWorkOfAll counts work at nine routers in three data centres, one of which hears that the upstream is slow, and
// then stops a relay.
func TestAllRoutersSeeTheWorkOfAll(t *testing.T) {
	f := startFleet(t, 9)
	for _, n := range f.nodes {
		n.service.Work.Begin("e1", work.Amount{Prompt: 1000, Events: 4})
		n.state(1)
	}
	eventually := func(left work.Amount) {
		t.Helper()
		for range 500 {
			f.nodes[8].state(2.5)
			all := true
			for _, n := range f.nodes {
				all = all && (n.lost || n.knows(left))
			}
			if all {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatalf("not all routers know of %+v", left)
	}
	eventually(work.Amount{Prompt: 9000, Events: 36})
	for _, n := range f.nodes[:8] {
		n.service.mu.Lock()
		relays := n.service.relays
		n.service.mu.Unlock()
		if !relays {
			continue
		}
		n.stop()
		f.mu.Lock()
		n.lost = true
		f.mu.Unlock()
		break
	}
	eventually(work.Amount{Prompt: 8000, Events: 32})
}

// TestOldRoutersStillCountRequests runs two versions of the program side by side: the old one understands no work.
func TestOldRoutersStillCountRequests(t *testing.T) {
	f := startMixedFleet(t, 6, func(i int) int { return peer.WorkReportVersion - i%2 })
	for _, n := range f.nodes {
		n.service.InFlight.Begin("e1")
		n.service.Work.Begin("e1", work.Amount{Prompt: 1000, Events: 4})
		n.state(1)
	}
	f.eventually(t, 6)
}

// TestUndecodableWorkIsDropped covers a partner whose list of upstreams differs, and one that sends garbage.
func TestUndecodableWorkIsDropped(t *testing.T) {
	c := qt.New(t)
	f := startFleet(t, 1)
	s := f.nodes[0].service
	now := clock.Boot{}.Now()
	good := s.packWork(now, 0, (*inflight.Tracker).Local)
	c.Assert(good.Prompt.Names, qt.HasLen, 4)
	for _, w := range []peer.Work{
		{Prompt: inflight.Packed{Digest: 7, Values: []byte{1, 1, 1, 1}}, Events: good.Events},
		{Prompt: good.Prompt, Events: good.Prompt, Readings: []byte{9, 9}},
		{Prompt: good.Prompt},
	} {
		s.mergeWork(now, w, func(t *inflight.Tracker, counts inflight.Counts) { t.ReportTotals(now, counts) })
	}
	c.Assert(s.Work.Left(now, []settings.UpstreamID{"e1"})[0], qt.Equals, work.Amount{})
	c.Assert(s.Work.Recent(now), qt.HasLen, 0)
}
