package direct

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"rattantrack.dev/core/call"
	"rattantrack.dev/core/cost"
	"rattantrack.dev/core/settings"
	"rattantrack.dev/core/work"
	"rattantrack.dev/router/internal/upstream"
)

// cached is a stream route whose upstreams cache prompts.
var cached = settings.Route{Kind: settings.RouteStream, Attempts: 1, Affinity: true, PauseObjective: 300 * time.Millisecond}

// slowStream returns a handler that sends events with a pause between them and states that its VM is slow.
func slowStream(events int, pause time.Duration) func(net.Conn, *http.Request) bool {
	return func(conn net.Conn, req *http.Request) bool {
		head := "HTTP/1.1 200 OK\r\nId: " + req.Header.Get("Id") + "\r\nSlow: 2.5\r\nConnection: close\r\n\r\n"
		if _, err := conn.Write([]byte(head)); err != nil {
			return false
		}
		for i := range events {
			if _, err := conn.Write([]byte("id: " + string(rune('1'+i)) + "\ndata: x\n\n")); err != nil {
				return false
			}
			time.Sleep(pause)
		}
		return false
	}
}

// doLong sends a request with a long prompt.
func (b *fixture) doLong(ctx context.Context, id string) Result {
	now := b.Clock.Now()
	r := &Request{
		Request: call.Request{
			ID: call.ID(id), PromptTokens: 5000, ExpectedTokens: 27, PromptBlocks: []call.PromptBlock{{ID: 7, Tokens: 4000}, {ID: 8, Tokens: 1000}},
		},
		RouteConfig: cached, Service: "desk", Arrived: now, Deadline: now.Add(3 * time.Second),
	}
	r.Outbound = upstream.Request{ID: r.ID, Method: http.MethodGet, URI: "/", Host: "h.example", Header: http.Header{"Id": {id}}}
	return b.Do(ctx, r, &memorySink{})
}

// TestWorkOfStreamIsFollowed guards against work that is counted and never removed, and checks what a stream teaches: the output of its
// route, the pauses, the time to prefill and the speed that its upstream states.
func TestWorkOfStreamIsFollowed(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{slowStream(3, 20*time.Millisecond)})
	ids := []settings.UpstreamID{"u0"}
	left := func() work.Amount { return b.Work.Left(b.Clock.Now(), ids)[0] }
	done := make(chan Result)
	go func() { done <- b.doLong(context.Background(), "r1") }()
	for range 300 {
		if left().Events > 0 && left().Prompt == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	c.Assert(left().Prompt, qt.Equals, settings.Tokens(0))
	c.Assert(left().Events > 0, qt.IsTrue)
	res := <-done
	c.Assert(res.Events, qt.Equals, 3)
	c.Assert(res.Estimate.Basis, qt.Equals, cost.BasisClient)
	c.Assert(res.LongestPause >= 15*time.Millisecond, qt.IsTrue)
	c.Assert(left(), qt.Equals, work.Amount{})
	now := b.Clock.Now()
	c.Assert(b.Work.Active(now), qt.IsTrue)
	c.Assert(b.Work.Recent(now)[0].Slowdown, qt.Equals, uint16(250))
	c.Assert(b.Work.PrefillTime("desk", 5000) > 0, qt.IsTrue)
	c.Assert(b.Costs.Accuracy(now).Requests > 0.9, qt.IsTrue)
	// The next placement has the work and the speed.
	res = b.doLong(context.Background(), "r2")
	c.Assert(res.Choice.Work, qt.IsNotNil)
	c.Assert(res.Choice.CachedTokens, qt.Equals, settings.Tokens(4000))
}

// TestWorkOfAbandonedStreamIsRemoved covers a client that goes in the middle of its stream.
func TestWorkOfAbandonedStreamIsRemoved(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{slowStream(5, 50*time.Millisecond)})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(80*time.Millisecond, cancel)
	res := b.doLong(ctx, "r1")
	c.Assert(res.Code, qt.Equals, CodeClientGone)
	now := b.Clock.Now()
	c.Assert(b.Work.Left(now, []settings.UpstreamID{"u0"})[0], qt.Equals, work.Amount{})
	c.Assert(b.Costs.Accuracy(now).Requests, qt.Equals, 0.0)
}

// TestUpstreamsWithoutSpeedArePlacedByLoad guards against any effect on services whose upstreams state no speed.
func TestUpstreamsWithoutSpeedArePlacedByLoad(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{respond(200, "id: 1\ndata: x\n\n")})
	for range 3 {
		c.Assert(b.doLong(context.Background(), "r1").Choice.Work, qt.IsNil)
	}
}

// TestMalformedFieldsAreLoggedAtTimes guards against both silence about a field that is not read and a line for each answer.
func TestMalformedFieldsAreLoggedAtTimes(t *testing.T) {
	c := qt.New(t)
	b := newFixture(t, handlers{respond(200, "a", "Odd: 3,x")})
	var out strings.Builder
	b.Log = log.NewWithOptions(&out, log.Options{Formatter: log.JSONFormatter})
	for range 4 {
		_, _ = b.do(once, "r1")
	}
	c.Assert(strings.Count(out.String(), `"msg":"malformed header field"`), qt.Equals, 1)
	c.Assert(out.String(), qt.Matches, `(?s).*"upstream":"u0","field":"Odd","value":"3,x".*`)
}
