package direct

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/shutdown"
	"rattantrack.dev/router/internal/upstream"
)

// TestStoppingRouterSendsWhatItCannotFinish guards against requests that a stopping router sends to an upstream although it ends before
// the upstream answers.
func TestStoppingRouterSendsWhatItCannotFinish(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{respond(200, "ok")})
	b.RunTimes.Record("desk", time.Second)
	now := b.Clock.Now()
	b.Shutdown.Begin(now.Add(time.Minute), now.Add(4*time.Second))
	res, _ := b.do(once, "r1")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeDone)

	b = newFixture(t, handlers{respond(200, "ok")})
	b.RunTimes.Record("desk", time.Second)
	now = b.Clock.Now()
	b.Shutdown.Begin(now.Add(time.Minute), now.Add(time.Second))
	res, sink := b.do(once, "r2")
	c.Assert(res.Outcome, qt.Equals, peer.OutcomeNotRun)
	c.Assert(res.Code, qt.Equals, CodeStopping)
	c.Assert(res.RetryAfter > 0, qt.IsTrue)
	c.Assert(b.upstreams[0].requests(), qt.HasLen, 0)
	c.Assert(sink.heads, qt.Equals, 0)
}

// TestRequestEndedByTheStopPromisesNothing guards against a request that is under way when the router ends it, and whose client is told
// that it did not run, or that seems to have left.
func TestRequestEndedByTheStopPromisesNothing(t *testing.T) {
	for _, route := range []settings.Route{once, idempotent, stream} {
		c := qt.New(t)
		b := newFixture(t, handlers{func(net.Conn, *http.Request) bool {
			time.Sleep(300 * time.Millisecond)
			return false
		}})
		ctx, end := context.WithCancelCause(context.Background())
		time.AfterFunc(100*time.Millisecond, func() { end(&shutdown.EndedError{}) })
		now := b.Clock.Now()
		r := &Request{
			Request: call.Request{ID: "r1"}, RouteConfig: route, Service: "desk", Arrived: now, Deadline: now.Add(3 * time.Second),
			Outbound: upstream.Request{ID: "r1", Method: http.MethodGet, URI: "/a", Host: "h.example", Header: http.Header{"Id": {"r1"}}},
		}
		res := b.Do(ctx, r, &memorySink{})
		c.Assert(res.Outcome, qt.Equals, peer.OutcomeUnknown)
		c.Assert(res.Code, qt.Equals, CodeStopping)
		c.Assert(res.Runs, qt.Equals, 1)
	}
}
