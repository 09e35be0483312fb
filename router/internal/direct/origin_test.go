package direct

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/clock"
	"rattantrack.dev/core/members"
	"rattantrack.dev/core/origin"
	"rattantrack.dev/core/peer"
	"rattantrack.dev/core/settings"
)

// newVersionFixture starts one upstream per list of handlers, with the given versions.
func newVersionFixture(t *testing.T, versions []members.Version, upstreams ...handlers) *fixture {
	b := newFixture(t, upstreams...)
	var changes []members.Change
	for i, inst := range b.Members.Serving("desk") {
		inst.Version = versions[i]
		changes = append(changes, members.Change{ID: inst.ID, Revision: 2, Instance: inst})
	}
	b.Members.Apply(clock.Boot{}.Now(), changes)
	return b
}

var mixedRoute = settings.Route{
	Kind: settings.RouteStream, Resumable: true, Attempts: 3, Backends: []settings.Backend{{Service: "desk", Weight: 1}},
}

// takeUp sends a request that goes on with a stream.
func (b *fixture) takeUp(route settings.Route, id, firstAttempt call.ID) (Result, *memorySink) {
	now := b.Clock.Now()
	r := &Request{
		Request:     call.Request{ID: id, FirstAttempt: firstAttempt, LastEvent: "2"},
		RouteConfig: route, Service: "desk", Arrived: now, Deadline: now.Add(3 * time.Second),
	}
	r.Outbound.ID, r.Outbound.Method, r.Outbound.URI, r.Outbound.Host = id, http.MethodPost, "/a", "h.example"
	r.Outbound.Header = http.Header{"Id": {string(id)}}
	sink := &memorySink{}
	return b.Do(context.Background(), r, sink), sink
}

// TestRouterContinuesAStreamAtItsVersion guards against a stream whose upstream breaks off and which the router goes on with at another
// version.
func TestRouterContinuesAStreamAtItsVersion(t *testing.T) {
	broken, whole := handlers{streamEvents(3, false)}, handlers{streamEvents(5, true)}
	tests := []struct {
		name      string
		versions  []members.Version
		upstreams []handlers
		outcome   peer.Outcome
		code      string
		requests  []int
	}{
		{"another upstream of the version", []members.Version{"v1", "v2", "v1"}, []handlers{broken, whole, whole}, peer.OutcomeDone, "", []int{1, 0, 1}},
		// The upstream that has failed is tried once more, and fails again.
		{"no other one", []members.Version{"v1", "v2", "v2"}, []handlers{broken, whole, whole}, peer.OutcomeUnknown, CodeCut, []int{2, 0, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newVersionFixture(t, tt.versions, tt.upstreams...)
			res, _ := b.do(mixedRoute, "r1")
			c.Check(res.Outcome, qt.Equals, tt.outcome)
			c.Check(res.Code, qt.Equals, tt.code)
			for i, n := range tt.requests {
				c.Check(len(b.upstreams[i].requests()), qt.Equals, n, qt.Commentf("upstream %d", i))
			}
			o, verdict := b.Origins.Find(context.Background(), &origin.Question{FirstAttempt: "r1", Service: "desk"})
			c.Check(verdict, qt.Equals, origin.Remembered)
			c.Check(o, qt.Equals, origin.Origin{Service: "desk", Version: "v1"})
		})
	}
}

// TestStreamTakenUpGoesToItsVersion covers clients that take a stream up again.
func TestStreamTakenUpGoesToItsVersion(t *testing.T) {
	whole := handlers{streamEvents(5, true)}
	unused := func(net.Conn, *http.Request) bool { return false }
	tests := []struct {
		name    string
		began   origin.Origin
		outcome peer.Outcome
		code    string
	}{
		{"the version serves", origin.Origin{Service: "desk", Version: "v2"}, peer.OutcomeDone, ""},
		{"the version is gone", origin.Origin{Service: "desk", Version: "v0"}, peer.OutcomeNotRun, CodeVersionGone},
		{"another service of the route", origin.Origin{Service: "other", Version: "v2"}, peer.OutcomeNotRun, CodeVersionGone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newVersionFixture(t, []members.Version{"v1", "v2"}, handlers{unused}, whole)
			b.Origins.Begin("first", tt.began)
			res, _ := b.takeUp(mixedRoute, "r2", "first")
			c.Check(res.Outcome, qt.Equals, tt.outcome)
			c.Check(res.Code, qt.Equals, tt.code)
			c.Check(b.upstreams[0].requests(), qt.HasLen, 0)
			if tt.outcome == peer.OutcomeNotRun {
				c.Check(res.RetryAfter > 0, qt.IsTrue)
				c.Check(b.upstreams[1].requests(), qt.HasLen, 0)
			}
		})
	}
	t.Run("nobody knows the version", func(t *testing.T) {
		c := qt.New(t)
		b := newVersionFixture(t, []members.Version{"v1", "v2"}, handlers{unused}, handlers{unused})
		res, _ := b.takeUp(mixedRoute, "r2", "unknown")
		c.Check(res.Outcome, qt.Equals, peer.OutcomeNotRun)
		c.Check(res.Code, qt.Equals, CodeOriginUnknown)
		c.Check(res.RetryAfter > 0, qt.IsTrue)
	})
}

// TestEjectedVersionStillServesItsStreams guards against streams that end because all upstreams of their version are ejected, while those
// of another one are not.
func TestEjectedVersionStillServesItsStreams(t *testing.T) {
	c := qt.New(t)
	b := newVersionFixture(t, []members.Version{"v1", "v2", "v2", "v2"}, handlers{streamEvents(5, true)}, nil, nil, nil)
	for range 20 {
		b.Outliers.RecordResult(b.Clock.Now(), "u0", "desk", true)
	}
	b.Origins.Begin("first", origin.Origin{Service: "desk", Version: "v1"})
	res, _ := b.takeUp(mixedRoute, "r2", "first")
	c.Check(res.Outcome, qt.Equals, peer.OutcomeDone)
}

// TestRequestGoesToTheVersionThatHasReadItsPrompt guards against a prompt that two versions have read after the loss of all routers, so
// that nobody could tell where its stream began.
func TestRequestGoesToTheVersionThatHasReadItsPrompt(t *testing.T) {
	whole := handlers{streamEvents(5, true)}
	tests := []struct {
		name     string
		cachedAt members.Version
		requests []int
	}{
		{"a version that serves", "v2", []int{0, 1}},
		{"a version that has gone", "v0", []int{1, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			b := newVersionFixture(t, []members.Version{"v1", "v2"}, whole, whole)
			b.Origins.(*beginnings).cached = map[call.PromptBlockID]members.Version{7: tt.cachedAt}
			now := b.Clock.Now()
			r := &Request{
				Request:     call.Request{ID: "r1", PromptBlocks: []call.PromptBlock{{ID: 7, Tokens: 50}}},
				RouteConfig: mixedRoute, Service: "desk", Arrived: now, Deadline: now.Add(3 * time.Second),
			}
			r.Outbound.ID, r.Outbound.Method, r.Outbound.URI, r.Outbound.Host = "r1", http.MethodPost, "/a", "h.example"
			r.Outbound.Header = http.Header{"Id": {"r1"}}
			res := b.Do(context.Background(), r, &memorySink{})
			c.Check(res.Outcome, qt.Equals, peer.OutcomeDone)
			for i, n := range tt.requests {
				c.Check(len(b.upstreams[i].requests()), qt.Equals, n, qt.Commentf("upstream %d", i))
			}
		})
	}
}
