package direct

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/cold"
	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// limitCold sets a rate for cold upstreams, of which this router alone has all.
func (b *fixture) limitCold(perSecond float64) {
	b.ColdLimit = func(settings.ServiceName) (time.Duration, float64) { return 3 * time.Second, perSecond }
	b.Cold = &cold.Tracker{Limits: cold.Limits{Overage: 1}, Self: "a", Routers: func() ([]string, bool) { return nil, false }}
	// The router has started some time ago.
	b.Cold.Room(b.Clock.Now().Add(-time.Minute), "other", perSecond)
}

// served sends eight requests one after the other, which takes less than the second of the rate, and returns how many the upstream got.
func (b *fixture) served(c *qt.C) int {
	before := len(b.upstreams[0].requests())
	route := idempotent
	route.Objective = 50 * time.Millisecond
	for i := range 8 {
		res, _ := b.do(route, fmt.Sprint("r", i))
		if res.Status != 200 {
			c.Assert(res.Outcome, qt.Equals, peer.OutcomeNotRun)
			c.Assert(res.Code, qt.Equals, CodeOverloaded)
		}
	}
	return len(b.upstreams[0].requests()) - before
}

// TestColdUpstreamGetsNoMoreThanItBears guards against a rush to an upstream that has just started.
func TestColdUpstreamGetsNoMoreThanItBears(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{respond(200, "")})
	b.limitCold(4)
	c.Assert(b.served(c), qt.Equals, 8)
	time.Sleep(1200 * time.Millisecond)
	b.Members.MarkCold(b.Clock.Now(), b.Members.Serving("desk")[0], time.Minute)
	c.Assert(b.served(c), qt.Equals, 4)
}

// TestUpstreamStatesThatItTurnsCold guards against full load on an upstream after it has said in an answer that it is cold.
func TestUpstreamStatesThatItTurnsCold(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{respond(200, "", "Cold: 30s")})
	b.limitCold(4)
	c.Assert(b.served(c), qt.Equals, 4)
}

// TestUpstreamsOfADataCentreTakenBackAreCold guards against a rush to a data centre that was evacuated, before the entries of its upstreams
// say that they have turned cold.
func TestUpstreamsOfADataCentreTakenBackAreCold(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{respond(200, "")})
	b.limitCold(4)
	b.evacuate(evacuation.Change{DataCentre: "kano", Revision: 2, Evacuated: true})
	b.evacuate(evacuation.Change{DataCentre: "kano", Revision: 3})
	c.Assert(b.served(c), qt.Equals, 4)
}
