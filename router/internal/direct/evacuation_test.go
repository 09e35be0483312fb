package direct

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/evacuation"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// evacuate evacuates a data centre or takes it back.
func (b *fixture) evacuate(change evacuation.Change) {
	b.Evacuations.Apply(b.Clock.Now(), []evacuation.Change{change})
}

// TestEvacuatedDataCentreGetsNoRequests guards against requests to upstreams that the operators have evacuated, also where a prompt is
// cached there, and against a data centre that is never used again.
func TestEvacuatedDataCentreGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{respond(200, "near")}, handlers{respond(200, "far")})
	route := idempotent
	route.Affinity = true
	res, _ := b.doPrompt(route, "r1", 7, 8)
	first := res.Upstream
	home, other := settings.DataCentre("kano"), settings.DataCentre("jos")
	if first == b.Members.IDs()[1] {
		home, other = other, home
	}
	b.evacuate(evacuation.Change{DataCentre: home, Revision: 2, Evacuated: true})
	for _, id := range []string{"r2", "r3", "r4"} {
		res, _ := b.doPrompt(route, id, 7, 8)
		c.Assert(res.Upstream, qt.Not(qt.Equals), first)
	}
	b.evacuate(evacuation.Change{DataCentre: home, Revision: 3})
	b.evacuate(evacuation.Change{DataCentre: other, Revision: 4, Evacuated: true})
	res, _ = b.doPrompt(route, "r5", 7, 8)
	c.Assert(res.Upstream, qt.Equals, first)
}

// TestRequestIsRefusedAtOnceWhereAllIsEvacuated guards against requests that are held while nothing may serve them, or that are sent to an
// evacuated data centre since no other is left.
func TestRequestIsRefusedAtOnceWhereAllIsEvacuated(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{respond(200, "near")}, handlers{respond(200, "far")})
	b.evacuate(evacuation.Change{DataCentre: "kano", Revision: 2, Evacuated: true})
	b.evacuate(evacuation.Change{DataCentre: "jos", Revision: 3, Evacuated: true})
	start := time.Now()
	res, _ := b.do(idempotent, "r1")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeNotRun)
	c.Assert(res.Code, qt.Equals, CodeEvacuated)
	c.Assert(res.RetryAfter, qt.Equals, evacuatedRetryAfter)
	c.Assert(time.Since(start) < 200*time.Millisecond, qt.IsTrue)
	c.Assert(len(b.upstreams[0].requests())+len(b.upstreams[1].requests()), qt.Equals, 0)
}
