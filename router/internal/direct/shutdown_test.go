package direct

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/peer"
)

// TestStoppingRouterSendsWhatItCannotFinish guards against requests that a stopping router sends to an upstream although it ends before
// the upstream answers.
func TestStoppingRouterSendsWhatItCannotFinish(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{respond(200, "ok")})
	b.RunTimes.Record("desk", time.Second)
	b.Shutdown.Begin(b.Clock.Now().Add(4 * time.Second))
	res, _ := b.do(once, "r1")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeDone)

	b = newFixture(t, handlers{respond(200, "ok")})
	b.RunTimes.Record("desk", time.Second)
	b.Shutdown.Begin(b.Clock.Now().Add(time.Second))
	res, sink := b.do(once, "r2")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeNotRun)
	c.Assert(res.Code, qt.Equals, CodeStopping)
	c.Assert(res.RetryAfter > 0, qt.IsTrue)
	c.Assert(b.upstreams[0].requests(), qt.HasLen, 0)
	c.Assert(sink.heads, qt.Equals, 0)
}
